//! One attempt of a request at an instance: builds the HTTP request of the fleet's protocol, sends it over a
//! pooled connection and translates the answer into an [`Outcome`] of the decision module. Probes and
//! releases are sent here, too.

use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Limited};
use hyper::body::Incoming;
use hyper::header::{HOST, HeaderMap, HeaderValue};
use hyper::http::uri::PathAndQuery;
use hyper::{Method, Request, Response, StatusCode};
use serde::Deserialize;
use tokio::time::{Instant, timeout, timeout_at};

use super::events::EventStream;
use super::headers::{REQUEST_ID, REQUEST_TIMEOUT};
use super::pool::{CloseGuard, ConnectError, Connection, LocalFaultHandling, Pool, Reuse};
use super::socket::{NotSentReason, RequestBody, SendCheck, WriteStatus};
use crate::api::{HostId, Load, Micros, Outcome, Role};
use crate::node::counters::{Counters, add};
use crate::node::log_sampler::LogSampler;
use crate::node::request::ClientPresence;

/// Largest answer body that is read when the answer is not a stream.
const MAX_ANSWER_BYTES: usize = 256 * 1024;
/// Path at which an instance reports its load.
const LOAD_PATH: &str = "/-/load";
/// Path under which an instance releases the state held for a request, named by the request's id.
const LEASES_PATH: &str = "/kv/leases";
/// Time limit of a probe.
const PROBE_TIMEOUT: Duration = Duration::from_millis(250);

/// Protocol that the instances of a fleet speak.
#[derive(Clone, Debug)]
pub enum Protocol {
    /// The platform's protocol, in which readers hold KV state between the two stages of a request.
    Platform {
        /// Longest time for which a reader holds the state.
        pin_limit: Micros,
    },
    /// The public chat completions protocol, with headers to add to each request, such as an authorization.
    Chat(HeaderMap),
}

/// The parts of a client's request that are forwarded unchanged.
#[derive(Clone, Debug)]
pub struct Payload {
    /// Id by which instances know the request.
    pub id: Rc<str>,
    /// Path and query.
    pub target: PathAndQuery,
    /// Headers that are forwarded as they came.
    pub headers: HeaderMap,
    /// Request body.
    pub body: Bytes,
}

/// Result of an attempt up to its first event.
pub enum InitialResult {
    /// The answer is a stream, and its first event has arrived.
    Streaming(Box<EventStream>),
    /// The prompt is read; the value is the number of prompt tokens that were found in the reader's cache.
    PromptRead(f64),
    /// The attempt ended with neither.
    Ended(Outcome),
}

/// Why a request got no answer.
enum SendError {
    /// The check before the first byte stopped it.
    NotSent(NotSentReason),
    /// There was no connection, or it closed before the last byte was written: the request never ran.
    NotWritten,
    /// This machine could not open a connection.
    LocalFault,
    /// The answer was not valid HTTP.
    MalformedAnswer,
    /// The connection closed after the last byte was written; the request may have run.
    ConnectionLost,
}

/// Client for the instances of one fleet.
pub struct Upstream {
    pool: Rc<Pool>,
    protocol: Protocol,
    counters: Rc<Counters>,
    unanswered_log: LogSampler,
    broken_stream_log: LogSampler,
    left_stream_log: LogSampler,
}

#[derive(Deserialize)]
struct ReadAnswer {
    #[serde(default)]
    cached_tokens: f64,
}

/// Load report of an instance. The settings define its field names; the aliases are those of the simulator's
/// wire format.
#[derive(Deserialize)]
struct LoadReport {
    #[serde(alias = "active")]
    inflight: Option<f64>,
    #[serde(alias = "waiting")]
    queue: Option<f64>,
    #[serde(alias = "cpu")]
    util: Option<f64>,
    #[serde(alias = "avg_ms")]
    latency_ms: Option<f64>,
    /// Memory in use.
    x0: Option<f64>,
    /// Waiting prompt tokens, in thousands.
    x1: Option<f64>,
}

/// Parses a load report; returns `None` if it is not valid.
fn parse_load_report(json: &[u8]) -> Option<Load> {
    let report: LoadReport = serde_json::from_slice(json).ok()?;
    Some(Load {
        in_flight: report.inflight,
        waiting: report.queue,
        busy: report.util,
        latency: report.latency_ms.map(|ms| (ms * 1000.0) as Micros),
        memory: report.x0,
        waiting_tokens: report.x1.map(|thousands| thousands * 1000.0),
    })
}

/// Returns the outcome of an answer that is neither a stream nor a completed read, from its status and
/// headers.
fn rejection_outcome(protocol: &Protocol, status: StatusCode, headers: &HeaderMap) -> Outcome {
    let never_ran = match protocol {
        Protocol::Platform { .. } => headers.get("not-started").is_some_and(|value| value == "1"),
        // Only a 429 of a public server proves that the request did not start; a 503 may follow a start.
        Protocol::Chat(_) => status == StatusCode::TOO_MANY_REQUESTS,
    };
    match (never_ran, status) {
        (true, StatusCode::GONE) => Outcome::NoState,
        (true, _) => Outcome::Full,
        _ => Outcome::Error,
    }
}

impl Upstream {
    /// Creates the client of the fleet whose connections are in `pool`.
    pub fn new(pool: Rc<Pool>, protocol: Protocol, counters: Rc<Counters>) -> Self {
        Upstream {
            pool,
            protocol,
            counters,
            unanswered_log: LogSampler::default(),
            broken_stream_log: LogSampler::default(),
            left_stream_log: LogSampler::default(),
        }
    }

    /// Returns the fleet's connection pool.
    pub fn pool(&self) -> &Rc<Pool> {
        &self.pool
    }

    /// Returns the counters of this fleet.
    pub fn counters(&self) -> &Counters {
        &self.counters
    }

    /// Decides whether an attempt without an answer is logged now. If so, returns how many such attempts were
    /// left out of the log since the last one logged.
    pub fn sample_unanswered(&self) -> Option<u64> {
        self.unanswered_log.sample()
    }

    /// Decides whether a stream that broke is logged now. If so, returns how many were left out of the log since
    /// the last one logged.
    pub fn sample_broken_stream(&self) -> Option<u64> {
        self.broken_stream_log.sample()
    }

    /// Decides whether a stream whose client left is logged now. If so, returns how many were left out of the log since
    /// the last one logged.
    pub fn sample_left_stream(&self) -> Option<u64> {
        self.left_stream_log.sample()
    }

    /// Returns whether the host is a reader, at which an attempt may leave state. An unknown host counts as
    /// one.
    pub fn is_reader(&self, host: HostId) -> bool {
        self.pool.endpoint(host).is_none_or(|endpoint| endpoint.role == Role::Read)
    }

    /// Returns whether instances of this fleet hold state between two attempts of a request.
    pub fn can_hold_state(&self) -> bool {
        self.pin_limit().is_some()
    }

    /// Returns how long a state is held at most while no attempt uses it, or `None` if the fleet holds no
    /// state.
    pub fn pin_limit(&self) -> Option<Micros> {
        match self.protocol {
            Protocol::Platform { pin_limit } => Some(pin_limit),
            Protocol::Chat(_) => None,
        }
    }

    /// Sends the request to a host and waits until `deadline` for the first result. Dropping the future
    /// cancels the attempt by closing its connection. Nothing is sent once the client no longer waits. The
    /// close guard lives until the server is known to have noticed the end of an attempt that it did not
    /// answer.
    pub async fn start_attempt(
        self: &Rc<Self>, host: HostId, payload: &Payload, deadline: Instant,
        (client, close_guard): (ClientPresence, Option<CloseGuard>),
    ) -> (InitialResult, Option<Load>) {
        let (started_at, mut write_status) = (Instant::now(), None);
        if started_at >= deadline {
            // This process was suspended for a while, so the result must not count against the host.
            return (InitialResult::Ended(Outcome::Moot), None);
        }
        add(&self.counters.attempts);
        match timeout_at(
            deadline,
            self.exchange(host, payload, (deadline, client, close_guard), &mut write_status),
        )
        .await
        {
            Ok((InitialResult::Ended(outcome), load)) => {
                if matches!(outcome, Outcome::Unreachable | Outcome::Broken) {
                    self.pool.mark_unresponsive(host);
                }
                (InitialResult::Ended(outcome), load)
            }
            Ok(result) => result,
            Err(_) => {
                self.pool.report_silence_since(host, started_at);
                let may_have_run = write_status.is_some_and(|status: WriteStatus| status.is_written());
                (
                    InitialResult::Ended(if may_have_run { Outcome::TimedOut } else { Outcome::Unreachable }),
                    None,
                )
            }
        }
    }

    /// Sends the attempt and interprets its answer up to the first event. `write_status` receives the status
    /// of the request's last byte, which the caller needs if it drops this future.
    async fn exchange(
        self: &Rc<Self>, host: HostId, payload: &Payload,
        (deadline, client, close_guard): (Instant, ClientPresence, Option<CloseGuard>),
        write_status: &mut Option<WriteStatus>,
    ) -> (InitialResult, Option<Load>) {
        let ended = |outcome| (InitialResult::Ended(outcome), None);
        let check = SendCheck::Attempt { client, deadline };
        let fill_head =
            |request: &mut Request<RequestBody>| self.fill_attempt_head(host, payload, deadline, request);
        let (connection, response) = match self
            .send(host, &payload.body, (check, Reuse::Allowed, close_guard), fill_head, write_status)
            .await
        {
            Ok(answered) => answered,
            Err(SendError::NotSent(reason)) => {
                add(&self.counters.held_back);
                tracing::info!(
                    request = %payload.id,
                    instance = %self.pool.instance_name(host),
                    "attempt: not sent, {reason}"
                );
                return ended(match reason {
                    NotSentReason::ClientGone | NotSentReason::DeadlinePassed => Outcome::Moot,
                    NotSentReason::Draining => Outcome::Unreachable,
                });
            }
            Err(SendError::NotWritten) => return ended(Outcome::Unreachable),
            // Nothing was sent, and the fault must not count against the host: `Full` states both.
            Err(SendError::LocalFault) => return ended(Outcome::Full),
            Err(SendError::MalformedAnswer) => return ended(Outcome::Spoilt),
            Err(SendError::ConnectionLost) => return ended(Outcome::Broken),
        };
        let (head, body) = response.into_parts();
        let load = head.headers.get("server-load").and_then(|value| parse_load_report(value.as_bytes()));
        if head.status == StatusCode::OK || self.is_final_answer(head.status) {
            let is_chat = matches!(self.protocol, Protocol::Chat(_));
            let source = (self.pool.clone(), host, connection);
            let mut events = EventStream::new(source, body, (head.status, head.headers), is_chat);
            return match events.wait_for_first().await {
                Ok(()) => (InitialResult::Streaming(Box::new(events)), load),
                Err(outcome) => (InitialResult::Ended(outcome), load),
            };
        }
        let whole_body =
            Limited::new(body, MAX_ANSWER_BYTES).collect().await.map(|collected| collected.to_bytes());
        if whole_body.is_ok() {
            self.pool.put_back(host, connection);
        }
        match (head.status, whole_body) {
            (StatusCode::ACCEPTED, Ok(json)) if self.can_hold_state() => {
                let cached_tokens =
                    serde_json::from_slice(&json).map_or(0.0, |answer: ReadAnswer| answer.cached_tokens);
                (InitialResult::PromptRead(cached_tokens), load)
            }
            (StatusCode::ACCEPTED, Err(_)) => ended(Outcome::Broken),
            (status, _) => {
                (InitialResult::Ended(rejection_outcome(&self.protocol, status, &head.headers)), load)
            }
        }
    }

    /// Sends the request that `fill_head` completes and waits for the head of its answer. An idle connection
    /// is used if there is one and `reuse` allows it. Another connection is tried only if a reused one had
    /// just closed and hyper returned the request without having written any of it, so nothing is ever sent
    /// twice.
    async fn send(
        &self, host: HostId, data: &Bytes,
        (check, reuse, mut close_guard): (SendCheck, Reuse, Option<CloseGuard>),
        fill_head: impl Fn(&mut Request<RequestBody>), write_status: &mut Option<WriteStatus>,
    ) -> Result<(Connection, Response<Incoming>), SendError> {
        // A probe does not wait for a local fault to pass: its time-out would count against the host.
        let local_fault_handling = if matches!(check, SendCheck::Probe) {
            LocalFaultHandling::Fail
        } else {
            LocalFaultHandling::Retry
        };
        loop {
            *write_status = None;
            let mut connection =
                self.pool.acquire(host, local_fault_handling, reuse).await.map_err(|error| match error {
                    ConnectError::Unreachable => SendError::NotWritten,
                    ConnectError::LocalFault => SendError::LocalFault,
                })?;
            let (body, status) = connection.request_body(data.clone(), check.clone());
            *write_status = Some(status.clone());
            let mut request = Request::new(body);
            fill_head(&mut request);
            connection.close_guard = close_guard.take();
            let result = connection.sender().try_send_request(request).await;
            // By now the server has answered or the connection has closed, so the guard need not follow it
            // any longer.
            close_guard = connection.close_guard.take();
            let mut send_error = match result {
                Ok(response) => return Ok((connection, response)),
                Err(send_error) => send_error,
            };
            if let Some(reason) = status.not_sent_reason() {
                return Err(SendError::NotSent(reason));
            }
            let is_unsent = send_error.take_message().is_some() && !status.is_written();
            if !is_unsent || connection.is_new() {
                return Err(match (status.is_written(), send_error.error().is_parse()) {
                    (false, _) => SendError::NotWritten,
                    (true, true) => SendError::MalformedAnswer,
                    (true, false) => SendError::ConnectionLost,
                });
            }
        }
    }

    /// Returns whether the status is forwarded to the client as the answer. A public server's verdict on the
    /// request itself, such as on a field that it does not accept, would be the same at any other server.
    fn is_final_answer(&self, status: StatusCode) -> bool {
        let may_differ_elsewhere = [401, 403, 407, 408, 409, 425, 429].contains(&status.as_u16());
        matches!(self.protocol, Protocol::Chat(_)) && status.is_client_error() && !may_differ_elsewhere
    }

    /// Fills in method, target and headers of an attempt.
    fn fill_attempt_head<B>(
        &self, host: HostId, payload: &Payload, deadline: Instant, request: &mut Request<B>,
    ) {
        *request.method_mut() = Method::POST;
        *request.uri_mut() = payload.target.clone().into();
        let headers = request.headers_mut();
        if let Protocol::Chat(extra_headers) = &self.protocol {
            headers.extend(extra_headers.clone());
        }
        self.set_host_header(host, headers);
        if let Ok(id) = HeaderValue::from_str(&payload.id) {
            headers.insert(REQUEST_ID, id);
        }
        headers.extend(payload.headers.clone());
        let remaining_ms = deadline.saturating_duration_since(Instant::now()).as_millis() as u64;
        headers.insert(REQUEST_TIMEOUT, remaining_ms.max(1).into());
    }

    fn set_host_header(&self, host: HostId, headers: &mut HeaderMap) {
        let addr = self
            .pool
            .endpoint(host)
            .and_then(|endpoint| HeaderValue::from_str(&endpoint.addr.to_string()).ok());
        addr.map(|addr| headers.insert(HOST, addr));
    }

    /// Sends a request without a body and returns the answer, whatever its status, with its body read.
    async fn call(
        &self, host: HostId, options: (SendCheck, Reuse), method: Method, path: PathAndQuery,
    ) -> Result<Response<Bytes>, SendError> {
        let fill_head = |request: &mut Request<RequestBody>| {
            *request.method_mut() = method.clone();
            *request.uri_mut() = path.clone().into();
            self.set_host_header(host, request.headers_mut());
        };
        let (connection, response) =
            self.send(host, &Bytes::new(), (options.0, options.1, None), fill_head, &mut None).await?;
        let (head, body) = response.into_parts();
        let body = Limited::new(body, MAX_ANSWER_BYTES)
            .collect()
            .await
            .map_err(|_| SendError::ConnectionLost)?
            .to_bytes();
        self.pool.put_back(host, connection);
        Ok(Response::from_parts(head, body))
    }

    /// Asks one host to release everything that the fleet holds for the request. Returns whether the host
    /// confirmed it.
    pub async fn send_release(&self, host: HostId, request_id: &str, reuse: Reuse) -> bool {
        let Ok(path) = PathAndQuery::try_from(format!("{LEASES_PATH}/{request_id}")) else { return false };
        // A release is no new work, so a draining instance accepts it.
        let answer = self.call(host, (SendCheck::Unchecked, reuse), Method::DELETE, path).await;
        answer.is_ok_and(|answer| answer.status().is_success())
    }

    /// Requests a host's load report. The outcome tells whether the host is healthy.
    pub async fn probe(&self, host: HostId) -> (Outcome, Option<Load>) {
        add(&self.counters.probes);
        let call = self.call(
            host,
            (SendCheck::Probe, Reuse::Allowed),
            Method::GET,
            PathAndQuery::from_static(LOAD_PATH),
        );
        match timeout(PROBE_TIMEOUT, call).await {
            Ok(Ok(answer)) if answer.status() == StatusCode::OK => {
                (Outcome::Served, parse_load_report(answer.body()))
            }
            Ok(Ok(_)) => (Outcome::Error, None),
            // `Full` does not count against the host.
            Ok(Err(SendError::LocalFault)) => (Outcome::Full, None),
            Ok(Err(_)) => (Outcome::Unreachable, None),
            Err(_) => (Outcome::TimedOut, None),
        }
    }
}

//! One exchange with an instance, in the dialect that the fleet speaks, told in the module's terms.

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

/// Most of an answer without a stream that is read.
const ANSWER_MOST: usize = 256 * 1024;
/// Where an instance tells its load.
const LOAD: &str = "/-/load";
/// Where it lets go of what is held for a request, by the request's id.
const LEASES: &str = "/kv/leases";
/// For a probe's answer.
const PROBE: Duration = Duration::from_millis(250);

/// What a fleet's instances speak.
#[derive(Clone, Debug)]
pub enum Protocol {
    /// The platform's protocol, in which readers hold states.
    Platform {
        /// For how long at most.
        pin_limit: Micros,
    },
    /// The public chat completions form; headers to add, such as an authorization.
    Chat(HeaderMap),
}

/// What goes on unchanged: the core carries it and does not look inside.
#[derive(Clone, Debug)]
pub struct Payload {
    /// The id that instances know the request by.
    pub id: Rc<str>,
    /// Path and query.
    pub target: PathAndQuery,
    /// The headers that go on as they came.
    pub headers: HeaderMap,
    /// The body.
    pub body: Bytes,
}

/// What an attempt came to before any event was passed on.
pub enum InitialResult {
    /// The stream has begun.
    Streaming(Box<EventStream>),
    /// The prompt is read, with so many tokens found kept.
    PromptRead(f64),
    /// It ended otherwise.
    Ended(Outcome),
}

/// Why a request got no answer.
enum Unanswered {
    /// It was stopped before its first byte.
    NotSentReason(NotSentReason),
    /// There was no connection, or it ended before the last byte was written: the request never ran.
    NeverWritten,
    /// This machine could not open a connection.
    LocalFault,
    /// What came back was not HTTP.
    Unreadable,
    /// The connection ended behind the last byte; the request may have run.
    Lost,
}

/// One fleet's instances and how to talk to them.
pub struct Upstream {
    pool: Rc<Pool>,
    dialect: Protocol,
    counters: Rc<Counters>,
    unanswered: LogSampler,
}

#[derive(Deserialize)]
struct ReadAnswer {
    #[serde(default)]
    cached_tokens: f64,
}

/// A load report. The settings name its fields; those of the simulator's wire are taken as well as the protocol's.
#[derive(Deserialize)]
struct Report {
    #[serde(alias = "active")]
    inflight: Option<f64>,
    #[serde(alias = "waiting")]
    queue: Option<f64>,
    #[serde(alias = "cpu")]
    util: Option<f64>,
    #[serde(alias = "avg_ms")]
    latency_ms: Option<f64>,
    x0: Option<f64>,
    x1: Option<f64>,
}

fn load(text: &[u8]) -> Option<Load> {
    let report: Report = serde_json::from_slice(text).ok()?;
    Some(Load {
        in_flight: report.inflight,
        waiting: report.queue,
        busy: report.util,
        latency: report.latency_ms.map(|ms| (ms * 1000.0) as Micros),
        memory: report.x0,
        waiting_tokens: report.x1.map(|k| k * 1000.0),
    })
}

/// The outcome that an answer's head tells when it is neither a stream nor a read.
fn turned(dialect: &Protocol, status: StatusCode, headers: &HeaderMap) -> Outcome {
    let never_ran = match dialect {
        Protocol::Platform { .. } => headers.get("not-started").is_some_and(|v| v == "1"),
        // Public servers turn a request away before it runs with 429 only; a 503 may come after a start.
        Protocol::Chat(_) => status == StatusCode::TOO_MANY_REQUESTS,
    };
    match (never_ran, status) {
        (true, StatusCode::GONE) => Outcome::NoState,
        (true, _) => Outcome::Full,
        _ => Outcome::Error,
    }
}

impl Upstream {
    /// A fleet behind this pool.
    pub fn new(pool: Rc<Pool>, dialect: Protocol, counters: Rc<Counters>) -> Self {
        Upstream { pool, dialect, counters, unanswered: LogSampler::default() }
    }

    /// Its connections.
    pub fn pool(&self) -> &Rc<Pool> {
        &self.pool
    }

    /// The counters.
    pub fn counters(&self) -> &Counters {
        &self.counters
    }

    /// Whether an attempt without an answer is logged now, and how many were not since the last one that was.
    pub fn sample_unanswered(&self) -> Option<u64> {
        self.unanswered.sample()
    }

    /// Whether a host is a reader, where states may be left.
    pub fn is_reader(&self, host: HostId) -> bool {
        self.pool.endpoint(host).is_none_or(|s| s.role == Role::Read)
    }

    /// Whether anything can be held at this fleet's instances.
    pub fn holds(&self) -> bool {
        self.pin_limit().is_some()
    }

    /// For how long a state may be held with no attempt out, where any is held.
    pub fn pin_limit(&self) -> Option<Micros> {
        match self.dialect {
            Protocol::Platform { pin_limit } => Some(pin_limit),
            Protocol::Chat(_) => None,
        }
    }

    /// Sends the request to a host and waits until `until` for what it comes to. Dropping the future gives the
    /// attempt up: its connection ends. It does not begin once its client is no longer `wanted`. A witness lives until the server is
    /// known to have heard of an end without its answer.
    pub async fn start_attempt(
        self: &Rc<Self>, host: HostId, payload: &Payload, until: Instant,
        (wanted, witness): (ClientPresence, Option<CloseGuard>),
    ) -> (InitialResult, Option<Load>) {
        let (begun, mut written) = (Instant::now(), None);
        if begun >= until {
            // This process did not run for a while; nothing is said against the host.
            return (InitialResult::Ended(Outcome::Moot), None);
        }
        add(&self.counters.attempts);
        match timeout_at(until, self.exchange(host, payload, (until, wanted, witness), &mut written)).await {
            Ok((InitialResult::Ended(outcome), load)) => {
                if matches!(outcome, Outcome::Unreachable | Outcome::Broken) {
                    self.pool.mark_unresponsive(host);
                }
                (InitialResult::Ended(outcome), load)
            }
            Ok(first) => first,
            Err(_) => {
                self.pool.report_silence_since(host, begun);
                let ran = written.is_some_and(|mark: WriteStatus| mark.is_written());
                (InitialResult::Ended(if ran { Outcome::TimedOut } else { Outcome::Unreachable }), None)
            }
        }
    }

    async fn exchange(
        self: &Rc<Self>, host: HostId, payload: &Payload,
        (until, wanted, witness): (Instant, ClientPresence, Option<CloseGuard>),
        written: &mut Option<WriteStatus>,
    ) -> (InitialResult, Option<Load>) {
        let ended = |outcome| (InitialResult::Ended(outcome), None);
        let check = SendCheck::Attempt { wanted, until };
        let fill = |request: &mut Request<RequestBody>| self.head(host, payload, until, request);
        let (connection, response) = match self
            .send(host, &payload.body, (check, Reuse::Allowed, witness), fill, written)
            .await
        {
            Ok(answered) => answered,
            Err(Unanswered::NotSentReason(why)) => {
                add(&self.counters.held_back);
                tracing::info!(request = %payload.id, instance = %self.pool.instance_name(host), "attempt: not sent, {why}");
                return ended(match why {
                    NotSentReason::ClientGone | NotSentReason::TooLate => Outcome::Moot,
                    NotSentReason::Drains => Outcome::Unreachable,
                });
            }
            Err(Unanswered::NeverWritten) => return ended(Outcome::Unreachable),
            // Not sent, and nothing is said against the host.
            Err(Unanswered::LocalFault) => return ended(Outcome::Full),
            Err(Unanswered::Unreadable) => return ended(Outcome::Spoilt),
            Err(Unanswered::Lost) => return ended(Outcome::Broken),
        };
        let (head, body) = response.into_parts();
        let report = head.headers.get("server-load").and_then(|v| load(v.as_bytes()));
        if head.status == StatusCode::OK || self.is_answer(head.status) {
            let chat = matches!(self.dialect, Protocol::Chat(_));
            let from = (self.pool.clone(), host, connection);
            let mut events = EventStream::new(from, body, (head.status, head.headers), chat);
            return match events.open().await {
                Ok(()) => (InitialResult::Streaming(Box::new(events)), report),
                Err(outcome) => (InitialResult::Ended(outcome), report),
            };
        }
        let whole = Limited::new(body, ANSWER_MOST).collect().await.map(|b| b.to_bytes());
        if whole.is_ok() {
            self.pool.put_back(host, connection);
        }
        match (head.status, whole) {
            (StatusCode::ACCEPTED, Ok(text)) if self.holds() => {
                let kept = serde_json::from_slice(&text).map_or(0.0, |a: ReadAnswer| a.cached_tokens);
                (InitialResult::PromptRead(kept), report)
            }
            (StatusCode::ACCEPTED, Err(_)) => ended(Outcome::Broken),
            (status, _) => (InitialResult::Ended(turned(&self.dialect, status, &head.headers)), report),
        }
    }

    /// Sends a request that `fill` completes, on a kept connection if there is one, and waits for the head of its answer. The
    /// library gives back a request of which it has written nothing; only then, and only where a kept connection had just
    /// closed, is another one used. Nothing is ever sent twice.
    async fn send(
        &self, host: HostId, data: &Bytes,
        (check, reuse, mut witness): (SendCheck, Reuse, Option<CloseGuard>),
        fill: impl Fn(&mut Request<RequestBody>), written: &mut Option<WriteStatus>,
    ) -> Result<(Connection, Response<Incoming>), Unanswered> {
        // A probe is not worth a wait, and its own time-out would be held against the host.
        let local_faults = if matches!(check, SendCheck::Probe) {
            LocalFaultHandling::Fail
        } else {
            LocalFaultHandling::Retry
        };
        loop {
            *written = None;
            let mut connection =
                self.pool.acquire(host, local_faults, reuse).await.map_err(|why| match why {
                    ConnectError::Unreachable => Unanswered::NeverWritten,
                    ConnectError::LocalFault => Unanswered::LocalFault,
                })?;
            let (body, mark) = connection.request_body(data.clone(), check.clone());
            *written = Some(mark.clone());
            let mut request = Request::new(body);
            fill(&mut request);
            connection.witness = witness.take();
            let answered = connection.sender().try_send_request(request).await;
            // From here on the server has spoken, or the connection has ended.
            witness = connection.witness.take();
            let mut fault = match answered {
                Ok(response) => return Ok((connection, response)),
                Err(fault) => fault,
            };
            if let Some(why) = mark.held_back() {
                return Err(Unanswered::NotSentReason(why));
            }
            let untouched = fault.take_message().is_some() && !mark.is_written();
            if !untouched || connection.fresh() {
                return Err(match (mark.is_written(), fault.error().is_parse()) {
                    (false, _) => Unanswered::NeverWritten,
                    (true, true) => Unanswered::Unreadable,
                    (true, false) => Unanswered::Lost,
                });
            }
        }
    }

    /// A public server's word on the request itself, such as a field that it does not take, is the client's
    /// answer: another server would say the same.
    fn is_answer(&self, status: StatusCode) -> bool {
        let own = [401, 403, 407, 408, 409, 425, 429].contains(&status.as_u16());
        matches!(self.dialect, Protocol::Chat(_)) && status.is_client_error() && !own
    }

    fn head<B>(&self, host: HostId, payload: &Payload, until: Instant, request: &mut Request<B>) {
        *request.method_mut() = Method::POST;
        *request.uri_mut() = payload.target.clone().into();
        let headers = request.headers_mut();
        if let Protocol::Chat(extra) = &self.dialect {
            headers.extend(extra.clone());
        }
        self.host_header(host, headers);
        if let Ok(id) = HeaderValue::from_str(&payload.id) {
            headers.insert(REQUEST_ID, id);
        }
        headers.extend(payload.headers.clone());
        let left = until.saturating_duration_since(Instant::now()).as_millis() as u64;
        headers.insert(REQUEST_TIMEOUT, left.max(1).into());
    }

    fn host_header(&self, host: HostId, headers: &mut HeaderMap) {
        let addr = self.pool.endpoint(host).and_then(|s| HeaderValue::from_str(&s.addr.to_string()).ok());
        addr.map(|addr| headers.insert(HOST, addr));
    }

    /// A call without a body: its answer with the body read, where an answer of any kind came.
    async fn call(
        &self, host: HostId, how: (SendCheck, Reuse), method: Method, path: PathAndQuery,
    ) -> Result<Response<Bytes>, Unanswered> {
        let fill = |request: &mut Request<RequestBody>| {
            *request.method_mut() = method.clone();
            *request.uri_mut() = path.clone().into();
            self.host_header(host, request.headers_mut());
        };
        let (connection, response) =
            self.send(host, &Bytes::new(), (how.0, how.1, None), fill, &mut None).await?;
        let (head, body) = response.into_parts();
        let body = Limited::new(body, ANSWER_MOST).collect().await.map_err(|_| Unanswered::Lost)?.to_bytes();
        self.pool.put_back(host, connection);
        Ok(Response::from_parts(head, body))
    }

    /// Lets go of all that is held for the request, by way of one host; whether that host took the call.
    pub async fn send_release(&self, host: HostId, id: &str, reuse: Reuse) -> bool {
        let Ok(path) = PathAndQuery::try_from(format!("{LEASES}/{id}")) else { return false };
        // Nothing new: also what drains lets go.
        let answer = self.call(host, (SendCheck::Unchecked, reuse), Method::DELETE, path).await;
        answer.is_ok_and(|a| a.status().is_success())
    }

    /// Asks a host how it is.
    pub async fn probe(&self, host: HostId) -> (Outcome, Option<Load>) {
        add(&self.counters.probes);
        let asked =
            self.call(host, (SendCheck::Probe, Reuse::Allowed), Method::GET, PathAndQuery::from_static(LOAD));
        match timeout(PROBE, asked).await {
            Ok(Ok(answer)) if answer.status() == StatusCode::OK => (Outcome::Served, load(answer.body())),
            Ok(Ok(_)) => (Outcome::Error, None),
            // Nothing is said against the host.
            Ok(Err(Unanswered::LocalFault)) => (Outcome::Full, None),
            Ok(Err(_)) => (Outcome::Unreachable, None),
            Err(_) => (Outcome::TimedOut, None),
        }
    }
}

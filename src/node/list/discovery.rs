//! The client of the discovery service. It keeps one watch open for changes, and calls the service again when the watch is
//! lost or a call fails.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use http_body_util::{BodyExt, Empty};
use hyper::body::Incoming;
use hyper::client::conn::http1;
use hyper::{Request, StatusCode};
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;
use tokio::sync::watch;
use tokio::task::JoinSet;
use tokio::time::{Instant, sleep_until, timeout, timeout_at};

use super::fleet::Fleet;
use super::membership::{StaleList, TargetList};
use super::pace::{CallReason, CallSchedule, CallTimeouts};
use super::targets::{EntryFaults, ListDecoder, ListError, MAX_LIST_BYTES};
use crate::node::counters::add;
use crate::node::uninterrupted::RetryInterrupted;

/// Why a call to discovery failed or a watch was lost.
#[derive(Debug, thiserror::Error)]
pub enum WatchError {
    /// The connection could not be opened.
    #[error("cannot connect: {0}")]
    Connect(std::io::Error),
    /// The HTTP exchange failed.
    #[error("{0}")]
    Http(#[from] hyper::Error),
    /// The response has a status other than 200.
    #[error("answered {0}")]
    Status(StatusCode),
    /// The response to a call for the full list cannot be parsed.
    #[error("{0}")]
    List(#[from] ListError),
    /// The list is older than the current one.
    #[error("{0}")]
    Stale(#[from] StaleList),
    /// Nothing arrived within the timeout.
    #[error("silent")]
    Silent,
    /// Bytes arrive, and the line that they belong to does not end in time.
    #[error("a line does not end")]
    SlowLine,
    /// The response body ended.
    #[error("stream ended")]
    Ended,
}

/// A successful response to a call.
enum Response {
    /// The full list.
    List(TargetList, EntryFaults),
    /// An open watch, and the first bytes on it.
    Watch(Incoming, Bytes),
}

/// An open watch.
struct Watch {
    body: Incoming,
    decoder: ListDecoder,
    opened_at: Instant,
    last_bytes_at: Instant,
    /// When the last line ended.
    last_line_at: Instant,
    /// Whether the current line took so long that discovery is called beside this watch.
    is_overtaken: bool,
    /// Whether the watch has delivered a list.
    has_list: bool,
}

/// Keeps a fleet's list up to date with the discovery service.
pub struct DiscoveryClient {
    fleet: Rc<Fleet>,
    schedule: CallSchedule,
    list_received: watch::Sender<bool>,
    watch: Option<Watch>,
    calls: JoinSet<Result<Response, WatchError>>,
    /// When to start the next call.
    next_call_at: Option<Instant>,
    /// When the last call started.
    last_call_at: Instant,
    /// Since when discovery has been unavailable.
    unavailable_since: Option<Instant>,
}

impl DiscoveryClient {
    /// Creates a client for this fleet. `list_received` turns true with the first list.
    pub fn new(fleet: Rc<Fleet>, schedule: CallSchedule, list_received: watch::Sender<bool>) -> Self {
        let (calls, next_call_at) = (JoinSet::new(), None);
        DiscoveryClient {
            fleet,
            schedule,
            list_received,
            watch: None,
            calls,
            next_call_at,
            last_call_at: Instant::now(),
            unavailable_since: None,
        }
    }

    /// Follows the discovery service at its current address, and never returns. After a change of address the full list is
    /// requested again, because the versions of the new service may not continue those of the old one.
    pub async fn run(mut self, mut address: watch::Receiver<SocketAddr>) {
        self.schedule_call(CallReason::Start, Instant::now());
        loop {
            let timeouts = (self.schedule.watch_timeout(), self.schedule.line_timeout());
            tokio::select! {
                biased;
                Ok(()) = address.changed() => {
                    tracing::info!("discovery: moved to {}", *address.borrow());
                    self.fleet.forget_version();
                    (self.watch, self.calls) = (None, JoinSet::new());
                    self.schedule.reset();
                    self.schedule_call(CallReason::AddressChanged, Instant::now());
                }
                chunk = next_chunk(&mut self.watch, timeouts) => self.handle_chunk(chunk),
                Some(result) = self.calls.join_next() => match result {
                    Ok(Ok(response)) => self.handle_response(response),
                    Ok(Err(error)) => self.handle_failed_call(&error),
                    Err(_) => {}
                },
                () = sleep_until(self.next_call_at.unwrap_or_else(Instant::now)), if self.next_call_at.is_some() => {
                    let addr = *address.borrow();
                    self.start_call(addr);
                }
            }
        }
    }

    /// Schedules the next call and returns the delay until then. Nothing has been received since `last_received_at`.
    fn schedule_call(&mut self, reason: CallReason, last_received_at: Instant) -> Duration {
        let delay = self.schedule.next_delay(reason, last_received_at.max(self.last_call_at).elapsed());
        self.next_call_at = Some(Instant::now() + delay);
        delay
    }

    /// Starts a call for the changes since the current list, also when that list came with the configuration: a full list is
    /// more expensive for discovery.
    fn start_call(&mut self, addr: SocketAddr) {
        add(&self.fleet.core().counters.watches);
        self.last_call_at = Instant::now();
        self.calls.spawn_local(call(addr, self.fleet.version(), self.schedule.next_timeouts()));
        // The next call does not wait for this one to end: a call that hangs must not hide that discovery is available again.
        self.next_call_at = Some(self.last_call_at + self.schedule.hedge_delay());
    }

    fn handle_response(&mut self, response: Response) {
        // The other calls can be dropped: each started earlier, or would bring the same state.
        (self.calls, self.next_call_at) = (JoinSet::new(), None);
        match response {
            Response::List(list, faults) => {
                self.fleet.forget_version();
                let _ = self.apply_list(&list, &faults);
                // A list with a version is followed by a watch for changes; one without can only be requested again.
                if list.version.is_some() {
                    self.next_call_at = Some(Instant::now());
                } else {
                    self.schedule_call(CallReason::CallFailed, Instant::now());
                }
            }
            Response::Watch(body, first_bytes) => {
                let now = Instant::now();
                self.watch = Some(Watch {
                    body,
                    decoder: ListDecoder::default(),
                    opened_at: now,
                    last_bytes_at: now,
                    last_line_at: now,
                    is_overtaken: false,
                    has_list: false,
                });
                self.handle_chunk(Ok(Some(first_bytes)));
            }
        }
    }

    fn handle_failed_call(&mut self, error: &WatchError) {
        let reason = match error {
            WatchError::Status(StatusCode::TOO_MANY_REQUESTS | StatusCode::SERVICE_UNAVAILABLE) => {
                CallReason::Refused
            }
            _ => CallReason::CallFailed,
        };
        let scheduled_at = self.next_call_at.filter(|_| reason == CallReason::CallFailed);
        if reason == CallReason::Refused {
            self.calls = JoinSet::new();
        }
        let mut delay = self.schedule_call(reason, self.last_call_at);
        if let Some(scheduled_at) = scheduled_at {
            // The call that was already scheduled may come earlier.
            delay = delay.min(scheduled_at.saturating_duration_since(Instant::now()));
            self.next_call_at = self.next_call_at.min(Some(scheduled_at));
        }
        self.report_unavailable(error, delay);
    }

    /// Warns once when discovery becomes unavailable; failures after that are logged at debug level until it is available again.
    fn report_unavailable(&mut self, error: &WatchError, delay: Duration) {
        let (now, delay_ms) = (Instant::now(), delay.as_millis());
        match self.unavailable_since {
            Some(_) => tracing::debug!("discovery: still unavailable, {error}; retrying in {delay_ms} ms"),
            None => {
                let version = self.fleet.version().map_or("none".into(), |v| v.to_string());
                tracing::warn!(
                    "discovery: watch lost, {error}; keeping list version {version}, retrying in {delay_ms} ms"
                );
                self.fleet.core().planner.host_list_failed();
                self.unavailable_since = Some(now);
            }
        }
    }

    fn handle_chunk(&mut self, chunk: Result<Option<Bytes>, WatchError>) {
        let error = match chunk {
            Ok(Some(chunk)) => match self.decode_chunk(&chunk) {
                Ok(()) => return,
                Err(error) => error,
            },
            Ok(None) => WatchError::Ended,
            Err(error) => error,
        };
        if let (WatchError::SlowLine, Some(watch)) = (&error, &mut self.watch) {
            // The watch stays: what is called beside it may be as slow.
            watch.is_overtaken = true;
            let last_line_at = watch.last_line_at;
            let delay = self.schedule_call(CallReason::WatchLost, last_line_at);
            return self.report_unavailable(&error, delay);
        }
        let Some(lost) = self.watch.take() else { return };
        let is_silent = matches!(error, WatchError::Silent);
        let delay = self.schedule_call(
            self.schedule.loss_reason(lost.opened_at.elapsed(), is_silent),
            lost.last_bytes_at,
        );
        self.report_unavailable(&error, delay);
    }

    fn decode_chunk(&mut self, chunk: &[u8]) -> Result<(), WatchError> {
        let Some(mut watch) = self.watch.take() else { return Ok(()) };
        watch.last_bytes_at = Instant::now();
        if chunk.contains(&b'\n') {
            watch.last_line_at = watch.last_bytes_at;
            if std::mem::take(&mut watch.is_overtaken) {
                (self.calls, self.next_call_at) = (JoinSet::new(), None);
            }
        }
        watch.decoder.push(chunk);
        let mut applied = Ok(());
        while let (Ok(()), Some(parsed)) = (&applied, watch.decoder.next_list()) {
            match parsed {
                Ok((list, faults)) => {
                    watch.has_list = true;
                    applied = self.apply_list(&list, &faults);
                }
                Err(error) => tracing::warn!("discovery: {error}; ignored"),
            }
        }
        let has_list = watch.has_list;
        self.watch = Some(watch);
        if has_list && applied.is_ok() {
            self.schedule.reset();
            if let Some(since) = self.unavailable_since.take() {
                let (outage_ms, version) = (since.elapsed().as_millis(), self.fleet.version());
                let version = version.map_or("none".into(), |v| v.to_string());
                tracing::info!("discovery: heard again after {outage_ms} ms, list version {version}");
            }
        }
        applied
    }

    fn apply_list(&mut self, list: &TargetList, faults: &EntryFaults) -> Result<(), WatchError> {
        if let Some(summary) = faults.summary() {
            tracing::warn!("discovery: {summary}");
        }
        match self.fleet.apply_list(list) {
            Ok(()) => {
                self.list_received.send_replace(true);
                Ok(())
            }
            Err(stale) => {
                // Only a full list shows which of the two versions discovery means.
                self.fleet.forget_version();
                Err(stale.into())
            }
        }
    }
}

/// Requests the changes since this version, or the full list without one. A watch counts as open only with its first bytes: the
/// service may have failed after it sent the response head.
async fn call(addr: SocketAddr, since: Option<u64>, timeouts: CallTimeouts) -> Result<Response, WatchError> {
    let started_at = Instant::now();
    let Some(since) = since else {
        let mut body = get(addr, "/api/targets", timeouts.answer).await?;
        let mut text = BytesMut::new();
        let deadline = started_at + timeouts.answer;
        while let Some(frame) = timeout_at(deadline, body.frame()).await.map_err(|_| WatchError::Silent)? {
            text.extend_from_slice(&frame?.into_data().unwrap_or_default());
            if text.len() > MAX_LIST_BYTES {
                return Err(ListError::TooLong.into());
            }
        }
        let (list, faults) = TargetList::parse(&text)?;
        return Ok(Response::List(list, faults));
    };
    let mut body = get(addr, &format!("/api/targets?follow=1&since={since}"), timeouts.answer).await?;
    let deadline = started_at + timeouts.first_bytes;
    while let Some(frame) = timeout_at(deadline, body.frame()).await.map_err(|_| WatchError::Silent)? {
        let first_bytes = frame?.into_data().unwrap_or_default();
        if !first_bytes.is_empty() {
            return Ok(Response::Watch(body, first_bytes));
        }
    }
    Err(WatchError::Ended)
}

async fn get(addr: SocketAddr, path: &str, response_timeout: Duration) -> Result<Incoming, WatchError> {
    let exchange = async {
        let socket = TcpStream::connect(addr).await.map_err(WatchError::Connect)?;
        let (mut sender, connection) = http1::handshake(TokioIo::new(RetryInterrupted(socket))).await?;
        // The task ends with the response body, or when the body is dropped.
        tokio::task::spawn_local(connection);
        let request = Request::get(path).header("host", addr.to_string()).body(Empty::<Bytes>::new());
        let Ok(request) = request else { return Err(WatchError::Ended) };
        let response = sender.send_request(request).await?;
        match response.status() {
            StatusCode::OK => Ok(response.into_body()),
            other => Err(WatchError::Status(other)),
        }
    };
    timeout(response_timeout, exchange).await.unwrap_or(Err(WatchError::Silent))
}

/// Returns the next bytes of a watch, or none at its end; without a watch it never returns. Fails when nothing arrived for the
/// first of the timeouts, and once when no line ended within the second. Bytes that have arrived are read before the timeouts
/// are checked, also when this process was not scheduled for a long time.
async fn next_chunk(
    watch: &mut Option<Watch>, (silence, line): (Duration, Duration),
) -> Result<Option<Bytes>, WatchError> {
    let Some(watch) = watch else { return std::future::pending().await };
    let silent_at = watch.last_bytes_at + silence;
    let line_due_at = (!watch.is_overtaken).then(|| watch.last_line_at + line);
    let due_at = line_due_at.map_or(silent_at, |line_due_at| line_due_at.min(silent_at));
    match timeout_at(due_at, watch.body.frame()).await {
        Err(_) if due_at < silent_at => Err(WatchError::SlowLine),
        Err(_) => Err(WatchError::Silent),
        Ok(None) => Ok(None),
        Ok(Some(frame)) => Ok(Some(frame?.into_data().unwrap_or_default())),
    }
}

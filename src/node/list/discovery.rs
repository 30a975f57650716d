//! Following discovery: a watch on what changes, and calls for what was missed.

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
use super::membership::{OlderList, Targets};
use super::pace::{CallTimeouts, Cause, Pace};
use super::targets::{Faults, MOST, Reader, Unreadable};
use crate::node::counters::add;
use crate::node::uninterrupted::RetryInterrupted;

/// Why discovery is not heard.
#[derive(Debug, thiserror::Error)]
pub enum WatchError {
    /// No connection.
    #[error("cannot connect: {0}")]
    Connect(std::io::Error),
    /// The exchange failed.
    #[error("{0}")]
    Http(#[from] hyper::Error),
    /// Not the answer that is meant to come.
    #[error("answered {0}")]
    Status(StatusCode),
    /// A whole list that is none.
    #[error("{0}")]
    Form(#[from] Unreadable),
    /// A list that may not be taken in.
    #[error("{0}")]
    Older(#[from] OlderList),
    /// Nothing came for too long.
    #[error("silent")]
    Silent,
    /// It ended.
    #[error("ended")]
    Ended,
}

/// What a call has brought.
enum Heard {
    Whole(Targets, Faults),
    /// The watch, and the first bytes on it.
    Watch(Incoming, Bytes),
}

/// An open watch.
struct Watch {
    body: Incoming,
    reader: Reader,
    begun: Instant,
    heard: Instant,
    /// Whether it has brought a list.
    told: bool,
}

/// Follows discovery for a fleet.
pub struct Directory {
    fleet: Rc<Fleet>,
    pace: Pace,
    told: watch::Sender<bool>,
    watch: Option<Watch>,
    calls: JoinSet<Result<Heard, WatchError>>,
    /// When to begin the next call.
    next: Option<Instant>,
    /// When the last call began.
    asked: Instant,
    /// Since when discovery has not been heard.
    unheard: Option<Instant>,
}

impl Directory {
    /// A directory for this fleet; `told` turns true with the first list.
    pub fn new(fleet: Rc<Fleet>, pace: Pace, told: watch::Sender<bool>) -> Self {
        let (calls, next) = (JoinSet::new(), None);
        Directory { fleet, pace, told, watch: None, calls, next, asked: Instant::now(), unheard: None }
    }

    /// Follows discovery for ever, wherever it is. At a new address the whole list is asked for again: its versions may
    /// not go on from the old one's.
    pub async fn follow(mut self, mut address: watch::Receiver<SocketAddr>) {
        self.ask_after(Cause::Start, Instant::now());
        loop {
            let silence = self.pace.silence();
            tokio::select! {
                biased;
                Ok(()) = address.changed() => {
                    tracing::info!("discovery: moved to {}", *address.borrow());
                    self.fleet.forget_version();
                    (self.watch, self.calls) = (None, JoinSet::new());
                    self.pace.reset();
                    self.ask_after(Cause::Moved, Instant::now());
                }
                part = piece(&mut self.watch, silence) => self.take_part(part),
                Some(done) = self.calls.join_next() => match done {
                    Ok(Ok(heard)) => self.answered(heard),
                    Ok(Err(fault)) => self.unanswered(&fault),
                    Err(_) => {}
                },
                () = sleep_until(self.next.unwrap_or_else(Instant::now)), if self.next.is_some() => {
                    let addr = *address.borrow();
                    self.call(addr);
                }
            }
        }
    }

    /// The wait before the next call, where nothing has been heard since then.
    fn ask_after(&mut self, cause: Cause, since: Instant) -> Duration {
        let wait = self.pace.after(cause, since.max(self.asked).elapsed());
        self.next = Some(Instant::now() + wait);
        wait
    }

    /// Begins a call: for what has changed since the list at hand, also when that came with the configuration, as a whole
    /// list costs discovery more.
    fn call(&mut self, addr: SocketAddr) {
        add(&self.fleet.core().counters.watches);
        self.asked = Instant::now();
        self.calls.spawn_local(ask(addr, self.fleet.version(), self.pace.timeouts()));
        // Whatever becomes of this one: a call that stays unanswered must not hide that discovery is back.
        self.next = Some(self.asked + self.pace.beside());
    }

    fn answered(&mut self, heard: Heard) {
        // All others were asked before it, or are as new.
        (self.calls, self.next) = (JoinSet::new(), None);
        match heard {
            Heard::Whole(list, faults) => {
                self.fleet.forget_version();
                let _ = self.take(&list, &faults);
                // From here on the changes; a list without a version can only be asked for again.
                if list.version.is_some() {
                    self.next = Some(Instant::now());
                } else {
                    self.ask_after(Cause::Call, Instant::now());
                }
            }
            Heard::Watch(body, first) => {
                let now = Instant::now();
                self.watch =
                    Some(Watch { body, reader: Reader::default(), begun: now, heard: now, told: false });
                self.take_part(Ok(Some(first)));
            }
        }
    }

    fn unanswered(&mut self, fault: &WatchError) {
        let cause = match fault {
            WatchError::Status(StatusCode::TOO_MANY_REQUESTS | StatusCode::SERVICE_UNAVAILABLE) => {
                Cause::Refused
            }
            _ => Cause::Call,
        };
        let due = self.next.filter(|_| cause == Cause::Call);
        if cause == Cause::Refused {
            self.calls = JoinSet::new();
        }
        let mut wait = self.ask_after(cause, self.asked);
        if let Some(due) = due {
            // Another one may be due sooner in any case.
            wait = wait.min(due.saturating_duration_since(Instant::now()));
            self.next = self.next.min(Some(due));
        }
        self.lost(fault, wait);
    }

    /// Says once that discovery is not heard, until it is again.
    fn lost(&mut self, fault: &WatchError, wait: Duration) {
        let (now, wait) = (Instant::now(), wait.as_millis());
        match self.unheard {
            Some(_) => tracing::debug!("discovery: not heard, {fault}; asking again in {wait} ms"),
            None => {
                let version = self.fleet.version().map_or("none".into(), |v| v.to_string());
                tracing::warn!(
                    "discovery: watch lost, {fault}; list {version} holds, asking again in {wait} ms"
                );
                self.fleet.core().planner.host_list_failed();
                self.unheard = Some(now);
            }
        }
    }

    fn take_part(&mut self, part: Result<Option<Bytes>, WatchError>) {
        let fault = match part {
            Ok(Some(part)) => match self.take_bytes(&part) {
                Ok(()) => return,
                Err(fault) => fault,
            },
            Ok(None) => WatchError::Ended,
            Err(fault) => fault,
        };
        let Some(lost) = self.watch.take() else { return };
        let silent = matches!(fault, WatchError::Silent);
        let wait = self.ask_after(self.pace.lost(lost.begun.elapsed(), silent), lost.heard);
        self.lost(&fault, wait);
    }

    fn take_bytes(&mut self, part: &[u8]) -> Result<(), WatchError> {
        let Some(mut watch) = self.watch.take() else { return Ok(()) };
        watch.heard = Instant::now();
        watch.reader.push(part);
        let mut taken = Ok(());
        while let (Ok(()), Some(read)) = (&taken, watch.reader.list()) {
            match read {
                Ok((list, faults)) => {
                    watch.told = true;
                    taken = self.take(&list, &faults);
                }
                Err(fault) => tracing::warn!("discovery: {fault}; passed over"),
            }
        }
        let told = watch.told;
        self.watch = Some(watch);
        if told && taken.is_ok() {
            self.pace.reset();
            if let Some(since) = self.unheard.take() {
                let (ms, version) = (since.elapsed().as_millis(), self.fleet.version());
                let version = version.map_or("none".into(), |v| v.to_string());
                tracing::info!("discovery: heard again after {ms} ms, list {version}");
            }
        }
        taken
    }

    fn take(&mut self, list: &Targets, faults: &Faults) -> Result<(), WatchError> {
        if let Some(line) = faults.line() {
            tracing::warn!("discovery: {line}");
        }
        match self.fleet.take(list) {
            Ok(()) => {
                self.told.send_replace(true);
                Ok(())
            }
            Err(older) => {
                // Which of the two discovery means only a whole list tells.
                self.fleet.forget_version();
                Err(older.into())
            }
        }
    }
}

/// Asks for the changes since this version, or for the whole list. A watch is heard with its first bytes: behind a head alone
/// may stand a service that is gone by then.
async fn ask(addr: SocketAddr, since: Option<u64>, timeouts: CallTimeouts) -> Result<Heard, WatchError> {
    let begun = Instant::now();
    let Some(since) = since else {
        let mut body = get(addr, "/api/targets", timeouts.answer).await?;
        let mut text = BytesMut::new();
        let by = begun + timeouts.answer;
        while let Some(part) = timeout_at(by, body.frame()).await.map_err(|_| WatchError::Silent)? {
            text.extend_from_slice(&part?.into_data().unwrap_or_default());
            if text.len() > MOST {
                return Err(Unreadable::TooLong.into());
            }
        }
        let (list, faults) = Targets::parse(&text)?;
        return Ok(Heard::Whole(list, faults));
    };
    let mut body = get(addr, &format!("/api/targets?follow=1&since={since}"), timeouts.answer).await?;
    let by = begun + timeouts.first_line;
    while let Some(part) = timeout_at(by, body.frame()).await.map_err(|_| WatchError::Silent)? {
        let first = part?.into_data().unwrap_or_default();
        if !first.is_empty() {
            return Ok(Heard::Watch(body, first));
        }
    }
    Err(WatchError::Ended)
}

async fn get(addr: SocketAddr, path: &str, within: Duration) -> Result<Incoming, WatchError> {
    let exchange = async {
        let socket = TcpStream::connect(addr).await.map_err(WatchError::Connect)?;
        let (mut sender, connection) = http1::handshake(TokioIo::new(RetryInterrupted(socket))).await?;
        // It ends with the answer's body, or when that is dropped.
        tokio::task::spawn_local(connection);
        let request = Request::get(path).header("host", addr.to_string()).body(Empty::<Bytes>::new());
        let Ok(request) = request else { return Err(WatchError::Ended) };
        let answer = sender.send_request(request).await?;
        match answer.status() {
            StatusCode::OK => Ok(answer.into_body()),
            other => Err(WatchError::Status(other)),
        }
    };
    timeout(within, exchange).await.unwrap_or(Err(WatchError::Silent))
}

/// The next bytes of a watch, none at its end; never, where there is no watch. What has come is taken before a silence is
/// judged, also where this process did not run for long.
async fn piece(watch: &mut Option<Watch>, silence: Duration) -> Result<Option<Bytes>, WatchError> {
    let Some(watch) = watch else { return std::future::pending().await };
    match timeout_at(watch.heard + silence, watch.body.frame()).await {
        Err(_) => Err(WatchError::Silent),
        Ok(None) => Ok(None),
        Ok(Some(frame)) => Ok(Some(frame?.into_data().unwrap_or_default())),
    }
}

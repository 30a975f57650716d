//! Following discovery: the whole list first, then a watch on what changes.

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
use tokio::time::{Instant, sleep, timeout};

use super::backoff::Backoff;
use super::fleet::Fleet;
use super::membership::Targets;
use crate::node::counters::add;

/// Silence after which a watch is given up: an empty line is due every 2 s. What it should have told counts as told
/// 6 s later, so a new watch must be there well before.
const SILENCE: Duration = Duration::from_millis(3_200);
/// For discovery to take a connection and to answer. Where it is overbooked, calls wait in turn: one that is given up
/// has cost its work in vain.
const ANSWER: Duration = Duration::from_millis(2_500);
/// Between tries: at first, and at most...
const AGAIN: (Duration, Duration) = (Duration::from_millis(250), Duration::from_secs(10));
/// ...and where more conductors share one discovery, so much for each of them: a call costs discovery work for each
/// line, waits in turn with all others, and fails where the turn comes too late.
const AGAIN_EACH: (Duration, Duration) = (Duration::from_millis(50), Duration::from_millis(200));
/// Longest line or list that is read.
const MOST: usize = 4 * 1024 * 1024;

/// Why a watch ended.
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
    /// A line that is no list.
    #[error("not a list: {0}")]
    Form(#[from] serde_json::Error),
    /// A line without end.
    #[error("a list of over {MOST} bytes")]
    TooLong,
    /// Nothing came for too long.
    #[error("silent")]
    Silent,
    /// It ended.
    #[error("ended")]
    Ended,
}

/// Follows discovery for a fleet.
pub struct Directory {
    fleet: Rc<Fleet>,
    /// The version of the list at hand, while it is of the discovery now followed.
    version: Option<u64>,
    backoff: Backoff,
}

impl Directory {
    /// A directory for this fleet, one of so many conductors.
    pub fn new(fleet: Rc<Fleet>, conductors: u32, seed: u64) -> Self {
        let (first, most) = (AGAIN_EACH.0 * conductors, AGAIN_EACH.1 * conductors);
        let backoff = Backoff::new(first.max(AGAIN.0), most.max(AGAIN.1), seed);
        Directory { version: fleet.version(), fleet, backoff }
    }

    fn take(&mut self, list: &Targets) {
        self.version = Some(list.version);
        self.fleet.take(list);
    }

    /// Follows discovery for ever, wherever it is; `told` turns true with the first list. At a new address the whole
    /// list is asked for again: its versions may not go on from the old one's.
    pub async fn follow(mut self, mut address: watch::Receiver<SocketAddr>, told: watch::Sender<bool>) {
        loop {
            if address.has_changed().unwrap_or(false) {
                tracing::info!("discovery: moved to {}", *address.borrow());
                self.version = None;
                self.backoff.reset();
            }
            let begun = Instant::now();
            let addr = *address.borrow_and_update();
            add(&self.fleet.core().counters.watches);
            let wait = tokio::select! {
                ended = self.watch(addr, &told) => {
                    let ended = ended.err().unwrap_or(WatchError::Ended);
                    let wait = self.backoff.after(begun.elapsed());
                    tracing::warn!("discovery: watch lost, {ended}; trying again in {} ms", wait.as_millis());
                    self.fleet.core().planner.hosts_failed();
                    wait
                }
                Ok(()) = address.changed() => {
                    address.mark_changed();
                    continue;
                }
            };
            tokio::select! {
                () = sleep(wait) => {}
                Ok(()) = address.changed() => address.mark_changed(),
            }
        }
    }

    async fn watch(&mut self, addr: SocketAddr, told: &watch::Sender<bool>) -> Result<(), WatchError> {
        // One call, for what has changed since the list at hand, also when that came with the configuration: a whole
        // list costs discovery more, and another call.
        let since = match self.version {
            Some(version) => version,
            None => {
                let mut body = get(addr, "/api/targets").await?;
                let mut text = BytesMut::new();
                while let Some(part) = piece(&mut body, ANSWER).await? {
                    text.extend_from_slice(&part);
                    if text.len() > MOST {
                        return Err(WatchError::TooLong);
                    }
                }
                let list: Targets = serde_json::from_slice(&text)?;
                self.take(&list);
                told.send_replace(true);
                list.version
            }
        };
        let mut body = get(addr, &format!("/api/targets?follow=1&since={since}")).await?;
        let mut text = BytesMut::new();
        while let Some(part) = piece(&mut body, SILENCE).await? {
            text.extend_from_slice(&part);
            while let Some(end) = text.iter().position(|&b| b == b'\n') {
                let line = text.split_to(end + 1);
                if !line.trim_ascii().is_empty() {
                    self.take(&serde_json::from_slice(&line)?);
                    told.send_replace(true);
                }
            }
            if text.len() > MOST {
                return Err(WatchError::TooLong);
            }
        }
        Ok(())
    }
}

async fn get(addr: SocketAddr, path: &str) -> Result<Incoming, WatchError> {
    let exchange = async {
        let socket = TcpStream::connect(addr).await.map_err(WatchError::Connect)?;
        let (mut sender, connection) = http1::handshake(TokioIo::new(socket)).await?;
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
    timeout(ANSWER, exchange).await.unwrap_or(Err(WatchError::Silent))
}

async fn piece(body: &mut Incoming, within: Duration) -> Result<Option<Bytes>, WatchError> {
    match timeout(within, body.frame()).await {
        Err(_) => Err(WatchError::Silent),
        Ok(None) => Ok(None),
        Ok(Some(frame)) => Ok(Some(frame?.into_data().unwrap_or_default())),
    }
}

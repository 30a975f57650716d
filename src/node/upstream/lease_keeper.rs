//! Sends the releases that the [`Lease`] of one request asks for. A task beside the request repeats each
//! release until a server confirms it, and runs on after the end of the request for as long as servers may
//! still hold state for it.

use std::rc::Rc;
use std::time::Duration;

use tokio::sync::{mpsc, oneshot};
use tokio::task::{JoinHandle, JoinSet};
use tokio::time::{Instant, sleep_until, timeout};

use super::attempt::Upstream;
use super::pool::CloseGuard;
use super::release::{ReleaseReason, release};
use crate::api::{Micros, Outcome};
use crate::logic::lease::{AttemptEnd, Lease};
use crate::node::to_duration;

/// Longest wait for a release before the next read of the prompt. A release that arrives after that read has
/// started would release its state, too.
const PRE_READ_RELEASE_TIMEOUT: Duration = Duration::from_millis(250);

/// Time for which data that was written to a silent connection may still arrive; network outages are shorter.
const MAX_SILENT_CONNECTION_TIME: Duration = Duration::from_secs(30);

/// Event of a request that concerns the state held for it.
enum LeaseEvent {
    /// A read was sent. The sending half of the channel lives until the attempt's connection is known to have
    /// ended.
    ReadSent(oneshot::Receiver<()>),
    WriteSent,
    AttemptEnded(AttemptEnd),
    StreamStarted,
    ReleaseRequested(ReleaseReason),
    /// Asks for a notification as soon as no requested release is outstanding.
    Settle(oneshot::Sender<()>),
}

/// Returns the time from `start` to `moment`.
fn micros_since(start: Instant, moment: Instant) -> Micros {
    moment.saturating_duration_since(start).as_micros() as Micros
}

/// Tracks and releases the state that servers hold for one request. Its task starts with the first read;
/// without one there is nothing to release.
pub struct LeaseKeeper {
    upstream: Rc<Upstream>,
    request_id: Rc<str>,
    start: Instant,
    task: Option<(mpsc::UnboundedSender<LeaseEvent>, JoinHandle<()>)>,
}

impl LeaseKeeper {
    /// Creates the keeper of a request of which nothing has been sent yet.
    pub fn new(upstream: Rc<Upstream>, request_id: Rc<str>) -> Self {
        LeaseKeeper { upstream, request_id, start: Instant::now(), task: None }
    }

    fn send_event(&self, event: LeaseEvent) {
        if let Some((events, _)) = &self.task {
            // The task receives events until this sender is dropped.
            let _ = events.send(event);
        }
    }

    /// Prepares for a read of the prompt. Waits until what an earlier read left is released, but no longer
    /// than `PRE_READ_RELEASE_TIMEOUT`.
    pub async fn prepare_read(&mut self) {
        let Some(pin_limit) = self.upstream.pin_limit() else { return };
        if self.task.is_some() {
            let (settled, is_settled) = oneshot::channel();
            self.send_event(LeaseEvent::Settle(settled));
            let _ = timeout(PRE_READ_RELEASE_TIMEOUT, is_settled).await;
        } else {
            let (events, inbox) = mpsc::unbounded_channel();
            let lease_task = LeaseTask {
                upstream: self.upstream.clone(),
                request_id: self.request_id.clone(),
                lease: Lease::new(pin_limit),
                start: self.start,
                next_reason: ReleaseReason::Unanswered,
                settle_waiters: Vec::new(),
                read_connection: None,
                silent_connections: JoinSet::new(),
            };
            self.task = Some((events, tokio::task::spawn_local(lease_task.run(inbox))));
        }
    }

    /// Records that the prompt is sent to a reader. The returned guard belongs to the connection of the
    /// attempt, which drops it when the end of the connection is known.
    pub fn read_sent(&self) -> CloseGuard {
        let (close_guard, connection_end) = oneshot::channel();
        self.send_event(LeaseEvent::ReadSent(connection_end));
        close_guard
    }

    /// Records that the call for the state is sent to a writer.
    pub fn write_sent(&self) {
        self.send_event(LeaseEvent::WriteSent);
    }

    /// Records that the attempt in flight ended without a stream.
    pub fn attempt_ended(&self, outcome: Outcome) {
        self.send_event(LeaseEvent::AttemptEnded(match outcome {
            Outcome::Read => AttemptEnd::Read,
            Outcome::Full | Outcome::Unreachable | Outcome::Moot => AttemptEnd::NothingLeft,
            Outcome::NoState => AttemptEnd::NoState,
            Outcome::Served | Outcome::Error => AttemptEnd::Done,
            Outcome::TimedOut | Outcome::Broken | Outcome::Spoilt | Outcome::Cancelled => AttemptEnd::Unknown,
        }));
    }

    /// Records that the stream has started.
    pub fn stream_started(&self) {
        self.send_event(LeaseEvent::StreamStarted);
    }

    /// Requests the release of everything that is held for the request.
    pub fn request_release(&self, reason: ReleaseReason) {
        self.send_event(LeaseEvent::ReleaseRequested(reason));
    }

    /// Ends the request: waits until no state is held for it and none can come to be held.
    pub async fn finish(mut self) {
        self.request_release(ReleaseReason::RequestOver);
        if let Some((events, task)) = self.task.take() {
            drop(events);
            let _ = task.await;
        }
    }
}

/// Task of a [`LeaseKeeper`].
struct LeaseTask {
    upstream: Rc<Upstream>,
    request_id: Rc<str>,
    lease: Lease,
    start: Instant,
    /// Reason to state for the next release.
    next_reason: ReleaseReason,
    settle_waiters: Vec<oneshot::Sender<()>>,
    /// Resolves when the connection of the read in flight is known to have ended.
    read_connection: Option<oneshot::Receiver<()>>,
    /// One task for each read that ended without an answer; it ends when the connection of the read has
    /// ended.
    silent_connections: JoinSet<()>,
}

impl LeaseTask {
    fn now(&self) -> Micros {
        micros_since(self.start, Instant::now())
    }

    async fn run(mut self, mut inbox: mpsc::UnboundedReceiver<LeaseEvent>) {
        let mut is_request_over = false;
        loop {
            if self.lease.release_requested_at().is_none() {
                for settled in self.settle_waiters.drain(..) {
                    let _ = settled.send(());
                }
            }
            if is_request_over && self.lease.is_settled() {
                return;
            }
            let next_release = self.lease.next_release_at();
            if next_release.is_some_and(|at| at <= self.now()) {
                self.release(&mut inbox, &mut is_request_over).await;
                continue;
            }
            let release_at = self.start + to_duration(next_release.unwrap_or_default());
            tokio::select! {
                biased;
                event = inbox.recv(), if !is_request_over => match event {
                    Some(event) => self.handle(event),
                    None => is_request_over = true,
                },
                Some(_) = self.silent_connections.join_next() => self.silent_connection_closed(),
                () = sleep_until(release_at), if next_release.is_some() => {}
            }
        }
    }

    /// Sends a release until a server confirms it, and handles events meanwhile. Stops if another release is
    /// requested in the meantime: calls that were sent before that request do not count for it, so a new
    /// release has to start.
    async fn release(&mut self, inbox: &mut mpsc::UnboundedReceiver<LeaseEvent>, is_request_over: &mut bool) {
        let reason = std::mem::replace(&mut self.next_reason, ReleaseReason::Unanswered);
        let mut confirmation =
            std::pin::pin!(release(self.upstream.clone(), self.request_id.clone(), reason));
        let requested_at = self.lease.release_requested_at();
        let sent_at = loop {
            tokio::select! {
                biased;
                sent_at = &mut confirmation => break sent_at,
                event = inbox.recv(), if !*is_request_over => match event {
                    Some(event) => self.handle(event),
                    None => *is_request_over = true,
                },
                Some(_) = self.silent_connections.join_next() => self.silent_connection_closed(),
            }
            if self.lease.release_requested_at() > requested_at {
                return;
            }
        };
        match sent_at {
            Some(sent_at) => self.lease.release_confirmed(micros_since(self.start, sent_at)),
            None => self.lease.abandon(),
        }
    }

    fn silent_connection_closed(&mut self) {
        tracing::debug!(request = %self.request_id, "state: a silent connection has closed");
        self.lease.silent_connection_closed(self.now());
    }

    fn handle(&mut self, event: LeaseEvent) {
        let (now, request_id) = (self.now(), &self.request_id);
        match event {
            LeaseEvent::ReadSent(connection_end) => {
                self.read_connection = Some(connection_end);
                self.lease.read_sent();
            }
            LeaseEvent::WriteSent => self.lease.write_sent(),
            LeaseEvent::AttemptEnded(end) => {
                tracing::debug!(request = %request_id, ?end, "state: an attempt ended");
                self.lease.attempt_ended(now, end);
                let connection_end = self.read_connection.take();
                if end == AttemptEnd::Unknown {
                    self.next_reason = ReleaseReason::NoAnswer;
                    if let Some(connection_end) = connection_end {
                        self.lease.connection_fell_silent();
                        self.silent_connections.spawn_local(async move {
                            drop(timeout(MAX_SILENT_CONNECTION_TIME, connection_end).await)
                        });
                    }
                }
            }
            LeaseEvent::StreamStarted => {
                tracing::debug!(request = %request_id, "state: fetched by the writer");
                self.lease.stream_started();
            }
            LeaseEvent::ReleaseRequested(reason) => {
                self.lease.request_release(now);
                self.next_reason = reason;
            }
            LeaseEvent::Settle(settled) => self.settle_waiters.push(settled),
        }
    }
}

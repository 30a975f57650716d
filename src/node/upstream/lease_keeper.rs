//! Carries out, for one request, what its [`Lease`] asks for: releases are sent until a server confirms them, beside whatever else
//! becomes of the request, and after its end for as long as something may come to be held.

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

/// For a release before the next read: one that arrives later would let go of that read's state, too.
const RELEASE_FIRST: Duration = Duration::from_millis(250);

/// For which what was written to a connection that fell silent may still arrive: outages of a network are shorter.
const SILENT_MOST: Duration = Duration::from_secs(30);

/// What happens to a request, as far as states are concerned.
enum Happening {
    /// The other end lives for as long as nothing is known of the attempt's connection.
    ReadSent(oneshot::Receiver<()>),
    WriteSent,
    Ended(AttemptEnd),
    StreamBegan,
    Release(ReleaseReason),
    /// Tell when no release is owed at once.
    Settle(oneshot::Sender<()>),
}

fn micros(start: Instant, moment: Instant) -> Micros {
    moment.saturating_duration_since(start).as_micros() as Micros
}

/// Keeps watch over what servers hold for one request. Without a reader there is nothing to watch, and no task.
pub struct LeaseKeeper {
    upstream: Rc<Upstream>,
    id: Rc<str>,
    start: Instant,
    task: Option<(mpsc::UnboundedSender<Happening>, JoinHandle<()>)>,
}

impl LeaseKeeper {
    /// For a request for which nothing was sent yet.
    pub fn new(upstream: Rc<Upstream>, id: Rc<str>) -> Self {
        LeaseKeeper { upstream, id, start: Instant::now(), task: None }
    }

    fn tell(&self, happening: Happening) {
        if let Some((happenings, _)) = &self.task {
            // The task ends after this sender has gone.
            let _ = happenings.send(happening);
        }
    }

    /// The prompt is about to be read. What an earlier read left is released first, as far as that takes no longer than
    /// [`RELEASE_FIRST`].
    pub async fn prepare_read(&mut self) {
        let Some(pin_limit) = self.upstream.pin_limit() else { return };
        if self.task.is_some() {
            let (settled, is_settled) = oneshot::channel();
            self.tell(Happening::Settle(settled));
            let _ = timeout(RELEASE_FIRST, is_settled).await;
        } else {
            let (happenings, inbox) = mpsc::unbounded_channel();
            let keeper = Keeper {
                upstream: self.upstream.clone(),
                id: self.id.clone(),
                lease: Lease::new(pin_limit),
                start: self.start,
                reason: ReleaseReason::Unanswered,
                waiting: Vec::new(),
                reading: None,
                silent: JoinSet::new(),
            };
            self.task = Some((happenings, tokio::task::spawn_local(keeper.run(inbox))));
        }
    }

    /// The prompt is sent to a reader, over a connection that keeps the result until its end is known there.
    pub fn read_sent(&self) -> CloseGuard {
        let (unknown, known) = oneshot::channel();
        self.tell(Happening::ReadSent(known));
        unknown
    }

    /// The call for the state is sent to a writer.
    pub fn write_sent(&self) {
        self.tell(Happening::WriteSent);
    }

    /// The attempt that was out has ended with no stream.
    pub fn attempt_ended(&self, outcome: Outcome) {
        self.tell(Happening::Ended(match outcome {
            Outcome::Read => AttemptEnd::Read,
            Outcome::Full | Outcome::Unreachable | Outcome::Moot => AttemptEnd::NothingLeft,
            Outcome::NoState => AttemptEnd::NoState,
            Outcome::Served | Outcome::Error => AttemptEnd::Done,
            Outcome::TimedOut | Outcome::Broken | Outcome::Spoilt | Outcome::Cancelled => AttemptEnd::Unknown,
        }));
    }

    /// The stream has begun.
    pub fn stream_started(&self) {
        self.tell(Happening::StreamBegan);
    }

    /// Nothing of what is held is of use any more.
    pub fn request_release(&self, reason: ReleaseReason) {
        self.tell(Happening::Release(reason));
    }

    /// The request is over: waits until nothing is held and nothing can come to be held.
    pub async fn finish(mut self) {
        self.request_release(ReleaseReason::RequestOver);
        if let Some((happenings, task)) = self.task.take() {
            drop(happenings);
            let _ = task.await;
        }
    }
}

/// The task of a [`LeaseKeeper`].
struct Keeper {
    upstream: Rc<Upstream>,
    id: Rc<str>,
    lease: Lease,
    start: Instant,
    reason: ReleaseReason,
    waiting: Vec<oneshot::Sender<()>>,
    /// Of the read that is out.
    reading: Option<oneshot::Receiver<()>>,
    /// Of reads that ended without a word: each ends when its connection has.
    silent: JoinSet<()>,
}

impl Keeper {
    fn now(&self) -> Micros {
        micros(self.start, Instant::now())
    }

    async fn run(mut self, mut inbox: mpsc::UnboundedReceiver<Happening>) {
        let mut over = false;
        loop {
            if self.lease.release_requested_at().is_none() {
                for settled in self.waiting.drain(..) {
                    let _ = settled.send(());
                }
            }
            if over && self.lease.is_settled() {
                return;
            }
            let due = self.lease.next_release_at();
            if due.is_some_and(|at| at <= self.now()) {
                self.release(&mut inbox, &mut over).await;
                continue;
            }
            let due_at = self.start + to_duration(due.unwrap_or_default());
            tokio::select! {
                biased;
                happening = inbox.recv(), if !over => match happening {
                    Some(happening) => self.take(happening),
                    None => over = true,
                },
                Some(_) = self.silent.join_next() => self.silence_ended(),
                () = sleep_until(due_at), if due.is_some() => {}
            }
        }
    }

    /// Releases until a server confirms it; takes in meanwhile what happens. What has to be released since then is begun anew, as a
    /// call that was sent before does not count for it.
    async fn release(&mut self, inbox: &mut mpsc::UnboundedReceiver<Happening>, over: &mut bool) {
        let reason = std::mem::replace(&mut self.reason, ReleaseReason::Unanswered);
        let mut released = std::pin::pin!(release(self.upstream.clone(), self.id.clone(), reason));
        let wanted = self.lease.release_requested_at();
        let sent = loop {
            tokio::select! {
                biased;
                sent = &mut released => break sent,
                happening = inbox.recv(), if !*over => match happening {
                    Some(happening) => self.take(happening),
                    None => *over = true,
                },
                Some(_) = self.silent.join_next() => self.silence_ended(),
            }
            if self.lease.release_requested_at() > wanted {
                return;
            }
        };
        match sent {
            Some(sent) => self.lease.release_confirmed(micros(self.start, sent)),
            None => self.lease.abandon(),
        }
    }

    fn silence_ended(&mut self) {
        tracing::debug!(request = %self.id, "state: a silent connection has ended");
        self.lease.silent_connection_closed(self.now());
    }

    fn take(&mut self, happening: Happening) {
        let (now, id) = (self.now(), &self.id);
        match happening {
            Happening::ReadSent(known) => {
                self.reading = Some(known);
                self.lease.read_sent();
            }
            Happening::WriteSent => self.lease.write_sent(),
            Happening::Ended(end) => {
                tracing::debug!(request = %id, ?end, "state: an attempt ended");
                self.lease.attempt_ended(now, end);
                let known = self.reading.take();
                if end == AttemptEnd::Unknown {
                    self.reason = ReleaseReason::NoAnswer;
                    if let Some(known) = known {
                        self.lease.connection_fell_silent();
                        self.silent.spawn_local(async move { drop(timeout(SILENT_MOST, known).await) });
                    }
                }
            }
            Happening::StreamBegan => {
                tracing::debug!(request = %id, "state: taken");
                self.lease.stream_started();
            }
            Happening::Release(reason) => {
                self.lease.request_release(now);
                self.reason = reason;
            }
            Happening::Settle(settled) => self.waiting.push(settled),
        }
    }
}

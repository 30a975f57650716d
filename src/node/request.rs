//! The life of one request, from intake to its one final answer.

use std::cell::RefCell;
use std::future::poll_fn;
use std::rc::Rc;
use std::task::Poll;
use std::time::Duration;

use tokio::sync::{mpsc, oneshot};
use tokio::time::{Instant, sleep_until};

use super::counters::{Counters, add};
use super::planner::{End, Order, RequestHandle};
use super::policy_gate::{TurnedAway, time_left};
use super::{Core, span};
use crate::api::{AttemptId, HostId, Load, Micros, NewRequest, Outcome};
use crate::control::state::Revision;
use crate::node::upstream::attempt::{InitialResult, Payload};
use crate::node::upstream::events::{AnswerHead, StreamChunk, StreamError};
use crate::node::upstream::lease_keeper::LeaseKeeper;
use crate::node::upstream::pool::CloseGuard;
use crate::node::upstream::relay::{self, RelayEnd};
use crate::node::upstream::release::ReleaseReason;

/// Past the deadline, after which a request without a decision is answered as failed. The rules allow more.
const OVERDUE: Duration = Duration::from_millis(15);

/// A request's answer, for a front to put into its own words.
pub enum Answer {
    /// A stream or a whole answer of one instance.
    Events {
        /// What the instance said that it is.
        form: AnswerHead,
        /// Its bytes as they come.
        pieces: mpsc::Receiver<StreamChunk>,
    },
    /// Refused: trying again is harmless.
    Refused {
        /// When to come back.
        come_back: Option<Micros>,
    },
    /// Failed.
    Failed,
}

impl Answer {
    fn name(&self) -> &'static str {
        match self {
            Answer::Events { .. } => "served",
            Answer::Refused { .. } => "refused",
            Answer::Failed => "failed",
        }
    }
}

/// An answer, and the revision of the policy by which it was decided where conductors have one.
pub struct Given {
    /// The answer.
    pub answer: Answer,
    /// The revision.
    pub revision: Option<Revision>,
}

/// The way back to the client, until it has its answer.
type Way = Rc<RefCell<Option<oneshot::Sender<Given>>>>;

/// Whether a request's client still waits for its answer: looked at directly before anything is sent for it.
#[derive(Clone)]
pub struct Wanted(Way);

impl Wanted {
    /// Whether it does.
    pub fn holds(&self) -> bool {
        self.0.borrow().as_ref().is_some_and(|way| !way.is_closed())
    }
}

/// The way back to the client. It shows when the client leaves.
pub struct Caller {
    way: Way,
    id: Rc<str>,
    revision: Option<Revision>,
}

impl Caller {
    /// The caller of the request with this id, and where its front waits for the answer.
    pub fn new(id: Rc<str>) -> (Self, oneshot::Receiver<Given>) {
        let (sender, receiver) = oneshot::channel();
        let way = Rc::new(RefCell::new(Some(sender)));
        (Caller { way, id, revision: None }, receiver)
    }

    /// Whether the client still waits, for those who send for it.
    pub fn wanted(&self) -> Wanted {
        Wanted(self.way.clone())
    }

    /// Waits until the client leaves; never ends once it has its answer.
    async fn left(&mut self) {
        let way = &self.way;
        poll_fn(|cx| match &mut *way.borrow_mut() {
            Some(sender) => sender.poll_closed(cx),
            None => Poll::Pending,
        })
        .await;
    }

    /// Gives a final answer of the conductor's own, and counts what became of the request.
    fn finish(&mut self, answer: Answer, counters: &Counters) {
        let told =
            if matches!(answer, Answer::Refused { .. }) { &counters.refused } else { &counters.failed };
        add(if self.answer(answer) { told } else { &counters.left });
    }

    /// Gives the final answer, once; false when the client has left.
    fn answer(&mut self, answer: Answer) -> bool {
        let Some(way) = self.way.borrow_mut().take() else { return false };
        tracing::debug!(request = %self.id, answer = answer.name(), "request: answered");
        if let Some(revision) = self.revision {
            tracing::info!("request {}: {} under revision {revision}", self.id, answer.name());
        }
        way.send(Given { answer, revision: self.revision }).is_ok()
    }
}

/// What a request's task wakes up for.
enum Next {
    Order(Order),
    ClientLeft,
    Overdue,
}

async fn next(handle: &mut RequestHandle, caller: &mut Caller, overdue: Instant, over: bool) -> Next {
    tokio::select! {
        biased;
        order = handle.next() => Next::Order(order),
        () = caller.left(), if !over => Next::ClientLeft,
        () = sleep_until(overdue), if !over => Next::Overdue,
    }
}

/// Tells the log of one attempt's beginning and end.
struct AttemptTrace<'a> {
    core: &'a Core,
    request: Rc<str>,
    number: AttemptId,
    instance: Rc<str>,
    begun: Instant,
    /// Its stream has begun.
    answered: bool,
}

impl<'a> AttemptTrace<'a> {
    fn begun(core: &'a Core, request: &Rc<str>, number: AttemptId, host: HostId, until: Instant) -> Self {
        let (request, instance, begun) =
            (request.clone(), core.upstream.pool().instance_name(host), Instant::now());
        let time_out_ms = until.saturating_duration_since(begun).as_millis() as u64;
        let reads = core.upstream.is_reader(host);
        tracing::debug!(%request, attempt = number.0, %instance, reads, time_out_ms, "attempt: begun");
        AttemptTrace { core, request, number, instance, begun, answered: false }
    }

    fn ended(&self, outcome: Outcome) {
        let AttemptTrace { core, request, number, instance, begun, .. } = self;
        let (attempt, took_ms) = (number.0, begun.elapsed().as_millis() as u64);
        tracing::debug!(%request, attempt, %instance, ?outcome, took_ms, "attempt: ended");
        let unanswered = !self.answered && matches!(outcome, Outcome::TimedOut | Outcome::Broken);
        if let Some(left_out) = unanswered.then(|| core.upstream.sample_unanswered()).flatten() {
            tracing::info!(%request, attempt, %instance, ?outcome, took_ms, left_out, "attempt: no answer");
        }
    }
}

/// Lives one request through. The planner decides at each point of choice; exactly one final answer goes to the
/// caller, and nothing stays held or sent when this ends. `permit` is what the payload takes up, given back with it.
pub async fn live<R>(core: Core, mut ask: NewRequest, (payload, permit): (Payload, R), mut caller: Caller) {
    // 0. At the gate: which policy decides it to its end, or that this process takes nothing in.
    let arrived = Instant::now();
    let passed = tokio::select! {
        biased;
        passed = core.policy_gate.pass(&core.planner) => passed,
        () = caller.left() => return add(&core.counters.left),
    };
    match passed {
        Ok(Some(active)) => {
            caller.revision = Some(active.revision);
            ask.time_left = time_left(&ask, &active) - arrived.elapsed().as_micros() as Micros;
        }
        Ok(None) => {}
        Err(TurnedAway(come_back)) => {
            return caller.finish(Answer::Refused { come_back: Some(come_back) }, &core.counters);
        }
    }
    let mut lease = LeaseKeeper::new(core.upstream.clone(), payload.id.clone());
    attempts(&core, ask, (payload, permit), caller, &mut lease).await;
    // Guards against anything left held, whatever the order in which client and planner ended the request.
    lease.finish().await;
}

/// Makes the attempts that the planner orders, up to the final answer and the end of its stream.
async fn attempts<R>(
    core: &Core, ask: NewRequest, (payload, permit): (Payload, R), mut caller: Caller,
    lease: &mut LeaseKeeper,
) {
    let deadline = Instant::now() + span(ask.time_left);
    let overdue = deadline + OVERDUE;
    let counters = core.counters.clone();
    let whole = ask.is_unary;
    let mut handle = core.planner.arrive(ask);
    tracing::debug!(request = %payload.id, number = handle.number(), "request: taken");
    let mut sent = 0;
    // The client needs no answer any more; the planner has been told so.
    let mut over = false;
    add(&counters.taken);

    loop {
        // 1. Held: the planner says when to go where, or that it gives up.
        let (host, time_out) = match next(&mut handle, &mut caller, overdue, over).await {
            Next::Order(Order::Send(host, time_out)) => (host, time_out),
            Next::Order(Order::Refuse(come_back)) => {
                if !over {
                    caller.finish(Answer::Refused { come_back }, &counters);
                }
                break;
            }
            Next::Order(Order::Fail) => {
                if !over {
                    caller.finish(Answer::Failed, &counters);
                }
                break;
            }
            Next::Order(Order::Release) => {
                lease.request_release(ReleaseReason::Ordered);
                continue;
            }
            Next::Order(Order::Parted) => break,
            Next::Order(Order::Cancel(_) | Order::Move) => continue,
            Next::ClientLeft => {
                add(&counters.left);
                (over, _) = (true, handle.left());
                continue;
            }
            Next::Overdue => {
                tracing::error!("request {}: no decision by its deadline", payload.id);
                add(&counters.overdue);
                // What was never sent on may be asked again: this process did not run for a while, as a rule.
                caller.answer(if sent == 0 { Answer::Refused { come_back: None } } else { Answer::Failed });
                (over, _) = (true, handle.left());
                continue;
            }
        };
        let attempt = AttemptId(sent);
        sent += 1;
        let begun = Instant::now();
        let ended = |outcome, last, kept, load| {
            core.counters.attempt_ended(outcome);
            let took = begun.elapsed().as_micros() as Micros;
            (outcome, last, End { kept, took, load })
        };
        if over {
            let (outcome, last, end) = ended(Outcome::Moot, true, 0.0, None);
            handle.ended(attempt, host, outcome, last, end);
            continue;
        }

        // 2. The attempt, until it ends, is withdrawn, or its stream begins.
        let reader = core.upstream.is_reader(host);
        if reader {
            tokio::select! {
                biased;
                // Told below, by the look before the first byte.
                () = caller.left() => {}
                () = lease.prepare_read() => {}
            }
        }
        let until = (begun + span(time_out)).min(deadline);
        let witness = if reader { Some(lease.read_sent()) } else { None };
        if !reader {
            lease.write_sent();
        }
        let mut trace = AttemptTrace::begun(core, &payload.id, attempt, host, until);
        let (first, load) = attempt_at(
            core,
            (host, attempt, until, witness),
            &payload,
            &mut handle,
            &mut caller,
            &mut over,
            overdue,
        )
        .await;
        let mut events = match first {
            InitialResult::Streaming(events) => events,
            InitialResult::PromptRead(kept) => {
                trace.ended(Outcome::Read);
                lease.attempt_ended(Outcome::Read);
                let (outcome, last, end) = ended(Outcome::Read, over, kept, load);
                handle.ended(attempt, host, outcome, last, end);
                if over { break } else { continue }
            }
            InitialResult::Ended(outcome) => {
                trace.ended(outcome);
                lease.attempt_ended(outcome);
                let (outcome, last, end) = ended(outcome, over, 0.0, load);
                handle.ended(attempt, host, outcome, last, end);
                if over { break } else { continue }
            }
        };

        // 3. The stream: it is this client's from its first event on, and no deadline runs any more. It is never sent
        // again, so the payload, far larger than the events that wait, goes now.
        drop((payload, permit));
        lease.stream_started();
        trace.answered = true;
        if !whole {
            // A whole answer tells nothing of the time to a first token.
            handle.began(attempt, host, begun.elapsed().as_micros() as Micros);
        }
        let (pieces, receiver) = mpsc::channel(relay::MAX_WAITING_CHUNKS);
        let form = events.head().clone();
        let passed = if over || !caller.answer(Answer::Events { form, pieces: receiver }) {
            RelayEnd::ClientLeft
        } else {
            tokio::select! {
                passed = relay::forward_events(&mut events, &pieces) => passed,
                () = moved(&mut handle) => {
                    // The client comes again for the rest.
                    let _ = pieces.try_send(Err(StreamError::Cut));
                    RelayEnd::Broken(StreamError::Cut)
                }
            }
        };
        drop((events, pieces));
        let outcome = match passed {
            RelayEnd::Complete => (add(&counters.served), Outcome::Served).1,
            RelayEnd::Broken(StreamError::Cut) => (add(&counters.broken), Outcome::Broken).1,
            RelayEnd::Broken(StreamError::Malformed) => (add(&counters.broken), Outcome::Spoilt).1,
            RelayEnd::ErrorEvent => (add(&counters.failed), Outcome::Error).1,
            RelayEnd::ClientLeft => {
                if !over {
                    add(&counters.left);
                    handle.left();
                }
                Outcome::Cancelled
            }
        };
        trace.ended(outcome);
        let (outcome, last, end) = ended(outcome, true, 0.0, None);
        handle.ended(attempt, host, outcome, last, end);
        break;
    }
}

/// One attempt up to its first event. A client that leaves is told to the planner, which withdraws the attempt.
async fn attempt_at(
    core: &Core, (host, attempt, until, witness): (HostId, AttemptId, Instant, Option<CloseGuard>),
    payload: &Payload, handle: &mut RequestHandle, caller: &mut Caller, over: &mut bool, overdue: Instant,
) -> (InitialResult, Option<Load>) {
    let withdrawn = (InitialResult::Ended(Outcome::Cancelled), None);
    let first = core.upstream.start_attempt(host, payload, until, (caller.wanted(), witness));
    tokio::pin!(first);
    loop {
        tokio::select! {
            // What has come is taken before an end that came in the same moment is judged.
            biased;
            done = &mut first => return done,
            next = next(handle, caller, overdue, *over) => match next {
                Next::Order(Order::Cancel(which)) if which == attempt => return withdrawn,
                // The planner has ended it while an attempt is out: answer, and give the attempt up.
                Next::Order(Order::Refuse(come_back)) => {
                    if !*over {
                        caller.finish(Answer::Refused { come_back }, &core.counters);
                    }
                    *over = true;
                    return withdrawn;
                }
                Next::Order(Order::Fail) => {
                    if !*over {
                        caller.finish(Answer::Failed, &core.counters);
                    }
                    *over = true;
                    return withdrawn;
                }
                Next::Order(_) => {}
                Next::ClientLeft => {
                    add(&core.counters.left);
                    *over = true;
                    handle.left();
                }
                Next::Overdue => {
                    add(&core.counters.overdue);
                    caller.answer(Answer::Failed);
                    *over = true;
                    handle.left();
                }
            },
        }
    }
}

/// Waits for an order to move the stream.
async fn moved(handle: &mut RequestHandle) {
    loop {
        match handle.next().await {
            Order::Move => return,
            // The planner's end is the process's end; the stream goes on until then.
            Order::Fail => std::future::pending().await,
            _ => {}
        }
    }
}

//! The task of one request, from its admission to its one final answer. It carries out the planner's commands: it sends and
//! cancels attempts, passes the stream on to the client and releases cached state.

use std::cell::RefCell;
use std::future::poll_fn;
use std::rc::Rc;
use std::task::Poll;
use std::time::Duration;

use tokio::sync::oneshot;
use tokio::time::{Instant, sleep_until};

use super::answer_stream::{StreamReceiver, answer_stream};
use super::counters::{Counters, add};
use super::planner::{AttemptReport, RequestCommand, RequestHandle};
use super::policy_gate::{GateRejection, policy_time_limit};
use super::{Core, to_duration};
use crate::api::{AttemptId, HostId, Load, Micros, NewRequest, Outcome};
use crate::control::state::Revision;
use crate::node::front::intake::connection::ConnectionState;
use crate::node::upstream::answer_framing::FramingProgress;
use crate::node::upstream::attempt::{InitialResult, Payload, Upstream};
use crate::node::upstream::events::{AnswerHead, StreamError, StreamProgress};
use crate::node::upstream::lease_keeper::LeaseKeeper;
use crate::node::upstream::pool::CloseGuard;
use crate::node::upstream::relay::{self, RelayEnd};
use crate::node::upstream::release::ReleaseReason;

/// Time past the deadline after which a request without a decision gets its final answer here. The answer slack that the rules
/// allow is longer.
const OVERDUE_MARGIN: Duration = Duration::from_millis(15);

/// A request's answer, which a front puts into its own protocol.
pub enum Answer {
    /// A stream, or an answer in one piece, of one instance.
    Events {
        /// The form of the answer, as the instance declared it.
        form: AnswerHead,
        /// The bytes of the answer as they arrive, and how they end.
        stream: StreamReceiver,
    },
    /// The request was rejected, and a retry is safe.
    Refused {
        /// Time after which the client should retry.
        retry_after: Option<Micros>,
    },
    /// The request failed and may have run.
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

/// A final answer and the policy revision under which it was decided.
pub struct FinalAnswer {
    /// The answer.
    pub answer: Answer,
    /// The revision; `None` where the conductor uses its configuration alone.
    pub revision: Option<Revision>,
}

/// How far a request came, for its front.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum RequestEnd {
    /// Nothing was sent for it.
    NeverSent,
    /// Attempts were sent that are known not to have begun its answer.
    NotRun,
    /// An instance may have begun the answer: the request may have had an effect.
    MayHaveRun,
}

impl RequestEnd {
    /// How far an attempt brings the request, by its outcome. A reader begins no answer.
    fn after(outcome: Outcome, is_reader: bool) -> Self {
        match outcome {
            Outcome::Moot => RequestEnd::NeverSent,
            Outcome::Full | Outcome::Unreachable | Outcome::NoState => RequestEnd::NotRun,
            _ if is_reader => RequestEnd::NotRun,
            _ => RequestEnd::MayHaveRun,
        }
    }
}

/// The channel for the final answer; `None` once the answer is given.
type AnswerSender = Rc<RefCell<Option<oneshot::Sender<FinalAnswer>>>>;

/// Tells whether a request's client still waits for its answer. It is checked immediately before anything is sent for the
/// request.
#[derive(Clone)]
pub struct ClientPresence {
    answer_sender: AnswerSender,
    connection: Option<Rc<ConnectionState>>,
}

impl ClientPresence {
    /// Returns whether the client still waits for its answer. The client's connection itself is looked at, as the front may
    /// learn of a close only later.
    pub fn is_waiting(&self) -> bool {
        let is_wanted = self.answer_sender.borrow().as_ref().is_some_and(|sender| !sender.is_closed());
        is_wanted && self.connection.as_ref().is_none_or(|connection| connection.is_client_waiting())
    }
}

/// Gives a request its final answer, and detects that its client has left.
pub struct Responder {
    answer_sender: AnswerSender,
    connection: Option<Rc<ConnectionState>>,
    id: Rc<str>,
    revision: Option<Revision>,
}

impl Responder {
    /// Returns the responder of the request with this id, and the receiver on which its front waits for the answer.
    pub fn new(id: Rc<str>) -> (Self, oneshot::Receiver<FinalAnswer>) {
        let (sender, receiver) = oneshot::channel();
        let answer_sender = Rc::new(RefCell::new(Some(sender)));
        (Responder { answer_sender, connection: None, id, revision: None }, receiver)
    }

    /// Names the connection on which the client waits.
    pub fn on_connection(self, connection: Option<Rc<ConnectionState>>) -> Self {
        Responder { connection, ..self }
    }

    /// Returns a check of whether the client still waits, for the code that sends attempts.
    pub fn client_presence(&self) -> ClientPresence {
        ClientPresence { answer_sender: self.answer_sender.clone(), connection: self.connection.clone() }
    }

    /// Waits until the client leaves. Never completes once the answer is given.
    async fn client_left(&mut self) {
        let answer_sender = &self.answer_sender;
        poll_fn(|cx| match &mut *answer_sender.borrow_mut() {
            Some(sender) => sender.poll_closed(cx),
            None => Poll::Pending,
        })
        .await;
    }

    /// Gives a final answer that comes from the conductor and not from an instance, and counts how the request ended.
    fn finish(&mut self, answer: Answer, counters: &Counters) {
        let answer_counter =
            if matches!(answer, Answer::Refused { .. }) { &counters.refused } else { &counters.failed };
        add(if self.answer(answer) { answer_counter } else { &counters.left });
    }

    /// Gives the final answer unless one was given before. Returns whether the client was there to receive it.
    fn answer(&mut self, answer: Answer) -> bool {
        let Some(sender) = self.answer_sender.borrow_mut().take() else { return false };
        tracing::debug!(request = %self.id, answer = answer.name(), "request: answered");
        if let Some(revision) = self.revision {
            tracing::info!("request {}: {} under revision {revision}", self.id, answer.name());
        }
        sender.send(FinalAnswer { answer, revision: self.revision }).is_ok()
    }
}

/// Something that a request's task waits for.
enum Wakeup {
    Command(RequestCommand),
    ClientLeft,
    Overdue,
}

/// Waits for the next event of a request. Once its answer is settled, only commands of the planner count.
async fn next_wakeup(
    handle: &mut RequestHandle, responder: &mut Responder, overdue_at: Instant, is_settled: bool,
) -> Wakeup {
    tokio::select! {
        biased;
        command = handle.next_command() => Wakeup::Command(command),
        () = responder.client_left(), if !is_settled => Wakeup::ClientLeft,
        () = sleep_until(overdue_at), if !is_settled => Wakeup::Overdue,
    }
}

/// Why a running stream ended before it was complete.
#[derive(Clone, Copy)]
enum EarlyEnd {
    Broken(StreamError),
    ClientLeft,
}

impl EarlyEnd {
    /// Decides whether such an end is logged now. If so, returns how many were left out of the log before.
    fn sample(self, upstream: &Upstream) -> Option<u64> {
        match self {
            EarlyEnd::Broken(_) => upstream.sample_broken_stream(),
            EarlyEnd::ClientLeft => upstream.sample_left_stream(),
        }
    }
}

/// Logs the start and the end of one attempt.
struct AttemptTrace<'a> {
    core: &'a Core,
    request: Rc<str>,
    number: AttemptId,
    instance: Rc<str>,
    started_at: Instant,
    /// The stream of the answer has begun.
    is_answered: bool,
}

impl<'a> AttemptTrace<'a> {
    fn start(
        core: &'a Core, request: &Rc<str>, number: AttemptId, host: HostId, attempt_deadline: Instant,
    ) -> Self {
        let (request, instance, started_at) =
            (request.clone(), core.upstream.pool().instance_name(host), Instant::now());
        let time_out_ms = attempt_deadline.saturating_duration_since(started_at).as_millis() as u64;
        let reads = core.upstream.is_reader(host);
        tracing::debug!(%request, attempt = number.0, %instance, reads, time_out_ms, "attempt: begun");
        AttemptTrace { core, request, number, instance, started_at, is_answered: false }
    }

    fn end(&self, outcome: Outcome) {
        let AttemptTrace { core, request, number, instance, started_at, .. } = self;
        let (attempt, took_ms) = (number.0, started_at.elapsed().as_millis() as u64);
        tracing::debug!(%request, attempt, %instance, ?outcome, took_ms, "attempt: ended");
        let is_unanswered =
            !self.is_answered && matches!(outcome, Outcome::TimedOut | Outcome::Broken | Outcome::Spoilt);
        if let Some(left_out) = is_unanswered.then(|| core.upstream.sample_unanswered()).flatten() {
            tracing::info!(%request, attempt, %instance, ?outcome, took_ms, left_out, "attempt: no answer");
        }
    }
}

impl AttemptTrace<'_> {
    /// Logs how far a running stream had come as it broke, or as its client left, and when its last event and its last bytes
    /// arrived.
    fn stream_ended_early(&self, end: EarlyEnd, progress: StreamProgress) {
        let Some(left_out) = end.sample(&self.core.upstream) else { return };
        let AttemptTrace { request, number, instance, .. } = self;
        let (attempt, events) = (number.0, progress.events);
        let since_event_ms = progress.last_event_at.elapsed().as_millis() as u64;
        let since_bytes_ms = progress.last_bytes_at.elapsed().as_millis() as u64;
        let FramingProgress { chunk_stated, chunk_received, fault } = progress.framing;
        let framing = fault.as_ref().map(tracing::field::display);
        match end {
            EarlyEnd::Broken(error) => tracing::warn!(
                %request, attempt, %instance, %error, framing, events, since_event_ms, since_bytes_ms, chunk_stated,
                chunk_received, left_out, "stream: broken"
            ),
            EarlyEnd::ClientLeft => tracing::info!(
                %request, attempt, %instance, framing, events, since_event_ms, since_bytes_ms, chunk_stated,
                chunk_received, left_out, "stream: its client left"
            ),
        }
    }
}

/// Handles one request from its admission to its end. The planner makes each decision. The client gets exactly one final answer,
/// and when this returns no attempt is in flight and no server holds state for the request. `permit` stands for the memory of the
/// payload and is dropped together with it.
pub async fn handle_request<R>(
    core: Core, mut request: NewRequest, (payload, permit): (Payload, R), mut responder: Responder,
) -> RequestEnd {
    // 0. Admission: the policy gate tells which policy applies to the request until its end, or rejects it.
    let arrived_at = Instant::now();
    let admission = tokio::select! {
        biased;
        admission = core.policy_gate.admit(&core.planner) => admission,
        () = responder.client_left() => {
            add(&core.counters.left);
            return RequestEnd::NeverSent;
        }
    };
    match admission {
        Ok(Some(active)) => {
            responder.revision = Some(active.revision);
            request.time_left =
                policy_time_limit(&request, &active) - arrived_at.elapsed().as_micros() as Micros;
        }
        Ok(None) => {}
        Err(GateRejection(retry_after)) => {
            responder.finish(Answer::Refused { retry_after: Some(retry_after) }, &core.counters);
            return RequestEnd::NeverSent;
        }
    }
    let mut lease = LeaseKeeper::new(core.upstream.clone(), payload.id.clone());
    let end = run_attempts(&core, request, (payload, permit), responder, &mut lease).await;
    // Releases whatever a server may still hold, in whichever order the client and the planner ended the request.
    lease.finish().await;
    end
}

/// Makes the attempts that the planner asks for, until the final answer is given and its stream has ended.
async fn run_attempts<R>(
    core: &Core, request: NewRequest, (payload, permit): (Payload, R), mut responder: Responder,
    lease: &mut LeaseKeeper,
) -> RequestEnd {
    let deadline = Instant::now() + to_duration(request.time_left);
    let overdue_at = deadline + OVERDUE_MARGIN;
    let counters = core.counters.clone();
    let is_unary = request.is_unary;
    let mut handle = core.planner.submit(request);
    tracing::debug!(request = %payload.id, number = handle.number(), "request: taken");
    let mut attempts_sent = 0;
    // The client needs no further answer, and the planner knows that.
    let mut is_settled = false;
    let mut end = RequestEnd::NeverSent;
    add(&counters.taken);

    loop {
        // 1. Queued: wait until the planner names a host or gives the request up.
        let (host, timeout) = match next_wakeup(&mut handle, &mut responder, overdue_at, is_settled).await {
            Wakeup::Command(RequestCommand::Send(host, timeout)) => (host, timeout),
            Wakeup::Command(RequestCommand::Refuse(retry_after)) => {
                if !is_settled {
                    responder.finish(Answer::Refused { retry_after }, &counters);
                }
                break;
            }
            Wakeup::Command(RequestCommand::Fail) => {
                if !is_settled {
                    responder.finish(Answer::Failed, &counters);
                }
                break;
            }
            Wakeup::Command(RequestCommand::Release) => {
                lease.request_release(ReleaseReason::Ordered);
                continue;
            }
            Wakeup::Command(RequestCommand::ConfirmClientLeft) => break,
            Wakeup::Command(RequestCommand::Cancel(_) | RequestCommand::MoveStream) => continue,
            Wakeup::ClientLeft => {
                add(&counters.left);
                (is_settled, _) = (true, handle.client_left());
                continue;
            }
            Wakeup::Overdue => {
                tracing::error!("request {}: no decision by its deadline", payload.id);
                add(&counters.overdue);
                // A request that was never sent is safe to retry. The usual cause is that this process was suspended.
                responder.answer(if attempts_sent == 0 {
                    Answer::Refused { retry_after: None }
                } else {
                    Answer::Failed
                });
                (is_settled, _) = (true, handle.client_left());
                continue;
            }
        };
        let attempt = AttemptId(attempts_sent);
        attempts_sent += 1;
        let started_at = Instant::now();
        let count_end = |outcome, is_final, cached_tokens, load| {
            core.counters.count_attempt_end(outcome);
            let elapsed = started_at.elapsed().as_micros() as Micros;
            (outcome, is_final, AttemptReport { cached_tokens, elapsed, load })
        };
        if is_settled {
            let (outcome, is_final, report) = count_end(Outcome::Moot, true, 0.0, None);
            handle.attempt_ended(attempt, host, outcome, is_final, report);
            continue;
        }

        // 2. The attempt, until it ends, is cancelled, or its stream begins.
        let is_reader = core.upstream.is_reader(host);
        if is_reader {
            tokio::select! {
                biased;
                // The check before the first byte stops the attempt, and the departure is handled below.
                () = responder.client_left() => {}
                () = lease.prepare_read() => {}
                // The attempt does not begin after its time, and the planner gives the final answer.
                () = sleep_until(overdue_at) => {}
            }
        }
        let attempt_deadline = (started_at + to_duration(timeout)).min(deadline);
        let close_guard = if is_reader { Some(lease.read_sent()) } else { None };
        if !is_reader {
            lease.write_sent();
        }
        let mut trace = AttemptTrace::start(core, &payload.id, attempt, host, attempt_deadline);
        let (first, load) = run_attempt(
            core,
            (host, attempt, attempt_deadline, close_guard),
            &payload,
            &mut handle,
            &mut responder,
            &mut is_settled,
            overdue_at,
        )
        .await;
        let mut events = match first {
            InitialResult::Streaming(events) => events,
            InitialResult::PromptRead(cached_tokens) => {
                end = end.max(RequestEnd::NotRun);
                trace.end(Outcome::Read);
                lease.attempt_ended(Outcome::Read);
                let (outcome, is_final, report) = count_end(Outcome::Read, is_settled, cached_tokens, load);
                handle.attempt_ended(attempt, host, outcome, is_final, report);
                if is_settled { break } else { continue }
            }
            InitialResult::Ended(outcome) => {
                end = end.max(RequestEnd::after(outcome, is_reader));
                trace.end(outcome);
                lease.attempt_ended(outcome);
                let (outcome, is_final, report) = count_end(outcome, is_settled, 0.0, load);
                handle.attempt_ended(attempt, host, outcome, is_final, report);
                if is_settled { break } else { continue }
            }
        };

        // 3. The stream. From its first event on it belongs to the client: no deadline applies and the request is never sent
        // again. The payload is dropped here because it is far larger than the buffered events.
        drop((payload, permit));
        end = RequestEnd::MayHaveRun;
        lease.stream_started();
        trace.is_answered = true;
        if !is_unary {
            // An answer in one piece does not show the time to first token.
            handle.first_token(attempt, host, started_at.elapsed().as_micros() as Micros);
        }
        events.bound_final_answer(deadline, is_unary);
        let (client, stream) = answer_stream(relay::MAX_WAITING_CHUNKS);
        let form = events.head().clone();
        let relay_end = if is_settled || !responder.answer(Answer::Events { form, stream }) {
            RelayEnd::ClientLeft
        } else {
            tokio::select! {
                relay_end = relay::forward_events(&mut events, &client) => relay_end,
                () = move_requested(&mut handle) => {
                    let waiting_chunks = client.waiting_chunks();
                    tracing::debug!(request = %trace.request, waiting_chunks, "stream: moved");
                    RelayEnd::Moved
                }
            }
        };
        match relay_end {
            RelayEnd::Broken(error) => trace.stream_ended_early(EarlyEnd::Broken(error), events.progress()),
            RelayEnd::ClientLeft => trace.stream_ended_early(EarlyEnd::ClientLeft, events.progress()),
            RelayEnd::Complete | RelayEnd::ErrorEvent | RelayEnd::Moved => {}
        }
        drop(events);
        client.finish(relay_end.stream_end());
        tracing::debug!(request = %trace.request, end = ?relay_end, "stream: forwarding ended");
        let outcome = match relay_end {
            RelayEnd::Complete => (add(&counters.served), Outcome::Served).1,
            RelayEnd::Moved => {
                add(&counters.streams_moved);
                add(&counters.broken);
                Outcome::Broken
            }
            RelayEnd::Broken(error) => {
                counters.count_broken_stream(error);
                if error == StreamError::Malformed { Outcome::Spoilt } else { Outcome::Broken }
            }
            RelayEnd::ErrorEvent => (add(&counters.failed), Outcome::Error).1,
            RelayEnd::ClientLeft => {
                if !is_settled {
                    add(&counters.left);
                    handle.client_left();
                }
                Outcome::Cancelled
            }
        };
        trace.end(outcome);
        let (outcome, is_final, report) = count_end(outcome, true, 0.0, None);
        handle.attempt_ended(attempt, host, outcome, is_final, report);
        break;
    }
    end
}

/// Runs one attempt until its stream begins or it ends. If the client leaves, the planner is notified and cancels the attempt.
async fn run_attempt(
    core: &Core,
    (host, attempt, attempt_deadline, close_guard): (HostId, AttemptId, Instant, Option<CloseGuard>),
    payload: &Payload, handle: &mut RequestHandle, responder: &mut Responder, is_settled: &mut bool,
    overdue_at: Instant,
) -> (InitialResult, Option<Load>) {
    let cancelled = (InitialResult::Ended(Outcome::Cancelled), None);
    let first = core.upstream.start_attempt(
        host,
        payload,
        attempt_deadline,
        (responder.client_presence(), close_guard),
    );
    tokio::pin!(first);
    loop {
        tokio::select! {
            // An answer that has arrived takes precedence over a cancellation or a timeout at the same moment.
            biased;
            result = &mut first => return result,
            wakeup = next_wakeup(handle, responder, overdue_at, *is_settled) => match wakeup {
                Wakeup::Command(RequestCommand::Cancel(number)) if number == attempt => return cancelled,
                // The planner has ended the request while an attempt is in flight: give the answer and cancel the attempt.
                Wakeup::Command(RequestCommand::Refuse(retry_after)) => {
                    if !*is_settled {
                        responder.finish(Answer::Refused { retry_after }, &core.counters);
                    }
                    *is_settled = true;
                    return cancelled;
                }
                Wakeup::Command(RequestCommand::Fail) => {
                    if !*is_settled {
                        responder.finish(Answer::Failed, &core.counters);
                    }
                    *is_settled = true;
                    return cancelled;
                }
                Wakeup::Command(_) => {}
                Wakeup::ClientLeft => {
                    add(&core.counters.left);
                    *is_settled = true;
                    handle.client_left();
                }
                Wakeup::Overdue => {
                    add(&core.counters.overdue);
                    responder.answer(Answer::Failed);
                    *is_settled = true;
                    handle.client_left();
                }
            },
        }
    }
}

/// Waits until the planner asks for the stream to be moved.
async fn move_requested(handle: &mut RequestHandle) {
    loop {
        match handle.next_command().await {
            RequestCommand::MoveStream => return,
            // The planner ends only with the process; the stream continues until then.
            RequestCommand::Fail => std::future::pending().await,
            _ => {}
        }
    }
}

//! Every decision of the router. The interface (settings, events, actions) is `src/api.rs`.
//!
//! The mechanism follows SABER's online phase. A new request enters the high tier, ordered by the time at
//! which its first token is due. At each event, and at each tick while requests wait, one of the first few
//! requests is drawn at random and tested: with one more stream, does the writer's speed curve still keep
//! the token pace of this request and of every stream there, does the writer have memory for it, and can the
//! first token come in time? If so, the prompt is sent to its reader, chosen by rendezvous hashing of its
//! prefix; otherwise it waits unread. A request that cannot start in time moves to the low tier, which is
//! sent untested while the high tier is empty. A request is given up as soon as the client's deadline is out
//! of reach. The test is repeated after the read. The curve is fitted online for each kind of host.

mod admission;
pub mod answer_timer;
mod attempts;
mod cold;
mod health;
pub mod lease;
mod pairing;
mod probes;
mod shutdown;

use std::cell::Cell;
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;

use crate::api::*;
use crate::estimate::{
    DecayingMean, FleetEstimates, HOST_HALF_LIFE_US, MIN_FLEET_GAIN, READ_OVERHEAD_TOKENS, Spending,
    rendezvous_score, unit_hash,
};

/// Time between admission passes while requests wait: short against every time-to-first-token target.
const TICK_INTERVAL_US: Micros = 5_000;
/// Most routers with which each polls all writers in turn; with more, each probes hosts per request.
const MAX_POLLING_ROUTERS: u32 = 8;
/// Most hosts probed for each step of a request.
const MAX_PROBES_PER_STEP: usize = 3;
/// Longest wait for a probe's reply: enough to make a few connections.
const PROBE_REPLY_TIMEOUT_US: Micros = 25_000;
/// Time before the deadline at which a waiting request gets its final answer.
const ANSWER_MARGIN_US: Micros = 10_000;
/// Least time between attempts to watch the list of hosts.
const WATCH_RETRY_INTERVAL_US: Micros = 1_000_000;

#[derive(Default)]
struct Host {
    id: HostId,
    zone: ZoneId,
    cell: CellId,
    kind: KindId,
    role: Role,
    /// Memory in tokens; infinite when it is not known.
    memory: f64,
    phase: Phase,
    started: Option<Micros>,
    failures: u32,
    /// Answers in a row that could not be read.
    unreadable_answers: u32,
    failed_at: Micros,
    backoff_until: Micros,
    /// Until this time the host is chosen only when no other host fits.
    last_resort_until: Micros,
    full_until: BTreeMap<(ClassId, Option<TenantId>), Micros>,
    next_cold_send_at: Micros,
    probed_at: Micros,
    is_probe_pending: bool,
    /// Requests that other routers hold there, from the host's reports.
    other_requests: Option<DecayingMean>,
    /// Attempts without a first answer, with the time at which each was sent.
    pending: BTreeMap<RequestId, Micros>,
    read_cost: DecayingMean,
    /// Share of the host's states that writers of its own cell can take.
    stay_share: f64,
    /// Share of the writing capacity of its cell that is left for readers of other cells.
    spare_weight: f64,
    /// Tokens of each prefix or session that this router knows to be cached there.
    cached_texts: BTreeMap<TextKey, f64>,
    /// Own requests assigned to this writer.
    streams: BTreeSet<RequestId>,
    first_token_time: DecayingMean,
    /// Tokens that other routers hold there, from the host's reports.
    other_tokens: Option<DecayingMean>,
}

/// Where a request stands; `Ready` means that its prompt is read and its state waits at the reader.
#[derive(Clone, Copy, Default, PartialEq, Eq)]
enum Stage {
    #[default]
    High,
    Low,
    Reading,
    Ready,
    Writing,
    Streaming,
}

#[derive(Default)]
struct Request {
    spec: NewRequest,
    /// The settings in force when the request arrived; later changes do not affect it.
    settings: Rc<Settings>,
    /// Time by which the first token earns full worth.
    first_token_due: Micros,
    deadline: Micros,
    /// Expected length of the answer.
    answer_tokens: f64,
    /// Tokens of the prompt and of the expected answer.
    total_tokens: f64,
    /// Wanted mean time between tokens, in microseconds.
    token_aim: f64,
    stage: Stage,
    attempts_sent: u32,
    /// The reader at which other routers would have the prompt read too.
    home: Option<HostId>,
    reader: Option<HostId>,
    writer: Option<HostId>,
    /// Prompt tokens expected not to be cached where the prompt is read.
    uncached_tokens: f64,
    /// Tokens queued at the reader when the request was sent, its own among them.
    queued_tokens: f64,
    is_low_tier: bool,
    ready_since: Micros,
    /// Where and since when an attempt may have run.
    may_have_run: Option<(HostId, Micros)>,
    /// The client has left; only the outcome of the attempt is still awaited.
    has_client_left: bool,
    /// When the last attempt was sent or its stream began.
    began_at: Micros,
}

/// One router's decisions.
#[derive(Default)]
pub struct Router {
    settings: Rc<Settings>,
    /// Estimates over all hosts; a new router with the same settings may be given an older one's.
    pub fleet: FleetEstimates,
    /// What all other routers have spent, where routers exchange it.
    peer_spending: Option<Rc<Spending>>,
    hosts: BTreeMap<HostId, Host>,
    requests: BTreeMap<RequestId, Request>,
    high: BTreeSet<(Micros, RequestId)>,
    low: BTreeSet<(Micros, RequestId)>,
    next_low_send_at: Micros,
    salt: u64,
    /// When a request last had to wait, or an attempt timed out or was turned away as full.
    last_pressure_at: Micros,
    timer_due_at: Option<Micros>,
    watch_requested_at: Option<Micros>,
    is_watching: bool,
    /// The list has changed since the cell weights were computed.
    are_cell_weights_stale: bool,
    /// Some hosts that are gone still have unfinished attempts.
    has_gone_hosts_with_work: bool,
    /// Hosts visited in iterations over all of them.
    hosts_examined: Cell<u64>,
    /// Time by which each request must be answered during shutdown.
    answers_until: Option<Micros>,
}

impl Router {
    /// A router that knows no host yet.
    pub fn new(settings: Settings, seed: u64) -> Self {
        let fleet = FleetEstimates::new(settings.kinds.len());
        Router { salt: seed, settings: Rc::new(settings), fleet, ..Router::default() }
    }

    /// Hosts visited so far in iterations over all of them: a measure of work in a large fleet.
    pub fn hosts_examined(&self) -> u64 {
        self.hosts_examined.get()
    }

    /// Iterates over all hosts and counts the visits.
    fn examine_hosts(&self) -> impl Iterator<Item = &Host> {
        self.hosts_examined.set(self.hosts_examined.get() + self.hosts.len() as u64);
        self.hosts.values()
    }

    /// Applies the events in order and appends the resulting actions in the order in which to carry them out.
    pub fn handle(&mut self, now: Micros, events: &[Event], out: &mut Vec<Action>) {
        for event in events {
            if !matches!(event, Event::HostList { .. }) {
                self.update_cell_weights();
            }
            self.apply_event(now, event, out);
        }
        self.update_cell_weights();
        self.cancel_attempts_at_shutdown(now, out);
        self.watch_hosts(now, out);
        self.send_ready_states(now, out);
        self.demote_or_expire(now, out);
        self.admit(now, out);
        self.probe_writers(now, out);
        self.set_timer(now, out);
    }

    fn apply_event(&mut self, now: Micros, event: &Event, out: &mut Vec<Action>) {
        match event {
            Event::HostList { is_complete, members } => self.update_hosts(now, *is_complete, members),
            Event::HostListFailed => self.is_watching = false,
            Event::Request(received) => self.receive_request(now, received, out),
            Event::FirstToken { request, host, elapsed, .. } => {
                self.stream_started(now, *request, *host, *elapsed)
            }
            Event::AttemptEnded {
                request, host, outcome, is_final, cached_tokens, elapsed, load, ..
            } => {
                self.record_load(now, *host, load.as_ref());
                self.attempt_ended(
                    now,
                    *request,
                    *host,
                    (*outcome, *is_final, *cached_tokens, *elapsed),
                    out,
                );
            }
            Event::ClientLeft(request) => self.client_left(*request, out),
            Event::ProbeEnded { host, outcome, load } => {
                self.hosts.entry(*host).and_modify(|h| h.is_probe_pending = false);
                if matches!(outcome, Outcome::Unreachable | Outcome::TimedOut) {
                    self.mark_last_resort(now, *host);
                }
                self.record_load(now, *host, load.as_ref());
            }
            Event::Shutdown { answers_until } => self.begin_shutdown(*answers_until),
            Event::MoveStreams
                if self.settings.limits.resume
                    && (2..=MAX_POLLING_ROUTERS).contains(&self.settings.routers) =>
            {
                let streams = self.requests.iter().filter(|(_, r)| r.stage == Stage::Streaming);
                out.extend(streams.map(|(&id, _)| Action::MoveStream(id)));
            }
            Event::ReservationAnswered { .. } | Event::MoveStreams => {}
            Event::SettingsChanged(settings) => self.settings = settings.clone(),
            Event::PeerSpending(spending) => self.peer_spending = Some(spending.clone()),
            Event::TimerExpired(_) => self.timer_due_at = None,
        }
    }

    fn watch_hosts(&mut self, now: Micros, out: &mut Vec<Action>) {
        let is_retry_due = self.watch_requested_at.is_none_or(|at| now >= at + WATCH_RETRY_INTERVAL_US);
        if self.settings.ask_for_list && !self.is_watching && is_retry_due {
            out.push(Action::WatchHosts);
            (self.is_watching, self.watch_requested_at) = (true, Some(now));
        }
    }

    /// Keeps at most one timer: while requests wait, the watch must be retried, or answers are due at
    /// shutdown.
    fn set_timer(&mut self, now: Micros, out: &mut Vec<Action>) {
        let has_waiting =
            self.requests.values().any(|r| matches!(r.stage, Stage::High | Stage::Low | Stage::Ready));
        let must_watch = self.settings.ask_for_list && !self.is_watching;
        let until_due = self.time_until_answers_due(now);
        let after = if has_waiting { TICK_INTERVAL_US } else { WATCH_RETRY_INTERVAL_US }
            .min(until_due.unwrap_or(Micros::MAX));
        if (has_waiting || must_watch || until_due.is_some())
            && self.timer_due_at.is_none_or(|at| at > now + after)
        {
            self.timer_due_at = Some(now + after);
            out.push(Action::SetTimer { token: 0, after });
        }
    }
}

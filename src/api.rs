//! Types of the decision module's interface: its settings, the events that it is given and the actions that it
//! returns.
//!
//! Times and durations are whole microseconds on the caller's clock.

/// A point in time or a duration, in microseconds.
pub type Micros = i64;

macro_rules! ids {
    ($($(#[$doc:meta])* $name:ident($inner:ty);)*) => {$(
        $(#[$doc])*
        #[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
        pub struct $name(pub $inner);
    )*};
}

ids! {
    /// Identifies one request; a client's retry gets a new id.
    RequestId(u64);
    /// Identifies a reader, a writer or a mixed host.
    HostId(u32);
    /// An index into the deployment's zones.
    ZoneId(usize);
    /// Identifies a cell: hosts of one zone that are connected by fast links.
    CellId(i64);
    /// An index into [`Settings::kinds`].
    KindId(usize);
    /// An index into [`Settings::classes`].
    ClassId(usize);
    /// An index into [`Settings::tenants`].
    TenantId(usize);
    /// The hash of a session or of a shared prompt prefix, the same at every router.
    TextKey(u64);
    /// The number of an attempt within its request, counted from 0 in the order of sending.
    AttemptId(u32);
}

/// The work that a kind of host does.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Role {
    /// A reader: reads prompts (prefill).
    #[default]
    Read,
    /// A writer: writes answers (decode) from a state that a reader holds.
    Write,
    /// A mixed host: writes answers and reads the prompt itself when there is no state.
    Both,
}

/// The hosts among which repeats of a request with an idempotency key are dropped.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Group {
    /// All hosts.
    All,
    /// The hosts of one zone.
    Zone,
    /// The hosts of one cell.
    Cell,
}

/// The effect of running a request more than once.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Effect {
    /// A repeat is harmless.
    Safe,
    /// A repeat within the group is dropped, for this long after the first send that may have run.
    Keyed(Group, Micros),
    /// A repeat is harmful if an earlier attempt may have run.
    Unsafe,
}

/// A class of request.
#[derive(Clone, Debug)]
pub struct Class {
    /// Time to first token within which the answer earns full worth.
    pub aim: Micros,
    /// Time that each 1,000 prompt tokens add to the target for the first token.
    pub aim_per_1000: Micros,
    /// Total time that the client allows over all its tries.
    pub deadline: Micros,
    /// Target for the mean time per output token.
    pub token_aim: Micros,
    /// Worth of one request, or of one unit of its work.
    pub worth: f64,
    /// Share of the worth that a late answer earns.
    pub late_worth: f64,
    /// The effect of a repeat.
    pub effect: Effect,
}

/// A kind of host.
#[derive(Clone, Debug)]
pub struct Kind {
    /// The work that it does.
    pub role: Role,
    /// Its memory in tokens; `None` if it is not known.
    pub memory: Option<f64>,
}

/// A tenant.
#[derive(Clone, Debug)]
pub struct Tenant {
    /// Requests per second that its quota allows, over all routers.
    pub quota_per_s: f64,
    /// Share of the fleet's work to which it has priority while others wait; `None` where all tenants are equal.
    pub share: Option<f64>,
}

/// Retry and slow-start budgets, over all routers.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Budgets {
    /// Mean number of repeated attempts for each accepted request; `None` if only [`Limits::max_attempts`] bounds them.
    pub retries: Option<f64>,
    /// Share that a cold host is sent of the load that would overload it; `None` for the module's default.
    pub cold: Option<f64>,
}

/// Times and figures of the rules that the decisions obey.
#[derive(Clone, Debug, Default)]
pub struct Rules {
    /// Time after the deadline within which a final answer still counts.
    pub answer_slack: Micros,
    /// Time after the notice of a drain by which sends must have stopped.
    pub drain_grace: Micros,
    /// Where the list has to be asked for: after this long without asking, the list of that time counts as received.
    pub ask_within: Micros,
    /// Multiple of its present capacity at which a cold host fails when sent over [`Rules::overload_for`].
    pub fall_multiple: f64,
    /// Length of the window over which the load of a cold host is measured.
    pub overload_for: Micros,
    /// Time after its start at which a host is warm.
    pub ramp_time: Micros,
    /// Least share of its capacity with which a host starts.
    pub start_capacity: f64,
    /// Longest time for which a state or a reserved place may be held while no attempt is in flight.
    pub pin_limit: Micros,
}

/// Features and limits of the deployment.
#[derive(Clone, Debug, Default)]
pub struct Limits {
    /// Attempts can be withdrawn.
    pub cancel: bool,
    /// A request may have two attempts in flight at once.
    pub copies: bool,
    /// Hosts may be probed.
    pub probes: bool,
    /// Most attempts for one request, its reads and writes together.
    pub max_attempts: u32,
    /// Longest retry-after time that clients obey; `None` if they are not given one.
    pub come_back: Option<Micros>,
    /// A place may be reserved at a writer before the prompt is read.
    pub ahead: bool,
    /// The client of a broken stream sends the request again and resumes from its last token.
    pub resume: bool,
    /// Writers read a prompt themselves when there is no state.
    pub writers_read: bool,
}

/// The settings of a router.
#[derive(Clone, Debug, Default)]
pub struct Settings {
    /// Number of routers that serve this fleet.
    pub routers: u32,
    /// This router's zone.
    pub zone: ZoneId,
    /// Kinds of host.
    pub kinds: Vec<Kind>,
    /// Classes of request.
    pub classes: Vec<Class>,
    /// Tenants; may be empty.
    pub tenants: Vec<Tenant>,
    /// Weight of each zone in the choice of hosts; 1 for a zone without an entry.
    pub zone_weights: Vec<f64>,
    /// Retry and slow-start budgets.
    pub budgets: Budgets,
    /// Times and figures of the rules.
    pub rules: Rules,
    /// Features and limits of the deployment.
    pub limits: Limits,
    /// The router has to ask for the list of hosts.
    pub ask_for_list: bool,
}

/// Whether a host may be sent new work.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Phase {
    /// The host accepts new work.
    #[default]
    Serving,
    /// The host finishes the work that it has and gets no more.
    Draining,
    /// The host no longer exists.
    Gone,
}

/// An entry of the list of hosts.
#[derive(Clone, Debug, Default)]
pub struct Member {
    /// The host.
    pub host: HostId,
    /// Its zone.
    pub zone: ZoneId,
    /// Its cell.
    pub cell: CellId,
    /// Its kind.
    pub kind: KindId,
    /// Its phase.
    pub phase: Phase,
    /// Time of its last start; `None` if it started long ago.
    pub started: Option<Micros>,
}

/// A host's report of its load. Each value is present only where the deployment provides it.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Load {
    /// Requests in flight.
    pub in_flight: Option<f64>,
    /// Requests waiting.
    pub waiting: Option<f64>,
    /// Share of slots in use.
    pub busy: Option<f64>,
    /// Recent time to the end of a read (readers) or to the first token (writers).
    pub latency: Option<Micros>,
    /// Share of memory in use.
    pub memory: Option<f64>,
    /// Prompt tokens waiting to be read or fetched.
    pub waiting_tokens: Option<f64>,
}

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The answer is complete.
    Served,
    /// The prompt is read, and its state waits at the reader.
    Read,
    /// Rejected because the host is full; the attempt never ran.
    Full,
    /// Rejected because there is no state to fetch; the attempt never ran.
    NoState,
    /// The host returned an error; the attempt may have run.
    Error,
    /// No answer came in time; the attempt may have run or be running.
    TimedOut,
    /// No connection could be made; the attempt never ran.
    Unreachable,
    /// The connection was lost; the attempt may have run.
    Broken,
    /// The host answered, but the answer could not be parsed; the attempt may have run.
    Spoilt,
    /// The attempt was cancelled; it may have run.
    Cancelled,
    /// The attempt was never sent.
    Moot,
}

/// A new request.
#[derive(Clone, Debug, Default)]
pub struct NewRequest {
    /// The id of the request.
    pub id: RequestId,
    /// Its class.
    pub class: ClassId,
    /// Its tenant, where there are tenants.
    pub tenant: Option<TenantId>,
    /// Its session.
    pub session: Option<TextKey>,
    /// The prompt prefix that it shares with other sessions.
    pub prefix: Option<TextKey>,
    /// Tokens of the shared prefix.
    pub prefix_tokens: f64,
    /// Tokens of the whole prompt.
    pub prompt_tokens: f64,
    /// Most tokens that the answer may have.
    pub max_output_tokens: f64,
    /// Expected duration of the stream at the target time per token.
    pub expected_stream_time: Option<Micros>,
    /// Time until the client gives up this try.
    pub time_left: Micros,
    /// The client marked the request as a retry of an earlier try.
    pub is_client_retry: bool,
    /// The request resumes a stream that broke or was moved.
    pub is_resumed: bool,
    /// The answer comes in one piece, without a sign of its first token.
    pub is_unary: bool,
}

/// An input of the router.
#[derive(Clone, Debug)]
pub enum Event {
    /// The list of hosts, or the entries of it that changed.
    HostList {
        /// The list is complete: hosts that it does not name are gone.
        is_complete: bool,
        /// The hosts.
        members: Vec<Member>,
    },
    /// A call for the list of hosts failed, or the watch on it ended.
    HostListFailed,
    /// A request arrived.
    Request(NewRequest),
    /// The first token of an answer has arrived.
    FirstToken {
        /// The request.
        request: RequestId,
        /// The attempt.
        attempt: AttemptId,
        /// The host that answers.
        host: HostId,
        /// Time since the attempt was sent.
        elapsed: Micros,
    },
    /// An attempt ended.
    AttemptEnded {
        /// The request.
        request: RequestId,
        /// The attempt.
        attempt: AttemptId,
        /// The host to which it was sent.
        host: HostId,
        /// How it ended.
        outcome: Outcome,
        /// The request has its final answer.
        is_final: bool,
        /// Prompt tokens that the host found in its cache.
        cached_tokens: f64,
        /// Time since the attempt was sent.
        elapsed: Micros,
        /// The load report that came with the answer, if any.
        load: Option<Load>,
    },
    /// The answer to the reservation of a place at a writer.
    ReservationAnswered {
        /// The request.
        request: RequestId,
        /// The writer.
        host: HostId,
        /// The place is reserved.
        is_held: bool,
    },
    /// The client disconnected; it needs no answer.
    ClientLeft(RequestId),
    /// A probe ended.
    ProbeEnded {
        /// The host that was probed.
        host: HostId,
        /// How the probe ended.
        outcome: Outcome,
        /// The host's load report.
        load: Option<Load>,
    },
    /// The process shuts down: each request must have its answer, or the beginning of its stream, by a given time. An
    /// attempt in flight for an answer in one piece keeps the time that it had.
    Shutdown {
        /// Time by which the answers are due.
        answers_until: Micros,
    },
    /// The process ends soon and cuts off the streams that run then, so that they are moved while there is time.
    MoveStreams,
    /// New settings, for requests that arrive from now on. Kinds, classes and tenants are unchanged.
    SettingsChanged(std::rc::Rc<Settings>),
    /// Recent spending of all other routers, where routers exchange it; replaces the previous figures.
    PeerSpending(std::rc::Rc<crate::estimate::Spending>),
    /// A timer expired; the value is the token of [`Action::SetTimer`].
    TimerExpired(u64),
}

/// An output of the router: something for the caller to do.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send the request to a host.
    Send {
        /// The request.
        request: RequestId,
        /// The host to send it to.
        host: HostId,
        /// Time without a first answer after which the attempt is given up.
        time_out: Micros,
    },
    /// Cancel an attempt.
    Cancel {
        /// The request.
        request: RequestId,
        /// The attempt.
        attempt: AttemptId,
    },
    /// Give the final answer that the request is rejected and a retry is safe.
    Refuse {
        /// The request.
        request: RequestId,
        /// Time after which the client should retry.
        retry_after: Option<Micros>,
    },
    /// Give the final answer that the request failed and may have run.
    Fail(RequestId),
    /// Release all that hosts hold for the request.
    Release(RequestId),
    /// Reserve a place for the request at a writer. No present decision asks for it.
    ReserveWriter {
        /// The request.
        request: RequestId,
        /// The writer.
        host: HostId,
    },
    /// End a running stream in an orderly way, to be resumed elsewhere.
    MoveStream(RequestId),
    /// Ask a host for its load.
    Probe(HostId),
    /// Close idle connections to a host. No present decision asks for it.
    CloseIdleConnections(HostId),
    /// Ask once for the whole list of hosts. No present decision asks for it.
    ListHosts,
    /// Watch the list of hosts.
    WatchHosts,
    /// Set a timer.
    SetTimer {
        /// Returned in [`Event::TimerExpired`].
        token: u64,
        /// Time until the timer expires.
        after: Micros,
    },
    /// Report that a host failed several times in a row; it gets one request at a time until one succeeds.
    Suspect {
        /// The host.
        host: HostId,
        /// Number of consecutive failures.
        failures: u32,
    },
    /// Write a line to the operators' log. No present decision asks for it.
    Log(String),
}

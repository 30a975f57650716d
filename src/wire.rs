//! Translation between the simulator's wire and the module's interface. Decides nothing.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};
use serde_json::Value;
use xxhash_rust::xxh3::xxh3_64;

use crate::api::*;
use crate::logic::Router;

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct Batch {
    at_time: f64,
    dispatchers: Vec<Inbox>,
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct Inbox {
    dispatcher_id: u64,
    events: Vec<WireEvent>,
}

#[derive(Deserialize)]
#[serde(tag = "t", rename_all = "camelCase", rename_all_fields = "camelCase")]
enum WireEvent {
    Launch {
        salt: u64,
        options: Box<Options>,
    },
    Destroy {},
    Update {
        form: Form,
        #[serde(default)]
        elements: Vec<Element>,
    },
    Call(Box<Call>),
    HeadReceived {
        handle: u64,
        round_no: u32,
        took: f64,
        host: u32,
    },
    HoldResult {
        handle: u64,
        host: u32,
        kind: i64,
    },
    Reply {
        handle: u64,
        #[serde(default)]
        round_no: u32,
        host: u32,
        #[serde(default)]
        terminal: bool,
        #[serde(default)]
        info: f64,
        state_code: StateCode,
        took: f64,
        health_info: Option<BTreeMap<String, f64>>,
    },
    CancelledByClient {
        handle: u64,
    },
    Reminder {
        nonce: u64,
    },
    StatusBack {
        host: u32,
        state_code: StateCode,
        health_info: Option<BTreeMap<String, f64>>,
    },
    #[serde(rename_all = "camelCase")]
    PeerData {
        #[serde(rename = "neighbour")]
        _neighbour: u64,
        #[serde(rename = "data")]
        _data: String,
    },
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct Call {
    handle: u64,
    n_prompt: f64,
    size_hint: Option<f64>,
    remaining: f64,
    priority: String,
    #[serde(default)]
    prefix_tokens: f64,
    template: Option<Value>,
    client_group: Option<Value>,
    output_cap: f64,
    talk: Option<Value>,
    #[serde(default)]
    again_by_client: bool,
    #[serde(default)]
    came_back: bool,
}

#[derive(Deserialize, PartialEq)]
enum Form {
    Partial,
    Complete,
    Persisted,
    Error,
}

#[derive(Deserialize, Clone, Copy, PartialEq)]
#[serde(rename_all = "snake_case")]
enum StateCode {
    Done,
    Err,
    Busy,
    Etimedout,
    Econnrefused,
    Econnreset,
    Ecanceled,
    Skipped,
    ReadyToAnswer,
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct Element {
    dc: String,
    sku: String,
    last_start: Option<f64>,
    #[serde(default)]
    pod: i64,
    phase: WirePhase,
    host: u32,
}

#[derive(Deserialize)]
#[serde(rename_all = "UPPERCASE")]
enum WirePhase {
    Serving,
    Draining,
    Deleted,
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct Options {
    #[serde(default)]
    accounts: Vec<Account>,
    balancers: u32,
    failure_domains: Vec<String>,
    family_info: FamilyInfo,
    invariants: Invariants,
    kinds: Vec<String>,
    lanes: Vec<Lane>,
    limits: WireLimits,
    locality: String,
    membership_mode: MembershipMode,
}

#[derive(Deserialize)]
#[serde(rename_all = "lowercase")]
enum MembershipMode {
    Push,
    Ask,
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct Account {
    name: String,
    quota_per_s: f64,
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct FamilyInfo {
    ahead: bool,
    aim_us_per1000_prompt_tokens: Vec<f64>,
    local_read: bool,
    memory_tokens: Option<Vec<f64>>,
    pin_limit: f64,
    resume: bool,
    role_by_kind: Vec<WireRole>,
    token_aim: Vec<f64>,
}

#[derive(Deserialize, Clone, Copy)]
#[serde(rename_all = "lowercase")]
enum WireRole {
    Read,
    Write,
    Both,
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct Invariants {
    answer_slack: f64,
    #[serde(default = "ask_within_default")]
    ask_within: f64,
    drain_grace: f64,
    fall_multiple: f64,
    overload_for: f64,
    ramp_time: f64,
    start_capacity: f64,
}

/// In milliseconds, where lists are pushed and the settings leave it out.
fn ask_within_default() -> f64 {
    10_000.0
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct Lane {
    deadline: f64,
    group: Option<WireGroup>,
    #[serde(default)]
    late_worth: f64,
    name: String,
    objective: f64,
    semantics: Semantics,
    window: Option<f64>,
    worth: f64,
}

#[derive(Deserialize)]
#[serde(rename_all = "lowercase")]
enum WireGroup {
    All,
    Zone,
    Cell,
}

#[derive(Deserialize)]
#[serde(rename_all = "snake_case")]
enum Semantics {
    ReadLike,
    IdempotencyKey,
    NonIdempotent,
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct WireLimits {
    cancelling: bool,
    max_attempts: u32,
    max_retry_after: Option<f64>,
    may_duplicate: bool,
    may_probe: bool,
    retry_after: bool,
}

#[derive(Serialize)]
struct Reply {
    dispatchers: Vec<Outbox>,
}

#[derive(Serialize)]
#[serde(rename_all = "camelCase")]
struct Outbox {
    dispatcher_id: u64,
    cmds: Vec<Command>,
}

#[derive(Serialize)]
#[serde(tag = "t", rename_all = "camelCase", rename_all_fields = "camelCase")]
enum Command {
    Send {
        handle: u64,
        host: u32,
        try_for: f64,
    },
    Abandon {
        handle: u64,
        round_no: u32,
    },
    Reject {
        handle: u64,
        #[serde(skip_serializing_if = "Option::is_none")]
        not_before_for: Option<f64>,
    },
    Error {
        handle: u64,
    },
    ClearState {
        handle: u64,
    },
    PairEarly {
        handle: u64,
        host: u32,
    },
    Redirect {
        handle: u64,
    },
    SoundOut {
        host: u32,
    },
    LetGo {
        host: u32,
    },
    GetList {},
    Observe {
        want: bool,
    },
    WakeMe {
        nonce: u64,
        after: f64,
    },
    NoteDown {
        body_text: String,
    },
}

fn micros(ms: f64) -> Micros {
    (ms * 1000.0).round() as Micros
}

fn millis(us: Micros) -> f64 {
    us as f64 / 1000.0
}

fn index(names: &[String], name: &str, what: &str) -> Result<usize, String> {
    names.iter().position(|n| n == name).ok_or_else(|| format!("unknown {what} \"{name}\""))
}

fn text_key(value: Option<Value>, what: &str) -> Result<Option<TextKey>, String> {
    match value {
        None | Some(Value::Null) => Ok(None),
        Some(Value::String(text)) if text.is_empty() => Ok(None),
        Some(Value::String(text)) => Ok(Some(TextKey(xxh3_64(text.as_bytes())))),
        Some(Value::Number(n)) if n.as_u64() == Some(0) => Ok(None),
        Some(other) => Err(format!("{what}: expected a text, found {other}")),
    }
}

fn load(values: BTreeMap<String, f64>) -> Load {
    let get = |name: &str| values.get(name).copied();
    Load {
        in_flight: get("active"),
        waiting: get("waiting"),
        busy: get("cpu"),
        latency: get("avg_ms").map(micros),
        memory: get("x0"),
        waiting_tokens: get("x1").map(|k| k * 1000.0),
    }
}

fn outcome(code: StateCode, info: f64) -> Outcome {
    match code {
        StateCode::Done => Outcome::Served,
        StateCode::Err => Outcome::Error,
        StateCode::Busy if info == 1.0 => Outcome::NoState,
        StateCode::Busy => Outcome::Full,
        StateCode::Etimedout => Outcome::TimedOut,
        StateCode::Econnrefused => Outcome::Unreachable,
        StateCode::Econnreset => Outcome::Broken,
        StateCode::Ecanceled => Outcome::Cancelled,
        StateCode::Skipped => Outcome::Moot,
        StateCode::ReadyToAnswer => Outcome::Read,
    }
}

/// Names that the settings gave, kept to translate later messages.
#[derive(Clone, Debug, Default)]
pub struct Names {
    /// Zones, in the order of their indices.
    pub zones: Vec<String>,
    /// Kinds of host.
    pub kinds: Vec<String>,
    /// Classes of request.
    pub classes: Vec<String>,
    /// Tenants.
    pub tenants: Vec<String>,
}

/// Reads the settings object, as the simulator's first message and a conductor's configuration hold it.
pub fn settings_from(options: Value) -> Result<(Settings, Names), String> {
    settings(serde_json::from_value(options).map_err(|e| e.to_string())?)
}

fn class_settings(lane: &Lane, at: usize, family: &FamilyInfo) -> Result<Class, String> {
    let per_class = |list: &[f64], key: &str| {
        list.get(at)
            .copied()
            .ok_or_else(|| format!("familyInfo.{key} has no entry for class \"{}\"", lane.name))
    };
    let effect = match lane.semantics {
        Semantics::ReadLike => Effect::Safe,
        Semantics::NonIdempotent => Effect::Unsafe,
        Semantics::IdempotencyKey => {
            let group = match lane.group {
                Some(WireGroup::All) => Group::All,
                Some(WireGroup::Zone) => Group::Zone,
                Some(WireGroup::Cell) => Group::Cell,
                None => return Err(format!("class \"{}\" is keyed but has no group", lane.name)),
            };
            let window =
                lane.window.ok_or_else(|| format!("class \"{}\" is keyed but has no window", lane.name));
            Effect::Keyed(group, micros(window?))
        }
    };
    Ok(Class {
        aim: micros(lane.objective),
        aim_per_1000: per_class(&family.aim_us_per1000_prompt_tokens, "aimUsPer1000PromptTokens")? as Micros,
        deadline: micros(lane.deadline),
        token_aim: micros(per_class(&family.token_aim, "tokenAim")?),
        worth: lane.worth,
        late_worth: lane.late_worth,
        effect,
    })
}

fn settings(options: Options) -> Result<(Settings, Names), String> {
    let family = &options.family_info;
    let kind = |at: usize| -> Result<Kind, String> {
        let name = &options.kinds[at];
        let role = match family.role_by_kind.get(at) {
            Some(WireRole::Read) => Role::Read,
            Some(WireRole::Write) => Role::Write,
            Some(WireRole::Both) => Role::Both,
            None => return Err(format!("familyInfo.roleByKind has no entry for kind \"{name}\"")),
        };
        Ok(Kind { role, memory: family.memory_tokens.as_ref().and_then(|m| m.get(at).copied()) })
    };
    let kinds = (0..options.kinds.len()).map(kind).collect::<Result<Vec<_>, _>>()?;
    if !kinds.iter().any(|k| k.role != Role::Write) {
        return Err("familyInfo.roleByKind: no kind reads prompts".into());
    }
    if !kinds.iter().any(|k| k.role != Role::Read) {
        return Err("familyInfo.roleByKind: no kind writes answers".into());
    }
    if options.balancers == 0 {
        return Err("balancers: must be at least 1".into());
    }
    let classes = options.lanes.iter().enumerate().map(|(at, lane)| class_settings(lane, at, family));
    let rules = &options.invariants;
    let limits = &options.limits;
    let settings = Settings {
        routers: options.balancers,
        zone: ZoneId(index(&options.failure_domains, &options.locality, "zone")?),
        classes: classes.collect::<Result<_, _>>()?,
        kinds,
        tenants: options
            .accounts
            .iter()
            .map(|a| Tenant { quota_per_s: a.quota_per_s, share: None })
            .collect(),
        rules: Rules {
            answer_slack: micros(rules.answer_slack),
            drain_grace: micros(rules.drain_grace),
            ask_within: micros(rules.ask_within),
            fall_multiple: rules.fall_multiple,
            overload_for: micros(rules.overload_for),
            ramp_time: micros(rules.ramp_time),
            start_capacity: rules.start_capacity,
            pin_limit: micros(family.pin_limit),
        },
        limits: Limits {
            cancel: limits.cancelling,
            copies: limits.may_duplicate,
            probes: limits.may_probe,
            max_attempts: limits.max_attempts,
            come_back: limits.max_retry_after.filter(|_| limits.retry_after).map(micros),
            ahead: family.ahead,
            resume: family.resume,
            writers_read: family.local_read,
        },
        zone_weights: Vec::new(),
        budgets: Budgets::default(),
        ask_for_list: matches!(options.membership_mode, MembershipMode::Ask),
    };
    let names = Names {
        zones: options.failure_domains,
        kinds: options.kinds,
        classes: options.lanes.into_iter().map(|l| l.name).collect(),
        tenants: options.accounts.into_iter().map(|a| a.name).collect(),
    };
    Ok((settings, names))
}

fn member(element: Element, names: &Names) -> Result<Member, String> {
    Ok(Member {
        host: HostId(element.host),
        zone: ZoneId(index(&names.zones, &element.dc, "zone")?),
        cell: CellId(element.pod),
        kind: KindId(index(&names.kinds, &element.sku, "kind")?),
        phase: match element.phase {
            WirePhase::Serving => Phase::Serving,
            WirePhase::Draining => Phase::Draining,
            WirePhase::Deleted => Phase::Gone,
        },
        started: element.last_start.filter(|&at| at > 0.0).map(micros),
    })
}

fn request(call: Call, names: &Names) -> Result<NewRequest, String> {
    let tenant = match &call.client_group {
        Some(Value::String(name)) => Some(TenantId(index(&names.tenants, name, "tenant")?)),
        None | Some(Value::Null) => None,
        Some(Value::Number(n)) if n.as_u64() == Some(0) => None,
        Some(other) => return Err(format!("clientGroup: expected a name, found {other}")),
    };
    Ok(NewRequest {
        id: RequestId(call.handle),
        class: ClassId(index(&names.classes, &call.priority, "class")?),
        tenant,
        session: text_key(call.talk, "talk")?,
        prefix: text_key(call.template, "template")?,
        prefix_tokens: call.prefix_tokens,
        prompt_tokens: call.n_prompt,
        max_output_tokens: call.output_cap,
        expected_stream_time: call.size_hint.filter(|&h| h > 0.0).map(micros),
        time_left: micros(call.remaining),
        is_client_retry: call.again_by_client,
        is_resumed: call.came_back,
        is_unary: false,
    })
}

fn event(event: WireEvent, names: &Names) -> Result<Option<Event>, String> {
    Ok(Some(match event {
        WireEvent::Update { form: Form::Error, .. } => Event::HostListFailed,
        WireEvent::Update { form, elements } => Event::HostList {
            is_complete: form != Form::Partial,
            members: elements.into_iter().map(|e| member(e, names)).collect::<Result<_, _>>()?,
        },
        WireEvent::Call(call) => Event::Request(request(*call, names)?),
        WireEvent::HeadReceived { handle, round_no, took, host } => Event::FirstToken {
            request: RequestId(handle),
            attempt: AttemptId(round_no),
            host: HostId(host),
            elapsed: micros(took),
        },
        WireEvent::HoldResult { handle, host, kind } => {
            let is_held = match kind {
                1 => true,
                2 => false,
                other => return Err(format!("holdResult: unknown kind {other}")),
            };
            Event::ReservationAnswered { request: RequestId(handle), host: HostId(host), is_held }
        }
        WireEvent::Reply { handle, round_no, host, terminal, info, state_code, took, health_info } => {
            Event::AttemptEnded {
                request: RequestId(handle),
                attempt: AttemptId(round_no),
                host: HostId(host),
                outcome: outcome(state_code, info),
                is_final: terminal,
                cached_tokens: info,
                elapsed: micros(took),
                load: health_info.map(load),
            }
        }
        WireEvent::CancelledByClient { handle } => Event::ClientLeft(RequestId(handle)),
        WireEvent::Reminder { nonce } => Event::TimerExpired(nonce),
        WireEvent::StatusBack { host, state_code, health_info } => Event::ProbeEnded {
            host: HostId(host),
            outcome: outcome(state_code, 0.0),
            load: health_info.map(load),
        },
        WireEvent::PeerData { .. } | WireEvent::Launch { .. } | WireEvent::Destroy {} => return Ok(None),
    }))
}

fn command(action: Action) -> Command {
    match action {
        Action::Send { request, host, time_out } => {
            Command::Send { handle: request.0, host: host.0, try_for: millis(time_out) }
        }
        Action::Cancel { request, attempt } => Command::Abandon { handle: request.0, round_no: attempt.0 },
        Action::Refuse { request, retry_after } => {
            Command::Reject { handle: request.0, not_before_for: retry_after.map(millis) }
        }
        Action::Fail(request) => Command::Error { handle: request.0 },
        Action::Release(request) => Command::ClearState { handle: request.0 },
        Action::ReserveWriter { request, host } => Command::PairEarly { handle: request.0, host: host.0 },
        Action::MoveStream(request) => Command::Redirect { handle: request.0 },
        Action::Probe(host) => Command::SoundOut { host: host.0 },
        Action::CloseIdleConnections(host) => Command::LetGo { host: host.0 },
        Action::ListHosts => Command::GetList {},
        Action::WatchHosts => Command::Observe { want: true },
        Action::SetTimer { token, after } => Command::WakeMe { nonce: token, after: millis(after) },
        Action::Suspect { host, failures } => {
            let body_text = format!("host {} failed {failures} times in a row", host.0);
            Command::NoteDown { body_text }
        }
        Action::Log(body_text) => Command::NoteDown { body_text },
    }
}

/// The wire's text for one action.
pub fn action_text(action: Action) -> Result<String, String> {
    serde_json::to_string(&command(action)).map_err(|e| e.to_string())
}

struct Instance {
    router: Router,
    names: Names,
}

/// Hosts the instances of one process: one router each, nothing shared.
#[derive(Default)]
pub struct Adapter {
    instances: BTreeMap<u64, Instance>,
}

impl Adapter {
    /// Plays one batch and gives the reply's line, or a plain message on what is malformed.
    pub fn batch(&mut self, line: &[u8]) -> Result<String, String> {
        let batch: Batch = serde_json::from_slice(line).map_err(|e| e.to_string())?;
        let now = micros(batch.at_time);
        let mut reply = Reply { dispatchers: Vec::new() };
        for inbox in batch.dispatchers {
            let id = inbox.dispatcher_id;
            let actions = self.inbox(now, inbox).map_err(|e| format!("dispatcher {id}: {e}"))?;
            if !actions.is_empty() {
                let cmds = actions.into_iter().map(command).collect();
                reply.dispatchers.push(Outbox { dispatcher_id: id, cmds });
            }
        }
        serde_json::to_string(&reply).map_err(|e| e.to_string())
    }

    fn inbox(&mut self, now: Micros, inbox: Inbox) -> Result<Vec<Action>, String> {
        let id = inbox.dispatcher_id;
        let mut actions = Vec::new();
        let mut events = Vec::new();
        for (at, wire) in inbox.events.into_iter().enumerate() {
            match wire {
                WireEvent::Launch { salt, options } => {
                    let (settings, names) = settings(*options).map_err(|e| format!("event {at}: {e}"))?;
                    self.instances.insert(id, Instance { router: Router::new(settings, salt), names });
                    events.clear();
                    actions.clear();
                }
                WireEvent::Destroy {} => {
                    self.instances.remove(&id);
                    events.clear();
                    actions.clear();
                }
                other => {
                    let instance = self.instances.get(&id).ok_or(format!("event {at}: not launched"))?;
                    events.extend(event(other, &instance.names).map_err(|e| format!("event {at}: {e}"))?);
                }
            }
        }
        if let Some(instance) = self.instances.get_mut(&id) {
            instance.router.handle(now, &events, &mut actions);
        }
        Ok(actions)
    }
}

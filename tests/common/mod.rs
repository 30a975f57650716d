//! A router with a small fleet, driven event by event.
#![allow(dead_code)]

use croftsill::Router;
use croftsill::api::*;

pub const MS: Micros = 1_000;
pub const S: Micros = 1_000_000;
pub const READER: u32 = 1;
pub const WRITER: u32 = 10;

pub fn settings() -> Settings {
    Settings {
        routers: 2,
        zone: ZoneId(0),
        kinds: vec![
            Kind { role: Role::Read, memory: Some(200_000.0) },
            Kind { role: Role::Write, memory: Some(100_000.0) },
            Kind { role: Role::Both, memory: Some(100_000.0) },
        ],
        classes: vec![Class {
            aim: S,
            aim_per_1000: 40 * MS,
            deadline: 4 * S,
            token_aim: 60 * MS,
            worth: 1.0,
            late_worth: 0.2,
            effect: Effect::Safe,
        }],
        tenants: Vec::new(),
        rules: Rules {
            answer_slack: 8 * MS,
            drain_grace: S,
            ask_within: 10 * S,
            fall_multiple: 3.0,
            overload_for: S,
            ramp_time: 10 * S,
            start_capacity: 0.3,
            pin_limit: 500 * MS,
        },
        limits: Limits {
            cancel: true,
            copies: false,
            probes: false,
            max_attempts: 4,
            come_back: Some(S),
            ahead: false,
            resume: false,
            writers_read: false,
        },
        ask_for_list: false,
        ..Settings::default()
    }
}

pub fn member(host: u32, kind: usize) -> Member {
    Member { host: HostId(host), kind: KindId(kind), ..Member::default() }
}

pub fn in_cell(host: u32, kind: usize, cell: i64) -> Member {
    Member { cell: CellId(cell), ..member(host, kind) }
}

pub fn ask(id: u64) -> NewRequest {
    NewRequest {
        id: RequestId(id),
        session: Some(TextKey(id)),
        prefix: Some(TextKey(7)),
        prefix_tokens: 1_000.0,
        prompt_tokens: 1_500.0,
        max_output_tokens: 400.0,
        expected_stream_time: Some(6 * S),
        time_left: 4 * S,
        ..NewRequest::default()
    }
}

pub struct Rig {
    pub router: Router,
    pub now: Micros,
}

impl Rig {
    pub fn new(settings: Settings, members: &[Member]) -> Rig {
        let mut rig = Rig { router: Router::new(settings, 5), now: 100 * S };
        rig.step(0, &[Event::HostList { is_complete: true, members: members.to_vec() }]);
        rig
    }

    pub fn step(&mut self, after: Micros, events: &[Event]) -> Vec<Action> {
        self.now += after;
        let mut out = Vec::new();
        self.router.handle(self.now, events, &mut out);
        out.retain(|a| !matches!(a, Action::SetTimer { .. }));
        out
    }

    pub fn request(&mut self, id: u64) -> Vec<Action> {
        self.step(0, &[Event::Request(ask(id))])
    }

    pub fn tick(&mut self, after: Micros) -> Vec<Action> {
        self.step(after, &[Event::TimerExpired(0)])
    }

    pub fn end(&mut self, id: u64, host: u32, outcome: Outcome) -> Vec<Action> {
        self.step(20 * MS, &[ended(id, host, outcome, false)])
    }

    /// Plays a whole request; the stream takes so long. Gives its writer, if it came so far.
    pub fn serve(&mut self, id: u64, stream: Micros) -> Option<u32> {
        let reader = sent_to(&self.request(id))?;
        let writer = sent_to(&self.end(id, reader, Outcome::Read))?;
        self.step(20 * MS, &[began(id, writer)]);
        self.step(stream, &[ended(id, writer, Outcome::Served, true)]);
        Some(writer)
    }
}

pub fn began(id: u64, host: u32) -> Event {
    Event::FirstToken { request: RequestId(id), attempt: AttemptId(1), host: HostId(host), elapsed: 20 * MS }
}

pub fn ended(id: u64, host: u32, outcome: Outcome, last: bool) -> Event {
    Event::AttemptEnded {
        request: RequestId(id),
        attempt: AttemptId(0),
        host: HostId(host),
        outcome,
        is_final: last,
        cached_tokens: 0.0,
        elapsed: 20 * MS,
        load: None,
    }
}

pub fn sent_to(actions: &[Action]) -> Option<u32> {
    actions.iter().find_map(|a| match a {
        Action::Send { host, .. } => Some(host.0),
        _ => None,
    })
}

pub fn finals(actions: &[Action]) -> usize {
    actions.iter().filter(|a| matches!(a, Action::Refuse { .. } | Action::Fail(_))).count()
}

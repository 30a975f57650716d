//! What a deployment is like: its classes, limits and servers, drawn by a seed or set by a test.

use std::time::Duration;

use rand::Rng;
use rand::rngs::SmallRng;
use serde_json::{Value, json};

use super::servers::Manner;
use crate::stand_ins::Role;

/// A deadline counts as no longer than this in the time before SIGKILL.
const COUNTED_MOST: Duration = Duration::from_secs(3);
/// Between SIGTERM and SIGKILL beyond the longest deadline.
const BEYOND_DEADLINE: Duration = Duration::from_millis(700);

/// What a repeat of a request does.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Effect {
    /// A repeat is harmless.
    Safe,
    /// It must not run twice.
    Unsafe,
}

/// A class of requests.
#[derive(Clone, Debug)]
pub struct Class {
    /// Its name.
    pub name: String,
    /// What a repeat does.
    pub effect: Effect,
    /// How long its clients wait for a first token.
    pub deadline: Duration,
}

/// A deployment.
#[derive(Clone, Debug)]
pub struct Deployment {
    /// Conductors.
    pub conductors: usize,
    /// Zones, by name.
    pub zones: Vec<String>,
    /// Readers, then writers.
    pub servers: Vec<Manner>,
    /// Classes.
    pub classes: Vec<Class>,
    /// How long a state may wait with no attempt out.
    pub pin_limit: Duration,
    /// Within which a connection has to come up.
    pub connect: Duration,
    /// Whether servers may be probed.
    pub probes: bool,
    /// Requests a second over all conductors.
    pub rate: f64,
}

impl Deployment {
    /// A small deployment in which all goes well, for tests that break one thing.
    pub fn quiet(readers: usize, writers: usize) -> Self {
        let server = |role| Manner {
            role,
            slots: 16,
            queue: 32,
            first: Duration::from_millis(5),
            events: 4,
            goes_on: false,
            slowness: None,
        };
        let class = |name: &str, effect, deadline| Class {
            name: name.into(),
            effect,
            deadline: Duration::from_millis(deadline),
        };
        Deployment {
            conductors: 1,
            zones: vec!["daejeon-1".into(), "sejong-1".into()],
            servers: [vec![server(Role::Read); readers], vec![server(Role::Write); writers]].concat(),
            classes: vec![
                class("climb-query", Effect::Safe, 6_000),
                class("route-save", Effect::Unsafe, 15_000),
            ],
            pin_limit: Duration::from_secs(1),
            connect: Duration::from_millis(250),
            probes: false,
            rate: 20.0,
        }
    }

    /// A deployment by chance.
    pub fn draw(rng: &mut SmallRng) -> Self {
        let zones = (0..rng.random_range(1..=3)).map(|zone| format!("zone-{zone}")).collect();
        let mut servers = Vec::new();
        for (role, most) in [(Role::Read, 5), (Role::Write, 7)] {
            for _ in 0..rng.random_range(3..=most) {
                servers.push(Manner {
                    role,
                    slots: rng.random_range(3..=16),
                    queue: rng.random_range(4..=32),
                    first: Duration::from_millis(rng.random_range(4..=90)),
                    events: rng.random_range(2..=24),
                    goes_on: rng.random_bool(0.4),
                    slowness: None,
                });
            }
        }
        // Short deadlines bring SIGKILL soon; long ones go past what counts before it.
        let longest = [500, 900, 1_500, 2_500, 4_000, 5_000][rng.random_range(0..6)];
        let mut classes = Vec::new();
        for number in 0..rng.random_range(2..=4) {
            let effect = if number % 2 == 1 { Effect::Unsafe } else { Effect::Safe };
            let share = if number == 1 { 1.0 } else { rng.random_range(0.4..=1.0) };
            let deadline = Duration::from_millis((longest as f64 * share) as u64);
            classes.push(Class { name: format!("class-{number}"), effect, deadline });
        }
        Deployment {
            conductors: rng.random_range(2..=3),
            zones,
            servers,
            classes,
            pin_limit: Duration::from_millis([400, 1_000, 1_000, 1_000][rng.random_range(0..4)]),
            connect: Duration::from_millis(rng.random_range(120..=350)),
            probes: rng.random_bool(0.5),
            rate: rng.random_range(20.0..45.0),
        }
    }

    /// Whether some of its servers are slow.
    pub fn has_slow_servers(&self) -> bool {
        self.servers.iter().any(|server| server.slowness.is_some())
    }

    /// The soonest moment after SIGTERM at which the platform sends SIGKILL.
    pub fn soonest_kill(&self) -> Duration {
        let longest = self.classes.iter().map(|class| class.deadline).max().unwrap_or_default();
        longest.min(COUNTED_MOST) + BEYOND_DEADLINE
    }

    /// The id of a server by its number.
    pub fn server_id(&self, number: usize) -> String {
        let role = if self.servers[number].role == Role::Read { 'r' } else { 'w' };
        format!("{role}{number}")
    }

    /// Its zone, which is its cell as well.
    pub fn zone(&self, number: usize) -> usize {
        number % self.zones.len()
    }

    /// The settings as the platform tells them to a conductor.
    pub fn settings(&self, conductor: usize) -> Value {
        let ms = |time: Duration| time.as_millis() as f64;
        let lanes: Vec<_> = self
            .classes
            .iter()
            .map(|class| {
                let semantics = match class.effect {
                    Effect::Safe => "read_like",
                    Effect::Unsafe => "non_idempotent",
                };
                json!({ "deadline": ms(class.deadline), "group": "all", "lateWorth": 0.2, "name": class.name,
                    "objective": ms(class.deadline) / 3.0, "semantics": semantics, "stream": true, "window": 5000.0,
                    "worth": 2.0 })
            })
            .collect();
        let per_class = |value: f64| vec![value; self.classes.len()];
        json!({
            "accounts": [], "balancers": self.conductors, "blend": {"whole": 1.0}, "clients": {"marksRetry": true},
            "domainType": "twostage", "failureDomains": self.zones,
            "familyInfo": {"ahead": false, "aimUsPer1000PromptTokens": per_class(40_000.0), "farPrice": 0.03,
                "localRead": false, "memoryTokens": [2.0e6, 2.0e6], "pinLimit": ms(self.pin_limit), "resume": false,
                "roleByKind": ["read", "write"], "tokenAim": per_class(60.0)},
            "invariants": {"answerSlack": 8.0, "askWithin": 10000.0, "drainGrace": 1000.0, "fallMultiple": 3.0,
                "overloadFor": 2000.0, "rampTime": 13000.0, "startCapacity": 0.28},
            "kinds": ["prefill", "decode"],
            "lanes": lanes,
            "limits": {"cancelling": true, "connectTimeout": ms(self.connect), "idleClose": 30000.0, "maxAttempts": 4,
                "maxRetryAfter": 2000.0, "mayDuplicate": false, "mayProbe": self.probes, "retryAfter": true},
            "locality": self.zones[conductor % self.zones.len()], "me": conductor, "membershipMode": "push", "prices": {},
            "report": {"columns": ["x0"], "source": "pull"}, "step": 2.0, "tier": 0, "weights": "silent",
            "worthBy": "work"
        })
    }
}

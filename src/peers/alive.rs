//! Who is heard at present: SWIM, by the `foca` library, which does no I/O. That somebody is not heard proves nothing and
//! decides nothing here; it is told to operators, apart from who is a member and who is registered.

use std::collections::{BTreeMap, BTreeSet};
use std::num::NonZeroU32;
use std::time::Duration;

use foca::{
    AccumulatingRuntime, Config, Foca, Identity, NoCustomBroadcast, OwnedNotification, PostcardCodec, Timer,
};
use rand::SeedableRng;
use rand::rngs::SmallRng;
use serde::{Deserialize, Serialize};

use crate::api::Micros;

/// Between a conductor's probes of one other, in turn.
const PROBE_EVERY: Duration = Duration::from_millis(500);
/// For a probe's answer, before others are asked to probe in its place.
const PROBE_ANSWER: Duration = Duration::from_millis(200);
/// Longest datagram taken.
pub const DATAGRAM_MOST: usize = 1_400;
/// Identities kept beyond twice the members: what hostile words could make is bounded.
const STRANGERS: usize = 64;

/// A conductor's run, as others gossip of it.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
struct Run {
    name: String,
    /// A later run has a higher number.
    run: u64,
}

impl Identity for Run {
    type Addr = String;

    fn renew(&self) -> Option<Self> {
        Some(Run { name: self.name.clone(), run: self.run.saturating_add(1) })
    }

    fn addr(&self) -> String {
        self.name.clone()
    }

    fn win_addr_conflict(&self, other: &Self) -> bool {
        self.run > other.run
    }
}

/// What changed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Change {
    /// This one is heard.
    Heard(String),
    /// This one is not heard any more.
    Silent(String),
}

type Swim = Foca<Run, PostcardCodec, SmallRng, NoCustomBroadcast>;

/// One conductor's view of who is heard.
pub struct Alive {
    swim: Swim,
    me: Run,
    seed: u64,
    out: AccumulatingRuntime<Run>,
    timers: BTreeMap<(Micros, u64), Timer<Run>>,
    next: u64,
    members: BTreeSet<String>,
    heard: BTreeSet<String>,
}

fn config(members: usize) -> Config {
    let size = NonZeroU32::new(members.clamp(2, 10_000) as u32).unwrap_or(NonZeroU32::MIN);
    Config { probe_period: PROBE_EVERY, probe_rtt: PROBE_ANSWER, ..Config::new_lan(size) }
}

impl Alive {
    /// The view of a process that started at this time, which tells its runs apart.
    pub fn new(name: &str, started: Micros, seed: u64) -> Self {
        let me = Run { name: name.into(), run: started.max(0) as u64 };
        let swim = Foca::new(me.clone(), config(2), SmallRng::seed_from_u64(seed), PostcardCodec);
        let (out, timers, next) = (AccumulatingRuntime::new(), BTreeMap::new(), 0);
        Alive { swim, me, seed, out, timers, next, members: BTreeSet::new(), heard: BTreeSet::new() }
    }

    /// Takes in who the members are.
    pub fn know(&mut self, members: BTreeSet<String>) {
        if members != self.members {
            let _ = self.swim.set_config(config(members.len()));
            self.heard.retain(|name| members.contains(name));
            self.members = members;
        }
    }

    /// A datagram of this member.
    pub fn hear(&mut self, now: Micros, from: &str, datagram: &[u8]) {
        if !self.members.contains(from) || datagram.len() > DATAGRAM_MOST {
            return;
        }
        // What cannot be read is the sender's fault alone.
        let _ = self.swim.handle_data(datagram, &mut self.out);
        if self.swim.iter_membership_state().count() > 2 * self.members.len() + STRANGERS {
            tracing::warn!("peers: {from} gossips of too many; who is heard is found out anew");
            *self = Alive { members: self.members.clone(), ..Alive::new(&self.me.name, now, self.seed) };
        }
        self.schedule(now);
    }

    /// Time has passed: what is to be sent, and to whom.
    pub fn due(&mut self, now: Micros) -> Vec<(String, Vec<u8>)> {
        if self.heard.is_empty() && self.timers.is_empty() {
            // Nobody is known yet: one of the members, by turns, is told that this one is here.
            let others: Vec<_> = self.members.iter().filter(|name| **name != self.me.name).collect();
            if let Some(name) = others.get(self.next as usize % others.len().max(1)) {
                let to = Run { name: (*name).clone(), run: 0 };
                let _ = self.swim.announce(to, &mut self.out);
            }
            self.next += 1;
        }
        while let Some((&at, _)) = self.timers.first_key_value().filter(|(at, _)| at.0 <= now) {
            if let Some(timer) = self.timers.remove(&at) {
                let _ = self.swim.handle_timer(timer, &mut self.out);
            }
            self.schedule(now);
        }
        self.schedule(now);
        let mut sent = Vec::new();
        while let Some((to, bytes)) = self.out.to_send() {
            if self.members.contains(&to.name) {
                sent.push((to.name, bytes.to_vec()));
            }
        }
        sent
    }

    /// What changed since this was last asked.
    pub fn changes(&mut self) -> Vec<Change> {
        let mut changes = Vec::new();
        while let Some(told) = self.out.to_notify() {
            match told {
                OwnedNotification::MemberUp(run) if self.heard.insert(run.name.clone()) => {
                    changes.push(Change::Heard(run.name));
                }
                OwnedNotification::MemberDown(run) if self.heard.remove(&run.name) => {
                    changes.push(Change::Silent(run.name));
                }
                _ => {}
            }
        }
        changes
    }

    /// Whether this one is heard; one's own self always is.
    pub fn hears(&self, name: &str) -> bool {
        name == self.me.name || self.heard.contains(name)
    }

    fn schedule(&mut self, now: Micros) {
        while let Some((after, timer)) = self.out.to_schedule() {
            self.next += 1;
            self.timers.insert((now.saturating_add(after.as_micros() as Micros), self.next), timer);
        }
    }
}

#[cfg(test)]
mod tests;

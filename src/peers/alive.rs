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
mod tests {
    use super::*;

    /// A second of everybody's time in steps, all datagrams delivered but those of and to the silent.
    fn pass(all: &mut BTreeMap<String, Alive>, now: &mut Micros, seconds: Micros, silent: &str) {
        for _ in 0..seconds * 20 {
            *now += 50_000;
            let sent: Vec<_> = all
                .iter_mut()
                .flat_map(|(from, one)| {
                    one.due(*now).into_iter().map(|(to, d)| (from.clone(), to, d)).collect::<Vec<_>>()
                })
                .collect();
            for (from, to, datagram) in sent {
                if from != silent && to != silent {
                    let one = all.get_mut(&to).expect("a member");
                    one.hear(*now, &from, &datagram);
                }
            }
            all.values_mut().for_each(|one| drop(one.changes()));
        }
    }

    fn fleet(size: usize) -> (BTreeMap<String, Alive>, Micros) {
        let names: BTreeSet<_> = (0..size).map(|n| format!("n{n}")).collect();
        let one = |(n, name): (usize, &String)| {
            let mut one = Alive::new(name, 1_000, n as u64);
            one.know(names.clone());
            (name.clone(), one)
        };
        (names.iter().enumerate().map(one).collect(), 1_000)
    }

    #[test]
    fn all_hear_all_and_one_that_falls_silent_is_missed_and_comes_back() {
        let (mut all, mut now) = fleet(5);
        pass(&mut all, &mut now, 20, "");
        assert!(all.values().all(|one| (0..5).all(|n| one.hears(&format!("n{n}")))));
        pass(&mut all, &mut now, 30, "n3");
        let misses = all.iter().filter(|(name, one)| *name != "n3" && !one.hears("n3")).count();
        assert_eq!(misses, 4);
        assert!(all["n0"].hears("n1") && all["n4"].hears("n2"));
        pass(&mut all, &mut now, 90, "");
        assert!(all.values().all(|one| one.hears("n3")), "it is not heard again");
    }

    #[test]
    fn noise_and_strangers_change_nothing() {
        let (mut all, mut now) = fleet(3);
        pass(&mut all, &mut now, 20, "");
        let one = all.get_mut("n0").expect("a member");
        for n in 0..200_u8 {
            one.hear(now, "n1", &[n; 90]);
            one.hear(now, "nobody", &[n; 9]);
        }
        one.hear(now, "n1", &[0; DATAGRAM_MOST + 1]);
        assert!(one.hears("n1") && one.hears("n2"));
    }
}

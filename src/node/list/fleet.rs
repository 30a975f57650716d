//! A fleet as its list and the operators have it, told to its planner and its pool alike.

use std::cell::RefCell;
use std::collections::{HashMap, HashSet};
use std::rc::Rc;

use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::membership::{Membership, OlderList, State, Target, Targets, UnknownId};
use super::start_times::StartTimes;
use crate::api::*;
use crate::node::counters::add;
use crate::node::upstream::pool::Site;
use crate::node::{Clock, Core};
use crate::wire::Names;

/// The numbers by which instances are known here, and their ids.
#[derive(Default)]
struct Ids {
    numbers: HashMap<String, HostId>,
    ids: HashMap<HostId, String>,
}

impl Ids {
    /// The same number for the same id at every conductor, whatever its order among the rest.
    fn number(&mut self, id: &str) -> HostId {
        if let Some(&host) = self.numbers.get(id) {
            return host;
        }
        let numbers = (0..).map(|seed| HostId(xxh3_64_with_seed(id.as_bytes(), seed) as u32));
        let free = numbers.into_iter().find(|number| !self.ids.contains_key(number));
        let host = free.unwrap_or_default();
        self.numbers.insert(id.to_owned(), host);
        self.ids.insert(host, id.to_owned());
        host
    }

    fn remove(&mut self, id: &str) {
        self.numbers.remove(id).map(|host| self.ids.remove(&host));
    }

    fn retain(&mut self, keep: impl Fn(&HostId) -> bool) {
        self.numbers.retain(|_, host| keep(host));
        self.ids.retain(|host, _| keep(host));
    }
}

/// Keeps who may be sent work, and tells planner and pool of each change at once.
pub struct Fleet {
    core: Core,
    settings: Settings,
    names: Names,
    clock: Clock,
    membership: RefCell<Membership>,
    ids: RefCell<Ids>,
    starts: RefCell<StartTimes>,
}

impl Fleet {
    /// A fleet of which this much is known.
    pub fn new(core: Core, settings: Settings, names: Names, clock: Clock, known: Membership) -> Rc<Self> {
        let (membership, ids, starts) = (RefCell::new(known), RefCell::default(), RefCell::default());
        let fleet = Fleet { core, settings, names, clock, membership, ids, starts };
        let all = fleet.membership.borrow().all();
        if !all.is_empty() {
            fleet.tell(true, &all);
        }
        Rc::new(fleet)
    }

    /// The version of the last list taken in.
    pub fn version(&self) -> Option<u64> {
        self.membership.borrow().version()
    }

    /// All that is known, to be handed over.
    pub fn membership(&self) -> Membership {
        self.membership.borrow().clone()
    }

    /// Its planner and instances.
    pub fn core(&self) -> &Core {
        &self.core
    }

    /// Discovery is another one now, or its versions do not go on from the list at hand.
    pub fn forget_version(&self) {
        self.membership.borrow_mut().forget_version();
    }

    /// Takes a list in at once: what drains or is gone must not wait.
    pub fn take(&self, list: &Targets) -> Result<(), OlderList> {
        let seen = self.membership.borrow_mut().take(list)?;
        add(&self.core.counters.lists);
        if !list.full {
            let lines = list.servers.iter();
            lines.for_each(|t| tracing::info!("discovery: {} is {:?}", t.id, t.state));
        }
        self.tell(list.full, &seen);
        Ok(())
    }

    /// Nothing more to this instance, until it is lifted. Once this returns no attempt begins there.
    pub async fn ban(&self, id: &str) -> Result<(), UnknownId> {
        let changed = self.membership.borrow_mut().ban(id, self.clock.unix_ms())?;
        if let Some(target) = changed {
            add(&self.core.counters.bans);
            tracing::info!("operator: {id} is out for maintenance");
            self.tell(false, std::slice::from_ref(&target));
            self.forget_connections(id);
        }
        self.core.planner.flush().await;
        Ok(())
    }

    /// The instance may serve again; it is taken to have started just now.
    pub async fn lift(&self, id: &str) -> Result<(), UnknownId> {
        let changed = self.membership.borrow_mut().lift(id, self.clock.unix_ms())?;
        if let Some(target) = changed {
            add(&self.core.counters.bans_lifted);
            tracing::info!("operator: {id} is back from maintenance, cold");
            self.forget_connections(id);
            self.starts.borrow_mut().restarted(self.clock.now(), id, target.started_ms);
            self.tell(false, std::slice::from_ref(&target));
        }
        self.core.planner.flush().await;
        Ok(())
    }

    /// Returns of instances that others saw, in Unix milliseconds: they started then, or later.
    pub fn returned(&self, returns: &std::collections::BTreeMap<String, i64>) {
        let changed = self.membership.borrow_mut().returned(returns);
        if !changed.is_empty() {
            self.tell(false, &changed);
        }
    }

    /// The number of an instance that is listed.
    pub fn known(&self, id: &str) -> Option<HostId> {
        self.ids.borrow().numbers.get(id).copied()
    }

    /// Its id.
    pub fn named(&self, host: HostId) -> Option<String> {
        self.ids.borrow().ids.get(&host).cloned()
    }

    /// What stood idle there was opened to the process before its restart.
    fn forget_connections(&self, id: &str) {
        if let Some(host) = self.known(id) {
            self.core.upstream.pool().distrust(host);
        }
    }

    fn tell(&self, whole: bool, targets: &[Target]) {
        let pool = self.core.upstream.pool();
        let (mut starts, reading) = (self.starts.borrow_mut(), self.clock.read_both());
        starts.read(reading);
        let mut members = Vec::new();
        for target in targets {
            let host = self.ids.borrow_mut().number(&target.id);
            let zone = self.names.zones.iter().position(|z| *z == target.zone);
            let kind = self.names.kinds.iter().position(|k| *k == target.kind);
            let phase = match target.state {
                State::Ready => Phase::Serving,
                State::Terminating => Phase::Draining,
                State::Gone => Phase::Gone,
            };
            let (zone, kind, phase, role) = match (zone, kind, pool.site(host)) {
                (Some(zone), Some(kind), _) => (zone, kind, phase, self.settings.kinds[kind].role),
                // An instance that is known by now: nothing more to what cannot be placed.
                (_, _, Some(site)) => {
                    if phase != Phase::Gone {
                        tracing::warn!(
                            "discovery: {} has an unknown zone or kind, taken to drain",
                            target.id
                        );
                    }
                    (0, 0, if phase == Phase::Gone { phase } else { Phase::Draining }, site.role)
                }
                _ => {
                    if phase != Phase::Gone {
                        tracing::warn!("discovery: {} has an unknown zone or kind, passed over", target.id);
                    }
                    self.ids.borrow_mut().remove(&target.id);
                    continue;
                }
            };
            let name = target.id.as_str().into();
            let site = Site { name, addr: target.addr, role, ready: phase == Phase::Serving };
            if phase == Phase::Gone {
                self.ids.borrow_mut().remove(&target.id);
                starts.forget(&target.id);
            }
            pool.place(host, Some(site).filter(|_| phase != Phase::Gone));
            members.push(Member {
                host,
                zone: ZoneId(zone),
                cell: CellId(target.cell),
                kind: KindId(kind),
                phase,
                started: starts.started(reading.now, &target.id, target.started_ms),
            });
        }
        if whole {
            let named: HashSet<HostId> = members.iter().map(|m| m.host).collect();
            let named = |host: &HostId| named.contains(host);
            pool.hosts().into_iter().filter(|h| !named(h)).for_each(|host| pool.place(host, None));
            self.ids.borrow_mut().retain(named);
            starts.retain(|id| self.ids.borrow().numbers.contains_key(id));
        }
        self.core.planner.update_hosts(whole, members);
    }
}

//! The instances of a fleet, from discovery's list and operators' bans. Every change is passed on to the planner and the
//! connection pool.

use std::cell::RefCell;
use std::collections::{HashMap, HashSet};
use std::rc::Rc;

use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::membership::{Membership, StaleList, Target, TargetList, TargetState, UnknownId};
use super::start_times::StartTimes;
use crate::api::*;
use crate::node::counters::add;
use crate::node::upstream::pool::Endpoint;
use crate::node::{Clock, Core};
use crate::wire::Names;

/// The mapping between the ids of instances and the numbers that the decision module uses for them.
#[derive(Default)]
struct HostNumbers {
    hosts: HashMap<String, HostId>,
    ids: HashMap<HostId, String>,
}

impl HostNumbers {
    /// Returns the number of an id, and assigns one if it has none. The number is a hash of the id, so that all conductors use
    /// the same one whatever the order of the list.
    fn assign(&mut self, id: &str) -> HostId {
        if let Some(&host) = self.hosts.get(id) {
            return host;
        }
        let candidates = (0..).map(|seed| HostId(xxh3_64_with_seed(id.as_bytes(), seed) as u32));
        let free = candidates.into_iter().find(|host| !self.ids.contains_key(host));
        let host = free.unwrap_or_default();
        self.hosts.insert(id.to_owned(), host);
        self.ids.insert(host, id.to_owned());
        host
    }

    fn remove(&mut self, id: &str) {
        self.hosts.remove(id).map(|host| self.ids.remove(&host));
    }

    fn retain(&mut self, is_kept: impl Fn(&HostId) -> bool) {
        self.hosts.retain(|_, host| is_kept(host));
        self.ids.retain(|host, _| is_kept(host));
    }
}

/// The instances of a fleet. It passes each change to the planner and the pool at once.
pub struct Fleet {
    core: Core,
    settings: Settings,
    names: Names,
    clock: Clock,
    membership: RefCell<Membership>,
    host_numbers: RefCell<HostNumbers>,
    start_times: RefCell<StartTimes>,
}

impl Fleet {
    /// Creates a fleet with the membership known so far.
    pub fn new(
        core: Core, settings: Settings, names: Names, clock: Clock, membership: Membership,
    ) -> Rc<Self> {
        let (membership, host_numbers, start_times) =
            (RefCell::new(membership), RefCell::default(), RefCell::default());
        let fleet = Fleet { core, settings, names, clock, membership, host_numbers, start_times };
        let targets = fleet.membership.borrow().targets();
        if !targets.is_empty() {
            fleet.publish(true, &targets);
        }
        Rc::new(fleet)
    }

    /// Returns the version of the last list applied.
    pub fn version(&self) -> Option<u64> {
        self.membership.borrow().version()
    }

    /// Returns a copy of the membership, to be handed over to another process.
    pub fn membership(&self) -> Membership {
        self.membership.borrow().clone()
    }

    /// Returns the fleet's planner and upstream.
    pub fn core(&self) -> &Core {
        &self.core
    }

    /// Forgets the version of the list, because discovery moved or its versions do not continue from the current list.
    pub fn forget_version(&self) {
        self.membership.borrow_mut().forget_version();
    }

    /// Applies a list and publishes its changes at once: instances that drain or are gone must not get more work.
    pub fn apply_list(&self, list: &TargetList) -> Result<(), StaleList> {
        let changed = self.membership.borrow_mut().apply_list(list)?;
        add(&self.core.counters.lists);
        if !list.full {
            let servers = list.servers.iter();
            servers.for_each(|target| tracing::info!("discovery: {} is {:?}", target.id, target.state));
        }
        self.publish(list.full, &changed);
        Ok(())
    }

    /// Bans an instance from new work until the ban is lifted. No attempt starts there after this returns.
    pub async fn ban(&self, id: &str) -> Result<(), UnknownId> {
        let changed = self.membership.borrow_mut().ban(id, self.clock.unix_ms())?;
        if let Some(target) = changed {
            add(&self.core.counters.bans);
            tracing::info!("operator: {id} is out for maintenance");
            self.publish(false, std::slice::from_ref(&target));
            self.distrust_connections(id);
        }
        self.core.planner.flush().await;
        Ok(())
    }

    /// Lifts the ban of an instance, which counts as just started.
    pub async fn lift_ban(&self, id: &str) -> Result<(), UnknownId> {
        let changed = self.membership.borrow_mut().lift_ban(id, self.clock.unix_ms())?;
        if let Some(target) = changed {
            add(&self.core.counters.bans_lifted);
            tracing::info!("operator: {id} is back from maintenance, cold");
            self.distrust_connections(id);
            self.start_times.borrow_mut().record_restart(self.clock.now(), id, target.started_ms);
            self.publish(false, std::slice::from_ref(&target));
        }
        self.core.planner.flush().await;
        Ok(())
    }

    /// Merges returns of instances that other conductors recorded, in Unix milliseconds. The instances started then, or later.
    pub fn merge_returns(&self, returns: &std::collections::BTreeMap<String, i64>) {
        let changed = self.membership.borrow_mut().merge_returns(returns);
        if !changed.is_empty() {
            self.publish(false, &changed);
        }
    }

    /// Returns the number of a listed instance.
    pub fn host(&self, id: &str) -> Option<HostId> {
        self.host_numbers.borrow().hosts.get(id).copied()
    }

    /// Returns the id of the instance with this number.
    pub fn instance_id(&self, host: HostId) -> Option<String> {
        self.host_numbers.borrow().ids.get(&host).cloned()
    }

    /// Stops the reuse of idle connections to an instance: they were opened to its process before the restart.
    fn distrust_connections(&self, id: &str) {
        if let Some(host) = self.host(id) {
            self.core.upstream.pool().mark_unresponsive(host);
        }
    }

    /// Passes instances to the planner and the pool. `full` means that all others are gone.
    fn publish(&self, full: bool, targets: &[Target]) {
        let pool = self.core.upstream.pool();
        let (mut start_times, reading) = (self.start_times.borrow_mut(), self.clock.read_both());
        start_times.update_clock(reading);
        let mut members = Vec::new();
        for target in targets {
            let host = self.host_numbers.borrow_mut().assign(&target.id);
            let zone = self.names.zones.iter().position(|name| *name == target.zone);
            let kind = self.names.kinds.iter().position(|name| *name == target.kind);
            let phase = match target.state {
                TargetState::Ready => Phase::Serving,
                TargetState::Terminating => Phase::Draining,
                TargetState::Gone => Phase::Gone,
            };
            let (zone, kind, phase, role) = match (zone, kind, pool.endpoint(host)) {
                (Some(zone), Some(kind), _) => (zone, kind, phase, self.settings.kinds[kind].role),
                // A known instance whose zone or kind is now unknown gets no new work.
                (_, _, Some(site)) => {
                    if phase != Phase::Gone {
                        tracing::warn!("discovery: {} has an unknown zone or kind; draining it", target.id);
                    }
                    (0, 0, if phase == Phase::Gone { phase } else { Phase::Draining }, site.role)
                }
                _ => {
                    if phase != Phase::Gone {
                        tracing::warn!("discovery: {} has an unknown zone or kind; ignored", target.id);
                    }
                    self.host_numbers.borrow_mut().remove(&target.id);
                    continue;
                }
            };
            let name = target.id.as_str().into();
            let site = Endpoint { name, addr: target.addr, role, is_ready: phase == Phase::Serving };
            if phase == Phase::Gone {
                self.host_numbers.borrow_mut().remove(&target.id);
                start_times.remove(&target.id);
            }
            pool.set_endpoint(host, Some(site).filter(|_| phase != Phase::Gone));
            members.push(Member {
                host,
                zone: ZoneId(zone),
                cell: CellId(target.cell),
                kind: KindId(kind),
                phase,
                started: start_times.start_time(reading.monotonic, &target.id, target.started_ms),
            });
        }
        if full {
            let listed: HashSet<HostId> = members.iter().map(|member| member.host).collect();
            let is_listed = |host: &HostId| listed.contains(host);
            pool.hosts()
                .into_iter()
                .filter(|host| !is_listed(host))
                .for_each(|host| pool.set_endpoint(host, None));
            self.host_numbers.borrow_mut().retain(is_listed);
            start_times.retain(|id| self.host_numbers.borrow().hosts.contains_key(id));
        }
        self.core.planner.update_hosts(full, members);
    }
}

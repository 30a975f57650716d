//! Probes and load reports: how much other routers hold at each host.

use super::*;

/// Interval between probes of a writer: a host's reports are updated hardly more often.
const PROBE_INTERVAL_US: Micros = 700_000;
/// Interval between probes while no request had to wait: each probe has a cost.
const IDLE_PROBE_INTERVAL_US: Micros = 2_800_000;
/// Least time between probes of a host for single requests: its reports are updated no more often.
const MIN_REPROBE_INTERVAL_US: Micros = 150_000;
/// Time for which a wait or a failed attempt counts as pressure.
const PRESSURE_WINDOW_US: Micros = 5_000_000;

impl Router {
    /// Probes the candidates for the next step, where there are many routers and each sees few requests.
    pub(super) fn probe_hosts(
        &mut self, now: Micros, hosts: impl IntoIterator<Item = HostId>, out: &mut Vec<Action>,
    ) {
        let has_many_routers = self.settings.routers > MAX_POLLING_ROUTERS && self.settings.limits.probes;
        for id in hosts.into_iter().take(MAX_PROBES_PER_STEP).filter(|_| has_many_routers) {
            let host = self
                .hosts
                .get_mut(&id)
                .filter(|h| now >= h.probed_at.saturating_add(MIN_REPROBE_INTERVAL_US));
            let Some(host) = host else { continue };
            (host.is_probe_pending, host.probed_at) = (true, now);
            out.push(Action::Probe(id));
        }
    }

    /// Records what other routers hold at a host, from its load report. Implausible values are ignored.
    pub(super) fn record_load(&mut self, now: Micros, host_id: HostId, load: Option<&Load>) {
        let in_flight =
            load.and_then(|load| load.in_flight).filter(|in_flight| (0.0..=1e4).contains(in_flight));
        if let (Some(in_flight), Some(host)) =
            (in_flight, self.hosts.get_mut(&host_id).filter(|h| h.role == Role::Read))
        {
            let others = (in_flight - host.pending.len() as f64).max(0.0);
            host.other_requests = Some(DecayingMean { value: others, updated_at: now });
            self.fleet.other_requests_per_reader +=
                2.0 * MIN_FLEET_GAIN * (others - self.fleet.other_requests_per_reader);
        }
        let host = self.hosts.get(&host_id).filter(|h| h.role != Role::Read && h.memory.is_finite());
        let share = load.and_then(|load| load.memory).filter(|share| (0.0..=2.0).contains(share));
        let (Some(host), Some(share)) = (host, share) else { return };
        let own_tokens = self.own_tokens_at(host, |r| r.stage == Stage::Streaming);
        let others = (share * host.memory - own_tokens).max(0.0);
        let gain = if self.fleet.other_memory_share > 0.0 { 2.0 * MIN_FLEET_GAIN } else { 1.0 };
        self.fleet.other_memory_share +=
            gain * (others / host.memory.max(1.0) - self.fleet.other_memory_share);
        self.hosts
            .entry(host_id)
            .and_modify(|h| h.other_tokens = Some(DecayingMean { value: others, updated_at: now }));
    }

    /// Polls the writers for their load while requests are open.
    pub(super) fn probe_writers(&mut self, now: Micros, out: &mut Vec<Action>) {
        let is_polling =
            (2..=MAX_POLLING_ROUTERS).contains(&self.settings.routers) && self.settings.limits.probes;
        let has_waiting = !self.high.is_empty() || !self.low.is_empty();
        self.last_pressure_at = if has_waiting { now } else { self.last_pressure_at };
        let is_under_pressure = now < self.last_pressure_at.saturating_add(PRESSURE_WINDOW_US);
        if !is_polling || self.requests.is_empty() {
            return;
        }
        self.hosts_examined.set(self.hosts_examined.get() + self.hosts.len() as u64);
        let interval = if is_under_pressure { PROBE_INTERVAL_US } else { IDLE_PROBE_INTERVAL_US } as f64;
        let is_polled = |h: &&mut Host| h.role != Role::Read && h.phase == Phase::Serving;
        for host in self.hosts.values_mut().filter(is_polled) {
            let jittered_interval =
                interval * (0.75 + 0.5 * unit_hash(host.id.0, host.probed_at as u64 ^ self.salt));
            if now >= host.probed_at.saturating_add(jittered_interval as Micros) {
                host.probed_at = now;
                out.push(Action::Probe(host.id));
            }
        }
    }
}

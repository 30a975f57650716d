//! Slow start: bounds what all routers together send to a host that started recently, so that it is not
//! overloaded.

use super::*;

/// Share in use of what would overload a cold host: the sends of many routers can coincide.
const DEFAULT_COLD_BUDGET: f64 = 0.5;
/// Longest interval between own sends to a cold host, in overload windows: few requests give a poor rate.
const MAX_COLD_INTERVAL_WINDOWS: f64 = 2.0;
/// Routers beyond which that interval grows in proportion, so that the sum of the least sends does not.
const ROUTERS_PER_COLD_INTERVAL: f64 = 300.0;

impl Host {
    /// Returns the share of its capacity that a starting host has, assuming linear growth.
    pub(super) fn warmth(&self, now: Micros, rules: &Rules) -> f64 {
        let Some(at) = self.started else { return 1.0 };
        let age = (now - at) as f64 / rules.ramp_time.max(1) as f64;
        (rules.start_capacity + (1.0 - rules.start_capacity) * age.max(0.0)).min(1.0)
    }
}

impl Router {
    /// Rule 4 by hash: returns whether this request skips a cold host that is its first choice. All routers
    /// together send the host the share `part` of its budget.
    pub(super) fn skips_cold_host(&self, now: Micros, host: &Host, request: &Request, part: f64) -> bool {
        let warmth = host.warmth(now, &self.settings.rules);
        // A retry is drawn again by its own id.
        let key = request
            .spec
            .session
            .filter(|_| !request.spec.is_client_retry)
            .unwrap_or(TextKey(request.spec.id.0))
            .0;
        warmth < 1.0 && unit_hash(host.id.0, !key) > part * self.cold_send_share(warmth, &request.settings)
    }

    /// Rule 4 by count, where routers exchange spending: returns whether one more send would exceed the
    /// budget of a cold host.
    pub(super) fn exceeds_cold_budget(&self, now: Micros, host: &Host, request: &Request) -> bool {
        let (warmth, Some(peers)) = (host.warmth(now, &self.settings.rules), &self.peer_spending) else {
            return false;
        };
        let peer_sends = if host.role == Role::Read { peers.reads } else { peers.writes };
        let mean_sends = (self.own_sends(host).decayed(now, 0.0) + peer_sends.decayed(now, 0.0))
            / self.serving_hosts(host.role == Role::Read);
        let host_sends = self.fleet_spending(|s| s.cold_sends(now, host.id.0));
        warmth < 1.0
            && host_sends + 1.0 > (mean_sends * self.cold_send_share(warmth, &request.settings)).max(1.0)
    }

    /// Returns the share of a warm host's load that a cold host is sent.
    fn cold_send_share(&self, warmth: f64, settings: &Settings) -> f64 {
        self.settings.rules.fall_multiple * settings.budgets.cold.unwrap_or(DEFAULT_COLD_BUDGET) * warmth
    }

    /// Returns a figure summed over this router and, where spending is exchanged, all others.
    pub(super) fn fleet_spending(&self, figure: impl Fn(&Spending) -> f64) -> f64 {
        figure(&self.fleet.spent) + self.peer_spending.as_ref().map_or(0.0, |others| figure(others))
    }

    /// Returns this router's recent sends to hosts of the same role.
    fn own_sends(&self, host: &Host) -> DecayingMean {
        if host.role == Role::Read { self.fleet.reads } else { self.fleet.writes }
    }

    /// Returns the number of serving readers, or of serving writers and mixed hosts; at least 1.
    pub(super) fn serving_hosts(&self, is_reader: bool) -> f64 {
        let is_counted = |h: &&Host| (h.role == Role::Read) == is_reader && h.phase == Phase::Serving;
        self.examine_hosts().filter(is_counted).count().max(1) as f64
    }

    /// Rule 4: returns the least time between this router's sends to a starting host, from the present load
    /// of a host of its role.
    pub(super) fn cold_send_interval(&self, now: Micros, host_id: HostId) -> Micros {
        let Some(host) = self.hosts.get(&host_id) else { return 0 };
        let host_rate = self.own_sends(host).decayed(now, 0.0)
            / HOST_HALF_LIFE_US
            / self.serving_hosts(host.role == Role::Read);
        let max_rate =
            host_rate * self.cold_send_share(host.warmth(now, &self.settings.rules), &self.settings);
        let router_scale = (f64::from(self.settings.routers) / ROUTERS_PER_COLD_INTERVAL).max(1.0);
        (1.0 / max_rate.max(1e-9))
            .min(MAX_COLD_INTERVAL_WINDOWS * router_scale * self.settings.rules.overload_for as f64)
            as Micros
    }

    /// Delays the first send to a cold host with jitter, because all routers learn of a start at the same
    /// time.
    pub(super) fn delay_first_cold_send(&mut self, now: Micros, host_id: HostId) {
        let delay =
            self.cold_send_interval(now, host_id) as f64 * unit_hash(host_id.0, now as u64 ^ self.salt);
        self.hosts.entry(host_id).and_modify(|h| h.next_cold_send_at = now.saturating_add(delay as Micros));
    }
}

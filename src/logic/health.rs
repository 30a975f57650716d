//! Host health: the list of hosts, backoff after failures, and hosts that do not answer probes.

use super::*;

/// Backoff after the first failure of a host; it doubles with each further one.
const MIN_BACKOFF_US: Micros = 250_000;
/// Longest backoff of a host, short so that its return is found soon.
const MAX_BACKOFF_US: Micros = 2_000_000;
/// Time per router for which a failed host comes last: each of many routers sees few requests.
const LAST_RESORT_US_PER_ROUTER: Micros = 100_000;
/// Share of the mean load below which a warm writer is suspect and is sent no unsafe request.
const IDLE_SUSPECT_LOAD_SHARE: f64 = 0.4;
/// Mean memory share above which idle writers are suspect.
const MIN_IDLE_SUSPECT_MEMORY_SHARE: f64 = 0.05;
/// Failures in a row after which a host that answers again is treated as cold.
const RESTART_FAILURES: u32 = 3;

impl Host {
    /// Returns whether the host may be sent this request now.
    pub(super) fn accepts(&self, now: Micros, received: &NewRequest, rules: &Rules) -> bool {
        let warm_at = self.started.map_or(Micros::MIN, |at| at.saturating_add(rules.ramp_time));
        self.phase == Phase::Serving
            && now >= self.backoff_until
            && (self.failures == 0 || self.pending.is_empty())
            && (now >= warm_at || now >= self.next_cold_send_at)
            && self.full_until.get(&(received.class, received.tenant)).is_none_or(|&at| now >= at)
    }

    /// Returns the age of the oldest unanswered attempt, or 0 if there is none.
    pub(super) fn oldest_pending(&self, now: Micros) -> f64 {
        self.pending.values().min().map_or(0.0, |&at| (now - at) as f64)
    }
}

impl Router {
    /// Makes a host the last choice for a time that grows with the number of routers.
    pub(super) fn mark_last_resort(&mut self, now: Micros, host_id: HostId) {
        self.hosts.entry(host_id).and_modify(|h| {
            h.last_resort_until = now + LAST_RESORT_US_PER_ROUTER * Micros::from(self.settings.routers)
        });
    }

    /// Returns whether a host is chosen only when no other fits: it failed recently or has not answered a
    /// probe.
    pub(super) fn is_last_resort(&self, now: Micros, host: &Host) -> bool {
        now < host.last_resort_until
            || (host.is_probe_pending && now >= host.probed_at + PROBE_REPLY_TIMEOUT_US)
    }

    /// Returns whether a warm writer is far emptier than the others, like one that answers every request with
    /// an immediate error.
    pub(super) fn is_suspiciously_idle(&self, now: Micros, host: &Host) -> bool {
        let has_reports = self.settings.routers > MAX_POLLING_ROUTERS
            && self.fleet.other_memory_share > MIN_IDLE_SUSPECT_MEMORY_SHARE;
        let is_empty = host.other_tokens.is_some_and(|tokens| {
            tokens.value < IDLE_SUSPECT_LOAD_SHARE * self.fleet.other_memory_share * host.memory
        });
        has_reports && is_empty && host.warmth(now, &self.settings.rules) >= 1.0
    }

    /// Records a failure and starts a backoff that doubles with each one. The failure of an attempt that was
    /// sent before the last failure does not count.
    pub(super) fn record_failure(
        &mut self, now: Micros, host_id: HostId, sent_at: Micros, out: &mut Vec<Action>,
    ) {
        let is_new_failure = |host: &&mut Host| host.failures == 0 || sent_at >= host.failed_at;
        let Some(host) = self.hosts.get_mut(&host_id).filter(is_new_failure) else { return };
        (host.failures, host.failed_at) = (host.failures + 1, now);
        host.backoff_until = now + (MIN_BACKOFF_US << (host.failures - 1).min(10)).min(MAX_BACKOFF_US);
        if host.failures == RESTART_FAILURES {
            out.push(Action::Suspect { host: host_id, failures: host.failures });
        }
        self.mark_last_resort(now, host_id);
    }

    /// Records a useful answer, which ends the backoff. After [`RESTART_FAILURES`] failures the host is
    /// treated as restarted and cold.
    pub(super) fn record_success(&mut self, now: Micros, host_id: HostId) {
        let Some(host) = self.hosts.get_mut(&host_id) else { return };
        let restart_cutoff = host.failed_at - self.settings.rules.ramp_time;
        if host.failures >= RESTART_FAILURES && host.started.is_none_or(|s| s < restart_cutoff) {
            host.started = Some(now);
            self.delay_first_cold_send(now, host_id);
        }
        self.hosts
            .entry(host_id)
            .and_modify(|h| (h.failures, h.unreadable_answers, h.backoff_until) = (0, 0, now));
    }

    /// Rule 3: applies a list of hosts; a draining or gone host is not chosen from this moment on.
    pub(super) fn update_hosts(&mut self, now: Micros, is_complete: bool, members: &[Member]) {
        if is_complete {
            let listed: BTreeSet<_> = members.iter().map(|m| m.host).collect();
            self.hosts.values_mut().filter(|h| !listed.contains(&h.id)).for_each(|h| h.phase = Phase::Gone);
        }
        for member in members {
            let Some(kind) = self.settings.kinds.get(member.kind.0) else { continue };
            let host = self.hosts.entry(member.host).or_insert_with(|| Host {
                id: member.host,
                zone: member.zone,
                cell: member.cell,
                kind: member.kind,
                role: kind.role,
                memory: kind.memory.unwrap_or(f64::INFINITY),
                ..Host::default()
            });
            host.phase = member.phase;
            if member.started > host.started {
                (host.started, host.next_cold_send_at) = (member.started, 0);
                (
                    host.failures,
                    host.backoff_until,
                    host.last_resort_until,
                    host.other_requests,
                    host.other_tokens,
                ) = Default::default();
                (host.cached_texts, host.read_cost, host.first_token_time) = Default::default();
            }
            if host.next_cold_send_at == 0 && member.started.is_some() {
                self.delay_first_cold_send(now, member.host);
            }
        }
        // Drop gone hosts once no attempt is in flight there; otherwise the table would grow with every new
        // host.
        if is_complete || self.has_gone_hosts_with_work || members.iter().any(|m| m.phase == Phase::Gone) {
            let has_work = |h: &Host| !h.streams.is_empty() || !h.pending.is_empty();
            self.hosts.retain(|_, h| h.phase != Phase::Gone || has_work(h));
            self.has_gone_hosts_with_work = self.hosts.values().any(|h| h.phase == Phase::Gone);
        }
        self.are_cell_weights_stale = true;
    }
}

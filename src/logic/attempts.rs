//! Attempts: sending, outcomes, retries within the budgets, and the one final answer of each request.

use super::*;

const MIN_RETRIES: f64 = 0.5; // recent retries below which one more is always allowed
const RETRY_AFTER_JITTER: f64 = 0.6; // part of the retry-after time that is jitter, so that clients spread
const HOST_GAIN: f64 = 0.25; // weight of a sample in a host's mean: learns from few requests
const MAX_CACHED_TEXTS: usize = 2_000; // most texts remembered as cached at one host, which bounds memory
const TIMEOUT_MULTIPLE: f64 = 4.0; // time-out of an attempt as a multiple of its expected time
const TIMEOUT_EXTRA_US: f64 = 300_000.0; // time added to each time-out
const ATTEMPT_TIME_SHARE: f64 = 0.6; // most of the time left for one attempt that others could follow
const MAX_UNREADABLE: u32 = 2; // unreadable answers in a row before the next counts as a failure
const MIN_FULL_BACKOFF_US: Micros = 100_000; // least backoff after a host rejected a request as full
const FULL_BACKOFF_FACTOR: Micros = 20; // least backoff as a multiple of the time that the rejection took

impl Router {
    pub(super) fn assign_writer(&mut self, id: RequestId, writer: HostId) {
        self.unassign_writer(id);
        let (Some(r), Some(host)) = (self.requests.get_mut(&id), self.hosts.get_mut(&writer)) else { return };
        r.writer = Some(writer);
        host.streams.insert(id);
    }

    pub(super) fn unassign_writer(&mut self, id: RequestId) {
        let writer = self.requests.get_mut(&id).and_then(|r| r.writer.take());
        writer.and_then(|w| self.hosts.get_mut(&w)).map(|host| host.streams.remove(&id));
    }

    pub(super) fn send_write(&mut self, now: Micros, id: RequestId, writer: HostId, out: &mut Vec<Action>) {
        let (host, request) = (&self.hosts[&writer], &self.requests[&id]);
        let read_time =
            if request.reader.is_none() { self.expected_read_time(now, host, request) } else { 0.0 };
        let expected = self.expected_first_token_time(now, host) + read_time;
        self.requests.entry(id).and_modify(|r| r.stage = Stage::Writing);
        self.fleet.writes.count_event(now);
        self.send_attempt(now, id, writer, expected, out);
    }

    pub(super) fn send_attempt(
        &mut self, now: Micros, id: RequestId, at: HostId, expected: f64, out: &mut Vec<Action>,
    ) {
        let send_interval = self.cold_send_interval(now, at);
        let (Some(r), Some(host)) = (self.requests.get_mut(&id), self.hosts.get_mut(&at)) else { return };
        let left = (r.deadline - now).max(1) as f64;
        // Only a time-out reveals a silent host. The share leaves time for a retry unless all hosts are slow.
        let share = if left * ATTEMPT_TIME_SHARE > expected * 1.5 { left * ATTEMPT_TIME_SHARE } else { left };
        // Without cancellation, a given-up attempt would run on.
        let timeout_multiple = if self.settings.limits.cancel { TIMEOUT_MULTIPLE } else { f64::INFINITY };
        let mut time_out = (expected * timeout_multiple + TIMEOUT_EXTRA_US).min(share) as Micros;
        (r.attempts_sent, r.began_at) = (r.attempts_sent + 1, now);
        if r.spec.is_unary && host.role != Role::Read {
            // Such an answer is silent until it is complete, so it may take all the time left.
            time_out = left as Micros;
        } else {
            host.pending.insert(id, now);
        }
        host.next_cold_send_at = now.saturating_add(send_interval);
        if host.warmth(now, &self.settings.rules) < 1.0 {
            self.fleet.spent.record_cold_send(now, at.0);
        }
        out.push(Action::Send { request: id, host: at, time_out: time_out.max(1) });
    }

    pub(super) fn stream_started(&mut self, now: Micros, id: RequestId, at: HostId, elapsed: Micros) {
        self.record_success(now, at);
        let (Some(r), Some(host)) = (self.requests.get_mut(&id), self.hosts.get_mut(&at)) else { return };
        host.pending.remove(&id);
        (r.stage, r.began_at) = (Stage::Streaming, now);
        if r.reader.is_some() {
            return self.record_first_token(now, at, elapsed);
        }
        host.read_cost.add_sample(
            now,
            self.fleet.read_cost.value,
            elapsed as f64 / (r.uncached_tokens + READ_OVERHEAD_TOKENS),
            HOST_GAIN,
        );
        host.cached_texts.extend(r.spec.prefix.map(|key| (key, r.spec.prefix_tokens)));
    }

    /// Records the time to a first token, or its lower bound when the attempt timed out.
    pub(super) fn record_first_token(&mut self, now: Micros, host_id: HostId, elapsed: Micros) {
        let Some(host) = self.hosts.get_mut(&host_id) else { return };
        host.first_token_time.add_sample(now, self.fleet.first_token_time.value, elapsed as f64, HOST_GAIN);
        self.fleet.first_token_time.add_fleet_sample(now, elapsed as f64);
    }

    pub(super) fn attempt_ended(
        &mut self, now: Micros, id: RequestId, at: HostId,
        (outcome, is_final, cached_tokens, elapsed): (Outcome, bool, f64, Micros), out: &mut Vec<Action>,
    ) {
        let read_state = |r: &Request| (r.stage == Stage::Reading, r.began_at);
        let (was_read, began_at) = self.requests.get(&id).map_or((false, now), read_state);
        let sent_at = self.hosts.get_mut(&at).and_then(|h| h.pending.remove(&id)).unwrap_or(began_at);
        let unstreamed = self.requests.get(&id).filter(|r| r.stage != Stage::Streaming);
        if let Some((uncached_tokens, is_low_tier, first_token_due)) =
            unstreamed.map(|r| (r.uncached_tokens, r.is_low_tier, r.first_token_due))
        {
            if is_low_tier {
                self.adjust_low_interval(outcome == Outcome::Read && now <= first_token_due);
            }
            match outcome {
                Outcome::TimedOut if was_read => self.time_read(now, id, at, uncached_tokens, elapsed),
                Outcome::TimedOut => self.record_first_token(now, at, elapsed),
                _ => {}
            }
        }
        let is_under_pressure = matches!(outcome, Outcome::TimedOut | Outcome::Full);
        self.last_pressure_at = if is_under_pressure { now } else { self.last_pressure_at };
        match outcome {
            Outcome::Served => self.record_served(now, id, at),
            Outcome::Read => self.record_read(now, id, at, cached_tokens, elapsed),
            Outcome::Full => {
                // The host may be full for this class or tenant only. A slow rejection backs off longer.
                let until =
                    now.saturating_add(MIN_FULL_BACKOFF_US.max(elapsed.saturating_mul(FULL_BACKOFF_FACTOR)));
                let key = self.requests.get(&id).map(|r| ((r.spec.class, r.spec.tenant), until));
                self.hosts.entry(at).and_modify(|h| h.full_until.extend(key));
            }
            Outcome::NoState | Outcome::Cancelled | Outcome::Moot => {}
            // A healthy host may send a few unreadable answers; only a host that sends no others has failed.
            Outcome::Spoilt if self.hosts.get(&at).is_some_and(|h| h.unreadable_answers < MAX_UNREADABLE) => {
                self.hosts.entry(at).and_modify(|h| h.unreadable_answers += 1);
            }
            _ => self.record_failure(now, at, sent_at, out),
        }
        let Some(request) = self.requests.get_mut(&id) else { return out.push(Action::Release(id)) };
        if is_final || request.has_client_left {
            out.push(Action::Release(id));
            return self.remove_request(id);
        }
        match (request.stage, outcome) {
            (Stage::Reading, Outcome::Read) => (request.stage, request.ready_since) = (Stage::Ready, now),
            (Stage::Reading, _) | (_, Outcome::NoState) => self.enqueue(now, id),
            (_, Outcome::Moot) => self.give_up(id, out),
            _ => {
                let may_have_run = !matches!(outcome, Outcome::Full | Outcome::Unreachable);
                if may_have_run && request.may_have_run.is_none() {
                    request.may_have_run = Some((at, sent_at));
                }
                if request.reader.is_none() {
                    self.enqueue(now, id);
                } else if outcome == Outcome::Spoilt {
                    // The answer had begun, so the writer has fetched the state and another would find none.
                    out.push(Action::Release(id));
                    self.enqueue(now, id);
                } else {
                    // `ready_since` stays: the call may not have arrived, so the state may still be held.
                    request.stage = Stage::Ready;
                }
            }
        }
        let is_past_deadline = self.requests.get(&id).is_none_or(|r| now >= r.deadline);
        let lacks_budget = outcome != Outcome::Read && !self.take_from_retry_budget(now, id);
        if is_past_deadline || lacks_budget || !self.may_run_anywhere(now, id) {
            self.give_up(id, out);
        }
    }

    pub(super) fn record_served(&mut self, now: Micros, id: RequestId, host_id: HostId) {
        self.record_success(now, host_id);
        let streamed = self.requests.get(&id).filter(|r| r.stage == Stage::Streaming);
        let (Some(r), Some(host)) = (streamed, self.hosts.get(&host_id)) else { return };
        let load = self.stream_count_at(now, host);
        self.fleet.curves[host.kind.0].add_stream(load, r.answer_tokens, (now - r.began_at) as f64);
    }

    /// Records the time, or its lower bound, of all own tokens queued up to a read; others add to the cost.
    pub(super) fn time_read(
        &mut self, now: Micros, id: RequestId, host_id: HostId, uncached_tokens: f64, elapsed: Micros,
    ) {
        let (Some(r), Some(host)) = (self.requests.get(&id), self.hosts.get_mut(&host_id)) else { return };
        let load = (r.queued_tokens - r.uncached_tokens + uncached_tokens).max(READ_OVERHEAD_TOKENS);
        self.fleet.record_read(
            now,
            &mut host.read_cost,
            (uncached_tokens, load, elapsed, HOST_GAIN),
            host.other_requests.is_some(),
        );
    }

    pub(super) fn record_read(
        &mut self, now: Micros, id: RequestId, host_id: HostId, cached_tokens: f64, elapsed: Micros,
    ) {
        self.record_success(now, host_id);
        let Some(r) = self.requests.get(&id) else { return };
        if r.home == Some(host_id) {
            let share = (cached_tokens / r.spec.prompt_tokens.max(1.0)).clamp(0.0, 1.0);
            self.fleet.cached_prompt_share += MIN_FLEET_GAIN * (share - self.fleet.cached_prompt_share);
        }
        self.time_read(now, id, host_id, (r.spec.prompt_tokens - cached_tokens).max(0.0), elapsed);
        let (Some(r), Some(host)) = (self.requests.get(&id), self.hosts.get_mut(&host_id)) else { return };
        // The host has dropped cached texts: assume none until they are read again.
        if cached_tokens < Self::known_cached(host, r) / 2.0 || host.cached_texts.len() >= MAX_CACHED_TEXTS {
            host.cached_texts.clear();
        }
        host.cached_texts.extend(r.spec.prefix.map(|key| (key, r.spec.prefix_tokens)));
        host.cached_texts.extend(r.spec.session.map(|key| (key, r.spec.prompt_tokens)));
    }

    pub(super) fn client_left(&mut self, id: RequestId, out: &mut Vec<Action>) {
        let Some(request) = self.requests.get_mut(&id) else { return };
        if matches!(request.stage, Stage::High | Stage::Low | Stage::Ready) {
            out.push(Action::Release(id));
            return self.remove_request(id);
        }
        request.has_client_left = true;
        if self.settings.limits.cancel && request.stage != Stage::Streaming {
            out.push(Action::Cancel { request: id, attempt: AttemptId(request.attempts_sent.max(1) - 1) });
        }
    }

    pub(super) fn remove_request(&mut self, id: RequestId) {
        self.unassign_writer(id);
        if let Some(request) = self.requests.remove(&id) {
            self.high.remove(&(request.first_token_due, id));
            self.low.remove(&(request.first_token_due, id));
        }
    }

    /// Rule 1: gives the one final answer at once and releases all that is held for the request.
    pub(super) fn give_up(&mut self, id: RequestId, out: &mut Vec<Action>) {
        let Some(r) = self.requests.get(&id) else { return };
        if r.attempts_sent > 0 {
            out.push(Action::Release(id));
        }
        let is_repeatable =
            matches!(r.settings.classes[r.spec.class.0].effect, Effect::Safe | Effect::Keyed(Group::All, _));
        out.push(if is_repeatable || r.may_have_run.is_none() {
            let share = 1.0 - RETRY_AFTER_JITTER * unit_hash(id.0 as u32, self.salt);
            let retry_after = r.settings.limits.come_back.map(|longest| (longest as f64 * share) as Micros);
            Action::Refuse { request: id, retry_after }
        } else {
            Action::Fail(id)
        });
        self.remove_request(id);
    }

    /// Rule 2: returns whether an attempt at this host cannot repeat an effect.
    pub(super) fn may_run_at(&self, now: Micros, request: &Request, host_id: HostId) -> bool {
        let Some((ran_at, since)) = request.may_have_run else { return true };
        let group = match request.settings.classes[request.spec.class.0].effect {
            Effect::Safe => return true,
            Effect::Keyed(group, window) if now < since + window => group,
            _ => return false,
        };
        let (Some(a), Some(b)) = (self.hosts.get(&ran_at), self.hosts.get(&host_id)) else { return false };
        group == Group::All || a.cell == b.cell || (group == Group::Zone && a.zone == b.zone)
    }

    pub(super) fn may_run_anywhere(&self, now: Micros, id: RequestId) -> bool {
        let Some(r) = self.requests.get(&id) else { return true };
        let sends = r.attempts_sent + if r.reader.is_some() { 1 } else { 2 };
        let fits = |(&host_id, h): (&HostId, &Host)| h.role != Role::Read && self.may_run_at(now, r, host_id);
        sends <= r.settings.limits.max_attempts && (r.may_have_run.is_none() || self.hosts.iter().any(fits))
    }

    /// Takes one retry from the budget of all routers; returns whether there was room for it.
    fn take_from_retry_budget(&mut self, now: Micros, id: RequestId) -> bool {
        let Some(rate) = self.requests.get(&id).and_then(|r| r.settings.budgets.retries) else { return true };
        let sum = |field: fn(&Spending) -> DecayingMean| self.fleet_spending(|s| field(s).decayed(now, 0.0));
        let has_budget = rate > 0.0 && sum(|s| s.retried) < (rate * sum(|s| s.arrived)).max(MIN_RETRIES);
        if has_budget {
            self.fleet.spent.retried.count_event(now);
        }
        has_budget
    }
}

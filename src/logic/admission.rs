//! Admission control: the high and the low tier of waiting requests, and the test of a writer's headroom that
//! a request has to pass before its prompt is read.

use super::*;

/// First requests of the high tier from which one is drawn: enough to pass a head that does not fit.
const HIGH_TIER_WINDOW: usize = 4;
/// Most requests of a tier that are examined in full each time: far above a usual backlog.
const MAX_TIER_LOOKAHEAD: usize = 128;
/// Share of the target time per token in use: answer lengths are guesses and the speed curve lags.
const MAX_PACE_SHARE: f64 = 0.9;
/// Share of a writer's memory in use: a writer beyond it evicts its newest answer, which is read again.
const MAX_MEMORY_SHARE: f64 = 0.9;
/// Share of the output limit that is taken as the length of an answer without a hint.
const DEFAULT_LENGTH_SHARE: f64 = 0.3;
/// Shortest and longest interval between a fleet's low-tier sends: the least while reads are in time.
const LOW_TIER_INTERVAL_US: (f64, f64) = (5_000.0, 80_000.0);
/// Readers up to which that interval holds; a larger fleet sends in proportion more often.
const LOW_TIER_READERS: f64 = 10.0;

impl Router {
    /// Accepts a new request into the high tier, or refuses one that no host of the deployment can serve.
    pub(super) fn receive_request(&mut self, now: Micros, received: &NewRequest, out: &mut Vec<Action>) {
        let can_read_and_write =
            |k: &Kind| k.role == Role::Both || (k.role == Role::Write && self.settings.limits.writers_read);
        let can_serve =
            self.settings.limits.max_attempts >= 2 || self.settings.kinds.iter().any(can_read_and_write);
        let Some(class) = self.settings.classes.get(received.class.0).filter(|_| can_serve) else {
            return out.push(Action::Refuse { request: received.id, retry_after: None });
        };
        let token_aim = class.token_aim.max(1) as f64;
        let hinted_tokens = received
            .expected_stream_time
            .map(|stream_time| (stream_time as f64 / token_aim).min(received.max_output_tokens));
        let answer_tokens =
            hinted_tokens.unwrap_or(received.max_output_tokens * DEFAULT_LENGTH_SHARE).max(1.0);
        let prompt_allowance = (class.aim_per_1000 as f64 * received.prompt_tokens / 1000.0) as Micros;
        let latest_deadline = self.answers_until.filter(|_| !received.is_unary).unwrap_or(Micros::MAX);
        let deadline = now.saturating_add(received.time_left).min(latest_deadline);
        let first_token_due = now.saturating_add(class.aim.saturating_add(prompt_allowance)).min(deadline);
        let gain = if self.fleet.mean_request_tokens > 0.0 { MIN_FLEET_GAIN } else { 1.0 };
        self.fleet.mean_request_tokens +=
            gain * (received.prompt_tokens + answer_tokens - self.fleet.mean_request_tokens);
        let request = Request {
            spec: received.clone(),
            settings: self.settings.clone(),
            first_token_due,
            deadline,
            answer_tokens,
            total_tokens: received.prompt_tokens + answer_tokens,
            token_aim,
            ..Request::default()
        };
        self.fleet.record_arrival(now, received, request.total_tokens);
        self.requests.insert(received.id, request);
        self.enqueue(now, received.id);
        let homes =
            self.homes(now, &self.requests[&received.id], |h| h.accepts(now, received, &self.settings.rules));
        let homes: Vec<_> = homes.iter().map(|h| h.id).collect();
        self.probe_hosts(now, homes, out);
    }

    /// Puts a request into the high tier, to have its prompt read for the first time or again.
    pub(super) fn enqueue(&mut self, now: Micros, id: RequestId) {
        self.unassign_writer(id);
        let Some(request) = self.requests.get(&id) else { return };
        let home = self.homes(now, request, |h| h.phase == Phase::Serving).first().map(|h| h.id);
        let Some(request) = self.requests.get_mut(&id) else { return };
        (request.reader, request.home, request.stage) = (None, home, Stage::High);
        self.high.insert((request.first_token_due, id));
    }

    /// Moves requests whose first token would be late to the low tier, and gives up those that would miss
    /// their deadline.
    pub(super) fn demote_or_expire(&mut self, now: Micros, out: &mut Vec<Action>) {
        if self.high.is_empty() && self.low.is_empty() {
            return;
        }
        let first_token_time = self.shortest_time(false, |h| self.expected_first_token_time(now, h));
        for is_low_tier in [false, true] {
            let is_late = |(rank, (_, id)): &(usize, &(Micros, RequestId))| {
                let request = &self.requests[id];
                let read = || {
                    self.shortest_time(true, |h| self.expected_read_time(now, h, request)) + first_token_time
                };
                let start = now.saturating_add(if *rank < MAX_TIER_LOOKAHEAD { read() as Micros } else { 0 });
                start
                    > if is_low_tier { request.deadline - ANSWER_MARGIN_US } else { request.first_token_due }
            };
            let tier = if is_low_tier { &self.low } else { &self.high };
            let overdue: Vec<_> = tier.iter().enumerate().filter(is_late).map(|(_, &key)| key).collect();
            for key in overdue {
                if is_low_tier {
                    self.give_up(key.1, out);
                } else if self.high.remove(&key) && self.low.insert(key) {
                    self.requests.entry(key.1).and_modify(|r| r.stage = Stage::Low);
                }
            }
        }
    }

    /// Returns the shortest `time` of the serving readers, or else of the other serving hosts; 0 if there are
    /// none.
    pub(super) fn shortest_time(&self, is_reader: bool, time: impl Fn(&Host) -> f64) -> f64 {
        let fits = |h: &&Host| (h.role == Role::Read) == is_reader && h.phase == Phase::Serving;
        self.examine_hosts().filter(fits).map(time).min_by(f64::total_cmp).unwrap_or(0.0)
    }

    /// Admits requests of the high tier that pass the test, drawn at random from its first few. The low tier
    /// is sent only while the high tier is empty.
    pub(super) fn admit(&mut self, now: Micros, out: &mut Vec<Action>) {
        loop {
            // Tenants within their share come first; those over it take the remaining capacity.
            let lookahead = if self.settings.tenants.iter().any(|t| t.share.is_some()) {
                MAX_TIER_LOOKAHEAD
            } else {
                HIGH_TIER_WINDOW
            };
            let is_within_share =
                |key: &(Micros, RequestId)| !self.is_over_share(now, &self.requests[&key.1]);
            let (mut window, mut rest): (Vec<_>, Vec<_>) =
                self.high.iter().take(lookahead).partition(|k| is_within_share(k));
            let draw = |key: &(Micros, RequestId)| unit_hash(now as u32, key.1.0 ^ self.salt);
            for tier in [&mut window, &mut rest] {
                tier.truncate(HIGH_TIER_WINDOW);
                tier.sort_by(|a, b| draw(a).total_cmp(&draw(b)));
            }
            let passes = |key: &(Micros, RequestId)| Some((*key, self.choose_pair(now, key.1, true)?));
            let Some((key, (reader, writer))) = window.iter().chain(&rest).find_map(passes) else { break };
            self.high.remove(&key);
            self.start_request(now, key.1, reader, writer, out);
        }
        let is_low_tier_read =
            |r: &Request| r.is_low_tier && matches!(r.stage, Stage::Reading | Stage::Writing);
        let is_low_tier_due = self.high.is_empty()
            && now >= self.next_low_send_at
            && !self.requests.values().any(is_low_tier_read);
        if is_low_tier_due
            && let Some(&key) = self.low.first()
            && let Some((reader, writer)) = self.choose_pair(now, key.1, false)
        {
            self.low.remove(&key);
            self.next_low_send_at = now + self.fleet.low_tier_interval as Micros;
            self.start_request(now, key.1, reader, writer, out);
        }
    }

    /// Returns whether the request's tenant has recently used more than its share of the fleet's work.
    fn is_over_share(&self, now: Micros, request: &Request) -> bool {
        let share = |t: &TenantId| Some((t.0, request.settings.tenants.get(t.0)?.share?));
        let Some((tenant, share)) = request.spec.tenant.as_ref().and_then(share) else { return false };
        let used_tokens = |t| self.fleet_spending(|s| s.tenant_tokens(now, t));
        used_tokens(tenant) > share * (0..request.settings.tenants.len()).map(used_tokens).sum::<f64>()
    }

    /// Adjusts the interval between low-tier sends: four times as long after a late read, half as long after
    /// one in time.
    pub(super) fn adjust_low_interval(&mut self, is_on_time: bool) {
        let router_scale =
            f64::from(self.settings.routers.max(1)) * (LOW_TIER_READERS / self.serving_hosts(true)).min(1.0);
        let interval = self.fleet.low_tier_interval * if is_on_time { 0.5 } else { 4.0 };
        self.fleet.low_tier_interval =
            interval.clamp(LOW_TIER_INTERVAL_US.0 * router_scale, LOW_TIER_INTERVAL_US.1 * router_scale);
    }

    /// Admits a request: assigns it to the writer and sends its prompt to be read.
    pub(super) fn start_request(
        &mut self, now: Micros, id: RequestId, reader: Option<HostId>, writer: HostId, out: &mut Vec<Action>,
    ) {
        self.assign_writer(id, writer);
        let uncached_tokens =
            self.uncached_tokens_at(&self.hosts[&reader.unwrap_or(writer)], &self.requests[&id]);
        if let Some(request) = self.requests.get_mut(&id) {
            (request.is_low_tier, request.uncached_tokens) = (request.stage == Stage::Low, uncached_tokens);
        }
        let Some(reader) = reader else { return self.send_write(now, id, writer, out) };
        let (request, host) = (&self.requests[&id], &self.hosts[&reader]);
        let (expected, queued_tokens) = (
            self.expected_read_time(now, host, request),
            self.queued_tokens_at(now, host) + uncached_tokens + READ_OVERHEAD_TOKENS,
        );
        if let Some(request) = self.requests.get_mut(&id) {
            (request.stage, request.reader, request.queued_tokens) =
                (Stage::Reading, Some(reader), queued_tokens);
        }
        self.fleet.reads.count_event(now);
        self.send_attempt(now, id, reader, expected, out);
        // Probe the writers of the cell now, so that their load is known when the read ends.
        let cell = self.hosts[&reader].cell;
        let is_nearby_writer =
            |h: &&Host| h.role != Role::Read && h.cell == cell && h.phase == Phase::Serving;
        let random_order = |h: &Host| ((unit_hash(h.id.0, !id.0 ^ self.salt) * 1e9) as u64, h.id);
        let nearby_writers: BTreeSet<_> =
            self.examine_hosts().filter(is_nearby_writer).map(random_order).collect();
        self.probe_hosts(now, nearby_writers.into_iter().map(|(_, id)| id), out);
    }

    /// Returns the writer's headroom as a share. If `is_tested`, returns `None` unless the writer keeps the
    /// token pace of all its streams, has the memory and delivers the first token in time.
    pub(super) fn headroom(
        &self, now: Micros, request: &Request, host: &Host, ready_in: f64, is_tested: bool,
    ) -> Option<f64> {
        let is_new_stream = !host.streams.contains(&request.spec.id);
        let load = self.stream_count_at(now, host) + if is_new_stream { 1.0 } else { 0.0 };
        let pace =
            self.fleet.curves[host.kind.0].time_per_token(load) / host.warmth(now, &self.settings.rules);
        let stream_targets = host.streams.iter().filter_map(|id| self.requests.get(id)).map(|s| s.token_aim);
        let pace_target = stream_targets.fold(request.token_aim, f64::min);
        let pace_share = pace / (pace_target * MAX_PACE_SHARE);
        let added_tokens = if is_new_stream { request.total_tokens } else { 0.0 };
        let held_tokens = self.own_tokens_at(host, |_| true) + added_tokens + self.other_tokens_at(now, host);
        let memory_share = held_tokens / (host.memory * MAX_MEMORY_SHARE).max(1.0);
        if is_tested {
            let start = now.saturating_add((ready_in + self.expected_first_token_time(now, host)) as Micros);
            // A prompt that is already read gains nothing by waiting for a faster writer.
            let limit = if request.stage == Stage::High { request.first_token_due } else { request.deadline };
            if pace_share > 1.0 || memory_share > 1.0 || start > limit {
                return None;
            }
        }
        Some(1.0 - pace_share.max(memory_share).min(1e6))
    }

    /// Returns the number of streams at a writer: this router's own, and those of others estimated from the
    /// memory that they hold.
    pub(super) fn stream_count_at(&self, now: Micros, host: &Host) -> f64 {
        host.streams.len() as f64 + self.other_tokens_at(now, host) / self.fleet.mean_request_tokens.max(1.0)
    }

    /// Returns the tokens of this router's included requests at a writer.
    pub(super) fn own_tokens_at(&self, host: &Host, included: impl Fn(&&Request) -> bool) -> f64 {
        host.streams
            .iter()
            .filter_map(|id| self.requests.get(id))
            .filter(included)
            .map(|r| r.total_tokens)
            .sum()
    }

    /// Returns the tokens that other routers hold at a writer: its last report, decayed towards the mean over
    /// all writers.
    pub(super) fn other_tokens_at(&self, now: Micros, host: &Host) -> f64 {
        let mean = if host.memory.is_finite() { self.fleet.other_memory_share * host.memory } else { 0.0 };
        host.other_tokens.map_or(mean, |tokens| tokens.decayed(now, mean))
    }

    /// Returns the expected time to a first token at a writer, at least the age of its oldest unanswered
    /// attempt.
    pub(super) fn expected_first_token_time(&self, now: Micros, host: &Host) -> f64 {
        host.first_token_time.decayed(now, self.fleet.first_token_time.value).max(host.oldest_pending(now))
    }
}

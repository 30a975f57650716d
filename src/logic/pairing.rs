//! Pairing: chooses a reader by rendezvous hashing of the shared prefix, and a writer near it with headroom.

use super::*;

/// Exponent of a writer's headroom in its weight: prefers the most headroom without herding.
const HEADROOM_EXPONENT: f64 = 4.0;
/// Readers in the fleet per home of a prefix, because a popular prefix may exceed one reader.
const READERS_PER_HOME: usize = 8;
/// Share of its part that a cold home gets of a popular prefix: popularity is learnt late from few requests.
const COLD_POPULAR_SHARE: f64 = 0.75;
/// Factor on a cell's share of states that its writers take before other cells take some.
const CELL_SLACK: f64 = 1.15;
/// Least weight of a reader without writers in its cell.
const MIN_STAY_SHARE: f64 = 0.5;
/// Least weight of a writer for readers of other cells, when its cell has no capacity to spare.
const MIN_SPARE_WEIGHT: f64 = 0.05;
/// Weight of a writer in another zone relative to one in the same zone: a zone crossing is expensive.
const OTHER_ZONE_WEIGHT: f64 = 0.25;
/// Factor on a read's expected time, and what is added to it when the load of others is unknown.
const READ_TIME_MARGINS: (f64, f64) = (0.8, 0.7);
/// Most readers tried for a prompt: all homes in a fleet of up to 88 readers.
const MAX_HOMES_TRIED: usize = 12;
/// Share of the pin limit after which a state is sent to a writer without the test.
const MAX_TESTED_WAIT_SHARE: f64 = 0.4;

/// Returns the weight of a host's zone under the settings in force when the request arrived.
fn zone_weight(request: &Request, host: &Host) -> f64 {
    request.settings.zone_weights.get(host.zone.0).copied().unwrap_or(1.0)
}

impl Router {
    /// Returns a reader, if one is needed, and a writer for a waiting request; `None` if none pass.
    pub(super) fn choose_pair(
        &self, now: Micros, id: RequestId, is_tested: bool,
    ) -> Option<(Option<HostId>, HostId)> {
        let request = self.requests.get(&id)?;
        let may_read = request.attempts_sent + 2 <= request.settings.limits.max_attempts;
        let prefix_share = request.spec.prefix.map_or(0.0, |key| self.fleet.prefix_shares.share_of(key.0));
        let cold_part = (COLD_POPULAR_SHARE / READERS_PER_HOME as f64 / prefix_share.max(1e-9)).min(1.0);
        let is_skipped = |h: &Host| {
            self.skips_cold_host(now, h, request, cold_part) || self.exceeds_cold_budget(now, h, request)
        };
        let accepts = |h: &Host| h.accepts(now, &request.spec, &self.settings.rules) && !is_skipped(h);
        let homes = self.homes(now, request, |h| may_read && accepts(h));
        if homes
            .iter()
            .take(MAX_PROBES_PER_STEP)
            .any(|h| h.is_probe_pending && now < h.probed_at + PROBE_REPLY_TIMEOUT_US)
        {
            return None;
        }
        // Among few routers, the others are assumed to use as many readers as this one does, each half done.
        let is_polling = self.settings.routers <= MAX_POLLING_ROUTERS;
        let other_reads = if is_polling { self.other_reads_per_reader() } else { 0.0 };
        let is_idle = |h: &Host| is_polling && self.queued_tokens_at(now, h) <= 0.0;
        let unknown_load_margin =
            |h: &Host| if h.other_requests.is_some() { 0.0 } else { READ_TIME_MARGINS.1 };
        let margin = |h: &Host| {
            READ_TIME_MARGINS.0 + unknown_load_margin(h) * if is_idle(h) { other_reads.min(1.0) } else { 1.0 }
        };
        let paired = homes.iter().take(MAX_HOMES_TRIED).find_map(|reader| {
            let ready_in = self.expected_read_time(now, reader, request) * margin(reader);
            let choose = |far| {
                self.choose_writer(now, request, Some(reader), ready_in, is_tested, |h| {
                    far != (h.cell == reader.cell)
                })
            };
            let prefers_other_cell = unit_hash(reader.id.0, request.spec.id.0) > reader.stay_share;
            Some((Some(reader.id), choose(prefers_other_cell).or_else(|| choose(!prefers_other_cell))?))
        });
        // Last, because it slows all streams there: a mixed host in time, or a writer where no reader serves.
        let is_in_time = |h: &Host| {
            self.expected_read_time(now, h, request) * margin(h) <= (request.first_token_due - now) as f64
        };
        let has_no_readers = self.examine_hosts().all(|h| h.role != Role::Read || h.phase != Phase::Serving);
        let can_read = |h: &Host| h.role == Role::Both || self.settings.limits.writers_read && has_no_readers;
        let fits = |h: &Host| can_read(h) && (is_in_time(h) || has_no_readers && !is_tested);
        paired.or_else(|| Some((None, self.choose_writer(now, request, None, 0.0, is_tested, fits)?)))
    }

    /// Returns the estimated number of other routers' reads per reader.
    fn other_reads_per_reader(&self) -> f64 {
        let busy_readers =
            self.examine_hosts().filter(|h| h.role == Role::Read && !h.pending.is_empty()).count();
        f64::from(self.settings.routers.max(1) - 1) * 0.5 * busy_readers as f64 / self.serving_hosts(true)
    }

    /// Returns the readers for a prompt in order of preference, by weighted rendezvous hashing of its prefix,
    /// or else of its session; every router finds the same order. A prefix has several home readers, because
    /// one might not suffice: each session prefers one of them, and one more reader stands by.
    pub(super) fn homes(
        &self, now: Micros, request: &Request, eligible: impl Fn(&Host) -> bool,
    ) -> Vec<&Host> {
        let session = request.spec.session.unwrap_or(TextKey(request.spec.id.0));
        let key = request.spec.prefix.unwrap_or(session);
        // Readers in a cell with few writers get fewer prompts, because their states would fill its link.
        let weight = |h: &Host| (2.0 * h.stay_share).clamp(MIN_STAY_SHARE, 1.0) * zone_weight(request, h);
        let score = |h: &Host, key: TextKey| rendezvous_score(h.id.0, key.0, weight(h));
        let by_score = |a: &(f64, &Host), b: &(f64, &Host)| b.0.total_cmp(&a.0);
        let mut readers: Vec<_> =
            self.examine_hosts().filter(|h| h.role == Role::Read && eligible(h)).collect();
        let has_healthy = readers.iter().any(|h| !self.is_last_resort(now, h));
        readers.retain(|h| !has_healthy || !self.is_last_resort(now, h));
        let zone_count = readers.iter().map(|h| h.zone).collect::<BTreeSet<_>>().len();
        let max_homes = readers.len().div_ceil(READERS_PER_HOME).max(zone_count);
        let mut homes: Vec<_> = readers.into_iter().map(|h| (score(h, key), h)).collect();
        if homes.len() > max_homes + 1 {
            homes.select_nth_unstable_by(max_homes, by_score);
            homes.truncate(max_homes + 1);
        }
        homes.sort_by(by_score);
        let home_count = homes.len().min(max_homes);
        homes[..home_count].iter_mut().for_each(|(h_score, h)| *h_score = score(h, session));
        homes[..home_count].sort_by(by_score);
        homes.into_iter().map(|(_, h)| h).collect()
    }

    /// Chooses a writer at random, weighted by headroom, so that routers with the same information do not all
    /// choose the same one.
    pub(super) fn choose_writer(
        &self, now: Micros, request: &Request, reader: Option<&Host>, ready_in: f64, is_tested: bool,
        wanted: impl Fn(&Host) -> bool,
    ) -> Option<HostId> {
        let zone_factor = |h: &Host, from: &Host| if from.zone == h.zone { 1.0 } else { OTHER_ZONE_WEIGHT };
        let score = |h: &Host, from: &Host| {
            if from.cell == h.cell { 1.0 } else { h.spare_weight * zone_factor(h, from) }
        };
        let accepts = |h: &Host| {
            h.accepts(now, &request.spec, &self.settings.rules) && self.may_run_at(now, request, h.id)
        };
        let must_run_once = request.settings.classes[request.spec.class.0].effect == Effect::Unsafe;
        let fits = |h: &&Host| h.role != Role::Read && accepts(h) && wanted(h);
        let ranked_choice = |h: &Host| {
            let headroom = self.headroom(now, request, h, ready_in, is_tested)?;
            // More headroom than most writers have adds no weight: reports are late, and a failing writer
            // looks empty.
            let headroom_cap = if self.settings.routers > MAX_POLLING_ROUTERS {
                1.0 - self.fleet.other_memory_share
            } else {
                1.0
            };
            let weight = headroom.min(headroom_cap.max(MIN_SPARE_WEIGHT)).max(0.0).powf(HEADROOM_EXPONENT);
            let weight = weight * zone_weight(request, h) * reader.map_or(1.0, |from| score(h, from));
            let rank = if headroom > 0.0 {
                rendezvous_score(h.id.0, self.salt ^ request.spec.id.0, weight)
            } else {
                headroom
            };
            Some((
                !(self.is_last_resort(now, h) || must_run_once && self.is_suspiciously_idle(now, h)),
                rank,
                h.id,
            ))
        };
        let total_warmth: f64 =
            self.examine_hosts().filter(fits).map(|h| h.warmth(now, &self.settings.rules)).sum();
        let is_skipped = |h: &&Host| {
            self.skips_cold_host(now, h, request, 1.0 / total_warmth.max(1e-9))
                || self.exceeds_cold_budget(now, h, request)
        };
        let ranked = self.examine_hosts().filter(|h| fits(h) && !is_skipped(h)).filter_map(ranked_choice);
        ranked.max_by(|a, b| a.0.cmp(&b.0).then(a.1.total_cmp(&b.1))).map(|best| best.2)
    }

    /// Returns the prompt tokens that this router knows to be cached at a host.
    pub(super) fn known_cached(host: &Host, request: &Request) -> f64 {
        let cached = |key: Option<TextKey>, limit| {
            key.and_then(|k| host.cached_texts.get(&k)).map_or(0.0, |tokens| tokens.min(limit))
        };
        cached(request.spec.prefix, request.spec.prefix_tokens)
            .max(cached(request.spec.session, request.spec.prompt_tokens))
    }

    /// Returns the prompt tokens left to read at a host. At a prompt's home reader, the reads of other
    /// routers have usually cached a part of it.
    pub(super) fn uncached_tokens_at(&self, host: &Host, request: &Request) -> f64 {
        let expected_cached = if request.home == Some(host.id) {
            self.fleet.cached_prompt_share * request.spec.prompt_tokens
        } else {
            0.0
        };
        request.spec.prompt_tokens - Self::known_cached(host, request).max(expected_cached)
    }

    /// Returns the tokens queued at a reader: those of own reads in flight, and of other routers' as
    /// reported.
    pub(super) fn queued_tokens_at(&self, now: Micros, host: &Host) -> f64 {
        let pending = host.pending.keys().filter_map(|id| self.requests.get(id));
        let is_read = |r: &&Request| r.stage == Stage::Reading || r.reader.is_none();
        let own: f64 = pending.filter(is_read).map(|r| r.uncached_tokens + READ_OVERHEAD_TOKENS).sum();
        own + host.other_requests.map_or(0.0, |n| n.decayed(now, self.fleet.other_requests_per_reader))
            * (self.fleet.uncached_tokens.value + READ_OVERHEAD_TOKENS)
    }

    /// Returns the expected time to read this prompt at a host, behind the reads queued there.
    pub(super) fn expected_read_time(&self, now: Micros, host: &Host, request: &Request) -> f64 {
        let cost =
            host.read_cost.decayed(now, self.fleet.read_cost.value) / host.warmth(now, &self.settings.rules);
        ((self.queued_tokens_at(now, host) + self.uncached_tokens_at(host, request) + READ_OVERHEAD_TOKENS)
            * cost)
            .max(host.oldest_pending(now))
    }

    /// Sends requests whose states wait to the admitted writer if it still passes the test, else to another.
    pub(super) fn send_ready_states(&mut self, now: Micros, out: &mut Vec<Action>) {
        let ready = self.requests.iter().filter(|(_, r)| r.stage == Stage::Ready).map(|(&id, _)| id);
        for id in ready.collect::<Vec<_>>() {
            let request = &self.requests[&id];
            let held_share = (now - request.ready_since) as f64 / self.settings.rules.pin_limit.max(1) as f64;
            let is_late = held_share >= lease::RELEASE_SHARE || now >= request.deadline - ANSWER_MARGIN_US;
            let is_out_of_time = is_late || request.attempts_sent >= request.settings.limits.max_attempts;
            if let Some(writer) = self.writer_for_state(now, request, held_share).filter(|_| !is_out_of_time)
            {
                self.assign_writer(id, writer);
                self.send_write(now, id, writer, out);
            } else if is_out_of_time {
                // No writer will fetch this state within the pin limit.
                out.push(Action::Release(id));
                self.enqueue(now, id);
            }
        }
    }

    /// Returns the writer for a state that waits: the admitted one if it still passes, else one of the same
    /// cell, else any; after [`MAX_TESTED_WAIT_SHARE`] of the pin limit also one that does not pass.
    pub(super) fn writer_for_state(&self, now: Micros, request: &Request, held_share: f64) -> Option<HostId> {
        let reader = request.reader.and_then(|id| self.hosts.get(&id));
        let choose = |is_tested, far| {
            let near = |h: &Host| far || reader.is_none_or(|reader| reader.cell == h.cell);
            self.choose_writer(now, request, reader, 0.0, is_tested, near)
        };
        let is_admitted_writer = |h: &Host| h.streams.contains(&request.spec.id);
        let admitted = self.choose_writer(now, request, reader, 0.0, true, is_admitted_writer);
        let any = |is_tested| choose(is_tested, false).or_else(|| choose(is_tested, true));
        admitted
            .or_else(|| any(true))
            .or_else(|| if held_share < MAX_TESTED_WAIT_SHARE { None } else { any(false) })
    }

    /// Computes from the list alone which share of its readers' states each cell's writers can take, and how
    /// much capacity they have to spare for other cells.
    pub(super) fn update_cell_weights(&mut self) {
        if !std::mem::take(&mut self.are_cell_weights_stale) {
            return;
        }
        let mut cells: BTreeMap<CellId, (f64, f64)> = BTreeMap::new();
        let (mut readers, mut writers) = (0.0, 0.0);
        for h in self.examine_hosts().filter(|h| h.phase == Phase::Serving) {
            let cell = cells.entry(h.cell).or_default();
            *(if h.role == Role::Read { &mut cell.0 } else { &mut cell.1 }) += 1.0;
            *(if h.role == Role::Read { &mut readers } else { &mut writers }) += 1.0;
        }
        for h in self.hosts.values_mut() {
            let (cell_readers, cell_writers) = cells.get(&h.cell).copied().unwrap_or_default();
            let share =
                (cell_writers / f64::max(writers, 1.0)) / (cell_readers / f64::max(readers, 1.0)).max(1e-9);
            (h.stay_share, h.spare_weight) =
                (CELL_SLACK * share, (1.0 - 1.0 / share.max(1e-9)).max(MIN_SPARE_WEIGHT));
        }
    }
}

//! Every decision of the router. The interface (settings, events, actions) is `src/api.rs`.
//!
//! The mechanism, after SABER's online phase. A request arrives into the high tier, kept by the time at which
//! its first token is wanted. At each event, and each tick while any is held, one of the first few is drawn
//! at random and tested: would the writer's speed curve at L+1 streams still keep its token pace and that of
//! every stream there, has the writer memory for it, and can its first token come in time? If so the prompt
//! goes to its reader, by hash of its beginning; else it waits unread. What cannot start in time drops to the
//! low tier, sent untested while the high tier is empty and given up on, at once, when the client's deadline
//! is out of reach. After the read the test is made again. The curve is the Universal Scalability Law
//! inverted, pace = a + b(L-1) + c L(L-1), fitted online for each kind of host. L counts all streams: the
//! own, and others' by the memory that reports show held.

use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;

use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::api::*;

// Times are in microseconds.
const WINDOW: usize = 4; // of the high tier's first are drawn from: enough to pass a head that does not fit
const LOOKS: usize = 128; // of each tier's first are looked at in full each time: far above a usual backlog
const TICK: Micros = 5_000; // between looks at what is held: short against every aim
const PACE_BOUND: f64 = 0.9; // share of the wanted pace in use: lengths are guesses and the curve lags
const MEMORY_BOUND: f64 = 0.9; // share of a writer's memory: past it the newest answer is read anew
const FIT_MIN: f64 = 12.0; // ended streams of a kind before its curve is believed
const CHOICE: f64 = 4.0; // power of a writer's room in its chance to be chosen: most room mostly, but no herd
const FIT_KEEP: f64 = 0.997; // weight that the fit keeps at each new stream: about its last 300 count
const FIT_STEPS: usize = 20; // rounds of the fit at each new stream, going on from the last one
const FADE: f64 = 6e6; // in which what is known of one host fades by half towards what is known of all
const FLEET_FADE: f64 = 8e6; // and in which a mean over all hosts turns half towards a new sample
const LENGTH_GUESS: f64 = 0.3; // share of the most tokens taken as the answer's length without a hint
const COME_BACK: f64 = 0.6; // part of the longest come-back time spread by chance, lest all return at once
const LOW_GAP_LEAST: f64 = 5_000.0; // between the fleet's sends of the low tier, while they come in time...
const LOW_GAP_MOST: f64 = 80_000.0; // ...and while they come late
const READ_EXTRA: f64 = 300.0; // tokens added to each read for what does not depend on its length
const READ_COST: f64 = 80.0; // to read one token, until reads have been seen
const FIRST_TOOK: f64 = 100_000.0; // from a send to a writer to the first token, until some have been seen
const HOST_GAIN: f64 = 0.25; // weight of a new sample in a host's mean: a few requests tell
const FLEET_GAIN: f64 = 0.05; // and in the fleet's
const READERS_A_HOME: usize = 8; // readers for each home that a beginning has: it could outgrow one
const CELL_SLACK: f64 = 1.15; // of a cell's part of the states that its writers take before others share them
const STAY_LEAST: f64 = 0.5; // part of the reading that a reader without writers near gets, at least
const SPARE_LEAST: f64 = 0.05; // weight of a writer whose cell has none to spare, against an idle one
const FAR_WEIGHT: f64 = 0.25; // chance of a writer in another zone against one in the same: a crossing costs
const KEPT_MOST: usize = 2_000; // texts remembered as kept at one host: bounds the memory used
const READ_MARGIN: f64 = 1.5; // of a read's expected time: others queue too, and the mean lags behind a jam
const PATIENCE: f64 = 4.0; // time-out of an attempt as a multiple of what is expected...
const PATIENCE_EXTRA: f64 = 300_000.0; // ...and added to it
const TRY_SHARE: f64 = 0.6; // most of the time left that one attempt may use while others could follow
const REST: Micros = 250_000; // for which a host rests after a failure, doubling with each further one...
const REST_MOST: Micros = 2_000_000; // ...up to this, so that it is soon found when it is back
const LAST_EACH: Micros = 100_000; // for each router, for which a failed host comes last: few requests tell
const HOLLOW: f64 = 0.4; // of the mean load, under which a warm writer gets nothing that must not run twice,
const HOLLOW_LEAST: f64 = 0.05; // while the mean is above this share of memory
const FAILS_RESTART: u32 = 3; // failures in a row after which a host that works again is taken for cold
const SPOILT_MOST: u32 = 2; // answers in a row that cannot be read before the next counts as a failure
const FULL_REST: Micros = 100_000; // for which a host that said "full" is left alone, at least...
const FULL_MULTIPLE: Micros = 20; // ...and of the time that it took to say so
const READY_WAIT: f64 = 0.4; // share of the pin limit after which a state goes to a writer untested...
const READY_MOST: f64 = 0.8; // ...and after which it is let go
const PROBE_EVERY: Micros = 700_000; // between probes of a writer: its reports are not much fresher...
const PROBE_CALM: Micros = 2_800_000; // ...and while nothing had to wait, as each has its price
const FEW_ROUTERS: u32 = 8; // up to which all writers are probed in turn; more ask hosts for each request
const ASKED: usize = 3; // hosts asked for each step of a request...
const ASK_AGAIN: Micros = 150_000; // ...unless they were so lately, as reports are no fresher...
const ASK_WAIT: Micros = 25_000; // ...and the longest wait for their answers: some connections' making
const PRESSED: Micros = 5_000_000; // for which a wait or an attempt in vain counts as pressure
const COLD_SHARE: f64 = 0.5; // of the cold budget in use: sends of many routers bunch by chance
const COLD_GAP: f64 = 2.0; // longest gap between own sends to a cold host, in windows: few see what one takes
const ANSWER_MARGIN: Micros = 10_000; // before the deadline at which what is held is answered
const FOLLOW_AGAIN: Micros = 1_000_000; // between tries to follow the list of hosts

// ---- Fleet view ----

/// A mean that fades towards another with age.
#[derive(Clone, Copy, Debug, Default, PartialEq, serde::Serialize, serde::Deserialize)]
struct Fading {
    value: f64,
    at: Micros,
}

impl Fading {
    fn get(self, now: Micros, towards: f64) -> f64 {
        towards + (self.value - towards) * 0.5f64.powf((now - self.at) as f64 / FADE)
    }

    fn learn(&mut self, now: Micros, towards: f64, sample: f64, gain: f64) {
        let old = self.get(now, towards);
        *self = Fading { value: old + gain * (sample - old), at: now };
    }

    /// A mean over all hosts follows as quickly where a router seldom hears of any as where it often does.
    fn follow(&mut self, now: Micros, sample: f64) {
        let gain = (1.0 - 0.5f64.powf((now - self.at) as f64 / FLEET_FADE)).max(FLEET_GAIN);
        *self = Fading { value: self.value + gain * (sample - self.value), at: now };
    }

    fn count(&mut self, now: Micros) {
        *self = Fading { value: self.get(now, 0.0) + std::f64::consts::LN_2, at: now };
    }
}

#[derive(Default)]
struct Host {
    id: HostId,
    zone: ZoneId,
    cell: CellId,
    kind: KindId,
    role: Role,
    memory: f64,
    phase: Phase,
    started: Option<Micros>,
    fails: u32,
    spoilt: u32,
    failed_at: Micros,
    rest_until: Micros,
    /// Until then only where no other host will do.
    last_until: Micros,
    full_until: BTreeMap<(ClassId, Option<TenantId>), Micros>,
    next_cold: Micros,
    probed_at: Micros,
    asked: bool,
    /// Requests that others hold there, from the reports.
    crowd: Option<Fading>,
    /// Attempts without a first answer, by the time they were sent.
    pending: BTreeMap<RequestId, Micros>,
    read_cost: Fading,
    /// Share of its states that its cell's writers can take, and of its writing left to other cells.
    stay: f64,
    spare: f64,
    kept: BTreeMap<TextKey, f64>,
    streams: BTreeSet<RequestId>,
    first_took: Fading,
    /// Tokens that others hold, from the reports.
    others: Option<Fading>,
}

impl Host {
    /// Share of its capacity that a starting host has, taken to grow evenly.
    fn warmth(&self, now: Micros, rules: &Rules) -> f64 {
        let Some(at) = self.started else { return 1.0 };
        let age = (now - at) as f64 / rules.ramp_time.max(1) as f64;
        (rules.start_capacity + (1.0 - rules.start_capacity) * age.max(0.0)).min(1.0)
    }

    /// Rule 4 by chance: of what a cold host is the first choice for, this part goes there, from all routers.
    fn spared(&self, now: Micros, ask: &NewRequest, part: f64, rules: &Rules) -> bool {
        let warmth = self.warmth(now, rules);
        let key = ask.session.unwrap_or(TextKey(ask.id.0)).0;
        warmth < 1.0 && chance(self.id.0, !key) > part * rules.fall_multiple * COLD_SHARE * warmth
    }

    fn takes(&self, now: Micros, ask: &NewRequest, rules: &Rules) -> bool {
        let warm_at = self.started.map_or(Micros::MIN, |at| at.saturating_add(rules.ramp_time));
        self.phase == Phase::Serving
            && now >= self.rest_until
            && (self.fails == 0 || self.pending.is_empty())
            && (now >= warm_at || now >= self.next_cold)
            && self.full_until.get(&(ask.class, ask.tenant)).is_none_or(|&at| now >= at)
    }

    fn oldest_pending(&self, now: Micros) -> f64 {
        self.pending.values().min().map_or(0.0, |&at| (now - at) as f64)
    }
}

/// A number below one, the same for the same host and key at every router.
fn chance(host: u32, key: u64) -> f64 {
    (xxh3_64_with_seed(&u64::from(host).to_le_bytes(), key) >> 11) as f64 / (1u64 << 53) as f64
}

/// The largest of these is each host with a chance in proportion to its weight.
fn weighted(host: u32, key: u64, weight: f64) -> f64 {
    -weight / chance(host, key).ln().min(-1e-12)
}

// ---- Speed curve ----

/// Decayed least squares of pace over (1, L-1, L(L-1)), for one kind of host.
#[derive(Clone, Debug, Default, PartialEq, serde::Serialize, serde::Deserialize)]
struct Curve {
    xx: [[f64; 3]; 3],
    xy: [f64; 3],
    seen: f64,
    fit: [f64; 3],
}

fn basis(load: f64) -> [f64; 3] {
    let load = load.max(1.0);
    [1.0, load - 1.0, load * (load - 1.0)]
}

impl Curve {
    fn learn(&mut self, load: f64, tokens: f64, took: f64) {
        let x = basis(load);
        for (i, xi) in x.iter().enumerate() {
            for (j, xj) in x.iter().enumerate() {
                self.xx[i][j] = self.xx[i][j] * FIT_KEEP + tokens * xi * xj;
            }
            self.xy[i] = self.xy[i] * FIT_KEEP + took * xi;
        }
        self.seen += 1.0;
        self.solve();
    }

    /// Least squares with each coefficient at or above zero, by going down along each in turn.
    fn solve(&mut self) {
        for i in (0..3).cycle().take(3 * FIT_STEPS) {
            let rest: f64 = (0..3).filter(|&j| j != i).map(|j| self.xx[i][j] * self.fit[j]).sum();
            self.fit[i] = ((self.xy[i] - rest) / self.xx[i][i].max(1e-9)).max(0.0);
        }
    }

    /// Microseconds a token at this load; none till enough streams have ended.
    fn pace(&self, load: f64) -> f64 {
        if self.seen < FIT_MIN { 0.0 } else { basis(load).iter().zip(self.fit).map(|(x, c)| x * c).sum() }
    }
}

// ---- Tiers ----

#[derive(Clone, Copy, Default, PartialEq, Eq)]
enum Stage {
    #[default]
    High,
    Low,
    Reading,
    Ready,
    Writing,
    Streaming,
}

#[derive(Default)]
struct Request {
    ask: NewRequest,
    by: Rc<Settings>, // whatever others come meanwhile
    aim_at: Micros,
    deadline: Micros,
    /// Guessed answer length, the same with its prompt, and the wanted pace.
    tokens: f64,
    footprint: f64,
    token_aim: f64,
    stage: Stage,
    sent: u32,
    /// The reader at which other routers would read it too.
    home: Option<HostId>,
    reader: Option<HostId>,
    writer: Option<HostId>,
    unread: f64,
    /// Tokens to read at its reader when it was sent, its own among them.
    read_load: f64,
    from_low: bool,
    ready_since: Micros,

    may_have_run: Option<(HostId, Micros)>,
    ended: bool, // for the client; only an outcome is still awaited
    begun: Micros,
}

/// What is learnt of the fleet as a whole: worth handing on to a router that takes this one's place.
#[derive(Clone, Debug, Default, PartialEq, serde::Serialize, serde::Deserialize)]
pub struct Learnt {
    curves: Vec<Curve>,
    read_cost: Fading,
    first_took: Fading,
    /// Means: a request's tokens, others' share of a writer's memory, a prompt's share kept at its home.
    footprint: f64,
    others: f64,
    kept_share: f64,
    /// Means at readers: requests that others hold, and tokens that were left to be read.
    crowd: f64,
    unread: Fading,
    low_gap: f64,
    reads: Fading,
    writes: Fading,
}

/// One router's decisions.
#[derive(Default)]
pub struct Router {
    set: Rc<Settings>,
    /// What is known of all hosts; a new router of the same settings may be given an older one's.
    pub all: Learnt,
    hosts: BTreeMap<HostId, Host>,
    requests: BTreeMap<RequestId, Request>,
    high: BTreeSet<(Micros, RequestId)>,
    low: BTreeSet<(Micros, RequestId)>,
    low_next: Micros,
    salt: u64,
    /// When a request last had to wait, or an attempt was in vain.
    pressed_at: Micros,
    wake_at: Option<Micros>,
    followed_at: Option<Micros>,
    following: bool,
}

impl Router {
    /// A router that knows no host yet.
    pub fn new(settings: Settings, seed: u64) -> Self {
        let all = Learnt {
            curves: vec![Curve::default(); settings.kinds.len()],
            read_cost: Fading { value: READ_COST, at: Micros::MIN / 2 },
            first_took: Fading { value: FIRST_TOOK, at: Micros::MIN / 2 },
            ..Learnt::default()
        };
        Router { salt: seed, set: Rc::new(settings), all, ..Router::default() }
    }

    /// Takes in what happened and says what to do, in order.
    pub fn handle(&mut self, now: Micros, events: &[Event], out: &mut Vec<Action>) {
        for event in events {
            self.take(now, event, out);
        }
        self.follow(now, out);
        self.send_ready(now, out);
        self.sort_tiers(now, out);
        self.admit(now, out);
        self.probe(now, out);
        self.set_wake(now, out);
    }

    fn take(&mut self, now: Micros, event: &Event, out: &mut Vec<Action>) {
        match event {
            Event::Hosts { whole, members } => self.hosts_told(now, *whole, members),
            Event::HostsFailed => self.following = false,
            Event::Request(ask) => self.arrive(now, ask, out),
            Event::Began { request, host, took, .. } => self.began(now, *request, *host, *took),
            Event::Ended { request, host, outcome, last, kept, took, load, .. } => {
                self.report(now, *host, load.as_ref());
                self.ended(now, *request, *host, (*outcome, *last, *kept, *took), out);
            }
            Event::Left(request) => self.left(*request, out),
            Event::Probed { host, outcome, load } => {
                self.hosts.entry(*host).and_modify(|h| h.asked = false);
                if matches!(outcome, Outcome::Unreachable | Outcome::TimedOut) {
                    self.come_last(now, *host);
                }
                self.report(now, *host, load.as_ref());
            }
            Event::Ending if self.set.limits.resume && (2..=FEW_ROUTERS).contains(&self.set.routers) => {
                let streams = self.requests.iter().filter(|(_, r)| r.stage == Stage::Streaming);
                out.extend(streams.map(|(&id, _)| Action::Move(id)));
            }
            Event::Place { .. } | Event::Ending => {}
            Event::Policy(settings) => self.set = settings.clone(),
            Event::Timer(_) => self.wake_at = None,
        }
    }

    fn arrive(&mut self, now: Micros, ask: &NewRequest, out: &mut Vec<Action>) {
        let both = |k: &Kind| k.role == Role::Both || (k.role == Role::Write && self.set.limits.writers_read);
        let able = self.set.limits.max_attempts >= 2 || self.set.kinds.iter().any(both);
        let Some(class) = self.set.classes.get(ask.class.0).filter(|_| able) else {
            return out.push(Action::Refuse { request: ask.id, come_back: None });
        };
        let token_aim = class.token_aim.max(1) as f64;
        let hint = ask.stream_hint.map(|hint| (hint as f64 / token_aim).min(ask.most_tokens));
        let tokens = hint.unwrap_or(ask.most_tokens * LENGTH_GUESS).max(1.0);
        let stretch = (class.aim_per_1000 as f64 * ask.prompt_tokens / 1000.0) as Micros;
        let aim_at = now.saturating_add(class.aim.saturating_add(stretch).min(ask.time_left));
        let gain = if self.all.footprint > 0.0 { FLEET_GAIN } else { 1.0 };
        self.all.footprint += gain * (ask.prompt_tokens + tokens - self.all.footprint);
        let request = Request {
            ask: ask.clone(),
            by: self.set.clone(),
            aim_at,
            deadline: now.saturating_add(ask.time_left),
            tokens,
            footprint: ask.prompt_tokens + tokens,
            token_aim,
            ..Request::default()
        };
        self.requests.insert(ask.id, request);
        self.hold(now, ask.id);
        let homes = self.homes(now, &self.requests[&ask.id], |h| h.takes(now, ask, &self.set.rules));
        let homes: Vec<_> = homes.iter().map(|h| h.id).collect();
        self.ask(now, homes, out);
    }

    /// Asks hosts that the next step may go to, where routers are many and each sees little.
    fn ask(&mut self, now: Micros, hosts: impl IntoIterator<Item = HostId>, out: &mut Vec<Action>) {
        let many = self.set.routers > FEW_ROUTERS && self.set.limits.probes;
        for id in hosts.into_iter().take(ASKED).filter(|_| many) {
            let host = self.hosts.get_mut(&id).filter(|h| now >= h.probed_at.saturating_add(ASK_AGAIN));
            let Some(host) = host else { continue };
            (host.asked, host.probed_at) = (true, now);
            out.push(Action::Probe(id));
        }
    }

    /// Puts a request into the high tier, to be read at first or anew.
    fn hold(&mut self, now: Micros, id: RequestId) {
        self.unplace(id);
        let Some(r) = self.requests.get(&id) else { return };
        let home = self.homes(now, r, |h| h.phase == Phase::Serving).first().map(|h| h.id);
        let Some(r) = self.requests.get_mut(&id) else { return };
        (r.reader, r.home, r.stage) = (None, home, Stage::High);
        self.high.insert((r.aim_at, id));
    }

    /// Drops the hopeless to the low tier and gives up on what can no longer be served.
    fn sort_tiers(&mut self, now: Micros, out: &mut Vec<Action>) {
        let first = self.quickest(false, |h| self.first_time(now, h));
        for low in [false, true] {
            let late = |(rank, (_, id)): &(usize, &(Micros, RequestId))| {
                let r = &self.requests[id];
                let read = || self.quickest(true, |h| self.read_time(now, h, r)) + first;
                let start = now.saturating_add(if *rank < LOOKS { read() as Micros } else { 0 });
                start > if low { r.deadline - ANSWER_MARGIN } else { r.aim_at }
            };
            let tier = if low { &self.low } else { &self.high };
            let hopeless: Vec<_> = tier.iter().enumerate().filter(late).map(|(_, &key)| key).collect();
            for key in hopeless {
                if low {
                    self.give_up(key.1, out);
                } else if self.high.remove(&key) && self.low.insert(key) {
                    self.requests.entry(key.1).and_modify(|r| r.stage = Stage::Low);
                }
            }
        }
    }

    /// The shortest of the times that `of` gives for running hosts; zero if there are none.
    fn quickest(&self, readers: bool, of: impl Fn(&Host) -> f64) -> f64 {
        let fits = |h: &&Host| (h.role == Role::Read) == readers && h.phase == Phase::Serving;
        self.hosts.values().filter(fits).map(of).min_by(f64::total_cmp).unwrap_or(0.0)
    }

    // ---- Admission ----

    /// Draws from the high tier's first few and admits what passes; the low tier goes when it is empty.
    fn admit(&mut self, now: Micros, out: &mut Vec<Action>) {
        loop {
            let mut window: Vec<_> = self.high.iter().take(WINDOW).copied().collect();
            let dice = |key: &(Micros, RequestId)| chance(now as u32, key.1.0 ^ self.salt);
            window.sort_by(|a, b| dice(a).total_cmp(&dice(b)));
            let passes = |key: &(Micros, RequestId)| Some((*key, self.pair(now, key.1, true)?));
            let Some((key, (reader, writer))) = window.iter().find_map(passes) else { break };
            self.high.remove(&key);
            self.start(now, key.1, reader, writer, out);
        }
        let low_reads = |r: &Request| r.from_low && matches!(r.stage, Stage::Reading | Stage::Writing);
        let idle = self.high.is_empty() && now >= self.low_next && !self.requests.values().any(low_reads);
        if idle
            && let Some(&key) = self.low.first()
            && let Some((reader, writer)) = self.pair(now, key.1, false)
        {
            self.low.remove(&key);
            self.low_next = now + self.all.low_gap as Micros;
            self.start(now, key.1, reader, writer, out);
        }
    }

    /// The low tier's sends are four times as far apart after one that came late, and half after one in time.
    fn low_went(&mut self, well: bool) {
        let gap = self.all.low_gap / f64::from(self.set.routers.max(1)) * if well { 0.5 } else { 4.0 };
        self.all.low_gap = gap.clamp(LOW_GAP_LEAST, LOW_GAP_MOST) * f64::from(self.set.routers.max(1));
    }

    /// Admits a request: the writer counts it from now on, and its prompt is read.
    fn start(
        &mut self, now: Micros, id: RequestId, reader: Option<HostId>, writer: HostId, out: &mut Vec<Action>,
    ) {
        self.place(id, writer);
        let unread = self.unread_at(&self.hosts[&reader.unwrap_or(writer)], &self.requests[&id]);
        if let Some(r) = self.requests.get_mut(&id) {
            (r.from_low, r.unread) = (r.stage == Stage::Low, unread);
        }
        let Some(reader) = reader else { return self.send_write(now, id, writer, out) };
        let (r, host) = (&self.requests[&id], &self.hosts[&reader]);
        let (expected, load) = (self.read_time(now, host, r), self.reading(now, host) + unread + READ_EXTRA);
        if let Some(r) = self.requests.get_mut(&id) {
            (r.stage, r.reader, r.read_load) = (Stage::Reading, Some(reader), load);
        }
        self.all.reads.count(now);
        self.send(now, id, reader, expected, out);
        // While the prompt is read, the writers near tell how full they are.
        let cell = self.hosts[&reader].cell;
        let near = |h: &&Host| h.role != Role::Read && h.cell == cell && h.phase == Phase::Serving;
        let drawn = |h: &Host| ((chance(h.id.0, !id.0 ^ self.salt) * 1e9) as u64, h.id);
        let near: BTreeSet<_> = self.hosts.values().filter(near).map(drawn).collect();
        self.ask(now, near.into_iter().map(|(_, id)| id), out);
    }

    /// The test: the room left, as a share, if the writer keeps the pace of all, has memory, and is in time.
    fn room(&self, now: Micros, r: &Request, host: &Host, ready_in: f64, tested: bool) -> Option<f64> {
        let joins = !host.streams.contains(&r.ask.id);
        let load = self.load(now, host) + if joins { 1.0 } else { 0.0 };
        let pace = self.all.curves[host.kind.0].pace(load) / host.warmth(now, &self.set.rules);
        let strictest = host.streams.iter().filter_map(|id| self.requests.get(id)).map(|s| s.token_aim);
        let aim = strictest.fold(r.token_aim, f64::min);
        let slow = pace / (aim * PACE_BOUND);
        let adds = if joins { r.footprint } else { 0.0 };
        let held = self.own_tokens(host, |_| true) + adds + self.others_at(now, host);
        let full = held / (host.memory * MEMORY_BOUND).max(1.0);
        if tested {
            let start = now.saturating_add((ready_in + self.first_time(now, host)) as Micros);
            // What is read already gains nothing by waiting for a quicker writer.
            let limit = if r.stage == Stage::High { r.aim_at } else { r.deadline };
            if slow > 1.0 || full > 1.0 || start > limit {
                return None;
            }
        }
        Some(1.0 - slow.max(full).min(1e6))
    }

    /// All streams at a writer: the own, and others' by the memory that they hold.
    fn load(&self, now: Micros, host: &Host) -> f64 {
        host.streams.len() as f64 + self.others_at(now, host) / self.all.footprint.max(1.0)
    }

    fn own_tokens(&self, host: &Host, of: impl Fn(&&Request) -> bool) -> f64 {
        host.streams.iter().filter_map(|id| self.requests.get(id)).filter(of).map(|r| r.footprint).sum()
    }

    /// Tokens that others hold at a writer, by its last report and the mean of all writers'.
    fn others_at(&self, now: Micros, host: &Host) -> f64 {
        let mean = if host.memory.is_finite() { self.all.others * host.memory } else { 0.0 };
        host.others.map_or(mean, |o| o.get(now, mean))
    }

    /// Time until a first token at a writer; an attempt waiting longer than that speaks too.
    fn first_time(&self, now: Micros, host: &Host) -> f64 {
        host.first_took.get(now, self.all.first_took.value).max(host.oldest_pending(now))
    }

    // ---- Pairing ----

    /// Reader and writer for a held request, if any pass.
    fn pair(&self, now: Micros, id: RequestId, tested: bool) -> Option<(Option<HostId>, HostId)> {
        let r = self.requests.get(&id)?;
        let may_read = r.sent + 2 <= r.by.limits.max_attempts;
        let rules = &self.set.rules;
        let takes = |h: &Host| h.takes(now, &r.ask, rules) && !h.spared(now, &r.ask, 1.0, rules);
        let homes = self.homes(now, r, |h| may_read && takes(h));
        if homes.iter().take(ASKED).any(|h| h.asked && now < h.probed_at + ASK_WAIT) {
            return None;
        }
        let paired = homes.iter().find_map(|at| {
            let ready_in = self.read_time(now, at, r) * READ_MARGIN;
            let pick =
                |far| self.choose_writer(now, r, Some(at), ready_in, tested, |h| far != (h.cell == at.cell));
            let spills = chance(at.id.0, r.ask.id.0) > at.stay;
            Some((Some(at.id), pick(spills).or_else(|| pick(!spills))?))
        });
        // Exception: where no reader passes, a mixed host that passes reads by itself, last as it slows it.
        let in_time = |h: &Host| self.read_time(now, h, r) * READ_MARGIN <= (r.aim_at - now) as f64;
        let reads = |h: &Host| h.role == Role::Both || self.set.limits.writers_read;
        let fits = |h: &Host| reads(h) && (!tested || in_time(h));
        paired.or_else(|| Some((None, self.choose_writer(now, r, None, 0.0, tested, fits)?)))
    }

    /// Rendezvous hashing of the shared beginning (else the session) over the readers, alike at every router.
    /// A beginning has several homes, lest it outgrow one reader, each session one of them, and a stand-by.
    fn homes(&self, now: Micros, r: &Request, of: impl Fn(&Host) -> bool) -> Vec<&Host> {
        let session = r.ask.session.unwrap_or(TextKey(r.ask.id.0));
        let key = r.ask.prefix.unwrap_or(session);
        // Fewer begin where the cell has no writers to take them, as their states would crowd its link.
        let place = |h: &Host, key: TextKey| weighted(h.id.0, key.0, (2.0 * h.stay).clamp(STAY_LEAST, 1.0));
        let by = |key| move |a: &&Host, b: &&Host| place(b, key).total_cmp(&place(a, key));
        let mut homes: Vec<_> = self.hosts.values().filter(|h| h.role == Role::Read && of(h)).collect();
        let others = homes.iter().any(|h| !self.last(now, h));
        homes.retain(|h| !others || !self.last(now, h));
        homes.sort_by(by(key));
        let zones = homes.iter().map(|h| h.zone).collect::<BTreeSet<_>>().len();
        let spread = homes.len().div_ceil(READERS_A_HOME).max(zones);
        homes.truncate(spread + 1);
        let last = homes.len().min(spread);
        homes[..last].sort_by(by(session));
        homes
    }

    /// A writer by chance, the more room the likelier, lest routers that know the same choose the same.
    fn choose_writer(
        &self, now: Micros, r: &Request, reader: Option<&Host>, ready_in: f64, tested: bool,
        wanted: impl Fn(&Host) -> bool,
    ) -> Option<HostId> {
        let near = |h: &Host, from: &Host| if from.zone == h.zone { 1.0 } else { FAR_WEIGHT };
        let place = |h: &Host, from: &Host| if from.cell == h.cell { 1.0 } else { h.spare * near(h, from) };
        let takes = |h: &Host| h.takes(now, &r.ask, &self.set.rules) && self.may_run_at(now, r, h.id);
        let once = r.by.classes[r.ask.class.0].effect == Effect::Unsafe;
        let fits = |h: &&Host| h.role != Role::Read && takes(h) && wanted(h);
        let drawn = |h: &Host| {
            let room = self.room(now, r, h, ready_in, tested)?;
            // Emptier than most is no better: reports are late, and what fails at once looks empty.
            let most = if self.set.routers > FEW_ROUTERS { 1.0 - self.all.others } else { 1.0 };
            let weight = room.min(most.max(SPARE_LEAST)).max(0.0).powf(CHOICE);
            let weight = weight * reader.map_or(1.0, |from| place(h, from));
            let rank = if room > 0.0 { weighted(h.id.0, self.salt ^ r.ask.id.0, weight) } else { room };
            Some((!(self.last(now, h) || once && self.hollow(now, h)), rank, h.id))
        };
        let all: f64 = self.hosts.values().filter(fits).map(|h| h.warmth(now, &self.set.rules)).sum();
        let spared = |h: &&Host| h.spared(now, &r.ask, 1.0 / all.max(1e-9), &self.set.rules);
        let ranked = self.hosts.values().filter(|h| fits(h) && !spared(h)).filter_map(drawn);
        ranked.max_by(|a, b| a.0.cmp(&b.0).then(a.1.total_cmp(&b.1))).map(|best| best.2)
    }

    /// Tokens of a prompt that this router knows to be kept at a host.
    fn known_at(host: &Host, r: &Request) -> f64 {
        let kept = |key: Option<TextKey>, m| key.and_then(|k| host.kept.get(&k)).map_or(0.0, |n| n.min(m));
        kept(r.ask.prefix, r.ask.prefix_tokens).max(kept(r.ask.session, r.ask.prompt_tokens))
    }

    /// Tokens left to read there: at its home a prompt has usually been begun by other routers' reads.
    fn unread_at(&self, host: &Host, r: &Request) -> f64 {
        let usual = if r.home == Some(host.id) { self.all.kept_share * r.ask.prompt_tokens } else { 0.0 };
        r.ask.prompt_tokens - Self::known_at(host, r).max(usual)
    }

    /// Unread tokens of the own reads out, and of others' as far as the reader told of them.
    fn reading(&self, now: Micros, host: &Host) -> f64 {
        let out = host.pending.keys().filter_map(|id| self.requests.get(id));
        let own: f64 = out.filter(|r| r.stage == Stage::Reading).map(|r| r.unread + READ_EXTRA).sum();
        own + host.crowd.map_or(0.0, |c| c.get(now, self.all.crowd)) * (self.all.unread.value + READ_EXTRA)
    }

    /// Time in which a reader would have read this prompt, after the own reads before it.
    fn read_time(&self, now: Micros, host: &Host, r: &Request) -> f64 {
        let cost = host.read_cost.get(now, self.all.read_cost.value) / host.warmth(now, &self.set.rules);
        ((self.reading(now, host) + self.unread_at(host, r) + READ_EXTRA) * cost)
            .max(host.oldest_pending(now))
    }

    /// Sends on the states that wait: to the admitted writer if it still passes, else to another.
    fn send_ready(&mut self, now: Micros, out: &mut Vec<Action>) {
        let ready = self.requests.iter().filter(|(_, r)| r.stage == Stage::Ready).map(|(&id, _)| id);
        for id in ready.collect::<Vec<_>>() {
            let r = &self.requests[&id];
            let held_for = (now - r.ready_since) as f64 / self.set.rules.pin_limit.max(1) as f64;
            let late = held_for >= READY_MOST || now >= r.deadline - ANSWER_MARGIN;
            let spent = late || r.sent >= r.by.limits.max_attempts;
            if let Some(writer) = self.writer_for_state(now, r, held_for).filter(|_| !spent) {
                self.place(id, writer);
                self.send_write(now, id, writer, out);
            } else if spent {
                // Guards the pin limit: nothing takes this state in time.
                out.push(Action::Release(id));
                self.hold(now, id);
            }
        }
    }

    fn writer_for_state(&self, now: Micros, r: &Request, held_for: f64) -> Option<HostId> {
        let reader = r.reader.and_then(|id| self.hosts.get(&id));
        let pick = |tested, far| {
            let near = |h: &Host| far || reader.is_none_or(|reader| reader.cell == h.cell);
            self.choose_writer(now, r, reader, 0.0, tested, near)
        };
        let same = |h: &Host| h.streams.contains(&r.ask.id);
        let admitted = self.choose_writer(now, r, reader, 0.0, true, same);
        let any = |tested| pick(tested, false).or_else(|| pick(tested, true));
        admitted.or_else(|| any(true)).or_else(|| if held_for < READY_WAIT { None } else { any(false) })
    }

    // ---- Attempts and failures ----

    fn place(&mut self, id: RequestId, writer: HostId) {
        self.unplace(id);
        let (Some(r), Some(host)) = (self.requests.get_mut(&id), self.hosts.get_mut(&writer)) else { return };
        r.writer = Some(writer);
        host.streams.insert(id);
    }

    fn unplace(&mut self, id: RequestId) {
        let Some(r) = self.requests.get_mut(&id) else { return };
        let Some(host) = r.writer.take().and_then(|w| self.hosts.get_mut(&w)) else { return };
        host.streams.remove(&id);
    }

    fn send_write(&mut self, now: Micros, id: RequestId, writer: HostId, out: &mut Vec<Action>) {
        let (host, r) = (&self.hosts[&writer], &self.requests[&id]);
        let reads = if r.reader.is_none() { self.read_time(now, host, r) } else { 0.0 };
        let expected = self.first_time(now, host) + reads;
        self.requests.entry(id).and_modify(|r| r.stage = Stage::Writing);
        self.all.writes.count(now);
        self.send(now, id, writer, expected, out);
    }

    fn send(&mut self, now: Micros, id: RequestId, to: HostId, expected: f64, out: &mut Vec<Action>) {
        let gap = self.cold_gap(now, to);
        let (Some(r), Some(host)) = (self.requests.get_mut(&id), self.hosts.get_mut(&to)) else { return };
        let left = (r.deadline - now).max(1) as f64;
        // A silent host shows only so. The share leaves room for another try, unless all is slow.
        let share = if left * TRY_SHARE > expected * 1.5 { left * TRY_SHARE } else { left };
        let mut time_out = (expected * PATIENCE + PATIENCE_EXTRA).min(share) as Micros;
        (r.sent, r.begun) = (r.sent + 1, now);
        if r.ask.whole && host.role != Role::Read {
            // Its silence tells nothing of the host until all is written, so it may take all the time left.
            time_out = left as Micros;
        } else {
            host.pending.insert(id, now);
        }
        host.next_cold = now.saturating_add(gap);
        out.push(Action::Send { request: id, host: to, time_out: time_out.max(1) });
    }

    fn began(&mut self, now: Micros, id: RequestId, at: HostId, took: Micros) {
        self.worked(now, at);
        let (Some(r), Some(host)) = (self.requests.get_mut(&id), self.hosts.get_mut(&at)) else { return };
        host.pending.remove(&id);
        (r.stage, r.begun) = (Stage::Streaming, now);
        if r.reader.is_some() {
            return self.first_token(now, at, took);
        }
        host.read_cost.learn(now, self.all.read_cost.value, took as f64 / (r.unread + READ_EXTRA), HOST_GAIN);
        host.kept.extend(r.ask.prefix.map(|key| (key, r.ask.prefix_tokens)));
    }

    /// A first token took this long, or longer when the attempt timed out.
    fn first_token(&mut self, now: Micros, at: HostId, took: Micros) {
        let Some(host) = self.hosts.get_mut(&at) else { return };
        host.first_took.learn(now, self.all.first_took.value, took as f64, HOST_GAIN);
        self.all.first_took.follow(now, took as f64);
    }

    fn ended(
        &mut self, now: Micros, id: RequestId, at: HostId,
        (outcome, last, kept, took): (Outcome, bool, f64, Micros), out: &mut Vec<Action>,
    ) {
        let known = self.requests.get(&id).map(|r| (r.stage == Stage::Reading, r.begun));
        let (was_read, begun) = known.unwrap_or((false, now));
        let sent_at = self.hosts.get_mut(&at).and_then(|h| h.pending.remove(&id)).unwrap_or(begun);
        let waited = self.requests.get(&id).filter(|r| r.stage != Stage::Streaming);
        if let Some((unread, from_low, aim_at)) = waited.map(|r| (r.unread, r.from_low, r.aim_at)) {
            if from_low {
                self.low_went(outcome == Outcome::Read && now <= aim_at);
            }
            match outcome {
                Outcome::TimedOut if was_read => self.read_took(now, id, at, unread, took),
                Outcome::TimedOut => self.first_token(now, at, took),
                _ => {}
            }
        }
        let pressed = matches!(outcome, Outcome::TimedOut | Outcome::Full);
        self.pressed_at = if pressed { now } else { self.pressed_at };
        match outcome {
            Outcome::Served => self.served(now, id, at),
            Outcome::Read => self.was_read(now, id, at, kept, took),
            Outcome::Full => {
                // Perhaps for this class or tenant alone. The longer it took to say so, the longer the rest.
                let until = now.saturating_add(FULL_REST.max(took.saturating_mul(FULL_MULTIPLE)));
                let key = self.requests.get(&id).map(|r| ((r.ask.class, r.ask.tenant), until));
                self.hosts.entry(at).and_modify(|h| h.full_until.extend(key));
            }
            Outcome::NoState | Outcome::Cancelled | Outcome::Moot => {}
            // A few come from any host, however well it is; only a host that sends nothing else fails.
            Outcome::Spoilt if self.hosts.get(&at).is_some_and(|h| h.spoilt < SPOILT_MOST) => {
                self.hosts.entry(at).and_modify(|h| h.spoilt += 1);
            }
            _ => self.failed(now, at, sent_at, out),
        }
        let Some(r) = self.requests.get_mut(&id) else { return out.push(Action::Release(id)) };
        if last || r.ended {
            out.push(Action::Release(id));
            return self.forget(id);
        }
        match (r.stage, outcome) {
            (Stage::Reading, Outcome::Read) => (r.stage, r.ready_since) = (Stage::Ready, now),
            (Stage::Reading, _) | (_, Outcome::NoState) => self.hold(now, id),
            (_, Outcome::Moot) => self.give_up(id, out),
            _ => {
                let ran = !matches!(outcome, Outcome::Full | Outcome::Unreachable);
                if ran && r.may_have_run.is_none() {
                    r.may_have_run = Some((at, sent_at));
                }
                if r.reader.is_none() {
                    self.hold(now, id);
                } else if outcome == Outcome::Spoilt {
                    // An answer had begun, so the state has moved: another writer would have none.
                    out.push(Action::Release(id));
                    self.hold(now, id);
                } else {
                    let since = if outcome == Outcome::Unreachable { r.ready_since } else { now }; // runs on
                    (r.stage, r.ready_since) = (Stage::Ready, since);
                }
            }
        }
        if !self.may_run_anywhere(now, id) || now >= self.requests.get(&id).map_or(now, |r| r.deadline) {
            self.give_up(id, out);
        }
    }

    fn served(&mut self, now: Micros, id: RequestId, at: HostId) {
        self.worked(now, at);
        let streamed = self.requests.get(&id).filter(|r| r.stage == Stage::Streaming);
        let (Some(r), Some(host)) = (streamed, self.hosts.get(&at)) else { return };
        let load = self.load(now, host);
        self.all.curves[host.kind.0].learn(load, r.tokens, (now - r.begun) as f64);
    }

    /// A read took this long, or longer, for all the own tokens up to it: others' reads show in the cost.
    fn read_took(&mut self, now: Micros, id: RequestId, at: HostId, unread: f64, took: Micros) {
        let (Some(r), Some(host)) = (self.requests.get(&id), self.hosts.get_mut(&at)) else { return };
        self.all.unread.follow(now, unread);
        let cost = took as f64 / (r.read_load - r.unread + unread).max(READ_EXTRA);
        host.read_cost.learn(now, self.all.read_cost.value, cost, HOST_GAIN);
        self.all.read_cost.follow(now, cost);
    }

    fn was_read(&mut self, now: Micros, id: RequestId, at: HostId, kept: f64, took: Micros) {
        self.worked(now, at);
        let Some(r) = self.requests.get(&id) else { return };
        if r.home == Some(at) {
            let share = (kept / r.ask.prompt_tokens.max(1.0)).clamp(0.0, 1.0);
            self.all.kept_share += FLEET_GAIN * (share - self.all.kept_share);
        }
        self.read_took(now, id, at, (r.ask.prompt_tokens - kept).max(0.0), took);
        let (Some(r), Some(host)) = (self.requests.get(&id), self.hosts.get_mut(&at)) else { return };
        // Kept texts went void: believe none of them until they are read again.
        if kept < Self::known_at(host, r) / 2.0 || host.kept.len() >= KEPT_MOST {
            host.kept.clear();
        }
        host.kept.extend(r.ask.prefix.map(|key| (key, r.ask.prefix_tokens)));
        host.kept.extend(r.ask.session.map(|key| (key, r.ask.prompt_tokens)));
    }

    fn come_last(&mut self, now: Micros, at: HostId) {
        self.hosts.entry(at).and_modify(|h| h.last_until = now + LAST_EACH * Micros::from(self.set.routers));
    }

    /// Whether a host comes after all others: it failed lately, or leaves a probe without an answer.
    fn last(&self, now: Micros, host: &Host) -> bool {
        now < host.last_until || (host.asked && now >= host.probed_at + ASK_WAIT)
    }

    /// Far emptier than the rest though warm, as a writer is that answers with errors at once.
    fn hollow(&self, now: Micros, host: &Host) -> bool {
        let tells = self.set.routers > FEW_ROUTERS && self.all.others > HOLLOW_LEAST;
        let empty = host.others.is_some_and(|o| o.value < HOLLOW * self.all.others * host.memory);
        tells && empty && host.warmth(now, &self.set.rules) >= 1.0
    }

    /// A failure rests the host, longer each time; one sent before it counts no further.
    fn failed(&mut self, now: Micros, at: HostId, sent_at: Micros, out: &mut Vec<Action>) {
        let counts = |host: &&mut Host| host.fails == 0 || sent_at >= host.failed_at;
        let Some(host) = self.hosts.get_mut(&at).filter(counts) else { return };
        (host.fails, host.failed_at) = (host.fails + 1, now);
        host.rest_until = now + (REST << (host.fails - 1).min(10)).min(REST_MOST);
        if host.fails == FAILS_RESTART {
            out.push(Action::Log(format!("host {} fails again and again: single trials only", at.0)));
        }
        self.come_last(now, at);
    }

    /// An answer of any use ends the rest; after a long silence the host is taken for cold.
    fn worked(&mut self, now: Micros, at: HostId) {
        let Some(host) = self.hosts.get_mut(&at) else { return };
        let before = host.failed_at - self.set.rules.ramp_time;
        if host.fails >= FAILS_RESTART && host.started.is_none_or(|s| s < before) {
            host.started = Some(now);
            self.put_off(now, at);
        }
        self.hosts.entry(at).and_modify(|h| (h.fails, h.spoilt, h.rest_until) = (0, 0, now));
    }

    fn left(&mut self, id: RequestId, out: &mut Vec<Action>) {
        let Some(r) = self.requests.get_mut(&id) else { return };
        if matches!(r.stage, Stage::High | Stage::Low | Stage::Ready) {
            out.push(Action::Release(id));
            return self.forget(id);
        }
        r.ended = true;
        if self.set.limits.cancel && r.stage != Stage::Streaming {
            out.push(Action::Cancel { request: id, attempt: AttemptId(r.sent.max(1) - 1) });
        }
    }

    fn forget(&mut self, id: RequestId) {
        self.unplace(id);
        if let Some(r) = self.requests.remove(&id) {
            self.high.remove(&(r.aim_at, id));
            self.low.remove(&(r.aim_at, id));
        }
    }

    // ---- Rule guards ----

    /// Rule 1: the one final answer, at once, with all that is held let go of.
    fn give_up(&mut self, id: RequestId, out: &mut Vec<Action>) {
        let Some(r) = self.requests.get(&id) else { return };
        if r.sent > 0 {
            out.push(Action::Release(id));
        }
        let repeats =
            matches!(r.by.classes[r.ask.class.0].effect, Effect::Safe | Effect::Keyed(Group::All, _));
        out.push(if repeats || r.may_have_run.is_none() {
            let share = 1.0 - COME_BACK * chance(id.0 as u32, self.salt);
            let come_back = r.by.limits.come_back.map(|most| (most as f64 * share) as Micros);
            Action::Refuse { request: id, come_back }
        } else {
            Action::Fail(id)
        });
        self.forget(id);
    }

    /// Rule 2: whether an attempt at this writer could not repeat an effect.
    fn may_run_at(&self, now: Micros, r: &Request, at: HostId) -> bool {
        let Some((ran_at, since)) = r.may_have_run else { return true };
        let group = match r.by.classes[r.ask.class.0].effect {
            Effect::Safe => return true,
            Effect::Keyed(group, window) if now < since + window => group,
            _ => return false,
        };
        let (Some(a), Some(b)) = (self.hosts.get(&ran_at), self.hosts.get(&at)) else { return false };
        group == Group::All || a.cell == b.cell || (group == Group::Zone && a.zone == b.zone)
    }

    fn may_run_anywhere(&self, now: Micros, id: RequestId) -> bool {
        let Some(r) = self.requests.get(&id) else { return true };
        let needed = if r.reader.is_some() { 1 } else { 2 };
        let writers = || self.hosts.iter().filter(|(_, h)| h.role != Role::Read);
        r.sent + needed <= r.by.limits.max_attempts
            && (r.may_have_run.is_none() || writers().any(|(&w, _)| self.may_run_at(now, r, w)))
    }

    /// Rule 3: a host that drains or is gone is out of all choices from this moment on.
    fn hosts_told(&mut self, now: Micros, whole: bool, members: &[Member]) {
        if whole {
            let named: BTreeSet<_> = members.iter().map(|m| m.host).collect();
            self.hosts.values_mut().filter(|h| !named.contains(&h.id)).for_each(|h| h.phase = Phase::Gone);
        }
        for m in members {
            let Some(kind) = self.set.kinds.get(m.kind.0) else { continue };
            let host = self.hosts.entry(m.host).or_insert_with(|| Host {
                id: m.host,
                zone: m.zone,
                cell: m.cell,
                kind: m.kind,
                role: kind.role,
                memory: kind.memory.unwrap_or(f64::INFINITY),
                ..Host::default()
            });
            host.phase = m.phase;
            if m.started > host.started {
                (host.started, host.next_cold) = (m.started, 0);
                (host.fails, host.rest_until, host.last_until, host.crowd, host.others) = Default::default();
                (host.kept, host.read_cost, host.first_took) = Default::default();
            }
            if host.next_cold == 0 && m.started.is_some() {
                self.put_off(now, m.host);
            }
        }
        // What is gone is forgotten once nothing is out there: a long day brings ever new hosts.
        self.hosts.retain(|_, h| h.phase != Phase::Gone || !h.streams.is_empty() || !h.pending.is_empty());
        self.weigh_cells();
    }

    /// What each cell's writers can take of its own readers' states and of others', from the list alone.
    fn weigh_cells(&mut self) {
        let mut cells: BTreeMap<CellId, (f64, f64)> = BTreeMap::new();
        let (mut readers, mut writers) = (0.0, 0.0);
        for h in self.hosts.values().filter(|h| h.phase == Phase::Serving) {
            let cell = cells.entry(h.cell).or_default();
            *(if h.role == Role::Read { &mut cell.0 } else { &mut cell.1 }) += 1.0;
            *(if h.role == Role::Read { &mut readers } else { &mut writers }) += 1.0;
        }
        for h in self.hosts.values_mut() {
            let (near, at) = cells.get(&h.cell).copied().unwrap_or_default();
            let share = (at / f64::max(writers, 1.0)) / (near / f64::max(readers, 1.0)).max(1e-9);
            h.stay = CELL_SLACK * share;
            h.spare = (1.0 - 1.0 / share.max(1e-9)).max(SPARE_LEAST);
        }
    }

    /// Rule 4: least time between own sends to a starting host, by what a host of that role takes now.
    fn cold_gap(&self, now: Micros, to: HostId) -> Micros {
        let Some(host) = self.hosts.get(&to) else { return 0 };
        let sends = if host.role == Role::Read { self.all.reads } else { self.all.writes };
        let same =
            |h: &&Host| (h.role == Role::Read) == (host.role == Role::Read) && h.phase == Phase::Serving;
        let each = sends.get(now, 0.0) / FADE / self.hosts.values().filter(same).count().max(1) as f64;
        let budget = each * self.set.rules.fall_multiple * host.warmth(now, &self.set.rules) * COLD_SHARE;
        (1.0 / budget.max(1e-9)).min(COLD_GAP * self.set.rules.overload_for as f64) as Micros
    }

    /// What others hold of a writer's memory, from its report; absurd reports are passed over.
    fn report(&mut self, now: Micros, at: HostId, load: Option<&Load>) {
        let held = load.and_then(|load| load.in_flight).filter(|held| (0.0..=1e4).contains(held));
        if let (Some(held), Some(host)) = (held, self.hosts.get_mut(&at).filter(|h| h.role == Role::Read)) {
            let others = (held - host.pending.len() as f64).max(0.0);
            host.crowd = Some(Fading { value: others, at: now });
            self.all.crowd += 2.0 * FLEET_GAIN * (others - self.all.crowd);
        }
        let host = self.hosts.get(&at).filter(|h| h.role != Role::Read && h.memory.is_finite());
        let share = load.and_then(|load| load.memory).filter(|share| (0.0..=2.0).contains(share));
        let (Some(host), Some(share)) = (host, share) else { return };
        let begun = self.own_tokens(host, |r| r.stage == Stage::Streaming);
        let others = (share * host.memory - begun).max(0.0);
        let gain = if self.all.others > 0.0 { 2.0 * FLEET_GAIN } else { 1.0 };
        self.all.others += gain * (others / host.memory.max(1.0) - self.all.others);
        self.hosts.entry(at).and_modify(|h| h.others = Some(Fading { value: others, at: now }));
    }

    /// Asks the writers how much others hold there, while there is anything to decide.
    fn probe(&mut self, now: Micros, out: &mut Vec<Action>) {
        let asks = (2..=FEW_ROUTERS).contains(&self.set.routers) && self.set.limits.probes;
        let waiting = !self.high.is_empty() || !self.low.is_empty();
        self.pressed_at = if waiting { now } else { self.pressed_at };
        let pressed = now < self.pressed_at.saturating_add(PRESSED);
        let every = if pressed { PROBE_EVERY } else { PROBE_CALM } as f64;
        let asked = |h: &&mut Host| asks && h.role != Role::Read && h.phase == Phase::Serving;
        for host in self.hosts.values_mut().filter(asked).filter(|_| !self.requests.is_empty()) {
            let gap = every * (0.75 + 0.5 * chance(host.id.0, host.probed_at as u64 ^ self.salt));
            if now >= host.probed_at.saturating_add(gap as Micros) {
                host.probed_at = now;
                out.push(Action::Probe(host.id));
            }
        }
    }

    /// Puts the first send to a cold host off by chance, as all routers hear of a start at once.
    fn put_off(&mut self, now: Micros, to: HostId) {
        let after = self.cold_gap(now, to) as f64 * chance(to.0, now as u64 ^ self.salt);
        self.hosts.entry(to).and_modify(|h| h.next_cold = now.saturating_add(after as Micros));
    }

    fn follow(&mut self, now: Micros, out: &mut Vec<Action>) {
        let due = self.followed_at.is_none_or(|at| now >= at + FOLLOW_AGAIN);
        if self.set.ask_for_list && !self.following && due {
            out.push(Action::Follow);
            (self.following, self.followed_at) = (true, Some(now));
        }
    }

    /// One timer at a time: while anything is held, or the list must be asked for again.
    fn set_wake(&mut self, now: Micros, out: &mut Vec<Action>) {
        let held = self.requests.values().any(|r| matches!(r.stage, Stage::High | Stage::Low | Stage::Ready));
        let (asking, after) =
            (self.set.ask_for_list && !self.following, if held { TICK } else { FOLLOW_AGAIN });
        if (held || asking) && self.wake_at.is_none_or(|at| at > now + after) {
            self.wake_at = Some(now + after);
            out.push(Action::Wake { token: 0, after });
        }
    }
}

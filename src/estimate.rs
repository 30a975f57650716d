//! What is estimated online: means that fade, and the speed curve. No decision is made here; those that decide
//! ([`crate::logic`]) read it, and what conductors tell one another of it is merged elsewhere.

use std::collections::BTreeMap;

use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::api::{Micros, NewRequest};

/// Microseconds in which what is known of one host fades by half towards what is known of all.
pub const FADE: f64 = 6e6;
/// Microseconds in which a mean over all hosts turns half towards a new sample.
const FLEET_FADE: f64 = 8e6;
/// Least weight of a new sample in a mean over all hosts.
pub const FLEET_GAIN: f64 = 0.05;
/// Ended streams of a kind before its curve is believed.
const FIT_MIN: f64 = 12.0;
/// Weight that the fit keeps at each new stream: about its last 300 count.
const FIT_KEEP: f64 = 0.997;
/// Rounds of the fit at each new stream, going on from the last one.
const FIT_STEPS: usize = 20;
/// Microseconds to read one token, until reads have been seen.
const READ_COST: f64 = 80.0;
/// Microseconds from a send to a writer to the first token, until some have been seen.
const FIRST_TOOK: f64 = 100_000.0;

/// Tokens added to each read for what does not depend on its length.
pub const READ_EXTRA: f64 = 300.0;
/// Most that one read weighs, in usual ones.
const WEIGHT_MOST: f64 = 3.0;
/// Most weight of one read in a host's own mean, which keeps some of what came before.
const GAIN_MOST: f64 = 0.75;

/// Sends to a cold host that are not worth remembering any more.
const LEAST: f64 = 0.01;

/// A mean that fades towards another with age.
#[derive(Clone, Copy, Debug, Default, PartialEq, serde::Serialize, serde::Deserialize)]
pub struct Fading {
    /// Its value when it was last changed.
    pub value: f64,
    /// When that was.
    pub at: Micros,
}

impl Fading {
    /// The mean now, faded towards this.
    pub fn get(self, now: Micros, towards: f64) -> f64 {
        towards + (self.value - towards) * 0.5f64.powf((now - self.at) as f64 / FADE)
    }

    /// Takes a sample in, with this weight.
    pub fn learn(&mut self, now: Micros, towards: f64, sample: f64, gain: f64) {
        let old = self.get(now, towards);
        *self = Fading { value: old + gain * (sample - old), at: now };
    }

    /// A mean over all hosts follows as quickly where a router seldom hears of any as where it often does.
    pub fn follow(&mut self, now: Micros, sample: f64) {
        self.follow_by(now, sample, 1.0);
    }

    /// The same for a sample that weighs as much as so many.
    pub fn follow_by(&mut self, now: Micros, sample: f64, weight: f64) {
        let gain = (1.0 - 0.5f64.powf((now - self.at) as f64 / FLEET_FADE)).max(FLEET_GAIN);
        let gain = 1.0 - (1.0 - gain).powf(weight);
        *self = Fading { value: self.value + gain * (sample - self.value), at: now };
    }

    /// Counts an event: the value, over [`FADE`], is then their rate.
    pub fn count(&mut self, now: Micros) {
        self.add(now, 1.0);
    }

    /// Counts so many at once.
    pub fn add(&mut self, now: Micros, many: f64) {
        *self = Fading { value: self.get(now, 0.0) + many * std::f64::consts::LN_2, at: now };
    }
}

/// The hash of a name, the same everywhere.
pub fn key(name: &str) -> u64 {
    xxh3_64_with_seed(name.as_bytes(), 0)
}

/// A number below one, the same for the same host and key at every router.
pub fn chance(host: u32, key: u64) -> f64 {
    (xxh3_64_with_seed(&u64::from(host).to_le_bytes(), key) >> 11) as f64 / (1u64 << 53) as f64
}

/// The largest of these is each host with a chance in proportion to its weight.
pub fn weighted(host: u32, key: u64, weight: f64) -> f64 {
    -weight / chance(host, key).ln().min(-1e-12)
}

/// The Universal Scalability Law inverted, pace = a + b(L-1) + c L(L-1): decayed least squares for one kind of host.
#[derive(Clone, Debug, Default, PartialEq, serde::Serialize, serde::Deserialize)]
pub struct Curve {
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
    /// A stream of so many tokens ended, written in this time at this load.
    pub fn learn(&mut self, load: f64, tokens: f64, took: f64) {
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

    /// Streams that it has seen.
    pub fn seen(&self) -> f64 {
        self.seen
    }

    /// Whether streams can have made it: finite, with no sum below zero.
    pub fn credible(&self) -> bool {
        let all = self.xx.iter().flatten().chain(&self.xy).chain(&self.fit).chain([&self.seen]);
        all.into_iter().all(|sum| (0.0..1e18).contains(sum))
    }

    /// Microseconds a token at this load; none till enough streams have ended.
    pub fn pace(&self, load: f64) -> f64 {
        if self.seen < FIT_MIN { 0.0 } else { basis(load).iter().zip(self.fit).map(|(x, c)| x * c).sum() }
    }
}

/// Requests of which shares are reckoned: the last so many, or up to half as many.
const SHARES_OF: f64 = 512.0;
/// Requests unlike all others that are taken to have come before the first one: few say little.
const SHARES_BEFORE: f64 = 7.0;

/// How large a part of the requests begins with each text. It follows the requests, not the clock, so that a router that sees
/// few knows the popular ones as well, only later.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Shares {
    counts: BTreeMap<u64, f64>,
    all: f64,
}

impl Shares {
    /// A request begins with this text.
    pub fn count(&mut self, text: u64) {
        *self.counts.entry(text).or_default() += 1.0;
        self.all += 1.0;
        if self.all >= SHARES_OF {
            self.all /= 2.0;
            self.counts.retain(|_, count| {
                *count /= 2.0;
                *count >= 1.0
            });
        }
    }

    /// The part of all requests that begins with this text, as the next one would make it: few requests leave room for it to
    /// be more popular than they show.
    pub fn of(&self, text: u64) -> f64 {
        (self.counts.get(&text).copied().unwrap_or(0.0) + 1.0) / (self.all + 1.0 + SHARES_BEFORE)
    }
}

/// What one router, or all others together, have spent lately. All of it fades to nothing.
#[derive(Clone, Debug, Default, PartialEq, serde::Serialize, serde::Deserialize)]
pub struct Spending {
    /// Requests taken in.
    pub arrived: Fading,
    /// Repeated attempts begun.
    pub retried: Fading,
    /// Sends to readers.
    pub reads: Fading,
    /// Sends to writers.
    pub writes: Fading,
    /// Tokens of each tenant's requests.
    pub tenants: BTreeMap<usize, Fading>,
    /// Sends to each host that was cold then.
    pub cold: BTreeMap<u32, Fading>,
}

impl Spending {
    /// The sum of what several have spent, as it stands now.
    pub fn sum<'a>(now: Micros, all: impl IntoIterator<Item = &'a Spending>) -> Self {
        let mut sum = Spending::default();
        let add = |to: &mut Fading, from: Fading| {
            *to = Fading { value: to.get(now, 0.0) + from.get(now, 0.0), at: now };
        };
        for one in all {
            add(&mut sum.arrived, one.arrived);
            add(&mut sum.retried, one.retried);
            add(&mut sum.reads, one.reads);
            add(&mut sum.writes, one.writes);
            one.tenants.iter().for_each(|(at, from)| add(sum.tenants.entry(*at).or_default(), *from));
            one.cold.iter().for_each(|(at, from)| add(sum.cold.entry(*at).or_default(), *from));
        }
        sum
    }

    /// A request of so many tokens is taken in.
    pub fn take_in(&mut self, now: Micros, tenant: Option<usize>, tokens: f64) {
        self.arrived.count(now);
        if let Some(tenant) = tenant {
            self.tenants.entry(tenant).or_default().add(now, tokens);
        }
    }

    /// A cold host is sent something.
    pub fn send_cold(&mut self, now: Micros, host: u32) {
        self.cold.retain(|_, sent| sent.get(now, 0.0) > LEAST);
        self.cold.entry(host).or_default().count(now);
    }

    /// What a tenant has had.
    pub fn tenant(&self, now: Micros, tenant: usize) -> f64 {
        self.tenants.get(&tenant).map_or(0.0, |had| had.get(now, 0.0))
    }

    /// What was sent to a cold host.
    pub fn sent_cold(&self, now: Micros, host: u32) -> f64 {
        self.cold.get(&host).map_or(0.0, |sent| sent.get(now, 0.0))
    }
}

/// What is learnt of the fleet as a whole: worth handing on to a router that takes this one's place.
#[derive(Clone, Debug, Default, PartialEq, serde::Serialize, serde::Deserialize)]
pub struct Learnt {
    /// The speed curve of each kind of host.
    pub curves: Vec<Curve>,
    /// Microseconds to read one token.
    pub read_cost: Fading,
    /// Microseconds from a send to a writer to the first token.
    pub first_took: Fading,
    /// Mean tokens of a request, prompt and answer.
    pub footprint: f64,
    /// Mean share of a writer's memory that others hold.
    pub others: f64,
    /// Mean share of a prompt that is kept at its home.
    pub kept_share: f64,
    /// Mean requests that others hold at a reader.
    pub crowd: f64,
    /// Mean tokens that were left to be read.
    pub unread: Fading,
    /// Microseconds between the fleet's sends of the low tier.
    pub low_gap: f64,
    /// Own sends to readers.
    pub reads: Fading,
    /// Own sends to writers.
    pub writes: Fading,
    /// What else was spent; it fades too soon to be handed on.
    #[serde(skip)]
    pub spent: Spending,
    /// How popular each shared beginning is.
    #[serde(skip)]
    pub beginnings: Shares,
}

impl Learnt {
    /// Takes over what another has learnt, where that is more.
    pub fn adopt(
        &mut self, now: Micros, curves: &[Curve], [read_cost, first_took, footprint, kept_share]: [f64; 4],
    ) {
        let more = |mine: &Curve, theirs: &Curve| theirs.seen > mine.seen;
        if curves.len() == self.curves.len() {
            self.curves.iter_mut().zip(curves).filter(|(mine, theirs)| more(mine, theirs)).for_each(
                |(mine, theirs)| {
                    *mine = theirs.clone();
                },
            );
        }
        if self.footprint <= 0.0 && footprint > 0.0 {
            (self.footprint, self.kept_share) = (footprint, kept_share.clamp(0.0, 1.0));
            self.read_cost = Fading { value: read_cost, at: now };
            self.first_took = Fading { value: first_took, at: now };
        }
    }

    /// A read of so many `unread` tokens took this long behind others, `load` tokens in all. Where the reader `told` of others
    /// a read counts by its tokens: of short ones that stood in a queue, the time says little of what a token costs. `cost` is
    /// the host's own, which turns to a usual sample with this gain.
    pub fn read(
        &mut self, now: Micros, cost: &mut Fading, (unread, load, took, gain): (f64, f64, Micros, f64),
        told: bool,
    ) {
        self.unread.follow(now, unread);
        let usual = self.unread.value + READ_EXTRA;
        let (each, weight) = (took as f64 / load, if told { (load / usual).min(WEIGHT_MOST) } else { 1.0 });
        cost.learn(now, self.read_cost.value, each, (gain * weight).min(GAIN_MOST));
        self.read_cost.follow_by(now, each, weight);
    }

    /// A request of so many tokens is taken in.
    pub fn arrived(&mut self, now: Micros, ask: &NewRequest, tokens: f64) {
        self.spent.take_in(now, ask.tenant.map(|t| t.0), tokens);
        ask.prefix.iter().for_each(|text| self.beginnings.count(text.0));
    }

    /// All that was spent lately, for other routers.
    pub fn spending(&self) -> Spending {
        Spending { reads: self.reads, writes: self.writes, ..self.spent.clone() }
    }

    /// Before anything is learnt of so many kinds of host.
    pub fn new(kinds: usize) -> Self {
        Learnt {
            curves: vec![Curve::default(); kinds],
            read_cost: Fading { value: READ_COST, at: Micros::MIN / 2 },
            first_took: Fading { value: FIRST_TOOK, at: Micros::MIN / 2 },
            ..Learnt::default()
        }
    }
}

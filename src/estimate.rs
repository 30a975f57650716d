//! Online estimates: decaying means, the speed curve of each kind of host and what was spent lately. Decisions are made in
//! [`crate::logic`], which reads these; the exchange between conductors is elsewhere.

use std::collections::BTreeMap;

use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::api::{Micros, NewRequest};

/// Half-life of what is known of one host, which decays towards the mean over all hosts.
pub const HOST_HALF_LIFE_US: f64 = 6e6;
/// Time in which a mean over all hosts moves halfway to a new sample.
const FLEET_HALF_LIFE_US: f64 = 8e6;
/// Least weight of a new sample in a mean over all hosts.
pub const MIN_FLEET_GAIN: f64 = 0.05;
/// Ended streams of a kind of host before its speed curve is used.
const MIN_FIT_STREAMS: f64 = 12.0;
/// Share of its weight that earlier data keeps at each new stream: about the last 300 streams count.
const FIT_RETENTION: f64 = 0.997;
/// Rounds of coordinate descent at each new stream, starting from the previous solution.
const FIT_ROUNDS: usize = 20;
/// Initial estimate of the time to read one token.
const INITIAL_READ_COST_US: f64 = 80.0;
/// Initial estimate of the time from a send to a writer to the first token.
const INITIAL_FIRST_TOKEN_TIME_US: f64 = 100_000.0;
/// Tokens added to each read for the cost that does not depend on its length.
pub const READ_OVERHEAD_TOKENS: f64 = 300.0;
/// Most weight of one read, relative to a read of mean length.
const MAX_READ_WEIGHT: f64 = 3.0;
/// Most weight of one read in a host's own mean, so that earlier samples still count.
const MAX_READ_GAIN: f64 = 0.75;
/// Decayed number of sends to a cold host below which its entry is dropped.
const MIN_COLD_SENDS: f64 = 0.01;

/// An exponentially decaying mean, which falls back towards a given base value with age.
#[derive(Clone, Copy, Debug, Default, PartialEq, serde::Serialize, serde::Deserialize)]
pub struct DecayingMean {
    /// The value at the last update.
    pub value: f64,
    /// The time of the last update.
    #[serde(rename = "at")]
    pub updated_at: Micros,
}

impl DecayingMean {
    /// Returns the mean at `now`, decayed towards `towards`.
    pub fn decayed(self, now: Micros, towards: f64) -> f64 {
        towards + (self.value - towards) * 0.5f64.powf((now - self.updated_at) as f64 / HOST_HALF_LIFE_US)
    }

    /// Adds a sample with the weight `gain`, after decay towards `towards`.
    pub fn add_sample(&mut self, now: Micros, towards: f64, sample: f64, gain: f64) {
        let old = self.decayed(now, towards);
        *self = DecayingMean { value: old + gain * (sample - old), updated_at: now };
    }

    /// Adds a sample to a mean over all hosts. Its weight grows with the time since the last one, so that a router with
    /// few samples follows as quickly as one with many.
    pub fn add_fleet_sample(&mut self, now: Micros, sample: f64) {
        self.add_weighted_fleet_sample(now, sample, 1.0);
    }

    /// Adds a sample to a mean over all hosts that counts as `weight` samples.
    pub fn add_weighted_fleet_sample(&mut self, now: Micros, sample: f64, weight: f64) {
        let gain =
            (1.0 - 0.5f64.powf((now - self.updated_at) as f64 / FLEET_HALF_LIFE_US)).max(MIN_FLEET_GAIN);
        let gain = 1.0 - (1.0 - gain).powf(weight);
        *self = DecayingMean { value: self.value + gain * (sample - self.value), updated_at: now };
    }

    /// Counts one event. The value divided by [`HOST_HALF_LIFE_US`] is the rate of events.
    pub fn count_event(&mut self, now: Micros) {
        self.count_events(now, 1.0);
    }

    /// Counts several events at once.
    pub fn count_events(&mut self, now: Micros, number: f64) {
        *self =
            DecayingMean { value: self.decayed(now, 0.0) + number * std::f64::consts::LN_2, updated_at: now };
    }
}

/// Returns the hash of a name, the same in every process.
pub fn name_hash(name: &str) -> u64 {
    xxh3_64_with_seed(name.as_bytes(), 0)
}

/// Returns a hash of host and key in the range from 0 up to but not including 1, the same at every router.
pub fn unit_hash(host: u32, key: u64) -> f64 {
    (xxh3_64_with_seed(&u64::from(host).to_le_bytes(), key) >> 11) as f64 / (1u64 << 53) as f64
}

/// Returns the score of a host in weighted rendezvous hashing: a host has the highest score with a probability in
/// proportion to its weight.
pub fn rendezvous_score(host: u32, key: u64, weight: f64) -> f64 {
    -weight / unit_hash(host, key).ln().min(-1e-12)
}

/// The speed curve of one kind of host: the inverted Universal Scalability Law, time per token = a + b(L-1) + c L(L-1)
/// at L streams, fitted by least squares with exponential decay.
#[derive(Clone, Debug, Default, PartialEq, serde::Serialize, serde::Deserialize)]
pub struct SpeedCurve {
    #[serde(rename = "xx")]
    normal_matrix: [[f64; 3]; 3],
    #[serde(rename = "xy")]
    normal_vector: [f64; 3],
    #[serde(rename = "seen")]
    stream_count: f64,
    #[serde(rename = "fit")]
    coefficients: [f64; 3],
}

fn basis(load: f64) -> [f64; 3] {
    let load = load.max(1.0);
    [1.0, load - 1.0, load * (load - 1.0)]
}

impl SpeedCurve {
    /// Adds a stream of `tokens` tokens that was written in `elapsed` microseconds at `load` concurrent streams.
    pub fn add_stream(&mut self, load: f64, tokens: f64, elapsed: f64) {
        let x = basis(load);
        for (i, xi) in x.iter().enumerate() {
            for (j, xj) in x.iter().enumerate() {
                self.normal_matrix[i][j] = self.normal_matrix[i][j] * FIT_RETENTION + tokens * xi * xj;
            }
            self.normal_vector[i] = self.normal_vector[i] * FIT_RETENTION + elapsed * xi;
        }
        self.stream_count += 1.0;
        self.fit();
    }

    /// Solves the least squares problem with non-negative coefficients by coordinate descent.
    fn fit(&mut self) {
        for i in (0..3).cycle().take(3 * FIT_ROUNDS) {
            let rest: f64 =
                (0..3).filter(|&j| j != i).map(|j| self.normal_matrix[i][j] * self.coefficients[j]).sum();
            self.coefficients[i] =
                ((self.normal_vector[i] - rest) / self.normal_matrix[i][i].max(1e-9)).max(0.0);
        }
    }

    /// Returns the number of streams added.
    pub fn stream_count(&self) -> f64 {
        self.stream_count
    }

    /// Returns whether the data can stem from streams: each sum is finite and none is negative.
    pub fn is_credible(&self) -> bool {
        let values = self
            .normal_matrix
            .iter()
            .flatten()
            .chain(&self.normal_vector)
            .chain(&self.coefficients)
            .chain([&self.stream_count]);
        values.into_iter().all(|value| (0.0..1e18).contains(value))
    }

    /// Returns the microseconds per token at this load, or 0 until enough streams have ended.
    pub fn time_per_token(&self, load: f64) -> f64 {
        if self.stream_count < MIN_FIT_STREAMS {
            0.0
        } else {
            basis(load).iter().zip(self.coefficients).map(|(x, c)| x * c).sum()
        }
    }
}

/// Requests counted before all counts are halved: the shares cover the last 256 to 512 requests.
const MAX_COUNTED_REQUESTS: f64 = 512.0;
/// Requests without a known prefix that are assumed before the first one, so that few requests imply little.
const PRIOR_REQUESTS: f64 = 7.0;

/// The share of requests that have each prompt prefix. Counts decay per request and not with time, so that a router with few
/// requests learns the popular prefixes too, only later.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct PrefixShares {
    counts: BTreeMap<u64, f64>,
    request_count: f64,
}

impl PrefixShares {
    /// Counts a request with this prefix.
    pub fn count(&mut self, prefix: u64) {
        *self.counts.entry(prefix).or_default() += 1.0;
        self.request_count += 1.0;
        if self.request_count >= MAX_COUNTED_REQUESTS {
            self.request_count /= 2.0;
            self.counts.retain(|_, count| {
                *count /= 2.0;
                *count >= 1.0
            });
        }
    }

    /// Returns the estimated share of requests with this prefix, counted as if the next request had it too: a prefix may be
    /// more popular than few requests show.
    pub fn share_of(&self, prefix: u64) -> f64 {
        (self.counts.get(&prefix).copied().unwrap_or(0.0) + 1.0) / (self.request_count + 1.0 + PRIOR_REQUESTS)
    }
}

/// Recent spending of one router, or of all others together. Each figure decays to zero.
#[derive(Clone, Debug, Default, PartialEq, serde::Serialize, serde::Deserialize)]
pub struct Spending {
    /// Accepted requests.
    pub arrived: DecayingMean,
    /// Repeated attempts.
    pub retried: DecayingMean,
    /// Sends to readers.
    pub reads: DecayingMean,
    /// Sends to writers.
    pub writes: DecayingMean,
    /// Tokens of each tenant's requests.
    pub tenants: BTreeMap<usize, DecayingMean>,
    /// Sends to each host that was cold at the time.
    pub cold: BTreeMap<u32, DecayingMean>,
}

impl Spending {
    /// Returns the sum of several routers' spending, decayed to `now`.
    pub fn sum<'a>(now: Micros, parts: impl IntoIterator<Item = &'a Spending>) -> Self {
        let mut sum = Spending::default();
        let add = |to: &mut DecayingMean, from: DecayingMean| {
            *to = DecayingMean { value: to.decayed(now, 0.0) + from.decayed(now, 0.0), updated_at: now };
        };
        for part in parts {
            add(&mut sum.arrived, part.arrived);
            add(&mut sum.retried, part.retried);
            add(&mut sum.reads, part.reads);
            add(&mut sum.writes, part.writes);
            part.tenants.iter().for_each(|(at, from)| add(sum.tenants.entry(*at).or_default(), *from));
            part.cold.iter().for_each(|(at, from)| add(sum.cold.entry(*at).or_default(), *from));
        }
        sum
    }

    /// Counts an accepted request of `tokens` tokens.
    pub fn record_request(&mut self, now: Micros, tenant: Option<usize>, tokens: f64) {
        self.arrived.count_event(now);
        if let Some(tenant) = tenant {
            self.tenants.entry(tenant).or_default().count_events(now, tokens);
        }
    }

    /// Counts a send to a cold host.
    pub fn record_cold_send(&mut self, now: Micros, host: u32) {
        self.cold.retain(|_, sent| sent.decayed(now, 0.0) > MIN_COLD_SENDS);
        self.cold.entry(host).or_default().count_event(now);
    }

    /// Returns the decayed number of tokens of a tenant's requests.
    pub fn tenant_tokens(&self, now: Micros, tenant: usize) -> f64 {
        self.tenants.get(&tenant).map_or(0.0, |tokens| tokens.decayed(now, 0.0))
    }

    /// Returns the decayed number of sends to a cold host.
    pub fn cold_sends(&self, now: Micros, host: u32) -> f64 {
        self.cold.get(&host).map_or(0.0, |sent| sent.decayed(now, 0.0))
    }
}

/// Estimates over the whole fleet, which are handed over to the router that takes this one's place.
#[derive(Clone, Debug, Default, PartialEq, serde::Serialize, serde::Deserialize)]
pub struct FleetEstimates {
    /// The speed curve of each kind of host.
    pub curves: Vec<SpeedCurve>,
    /// Microseconds to read one token.
    pub read_cost: DecayingMean,
    /// Microseconds from a send to a writer to the first token.
    #[serde(rename = "first_took")]
    pub first_token_time: DecayingMean,
    /// Mean tokens of a request, prompt and answer together.
    #[serde(rename = "footprint")]
    pub mean_request_tokens: f64,
    /// Mean share of a writer's memory that other routers' requests hold.
    #[serde(rename = "others")]
    pub other_memory_share: f64,
    /// Mean share of a prompt that is cached at its home reader.
    #[serde(rename = "kept_share")]
    pub cached_prompt_share: f64,
    /// Mean number of requests that other routers have at a reader.
    #[serde(rename = "crowd")]
    pub other_requests_per_reader: f64,
    /// Mean tokens of a prompt that were not cached and had to be read.
    #[serde(rename = "unread")]
    pub uncached_tokens: DecayingMean,
    /// Microseconds between this router's sends of the low tier.
    #[serde(rename = "low_gap")]
    pub low_tier_interval: f64,
    /// This router's sends to readers.
    pub reads: DecayingMean,
    /// This router's sends to writers.
    pub writes: DecayingMean,
    /// Other recent spending; it decays too quickly to be handed over.
    #[serde(skip)]
    pub spent: Spending,
    /// How popular each shared prompt prefix is.
    #[serde(skip, rename = "beginnings")]
    pub prefix_shares: PrefixShares,
}

impl FleetEstimates {
    /// Adopts the estimates of another router where they rest on more data.
    pub fn adopt(
        &mut self, now: Micros, curves: &[SpeedCurve],
        [read_cost, first_token_time, mean_request_tokens, cached_prompt_share]: [f64; 4],
    ) {
        let has_more_data = |mine: &SpeedCurve, theirs: &SpeedCurve| theirs.stream_count > mine.stream_count;
        if curves.len() == self.curves.len() {
            self.curves.iter_mut().zip(curves).filter(|(mine, theirs)| has_more_data(mine, theirs)).for_each(
                |(mine, theirs)| {
                    *mine = theirs.clone();
                },
            );
        }
        if self.mean_request_tokens <= 0.0 && mean_request_tokens > 0.0 {
            (self.mean_request_tokens, self.cached_prompt_share) =
                (mean_request_tokens, cached_prompt_share.clamp(0.0, 1.0));
            self.read_cost = DecayingMean { value: read_cost, updated_at: now };
            self.first_token_time = DecayingMean { value: first_token_time, updated_at: now };
        }
    }

    /// Records a read of `uncached_tokens` tokens that took `elapsed` behind others, with `queued_tokens` tokens to read in
    /// all. Where the reader reports the requests of others (`has_load_report`), a read counts by its tokens, because the
    /// time of a short read that stood in a queue says little about the cost of a token. `cost` is the host's own mean,
    /// which takes a sample of mean length in with the weight `gain`.
    pub fn record_read(
        &mut self, now: Micros, cost: &mut DecayingMean,
        (uncached_tokens, queued_tokens, elapsed, gain): (f64, f64, Micros, f64), has_load_report: bool,
    ) {
        self.uncached_tokens.add_fleet_sample(now, uncached_tokens);
        let usual_tokens = self.uncached_tokens.value + READ_OVERHEAD_TOKENS;
        let (token_cost, weight) = (
            elapsed as f64 / queued_tokens,
            if has_load_report { (queued_tokens / usual_tokens).min(MAX_READ_WEIGHT) } else { 1.0 },
        );
        cost.add_sample(now, self.read_cost.value, token_cost, (gain * weight).min(MAX_READ_GAIN));
        self.read_cost.add_weighted_fleet_sample(now, token_cost, weight);
    }

    /// Counts an accepted request of `tokens` tokens.
    pub fn record_arrival(&mut self, now: Micros, received: &NewRequest, tokens: f64) {
        self.spent.record_request(now, received.tenant.map(|tenant| tenant.0), tokens);
        received.prefix.iter().for_each(|prefix| self.prefix_shares.count(prefix.0));
    }

    /// Returns this router's recent spending, for other routers.
    pub fn spending(&self) -> Spending {
        Spending { reads: self.reads, writes: self.writes, ..self.spent.clone() }
    }

    /// Creates the initial estimates for a fleet with this many kinds of host.
    pub fn new(kinds: usize) -> Self {
        FleetEstimates {
            curves: vec![SpeedCurve::default(); kinds],
            read_cost: DecayingMean { value: INITIAL_READ_COST_US, updated_at: Micros::MIN / 2 },
            first_token_time: DecayingMean {
                value: INITIAL_FIRST_TOKEN_TIME_US,
                updated_at: Micros::MIN / 2,
            },
            ..FleetEstimates::default()
        }
    }
}

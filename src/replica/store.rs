//! All merged state of one conductor: items by key, how each kind merges, and digests by which two copies are compared.

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

use super::clock::{Hybrid, Stamp};
use super::marks::Marks;
use super::{HORIZON, Owner};
use crate::api::{Load, Micros};
use crate::estimate::{DecayingMean, FleetEstimates, SpeedCurve, Spending};

/// Buckets of the digest, under one root.
pub const BUCKETS: usize = 256;
/// For so long after it came a report or a figure of spending is of use.
pub const FRESH: Micros = 5_000_000;
/// Most items at once: bounds what hostile words could make.
pub const ITEMS_MOST: usize = 32_768;
/// Longest name in a key, in bytes.
const NAME_MOST: usize = 128;
/// Most figures in one item.
const FIGURES_MOST: usize = 1_024;
/// Largest figure: no count or time of use lies above.
const FIGURE_MOST: f64 = 1e15;

/// What an item is about.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Key {
    /// What operators decided.
    Marks,
    /// When an instance last came back from maintenance.
    Return(String),
    /// How an instance was found last.
    Report(String),
    /// What a conductor has spent lately.
    Spent(Owner),
    /// What a conductor has learnt of all instances.
    Learnt(Owner),
}

impl Key {
    /// Whether it is kept and compared; what is not is stale in seconds.
    pub fn lasts(&self) -> bool {
        !matches!(self, Key::Report(_) | Key::Spent(_))
    }

    /// Its hash.
    pub fn hash(&self) -> u64 {
        xxh3_64(&encode(self))
    }
}

/// A register that the last writer wins; none is a deletion mark.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Lww<T> {
    /// When it was written, and by whom.
    pub stamp: Stamp,
    /// What was written.
    pub value: Option<T>,
}

/// A value that one conductor alone writes.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Owned<T> {
    /// The run of its process; a later one has a higher number.
    pub run: u64,
    /// Counts what that run wrote.
    pub n: u64,
    /// What was written.
    pub value: T,
}

/// How an instance was found.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Report {
    /// It could not be reached, or was silent.
    pub failed: bool,
    /// Requests that it held, where it told.
    pub in_flight: Option<f64>,
    /// Share of its memory in use, where it told.
    pub memory: Option<f64>,
}

impl Report {
    /// What the module is told of its load.
    pub fn load(&self) -> Load {
        Load { in_flight: self.in_flight, memory: self.memory, ..Load::default() }
    }
}

/// What a conductor has spent, as of its writing: [`Spending`] without times, as clocks differ.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Spent {
    /// Requests taken in, repeats begun, sends to readers, sends to writers.
    pub sums: [f64; 4],
    /// Tokens of each tenant's requests.
    pub tenants: Vec<(u32, f64)>,
    /// Sends to each cold instance, by its number.
    pub cold: Vec<(u32, f64)>,
}

impl Spent {
    /// As it stands now.
    pub fn of(now: Micros, spending: &Spending) -> Self {
        let Spending { arrived, retried, reads, writes, tenants, cold } = spending;
        let tenants = tenants.iter().map(|(at, had)| (*at as u32, had.decayed(now, 0.0)));
        let cold = cold.iter().map(|(at, sent)| (*at, sent.decayed(now, 0.0)));
        Spent {
            sums: [arrived, retried, reads, writes].map(|sum| sum.decayed(now, 0.0)),
            tenants: tenants.take(FIGURES_MOST).collect(),
            cold: cold.take(FIGURES_MOST).collect(),
        }
    }

    /// As it fades from this moment on.
    pub fn spending(&self, at: Micros) -> Spending {
        let fading = |value: f64| DecayingMean { value, updated_at: at };
        let [arrived, retried, reads, writes] = self.sums.map(fading);
        let tenants = self.tenants.iter().map(|(tenant, had)| (*tenant as usize, fading(*had))).collect();
        let cold = self.cold.iter().map(|(host, sent)| (*host, fading(*sent))).collect();
        Spending { arrived, retried, reads, writes, tenants, cold }
    }

    fn fits(&self) -> bool {
        let all = self.sums.iter().chain(self.tenants.iter().chain(&self.cold).map(|(_, figure)| figure));
        let sized = self.tenants.len() <= FIGURES_MOST && self.cold.len() <= FIGURES_MOST;
        sized && all.into_iter().all(|figure| (0.0..=FIGURE_MOST).contains(figure))
    }
}

/// What a conductor has learnt, for one that knows less.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Figures {
    /// The speed curve of each kind.
    pub curves: Vec<SpeedCurve>,
    /// To read one token, to a first token; a request's tokens, a prompt's share kept at its home.
    pub means: [f64; 4],
}

impl Figures {
    /// As one router has it.
    pub fn of(all: &FleetEstimates) -> Self {
        let means = [
            all.read_cost.value,
            all.first_token_time.value,
            all.mean_request_tokens,
            all.cached_prompt_share,
        ];
        Figures { curves: all.curves.clone(), means }
    }

    fn fits(&self) -> bool {
        let curves = self.curves.len() <= 64 && self.curves.iter().all(SpeedCurve::is_credible);
        curves && self.means.iter().all(|mean| (0.0..=FIGURE_MOST).contains(mean))
    }
}

/// An item.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Value {
    /// Of [`Key::Marks`].
    Marks(Marks),
    /// Of [`Key::Return`], in Unix milliseconds.
    Return(Lww<i64>),
    /// Of [`Key::Report`].
    Report(Lww<Report>),
    /// Of [`Key::Spent`].
    Spent(Owned<Spent>),
    /// Of [`Key::Learnt`].
    Learnt(Owned<Figures>),
}

/// Why something is not merged.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Unfit {
    /// The key belongs to another kind of value, or a figure lies out of all bounds.
    #[error("cannot be")]
    Odd,
    /// Its writer's clock is ahead of all belief.
    #[error("its stamp lies in the future")]
    Ahead,
    /// There is no room.
    #[error("there are too many")]
    Full,
    /// The same version with other content: set aside until a majority's copy is known.
    #[error("the same version has other content here")]
    Differs,
}

#[derive(Clone, Debug)]
struct Item {
    value: Value,
    hash: u64,
    /// When this version came, on the own clock.
    came: Micros,
    /// Counts what came, in this run.
    seq: u64,
}

/// One conductor's copy.
pub struct Replica {
    me: Owner,
    run: u64,
    clock: Hybrid,
    items: BTreeMap<Key, Item>,
    buckets: Vec<u64>,
    /// What lasts, by the hash of its key.
    index: BTreeMap<u64, Key>,
    seq: u64,
    /// Changed since they were last told.
    changed: BTreeSet<Key>,
    /// What lasts and was dropped, until the disk knows it.
    dropped: BTreeSet<Key>,
    /// Copies that differ where they must not, by who holds which.
    apart: BTreeMap<Key, BTreeMap<Owner, Value>>,
    /// When this copy was last equal to another's.
    equal_at: Micros,
}

/// The bytes of a value; our types are made of numbers, texts and lists, so this does not fail.
fn encode(value: &impl Serialize) -> Vec<u8> {
    postcard::to_allocvec(value).unwrap_or_default()
}

fn bucket(hash: u64) -> usize {
    (hash >> 56) as usize
}

impl Replica {
    /// An empty copy of a process that started at this time, which tells its runs apart.
    pub fn new(name: &str, started: Micros) -> Self {
        let me = Owner::of(name);
        Replica {
            me,
            run: started.max(1) as u64,
            clock: Hybrid::new(me),
            items: BTreeMap::new(),
            buckets: vec![0; BUCKETS],
            index: BTreeMap::new(),
            seq: 0,
            changed: BTreeSet::new(),
            dropped: BTreeSet::new(),
            apart: BTreeMap::new(),
            equal_at: started,
        }
    }

    // ---- Own writing ----

    /// An instance was found so.
    pub fn report(&mut self, now: Micros, instance: &str, report: Report) {
        let stamp = self.clock.stamp(now);
        self.put(now, Key::Report(instance.into()), Value::Report(Lww { stamp, value: Some(report) }));
    }

    /// An instance came back from maintenance, or, with none, is known to nobody any more.
    pub fn returned(&mut self, now: Micros, instance: &str, at_ms: Option<i64>) {
        let stamp = self.clock.stamp(now);
        self.put(now, Key::Return(instance.into()), Value::Return(Lww { stamp, value: at_ms }));
    }

    /// What this conductor has spent.
    pub fn spent(&mut self, now: Micros, value: Spent) {
        let key = Key::Spent(self.me);
        let n = self.next(&key);
        self.put(now, key, Value::Spent(Owned { run: self.run, n, value }));
    }

    /// What it has learnt.
    pub fn learnt(&mut self, now: Micros, value: Figures) {
        let key = Key::Learnt(self.me);
        let same = matches!(self.get(&key), Some(Value::Learnt(held)) if held.value == value);
        if !same {
            let n = self.next(&key);
            self.put(now, key, Value::Learnt(Owned { run: self.run, n, value }));
        }
    }

    /// Operators' marks, after a change of them.
    pub fn marked(&mut self, now: Micros, marks: Marks) {
        self.put(now, Key::Marks, Value::Marks(marks));
    }

    fn next(&mut self, key: &Key) -> u64 {
        match self.get(key) {
            Some(Value::Spent(Owned { run, n, .. }) | Value::Learnt(Owned { run, n, .. })) => {
                if *run > self.run {
                    // A run before this one had a clock that was ahead.
                    self.run = run.saturating_add(1);
                    1
                } else if *run == self.run {
                    n.saturating_add(1)
                } else {
                    1
                }
            }
            _ => 1,
        }
    }

    fn put(&mut self, now: Micros, key: Key, value: Value) {
        if self.items.len() < ITEMS_MOST || self.items.contains_key(&key) {
            self.changed.insert(key.clone());
            self.keep(now, key, value);
        }
    }

    fn keep(&mut self, now: Micros, key: Key, value: Value) {
        let hash = xxh3_64(&encode(&(&key, &value)));
        if key.lasts() {
            let place = key.hash();
            let before = self.items.get(&key).map_or(0, |before| before.hash);
            self.buckets[bucket(place)] ^= before ^ hash;
            self.index.insert(place, key.clone());
            self.seq += 1;
        }
        self.items.insert(key, Item { value, hash, came: now, seq: self.seq });
    }

    fn drop_item(&mut self, key: &Key) {
        if let Some(item) = self.items.remove(key).filter(|_| key.lasts()) {
            let place = key.hash();
            self.buckets[bucket(place)] ^= item.hash;
            self.index.remove(&place);
            self.dropped.insert(key.clone());
        }
        self.changed.remove(key);
    }

    // ---- Merging ----

    /// Takes another's item in. True where it was news.
    pub fn merge(&mut self, now: Micros, from: Owner, key: Key, value: Value) -> Result<bool, Unfit> {
        self.check(now, &key, &value)?;
        match &value {
            Value::Return(Lww { stamp, .. }) | Value::Report(Lww { stamp, .. }) => {
                self.clock.hear(now, *stamp)
            }
            _ => {}
        }
        let Some(held) = self.items.get(&key) else {
            if self.items.len() >= ITEMS_MOST {
                return Err(Unfit::Full);
            }
            if !self.apart.contains_key(&key) {
                self.keep(now, key, value);
                return Ok(true);
            }
            return self.differs(now, from, key, value);
        };
        let newer = match (&held.value, &value) {
            (Value::Marks(mine), Value::Marks(theirs)) => {
                let mut merged = mine.clone();
                merged.merge(theirs);
                if merged == *mine {
                    return Ok(false);
                }
                // What came of the two is news to whoever told as well, unless it is the copy that was told.
                if merged != *theirs {
                    self.changed.insert(Key::Marks);
                }
                self.keep(now, key, Value::Marks(merged));
                return Ok(true);
            }
            (Value::Return(mine), Value::Return(theirs)) => theirs.stamp.cmp(&mine.stamp),
            (Value::Report(mine), Value::Report(theirs)) => theirs.stamp.cmp(&mine.stamp),
            (Value::Spent(mine), Value::Spent(theirs)) => (theirs.run, theirs.n).cmp(&(mine.run, mine.n)),
            (Value::Learnt(mine), Value::Learnt(theirs)) => (theirs.run, theirs.n).cmp(&(mine.run, mine.n)),
            _ => return Err(Unfit::Odd),
        };
        match newer {
            std::cmp::Ordering::Less => Ok(false),
            std::cmp::Ordering::Greater => {
                self.apart.remove(&key);
                self.keep(now, key, value);
                Ok(true)
            }
            std::cmp::Ordering::Equal if held.value == value => Ok(false),
            std::cmp::Ordering::Equal => {
                let mine = held.value.clone();
                self.drop_item(&key);
                self.apart.entry(key.clone()).or_default().insert(self.me, mine);
                self.differs(now, from, key, value)
            }
        }
    }

    fn differs(&mut self, now: Micros, from: Owner, key: Key, value: Value) -> Result<bool, Unfit> {
        // A later version ends the matter, whoever has it.
        let version = |value: &Value| match value {
            Value::Return(Lww { stamp, .. }) | Value::Report(Lww { stamp, .. }) => {
                (stamp.at, u64::from(stamp.turn))
            }
            Value::Spent(Owned { run, n, .. }) | Value::Learnt(Owned { run, n, .. }) => (*run as Micros, *n),
            Value::Marks(_) => (0, 0),
        };
        let copies = self.apart.entry(key.clone()).or_default();
        if copies.values().all(|held| version(held) < version(&value)) {
            self.apart.remove(&key);
            self.keep(now, key, value);
            return Ok(true);
        }
        if copies.len() < FIGURES_MOST || copies.contains_key(&from) {
            copies.insert(from, value);
        }
        Err(Unfit::Differs)
    }

    fn check(&self, now: Micros, key: &Key, value: &Value) -> Result<(), Unfit> {
        let named = |name: &String| !name.is_empty() && name.len() <= NAME_MOST;
        let credible = |stamp: &Stamp| if stamp.credible(now) { Ok(()) } else { Err(Unfit::Ahead) };
        let run = |run: u64| {
            let ahead = run > now.saturating_add(super::clock::AHEAD_MOST).max(0) as u64;
            if ahead { Err(Unfit::Ahead) } else { Ok(()) }
        };
        match (key, value) {
            (Key::Marks, Value::Marks(marks)) if marks.fits() => Ok(()),
            (Key::Return(name), Value::Return(held)) if named(name) => credible(&held.stamp),
            (Key::Report(name), Value::Report(held)) if named(name) => {
                let figures = held.value.iter().flat_map(|r| [r.in_flight, r.memory]).flatten();
                if figures.into_iter().any(|figure| !(0.0..=FIGURE_MOST).contains(&figure)) {
                    return Err(Unfit::Odd);
                }
                credible(&held.stamp)
            }
            (Key::Spent(_), Value::Spent(held)) if held.value.fits() => run(held.run),
            (Key::Learnt(_), Value::Learnt(held)) if held.value.fits() => run(held.run),
            _ => Err(Unfit::Odd),
        }
    }

    /// Sets copies right of which a majority of so many members holds the same. What was set right.
    pub fn repair(&mut self, now: Micros, members: usize) -> Vec<Key> {
        let mut right = Vec::new();
        for (key, copies) in &self.apart {
            let agree = |value: &&Value| 2 * copies.values().filter(|other| other == value).count() > members;
            if let Some(value) = copies.values().find(agree) {
                right.push((key.clone(), value.clone()));
            }
        }
        for (key, value) in &right {
            self.apart.remove(key);
            self.keep(now, key.clone(), value.clone());
        }
        right.into_iter().map(|(key, _)| key).collect()
    }

    /// The keys of copies that are set aside.
    pub fn apart(&self) -> impl Iterator<Item = &Key> {
        self.apart.keys()
    }

    /// The own copy of what is set aside, for others to count.
    pub fn own_apart(&self) -> Vec<(Key, Value)> {
        let own = |(key, copies): (&Key, &BTreeMap<Owner, Value>)| {
            Some((key.clone(), copies.get(&self.me)?.clone()))
        };
        self.apart.iter().filter_map(own).collect()
    }

    /// Forgets what is stale, deletion marks past the horizon, and what a clock that was ahead has written here.
    pub fn tidy(&mut self, now: Micros) {
        let stale = |(key, item): (&Key, &Item)| {
            let gone = match &item.value {
                Value::Report(held) => !held.stamp.credible(now) || now > item.came.saturating_add(FRESH),
                Value::Spent(_) => now > item.came.saturating_add(FRESH),
                Value::Return(held) => {
                    let old = held.stamp.at.saturating_add(HORIZON) < now;
                    !held.stamp.credible(now) || held.value.is_none() && old
                }
                Value::Marks(_) | Value::Learnt(_) => false,
            };
            gone.then(|| key.clone())
        };
        let gone: Vec<_> = self.items.iter().filter_map(stale).collect();
        gone.iter().for_each(|key| self.drop_item(key));
        if let Some(Value::Marks(marks)) = self.get(&Key::Marks) {
            let mut kept = marks.clone();
            kept.collect(now);
            if kept != *marks {
                self.keep(now, Key::Marks, Value::Marks(kept));
            }
        }
    }

    // ---- Reading ----

    /// An item.
    pub fn get(&self, key: &Key) -> Option<&Value> {
        self.items.get(key).map(|item| &item.value)
    }

    /// All items.
    pub fn all(&self) -> impl Iterator<Item = (&Key, &Value)> {
        self.items.iter().map(|(key, item)| (key, &item.value))
    }

    /// Operators' marks.
    pub fn marks(&self) -> Marks {
        match self.get(&Key::Marks) {
            Some(Value::Marks(marks)) => marks.clone(),
            _ => Marks::default(),
        }
    }

    /// What all others have spent lately.
    pub fn others(&self, now: Micros) -> Spending {
        let theirs = self.items.iter().filter(|(key, _)| **key != Key::Spent(self.me));
        let fresh = theirs.filter(|(_, item)| now <= item.came.saturating_add(FRESH));
        let all: Vec<_> = fresh
            .filter_map(|(_, item)| match &item.value {
                Value::Spent(held) => Some(held.value.spending(item.came)),
                _ => None,
            })
            .collect();
        Spending::sum(now, &all)
    }

    /// What was learnt by the conductor that has learnt most of each kind.
    pub fn best_learnt(&self) -> Option<Figures> {
        let all = self.items.values().filter_map(|item| match &item.value {
            Value::Learnt(held) => Some(&held.value),
            _ => None,
        });
        let known = |figures: &&Figures| figures.curves.iter().map(SpeedCurve::stream_count).sum::<f64>();
        all.max_by(|a, b| known(a).total_cmp(&known(b))).cloned()
    }

    /// What lasts and was dropped since this was last asked.
    pub fn take_dropped(&mut self) -> BTreeSet<Key> {
        std::mem::take(&mut self.dropped)
    }

    /// What changed since this was last asked, for all others.
    pub fn take_changed(&mut self) -> Vec<(Key, Value)> {
        let changed = std::mem::take(&mut self.changed);
        let item = |key: Key| Some((key.clone(), self.items.get(&key)?.value.clone()));
        changed.into_iter().filter_map(item).collect()
    }

    // ---- Digests ----

    /// The digest of all that lasts.
    pub fn root(&self) -> u64 {
        xxh3_64(&encode(&self.buckets))
    }

    /// The digest of each bucket.
    pub fn buckets(&self) -> &[u64] {
        &self.buckets
    }

    /// Hashes of keys and items in these buckets.
    pub fn leaves(&self, of: &BTreeSet<u8>) -> Vec<(u64, u64)> {
        let places = of.iter().flat_map(|at| {
            let first = u64::from(*at) << 56;
            self.index.range(first..=first | (u64::MAX >> 8))
        });
        places.filter_map(|(place, key)| Some((*place, self.items.get(key)?.hash))).collect()
    }

    /// An item by the hash of its key.
    pub fn by_hash(&self, place: u64) -> Option<(Key, Value)> {
        let key = self.index.get(&place)?;
        Some((key.clone(), self.items.get(key)?.value.clone()))
    }

    /// Whether nothing that lasts is held.
    pub fn is_empty(&self) -> bool {
        self.index.is_empty()
    }

    /// How far this copy has come: its run, and the count of what lasts that came in it.
    pub fn reached(&self) -> (u64, u64) {
        (self.run, self.seq)
    }

    /// What lasts and came since then, in the order in which it came: its count, and the hash of its key.
    pub fn since(&self, seq: u64) -> Vec<(u64, u64)> {
        let came = |(place, key): (&u64, &Key)| Some((self.items.get(key)?.seq, *place));
        let mut came: Vec<_> = self.index.iter().filter_map(came).filter(|(at, _)| *at > seq).collect();
        came.sort_unstable();
        came
    }

    // ---- Being apart ----

    /// This copy is equal to another's now.
    pub fn equal(&mut self, now: Micros) {
        self.equal_at = now;
    }

    /// When it last was.
    pub fn equal_at(&self) -> Micros {
        self.equal_at
    }

    /// A copy that was apart for longer than deletion marks are kept drops all that lasts but what it alone writes.
    pub fn forget_if_old(&mut self, now: Micros) -> bool {
        let old = self.equal_at.saturating_add(HORIZON) < now;
        if old {
            let own = Key::Learnt(self.me);
            let gone: Vec<_> = self.items.keys().filter(|key| key.lasts() && **key != own).cloned().collect();
            gone.iter().for_each(|key| self.drop_item(key));
        }
        old
    }

    /// All that lasts, for the disk and for export, with when this copy was last equal to another's.
    pub fn lasting(&self) -> (Micros, Vec<(Key, Value)>) {
        let lasting = self.items.iter().filter(|(key, _)| key.lasts());
        (self.equal_at, lasting.map(|(key, item)| (key.clone(), item.value.clone())).collect())
    }

    /// Takes in what a store or a file holds. How many items were turned down.
    pub fn load(&mut self, now: Micros, (equal_at, items): (Micros, Vec<(Key, Value)>)) -> usize {
        self.equal_at = equal_at.min(now);
        let me = self.me;
        let fit =
            items.into_iter().map(|(key, value)| key.lasts() && self.merge(now, me, key, value).is_ok());
        fit.filter(|fit| !fit).count()
    }
}

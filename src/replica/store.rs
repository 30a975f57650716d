//! All replicated state of one conductor: items by key, the merge rule of each kind of item, and the digests
//! by which two replicas are compared.

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

use super::clock::{HybridClock, Timestamp};
use super::marks::Marks;
use super::{Owner, TOMBSTONE_RETENTION_US};
use crate::api::{Load, Micros};
use crate::estimate::{DecayingMean, FleetEstimates, SpeedCurve, Spending};

/// The number of digest buckets below the root digest.
pub const DIGEST_BUCKETS: usize = 256;
/// How long an instance report or a spending snapshot is used after it was received, in microseconds.
pub const EPHEMERAL_LIFETIME_US: Micros = 5_000_000;
/// The maximum number of items. It bounds the memory that malformed or hostile messages can take.
pub const MAX_ITEMS: usize = 32_768;
/// The maximum length of a name in a key, in bytes.
const MAX_NAME_BYTES: usize = 128;
/// The maximum length of a list in one item, and of the list of conflicting copies of one item.
const MAX_LIST_ENTRIES: usize = 1_024;
/// The maximum of any amount in an item. No real count or duration is larger.
const MAX_AMOUNT: f64 = 1e15;

/// Identifies an item: what it describes, and the instance or conductor that it belongs to.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Key {
    /// The marks that operators have set.
    Marks,
    /// When an instance last returned from maintenance.
    Return(String),
    /// The latest report about an instance.
    Report(String),
    /// What a conductor has spent recently.
    Spent(Owner),
    /// What a conductor has learnt about the fleet.
    Learnt(Owner),
}

impl Key {
    /// Returns whether the item is saved to disk and included in digests. Other items expire within seconds.
    pub fn is_persistent(&self) -> bool {
        !matches!(self, Key::Report(_) | Key::Spent(_))
    }

    /// Returns the hash of the encoded key, which is the same at every conductor.
    pub fn encoded_hash(&self) -> u64 {
        xxh3_64(&encode(self))
    }
}

/// A last-writer-wins register. A register without a value is a tombstone.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct LwwRegister<T> {
    /// When the value was written, and by whom.
    #[serde(rename = "stamp")]
    pub timestamp: Timestamp,
    /// The value, or `None` if it was deleted.
    pub value: Option<T>,
}

/// A register that only one conductor writes.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct OwnedRegister<T> {
    /// The run of the owner's process. A later run has a higher number.
    pub run: u64,
    /// The number of the write within that run.
    #[serde(rename = "n")]
    pub sequence: u64,
    /// The value.
    pub value: T,
}

/// The result of the latest probe of an instance or attempt at it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct InstanceReport {
    /// Whether the instance was unreachable or did not respond.
    pub failed: bool,
    /// The number of requests in flight at the instance, if it reported that.
    pub in_flight: Option<f64>,
    /// The share of the instance's memory in use, if it reported that.
    pub memory: Option<f64>,
}

impl InstanceReport {
    /// Returns the reported load in the form that the decision module takes.
    pub fn load(&self) -> Load {
        Load { in_flight: self.in_flight, memory: self.memory, ..Load::default() }
    }
}

/// A conductor's [`Spending`], decayed to the time of the snapshot. It contains no times, because the clocks
/// of conductors differ.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct SpendingSnapshot {
    /// Accepted requests, repeated attempts, sends to readers and sends to writers, in this order.
    #[serde(rename = "sums")]
    pub totals: [f64; 4],
    /// Tokens of each tenant's requests.
    #[serde(rename = "tenants")]
    pub tenant_tokens: Vec<(u32, f64)>,
    /// Sends to each cold instance, by the instance's number.
    #[serde(rename = "cold")]
    pub cold_sends: Vec<(u32, f64)>,
}

impl SpendingSnapshot {
    /// Returns the spending decayed to `now`.
    pub fn new(now: Micros, spending: &Spending) -> Self {
        let Spending { arrived, retried, reads, writes, tenants, cold } = spending;
        let tenant_tokens = tenants.iter().map(|(tenant, tokens)| (*tenant as u32, tokens.decayed(now, 0.0)));
        let cold_sends = cold.iter().map(|(instance, sends)| (*instance, sends.decayed(now, 0.0)));
        SpendingSnapshot {
            totals: [arrived, retried, reads, writes].map(|total| total.decayed(now, 0.0)),
            tenant_tokens: tenant_tokens.take(MAX_LIST_ENTRIES).collect(),
            cold_sends: cold_sends.take(MAX_LIST_ENTRIES).collect(),
        }
    }

    /// Returns the spending as a set of means that decay from `received_at` on.
    pub fn to_spending(&self, received_at: Micros) -> Spending {
        let decaying = |value: f64| DecayingMean { value, updated_at: received_at };
        let [arrived, retried, reads, writes] = self.totals.map(decaying);
        let tenants =
            self.tenant_tokens.iter().map(|(tenant, tokens)| (*tenant as usize, decaying(*tokens))).collect();
        let cold = self.cold_sends.iter().map(|(instance, sends)| (*instance, decaying(*sends))).collect();
        Spending { arrived, retried, reads, writes, tenants, cold }
    }

    fn is_valid(&self) -> bool {
        let amounts = self
            .totals
            .iter()
            .chain(self.tenant_tokens.iter().chain(&self.cold_sends).map(|(_, amount)| amount));
        let lists_fit =
            self.tenant_tokens.len() <= MAX_LIST_ENTRIES && self.cold_sends.len() <= MAX_LIST_ENTRIES;
        lists_fit && amounts.into_iter().all(|amount| (0.0..=MAX_AMOUNT).contains(amount))
    }
}

/// The part of a conductor's [`FleetEstimates`] that another conductor with less experience can adopt.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct EstimatesSnapshot {
    /// The speed curve of each kind of instance.
    pub curves: Vec<SpeedCurve>,
    /// The time to read one token, the time to the first token, the tokens of a request and the share of a
    /// prompt that is cached at its home reader, in this order.
    pub means: [f64; 4],
}

impl EstimatesSnapshot {
    /// Returns a snapshot of a router's estimates.
    pub fn new(estimates: &FleetEstimates) -> Self {
        let means = [
            estimates.read_cost.value,
            estimates.first_token_time.value,
            estimates.mean_request_tokens,
            estimates.cached_prompt_share,
        ];
        EstimatesSnapshot { curves: estimates.curves.clone(), means }
    }

    fn is_valid(&self) -> bool {
        let curves_valid = self.curves.len() <= 64 && self.curves.iter().all(SpeedCurve::is_credible);
        curves_valid && self.means.iter().all(|mean| (0.0..=MAX_AMOUNT).contains(mean))
    }
}

/// The content of an item.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Value {
    /// The value of [`Key::Marks`].
    Marks(Marks),
    /// The value of [`Key::Return`], in Unix milliseconds.
    Return(LwwRegister<i64>),
    /// The value of [`Key::Report`].
    Report(LwwRegister<InstanceReport>),
    /// The value of [`Key::Spent`].
    Spent(OwnedRegister<SpendingSnapshot>),
    /// The value of [`Key::Learnt`].
    Learnt(OwnedRegister<EstimatesSnapshot>),
}

/// The reason why an item was not merged.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum MergeError {
    /// The value's kind does not match the key, or a name or an amount is out of bounds.
    #[error("its kind does not match its key, or a name or an amount is out of bounds")]
    Invalid,
    /// The writer's clock is more than [`MAX_CLOCK_SKEW_US`](super::clock::MAX_CLOCK_SKEW_US) ahead.
    #[error("its timestamp is too far in the future")]
    ClockAhead,
    /// The replica already has [`MAX_ITEMS`] items.
    #[error("the replica has the maximum number of items")]
    Full,
    /// The replica has other content for the same version. All copies are set aside until a majority agrees
    /// on one.
    #[error("the same version has different content here")]
    Conflict,
}

#[derive(Clone, Debug)]
struct Item {
    value: Value,
    hash: u64,
    /// When this version was received, on the local clock.
    received_at: Micros,
    /// The number of the replica's latest persistent change when this version was stored, within this run.
    sequence: u64,
}

/// One conductor's copy of the replicated state.
pub struct Replica {
    owner: Owner,
    run: u64,
    clock: HybridClock,
    items: BTreeMap<Key, Item>,
    bucket_digests: Vec<u64>,
    /// The keys of persistent items by their hash.
    keys_by_hash: BTreeMap<u64, Key>,
    sequence: u64,
    /// Keys that changed since [`Self::take_changed_items`] was last called.
    changed: BTreeSet<Key>,
    /// Keys of persistent items that were removed and whose removal is not on disk yet.
    removed: BTreeSet<Key>,
    /// Copies of one version with different content, by key and by the conductor that holds each copy.
    conflicts: BTreeMap<Key, BTreeMap<Owner, Value>>,
    /// When this replica last had the same content as another.
    last_in_sync_at: Micros,
}

/// Encodes a value. Encoding does not fail, because all encoded types consist of numbers, strings and lists.
fn encode(value: &impl Serialize) -> Vec<u8> {
    postcard::to_allocvec(value).unwrap_or_default()
}

fn bucket_of(key_hash: u64) -> usize {
    (key_hash >> 56) as usize
}

impl Replica {
    /// Returns an empty replica. The start time of the process identifies its run.
    pub fn new(name: &str, started_at: Micros) -> Self {
        let owner = Owner::from_name(name);
        Replica {
            owner,
            run: started_at.max(1) as u64,
            clock: HybridClock::new(owner),
            items: BTreeMap::new(),
            bucket_digests: vec![0; DIGEST_BUCKETS],
            keys_by_hash: BTreeMap::new(),
            sequence: 0,
            changed: BTreeSet::new(),
            removed: BTreeSet::new(),
            conflicts: BTreeMap::new(),
            last_in_sync_at: started_at,
        }
    }

    // ---- Local writes ----

    /// Records a report about an instance.
    pub fn record_report(&mut self, now: Micros, instance: &str, report: InstanceReport) {
        let timestamp = self.clock.next_timestamp(now);
        self.write(
            now,
            Key::Report(instance.into()),
            Value::Report(LwwRegister { timestamp, value: Some(report) }),
        );
    }

    /// Records when an instance returned from maintenance, in Unix milliseconds. `None` deletes the entry of
    /// an instance that no longer exists.
    pub fn record_return(&mut self, now: Micros, instance: &str, returned_at_ms: Option<i64>) {
        let timestamp = self.clock.next_timestamp(now);
        self.write(
            now,
            Key::Return(instance.into()),
            Value::Return(LwwRegister { timestamp, value: returned_at_ms }),
        );
    }

    /// Records what this conductor has spent.
    pub fn record_spending(&mut self, now: Micros, value: SpendingSnapshot) {
        let key = Key::Spent(self.owner);
        let sequence = self.next_sequence(&key);
        self.write(now, key, Value::Spent(OwnedRegister { run: self.run, sequence, value }));
    }

    /// Records what this conductor has learnt, if that has changed.
    pub fn record_estimates(&mut self, now: Micros, value: EstimatesSnapshot) {
        let key = Key::Learnt(self.owner);
        let is_unchanged = matches!(self.get(&key), Some(Value::Learnt(current)) if current.value == value);
        if !is_unchanged {
            let sequence = self.next_sequence(&key);
            self.write(now, key, Value::Learnt(OwnedRegister { run: self.run, sequence, value }));
        }
    }

    /// Replaces the operators' marks after a change.
    pub fn record_marks(&mut self, now: Micros, marks: Marks) {
        self.write(now, Key::Marks, Value::Marks(marks));
    }

    fn next_sequence(&mut self, key: &Key) -> u64 {
        match self.get(key) {
            Some(
                Value::Spent(OwnedRegister { run, sequence, .. })
                | Value::Learnt(OwnedRegister { run, sequence, .. }),
            ) => {
                if *run > self.run {
                    // An earlier run of this process had a clock that was ahead. Its number must be exceeded.
                    self.run = run.saturating_add(1);
                    1
                } else if *run == self.run {
                    sequence.saturating_add(1)
                } else {
                    1
                }
            }
            _ => 1,
        }
    }

    fn write(&mut self, now: Micros, key: Key, value: Value) {
        if self.items.len() < MAX_ITEMS || self.items.contains_key(&key) {
            self.changed.insert(key.clone());
            self.store(now, key, value);
        }
    }

    fn store(&mut self, now: Micros, key: Key, value: Value) {
        let hash = xxh3_64(&encode(&(&key, &value)));
        if key.is_persistent() {
            let key_hash = key.encoded_hash();
            let previous_hash = self.items.get(&key).map_or(0, |previous| previous.hash);
            self.bucket_digests[bucket_of(key_hash)] ^= previous_hash ^ hash;
            self.keys_by_hash.insert(key_hash, key.clone());
            self.sequence += 1;
        }
        self.items.insert(key, Item { value, hash, received_at: now, sequence: self.sequence });
    }

    fn remove(&mut self, key: &Key) {
        if let Some(item) = self.items.remove(key).filter(|_| key.is_persistent()) {
            let key_hash = key.encoded_hash();
            self.bucket_digests[bucket_of(key_hash)] ^= item.hash;
            self.keys_by_hash.remove(&key_hash);
            self.removed.insert(key.clone());
        }
        self.changed.remove(key);
    }

    // ---- Merging ----

    /// Merges an item from another conductor. Returns whether it changed this replica.
    pub fn merge(&mut self, now: Micros, from: Owner, key: Key, value: Value) -> Result<bool, MergeError> {
        self.validate(now, &key, &value)?;
        match &value {
            Value::Return(LwwRegister { timestamp, .. }) | Value::Report(LwwRegister { timestamp, .. }) => {
                self.clock.observe(now, *timestamp)
            }
            _ => {}
        }
        let Some(current) = self.items.get(&key) else {
            if self.items.len() >= MAX_ITEMS {
                return Err(MergeError::Full);
            }
            if !self.conflicts.contains_key(&key) {
                self.store(now, key, value);
                return Ok(true);
            }
            return self.merge_conflicting(now, from, key, value);
        };
        let version_order = match (&current.value, &value) {
            (Value::Marks(mine), Value::Marks(theirs)) => {
                let mut merged = mine.clone();
                merged.merge(theirs);
                if merged == *mine {
                    return Ok(false);
                }
                // Unless the sender's copy equals the merged one, the sender lacks part of it too, so it is
                // sent to all.
                if merged != *theirs {
                    self.changed.insert(Key::Marks);
                }
                self.store(now, key, Value::Marks(merged));
                return Ok(true);
            }
            (Value::Return(mine), Value::Return(theirs)) => theirs.timestamp.cmp(&mine.timestamp),
            (Value::Report(mine), Value::Report(theirs)) => theirs.timestamp.cmp(&mine.timestamp),
            (Value::Spent(mine), Value::Spent(theirs)) => {
                (theirs.run, theirs.sequence).cmp(&(mine.run, mine.sequence))
            }
            (Value::Learnt(mine), Value::Learnt(theirs)) => {
                (theirs.run, theirs.sequence).cmp(&(mine.run, mine.sequence))
            }
            _ => return Err(MergeError::Invalid),
        };
        match version_order {
            std::cmp::Ordering::Less => Ok(false),
            std::cmp::Ordering::Greater => {
                self.conflicts.remove(&key);
                self.store(now, key, value);
                Ok(true)
            }
            std::cmp::Ordering::Equal if current.value == value => Ok(false),
            std::cmp::Ordering::Equal => {
                let mine = current.value.clone();
                self.remove(&key);
                self.conflicts.entry(key.clone()).or_default().insert(self.owner, mine);
                self.merge_conflicting(now, from, key, value)
            }
        }
    }

    fn merge_conflicting(
        &mut self, now: Micros, from: Owner, key: Key, value: Value,
    ) -> Result<bool, MergeError> {
        // A later version resolves the conflict, whichever conductor it comes from.
        let version = |value: &Value| match value {
            Value::Return(LwwRegister { timestamp, .. }) | Value::Report(LwwRegister { timestamp, .. }) => {
                (timestamp.time, u64::from(timestamp.counter))
            }
            Value::Spent(OwnedRegister { run, sequence, .. })
            | Value::Learnt(OwnedRegister { run, sequence, .. }) => (*run as Micros, *sequence),
            Value::Marks(_) => (0, 0),
        };
        let copies = self.conflicts.entry(key.clone()).or_default();
        if copies.values().all(|copy| version(copy) < version(&value)) {
            self.conflicts.remove(&key);
            self.store(now, key, value);
            return Ok(true);
        }
        if copies.len() < MAX_LIST_ENTRIES || copies.contains_key(&from) {
            copies.insert(from, value);
        }
        Err(MergeError::Conflict)
    }

    fn validate(&self, now: Micros, key: &Key, value: &Value) -> Result<(), MergeError> {
        let is_valid_name = |name: &String| !name.is_empty() && name.len() <= MAX_NAME_BYTES;
        let check_timestamp = |timestamp: &Timestamp| {
            if timestamp.is_credible(now) { Ok(()) } else { Err(MergeError::ClockAhead) }
        };
        let check_run = |run: u64| {
            let is_ahead = run > now.saturating_add(super::clock::MAX_CLOCK_SKEW_US).max(0) as u64;
            if is_ahead { Err(MergeError::ClockAhead) } else { Ok(()) }
        };
        match (key, value) {
            (Key::Marks, Value::Marks(marks)) if marks.is_valid() => Ok(()),
            (Key::Return(name), Value::Return(register)) if is_valid_name(name) => {
                check_timestamp(&register.timestamp)
            }
            (Key::Report(name), Value::Report(register)) if is_valid_name(name) => {
                let amounts =
                    register.value.iter().flat_map(|report| [report.in_flight, report.memory]).flatten();
                if amounts.into_iter().any(|amount| !(0.0..=MAX_AMOUNT).contains(&amount)) {
                    return Err(MergeError::Invalid);
                }
                check_timestamp(&register.timestamp)
            }
            (Key::Spent(_), Value::Spent(register)) if register.value.is_valid() => check_run(register.run),
            (Key::Learnt(_), Value::Learnt(register)) if register.value.is_valid() => check_run(register.run),
            _ => Err(MergeError::Invalid),
        }
    }

    /// Resolves each conflict in which a majority of `member_count` members holds the same copy, and returns
    /// the keys of the resolved items.
    pub fn resolve_conflicts(&mut self, now: Micros, member_count: usize) -> Vec<Key> {
        let mut resolved = Vec::new();
        for (key, copies) in &self.conflicts {
            let has_majority =
                |value: &&Value| 2 * copies.values().filter(|other| other == value).count() > member_count;
            if let Some(value) = copies.values().find(has_majority) {
                resolved.push((key.clone(), value.clone()));
            }
        }
        for (key, value) in &resolved {
            self.conflicts.remove(key);
            self.store(now, key.clone(), value.clone());
        }
        resolved.into_iter().map(|(key, _)| key).collect()
    }

    /// Iterates over the keys of items that are set aside because their copies conflict.
    pub fn conflicting_keys(&self) -> impl Iterator<Item = &Key> {
        self.conflicts.keys()
    }

    /// Returns this conductor's own copies of conflicting items, which other conductors count towards a
    /// majority.
    pub fn own_conflicting_items(&self) -> Vec<(Key, Value)> {
        let own_copy = |(key, copies): (&Key, &BTreeMap<Owner, Value>)| {
            Some((key.clone(), copies.get(&self.owner)?.clone()))
        };
        self.conflicts.iter().filter_map(own_copy).collect()
    }

    /// Removes expired reports and spending snapshots, tombstones older than [`TOMBSTONE_RETENTION_US`], and
    /// registers that this conductor wrote while its clock was ahead.
    pub fn remove_expired(&mut self, now: Micros) {
        let expired_key = |(key, item): (&Key, &Item)| {
            let is_expired = match &item.value {
                Value::Report(register) => {
                    !register.timestamp.is_credible(now)
                        || now > item.received_at.saturating_add(EPHEMERAL_LIFETIME_US)
                }
                Value::Spent(_) => now > item.received_at.saturating_add(EPHEMERAL_LIFETIME_US),
                Value::Return(register) => {
                    let is_old = register.timestamp.time.saturating_add(TOMBSTONE_RETENTION_US) < now;
                    !register.timestamp.is_credible(now) || register.value.is_none() && is_old
                }
                Value::Marks(_) | Value::Learnt(_) => false,
            };
            is_expired.then(|| key.clone())
        };
        let expired_keys: Vec<_> = self.items.iter().filter_map(expired_key).collect();
        expired_keys.iter().for_each(|key| self.remove(key));
        if let Some(Value::Marks(marks)) = self.get(&Key::Marks) {
            let mut retained = marks.clone();
            retained.collect_garbage(now);
            if retained != *marks {
                self.store(now, Key::Marks, Value::Marks(retained));
            }
        }
    }

    // ---- Reads ----

    /// Returns the value of an item.
    pub fn get(&self, key: &Key) -> Option<&Value> {
        self.items.get(key).map(|item| &item.value)
    }

    /// Iterates over all items in the order of their keys.
    pub fn items(&self) -> impl Iterator<Item = (&Key, &Value)> {
        self.items.iter().map(|(key, item)| (key, &item.value))
    }

    /// Returns the operators' marks.
    pub fn marks(&self) -> Marks {
        match self.get(&Key::Marks) {
            Some(Value::Marks(marks)) => marks.clone(),
            _ => Marks::default(),
        }
    }

    /// Returns the sum of what all other conductors have spent recently.
    pub fn spending_of_others(&self, now: Micros) -> Spending {
        let other_items = self.items.iter().filter(|(key, _)| **key != Key::Spent(self.owner));
        let fresh_items =
            other_items.filter(|(_, item)| now <= item.received_at.saturating_add(EPHEMERAL_LIFETIME_US));
        let spending: Vec<_> = fresh_items
            .filter_map(|(_, item)| match &item.value {
                Value::Spent(register) => Some(register.value.to_spending(item.received_at)),
                _ => None,
            })
            .collect();
        Spending::sum(now, &spending)
    }

    /// Returns the estimates of the conductor whose speed curves are based on the most streams.
    pub fn best_estimates(&self) -> Option<EstimatesSnapshot> {
        let snapshots = self.items.values().filter_map(|item| match &item.value {
            Value::Learnt(register) => Some(&register.value),
            _ => None,
        });
        let stream_count =
            |snapshot: &&EstimatesSnapshot| snapshot.curves.iter().map(SpeedCurve::stream_count).sum::<f64>();
        snapshots.max_by(|a, b| stream_count(a).total_cmp(&stream_count(b))).cloned()
    }

    /// Takes the keys of persistent items that were removed since the last call.
    pub fn take_removed_keys(&mut self) -> BTreeSet<Key> {
        std::mem::take(&mut self.removed)
    }

    /// Takes the items that changed since the last call and are to be sent to all other conductors.
    pub fn take_changed_items(&mut self) -> Vec<(Key, Value)> {
        let changed = std::mem::take(&mut self.changed);
        let with_value = |key: Key| Some((key.clone(), self.items.get(&key)?.value.clone()));
        changed.into_iter().filter_map(with_value).collect()
    }

    // ---- Digests ----

    /// Returns the digest of all persistent items.
    pub fn root_digest(&self) -> u64 {
        xxh3_64(&encode(&self.bucket_digests))
    }

    /// Returns the digest of each bucket.
    pub fn bucket_digests(&self) -> &[u64] {
        &self.bucket_digests
    }

    /// Returns the key hash and the item hash of each persistent item in these buckets.
    pub fn item_hashes(&self, buckets: &BTreeSet<u8>) -> Vec<(u64, u64)> {
        let keys = buckets.iter().flat_map(|bucket| {
            let first_hash = u64::from(*bucket) << 56;
            self.keys_by_hash.range(first_hash..=first_hash | (u64::MAX >> 8))
        });
        keys.filter_map(|(key_hash, key)| Some((*key_hash, self.items.get(key)?.hash))).collect()
    }

    /// Returns the persistent item whose key has this hash.
    pub fn item_by_key_hash(&self, key_hash: u64) -> Option<(Key, Value)> {
        let key = self.keys_by_hash.get(&key_hash)?;
        Some((key.clone(), self.items.get(key)?.value.clone()))
    }

    /// Returns whether the replica has no persistent items.
    pub fn is_empty(&self) -> bool {
        self.keys_by_hash.is_empty()
    }

    /// Returns the replica's position: its run, and the number of its latest persistent change in that run.
    pub fn position(&self) -> (u64, u64) {
        (self.run, self.sequence)
    }

    /// Returns the persistent items that changed after the change with this number, in the order of their
    /// changes: the number of the change and the hash of the key.
    pub fn changes_since(&self, sequence: u64) -> Vec<(u64, u64)> {
        let change = |(key_hash, key): (&u64, &Key)| Some((self.items.get(key)?.sequence, *key_hash));
        let mut changes: Vec<_> =
            self.keys_by_hash.iter().filter_map(change).filter(|(number, _)| *number > sequence).collect();
        changes.sort_unstable();
        changes
    }

    // ---- Disconnection ----

    /// Records that this replica has the same content as another one at `now`.
    pub fn mark_in_sync(&mut self, now: Micros) {
        self.last_in_sync_at = now;
    }

    /// Returns when this replica last had the same content as another one.
    pub fn last_in_sync_at(&self) -> Micros {
        self.last_in_sync_at
    }

    /// Removes all persistent items except the conductor's own estimates, if the replica was out of sync for
    /// longer than [`TOMBSTONE_RETENTION_US`]: it may hold items whose tombstones the others have removed
    /// already. Returns whether it did.
    pub fn discard_if_outdated(&mut self, now: Micros) -> bool {
        let is_outdated = self.last_in_sync_at.saturating_add(TOMBSTONE_RETENTION_US) < now;
        if is_outdated {
            let own_key = Key::Learnt(self.owner);
            let discarded_keys: Vec<_> =
                self.items.keys().filter(|key| key.is_persistent() && **key != own_key).cloned().collect();
            discarded_keys.iter().for_each(|key| self.remove(key));
        }
        is_outdated
    }

    /// Returns all persistent items, for the disk and for export, and when this replica was last in sync with
    /// another one.
    pub fn persistent_items(&self) -> (Micros, Vec<(Key, Value)>) {
        let persistent_items = self.items.iter().filter(|(key, _)| key.is_persistent());
        (
            self.last_in_sync_at,
            persistent_items.map(|(key, item)| (key.clone(), item.value.clone())).collect(),
        )
    }

    /// Merges the items of a store or a file. Returns the number of items that were rejected.
    pub fn load(&mut self, now: Micros, (last_in_sync_at, items): (Micros, Vec<(Key, Value)>)) -> usize {
        self.last_in_sync_at = last_in_sync_at.min(now);
        let owner = self.owner;
        let accepted = items
            .into_iter()
            .map(|(key, value)| key.is_persistent() && self.merge(now, owner, key, value).is_ok());
        accepted.filter(|accepted| !accepted).count()
    }
}

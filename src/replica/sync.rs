//! Anti-entropy between two replicas. Each change is sent to all peers at once, and in addition each replica
//! is compared with one peer at a time at intervals: first the digests, then only the items that differ. Any
//! message may be lost, because the next comparison starts from what differs then.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

use super::Owner;
use super::store::{DIGEST_BUCKETS, Key, MergeError, Replica, Value};
use crate::api::Micros;

/// The time between two comparisons with a peer, in microseconds.
pub const COMPARE_INTERVAL_US: Micros = 1_000_000;
/// The time between two comparisons of a replica that is not caught up yet, in microseconds.
pub const CATCH_UP_INTERVAL_US: Micros = 150_000;
/// How long a starting conductor waits to catch up before it serves with the state it has, in microseconds.
pub const CATCH_UP_TIMEOUT_US: Micros = 3_000_000;
/// The maximum number of restarted peers that catch up from one source at a time.
pub const MAX_CATCH_UPS_PER_SOURCE: usize = 2;
/// The rate at which a source sends chunks to all peers together, in bytes per second.
pub const SOURCE_BYTES_PER_SECOND: f64 = 2.0e6;
/// The size of the items in a chunk at which the chunk is sent, in bytes. The last item may exceed it.
pub const CHUNK_BYTES: usize = 16 * 1024;
/// The maximum number of items that wait to be sent to one peer.
const MAX_QUEUED_ITEMS: usize = 65_536;
/// How long an item that was sent to a peer is not sent to it again, in microseconds: both sides of a
/// comparison may find the same difference and request the item.
const RESEND_INTERVAL_US: Micros = 1_000_000;
/// The time without a message from a peer after which a transfer to it without pending chunks is removed, in
/// microseconds.
const TRANSFER_TIMEOUT_US: Micros = 2_000_000;

/// A replica's position in its changes: its run, and the number of a change in that run.
pub type SyncPosition = (u64, u64);

/// A message between two replicas.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum SyncMessage {
    /// Items that have changed at the sender.
    Items(Vec<(Key, Value)>),
    /// Starts a comparison: the sender's root digest (`None` if it has no items), whether the sender is still
    /// catching up, and the receiver's position up to which the sender has everything.
    Root(Option<u64>, bool, Option<SyncPosition>),
    /// Answers `Root` if the digests differ and the sender has no newer changes. It requests the changes
    /// after the given position of the receiver, or all items if the sender has none.
    #[serde(rename = "Back")]
    RequestChanges(Option<SyncPosition>),
    /// Answers `Root` if the digests are equal: the sender's root digest, whether the sender is caught up
    /// itself, and its position.
    #[serde(rename = "Equal")]
    InSync(u64, bool, SyncPosition),
    /// The sender's bucket digests, because the root digests differ.
    Buckets(Vec<u64>),
    /// The differing buckets, and the key hash and item hash of each item that the sender has in them.
    #[serde(rename = "Leaves")]
    BucketItems(Vec<u8>, Vec<(u64, u64)>),
    /// Requests the items with these key hashes, which the sender does not have or has in another version.
    #[serde(rename = "Want")]
    RequestItems(Vec<u64>),
    /// Encoded items of a comparison, their checksum, the sender's position that they reach if it is known,
    /// and whether this is the last chunk.
    Chunk(Vec<u8>, u64, Option<SyncPosition>, bool),
    /// The sender serves the maximum number of peers that catch up, so the receiver should ask another peer.
    Busy,
    /// The sender's copies of items that are set aside because of conflicts.
    #[serde(rename = "Apart")]
    Conflicts(Vec<(Key, Value)>),
    /// The revision of the policy in force at the sender, and the digest of its document.
    Policy(u64, u64),
}

/// Counters of the synchronization, which operators read.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct SyncCounters {
    /// Comparisons that found equal replicas.
    pub equal_comparisons: u64,
    /// Comparisons that found a difference.
    pub different_comparisons: u64,
    /// Items merged, from change messages or from comparisons.
    pub merged_items: u64,
    /// Items rejected.
    pub rejected_items: u64,
    /// Chunks whose checksum did not match.
    pub damaged_chunks: u64,
    /// Bytes of chunks sent.
    pub sent_chunk_bytes: u64,
    /// Conflicts resolved by a majority.
    pub resolved_conflicts: u64,
}

/// The items that are being sent to one peer after a comparison.
#[derive(Default)]
struct Transfer {
    /// Change numbers and key hashes of the items to send. If `is_in_order` is set, they are in the order of
    /// the changes.
    queue: VecDeque<(u64, u64)>,
    /// The key hashes in the queue.
    queued_keys: BTreeSet<u64>,
    /// Whether the queue contains all changes since some position, in their order, so that each chunk reaches
    /// a position.
    is_in_order: bool,
    /// When each item was sent, by key hash, because both sides may find the same difference.
    sent_at: BTreeMap<u64, Micros>,
    /// Whether the peer has restarted and is catching up.
    is_catch_up: bool,
    last_heard_at: Micros,
    /// Whether the last chunk has not been sent yet.
    is_pending: bool,
    /// The position that the peer reaches with the last chunk.
    end_position: SyncPosition,
}

/// Messages to send, each with the name of the receiver.
pub type SyncOutbox = Vec<(String, SyncMessage)>;

/// One conductor's side of the comparisons with its peers.
pub struct Synchronizer {
    /// The hash of the conductor's own name.
    owner_hash: u64,
    started_at: Micros,
    /// Whether the replica has caught up: `true` once it was equal to a caught-up peer's or there is no such
    /// peer, `false` after the time limit, and `None` before that.
    caught_up: Option<bool>,
    /// Selects the next peer to compare with.
    peer_counter: u64,
    last_compared_at: Micros,
    /// When the send budget was last refilled.
    refilled_at: Micros,
    send_budget_bytes: f64,
    transfers: BTreeMap<String, Transfer>,
    /// The position of each peer up to which this replica has everything.
    received_positions: BTreeMap<String, SyncPosition>,
    /// Peers that are starting as well and hold the same items.
    equal_starting_peers: BTreeSet<String>,
    /// The counters of this synchronizer.
    pub counters: SyncCounters,
}

impl Synchronizer {
    /// Returns the synchronizer of a process that started at this time.
    pub fn new(name: &str, started_at: Micros) -> Self {
        Synchronizer {
            owner_hash: Owner::from_name(name).0,
            started_at,
            caught_up: None,
            peer_counter: 0,
            last_compared_at: Micros::MIN / 2,
            refilled_at: started_at,
            send_budget_bytes: 0.0,
            transfers: BTreeMap::new(),
            received_positions: BTreeMap::new(),
            equal_starting_peers: BTreeSet::new(),
            counters: SyncCounters::default(),
        }
    }

    /// Returns whether the replica has caught up: `Some(true)` if it has, `Some(false)` if the wait was given
    /// up, and `None` while the conductor waits.
    pub fn caught_up(&self) -> Option<bool> {
        self.caught_up
    }

    /// Returns the position of each peer up to which this replica has everything. It is saved for the next
    /// start.
    pub fn received_positions(&self) -> &BTreeMap<String, SyncPosition> {
        &self.received_positions
    }

    /// Restores the positions that [`Self::received_positions`] returned in an earlier run.
    pub fn restore_positions(&mut self, received_positions: BTreeMap<String, SyncPosition>) {
        self.received_positions = received_positions;
    }

    /// Discards the received positions, because the replica has discarded its items.
    pub fn forget_positions(&mut self) {
        self.received_positions.clear();
    }

    /// Returns the number of restarted peers that are catching up from this replica.
    pub fn catch_up_count(&self) -> usize {
        self.transfers.values().filter(|transfer| transfer.is_catch_up).count()
    }

    /// Advances to `now` and returns the messages to send. `peers` are the other conductors that are
    /// registered and alive.
    pub fn tick(&mut self, now: Micros, replica: &mut Replica, peers: &[&str]) -> SyncOutbox {
        let mut outbox = SyncOutbox::new();
        if self.caught_up.is_none()
            && peers.is_empty()
            && now >= self.started_at.saturating_add(CATCH_UP_TIMEOUT_US / 3)
        {
            // There is no peer to catch up from.
            self.caught_up = Some(true);
        }
        let all_peers_equal =
            !peers.is_empty() && peers.iter().all(|peer| self.equal_starting_peers.contains(*peer));
        if self.caught_up.is_none() && all_peers_equal {
            // All conductors are starting, and all hold the same items.
            self.caught_up = Some(true);
        }
        if self.caught_up.is_none() && now >= self.started_at.saturating_add(CATCH_UP_TIMEOUT_US) {
            self.caught_up = Some(false);
        }
        let interval = if self.caught_up.is_none() { CATCH_UP_INTERVAL_US } else { COMPARE_INTERVAL_US };
        if now >= self.last_compared_at.saturating_add(interval) {
            self.start_comparison(now, replica, peers, &mut outbox);
        }
        self.send_chunks(now, replica, &mut outbox);
        outbox
    }

    /// Returns the message that starts a comparison with this peer.
    pub fn root_message(&self, replica: &Replica, peer: &str) -> SyncMessage {
        SyncMessage::Root(
            root_digest_of(replica),
            self.caught_up.is_none(),
            self.received_positions.get(peer).copied(),
        )
    }

    fn start_comparison(
        &mut self, now: Micros, replica: &mut Replica, peers: &[&str], outbox: &mut SyncOutbox,
    ) {
        // Each conductor has its own order of peers, so that many that restart together do not all ask the
        // same one.
        let mut order: Vec<_> =
            peers.iter().map(|peer| (xxh3_64_with_seed(peer.as_bytes(), self.owner_hash), *peer)).collect();
        order.sort_unstable();
        if let Some((_, peer)) = order.get((self.peer_counter % order.len().max(1) as u64) as usize) {
            self.last_compared_at = now;
            if self.transfers.get(*peer).is_some_and(|transfer| transfer.is_pending) {
                // The items that the peer lacks are still being sent.
                return;
            }
            if self.caught_up.is_some() {
                self.peer_counter += 1;
            }
            outbox.push(((*peer).to_owned(), self.root_message(replica, peer)));
            let conflicts = replica.own_conflicting_items();
            if !conflicts.is_empty() {
                outbox.extend(
                    peers.iter().map(|peer| ((*peer).to_owned(), SyncMessage::Conflicts(conflicts.clone()))),
                );
            }
        }
    }

    /// Sends the queued items, within the limit on bytes per second.
    fn send_chunks(&mut self, now: Micros, replica: &Replica, outbox: &mut SyncOutbox) {
        let elapsed_s = (now - self.refilled_at).clamp(0, 200_000) as f64 / 1e6;
        (self.send_budget_bytes, self.refilled_at) = (
            (self.send_budget_bytes + elapsed_s * SOURCE_BYTES_PER_SECOND).min(SOURCE_BYTES_PER_SECOND / 5.0),
            now,
        );
        self.transfers.retain(|_, transfer| {
            transfer.is_pending || now <= transfer.last_heard_at.saturating_add(TRANSFER_TIMEOUT_US)
        });
        let peer_names: Vec<_> = self.transfers.keys().cloned().collect();
        for peer_name in peer_names {
            let Some(transfer) = self.transfers.get_mut(&peer_name).filter(|transfer| transfer.is_pending)
            else {
                continue;
            };
            transfer.sent_at.retain(|_, sent_at| now <= sent_at.saturating_add(RESEND_INTERVAL_US));
            while self.send_budget_bytes > 0.0 {
                let (mut items, mut item_bytes, mut last_sequence) = (Vec::new(), 0, 0);
                while item_bytes < CHUNK_BYTES
                    && let Some((sequence, key_hash)) = transfer.queue.pop_front()
                {
                    transfer.queued_keys.remove(&key_hash);
                    transfer.sent_at.insert(key_hash, now);
                    last_sequence = sequence;
                    if let Some(item) = replica.item_by_key_hash(key_hash) {
                        item_bytes += encode(&item).len();
                        items.push(item);
                    }
                }
                let body = encode(&items);
                self.send_budget_bytes -= body.len() as f64;
                self.counters.sent_chunk_bytes += body.len() as u64;
                let is_last = transfer.queue.is_empty();
                let position = if is_last {
                    Some(transfer.end_position)
                } else {
                    transfer.is_in_order.then_some((transfer.end_position.0, last_sequence))
                };
                let checksum = xxh3_64(&body);
                outbox.push((peer_name.clone(), SyncMessage::Chunk(body, checksum, position, is_last)));
                if is_last {
                    transfer.is_pending = false;
                    break;
                }
            }
        }
    }

    /// Handles a message from a peer. Returns the messages to send, and the keys of the items that changed
    /// here.
    pub fn handle_message(
        &mut self, now: Micros, replica: &mut Replica, from: &str, member_count: usize, message: SyncMessage,
    ) -> (SyncOutbox, Vec<Key>) {
        let (mut outbox, mut changed_keys) = (SyncOutbox::new(), Vec::new());
        let mut reply = |message| outbox.push((from.to_owned(), message));
        match message {
            SyncMessage::Items(items) => self.merge_items(now, replica, from, items, &mut changed_keys),
            SyncMessage::Root(root, is_catch_up, position) => {
                let other_catch_ups = self
                    .transfers
                    .iter()
                    .filter(|(name, transfer)| transfer.is_catch_up && *name != from)
                    .count();
                if root.unwrap_or(replica.root_digest()) == replica.root_digest()
                    && root.is_some() != replica.is_empty()
                {
                    self.transfers.remove(from);
                    reply(SyncMessage::InSync(
                        replica.root_digest(),
                        self.caught_up.is_some(),
                        replica.position(),
                    ));
                } else if is_catch_up && other_catch_ups >= MAX_CATCH_UPS_PER_SOURCE {
                    reply(SyncMessage::Busy);
                } else {
                    let transfer = self.transfers.entry(from.into()).or_default();
                    (transfer.is_catch_up, transfer.last_heard_at) = (is_catch_up, now);
                    let (run, _) = replica.position();
                    let position =
                        position.filter(|position| position.0 == run).or(root.is_none().then_some((run, 0)));
                    let changes = position.map(|position| replica.changes_since(position.1));
                    // No second transfer starts while one is pending.
                    match changes.filter(|changes| !changes.is_empty()) {
                        _ if transfer.is_pending => {}
                        Some(changes) => self.queue_items(now, from, replica, changes, true),
                        None if self.received_positions.contains_key(from) || replica.is_empty() => {
                            reply(SyncMessage::RequestChanges(
                                self.received_positions.get(from).copied().filter(|_| !replica.is_empty()),
                            ));
                        }
                        None => reply(SyncMessage::Buckets(replica.bucket_digests().to_vec())),
                    }
                }
            }
            SyncMessage::RequestChanges(position) => {
                let own_run = replica.position().0;
                let (run, sequence) = position.unwrap_or((own_run, 0));
                let changes = replica.changes_since(sequence);
                if run == own_run && !changes.is_empty() {
                    self.queue_items(now, from, replica, changes, true);
                } else {
                    reply(SyncMessage::Buckets(replica.bucket_digests().to_vec()));
                }
            }
            SyncMessage::InSync(root, peer_caught_up, position) if root == replica.root_digest() => {
                self.counters.equal_comparisons += 1;
                replica.mark_in_sync(now);
                self.received_positions.insert(from.into(), position);
                if peer_caught_up {
                    self.caught_up = Some(true);
                } else if self.caught_up.is_none() {
                    self.equal_starting_peers.insert(from.into());
                    self.peer_counter += 1;
                }
            }
            SyncMessage::InSync(..) => {}
            SyncMessage::Buckets(theirs) if theirs.len() == DIGEST_BUCKETS => {
                let digests = replica.bucket_digests().iter().zip(&theirs).enumerate();
                let differing_buckets: BTreeSet<u8> = digests
                    .filter(|(_, (mine, theirs))| mine != theirs)
                    .map(|(bucket, _)| bucket as u8)
                    .collect();
                if !differing_buckets.is_empty() {
                    self.counters.different_comparisons += 1;
                    let item_hashes = replica.item_hashes(&differing_buckets);
                    reply(SyncMessage::BucketItems(differing_buckets.into_iter().collect(), item_hashes));
                }
            }
            SyncMessage::Buckets(_) => {}
            SyncMessage::BucketItems(buckets, theirs) => {
                let theirs: BTreeMap<u64, u64> = theirs.into_iter().collect();
                let mine: BTreeMap<u64, u64> =
                    replica.item_hashes(&buckets.into_iter().collect()).into_iter().collect();
                let offered =
                    mine.iter().filter(|(key, hash)| theirs.get(key) != Some(hash)).map(|(key, _)| *key);
                let requested: Vec<_> = theirs
                    .iter()
                    .filter(|(key, hash)| mine.get(key) != Some(hash))
                    .map(|(key, _)| *key)
                    .collect();
                let offered = offered.map(|key| (0, key)).collect();
                self.queue_items(now, from, replica, offered, false);
                if !requested.is_empty() {
                    reply(SyncMessage::RequestItems(requested));
                }
            }
            SyncMessage::RequestItems(keys) => {
                self.queue_items(now, from, replica, keys.into_iter().map(|key| (0, key)).collect(), false);
            }
            SyncMessage::Chunk(body, checksum, position, is_last) => {
                if xxh3_64(&body) == checksum {
                    match postcard::from_bytes(&body) {
                        Ok(items) => self.merge_items(now, replica, from, items, &mut changed_keys),
                        Err(_) => self.counters.rejected_items += 1,
                    }
                    // If an earlier chunk was lost or damaged, the root digests differ, and the bucket
                    // digests show where.
                    self.received_positions.extend(position.map(|position| (from.to_owned(), position)));
                } else {
                    self.counters.damaged_chunks += 1;
                    tracing::warn!(
                        "state: a chunk from {from} fails its checksum; its items are requested again"
                    );
                }
                if is_last && self.caught_up.is_none() {
                    // Only another comparison shows whether this replica has everything.
                    reply(SyncMessage::Root(root_digest_of(replica), true, position));
                }
            }
            SyncMessage::Busy => {
                self.peer_counter += 1;
                self.last_compared_at = Micros::MIN / 2;
            }
            // This message contains no items. The owner of the policy handles it.
            SyncMessage::Policy(..) => {}
            SyncMessage::Conflicts(items) => self.merge_items(now, replica, from, items, &mut changed_keys),
        }
        let resolved_keys = replica.resolve_conflicts(now, member_count);
        self.counters.resolved_conflicts += resolved_keys.len() as u64;
        resolved_keys
            .iter()
            .for_each(|key| tracing::warn!("state: {key:?} conflicted; the majority's copy is used"));
        changed_keys.extend(resolved_keys);
        (outbox, changed_keys)
    }

    fn queue_items(
        &mut self, now: Micros, to: &str, replica: &Replica, keys: Vec<(u64, u64)>, is_in_order: bool,
    ) {
        let transfer = self.transfers.entry(to.into()).or_default();
        (transfer.last_heard_at, transfer.end_position) = (now, replica.position());
        transfer.is_in_order = is_in_order && (transfer.is_in_order || transfer.queue.is_empty());
        for (sequence, key_hash) in keys {
            let was_just_sent = transfer
                .sent_at
                .get(&key_hash)
                .is_some_and(|sent_at| now <= sent_at.saturating_add(RESEND_INTERVAL_US));
            if transfer.queue.len() < MAX_QUEUED_ITEMS
                && !was_just_sent
                && transfer.queued_keys.insert(key_hash)
            {
                transfer.is_in_order &= transfer.queue.back().is_none_or(|(last, _)| *last < sequence);
                transfer.queue.push_back((sequence, key_hash));
            }
        }
        transfer.is_pending |= transfer.is_catch_up || !transfer.queue.is_empty();
    }

    fn merge_items(
        &mut self, now: Micros, replica: &mut Replica, from: &str, items: Vec<(Key, Value)>,
        changed_keys: &mut Vec<Key>,
    ) {
        let sender = Owner::from_name(from);
        for (key, value) in items {
            match replica.merge(now, sender, key.clone(), value) {
                Ok(true) => {
                    self.counters.merged_items += 1;
                    changed_keys.push(key);
                }
                Ok(false) => {}
                Err(MergeError::Conflict) => {
                    self.counters.rejected_items += 1;
                    tracing::error!(
                        "state: {key:?} from {from} has the same version but other content; neither is used"
                    );
                }
                Err(error) => {
                    self.counters.rejected_items += 1;
                    tracing::debug!("state: {key:?} from {from} is rejected: {error}");
                }
            }
        }
    }
}

/// Returns the replica's root digest, or `None` if it has no persistent items.
fn root_digest_of(replica: &Replica) -> Option<u64> {
    (!replica.is_empty()).then(|| replica.root_digest())
}

fn encode(value: &impl Serialize) -> Vec<u8> {
    postcard::to_allocvec(value).unwrap_or_default()
}

//! One conductor's shared state as a single state machine: replicated items, operators' marks, claims of named requests and the
//! duty lease.
//!
//! Messages and time go in; messages to other conductors and events for the serving side come out. A caller stores what
//! [`SharedState::take_unsaved`] returns before it sends what [`SharedState::take_outgoing`] returns.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use serde_json::{Value as Json, json};

use super::Owner;
use super::duty::{DutyLease, LEASE_REQUEST_INTERVAL, LeaseHolder, LeaseIssuer, LeaseRequest};
use super::idempotency::{
    ClaimAnswer, ClaimDecision, ClaimId, ClaimRecord, ClaimTable, ClaimVote, RequestName,
};
use super::marks::{Marks, Subject};
use super::store::{EstimatesSnapshot, InstanceReport, Key, Replica, SpendingSnapshot, Value};
use super::sync::{SyncMessage, SyncPosition, Synchronizer};
use crate::api::Micros;
use crate::control::state::{Agreed, Session};
use crate::estimate::{FleetEstimates, Spending};
use crate::peers::PeerMessage;

/// Interval at which changed items are sent to the other conductors. It bounds the traffic, because spending changes constantly.
pub const BROADCAST_INTERVAL: Micros = 200_000;
/// Interval at which this conductor's learnt estimates are written to the replica.
const ESTIMATES_INTERVAL: Micros = 5_000_000;
/// Interval at which changed items are saved, where losing the latest changes does no harm.
const SAVE_INTERVAL: Micros = 1_000_000;
/// Interval at which stale items are removed; each pass visits all items.
const CLEANUP_INTERVAL: Micros = 1_000_000;
/// Most claims of this conductor that may be undecided at the same time.
const MAX_PENDING_CLAIMS: usize = 1_024;
/// Estimated size of a message of changed items, in bytes, from which on it is sent.
const MAX_ITEMS_MESSAGE_BYTES: usize = 64 * 1024;
/// Size assumed for each item in such a message, in bytes.
const ESTIMATED_ITEM_BYTES: usize = 64;

/// An event for the serving side.
#[derive(Clone, Debug)]
pub enum SharedStateEvent {
    /// The combined spending of all other conductors.
    OthersSpending(Spending),
    /// The latest reports of other conductors on instances, by instance name.
    Reports(Vec<(String, InstanceReport)>),
    /// All of the operators' marks, and when instances returned from maintenance, in Unix milliseconds.
    Marks(Marks, BTreeMap<String, i64>),
    /// The estimates of the conductor that has learnt most. Sent once, when this replica has caught up or stops waiting for it.
    Learnt(EstimatesSnapshot),
    /// Whether this replica has caught up with another one (true), or the wait for that has timed out (false).
    CaughtUp(bool),
}

/// Changes that have to be written to the store.
#[derive(Clone, Debug, Default)]
pub struct UnsavedChanges {
    /// Changed items; none as the value of a removed one.
    pub items: Vec<(Key, Option<Value>)>,
    /// Changed claims by request name; none for a removed one.
    pub claims: BTreeMap<RequestName, Option<ClaimRecord>>,
    /// When this replica last equalled another one, and how much of each other conductor's replica it has received.
    pub sync_progress: Option<(Micros, BTreeMap<String, SyncPosition>)>,
}

impl UnsavedChanges {
    /// Whether there is nothing to write.
    pub fn is_empty(&self) -> bool {
        self.items.is_empty() && self.claims.is_empty() && self.sync_progress.is_none()
    }
}

/// The shared state that was read from a store.
#[derive(Clone, Debug, Default)]
pub struct StoredState {
    /// Items.
    pub items: Vec<(Key, Value)>,
    /// Claims by request name.
    pub claims: Vec<(RequestName, ClaimRecord)>,
    /// When the stored replica last equalled another one, and how much of each other conductor's replica it had received.
    pub sync_progress: Option<(Micros, BTreeMap<String, SyncPosition>)>,
}

/// This conductor's duty lease, shared between the serving thread and the controller's thread.
#[derive(Clone)]
pub struct Duties(Arc<Mutex<LeaseHolder>>);

impl Duties {
    fn lock(&self) -> MutexGuard<'_, LeaseHolder> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Whether `duty` is assigned to this conductor. `now` is called under the lock, so that the time is not older than the lease.
    pub fn is_assigned(&self, now: impl FnOnce() -> Micros, duty: u64) -> bool {
        let holder = self.lock();
        holder.is_assigned(now(), duty)
    }
}

struct PendingClaim {
    name: RequestName,
    vote: ClaimVote,
}

/// One conductor's shared state.
pub struct SharedState {
    local_name: String,
    session: Session,
    replica: Replica,
    sync: Synchronizer,
    duties: Duties,
    /// While this conductor leads: its term, and the issuer of duty leases.
    lease_issuer: Option<(u64, LeaseIssuer)>,
    /// The latest known term that another conductor led, and that conductor's name.
    last_leader: (u64, String),
    lease_requested_at: Micros,
    broadcast_at: Micros,
    estimates_recorded_at: Micros,
    saved_at: Micros,
    cleaned_up_at: Micros,
    marks: Marks,
    claim_table: ClaimTable,
    pending_claims: BTreeMap<ClaimId, PendingClaim>,
    decided_claims: Vec<(ClaimId, RequestName, ClaimDecision)>,
    /// Number of claims started by this process.
    claim_count: u64,
    /// Whether a write to the store has failed. From then on no claim is granted.
    has_store_failed: bool,
    /// Lasting items that have changed since they were last saved.
    unsaved_keys: BTreeSet<Key>,
    /// Whether the next call of [`Self::take_unsaved`] returns changed items without waiting for [`SAVE_INTERVAL`].
    saves_immediately: bool,
    outgoing: Vec<(String, PeerMessage)>,
    events: Vec<SharedStateEvent>,
    is_caught_up_reported: bool,
    /// The revision of the policy in force, and its document's digest.
    policy_version: (u64, u64),
    /// Conductors that hold a different document for the same policy revision.
    policy_conflicts: BTreeSet<String>,
}

impl SharedState {
    /// Creates the shared state of a process that starts at `now`, from what its store held. Also returns the number of stored
    /// items that were rejected.
    pub fn new(name: &str, session: Session, now: Micros, stored: StoredState) -> (Self, usize) {
        let mut replica = Replica::new(name, now);
        let mut sync = Synchronizer::new(name, now);
        let (equal_at, received) = stored.sync_progress.unwrap_or((now, BTreeMap::new()));
        let rejected = replica.load(now, (equal_at, stored.items));
        sync.restore_positions(received);
        let marks = replica.marks();
        let shared_state = SharedState {
            local_name: name.into(),
            session,
            replica,
            sync,
            duties: Duties(Arc::new(Mutex::new(LeaseHolder::new(session)))),
            lease_issuer: None,
            last_leader: (0, String::new()),
            lease_requested_at: Micros::MIN / 2,
            broadcast_at: Micros::MIN / 2,
            estimates_recorded_at: Micros::MIN / 2,
            saved_at: now,
            cleaned_up_at: Micros::MIN / 2,
            marks,
            claim_table: ClaimTable::load(now, stored.claims),
            pending_claims: BTreeMap::new(),
            decided_claims: Vec::new(),
            claim_count: 0,
            has_store_failed: false,
            unsaved_keys: BTreeSet::new(),
            saves_immediately: false,
            outgoing: Vec::new(),
            events: Vec::new(),
            is_caught_up_reported: false,
            policy_version: (0, 0),
            policy_conflicts: BTreeSet::new(),
        };
        (shared_state, rejected)
    }

    /// Returns a handle to the duty lease, for the serving side.
    pub fn duties(&self) -> Duties {
        self.duties.clone()
    }

    // ---- Input from the serving side ----

    /// Records what this conductor's decision module has spent, and from time to time what it has learnt.
    pub fn record_estimates(&mut self, now: Micros, estimates: &FleetEstimates) {
        self.replica.record_spending(now, SpendingSnapshot::new(now, &estimates.spending()));
        if now >= self.estimates_recorded_at.saturating_add(ESTIMATES_INTERVAL) {
            self.estimates_recorded_at = now;
            self.replica.record_estimates(now, EstimatesSnapshot::new(estimates));
        }
    }

    /// Records this conductor's latest report on an instance.
    pub fn record_report(&mut self, now: Micros, instance: &str, report: InstanceReport) {
        self.replica.record_report(now, instance, report);
    }

    /// Adds an operator's mark. Returns false if there is no room for it.
    pub fn add_mark(&mut self, now: Micros, subject: Subject) -> bool {
        // Set anew even if the subject is marked already: a concurrent lift elsewhere has not seen this mark and leaves it.
        let is_added = self.marks.add(self.session, subject, now).is_some();
        if is_added {
            self.publish_marks(now);
        }
        is_added
    }

    /// Lifts the operators' marks on a subject. `now_ms` is the Unix time in milliseconds at which an instance returns.
    pub fn lift_mark(&mut self, now: Micros, now_ms: i64, subject: &Subject) {
        if self.marks.remove(subject).is_some() {
            if let Subject::Instance(name) = subject {
                self.replica.record_return(now, name, Some(now_ms));
            }
            self.publish_marks(now);
        }
    }

    fn publish_marks(&mut self, now: Micros) {
        self.replica.record_marks(now, self.marks.clone());
        self.saves_immediately = true;
        // Operators' changes are sent with the next tick instead of after the broadcast interval.
        self.broadcast_at = now.saturating_sub(BROADCAST_INTERVAL);
        self.emit_marks();
    }

    /// Whether the ledger has all marks and lifts that this conductor has.
    pub fn are_marks_agreed(&self, agreed: &Agreed) -> bool {
        self.marks.is_included_in(&agreed.marks)
    }

    /// Returns all marks, to be proposed to the ledger.
    pub fn marks(&self) -> &Marks {
        &self.marks
    }

    /// Starts a claim of a request's name at `members`. Returns none if too many claims are pending.
    pub fn start_claim(
        &mut self, now: Micros, name: RequestName, members: BTreeSet<String>,
    ) -> Option<ClaimId> {
        if self.pending_claims.len() >= MAX_PENDING_CLAIMS {
            return None;
        }
        self.claim_count += 1;
        let claim_id = ClaimId { session: self.session, number: self.claim_count };
        let mut vote = ClaimVote::new(now, members.clone());
        let own_answer = if self.has_store_failed {
            ClaimAnswer::Full
        } else {
            self.claim_table.claim(now, name, claim_id)
        };
        vote.record_answer(&self.local_name, own_answer);
        for member in members.into_iter().filter(|member| *member != self.local_name) {
            self.outgoing.push((member, PeerMessage::Claim(name, claim_id)));
        }
        self.pending_claims.insert(claim_id, PendingClaim { name, vote });
        Some(claim_id)
    }

    /// Withdraws a granted claim under which no request was sent.
    pub fn withdraw_claim(&mut self, name: RequestName, claim_id: ClaimId, members: &BTreeSet<String>) {
        self.claim_table.withdraw(name, claim_id);
        let others = members.iter().filter(|member| **member != self.local_name);
        self.outgoing.extend(others.map(|member| (member.clone(), PeerMessage::Withdraw(name, claim_id))));
    }

    /// Records that the request sent under a claim ran to completion.
    pub fn complete_claim(
        &mut self, now: Micros, name: RequestName, claim_id: ClaimId, members: &BTreeSet<String>,
    ) {
        self.claim_table.complete(now, name, claim_id);
        let others = members.iter().filter(|member| **member != self.local_name);
        self.outgoing.extend(others.map(|member| (member.clone(), PeerMessage::Completed(name, claim_id))));
    }

    /// Takes the claims that have been decided since the last call.
    pub fn take_decided_claims(&mut self) -> Vec<(ClaimId, RequestName, ClaimDecision)> {
        std::mem::take(&mut self.decided_claims)
    }

    // ---- Input from other conductors ----

    /// Handles a message from another conductor. `has_authority` says whether this conductor leads and a majority has recently
    /// acknowledged it as leader.
    pub fn handle_message(
        &mut self, now: Micros, from: &str, message: PeerMessage, agreed: &Agreed, has_authority: bool,
    ) {
        match message {
            PeerMessage::State(SyncMessage::Policy(revision, digest)) => {
                if (revision, digest) == self.policy_version {
                    self.policy_conflicts.remove(from);
                } else if revision == self.policy_version.0 && self.policy_conflicts.insert(from.to_owned()) {
                    // Neither document is preferred here. The majority of the ledger holds the right one, and an operator
                    // decides which conductor's store is wrong.
                    tracing::error!(
                        "state: {from} has a different document for revision {revision} of the policy"
                    );
                }
            }
            PeerMessage::State(sync_message) => {
                let (replies, news) = self.sync.handle_message(
                    now,
                    &mut self.replica,
                    from,
                    agreed.members.len(),
                    sync_message,
                );
                self.outgoing.extend(
                    replies.into_iter().map(|(to, sync_message)| (to, PeerMessage::State(sync_message))),
                );
                self.handle_merged_items(now, news);
            }
            PeerMessage::DutyAsk(request) => {
                let lease = self.handle_lease_request(now, request, agreed, has_authority);
                self.outgoing.extend(lease.map(|lease| (from.to_owned(), PeerMessage::DutyLease(lease))));
            }
            PeerMessage::DutyLease(lease) => self.duties.lock().accept(&lease),
            PeerMessage::Claim(name, claim_id) => {
                // A claim that cannot be stored must not be granted.
                let answer = if self.has_store_failed {
                    ClaimAnswer::Full
                } else {
                    self.claim_table.claim(now, name, claim_id)
                };
                self.outgoing.push((from.to_owned(), PeerMessage::Claimed(claim_id, answer)));
            }
            PeerMessage::Claimed(claim_id, answer) => {
                if let Some(pending) = self.pending_claims.get_mut(&claim_id) {
                    pending.vote.record_answer(from, answer);
                }
            }
            PeerMessage::Withdraw(name, claim_id) => self.claim_table.withdraw(name, claim_id),
            PeerMessage::Completed(name, claim_id) => self.claim_table.complete(now, name, claim_id),
            _ => {}
        }
    }

    /// Compares replicas with a conductor whose link has just been established, without waiting for its turn.
    pub fn compare_with(&mut self, peer: &str) {
        let sync_message = self.sync.root_message(&self.replica, peer);
        self.outgoing.push((peer.to_owned(), PeerMessage::State(sync_message)));
    }

    fn handle_lease_request(
        &mut self, now: Micros, request: LeaseRequest, agreed: &Agreed, has_authority: bool,
    ) -> Option<DutyLease> {
        let registered = agreed.sessions.values().copied().collect();
        let (_, issuer) = self.lease_issuer.as_mut()?;
        issuer.handle_request(now, request, &registered, has_authority)
    }

    fn handle_merged_items(&mut self, now: Micros, changed_keys: Vec<Key>) {
        if changed_keys.is_empty() {
            return;
        }
        let mut reports = Vec::new();
        let mut have_marks_changed = false;
        for key in changed_keys {
            match (&key, self.replica.get(&key)) {
                (Key::Report(instance), Some(Value::Report(register))) => {
                    reports.extend(register.value.map(|report| (instance.clone(), report)));
                }
                (Key::Marks | Key::Return(_), _) => have_marks_changed = true,
                _ => {}
            }
            if key.is_persistent() {
                self.unsaved_keys.insert(key);
            }
        }
        if have_marks_changed {
            self.merge_replica_marks(now);
        }
        if !reports.is_empty() {
            self.events.push(SharedStateEvent::Reports(reports));
        }
    }

    /// Merges the replica's marks into this conductor's, and writes the result back to the replica if it differs.
    fn merge_replica_marks(&mut self, now: Micros) {
        self.marks.merge(&self.replica.marks());
        if self.replica.marks() != self.marks {
            self.replica.record_marks(now, self.marks.clone());
        }
        self.unsaved_keys.insert(Key::Marks);
        self.saves_immediately = true;
        self.emit_marks();
    }

    fn emit_marks(&mut self) {
        let returns = self.replica.items().filter_map(|(key, value)| match (key, value) {
            (Key::Return(name), Value::Return(register)) => Some((name.clone(), register.value?)),
            _ => None,
        });
        self.events.push(SharedStateEvent::Marks(self.marks.clone(), returns.collect()));
    }

    // ---- Ledger and time ----

    /// Takes in a change of the state agreed on in the ledger: the policy in force and the operators' marks.
    pub fn update_agreed(&mut self, now: Micros, agreed: &Agreed) {
        if agreed.revision != self.policy_version.0 {
            let digest = agreed
                .documents
                .get(&agreed.revision)
                .map_or(0, |document| crate::estimate::name_hash(document));
            self.policy_version = (agreed.revision, digest);
            self.policy_conflicts.clear();
        }
        if !agreed.marks.is_included_in(&self.marks) {
            self.marks.merge(&agreed.marks);
            self.merge_replica_marks(now);
        }
    }

    /// Updates the lease issuer. `term` is the term in which this conductor leads, or none if it does not lead.
    pub fn update_leadership(&mut self, now: Micros, term: Option<u64>, agreed: &Agreed) {
        match (term, &self.lease_issuer) {
            (Some(term), Some((issuer_term, _))) if *issuer_term == term => {}
            (Some(term), _) => self.lease_issuer = Some((term, LeaseIssuer::new(term, now))),
            (None, _) => self.lease_issuer = None,
        }
        if let Some((term, issuer)) = &mut self.lease_issuer {
            // The leader of the preceding term has ended, because the ledger no longer lists its session, and no other
            // conductor led in between.
            if self.last_leader.0 + 1 == *term
                && !agreed.sessions.contains_key(&self.last_leader.1)
                && self.last_leader.1 != self.local_name
            {
                issuer.predecessor_ended(now);
                self.last_leader.1.clone_from(&self.local_name);
            }
            issuer.advance(now, &agreed.sessions.values().copied().collect());
        }
    }

    /// Records which conductor leads in `term`, as far as known.
    pub fn record_leader(&mut self, term: u64, leader: Option<&str>) {
        if let Some(leader) = leader.filter(|leader| *leader != self.local_name && term > self.last_leader.0)
        {
            self.last_leader = (term, leader.into());
        }
    }

    /// Does what is due at `now`. `reachable_peers` are the other conductors that are registered and heard from.
    pub fn tick(&mut self, now: Micros, agreed: &Agreed, leader: Option<&str>, reachable_peers: &[&str]) {
        if now >= self.cleaned_up_at.saturating_add(CLEANUP_INTERVAL) {
            self.cleaned_up_at = now;
            self.replica.remove_expired(now);
        }
        if agreed.sessions.get(&self.local_name) == Some(&self.session)
            && now >= self.lease_requested_at.saturating_add(LEASE_REQUEST_INTERVAL)
        {
            self.lease_requested_at = now;
            let request = self.duties.lock().lease_request(now);
            match leader {
                Some(leader) if leader == self.local_name => {
                    // The leader's own request is handled like any other: it is granted only with a majority's support.
                    self.outgoing.push((self.local_name.clone(), PeerMessage::DutyAsk(request)));
                }
                Some(leader) => self.outgoing.push((leader.to_owned(), PeerMessage::DutyAsk(request))),
                None => {}
            }
        }
        let last_equal_at = self.replica.last_in_sync_at();
        if !reachable_peers.is_empty() && self.replica.discard_if_outdated(now) {
            tracing::warn!(
                "state: this replica was out of contact for longer than tombstones are retained; replacing it"
            );
            self.sync.forget_positions();
            self.marks = self.marks.reapplied_to(&agreed.marks, self.session, last_equal_at, now);
            self.replica.record_marks(now, self.marks.clone());
            self.replica.mark_in_sync(now);
            self.saves_immediately = true;
        }
        let sync_messages = self.sync.tick(now, &mut self.replica, reachable_peers);
        for (to, sync_message) in sync_messages {
            if matches!(sync_message, SyncMessage::Root(..)) && self.policy_version.0 > 0 {
                self.outgoing.push((
                    to.clone(),
                    PeerMessage::State(SyncMessage::Policy(self.policy_version.0, self.policy_version.1)),
                ));
            }
            self.outgoing.push((to, PeerMessage::State(sync_message)));
        }
        if let Some(is_caught_up) = self.sync.caught_up().filter(|_| !self.is_caught_up_reported) {
            self.is_caught_up_reported = true;
            self.emit_marks();
            self.events.extend(self.replica.best_estimates().map(SharedStateEvent::Learnt));
            self.events.push(SharedStateEvent::CaughtUp(is_caught_up));
        }
        if now >= self.broadcast_at.saturating_add(BROADCAST_INTERVAL) {
            self.events.push(SharedStateEvent::OthersSpending(self.replica.spending_of_others(now)));
            let receivers: Vec<_> = reachable_peers.iter().map(|name| (*name).to_owned()).collect();
            self.broadcast_changes(now, &receivers);
        }
    }

    /// Decides pending claims by the answers so far. Call it once what [`Self::take_unsaved`] returned is on disk.
    pub fn decide_claims(&mut self, now: Micros) {
        let decisions: Vec<_> = self
            .pending_claims
            .iter()
            .map(|(claim_id, pending)| (*claim_id, pending.vote.decide(now)))
            .collect();
        decisions.into_iter().for_each(|(claim_id, decision)| self.finish_claim(claim_id, decision));
    }

    fn finish_claim(&mut self, claim_id: ClaimId, decision: ClaimDecision) {
        if decision == ClaimDecision::Wait {
            return;
        }
        let Some(pending) = self.pending_claims.remove(&claim_id) else { return };
        if decision != ClaimDecision::Send {
            self.claim_table.withdraw(pending.name, claim_id);
            let others = pending.vote.members().filter(|member| **member != self.local_name);
            self.outgoing
                .extend(others.map(|member| (member.clone(), PeerMessage::Withdraw(pending.name, claim_id))));
        }
        self.decided_claims.push((claim_id, pending.name, decision));
    }

    /// Sends the items that have changed here to `receivers`.
    fn broadcast_changes(&mut self, now: Micros, receivers: &[String]) {
        self.broadcast_at = now;
        let changed = self.replica.take_changed_items();
        self.unsaved_keys.extend(changed.iter().map(|(key, _)| key.clone()).filter(Key::is_persistent));
        let mut batch = Vec::new();
        let mut batch_bytes = 0;
        let mut send_batch = |batch: &mut Vec<(Key, Value)>| {
            let items = std::mem::take(batch);
            self.outgoing.extend(
                receivers
                    .iter()
                    .map(|to| (to.clone(), PeerMessage::State(SyncMessage::Items(items.clone())))),
            );
        };
        for item in changed {
            batch_bytes += ESTIMATED_ITEM_BYTES;
            batch.push(item);
            if batch_bytes >= MAX_ITEMS_MESSAGE_BYTES {
                send_batch(&mut batch);
                batch_bytes = 0;
            }
        }
        if !batch.is_empty() {
            send_batch(&mut batch);
        }
    }

    // ---- Output ----

    /// Takes the changes that must be on disk before any outgoing message is sent.
    pub fn take_unsaved(&mut self, now: Micros) -> UnsavedChanges {
        let mut unsaved =
            UnsavedChanges { claims: self.claim_table.take_unsaved(), ..UnsavedChanges::default() };
        if self.saves_immediately || now >= self.saved_at.saturating_add(SAVE_INTERVAL) {
            (self.saves_immediately, self.saved_at) = (false, now);
            let mut keys = std::mem::take(&mut self.unsaved_keys);
            keys.extend(self.replica.take_removed_keys());
            unsaved.items =
                keys.into_iter().map(|key| (key.clone(), self.replica.get(&key).cloned())).collect();
            if !unsaved.items.is_empty() {
                unsaved.sync_progress =
                    Some((self.replica.last_in_sync_at(), self.sync.received_positions().clone()));
            }
        }
        unsaved
    }

    /// Handles a failed write to the store. Grants that have not been sent become refusals, and pending claims are refused.
    pub fn handle_store_failure(&mut self) {
        if !std::mem::replace(&mut self.has_store_failed, true) {
            tracing::error!("state: the store cannot be written; refusing named requests");
        }
        for (_, message) in &mut self.outgoing {
            if let PeerMessage::Claimed(_, answer @ ClaimAnswer::Granted) = message {
                *answer = ClaimAnswer::Full;
            }
        }
        let claim_ids: Vec<_> = self.pending_claims.keys().copied().collect();
        claim_ids.into_iter().for_each(|claim_id| self.finish_claim(claim_id, ClaimDecision::Refuse));
    }

    /// Takes the messages to be sent, each with its receiver. A receiver can be this conductor itself.
    pub fn take_outgoing(&mut self) -> Vec<(String, PeerMessage)> {
        std::mem::take(&mut self.outgoing)
    }

    /// Takes the events for the serving side.
    pub fn take_events(&mut self) -> Vec<SharedStateEvent> {
        std::mem::take(&mut self.events)
    }

    // ---- For operators ----

    /// Returns the status of the shared state, as operators see it.
    pub fn status(&self, now: Micros, agreed: &Agreed) -> Json {
        let counts = self.sync.counters;
        let items = self.replica.items().count();
        let mark_json = |(subject, marked_at): (&Subject, Micros)| match subject {
            Subject::Instance(name) => json!({ "instance": name, "since_ms": marked_at / 1_000 }),
            Subject::Conductor(name) => json!({ "conductor": name, "since_ms": marked_at / 1_000 }),
        };
        json!({
            "root": format!("{:016x}", self.replica.root_digest()),
            "items": items,
            "caught_up": self.sync.caught_up(),
            "lag_ms": (now - self.replica.last_in_sync_at()).max(0) / 1_000,
            "marks_agreed": self.are_marks_agreed(agreed),
            "marks": self.marks.iter().map(mark_json).collect::<Vec<_>>(),
            "named_requests": self.claim_table.len(),
            "duties": if self.duties.lock().has_lease(now) { "leased" } else { "none" },
            "set_aside": self.set_aside(),
            "counters": {
                "equal": counts.equal_comparisons, "different": counts.different_comparisons, "taken": counts.merged_items,
                "turned_down": counts.rejected_items, "damaged": counts.damaged_chunks, "bytes": counts.sent_chunk_bytes,
                "repaired": counts.resolved_conflicts,
            },
        })
    }

    /// Lists what is set aside because conductors hold different content for the same version.
    fn set_aside(&self) -> Vec<String> {
        let items = self.replica.conflicting_keys().map(|key| format!("{key:?}"));
        let policies = self.policy_conflicts.iter().map(|name| format!("the policy's document at {name}"));
        items.chain(policies).collect()
    }

    /// Exports all lasting items: each as JSON for operators to read, and as the encoded bytes that [`Self::import`] reads, since
    /// these preserve every figure exactly.
    pub fn export(&self) -> Json {
        let item_json = |(key, value): (Key, Value)| {
            let bytes = postcard::to_allocvec(&(&key, &value)).unwrap_or_default();
            let hex: String = bytes.iter().map(|byte| format!("{byte:02x}")).collect();
            let readable_value = serde_json::to_value(&value).unwrap_or_default();
            json!({ "key": format!("{key:?}"), "value": readable_value, "bytes": hex })
        };
        json!({ "form": 1, "items": self.replica.persistent_items().1.into_iter().map(item_json).collect::<Vec<_>>() })
    }

    /// Imports an export, by the same rules as items from another replica. Returns how many items were taken, were known already,
    /// and were rejected.
    pub fn import(&mut self, now: Micros, export: &Json) -> Result<(usize, usize, usize), String> {
        if export["form"] != 1 {
            return Err(format!("form: must be 1, and is {}", export["form"]));
        }
        let items = export["items"].as_array().ok_or("items: is missing")?;
        let (mut taken, mut known, mut rejected, mut taken_keys) = (0, 0, 0, Vec::new());
        for item in items {
            let bytes = item["bytes"].as_str().and_then(parse_hex);
            let decoded = bytes.and_then(|bytes| postcard::from_bytes::<(Key, Value)>(&bytes).ok());
            match decoded.map(|(key, value)| {
                (self.replica.merge(now, Owner::from_name(&self.local_name), key.clone(), value), key)
            }) {
                Some((Ok(true), key)) => {
                    taken += 1;
                    taken_keys.push(key);
                }
                Some((Ok(false), _)) => known += 1,
                _ => rejected += 1,
            }
        }
        self.handle_merged_items(now, taken_keys);
        Ok((taken, known, rejected))
    }
}

/// Decodes hexadecimal digits; none if they are not valid.
fn parse_hex(hex: &str) -> Option<Vec<u8>> {
    let digits = hex.as_bytes().chunks(2);
    digits.map(|pair| u8::from_str_radix(std::str::from_utf8(pair).ok()?, 16).ok()).collect()
}

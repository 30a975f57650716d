//! Prevents a request with an idempotency key (a named request) from running twice, even if several conductors receive it or some
//! of them fail.
//!
//! Before a conductor forwards a named request, it claims the name at a majority of the members, itself included. Each member
//! grants the first claim that it receives, and stores it before it answers ([`ClaimTable`]). Any two majorities have a member in
//! common, so at most one claim of a name obtains a majority ([`ClaimVote`]).

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_128;

use crate::api::Micros;
use crate::control::state::Session;

/// How long a claim is retained after the last message about its name.
pub const CLAIM_RETENTION: Micros = 600_000_000;
/// Most claims that one conductor retains. Further claims are refused, because a request whose claim was dropped could run twice.
pub const MAX_CLAIMS: usize = 65_536;
/// How long a claim waits for a majority before it is withdrawn.
pub const CLAIM_TIMEOUT: Micros = 300_000;
/// Longest idempotency key that a client may send, in bytes.
pub const MAX_IDEMPOTENCY_KEY_BYTES: usize = 256;

/// A request's name: the hash of its idempotency key and of the scope in which that key is unique.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct RequestName(pub u128);

impl RequestName {
    /// Hashes a client's idempotency key within `scope`, which distinguishes the clients.
    pub fn new(scope: &str, key: &str) -> Self {
        RequestName(xxh3_128(format!("{}:{scope}{key}", scope.len()).as_bytes()))
    }
}

/// Identifies one claim of a name.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct ClaimId {
    /// The process that makes the claim.
    #[serde(rename = "by")]
    pub session: Session,
    /// Number of the claim within that process.
    #[serde(rename = "n")]
    pub number: u64,
}

/// How far a claimed request has progressed, as far as known.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Stage {
    /// The request may have run.
    MayHaveRun,
    /// The request ran to completion.
    Ran,
}

/// A granted claim as one conductor stores it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct ClaimRecord {
    /// The claim that holds the name.
    #[serde(rename = "of")]
    pub claim_id: ClaimId,
    /// How far the claimed request has progressed.
    pub stage: Stage,
    /// When the last message about the name arrived, on the local clock.
    #[serde(rename = "at")]
    pub last_heard_at: Micros,
}

/// A conductor's answer to a claim.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum ClaimAnswer {
    /// The claim holds the name at this conductor.
    #[serde(rename = "Yes")]
    Granted,
    /// Another claim holds the name; its request has reached this stage.
    Taken(ClaimId, Stage),
    /// The claim table is full.
    Full,
}

/// The claims that one conductor has granted, by name.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct ClaimTable {
    records: BTreeMap<RequestName, ClaimRecord>,
    /// Changes that must be on disk before any answer is sent; none for a removed record.
    unsaved: BTreeMap<RequestName, Option<ClaimRecord>>,
    cleaned_up_at: Micros,
}

impl ClaimTable {
    /// Creates a table from stored records. It is not known when their names were last heard of, so their retention starts again
    /// at `now`.
    pub fn load(now: Micros, stored: impl IntoIterator<Item = (RequestName, ClaimRecord)>) -> Self {
        let records = stored
            .into_iter()
            .map(|(name, record)| (name, ClaimRecord { last_heard_at: now, ..record }))
            .collect();
        ClaimTable { records, unsaved: BTreeMap::new(), cleaned_up_at: now }
    }

    /// Handles a claim. The answer may be sent only once the changes from [`Self::take_unsaved`] are on disk.
    pub fn claim(&mut self, now: Micros, name: RequestName, claim_id: ClaimId) -> ClaimAnswer {
        self.remove_expired(now);
        let is_full = self.records.len() >= MAX_CLAIMS;
        match self.records.get_mut(&name) {
            Some(record) if record.claim_id == claim_id => {
                record.last_heard_at = now;
                ClaimAnswer::Granted
            }
            Some(record) => {
                record.last_heard_at = now;
                ClaimAnswer::Taken(record.claim_id, record.stage)
            }
            None if is_full => ClaimAnswer::Full,
            None => {
                self.insert(name, ClaimRecord { claim_id, stage: Stage::MayHaveRun, last_heard_at: now });
                ClaimAnswer::Granted
            }
        }
    }

    /// Records that the request of this claim ran to completion.
    pub fn complete(&mut self, now: Micros, name: RequestName, claim_id: ClaimId) {
        if self.records.get(&name).is_none_or(|record| record.claim_id == claim_id)
            && self.records.len() < MAX_CLAIMS
        {
            self.insert(name, ClaimRecord { claim_id, stage: Stage::Ran, last_heard_at: now });
        }
    }

    /// Removes a claim under which no request was sent or will be sent.
    pub fn withdraw(&mut self, name: RequestName, claim_id: ClaimId) {
        if self
            .records
            .get(&name)
            .is_some_and(|record| record.claim_id == claim_id && record.stage == Stage::MayHaveRun)
        {
            self.records.remove(&name);
            self.unsaved.insert(name, None);
        }
    }

    /// Returns the claim that holds this name.
    pub fn get(&self, name: RequestName) -> Option<ClaimRecord> {
        self.records.get(&name).copied()
    }

    /// Number of names that are claimed.
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Whether no name is claimed.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    /// Takes the changes that must be on disk before any answer is sent; none stands for a removed record.
    pub fn take_unsaved(&mut self) -> BTreeMap<RequestName, Option<ClaimRecord>> {
        std::mem::take(&mut self.unsaved)
    }

    fn insert(&mut self, name: RequestName, record: ClaimRecord) {
        self.records.insert(name, record);
        self.unsaved.insert(name, Some(record));
    }

    fn remove_expired(&mut self, now: Micros) {
        if now < self.cleaned_up_at.saturating_add(CLAIM_RETENTION / 64) && self.records.len() < MAX_CLAIMS {
            return;
        }
        self.cleaned_up_at = now;
        let expired: Vec<_> = self
            .records
            .iter()
            .filter(|(_, record)| record.last_heard_at.saturating_add(CLAIM_RETENTION) < now)
            .collect();
        let expired: Vec<_> = expired.into_iter().map(|(name, _)| *name).collect();
        for name in expired {
            self.records.remove(&name);
            self.unsaved.insert(name, None);
        }
    }
}

/// What to do with a request whose name is being claimed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum ClaimDecision {
    /// Wait for more answers.
    Wait,
    /// Send the request: a majority granted the claim.
    Send,
    /// Do not send the request and tell the client so: another claim holds the name.
    Duplicate(Stage),
    /// Do not send the request and withdraw the claim: no majority granted it, or there is no room. The client may retry.
    Refuse,
}

/// Counts the members' answers to one claim.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct ClaimVote {
    members: BTreeSet<String>,
    granted_by: BTreeSet<String>,
    refused_by: BTreeSet<String>,
    duplicate_stage: Option<Stage>,
    deadline: Micros,
}

impl ClaimVote {
    /// Starts a vote among `members` that times out [`CLAIM_TIMEOUT`] after `now`.
    pub fn new(now: Micros, members: BTreeSet<String>) -> Self {
        let (granted_by, refused_by) = Default::default();
        ClaimVote {
            members,
            granted_by,
            refused_by,
            duplicate_stage: None,
            deadline: now.saturating_add(CLAIM_TIMEOUT),
        }
    }

    /// The members at which the name is claimed.
    pub fn members(&self) -> impl Iterator<Item = &String> {
        self.members.iter()
    }

    /// Records a member's answer; an answer from any other conductor is ignored.
    pub fn record_answer(&mut self, member: &str, answer: ClaimAnswer) {
        if !self.members.contains(member) {
            return;
        }
        match answer {
            ClaimAnswer::Granted => drop(self.granted_by.insert(member.into())),
            ClaimAnswer::Taken(_, stage) => {
                self.duplicate_stage = self.duplicate_stage.max(Some(stage));
                self.refused_by.insert(member.into());
            }
            ClaimAnswer::Full => drop(self.refused_by.insert(member.into())),
        }
    }

    /// Decides by the answers so far. Once the decision is [`ClaimDecision::Send`] it does not change.
    pub fn decide(&self, now: Micros) -> ClaimDecision {
        let majority = self.members.len() / 2 + 1;
        if self.granted_by.len() >= majority {
            return ClaimDecision::Send;
        }
        // A single member that knows of another claim is enough: that claim's request may have run.
        if let Some(stage) = self.duplicate_stage {
            return ClaimDecision::Duplicate(stage);
        }
        let is_majority_lost = self.refused_by.len() > self.members.len() - majority;
        if is_majority_lost || now >= self.deadline { ClaimDecision::Refuse } else { ClaimDecision::Wait }
    }
}

//! Assigns duties, such as probing one instance, so that at most one conductor performs each at a time.
//!
//! The ledger's leader grants leases on a set of holders ([`LeaseIssuer`]), and every conductor holds such a lease
//! ([`LeaseHolder`]). Rendezvous hashing assigns each duty to one holder of the set. While the set changes, a holder performs a
//! duty only if both the current and the next set assign it to that holder.

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::api::Micros;
use crate::control::state::Session;
use crate::control::{AUTHORITY, DRIFT};

/// How long a lease lasts, counted from the moment at which its holder sent the request.
pub const DUTY_LEASE_DURATION: Micros = 700_000;
/// Interval at which a holder requests a lease.
pub const LEASE_REQUEST_INTERVAL: Micros = 150_000;

/// The processes among which one leader divides the duties.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct HolderSet {
    /// Term of the leader that formed this set.
    pub term: u64,
    /// Number of this set within the term; each new set has the next one.
    #[serde(rename = "n")]
    pub number: u64,
    /// Sessions of the processes in the set.
    pub holders: BTreeSet<Session>,
}

impl HolderSet {
    /// Returns the holder to which rendezvous hashing assigns `duty`, or none if the set is empty.
    pub fn assigned_holder(&self, duty: u64) -> Option<Session> {
        self.holders.iter().copied().max_by_key(|holder| xxh3_64_with_seed(&holder.0.to_le_bytes(), duty))
    }
}

/// A holder's request for a lease.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct LeaseRequest {
    /// Session of the holder that sends the request.
    pub session: Session,
    /// When the request was sent, on the holder's clock.
    #[serde(rename = "at")]
    pub sent_at: Micros,
    /// Term and number of the newest holder set that the holder knows, whether current or next.
    #[serde(rename = "knows")]
    pub known_version: (u64, u64),
}

/// The leader's answer to a [`LeaseRequest`].
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct DutyLease {
    /// Session of the holder that receives the lease.
    pub session: Session,
    /// The request's `sent_at`, on the holder's clock; the lease's duration counts from it.
    #[serde(rename = "asked_at")]
    pub request_sent_at: Micros,
    /// The current holder set.
    #[serde(rename = "now")]
    pub current: HolderSet,
    /// The next holder set, while a change is under way.
    pub next: Option<HolderSet>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct LastRequest {
    received_at: Micros,
    known_version: (u64, u64),
}

/// The leader's side: grants leases and changes the holder set. It is created anew, without any holders, at each election.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct LeaseIssuer {
    /// No lease is granted before this time, because one from an earlier leader may still be valid.
    earliest_grant_at: Micros,
    term: u64,
    current: HolderSet,
    next: Option<HolderSet>,
    /// The last request of each holder whose lease may still be valid, with the time of receipt on this leader's clock.
    last_requests: BTreeMap<Session, LastRequest>,
}

impl LeaseIssuer {
    /// Creates the issuer of a leader that was elected at `elected_at`.
    pub fn new(term: u64, elected_at: Micros) -> Self {
        let earliest_grant_at = elected_at.saturating_add(AUTHORITY + DUTY_LEASE_DURATION + DRIFT);
        let current = HolderSet { term, ..HolderSet::default() };
        LeaseIssuer { earliest_grant_at, term, current, next: None, last_requests: BTreeMap::new() }
    }

    /// Records that the previous leader's process has ended by `now`. It has granted no lease since, so only the leases that it
    /// granted before have to run out.
    pub fn predecessor_ended(&mut self, now: Micros) {
        self.earliest_grant_at = self.earliest_grant_at.min(now.saturating_add(DUTY_LEASE_DURATION + DRIFT));
    }

    /// Handles a lease request. `registered` holds the sessions in the ledger. `has_authority` says whether a majority recently
    /// acknowledged this leader; without it another leader may have been elected, so no lease is granted.
    pub fn handle_request(
        &mut self, now: Micros, request: LeaseRequest, registered: &BTreeSet<Session>, has_authority: bool,
    ) -> Option<DutyLease> {
        if !registered.contains(&request.session) || !has_authority {
            return None;
        }
        self.last_requests
            .insert(request.session, LastRequest { received_at: now, known_version: request.known_version });
        self.advance(now, registered);
        (now >= self.earliest_grant_at).then(|| DutyLease {
            session: request.session,
            request_sent_at: request.sent_at,
            current: self.current.clone(),
            next: self.next.clone(),
        })
    }

    /// Advances the holder set after time has passed or the `registered` sessions have changed.
    pub fn advance(&mut self, now: Micros, registered: &BTreeSet<Session>) {
        // A session that is no longer registered has ended and holds nothing. A silent one keeps its lease until it expires.
        let may_hold_lease =
            |request: &LastRequest| now <= request.received_at.saturating_add(DUTY_LEASE_DURATION + DRIFT);
        self.last_requests.retain(|session, request| registered.contains(session) && may_hold_lease(request));
        if let Some(next) = &self.next {
            let knows_next = |request: &LastRequest| request.known_version >= (next.term, next.number);
            if self.last_requests.values().all(knows_next) {
                self.current = next.clone();
                self.next = None;
            }
        }
        let wanted: BTreeSet<_> = self.last_requests.keys().copied().collect();
        if now >= self.earliest_grant_at && self.next.is_none() && wanted != self.current.holders {
            self.next = Some(HolderSet { term: self.term, number: self.current.number + 1, holders: wanted });
        }
    }
}

/// One conductor's side: its lease and the holder sets that came with it.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct LeaseHolder {
    session: Session,
    current: HolderSet,
    next: Option<HolderSet>,
    lease_until: Micros,
}

impl LeaseHolder {
    /// Creates the holder of a process that has just started; it has no lease yet.
    pub fn new(session: Session) -> Self {
        LeaseHolder { session, current: HolderSet::default(), next: None, lease_until: Micros::MIN }
    }

    /// Returns the request by which this holder obtains or renews its lease.
    pub fn lease_request(&self, now: Micros) -> LeaseRequest {
        let newest = self.next.as_ref().unwrap_or(&self.current);
        LeaseRequest { session: self.session, sent_at: now, known_version: (newest.term, newest.number) }
    }

    /// Accepts a lease from the leader. A lease with older holder sets, or for another session, has no effect.
    pub fn accept(&mut self, lease: &DutyLease) {
        let version = |current: &HolderSet, next: &Option<HolderSet>| {
            (current.term, current.number, next.as_ref().map(|next| next.number))
        };
        let is_up_to_date = version(&lease.current, &lease.next) >= version(&self.current, &self.next);
        if lease.session != self.session || !is_up_to_date {
            return;
        }
        (self.current, self.next) = (lease.current.clone(), lease.next.clone());
        self.lease_until = self.lease_until.max(lease.request_sent_at.saturating_add(DUTY_LEASE_DURATION));
    }

    /// Whether `duty` is assigned to this conductor at `now`.
    pub fn is_assigned(&self, now: Micros, duty: u64) -> bool {
        let assigns = |set: &HolderSet| set.assigned_holder(duty) == Some(self.session);
        now < self.lease_until && assigns(&self.current) && self.next.as_ref().is_none_or(assigns)
    }

    /// Whether this conductor has a valid lease at `now`.
    pub fn has_lease(&self, now: Micros) -> bool {
        now < self.lease_until
    }
}

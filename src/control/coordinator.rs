//! The leader's part in a change: it hears the sessions, grants leases, and says which entry is due.

use std::collections::{BTreeMap, BTreeSet};

use super::policy::Silence;
use super::report::{Grant, Report, Standing};
use super::state::{Agreed, ChangeId, Command, Evidence, Phase, Session};
use super::{AUTHORITY, DRIFT, LEASE, PREPARE_WAIT};
use crate::api::Micros;

/// What is known of a session.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
struct SessionState {
    granted_at: Option<Micros>,
    standing: Option<(ChangeId, Standing)>,
    /// Its process has ended.
    refused: bool,
}

/// The leader's view, empty at each election: it asks anew for all that it needs.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Coordinator {
    elected_at: Micros,
    /// Since when the change is waited for.
    waiting: Option<(ChangeId, Micros)>,
    sessions: BTreeMap<Session, SessionState>,
}

impl Coordinator {
    /// A leader that was elected at this moment.
    pub fn new(elected_at: Micros) -> Self {
        Coordinator { elected_at, waiting: None, sessions: BTreeMap::new() }
    }

    /// Takes a session's word in; the answer is its lease. `authority` says that a majority knew this leader as such
    /// within the last [`AUTHORITY`]; without it nothing is granted, as another leader may stand.
    pub fn report(&mut self, now: Micros, report: Report, agreed: &Agreed, authority: bool) -> Option<Grant> {
        if !agreed.sessions.values().any(|session| *session == report.session) {
            return None;
        }
        let session_state = self.sessions.entry(report.session).or_default();
        session_state.standing = report.standing;
        if !authority {
            return None;
        }
        session_state.granted_at = Some(now);
        Some(Grant { session: report.session, asked_at: report.asked_at })
    }

    /// The address of this session's process refused a connection that was begun after the session was known here.
    pub fn refused(&mut self, session: Session) {
        self.sessions.entry(session).or_default().refused = true;
    }

    /// The entries that are due. They are proposed again until they take effect, so a lost one does no harm.
    pub fn due(&mut self, now: Micros, agreed: &Agreed) -> Vec<Command> {
        let live: BTreeSet<_> = agreed.sessions.values().copied().collect();
        self.sessions.retain(|session, _| live.contains(session));
        let ended = self.sessions.iter().filter(|(_, session_state)| session_state.refused);
        let ended = ended.map(|(&session, _)| Command::Expire { session, evidence: Evidence::Refused });
        let mut due: Vec<_> = ended.collect();
        let Some(change) = &agreed.change else {
            self.waiting = None;
            return due;
        };
        if self.waiting.is_none_or(|(id, _)| id != change.id) {
            self.waiting = Some((change.id, now));
        }
        let since = self.waiting.map_or(now, |(_, since)| since);
        let mut missing = Vec::new();
        for (name, session) in &agreed.sessions {
            let session_state = self.sessions.get(session);
            let said = session_state
                .and_then(|session_state| session_state.standing.as_ref())
                .filter(|(id, _)| *id == change.id);
            match (change.phase, said.map(|(_, standing)| standing)) {
                (Phase::Proposed, Some(Standing::Declined(why))) => {
                    return vec![Command::Abort { id: change.id, who: vec![name.clone()], why: why.clone() }];
                }
                (Phase::Proposed, Some(_)) | (Phase::Decided, Some(Standing::Fenced)) => {}
                _ => missing.push((name, *session)),
            }
        }
        if missing.is_empty() {
            due.push(match change.phase {
                Phase::Proposed => Command::Decide { id: change.id, prepared: live },
                Phase::Decided => Command::Activate { id: change.id, fenced: live },
            });
            return due;
        }
        // Between proposal and decision only those count as bound to a lease who are so by the policy in force.
        let bound = change.phase == Phase::Decided || agreed.silence == Silence::Stop;
        if bound {
            let lapsed = missing.iter().filter(|(_, session)| now >= self.lapses_at(*session));
            due.extend(lapsed.map(|(_, s)| Command::Expire { session: *s, evidence: Evidence::Lapsed }));
        } else if now >= since.saturating_add(PREPARE_WAIT) {
            let who = missing.iter().map(|(name, _)| (*name).clone()).collect();
            due.push(Command::Abort {
                id: change.id,
                who,
                why: "silent, and not known to have ended".into(),
            });
        }
        due
    }

    /// When every lease that this session may hold has run out: this leader's, and those of leaders before it.
    fn lapses_at(&self, session: Session) -> Micros {
        let before = self.elected_at.saturating_add(AUTHORITY + LEASE);
        let own = self.sessions.get(&session).and_then(|session_state| session_state.granted_at);
        before.max(own.map_or(before, |at| at.saturating_add(LEASE))).saturating_add(DRIFT)
    }
}

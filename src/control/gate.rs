//! A conductor's right to take requests, and under which revision. Judged anew for each request.

use super::policy::Silence;
use super::report::{Grant, Report, Standing};
use super::state::{Agreed, ChangeId, Phase, Revision, Session};
use super::{ARM, HOLD, LEASE};
use crate::api::Micros;

/// What becomes of a request that arrives now.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Take {
    /// It is taken in under this revision.
    Under(Revision),
    /// It waits at the gate, until this moment at the latest.
    Hold(Micros),
    /// It is refused at once.
    Refuse(Closed),
}

/// Why nothing is taken in.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, thiserror::Error)]
pub enum Closed {
    /// This process is not registered: it has just started, or was struck off.
    #[error("not registered with the other conductors yet")]
    Unregistered,
    /// It needs a lease and has none.
    #[error("cut off from the other conductors while the policy changes")]
    Lapsed,
    /// A change was decided, and it does not hear whether it has come.
    #[error("a policy change does not end")]
    Fenced,
}

/// The right of one process.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Gate {
    session: Session,
    /// Its conductor is a member no longer.
    struck: bool,
    /// As of the last entry that it applied.
    registered: bool,
    revision: Revision,
    silence: Silence,
    change: Option<(ChangeId, Phase)>,
    /// What it has said of that change.
    standing: Option<Standing>,
    /// It has told the leader that it is prepared, and so has given its standing right up until that change has ended.
    armed: bool,
    lease_until: Micros,
    /// Since when requests are held for the fence.
    fenced_at: Option<Micros>,
}

impl Gate {
    /// The gate of a process that has just started. It is closed.
    pub fn new(session: Session) -> Self {
        Gate {
            session,
            struck: false,
            registered: false,
            revision: 0,
            silence: Silence::Serve,
            change: None,
            standing: None,
            armed: false,
            lease_until: Micros::MIN,
            fenced_at: None,
        }
    }

    /// Takes in what is agreed on now. True when [`Self::prepared`] is owed for the change under way.
    pub fn applied(&mut self, now: Micros, name: &str, agreed: &Agreed) -> bool {
        self.struck |= self.registered && !agreed.members.contains_key(name);
        self.registered = !self.struck && agreed.sessions.get(name) == Some(&self.session);
        (self.revision, self.silence) = (agreed.revision, agreed.silence);
        let change = agreed.change.as_ref().map(|c| (c.id, c.phase));
        if change.map(|c| c.0) != self.change.map(|c| c.0) {
            (self.standing, self.armed) = (None, false);
        }
        self.change = change;
        let fenced = matches!(change, Some((_, Phase::Decided)));
        if fenced {
            self.standing = Some(Standing::Fenced);
        }
        self.fenced_at = if fenced { self.fenced_at.or(Some(now)) } else { None };
        change.is_some() && self.standing.is_none()
    }

    /// Another conductor knows that this one is a member no longer: it takes nothing in any more.
    pub fn strike(&mut self, session: Session) {
        if session == self.session {
            (self.struck, self.registered) = (true, false);
        }
    }

    /// Whether its conductor is a member no longer.
    pub fn struck(&self) -> bool {
        self.struck
    }

    /// Says whether this process can carry the change out.
    pub fn prepared(&mut self, id: ChangeId, verdict: Result<(), String>) {
        if self.change == Some((id, Phase::Proposed)) && self.standing.is_none() {
            self.standing = Some(match verdict {
                Ok(()) => Standing::Prepared,
                Err(why) => Standing::Declined(why),
            });
        }
    }

    /// Its word to the leader. From the word that it is prepared on it takes requests under a lease only, so it holds one
    /// before it says that.
    pub fn report(&mut self, now: Micros) -> Report {
        self.armed |= self.standing == Some(Standing::Prepared) && now.saturating_add(ARM) < self.lease_until;
        let said = self.standing.clone().filter(|_| !self.unsaid());
        let standing = self.change.and_then(|(id, _)| Some((id, said?)));
        Report { session: self.session, asked_at: now, standing }
    }

    /// Whether it is prepared and waits for a lease to say so.
    pub fn unsaid(&self) -> bool {
        self.standing == Some(Standing::Prepared) && !self.armed
    }

    /// Takes the leader's answer in. One that comes late or twice does no harm: it counts from when it was asked for.
    pub fn granted(&mut self, grant: Grant) {
        if grant.session == self.session {
            self.lease_until = self.lease_until.max(grant.asked_at.saturating_add(LEASE));
        }
    }

    /// Whether a request may be taken in at this moment.
    pub fn take(&self, now: Micros) -> Take {
        if !self.registered {
            return Take::Refuse(Closed::Unregistered);
        }
        if let Some(at) = self.fenced_at {
            let until = at.saturating_add(HOLD);
            return if now < until { Take::Hold(until) } else { Take::Refuse(Closed::Fenced) };
        }
        let needs_lease = self.silence == Silence::Stop || self.armed;
        if !needs_lease || now < self.lease_until {
            return Take::Under(self.revision);
        }
        // A lease that has just run out may be renewed by an answer that is on its way.
        let until = self.lease_until.saturating_add(HOLD);
        if now < until { Take::Hold(until) } else { Take::Refuse(Closed::Lapsed) }
    }

    /// Which process it is.
    pub fn session(&self) -> Session {
        self.session
    }

    /// Whether the ledger knows this process.
    pub fn registered(&self) -> bool {
        self.registered
    }

    /// The revision in force as far as this process knows.
    pub fn revision(&self) -> Revision {
        self.revision
    }

    /// Until when its lease runs.
    pub fn lease_until(&self) -> Micros {
        self.lease_until
    }
}

//! What a conductor and the ledger's leader tell each other about a change.

use serde::{Deserialize, Serialize};

use super::state::{ChangeId, Session};
use crate::api::Micros;

/// Where a session stands in a change.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Standing {
    /// It can carry the change out, and takes requests under a lease only until the change has ended.
    Prepared,
    /// It cannot, for this reason.
    Declined(String),
    /// It takes no request under the old revision any more.
    Fenced,
}

/// A conductor's word to the leader. It asks for a lease at the same time.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Report {
    /// Which session speaks.
    pub session: Session,
    /// When it asked, on its own clock.
    pub asked_at: Micros,
    /// Where it stands in the change that it knows of.
    pub standing: Option<(ChangeId, Standing)>,
}

/// The leader's answer: the right to take requests for [`super::LEASE`] from the moment at which it was asked.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Grant {
    /// To which session.
    pub session: Session,
    /// The moment in its report.
    pub asked_at: Micros,
}

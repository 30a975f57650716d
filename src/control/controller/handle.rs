//! The serving thread's way to the controller: what it asks and tells.

use std::sync::Arc;
use std::time::Duration;

use rand::RngExt;
use serde_json::Value;
use tokio::sync::{mpsc, oneshot};
use tokio::time::timeout;

use super::operations::unknown_outcome;
use crate::control::shared_gate::SharedGate;
use crate::control::state::{ChangeId, Revision};
use crate::estimate::FleetEstimates;
use crate::replica::idempotency::{ClaimDecision, ClaimId, RequestName};
use crate::replica::marks::Subject;
use crate::replica::share::Duties;
use crate::replica::store::InstanceReport;

/// What operators ask.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Call {
    /// Where all stands.
    Status,
    /// A new policy.
    Propose {
        /// The change's number.
        id: ChangeId,
        /// The document.
        document: String,
        /// The revision that it was made for.
        base: Option<Revision>,
    },
    /// How a change ended.
    Outcome(ChangeId),
    /// A policy's document.
    Document(Revision),
    /// A conductor is a member no longer.
    Remove(String),
    /// Something is out for maintenance, or drained.
    Mark(Subject),
    /// It is back.
    Lift(Subject),
    /// Where shared state stands.
    State,
    /// All of it that lasts.
    Export,
    /// Such an export, to be merged.
    Import(Value),
}

impl Call {
    /// A proposal under a number of its own.
    pub fn proposal(document: String, base: Option<Revision>) -> Self {
        Call::Propose { id: ChangeId(rand::rng().random()), document, base }
    }
}

/// What the serving side tells of itself.
#[derive(Debug)]
pub enum StateUpdate {
    /// What the module has spent and learnt.
    Figures(Box<FleetEstimates>),
    /// How an instance was found.
    Report(String, InstanceReport),
    /// A named request is to be sent.
    Claim(RequestName, oneshot::Sender<(ClaimDecision, Option<ClaimId>)>),
    /// Nothing was sent under this claim.
    Withdraw(RequestName, ClaimId),
    /// It ran.
    Completed(RequestName, ClaimId),
}

/// The answer to a call.
#[derive(Clone, Debug, PartialEq)]
pub struct Reply {
    /// As HTTP has it.
    pub status: u16,
    /// JSON.
    pub body: Value,
}

/// The serving thread's way to the controller.
#[derive(Clone)]
pub struct Handle {
    pub(super) calls: mpsc::Sender<(Call, oneshot::Sender<Reply>)>,
    pub(super) updates: mpsc::Sender<StateUpdate>,
    /// This conductor's name.
    pub name: String,
    /// The duties that are this conductor's to do.
    pub duties: Duties,
    /// The right to take requests.
    pub gate: Arc<SharedGate>,
}

impl Handle {
    /// Asks; where the ledger's thread has ended there is no answer.
    pub async fn call(&self, call: Call) -> Option<Reply> {
        let (answer, answered) = oneshot::channel();
        self.calls.send((call, answer)).await.ok()?;
        answered.await.ok()
    }

    /// Asks, and waits so long. One who proposed and is not answered in time learns by which number to ask again: a flush that
    /// the disk holds up holds up the ledger's thread, and the change may pass all the same. Else there is no answer.
    pub async fn ask(&self, call: Call, within: Duration) -> Option<Reply> {
        let proposed = if let Call::Propose { id, .. } = &call { Some(*id) } else { None };
        let answered = timeout(within, self.call(call)).await;
        answered.unwrap_or_else(|_| proposed.map(|id| unknown_outcome(id, "the ledger gives no answer yet")))
    }

    /// Tells; dropped where the ledger's thread is too slow to hear it.
    pub fn tell(&self, update: StateUpdate) {
        let _ = self.updates.try_send(update);
    }

    /// Claims a named request's name. Without a grant nothing may be sent. Who no longer waits for it has not sent anything, so
    /// a claim that is granted then is withdrawn.
    pub async fn claim(&self, name: RequestName) -> Result<GrantedClaim, ClaimDecision> {
        let (grant, granted) = oneshot::channel();
        let handle = self.clone();
        tokio::spawn(async move {
            let _ = grant.send(handle.await_claim(name).await);
        });
        granted.await.unwrap_or(Err(ClaimDecision::Refuse))
    }

    async fn await_claim(self, name: RequestName) -> Result<GrantedClaim, ClaimDecision> {
        let (answer, answered) = oneshot::channel();
        self.updates.send(StateUpdate::Claim(name, answer)).await.map_err(|_| ClaimDecision::Refuse)?;
        match answered.await {
            Ok((ClaimDecision::Send, Some(of))) => Ok(GrantedClaim::new(self, name, of, false)),
            Ok((decision, _)) => Err(decision),
            Err(_) => Err(ClaimDecision::Refuse),
        }
    }
}

/// A named request's claim that was granted: it may be sent. One that is dropped unused is withdrawn.
pub struct GrantedClaim {
    handle: Handle,
    name: RequestName,
    of: ClaimId,
    used: bool,
}

impl GrantedClaim {
    pub(super) fn new(handle: Handle, name: RequestName, of: ClaimId, used: bool) -> Self {
        GrantedClaim { handle, name, of, used }
    }

    /// The request is handed on: from now on it may have run, unless it is said otherwise.
    pub fn used(&mut self) {
        self.used = true;
    }

    /// It ran to its end.
    pub fn completed(mut self) {
        self.used = true;
        self.handle.tell(StateUpdate::Completed(self.name, self.of));
    }

    /// It was refused, which says that it never ran.
    pub fn withdrawn(mut self) {
        self.used = false;
    }
}

impl Drop for GrantedClaim {
    fn drop(&mut self) {
        if !self.used {
            self.handle.tell(StateUpdate::Withdraw(self.name, self.of));
        }
    }
}

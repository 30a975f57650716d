//! Admission under the shared policy: tells under which policy revision a request is admitted, or rejects it. Without a cluster
//! every request is admitted under the conductor's own configuration.

use std::cell::Cell;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use tokio::time::timeout;

use super::counters::{Counters, add};
use super::front::intake::Intake;
use super::planner::Planner;
use super::upstream::pool::Pool;
use super::{Clock, to_duration};
use crate::api::{Micros, NewRequest};
use crate::control::gate::Take;
use crate::control::shared_gate::{Active, SharedGate};
use crate::control::state::Revision;

/// Least and greatest time after which a rejected client is told to retry, in microseconds.
const RETRY_AFTER_RANGE_US: (Micros, Micros) = (400_000, 1_600_000);

/// The policy gate of one process. Without a guard it admits every request.
pub struct PolicyGate {
    guard: Option<Guard>,
}

/// The shared gate, and what has to be updated when a request is first admitted under a new policy.
struct Guard {
    gate: Arc<SharedGate>,
    clock: Clock,
    announced_revision: Cell<Revision>,
    rejections: Cell<u64>,
    counters: Rc<Counters>,
}

/// A request was rejected; the client should retry after this time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct GateRejection(pub Micros);

impl PolicyGate {
    /// Returns a gate that admits every request.
    pub fn always_open() -> Rc<Self> {
        Rc::new(PolicyGate { guard: None })
    }

    /// Returns a gate that admits requests as the shared gate allows.
    pub fn guarded(gate: Arc<SharedGate>, clock: Clock, counters: Rc<Counters>) -> Rc<Self> {
        let (announced_revision, rejections) = (Cell::new(0), Cell::new(0));
        Rc::new(PolicyGate { guard: Some(Guard { gate, clock, announced_revision, rejections, counters }) })
    }

    /// Admits a request under the policy in force; returns `None` where the conductor uses its configuration alone. While a
    /// policy change takes effect the request waits here, for a third of a second at most. The planner has the settings of the
    /// policy when this returns, so the inputs that it gets afterwards are decided under that policy or a later one.
    pub async fn admit(&self, planner: &Planner) -> Result<Option<Arc<Active>>, GateRejection> {
        let Some(guard) = &self.guard else { return Ok(None) };
        let mut changes = None;
        loop {
            match guard.gate.take(|| guard.clock.now()) {
                Ok(active) => {
                    guard.announce(&active, planner);
                    return Ok(Some(active));
                }
                // Subscribes before the gate is checked a second time, so that no change in between is missed.
                Err(Take::Hold(_)) if changes.is_none() => {
                    add(&guard.counters.held_at_door);
                    changes = Some(guard.gate.changes());
                }
                Err(Take::Hold(until)) => {
                    let remaining = to_duration(until - guard.clock.now()).max(Duration::from_millis(1));
                    if let Some(changes) = &mut changes {
                        let _ = timeout(remaining, changes.changed()).await;
                    }
                }
                Err(_) => {
                    add(&guard.counters.turned_away);
                    return Err(GateRejection(guard.retry_after()));
                }
            }
        }
    }

    /// Returns whether requests are rejected now. A gate that only holds requests for a policy change does not count as closed.
    pub fn is_closed(&self) -> bool {
        let take = self.guard.as_ref().map(|guard| guard.gate.look(|gate| gate.take(guard.clock.now())));
        matches!(take, Some(Take::Refuse(_)))
    }

    /// Waits until this process is registered with the other conductors.
    pub async fn wait_until_registered(&self) {
        let Some(guard) = &self.guard else { return };
        let mut changes = guard.gate.changes();
        while !guard.gate.look(|gate| gate.registered()) {
            if changes.changed().await.is_err() {
                return;
            }
        }
    }

    /// Applies the connection limits of each new policy, until the process ends.
    pub async fn apply_connection_limits(self: Rc<Self>, intake: Rc<Intake>, pool: Rc<Pool>) {
        let Some(guard) = &self.guard else { return };
        let mut changes = guard.gate.changes();
        let mut applied_revision = 0;
        while changes.changed().await.is_ok() {
            let active = guard.gate.active();
            if let Some(policy) = active.policy.as_ref().filter(|_| active.revision != applied_revision) {
                applied_revision = active.revision;
                intake.limit(policy.client_connections);
                pool.set_connection_limit(policy.instance_connections);
            }
        }
    }
}

impl Guard {
    /// Passes the settings of a policy on to the planner when its revision is new.
    fn announce(&self, active: &Active, planner: &Planner) {
        if self.announced_revision.replace(active.revision) != active.revision {
            planner.change_settings(active.settings.clone());
            self.counters.revision.set(active.revision);
        }
    }

    /// Returns the retry time for the next rejection. The times are spread so that clients that were rejected together do not
    /// retry together.
    fn retry_after(&self) -> Micros {
        let rejections = self.rejections.get();
        self.rejections.set(rejections.wrapping_add(1));
        // Multiples of the golden ratio modulo 1 are spread evenly, for any number of rejections.
        let fraction = (rejections as f64 * 0.618_033_988_749_895).fract();
        RETRY_AFTER_RANGE_US.0
            + ((RETRY_AFTER_RANGE_US.1 - RETRY_AFTER_RANGE_US.0) as f64 * fraction) as Micros
    }
}

/// Returns the time that a request has left under a policy: the client's limit, capped by the deadline of its class. The cap
/// grows with the prompt, and for an answer in one piece with the time to write it.
pub fn policy_time_limit(request: &NewRequest, active: &Active) -> Micros {
    let Some(class) = active.settings.classes.get(request.class.0).filter(|_| active.policy.is_some()) else {
        return request.time_left;
    };
    let prompt_allowance = (2.0 * class.aim_per_1000 as f64 * request.prompt_tokens / 1_000.0) as Micros;
    let output_allowance = if request.is_unary {
        (request.max_output_tokens * class.token_aim as f64 * 2.0) as Micros
    } else {
        0
    };
    request.time_left.min(class.deadline.saturating_add(prompt_allowance).saturating_add(output_allowance))
}

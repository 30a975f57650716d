//! The gate before a conductor: under which policy a request is taken in, or that it is not. Open to all where conductors do
//! not know one another.

use std::cell::Cell;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use tokio::time::timeout;

use super::counters::{Counters, add};
use super::front::intake::Intake;
use super::planner::Planner;
use super::upstream::pool::Pool;
use super::{Clock, span};
use crate::api::{Micros, NewRequest};
use crate::control::gate::Take;
use crate::control::shared_gate::{Active, SharedGate};
use crate::control::state::Revision;

/// When a client that is turned away should come back: at least, and at most.
const COME_BACK: (Micros, Micros) = (400_000, 1_600_000);

/// The gate, and what has to be told when a new policy is first met there.
pub struct PolicyGate {
    guard: Option<Guard>,
}

struct Guard {
    gate: Arc<SharedGate>,
    clock: Clock,
    told: Cell<Revision>,
    turned_away: Cell<u64>,
    counters: Rc<Counters>,
}

/// A request was turned away; it should come back after this long.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TurnedAway(pub Micros);

impl PolicyGate {
    /// A gate that is always open.
    pub fn open() -> Rc<Self> {
        Rc::new(PolicyGate { guard: None })
    }

    /// A gate that asks this shared one.
    pub fn guarded(gate: Arc<SharedGate>, clock: Clock, counters: Rc<Counters>) -> Rc<Self> {
        let (told, turned_away) = (Cell::new(0), Cell::new(0));
        Rc::new(PolicyGate { guard: Some(Guard { gate, clock, told, turned_away, counters }) })
    }

    /// Takes a request in under the policy of this moment; none where the conductor goes by its configuration alone. While
    /// a change comes into force it waits here, for a third of a second at most. The planner has been told of the policy
    /// when this returns, so whatever is told it next is decided by that policy or a later one.
    pub async fn pass(&self, planner: &Planner) -> Result<Option<Arc<Active>>, TurnedAway> {
        let Some(guard) = &self.guard else { return Ok(None) };
        let mut changes = None;
        loop {
            match guard.gate.take(|| guard.clock.now()) {
                Ok(active) => {
                    guard.tell(&active, planner);
                    return Ok(Some(active));
                }
                // The first look at the changes is before the second look at the right: none between is missed.
                Err(Take::Hold(_)) if changes.is_none() => {
                    add(&guard.counters.held_at_door);
                    changes = Some(guard.gate.changes());
                }
                Err(Take::Hold(until)) => {
                    let left = span(until - guard.clock.now()).max(Duration::from_millis(1));
                    if let Some(changes) = &mut changes {
                        let _ = timeout(left, changes.changed()).await;
                    }
                }
                Err(_) => {
                    add(&guard.counters.turned_away);
                    return Err(TurnedAway(guard.come_back()));
                }
            }
        }
    }

    /// Whether nothing is taken in at this moment, nor soon.
    pub fn shut(&self) -> bool {
        let take = self.guard.as_ref().map(|guard| guard.gate.look(|gate| gate.take(guard.clock.now())));
        matches!(take, Some(Take::Refuse(_)))
    }

    /// Waits until this process is known to the others.
    pub async fn registered(&self) {
        let Some(guard) = &self.guard else { return };
        let mut changes = guard.gate.changes();
        while !guard.gate.look(|gate| gate.registered()) {
            if changes.changed().await.is_err() {
                return;
            }
        }
    }

    /// Keeps connections to what the policy in force says, for ever.
    pub async fn limit(self: Rc<Self>, intake: Rc<Intake>, pool: Rc<Pool>) {
        let Some(guard) = &self.guard else { return };
        let mut changes = guard.gate.changes();
        let mut seen = 0;
        while changes.changed().await.is_ok() {
            let active = guard.gate.active();
            if let Some(policy) = active.policy.as_ref().filter(|_| active.revision != seen) {
                seen = active.revision;
                intake.limit(policy.client_connections);
                pool.set_connection_limit(policy.instance_connections);
            }
        }
    }
}

impl Guard {
    fn tell(&self, active: &Active, planner: &Planner) {
        if self.told.replace(active.revision) != active.revision {
            planner.policy(active.settings.clone());
            self.counters.revision.set(active.revision);
        }
    }

    /// Spread, lest all that were turned away in one moment return in one.
    fn come_back(&self) -> Micros {
        let turn = self.turned_away.get();
        self.turned_away.set(turn.wrapping_add(1));
        // Steps of the golden ratio fill the range evenly however many there are.
        let part = (turn as f64 * 0.618_033_988_749_895).fract();
        COME_BACK.0 + ((COME_BACK.1 - COME_BACK.0) as f64 * part) as Micros
    }
}

/// The client's patience under this policy, which is no longer than its class's deadline there.
pub fn time_left(ask: &NewRequest, active: &Active) -> Micros {
    let Some(class) = active.settings.classes.get(ask.class.0).filter(|_| active.policy.is_some()) else {
        return ask.time_left;
    };
    let long = (2.0 * class.aim_per_1000 as f64 * ask.prompt_tokens / 1_000.0) as Micros;
    let writing =
        if ask.is_unary { (ask.max_output_tokens * class.token_aim as f64 * 2.0) as Micros } else { 0 };
    ask.time_left.min(class.deadline.saturating_add(long).saturating_add(writing))
}

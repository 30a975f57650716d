//! The one thing that the serving thread and the ledger's share: the right to take requests, and the policy in force.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use tokio::sync::watch;

use super::gate::{Gate, Take};
use super::policy::Policy;
use super::report::Report;
use super::state::Revision;
use crate::api::{Micros, Settings};

/// A policy in force.
#[derive(Clone, Debug)]
pub struct Active {
    /// Its revision; 0 for the conductor's own configuration.
    pub revision: Revision,
    /// The document, checked; none for revision 0.
    pub policy: Option<Policy>,
    /// The module's settings under it.
    pub settings: Settings,
}

struct Inner {
    gate: Gate,
    active: Arc<Active>,
}

/// The right to take requests, judged and changed under one lock: when a change says that this conductor is fenced, no
/// request is being judged by what held before.
pub struct SharedGate {
    inner: Mutex<Inner>,
    changed: watch::Sender<()>,
}

impl SharedGate {
    /// The right of a process that starts with these settings.
    pub fn new(gate: Gate, settings: Settings) -> Self {
        let active = Arc::new(Active { revision: 0, policy: None, settings });
        SharedGate { inner: Mutex::new(Inner { gate, active }), changed: watch::Sender::new(()) }
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Judges a request that is here now; `now` is read under the lock.
    pub fn take(&self, now: impl FnOnce() -> Micros) -> Result<Arc<Active>, Take> {
        let inner = self.lock();
        match inner.gate.take(now()) {
            Take::Under(_) => Ok(inner.active.clone()),
            not => Err(not),
        }
    }

    /// Changes the gate, and the policy with it where that is given.
    pub fn change<T>(&self, active: Option<Arc<Active>>, how: impl FnOnce(&mut Gate) -> T) -> T {
        let mut inner = self.lock();
        let done = how(&mut inner.gate);
        if let Some(active) = active {
            inner.active = active;
        }
        drop(inner);
        self.changed.send_replace(());
        done
    }

    /// Looks at the gate.
    pub fn look<T>(&self, at: impl FnOnce(&Gate) -> T) -> T {
        at(&self.lock().gate)
    }

    /// This conductor's word to the leader.
    pub fn report(&self, now: Micros) -> Report {
        self.lock().gate.report(now)
    }

    /// The policy in force.
    pub fn active(&self) -> Arc<Active> {
        self.lock().active.clone()
    }

    /// Tells of each change of the right.
    pub fn changes(&self) -> watch::Receiver<()> {
        self.changed.subscribe()
    }
}

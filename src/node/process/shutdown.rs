//! The end of the process: what arrives is still taken, all is finished, then the process ends.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use tokio::signal::unix::{SignalKind, signal};
use tokio::sync::watch;

use super::readiness::{Happening, Readiness};

/// For so long after SIGTERM clients may still open connections.
pub const STILL_ARRIVING: Duration = Duration::from_millis(1_000);
/// For so long after SIGTERM streams run on; SIGKILL comes after 3.7 s at the soonest, and their clients need the time
/// between to find another conductor.
pub const STILL_STREAMING: Duration = Duration::from_millis(2_300);

/// Holds where the process stands, and counts what must be finished before it ends.
#[derive(Clone)]
pub struct Shutdown {
    readiness: watch::Sender<Readiness>,
    open: Rc<Open>,
}

#[derive(Default)]
struct Open {
    count: Cell<usize>,
    none: tokio::sync::Notify,
}

/// Something that must be finished before the process ends.
pub struct Pending(Rc<Open>);

impl Drop for Pending {
    fn drop(&mut self) {
        self.0.count.set(self.0.count.get() - 1);
        if self.0.count.get() == 0 {
            self.0.none.notify_waiters();
        }
    }
}

impl Default for Shutdown {
    fn default() -> Self {
        Shutdown { readiness: watch::Sender::new(Readiness::default()), open: Rc::default() }
    }
}

impl Shutdown {
    /// Where the process stands.
    pub fn readiness(&self) -> Readiness {
        *self.readiness.borrow()
    }

    /// Takes in what happened to the process as a whole.
    pub fn note(&self, happening: Happening) {
        self.readiness.send_if_modified(|now| {
            let after = now.after(happening);
            let moved = (now.stage(), after.stage());
            if moved.0 != moved.1 {
                tracing::info!("readiness: {}, was {}", moved.1.name(), moved.0.name());
            }
            std::mem::replace(now, after) != after
        });
    }

    /// Waits until this holds of where the process stands.
    pub async fn once(&self, holds: impl Fn(Readiness) -> bool) {
        let _ = self.readiness.subscribe().wait_for(|now| holds(*now)).await;
    }

    /// Marks something as unfinished until the result is dropped.
    pub fn pending(&self) -> Pending {
        self.open.count.set(self.open.count.get() + 1);
        Pending(self.open.clone())
    }

    /// Waits for SIGTERM or SIGINT, then until all that still arrives is finished.
    pub async fn run(&self) -> std::io::Result<()> {
        let (mut term, mut int) = (signal(SignalKind::terminate())?, signal(SignalKind::interrupt())?);
        tokio::select! {
            _ = term.recv() => {}
            _ = int.recv() => {}
        }
        self.finish().await;
        Ok(())
    }

    /// Ends: takes what still arrives, and waits until all is finished.
    pub async fn finish(&self) {
        tracing::info!("shutdown: begun, {} listeners, connections and requests open", self.open.count.get());
        self.note(Happening::End);
        tokio::time::sleep(STILL_ARRIVING).await;
        loop {
            let none = self.open.none.notified();
            if self.open.count.get() == 0 {
                return;
            }
            none.await;
        }
    }
}

//! The end of the process: what arrives is still taken, all is finished, then the process ends.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use tokio::signal::unix::{SignalKind, signal};
use tokio::sync::watch;

/// For so long after SIGTERM clients may still open connections.
pub const STILL_ARRIVING: Duration = Duration::from_millis(1_000);

/// Tells whether the process is ending, and counts what must be finished first.
#[derive(Clone)]
pub struct Shutdown {
    ending: watch::Sender<bool>,
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
        Shutdown { ending: watch::Sender::new(false), open: Rc::default() }
    }
}

impl Shutdown {
    /// Whether the process is ending.
    pub fn ending(&self) -> bool {
        *self.ending.borrow()
    }

    /// Waits until the process is ending.
    pub async fn begun(&self) {
        let _ = self.ending.subscribe().wait_for(|ending| *ending).await;
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
        tracing::info!("shutdown: begun, {} connections and requests open", self.open.count.get());
        self.ending.send_replace(true);
        tokio::time::sleep(STILL_ARRIVING).await;
        loop {
            let none = self.open.none.notified();
            if self.open.count.get() == 0 {
                return Ok(());
            }
            none.await;
        }
    }
}

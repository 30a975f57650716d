//! The end of the process: what arrives is still taken, all is finished, then the process ends.

use std::cell::{Cell, OnceCell};
use std::rc::Rc;

use tokio::signal::unix::{Signal, SignalKind, signal};
use tokio::sync::watch;
use tokio::time::{Instant, sleep_until};

use super::readiness::{Happening, Readiness};
use super::schedule::{GracePeriod, ShutdownSchedule};
use crate::api::NewRequest;
use crate::node::to_duration;

/// The signals that end the process.
pub struct EndSignals {
    terminate: Signal,
    interrupt: Signal,
}

impl EndSignals {
    /// Catches them from now on: none ends the process over its head.
    pub fn catch() -> std::io::Result<Self> {
        let (terminate, interrupt) = (signal(SignalKind::terminate())?, signal(SignalKind::interrupt())?);
        Ok(EndSignals { terminate, interrupt })
    }

    /// Waits for the next one.
    async fn next(&mut self) {
        tokio::select! {
            _ = self.terminate.recv() => {}
            _ = self.interrupt.recv() => {}
        }
    }
}

/// Holds where the process stands and the schedule of its shutdown, and counts what must be finished before it ends.
#[derive(Clone)]
pub struct Shutdown {
    readiness: watch::Sender<Readiness>,
    grace: GracePeriod,
    /// Set before the readiness says that the process ends.
    schedule: Rc<OnceCell<ShutdownSchedule>>,
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

impl Shutdown {
    /// For a process that is killed no sooner than this after it is told to end.
    pub fn new(grace: GracePeriod) -> Self {
        let readiness = watch::Sender::new(Readiness::default());
        Shutdown { readiness, grace, schedule: Rc::default(), open: Rc::default() }
    }

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

    /// Waits until the shutdown begins.
    pub async fn begun(&self) -> ShutdownSchedule {
        loop {
            self.once(Readiness::ending).await;
            if let Some(schedule) = self.schedule.get() {
                return *schedule;
            }
        }
    }

    /// Waits until this step of a shutdown is due.
    pub async fn due(&self, step: impl Fn(ShutdownSchedule) -> Instant) {
        let at = step(self.begun().await);
        sleep_until(at).await;
    }

    /// Whether a request that has come whole now is taken in. In a shutdown those are not that come late, nor those whose one
    /// answer may take longer than there is time for: nothing was sent for them, so they may be repeated elsewhere.
    pub fn takes(&self, ask: &NewRequest) -> bool {
        let Some(schedule) = self.schedule.get() else { return true };
        let now = Instant::now();
        now < schedule.requests_until
            && (!ask.is_unary || now + to_duration(ask.time_left) <= schedule.answers_until)
    }

    /// Waits for a signal that ends the process, then until all that still arrives is finished. Further signals change nothing.
    pub async fn run(&self, mut signals: EndSignals) {
        signals.next().await;
        let mut finished = std::pin::pin!(self.finish());
        loop {
            tokio::select! {
                biased;
                () = &mut finished => return,
                () = signals.next() => tracing::info!("shutdown: told again to end, goes on"),
            }
        }
    }

    /// Ends: takes what still arrives, and waits until all is finished.
    pub async fn finish(&self) {
        tracing::info!("shutdown: begun, {} listeners, connections and requests open", self.open.count.get());
        let schedule = *self.schedule.get_or_init(|| ShutdownSchedule::new(Instant::now(), self.grace));
        self.note(Happening::End);
        sleep_until(schedule.accept_until).await;
        loop {
            let none = self.open.none.notified();
            if self.open.count.get() == 0 {
                return;
            }
            none.await;
        }
    }
}

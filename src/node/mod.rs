//! The real conductor: fronts take requests in, one task lives each request, planners decide.
//!
//! A request passes through the modules in this order: a [`front`] reads and checks it, its task in
//! [`request`] asks a [`planner`] what to do, and [`upstream`] plays its exchanges with instances. Beside that stand
//! the fleet's [`list`] and the life of the [`process`] itself.

pub mod counters;
pub mod front;
pub mod list;
pub mod log_sampler;
pub mod planner;
pub mod policy_gate;
pub mod process;
pub mod request;
#[cfg(feature = "cluster")]
pub mod shared;
pub mod uninterrupted;
pub mod upstream;

use std::rc::Rc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use tokio::time::Instant;

use crate::api::{HostId, Micros};
use list::start_times::ClockReading;

/// Two clocks are read together within this, in microseconds...
const READ_WITHIN: Micros = 1_000;
/// ...or after so many tries.
const READ_TRIES: u32 = 5;

/// The module's clock. It begins at the Unix time in microseconds and goes on with the monotonic clock, whatever becomes of the
/// wall clock.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    base: Micros,
    start: Instant,
}

impl Clock {
    /// A clock that starts now.
    pub fn start() -> Self {
        Self::going_on_from(unix_micros())
    }

    /// A clock that shows this now, as another process's does.
    pub fn going_on_from(now: Micros) -> Self {
        Clock { base: now, start: Instant::now() }
    }

    /// The module's time.
    pub fn now(&self) -> Micros {
        self.base + self.start.elapsed().as_micros() as Micros
    }

    /// A moment on the module's clock.
    pub fn at(&self, moment: Instant) -> Micros {
        self.base + moment.saturating_duration_since(self.start).as_micros() as Micros
    }

    /// Unix time in milliseconds, as the wall clock has it in this moment.
    pub fn unix_ms(&self) -> i64 {
        self.read().unix / 1_000
    }

    /// Both clocks in one moment: a reading within which the process did not run is made again.
    pub fn read(&self) -> ClockReading {
        let mut tries = 0;
        loop {
            let reading = ClockReading { monotonic: self.now(), unix: unix_micros() };
            tries += 1;
            if self.now() - reading.monotonic < READ_WITHIN || tries == READ_TRIES {
                return reading;
            }
        }
    }
}

/// The wall clock, in microseconds of Unix time.
fn unix_micros() -> Micros {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_micros() as Micros
}

/// A duration of the module as the timers take it; one below zero has run out.
pub fn span(micros: Micros) -> Duration {
    Duration::from_micros(u64::try_from(micros).unwrap_or(0))
}

/// One fleet with its planner: all that the requests of one front need.
#[derive(Clone)]
pub struct Core {
    /// Decides.
    pub planner: planner::Planner,
    /// Talks to the instances.
    pub upstream: Rc<upstream::attempt::Upstream>,
    /// Counts.
    pub counters: Rc<counters::Counters>,
    /// Takes requests in.
    pub policy_gate: Rc<policy_gate::PolicyGate>,
}

/// Tells the log of an instance that fails again and again.
pub fn log_suspect(core: &Core, host: HostId, failures: u32) {
    let instance = core.upstream.pool().instance_name(host);
    tracing::warn!(%instance, failures, "planner: fails again and again, single trials only");
}

/// Carries out what a planner wants of the fleet as a whole.
pub async fn tend_fleet(core: Core, mut orders: tokio::sync::mpsc::UnboundedReceiver<planner::FleetOrder>) {
    while let Some(order) = orders.recv().await {
        match order {
            planner::FleetOrder::Close(host) => core.upstream.pool().close_idle(host),
            // Nobody else is to know.
            planner::FleetOrder::Failed(_) => {}
            planner::FleetOrder::Suspect(host, failures) => log_suspect(&core, host, failures),
            planner::FleetOrder::Probe(host) => {
                let core = core.clone();
                tokio::task::spawn_local(async move {
                    let (outcome, load) = core.upstream.probe(host).await;
                    core.planner.probed(host, outcome, load);
                });
            }
        }
    }
}

//! The network side of a conductor: its fronts accept requests, each request has a task of its own, and a planner decides
//! for all of them.
//!
//! A request passes through the modules in this order: a [`front`] reads and checks it, its task in [`request`] gets its
//! commands from a [`planner`], and [`upstream`] carries out its exchanges with instances. The [`list`] of the fleet's
//! instances and the life cycle of the [`process`] are kept beside that.

pub mod answer_stream;
pub mod counters;
pub mod front;
pub mod list;
pub mod log_sampler;
pub mod planner;
pub mod policy_gate;
pub mod process;
pub mod request;
pub mod request_ids;
#[cfg(feature = "cluster")]
pub mod shared;
pub mod uninterrupted;
pub mod upstream;

use std::rc::Rc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use tokio::time::Instant;

use crate::api::{HostId, Micros};
use list::start_times::ClockReading;

/// Longest time that reading both clocks may take for the two values to count as simultaneous, in microseconds.
const MAX_CLOCK_READ_US: Micros = 1_000;
/// Number of attempts to read both clocks; the result of the last one is used however long it took.
const MAX_CLOCK_READ_ATTEMPTS: u32 = 5;

/// The clock of the decision module. It starts at the current Unix time in microseconds and advances with the monotonic
/// clock, so steps of the wall clock do not affect it.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    origin_us: Micros,
    origin: Instant,
}

impl Clock {
    /// Starts a clock at the current Unix time.
    pub fn start() -> Self {
        Self::continuing_from(unix_micros())
    }

    /// Starts a clock that now shows the given time, such as that of another process's clock.
    pub fn continuing_from(now: Micros) -> Self {
        Clock { origin_us: now, origin: Instant::now() }
    }

    /// Returns the current time of this clock in microseconds.
    pub fn now(&self) -> Micros {
        self.origin_us + self.origin.elapsed().as_micros() as Micros
    }

    /// Converts an instant to microseconds on this clock.
    pub fn micros_at(&self, instant: Instant) -> Micros {
        self.origin_us + instant.saturating_duration_since(self.origin).as_micros() as Micros
    }

    /// Returns the current Unix time in milliseconds by the wall clock.
    pub fn unix_ms(&self) -> i64 {
        self.read_both().unix / 1_000
    }

    /// Reads this clock and the wall clock together. The reading is repeated if it took so long that the process was
    /// probably suspended in between.
    pub fn read_both(&self) -> ClockReading {
        let mut attempts = 0;
        loop {
            let reading = ClockReading { monotonic: self.now(), unix: unix_micros() };
            attempts += 1;
            if self.now() - reading.monotonic < MAX_CLOCK_READ_US || attempts == MAX_CLOCK_READ_ATTEMPTS {
                return reading;
            }
        }
    }
}

/// Returns the Unix time in microseconds by the wall clock.
fn unix_micros() -> Micros {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_micros() as Micros
}

/// Converts microseconds to a duration for timers; a negative value becomes zero.
pub fn to_duration(micros: Micros) -> Duration {
    Duration::from_micros(u64::try_from(micros).unwrap_or(0))
}

/// What the requests of one front need: a fleet, its planner, its counters and its policy gate.
#[derive(Clone)]
pub struct Core {
    /// Decides what happens to each request.
    pub planner: planner::Planner,
    /// Talks to the instances.
    pub upstream: Rc<upstream::attempt::Upstream>,
    /// The counters of the process.
    pub counters: Rc<counters::Counters>,
    /// Admits requests under the policy in force.
    pub policy_gate: Rc<policy_gate::PolicyGate>,
}

/// Logs that an instance has failed several times in a row.
pub fn log_suspect(core: &Core, host: HostId, failures: u32) {
    let instance = core.upstream.pool().instance_name(host);
    tracing::warn!(%instance, failures, "planner: instance fails repeatedly; it gets one attempt at a time");
}

/// Carries out a planner's commands for the fleet as a whole, until the planner ends.
pub async fn run_fleet_commands(
    core: Core, mut commands: tokio::sync::mpsc::UnboundedReceiver<planner::FleetCommand>,
) {
    while let Some(command) = commands.recv().await {
        match command {
            planner::FleetCommand::CloseIdleConnections(host) => core.upstream.pool().close_idle(host),
            // Without shared state there is no other conductor to report the failure to.
            planner::FleetCommand::ReportFailure(_) => {}
            planner::FleetCommand::ReportSuspect(host, failures) => log_suspect(&core, host, failures),
            planner::FleetCommand::Probe(host) => {
                let core = core.clone();
                tokio::task::spawn_local(async move {
                    let (outcome, load) = core.upstream.probe(host).await;
                    core.planner.probe_ended(host, outcome, load);
                });
            }
        }
    }
}

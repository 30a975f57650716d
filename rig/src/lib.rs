//! Starts real conductors on loopback with stand-in instances and discovery, sends them load, breaks things between them,
//! and checks the history of what clients, instances and operators saw. It knows the program by its sockets alone.

pub mod bad_clients;
pub mod check;
pub mod conductor;
pub mod faults;
pub mod fleet;
pub mod load;
pub mod measure;
pub mod measure_state;
pub mod policy;
pub mod replicate;
pub mod slow_servers;
pub mod soak;
pub mod stand_ins;

use std::time::Instant;

/// Microseconds since the rig's start: one clock for all that a history holds.
pub type Micros = u64;

/// The rig's clock.
#[derive(Clone, Copy, Debug)]
pub struct Clock(Instant);

impl Default for Clock {
    fn default() -> Self {
        Clock(Instant::now())
    }
}

impl Clock {
    /// Now.
    pub fn now(&self) -> Micros {
        self.0.elapsed().as_micros() as Micros
    }
}

//! How many requests one connection may bring that are not served. It does no I/O and takes time as an argument.

use tokio::time::Instant;

/// Requests in a row that may go unserved at any pace.
const MAX_BURST: f64 = 64.0;
/// Requests a second that may go unserved in the long run.
const MAX_UNSERVED_PER_S: f64 = 64.0;

/// The pace of one connection. Served requests are as fast as instances are; one that is refused takes its client no time, and may
/// have cost the fleet a connection and the read of a prompt.
#[derive(Clone, Copy, Debug)]
pub struct Pace {
    /// Requests that may go unserved now.
    allowed: f64,
    updated_at: Instant,
}

impl Pace {
    /// The pace of a new connection.
    pub fn new(now: Instant) -> Self {
        Pace { allowed: MAX_BURST, updated_at: now }
    }

    /// Returns whether a request may be sent on now.
    pub fn admits(&mut self, now: Instant) -> bool {
        let regained = now.saturating_duration_since(self.updated_at).as_secs_f64() * MAX_UNSERVED_PER_S;
        self.allowed = (self.allowed + regained).min(MAX_BURST);
        self.updated_at = now;
        self.allowed >= 1.0
    }

    /// A request that was admitted has not been served.
    pub fn note_unserved(&mut self) {
        self.allowed -= 1.0;
    }
}

#[cfg(test)]
mod tests;

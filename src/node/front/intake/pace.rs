//! How fast one connection may bring requests that are sent on. It does no I/O and takes time as an argument.

use tokio::time::Instant;

/// Requests that one connection may bring in a row at any pace.
const MAX_BURST: f64 = 64.0;
/// Requests a second that one connection may bring in the long run. A connection carries one request at a time, and an answer
/// takes tens of milliseconds at least.
const MAX_REQUESTS_PER_S: f64 = 64.0;

/// The pace of one connection.
#[derive(Clone, Copy, Debug)]
pub struct Pace {
    /// Requests that may come now.
    allowed: f64,
    updated_at: Instant,
}

impl Pace {
    /// The pace of a new connection.
    pub fn new(now: Instant) -> Self {
        Pace { allowed: MAX_BURST, updated_at: now }
    }

    /// Counts one request, and returns whether it may be sent on.
    pub fn admits(&mut self, now: Instant) -> bool {
        let regained = now.saturating_duration_since(self.updated_at).as_secs_f64() * MAX_REQUESTS_PER_S;
        self.allowed = (self.allowed + regained).min(MAX_BURST);
        self.updated_at = now;
        let is_admitted = self.allowed >= 1.0;
        if is_admitted {
            self.allowed -= 1.0;
        }
        is_admitted
    }
}

#[cfg(test)]
mod tests;

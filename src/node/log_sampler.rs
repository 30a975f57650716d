//! Rate limit for repeated log events: one event of a kind is logged each second, with the number of those suppressed
//! since the previous one.

use std::cell::Cell;
use std::time::Duration;

use tokio::time::Instant;

/// Least time between two logged events of a kind.
const MIN_LOG_INTERVAL: Duration = Duration::from_secs(1);

/// Decides which events of one kind are logged.
#[derive(Debug, Default)]
pub struct LogSampler {
    last_logged_at: Cell<Option<Instant>>,
    suppressed: Cell<u64>,
}

impl LogSampler {
    /// Decides whether an event that happens now is logged. If so, returns how many were suppressed since the last logged one.
    pub fn sample(&self) -> Option<u64> {
        let now = Instant::now();
        if self.last_logged_at.get().is_some_and(|last_logged_at| now < last_logged_at + MIN_LOG_INTERVAL) {
            self.suppressed.set(self.suppressed.get() + 1);
            return None;
        }
        self.last_logged_at.set(Some(now));
        Some(self.suppressed.take())
    }
}

#[cfg(test)]
mod tests;

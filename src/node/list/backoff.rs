//! Exponential backoff with jitter, for calls that many conductors retry at the same time.

use std::time::Duration;

use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Exponential backoff with jitter for one retried operation. It does no I/O and reads no clock.
///
/// A hundred conductors may lose the same service at the same moment. Each delay lies between half and the whole of a
/// bound that grows with each failure, at a point drawn from the conductor's seed, so that the retries spread out.
#[derive(Clone, Debug)]
pub struct Backoff {
    initial_delay: Duration,
    max_delay: Duration,
    seed: u64,
    failures: u32,
    draws: u64,
}

/// Factor by which each consecutive failure increases the bound of the delay.
const GROWTH_FACTOR: u32 = 3;
/// An operation that worked for this many times the bound counts as recovered: its next failure is a first one again.
const RECOVERY_FACTOR: u32 = 2;

impl Backoff {
    /// Creates a backoff with delays of up to `initial_delay` after one failure and up to `max_delay` after many.
    pub fn new(initial_delay: Duration, max_delay: Duration, seed: u64) -> Self {
        Backoff { initial_delay, max_delay, seed, failures: 0, draws: 0 }
    }

    /// Counts a failure and returns the delay before the next try. `worked_for` is how long the operation worked before it
    /// failed, zero if it never did. The delay is at most `limit`, and has jitter then as well.
    pub fn next_delay(&mut self, worked_for: Duration, limit: Duration) -> Duration {
        // A service that accepts a call and drops it at once is as overloaded as one that refuses it.
        if worked_for >= self.delay_bound() * RECOVERY_FACTOR {
            self.failures = 0;
        }
        self.failures = self.failures.saturating_add(1);
        let share = self.draw();
        self.delay_bound().min(limit).mul_f64(0.5 + 0.5 * share)
    }

    /// Returns a delay drawn uniformly from zero to `limit`, regardless of earlier failures: work with a deadline is spread over
    /// the time that is left.
    pub fn random_delay(&mut self, limit: Duration) -> Duration {
        limit.mul_f64(self.draw())
    }

    /// Returns the next pseudo-random number in [0, 1).
    fn draw(&mut self) -> f64 {
        self.draws += 1;
        let draw = xxh3_64_with_seed(&self.draws.to_le_bytes(), self.seed);
        (draw >> 11) as f64 / (1u64 << 53) as f64
    }

    /// Forgets all failures, for example when the service has moved to another address.
    pub fn reset(&mut self) {
        self.failures = 0;
    }

    fn delay_bound(&self) -> Duration {
        let growth = GROWTH_FACTOR.saturating_pow(self.failures.saturating_sub(1).min(16));
        self.initial_delay.saturating_mul(growth).min(self.max_delay)
    }
}

#[cfg(test)]
mod tests;

//! How long to wait before the next try at something that many ask for at once.

use std::time::Duration;

use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Exponential backoff with jitter, for one thing that is tried again and again. It does no I/O and reads no clock.
///
/// A hundred conductors lose the same service in the same moment. Each wait lies between half and the whole of a
/// bound that grows with each failure, at a place drawn from the conductor's seed, so the tries spread out.
#[derive(Clone, Debug)]
pub struct Backoff {
    first: Duration,
    most: Duration,
    seed: u64,
    failures: u32,
    draws: u64,
}

/// Each failure in a row makes the bound so many times as long.
const GROWTH: u32 = 3;
/// What lasted for so many times the bound is taken to work: the next failure is a first one again.
const LASTED: u32 = 2;

impl Backoff {
    /// Waits of up to `first` after one failure, and of up to `most` after many.
    pub fn new(first: Duration, most: Duration, seed: u64) -> Self {
        Backoff { first, most, seed, failures: 0, draws: 0 }
    }

    /// The wait after a try that went well for so long before it failed; zero for one that never did. It is `at_most` so long,
    /// and spread then as well.
    pub fn after(&mut self, worked_for: Duration, at_most: Duration) -> Duration {
        // A service that takes a call and drops it at once is as overbooked as one that refuses it.
        if worked_for >= self.bound() * LASTED {
            self.failures = 0;
        }
        self.failures = self.failures.saturating_add(1);
        let share = self.draw();
        self.bound().min(at_most).mul_f64(0.5 + 0.5 * share)
    }

    /// Anywhere up to this long, whatever failed before: what must be done by a time is spread over the time that is left.
    pub fn within(&mut self, bound: Duration) -> Duration {
        bound.mul_f64(self.draw())
    }

    fn draw(&mut self) -> f64 {
        self.draws += 1;
        let draw = xxh3_64_with_seed(&self.draws.to_le_bytes(), self.seed);
        (draw >> 11) as f64 / (1u64 << 53) as f64
    }

    /// Starts over: what failed has moved elsewhere.
    pub fn reset(&mut self) {
        self.failures = 0;
    }

    fn bound(&self) -> Duration {
        let growth = GROWTH.saturating_pow(self.failures.saturating_sub(1).min(16));
        self.first.saturating_mul(growth).min(self.most)
    }
}

#[cfg(test)]
mod tests;

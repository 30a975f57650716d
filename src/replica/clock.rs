//! Bounded hybrid logical clocks (Kulkarni et al., 2014). They order the writes of different conductors
//! although their clocks differ, and limit the effect of a clock that jumps ahead.

use serde::{Deserialize, Serialize};

use super::Owner;
use crate::api::Micros;

/// A timestamp that is further ahead of the local clock than this is rejected, in microseconds.
pub const MAX_CLOCK_SKEW_US: Micros = 10_000_000;

/// A hybrid logical timestamp: when something was written, and by whom. The greatest timestamp is the latest.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Timestamp {
    /// The physical time of the write, in microseconds.
    #[serde(rename = "at")]
    pub time: Micros,
    /// The logical counter, which orders writes with the same physical time.
    #[serde(rename = "turn")]
    pub counter: u32,
    /// The conductor that wrote.
    #[serde(rename = "by")]
    pub writer: Owner,
}

impl Timestamp {
    /// Returns whether the timestamp is at most [`MAX_CLOCK_SKEW_US`] ahead of `now`.
    pub fn is_credible(&self, now: Micros) -> bool {
        self.time <= now.saturating_add(MAX_CLOCK_SKEW_US)
    }
}

/// The hybrid logical clock of one writer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct HybridClock {
    latest: Timestamp,
}

impl HybridClock {
    /// Returns the clock of a writer that has written nothing yet.
    pub fn new(writer: Owner) -> Self {
        HybridClock { latest: Timestamp { time: Micros::MIN, counter: 0, writer } }
    }

    /// Returns a timestamp for a write at `now` that is later than all timestamps issued or observed here. If
    /// the physical clock was set back by more than [`MAX_CLOCK_SKEW_US`], the clock restarts at `now`,
    /// because other replicas reject the timestamps that it issued before.
    pub fn next_timestamp(&mut self, now: Micros) -> Timestamp {
        let Timestamp { time, counter, writer } = self.latest;
        self.latest = if now > time || !self.latest.is_credible(now) {
            Timestamp { time: now, counter: 0, writer }
        } else {
            Timestamp { time, counter: counter.saturating_add(1), writer }
        };
        self.latest
    }

    /// Advances the clock past another writer's timestamp, unless that timestamp is not credible.
    pub fn observe(&mut self, now: Micros, observed: Timestamp) {
        if observed.is_credible(now)
            && (observed.time, observed.counter) > (self.latest.time, self.latest.counter)
        {
            (self.latest.time, self.latest.counter) = (observed.time, observed.counter);
        }
    }
}

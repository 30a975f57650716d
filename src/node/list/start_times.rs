//! Start times of instances on the monotonic clock. Discovery reports a start as Unix time, but the wall clock may be stepped
//! forward or back, by seconds or by an hour, at any time, also between a start and its report. A start that was converted to
//! the monotonic clock once therefore keeps its value. The module does no I/O and reads no clock.

use std::collections::{HashMap, VecDeque};

use crate::api::Micros;

/// Smallest change of the offset between the clocks that counts as a step; a smaller one comes from slewing or a slow reading.
const MIN_CLOCK_STEP_US: Micros = 400_000;
/// How long after a step was noticed a start may still be reported by the clock from before it.
const OLD_OFFSET_RETENTION_US: Micros = 60_000_000;
/// Number of offsets that are kept, the current one included.
const MAX_OFFSETS: usize = 8;

/// Both clocks, read at the same moment.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ClockReading {
    /// The decision module's clock, which is monotonic.
    pub monotonic: Micros,
    /// The wall clock, as Unix time in microseconds.
    pub unix: Micros,
}

/// An offset between the wall clock and the monotonic clock.
#[derive(Clone, Copy, Debug)]
struct ClockOffset {
    /// How far the wall clock was ahead of the monotonic clock.
    ahead: Micros,
    /// When the step was noticed that ended this offset; none for the current one.
    ended_at: Option<Micros>,
}

/// The last start of an instance.
#[derive(Clone, Copy, Debug)]
struct Start {
    /// The start as reported, in Unix milliseconds.
    reported_ms: i64,
    /// The start on the monotonic clock.
    started_at: Micros,
}

/// Converts start times of instances to the monotonic clock.
#[derive(Debug, Default)]
pub struct StartTimes {
    /// The offsets of the clocks, the latest first.
    offsets: VecDeque<ClockOffset>,
    starts: HashMap<String, Start>,
}

impl StartTimes {
    /// Takes a reading of the clocks, and detects a step of the wall clock since the last one.
    pub fn update_clock(&mut self, reading: ClockReading) {
        let ahead = reading.unix - reading.monotonic;
        match self.offsets.front_mut() {
            Some(offset) if (offset.ahead - ahead).abs() < MIN_CLOCK_STEP_US => offset.ahead = ahead,
            latest => {
                if let Some(offset) = latest {
                    tracing::warn!("clock: wall clock stepped by {} ms", (ahead - offset.ahead) / 1_000);
                    offset.ended_at = Some(reading.monotonic);
                }
                self.offsets.push_front(ClockOffset { ahead, ended_at: None });
            }
        }
        let is_recent =
            |ended_at: Micros| reading.monotonic < ended_at.saturating_add(OLD_OFFSET_RETENTION_US);
        self.offsets.retain(|offset| offset.ended_at.is_none_or(is_recent));
        self.offsets.truncate(MAX_OFFSETS);
    }

    /// Converts the start of an instance, reported in Unix milliseconds, to the monotonic clock. Returns none for 0, which means
    /// long ago. If several offsets may apply, the latest start not after `now` is taken: a cold instance must not be taken for a
    /// warm one.
    pub fn start_time(&mut self, now: Micros, id: &str, reported_ms: i64) -> Option<Micros> {
        if reported_ms <= 0 {
            self.starts.remove(id);
            return None;
        }
        if let Some(known) = self.starts.get(id).filter(|known| known.reported_ms == reported_ms) {
            return Some(known.started_at);
        }
        let reported = reported_ms.saturating_mul(1_000);
        let candidates = self.offsets.iter().map(|offset| reported.saturating_sub(offset.ahead));
        let started_at = candidates.filter(|started_at| *started_at <= now).max().unwrap_or(now);
        self.starts.insert(id.to_owned(), Start { reported_ms, started_at });
        Some(started_at)
    }

    /// Records that an instance started now. This holds until another start than `reported_ms` is reported for it.
    pub fn record_restart(&mut self, now: Micros, id: &str, reported_ms: i64) {
        self.starts.insert(id.to_owned(), Start { reported_ms, started_at: now });
    }

    /// Removes all instances but the listed ones.
    pub fn retain(&mut self, is_listed: impl Fn(&str) -> bool) {
        self.starts.retain(|id, _| is_listed(id));
    }

    /// Removes an instance.
    pub fn remove(&mut self, id: &str) {
        self.starts.remove(id);
    }
}

#[cfg(test)]
mod tests;

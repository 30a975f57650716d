//! The schedule of calls to discovery: the delay before each call, its timeouts, and the deadlines for a change to reach this
//! conductor.
//!
//! Discovery is either an agent on the conductor's own machine or, with `ask_for_list`, a service that all conductors share.
//! `docs/LISTS.md` derives the figures: for each way in which a change arrives, when it counts as announced and which of these
//! delays keeps that deadline. The module does no I/O and reads no clock.

use std::time::Duration;

use super::backoff::Backoff;
use crate::api::Settings;
use crate::node::to_duration;

/// Interval at which a watch sends an empty line while nothing changes.
pub const WATCH_LINE_INTERVAL: Duration = Duration::from_secs(2);
/// A change that a watch misses counts as announced this long after the watch fell silent; any other change, this long after
/// discovery has it.
pub const ANNOUNCEMENT_DELAY: Duration = Duration::from_secs(6);
/// After a change of discovery's address, its contents count as announced this long after SIGHUP.
pub const ANNOUNCEMENT_DELAY_AFTER_MOVE: Duration = Duration::from_secs(4);
/// Time for a shared service to accept and answer a call. Calls queue there, and a call that is abandoned has cost the service
/// its work for nothing.
const SHARED_CALL_TIMEOUT: Duration = Duration::from_secs(2);
/// Longest time from the last call to a shared service, or the last line received from it, to the next call. Together with
/// [`SHARED_CALL_TIMEOUT`] it keeps every change within [`ANNOUNCEMENT_DELAY`], whatever the outcome of the calls.
const MAX_CALL_GAP: Duration = ANNOUNCEMENT_DELAY.saturating_sub(SHARED_CALL_TIMEOUT);
/// Time by which a line of a shared service may be late before the watch counts as lost.
const SHARED_LINE_TOLERANCE: Duration = Duration::from_millis(600);
/// Shortest and longest interval between calls to an agent, whatever drain grace the settings give.
const AGENT_STEP_RANGE: (Duration, Duration) = (Duration::from_millis(25), Duration::from_millis(250));
/// Number of steps in the drain grace: one call at the last moment before a change, one after it, and room for both.
const STEPS_PER_GRACE: u32 = 4;
/// One in this many calls to an agent gets the timeout of a shared service: an agent on a machine short of CPU time is slow.
const LONG_CALL_EVERY: u32 = 8;
/// Shortest interval between calls with the long timeout, which bounds the number of them that are open at once.
const MIN_LONG_CALL_INTERVAL: Duration = Duration::from_millis(500);
/// Upper bound of the delay after the first failed call to a shared service, for each conductor whose call may have failed at the
/// same time. The product is limited to [`MAX_CALL_GAP`], as all later delays are.
const FAILED_CALL_DELAY_PER_CONDUCTOR: Duration = Duration::from_millis(50);

/// Why discovery has to be called.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallReason {
    /// The process has just started.
    Start,
    /// The address of discovery changed.
    AddressChanged,
    /// A watch fell silent, ended or broke.
    WatchLost,
    /// A call could not connect or was not answered in time.
    CallFailed,
    /// A call was refused because the service is overloaded.
    Refused,
}

/// The timeouts of a call, each measured from its start.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CallTimeouts {
    /// Time until the answer: the response head of a watch, or the whole of a full list.
    pub answer: Duration,
    /// Time until the first bytes on a watch, which sends a line at least every [`WATCH_LINE_INTERVAL`].
    pub first_bytes: Duration,
}

/// The schedule of one conductor's calls to discovery.
#[derive(Clone, Debug)]
pub struct CallSchedule {
    /// Interval between calls to an agent; none for a shared service.
    agent_step: Option<Duration>,
    backoff: Backoff,
    call_count: u32,
}

impl CallSchedule {
    /// Creates the schedule for these settings.
    pub fn new(settings: &Settings, seed: u64) -> Self {
        let grace = to_duration(settings.rules.drain_grace);
        let agent_step = (!settings.ask_for_list)
            .then(|| (grace / STEPS_PER_GRACE).clamp(AGENT_STEP_RANGE.0, AGENT_STEP_RANGE.1));
        let initial_delay = FAILED_CALL_DELAY_PER_CONDUCTOR
            .saturating_mul(settings.routers)
            .clamp(AGENT_STEP_RANGE.1, MAX_CALL_GAP);
        // An agent that refuses a call is called again within the grace, as no other conductor competes for it.
        let (initial_delay, max_delay) = agent_step.map_or((initial_delay, MAX_CALL_GAP), |agent_step| {
            (agent_step, agent_step * STEPS_PER_GRACE / 2)
        });
        CallSchedule { agent_step, backoff: Backoff::new(initial_delay, max_delay, seed), call_count: 0 }
    }

    /// Returns the time without bytes after which a watch counts as lost.
    pub fn watch_timeout(&self) -> Duration {
        WATCH_LINE_INTERVAL + self.agent_step.unwrap_or(SHARED_LINE_TOLERANCE)
    }

    /// Returns the time without the end of a line after which discovery is called beside an open watch, however many bytes of
    /// the line arrive: a change in it counts as announced at [`ANNOUNCEMENT_DELAY`] after discovery had it.
    pub fn line_timeout(&self) -> Duration {
        self.watch_timeout()
    }

    /// Counts a call and returns its timeouts.
    pub fn next_timeouts(&mut self) -> CallTimeouts {
        self.call_count = self.call_count.wrapping_add(1);
        match self.agent_step {
            Some(agent_step)
                if !self.call_count.is_multiple_of(
                    LONG_CALL_EVERY.max(MIN_LONG_CALL_INTERVAL.div_duration_f64(agent_step) as u32),
                ) =>
            {
                CallTimeouts {
                    answer: agent_step * STEPS_PER_GRACE,
                    first_bytes: agent_step * STEPS_PER_GRACE,
                }
            }
            _ => CallTimeouts {
                answer: SHARED_CALL_TIMEOUT,
                first_bytes: SHARED_CALL_TIMEOUT + self.watch_timeout(),
            },
        }
    }

    /// Returns the time after which another call is started while earlier ones are unanswered. An agent answers at once and
    /// cheaply, and its changes count as announced immediately; for a shared service this only bounds how long a call that hangs
    /// delays the next one.
    pub fn hedge_delay(&self) -> Duration {
        self.agent_step.unwrap_or(MAX_CALL_GAP)
    }

    /// Returns the delay before the next call. `unheard` is the time since the last byte was received or call was started.
    pub fn next_delay(&mut self, reason: CallReason, unheard: Duration) -> Duration {
        if let Some(agent_step) = self.agent_step {
            return match reason {
                CallReason::Refused => self.backoff.next_delay(Duration::ZERO, Duration::MAX),
                CallReason::CallFailed => agent_step,
                CallReason::Start | CallReason::AddressChanged | CallReason::WatchLost => Duration::ZERO,
            };
        }
        // All conductors lose a shared service, or start, at the same moment. Their calls are spread over the time that is left
        // until the missed changes count as announced.
        let time_left = MAX_CALL_GAP.saturating_sub(unheard);
        match reason {
            CallReason::Start => self.backoff.random_delay(SHARED_CALL_TIMEOUT / 2),
            CallReason::AddressChanged => {
                self.backoff.random_delay(ANNOUNCEMENT_DELAY_AFTER_MOVE - SHARED_CALL_TIMEOUT)
            }
            CallReason::WatchLost => self.backoff.random_delay(time_left),
            // Each failed call lengthens the delay, which takes load off an overloaded service.
            CallReason::CallFailed | CallReason::Refused => {
                self.backoff.next_delay(Duration::ZERO, time_left)
            }
        }
    }

    /// Classifies the loss of a watch that was open this long. A shared service that accepts a watch and drops it at once is as
    /// overloaded as one that refuses it; for an agent it counts as a failed call, so that it is not called in a tight loop.
    pub fn loss_reason(&self, open_time: Duration, is_silent: bool) -> CallReason {
        match self.agent_step {
            _ if is_silent || open_time >= WATCH_LINE_INTERVAL => CallReason::WatchLost,
            Some(_) => CallReason::CallFailed,
            None => CallReason::Refused,
        }
    }

    /// Resets the backoff after a list was received or the address of discovery changed.
    pub fn reset(&mut self) {
        self.backoff.reset();
    }
}

//! When to ask discovery: every wait on the way of a change to this conductor, and the deadline that it keeps.
//!
//! `docs/LISTS.md` is the account behind the figures: for each way that a change takes, when it counts as told, and which
//! of these waits keeps that. It does no I/O and reads no clock.

use std::time::Duration;

use super::backoff::Backoff;
use crate::api::Settings;
use crate::node::to_duration;

/// While nothing changes, a watch brings an empty line this often.
pub const LINE_EVERY: Duration = Duration::from_secs(2);
/// What a watch misses counts as told so long after it fell silent; elsewhere, so long after discovery has it.
pub const TOLD_AFTER: Duration = Duration::from_secs(6);
/// What discovery has to tell at a new address counts as told so long after SIGHUP.
pub const MOVED_TOLD_AFTER: Duration = Duration::from_secs(4);
/// For a shared service to take a call and to answer it: calls wait in turn there, and one that is given up has cost its
/// work in vain.
const TURN: Duration = Duration::from_secs(2);
/// Between the last moment at which a shared service was asked, or a line of it heard, and the next call: with the turn
/// that its answer takes, nothing that it has stays unheard for longer than it takes to count as told, whatever becomes of
/// the calls.
const ASK_WITHIN: Duration = TOLD_AFTER.saturating_sub(TURN);
/// By which a line of a shared service may be late before the watch counts as lost.
const LATE: Duration = Duration::from_millis(600);
/// The shortest and the longest step between calls to an agent, whatever grace the settings give.
const STEP: (Duration, Duration) = (Duration::from_millis(25), Duration::from_millis(250));
/// Steps in the grace that drains have: a call at the last moment before a change, one after it, and room for both.
const STEPS: u32 = 4;
/// One call in so many is waited for as long as a shared service's: an agent on a machine that is short of time is slow.
const PATIENT: u32 = 8;
/// Nor are such calls begun more often: they bound how many are open at once.
const PATIENT_EVERY: Duration = Duration::from_millis(500);
/// The first wait after a call in vain to a shared service: so much for each conductor that may have been refused with this
/// one, up to [`ASK_WITHIN`], as far as every wait grows.
const REFUSED_EACH: Duration = Duration::from_millis(50);

/// Why discovery is to be asked now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Cause {
    /// The process has just started.
    Start,
    /// Discovery is at another address.
    Moved,
    /// A watch fell silent, ended or broke.
    Watch,
    /// A call found nobody, or no answer in time.
    Call,
    /// A call was turned away: the service has more than it can do.
    Refused,
}

/// How long a call is waited for, each from its begin on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CallTimeouts {
    /// For its answer: the head of a watch, the whole of a list.
    pub answer: Duration,
    /// For the first bytes on a watch, which brings a line at least every [`LINE_EVERY`].
    pub first_line: Duration,
}

/// The waits of one conductor.
#[derive(Clone, Debug)]
pub struct Pace {
    /// Between calls to an agent; none where a service is shared.
    step: Option<Duration>,
    backoff: Backoff,
    calls: u32,
}

impl Pace {
    /// The waits that these settings ask for.
    pub fn new(settings: &Settings, seed: u64) -> Self {
        let grace = to_duration(settings.rules.drain_grace);
        let step = (!settings.ask_for_list).then(|| (grace / STEPS).clamp(STEP.0, STEP.1));
        let first = REFUSED_EACH.saturating_mul(settings.routers).clamp(STEP.1, ASK_WITHIN);
        // An agent that turns a call away is asked again within the grace: nobody else is in its way.
        let (first, most) = step.map_or((first, ASK_WITHIN), |step| (step, step * STEPS / 2));
        Pace { step, backoff: Backoff::new(first, most, seed), calls: 0 }
    }

    /// Silence after which a watch is lost.
    pub fn silence(&self) -> Duration {
        LINE_EVERY + self.step.unwrap_or(LATE)
    }

    /// How long the next call is waited for.
    pub fn timeouts(&mut self) -> CallTimeouts {
        self.calls = self.calls.wrapping_add(1);
        match self.step {
            Some(step)
                if !self.calls.is_multiple_of(PATIENT.max(PATIENT_EVERY.div_duration_f64(step) as u32)) =>
            {
                CallTimeouts { answer: step * STEPS, first_line: step * STEPS }
            }
            _ => CallTimeouts { answer: TURN, first_line: TURN + self.silence() },
        }
    }

    /// After which a call is begun beside those that are not answered yet. An agent on the own machine answers at once and at
    /// no cost, and what it has counts as told at once; at a shared service this only bounds what becomes of a call.
    pub fn beside(&self) -> Duration {
        self.step.unwrap_or(ASK_WITHIN)
    }

    /// The wait before the next call; `unheard` for so long now nothing was heard and no call was begun.
    pub fn after(&mut self, cause: Cause, unheard: Duration) -> Duration {
        if let Some(step) = self.step {
            return match cause {
                Cause::Refused => self.backoff.after(Duration::ZERO, Duration::MAX),
                Cause::Call => step,
                Cause::Start | Cause::Moved | Cause::Watch => Duration::ZERO,
            };
        }
        // All conductors lose a shared service, or start, in the same moment: their calls are spread over what is left until
        // what they missed counts as told.
        let left = ASK_WITHIN.saturating_sub(unheard);
        match cause {
            Cause::Start => self.backoff.within(TURN / 2),
            Cause::Moved => self.backoff.within(MOVED_TOLD_AFTER - TURN),
            Cause::Watch => self.backoff.within(left),
            // In vain: the later, the less a service is asked that has more than it can do.
            Cause::Call | Cause::Refused => self.backoff.after(Duration::ZERO, left),
        }
    }

    /// What the loss of a watch that lasted so long is. One that is taken and dropped at once shows a service as overbooked
    /// as one that refuses; an agent that does so is not asked in a hot loop.
    pub fn lost(&self, lasted: Duration, silent: bool) -> Cause {
        match self.step {
            _ if silent || lasted >= LINE_EVERY => Cause::Watch,
            Some(_) => Cause::Call,
            None => Cause::Refused,
        }
    }

    /// Discovery is heard, or is elsewhere now.
    pub fn reset(&mut self) {
        self.backoff.reset();
    }
}

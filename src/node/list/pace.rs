//! When to ask discovery: every wait on the way of a change to this conductor, and the deadline that it keeps.
//!
//! `docs/LISTS.md` is the account behind the figures: for each way that a change takes, when it counts as told, and which
//! of these waits keeps that. It does no I/O and reads no clock.

use std::time::Duration;

use super::backoff::Backoff;
use crate::api::Settings;
use crate::node::span;

/// While nothing changes, a watch brings an empty line this often.
pub const LINE_EVERY: Duration = Duration::from_secs(2);
/// What a watch misses counts as told so long after it fell silent; elsewhere, so long after discovery has it.
pub const TOLD_AFTER: Duration = Duration::from_secs(6);
/// What discovery has to tell at a new address counts as told so long after SIGHUP.
pub const MOVED_TOLD_AFTER: Duration = Duration::from_secs(4);
/// For a shared service to take a call and to answer it: calls wait in turn there, and one that is given up has cost its
/// work in vain.
const TURN: Duration = Duration::from_secs(2);
/// By which a line of a shared service may be late before the watch counts as lost.
const LATE: Duration = Duration::from_millis(600);
/// The shortest and the longest step between calls to an agent, whatever grace the settings give.
const STEP: (Duration, Duration) = (Duration::from_millis(25), Duration::from_millis(250));
/// Steps in the grace that drains have: a call at the last moment before a change, one after it, and room for both.
const STEPS: u32 = 4;
/// One call in so many is waited for as long as a shared service's: an agent on a machine that is short of time is slow.
const PATIENT: u32 = 8;
/// After a refusal: so much for each conductor that may have been refused with this one, up to the time for which a failed
/// call counts as asked.
const REFUSED_EACH: (Duration, Duration) = (Duration::from_millis(50), Duration::from_millis(200));
/// A failed call counts so many times as long as one that was answered.
const FAILED_COUNTS: u32 = 4;

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

/// The waits of one conductor.
#[derive(Clone, Debug)]
pub struct Pace {
    /// Between calls to an agent; none where a service is shared.
    step: Option<Duration>,
    backoff: Backoff,
    calls: u32,
}

impl Pace {
    /// The longest wait between calls to a shared service that does not answer: what changes there meanwhile is heard in
    /// time by the next one.
    const BETWEEN: Duration = TOLD_AFTER.saturating_sub(TURN);

    /// The waits that these settings ask for.
    pub fn new(settings: &Settings, seed: u64) -> Self {
        let grace = span(settings.rules.drain_grace);
        let step = (!settings.ask_for_list).then(|| (grace / STEPS).clamp(STEP.0, STEP.1));
        let counts =
            (span(settings.rules.ask_within) * FAILED_COUNTS).saturating_sub(TURN).max(Self::BETWEEN);
        let (first, most) = (REFUSED_EACH.0 * settings.routers, REFUSED_EACH.1 * settings.routers);
        let (first, most) = (first.clamp(STEP.1, counts), most.clamp(Self::BETWEEN, counts));
        // An agent that turns a call away is asked again within the grace: nobody else is in its way.
        let (first, most) = step.map_or((first, most), |step| (step, step * STEPS / 2));
        Pace { step, backoff: Backoff::new(first, most, seed), calls: 0 }
    }

    /// Silence after which a watch is lost.
    pub fn silence(&self) -> Duration {
        LINE_EVERY + self.step.unwrap_or(LATE)
    }

    /// For the next call to be answered.
    pub fn answer(&mut self) -> Duration {
        self.calls = self.calls.wrapping_add(1);
        match self.step {
            Some(step) if !self.calls.is_multiple_of(PATIENT) => step * STEPS,
            _ => TURN,
        }
    }

    /// After which a call is begun beside those that are not answered yet, where that may be: an agent on the own machine
    /// answers at once and at no cost, and what it has counts as told at once.
    pub fn beside(&self) -> Option<Duration> {
        self.step
    }

    /// The wait before the next call.
    pub fn after(&mut self, cause: Cause) -> Duration {
        let (silence, shared) = (self.silence(), self.step.is_none());
        match cause {
            Cause::Refused => self.backoff.after(Duration::ZERO),
            Cause::Call if !shared => self.step.unwrap_or_default(),
            _ if !shared => Duration::ZERO,
            // All conductors lose a shared service, or start, in the same moment: their calls are spread over what is left
            // until what they missed counts as told.
            Cause::Start => self.backoff.within(TURN / 2),
            Cause::Moved => self.backoff.within(MOVED_TOLD_AFTER - TURN),
            Cause::Watch => self.backoff.within(TOLD_AFTER - TURN - silence),
            Cause::Call => self.backoff.within(Self::BETWEEN),
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

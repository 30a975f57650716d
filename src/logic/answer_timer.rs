//! Decides until when a running answer of an instance is waited for. No I/O: the caller tells what arrived
//! and when.
//!
//! The protocol page lets a client be left waiting for less than 5 s after a running instance's last event.
//! So the wait for the next event starts with a whole event, and only the next whole event starts it anew:
//! a part of an event, a comment or an empty line shows that bytes arrive, and the client has nothing of
//! them. The wait stands still while nothing is read from the instance, because the client has not taken
//! what it was sent before.
//!
//! The wait for the first event starts with the client's request. Nothing starts it anew: neither the head
//! of the answer, nor comments, nor a part of the first event. The same holds for the end of an answer that
//! its client gets in one piece.

use crate::api::Micros;

/// A client may be left waiting for so long after an instance's last event.
pub const MAX_CLIENT_WAIT_US: Micros = 5_000_000;
/// The process may be held up for so long between reading its clock and acting.
pub const HOLD_UP_US: Micros = 150_000;
/// How long is read on once a wait is over: the process may not have read what arrived in time.
pub const LAST_READ_US: Micros = 20_000;
/// How long the next event is waited for, without the last read.
pub const MAX_EVENT_WAIT_US: Micros = MAX_CLIENT_WAIT_US - HOLD_UP_US - LAST_READ_US;

/// What a wait that has come to its end means.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// What may have arrived in time has to be read first; the wait goes on until [`AnswerTimer::due_at`].
    ReadOn,
    /// No event arrived in time behind the last one.
    Silent,
    /// The client has stopped waiting for its final answer.
    Overdue,
}

/// What is waited for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Awaited {
    /// The first event: until the client stops waiting for it, or where nothing of it is forwarded yet, for
    /// as long as the attempt may take.
    FirstEvent { deadline: Option<Micros> },
    /// The next event; the latest one arrived at this time, shifted by the time in which nothing was read.
    NextEvent { since: Micros },
    /// The end of an answer that its client gets in one piece, until the client stops waiting for it.
    End { deadline: Micros },
}

/// The waits of one answer.
#[derive(Clone, Debug)]
pub struct AnswerTimer {
    awaited: Awaited,
    /// Until when is read on after a wait has come to its end.
    read_until: Option<Micros>,
    /// Since when nothing is read from the instance.
    paused_at: Option<Micros>,
}

impl Default for AnswerTimer {
    fn default() -> Self {
        AnswerTimer { awaited: Awaited::FirstEvent { deadline: None }, read_until: None, paused_at: None }
    }
}

impl AnswerTimer {
    /// Records that at least one whole event arrived.
    pub fn event_received(&mut self, now: Micros) {
        if !matches!(self.awaited, Awaited::End { .. }) {
            (self.awaited, self.read_until) = (Awaited::NextEvent { since: now }, None);
        }
    }

    /// Sets until when the first event has to be whole: a part of it is forwarded, so that no other attempt
    /// can follow. Changes nothing once it is.
    pub fn bound_first_event(&mut self, until: Micros) {
        if let Awaited::FirstEvent { deadline } = &mut self.awaited {
            *deadline = Some(until);
        }
    }

    /// Sets until when the whole answer has to be there, because its client gets it in one piece.
    pub fn bound_end(&mut self, deadline: Micros) {
        (self.awaited, self.read_until) = (Awaited::End { deadline }, None);
    }

    /// Records that nothing is read until [`AnswerTimer::resume`]: the client has to take what it was sent
    /// first.
    pub fn pause(&mut self, now: Micros) {
        self.paused_at = Some(now);
    }

    /// Records that the instance is read again.
    pub fn resume(&mut self, now: Micros) {
        let Some(paused_at) = self.paused_at.take() else { return };
        if let Awaited::NextEvent { since } = &mut self.awaited {
            *since += now - paused_at;
        }
    }

    /// Returns when the wait comes to its end, or `None` where something else bounds it.
    pub fn due_at(&self) -> Option<Micros> {
        match (self.read_until, self.awaited) {
            (Some(read_until), _) => Some(read_until),
            (None, Awaited::FirstEvent { deadline }) => deadline,
            (None, Awaited::End { deadline }) => Some(deadline),
            (None, Awaited::NextEvent { since }) => Some(since + MAX_EVENT_WAIT_US),
        }
    }

    /// Decides what the end of a wait means. To be called once [`AnswerTimer::due_at`] has passed.
    pub fn expired(&mut self, now: Micros) -> Verdict {
        if self.read_until.is_none() {
            self.read_until = Some(now + LAST_READ_US);
            return Verdict::ReadOn;
        }
        match self.awaited {
            Awaited::NextEvent { .. } => Verdict::Silent,
            Awaited::FirstEvent { .. } | Awaited::End { .. } => Verdict::Overdue,
        }
    }
}

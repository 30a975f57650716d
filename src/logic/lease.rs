//! Decides when the state that readers hold for one request has to be released.
//!
//! A reader keeps the state of a prompt until a writer's call for it arrives or it is released, and for
//! [`crate::api::Rules::pin_limit`] at most. Sending a call proves nothing, because a connection may fall
//! silent without an error. Therefore only what a server confirms ends the wait for a release: the answer
//! to a read, the first event of a stream or the confirmation of a release.

use crate::api::Micros;

/// Share of the pin limit after which a state that may wait is released, even if a call for it is in flight:
/// a call that has arrived keeps its state. The rest of the limit, and the 0.3 s by which the protocol
/// extends it, allow for a delayed process and for servers that do not accept the release.
pub(super) const RELEASE_SHARE: f64 = 0.75;
/// Share of the pin limit after which a state without a call in flight is released. It is the larger share,
/// because the router normally releases such a state itself before.
const BACKSTOP_SHARE: f64 = 0.85;
/// Most periods for which a reader that did not answer may continue to work: known readers read the prompts
/// that fit a body within 2 s, and they drop queued prompts when the connection closes.
const MAX_READ_OVERRUN_PERIODS: f64 = 3.5;
/// Least time between two releases of one request. The time that the protocol adds to the pin limit leaves
/// room for it.
const MIN_RELEASE_PERIOD_US: Micros = 50_000;

/// How an attempt without a stream ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptEnd {
    /// The prompt is read, and its state waits at the reader.
    Read,
    /// The server holds nothing of the attempt: it never arrived or was rejected.
    NothingLeft,
    /// The writer found no state to fetch.
    NoState,
    /// The server confirmed the end of its work. A reader may hold a state nevertheless.
    Done,
    /// The server confirmed nothing: its work may continue and leave a state.
    Unknown,
}

/// Tracks the states that servers may hold for one request.
#[derive(Clone, Debug)]
pub struct Lease {
    /// Time between releases while a state may be held.
    period: Micros,
    /// Time after which a ready state without a call in flight is released.
    backstop_wait: Micros,
    /// A read is in flight.
    is_read_out: bool,
    /// When the answer of the read arrived whose state waits.
    ready_since: Option<Micros>,
    /// A call for the state is in flight.
    is_write_out: bool,
    /// A release was requested at this time and is not confirmed yet.
    release_requested_at: Option<Micros>,
    /// Attempts with unknown outcomes ended from the first time on and may leave a state until the second.
    unknown_window: Option<(Micros, Micros)>,
    /// When a release has to be repeated after a call to a writer whose outcome is unknown: the call may have
    /// kept the state from the release that followed it.
    repeat_release_at: Option<Micros>,
    /// Number of these attempts whose connections are silent: their servers may not know of the end, and what
    /// was sent may still arrive.
    silent_connections: usize,
    /// When the latest confirmed release was sent.
    released_at: Option<Micros>,
    /// A read had an unknown outcome.
    has_unknown_read: bool,
    /// The stream of the answer has started.
    is_streaming: bool,
}

impl Lease {
    /// Creates the lease of a request for which nothing is held yet, with the pin limit of a state.
    pub fn new(pin_limit: Micros) -> Self {
        let share_of_limit = |share: f64| ((pin_limit as f64 * share) as Micros).max(MIN_RELEASE_PERIOD_US);
        Lease {
            period: share_of_limit(RELEASE_SHARE),
            backstop_wait: share_of_limit(BACKSTOP_SHARE),
            is_read_out: false,
            ready_since: None,
            is_write_out: false,
            release_requested_at: None,
            unknown_window: None,
            repeat_release_at: None,
            silent_connections: 0,
            released_at: None,
            has_unknown_read: false,
            is_streaming: false,
        }
    }

    /// Records that the prompt is sent to a reader.
    pub fn read_sent(&mut self) {
        self.is_read_out = true;
    }

    /// Records that the call for the state is sent to a writer.
    pub fn write_sent(&mut self) {
        self.is_write_out = true;
    }

    /// Records that the attempt in flight ended without a stream.
    pub fn attempt_ended(&mut self, now: Micros, end: AttemptEnd) {
        let was_read = std::mem::take(&mut self.is_read_out);
        self.is_write_out = false;
        match end {
            AttemptEnd::Read => self.ready_since = Some(now),
            AttemptEnd::NothingLeft => {}
            AttemptEnd::NoState => self.ready_since = None,
            AttemptEnd::Done if was_read => {
                (self.ready_since, self.release_requested_at) = (Some(now), Some(now))
            }
            AttemptEnd::Done => {}
            AttemptEnd::Unknown => {
                // A server may learn of a closed connection after the release, so one more release follows.
                let read_overrun = if was_read { self.read_overrun() } else { self.period / 2 };
                self.mark_unknown(now, now + read_overrun);
                self.has_unknown_read |= was_read;
                if was_read {
                    self.release_requested_at = Some(now);
                } else {
                    self.repeat_release_at = Some(now + self.period / 2);
                }
            }
        }
    }

    /// Returns the time for which a reader may continue to work after an unknown end.
    fn read_overrun(&self) -> Micros {
        (self.period as f64 * MAX_READ_OVERRUN_PERIODS) as Micros
    }

    /// Extends the window in which attempts with unknown outcomes may leave a state.
    fn mark_unknown(&mut self, since: Micros, until: Micros) {
        let (since, known_until) = self.unknown_window.unwrap_or((since, until));
        self.unknown_window = Some((since, known_until.max(until)));
    }

    /// Records that the connection of a read with an unknown outcome is silent: the reader may not know of
    /// the end.
    pub fn connection_fell_silent(&mut self) {
        self.silent_connections += 1;
    }

    /// Records that a silent connection closed: what was sent has arrived by now or never will.
    pub fn silent_connection_closed(&mut self, now: Micros) {
        self.silent_connections = self.silent_connections.saturating_sub(1);
        self.mark_unknown(now, now + self.read_overrun());
    }

    /// Records that the stream started: its writer has fetched the state.
    pub fn stream_started(&mut self) {
        (self.is_read_out, self.ready_since, self.is_write_out) = (false, None, false);
        self.is_streaming = true;
    }

    /// Requests the release of what is held now.
    pub fn request_release(&mut self, now: Micros) {
        // While the stream ran, its writer's call kept what a late read left from releases. Releases that are
        // still to come reach it.
        let may_be_left_beside_stream =
            self.is_streaming && self.has_unknown_read && self.unknown_window.is_none();
        if self.is_read_out || self.ready_since.is_some() || may_be_left_beside_stream {
            self.release_requested_at = Some(now);
        }
    }

    /// Returns when a release was requested that is not confirmed yet.
    pub fn release_requested_at(&self) -> Option<Micros> {
        self.release_requested_at
    }

    /// Returns whether nothing is held and nothing can come to be held.
    pub fn is_settled(&self) -> bool {
        let Lease { is_read_out, ready_since, release_requested_at, unknown_window, .. } = self;
        !is_read_out && ready_since.is_none() && release_requested_at.is_none() && unknown_window.is_none()
    }

    /// Returns when the next release has to be sent. A release during a read makes the server drop the
    /// prompt, and one of a state that was just read loses it, so in these cases only necessary releases are
    /// sent.
    pub fn next_release_at(&self) -> Option<Micros> {
        let after = |since: Micros, wait| self.released_at.map_or(since, |at| at.max(since)) + wait;
        let ready_wait = if self.is_write_out { self.period } else { self.backstop_wait };
        let periodic = match (self.is_read_out, self.ready_since) {
            (true, _) => self.repeat_release_at,
            (false, Some(since)) => Some(after(since, ready_wait)),
            (false, None) => self.unknown_window.map(|(since, _)| after(since, self.period)),
        };
        [self.release_requested_at, periodic].into_iter().flatten().min()
    }

    /// Records that a server confirmed the release sent at `sent_at`.
    pub fn release_confirmed(&mut self, sent_at: Micros) {
        self.released_at = Some(self.released_at.map_or(sent_at, |at| at.max(sent_at)));
        self.release_requested_at = self.release_requested_at.filter(|&requested| sent_at < requested);
        self.repeat_release_at = self.repeat_release_at.filter(|&due| sent_at < due);
        self.unknown_window =
            self.unknown_window.filter(|&(_, until)| self.silent_connections > 0 || sent_at < until);
        // A state for which a call is in flight is still needed.
        self.ready_since = self.ready_since.filter(|&since| self.is_write_out || sent_at < since);
    }

    /// Stops waiting for confirmation: the servers have dropped the states by their own limit.
    pub fn abandon(&mut self) {
        (self.ready_since, self.release_requested_at, self.unknown_window) = (None, None, None);
        self.silent_connections = 0;
    }
}

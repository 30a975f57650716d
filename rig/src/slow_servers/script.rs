//! How a slow server's answer goes out: which bytes it writes, and when. No I/O.

use std::time::Duration;

use super::spoilt::{self, Spoil};
use super::unusual::{self, Form};
use crate::stand_ins::Role;

/// Bytes of a usual event.
pub const EVENT_BYTES: usize = 120;
/// Events of an answer, without the end mark.
const EVENTS: usize = 3;
/// Pause between two events of a server that is in no hurry and not slow.
pub const USUAL_PAUSE: Duration = Duration::from_millis(20);
/// How often a stream that never completes repeats its last step: longer than any client reads on.
pub const ENDLESS_STEPS: u32 = 40_000;
/// The head of a usual stream.
pub const STREAM_HEAD: &str =
    "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n";
const READ_ANSWER: &str = "HTTP/1.1 202 Accepted\r\nContent-Length: 19\r\n\r\n{\"cached_tokens\":10}";
/// The body of a reader's answer.
pub const READ_ANSWER_BODY: &str = "{\"cached_tokens\":10}";
const JSON_ANSWER: &str =
    "{\"choices\":[{\"index\":0,\"message\":{\"content\":\"w\"},\"finish_reason\":\"stop\"}]}";
/// The event that ends a stream.
pub const END_MARK: &str = "data: [DONE]\n\n";
/// Length of a long comment.
const LONG_COMMENT_BYTES: usize = 400;
/// A comment.
pub const COMMENT: &str = ": still here\n\n";

/// Where a server is slow.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Slowness {
    /// Nowhere.
    Nowhere,
    /// It waits before the head of its answer.
    BeforeHead(Duration),
    /// It waits between the bytes of the head of its answer.
    WithinHead(Duration),
    /// It sends the head at once and waits before the first event.
    BeforeFirstEvent(Duration),
    /// It sends comments at this interval in place of the first event, and never an event.
    CommentsOnly(Duration),
    /// The same with long comments, each in two pieces.
    CommentsInPieces(Duration),
    /// Its first event has so many bytes and goes out in pieces, with a pause before each.
    WithinFirstEvent(usize, Duration),
    /// It waits between events.
    BetweenEvents(Duration),
    /// Each event but the first goes out in two pieces, with a pause before each.
    WithinEvents(Duration),
    /// It stops behind its first event.
    StopsBehindEvent,
    /// It writes a part of its second event so long after the first, and stops.
    StopsWithinEvent(Duration),
    /// It writes a second event that does not end, a piece at this interval.
    EndlessEvent(Duration),
    /// It writes only comments behind its first event, at this interval.
    CommentsBehindEvent(Duration),
    /// Its answer is spoilt.
    Spoilt(Spoil),
    /// Its answer has an unusual form.
    Unusual(Form),
}

/// A part of an answer.
#[derive(Clone, Debug, PartialEq)]
pub struct Step {
    /// How long after the step before.
    pub pause: Duration,
    /// What is written then.
    pub bytes: Vec<u8>,
    /// Whether these bytes complete an event.
    pub completes_event: bool,
    /// Whether these bytes spoil the answer.
    pub spoils: bool,
    /// How often the step is taken.
    pub times: u32,
}

/// An answer: its steps, and whether the last one completes it.
#[derive(Clone, Debug, PartialEq)]
pub struct Script {
    /// In their order.
    pub steps: Vec<Step>,
    /// Whether the answer is whole then; otherwise the server falls silent.
    pub is_whole: bool,
}

impl Script {
    /// Adds bytes.
    pub fn push(&mut self, pause: Duration, bytes: impl Into<Vec<u8>>, completes_event: bool) {
        self.steps.push(Step { pause, bytes: bytes.into(), completes_event, spoils: false, times: 1 });
    }

    /// Adds bytes that complete no event, so many times, with a pause before each.
    pub fn push_repeated(&mut self, pause: Duration, bytes: impl Into<Vec<u8>>, times: u32) {
        let (bytes, completes_event, spoils) = (bytes.into(), false, false);
        self.steps.push(Step { pause, bytes, completes_event, spoils, times });
    }

    /// Adds bytes that spoil the answer.
    pub fn push_spoiling(&mut self, pause: Duration, bytes: impl Into<Vec<u8>>) {
        self.steps.push(Step { pause, bytes: bytes.into(), completes_event: false, spoils: true, times: 1 });
    }

    /// Adds a chunk of the body.
    pub fn push_chunk(&mut self, pause: Duration, text: &str, completes_event: bool) {
        self.push(pause, chunk(text), completes_event);
    }

    /// Adds bytes one by one, with a pause before each.
    pub fn push_slowly(&mut self, pause: Duration, text: &str) {
        text.bytes().for_each(|byte| self.push(pause, [byte], false));
    }

    /// Adds an event in pieces, with a pause before each.
    pub fn push_pieces(&mut self, event: &str, pieces: usize, pause: Duration) {
        let size = event.len().div_ceil(pieces);
        let mut rest = event;
        while !rest.is_empty() {
            let (piece, behind) = rest.split_at(size.min(rest.len()));
            self.push_chunk(pause, piece, behind.is_empty());
            rest = behind;
        }
    }
}

/// Returns the chunk of a body with this text.
pub fn chunk(text: &str) -> String {
    format!("{:x}\r\n{text}\r\n", text.len())
}

/// Returns an event of about so many bytes.
pub fn event(bytes: usize) -> String {
    let start = "data: {\"choices\":[{\"index\":0,\"delta\":{\"content\":\"";
    format!("{start}{}\"}}}}]}}\n\n", "x".repeat(bytes.saturating_sub(start.len())))
}

/// Returns the answer of a server of this role that is slow in this way. `is_stream` says that the client wants events.
pub fn answer(role: Role, slowness: Slowness, is_stream: bool) -> Script {
    let is_read = role == Role::Read;
    match slowness {
        Slowness::Spoilt(spoil) if is_read => return spoilt::read(spoil),
        Slowness::Spoilt(spoil) if is_stream => return spoilt::stream(spoil),
        Slowness::Spoilt(spoil) => return spoilt::whole(spoil, "200 OK", JSON_ANSWER),
        Slowness::Unusual(form) if !is_read && is_stream => return unusual::stream(form),
        _ => {}
    }
    let mut script = Script { steps: Vec::new(), is_whole: true };
    if !is_read && !is_stream {
        write_json(&mut script, slowness);
        return script;
    }
    let head = if is_read { READ_ANSWER } else { STREAM_HEAD };
    match slowness {
        Slowness::BeforeHead(pause) => script.push(pause, head, false),
        Slowness::WithinHead(pause) => script.push_slowly(pause, head),
        _ => script.push(Duration::ZERO, head, false),
    }
    if !is_read {
        write_events(&mut script, slowness);
    }
    script
}

/// An answer in one piece, in the same way: where events are slow, its body is.
fn write_json(script: &mut Script, slowness: Slowness) {
    let head = format!(
        "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n",
        JSON_ANSWER.len()
    );
    match slowness {
        Slowness::BeforeHead(pause) => script.push(pause, head, false),
        Slowness::WithinHead(pause) => script.push_slowly(pause, &head),
        _ => script.push(Duration::ZERO, head, false),
    }
    match slowness {
        Slowness::BeforeFirstEvent(pause) => script.push(pause, JSON_ANSWER, true),
        Slowness::WithinFirstEvent(_, pause)
        | Slowness::EndlessEvent(pause)
        | Slowness::CommentsOnly(pause)
        | Slowness::CommentsInPieces(pause) => script.push_slowly(pause, JSON_ANSWER),
        Slowness::StopsBehindEvent | Slowness::StopsWithinEvent(_) => {
            script.push(Duration::ZERO, &JSON_ANSWER[..20], false);
            script.is_whole = false;
        }
        _ => script.push(Duration::ZERO, JSON_ANSWER, true),
    }
}

fn write_events(script: &mut Script, slowness: Slowness) {
    let usual = event(EVENT_BYTES);
    match slowness {
        Slowness::BeforeFirstEvent(pause) => script.push_chunk(pause, &usual, true),
        Slowness::CommentsOnly(interval) => return write_comments(script, interval),
        Slowness::CommentsInPieces(interval) => {
            let comment = format!(": {}\n\n", "c".repeat(LONG_COMMENT_BYTES));
            let (start, end) = comment.split_at(LONG_COMMENT_BYTES / 2);
            // The last piece of each comment goes with the first one of the next.
            script.push_chunk(interval, start, false);
            script.push_repeated(interval, chunk(&format!("{end}{start}")), ENDLESS_STEPS);
            script.is_whole = false;
            return;
        }
        Slowness::WithinFirstEvent(bytes, pause) => script.push_pieces(&event(bytes), 8, pause),
        _ => script.push_chunk(USUAL_PAUSE, &usual, true),
    }
    match slowness {
        Slowness::StopsBehindEvent => script.is_whole = false,
        Slowness::StopsWithinEvent(pause) => {
            script.push_chunk(pause, &usual[..40], false);
            script.is_whole = false;
        }
        Slowness::EndlessEvent(interval) => {
            script.push_chunk(interval, "data: ", false);
            script.push_repeated(interval, chunk("x"), ENDLESS_STEPS);
            script.is_whole = false;
        }
        Slowness::CommentsBehindEvent(interval) => write_comments(script, interval),
        _ => write_rest(script, slowness, &usual),
    }
}

fn write_comments(script: &mut Script, interval: Duration) {
    script.push_repeated(interval, chunk(COMMENT), ENDLESS_STEPS);
    script.is_whole = false;
}

/// The events behind the first one, the end mark and the last chunk.
fn write_rest(script: &mut Script, slowness: Slowness, usual: &str) {
    for _ in 1..EVENTS {
        match slowness {
            Slowness::BetweenEvents(pause) => script.push_chunk(pause, usual, true),
            Slowness::WithinEvents(pause) => script.push_pieces(usual, 2, pause),
            _ => script.push_chunk(USUAL_PAUSE, usual, true),
        }
    }
    script.push_chunk(USUAL_PAUSE, END_MARK, true);
    script.push(Duration::ZERO, "0\r\n\r\n", false);
}

impl Script {
    /// Returns the longest time between two of its events, behind the first one.
    pub fn longest_wait_for_event(&self) -> Duration {
        let (mut longest, mut wait, mut has_begun) = (Duration::ZERO, Duration::ZERO, false);
        for step in &self.steps {
            wait += step.pause * step.times;
            if step.completes_event {
                longest = if has_begun { longest.max(wait) } else { longest };
                (wait, has_begun) = (Duration::ZERO, true);
            }
        }
        longest
    }
}

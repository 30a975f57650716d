//! Cuts the bytes of an answer into whole events, however the transport cuts them. No I/O.

use bytes::{Bytes, BytesMut};
use serde::Deserialize;

/// Largest event, as long as a body of the platform may be; longer data without an end is not an event.
const MAX_EVENT_BYTES: usize = 256 * 1024;
/// Most of an event that is held until its end arrives. Longer events are forwarded in parts, so that a stream needs little
/// memory however large its events are.
pub const MAX_HELD_EVENT_BYTES: usize = 4 * 1024;

/// Start of a line that holds data.
const DATA_FIELD: &[u8] = b"data:";

/// The received bytes are not an event stream.
#[derive(Debug, thiserror::Error)]
#[error("not an event stream")]
pub struct MalformedEvents;

/// What may be forwarded.
#[derive(Debug, Default)]
pub struct Forwardable {
    /// The bytes, unchanged; there may be none.
    pub bytes: Bytes,
    /// Whether they complete at least one event.
    pub completes_event: bool,
}

/// Splits a byte stream into whole events, however the transport cuts it. The bytes stay unchanged.
#[derive(Default)]
pub struct Framer {
    is_chat: bool,
    /// Start of an event whose end has not arrived, without the part that was forwarded.
    incomplete: BytesMut,
    /// Bytes at the start of `incomplete` that are known to be text without the end of an event.
    checked_bytes: usize,
    /// Bytes of that event that were forwarded already.
    forwarded_bytes: usize,
    /// Whether the event that marks the end of a chat stream has arrived.
    is_done: bool,
    /// Whether an event has reported an error.
    has_error: bool,
    /// Whether the part of an event that was forwarded already has a data line.
    forwarded_data: bool,
    /// Whether that part ends within a line.
    is_within_line: bool,
}

#[derive(Deserialize)]
struct MaybeError {
    error: Option<serde::de::IgnoredAny>,
}

impl Framer {
    /// Creates a framer. `is_chat` says that the events follow the chat protocol, in which an event marks the end of the
    /// stream or reports an error.
    pub fn new(is_chat: bool) -> Self {
        Framer { is_chat, ..Framer::default() }
    }

    /// Adds bytes and returns all events that are complete now, or a part of an event that is too long to be held.
    pub fn push(&mut self, bytes: Bytes) -> Result<Forwardable, MalformedEvents> {
        if self.incomplete.is_empty() && whole_events_len(&bytes, 0) == bytes.len() {
            self.check(&bytes)?;
            let completes_event = self.completes_event(&bytes);
            return Ok(Forwardable { bytes, completes_event });
        }
        self.incomplete.extend_from_slice(&bytes);
        let whole_len = whole_events_len(&self.incomplete, self.checked_bytes);
        let mut whole_events = self.incomplete.split_to(whole_len);
        if whole_len > 0 {
            self.checked_bytes = 0;
            self.check(&whole_events)?;
        }
        let completes_event = self.completes_event(&whole_events);
        let part_len = self.part_len()?;
        if whole_len + part_len == 0 {
            return Ok(Forwardable::default());
        }
        let part = self.incomplete.split_to(part_len);
        self.checked_bytes -= part_len;
        self.forwarded_bytes += part_len;
        if let Some(last) = part.last() {
            self.forwarded_data |= has_data_line(&part, self.is_within_line);
            self.is_within_line = !is_line_end(last);
        }
        whole_events.unsplit(part);
        // What is forwarded may wait for long, and would keep the whole buffer.
        let bytes = Bytes::copy_from_slice(&whole_events);
        drop(whole_events);
        self.incomplete = BytesMut::from(&self.incomplete[..]);
        Ok(Forwardable { bytes, completes_event })
    }

    /// Returns whether these bytes, all up to the end of an event or none, complete an event. A block of comments or of fields
    /// without data is none: the format's parsers drop it.
    fn completes_event(&mut self, blocks: &[u8]) -> bool {
        if blocks.is_empty() {
            return false;
        }
        self.forwarded_bytes = 0;
        let is_within_line = std::mem::take(&mut self.is_within_line);
        std::mem::take(&mut self.forwarded_data) || has_data_line(blocks, is_within_line)
    }

    /// Returns whether a part with data was forwarded of an event that is not complete.
    pub fn has_forwarded_data(&self) -> bool {
        self.forwarded_data
    }

    /// Drops from what was forwarded, and is held elsewhere, that which no client misses while no event has come: whole blocks
    /// without data, and comments of the block that is not complete. What is left of a comment's line stays a comment.
    pub fn drop_comments(&self, held: &mut BytesMut) {
        let incomplete_block = held.split_off(held.len() - self.forwarded_bytes.min(held.len()));
        *held = incomplete_block;
        if !lines(held).all(|line| line.is_empty() || line.starts_with(b":")) {
            return;
        }
        held.clear();
        if self.is_within_line {
            held.extend_from_slice(b":");
        }
    }

    /// Returns whether an event has reported an error.
    pub fn has_error(&self) -> bool {
        self.has_error
    }

    /// Checks the event that is not complete, and returns how much of it is forwarded because it is too long to be held. The
    /// last line ends stay: they may begin the empty line that ends the event. So does a line of which too little has come to tell
    /// whether it holds data.
    fn part_len(&mut self) -> Result<usize, MalformedEvents> {
        let event = &self.incomplete[..];
        let unchecked = &event[self.checked_bytes..];
        // Binary data is rejected at once rather than after it has reached the size limit of an event.
        let unchecked_text_len = match std::str::from_utf8(unchecked) {
            Ok(text) => text.len(),
            Err(error) if error.error_len().is_none() => error.valid_up_to(),
            Err(_) => return Err(MalformedEvents),
        };
        if unchecked.iter().any(is_control) {
            return Err(MalformedEvents);
        }
        if self.forwarded_bytes + event.len() > MAX_EVENT_BYTES {
            return Err(MalformedEvents);
        }
        let text_len = self.checked_bytes + unchecked_text_len;
        self.checked_bytes = text_len;
        if self.is_chat || event.len() <= MAX_HELD_EVENT_BYTES {
            return Ok(0);
        }
        let line_start = event[..text_len].iter().rposition(is_line_end).map_or(0, |index| index + 1);
        let is_short_line = line_start > 0 && text_len - line_start < DATA_FIELD.len();
        let part_end = if is_short_line { line_start } else { text_len };
        let line_ends = event[..part_end].iter().rev().take_while(|byte| is_line_end(byte)).count();
        Ok(part_end - line_ends)
    }

    /// Checks that whole events are text, and looks for the end mark and errors of a chat stream.
    fn check(&mut self, events: &[u8]) -> Result<(), MalformedEvents> {
        if std::str::from_utf8(events).is_err() || events.iter().any(is_control) {
            return Err(MalformedEvents);
        }
        if self.is_chat {
            lines(events).for_each(|line| self.inspect_line(line.trim_ascii()));
        }
        Ok(())
    }

    /// Records whether the line is the end mark or an error of a chat stream.
    fn inspect_line(&mut self, line: &[u8]) {
        let Some(data) = line.strip_prefix(b"data:").map(|data| data.trim_ascii()) else { return };
        let reports_error =
            |data| serde_json::from_slice(data).is_ok_and(|message: MaybeError| message.error.is_some());
        self.is_done |= data == b"[DONE]";
        self.has_error |= data != b"[DONE]" && reports_error(data);
    }

    /// Returns the bytes after the last whole event, once the stream has ended.
    pub fn take_rest(&mut self) -> Bytes {
        self.incomplete.split().freeze()
    }

    /// Returns whether a stream that ends here is complete.
    pub fn is_complete_at_end(&mut self) -> bool {
        if self.is_chat {
            let rest = self.incomplete.clone();
            lines(&rest).for_each(|line| self.inspect_line(line.trim_ascii()));
        }
        !self.is_chat || self.is_done || self.has_error
    }
}

/// Returns the length of the whole events at the start of the bytes: up to the last empty line. None ends within the checked
/// bytes. A line ends with LF, with CR and LF, or with CR.
fn whole_events_len(bytes: &[u8], checked_bytes: usize) -> usize {
    let ends_empty_line = |index: &usize| {
        matches!(bytes[..=*index], [.., b'\n', b'\n'] | [.., b'\n', b'\r', b'\n'] | [.., b'\r', b'\r'])
    };
    (checked_bytes..bytes.len()).rev().find(ends_empty_line).map_or(0, |index| index + 1)
}

fn is_line_end(byte: &u8) -> bool {
    matches!(byte, b'\r' | b'\n')
}

/// Returns the lines of a text, and empty ones between CR and LF.
fn lines(text: &[u8]) -> impl Iterator<Item = &[u8]> {
    text.split(is_line_end)
}

/// Returns whether one of the lines that begin in a text holds data.
fn has_data_line(text: &[u8], starts_within_line: bool) -> bool {
    let mut lines = lines(text).skip(usize::from(starts_within_line));
    lines.any(|line| line == b"data" || line.starts_with(DATA_FIELD))
}

/// Returns whether the byte is a control character that text does not contain. JSON allows U+007F unescaped.
fn is_control(byte: &u8) -> bool {
    matches!(byte, 0..=0x1f) && !matches!(byte, b'\n' | b'\r' | b'\t')
}

#[cfg(test)]
mod tests;

//! Reads the answer of an instance as a stream of whole events. Distinguishes an answer that is malformed or
//! cut off from an error that the instance reports as an event.

use std::error::Error;
use std::io;
use std::rc::Rc;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt;
use hyper::StatusCode;
use hyper::body::Incoming;
use hyper::header::{CONTENT_TYPE, HeaderMap, HeaderValue};
use serde::Deserialize;
use tokio::time::error::Elapsed;
use tokio::time::{Instant, timeout_at};

use super::pool::{Connection, Pool};
use crate::api::{HostId, Outcome};

/// Why a stream ended before it was complete. The client's connection has to be cut off as well, so that the
/// client notices.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum StreamError {
    /// The connection closed, or the client is to resume elsewhere.
    #[error("the stream was cut off")]
    Cut,
    /// The instance sent nothing for too long.
    #[error("the stream fell silent")]
    Silent,
    /// The bytes are not a valid event stream.
    #[error("the stream is not a valid event stream")]
    Malformed,
}

/// Part of a stream in whole events, or the error that ended the stream.
pub type StreamChunk = Result<Bytes, StreamError>;

/// Time without a byte after which a running stream counts as dead. A client may be left waiting for 5 s, and this process may
/// be held up for 0.15 s.
const MAX_SILENCE: Duration = Duration::from_millis(4_850);
/// Delay of a timer beyond which this process must have been suspended.
const MAX_TIMER_DELAY: Duration = Duration::from_millis(200);
/// Largest event; longer data without an end is not an event.
const MAX_EVENT_BYTES: usize = 64 * 1024;
/// Most of an event that is held until its end arrives. Longer events are forwarded in parts, so that a stream needs little
/// memory however large its events are.
const MAX_HELD_EVENT_BYTES: usize = 4 * 1024;

/// Status and content type of an instance's answer, which the front passes on to the client.
#[derive(Clone, Debug)]
pub struct AnswerHead {
    /// HTTP status.
    pub status: StatusCode,
    /// Value of the `Content-Type` header.
    pub content_type: Option<HeaderValue>,
}

impl AnswerHead {
    /// Returns whether the answer is a stream of events.
    pub fn is_event_stream(&self) -> bool {
        self.content_type.as_ref().is_some_and(|value| value.as_bytes().starts_with(b"text/event-stream"))
    }
}

/// How far an answer has come, for the log.
#[derive(Clone, Copy, Debug)]
pub struct StreamProgress {
    /// Number of reads that completed at least one event.
    pub events: u64,
    /// When the latest whole event arrived; when the head did, before the first one.
    pub last_event_at: Instant,
    /// When bytes of the answer last arrived.
    pub last_bytes_at: Instant,
}

/// Answer of an instance while it is being received.
pub struct EventStream {
    pool: Rc<Pool>,
    host: HostId,
    connection: Option<Connection>,
    body: Incoming,
    head: AnswerHead,
    /// Events that were received by [`EventStream::wait_for_first`] and not yet returned.
    first_events: Option<Bytes>,
    framer: Option<Framer>,
    progress: StreamProgress,
    /// Whether silence ends the stream. A server of the chat protocol may send the head of its answer long before the first
    /// event, which the deadline of the attempt bounds.
    ends_by_silence: bool,
    has_ended: bool,
}

impl EventStream {
    /// Creates the stream of an answer whose head has arrived. `is_chat` says that the events follow the chat
    /// protocol, in which an event marks the end of the stream or reports an error.
    pub fn new(
        (pool, host, connection): (Rc<Pool>, HostId, Connection), body: Incoming,
        (status, headers): (StatusCode, HeaderMap), is_chat: bool,
    ) -> Self {
        let head = AnswerHead { status, content_type: headers.get(CONTENT_TYPE).cloned() };
        let framer = head.is_event_stream().then(|| Framer { is_chat, ..Framer::default() });
        let (now, connection) = (Instant::now(), Some(connection));
        let progress = StreamProgress { events: 0, last_event_at: now, last_bytes_at: now };
        EventStream {
            pool,
            host,
            connection,
            body,
            head,
            first_events: None,
            framer,
            progress,
            ends_by_silence: !is_chat,
            has_ended: false,
        }
    }

    /// Waits for the first event. Fails if the answer breaks, ends, is malformed or reports an error before
    /// it; nothing of it may be forwarded then.
    pub async fn wait_for_first(&mut self) -> Result<(), Outcome> {
        let first = self.read().await;
        self.ends_by_silence = true;
        if self.has_error() {
            return Err(Outcome::Error);
        }
        match first {
            Some(Ok(bytes)) => {
                self.first_events = Some(bytes);
                Ok(())
            }
            Some(Err(StreamError::Malformed)) => Err(Outcome::Spoilt),
            _ => Err(Outcome::Broken),
        }
    }

    /// Returns status and content type of the answer.
    pub fn head(&self) -> &AnswerHead {
        &self.head
    }

    /// Returns whether an event has reported an error.
    pub fn has_error(&self) -> bool {
        self.framer.as_ref().is_some_and(|framer| framer.has_error)
    }

    /// Returns how far the answer has come.
    pub fn progress(&self) -> StreamProgress {
        self.progress
    }

    /// Returns the next whole events, byte for byte, or `None` after the end of a complete stream.
    pub async fn next(&mut self) -> Option<Result<Bytes, StreamError>> {
        match self.first_events.take() {
            Some(bytes) => Some(Ok(bytes)),
            None => self.read().await,
        }
    }

    async fn read(&mut self) -> Option<Result<Bytes, StreamError>> {
        loop {
            if self.has_ended {
                return None;
            }
            let silent_until = self.ends_by_silence.then(|| self.progress.last_bytes_at + MAX_SILENCE);
            match wait_until(silent_until, self.body.frame()).await {
                Ok(Some(Ok(frame))) => {
                    // Trailers contain nothing to forward.
                    let Some(bytes) = frame.into_data().ok().filter(|data| !data.is_empty()) else {
                        continue;
                    };
                    let whole_events = match &mut self.framer {
                        Some(framer) => framer.push(bytes),
                        None => Ok(bytes),
                    };
                    self.progress.last_bytes_at = Instant::now();
                    match whole_events {
                        Ok(bytes) if bytes.is_empty() => {}
                        Ok(bytes) => {
                            self.progress.last_event_at = self.progress.last_bytes_at;
                            self.progress.events += 1;
                            return Some(Ok(bytes));
                        }
                        Err(MalformedEvents) => return self.fail(StreamError::Malformed),
                    }
                }
                Ok(None) if self.framer.as_mut().is_none_or(Framer::is_complete_at_end) => {
                    self.has_ended = true;
                    if let Some(connection) = self.connection.take() {
                        self.pool.put_back(self.host, connection);
                    }
                    let rest = self.framer.as_mut().map(Framer::take_rest).filter(|rest| !rest.is_empty());
                    return rest.map(Ok);
                }
                // This process was suspended: what arrived meanwhile is still in the socket and is read
                // first.
                Err(_) if self.progress.last_bytes_at.elapsed() > MAX_SILENCE + MAX_TIMER_DELAY => {
                    self.progress.last_bytes_at = Instant::now() + MAX_TIMER_DELAY - MAX_SILENCE;
                }
                // After an error event a closed connection changes nothing: the client has its answer.
                _ if self.has_error() => {
                    self.has_ended = true;
                    return None;
                }
                Ok(None) => return self.fail(StreamError::Cut),
                Ok(Some(Err(error))) => {
                    return self.fail(if is_malformed_http(&error) {
                        StreamError::Malformed
                    } else {
                        StreamError::Cut
                    });
                }
                Err(_) => {
                    self.pool.mark_unresponsive(self.host);
                    return self.fail(StreamError::Silent);
                }
            }
        }
    }

    /// Ends the stream with an error and closes its connection.
    fn fail(&mut self, error: StreamError) -> Option<Result<Bytes, StreamError>> {
        self.has_ended = true;
        self.connection = None;
        Some(Err(error))
    }
}

/// Waits for a result until a moment, if there is one.
async fn wait_until<T>(until: Option<Instant>, result: impl Future<Output = T>) -> Result<T, Elapsed> {
    match until {
        Some(until) => timeout_at(until, result).await,
        None => Ok(result.await),
    }
}

/// Returns whether the received bytes were not valid HTTP; otherwise the connection itself failed.
fn is_malformed_http(error: &hyper::Error) -> bool {
    let io_error = error.source().and_then(|source| source.downcast_ref::<io::Error>());
    error.is_parse()
        || io_error.is_some_and(|error| {
            matches!(error.kind(), io::ErrorKind::InvalidInput | io::ErrorKind::InvalidData)
        })
}

/// The received bytes are not an event stream.
#[derive(Debug)]
struct MalformedEvents;

/// Splits a byte stream into whole events, however the transport cuts it. The bytes stay unchanged.
#[derive(Default)]
struct Framer {
    is_chat: bool,
    /// Start of an event whose end has not arrived, without the part that was forwarded.
    incomplete: BytesMut,
    /// Bytes of that event that were forwarded already.
    forwarded_bytes: usize,
    /// Whether the event that marks the end of a chat stream has arrived.
    is_done: bool,
    /// Whether an event has reported an error.
    has_error: bool,
}

#[derive(Deserialize)]
struct MaybeError {
    error: Option<serde::de::IgnoredAny>,
}

impl Framer {
    /// Adds bytes and returns all events that are complete now, or a part of an event that is too long to be held; the result
    /// is empty if there is neither.
    fn push(&mut self, bytes: Bytes) -> Result<Bytes, MalformedEvents> {
        if self.incomplete.is_empty() && whole_events_len(&bytes) == bytes.len() {
            self.check(&bytes)?;
            self.forwarded_bytes = 0;
            return Ok(bytes);
        }
        self.incomplete.extend_from_slice(&bytes);
        let whole_len = whole_events_len(&self.incomplete);
        let mut whole_events = self.incomplete.split_to(whole_len);
        self.check(&whole_events)?;
        if whole_len > 0 {
            self.forwarded_bytes = 0;
        }
        let part = self.incomplete.split_to(self.part_len()?);
        self.forwarded_bytes += part.len();
        whole_events.unsplit(part);
        // What is forwarded may wait for long, and would keep the whole buffer.
        let forwarded = Bytes::copy_from_slice(&whole_events);
        drop(whole_events);
        self.incomplete = BytesMut::from(&self.incomplete[..]);
        Ok(forwarded)
    }

    /// Checks the event that is not complete, and returns how much of it is forwarded because it is too long to be held. The
    /// last line ends stay: they may begin the empty line that ends the event.
    fn part_len(&self) -> Result<usize, MalformedEvents> {
        let event = &self.incomplete[..];
        // Binary data is rejected at once rather than after it has reached the size limit of an event.
        let text_len = match std::str::from_utf8(event) {
            Ok(text) => text.len(),
            Err(error) if error.error_len().is_none() => error.valid_up_to(),
            Err(_) => return Err(MalformedEvents),
        };
        if event.iter().any(is_control) || self.forwarded_bytes + event.len() > MAX_EVENT_BYTES {
            return Err(MalformedEvents);
        }
        if self.is_chat || event.len() <= MAX_HELD_EVENT_BYTES {
            return Ok(0);
        }
        let line_ends = event[..text_len].iter().rev().take_while(|byte| b"\r\n".contains(byte)).count();
        Ok(text_len - line_ends)
    }

    /// Checks that whole events are text, and looks for the end mark and errors of a chat stream.
    fn check(&mut self, events: &[u8]) -> Result<(), MalformedEvents> {
        if std::str::from_utf8(events).is_err() || events.iter().any(is_control) {
            return Err(MalformedEvents);
        }
        if self.is_chat {
            events.split(|&byte| byte == b'\n').for_each(|line| self.inspect_line(line.trim_ascii()));
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
    fn take_rest(&mut self) -> Bytes {
        self.incomplete.split().freeze()
    }

    /// Returns whether a stream that ends here is complete.
    fn is_complete_at_end(&mut self) -> bool {
        if self.is_chat {
            let rest = self.incomplete.clone();
            rest.as_ref().split(|&byte| byte == b'\n').for_each(|line| self.inspect_line(line.trim_ascii()));
        }
        !self.is_chat || self.is_done || self.has_error
    }
}

/// Returns the length of the whole events at the start of the bytes: up to the last empty line.
fn whole_events_len(bytes: &[u8]) -> usize {
    let ends_empty_line =
        |index: &usize| matches!(bytes[..=*index], [.., b'\n', b'\n'] | [.., b'\n', b'\r', b'\n']);
    (0..bytes.len()).rev().find(ends_empty_line).map_or(0, |index| index + 1)
}

/// Returns whether the byte is a control character that text does not contain.
fn is_control(byte: &u8) -> bool {
    byte.is_ascii_control() && !matches!(byte, b'\n' | b'\r' | b'\t')
}

#[cfg(test)]
mod tests;

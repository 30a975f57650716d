//! Reads the answer of an instance as a stream of whole events. Distinguishes an answer that is malformed or
//! cut off from an error that the instance reports as an event.

use std::error::Error;
use std::io;
use std::rc::Rc;

use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt;
use hyper::StatusCode;
use hyper::body::Incoming;
use hyper::header::{CONTENT_TYPE, HeaderMap, HeaderValue};
use tokio::time::error::Elapsed;
use tokio::time::{Instant, timeout_at};

use super::answer_framing::FramingProgress;
use super::framer::{Forwardable, Framer, MAX_HELD_EVENT_BYTES, MalformedEvents};
use super::pool::{Connection, Pool};
use crate::api::{HostId, Micros, Outcome};
use crate::logic::answer_timer::{AnswerTimer, Verdict};
use crate::node::to_duration;

/// Why a stream ended before it was complete. The client's connection has to be cut off as well, so that the
/// client notices.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum StreamError {
    /// The connection closed, or the client is to resume elsewhere.
    #[error("the stream was cut off")]
    Cut,
    /// The instance sent no event in time.
    #[error("no event arrived in time")]
    Silent,
    /// The client stopped waiting before its first event, or its answer in one piece, was whole.
    #[error("the first event or the whole answer was not there in time")]
    Overdue,
    /// The bytes are not a valid event stream.
    #[error("the stream is not a valid event stream")]
    Malformed,
}

/// Part of a stream in whole events, or the error that ended the stream.
pub type StreamChunk = Result<Bytes, StreamError>;

/// Media type of a stream of events.
const EVENT_STREAM: &str = "text/event-stream";
/// Most that is held before the first event is whole. The buffers behind it are empty until then.
const MAX_HELD_FIRST_BYTES: usize = 12 * 1024;

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
        let content_type = self.content_type.as_ref().and_then(|value| value.to_str().ok());
        let media_type = content_type.and_then(|value| value.split(';').next());
        media_type.is_some_and(|media_type| media_type.trim().eq_ignore_ascii_case(EVENT_STREAM))
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
    /// How far the framing of the answer was followed.
    pub framing: FramingProgress,
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
    is_chat: bool,
    progress: StreamProgress,
    timer: AnswerTimer,
    /// Origin of the times that the timer is told.
    started_at: Instant,
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
        let framer = head.is_event_stream().then(|| Framer::new(is_chat));
        let (now, connection) = (Instant::now(), Some(connection));
        let framing = FramingProgress::default();
        let progress = StreamProgress { events: 0, last_event_at: now, last_bytes_at: now, framing };
        EventStream {
            pool,
            host,
            connection,
            body,
            head,
            first_events: None,
            framer,
            is_chat,
            progress,
            timer: AnswerTimer::default(),
            started_at: now,
            has_ended: false,
        }
    }

    /// Waits for the first whole event. Fails if the answer breaks, ends, is malformed or reports an error before it; nothing of
    /// it may be forwarded then. Of an event that is too long to be held, it waits for as much as can be held: forwarding has
    /// to begin, and [`EventStream::bound_final_answer`] bounds the rest.
    pub async fn wait_for_first(&mut self) -> Result<(), Outcome> {
        let mut held = BytesMut::new();
        loop {
            let chunk = self.read().await;
            if self.has_error() {
                return Err(Outcome::Error);
            }
            match chunk {
                Some(Ok(bytes)) => held.extend_from_slice(&bytes),
                Some(Err(StreamError::Malformed)) => return Err(Outcome::Spoilt),
                _ => return Err(Outcome::Broken),
            }
            let has_event = self.progress.events > 0 || self.has_ended;
            let is_full = held.len() > MAX_HELD_FIRST_BYTES;
            if has_event || is_full && self.framer.as_ref().is_none_or(Framer::has_forwarded_data) {
                self.first_events = Some(held.freeze());
                return Ok(());
            }
            if let Some(framer) = self.framer.as_ref().filter(|_| is_full) {
                framer.drop_comments(&mut held);
            }
        }
    }

    /// Sets until when the client waits for its final answer, once forwarding begins: for the first event, where only a part of
    /// it has arrived, or for the end of an answer that the client gets in one piece.
    pub fn bound_final_answer(&mut self, deadline: Instant, is_unary: bool) {
        let deadline = deadline.saturating_duration_since(self.started_at).as_micros() as Micros;
        // A server of the chat protocol may answer in one piece though events were asked for.
        if is_unary || self.is_chat && self.framer.is_none() {
            self.timer.bound_end(deadline);
        } else {
            self.timer.bound_first_event(deadline);
        }
    }

    /// Returns status and content type of the answer.
    pub fn head(&self) -> &AnswerHead {
        &self.head
    }

    /// Returns whether an event has reported an error.
    pub fn has_error(&self) -> bool {
        self.framer.as_ref().is_some_and(Framer::has_error)
    }

    /// Returns how far the answer has come.
    pub fn progress(&self) -> StreamProgress {
        let framing = self.connection.as_ref().map_or(self.progress.framing, Connection::framing_progress);
        StreamProgress { framing, ..self.progress }
    }

    /// Returns the next whole events, byte for byte, or `None` after the end of a complete stream.
    pub async fn next(&mut self) -> Option<Result<Bytes, StreamError>> {
        let Some(mut bytes) = self.first_events.take() else { return self.read().await };
        let rest = bytes.split_off(bytes.len().min(MAX_HELD_EVENT_BYTES));
        self.first_events = Some(rest).filter(|rest| !rest.is_empty());
        Some(Ok(bytes))
    }

    /// Returns the time since the stream began.
    fn now(&self) -> Micros {
        self.started_at.elapsed().as_micros() as Micros
    }

    async fn read(&mut self) -> Option<Result<Bytes, StreamError>> {
        self.timer.resume(self.now());
        let chunk = self.read_chunk().await;
        self.timer.pause(self.now());
        chunk
    }

    async fn read_chunk(&mut self) -> Option<Result<Bytes, StreamError>> {
        loop {
            if self.has_ended {
                return None;
            }
            let due_at = self.timer.due_at().map(|due_at| self.started_at + to_duration(due_at));
            let frame = wait_until(due_at, self.body.frame()).await;
            let frame = match frame.map_err(|Elapsed { .. }| self.timer.expired(self.now())) {
                Ok(frame) => frame,
                Err(Verdict::ReadOn) => continue,
                // After an error event silence changes nothing: the client has its answer.
                Err(_) if self.has_error() => {
                    self.has_ended = true;
                    return None;
                }
                Err(Verdict::Silent) => {
                    self.pool.mark_unresponsive(self.host);
                    return self.fail(StreamError::Silent);
                }
                Err(Verdict::Overdue) => {
                    self.pool.report_silence_since(self.host, self.progress.last_bytes_at);
                    return self.fail(StreamError::Overdue);
                }
            };
            match frame {
                Some(Ok(frame)) => {
                    // Trailers contain nothing to forward.
                    let Some(bytes) = frame.into_data().ok().filter(|data| !data.is_empty()) else {
                        continue;
                    };
                    match self.receive(bytes) {
                        Ok(bytes) if bytes.is_empty() => {}
                        Ok(bytes) => return Some(Ok(bytes)),
                        Err(MalformedEvents) => return self.fail(StreamError::Malformed),
                    }
                }
                None if self.framer.as_mut().is_none_or(Framer::is_complete_at_end) => {
                    self.has_ended = true;
                    if let Some(connection) = self.connection.take() {
                        self.pool.put_back(self.host, connection);
                    }
                    let rest = self.framer.as_mut().map(Framer::take_rest).filter(|rest| !rest.is_empty());
                    return rest.map(Ok);
                }
                // After an error event a closed connection changes nothing: the client has its answer.
                _ if self.has_error() => {
                    self.has_ended = true;
                    return None;
                }
                None => return self.fail(StreamError::Cut),
                Some(Err(error)) => {
                    return self.fail(if is_malformed_http(&error) {
                        StreamError::Malformed
                    } else {
                        StreamError::Cut
                    });
                }
            }
        }
    }

    /// Takes bytes that arrived, and returns those that may be forwarded.
    fn receive(&mut self, bytes: Bytes) -> Result<Bytes, MalformedEvents> {
        let Forwardable { bytes, completes_event } = match &mut self.framer {
            Some(framer) => framer.push(bytes)?,
            // Of an answer in another form each part counts as an event.
            None => Forwardable { bytes, completes_event: true },
        };
        self.progress.last_bytes_at = Instant::now();
        if completes_event {
            self.progress.last_event_at = self.progress.last_bytes_at;
            self.progress.events += 1;
            self.timer.event_received(self.now());
        }
        Ok(bytes)
    }

    /// Ends the stream with an error and closes its connection.
    fn fail(&mut self, error: StreamError) -> Option<Result<Bytes, StreamError>> {
        self.has_ended = true;
        self.progress = self.progress();
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

#[cfg(test)]
mod tests;

//! A running answer, passed on in whole events: what an instance spoils is told from what it means.

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
use tokio::time::{Instant, timeout_at};

use super::pool::{Connection, Pool};
use crate::api::{HostId, Outcome};

/// The stream ended before it was whole; the client's connection must show it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum StreamError {
    /// It was cut off, or went silent.
    #[error("the stream was cut off")]
    Cut,
    /// It went on with what is no event stream.
    #[error("the stream was spoilt")]
    Malformed,
}

/// A piece of a stream, or that it broke.
pub type StreamChunk = Result<Bytes, StreamError>;

/// Time without an event after which a running stream is taken for dead. Clients are not to wait 5 s for nothing.
const SILENCE: Duration = Duration::from_millis(4_300);
/// A timer that fires so late slept through its time.
const OVERSLEPT: Duration = Duration::from_millis(200);
/// Longest event; one that does not end is not an event.
const EVENT_MOST: usize = 64 * 1024;

/// What an instance says that its answer is; the core carries it to the front.
#[derive(Clone, Debug)]
pub struct AnswerHead {
    /// The status.
    pub status: StatusCode,
    /// The type of content.
    pub content_type: Option<HeaderValue>,
}

impl AnswerHead {
    /// Whether it comes as a stream of events.
    pub fn is_event_stream(&self) -> bool {
        self.content_type.as_ref().is_some_and(|v| v.as_bytes().starts_with(b"text/event-stream"))
    }
}

/// A running answer.
pub struct EventStream {
    pool: Rc<Pool>,
    host: HostId,
    connection: Option<Connection>,
    body: Incoming,
    form: AnswerHead,
    ready: Option<Bytes>,
    framer: Option<Framer>,
    heard: Instant,
    ended: bool,
}

impl EventStream {
    /// An answer whose head has come. `chat` says that its events name their end and their errors.
    pub fn new(
        (pool, host, connection): (Rc<Pool>, HostId, Connection), body: Incoming,
        (status, head): (StatusCode, HeaderMap), chat: bool,
    ) -> Self {
        let form = AnswerHead { status, content_type: head.get(CONTENT_TYPE).cloned() };
        let framer = form.is_event_stream().then(|| Framer { chat, ..Framer::default() });
        let (heard, connection) = (Instant::now(), Some(connection));
        EventStream { pool, host, connection, body, form, ready: None, framer, heard, ended: false }
    }

    /// Waits for the first event. An answer that breaks, ends, is spoilt or tells an error before it has not begun.
    pub async fn open(&mut self) -> Result<(), Outcome> {
        let first = self.read().await;
        if self.has_error() {
            return Err(Outcome::Error);
        }
        match first {
            Some(Ok(bytes)) => {
                self.ready = Some(bytes);
                Ok(())
            }
            Some(Err(StreamError::Malformed)) => Err(Outcome::Spoilt),
            _ => Err(Outcome::Broken),
        }
    }

    /// What the answer says it is.
    pub fn head(&self) -> &AnswerHead {
        &self.form
    }

    /// Whether an event told an error.
    pub fn has_error(&self) -> bool {
        self.framer.as_ref().is_some_and(|f| f.error)
    }

    /// The next whole events as they came; none after the end of a whole stream.
    pub async fn next(&mut self) -> Option<Result<Bytes, StreamError>> {
        match self.ready.take() {
            Some(bytes) => Some(Ok(bytes)),
            None => self.read().await,
        }
    }

    async fn read(&mut self) -> Option<Result<Bytes, StreamError>> {
        loop {
            if self.ended {
                return None;
            }
            match timeout_at(self.heard + SILENCE, self.body.frame()).await {
                Ok(Some(Ok(frame))) => {
                    // Trailers tell nothing that is passed on.
                    let Some(bytes) = frame.into_data().ok().filter(|b| !b.is_empty()) else { continue };
                    let whole = match &mut self.framer {
                        Some(framer) => framer.take(bytes),
                        None => Ok(bytes),
                    };
                    match whole {
                        Ok(bytes) if bytes.is_empty() => {}
                        Ok(bytes) => {
                            self.heard = Instant::now();
                            return Some(Ok(bytes));
                        }
                        Err(Spoilt) => return self.broke(StreamError::Malformed),
                    }
                }
                Ok(None) if self.framer.as_mut().is_none_or(Framer::may_end) => {
                    self.ended = true;
                    if let Some(connection) = self.connection.take() {
                        self.pool.put_back(self.host, connection);
                    }
                    let rest = self.framer.as_mut().map(Framer::rest).filter(|rest| !rest.is_empty());
                    return rest.map(Ok);
                }
                // This process was stopped meanwhile: what has come since then lies in the socket and is looked at first.
                Err(_) if self.heard.elapsed() > SILENCE + OVERSLEPT => {
                    self.heard = Instant::now() + OVERSLEPT - SILENCE;
                }
                // After an error event a break adds nothing: the client has its answer.
                _ if self.has_error() => {
                    self.ended = true;
                    return None;
                }
                Ok(None) => return self.broke(StreamError::Cut),
                Ok(Some(Err(fault))) => {
                    return self.broke(if unreadable(&fault) {
                        StreamError::Malformed
                    } else {
                        StreamError::Cut
                    });
                }
                Err(_) => {
                    self.pool.mark_unresponsive(self.host);
                    return self.broke(StreamError::Cut);
                }
            }
        }
    }

    fn broke(&mut self, how: StreamError) -> Option<Result<Bytes, StreamError>> {
        self.ended = true;
        self.connection = None;
        Some(Err(how))
    }
}

/// Whether the bytes that came were not HTTP; else the connection itself failed.
fn unreadable(fault: &hyper::Error) -> bool {
    let io = fault.source().and_then(|source| source.downcast_ref::<io::Error>());
    fault.is_parse()
        || io.is_some_and(|io| matches!(io.kind(), io::ErrorKind::InvalidInput | io::ErrorKind::InvalidData))
}

/// What came is no event stream.
#[derive(Debug)]
struct Spoilt;

/// Cuts a stream into whole events across any cuts of its transport; changes nothing.
#[derive(Default)]
struct Framer {
    chat: bool,
    /// The beginning of an event.
    held: BytesMut,
    done: bool,
    error: bool,
}

#[derive(Deserialize)]
struct MaybeError {
    error: Option<serde::de::IgnoredAny>,
}

impl Framer {
    /// Takes bytes in and gives all events that are whole; nothing while there are none.
    fn take(&mut self, bytes: Bytes) -> Result<Bytes, Spoilt> {
        if self.held.is_empty() && whole_events(&bytes) == bytes.len() {
            self.check(&bytes)?;
            return Ok(bytes);
        }
        self.held.extend_from_slice(&bytes);
        let whole = self.held.split_to(whole_events(&self.held)).freeze();
        self.check(&whole)?;
        // Noise shows at once; it is not waited for until it has filled an event.
        let text = std::str::from_utf8(&self.held).map_or_else(|e| e.error_len().is_none(), |_| true);
        if !text || self.held.iter().any(is_control) || self.held.len() > EVENT_MOST {
            return Err(Spoilt);
        }
        Ok(whole)
    }

    fn check(&mut self, events: &[u8]) -> Result<(), Spoilt> {
        if std::str::from_utf8(events).is_err() || events.iter().any(is_control) {
            return Err(Spoilt);
        }
        if self.chat {
            events.split(|&b| b == b'\n').for_each(|line| self.line(line.trim_ascii()));
        }
        Ok(())
    }

    fn line(&mut self, line: &[u8]) {
        let Some(data) = line.strip_prefix(b"data:").map(|d| d.trim_ascii()) else { return };
        let tells = |d| serde_json::from_slice(d).is_ok_and(|m: MaybeError| m.error.is_some());
        self.done |= data == b"[DONE]";
        self.error |= data != b"[DONE]" && tells(data);
    }

    /// What came behind the last whole event; the stream has ended there.
    fn rest(&mut self) -> Bytes {
        self.held.split().freeze()
    }

    /// Whether a stream that ends here is whole.
    fn may_end(&mut self) -> bool {
        if self.chat {
            let rest = self.held.clone();
            rest.as_ref().split(|&b| b == b'\n').for_each(|line| self.line(line.trim_ascii()));
        }
        !self.chat || self.done || self.error
    }
}

/// How many of the bytes are whole events: up to the last empty line.
fn whole_events(bytes: &[u8]) -> usize {
    let empty_line = |at: &usize| matches!(bytes[..=*at], [.., b'\n', b'\n'] | [.., b'\n', b'\r', b'\n']);
    (0..bytes.len()).rev().find(empty_line).map_or(0, |at| at + 1)
}

fn is_control(byte: &u8) -> bool {
    byte.is_ascii_control() && !matches!(byte, b'\n' | b'\r' | b'\t')
}

//! Where a client's connection stands: what of a request has come, and whether it may make room for others.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::task::{Context, Poll, Waker};
use std::time::Duration;

use hyper::Request;
use hyper::body::Incoming;
use hyper::header::{CONTENT_LENGTH, TRANSFER_ENCODING};
use tokio::sync::Notify;
use tokio::time::{Instant, timeout};

use super::budget::{MemoryBudget, Reservation};
use super::pace::Pace;
use super::socket::Look;

/// For a client to send a whole request: an error or a close is owed within 3 s.
pub(super) const REQUEST_TIME: Duration = Duration::from_millis(2_600);
/// Longest head of a request.
pub const MAX_HEAD_BYTES: usize = 32 * 1024;
/// Head for which each connection has room of its own; usual heads are shorter. A connection closes behind a longer one, as
/// the library's buffer for it stays as large.
const USUAL_HEAD_BYTES: usize = 4 * 1024;
/// A head is held twice once it is whole: by the library, and as the headers of its request.
const COPIES_OF_HEAD: usize = 2;
/// Memory of a request from the end of its head to that of its answer: the HTTP library's further buffers and its tasks.
const REQUEST_BYTES: usize = 20 * 1024;
/// The end of a head's last line, and the empty line; each `\r` may be missing.
const LONGEST_END: &[u8] = b"\n\r\n";
/// Of an answer that the library may hold until the client's socket takes it.
const MAX_UNWRITTEN_BYTES: usize = 4 * 1024;
/// For a connection that has said nothing before it may make room: its first bytes may be on their way.
const SILENT_LEAST: Duration = Duration::from_millis(250);
/// For one that has begun a request, since it last sent a part of it.
const BEGUN_LEAST: Duration = Duration::from_millis(1_000);
/// For one whose client does not read the end of its answer.
const FLUSH_LEAST: Duration = Duration::from_millis(1_000);
/// Unfit requests after which a connection is closed.
const UNFIT_MOST: u32 = 8;

/// Where a client's connection stands, in the order in which they make room for others.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Stage {
    /// It has its last answer and is only read.
    Leaving,
    /// It has said nothing yet.
    Silent,
    /// Its requests are answered.
    Idle,
    /// A head has begun.
    Begun,
    /// The head is there, and its body not yet whole.
    Arriving,
    /// Its answer is complete, and bytes of it are still to be written.
    Flushing,
    /// A request is open.
    Open,
}

/// How a request arrived, for the fronts.
#[derive(Clone, Debug)]
pub struct Arrival {
    /// When the client could have begun to send it.
    pub(super) since: Instant,
    /// Its body has been read to its end.
    pub(super) whole: Arc<AtomicBool>,
    /// Its head gave the body's length in two ways; a part of it may be meant as another request.
    pub conflicting: bool,
    /// Number of its connection in the intake.
    pub(super) connection: u64,
}

/// Looks at once whether a client has closed its connection, reading past what came before.
type CloseLookup = Box<dyn Fn() -> Look>;

/// A client's connection, as its task, its bytes and the intake see it.
pub struct ConnectionState {
    number: u64,
    pub(super) stage: Cell<Stage>,
    pub(super) since: Cell<Instant>,
    /// When bytes last came.
    pub(super) heard: Cell<Instant>,
    /// What has come of a head that is not whole.
    head: RefCell<Vec<u8>>,
    /// Memory for a head beyond [`USUAL_HEAD_BYTES`].
    head_room: RefCell<Reservation>,
    /// Memory for the request whose head is whole.
    request_room: RefCell<Reservation>,
    /// There was no memory for a head.
    is_head_refused: Cell<bool>,
    head_refused: Notify,
    /// The head is whole, and which of the headers that state a body's length it has.
    head_whole: Cell<bool>,
    has_content_length: Cell<bool>,
    /// Bytes that came behind the head.
    pub(super) behind: Cell<u64>,
    /// Of them, how many the open request has.
    pub(super) body: Cell<u64>,
    unfit: Cell<u32>,
    /// Whether the open request's body has been read to its end; none while no request waits for its answer.
    whole: RefCell<Option<Arc<AtomicBool>>>,
    making_room: Notify,
    /// A request's head was taken.
    head_taken: Notify,
    /// Of the requests that are not served.
    pace: Cell<Pace>,
    /// The client has closed the connection while its request waited.
    has_closed: Cell<bool>,
    close_lookup: RefCell<Option<CloseLookup>>,
    /// Bytes that were read past behind the open request.
    read_past: Cell<u64>,
    /// Bytes of an answer that the library holds.
    unwritten: Cell<usize>,
    /// Waits for the client's socket to take them.
    writer: RefCell<Option<Waker>>,
}

/// There is no memory for more of a head. Nothing of its request was sent on.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("no room for the head")]
pub struct NoRoomForHead;

/// Where a head ends among the bytes that came behind its beginning, if it does.
fn end_of_head(head: &[u8], bytes: &[u8]) -> Option<usize> {
    let begin = &head[head.len().saturating_sub(LONGEST_END.len() - 1)..];
    let joined = [begin, bytes].concat();
    let ends = |at: &usize| joined[*at..].starts_with(LONGEST_END) || joined[*at..].starts_with(b"\n\n");
    let at = (0..joined.len()).find(ends)?;
    let end = at + if joined[at + 1] == b'\n' { 2 } else { LONGEST_END.len() };
    Some(end - begin.len())
}

/// Whether a head has a header of this name.
fn has_header(head: &[u8], name: &str) -> bool {
    let mut names = head.split(|&b| b == b'\n').filter_map(|line| line.split(|&b| b == b':').next());
    names.any(|found| found.trim_ascii().eq_ignore_ascii_case(name.as_bytes()))
}

impl ConnectionState {
    pub(super) fn new(number: u64, budget: &Rc<MemoryBudget>) -> Rc<Self> {
        Rc::new(ConnectionState {
            number,
            stage: Cell::new(Stage::Silent),
            since: Cell::new(Instant::now()),
            heard: Cell::new(Instant::now()),
            head: RefCell::default(),
            head_room: RefCell::new(Reservation::new(budget)),
            request_room: RefCell::new(Reservation::new(budget)),
            is_head_refused: Cell::new(false),
            head_refused: Notify::new(),
            head_whole: Cell::new(false),
            has_content_length: Cell::new(false),
            behind: Cell::new(0),
            body: Cell::new(0),
            unfit: Cell::new(0),
            whole: RefCell::default(),
            making_room: Notify::new(),
            head_taken: Notify::new(),
            pace: Cell::new(Pace::new(Instant::now())),
            has_closed: Cell::new(false),
            close_lookup: RefCell::default(),
            read_past: Cell::new(0),
            unwritten: Cell::new(0),
            writer: RefCell::default(),
        })
    }

    /// Returns whether the connection may bring a request that is to be sent on now.
    pub(super) fn is_in_pace(&self) -> bool {
        let mut pace = self.pace.get();
        let is_in_pace = pace.admits(Instant::now());
        self.pace.set(pace);
        is_in_pace
    }

    /// A request of the connection was not served.
    pub fn note_unserved(&self) {
        let mut pace = self.pace.get();
        pace.note_unserved();
        self.pace.set(pace);
    }

    /// Sets how the client's close is looked up.
    pub(super) fn set_close_lookup(&self, lookup: impl Fn() -> Look + 'static) {
        self.close_lookup.replace(Some(Box::new(lookup)));
    }

    /// Notes what a look behind the open request has found.
    pub(super) fn looked(&self, look: Look) {
        self.behind.set(self.behind.get() + look.bytes as u64);
        self.read_past.set(self.read_past.get() + look.bytes as u64);
        self.has_closed.set(self.has_closed.get() || look.has_closed);
    }

    /// Returns how many bytes were read past behind the open request.
    pub(super) fn read_past_bytes(&self) -> u64 {
        self.read_past.get()
    }

    /// Returns whether a look has found that the client closed the connection.
    pub(super) fn has_closed(&self) -> bool {
        self.has_closed.get()
    }

    /// Returns whether the client still waits for the answer to its request. While the request is whole and waits, the
    /// connection is looked at in this moment: the runtime may learn of a close only later, and behind unread bytes later still.
    pub fn is_client_waiting(&self) -> bool {
        if self.waits() && !self.has_closed.get() {
            let look = self.close_lookup.borrow().as_ref().map(|lookup| lookup());
            look.into_iter().for_each(|look| self.looked(look));
        }
        !self.has_closed.get()
    }

    pub(super) fn turn(&self, stage: Stage) {
        self.stage.set(stage);
        self.since.set(Instant::now());
    }

    /// Returns whether what comes now belongs to a head. The head is kept here until it is whole; only then the library sees
    /// it, all at once.
    pub(super) fn is_reading_head(&self) -> bool {
        !self.head_whole.get()
    }

    /// Bytes came behind a head.
    pub(super) fn came_behind_head(&self, bytes: usize) {
        self.heard.set(Instant::now());
        self.behind.set(self.behind.get() + bytes as u64);
    }

    /// Bytes came while a head is read. Returns all that has come of it, and what came behind it, once it is whole or too
    /// long to be one.
    pub(super) fn came_of_head(&self, mut bytes: &[u8]) -> Result<Option<Vec<u8>>, NoRoomForHead> {
        self.heard.set(Instant::now());
        let mut head = self.head.borrow_mut();
        if head.is_empty() {
            let begin = bytes.iter().position(|b| !matches!(b, b'\r' | b'\n')).unwrap_or(bytes.len());
            bytes = &bytes[begin..];
            if bytes.is_empty() {
                return Ok(None);
            }
            self.head_begins();
        }
        let end = end_of_head(&head, bytes);
        // What came behind the head goes to the library at once.
        self.reserve_head(&mut head, end.unwrap_or(bytes.len()))?;
        head.extend_from_slice(bytes);
        if let Some(end) = end {
            let end = head.len() - bytes.len() + end;
            self.behind.set((head.len() - end) as u64);
            self.has_content_length.set(has_header(&head[..end], CONTENT_LENGTH.as_str()));
        } else if head.len() > MAX_HEAD_BYTES {
            // The library refuses it. Nothing is known of what it says.
            self.has_content_length.set(true);
        } else {
            return Ok(None);
        }
        if !self.request_room.borrow_mut().grow_in_any_case_to(REQUEST_BYTES) {
            return Err(self.refuse_head(&mut head));
        }
        self.head_whole.set(true);
        Ok(Some(std::mem::take(&mut *head)))
    }

    /// The first bytes of a head came.
    fn head_begins(&self) {
        // A first request has had its time since the connection came up.
        if self.stage.get() == Stage::Silent {
            self.stage.set(Stage::Begun);
        } else if matches!(self.stage.get(), Stage::Idle | Stage::Flushing) {
            self.turn(Stage::Begun);
        }
    }

    /// Makes room for so many further bytes of a head.
    fn reserve_head(&self, head: &mut Vec<u8>, further: usize) -> Result<(), NoRoomForHead> {
        let capacity = (head.len() + further).next_power_of_two();
        let beyond = (capacity * COPIES_OF_HEAD).saturating_sub(USUAL_HEAD_BYTES * COPIES_OF_HEAD);
        if !self.head_room.borrow_mut().grow_to(beyond) {
            return Err(self.refuse_head(head));
        }
        head.reserve_exact(capacity - head.len());
        Ok(())
    }

    /// Notes that there is no memory for a head, and gives back what it had.
    fn refuse_head(&self, head: &mut Vec<u8>) -> NoRoomForHead {
        self.is_head_refused.set(true);
        self.head_refused.notify_one();
        *head = Vec::new();
        self.head_room.borrow_mut().clear();
        NoRoomForHead
    }

    /// Waits until a head is not taken because there is no memory for it.
    pub async fn head_refused(&self) {
        self.head_refused.notified().await;
    }

    /// Returns whether a head was not taken because there was no memory for it.
    pub fn is_head_refused(&self) -> bool {
        self.is_head_refused.get()
    }

    /// Returns whether this connection has had a head that was longer than usual ones.
    fn had_long_head(&self) -> bool {
        self.head_room.borrow().bytes() > 0
    }

    /// The library was given so many bytes of an answer to write.
    pub(crate) fn answer_given(&self, bytes: usize) {
        self.unwritten.set(self.unwritten.get() + bytes);
    }

    /// Waits until the library may be given more of an answer.
    pub(crate) fn poll_answer_room(&self, cx: &mut Context<'_>) -> Poll<()> {
        if self.unwritten.get() < MAX_UNWRITTEN_BYTES {
            return Poll::Ready(());
        }
        self.writer.replace(Some(cx.waker().clone()));
        Poll::Pending
    }

    /// So many bytes were written to the client, framing included.
    pub(super) fn wrote(&self, bytes: usize) {
        self.unwritten.set(self.unwritten.get().saturating_sub(bytes));
        if self.unwritten.get() < MAX_UNWRITTEN_BYTES {
            self.writer.take().into_iter().for_each(Waker::wake);
        }
    }

    /// Where it stands: a request is open once it is whole, as far as its head tells how long it is.
    pub(super) fn stage(&self) -> Stage {
        match self.stage.get() {
            Stage::Open if self.behind.get() < self.body.get() => Stage::Arriving,
            stage => stage,
        }
    }

    /// Whether a request's head has begun and is not whole.
    pub fn has_begun(&self) -> bool {
        self.stage.get() == Stage::Begun
    }

    /// Whether a request's head is whole and its answer not yet with the system.
    pub fn has_request(&self) -> bool {
        matches!(self.stage.get(), Stage::Open | Stage::Flushing)
    }

    /// Since when nothing speaks for keeping it: what sends its request in pieces is still at it.
    pub(super) fn quiet_since(&self) -> Instant {
        match self.stage() {
            Stage::Begun | Stage::Arriving => self.heard.get(),
            _ => self.since.get(),
        }
    }

    pub(super) fn may_go(&self) -> bool {
        let least = match self.stage() {
            Stage::Leaving | Stage::Idle => Duration::ZERO,
            Stage::Silent => SILENT_LEAST,
            Stage::Begun | Stage::Arriving => BEGUN_LEAST,
            Stage::Flushing => FLUSH_LEAST,
            Stage::Open => return false,
        };
        self.quiet_since().elapsed() >= least
    }

    /// Waits until no head is half there, for as long as a whole request may take.
    pub async fn between_heads(&self) {
        let rest = async {
            while self.stage.get() == Stage::Begun {
                self.head_taken.notified().await;
            }
        };
        let _ = timeout(REQUEST_TIME, rest).await;
    }

    /// A request's head was taken.
    pub fn taken(&self, request: &Request<Incoming>) -> Arrival {
        let since = self.since.get();
        self.turn(Stage::Open);
        self.body.set(if let Framed::Length(length) = Framed::of(request) { length } else { 0 });
        self.head_taken.notify_waiters();
        // The library shows only one of two headers that contradict each other.
        let chunked = request.headers().contains_key(TRANSFER_ENCODING);
        let unsure = !self.head_whole.get() || self.has_content_length.get();
        let whole = Arc::<AtomicBool>::default();
        self.whole.replace(Some(whole.clone()));
        self.read_past.set(0);
        Arrival { since, whole, conflicting: chunked && unsure, connection: self.number }
    }

    /// Whether a request has come whole and waits for its answer: what comes now belongs to no request that this connection
    /// will still answer.
    pub(super) fn waits(&self) -> bool {
        self.whole.borrow().as_ref().is_some_and(|whole| whole.load(Ordering::Relaxed))
    }

    /// A request has its answer, or the head of it; whether the connection can go on. One that brought more, or
    /// less, than its request cannot: where the next one begins would not be known.
    pub fn answered(&self, framed: Framed, unfit: bool) -> bool {
        self.unfit.set(self.unfit.get() + u32::from(unfit));
        self.whole.take();
        self.head_whole.set(false);
        self.body.set(0);
        let is_exact = framed == Framed::Length(self.behind.replace(0));
        is_exact && self.unfit.get() < UNFIT_MOST && !self.had_long_head()
    }

    /// Its answer is complete; it is idle once that is written.
    pub fn complete(&self) {
        if self.stage.get() == Stage::Open {
            self.turn(Stage::Flushing);
        }
    }

    /// All that there was to write is with the system.
    pub(super) fn flushed(&self) {
        self.wrote(self.unwritten.get());
        if self.stage.get() == Stage::Flushing {
            self.request_room.borrow_mut().clear();
            self.turn(Stage::Idle);
        }
    }

    /// Has it make room for others. It is not chosen again before its task has taken the step.
    pub(super) fn tell_to_go(&self) {
        self.body.set(0);
        self.turn(Stage::Open);
        self.making_room.notify_one();
    }

    /// Waits until it has to make room for others.
    pub async fn made_room(&self) {
        self.making_room.notified().await;
    }
}

/// How long a request's body is, by its head.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Framed {
    /// So many bytes.
    Length(u64),
    /// In chunks.
    Chunks,
}

impl Framed {
    /// As a request's head says.
    pub fn of<B>(request: &Request<B>) -> Self {
        if request.headers().contains_key(TRANSFER_ENCODING) {
            return Framed::Chunks;
        }
        let length = request.headers().get(CONTENT_LENGTH).and_then(|v| v.to_str().ok()?.parse().ok());
        Framed::Length(length.unwrap_or(0))
    }
}

#[cfg(test)]
mod tests;

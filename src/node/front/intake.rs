//! Room for what clients bring: connections, and bytes of bodies. Who brings nothing makes room for who does.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::future::poll_fn;
use std::io;
use std::mem::MaybeUninit;
use std::pin::{Pin, pin};
use std::rc::Rc;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::task::{Context, Poll, ready};
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt;
use hyper::Request;
use hyper::body::{Body, Incoming};
use hyper::header::{CONTENT_LENGTH, TRANSFER_ENCODING};
use tokio::io::{AsyncRead, AsyncWrite, AsyncWriteExt, ReadBuf};
use tokio::sync::Notify;
use tokio::time::{Instant, sleep, timeout, timeout_at};

use crate::node::counters::{Counters, add};

/// Largest body of a request.
pub const BODY_MOST: usize = 256 * 1024;
/// How much of a body that is too large is read to keep the connection usable.
const DISCARD_MOST: usize = 2 * 1024 * 1024;
/// For a client to send a whole request: an error or a close is owed within 3 s.
const REQUEST_TIME: Duration = Duration::from_millis(2_600);
/// Of that, what a body gets at least.
const BODY_LEAST: Duration = Duration::from_millis(500);
/// Buffer of a client's connection; heads that are longer are refused.
pub const BUFFER: usize = 32 * 1024;
/// Connections past the limit that are still taken, to be told so and closed: at most, and as a part of the limit.
const SPARE: (usize, usize) = (16, 8);
/// Part of a limit, in hundredths, that one of two processes keeps to in an upgrade: both have descriptors of their own
/// beside those counted here.
const SHARE: usize = 42;
/// For a connection that has said nothing before it may make room: its first bytes may be on their way.
const SILENT_LEAST: Duration = Duration::from_millis(250);
/// For one that has begun a request, since it last sent a part of it.
const BEGUN_LEAST: Duration = Duration::from_millis(1_000);
/// For one whose client does not read the end of its answer.
const FLUSH_LEAST: Duration = Duration::from_millis(1_000);
/// How long a connection is still read after its last answer: closed over unread bytes, it would be reset and the
/// answer lost.
const LINGER: Duration = Duration::from_secs(2);
/// The same while the process ends, which waits for it.
const LINGER_AT_END: Duration = Duration::from_millis(500);
/// Between reads of what nobody wants, so that it does not use up the core.
const LINGER_PAUSE: Duration = Duration::from_millis(1);
/// Read at once of what nobody wants.
const SCRATCH: usize = 32 * 1024;
/// Between looks for a connection that may make room, while none may.
const LOOK_AGAIN: Duration = Duration::from_millis(20);
/// Unfit requests after which a connection is closed.
const UNFIT_MOST: u32 = 8;

/// Where a client's connection stands, in the order in which they make room for others.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Stage {
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
    since: Instant,
    /// Its body has been read to its end.
    whole: Arc<AtomicBool>,
    /// Its head gave the body's length in two ways; a part of it may be meant as another request.
    pub conflicting: bool,
}

/// A client's connection, as its task, its bytes and the intake see it.
pub struct Line {
    stage: Cell<Stage>,
    since: Cell<Instant>,
    /// When bytes last came.
    heard: Cell<Instant>,
    head: RefCell<Vec<u8>>,
    head_whole: Cell<bool>,
    /// Bytes that came behind the head.
    behind: Cell<u64>,
    /// Of them, how many the open request has.
    body: Cell<u64>,
    unfit: Cell<u32>,
    /// Whether the open request's body has been read to its end; none while no request waits for its answer.
    whole: RefCell<Option<Arc<AtomicBool>>>,
    making_room: Notify,
    /// A request's head was taken.
    head_taken: Notify,
}

impl Line {
    fn new() -> Rc<Self> {
        Rc::new(Line {
            stage: Cell::new(Stage::Silent),
            since: Cell::new(Instant::now()),
            heard: Cell::new(Instant::now()),
            head: RefCell::default(),
            head_whole: Cell::new(false),
            behind: Cell::new(0),
            body: Cell::new(0),
            unfit: Cell::new(0),
            whole: RefCell::default(),
            making_room: Notify::new(),
            head_taken: Notify::new(),
        })
    }

    fn turn(&self, stage: Stage) {
        self.stage.set(stage);
        self.since.set(Instant::now());
    }

    /// Bytes came. A head is kept as it came until its request is taken: the library shows only one of two
    /// headers that contradict each other.
    fn came(&self, mut bytes: &[u8]) {
        self.heard.set(Instant::now());
        if self.head_whole.get() {
            return self.behind.set(self.behind.get() + bytes.len() as u64);
        }
        let mut head = self.head.borrow_mut();
        if head.is_empty() {
            let begin = bytes.iter().position(|b| !matches!(b, b'\r' | b'\n')).unwrap_or(bytes.len());
            bytes = &bytes[begin..];
            if bytes.is_empty() {
                return;
            }
            // A first request has had its time since the connection came up.
            if self.stage.get() == Stage::Silent {
                self.stage.set(Stage::Begun);
            } else if matches!(self.stage.get(), Stage::Idle | Stage::Flushing) {
                self.turn(Stage::Begun);
            }
        }
        let from = head.len().saturating_sub(3);
        head.extend_from_slice(bytes);
        let ends = |at: &usize| head[*at..].starts_with(b"\n\r\n") || head[*at..].starts_with(b"\n\n");
        if let Some(at) = (from..head.len()).find(ends) {
            let end = at + if head[at + 1] == b'\n' { 2 } else { 3 };
            self.behind.set((head.len() - end) as u64);
            head.truncate(end);
            self.head_whole.set(true);
        } else if head.len() > 2 * BUFFER {
            // The library has refused it by now.
            self.head_whole.set(true);
        }
    }

    /// Where it stands: a request is open once it is whole, as far as its head tells how long it is.
    fn stage(&self) -> Stage {
        match self.stage.get() {
            Stage::Open if self.behind.get() < self.body.get() => Stage::Arriving,
            stage => stage,
        }
    }

    /// Since when nothing speaks for keeping it: what sends its request in pieces is still at it.
    fn quiet_since(&self) -> Instant {
        match self.stage() {
            Stage::Begun | Stage::Arriving => self.heard.get(),
            _ => self.since.get(),
        }
    }

    fn may_go(&self) -> bool {
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
        let head = self.head.take();
        let has = |name: &str| {
            let mut names = head.split(|&b| b == b'\n').filter_map(|l| l.split(|&b| b == b':').next());
            names.any(|n| n.trim_ascii().eq_ignore_ascii_case(name.as_bytes()))
        };
        let chunked = request.headers().contains_key(TRANSFER_ENCODING);
        let unsure = !self.head_whole.get() || has(CONTENT_LENGTH.as_str());
        let whole = Arc::<AtomicBool>::default();
        self.whole.replace(Some(whole.clone()));
        Arrival { since, whole, conflicting: chunked && unsure }
    }

    /// Whether a request has come whole and waits for its answer: what comes now belongs to no request that this connection
    /// will still answer.
    fn waits(&self) -> bool {
        self.whole.borrow().as_ref().is_some_and(|whole| whole.load(Ordering::Relaxed))
    }

    /// A request has its answer, or the head of it; whether the connection can go on. One that brought more, or
    /// less, than its request cannot: where the next one begins would not be known.
    pub fn answered(&self, framed: Framed, unfit: bool) -> bool {
        self.unfit.set(self.unfit.get() + u32::from(unfit));
        self.whole.take();
        self.head_whole.set(false);
        self.body.set(0);
        framed == Framed::Length(self.behind.replace(0)) && self.unfit.get() < UNFIT_MOST
    }

    /// Its answer is complete; it is idle once that is written.
    pub fn complete(&self) {
        if self.stage.get() == Stage::Open {
            self.turn(Stage::Flushing);
        }
    }

    /// All that there was to write is with the system.
    fn flushed(&self) {
        if self.stage.get() == Stage::Flushing {
            self.turn(Stage::Idle);
        }
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

/// A client's byte stream, watched by its line; it outlives the library's use of it.
pub struct Stream<I> {
    io: Rc<RefCell<I>>,
    line: Rc<Line>,
}

impl<I: AsyncRead + AsyncWrite + Unpin> Stream<I> {
    /// Watches a stream.
    pub fn new(io: I, line: Rc<Line>) -> Self {
        Stream { io: Rc::new(RefCell::new(io)), line }
    }

    /// A second handle.
    pub fn handle(&self) -> Self {
        Stream { io: self.io.clone(), line: self.line.clone() }
    }

    /// Waits until the client has closed the connection while its request waits for the answer. The library does not look for
    /// that behind bytes that it has not taken, so these are read past: a connection on which anything came behind a request
    /// closes with the answer to it. The library has to have had its turn to read before each look.
    pub async fn gone(mut self) {
        let line = self.line.clone();
        loop {
            let read = poll_fn(|cx| if line.waits() { self.poll_discard(cx) } else { Poll::Pending }).await;
            if read == 0 {
                return;
            }
            line.behind.set(line.behind.get() + read as u64);
            sleep(LINGER_PAUSE).await;
        }
    }

    /// Ends the sending side and reads on for a while, until the client closes or others need the room; shorter where the
    /// process ends.
    pub async fn leave(mut self, ending: bool) {
        let line = self.line.clone();
        line.turn(Stage::Leaving);
        let last = async {
            let _ = self.shutdown().await;
            while poll_fn(|cx| self.poll_discard(cx)).await > 0 {
                sleep(LINGER_PAUSE).await;
            }
        };
        tokio::select! {
            _ = timeout(if ending { LINGER_AT_END } else { LINGER }, last) => {}
            () = line.made_room() => {}
        }
    }

    /// Reads past what came, so many bytes; none at the end.
    fn poll_discard(&mut self, cx: &mut Context<'_>) -> Poll<usize> {
        let mut scratch = [MaybeUninit::uninit(); SCRATCH];
        let mut buffer = ReadBuf::uninit(&mut scratch);
        let read = ready!(Pin::new(&mut *self.io.borrow_mut()).poll_read(cx, &mut buffer));
        Poll::Ready(read.map_or(0, |()| buffer.filled().len()))
    }
}

impl<I: AsyncRead + Unpin> AsyncRead for Stream<I> {
    fn poll_read(self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &mut ReadBuf<'_>) -> Poll<io::Result<()>> {
        let before = buf.filled().len();
        ready!(Pin::new(&mut *self.io.borrow_mut()).poll_read(cx, buf))?;
        self.line.came(&buf.filled()[before..]);
        Poll::Ready(Ok(()))
    }
}

impl<I: AsyncWrite + Unpin> AsyncWrite for Stream<I> {
    fn poll_write(self: Pin<&mut Self>, cx: &mut Context<'_>, data: &[u8]) -> Poll<io::Result<usize>> {
        Pin::new(&mut *self.io.borrow_mut()).poll_write(cx, data)
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>, cx: &mut Context<'_>, data: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut *self.io.borrow_mut()).poll_write_vectored(cx, data)
    }

    fn is_write_vectored(&self) -> bool {
        self.io.borrow().is_write_vectored()
    }

    fn poll_flush(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        ready!(Pin::new(&mut *self.io.borrow_mut()).poll_flush(cx))?;
        self.line.flushed();
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut *self.io.borrow_mut()).poll_shutdown(cx)
    }
}

/// A limit's part while two processes of this conductor live.
pub fn shared(whole: usize) -> usize {
    (whole * SHARE / 100).max(1)
}

/// Room for what clients bring.
pub struct Intake {
    lines: RefCell<BTreeMap<u64, Rc<Line>>>,
    next: Cell<u64>,
    most: Cell<usize>,
    left: Notify,
    bytes: Cell<usize>,
    most_bytes: Cell<usize>,
    /// Of connections and bytes, while no other process has a part.
    whole: (usize, usize),
    counters: Rc<Counters>,
}

/// A connection's place in the intake, given back when dropped.
pub struct Place {
    intake: Rc<Intake>,
    number: u64,
    /// Its connection.
    pub line: Rc<Line>,
}

impl Drop for Place {
    fn drop(&mut self) {
        self.intake.lines.borrow_mut().remove(&self.number);
        self.intake.left.notify_one();
    }
}

/// Bytes of a body that are held, given back when dropped.
pub struct BodyPermit {
    intake: Rc<Intake>,
    bytes: usize,
}

impl BodyPermit {
    fn new(intake: Rc<Intake>) -> Self {
        BodyPermit { intake, bytes: 0 }
    }

    /// Room for so many bytes more, if there is any.
    fn grow(&mut self, bytes: usize) -> bool {
        let total = self.intake.bytes.get() + bytes;
        let fits = total <= self.intake.most_bytes.get();
        if fits {
            self.intake.bytes.set(total);
            self.bytes += bytes;
        }
        fits
    }
}

impl Drop for BodyPermit {
    fn drop(&mut self) {
        self.intake.bytes.set(self.intake.bytes.get() - self.bytes);
    }
}

impl Intake {
    /// Room for so many connections and so many bytes of bodies.
    pub fn new(most: usize, most_bytes: usize, counters: Rc<Counters>) -> Rc<Self> {
        let (next, bytes) = (Cell::new(0), Cell::new(0));
        let (left, whole) = (Notify::new(), (most, most_bytes));
        let (most, most_bytes) = (Cell::new(most), Cell::new(most_bytes));
        Rc::new(Intake { lines: RefCell::default(), next, most, left, bytes, most_bytes, whole, counters })
    }

    /// Keeps to a part of the room while another process of this conductor has the other, or takes the whole again.
    pub fn share(&self, part: bool) {
        let of = |whole| if part { shared(whole) } else { whole };
        self.most.set(of(self.whole.0));
        self.most_bytes.set(of(self.whole.1));
        let over = self.lines.borrow().len().saturating_sub(self.most.get());
        (0..over).for_each(|_| self.make_room());
    }

    /// Keeps to so many connections at most, within the room that there is; none lifts that.
    pub fn limit(&self, most: Option<usize>) {
        self.most.set(most.map_or(self.whole.0, |most| most.min(self.whole.0)));
        let over = self.lines.borrow().len().saturating_sub(self.most.get());
        (0..over).for_each(|_| self.make_room());
    }

    fn spare(&self) -> usize {
        SPARE.0.min(self.most.get() / SPARE.1)
    }

    /// Whether more clients are connected than are served.
    pub fn crowded(&self) -> bool {
        self.lines.borrow().len() > self.most.get()
    }

    /// Takes a connection in. Past the limit another one makes room, if it has no request open.
    pub fn enter(self: &Rc<Self>) -> Place {
        let (number, line) = (self.next.get(), Line::new());
        self.next.set(number + 1);
        if self.lines.borrow().len() >= self.most.get() {
            self.make_room();
        }
        self.lines.borrow_mut().insert(number, line.clone());
        Place { intake: self.clone(), number, line }
    }

    /// Waits until one more connection can be taken, if only to be told that there is no room.
    pub async fn vacancy(&self) {
        while self.lines.borrow().len() >= self.most.get() + self.spare() {
            self.make_room();
            let _ = timeout(LOOK_AGAIN, self.left.notified()).await;
        }
    }

    /// Whether so many requests are open that one more cannot be taken on.
    pub fn full(&self) -> bool {
        let open = |line: &&Rc<Line>| line.stage() == Stage::Open;
        self.crowded() && self.lines.borrow().values().filter(open).count() > self.most.get()
    }

    /// Of those that may go, the first by stage and time.
    fn make_room(&self) {
        let lines = self.lines.borrow();
        let may_go = lines.values().filter(|line| line.may_go());
        if let Some(line) = may_go.min_by_key(|line| (line.stage(), line.quiet_since())) {
            match line.stage() {
                // Counted when it was told to go.
                Stage::Leaving => {}
                Stage::Begun | Stage::Arriving => add(&self.counters.evicted_begun),
                _ => add(&self.counters.evicted),
            }
            // Not to be chosen again before its task has taken the step.
            line.body.set(0);
            line.turn(Stage::Open);
            line.making_room.notify_one();
        }
    }
}

/// Why a request's body was not taken.
#[derive(Debug, thiserror::Error)]
pub enum BodyError {
    /// It is too large.
    #[error("the body is over {BODY_MOST} bytes")]
    TooLarge,
    /// There is no room for it; it was never taken in, so trying again is harmless.
    #[error("no room for the body")]
    NoRoom,
    /// It took too long.
    #[error("the body took too long to arrive")]
    Slow,
    /// The connection broke within it.
    #[error("the body broke off: {0}")]
    Broken(#[from] hyper::Error),
}

/// Reads a body whole. What is unwanted, a little too large or finds no room is read past, so that the connection
/// can go on.
pub async fn read_body(
    request: &mut Request<Incoming>, wanted: bool, intake: &Rc<Intake>,
) -> Result<(Bytes, BodyPermit), BodyError> {
    let now = Instant::now();
    let since = request.extensions().get::<Arrival>().map_or(now, |arrival| arrival.since);
    let until = (since + REQUEST_TIME).max(now + BODY_LEAST);
    let arrived = request.extensions().get::<Arrival>().map(|arrival| arrival.whole.clone());
    let mut body = pin!(request.body_mut());
    let hint = body.size_hint().lower();
    if hint > DISCARD_MOST as u64 {
        return Err(BodyError::TooLarge);
    }
    let mut permit = BodyPermit::new(intake.clone());
    let read = async {
        let (mut text, mut seen, mut kept) = (BytesMut::new(), 0, wanted);
        while let Some(frame) = body.frame().await {
            let Ok(data) = frame?.into_data() else { continue };
            seen += data.len();
            if seen > DISCARD_MOST {
                return Err(BodyError::TooLarge);
            }
            // Room is taken for what has come, not for what was announced.
            kept = kept && seen <= BODY_MOST && permit.grow(data.len());
            if kept {
                if text.is_empty() {
                    text.reserve(hint.min(BODY_MOST as u64) as usize);
                }
                text.extend_from_slice(&data);
            }
        }
        match (seen > BODY_MOST, kept || !wanted) {
            (true, _) => Err(BodyError::TooLarge),
            (false, true) => Ok(text.freeze()),
            (false, false) => Err(BodyError::NoRoom),
        }
    };
    let text = timeout_at(until, read).await.unwrap_or(Err(BodyError::Slow))?;
    arrived.inspect(|whole| whole.store(true, Ordering::Relaxed));
    Ok((text, permit))
}

#[cfg(test)]
mod tests;

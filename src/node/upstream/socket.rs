//! Socket of a connection to an instance. Checks each request directly before its first byte is written and
//! records when its last byte has left the process.

use std::cell::{Cell, RefCell};
use std::convert::Infallible;
use std::io;
use std::mem::MaybeUninit;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, ready};

use bytes::Bytes;
use hyper::body::{Body, Frame, SizeHint};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::time::Instant;

use super::answer_framing::{AnswerFraming, FramingFault, FramingProgress};
use crate::node::request::ClientPresence;
use crate::node::uninterrupted::RetryInterrupted;

/// Most bytes that one read gives to hyper, which are forwarded as one chunk: several chunks wait where a client reads slowly.
const MAX_READ_BYTES: usize = 4 * 1024;

/// How far a request has been written.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum WriteProgress {
    /// The last byte has not been written.
    #[default]
    Incomplete,
    /// The request has no body, so its head holds the last byte. Nothing has been written.
    BodilessUnwritten,
    /// The last byte was handed to the connection's buffer.
    Buffered,
    /// The buffer with the last byte was flushed to the socket.
    Flushed,
    /// The check before the first byte stopped the request.
    Stopped(NotSentReason),
}

/// Why a request was not sent although an attempt was decided.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum NotSentReason {
    /// The instance drains or is gone.
    #[error("the instance drains or is gone since it was chosen")]
    Draining,
    /// The client has disconnected.
    #[error("the client has disconnected")]
    ClientGone,
    /// The deadline of the attempt passed before the first byte.
    #[error("the deadline of the attempt has passed")]
    DeadlinePassed,
}

/// Tells whether a request's last byte has been written to the socket.
#[derive(Clone, Default)]
pub struct WriteStatus(Rc<Cell<WriteProgress>>);

impl WriteStatus {
    /// Returns whether the last byte was written to the socket.
    pub fn is_written(&self) -> bool {
        self.0.get() == WriteProgress::Flushed
    }

    /// Returns why no byte was written, if the check before the first byte stopped the request.
    pub fn not_sent_reason(&self) -> Option<NotSentReason> {
        if let WriteProgress::Stopped(reason) = self.0.get() { Some(reason) } else { None }
    }
}

/// Request body in one piece that records when it has been handed to the connection.
pub struct RequestBody {
    data: Option<Bytes>,
    status: WriteStatus,
}

impl Body for RequestBody {
    type Data = Bytes;
    type Error = Infallible;

    fn poll_frame(
        mut self: Pin<&mut Self>, _: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Infallible>>> {
        self.status.0.set(WriteProgress::Buffered);
        Poll::Ready(self.data.take().map(|data| Ok(Frame::data(data))))
    }

    fn is_end_stream(&self) -> bool {
        self.data.is_none()
    }

    fn size_hint(&self) -> SizeHint {
        SizeHint::with_exact(self.data.as_ref().map_or(0, |data| data.len() as u64))
    }
}

/// What is checked before the first byte of a request.
#[derive(Clone, Default)]
pub enum SendCheck {
    /// Attempt of a client's request: the instance must accept new work, the client must still wait and the
    /// deadline of the attempt must not have passed.
    Attempt {
        /// Whether the client still waits.
        client: ClientPresence,
        /// When the attempt is cancelled.
        deadline: Instant,
    },
    /// Probe: the instance must accept new work.
    Probe,
    /// No check: the request has started already, or it is a release, which any instance accepts.
    #[default]
    Unchecked,
}

/// TCP stream that checks and tracks one request at a time. Hyper flushes the stream only once its own buffer
/// is empty, so an attempt whose last byte was not flushed is known never to have run.
pub struct CheckedSocket {
    socket: RetryInterrupted<TcpStream>,
    status: WriteStatus,
    check: Rc<RefCell<SendCheck>>,
    accepts_work: Rc<Cell<bool>>,
    framing: Rc<RefCell<AnswerFraming>>,
}

impl CheckedSocket {
    /// Wraps a socket to an instance; `accepts_work` tells at any time whether the instance may be sent new
    /// work.
    pub fn new(socket: TcpStream, accepts_work: Rc<Cell<bool>>) -> Self {
        CheckedSocket {
            socket: RetryInterrupted(socket),
            status: WriteStatus::default(),
            check: Rc::default(),
            accepts_work,
            framing: Rc::default(),
        }
    }

    /// Returns the slot through which the connection's requests are prepared.
    pub fn request_slot(&self) -> RequestSlot {
        RequestSlot { status: self.status.clone(), check: self.check.clone(), framing: self.framing.clone() }
    }

    /// Stops following how answers are framed: nobody reads them.
    pub fn stop_following(&self) {
        self.framing.borrow_mut().stop();
    }

    /// Runs the pending check once, before the first byte of a request; fails if the request must not be
    /// sent.
    fn run_check(&self) -> io::Result<()> {
        let reason = match self.check.take() {
            SendCheck::Unchecked => return Ok(()),
            _ if !self.accepts_work.get() => NotSentReason::Draining,
            SendCheck::Attempt { client, .. } if !client.is_waiting() => NotSentReason::ClientGone,
            SendCheck::Attempt { deadline, .. } if Instant::now() >= deadline => {
                NotSentReason::DeadlinePassed
            }
            SendCheck::Attempt { .. } | SendCheck::Probe => return Ok(()),
        };
        self.status.0.set(WriteProgress::Stopped(reason));
        Err(io::Error::other(reason))
    }

    /// Records that bytes were written. What a request without a body has left is in hyper's buffer then, to be flushed.
    fn note_written(&self, written: &Poll<io::Result<usize>>) {
        let has_begun = matches!(written, Poll::Ready(Ok(1..)));
        if has_begun && self.status.0.get() == WriteProgress::BodilessUnwritten {
            self.status.0.set(WriteProgress::Buffered);
        }
    }
}

/// Sets the check and the write status of a connection's next request.
pub struct RequestSlot {
    status: WriteStatus,
    check: Rc<RefCell<SendCheck>>,
    framing: Rc<RefCell<AnswerFraming>>,
}

impl RequestSlot {
    /// Creates the body of the next request and its write status.
    pub fn request_body(&self, data: Bytes, check: SendCheck) -> (RequestBody, WriteStatus) {
        // Hyper never polls the body of a request without one.
        let progress =
            if data.is_empty() { WriteProgress::BodilessUnwritten } else { WriteProgress::Incomplete };
        self.status.0.set(progress);
        self.check.replace(check);
        self.framing.borrow_mut().expect_answer();
        (
            RequestBody { data: Some(data).filter(|data| !data.is_empty()), status: self.status.clone() },
            self.status.clone(),
        )
    }

    /// Returns how far the framing of the latest answer was followed.
    pub fn framing_progress(&self) -> FramingProgress {
        self.framing.borrow().progress()
    }
}

/// Returns the error that the HTTP library reports as a malformed answer.
fn malformed_answer(fault: FramingFault) -> io::Error {
    io::Error::new(io::ErrorKind::InvalidData, fault)
}

impl AsyncRead for CheckedSocket {
    fn poll_read(
        mut self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let mut scratch = [MaybeUninit::uninit(); MAX_READ_BYTES];
        let most = buf.remaining().min(MAX_READ_BYTES);
        let filled_before = buf.filled().len();
        if let Some(fault) = self.framing.borrow().progress().fault {
            return Poll::Ready(Err(malformed_answer(fault)));
        }
        loop {
            let mut part = ReadBuf::uninit(&mut scratch[..most]);
            ready!(Pin::new(&mut self.socket).poll_read(cx, &mut part))?;
            let framed = self.framing.borrow_mut().follow(part.filled(), buf);
            let has_output = buf.filled().len() > filled_before;
            match framed {
                Err(fault) if !has_output => return Poll::Ready(Err(malformed_answer(fault))),
                // What is left out of an answer is no end of it.
                Ok(()) if !has_output && !part.filled().is_empty() => {}
                _ => return Poll::Ready(Ok(())),
            }
        }
    }
}

impl AsyncWrite for CheckedSocket {
    fn poll_write(mut self: Pin<&mut Self>, cx: &mut Context<'_>, data: &[u8]) -> Poll<io::Result<usize>> {
        self.run_check()?;
        let written = Pin::new(&mut self.socket).poll_write(cx, data);
        self.note_written(&written);
        written
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>, cx: &mut Context<'_>, data: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        self.run_check()?;
        let written = Pin::new(&mut self.socket).poll_write_vectored(cx, data);
        self.note_written(&written);
        written
    }

    fn is_write_vectored(&self) -> bool {
        self.socket.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        let flushed = Pin::new(&mut self.socket).poll_flush(cx);
        if matches!(flushed, Poll::Ready(Ok(()))) && self.status.0.get() == WriteProgress::Buffered {
            self.status.0.set(WriteProgress::Flushed);
        }
        flushed
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.socket).poll_shutdown(cx)
    }
}

//! A socket to an instance, as one request at a time sees it: a last check directly before the request's first byte, and a
//! mark of when its last byte has left the process.

use std::cell::{Cell, RefCell};
use std::convert::Infallible;
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};

use bytes::Bytes;
use hyper::body::{Body, Frame, SizeHint};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::time::Instant;

use crate::node::request::ClientPresence;
use crate::node::uninterrupted::RetryInterrupted;

/// How far a request has been written.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum Written {
    #[default]
    No,
    /// The last byte was handed to the connection's buffer.
    Handed,
    /// The buffer with the last byte was flushed to the socket.
    Yes,
    /// The look before the first byte stopped it.
    Stopped(NotSentReason),
}

/// Why a request that had been decided on did not begin.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum NotSentReason {
    /// Its instance drains or is gone.
    #[error("it drains or is gone since it was chosen")]
    Drains,
    /// Its client has gone.
    #[error("the client has gone")]
    ClientGone,
    /// The time of the attempt was over before it could begin.
    #[error("its time is over")]
    TooLate,
}

/// Tells whether a request's last byte has been written to the socket.
#[derive(Clone, Default)]
pub struct WriteStatus(Rc<Cell<Written>>);

impl WriteStatus {
    /// Whether the last byte was written.
    pub fn is_written(&self) -> bool {
        self.0.get() == Written::Yes
    }

    /// Why not a byte of it was written, where the look before the first one stopped it.
    pub fn held_back(&self) -> Option<NotSentReason> {
        if let Written::Stopped(why) = self.0.get() { Some(why) } else { None }
    }
}

/// A request body in one piece that marks when it has been handed over.
pub struct RequestBody {
    data: Option<Bytes>,
    mark: WriteStatus,
}

impl Body for RequestBody {
    type Data = Bytes;
    type Error = Infallible;

    fn poll_frame(
        mut self: Pin<&mut Self>, _: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Infallible>>> {
        self.mark.0.set(Written::Handed);
        Poll::Ready(self.data.take().map(|data| Ok(Frame::data(data))))
    }

    fn is_end_stream(&self) -> bool {
        self.data.is_none()
    }

    fn size_hint(&self) -> SizeHint {
        SizeHint::with_exact(self.data.as_ref().map_or(0, |d| d.len() as u64))
    }
}

/// What is checked before the first byte of a request.
#[derive(Clone, Default)]
pub enum SendCheck {
    /// A client's request: its instance takes new work, its client waits, and the time of the attempt is not over.
    Attempt {
        /// Whether the client waits.
        wanted: ClientPresence,
        /// When the attempt is given up.
        until: Instant,
    },
    /// A probe: its instance takes new work.
    Probe,
    /// Nothing: the request has begun, or it lets go of what is held, which any instance takes.
    #[default]
    Unchecked,
}

/// The socket. An attempt whose last byte was never written is known never to have run: hyper flushes the socket only once
/// its own buffer is empty.
pub struct CheckedSocket {
    socket: RetryInterrupted<TcpStream>,
    mark: WriteStatus,
    check: Rc<RefCell<SendCheck>>,
    takes_new_work: Rc<Cell<bool>>,
}

impl CheckedSocket {
    /// A socket to an instance of which `takes_new_work` tells whether it may be sent any.
    pub fn new(socket: TcpStream, takes_new_work: Rc<Cell<bool>>) -> Self {
        CheckedSocket {
            socket: RetryInterrupted(socket),
            mark: WriteStatus::default(),
            check: Rc::default(),
            takes_new_work,
        }
    }

    /// What the next request is written through.
    pub fn request_slot(&self) -> RequestSlot {
        RequestSlot { mark: self.mark.clone(), check: self.check.clone() }
    }

    fn pass(&self) -> io::Result<()> {
        let why = match self.check.take() {
            SendCheck::Unchecked => return Ok(()),
            _ if !self.takes_new_work.get() => NotSentReason::Drains,
            SendCheck::Attempt { wanted, .. } if !wanted.is_waiting() => NotSentReason::ClientGone,
            SendCheck::Attempt { until, .. } if Instant::now() >= until => NotSentReason::TooLate,
            SendCheck::Attempt { .. } | SendCheck::Probe => return Ok(()),
        };
        self.mark.0.set(Written::Stopped(why));
        Err(io::Error::other(why))
    }
}

/// A connection's way to check and mark its next request.
pub struct RequestSlot {
    mark: WriteStatus,
    check: Rc<RefCell<SendCheck>>,
}

impl RequestSlot {
    /// A body for the next request, and the mark that tells when it is written.
    pub fn request_body(&self, data: Bytes, check: SendCheck) -> (RequestBody, WriteStatus) {
        self.mark.0.set(Written::No);
        self.check.replace(check);
        (
            RequestBody { data: Some(data).filter(|d| !d.is_empty()), mark: self.mark.clone() },
            self.mark.clone(),
        )
    }
}

impl AsyncRead for CheckedSocket {
    fn poll_read(
        mut self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.socket).poll_read(cx, buf)
    }
}

impl AsyncWrite for CheckedSocket {
    fn poll_write(mut self: Pin<&mut Self>, cx: &mut Context<'_>, data: &[u8]) -> Poll<io::Result<usize>> {
        self.pass()?;
        Pin::new(&mut self.socket).poll_write(cx, data)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>, cx: &mut Context<'_>, data: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        self.pass()?;
        Pin::new(&mut self.socket).poll_write_vectored(cx, data)
    }

    fn is_write_vectored(&self) -> bool {
        self.socket.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        let flushed = Pin::new(&mut self.socket).poll_flush(cx);
        if matches!(flushed, Poll::Ready(Ok(()))) && self.mark.0.get() == Written::Handed {
            self.mark.0.set(Written::Yes);
        }
        flushed
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.socket).poll_shutdown(cx)
    }
}

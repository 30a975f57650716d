//! A client's byte stream, watched by the state of its connection; it outlives the HTTP library's use of it.

use std::cell::RefCell;
use std::future::poll_fn;
use std::io;
use std::mem::MaybeUninit;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, ready};
use std::time::Duration;

use tokio::io::{AsyncRead, AsyncWrite, AsyncWriteExt, ReadBuf};
use tokio::time::{Instant, sleep, timeout};

use super::connection::{ConnectionState, Stage};
use super::socket::{ClientSocket, Look};
use crate::node::process::shutdown::Shutdown;

/// How long a connection is still read after its last answer: closed over unread bytes, it would be reset and the
/// answer lost.
const LINGER: Duration = Duration::from_secs(2);
/// The same while the process ends, which waits for it.
const LINGER_AT_END: Duration = Duration::from_millis(500);
/// The answer to a request that is refused before its head is whole.
const REFUSAL: &[u8] = b"HTTP/1.1 429 Too Many Requests\r\ncontent-length: 0\r\nconnection: close\r\n\r\n";
/// Between reads of what nobody wants, so that it does not use up the core.
const LINGER_PAUSE: Duration = Duration::from_millis(1);
/// Read by one call of what nobody wants.
const SCRATCH: usize = 32 * 1024;
/// The most that the buffers of both ends of a connection hold: what a client may have sent before it closed. The usual
/// limits of Linux are 6 MB for the receiver and 4 MB for the sender.
const MAX_BUFFERED_BYTES: usize = 16 * 1024 * 1024;
/// Read in one turn behind a request that waits, up to [`MAX_BUFFERED_BYTES`]: all of that takes some 40 ms, as the client's
/// close has to be known within 0.1 s.
const CATCH_UP_BYTES: usize = 1024 * 1024;

/// A client's byte stream, watched by its connection; it outlives the library's use of it.
pub struct Stream<I> {
    io: Rc<RefCell<I>>,
    connection: Rc<ConnectionState>,
}

impl<I: ClientSocket + 'static> Stream<I> {
    /// Watches a stream, and lets its connection look for the client's close at any moment.
    pub fn new(io: I, connection: Rc<ConnectionState>) -> Self {
        let io = Rc::new(RefCell::new(io));
        // The stream keeps the socket open, not the state of its connection.
        let socket = Rc::downgrade(&io);
        connection.set_close_lookup(move || match socket.upgrade() {
            Some(io) => io.borrow().look_for_close(MAX_BUFFERED_BYTES),
            None => Look { bytes: 0, has_closed: true },
        });
        Stream { io, connection }
    }
}

impl<I: AsyncRead + AsyncWrite + Unpin> Stream<I> {
    /// A second handle.
    pub fn handle(&self) -> Self {
        Stream { io: self.io.clone(), connection: self.connection.clone() }
    }

    /// Waits until the client has closed the connection while its request waits for the answer. The library does not look for
    /// that behind bytes that it has not taken, so these are read past: a connection on which anything came behind a request
    /// closes with the answer to it. The library has to have had its turn to read before each look.
    pub async fn gone(mut self) {
        let connection = self.connection.clone();
        loop {
            let is_catching_up = connection.read_past_bytes() < MAX_BUFFERED_BYTES as u64;
            let most = if is_catching_up { CATCH_UP_BYTES } else { SCRATCH };
            let look =
                poll_fn(|cx| if connection.waits() { self.poll_discard(cx, most) } else { Poll::Pending });
            connection.looked(look.await);
            if connection.has_closed() {
                return;
            }
            sleep(LINGER_PAUSE).await;
        }
    }

    /// Refuses a request that has come in part: nothing of it was sent on, so its client may repeat it.
    pub async fn refuse(&mut self) {
        let _ = timeout(LINGER_AT_END, self.write_all(REFUSAL)).await;
    }

    /// Ends the sending side and reads on for a while, until the client closes or others need the room; shorter from the moment
    /// in which the process ends.
    pub async fn leave(mut self, shutdown: &Shutdown) {
        let connection = self.connection.clone();
        connection.turn(Stage::Leaving);
        let last = async {
            let _ = self.shutdown().await;
            while !poll_fn(|cx| self.poll_discard(cx, SCRATCH)).await.has_closed {
                sleep(LINGER_PAUSE).await;
            }
        };
        tokio::select! {
            _ = timeout(LINGER, last) => {}
            () = connection.made_room() => {}
            () = shutdown.due(|_| Instant::now() + LINGER_AT_END) => {}
        }
    }

    /// Reads past what came, about so many bytes at most; waits while nothing has come.
    fn poll_discard(&mut self, cx: &mut Context<'_>, max_bytes: usize) -> Poll<Look> {
        let mut look = Look::default();
        while look.bytes < max_bytes && !look.has_closed {
            let mut scratch = [MaybeUninit::uninit(); SCRATCH];
            let mut buffer = ReadBuf::uninit(&mut scratch);
            match Pin::new(&mut *self.io.borrow_mut()).poll_read(cx, &mut buffer) {
                Poll::Pending if look.bytes == 0 => return Poll::Pending,
                Poll::Pending => break,
                Poll::Ready(read) => {
                    look.bytes += buffer.filled().len();
                    look.has_closed = read.is_err() || buffer.filled().is_empty();
                }
            }
        }
        Poll::Ready(look)
    }
}

impl<I: AsyncRead + Unpin> AsyncRead for Stream<I> {
    fn poll_read(self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &mut ReadBuf<'_>) -> Poll<io::Result<()>> {
        let before = buf.filled().len();
        ready!(Pin::new(&mut *self.io.borrow_mut()).poll_read(cx, buf))?;
        self.connection.came(&buf.filled()[before..]);
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
        self.connection.flushed();
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut *self.io.borrow_mut()).poll_shutdown(cx)
    }
}

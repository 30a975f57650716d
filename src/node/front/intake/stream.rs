//! A client's byte stream, watched by the state of its connection; it outlives the HTTP library's use of it.

use std::cell::RefCell;
use std::future::poll_fn;
use std::io::{self, Cursor};
use std::mem::MaybeUninit;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, ready};
use std::time::Duration;

use tokio::io::{AsyncRead, AsyncWrite, AsyncWriteExt, ReadBuf};
use tokio::time::{Instant, sleep, timeout};

use super::connection::{ConnectionState, NoRoomForHead, Stage};
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
/// Given to the HTTP library by one read: less than its first buffer, which it doubles where a read fills it.
const MAX_READ_BYTES: usize = 8 * 1024 - 1;
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
    /// A whole head and what came behind it, until the library has taken it.
    taken: Cursor<Vec<u8>>,
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
        Stream { io, connection, taken: Cursor::default() }
    }
}

impl<I: AsyncRead + AsyncWrite + Unpin> Stream<I> {
    /// A second handle.
    pub fn handle(&self) -> Self {
        Stream { io: self.io.clone(), connection: self.connection.clone(), taken: Cursor::default() }
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

impl<I: AsyncRead + Unpin> Stream<I> {
    /// Reads until a head is whole; returns `false` at the end of the connection.
    fn poll_head(&mut self, cx: &mut Context<'_>) -> Poll<io::Result<bool>> {
        loop {
            let mut scratch = [MaybeUninit::uninit(); MAX_READ_BYTES];
            let mut buffer = ReadBuf::uninit(&mut scratch);
            ready!(Pin::new(&mut *self.io.borrow_mut()).poll_read(cx, &mut buffer))?;
            if buffer.filled().is_empty() {
                return Poll::Ready(Ok(false));
            }
            match self.connection.came_of_head(buffer.filled()) {
                Ok(None) => {}
                Ok(Some(head)) => {
                    self.taken = Cursor::new(head);
                    return Poll::Ready(Ok(true));
                }
                // The connection's task has been told.
                Err(NoRoomForHead) => return Poll::Pending,
            }
        }
    }

    /// Gives the library the next part of what was taken.
    fn give_taken(&mut self, buf: &mut ReadBuf<'_>) {
        let from = self.taken.position() as usize;
        let part = buf.remaining().min(MAX_READ_BYTES).min(self.taken.get_ref().len() - from);
        buf.put_slice(&self.taken.get_ref()[from..from + part]);
        self.taken.set_position((from + part) as u64);
        if from + part == self.taken.get_ref().len() {
            self.taken = Cursor::default();
        }
    }
}

impl<I: AsyncRead + Unpin> AsyncRead for Stream<I> {
    /// Gives the library a head only once it is whole, and bodies in small parts, so that it holds little for a client that
    /// stops half way.
    fn poll_read(self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &mut ReadBuf<'_>) -> Poll<io::Result<()>> {
        let stream = self.get_mut();
        if stream.taken.get_ref().is_empty()
            && stream.connection.is_reading_head()
            && !ready!(stream.poll_head(cx))?
        {
            return Poll::Ready(Ok(()));
        }
        if !stream.taken.get_ref().is_empty() {
            stream.give_taken(buf);
            return Poll::Ready(Ok(()));
        }
        let mut scratch = [MaybeUninit::uninit(); MAX_READ_BYTES];
        let most = buf.remaining().min(MAX_READ_BYTES);
        let mut part = ReadBuf::uninit(&mut scratch[..most]);
        ready!(Pin::new(&mut *stream.io.borrow_mut()).poll_read(cx, &mut part))?;
        stream.connection.came_behind_head(part.filled().len());
        buf.put_slice(part.filled());
        Poll::Ready(Ok(()))
    }
}

impl<I: AsyncWrite + Unpin> AsyncWrite for Stream<I> {
    fn poll_write(self: Pin<&mut Self>, cx: &mut Context<'_>, data: &[u8]) -> Poll<io::Result<usize>> {
        let written = ready!(Pin::new(&mut *self.io.borrow_mut()).poll_write(cx, data))?;
        self.connection.wrote(written);
        Poll::Ready(Ok(written))
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>, cx: &mut Context<'_>, data: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let written = ready!(Pin::new(&mut *self.io.borrow_mut()).poll_write_vectored(cx, data))?;
        self.connection.wrote(written);
        Poll::Ready(Ok(written))
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

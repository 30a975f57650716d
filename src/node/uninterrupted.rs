//! A socket wrapper that repeats calls interrupted by a signal (`EINTR`). The runtime passes such an error on, and the HTTP
//! library would close the connection because of it.

use std::io::{self, ErrorKind};
use std::pin::Pin;
use std::task::{Context, Poll};

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

/// Number of calls in one poll. If all of them are interrupted, the task yields so that others can run.
const MAX_CALLS_PER_POLL: usize = 8;

/// A socket that repeats calls interrupted by a signal.
pub struct RetryInterrupted<I>(pub I);

/// Repeats a call until it is not interrupted by a signal, up to [`MAX_CALLS_PER_POLL`] calls.
fn retry_interrupted<T>(
    cx: &mut Context<'_>, mut call: impl FnMut(&mut Context<'_>) -> Poll<io::Result<T>>,
) -> Poll<io::Result<T>> {
    for _ in 0..MAX_CALLS_PER_POLL {
        match call(cx) {
            Poll::Ready(Err(error)) if error.kind() == ErrorKind::Interrupted => {}
            completed => return completed,
        }
    }
    cx.waker().wake_by_ref();
    Poll::Pending
}

impl<I: AsyncRead + Unpin> AsyncRead for RetryInterrupted<I> {
    fn poll_read(
        mut self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        retry_interrupted(cx, |cx| Pin::new(&mut self.0).poll_read(cx, buf))
    }
}

impl<I: AsyncWrite + Unpin> AsyncWrite for RetryInterrupted<I> {
    fn poll_write(mut self: Pin<&mut Self>, cx: &mut Context<'_>, data: &[u8]) -> Poll<io::Result<usize>> {
        retry_interrupted(cx, |cx| Pin::new(&mut self.0).poll_write(cx, data))
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>, cx: &mut Context<'_>, data: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        retry_interrupted(cx, |cx| Pin::new(&mut self.0).poll_write_vectored(cx, data))
    }

    fn is_write_vectored(&self) -> bool {
        self.0.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        retry_interrupted(cx, |cx| Pin::new(&mut self.0).poll_flush(cx))
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        retry_interrupted(cx, |cx| Pin::new(&mut self.0).poll_shutdown(cx))
    }
}

#[cfg(test)]
mod tests;

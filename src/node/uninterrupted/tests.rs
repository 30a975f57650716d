use tokio::io::{AsyncReadExt, AsyncWriteExt};

use super::*;

/// A socket that transfers one byte per call, after a given number of interrupted calls for each byte.
struct InterruptingSocket {
    interruptions: usize,
    interruptions_left: usize,
    unread: Vec<u8>,
    written: Vec<u8>,
}

impl InterruptingSocket {
    fn interrupt(&mut self) -> io::Result<()> {
        if self.interruptions_left > 0 {
            self.interruptions_left -= 1;
            return Err(ErrorKind::Interrupted.into());
        }
        self.interruptions_left = self.interruptions;
        Ok(())
    }
}

impl AsyncRead for InterruptingSocket {
    fn poll_read(
        mut self: Pin<&mut Self>, _: &mut Context<'_>, buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        self.interrupt()?;
        let read = self.unread.len().min(1);
        let bytes: Vec<u8> = self.unread.drain(..read).collect();
        buf.put_slice(&bytes);
        Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for InterruptingSocket {
    fn poll_write(mut self: Pin<&mut Self>, _: &mut Context<'_>, data: &[u8]) -> Poll<io::Result<usize>> {
        self.interrupt()?;
        self.written.extend(data.first());
        Poll::Ready(Ok(data.len().min(1)))
    }

    fn poll_flush(mut self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(self.interrupt())
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(self.interrupt())
    }
}

#[tokio::test]
async fn interrupted_and_short_calls_lose_no_data() {
    for interruptions in [0, 1, MAX_CALLS_PER_POLL - 1, MAX_CALLS_PER_POLL, 5 * MAX_CALLS_PER_POLL] {
        let unread = b"half a line".to_vec();
        let mut socket = RetryInterrupted(InterruptingSocket {
            interruptions,
            interruptions_left: interruptions,
            unread,
            written: Vec::new(),
        });
        let mut read = String::new();
        socket.read_to_string(&mut read).await.expect("the socket reports no error");
        assert_eq!(read, "half a line", "{interruptions} interruptions per byte");
        socket.write_all(b"another").await.expect("the socket reports no error");
        socket.flush().await.expect("the socket reports no error");
        socket.shutdown().await.expect("the socket reports no error");
        assert_eq!(socket.0.written, b"another", "{interruptions} interruptions per byte");
    }
}

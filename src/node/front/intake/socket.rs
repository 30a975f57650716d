//! Sockets of clients: whether a client has closed its connection, looked up without waiting and without the runtime.

use std::os::fd::AsFd;

use rustix::io::Errno;
use rustix::net::{RecvFlags, recv};
use tokio::io::{AsyncRead, AsyncWrite};
use tokio::net::TcpStream;
use tokio_rustls::server::TlsStream;

use crate::node::uninterrupted::RetryInterrupted;

/// Bytes read past in one call.
const SCRATCH_BYTES: usize = 64 * 1024;

/// What a look at a client's socket has found.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Look {
    /// Bytes that were read past.
    pub bytes: usize,
    /// The client has closed the connection or its sending half, or the connection broke.
    pub has_closed: bool,
}

/// A client's byte stream whose close can be looked up at any moment.
pub trait ClientSocket: AsyncRead + AsyncWrite + Unpin {
    /// Looks whether the client has closed its connection, reading past up to `max_bytes` that came before the close. The
    /// bytes are lost, so this is for a connection of which no further request is taken.
    fn look_for_close(&self, max_bytes: usize) -> Look;
}

/// Receives without waiting; repeats a call that a signal interrupted.
fn receive(socket: &impl AsFd, buffer: &mut [u8], flags: RecvFlags) -> Result<usize, Errno> {
    rustix::io::retry_on_intr(|| recv(socket, &mut *buffer, flags | RecvFlags::DONTWAIT))
        .map(|(_, received)| received)
}

impl ClientSocket for RetryInterrupted<TcpStream> {
    fn look_for_close(&self, max_bytes: usize) -> Look {
        let mut scratch = [0; SCRATCH_BYTES];
        let mut look = Look::default();
        while look.bytes < max_bytes {
            match receive(&self.0, &mut scratch, RecvFlags::empty()) {
                Ok(received @ 1..) => look.bytes += received,
                Err(Errno::AGAIN) => break,
                Ok(_) | Err(_) => {
                    look.has_closed = true;
                    break;
                }
            }
        }
        look
    }
}

impl ClientSocket for TlsStream<RetryInterrupted<TcpStream>> {
    /// Reads nothing past: the TLS session has to see every byte.
    fn look_for_close(&self, _: usize) -> Look {
        let peeked = receive(&self.get_ref().0.0, &mut [0], RecvFlags::PEEK);
        Look { bytes: 0, has_closed: !matches!(peeked, Ok(1..) | Err(Errno::AGAIN)) }
    }
}

#[cfg(test)]
mod tests;

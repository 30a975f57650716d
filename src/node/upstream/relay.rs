//! Forwards the events of a stream to the client, byte for byte.

use super::events::{EventStream, StreamError};
use crate::node::answer_stream::{StreamEnd, StreamSender};

/// Most chunks of a stream that wait for a slow client. While as many wait, the instance's connection is not
/// read. Each is at most as large as one read, or as what is held of an event.
pub const MAX_WAITING_CHUNKS: usize = 1;

/// How the forwarding of a stream ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RelayEnd {
    /// The whole stream was forwarded.
    Complete,
    /// The stream broke.
    Broken(StreamError),
    /// The stream ended with an event that reports an error of the instance.
    ErrorEvent,
    /// The stream was cut off before the process ends, for its client to resume it elsewhere.
    Moved,
    /// The client disconnected.
    ClientLeft,
}

impl RelayEnd {
    /// Returns the end of the stream that the client is told.
    pub fn stream_end(self) -> StreamEnd {
        match self {
            RelayEnd::Complete | RelayEnd::ErrorEvent => Ok(()),
            RelayEnd::Broken(error) => Err(error),
            RelayEnd::Moved | RelayEnd::ClientLeft => Err(StreamError::Cut),
        }
    }
}

/// Forwards events until the stream ends or the client disconnects.
pub async fn forward_events(events: &mut EventStream, client: &StreamSender) -> RelayEnd {
    loop {
        let chunk = tokio::select! {
            () = client.closed() => return RelayEnd::ClientLeft,
            chunk = events.next() => chunk,
        };
        match chunk {
            Some(Ok(bytes)) => {
                if client.send(bytes).await.is_err() {
                    return RelayEnd::ClientLeft;
                }
            }
            Some(Err(_)) if client.is_closed() => return RelayEnd::ClientLeft,
            Some(Err(error)) => return RelayEnd::Broken(error),
            None if events.has_error() => return RelayEnd::ErrorEvent,
            None => return RelayEnd::Complete,
        }
    }
}

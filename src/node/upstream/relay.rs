//! Forwards the events of a stream to the client, byte for byte.

use tokio::sync::mpsc;

use super::events::{EventStream, StreamChunk, StreamError};

/// Most chunks of a stream that wait for a slow client. While as many wait, the instance's connection is not
/// read.
pub const MAX_WAITING_CHUNKS: usize = 4;

/// How the forwarding of a stream ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RelayEnd {
    /// The whole stream was forwarded.
    Complete,
    /// The stream broke.
    Broken(StreamError),
    /// The stream ended with an event that reports an error of the instance.
    ErrorEvent,
    /// The client disconnected.
    ClientLeft,
}

/// Forwards events until the stream ends or the client disconnects.
pub async fn forward_events(events: &mut EventStream, client: &mpsc::Sender<StreamChunk>) -> RelayEnd {
    loop {
        let chunk = tokio::select! {
            () = client.closed() => return RelayEnd::ClientLeft,
            chunk = events.next() => chunk,
        };
        match chunk {
            Some(Ok(bytes)) => {
                if client.send(Ok(bytes)).await.is_err() {
                    return RelayEnd::ClientLeft;
                }
            }
            Some(Err(error)) => {
                // If the channel is full, the error waits until the slow client has read. A client that
                // disconnects ends the wait.
                let sent = client.send(Err(error)).await;
                return if sent.is_ok() { RelayEnd::Broken(error) } else { RelayEnd::ClientLeft };
            }
            None if events.has_error() => return RelayEnd::ErrorEvent,
            None => return RelayEnd::Complete,
        }
    }
}

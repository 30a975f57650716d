//! Passing a stream on, event by event, as the bytes that came.

use tokio::sync::mpsc;

use super::events::{EventStream, StreamChunk, StreamError};

/// Pieces of a stream that wait for a slow reader; past them the instance's connection is read no further.
pub const MAX_WAITING_CHUNKS: usize = 4;

/// How passing on ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RelayEnd {
    /// The whole stream.
    Complete,
    /// It broke.
    Broken(StreamError),
    /// It told an error of its own as an event, and that is all.
    ErrorEvent,
    /// The client went away.
    ClientLeft,
}

/// Passes events on until the stream ends either way.
pub async fn forward_events(events: &mut EventStream, client: &mpsc::Sender<StreamChunk>) -> RelayEnd {
    loop {
        let piece = tokio::select! {
            () = client.closed() => return RelayEnd::ClientLeft,
            piece = events.next() => piece,
        };
        match piece {
            Some(Ok(bytes)) => {
                if client.send(Ok(bytes)).await.is_err() {
                    return RelayEnd::ClientLeft;
                }
            }
            Some(Err(broken)) => {
                // A full channel means a slow reader: the break waits its turn, the client's leaving does not.
                let told = client.send(Err(broken)).await;
                return if told.is_ok() { RelayEnd::Broken(broken) } else { RelayEnd::ClientLeft };
            }
            None if events.has_error() => return RelayEnd::ErrorEvent,
            None => return RelayEnd::Complete,
        }
    }
}

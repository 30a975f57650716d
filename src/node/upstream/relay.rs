//! Passing a stream on, event by event, as the bytes that came.

use tokio::sync::mpsc;

use super::events::{Events, Piece, StreamBroken};

/// Pieces of a stream that wait for a slow reader; past them the instance's connection is read no further.
pub const WAITING: usize = 4;

/// How passing on ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Passed {
    /// The whole stream.
    Whole,
    /// It broke.
    Broken(StreamBroken),
    /// It told an error of its own as an event, and that is all.
    Failed,
    /// The client went away.
    ClientLeft,
}

/// Passes events on until the stream ends either way.
pub async fn pass(events: &mut Events, client: &mpsc::Sender<Piece>) -> Passed {
    loop {
        let piece = tokio::select! {
            () = client.closed() => return Passed::ClientLeft,
            piece = events.next() => piece,
        };
        match piece {
            Some(Ok(bytes)) => {
                if client.send(Ok(bytes)).await.is_err() {
                    return Passed::ClientLeft;
                }
            }
            Some(Err(broken)) => {
                // A full channel means a slow reader: the break waits its turn, the client's leaving does not.
                let told = client.send(Err(broken)).await;
                return if told.is_ok() { Passed::Broken(broken) } else { Passed::ClientLeft };
            }
            None if events.told_error() => return Passed::Failed,
            None => return Passed::Whole,
        }
    }
}

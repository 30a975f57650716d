//! The channel that carries the stream of an answer from a request's task to its front.
//!
//! The end of a stream is stated: [`StreamSender::finish`] tells whether the stream is complete, and a stream whose sender is
//! dropped without a word counts as cut off. The statement waits for no room, however little the client reads.

use std::pin::Pin;
use std::task::{Context, Poll, ready};

use bytes::Bytes;
use tokio::sync::{mpsc, oneshot};

use crate::node::upstream::events::{StreamChunk, StreamError};

/// How a stream ended: complete, or with an error.
pub type StreamEnd = Result<(), StreamError>;

/// The client disconnected, and the rest of its stream is not wanted.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("the client disconnected")]
pub struct ClientLeft;

/// Creates the channel for one stream, in which at most this many chunks wait for a slow client.
pub fn answer_stream(max_waiting_chunks: usize) -> (StreamSender, StreamReceiver) {
    let (chunks, chunk_receiver) = mpsc::channel(max_waiting_chunks);
    let (end, end_receiver) = oneshot::channel();
    (StreamSender { chunks, end }, StreamReceiver { chunks: chunk_receiver, end: Some(end_receiver) })
}

/// The request's side of a stream.
pub struct StreamSender {
    chunks: mpsc::Sender<Bytes>,
    end: oneshot::Sender<StreamEnd>,
}

impl StreamSender {
    /// Sends whole events on, once there is room for them.
    pub async fn send(&self, chunk: Bytes) -> Result<(), ClientLeft> {
        self.chunks.send(chunk).await.map_err(|_| ClientLeft)
    }

    /// Waits until the client disconnects.
    pub async fn closed(&self) {
        self.chunks.closed().await;
    }

    /// Returns whether the client has disconnected.
    pub fn is_closed(&self) -> bool {
        self.chunks.is_closed()
    }

    /// Returns how many chunks wait for the client.
    pub fn waiting_chunks(&self) -> usize {
        self.chunks.max_capacity() - self.chunks.capacity()
    }

    /// Ends the stream behind the chunks that were sent. It does not wait until they are read.
    pub fn finish(self, end: StreamEnd) {
        // A client that has disconnected needs no end.
        let _ = self.end.send(end);
    }
}

/// The front's side of a stream.
pub struct StreamReceiver {
    chunks: mpsc::Receiver<Bytes>,
    /// `None` once the end was returned.
    end: Option<oneshot::Receiver<StreamEnd>>,
}

impl StreamReceiver {
    /// Returns the next chunk, the error that ended the stream, or `None` after the end of a complete stream.
    pub fn poll_next(&mut self, cx: &mut Context<'_>) -> Poll<Option<StreamChunk>> {
        if let Some(chunk) = ready!(self.chunks.poll_recv(cx)) {
            return Poll::Ready(Some(Ok(chunk)));
        }
        let Some(end) = &mut self.end else { return Poll::Ready(None) };
        let end = ready!(Pin::new(end).poll(cx)).unwrap_or(Err(StreamError::Cut));
        self.end = None;
        Poll::Ready(end.err().map(Err))
    }

    /// Waits for what [`StreamReceiver::poll_next`] returns.
    pub async fn next(&mut self) -> Option<StreamChunk> {
        std::future::poll_fn(|cx| self.poll_next(cx)).await
    }
}

#[cfg(test)]
mod tests;

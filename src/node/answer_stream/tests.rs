use super::*;

const CHUNK: Bytes = Bytes::from_static(b"data: x\n\n");

/// Sends chunks until no further one has room.
async fn fill(sender: &StreamSender) {
    while sender.waiting_chunks() < sender.chunks.max_capacity() {
        sender.send(CHUNK).await.expect("the client is there");
    }
}

/// Returns what a client that has read nothing gets in the end.
async fn received(mut receiver: StreamReceiver) -> (usize, StreamEnd) {
    let mut chunks = 0;
    loop {
        match receiver.next().await {
            Some(Ok(_)) => chunks += 1,
            Some(Err(error)) => {
                assert_eq!(receiver.next().await, None, "nothing follows an error");
                return (chunks, Err(error));
            }
            None => return (chunks, Ok(())),
        }
    }
}

/// Guards against an error that finds no room behind the chunks of a slow client and is lost.
#[tokio::test]
async fn an_error_is_delivered_behind_as_many_chunks_as_may_wait() {
    for error in [StreamError::Cut, StreamError::Malformed] {
        let (sender, receiver) = answer_stream(4);
        fill(&sender).await;
        sender.finish(Err(error));
        assert_eq!(received(receiver).await, (4, Err(error)));
    }
}

/// Guards against a stream whose task ended without a word, as in a panic, and that counts as complete.
#[tokio::test]
async fn a_stream_whose_sender_is_dropped_is_cut_off() {
    let (sender, receiver) = answer_stream(4);
    fill(&sender).await;
    drop(sender);
    assert_eq!(received(receiver).await, (4, Err(StreamError::Cut)));
}

#[tokio::test]
async fn a_complete_stream_ends_without_an_error() {
    let (sender, receiver) = answer_stream(4);
    fill(&sender).await;
    sender.finish(Ok(()));
    assert_eq!(received(receiver).await, (4, Ok(())));
}

#[tokio::test]
async fn a_sender_learns_that_the_client_left() {
    let (sender, receiver) = answer_stream(1);
    fill(&sender).await;
    let blocked = sender.send(CHUNK);
    drop(receiver);
    assert_eq!(blocked.await, Err(ClientLeft));
    assert!(sender.is_closed());
    sender.closed().await;
}

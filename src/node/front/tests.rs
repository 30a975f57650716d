use super::*;

/// An answer that is kept back until it is whole is bounded: one that goes on and on is spoilt.
#[tokio::test]
async fn an_answer_without_end_is_not_collected() {
    let piece = Bytes::from(vec![b' '; 64 * 1024]);
    let whole = |pieces: usize| {
        let (sender, receiver) = mpsc::channel(1);
        let piece = piece.clone();
        tokio::spawn(async move {
            for _ in 0..pieces {
                if sender.send(Ok(piece.clone())).await.is_err() {
                    return;
                }
            }
        });
        Pieces::new(receiver, "0a".into()).whole()
    };
    let most = WHOLE_MOST / piece.len();
    assert_eq!(whole(most).await.map(|text| text.len()), Ok(WHOLE_MOST));
    assert_eq!(whole(usize::MAX).await, Err(StreamError::Malformed));
}

use super::*;
use crate::node::answer_stream::answer_stream;

/// Memory for one answer, of so many bytes in all.
fn room(bytes: usize) -> AnswerRoom {
    Intake::new(1, bytes, Rc::default()).room_for_answer().expect("room for an answer")
}

/// An answer that is kept back until it is whole is bounded: one that goes on and on is spoilt.
#[tokio::test]
async fn an_answer_without_end_is_not_collected() {
    let piece = Bytes::from(vec![b' '; 64 * 1024]);
    let whole = |pieces: usize| {
        let (sender, receiver) = answer_stream(1);
        let piece = piece.clone();
        tokio::spawn(async move {
            for _ in 0..pieces {
                if sender.send(piece.clone()).await.is_err() {
                    return;
                }
            }
            sender.finish(Ok(()));
        });
        Pieces::new(receiver, "0a".into(), room(4 * WHOLE_MOST)).whole()
    };
    let most = WHOLE_MOST / piece.len();
    assert_eq!(whole(most).await.map(|text| text.len()), Ok(WHOLE_MOST));
    assert_eq!(whole(usize::MAX).await, Err(StreamError::Malformed));
}

/// Guards against a chat answer in one piece that is cut short and shown as though it were whole.
#[tokio::test]
async fn an_answer_in_one_piece_that_is_cut_off_is_not_shown() {
    let cut_off = |is_told: bool| {
        let (sender, receiver) = answer_stream(1);
        let body = Pieces::new(receiver, "0a".into(), room(4 * WHOLE_MOST));
        tokio::spawn(async move {
            sender.send(Bytes::from_static(b"{\"choices\":[")).await.expect("the front is there");
            if is_told {
                sender.finish(Err(StreamError::Cut));
            }
        });
        body.whole()
    };
    assert_eq!(cut_off(true).await, Err(StreamError::Cut));
    assert_eq!(cut_off(false).await, Err(StreamError::Cut));
}

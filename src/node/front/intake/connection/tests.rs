use proptest::prelude::*;

use super::*;

fn state(bytes: usize) -> Rc<ConnectionState> {
    ConnectionState::new(1, &MemoryBudget::new(bytes))
}

proptest! {
    /// However a head comes in, the library gets it whole with all that came behind it, and what came behind is counted.
    #[test]
    fn a_head_is_given_whole_however_it_is_cut(
        lines in prop::collection::vec("[a-z]{1,8}: [a-z]{0,20}", 0..20), has_returns in any::<bool>(),
        behind in "[a-z\r\n]{0,30}", lengths in prop::collection::vec(1_usize..40, 1..6),
    ) {
        let end = if has_returns { "\r\n" } else { "\n" };
        let head: String = [&"POST / HTTP/1.1".to_owned()].into_iter().chain(&lines).map(|line| format!("{line}{end}")).collect();
        let head = head + end;
        let text = head.clone() + &behind;
        let (state, mut rest) = (state(1_000_000), text.as_bytes());
        let mut given = None;
        for length in lengths.iter().cycle() {
            let (piece, further) = rest.split_at((*length).min(rest.len()));
            given = state.came_of_head(piece).expect("room");
            rest = further;
            if given.is_some() {
                break;
            }
        }
        let given = given.expect("a whole head");
        prop_assert!(text.as_bytes().starts_with(&given) && given.len() >= head.len());
        prop_assert_eq!(state.behind.get(), (given.len() - head.len()) as u64);
        prop_assert!(!state.is_reading_head());
    }
}

#[test]
fn a_long_head_without_room_is_refused_and_gives_back_what_it_had() {
    let budget = MemoryBudget::new(60_000);
    let state = ConnectionState::new(1, &budget);
    assert_eq!(state.came_of_head(b"GET / HTTP/1.1\r\ncookie: "), Ok(None));
    assert_eq!(state.came_of_head(&[b'a'; 6_000]), Ok(None));
    assert!(budget.used() > 0);
    assert_eq!(state.came_of_head(&[b'a'; 20_000]), Err(NoRoomForHead));
    assert!(state.is_head_refused());
    assert_eq!(budget.used(), 0);
}

#[test]
fn a_usual_head_needs_no_room_but_for_its_request() {
    let budget = MemoryBudget::new(REQUEST_BYTES);
    let states = [(); 2].map(|()| ConnectionState::new(1, &budget));
    let begin = b"GET / HTTP/1.1\r\nhost: x\r\n";
    assert!(states.iter().all(|state| state.came_of_head(begin) == Ok(None)));
    assert!(matches!(states[0].came_of_head(b"\r\n"), Ok(Some(_))));
    assert_eq!(states[1].came_of_head(b"\r\n"), Err(NoRoomForHead));
    states[0].turn(Stage::Flushing);
    states[0].flushed();
    assert_eq!(budget.used(), 0);
}

/// An answer is given to the library in small parts, and further once these are written.
#[tokio::test]
async fn an_answer_waits_until_what_was_given_is_written() {
    let state = state(0);
    state.answer_given(MAX_UNWRITTEN_BYTES);
    let mut room = std::pin::pin!(std::future::poll_fn(|cx| state.poll_answer_room(cx)));
    assert!(timeout(Duration::from_millis(1), &mut room).await.is_err());
    state.wrote(1);
    room.await;
}

use super::*;

/// Guards against an operator's word that finds no room on its way to the third process of two upgrades at once, and is lost while
/// the link goes on as though it had been told.
#[tokio::test]
async fn a_word_that_finds_no_room_breaks_the_link() {
    let ban = Message::Ban("w1".into());
    for is_passed_on in [true, false] {
        let partners = Partners::default();
        let (sender, mut told) = mpsc::channel(WAITING);
        partners.set(Side::Older, Some(sender));
        for _ in 0..=WAITING {
            if is_passed_on {
                partners.pass_on(Side::Newer, &ban);
            } else {
                partners.tell(&ban);
            }
        }
        for _ in 0..WAITING {
            assert!(told.recv().await.is_some());
        }
        assert!(matches!(told.try_recv(), Err(mpsc::error::TryRecvError::Disconnected)), "the link goes on");
    }
}

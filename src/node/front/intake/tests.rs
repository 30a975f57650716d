use tokio::time::Instant;

use super::*;

/// A connection at this stage, begun and last heard so many milliseconds ago.
fn connection(intake: &Rc<Intake>, stage: Stage, begun: u64, heard: u64) -> Place {
    let place = intake.enter();
    let ago = |ms| Instant::now().checked_sub(Duration::from_millis(ms)).expect("a clock that runs");
    place.state.stage.set(stage);
    place.state.since.set(ago(begun));
    place.state.heard.set(ago(heard));
    if stage == Stage::Arriving {
        place.state.stage.set(Stage::Open);
        place.state.body.set(10);
    }
    place
}

/// Which of them makes room.
fn goes(places: &[&Place], intake: &Intake) -> Option<usize> {
    let before: Vec<_> = places.iter().map(|p| (p.state.stage(), p.state.since.get())).collect();
    intake.make_room();
    let after = places.iter().map(|p| (p.state.stage(), p.state.since.get()));
    before.into_iter().zip(after).position(|(before, after)| before != after)
}

fn intake() -> Rc<Intake> {
    Intake::new(100, 1_000, Rc::default())
}

#[test]
fn what_still_sends_its_request_is_not_evicted_for_one_that_brings_nothing() {
    let intake = intake();
    let slow = connection(&intake, Stage::Begun, 1_900, 300);
    let body = connection(&intake, Stage::Arriving, 2_000, 900);
    assert_eq!(goes(&[&slow, &body], &intake), None);
    let stuck = connection(&intake, Stage::Begun, 1_200, 1_100);
    assert_eq!(goes(&[&slow, &body, &stuck], &intake), Some(2));
    assert_eq!(intake.counters.evicted_begun.get(), 1);
    let idle = connection(&intake, Stage::Idle, 0, 0);
    assert_eq!(goes(&[&slow, &body, &idle], &intake), Some(2));
    assert_eq!(intake.counters.evicted.get(), 1);
}

#[test]
fn a_body_that_stops_halfway_makes_room_and_an_open_request_never_does() {
    let intake = intake();
    let open = connection(&intake, Stage::Open, 60_000, 60_000);
    let body = connection(&intake, Stage::Arriving, 1_500, 1_500);
    assert_eq!(goes(&[&open, &body], &intake), Some(1));
    assert_eq!(goes(&[&open, &body], &intake), None);
}

#[test]
fn only_open_requests_make_it_full() {
    let intake = intake();
    let _idle = [(); 2].map(|()| connection(&intake, Stage::Idle, 0, 0));
    let open = [(); 3].map(|()| connection(&intake, Stage::Open, 0, 0));
    intake.most.set(2);
    assert!(intake.full());
    open[0].state.turn(Stage::Idle);
    assert!(intake.crowded() && !intake.full());
}

#[test]
fn two_processes_together_keep_under_one_limit() {
    for most in [8, 44, 167, 474] {
        let intake = Intake::new(most, 1_000, Rc::default());
        intake.share(true);
        assert!(2 * (intake.most.get() + intake.spare()) <= most + 2, "{most}");
        intake.share(false);
        assert_eq!(intake.most.get(), most);
    }
}

/// A connection whose answer is complete makes room only once that is written, or its client has not read it for a while.
#[test]
fn an_answer_that_is_still_written_is_not_cut_off_to_make_room() {
    let intake = intake();
    let writing = connection(&intake, Stage::Open, 0, 0);
    writing.state.complete();
    assert_eq!(goes(&[&writing], &intake), None);
    writing.state.flushed();
    assert_eq!(goes(&[&writing], &intake), Some(0));
    let unread = connection(&intake, Stage::Flushing, 1_100, 1_100);
    assert_eq!(goes(&[&unread], &intake), Some(0));
}

/// One that was told to go is counted once, and closed at once where room is still wanted.
#[test]
fn a_connection_that_leaves_is_the_first_to_make_room_and_is_counted_once() {
    let intake = intake();
    let leaving = connection(&intake, Stage::Leaving, 0, 0);
    let silent = connection(&intake, Stage::Silent, 1_000, 1_000);
    assert_eq!(goes(&[&silent, &leaving], &intake), Some(1));
    assert_eq!(intake.counters.evicted.get(), 0);
}

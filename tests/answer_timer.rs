//! Until when a running answer is waited for, in virtual time: over what a server may send and when, stalls of the client and
//! hold-ups of the process.

use croftsill::api::Micros;
use croftsill::logic::answer_timer::{
    AnswerTimer, HOLD_UP_US, LAST_READ_US, MAX_CLIENT_WAIT_US, MAX_EVENT_WAIT_US, Verdict,
};
use proptest::prelude::*;

/// Something that happens to an answer.
#[derive(Clone, Copy, Debug)]
enum Happening {
    /// A whole event is written.
    Event,
    /// Bytes are written that complete no event.
    Part,
    /// The client takes nothing for so long.
    ClientStalls(Micros),
    /// The process is stopped for so long.
    HoldUp(Micros),
}

/// When the answer is given up, and when its last event before that was there to be read.
#[derive(Debug, PartialEq)]
struct End {
    at: Micros,
    last_event_at: Micros,
}

/// Follows an answer whose first event arrives at 0. Each happening follows the one before by so long. What the instance writes
/// while nothing is read is read afterwards. Returns none where the answer is not given up within its happenings.
fn follow(happenings: &[(Micros, Happening)]) -> Option<End> {
    let mut timer = AnswerTimer::default();
    timer.event_received(0);
    let (mut at, mut busy_until, mut last_event_at) = (0, 0, 0);
    for &(pause, happening) in happenings {
        at = (at + pause).max(busy_until);
        if let Some(end) = give_up(&mut timer, at, busy_until) {
            return Some(End { at: end, last_event_at });
        }
        match happening {
            Happening::Event => {
                timer.event_received(at);
                last_event_at = at;
            }
            Happening::Part => {}
            Happening::ClientStalls(time) => {
                timer.pause(at);
                timer.resume(at + time);
                busy_until = at + time;
            }
            Happening::HoldUp(time) => busy_until = at + time,
        }
    }
    give_up(&mut timer, Micros::MAX / 2, busy_until).map(|at| End { at, last_event_at })
}

/// Lets all waits come to their ends that do so before `until`; a process that is stopped until `busy_until` sees them then.
fn give_up(timer: &mut AnswerTimer, until: Micros, busy_until: Micros) -> Option<Micros> {
    loop {
        let due_at = timer.due_at()?.max(busy_until);
        if due_at >= until {
            return None;
        }
        if timer.expired(due_at) != Verdict::ReadOn {
            return Some(due_at);
        }
    }
}

fn writes() -> impl Strategy<Value = Happening> {
    prop_oneof![Just(Happening::Event), Just(Happening::Part), Just(Happening::Part)]
}

proptest! {
    /// Guards against a wait that anything but a whole event starts anew, and against one that is not over in time.
    #[test]
    fn an_answer_is_given_up_at_one_time_behind_its_last_event(
        happenings in prop::collection::vec((0..3_000_000_i64, writes()), 0..12),
    ) {
        let end = follow(&happenings).expect("it stops behind the last one");
        prop_assert_eq!(end.at - end.last_event_at, MAX_CLIENT_WAIT_US - HOLD_UP_US);
    }

    /// Guards against parts of events and comments that change anything.
    #[test]
    fn bytes_that_complete_no_event_change_nothing(
        happenings in prop::collection::vec((0..3_000_000_i64, writes()), 0..12),
    ) {
        let (mut only_events, mut pause) = (Vec::new(), 0);
        for &(behind, happening) in &happenings {
            pause += behind;
            if matches!(happening, Happening::Event) {
                only_events.push((pause, happening));
                pause = 0;
            }
        }
        prop_assert_eq!(follow(&happenings), follow(&only_events));
    }

    /// Guards against a stream that is cut although its events arrive in time.
    #[test]
    fn an_answer_whose_events_arrive_in_time_is_not_given_up(
        pauses in prop::collection::vec(0..MAX_EVENT_WAIT_US, 1..12),
    ) {
        let happenings: Vec<_> = pauses.iter().map(|&pause| (pause, Happening::Event)).collect();
        let last = pauses.iter().sum::<Micros>();
        prop_assert_eq!(follow(&happenings).map(|end| end.last_event_at), Some(last));
    }

    /// Guards against a client that waits over 5 s because the process was held up.
    #[test]
    fn a_hold_up_keeps_the_wait_under_5_s(held_up_at in 0..5_000_000_i64, time in 0..=HOLD_UP_US) {
        let end = follow(&[(held_up_at, Happening::HoldUp(time))]).expect("it stops");
        prop_assert!(end.at <= MAX_CLIENT_WAIT_US, "{end:?}");
    }

    /// Guards against a stream that is cut over an event that arrived while the process was held up.
    #[test]
    fn an_event_that_arrived_within_a_hold_up_is_read(
        written_at in 0..MAX_EVENT_WAIT_US, before in 0..=HOLD_UP_US, time in 0..10_000_000_i64,
    ) {
        let held_up_at = (written_at - before).max(0);
        let happenings =
            [(held_up_at, Happening::HoldUp(time)), (written_at - held_up_at, Happening::Event)];
        let end = follow(&happenings).expect("it stops");
        prop_assert!(end.last_event_at >= written_at, "{end:?}");
    }

    /// Guards against a stream that is cut because its client did not read for a while.
    #[test]
    fn time_in_which_the_client_takes_nothing_does_not_count(
        stalls_at in 0..4_000_000_i64, time in 0..20_000_000_i64, event_behind in 0..500_000_i64,
    ) {
        let happenings = [(stalls_at, Happening::ClientStalls(time)), (time + event_behind, Happening::Event)];
        let end = follow(&happenings).expect("it stops");
        prop_assert_eq!(end.last_event_at, stalls_at + time + event_behind);
    }
}

/// The attempt's time-out bounds the first event until a part of it is forwarded.
#[test]
fn nothing_is_due_before_the_first_event() {
    assert_eq!(AnswerTimer::default().due_at(), None);
}

proptest! {
    /// Guards against a client that waits for its first event beyond its time, whatever has come of it.
    #[test]
    fn the_first_event_is_due_when_its_client_stops_waiting(
        deadline in 0..20_000_000_i64, stalls in prop::collection::vec((0..1_000_000_i64, 0..1_000_000_i64), 0..8),
    ) {
        let (mut timer, mut at) = (AnswerTimer::default(), 0);
        timer.bound_first_event(deadline);
        for (pause, stall) in stalls {
            at += pause;
            timer.pause(at);
            at += stall;
            timer.resume(at);
        }
        prop_assert_eq!(timer.due_at(), Some(deadline));
        prop_assert_eq!(timer.expired(deadline), Verdict::ReadOn);
        prop_assert_eq!(timer.due_at(), Some(deadline + LAST_READ_US));
        prop_assert_eq!(timer.expired(deadline + LAST_READ_US), Verdict::Overdue);
    }

    /// Guards against a deadline for the first event that ends a stream which has begun.
    #[test]
    fn the_deadline_of_the_first_event_ends_with_it(deadline in 0..20_000_000_i64, event_at in 0..20_000_000_i64) {
        let mut timer = AnswerTimer::default();
        timer.event_received(event_at);
        timer.bound_first_event(deadline);
        prop_assert_eq!(timer.due_at(), Some(event_at + MAX_EVENT_WAIT_US));
    }

    /// Guards against a whole answer that its client waits for beyond its time, because it arrives in pieces or events.
    #[test]
    fn a_whole_answer_is_due_when_its_client_stops_waiting(
        deadline in 0..20_000_000_i64, events_at in prop::collection::vec(0..20_000_000_i64, 0..8),
    ) {
        let mut timer = AnswerTimer::default();
        timer.event_received(0);
        timer.bound_end(deadline);
        events_at.iter().for_each(|&at| timer.event_received(at));
        prop_assert_eq!(timer.due_at(), Some(deadline));
        prop_assert_eq!(timer.expired(deadline), Verdict::ReadOn);
        prop_assert_eq!(timer.expired(deadline + LAST_READ_US), Verdict::Overdue);
    }
}

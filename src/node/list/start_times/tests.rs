use super::*;

const SECOND: Micros = 1_000_000;
const HOUR: Micros = 3_600 * SECOND;
/// The wall clock when the monotonic clock is zero.
const UNIX_AT_ZERO: Micros = 1_796_000_000 * SECOND;
/// The steps of the wall clock that are tested.
const STEPS: [Micros; 6] = [-HOUR, -5 * SECOND, -SECOND, SECOND, 5 * SECOND, HOUR];

/// Returns a reading at this monotonic time, with the wall clock stepped by this much since the beginning.
fn reading(monotonic: Micros, step: Micros) -> ClockReading {
    ClockReading { monotonic, unix: UNIX_AT_ZERO + monotonic + step }
}

/// Returns the Unix time in milliseconds that is reported for a start at this monotonic time.
fn reported_ms(started_at: Micros, step: Micros) -> i64 {
    reading(started_at, step).unix / 1_000
}

#[test]
fn without_a_step_a_start_is_converted_by_the_current_offset() {
    let mut start_times = StartTimes::default();
    start_times.update_clock(reading(100 * SECOND, 0));
    assert_eq!(start_times.start_time(100 * SECOND, "a", reported_ms(97 * SECOND, 0)), Some(97 * SECOND));
    assert_eq!(start_times.start_time(100 * SECOND, "b", reported_ms(-500 * SECOND, 0)), Some(-500 * SECOND));
    assert_eq!(start_times.start_time(100 * SECOND, "c", 0), None, "long ago");
}

/// A slow reading, or a clock that is slewed by a little each time, must not be taken for a step.
#[test]
fn a_slewed_clock_is_followed_without_a_step() {
    let mut start_times = StartTimes::default();
    for n in 0..100 {
        start_times.update_clock(reading(n * SECOND, n * 150_000));
    }
    assert_eq!(start_times.offsets.len(), 1);
    assert_eq!(
        start_times.start_time(99 * SECOND, "a", reported_ms(98 * SECOND, 99 * 150_000)),
        Some(98 * SECOND)
    );
}

#[test]
fn a_start_after_a_step_is_converted_by_the_new_offset() {
    for step in STEPS {
        let mut start_times = StartTimes::default();
        start_times.update_clock(reading(100 * SECOND, 0));
        start_times.update_clock(reading(200 * SECOND, step));
        let started_at =
            start_times.start_time(200 * SECOND, "a", reported_ms(199_500_000, step)).expect("a start time");
        assert!((199_500_000..=200 * SECOND).contains(&started_at), "{step}: {started_at}");
    }
}

#[test]
fn a_start_before_a_step_reported_after_it_is_not_taken_for_an_older_one() {
    for step in STEPS {
        let mut start_times = StartTimes::default();
        start_times.update_clock(reading(100 * SECOND, 0));
        start_times.update_clock(reading(200 * SECOND, step));
        let started_at =
            start_times.start_time(200 * SECOND, "a", reported_ms(199_500_000, 0)).expect("a start time");
        assert!((199_500_000..=200 * SECOND).contains(&started_at), "{step}: {started_at}");
    }
}

#[test]
fn a_start_that_is_reported_again_keeps_its_time() {
    for step in STEPS {
        let mut start_times = StartTimes::default();
        start_times.update_clock(reading(100 * SECOND, 0));
        let first = start_times.start_time(100 * SECOND, "a", reported_ms(95 * SECOND, 0));
        for now in [200 * SECOND, 5_000 * SECOND] {
            start_times.update_clock(reading(now, step));
            assert_eq!(start_times.start_time(now, "a", reported_ms(95 * SECOND, 0)), first, "{step}");
        }
    }
}

/// A process that starts after a step does not know of it: a start that seems to be in the future counts as one just now.
#[test]
fn a_start_in_the_future_counts_from_now() {
    let mut start_times = StartTimes::default();
    start_times.update_clock(reading(100 * SECOND, -HOUR));
    assert_eq!(start_times.start_time(100 * SECOND, "a", reported_ms(99 * SECOND, 0)), Some(100 * SECOND));
    start_times.update_clock(reading(103 * SECOND, -HOUR));
    assert_eq!(
        start_times.start_time(103 * SECOND, "a", reported_ms(99 * SECOND, 0)),
        Some(100 * SECOND),
        "the start stays at the time of its first report"
    );
}

/// An instance whose ban was lifted is cold, also if the wall clock was stepped back to before its last start.
#[test]
fn a_return_holds_until_another_start_is_told() {
    let mut start_times = StartTimes::default();
    start_times.update_clock(reading(100 * SECOND, 0));
    let listed_ms = reported_ms(95 * SECOND, 0);
    assert_eq!(start_times.start_time(100 * SECOND, "a", listed_ms), Some(95 * SECOND));
    start_times.update_clock(reading(300 * SECOND, -HOUR));
    start_times.record_restart(300 * SECOND, "a", listed_ms);
    assert_eq!(start_times.start_time(310 * SECOND, "a", listed_ms), Some(300 * SECOND));
    assert_eq!(
        start_times.start_time(400 * SECOND, "a", reported_ms(399 * SECOND, -HOUR)),
        Some(399 * SECOND)
    );
}

#[test]
fn old_offsets_and_unlisted_instances_are_removed() {
    let mut start_times = StartTimes::default();
    for n in 0..100 {
        start_times.update_clock(reading(n * SECOND, n * HOUR));
    }
    assert_eq!(start_times.offsets.len(), MAX_OFFSETS);
    start_times.update_clock(reading(1_000 * SECOND, 99 * HOUR));
    assert_eq!(start_times.offsets.len(), 1);
    for id in ["a", "b", "c"] {
        start_times.record_restart(0, id, 1);
    }
    start_times.retain(|id| id != "a");
    start_times.remove("b");
    assert_eq!(start_times.starts.len(), 1);
}

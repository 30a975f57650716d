//! The verdict on single exchanges, and the scripts that servers follow.

use std::time::Duration;

use super::client::{Exchange, Front};
use super::script::{Script, Slowness, answer};
use super::server::Attempt;
use super::verdict::{Finding, Terms, findings};
use crate::Micros;
use crate::stand_ins::Role;

const SECOND: Micros = 1_000_000;

fn script(slowness: Slowness) -> Script {
    answer(Role::Write, slowness, true)
}

fn stream(events: &[Micros], ended: Micros, is_whole: bool) -> Exchange {
    let (status, head_at) = (Some(200), events.first().copied());
    Exchange { id: "a".into(), sent: 0, status, head_at, events: events.to_vec(), ended, is_whole }
}

fn attempt(events: &[Micros], completed: Option<Micros>) -> Attempt {
    let (id, events) = ("a".into(), events.to_vec());
    Attempt { id, role: Role::Write, arrived: 0, events, completed, spoilt: None, closed: None }
}

fn judged(slowness: Slowness, exchange: &Exchange, attempts: &[Attempt]) -> Vec<Finding> {
    let script = script(slowness);
    let patience = Duration::from_secs(4);
    let terms = Terms { front: Front::Platform, patience, is_unsafe: true, script: &script };
    findings(&terms, exchange, attempts)
}

#[test]
fn a_whole_stream_breaks_nothing() {
    let events = [SECOND, 2 * SECOND];
    let found =
        judged(Slowness::Nowhere, &stream(&events, 2 * SECOND, true), &[attempt(&events, Some(2 * SECOND))]);
    assert_eq!(found, []);
}

#[test]
fn a_client_that_waits_over_5_s_behind_an_event_is_found() {
    let slowness = Slowness::StopsWithinEvent(Duration::from_secs(1));
    let cut_at = |ended| judged(slowness, &stream(&[SECOND], ended, false), &[attempt(&[SECOND], None)]);
    assert_eq!(cut_at(6_040_000), []);
    assert_eq!(cut_at(6_100_000), [Finding::LeftWaiting(Duration::from_millis(5_100))]);
}

#[test]
fn a_cut_before_an_event_that_comes_in_time_is_found() {
    let slowness = Slowness::BetweenEvents(Duration::from_millis(4_600));
    let found = judged(slowness, &stream(&[SECOND], 5_300_000, false), &[attempt(&[SECOND], None)]);
    assert_eq!(found, [Finding::CutWithin(Duration::from_millis(4_300))]);
    let slowness = Slowness::BetweenEvents(Duration::from_millis(5_600));
    let found = judged(slowness, &stream(&[SECOND], 5_900_000, false), &[attempt(&[SECOND], None)]);
    assert_eq!(found, []);
}

#[test]
fn an_answer_whose_first_event_is_late_is_found() {
    let events = [4_600_000];
    let found =
        judged(Slowness::Nowhere, &stream(&events, 4_600_000, true), &[attempt(&events, Some(4_600_000))]);
    assert_eq!(found, [Finding::AnswerLate(Duration::from_millis(600))]);
    let found = judged(Slowness::Nowhere, &stream(&[], SECOND, false), &[attempt(&[], None)]);
    assert_eq!(found, [Finding::NoAnswer]);
}

#[test]
fn late_events_and_ends_are_found() {
    let written = [SECOND, 2 * SECOND];
    let found = judged(
        Slowness::Nowhere,
        &stream(&[SECOND, 2_400_000], 3_200_000, true),
        &[attempt(&written, Some(2 * SECOND))],
    );
    let expected =
        [Finding::EndLate(Duration::from_millis(1_200)), Finding::EventLate(Duration::from_millis(400))];
    assert_eq!(found, expected);
}

#[test]
fn an_unsafe_request_that_runs_twice_or_is_refused_behind_a_run_is_found() {
    let refused = Exchange { status: Some(429), events: Vec::new(), ..stream(&[], SECOND, true) };
    assert_eq!(judged(Slowness::Nowhere, &refused, &[attempt(&[], None)]), [Finding::RefusedThoughRun]);
    let twice = [attempt(&[], None), attempt(&[], None)];
    let failed = Exchange { status: Some(502), ..refused };
    assert_eq!(judged(Slowness::Nowhere, &failed, &twice), [Finding::RanTwice(2)]);
}

#[test]
fn scripts_tell_the_longest_wait_for_an_event() {
    let wait = |slowness| script(slowness).longest_wait_for_event();
    assert_eq!(wait(Slowness::BetweenEvents(Duration::from_secs(2))), Duration::from_secs(2));
    assert_eq!(wait(Slowness::WithinEvents(Duration::from_secs(2))), Duration::from_secs(4));
    assert!(!script(Slowness::StopsBehindEvent).is_whole);
}

//! What the decision module does when the process is told to end.
mod common;

use common::*;
use croftsill::api::*;

/// A router with one reader and one writer, and clients that wait for so long.
fn rig(effect: Effect, deadline: Micros) -> Rig {
    let mut settings = settings();
    (settings.classes[0].effect, settings.classes[0].deadline) = (effect, deadline);
    Rig::new(settings, &[member(READER, 0), member(WRITER, 1)])
}

fn patient(id: u64) -> Event {
    Event::Request(NewRequest { time_left: 20 * S, ..ask(id) })
}

/// Tells of a shutdown in which answers are due so long from now.
fn told_to_end(rig: &mut Rig, answers_in: Micros) -> Vec<Action> {
    let answers_until = rig.now + answers_in;
    rig.step(0, &[Event::Shutdown { answers_until }])
}

fn cancelled(actions: &[Action]) -> bool {
    actions.iter().any(|action| matches!(action, Action::Cancel { request: RequestId(1), .. }))
}

#[test]
fn an_attempt_that_is_out_when_answers_are_due_is_withdrawn_and_then_answered() {
    for (effect, written, refused) in
        [(Effect::Safe, true, true), (Effect::Unsafe, false, true), (Effect::Unsafe, true, false)]
    {
        let mut rig = rig(effect, 20 * S);
        rig.step(0, &[patient(1)]);
        if written {
            rig.end(1, READER, Outcome::Read);
        }
        assert!(told_to_end(&mut rig, 2 * S).is_empty());
        assert!(rig.tick(2 * S - MS).is_empty(), "there is time");
        let out = rig.tick(MS);
        assert!(cancelled(&out) && finals(&out) == 0, "no answer beside an attempt: {out:?}");
        let at = if written { WRITER } else { READER };
        let out = rig.step(0, &[ended(1, at, Outcome::Cancelled, false)]);
        let refusal = out.iter().any(|action| matches!(action, Action::Refuse { .. }));
        assert_eq!((finals(&out), refusal), (1, refused), "{effect:?}, written: {written}");
    }
}

#[test]
fn the_router_wakes_when_answers_are_due_although_nothing_is_held() {
    let mut rig = rig(Effect::Safe, 20 * S);
    rig.step(0, &[patient(1)]);
    let mut out = Vec::new();
    let answers_until = rig.now + 300 * MS;
    rig.router.handle(rig.now, &[Event::Shutdown { answers_until }], &mut out);
    let wakes =
        out.iter().any(|action| matches!(action, Action::SetTimer { after, .. } if *after == 300 * MS));
    assert!(wakes, "{out:?}");
}

#[test]
fn what_is_held_is_refused_when_answers_are_due() {
    let mut rig = rig(Effect::Safe, 20 * S);
    // Nobody is left to take it.
    rig.step(0, &[Event::HostList { is_complete: true, members: Vec::new() }, patient(1)]);
    told_to_end(&mut rig, S);
    let mut out = rig.tick(S - 20 * MS);
    assert!(out.is_empty(), "there is time");
    for _ in 0..5 {
        out.extend(rig.tick(5 * MS));
    }
    assert!(matches!(out[..], [Action::Refuse { request: RequestId(1), .. }]), "{out:?}");
}

#[test]
fn what_comes_during_a_shutdown_is_given_no_more_time_than_there_is() {
    let mut rig = rig(Effect::Safe, 20 * S);
    told_to_end(&mut rig, 500 * MS);
    let out = rig.step(100 * MS, &[patient(1)]);
    let time_out = out.iter().find_map(|action| match action {
        Action::Send { time_out, .. } => Some(*time_out),
        _ => None,
    });
    assert!(time_out.is_some_and(|time_out| time_out <= 400 * MS), "{out:?}");
}

#[test]
fn a_whole_answer_that_is_waited_for_keeps_its_time() {
    let mut rig = rig(Effect::Safe, 20 * S);
    rig.step(0, &[Event::Request(NewRequest { time_left: 20 * S, is_unary: true, ..ask(1) })]);
    rig.end(1, READER, Outcome::Read);
    told_to_end(&mut rig, S);
    assert!(rig.tick(10 * S).is_empty());
}

use super::*;

fn asked(id: &str, sent: Micros, answered: Micros, revision: u64) -> Asked {
    Asked {
        id: id.into(),
        at: 0,
        is_unsafe: true,
        sent,
        answered: Some(answered),
        revision: Some(revision),
        outcome: Outcome::Served,
        come_back: false,
    }
}

#[test]
fn an_old_revision_after_a_new_answer_is_found() {
    let fine = [asked("a", 0, 50, 1), asked("b", 10, 60, 2), asked("c", 55, 90, 1), asked("d", 61, 99, 2)];
    assert_eq!(one_moment(&fine), Vec::<String>::new());
    let broken = [asked("b", 10, 60, 2), asked("c", 61, 90, 1)];
    assert_eq!(one_moment(&broken).len(), 1);
}

fn stand(name: &str, revision: u64, history: &[(&str, Option<u64>)]) -> Stand {
    let history = history.iter().map(|(id, ended)| ((*id).to_owned(), *ended)).collect();
    Stand { name: name.into(), revision, digest: Some(format!("d{revision}")), history }
}

fn change(id: &str, told: Told, bad: bool) -> Change {
    Change { id: Some(id.into()), proposed: 0, ended: 0, told, bad }
}

#[test]
fn what_was_told_and_is_not_so_is_found() {
    let one = stand("a", 1, &[("x", Some(1)), ("y", None)]);
    let fine = [change("x", Told::Applied(1), false), change("y", Told::TurnedDown, true)];
    assert_eq!(told_truly(&fine, &[one.clone(), one.clone()]), Vec::<String>::new());
    assert_eq!(told_truly(&[change("x", Told::TurnedDown, false)], std::slice::from_ref(&one)).len(), 1);
    assert_eq!(told_truly(&[change("y", Told::Applied(2), false)], std::slice::from_ref(&one)).len(), 1);
    assert_eq!(told_truly(&[change("x", Told::Unknown, true)], std::slice::from_ref(&one)).len(), 1);
    assert_eq!(told_truly(&[], &[one.clone(), stand("b", 2, &[])]).len(), 1);
    assert_eq!(told_truly(&[], &[one, stand("b", 1, &[("x", None)])]).len(), 1);
}

fn attempt(at: &str, role: Role, begun: Micros, ended: Option<Micros>) -> Attempt {
    Attempt { id: "a".into(), at: at.into(), role, begun, ended, ran: true }
}

#[test]
fn broken_rules_on_attempts_are_found() {
    let all = [asked("a", 0, 9, 1)];
    let read = attempt("r", Role::Read, 0, Some(5));
    let fine = [read.clone(), attempt("w", Role::Write, 5, None)];
    assert_eq!(attempts_kept(&all, &fine), Vec::<String>::new());
    let twice = [read.clone(), attempt("w", Role::Write, 6, Some(8)), attempt("v", Role::Write, 9, None)];
    assert_eq!(attempts_kept(&all, &twice).len(), 1);
    let overlap = [attempt("r", Role::Read, 0, Some(9_000)), attempt("w", Role::Write, 5, None)];
    assert_eq!(attempts_kept(&all, &overlap).len(), 1);
    let many: Vec<_> = (0..5).map(|n| attempt("r", Role::Read, n * 10, Some(n * 10 + 5))).collect();
    assert_eq!(attempts_kept(&all, &many).len(), 1);
}

#[test]
fn answers_that_are_missing_or_silent_are_found() {
    let mut lost = asked("a", 0, 9, 1);
    lost.outcome = Outcome::Lost;
    assert_eq!(answered(&[lost.clone()], &|_| false).len(), 1);
    assert_eq!(answered(&[lost], &|_| true).len(), 0);
    let mut refused = asked("a", 0, 9, 1);
    refused.outcome = Outcome::Refused;
    assert_eq!(come_back_told(&[refused]).len(), 1);
}

fn decree(out: bool, asked: Micros, kept: bool) -> Decree {
    Decree { instance: "w".into(), out, asked, ended: asked + 5, kept }
}

#[test]
fn lost_and_invented_bans_are_found() {
    let at = |instances: &[&str]| {
        let instances = instances.iter().map(|i| (*i).to_owned()).collect();
        [Banned { name: "n".into(), instances }]
    };
    let found = |decrees: &[Decree], instances: &[&str]| bans_kept(decrees, &at(instances)).len();
    assert_eq!((found(&[decree(true, 0, true)], &["w"]), found(&[decree(true, 0, true)], &[])), (0, 1));
    assert_eq!(found(&[decree(true, 0, false)], &[]), 0, "what was not acknowledged may be lost");
    assert_eq!(found(&[decree(true, 0, true), decree(false, 10, true)], &[]), 0);
    assert_eq!(found(&[decree(false, 0, true), decree(true, 10, true)], &[]), 1);
    assert_eq!(found(&[decree(false, 0, true)], &["w"]), 1);
}

#[test]
fn a_cold_instance_that_is_pushed_over_is_found() {
    let cold = Cold { fall_multiple: 3.0, window: 2_000_000, ramp: 13_000_000, start: 0.28 };
    let sends = |at: &str, every: Micros, from: Micros| -> Vec<Attempt> {
        // As long as the others' in the first case.
        (0..30_000_000 / every).map(|n| attempt(at, Role::Write, from + n * every, None)).collect()
    };
    let back = [("w".to_owned(), 0)];
    let found = |more: Vec<Attempt>| cold_spared(&back, &more, cold, 16.0).len();
    assert_eq!(found(sends("w", 250_000, 0)), 0, "half of a warm one's part");
    assert_eq!(found(sends("w", 60_000, 0)), 1, "twice a warm one's part");
    assert_eq!(found(sends("w", 60_000, 12_000_000)), 0, "once it is nearly warm");
}

#[test]
fn named_requests_that_run_twice_or_never_are_found() {
    let names = |served| BTreeMap::from([("a".to_owned(), served)]);
    let once = [attempt("w", Role::Write, 0, Some(5))];
    let twice = [once[0].clone(), attempt("v", Role::Write, 9, Some(12))];
    assert_eq!(named_once(&names(true), &once).len(), 0);
    assert_eq!(named_once(&names(false), &twice).len(), 1);
    assert_eq!(named_once(&names(true), &[]).len(), 1);
}

#[test]
fn states_that_stay_held_are_found() {
    let all = [asked("a", 0, 9, 1)];
    let found = |seen: &Seen, excused: bool| nothing_pinned(&all, seen, 9_000_000, &|_| excused).len();
    let mut seen = Seen::default();
    assert_eq!(found(&seen, false), 0);
    seen.held.insert("a".into(), 0);
    assert_eq!((found(&seen, false), found(&seen, true)), (1, 0));
    seen.held_long.push(("b".into(), 0, 2_000_000));
    assert_eq!(found(&seen, true), 1);
}

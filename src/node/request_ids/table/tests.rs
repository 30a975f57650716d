use proptest::prelude::*;

use super::*;

const SECOND: Micros = 1_000_000;

fn run(table: &mut IdTable, now: Micros, id: IdHash, ended: Ended) {
    table.take(now, id, ended == Ended::MayHaveRun).expect("a new id");
    table.end(now, id, ended);
}

/// Guards against the id of a request that may have run being pushed out by others that did no harm.
#[test]
fn requests_that_did_no_harm_push_out_nothing_that_may_have_run() {
    let mut table = IdTable::new(0);
    run(&mut table, 0, 0, Ended::MayHaveRun);
    (1..=100_000).for_each(|id| run(&mut table, 0, id, Ended::Harmless));
    assert_eq!(table.take(0, 0, true), Err(Untaken::Duplicate));
    assert_eq!(table.entries.len(), MIN_REMEMBERED + 1);
}

#[test]
fn what_may_have_run_is_forgotten_only_after_its_time_and_others_are_refused_until_then() {
    let mut table = IdTable::new(0);
    (0..MIN_REMEMBERED as u128).for_each(|id| run(&mut table, 0, id, Ended::MayHaveRun));
    let next = MIN_REMEMBERED as u128;
    assert_eq!(table.take(299 * SECOND, next, true), Err(Untaken::Full));
    assert_eq!(table.take(299 * SECOND, next, false), Ok(()));
    table.end(299 * SECOND, next, Ended::Harmless);
    run(&mut table, 300 * SECOND, next + 1, Ended::MayHaveRun);
    assert!(!table.is_known(0) && table.is_known(1));
}

/// A request that was refused unsent may be sent again, also where that crosses the handover of an upgrade.
#[test]
fn an_id_for_which_nothing_was_sent_may_come_again() {
    let mut table = IdTable::new(0);
    for _ in 0..3 {
        assert_eq!(table.take(0, 7, true), Ok(()));
        table.end(0, 7, Ended::NeverSent);
    }
    run(&mut table, 0, 7, Ended::MayHaveRun);
    table.end(0, 7, Ended::NeverSent);
    assert!(table.is_known(7));
}

#[test]
fn more_memory_remembers_more() {
    let mut table = IdTable::new(2 * MIN_REMEMBERED * ID_BYTES);
    (0..2 * MIN_REMEMBERED as u128).for_each(|id| run(&mut table, 0, id, Ended::MayHaveRun));
    assert!(table.is_known(0));
}

#[test]
fn an_id_that_may_have_run_stays_so_whatever_is_told_later() {
    let mut table = IdTable::new(0);
    run(&mut table, 0, 7, Ended::Harmless);
    table.end(0, 7, Ended::MayHaveRun);
    table.end(0, 7, Ended::Harmless);
    (8..100_000).for_each(|id| run(&mut table, 0, id, Ended::Harmless));
    assert!(table.is_known(7));
}

proptest! {
    /// In any order of takes and ends: an open id is never given twice, one that may have run not within its time, and the table
    /// holds what is open and at most the bounds of what has ended.
    #[test]
    fn no_id_is_given_twice(steps in prop::collection::vec((0_u128..40, any::<bool>(), 0_i64..20), 1..200)) {
        let (mut table, mut open, mut ran, mut now) = (IdTable::new(0), Vec::new(), Vec::new(), 0);
        for (id, may_have_run, seconds) in steps {
            now += seconds * SECOND;
            if open.contains(&id) {
                prop_assert_eq!(table.take(now, id, true), Err(Untaken::Duplicate));
                open.retain(|other| *other != id);
                table.end(now, id, if may_have_run { Ended::MayHaveRun } else { Ended::Harmless });
                ran.extend(may_have_run.then_some(id));
            } else if table.take(now, id, may_have_run).is_ok() {
                prop_assert!(!ran.contains(&id));
                open.push(id);
            }
        }
        prop_assert!(open.iter().all(|id| table.is_known(*id)));
    }
}

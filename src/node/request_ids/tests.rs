use super::*;
use table::MIN_REMEMBERED;

/// An id is turned down while its request is open, however many others end meanwhile, and behind thousands that ended since.
#[test]
fn an_id_is_used_once_while_it_is_open_and_for_thousands_after_it() {
    let ids = RequestIds::new(0, Clock::start());
    let is_known = |id: &str| ids.take(id, false).is_err();
    let open = ids.take("open", false).expect("a new id");
    ids.take("ended", false).expect("a new id").end(false);
    for n in 1..MIN_REMEMBERED {
        ids.take(&n.to_string(), false).expect("a new id").end(false);
        assert!(is_known("ended"), "forgotten after {n}");
    }
    for n in 0..2 * MIN_REMEMBERED {
        ids.take(&format!("later-{n}"), false).expect("a new id").end(false);
    }
    assert!(is_known("open"), "taken twice at once");
    open.end(false);
    assert!(is_known("open"));
    // What is kept is bounded.
    assert_eq!(ids.table.borrow().known_count(), MIN_REMEMBERED);
}

/// A request whose end was not told may have run.
#[test]
fn an_id_that_is_dropped_is_remembered_as_one_that_may_have_run() {
    let ids = RequestIds::new(0, Clock::start());
    drop(ids.take("dropped", true).expect("a new id"));
    for n in 0..2 * MIN_REMEMBERED {
        ids.take(&n.to_string(), true).expect("a new id").end(false);
    }
    assert!(ids.take("dropped", true).is_err());
}

use super::*;

/// An id is turned down while its request is open, however many others end meanwhile, and behind thousands that ended since.
#[test]
fn an_id_is_used_once_while_it_is_open_and_for_thousands_after_it() {
    let ids = Rc::default();
    let open = OpenId::take(&ids, "open").expect("a new id");
    drop(OpenId::take(&ids, "ended").expect("a new id"));
    for n in 1..REMEMBERED.max(1_024) {
        drop(OpenId::take(&ids, &n.to_string()).expect("a new id"));
        assert!(OpenId::take(&ids, "ended").is_none(), "forgotten after {n}");
    }
    for n in 0..2 * REMEMBERED {
        drop(OpenId::take(&ids, &format!("later-{n}")).expect("a new id"));
    }
    assert!(OpenId::take(&ids, "open").is_none(), "taken twice at once");
    drop(open);
    assert!(OpenId::take(&ids, "open").is_none());
    // What is kept is bounded.
    let ids = ids.borrow();
    assert_eq!((ids.known.len(), ids.ended.len()), (REMEMBERED, REMEMBERED));
}

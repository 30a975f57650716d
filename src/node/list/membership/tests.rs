use super::*;

fn target(id: &str, state: State, started_ms: i64) -> Target {
    let (addr, zone, kind) = (SocketAddr::from(([127, 0, 0, 1], 9)), "z".into(), "k".into());
    Target { id: id.into(), addr, zone, kind, cell: 1, state, started_ms }
}

fn list(version: u64, full: bool, servers: Vec<Target>) -> Targets {
    Targets { version: Some(version), full, servers, doubtful: Vec::new() }
}

fn known(ids: &[&str]) -> Membership {
    let mut membership = Membership::default();
    let servers = ids.iter().map(|id| target(id, State::Ready, 0)).collect();
    membership.take(&list(1, true, servers)).unwrap();
    membership
}

#[test]
fn a_ban_holds_whatever_discovery_says() {
    let mut m = known(&["a", "b"]);
    assert_eq!(m.ban("a", 10).unwrap().unwrap().state, State::Terminating);
    let again = m.take(&list(2, false, vec![target("a", State::Ready, 5)])).unwrap();
    assert_eq!(again[0].state, State::Terminating);
    let gone = m.take(&list(3, false, vec![target("a", State::Gone, 0)])).unwrap();
    assert_eq!(gone[0].state, State::Gone);
    let whole =
        m.take(&list(4, true, vec![target("a", State::Ready, 7), target("b", State::Ready, 0)])).unwrap();
    assert_eq!([whole[0].state, whole[1].state], [State::Terminating, State::Ready]);
}

#[test]
fn two_calls_out_need_one_call_back() {
    let mut m = known(&["a"]);
    assert!(m.ban("a", 10).unwrap().is_some() && m.ban("a", 11).unwrap().is_none());
    let back = m.lift("a", 20).unwrap().unwrap();
    assert_eq!((back.state, back.started_ms), (State::Ready, 20));
    assert!(m.lift("a", 30).unwrap().is_none());
    assert_eq!(m.all()[0].started_ms, 20, "a second call back is no second return");
}

#[test]
fn a_returned_instance_is_cold_until_discovery_tells_a_later_start() {
    let mut m = known(&["a"]);
    let _ = (m.ban("a", 10), m.lift("a", 20));
    assert_eq!(m.take(&list(2, false, vec![target("a", State::Ready, 15)])).unwrap()[0].started_ms, 20);
    assert_eq!(m.take(&list(3, false, vec![target("a", State::Ready, 25)])).unwrap()[0].started_ms, 25);
}

#[test]
fn ids_no_one_has_are_unknown() {
    let mut m = known(&["a"]);
    assert!(m.ban("x", 1).is_err() && m.lift("x", 1).is_err());
    let _ = m.ban("a", 1);
    m.take(&list(2, true, vec![])).unwrap();
    assert!(m.ban("a", 2).is_ok(), "a banned id stays known while its instance is away");
    assert!(m.lift("a", 3).unwrap().is_none());
    assert!(m.ban("a", 4).is_err());
}

#[test]
fn what_drains_anyway_goes_on_draining_after_a_ban() {
    let mut m = known(&["a"]);
    let _ = m.ban("a", 1);
    m.take(&list(2, false, vec![target("a", State::Terminating, 0)])).unwrap();
    assert_eq!(m.lift("a", 2).unwrap().unwrap().state, State::Terminating);
}

#[test]
fn an_older_list_changes_nothing_and_a_whole_one_holds_once_the_version_is_forgotten() {
    let mut m = known(&["a"]);
    m.take(&list(7, false, vec![target("a", State::Terminating, 0)])).unwrap();
    for full in [false, true] {
        let older = m.take(&list(6, full, vec![target("a", State::Ready, 0)]));
        assert_eq!(older, Err(OlderList { told: 6, known: 7 }));
        assert_eq!((m.version(), m.all()[0].state), (Some(7), State::Terminating));
    }
    m.forget_version();
    m.take(&list(2, true, vec![target("a", State::Ready, 0)])).unwrap();
    assert_eq!((m.version(), m.all()[0].state), (Some(2), State::Ready));
}

#[test]
fn what_cannot_be_read_of_a_known_instance_takes_nothing_new_until_it_can() {
    for full in [false, true] {
        let mut m = known(&["a", "b"]);
        let doubtful = vec!["a".to_owned(), "never heard of".to_owned()];
        let told =
            m.take(&Targets { doubtful, ..list(2, full, vec![target("b", State::Ready, 0)]) }).unwrap();
        assert_eq!(told.iter().map(|t| t.state).collect::<Vec<_>>(), [State::Terminating, State::Ready]);
        assert_eq!(m.all().len(), 2);
        m.take(&list(3, false, vec![target("a", State::Ready, 0)])).unwrap();
        assert_eq!(m.all()[0].state, State::Ready);
    }
}

#[test]
fn a_list_without_a_version_leaves_the_one_at_hand_unless_it_is_whole() {
    let mut m = known(&["a"]);
    m.take(&Targets { version: None, ..list(0, false, vec![]) }).unwrap();
    assert_eq!(m.version(), Some(1));
    m.take(&Targets { version: None, ..list(0, true, vec![]) }).unwrap();
    assert_eq!((m.version(), m.all().len()), (None, 0));
}

/// Of ids that discovery names no more the latest are remembered, and reaching the bound forgets no ban of one that it names.
#[test]
fn the_oldest_bans_of_ids_that_are_away_are_forgotten_beyond_the_bound() {
    let ids: Vec<_> = (0..UNLISTED_MOST + 900).map(|n| format!("i{n:05}")).collect();
    let mut m = known(&ids.iter().map(String::as_str).collect::<Vec<_>>());
    for (now, id) in ids.iter().enumerate() {
        let _ = (m.ban(id, now as i64).unwrap(), m.lift(id, now as i64).unwrap());
        m.ban(id, now as i64).unwrap();
    }
    m.take(&list(2, true, vec![target(&ids[0], State::Ready, 0)])).unwrap();
    let kept: Vec<_> = m.bans().keys().cloned().collect();
    assert_eq!((kept.len(), m.returns.len()), (UNLISTED_MOST + 1, UNLISTED_MOST + 1));
    assert_eq!((&kept[0], &kept[1..]), (&ids[0], &ids[900..]));
}

/// Over random orders of calls and lists: banned is never ready, all else is as discovery says, and what is
/// kept stays bounded and survives being handed over.
#[test]
fn random_orders_keep_bans_and_bounds() {
    let mut draw = 7u64;
    let mut roll = |n: u64| {
        draw = draw.wrapping_mul(6364136223846793005).wrapping_add(1442695040888963407);
        (draw >> 33) % n
    };
    let mut m = Membership::default();
    let (mut banned, mut listed) = (std::collections::BTreeSet::new(), BTreeMap::new());
    for now in 0..6_000 {
        let id = format!("i{}", roll(900));
        match roll(5) {
            0 => {
                let known = listed.contains_key(&id) || banned.contains(&id);
                assert_eq!(m.ban(&id, now).is_ok(), known);
                let _ = known && banned.insert(id);
            }
            1 => assert_eq!(m.lift(&id, now).is_ok(), banned.remove(&id) || listed.contains_key(&id)),
            2 => {
                m.take(&list(now as u64, false, vec![target(&id, State::Gone, 0)])).unwrap();
                listed.remove(&id);
            }
            3 => m = serde_json::from_str(&serde_json::to_string(&m).unwrap()).unwrap(),
            _ => {
                let state = if roll(4) == 0 { State::Terminating } else { State::Ready };
                m.take(&list(now as u64, false, vec![target(&id, state, 0)])).unwrap();
                listed.insert(id, state);
            }
        }
        // What was forgotten to stay bounded was away for long.
        let away = |id: &String| !listed.contains_key(id);
        banned.retain(|id| m.bans().contains_key(id) || !away(id));
        let unlisted = |times: &BTreeMap<String, i64>| times.keys().filter(|id| away(id)).count();
        assert!(unlisted(&m.bans) <= UNLISTED_MOST + 1 && unlisted(&m.returns) <= UNLISTED_MOST + 1);
        for seen in m.all().into_iter().filter(|_| now % 16 == 0) {
            let expected = if banned.contains(&seen.id) { State::Terminating } else { listed[&seen.id] };
            assert_eq!(seen.state, expected);
        }
    }
}

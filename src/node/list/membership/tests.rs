use super::*;

fn target(id: &str, state: TargetState, started_ms: i64) -> Target {
    let (addr, zone, kind) = (SocketAddr::from(([127, 0, 0, 1], 9)), "z".into(), "k".into());
    Target { id: id.into(), addr, zone, kind, cell: 1, state, started_ms }
}

fn list(version: u64, full: bool, servers: Vec<Target>) -> TargetList {
    TargetList { version: Some(version), full, servers, unreadable_ids: Vec::new() }
}

/// Returns a membership with these instances, all ready, at list version 1.
fn membership_of(ids: &[&str]) -> Membership {
    let mut membership = Membership::default();
    let servers = ids.iter().map(|id| target(id, TargetState::Ready, 0)).collect();
    membership.apply_list(&list(1, true, servers)).unwrap();
    membership
}

#[test]
fn a_ban_holds_whatever_discovery_reports() {
    let mut membership = membership_of(&["a", "b"]);
    assert_eq!(membership.ban("a", 10).unwrap().unwrap().state, TargetState::Terminating);
    let ready = membership.apply_list(&list(2, false, vec![target("a", TargetState::Ready, 5)])).unwrap();
    assert_eq!(ready[0].state, TargetState::Terminating);
    let gone = membership.apply_list(&list(3, false, vec![target("a", TargetState::Gone, 0)])).unwrap();
    assert_eq!(gone[0].state, TargetState::Gone);
    let full = membership
        .apply_list(&list(
            4,
            true,
            vec![target("a", TargetState::Ready, 7), target("b", TargetState::Ready, 0)],
        ))
        .unwrap();
    assert_eq!([full[0].state, full[1].state], [TargetState::Terminating, TargetState::Ready]);
}

#[test]
fn one_lift_ends_a_repeated_ban() {
    let mut membership = membership_of(&["a"]);
    assert!(membership.ban("a", 10).unwrap().is_some() && membership.ban("a", 11).unwrap().is_none());
    let returned = membership.lift_ban("a", 20).unwrap().unwrap();
    assert_eq!((returned.state, returned.started_ms), (TargetState::Ready, 20));
    assert!(membership.lift_ban("a", 30).unwrap().is_none());
    assert_eq!(membership.targets()[0].started_ms, 20, "lifting again records no second return");
}

#[test]
fn a_returned_instance_is_cold_until_discovery_reports_a_later_start() {
    let mut membership = membership_of(&["a"]);
    let _ = (membership.ban("a", 10), membership.lift_ban("a", 20));
    assert_eq!(
        membership.apply_list(&list(2, false, vec![target("a", TargetState::Ready, 15)])).unwrap()[0]
            .started_ms,
        20
    );
    assert_eq!(
        membership.apply_list(&list(3, false, vec![target("a", TargetState::Ready, 25)])).unwrap()[0]
            .started_ms,
        25
    );
}

#[test]
fn ids_without_an_instance_are_unknown() {
    let mut membership = membership_of(&["a"]);
    assert!(membership.ban("x", 1).is_err() && membership.lift_ban("x", 1).is_err());
    let _ = membership.ban("a", 1);
    membership.apply_list(&list(2, true, vec![])).unwrap();
    assert!(membership.ban("a", 2).is_ok(), "a banned id stays known while its instance is not listed");
    assert!(membership.lift_ban("a", 3).unwrap().is_none());
    assert!(membership.ban("a", 4).is_err());
}

#[test]
fn an_instance_that_discovery_drains_still_drains_after_a_ban() {
    let mut membership = membership_of(&["a"]);
    let _ = membership.ban("a", 1);
    membership.apply_list(&list(2, false, vec![target("a", TargetState::Terminating, 0)])).unwrap();
    assert_eq!(membership.lift_ban("a", 2).unwrap().unwrap().state, TargetState::Terminating);
}

#[test]
fn a_stale_list_is_rejected_until_the_version_is_forgotten() {
    let mut membership = membership_of(&["a"]);
    membership.apply_list(&list(7, false, vec![target("a", TargetState::Terminating, 0)])).unwrap();
    for full in [false, true] {
        let rejected = membership.apply_list(&list(6, full, vec![target("a", TargetState::Ready, 0)]));
        assert_eq!(rejected, Err(StaleList { received: 6, current: 7 }));
        assert_eq!(
            (membership.version(), membership.targets()[0].state),
            (Some(7), TargetState::Terminating)
        );
    }
    membership.forget_version();
    membership.apply_list(&list(2, true, vec![target("a", TargetState::Ready, 0)])).unwrap();
    assert_eq!((membership.version(), membership.targets()[0].state), (Some(2), TargetState::Ready));
}

#[test]
fn a_known_instance_with_an_unreadable_entry_drains_until_it_is_readable() {
    for full in [false, true] {
        let mut membership = membership_of(&["a", "b"]);
        let unreadable_ids = vec!["a".to_owned(), "never heard of".to_owned()];
        let applied = membership
            .apply_list(&TargetList {
                unreadable_ids,
                ..list(2, full, vec![target("b", TargetState::Ready, 0)])
            })
            .unwrap();
        assert_eq!(
            applied.iter().map(|target| target.state).collect::<Vec<_>>(),
            [TargetState::Terminating, TargetState::Ready]
        );
        assert_eq!(membership.targets().len(), 2);
        membership.apply_list(&list(3, false, vec![target("a", TargetState::Ready, 0)])).unwrap();
        assert_eq!(membership.targets()[0].state, TargetState::Ready);
    }
}

#[test]
fn a_list_without_a_version_keeps_the_current_one_unless_it_is_full() {
    let mut membership = membership_of(&["a"]);
    membership.apply_list(&TargetList { version: None, ..list(0, false, vec![]) }).unwrap();
    assert_eq!(membership.version(), Some(1));
    membership.apply_list(&TargetList { version: None, ..list(0, true, vec![]) }).unwrap();
    assert_eq!((membership.version(), membership.targets().len()), (None, 0));
}

/// The latest bans and returns of unlisted ids are kept, and reaching the bound never removes the ban of a listed id.
#[test]
fn the_oldest_bans_of_unlisted_ids_are_removed_beyond_the_bound() {
    let ids: Vec<_> = (0..MAX_UNLISTED_IDS + 900).map(|n| format!("i{n:05}")).collect();
    let mut membership = membership_of(&ids.iter().map(String::as_str).collect::<Vec<_>>());
    for (now_ms, id) in ids.iter().enumerate() {
        let _ = (membership.ban(id, now_ms as i64).unwrap(), membership.lift_ban(id, now_ms as i64).unwrap());
        membership.ban(id, now_ms as i64).unwrap();
    }
    membership.apply_list(&list(2, true, vec![target(&ids[0], TargetState::Ready, 0)])).unwrap();
    let kept: Vec<_> = membership.bans().keys().cloned().collect();
    assert_eq!((kept.len(), membership.returns.len()), (MAX_UNLISTED_IDS + 1, MAX_UNLISTED_IDS + 1));
    assert_eq!((&kept[0], &kept[1..]), (&ids[0], &ids[900..]));
}

/// In random orders of calls and lists a banned instance is never ready, all others are as discovery reports, and the kept bans
/// and returns stay bounded and survive a handover.
#[test]
fn random_orders_keep_bans_and_bounds() {
    let mut random = 7u64;
    let mut random_below = |bound: u64| {
        random = random.wrapping_mul(6364136223846793005).wrapping_add(1442695040888963407);
        (random >> 33) % bound
    };
    let mut membership = Membership::default();
    let (mut banned, mut listed) = (std::collections::BTreeSet::new(), BTreeMap::new());
    for now_ms in 0..6_000 {
        let id = format!("i{}", random_below(900));
        match random_below(5) {
            0 => {
                let is_known = listed.contains_key(&id) || banned.contains(&id);
                assert_eq!(membership.ban(&id, now_ms).is_ok(), is_known);
                let _ = is_known && banned.insert(id);
            }
            1 => assert_eq!(
                membership.lift_ban(&id, now_ms).is_ok(),
                banned.remove(&id) || listed.contains_key(&id)
            ),
            2 => {
                membership
                    .apply_list(&list(now_ms as u64, false, vec![target(&id, TargetState::Gone, 0)]))
                    .unwrap();
                listed.remove(&id);
            }
            3 => membership = serde_json::from_str(&serde_json::to_string(&membership).unwrap()).unwrap(),
            _ => {
                let state = if random_below(4) == 0 { TargetState::Terminating } else { TargetState::Ready };
                membership.apply_list(&list(now_ms as u64, false, vec![target(&id, state, 0)])).unwrap();
                listed.insert(id, state);
            }
        }
        // A ban may only be removed for the bound if its id is not listed.
        let is_unlisted = |id: &String| !listed.contains_key(id);
        banned.retain(|id| membership.bans().contains_key(id) || !is_unlisted(id));
        let unlisted_count =
            |times: &BTreeMap<String, i64>| times.keys().filter(|id| is_unlisted(id)).count();
        assert!(
            unlisted_count(&membership.bans) <= MAX_UNLISTED_IDS + 1
                && unlisted_count(&membership.returns) <= MAX_UNLISTED_IDS + 1
        );
        for target in membership.targets().into_iter().filter(|_| now_ms % 16 == 0) {
            let expected =
                if banned.contains(&target.id) { TargetState::Terminating } else { listed[&target.id] };
            assert_eq!(target.state, expected);
        }
    }
}

use super::*;
use Effect::*;

fn older() -> Handover {
    Handover::begin(Side::Older, 1_000).0
}

#[test]
fn the_older_serves_until_the_newer_does_and_again_when_that_is_gone() {
    let mut h = older();
    assert_eq!(h.told(Message::Serves), [Note(Happening::Succeeded)]);
    assert_eq!(h.lost(), [Share(false), Note(Happening::SuccessorGone)]);
    assert!(h.lost().is_empty() && h.told(Message::Serves).is_empty(), "over is over");
}

#[test]
fn a_newer_that_dies_before_its_yes_changes_nothing_but_the_share() {
    assert_eq!(Handover::begin(Side::Older, 0).1, [Share(true)]);
    assert_eq!(older().lost(), [Share(false)]);
}

#[test]
fn a_newer_that_never_serves_is_given_up() {
    let mut h = older();
    let due = h.due().unwrap();
    assert!(h.waited(due - 1).is_empty());
    assert_eq!(h.waited(due), [Share(false), HangUp]);
    assert_eq!(h.due(), None);
    let mut h = older();
    h.told(Message::Serves);
    assert_eq!(
        (h.due(), h.waited(Micros::MAX)),
        (None, vec![]),
        "one that serves may take as long as it likes"
    );
}

#[test]
fn the_newer_takes_the_whole_once_the_older_is_gone() {
    let (mut h, begun) = Handover::begin(Side::Newer, 0);
    assert_eq!((begun, h.due()), (vec![Share(true)], None));
    assert_eq!(h.lost(), [Share(false)]);
}

#[test]
fn what_operators_say_crosses_both_ways_and_what_is_out_of_turn_ends_it() {
    for side in [Side::Older, Side::Newer] {
        let (mut h, _) = Handover::begin(side, 0);
        assert_eq!(h.told(Message::Ban("a".into())), [Ban("a".into())]);
        assert_eq!(h.told(Message::Lift("a".into())), [Lift("a".into())]);
        assert_eq!(h.told(Message::Drain(true)), [Note(Happening::Drain)]);
        assert_eq!(h.told(Message::Drain(false)), [Note(Happening::Undrain)]);
        assert_eq!(h.told(Message::Refused("no".into())), [Share(false), HangUp]);
    }
    let (mut newer, _) = Handover::begin(Side::Newer, 0);
    assert_eq!(newer.told(Message::Serves), [Share(false), HangUp]);
}

#[test]
fn only_the_same_conductor_in_the_same_version_is_admitted() {
    let hello = |version, name: &str, port| {
        let (name, listen) = (name.into(), SocketAddr::from(([127, 0, 0, 1], port)));
        Hello { version, name, listen, shares_ids: false }
    };
    let own = hello(VERSION, "n1", 80);
    assert_eq!(own.admits(&own), Ok(()));
    assert_eq!(own.admits(&hello(9, "n1", 80)), Err(Refusal::Version(9)));
    assert!(own.admits(&hello(VERSION, "n2", 80)).is_err());
    assert!(own.admits(&hello(VERSION, "n1", 81)).is_err());
}

/// Over random orders: while the link stands both keep to a part, after it both take the whole; the clients are
/// the newer one's exactly while it serves.
#[test]
fn random_orders_leave_the_clients_with_one_process() {
    use crate::node::process::readiness::Readiness;
    let mut draw = 3u64;
    for _ in 0..2_000 {
        let (mut h, effects) = Handover::begin(Side::Older, 0);
        let mut readiness = Readiness::default().after(Happening::CanServe);
        let (mut shared, mut served, mut lost) = (effects == [Share(true)], false, false);
        for now in 0..8 {
            draw = draw.wrapping_mul(6364136223846793005).wrapping_add(1442695040888963407);
            let effects = match (draw >> 33) % 5 {
                0 => {
                    served |= !lost;
                    h.told(Message::Serves)
                }
                1 => h.told(Message::Drain(draw >> 40 & 1 == 0)),
                2 => h.told(Message::Ban("a".into())),
                3 => h.waited(now * 3_000_000),
                _ => h.lost(),
            };
            for effect in effects {
                match effect {
                    Share(part) => (shared, lost) = (part, !part),
                    Note(happening) => readiness = readiness.after(happening),
                    _ => {}
                }
            }
            assert_eq!(shared, !lost);
            assert_eq!(readiness.accepts(), !served || lost);
        }
    }
}

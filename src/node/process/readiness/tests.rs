use super::*;
use Happening::*;

const ALL: [Happening; 6] = [CanServe, Drain, Undrain, Succeeded, SuccessorGone, End];

fn after(happenings: &[Happening]) -> Readiness {
    happenings.iter().fold(Readiness::default(), |state, &h| state.after(h))
}

#[test]
fn each_stage_and_what_it_says() {
    let says = |r: Readiness| (r.stage(), r.ready(), r.healthy(), r.accepts(), r.lets_go());
    assert_eq!(says(after(&[])), (Stage::Starting, false, false, true, false));
    assert_eq!(says(after(&[CanServe])), (Stage::Serving, true, true, true, false));
    assert_eq!(says(after(&[CanServe, Drain])), (Stage::Drained, false, true, true, true));
    assert_eq!(says(after(&[CanServe, Succeeded])), (Stage::HandingOver, true, true, false, true));
    assert_eq!(says(after(&[CanServe, End])), (Stage::Ending, true, false, true, true));
}

/// Every pair of happenings, after every set of earlier ones: only a happening's own opposite undoes it.
#[test]
fn the_order_never_matters_but_between_opposites() {
    let opposite = |a, b| {
        let pairs = [(Drain, Undrain), (Succeeded, SuccessorGone)];
        pairs.contains(&(a, b)) || pairs.contains(&(b, a))
    };
    for earlier in 0..1u32 << ALL.len() {
        let chosen = ALL.iter().enumerate().filter(|(n, _)| earlier >> n & 1 == 1);
        let from = after(&chosen.map(|(_, &h)| h).collect::<Vec<_>>());
        for a in ALL {
            assert_eq!(from.after(a).after(a), from.after(a), "{a:?} twice");
            for b in ALL.into_iter().filter(|&b| !opposite(a, b)) {
                assert_eq!(from.after(a).after(b), from.after(b).after(a), "{a:?}, {b:?}");
            }
        }
    }
}

#[test]
fn a_drain_outlasts_an_upgrade_that_fails() {
    let state = after(&[CanServe, Drain, Succeeded, SuccessorGone]);
    assert_eq!(state.stage(), Stage::Drained);
    assert_eq!(state.after(Undrain).stage(), Stage::Serving);
    let state = after(&[CanServe, Succeeded, Drain]);
    assert_eq!((state.stage(), state.ready()), (Stage::HandingOver, false));
}

#[test]
fn nothing_undoes_an_end() {
    let ended = after(&[CanServe, End]);
    assert!(ALL.iter().all(|&h| ended.after(h).stage() == Stage::Ending));
}

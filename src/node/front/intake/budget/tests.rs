use proptest::prelude::*;

use super::*;

/// Guards against requests that hold much and stop shutting out usual ones.
#[test]
fn large_holders_leave_room_for_small_ones() {
    let budget = MemoryBudget::new(1_000_000);
    let mut large: Vec<_> = (0..10).map(|_| Reservation::new(&budget)).collect();
    let granted = large.iter_mut().filter_map(|large| large.grow(200_000).then_some(())).count();
    assert_eq!(granted, 3);
    let small: Vec<_> = (0..100)
        .map(|_| {
            let mut small = Reservation::new(&budget);
            (small.grow(4_000), small)
        })
        .collect();
    assert!(small.iter().all(|(fits, _)| *fits));
    assert!(!Reservation::new(&budget).grow(4_000));
}

#[test]
fn a_lower_limit_takes_nothing_away_and_grants_nothing() {
    let budget = MemoryBudget::new(10_000);
    let mut held = Reservation::new(&budget);
    assert!(held.grow(8_000));
    budget.set_limit(4_000);
    assert!(!held.grow(1) && held.grow_to(8_000));
    assert_eq!(held.bytes(), 8_000);
    held.clear();
    assert!(held.grow(4_000));
}

proptest! {
    /// Whatever is asked for and given back, no more is granted than the budget has, and in the end all is back.
    #[test]
    fn no_more_is_held_than_the_limit(limit in 0_usize..200_000, asked in prop::collection::vec((0_usize..8, 0_usize..60_000, any::<bool>()), 0..60)) {
        let budget = MemoryBudget::new(limit);
        let mut holders: Vec<_> = (0..8).map(|_| Reservation::new(&budget)).collect();
        for (holder, bytes, is_returned) in asked {
            if is_returned {
                holders[holder].clear();
            } else {
                let before = holders[holder].bytes();
                let fits = holders[holder].grow(bytes);
                prop_assert_eq!(holders[holder].bytes(), before + if fits { bytes } else { 0 });
            }
            prop_assert!(budget.used() <= limit);
            prop_assert_eq!(budget.used(), holders.iter().map(Reservation::bytes).sum::<usize>());
        }
        drop(holders);
        prop_assert_eq!(budget.used(), 0);
    }
}

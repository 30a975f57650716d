use std::time::Duration;

use proptest::prelude::*;

use super::*;

proptest! {
    /// Whatever the pace, no more requests go unserved than the burst and the long run allow.
    #[test]
    fn no_more_go_unserved_than_allowed(gaps_ms in prop::collection::vec(0_u64..40, 1..2_000)) {
        let start = Instant::now();
        let (mut pace, mut now, mut unserved) = (Pace::new(start), start, 0.0);
        for gap in gaps_ms {
            now += Duration::from_millis(gap);
            if pace.admits(now) {
                pace.note_unserved();
                unserved += 1.0;
            }
        }
        let seconds = now.saturating_duration_since(start).as_secs_f64();
        prop_assert!(unserved <= MAX_BURST + seconds * MAX_UNSERVED_PER_S + 1.0);
    }

    /// A client that is refused now and then, or comes slowly, meets no limit, however fast the others are served.
    #[test]
    fn who_is_served_is_always_admitted(steps in prop::collection::vec((0_u64..4, 0_u64..400), 1..2_000)) {
        let mut now = Instant::now();
        let mut pace = Pace::new(now);
        for (served, gap_ms) in steps {
            (0..served).for_each(|_| assert!(pace.admits(now)));
            now += Duration::from_millis(gap_ms.max(16));
            prop_assert!(pace.admits(now));
            pace.note_unserved();
        }
    }
}

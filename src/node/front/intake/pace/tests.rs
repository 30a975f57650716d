use std::time::Duration;

use proptest::prelude::*;

use super::*;

proptest! {
    /// Whatever the pace, no more is admitted than the burst and the long run allow, and a slow client always is.
    #[test]
    fn no_more_is_admitted_than_allowed(gaps_ms in prop::collection::vec(0_u64..40, 1..2_000)) {
        let start = Instant::now();
        let (mut pace, mut now, mut admitted) = (Pace::new(start), start, 0.0);
        for gap in gaps_ms {
            now += Duration::from_millis(gap);
            if pace.admits(now) {
                admitted += 1.0;
            }
        }
        let seconds = now.saturating_duration_since(start).as_secs_f64();
        prop_assert!(admitted <= MAX_BURST + seconds * MAX_REQUESTS_PER_S + 1.0);
    }

    #[test]
    fn a_client_that_waits_for_answers_is_always_admitted(gaps_ms in prop::collection::vec(16_u64..400, 1..2_000)) {
        let mut now = Instant::now();
        let mut pace = Pace::new(now);
        for gap in gaps_ms {
            now += Duration::from_millis(gap);
            prop_assert!(pace.admits(now));
        }
    }
}

use super::*;

const FIRST: Duration = Duration::from_millis(250);
const MOST: Duration = Duration::from_secs(10);

fn waits(seed: u64, count: usize) -> Vec<Duration> {
    let mut backoff = Backoff::new(FIRST, MOST, seed);
    (0..count).map(|_| backoff.after(Duration::ZERO, MOST)).collect()
}

#[test]
fn waits_grow_to_the_cap_and_stay_there() {
    let waits = waits(1, 40);
    assert!(waits[0] <= FIRST && waits[0] >= FIRST / 2);
    assert!(waits[5..].iter().all(|w| *w >= MOST / 2 && *w <= MOST), "{waits:?}");
}

#[test]
fn a_hundred_that_fail_together_do_not_come_back_together() {
    // What lost its service at one moment, as the calls of each tenth of a second.
    let mut calls = vec![0; 1_200];
    for seed in 0..100 {
        let mut at = Duration::ZERO;
        for wait in waits(seed, 60) {
            at += wait;
            if let Some(slot) = calls.get_mut(at.as_millis() as usize / 100) {
                *slot += 1;
            }
        }
    }
    let settled = &calls[100..];
    assert!(settled.iter().all(|&n| n <= 12), "{settled:?}");
    assert!(settled.iter().sum::<i32>() < 110 * 20, "about thirteen a second at the cap");
}

#[test]
fn only_what_lasted_starts_over() {
    let mut backoff = Backoff::new(FIRST, MOST, 3);
    let _ = [(); 6].map(|()| backoff.after(Duration::ZERO, MOST));
    assert!(backoff.after(Duration::from_secs(1), MOST) >= MOST / 2, "taken and dropped is no success");
    assert!(backoff.after(Duration::from_secs(60), MOST) <= FIRST);
    let _ = [(); 6].map(|()| backoff.after(Duration::ZERO, MOST));
    backoff.reset();
    assert!(backoff.after(Duration::ZERO, MOST) <= FIRST);
}

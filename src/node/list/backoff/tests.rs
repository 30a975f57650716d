use super::*;

const INITIAL_DELAY: Duration = Duration::from_millis(250);
const MAX_DELAY: Duration = Duration::from_secs(10);

fn delays(seed: u64, count: usize) -> Vec<Duration> {
    let mut backoff = Backoff::new(INITIAL_DELAY, MAX_DELAY, seed);
    (0..count).map(|_| backoff.next_delay(Duration::ZERO, MAX_DELAY)).collect()
}

#[test]
fn delays_grow_to_the_maximum_and_stay_there() {
    let delays = delays(1, 40);
    assert!(delays[0] <= INITIAL_DELAY && delays[0] >= INITIAL_DELAY / 2);
    assert!(delays[5..].iter().all(|delay| *delay >= MAX_DELAY / 2 && *delay <= MAX_DELAY), "{delays:?}");
}

#[test]
fn a_hundred_simultaneous_failures_are_retried_at_different_times() {
    // Calls in each tenth of a second after all have lost the service at the same moment.
    let mut calls = vec![0; 1_200];
    for seed in 0..100 {
        let mut time = Duration::ZERO;
        for delay in delays(seed, 60) {
            time += delay;
            if let Some(slot) = calls.get_mut(time.as_millis() as usize / 100) {
                *slot += 1;
            }
        }
    }
    let settled = &calls[100..];
    assert!(settled.iter().all(|&n| n <= 12), "{settled:?}");
    assert!(settled.iter().sum::<i32>() < 110 * 20, "about thirteen calls per second at the maximum delay");
}

#[test]
fn only_a_lasting_success_resets_the_delay() {
    let mut backoff = Backoff::new(INITIAL_DELAY, MAX_DELAY, 3);
    let _ = [(); 6].map(|()| backoff.next_delay(Duration::ZERO, MAX_DELAY));
    assert!(
        backoff.next_delay(Duration::from_secs(1), MAX_DELAY) >= MAX_DELAY / 2,
        "a call that is accepted and soon dropped is not a success"
    );
    assert!(backoff.next_delay(Duration::from_secs(60), MAX_DELAY) <= INITIAL_DELAY);
    let _ = [(); 6].map(|()| backoff.next_delay(Duration::ZERO, MAX_DELAY));
    backoff.reset();
    assert!(backoff.next_delay(Duration::ZERO, MAX_DELAY) <= INITIAL_DELAY);
}

use super::*;
use tokio::time::advance;

#[tokio::test(start_paused = true)]
async fn logs_one_event_per_second_and_counts_suppressed_events() {
    let sampler = LogSampler::default();
    assert_eq!(sampler.sample(), Some(0));
    assert_eq!((sampler.sample(), sampler.sample()), (None, None));
    advance(MIN_LOG_INTERVAL).await;
    assert_eq!(sampler.sample(), Some(2));
    assert_eq!(sampler.sample(), None);
}

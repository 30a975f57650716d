//! Releases the state that instances hold for a request: asks one instance after the other until one confirms
//! it.

use std::collections::BTreeSet;
use std::rc::Rc;
use std::time::Duration;

use tokio::task::JoinSet;
use tokio::time::{Instant, sleep, timeout};

use super::attempt::Upstream;
use super::pool::Reuse;
use crate::api::HostId;
use crate::node::counters::{Counters, add};

/// Why a release is sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReleaseReason {
    /// The decision module requested it.
    Ordered,
    /// An attempt ended without an answer, so its instance may hold a state.
    NoAnswer,
    /// Most of the time limit of a state that may be held has passed, and no instance has confirmed what
    /// became of it.
    Unanswered,
    /// The request is over.
    RequestOver,
}

impl ReleaseReason {
    fn count(self, counters: &Counters) {
        add(match self {
            ReleaseReason::Ordered => &counters.releases_ordered,
            ReleaseReason::NoAnswer => &counters.releases_no_answer,
            ReleaseReason::Unanswered => &counters.releases_unanswered,
            ReleaseReason::RequestOver => &counters.releases_request_over,
        });
    }
}

/// Wait for an instance to confirm a release before the next instance is asked in parallel. Most of the pin
/// limit has passed when a release is sent, so silent instances must not use up the rest one after the other.
const MIN_CALL_INTERVAL: Duration = Duration::from_millis(30);
/// Number of calls after the shortest interval; later intervals grow.
const MIN_INTERVAL_CALLS: u32 = 16;
/// Factor by which the interval grows from one call to the next.
const CALL_INTERVAL_GROWTH: f64 = 1.5;
/// Longest interval between two calls.
const MAX_CALL_INTERVAL: Duration = Duration::from_millis(250);
/// Number of calls that may reuse idle connections. Later calls open new ones, because all idle connections
/// may be dead.
const MAX_REUSE_CALLS: u32 = 4;
/// Time within which one instance has to confirm the release.
const CALL_TIMEOUT: Duration = Duration::from_secs(1);
/// Time after which a release is abandoned. Instances that were unreachable for so long have dropped the
/// state by their own limit.
const RELEASE_TIMEOUT: Duration = Duration::from_secs(10);

/// Returns the wait before the next instance is asked, after so many calls.
fn call_interval(tries: u32) -> Duration {
    let growth_steps = tries.saturating_sub(MIN_INTERVAL_CALLS).min(MIN_INTERVAL_CALLS);
    MIN_CALL_INTERVAL.mul_f64(CALL_INTERVAL_GROWTH.powi(growth_steps as i32)).min(MAX_CALL_INTERVAL)
}

/// Iterates over the instances, the likeliest to answer first, and starts again when all have been asked.
struct Candidates {
    upstream: Rc<Upstream>,
    asked: BTreeSet<HostId>,
}

impl Candidates {
    fn next(&mut self) -> Option<HostId> {
        let most_responsive = self.upstream.pool().most_responsive(self.asked.len() + 1);
        let next_host = most_responsive.iter().copied().find(|host| !self.asked.contains(host));
        let next_host = next_host.or_else(|| {
            self.asked.clear();
            most_responsive.first().copied()
        })?;
        self.asked.insert(next_host);
        Some(next_host)
    }
}

/// Asks one instance to release the state. Returns when the call was sent if the instance confirmed it.
async fn call_instance(
    upstream: Rc<Upstream>, host: HostId, request_id: Rc<str>, reuse: Reuse,
) -> Option<Instant> {
    let sent_at = Instant::now();
    match timeout(CALL_TIMEOUT, upstream.send_release(host, &request_id, reuse)).await {
        Ok(true) => return Some(sent_at),
        Ok(false) => upstream.pool().mark_unresponsive(host),
        Err(_) => upstream.pool().report_silence_since(host, sent_at),
    }
    None
}

/// Releases everything that is held for the request. Any instance accepts the call for the whole fleet, and a
/// second release does no harm. Returns when the call was sent that an instance confirmed, or `None` if none
/// confirmed one within `RELEASE_TIMEOUT`.
pub async fn release(upstream: Rc<Upstream>, request_id: Rc<str>, reason: ReleaseReason) -> Option<Instant> {
    reason.count(upstream.counters());
    tracing::debug!(request = %request_id, ?reason, "release: started");
    let (started_at, mut tries) = (Instant::now(), 0);
    let mut candidates = Candidates { upstream: upstream.clone(), asked: BTreeSet::new() };
    let mut calls = JoinSet::new();
    while started_at.elapsed() < RELEASE_TIMEOUT {
        let asked_host = candidates.next();
        if let Some(host) = asked_host {
            add(&upstream.counters().release_calls);
            let reuse = if tries < MAX_REUSE_CALLS { Reuse::Allowed } else { Reuse::Never };
            calls.spawn_local(call_instance(upstream.clone(), host, request_id.clone(), reuse));
        }
        tries += 1;
        if let Some(sent_at) = confirmed_within(&mut calls, call_interval(tries)).await {
            let took_ms = started_at.elapsed().as_millis() as u64;
            tracing::debug!(request = %request_id, ?reason, took_ms, tries, "release: confirmed");
            add(&upstream.counters().releases);
            return Some(sent_at);
        }
        // Other instances are asked first until this one answers.
        asked_host.inspect(|&host| upstream.pool().mark_suspect(host));
    }
    add(&upstream.counters().releases_lost);
    let took_ms = started_at.elapsed().as_millis() as u64;
    tracing::warn!(request = %request_id, ?reason, took_ms, tries, "release: no instance confirmed it");
    None
}

/// Waits for one of the calls to be confirmed, for `wait` at most. Returns early once all calls have failed.
async fn confirmed_within(calls: &mut JoinSet<Option<Instant>>, wait: Duration) -> Option<Instant> {
    let first_confirmation = async {
        loop {
            match calls.join_next().await {
                Some(Ok(Some(sent_at))) => return Some(sent_at),
                Some(_) => {}
                None => {
                    // After calls that failed at once the next one follows soon, but not without any delay,
                    // which would be a busy loop.
                    sleep(wait / 8).await;
                    return None;
                }
            }
        }
    };
    timeout(wait, first_confirmation).await.ok().flatten()
}

#[cfg(test)]
mod tests;

//! Letting go of what is held for a request at the instances: until one of them confirms it.

use std::collections::BTreeSet;
use std::rc::Rc;
use std::time::Duration;

use tokio::task::JoinSet;
use tokio::time::{Instant, sleep, timeout};

use super::attempt::Upstream;
use super::pool::Reuse;
use crate::api::HostId;
use crate::node::counters::{Counters, add};

/// Why a release is made.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReleaseReason {
    /// The module asked for it.
    Ordered,
    /// An attempt ended without a word of its instance, so a state may be there.
    NoAnswer,
    /// What may be held has been so for most of the time that it may, and no instance has answered for it.
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

/// For an instance to take the call, before another one is asked beside it. Most of the pin limit has passed when a release is
/// made, so silent instances must not use up the rest one after the other.
const EACH: Duration = Duration::from_millis(30);
/// Instances asked so soon after each other; further ones after waits that grow...
const QUICK: u32 = 16;
/// ...by this factor...
const SLOWER: f64 = 1.5;
/// ...up to this.
const EACH_MOST: Duration = Duration::from_millis(250);
/// Instances asked on kept connections, before new ones are opened: all that are kept may have fallen silent.
const ON_KEPT: u32 = 4;
/// For one instance to take the call.
const CALL_MOST: Duration = Duration::from_secs(1);
/// After which none is asked any more: instances that nobody reached for so long have let go by themselves.
const GIVE_UP: Duration = Duration::from_secs(10);

/// The wait before another instance is asked.
fn pause(tries: u32) -> Duration {
    let further = tries.saturating_sub(QUICK).min(QUICK);
    EACH.mul_f64(SLOWER.powi(further as i32)).min(EACH_MOST)
}

/// Goes through the instances, the likeliest to answer first, and then from the beginning.
struct Candidates {
    upstream: Rc<Upstream>,
    asked: BTreeSet<HostId>,
}

impl Candidates {
    fn next(&mut self) -> Option<HostId> {
        let likeliest = self.upstream.pool().most_responsive(self.asked.len() + 1);
        let next = likeliest.iter().copied().find(|host| !self.asked.contains(host));
        let next = next.or_else(|| {
            self.asked.clear();
            likeliest.first().copied()
        })?;
        self.asked.insert(next);
        Some(next)
    }
}

/// When a call was sent, if its instance confirmed it.
async fn call(upstream: Rc<Upstream>, host: HostId, id: Rc<str>, reuse: Reuse) -> Option<Instant> {
    let sent = Instant::now();
    match timeout(CALL_MOST, upstream.send_release(host, &id, reuse)).await {
        Ok(true) => return Some(sent),
        Ok(false) => upstream.pool().mark_unresponsive(host),
        Err(_) => upstream.pool().report_silence_since(host, sent),
    }
    None
}

/// Releases all that is held for the request, and tells when the call was sent that an instance confirmed. Any instance takes the
/// call, and to be released twice is harmless. None where no instance took it for so long that it is given up.
pub async fn release(upstream: Rc<Upstream>, id: Rc<str>, reason: ReleaseReason) -> Option<Instant> {
    reason.count(upstream.counters());
    tracing::debug!(request = %id, ?reason, "release: begun");
    let (begun, mut tries) = (Instant::now(), 0);
    let mut candidates = Candidates { upstream: upstream.clone(), asked: BTreeSet::new() };
    let mut calls = JoinSet::new();
    while begun.elapsed() < GIVE_UP {
        let asked = candidates.next();
        if let Some(host) = asked {
            add(&upstream.counters().release_calls);
            let reuse = if tries < ON_KEPT { Reuse::Allowed } else { Reuse::Never };
            calls.spawn_local(call(upstream.clone(), host, id.clone(), reuse));
        }
        tries += 1;
        if let Some(sent) = confirmed_within(&mut calls, pause(tries)).await {
            let took_ms = begun.elapsed().as_millis() as u64;
            tracing::debug!(request = %id, ?reason, took_ms, tries, "release: taken");
            add(&upstream.counters().releases);
            return Some(sent);
        }
        // Until it is heard, others are asked before it.
        asked.inspect(|&host| upstream.pool().mark_suspect(host));
    }
    add(&upstream.counters().releases_lost);
    let took_ms = begun.elapsed().as_millis() as u64;
    tracing::warn!(request = %id, ?reason, took_ms, tries, "release: no instance took it");
    None
}

/// Waits so long for a confirmation; less where all calls that are out have failed and some time has passed.
async fn confirmed_within(calls: &mut JoinSet<Option<Instant>>, wait: Duration) -> Option<Instant> {
    let first = async {
        loop {
            match calls.join_next().await {
                Some(Ok(Some(sent))) => return Some(sent),
                Some(_) => {}
                None => {
                    // Refused at once: the next one is asked soon, and not in the same moment for ever.
                    sleep(wait / 8).await;
                    return None;
                }
            }
        }
    };
    timeout(wait, first).await.ok().flatten()
}

#[cfg(test)]
mod tests;

//! Letting go of what is held for a request at the instances.

use std::rc::Rc;
use std::time::Duration;

use tokio::time::timeout;

use super::attempt::Upstream;
use super::counters::add;

/// For an instance to take the call. The module has used most of the pin limit when it asks, so a silent
/// instance must not use up the rest.
const EACH: Duration = Duration::from_millis(80);
/// Instances asked, one after the other.
const TRIES: usize = 6;

/// Releases all that is held for the request. Any instance takes the call; one that cannot be reached or stays
/// silent is passed over for the next.
pub async fn release(upstream: Rc<Upstream>, id: Rc<str>) {
    for host in upstream.pool().likeliest().into_iter().take(TRIES) {
        if let Ok(true) = timeout(EACH, upstream.release_at(host, &id)).await {
            return add(&upstream.counters().releases);
        }
        upstream.pool().distrust(host);
    }
    add(&upstream.counters().releases_lost);
    tracing::warn!("release: no instance took the release of {id}");
}

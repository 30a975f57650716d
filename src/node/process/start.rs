//! The start of the process: until when it waits for a list of instances.

use std::future::Future;
use std::rc::Rc;
use std::time::Duration;

use tokio::sync::watch;
use tokio::time::timeout;

use super::readiness::Happening;
use super::shutdown::Shutdown;
use crate::node::policy_gate::PolicyGate;

/// How long a start waits for discovery before it serves by the list that it was given, which may be old: half of the time in
/// which it is to be ready, the other half is for a machine that is short of time.
pub const DISCOVERY_WAIT: Duration = Duration::from_secs(5);
/// The same where an older process has handed its list over, which is as new as that process heard.
pub const INHERITED_WAIT: Duration = Duration::from_secs(1);

/// What a process begins with instead of discovery's list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Given {
    /// Whether there is a list at all; without one it waits for discovery's.
    pub known: bool,
    /// Whether it is an older process's.
    pub inherited: bool,
}

/// Says that this process can serve, once it has a list, discovery's or after a while the one that it began with, and is known
/// to the other conductors and caught up with them. `told` turns true with the first list of discovery.
pub async fn become_ready(
    mut told: watch::Receiver<bool>, given: Given, policy_gate: Rc<PolicyGate>,
    caught_up: impl Future<Output = ()>, shutdown: Shutdown,
) {
    let wait = if given.inherited { INHERITED_WAIT } else { DISCOVERY_WAIT };
    let in_time = timeout(wait, told.wait_for(|told| *told)).await.is_ok();
    if !in_time && !given.known {
        let _ = told.wait_for(|told| *told).await;
    }
    policy_gate.wait_until_registered().await;
    caught_up.await;
    tracing::info!("ready, {}", if in_time { "with discovery's list" } else { "discovery is silent" });
    shutdown.note(Happening::CanServe);
}

//! Replaced configuration, taken in without a restart at each SIGHUP.

use std::net::SocketAddr;
use std::path::PathBuf;

use tokio::signal::unix::{Signal, SignalKind, signal};
use tokio::sync::watch;

use super::config::Platform;
use crate::node::counters::{Counters, add};

/// SIGHUP from now on: it no longer ends the process, even before anybody listens.
pub fn hangups() -> std::io::Result<Signal> {
    signal(SignalKind::hangup())
}

/// Reads the platform's configuration again at each SIGHUP, for ever, and tells where discovery now answers. A file
/// that cannot be used changes nothing.
pub async fn follow(
    mut hangups: Signal, path: PathBuf, discovery: watch::Sender<SocketAddr>, counters: std::rc::Rc<Counters>,
) {
    while hangups.recv().await.is_some() {
        match Platform::read(&path) {
            Ok(config) => {
                add(&counters.reloads);
                tracing::info!("reload: discovery is at {}; the rest needs a restart", config.discovery);
                discovery.send_if_modified(|at| std::mem::replace(at, config.discovery) != config.discovery);
            }
            Err(fault) => {
                add(&counters.reloads_failed);
                tracing::error!("reload: kept the old configuration: {fault}");
            }
        }
    }
}

/// Without the platform's front nothing is read again; SIGHUP is logged, for ever.
pub async fn refuse(mut hangups: Signal) {
    while hangups.recv().await.is_some() {
        tracing::warn!("reload: the chat front reads its file at the start only; SIGHUP changes nothing");
    }
}

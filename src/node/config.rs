//! What a conductor is told at its start.

use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

use serde::Deserialize;
use serde_json::Value;

use super::discovery::Targets;
use super::pool::PoolLimits;
use crate::api::Settings;
use crate::wire::{Names, settings_from};

/// Why a configuration cannot be used; one plain line each.
#[derive(Debug, thiserror::Error)]
pub enum ConfigError {
    /// A file could not be read.
    #[error("cannot read {0}: {1}")]
    Read(String, std::io::Error),
    /// A file is not in its format or misses something.
    #[error("{0}: {1}")]
    Form(String, String),
    /// Neither front is set up.
    #[error("nothing to do: set LB_CONFIG for the platform's front or --chat FILE for the chat front")]
    Nothing,
}

/// What the platform tells a conductor.
pub struct Platform {
    /// Its name.
    pub name: String,
    /// Where clients connect.
    pub listen: SocketAddr,
    /// Where discovery answers.
    pub discovery: SocketAddr,
    /// For random numbers.
    pub seed: u64,
    /// The last known list of hosts, perhaps old.
    pub known: Option<Targets>,
    /// The module's settings.
    pub settings: Settings,
    /// Their names.
    pub names: Names,
    /// How connections to instances are kept.
    pub pool: PoolLimits,
    /// Most connections taken from clients at once.
    pub intake: usize,
    /// Most bytes of request bodies held at once.
    pub body_bytes: usize,
}

#[derive(Deserialize)]
struct File {
    name: String,
    listen: SocketAddr,
    discovery: SocketAddr,
    seed: String,
    #[serde(default)]
    limits: Limits,
    known: Option<Targets>,
    settings: Value,
}

#[derive(Deserialize)]
#[serde(default)]
struct Limits {
    memory_mb: usize,
    sockets: usize,
}

impl Default for Limits {
    fn default() -> Self {
        Limits { memory_mb: 192, sockets: 1_024 }
    }
}

/// What the node itself needs of the settings.
#[derive(Deserialize)]
struct NodeSettings {
    limits: NodeLimits,
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct NodeLimits {
    #[serde(default = "connect_default")]
    connect_timeout: f64,
    #[serde(default = "idle_default")]
    idle_close: f64,
}

fn connect_default() -> f64 {
    250.0
}

fn idle_default() -> f64 {
    30_000.0
}

fn millis(ms: f64, least: f64) -> Duration {
    Duration::from_secs_f64(ms.clamp(least, 3_600_000.0) / 1_000.0)
}

/// Share of a resource's limit, in hundredths.
fn percent(of: usize, part: usize) -> usize {
    (of * part / 100).max(8)
}

impl Platform {
    /// Reads the configuration file.
    pub fn read(path: &Path) -> Result<Self, ConfigError> {
        let shown = path.display().to_string();
        let text = std::fs::read(path).map_err(|e| ConfigError::Read(shown.clone(), e))?;
        Self::parse(&text).map_err(|e| ConfigError::Form(shown, e))
    }

    fn parse(text: &[u8]) -> Result<Self, String> {
        let file: File = serde_json::from_slice(text).map_err(|e| e.to_string())?;
        let node = NodeSettings::deserialize(&file.settings).map_err(|e| format!("settings: {e}"))?;
        let (settings, names) = settings_from(file.settings).map_err(|e| format!("settings: {e}"))?;
        let seed = u64::from_str_radix(&file.seed, 16)
            .map_err(|_| format!("seed: \"{}\" is not a hexadecimal number", file.seed))?;
        // Clients and instances get most of the descriptors; the rest is for discovery, logs and the runtime.
        let sockets = file.limits.sockets.min(16_384);
        Ok(Platform {
            name: file.name,
            listen: file.listen,
            discovery: file.discovery,
            seed,
            known: file.known,
            settings,
            names,
            pool: PoolLimits {
                connect: millis(node.limits.connect_timeout, 1.0),
                // Well before the instance closes it: a request that crosses a close ends as a reset.
                idle: millis(node.limits.idle_close * 0.5, 1.0),
                connections: percent(sockets, 42),
            },
            intake: percent(sockets, 44),
            body_bytes: percent(file.limits.memory_mb.min(4_096) * 1024 * 1024, 30),
        })
    }
}

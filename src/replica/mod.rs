//! State that conductors replicate without consensus on each change (`docs/STATE.md`). Nothing here does I/O
//! or reads a clock.
//!
//! [`clock`] orders concurrent writes, [`marks`] holds operators' decisions, [`store`] holds all replicated
//! items and their digests, [`sync`] reconciles two replicas, [`duty`] assigns duties such as probes,
//! [`idempotency`] records which named requests may have run, and [`share`] combines these into one
//! conductor's side of the replication.

#[cfg(feature = "cluster")]
pub mod clock;
#[cfg(feature = "cluster")]
pub mod duty;
#[cfg(feature = "cluster")]
pub mod idempotency;
pub mod marks;
#[cfg(feature = "cluster")]
pub mod share;
#[cfg(feature = "cluster")]
pub mod store;
#[cfg(feature = "cluster")]
pub mod sync;

use serde::{Deserialize, Serialize};

use crate::api::Micros;

/// Identifies the conductor that wrote an item, by the hash of the conductor's name.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Owner(pub u64);

impl Owner {
    /// Returns the owner id of the conductor with this name.
    pub fn from_name(name: &str) -> Self {
        Owner(crate::estimate::name_hash(name))
    }
}

/// How long tombstones and the version vectors of marks are kept, in microseconds. A replica that was
/// disconnected for longer may have missed a deletion, so it discards its state and takes a full copy.
pub const TOMBSTONE_RETENTION_US: Micros = 24 * 3_600 * 1_000_000;

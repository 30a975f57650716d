//! State that conductors share without agreeing on each change of it (`docs/STATE.md`). Nothing here does I/O or reads a clock.
//!
//! [`clock`] orders writers, [`marks`] holds what operators decided, [`store`] holds all merged state and its digests,
//! [`sync`] brings two copies together, [`duty`] says who probes what, [`idempotency`] says which named requests may have run, and [`share`] is one conductor's part in all of it.

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

/// Who writes: a conductor, by the hash of its name.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Owner(pub u64);

impl Owner {
    /// The conductor of this name.
    pub fn of(name: &str) -> Self {
        Owner(crate::estimate::name_hash(name))
    }
}

/// For so long deletion marks and the context of marks are kept. A copy that was apart for longer takes a whole one.
pub const HORIZON: Micros = 24 * 3_600 * 1_000_000;

//! One policy for all conductors, changed at one moment (`docs/POLICY.md`). Nothing here does I/O or reads a clock, but for
//! the controller that brings links, ledger and these parts together.
//!
//! [`policy`] is the document, [`state`] is what the ledger makes all agree on, [`coordinator`] is the part of the
//! ledger's leader, [`gate`] is a conductor's right to take requests. [`report`] holds what the last two tell each other.

#[cfg(feature = "cluster")]
pub mod controller;
pub mod coordinator;
pub mod gate;
pub mod policy;
pub mod report;
pub mod shared_gate;
pub mod state;

use crate::api::Micros;

/// For so long after a conductor asked, its right to take requests lasts where it needs a lease.
pub const LEASE: Micros = 2_000_000;
/// For so long after a majority last knew it as such a leader may grant leases and prove others silent.
pub const AUTHORITY: Micros = 500_000;
/// Added to every wait for a lease to run out: clocks run unevenly.
pub const DRIFT: Micros = 100_000;
/// For so long a change waits for the words of sessions that need no lease, before it is turned down.
pub const PREPARE_WAIT: Micros = 2_000_000;
/// A lease that runs for less than this is renewed before its conductor gives its standing right up for it.
pub const ARM: Micros = LEASE / 4;
/// For so long a request may be held at the gate.
pub const HOLD: Micros = 300_000;

//! The fleet's list: [`discovery`] follows it with [`backoff`], [`membership`] lays operators' bans over it, [`fleet`]
//! tells planner and pool.

pub mod backoff;
pub mod discovery;
pub mod fleet;
pub mod membership;

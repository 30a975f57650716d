//! Service discovery: the list of instances in the fleet. [`discovery`] calls the discovery service at the times given by
//! [`pace`] and [`backoff`], and [`targets`] parses the lists it sends. [`membership`] applies operators' bans to the list,
//! [`start_times`] converts start times to the monotonic clock, and [`fleet`] passes changes to the planner and the connection
//! pool.

pub mod backoff;
pub mod discovery;
pub mod fleet;
pub mod membership;
pub mod pace;
pub mod start_times;
pub mod targets;

//! What clients do beyond the usual, on real processes: many at once that stop half way or read slowly, one that sends at full
//! speed, clients that have gone, ids that come again, and servers that read or write slowly.

mod departures;
mod floods;
mod forms;
mod ids;
mod memory;
#[path = "../player/mod.rs"]
mod player;
mod slow_servers;
mod stand_ins;

//! What clients do beyond the usual, on real processes.

mod departures;
#[path = "../player/mod.rs"]
mod player;
mod stand_ins;

//! A conductor that pairs prompt readers with answer writers.
//!
//! [`api`] is the decision module's interface (types only), [`logic`] holds every decision, [`wire`]
//! translates the simulator's messages for the adapter program, and [`node`] is the real conductor.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

#[doc = include_str!("../README.md")]
#[cfg(doctest)]
struct Readme;

pub mod api;
#[cfg(feature = "cluster")]
pub mod cli;
pub mod control;
pub mod estimate;
#[cfg(feature = "cluster")]
pub mod ledger;
pub mod logic;
pub mod node;
#[cfg(feature = "cluster")]
pub mod peers;
pub mod replica;
pub mod wire;

pub use api::{Action, Event, Settings};
pub use logic::Router;

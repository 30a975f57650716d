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
pub mod control;
pub mod logic;
pub mod node;
pub mod wire;

pub use api::{Action, Event, Settings};
pub use logic::Router;

//! Real conductors among clients, servers and discovery over a network that breaks, with signals in series; drawn by a seed and
//! judged by what clients and servers saw.

pub mod campaign;
pub mod clients;
pub mod deployment;
pub mod discovery;
pub mod fleet;
pub mod history;
pub mod judge;
pub mod network;
pub mod servers;
pub mod slowness;
pub mod spoiling;

//! Plays the program against servers that read requests or write answers slowly, and judges what clients got by the rules on
//! final answers and streams.

pub mod campaign;
pub mod client;
pub mod play;
pub mod script;
pub mod server;
pub mod spoilt;
pub mod unusual;
pub mod verdict;

#[cfg(test)]
mod tests;

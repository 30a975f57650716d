//! HTTP client side of the conductor: everything that is sent to instances. [`attempt`] performs one exchange
//! over a connection of the [`pool`], [`events`] receives the streamed answer, [`framer`] splits it into whole
//! events and [`relay`] forwards them to the client. [`lease_keeper`] decides for one request when its cached state is released,
//! and [`release`] sends the release. [`headers`] selects the client's headers to forward, [`socket`]
//! checks a request before its first byte, and [`answer_framing`] follows the framing of what is read from it.

pub mod answer_framing;
pub mod attempt;
pub mod events;
pub mod framer;
pub mod headers;
pub mod lease_keeper;
pub mod pool;
pub mod relay;
pub mod release;
pub mod socket;

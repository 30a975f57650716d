//! What two processes of one conductor tell each other in an upgrade, and what follows from it. It does no I/O and takes
//! time as an argument.
//!
//! The older process serves until the newer one says that it does. Their link is the lease: when it breaks, the other
//! process is taken to be gone, and each knows from what was told before whose the clients are.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

use super::readiness::Happening;
use crate::api::{Micros, Settings};
use crate::estimate::FleetEstimates;
use crate::node::list::membership::Membership;
use crate::node::request_ids::messages::IdMessage;

/// Of what is told. Another version is another way of speaking; nothing is handed over between two of them.
pub const VERSION: u32 = 1;
/// For a newer process to serve, after it was given everything. A start has 6 s.
const SERVES_WITHIN: Micros = 10_000_000;

/// A line of the link.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Message {
    /// The newer process asks for what there is.
    Hello(Hello),
    /// The older one gives it, and with it the clients' listening socket.
    State(Box<State>),
    /// Or it gives nothing, and says why.
    Refused(String),
    /// The newer process serves.
    Serves,
    /// Operators took an instance out.
    Ban(String),
    /// Operators brought it back.
    Lift(String),
    /// Operators drained the conductor, or took that back.
    Drain(bool),
    /// What concerns request ids, between processes that both share them.
    Ids(IdMessage),
}

/// Who asks.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Hello {
    /// How it speaks.
    pub version: u32,
    /// The conductor's name.
    pub name: String,
    /// Where clients connect.
    pub listen: SocketAddr,
    /// Whether it shares request ids.
    #[serde(default)]
    pub shares_ids: bool,
}

/// What a newer process starts with.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct State {
    /// The list and what operators laid over it.
    pub membership: Membership,
    /// Whether operators drained the conductor.
    pub drained: bool,
    /// Whose versions the list has.
    pub discovery: SocketAddr,
    /// Where the older process's clock stood as this was told, by which all times in it go. None from one that does not tell.
    #[serde(default)]
    pub now: Option<Micros>,
    /// What the decision module knows of all hosts...
    pub learnt: FleetEstimates,
    /// ...and under which settings, as [`digest`] tells them apart: under others it says nothing.
    pub settings: u64,
    /// Whether the older process shares request ids.
    #[serde(default)]
    pub shares_ids: bool,
}

/// Tells settings apart.
pub fn digest(settings: &Settings) -> u64 {
    xxh3_64(format!("{settings:?}").as_bytes())
}

/// Why nothing is handed over.
#[derive(Debug, PartialEq, Eq, thiserror::Error)]
pub enum Refusal {
    /// It speaks otherwise.
    #[error("version {0} is not {VERSION}")]
    Version(u32),
    /// It is not the same conductor.
    #[error("{0} at {1} is another conductor")]
    Other(String, SocketAddr),
}

impl Hello {
    /// Whether what this one has may go to that one.
    pub fn admits(&self, asker: &Hello) -> Result<(), Refusal> {
        if asker.version != self.version {
            return Err(Refusal::Version(asker.version));
        }
        if (&asker.name, asker.listen) != (&self.name, self.listen) {
            return Err(Refusal::Other(asker.name.clone(), asker.listen));
        }
        Ok(())
    }
}

/// What a process does about the other.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Effect {
    /// Keep to a part of the limits, or take the whole again.
    Share(bool),
    /// This happened to the process.
    Note(Happening),
    /// Take an instance out.
    Ban(String),
    /// Bring it back.
    Lift(String),
    /// Break the link.
    HangUp,
}

/// Which of the two a process is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Side {
    /// It was there before.
    Older,
    /// It takes over.
    Newer,
}

impl Side {
    /// Returns the other side.
    pub fn other(self) -> Self {
        match self {
            Side::Older => Side::Newer,
            Side::Newer => Side::Older,
        }
    }
}

/// One upgrade, as one of the two processes sees it.
#[derive(Debug)]
pub struct Handover {
    side: Side,
    begun: Micros,
    /// The newer process serves.
    served: bool,
    over: bool,
}

impl Handover {
    /// Begins once the state has been given or taken.
    pub fn begin(side: Side, now: Micros) -> (Self, Vec<Effect>) {
        (Handover { side, begun: now, served: false, over: false }, vec![Effect::Share(true)])
    }

    /// The other process told this.
    pub fn told(&mut self, message: Message) -> Vec<Effect> {
        if self.over {
            return Vec::new();
        }
        match (message, self.side) {
            (Message::Serves, Side::Older) => {
                self.served = true;
                vec![Effect::Note(Happening::Succeeded)]
            }
            (Message::Ban(id), _) => vec![Effect::Ban(id)],
            (Message::Lift(id), _) => vec![Effect::Lift(id)],
            (Message::Drain(true), _) => vec![Effect::Note(Happening::Drain)],
            (Message::Drain(false), _) => vec![Effect::Note(Happening::Undrain)],
            // Out of turn: whoever says this is not the other half of an upgrade.
            _ => self.hang_up(),
        }
    }

    /// When the other process must have been heard from, if ever.
    pub fn due(&self) -> Option<Micros> {
        (self.side == Side::Older && !self.served && !self.over).then(|| self.begun + SERVES_WITHIN)
    }

    /// Nothing came; a newer process that never comes to serve does not keep half of the limits.
    pub fn waited(&mut self, now: Micros) -> Vec<Effect> {
        if self.due().is_some_and(|due| now >= due) { self.hang_up() } else { Vec::new() }
    }

    /// The link broke: the other process is gone.
    pub fn lost(&mut self) -> Vec<Effect> {
        if std::mem::replace(&mut self.over, true) {
            return Vec::new();
        }
        let mut effects = vec![Effect::Share(false)];
        if self.side == Side::Older && self.served {
            effects.push(Effect::Note(Happening::SuccessorGone));
        }
        effects
    }

    fn hang_up(&mut self) -> Vec<Effect> {
        let mut effects = self.lost();
        effects.push(Effect::HangUp);
        effects
    }
}

#[cfg(test)]
mod tests;

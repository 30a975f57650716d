//! Conductors that know one another: the [`roster`] says who they are, [`link`] carries their words, [`alive`] tells who is
//! heard.

pub mod alive;
pub mod link;
pub mod roster;

use serde::{Deserialize, Serialize};

use crate::api::Micros;
use crate::control::report::{Grant, Report};
use crate::control::state::{Agreed, Command, Session};
use crate::ledger::types::Message;
use crate::replica::duty::{DutyLease, LeaseRequest};
use crate::replica::idempotency::{ClaimAnswer, ClaimId, RequestName};
use crate::replica::sync::SyncMessage;

/// The version of what crosses a link. One that speaks a later version says to others only what theirs knows.
pub const VERSION: u16 = 3;
/// The earliest version spoken; an earlier one is turned away at the hello.
pub const EARLIEST: u16 = 2;
/// Longest frame, in bytes.
pub const FRAME_MOST: usize = 1024 * 1024;

/// How a link begins, both ways.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Hello {
    /// Tells this protocol from others.
    pub magic: [u8; 8],
    /// Its version.
    pub version: u16,
    /// The fleet.
    pub cluster: String,
    /// Who speaks.
    pub name: String,
    /// To whom it means to speak.
    pub to: String,
}

impl Hello {
    /// The hello of one conductor to another.
    pub fn new(cluster: &str, name: &str, to: &str) -> Self {
        let magic = *b"croftsil";
        Hello { magic, version: VERSION, cluster: cluster.into(), name: name.into(), to: to.into() }
    }

    /// Why it is turned away, if it is.
    pub fn fault(&self, cluster: &str, name: &str) -> Option<&'static str> {
        let wanted = Hello::new(cluster, &self.name, name);
        if self.magic != wanted.magic {
            Some("no conductor speaks there")
        } else if self.version < EARLIEST {
            Some("speaks another version")
        } else if self.cluster != cluster {
            Some("belongs to another cluster")
        } else if self.to != name {
            Some("looks for another conductor")
        } else {
            None
        }
    }
}

/// The moment at which a leader spoke, on its own clock, and in which term. A follower that knows it as its leader sends
/// it back: by that a leader knows until when a majority held it for one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Heartbeat {
    /// The term.
    pub term: u64,
    /// The moment.
    pub at: Micros,
}

/// What is agreed on, for one that keeps no log any more.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Observed {
    /// Up to which entry.
    pub applied: u64,
    /// Who leads, as far as known.
    pub leader: Option<String>,
    /// What holds there.
    pub agreed: Agreed,
}

impl PeerMessage {
    /// The version that brought it.
    pub fn since(&self) -> u16 {
        match self {
            PeerMessage::State(_) | PeerMessage::DutyAsk(_) | PeerMessage::DutyLease(_) => 3,
            PeerMessage::Claim(..)
            | PeerMessage::Claimed(..)
            | PeerMessage::Withdraw(..)
            | PeerMessage::Completed(..) => 3,
            _ => EARLIEST,
        }
    }
}

/// What conductors tell each other.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum PeerMessage {
    /// Between the parts of the ledger.
    Ledger(Message),
    /// To the leader: where I stand.
    Report(Report, Option<Heartbeat>),
    /// From the leader.
    Answer(Option<Grant>, Heartbeat),
    /// To the leader: please propose this.
    Ask(Command),
    /// To one that is a member no longer and reports as one: this session is over.
    Struck(Session),
    /// Who is heard: a datagram of the library's.
    Alive(Vec<u8>),
    /// From one whose store has failed: what is agreed on beyond this entry?
    Observe(u64),
    /// The answer.
    Observed(Box<Observed>),
    /// Between two copies of shared state.
    State(SyncMessage),
    /// To the leader: may I do duties?
    DutyAsk(LeaseRequest),
    /// The answer.
    DutyLease(DutyLease),
    /// Before a named request is sent: this name is to be this try's.
    Claim(RequestName, ClaimId),
    /// The answer.
    Claimed(ClaimId, ClaimAnswer),
    /// Nothing was sent under this claim, nor will be.
    Withdraw(RequestName, ClaimId),
    /// What was sent under this claim ran to its end.
    Completed(RequestName, ClaimId),
}

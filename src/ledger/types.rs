//! The ledger's types on the wire and on the disk. The library's own encoding is used for neither: its decoder follows
//! nesting without bounds.

use raft::prelude::{ConfChange, ConfChangeType, ConfState, EntryType, HardState, MessageType};
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};

use super::number;
use crate::control::state::{Agreed, Command};

/// Why something is turned down.
#[derive(Debug, thiserror::Error)]
pub enum Unfit {
    /// It cannot be read.
    #[error("cannot be decoded: {0}")]
    Encoding(#[from] postcard::Error),
    /// It reads well, and no conductor in good order makes it.
    #[error("{0}")]
    Odd(&'static str),
}

/// The bytes of a value.
pub fn encode(value: &impl Serialize) -> Vec<u8> {
    // Our types are made of numbers, texts and lists; their encoding does not fail.
    postcard::to_allocvec(value).unwrap_or_default()
}

/// A value from bytes, all of them.
pub fn decode<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, Unfit> {
    let (value, rest) = postcard::take_from_bytes(bytes)?;
    if rest.is_empty() { Ok(value) } else { Err(Unfit::Odd("there is more behind the end")) }
}

/// What an entry does to the set of those that keep the log; none for most.
pub fn conf_change(command: &Command) -> Option<ConfChange> {
    let (kind, name) = match command {
        Command::Join(peer) => (ConfChangeType::AddLearnerNode, &peer.name),
        Command::Remove { name } => (ConfChangeType::RemoveNode, name),
        Command::Promote { name } => (ConfChangeType::AddNode, name),
        _ => return None,
    };
    let mut change = ConfChange::default();
    change.set_change_type(kind);
    change.set_node_id(number(name));
    Some(change)
}

/// An entry of the log.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// It changes who keeps the log.
    pub conf: bool,
    /// The term of the leader that made it.
    pub term: u64,
    /// Its place.
    pub index: u64,
    /// The command; empty for a new leader's own.
    pub command: Vec<u8>,
}

impl Entry {
    /// From the library's.
    pub fn from_raft(entry: &raft::prelude::Entry) -> Result<Self, Unfit> {
        let conf = match entry.get_entry_type() {
            EntryType::EntryNormal => false,
            EntryType::EntryConfChange => true,
            EntryType::EntryConfChangeV2 => return Err(Unfit::Odd("a kind of entry that is not in use")),
        };
        let command = if conf { entry.context.to_vec() } else { entry.data.to_vec() };
        Ok(Entry { conf, term: entry.term, index: entry.index, command })
    }

    /// For the library. What it wants in its own encoding is made anew from the command.
    pub fn to_raft(&self) -> Result<raft::prelude::Entry, Unfit> {
        let mut entry = raft::prelude::Entry { term: self.term, index: self.index, ..Default::default() };
        if !self.conf {
            entry.data = self.command.clone().into();
            return Ok(entry);
        }
        let change = conf_change(&decode(&self.command)?).ok_or(Unfit::Odd("changes no member"))?;
        let bytes = protobuf::Message::write_to_bytes(&change);
        entry.set_entry_type(EntryType::EntryConfChange);
        entry.data = bytes.map_err(|_| Unfit::Odd("cannot be encoded"))?.into();
        entry.context = self.command.clone().into();
        Ok(entry)
    }
}

/// What a voter must never forget.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Hard {
    /// The latest term that it knows.
    pub term: u64,
    /// Whom it voted for in that.
    pub vote: u64,
    /// Up to where the log is agreed on.
    pub commit: u64,
}

impl Hard {
    /// From the library's.
    pub fn from_raft(hard: &HardState) -> Self {
        Hard { term: hard.term, vote: hard.vote, commit: hard.commit }
    }

    /// For the library.
    pub fn to_raft(self) -> HardState {
        HardState { term: self.term, vote: self.vote, commit: self.commit, ..Default::default() }
    }
}

/// All up to a place in the log, as one piece.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Snap {
    /// The place.
    pub index: u64,
    /// Its entry's term.
    pub term: u64,
    /// Who votes there.
    pub voters: Vec<u64>,
    /// Who learns there.
    pub learners: Vec<u64>,
    /// [`Agreed`], encoded.
    pub data: Vec<u8>,
}

impl Snap {
    /// From the library's.
    pub fn from_raft(snap: &raft::prelude::Snapshot) -> Self {
        let meta = snap.get_metadata();
        let conf = meta.get_conf_state();
        let (voters, learners) = (conf.voters.clone(), conf.learners.clone());
        Snap { index: meta.index, term: meta.term, voters, learners, data: snap.data.to_vec() }
    }

    /// For the library.
    pub fn to_raft(&self) -> raft::prelude::Snapshot {
        let mut snap = raft::prelude::Snapshot { data: self.data.clone().into(), ..Default::default() };
        let meta = snap.mut_metadata();
        (meta.index, meta.term) = (self.index, self.term);
        meta.set_conf_state(ConfState::from((self.voters.clone(), self.learners.clone())));
        snap
    }
}

/// The kinds of message that cross the wire.
const KINDS: [MessageType; 10] = [
    MessageType::MsgAppend,
    MessageType::MsgAppendResponse,
    MessageType::MsgRequestVote,
    MessageType::MsgRequestVoteResponse,
    MessageType::MsgSnapshot,
    MessageType::MsgHeartbeat,
    MessageType::MsgHeartbeatResponse,
    MessageType::MsgRequestPreVote,
    MessageType::MsgRequestPreVoteResponse,
    MessageType::MsgTimeoutNow,
];

/// A message between two parts of the ledger.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Message {
    kind: u8,
    /// The receiver's number.
    pub to: u64,
    /// The sender's.
    pub from: u64,
    term: u64,
    log_term: u64,
    index: u64,
    entries: Vec<Entry>,
    commit: u64,
    commit_term: u64,
    snap: Option<Snap>,
    request_snapshot: u64,
    reject: bool,
    reject_hint: u64,
    context: Vec<u8>,
    priority: i64,
}

impl Message {
    /// From the library's.
    pub fn from_raft(m: &raft::prelude::Message) -> Result<Self, Unfit> {
        let kind = KINDS.iter().position(|kind| *kind == m.get_msg_type());
        let entries: Result<_, _> = m.entries.iter().map(Entry::from_raft).collect();
        Ok(Message {
            kind: kind.ok_or(Unfit::Odd("a kind of message that is not in use"))? as u8,
            to: m.to,
            from: m.from,
            term: m.term,
            log_term: m.log_term,
            index: m.index,
            entries: entries?,
            commit: m.commit,
            commit_term: m.commit_term,
            snap: (!m.get_snapshot().is_empty()).then(|| Snap::from_raft(m.get_snapshot())),
            request_snapshot: m.request_snapshot,
            reject: m.reject,
            reject_hint: m.reject_hint,
            context: m.context.to_vec(),
            priority: m.priority,
        })
    }

    /// Whether a member in good order may have sent this here. The library ends the process over some that are not.
    pub fn check(&self, from: u64, to: u64, last: u64) -> Result<(), Unfit> {
        let odd = |what| Err(Unfit::Odd(what));
        let Some(kind) = KINDS.get(usize::from(self.kind)) else { return odd("an unknown kind") };
        if (self.from, self.to) != (from, to) {
            return odd("another sender or receiver than its link's");
        }
        if self.index > u64::MAX / 2 || self.commit > u64::MAX / 2 || self.term > u64::MAX / 2 {
            return odd("a number out of all bounds");
        }
        let in_order = |(n, entry): (usize, &Entry)| {
            entry.index == self.index + 1 + n as u64 && entry.term >= self.log_term && entry.term <= self.term
        };
        match kind {
            MessageType::MsgAppend if !self.entries.iter().enumerate().all(in_order) => {
                odd("entries out of order")
            }
            MessageType::MsgHeartbeat if self.commit > last => odd("more agreed on than was sent"),
            MessageType::MsgAppendResponse if !self.reject && self.index > last => {
                odd("more taken than was sent")
            }
            MessageType::MsgSnapshot => {
                let Some(snap) = &self.snap else { return odd("a snapshot without content") };
                if snap.voters.is_empty() || snap.index == 0 {
                    return odd("a snapshot without voters");
                }
                Agreed::decode(&snap.data).map(drop).map_err(Unfit::from)
            }
            _ => Ok(()),
        }
    }

    /// For the library.
    pub fn to_raft(&self) -> Result<raft::prelude::Message, Unfit> {
        let entries: Result<Vec<_>, _> = self.entries.iter().map(Entry::to_raft).collect();
        let mut m = raft::prelude::Message {
            to: self.to,
            from: self.from,
            term: self.term,
            log_term: self.log_term,
            index: self.index,
            entries: entries?.into(),
            commit: self.commit,
            commit_term: self.commit_term,
            request_snapshot: self.request_snapshot,
            reject: self.reject,
            reject_hint: self.reject_hint,
            context: self.context.clone().into(),
            priority: self.priority,
            ..Default::default()
        };
        m.set_msg_type(*KINDS.get(usize::from(self.kind)).ok_or(Unfit::Odd("an unknown kind"))?);
        if let Some(snap) = &self.snap {
            m.set_snapshot(snap.to_raft());
        }
        Ok(m)
    }
}

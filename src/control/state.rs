//! What the ledger makes all conductors agree on: a state machine over the log's entries, alike wherever it is played.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::fmt;
use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use super::policy::Silence;
use crate::api::Micros;
use crate::replica::marks::Marks;

/// Counts the policies in force; 0 where none was agreed on yet and each conductor goes by its own configuration.
pub type Revision = u64;

/// Documents kept to go back to.
const DOCUMENTS: usize = 32;
/// Former members kept.
const GONE: usize = 64;
/// Ended changes kept to be asked about.
const HISTORY: usize = 128;
/// Longest name of a conductor, in bytes.
pub const NAME_MOST: usize = 64;
/// Most members: bounds what hostile entries could make.
const MEMBERS: usize = 1_024;

/// One run of a conductor's process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Session(pub u64);

/// A proposed change, by the number that its proposer drew.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct ChangeId(pub u64);

impl fmt::Display for ChangeId {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

/// A conductor as a member of the fleet.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Peer {
    /// Its name.
    pub name: String,
    /// Where it listens for peers.
    pub address: SocketAddr,
    /// Its site.
    pub site: String,
}

/// Why a session is struck off.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Evidence {
    /// Its address refuses connections, so its process has ended.
    Refused,
    /// It was silent until every lease that it may have had ran out.
    Lapsed,
}

/// An entry of the log.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Command {
    /// Propose a document as the next policy.
    Propose {
        /// Drawn by the proposer, so that a repeat is known as one.
        id: ChangeId,
        /// The revision that it was made for, where the proposer says.
        base: Option<Revision>,
        /// The conductor that was asked.
        by: String,
        /// The document.
        document: String,
        /// What the document says of silent sessions; each conductor turns it down where that is not so.
        silence: Silence,
    },
    /// All are prepared.
    Decide {
        /// Which change.
        id: ChangeId,
        /// The sessions that said so.
        prepared: BTreeSet<Session>,
    },
    /// All are fenced.
    Activate {
        /// Which change.
        id: ChangeId,
        /// The sessions that said so.
        fenced: BTreeSet<Session>,
    },
    /// Turned down before it was decided.
    Abort {
        /// Which change.
        id: ChangeId,
        /// Because of whom.
        who: Vec<String>,
        /// Why.
        why: String,
    },
    /// A process of this conductor has started.
    Register {
        /// Whose.
        name: String,
        /// Which.
        session: Session,
    },
    /// This session has ended.
    Expire {
        /// Which.
        session: Session,
        /// By what that is known.
        evidence: Evidence,
    },
    /// A conductor becomes a member.
    Join(Peer),
    /// A conductor is a member no longer. Operators vouch that it takes no requests.
    Remove {
        /// Which.
        name: String,
    },
    /// A member that learns gets a vote in the ledger.
    Promote {
        /// Which.
        name: String,
    },
    /// Operators took instances or conductors out, or brought them back: all of it, to be merged.
    Mark(Marks),
}

/// How far a change has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Phase {
    /// Sessions prepare.
    Proposed,
    /// It will come; sessions stop deciding under the old revision.
    Decided,
}

/// The change under way.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Change {
    /// Which.
    pub id: ChangeId,
    /// The revision that it becomes.
    pub revision: Revision,
    /// Its document.
    pub document: String,
    /// What the document says of silent sessions.
    pub silence: Silence,
    /// The conductor that was asked for it.
    pub by: String,
    /// How far it has come.
    pub phase: Phase,
}

/// How a change ended.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Ended {
    /// It is or was in force.
    Applied {
        /// As this revision.
        revision: Revision,
    },
    /// It never was.
    TurnedDown {
        /// Because of these conductors; empty for the ledger itself.
        who: Vec<String>,
        /// Why.
        why: String,
    },
}

/// An ended change.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Past {
    /// Which.
    pub id: ChangeId,
    /// The conductor that was asked for it.
    pub by: String,
    /// How it ended.
    pub ended: Ended,
}

/// All that is agreed on.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Agreed {
    /// The revision in force.
    pub revision: Revision,
    /// What the policy in force says of silent sessions.
    pub silence: Silence,
    /// The change under way.
    pub change: Option<Change>,
    /// The members by name.
    pub members: BTreeMap<String, Peer>,
    /// The latest that were members, so that one that does not know it yet can be told.
    pub gone: BTreeMap<String, Peer>,
    /// The live session of each member that has one.
    pub sessions: BTreeMap<String, Session>,
    /// Ended changes, the newest last.
    pub history: VecDeque<Past>,
    /// The latest documents by revision.
    pub documents: BTreeMap<Revision, String>,
    /// What operators took out.
    pub marks: Marks,
}

/// The same as the version before this one kept it.
#[cfg(feature = "cluster")]
#[derive(Deserialize)]
struct Before {
    revision: Revision,
    silence: Silence,
    change: Option<Change>,
    members: BTreeMap<String, Peer>,
    gone: BTreeMap<String, Peer>,
    sessions: BTreeMap<String, Session>,
    history: VecDeque<Past>,
    documents: BTreeMap<Revision, String>,
}

impl Agreed {
    /// What a fleet of these members agrees on before its first entry.
    pub fn new(members: impl IntoIterator<Item = Peer>) -> Self {
        let members = members.into_iter().map(|peer| (peer.name.clone(), peer)).collect();
        Agreed { members, ..Agreed::default() }
    }

    #[cfg(feature = "cluster")]
    /// From bytes, also from those of the version before.
    pub fn decode(bytes: &[u8]) -> Result<Self, postcard::Error> {
        let whole =
            |rest: &[u8]| if rest.is_empty() { Ok(()) } else { Err(postcard::Error::DeserializeBadEncoding) };
        if let Ok((agreed, rest)) = postcard::take_from_bytes::<Agreed>(bytes)
            && rest.is_empty()
        {
            return Ok(agreed);
        }
        let (before, rest) = postcard::take_from_bytes::<Before>(bytes)?;
        whole(rest)?;
        let Before { revision, silence, change, members, gone, sessions, history, documents } = before;
        let marks = Marks::default();
        Ok(Agreed { revision, silence, change, members, gone, sessions, history, documents, marks })
    }

    /// Takes an entry in, and says in one line what it changed. Entries that come too late change nothing.
    pub fn apply(&mut self, command: &Command) -> Option<String> {
        match command {
            Command::Propose { id, base, by, document, silence } => {
                if self.known(*id) {
                    return None;
                }
                let why = match (&self.change, base) {
                    (Some(other), _) => Some(format!("change {} is under way", other.id)),
                    (None, Some(base)) if *base != self.revision => {
                        Some(format!("it was made for revision {base}, and {} is in force", self.revision))
                    }
                    _ => None,
                };
                if let Some(why) = why {
                    let line = format!("change {id} is turned down: {why}");
                    self.end(*id, by.clone(), Ended::TurnedDown { who: Vec::new(), why });
                    return Some(line);
                }
                self.change = Some(Change {
                    id: *id,
                    revision: self.revision + 1,
                    document: document.clone(),
                    silence: *silence,
                    by: by.clone(),
                    phase: Phase::Proposed,
                });
                Some(format!("change {id} is proposed at {by} as revision {}", self.revision + 1))
            }
            Command::Decide { id, prepared } => {
                self.passes(*id, Phase::Proposed, prepared)?.phase = Phase::Decided;
                Some(format!("change {id} is decided"))
            }
            Command::Activate { id, fenced } => {
                self.passes(*id, Phase::Decided, fenced)?;
                let change = self.change.take()?;
                (self.revision, self.silence) = (change.revision, change.silence);
                self.documents.insert(change.revision, change.document);
                while self.documents.len() > DOCUMENTS {
                    self.documents.pop_first();
                }
                self.end(*id, change.by, Ended::Applied { revision: change.revision });
                Some(format!("change {id} is in force as revision {}", self.revision))
            }
            Command::Abort { id, who, why } => {
                let change = self.change.take_if(|c| c.id == *id && c.phase == Phase::Proposed)?;
                let line = format!("change {id} is turned down: {}: {why}", who.join(", "));
                self.end(*id, change.by, Ended::TurnedDown { who: who.clone(), why: why.clone() });
                Some(line)
            }
            Command::Register { name, session } => {
                self.members.get(name)?;
                let before = self.sessions.insert(name.clone(), *session);
                (before != Some(*session)).then(|| format!("{name} is registered"))
            }
            Command::Expire { session, evidence } => {
                let name = self.sessions.iter().find(|(_, s)| *s == session)?.0.clone();
                self.sessions.remove(&name);
                Some(format!("{name} is struck off: {evidence:?}"))
            }
            Command::Join(peer) => {
                let fits = !peer.name.is_empty() && peer.name.len() <= NAME_MOST;
                // A member's address stays: that it refuses connections is a proof.
                if !fits || self.members.len() >= MEMBERS || self.members.contains_key(&peer.name) {
                    return None;
                }
                self.gone.remove(&peer.name);
                self.members.insert(peer.name.clone(), peer.clone());
                Some(format!("{} is a member", peer.name))
            }
            Command::Remove { name } => {
                let peer = self.members.remove(name)?;
                self.sessions.remove(name);
                self.gone.insert(name.clone(), peer);
                while self.gone.len() > GONE {
                    self.gone.pop_first();
                }
                Some(format!("{name} is a member no longer"))
            }
            Command::Mark(marks) => {
                if !marks.is_valid() || marks.is_included_in(&self.marks) {
                    return None;
                }
                self.marks.merge(marks);
                // By a time that is the same wherever this entry is played.
                self.marks.collect_garbage(marks.latest_dot_at().unwrap_or(Micros::MIN));
                let out: Vec<_> = self.marks.iter().map(|(subject, _)| subject.name()).collect();
                Some(format!(
                    "out by operators' word: {}",
                    if out.is_empty() { "none".into() } else { out.join(", ") }
                ))
            }
            Command::Promote { name } => {
                self.members.contains_key(name).then(|| format!("{name} votes from now on"))
            }
        }
    }

    /// How a change ended; none while it is under way or unknown.
    pub fn ended(&self, id: ChangeId) -> Option<&Ended> {
        self.history.iter().rev().find(|past| past.id == id).map(|past| &past.ended)
    }

    /// Whether a change was proposed before, ended or not.
    pub fn known(&self, id: ChangeId) -> bool {
        self.change.as_ref().is_some_and(|c| c.id == id) || self.ended(id).is_some()
    }

    /// The change, if it is in this phase and these are all the sessions that there are.
    fn passes(&mut self, id: ChangeId, phase: Phase, said: &BTreeSet<Session>) -> Option<&mut Change> {
        let all = self.sessions.values().all(|session| said.contains(session));
        self.change.as_mut().filter(|c| all && c.id == id && c.phase == phase)
    }

    fn end(&mut self, id: ChangeId, by: String, ended: Ended) {
        self.history.push_back(Past { id, by, ended });
        while self.history.len() > HISTORY {
            self.history.pop_front();
        }
    }
}

//! Named requests that must not run twice, whichever conductors they are sent to and whichever of those die.
//!
//! Before a named request is sent on, its conductor claims the name at a majority of the members, itself among them. Each takes the
//! first claim that it hears of and keeps it before it says so ([`ClaimTable`]). As two majorities meet, at most one claim of a name ever
//! has one ([`Claim`]).

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_128;

use crate::api::Micros;
use crate::control::state::Session;

/// For so long a name is kept after it was last heard of.
pub const KEPT: Micros = 600_000_000;
/// Most names kept. Past that claims are turned down: forgetting one could let it run twice.
pub const NAMES_MOST: usize = 65_536;
/// For a majority to say yes, before a claim is withdrawn.
pub const CLAIM_MOST: Micros = 300_000;
/// Longest name that a client may give, in bytes.
pub const NAME_MOST: usize = 256;

/// A request's name, with its scope, hashed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Name(pub u128);

impl Name {
    /// The name that a client gave, within what tells clients apart.
    pub fn new(scope: &str, given: &str) -> Self {
        Name(xxh3_128(format!("{}:{scope}{given}", scope.len()).as_bytes()))
    }
}

/// One try of a request: which process claims it, and its count there.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Try {
    /// The process.
    pub by: Session,
    /// Its count.
    pub n: u64,
}

/// How far a claimed request has come, as far as known.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Stage {
    /// It may have run.
    MayHaveRun,
    /// It ran to its end.
    Ran,
}

/// A claim as one conductor keeps it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Held {
    /// Whose it is.
    pub of: Try,
    /// How far it has come.
    pub stage: Stage,
    /// When it was last heard of, on the own clock.
    pub at: Micros,
}

/// What a conductor answers to a claim.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Answer {
    /// The name is this try's here.
    Yes,
    /// It is another try's, which has come so far.
    Taken(Try, Stage),
    /// Too many names are kept.
    Full,
}

/// The names that one conductor keeps.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct ClaimTable {
    held: BTreeMap<Name, Held>,
    /// What has to be on disk before anything is answered: none for a name that goes.
    unsaved: BTreeMap<Name, Option<Held>>,
    tidied_at: Micros,
}

impl ClaimTable {
    /// The names that a store held. How long ago they were heard of is not known, so their time begins anew.
    pub fn open(now: Micros, kept: impl IntoIterator<Item = (Name, Held)>) -> Self {
        let held = kept.into_iter().map(|(name, held)| (name, Held { at: now, ..held })).collect();
        ClaimTable { held, unsaved: BTreeMap::new(), tidied_at: now }
    }

    /// Takes a claim in. The answer may be given only after [`Self::take_unsaved`] is on disk.
    pub fn claim(&mut self, now: Micros, name: Name, of: Try) -> Answer {
        self.tidy(now);
        let full = self.held.len() >= NAMES_MOST;
        match self.held.get_mut(&name) {
            Some(held) if held.of == of => {
                held.at = now;
                Answer::Yes
            }
            Some(held) => {
                held.at = now;
                Answer::Taken(held.of, held.stage)
            }
            None if full => Answer::Full,
            None => {
                self.put(name, Held { of, stage: Stage::MayHaveRun, at: now });
                Answer::Yes
            }
        }
    }

    /// The request ran to its end.
    pub fn ran(&mut self, now: Micros, name: Name, of: Try) {
        if self.held.get(&name).is_none_or(|held| held.of == of) && self.held.len() < NAMES_MOST {
            self.put(name, Held { of, stage: Stage::Ran, at: now });
        }
    }

    /// Nothing was sent under this claim, nor will be.
    pub fn withdraw(&mut self, name: Name, of: Try) {
        if self.held.get(&name).is_some_and(|held| held.of == of && held.stage == Stage::MayHaveRun) {
            self.held.remove(&name);
            self.unsaved.insert(name, None);
        }
    }

    /// What is kept of a name.
    pub fn get(&self, name: Name) -> Option<Held> {
        self.held.get(&name).copied()
    }

    /// How many names are kept.
    pub fn len(&self) -> usize {
        self.held.len()
    }

    /// Whether none is.
    pub fn is_empty(&self) -> bool {
        self.held.is_empty()
    }

    /// What has to be on disk before anything is answered.
    pub fn take_unsaved(&mut self) -> BTreeMap<Name, Option<Held>> {
        std::mem::take(&mut self.unsaved)
    }

    fn put(&mut self, name: Name, held: Held) {
        self.held.insert(name, held);
        self.unsaved.insert(name, Some(held));
    }

    fn tidy(&mut self, now: Micros) {
        if now < self.tidied_at.saturating_add(KEPT / 64) && self.held.len() < NAMES_MOST {
            return;
        }
        self.tidied_at = now;
        let old: Vec<_> = self.held.iter().filter(|(_, held)| held.at.saturating_add(KEPT) < now).collect();
        let old: Vec<_> = old.into_iter().map(|(name, _)| *name).collect();
        for name in old {
            self.held.remove(&name);
            self.unsaved.insert(name, None);
        }
    }
}

/// What becomes of a request whose name is claimed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Decision {
    /// Answers are awaited.
    Wait,
    /// The name is its own: it may be sent.
    Send,
    /// Another try has it: nothing is sent, and the client is told so.
    Known(Stage),
    /// There is no majority, or no room: nothing is sent, the claim is withdrawn, the client may come back.
    Refuse,
}

/// A claim on its way.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Claim {
    members: BTreeSet<String>,
    yes: BTreeSet<String>,
    no: BTreeSet<String>,
    taken: Option<Stage>,
    until: Micros,
}

impl Claim {
    /// A claim at these members.
    pub fn new(now: Micros, members: BTreeSet<String>) -> Self {
        let (yes, no) = Default::default();
        Claim { members, yes, no, taken: None, until: now.saturating_add(CLAIM_MOST) }
    }

    /// Where it is claimed.
    pub fn members(&self) -> impl Iterator<Item = &String> {
        self.members.iter()
    }

    /// Takes a member's answer in.
    pub fn answered(&mut self, by: &str, answer: Answer) {
        if !self.members.contains(by) {
            return;
        }
        match answer {
            Answer::Yes => drop(self.yes.insert(by.into())),
            Answer::Taken(_, stage) => {
                self.taken = self.taken.max(Some(stage));
                self.no.insert(by.into());
            }
            Answer::Full => drop(self.no.insert(by.into())),
        }
    }

    /// What becomes of the request now. Once it is [`Decision::Send`] it stays so.
    pub fn decide(&self, now: Micros) -> Decision {
        let most = self.members.len() / 2 + 1;
        if self.yes.len() >= most {
            return Decision::Send;
        }
        // One that knows of another try settles the matter: that may have run.
        if let Some(stage) = self.taken {
            return Decision::Known(stage);
        }
        let lost = self.no.len() > self.members.len() - most;
        if lost || now >= self.until { Decision::Refuse } else { Decision::Wait }
    }
}

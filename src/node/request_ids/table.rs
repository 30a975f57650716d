//! The ids of open requests, and of those that have ended. It does no I/O and takes time as an argument.

use std::collections::{HashMap, VecDeque};

use super::messages::{IdList, KnownIds};
use crate::api::Micros;

/// A request's id, by its hash.
pub type IdHash = u128;

/// Time for which the id of a request that must not run twice is remembered at least, once it may have run. While there is no
/// room to remember a further one for as long, further such requests are refused.
const MIN_REMEMBERED_US: Micros = 300_000_000;
/// Memory of one id: an entry of the table and one of the order in which ids are forgotten, each at its emptiest.
const ID_BYTES: usize = 96;
/// Fewest ids of each kind that are remembered.
pub const MIN_REMEMBERED: usize = 8_192;

/// What is known of an ended request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Ended {
    /// It may have run, and must not run twice.
    MayHaveRun,
    /// Running it again does no harm.
    Harmless,
    /// Nothing was sent for it. Its client may send it again, so the id is forgotten.
    NeverSent,
}

/// Why an id is not taken.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Untaken {
    /// A request with this id is open, or was.
    #[error("the id was used before")]
    Duplicate,
    /// The id could not be remembered for long enough.
    #[error("no room to remember the id")]
    Full,
    /// The process that owns the ids has not answered.
    #[error("the other process of the upgrade does not answer")]
    Unanswered,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Entry {
    Open,
    Ended(Ended),
}

/// Ids of open requests, and the last of those that have ended. What may have run and must not run twice is remembered apart: other
/// requests, however many, do not push it out.
pub struct IdTable {
    entries: HashMap<IdHash, Entry>,
    /// Ids that may have run, with the time at which they ended.
    may_have_run: VecDeque<(IdHash, Micros)>,
    harmless: VecDeque<IdHash>,
    max_may_have_run: usize,
}

impl IdTable {
    /// A table for about so many bytes.
    pub fn new(bytes: usize) -> Self {
        IdTable {
            entries: HashMap::new(),
            may_have_run: VecDeque::new(),
            harmless: VecDeque::new(),
            max_may_have_run: (bytes / ID_BYTES).max(MIN_REMEMBERED),
        }
    }

    /// Returns how many ids are known.
    #[cfg(test)]
    pub fn known_count(&self) -> usize {
        self.entries.len()
    }

    /// Returns whether the id is known.
    pub fn is_known(&self, id: IdHash) -> bool {
        self.entries.contains_key(&id)
    }

    /// Returns whether a request with this id is open.
    pub fn is_open(&self, id: IdHash) -> bool {
        self.entries.get(&id) == Some(&Entry::Open)
    }

    /// Returns all ids that are known, those that have ended in the order in which they will be forgotten.
    pub fn known(&self) -> KnownIds {
        let open = self.entries.iter().filter(|(_, entry)| **entry == Entry::Open).map(|(id, _)| *id);
        let is_harmless = |id: &&IdHash| self.entries.get(id) == Some(&Entry::Ended(Ended::Harmless));
        KnownIds {
            open: IdList(open.collect()),
            may_have_run: IdList(self.may_have_run.iter().map(|(id, _)| *id).collect()),
            harmless: IdList(self.harmless.iter().filter(is_harmless).copied().collect()),
            never_sent: IdList::default(),
        }
    }

    /// Takes the id of a new request. `is_unsafe` says that the request must not run twice.
    pub fn take(&mut self, now: Micros, id: IdHash, is_unsafe: bool) -> Result<(), Untaken> {
        if self.is_known(id) {
            return Err(Untaken::Duplicate);
        }
        if is_unsafe && !self.has_room(now) {
            return Err(Untaken::Full);
        }
        self.entries.insert(id, Entry::Open);
        Ok(())
    }

    /// Returns whether one more id that may have run could be remembered for long enough.
    fn has_room(&self, now: Micros) -> bool {
        let is_old = |at: Micros| now >= at + MIN_REMEMBERED_US;
        self.may_have_run.len() < self.max_may_have_run
            || self.may_have_run.front().is_some_and(|(_, at)| is_old(*at))
    }

    /// The request with this id has ended.
    pub fn end(&mut self, now: Micros, id: IdHash, ended: Ended) {
        // What may have run stays so, whatever is told of it later.
        if self.entries.get(&id) == Some(&Entry::Ended(Ended::MayHaveRun)) {
            return;
        }
        if ended == Ended::NeverSent {
            if self.is_open(id) {
                self.entries.remove(&id);
            }
            return;
        }
        let was = self.entries.insert(id, Entry::Ended(ended));
        match ended {
            Ended::MayHaveRun => self.may_have_run.push_back((id, now)),
            Ended::Harmless if was == Some(Entry::Ended(Ended::Harmless)) => {}
            _ => self.harmless.push_back(id),
        }
        self.forget();
    }

    /// Forgets the oldest ids beyond the bounds.
    fn forget(&mut self) {
        if self.harmless.len() > MIN_REMEMBERED
            && let Some(id) = self.harmless.pop_front()
            && self.entries.get(&id) == Some(&Entry::Ended(Ended::Harmless))
        {
            self.entries.remove(&id);
        }
        if self.may_have_run.len() > self.max_may_have_run
            && let Some((id, _)) = self.may_have_run.pop_front()
        {
            self.entries.remove(&id);
        }
    }
}

#[cfg(test)]
mod tests;

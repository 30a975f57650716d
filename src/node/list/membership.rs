//! Who may be sent work: operators' bans laid over discovery's list. It does no I/O and reads no clock.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

/// Bans and returns remembered of ids that discovery does not name at present, of each the latest so many: some hundred
/// kilobytes.
const UNLISTED_MOST: usize = 4_096;

/// A list of targets, whole or only its changes.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Targets {
    /// Number of the list, where it has one.
    pub version: Option<u64>,
    /// Ids not named are gone.
    pub full: bool,
    /// The entries.
    pub servers: Vec<Target>,
    /// Ids of entries that cannot be read: these take nothing new until one that can be read comes.
    pub doubtful: Vec<String>,
}

/// A list that was not taken in: it is older than the one at hand.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("list {told} came after list {known}")]
pub struct OlderList {
    /// Its version.
    pub told: u64,
    /// The version at hand.
    pub known: u64,
}

/// An instance, as discovery tells of it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Target {
    /// Its id, the same everywhere.
    pub id: String,
    /// Where it listens.
    pub addr: SocketAddr,
    /// Its zone.
    pub zone: String,
    /// Its kind.
    pub kind: String,
    /// Its cell.
    #[serde(default)]
    pub cell: i64,
    /// Whether it may be sent work.
    pub state: State,
    /// Unix time of its last start in milliseconds; 0 for long ago.
    #[serde(default)]
    pub started_ms: i64,
}

/// Whether an instance may be sent work; the later, the less.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum State {
    /// It serves.
    Ready,
    /// It finishes what it has.
    Terminating,
    /// It is gone.
    Gone,
}

/// No instance has this id.
#[derive(Debug, PartialEq, Eq, thiserror::Error)]
#[error("no instance has the id \"{0}\"")]
pub struct UnknownId(pub String);

/// What a conductor knows of its instances beyond what it has learnt: a part of what it hands over.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct Membership {
    version: Option<u64>,
    listed: BTreeMap<String, Target>,
    /// When each ban began, in Unix milliseconds.
    bans: BTreeMap<String, i64>,
    /// When the last ban of an instance ended: it was restarted meanwhile.
    returns: BTreeMap<String, i64>,
}

impl Membership {
    /// The version of the last list taken in.
    pub fn version(&self) -> Option<u64> {
        self.version
    }

    /// The list is of another discovery: its version says nothing to the one that is followed now.
    pub fn forget_version(&mut self) {
        self.version = None;
    }

    /// Takes a list in; gives it back as it holds with the bans laid over it. One of an older version than the list at hand
    /// changes nothing: what it says has been said, and what came after it stands.
    pub fn take(&mut self, list: &Targets) -> Result<Vec<Target>, OlderList> {
        if let (Some(told), Some(known)) = (list.version, self.version)
            && told < known
        {
            return Err(OlderList { told, known });
        }
        // A whole list without a version leaves none to ask from; its changes go on from the version at hand.
        self.version = if list.full { list.version } else { list.version.or(self.version) };
        let draining =
            |id: &String| Some(Target { state: State::Terminating, ..self.listed.get(id)?.clone() });
        let doubtful: Vec<Target> = list.doubtful.iter().filter_map(draining).collect();
        if list.full {
            self.listed.clear();
        }
        for target in doubtful.iter().chain(&list.servers) {
            match target.state {
                State::Gone => drop(self.listed.remove(&target.id)),
                _ => drop(self.listed.insert(target.id.clone(), target.clone())),
            }
        }
        forget_oldest(&mut self.bans, &self.listed);
        forget_oldest(&mut self.returns, &self.listed);
        Ok(doubtful.iter().chain(&list.servers).map(|target| self.overlaid(target)).collect())
    }

    /// The whole list as it holds.
    pub fn all(&self) -> Vec<Target> {
        self.listed.values().map(|target| self.overlaid(target)).collect()
    }

    /// Nothing more to this instance. Its new view, where there is one that differs.
    pub fn ban(&mut self, id: &str, now_ms: i64) -> Result<Option<Target>, UnknownId> {
        if self.bans.contains_key(id) {
            return Ok(None);
        }
        let target = self.listed.get(id).ok_or_else(|| UnknownId(id.into()))?;
        self.bans.insert(id.into(), now_ms);
        Ok(Some(self.overlaid(target)))
    }

    /// The instance may serve again, however often it was banned. Its new view, where there is one that differs.
    pub fn lift(&mut self, id: &str, now_ms: i64) -> Result<Option<Target>, UnknownId> {
        let listed = self.listed.get(id);
        if self.bans.remove(id).is_none() {
            return listed.map(|_| None).ok_or_else(|| UnknownId(id.into()));
        }
        self.returns.insert(id.into(), now_ms);
        Ok(listed.map(|target| self.overlaid(target)))
    }

    /// Others saw these instances return; what they are now where that was not known here.
    pub fn returned(&mut self, returns: &BTreeMap<String, i64>) -> Vec<Target> {
        let mut changed = Vec::new();
        for (id, &at) in returns {
            if self.returns.get(id).is_none_or(|&known| known < at) {
                self.returns.insert(id.clone(), at);
                changed.extend(self.listed.get(id).cloned());
            }
        }
        forget_oldest(&mut self.returns, &self.listed);
        changed.iter().map(|target| self.overlaid(target)).collect()
    }

    /// The banned ids, each with the time of its ban.
    pub fn bans(&self) -> &BTreeMap<String, i64> {
        &self.bans
    }

    /// A banned instance drains, whatever discovery says; one that is back started when its ban ended, or later.
    fn overlaid(&self, target: &Target) -> Target {
        let mut target = target.clone();
        if target.state == State::Ready && self.bans.contains_key(&target.id) {
            target.state = State::Terminating;
        }
        target.started_ms = target.started_ms.max(self.returns.get(&target.id).copied().unwrap_or(0));
        target
    }
}

/// A long service brings ever new ids; an id that discovery drops may come back, but seldom after very many others.
fn forget_oldest(times: &mut BTreeMap<String, i64>, listed: &BTreeMap<String, Target>) {
    if times.len() <= UNLISTED_MOST {
        return;
    }
    let unlisted = times.iter().filter(|(id, _)| !listed.contains_key(*id));
    let mut unlisted: Vec<_> = unlisted.map(|(id, &at)| (at, id.clone())).collect();
    unlisted.sort();
    let over = unlisted.len().saturating_sub(UNLISTED_MOST);
    for (_, id) in unlisted.into_iter().take(over) {
        tracing::info!(
            "operator: more than {UNLISTED_MOST} ids that are not listed; the ban or return of {id} is forgotten"
        );
        times.remove(&id);
    }
}

#[cfg(test)]
mod tests;

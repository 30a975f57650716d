//! The fleet's membership: discovery's list with operators' bans applied. It does no I/O and reads no clock.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

/// Number of bans, and of returns, that are kept for ids that discovery does not list at present, the latest of each. They take
/// some hundred kilobytes.
const MAX_UNLISTED_IDS: usize = 4_096;

/// A list of instances: all of them, or only those that changed.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct TargetList {
    /// Version of the list, if it has one.
    pub version: Option<u64>,
    /// Whether the list is complete: instances that it does not name are gone.
    pub full: bool,
    /// The entries.
    pub servers: Vec<Target>,
    /// Ids of entries that cannot be read. Their instances drain until a readable entry arrives.
    pub unreadable_ids: Vec<String>,
}

/// A list was rejected because it is older than the current one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("received list version {received}, older than the current version {current}")]
pub struct StaleList {
    /// Version of the rejected list.
    pub received: u64,
    /// Version of the current list.
    pub current: u64,
}

/// An instance as discovery lists it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Target {
    /// Id of the instance, the same at all conductors.
    pub id: String,
    /// Address on which the instance listens.
    pub addr: SocketAddr,
    /// Name of its zone.
    pub zone: String,
    /// Name of its kind.
    pub kind: String,
    /// Number of its cell.
    #[serde(default)]
    pub cell: i64,
    /// Whether the instance may be sent work.
    pub state: TargetState,
    /// Unix time of its last start in milliseconds; 0 for long ago.
    #[serde(default)]
    pub started_ms: i64,
}

/// Whether an instance may be sent work, from the least to the most restrictive state.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum TargetState {
    /// The instance accepts new work.
    Ready,
    /// The instance drains: it finishes its work and gets no more.
    Terminating,
    /// The instance is gone.
    Gone,
}

/// No instance has this id.
#[derive(Debug, PartialEq, Eq, thiserror::Error)]
#[error("no instance has the id \"{0}\"")]
pub struct UnknownId(pub String);

/// The membership of the fleet, a part of the state that a process hands over to its successor.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct Membership {
    version: Option<u64>,
    listed: BTreeMap<String, Target>,
    /// When each ban began, in Unix milliseconds.
    bans: BTreeMap<String, i64>,
    /// When the last ban of each instance ended, in Unix milliseconds. The instance was restarted during the ban.
    returns: BTreeMap<String, i64>,
}

impl Membership {
    /// Returns the version of the last list applied.
    pub fn version(&self) -> Option<u64> {
        self.version
    }

    /// Forgets the version of the list, which means nothing to another discovery service.
    pub fn forget_version(&mut self) {
        self.version = None;
    }

    /// Applies a list, and returns its instances with the bans applied. A list older than the current one is rejected and changes
    /// nothing: its contents were received before, and later changes must hold.
    pub fn apply_list(&mut self, list: &TargetList) -> Result<Vec<Target>, StaleList> {
        if let (Some(received), Some(current)) = (list.version, self.version)
            && received < current
        {
            return Err(StaleList { received, current });
        }
        // After a full list without a version no changes can be requested; changes without one keep the current version.
        self.version = if list.full { list.version } else { list.version.or(self.version) };
        let draining =
            |id: &String| Some(Target { state: TargetState::Terminating, ..self.listed.get(id)?.clone() });
        let unreadable: Vec<Target> = list.unreadable_ids.iter().filter_map(draining).collect();
        if list.full {
            self.listed.clear();
        }
        for target in unreadable.iter().chain(&list.servers) {
            match target.state {
                TargetState::Gone => drop(self.listed.remove(&target.id)),
                _ => drop(self.listed.insert(target.id.clone(), target.clone())),
            }
        }
        remove_oldest_unlisted(&mut self.bans, &self.listed);
        remove_oldest_unlisted(&mut self.returns, &self.listed);
        Ok(unreadable.iter().chain(&list.servers).map(|target| self.with_ban(target)).collect())
    }

    /// Returns all listed instances with the bans applied.
    pub fn targets(&self) -> Vec<Target> {
        self.listed.values().map(|target| self.with_ban(target)).collect()
    }

    /// Bans an instance from new work. Returns the instance as it is now, or none if it was banned before.
    pub fn ban(&mut self, id: &str, now_ms: i64) -> Result<Option<Target>, UnknownId> {
        if self.bans.contains_key(id) {
            return Ok(None);
        }
        let target = self.listed.get(id).ok_or_else(|| UnknownId(id.into()))?;
        self.bans.insert(id.into(), now_ms);
        Ok(Some(self.with_ban(target)))
    }

    /// Lifts the ban of an instance, however often it was banned. Returns the instance as it is now, or none if it was not banned
    /// or is not listed.
    pub fn lift_ban(&mut self, id: &str, now_ms: i64) -> Result<Option<Target>, UnknownId> {
        let listed = self.listed.get(id);
        if self.bans.remove(id).is_none() {
            return listed.map(|_| None).ok_or_else(|| UnknownId(id.into()));
        }
        self.returns.insert(id.into(), now_ms);
        Ok(listed.map(|target| self.with_ban(target)))
    }

    /// Merges returns that other conductors recorded, in Unix milliseconds. Returns the listed instances for which this one had
    /// no return as late.
    pub fn merge_returns(&mut self, returns: &BTreeMap<String, i64>) -> Vec<Target> {
        let mut changed = Vec::new();
        for (id, &returned_at) in returns {
            if self.returns.get(id).is_none_or(|&known| known < returned_at) {
                self.returns.insert(id.clone(), returned_at);
                changed.extend(self.listed.get(id).cloned());
            }
        }
        remove_oldest_unlisted(&mut self.returns, &self.listed);
        changed.iter().map(|target| self.with_ban(target)).collect()
    }

    /// Returns the banned ids, each with the start of its ban in Unix milliseconds.
    pub fn bans(&self) -> &BTreeMap<String, i64> {
        &self.bans
    }

    /// Applies the bans and returns to an instance. A banned instance drains whatever discovery reports; one whose ban ended
    /// started at that time or later.
    fn with_ban(&self, target: &Target) -> Target {
        let mut target = target.clone();
        if target.state == TargetState::Ready && self.bans.contains_key(&target.id) {
            target.state = TargetState::Terminating;
        }
        target.started_ms = target.started_ms.max(self.returns.get(&target.id).copied().unwrap_or(0));
        target
    }
}

/// Removes the oldest entries of unlisted ids beyond [`MAX_UNLISTED_IDS`], since a long-running fleet brings ever new ids. An id
/// that discovery no longer lists may come back, but seldom after so many others.
fn remove_oldest_unlisted(times: &mut BTreeMap<String, i64>, listed: &BTreeMap<String, Target>) {
    if times.len() <= MAX_UNLISTED_IDS {
        return;
    }
    let unlisted = times.iter().filter(|(id, _)| !listed.contains_key(*id));
    let mut unlisted: Vec<_> = unlisted.map(|(id, &time)| (time, id.clone())).collect();
    unlisted.sort();
    let excess = unlisted.len().saturating_sub(MAX_UNLISTED_IDS);
    for (_, id) in unlisted.into_iter().take(excess) {
        tracing::info!(
            "operator: bans or returns of more than {MAX_UNLISTED_IDS} unlisted ids; removing that of {id}"
        );
        times.remove(&id);
    }
}

#[cfg(test)]
mod tests;

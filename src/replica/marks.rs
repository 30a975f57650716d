//! Operators' decisions about instances and conductors, as an observed-remove set without tombstones
//! (Bieniusa et al., 2012).
//!
//! Each mark is identified by a dot: the session of the process that set it, and a counter within that
//! session. A replica's version vector records which dots it has seen. A dot that was seen and is no longer
//! present was removed. So a removal affects only the marks that its replica had seen, and a mark that is set
//! concurrently elsewhere stays.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use super::TOMBSTONE_RETENTION_US;
use crate::api::Micros;
use crate::control::state::Session;

/// The maximum number of marked subjects. It bounds the memory that malformed or hostile messages can take.
pub const MAX_MARKS: usize = 4_096;
/// The maximum length of a subject's name, in bytes.
pub const MAX_SUBJECT_NAME_BYTES: usize = 128;

/// The instance or conductor that a mark applies to, by name.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Subject {
    /// An instance that is out for maintenance.
    Instance(String),
    /// A conductor that is drained.
    Conductor(String),
}

impl Subject {
    /// Returns the name of the instance or conductor.
    pub fn name(&self) -> &str {
        let (Subject::Instance(name) | Subject::Conductor(name)) = self;
        name
    }
}

/// The unique id of a mark.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Dot {
    /// The session of the process that set the mark.
    #[serde(rename = "by")]
    pub session: Session,
    /// The number of the mark within that session, from 1.
    #[serde(rename = "n")]
    pub counter: u64,
}

/// The entry of one session in a version vector: the latest dot that is known of it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct VersionEntry {
    /// The counter of the session's latest dot.
    #[serde(rename = "n")]
    pub counter: u64,
    /// When that dot was created.
    #[serde(rename = "at")]
    pub created_at: Micros,
}

/// The present marks, each with the time since which its subject is marked, and the version vector of all
/// dots seen.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Marks {
    #[serde(rename = "seen")]
    version_vector: BTreeMap<Session, VersionEntry>,
    #[serde(rename = "held", with = "pairs")]
    dots_by_subject: BTreeMap<Subject, BTreeMap<Dot, Micros>>,
}

/// Encodes the marks as lists of pairs, because formats such as JSON allow only strings as map keys.
mod pairs {
    use super::*;
    use serde::{Deserializer, Serializer};

    type DotsBySubject = BTreeMap<Subject, BTreeMap<Dot, Micros>>;

    pub fn serialize<S: Serializer>(marks: &DotsBySubject, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.collect_seq(marks.iter().map(|(subject, dots)| (subject, dots.iter().collect::<Vec<_>>())))
    }

    pub fn deserialize<'de, D: Deserializer<'de>>(deserializer: D) -> Result<DotsBySubject, D::Error> {
        let pairs = Vec::<(Subject, Vec<(Dot, Micros)>)>::deserialize(deserializer)?;
        Ok(pairs.into_iter().map(|(subject, dots)| (subject, dots.into_iter().collect())).collect())
    }
}

impl Marks {
    /// Marks a subject and replaces its marks that were seen here. Returns the new mark's dot, or `None` if
    /// there are too many marks or the subject's name is empty or too long.
    pub fn add(&mut self, session: Session, subject: Subject, created_at: Micros) -> Option<Dot> {
        if self.dots_by_subject.len() >= MAX_MARKS && !self.dots_by_subject.contains_key(&subject)
            || subject.name().is_empty()
            || subject.name().len() > MAX_SUBJECT_NAME_BYTES
        {
            return None;
        }
        let entry = self.version_vector.entry(session).or_default();
        *entry = VersionEntry { counter: entry.counter + 1, created_at };
        let dot = Dot { session, counter: entry.counter };
        // The subject counts as marked since the earliest of the replaced marks.
        let since = self.marked_since(&subject).unwrap_or(created_at);
        self.dots_by_subject.insert(subject, BTreeMap::from([(dot, since)]));
        Some(dot)
    }

    /// Removes all marks of a subject that were seen here. Returns their dots, or `None` if the subject is
    /// not marked.
    pub fn remove(&mut self, subject: &Subject) -> Option<Vec<Dot>> {
        self.dots_by_subject.remove(subject).map(|dots| dots.into_keys().collect())
    }

    /// Merges the marks of another replica into this one.
    pub fn merge(&mut self, other: &Marks) {
        let mut merged: BTreeMap<Subject, BTreeMap<Dot, Micros>> = BTreeMap::new();
        for (source, counterpart) in [(&*self, other), (other, &*self)] {
            for (subject, dots) in &source.dots_by_subject {
                for (dot, since) in dots {
                    if counterpart.contains(subject, dot) || !counterpart.has_seen(dot) {
                        merged.entry(subject.clone()).or_default().insert(*dot, *since);
                    }
                }
            }
        }
        self.dots_by_subject = merged;
        for (session, theirs) in &other.version_vector {
            let mine = self.version_vector.entry(*session).or_default();
            if theirs.counter > mine.counter {
                *mine = *theirs;
            }
        }
    }

    /// Returns whether this replica has ever seen the dot.
    pub fn has_seen(&self, dot: &Dot) -> bool {
        self.version_vector.get(&dot.session).is_some_and(|entry| entry.counter >= dot.counter)
    }

    /// Returns the dots of the subject's marks.
    pub fn dots_of(&self, subject: &Subject) -> Vec<Dot> {
        self.dots_by_subject.get(subject).map(|dots| dots.keys().copied().collect()).unwrap_or_default()
    }

    /// Returns whether the subject has the mark with this dot.
    pub fn contains(&self, subject: &Subject, dot: &Dot) -> bool {
        self.dots_by_subject.get(subject).is_some_and(|dots| dots.contains_key(dot))
    }

    /// Returns the time since which the subject is marked, or `None` if it is not marked.
    pub fn marked_since(&self, subject: &Subject) -> Option<Micros> {
        self.dots_by_subject.get(subject)?.values().min().copied()
    }

    /// Iterates over the marked subjects, each with the time since which it is marked.
    pub fn iter(&self) -> impl Iterator<Item = (&Subject, Micros)> {
        self.dots_by_subject.iter().filter_map(|(subject, dots)| Some((subject, *dots.values().min()?)))
    }

    /// Returns whether the other replica already reflects every mark and removal of this one.
    pub fn is_included_in(&self, other: &Marks) -> bool {
        let mut merged = other.clone();
        merged.merge(self);
        merged == *other
    }

    /// Returns `base` with the subjects that `session` marks here marked again, if that session created a dot
    /// later than `after`, the time when this replica was last in sync. No other replica can have seen such a
    /// dot.
    pub fn reapplied_to(&self, base: &Marks, session: Session, after: Micros, now: Micros) -> Marks {
        let mut marks = base.clone();
        let Some(entry) = self.version_vector.get(&session).filter(|entry| entry.created_at > after) else {
            return marks;
        };
        marks.version_vector.insert(session, *entry);
        for (subject, dots) in &self.dots_by_subject {
            if dots.keys().any(|dot| dot.session == session) {
                marks.add(session, subject.clone(), now);
            }
        }
        marks
    }

    /// Returns when the latest dot that this replica has seen was created.
    pub fn latest_dot_at(&self) -> Option<Micros> {
        self.version_vector.values().map(|entry| entry.created_at).max()
    }

    /// Returns whether the marks are within the limits enforced here and contain no dot outside their version
    /// vector.
    pub fn is_valid(&self) -> bool {
        let dot_count = self.dots_by_subject.values().map(BTreeMap::len).sum::<usize>();
        let has_valid_name = |subject: &Subject| (1..=MAX_SUBJECT_NAME_BYTES).contains(&subject.name().len());
        let all_dots_seen =
            self.dots_by_subject.values().flat_map(BTreeMap::keys).all(|dot| self.has_seen(dot));
        dot_count <= 2 * MAX_MARKS
            && self.version_vector.len() <= 4 * MAX_MARKS
            && self.dots_by_subject.keys().all(has_valid_name)
            && all_dots_seen
    }

    /// Removes the version-vector entries of sessions that have no marks left and whose latest dot is older
    /// than [`TOMBSTONE_RETENTION_US`].
    pub fn collect_garbage(&mut self, now: Micros) {
        let live_sessions: std::collections::BTreeSet<_> =
            self.dots_by_subject.values().flat_map(|dots| dots.keys().map(|dot| dot.session)).collect();
        self.version_vector.retain(|session, entry| {
            live_sessions.contains(session) || entry.created_at.saturating_add(TOMBSTONE_RETENTION_US) > now
        });
    }
}

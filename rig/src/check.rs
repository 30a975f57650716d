//! Checkers: what a history must show, whatever was broken meanwhile. Each says all that it finds.

use std::collections::BTreeMap;

use crate::Micros;
use crate::load::{Asked, Outcome};
use crate::stand_ins::{Attempt, HELD_MOST, Role, Seen};

/// What an operator was told of a change.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Told {
    /// It is in force as this revision.
    Applied(u64),
    /// It is not and will not be.
    TurnedDown,
    /// Neither is known.
    Unknown,
}

/// A change as its proposer saw it.
#[derive(Clone, Debug)]
pub struct Change {
    /// Its number, where one was told.
    pub id: Option<String>,
    /// When it was proposed.
    pub proposed: Micros,
    /// When the last word of it came.
    pub ended: Micros,
    /// That word.
    pub told: Told,
    /// The document could not be taken by all.
    pub bad: bool,
}

/// Where a conductor stands at the end.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Stand {
    /// Its name.
    pub name: String,
    /// The revision in force there.
    pub revision: u64,
    /// The digest of its document.
    pub digest: Option<String>,
    /// Ended changes by number, as it tells them: the revision of those that were applied.
    pub history: BTreeMap<String, Option<u64>>,
}

/// For each change there is one moment: no request that was sent after an answer by a newer revision was seen is decided by
/// an older one. Whatever lies between sending and answer may count as the moment of intake, so nothing is called broken
/// that need not be.
pub fn one_moment(asked: &[Asked]) -> Vec<String> {
    let mut first_answer: BTreeMap<u64, (Micros, &str)> = BTreeMap::new();
    for a in asked {
        if let (Some(revision), Some(answered)) = (a.revision, a.answered) {
            let first = first_answer.entry(revision).or_insert((answered, &a.id));
            if answered < first.0 {
                *first = (answered, &a.id);
            }
        }
    }
    let mut found = Vec::new();
    for a in asked {
        let Some(revision) = a.revision else { continue };
        let newer = first_answer.range(revision + 1..).map(|(r, seen)| (seen.0, *r, seen.1)).min();
        if let Some((seen, newer, by)) = newer.filter(|(seen, ..)| *seen < a.sent) {
            found.push(format!(
                "{} was sent {} us after {by} had been answered under revision {newer}, and was decided under {revision}",
                a.id,
                a.sent - seen
            ));
        }
    }
    found
}

/// What operators were told holds: applied is in force or was at every conductor, turned down at none; the same number
/// ended the same way everywhere; nobody has another document under the same revision.
pub fn told_truly(changes: &[Change], stands: &[Stand]) -> Vec<String> {
    let mut found = Vec::new();
    for stand in stands {
        for change in changes {
            let Some(id) = &change.id else { continue };
            let seen = stand.history.get(id);
            match (&change.told, seen) {
                (Told::Applied(revision), Some(Some(seen))) if revision == seen => {}
                (Told::Applied(revision), seen) => {
                    found.push(format!(
                        "change {id} was told as applied ({revision}); {} has {seen:?}",
                        stand.name
                    ));
                }
                (Told::TurnedDown, Some(Some(seen))) => {
                    found.push(format!(
                        "change {id} was told as turned down; {} applied it as {seen}",
                        stand.name
                    ));
                }
                _ => {}
            }
            if change.bad && seen.is_some_and(Option::is_some) {
                found.push(format!("change {id} was bad, and {} applied it", stand.name));
            }
        }
    }
    for pair in stands.windows(2) {
        if (pair[0].revision, &pair[0].digest) != (pair[1].revision, &pair[1].digest) {
            found.push(format!("two conductors end apart: {:?} and {:?}", short(&pair[0]), short(&pair[1])));
        }
        for (id, ended) in &pair[0].history {
            if pair[1].history.get(id).is_some_and(|other| other != ended) {
                found.push(format!("change {id} ended in two ways at {} and {}", pair[0].name, pair[1].name));
            }
        }
    }
    found
}

/// What an operator asked of a conductor.
#[derive(Clone, Debug)]
pub struct Decree {
    /// The instance.
    pub instance: String,
    /// Out, or back.
    pub out: bool,
    /// When it was asked.
    pub asked: Micros,
    /// When the answer came.
    pub ended: Micros,
    /// The answer was a yes.
    pub kept: bool,
}

/// Which instances a conductor has out.
#[derive(Clone, Debug)]
pub struct Banned {
    /// Its name.
    pub name: String,
    /// The instances.
    pub instances: std::collections::BTreeSet<String>,
}

/// No ban that was acknowledged is lost: where no lift was asked after it was, or at the same time, it holds everywhere. And
/// nothing is out that nobody took out, nor after lifts alone came last.
pub fn bans_kept(decrees: &[Decree], out: &[Banned]) -> Vec<String> {
    let mut found = Vec::new();
    let instances: std::collections::BTreeSet<_> = decrees.iter().map(|d| &d.instance).collect();
    for instance in instances {
        let of = |out| decrees.iter().filter(move |d| &d.instance == instance && d.out == out);
        let stands = of(true).filter(|ban| ban.kept).any(|ban| of(false).all(|lift| lift.ended < ban.asked));
        for one in out {
            let held = one.instances.contains(instance);
            if stands && !held {
                found.push(format!("{instance} was banned, and {} does not hold it", one.name));
            }
            if held && of(true).next().is_none() {
                found.push(format!("{instance} is out at {}, and nobody banned it", one.name));
            }
        }
    }
    found
}

/// What the deployment says of cold instances, as far as it is checked.
#[derive(Clone, Copy, Debug)]
pub struct Cold {
    /// Multiple of present capacity that makes one fall...
    pub fall_multiple: f64,
    /// ...when sent over a window of this length.
    pub window: Micros,
    /// Time by which one is warm.
    pub ramp: Micros,
    /// Share of its capacity with which it starts.
    pub start: f64,
}

/// No instance that came back cold at these moments was sent more, by all conductors together, than it takes. A warm one takes
/// `usual` in a window: its part of the load, whatever of that came in the window that is looked at.
pub fn cold_spared(
    returns: &[(String, Micros)], attempts: &[Attempt], cold: Cold, usual: f64,
) -> Vec<String> {
    let mut found = Vec::new();
    for (instance, back) in returns {
        let again =
            returns.iter().filter(|(other, at)| other == instance && at > back).map(|(_, at)| *at).min();
        let until = again.unwrap_or(Micros::MAX).min(back + cold.ramp);
        let there: Vec<_> = attempts.iter().filter(|a| a.at == *instance).map(|a| a.begun).collect();
        for from in there.iter().copied().filter(|at| (*back..until).contains(at)) {
            let window = from..from + cold.window;
            let sent = there.iter().filter(|at| window.contains(at)).count();
            let warmth = cold.start + (1.0 - cold.start) * (from - back) as f64 / cold.ramp as f64;
            let most = cold.fall_multiple * warmth.min(1.0) * usual;
            if sent as f64 > most {
                found.push(format!(
                    "{instance} was sent {sent} within {} ms, {} ms after its return, and takes {most:.1}",
                    cold.window / 1_000,
                    (from - back) / 1_000
                ));
                break;
            }
        }
    }
    found
}

/// By the stand-ins' own count no named request ran twice, and one whose client was served ran.
pub fn named_once(names: &BTreeMap<String, bool>, attempts: &[Attempt]) -> Vec<String> {
    let mut found = Vec::new();
    for (name, served) in names {
        let runs = attempts.iter().filter(|a| a.id == *name && a.role == Role::Write && a.ran).count();
        if runs > 1 {
            found.push(format!("{name} must not run twice, and ran {runs} times"));
        }
        if *served && runs == 0 {
            found.push(format!("{name} was told as served, and no instance ran it"));
        }
    }
    found
}

fn short(stand: &Stand) -> (&str, u64, Option<&str>) {
    (&stand.name, stand.revision, stand.digest.as_deref())
}

/// One final answer: a connection that was taken never ends without one, unless its conductor was killed.
pub fn answered(asked: &[Asked], killed: &dyn Fn(&Asked) -> bool) -> Vec<String> {
    let lost = asked.iter().filter(|a| matches!(a.outcome, Outcome::Lost | Outcome::Broken) && !killed(a));
    lost.map(|a| format!("{} at conductor {} has no whole answer: {:?}", a.id, a.at, a.outcome)).collect()
}

/// Every refusal says when to come back.
pub fn come_back_told(asked: &[Asked]) -> Vec<String> {
    let silent = asked.iter().filter(|a| a.outcome == Outcome::Refused && !a.come_back);
    silent.map(|a| format!("{} was refused with no word of when to come back", a.id)).collect()
}

/// By the stand-ins' own count: no unsafe request runs twice, no request has two attempts out at once or more than four.
pub fn attempts_kept(asked: &[Asked], attempts: &[Attempt]) -> Vec<String> {
    let is_unsafe: BTreeMap<&str, bool> = asked.iter().map(|a| (a.id.as_str(), a.is_unsafe)).collect();
    let mut by_id: BTreeMap<&str, Vec<&Attempt>> = BTreeMap::new();
    attempts.iter().for_each(|attempt| by_id.entry(&attempt.id).or_default().push(attempt));
    let mut found = Vec::new();
    for (id, tries) in by_id {
        let runs = tries.iter().filter(|t| t.role == Role::Write && t.ran).count();
        if runs > 1 && is_unsafe.get(id).copied().unwrap_or(true) {
            found.push(format!("{id} must not run twice, and ran {runs} times"));
        }
        if tries.len() > 4 {
            found.push(format!("{id} had {} attempts", tries.len()));
        }
        // A conductor hears of an end a little after the instance has written it.
        let overlap = |pair: &&[&Attempt]| pair[0].ended.is_none_or(|ended| ended > pair[1].begun + 2_000);
        if tries.windows(2).any(|pair| overlap(&pair)) {
            found.push(format!("{id} had two attempts out at once"));
        }
    }
    found
}

/// Nothing is left pinned: no read state is held for longer than the rule allows, unless its conductor could not let it
/// go.
pub fn nothing_pinned(
    asked: &[Asked], seen: &Seen, now: Micros, excused: &dyn Fn(&Asked) -> bool,
) -> Vec<String> {
    let left = seen.held.iter().filter(|(_, since)| now - **since > HELD_MOST);
    let left = left.map(|(id, since)| (id, *since, now));
    let all = seen.held_long.iter().map(|(id, since, until)| (id, *since, *until)).chain(left);
    let bound = all.filter(|(id, ..)| !asked.iter().any(|a| a.id == **id && excused(a)));
    bound.map(|(id, since, until)| format!("the state of {id} was held for {} us", until - since)).collect()
}

#[cfg(test)]
mod tests;

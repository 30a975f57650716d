//! Who may be sent work: operators' bans laid over discovery's list. It does no I/O and reads no clock.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

/// Bans and returns remembered of ids that discovery does not name at present, of each the latest so many: some hundred
/// kilobytes. Tests reach the bound sooner.
const UNLISTED_MOST: usize = if cfg!(test) { 256 } else { 4_096 };

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
mod tests {
    use super::*;

    fn target(id: &str, state: State, started_ms: i64) -> Target {
        let (addr, zone, kind) = (SocketAddr::from(([127, 0, 0, 1], 9)), "z".into(), "k".into());
        Target { id: id.into(), addr, zone, kind, cell: 1, state, started_ms }
    }

    fn list(version: u64, full: bool, servers: Vec<Target>) -> Targets {
        Targets { version: Some(version), full, servers, doubtful: Vec::new() }
    }

    fn known(ids: &[&str]) -> Membership {
        let mut membership = Membership::default();
        let servers = ids.iter().map(|id| target(id, State::Ready, 0)).collect();
        membership.take(&list(1, true, servers)).unwrap();
        membership
    }

    #[test]
    fn a_ban_holds_whatever_discovery_says() {
        let mut m = known(&["a", "b"]);
        assert_eq!(m.ban("a", 10).unwrap().unwrap().state, State::Terminating);
        let again = m.take(&list(2, false, vec![target("a", State::Ready, 5)])).unwrap();
        assert_eq!(again[0].state, State::Terminating);
        let gone = m.take(&list(3, false, vec![target("a", State::Gone, 0)])).unwrap();
        assert_eq!(gone[0].state, State::Gone);
        let whole =
            m.take(&list(4, true, vec![target("a", State::Ready, 7), target("b", State::Ready, 0)])).unwrap();
        assert_eq!([whole[0].state, whole[1].state], [State::Terminating, State::Ready]);
    }

    #[test]
    fn two_calls_out_need_one_call_back() {
        let mut m = known(&["a"]);
        assert!(m.ban("a", 10).unwrap().is_some() && m.ban("a", 11).unwrap().is_none());
        let back = m.lift("a", 20).unwrap().unwrap();
        assert_eq!((back.state, back.started_ms), (State::Ready, 20));
        assert!(m.lift("a", 30).unwrap().is_none());
        assert_eq!(m.all()[0].started_ms, 20, "a second call back is no second return");
    }

    #[test]
    fn a_returned_instance_is_cold_until_discovery_tells_a_later_start() {
        let mut m = known(&["a"]);
        let _ = (m.ban("a", 10), m.lift("a", 20));
        assert_eq!(m.take(&list(2, false, vec![target("a", State::Ready, 15)])).unwrap()[0].started_ms, 20);
        assert_eq!(m.take(&list(3, false, vec![target("a", State::Ready, 25)])).unwrap()[0].started_ms, 25);
    }

    #[test]
    fn ids_no_one_has_are_unknown() {
        let mut m = known(&["a"]);
        assert!(m.ban("x", 1).is_err() && m.lift("x", 1).is_err());
        let _ = m.ban("a", 1);
        m.take(&list(2, true, vec![])).unwrap();
        assert!(m.ban("a", 2).is_ok(), "a banned id stays known while its instance is away");
        assert!(m.lift("a", 3).unwrap().is_none());
        assert!(m.ban("a", 4).is_err());
    }

    #[test]
    fn what_drains_anyway_goes_on_draining_after_a_ban() {
        let mut m = known(&["a"]);
        let _ = m.ban("a", 1);
        m.take(&list(2, false, vec![target("a", State::Terminating, 0)])).unwrap();
        assert_eq!(m.lift("a", 2).unwrap().unwrap().state, State::Terminating);
    }

    #[test]
    fn an_older_list_changes_nothing_and_a_whole_one_holds_once_the_version_is_forgotten() {
        let mut m = known(&["a"]);
        m.take(&list(7, false, vec![target("a", State::Terminating, 0)])).unwrap();
        for full in [false, true] {
            let older = m.take(&list(6, full, vec![target("a", State::Ready, 0)]));
            assert_eq!(older, Err(OlderList { told: 6, known: 7 }));
            assert_eq!((m.version(), m.all()[0].state), (Some(7), State::Terminating));
        }
        m.forget_version();
        m.take(&list(2, true, vec![target("a", State::Ready, 0)])).unwrap();
        assert_eq!((m.version(), m.all()[0].state), (Some(2), State::Ready));
    }

    #[test]
    fn what_cannot_be_read_of_a_known_instance_takes_nothing_new_until_it_can() {
        for full in [false, true] {
            let mut m = known(&["a", "b"]);
            let doubtful = vec!["a".to_owned(), "never heard of".to_owned()];
            let told =
                m.take(&Targets { doubtful, ..list(2, full, vec![target("b", State::Ready, 0)]) }).unwrap();
            assert_eq!(told.iter().map(|t| t.state).collect::<Vec<_>>(), [State::Terminating, State::Ready]);
            assert_eq!(m.all().len(), 2);
            m.take(&list(3, false, vec![target("a", State::Ready, 0)])).unwrap();
            assert_eq!(m.all()[0].state, State::Ready);
        }
    }

    #[test]
    fn a_list_without_a_version_leaves_the_one_at_hand_unless_it_is_whole() {
        let mut m = known(&["a"]);
        m.take(&Targets { version: None, ..list(0, false, vec![]) }).unwrap();
        assert_eq!(m.version(), Some(1));
        m.take(&Targets { version: None, ..list(0, true, vec![]) }).unwrap();
        assert_eq!((m.version(), m.all().len()), (None, 0));
    }

    /// Over random orders of calls and lists: banned is never ready, all else is as discovery says, and what is
    /// kept stays bounded and survives being handed over.
    #[test]
    fn random_orders_keep_bans_and_bounds() {
        let mut draw = 7u64;
        let mut roll = |n: u64| {
            draw = draw.wrapping_mul(6364136223846793005).wrapping_add(1442695040888963407);
            (draw >> 33) % n
        };
        let mut m = Membership::default();
        let (mut banned, mut listed) = (std::collections::BTreeSet::new(), BTreeMap::new());
        for now in 0..6_000 {
            let id = format!("i{}", roll(900));
            match roll(5) {
                0 => {
                    let known = listed.contains_key(&id) || banned.contains(&id);
                    assert_eq!(m.ban(&id, now).is_ok(), known);
                    let _ = known && banned.insert(id);
                }
                1 => assert_eq!(m.lift(&id, now).is_ok(), banned.remove(&id) || listed.contains_key(&id)),
                2 => {
                    m.take(&list(now as u64, false, vec![target(&id, State::Gone, 0)])).unwrap();
                    listed.remove(&id);
                }
                3 => m = serde_json::from_str(&serde_json::to_string(&m).unwrap()).unwrap(),
                _ => {
                    let state = if roll(4) == 0 { State::Terminating } else { State::Ready };
                    m.take(&list(now as u64, false, vec![target(&id, state, 0)])).unwrap();
                    listed.insert(id, state);
                }
            }
            // What was forgotten to stay bounded was away for long.
            let away = |id: &String| !listed.contains_key(id);
            banned.retain(|id| m.bans().contains_key(id) || !away(id));
            let unlisted = |times: &BTreeMap<String, i64>| times.keys().filter(|id| away(id)).count();
            assert!(unlisted(&m.bans) <= UNLISTED_MOST + 1 && unlisted(&m.returns) <= UNLISTED_MOST + 1);
            for seen in m.all().into_iter().filter(|_| now % 16 == 0) {
                let expected = if banned.contains(&seen.id) { State::Terminating } else { listed[&seen.id] };
                assert_eq!(seen.state, expected);
            }
        }
    }
}

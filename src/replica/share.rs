//! One conductor's part in all shared state, as one object that is stepped: words and time go in, words for others and news for the
//! serving side come out. What must be on disk before anything is said is given out by [`Share::unsaved`] and confirmed before
//! [`Share::outbox`] is asked.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use serde_json::{Value as Json, json};

use super::Owner;
use super::duty::{ASK_EVERY, Ask, Holder, Keeper, Lease};
use super::idempotency::{Answer, Claim, ClaimTable, Decision, Held, Name, Try};
use super::marks::{Marks, Subject};
use super::store::{EstimatesSnapshot, InstanceReport, Key, Replica, SpendingSnapshot, Value};
use super::sync::{SyncMessage, SyncPosition, Synchronizer};
use crate::api::Micros;
use crate::control::state::{Agreed, Session};
use crate::estimate::{FleetEstimates, Spending};
use crate::peers::PeerMessage;

/// Between tellings of what changed: figures of spending change all the time.
pub const TELL_EVERY: Micros = 200_000;
/// Between tellings of what was learnt.
const LEARN_EVERY: Micros = 5_000_000;
/// Between writings of what may be lost without harm.
const SAVE_EVERY: Micros = 1_000_000;
/// Between looks for what is stale: each walks all items.
const TIDY_EVERY: Micros = 1_000_000;
/// Named requests that are claimed at once.
const CLAIMS_MOST: usize = 1_024;
/// Longest word of changed items, in bytes, about.
const WORD: usize = 64 * 1024;

/// What the serving side is told.
#[derive(Clone, Debug)]
pub enum ShareEvent {
    /// What all others have spent.
    Others(Spending),
    /// How others found instances.
    Reports(Vec<(String, InstanceReport)>),
    /// What operators have marked, all of it, and returns of instances in Unix milliseconds.
    Marks(Marks, BTreeMap<String, i64>),
    /// What the best informed has learnt; told once, when this copy is good to serve by.
    Learnt(EstimatesSnapshot),
    /// This copy is as good as another's, or was not waited for any longer.
    CaughtUp(bool),
}

/// What has to be on disk.
#[derive(Clone, Debug, Default)]
pub struct Unsaved {
    /// Items; none for one that goes.
    pub items: Vec<(Key, Option<Value>)>,
    /// Names of requests; none for one that goes.
    pub names: BTreeMap<Name, Option<Held>>,
    /// When this copy was last equal to another's, and how far it had each other's.
    pub reached: Option<(Micros, BTreeMap<String, SyncPosition>)>,
}

impl Unsaved {
    /// Whether there is nothing.
    pub fn is_empty(&self) -> bool {
        self.items.is_empty() && self.names.is_empty() && self.reached.is_none()
    }
}

/// What a store held.
#[derive(Clone, Debug, Default)]
pub struct Kept {
    /// Items.
    pub items: Vec<(Key, Value)>,
    /// Names of requests.
    pub names: Vec<(Name, Held)>,
    /// When that copy was last equal to another's, and how far it had each other's.
    pub reached: Option<(Micros, BTreeMap<String, SyncPosition>)>,
}

/// A holder that two threads look at.
#[derive(Clone)]
pub struct Duties(Arc<Mutex<Holder>>);

impl Duties {
    fn lock(&self) -> MutexGuard<'_, Holder> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Whether this duty is this conductor's to do; `now` is read under the lock.
    pub fn mine(&self, now: impl FnOnce() -> Micros, duty: u64) -> bool {
        let holder = self.lock();
        holder.mine(now(), duty)
    }
}

struct Pending {
    name: Name,
    claim: Claim,
}

/// See the module.
pub struct Share {
    me: String,
    session: Session,
    replica: Replica,
    sync: Synchronizer,
    duties: Duties,
    keeper: Option<(u64, Keeper)>,
    /// Who led in which term, as far as heard.
    led: (u64, String),
    asked_at: Micros,
    told_at: Micros,
    learnt_at: Micros,
    saved_at: Micros,
    tidied_at: Micros,
    marks: Marks,
    book: ClaimTable,
    claims: BTreeMap<Try, Pending>,
    decided: Vec<(Try, Name, Decision)>,
    tries: u64,
    /// Nothing can be kept any more, so nothing is promised.
    broken: bool,
    dirty: BTreeSet<Key>,
    urgent: bool,
    out: Vec<(String, PeerMessage)>,
    news: Vec<ShareEvent>,
    told_caught_up: bool,
    /// The policy's revision in force and its document's digest, and who holds another document as the same revision.
    policy: (u64, u64),
    policy_apart: BTreeSet<String>,
}

impl Share {
    /// The part of a process that started now, with what its store held. What could not be taken in is counted.
    pub fn new(name: &str, session: Session, now: Micros, kept: Kept) -> (Self, usize) {
        let mut replica = Replica::new(name, now);
        let mut sync = Synchronizer::new(name, now);
        let (equal_at, had) = kept.reached.unwrap_or((now, BTreeMap::new()));
        let unfit = replica.load(now, (equal_at, kept.items));
        sync.restore_positions(had);
        let marks = replica.marks();
        let share = Share {
            me: name.into(),
            session,
            replica,
            sync,
            duties: Duties(Arc::new(Mutex::new(Holder::new(session)))),
            keeper: None,
            led: (0, String::new()),
            asked_at: Micros::MIN / 2,
            told_at: Micros::MIN / 2,
            learnt_at: Micros::MIN / 2,
            saved_at: now,
            tidied_at: Micros::MIN / 2,
            marks,
            book: ClaimTable::open(now, kept.names),
            claims: BTreeMap::new(),
            decided: Vec::new(),
            tries: 0,
            broken: false,
            dirty: BTreeSet::new(),
            urgent: false,
            out: Vec::new(),
            news: Vec::new(),
            told_caught_up: false,
            policy: (0, 0),
            policy_apart: BTreeSet::new(),
        };
        (share, unfit)
    }

    /// The duties, for the serving side.
    pub fn duties(&self) -> Duties {
        self.duties.clone()
    }

    // ---- From the serving side ----

    /// What the module has spent and learnt.
    pub fn figures(&mut self, now: Micros, all: &FleetEstimates) {
        self.replica.record_spending(now, SpendingSnapshot::new(now, &all.spending()));
        if now >= self.learnt_at.saturating_add(LEARN_EVERY) {
            self.learnt_at = now;
            self.replica.record_estimates(now, EstimatesSnapshot::new(all));
        }
    }

    /// How an instance was found.
    pub fn report(&mut self, now: Micros, instance: &str, report: InstanceReport) {
        self.replica.record_report(now, instance, report);
    }

    /// An operator marks something. False where there is no room.
    pub fn mark(&mut self, now: Micros, subject: Subject) -> bool {
        // Also where it is marked: a lift that is under way elsewhere has not seen this one.
        let done = self.marks.add(self.session, subject, now).is_some();
        if done {
            self.decreed(now);
        }
        done
    }

    /// An operator lifts a mark.
    pub fn lift(&mut self, now: Micros, now_ms: i64, subject: &Subject) {
        if self.marks.remove(subject).is_some() {
            if let Subject::Instance(name) = subject {
                self.replica.record_return(now, name, Some(now_ms));
            }
            self.decreed(now);
        }
    }

    fn decreed(&mut self, now: Micros) {
        self.replica.record_marks(now, self.marks.clone());
        self.urgent = true;
        // What operators decided goes out with the next tick, not with the next round of figures.
        self.told_at = now.saturating_sub(TELL_EVERY);
        self.tell_marks();
    }

    /// Whether the ledger has all marks and lifts that this conductor has.
    pub fn agreed(&self, agreed: &Agreed) -> bool {
        self.marks.is_included_in(&agreed.marks)
    }

    /// All marks, for the ledger.
    pub fn marks(&self) -> &Marks {
        &self.marks
    }

    /// Claims the name of a request. None where too many are claimed at once.
    pub fn claim(&mut self, now: Micros, name: Name, members: BTreeSet<String>) -> Option<Try> {
        if self.claims.len() >= CLAIMS_MOST {
            return None;
        }
        self.tries += 1;
        let of = Try { by: self.session, n: self.tries };
        let mut claim = Claim::new(now, members.clone());
        let own = if self.broken { Answer::Full } else { self.book.claim(now, name, of) };
        claim.answered(&self.me, own);
        for to in members.into_iter().filter(|to| *to != self.me) {
            self.out.push((to, PeerMessage::Claim(name, of)));
        }
        self.claims.insert(of, Pending { name, claim });
        Some(of)
    }

    /// Nothing was sent under a claim that was granted.
    pub fn withdraw(&mut self, name: Name, of: Try, members: &BTreeSet<String>) {
        self.book.withdraw(name, of);
        let others = members.iter().filter(|to| **to != self.me);
        self.out.extend(others.map(|to| (to.clone(), PeerMessage::Withdraw(name, of))));
    }

    /// A request that was sent under its claim ran to its end.
    pub fn ran(&mut self, now: Micros, name: Name, of: Try, members: &BTreeSet<String>) {
        self.book.ran(now, name, of);
        let others = members.iter().filter(|to| **to != self.me);
        self.out.extend(others.map(|to| (to.clone(), PeerMessage::Completed(name, of))));
    }

    /// Claims that have come to an end.
    pub fn decided(&mut self) -> Vec<(Try, Name, Decision)> {
        std::mem::take(&mut self.decided)
    }

    // ---- From others ----

    /// A word of another conductor. `authority`: this one leads, and a majority knew it as its leader lately.
    pub fn hear(&mut self, now: Micros, from: &str, word: PeerMessage, agreed: &Agreed, authority: bool) {
        match word {
            PeerMessage::State(SyncMessage::Policy(revision, digest)) => {
                if (revision, digest) == self.policy {
                    self.policy_apart.remove(from);
                } else if revision == self.policy.0 && self.policy_apart.insert(from.to_owned()) {
                    // No copy is chosen: the ledger's majority holds the right one, and operators say whose store is not.
                    tracing::error!("state: {from} has another document as the policy's revision {revision}");
                }
            }
            PeerMessage::State(say) => {
                let (out, news) =
                    self.sync.handle_message(now, &mut self.replica, from, agreed.members.len(), say);
                self.out.extend(out.into_iter().map(|(to, say)| (to, PeerMessage::State(say))));
                self.merged(now, news);
            }
            PeerMessage::DutyAsk(ask) => {
                let lease = self.keep(now, ask, agreed, authority);
                self.out.extend(lease.map(|lease| (from.to_owned(), PeerMessage::DutyLease(lease))));
            }
            PeerMessage::DutyLease(lease) => self.duties.lock().granted(&lease),
            PeerMessage::Claim(name, of) => {
                // What cannot be kept is not said.
                let answer = if self.broken { Answer::Full } else { self.book.claim(now, name, of) };
                self.out.push((from.to_owned(), PeerMessage::Claimed(of, answer)));
            }
            PeerMessage::Claimed(of, answer) => {
                if let Some(pending) = self.claims.get_mut(&of) {
                    pending.claim.answered(from, answer);
                }
            }
            PeerMessage::Withdraw(name, of) => self.book.withdraw(name, of),
            PeerMessage::Completed(name, of) => self.book.ran(now, name, of),
            _ => {}
        }
    }

    /// The way to this conductor is there again: the two copies are compared at once, not when its turn comes.
    pub fn met(&mut self, name: &str) {
        let say = self.sync.root_message(&self.replica, name);
        self.out.push((name.to_owned(), PeerMessage::State(say)));
    }

    fn keep(&mut self, now: Micros, ask: Ask, agreed: &Agreed, authority: bool) -> Option<Lease> {
        let registered = agreed.sessions.values().copied().collect();
        let (_, keeper) = self.keeper.as_mut()?;
        keeper.ask(now, ask, &registered, authority)
    }

    fn merged(&mut self, now: Micros, news: Vec<Key>) {
        if news.is_empty() {
            return;
        }
        let mut reports = Vec::new();
        let mut marks = false;
        for key in news {
            match (&key, self.replica.get(&key)) {
                (Key::Report(instance), Some(Value::Report(held))) => {
                    reports.extend(held.value.map(|report| (instance.clone(), report)));
                }
                (Key::Marks | Key::Return(_), _) => marks = true,
                _ => {}
            }
            if key.is_persistent() {
                self.dirty.insert(key);
            }
        }
        if marks {
            self.settle_marks(now);
        }
        if !reports.is_empty() {
            self.news.push(ShareEvent::Reports(reports));
        }
    }

    /// Brings the marks of the copy, of the ledger and of here to the same.
    fn settle_marks(&mut self, now: Micros) {
        self.marks.merge(&self.replica.marks());
        if self.replica.marks() != self.marks {
            self.replica.record_marks(now, self.marks.clone());
        }
        self.dirty.insert(Key::Marks);
        self.urgent = true;
        self.tell_marks();
    }

    fn tell_marks(&mut self) {
        let returns = self.replica.items().filter_map(|(key, value)| match (key, value) {
            (Key::Return(name), Value::Return(held)) => Some((name.clone(), held.value?)),
            _ => None,
        });
        self.news.push(ShareEvent::Marks(self.marks.clone(), returns.collect()));
    }

    // ---- Time ----

    /// What is agreed on has moved.
    pub fn applied(&mut self, now: Micros, agreed: &Agreed) {
        if agreed.revision != self.policy.0 {
            let digest = agreed
                .documents
                .get(&agreed.revision)
                .map_or(0, |document| crate::estimate::name_hash(document));
            self.policy = (agreed.revision, digest);
            self.policy_apart.clear();
        }
        if !agreed.marks.is_included_in(&self.marks) {
            self.marks.merge(&agreed.marks);
            self.settle_marks(now);
        }
    }

    /// This conductor leads in this term, or does not.
    pub fn leads(&mut self, now: Micros, term: Option<u64>, agreed: &Agreed) {
        match (term, &self.keeper) {
            (Some(term), Some((of, _))) if *of == term => {}
            (Some(term), _) => self.keeper = Some((term, Keeper::new(term, now))),
            (None, _) => self.keeper = None,
        }
        if let Some((term, keeper)) = &mut self.keeper {
            // The one that led just before has ended, by the ledger's word, and nobody led between.
            if self.led.0 + 1 == *term && !agreed.sessions.contains_key(&self.led.1) && self.led.1 != self.me
            {
                keeper.predecessor_ended(now);
                self.led.1.clone_from(&self.me);
            }
            keeper.turn(now, &agreed.sessions.values().copied().collect());
        }
    }

    /// Who leads in which term.
    pub fn led(&mut self, term: u64, leader: Option<&str>) {
        if let Some(leader) = leader.filter(|leader| *leader != self.me && term > self.led.0) {
            self.led = (term, leader.into());
        }
    }

    /// Time has passed. `heard` are others that are registered and heard.
    pub fn tick(&mut self, now: Micros, agreed: &Agreed, leader: Option<&str>, heard: &[&str]) {
        if now >= self.tidied_at.saturating_add(TIDY_EVERY) {
            self.tidied_at = now;
            self.replica.remove_expired(now);
        }
        if agreed.sessions.get(&self.me) == Some(&self.session)
            && now >= self.asked_at.saturating_add(ASK_EVERY)
        {
            self.asked_at = now;
            let ask = self.duties.lock().ask(now);
            match leader {
                Some(leader) if leader == self.me => {
                    // Its own word counts like another's, and needs a majority's as much.
                    self.out.push((self.me.clone(), PeerMessage::DutyAsk(ask)));
                }
                Some(leader) => self.out.push((leader.to_owned(), PeerMessage::DutyAsk(ask))),
                None => {}
            }
        }
        let apart_since = self.replica.last_in_sync_at();
        if !heard.is_empty() && self.replica.discard_if_outdated(now) {
            tracing::warn!(
                "state: this copy was apart for longer than deletion marks are kept, and is taken anew"
            );
            self.sync.forget_positions();
            self.marks = self.marks.reapplied_to(&agreed.marks, self.session, apart_since, now);
            self.replica.record_marks(now, self.marks.clone());
            self.replica.mark_in_sync(now);
            self.urgent = true;
        }
        let said = self.sync.tick(now, &mut self.replica, heard);
        for (to, say) in said {
            if matches!(say, SyncMessage::Root(..)) && self.policy.0 > 0 {
                self.out.push((
                    to.clone(),
                    PeerMessage::State(SyncMessage::Policy(self.policy.0, self.policy.1)),
                ));
            }
            self.out.push((to, PeerMessage::State(say)));
        }
        if let Some(well) = self.sync.caught_up().filter(|_| !self.told_caught_up) {
            self.told_caught_up = true;
            self.tell_marks();
            self.news.extend(self.replica.best_estimates().map(ShareEvent::Learnt));
            self.news.push(ShareEvent::CaughtUp(well));
        }
        if now >= self.told_at.saturating_add(TELL_EVERY) {
            self.news.push(ShareEvent::Others(self.replica.spending_of_others(now)));
            let told: Vec<_> = heard.iter().map(|name| (*name).to_owned()).collect();
            self.tell_to(now, &told);
        }
    }

    /// Claims may have come to an end, now that what they need is on disk.
    pub fn settle_claims(&mut self, now: Micros) {
        let ended: Vec<_> =
            self.claims.iter().map(|(of, pending)| (*of, pending.claim.decide(now))).collect();
        ended.into_iter().for_each(|(of, decision)| self.decide(of, decision));
    }

    fn decide(&mut self, of: Try, decision: Decision) {
        if decision == Decision::Wait {
            return;
        }
        let Some(pending) = self.claims.remove(&of) else { return };
        if decision != Decision::Send {
            self.book.withdraw(pending.name, of);
            let others = pending.claim.members().filter(|to| **to != self.me);
            self.out.extend(others.map(|to| (to.clone(), PeerMessage::Withdraw(pending.name, of))));
        }
        self.decided.push((of, pending.name, decision));
    }

    /// Tells these what has changed here.
    fn tell_to(&mut self, now: Micros, heard: &[String]) {
        self.told_at = now;
        let changed = self.replica.take_changed_items();
        self.dirty.extend(changed.iter().map(|(key, _)| key.clone()).filter(Key::is_persistent));
        let mut word = Vec::new();
        let mut bytes = 0;
        let mut say = |word: &mut Vec<(Key, Value)>| {
            let items = std::mem::take(word);
            self.out.extend(
                heard.iter().map(|to| (to.clone(), PeerMessage::State(SyncMessage::Items(items.clone())))),
            );
        };
        for item in changed {
            bytes += 64;
            word.push(item);
            if bytes >= WORD {
                say(&mut word);
                bytes = 0;
            }
        }
        if !word.is_empty() {
            say(&mut word);
        }
    }

    // ---- Out ----

    /// What has to be on disk before anything else goes out.
    pub fn unsaved(&mut self, now: Micros) -> Unsaved {
        let mut unsaved = Unsaved { names: self.book.take_unsaved(), ..Unsaved::default() };
        if self.urgent || now >= self.saved_at.saturating_add(SAVE_EVERY) {
            (self.urgent, self.saved_at) = (false, now);
            let mut dirty = std::mem::take(&mut self.dirty);
            dirty.extend(self.replica.take_removed_keys());
            unsaved.items =
                dirty.into_iter().map(|key| (key.clone(), self.replica.get(&key).cloned())).collect();
            if !unsaved.items.is_empty() {
                unsaved.reached =
                    Some((self.replica.last_in_sync_at(), self.sync.received_positions().clone()));
            }
        }
        unsaved
    }

    /// Nothing can be kept any more: what was to be promised is not.
    pub fn store_failed(&mut self) {
        if !std::mem::replace(&mut self.broken, true) {
            tracing::error!("state: nothing can be kept any more; named requests are refused");
        }
        for (_, word) in &mut self.out {
            if let PeerMessage::Claimed(_, answer @ Answer::Yes) = word {
                *answer = Answer::Full;
            }
        }
        let tries: Vec<_> = self.claims.keys().copied().collect();
        tries.into_iter().for_each(|of| self.decide(of, Decision::Refuse));
    }

    /// What is to be sent, and to whom; to this conductor itself as well.
    pub fn outbox(&mut self) -> Vec<(String, PeerMessage)> {
        std::mem::take(&mut self.out)
    }

    /// News for the serving side.
    pub fn news(&mut self) -> Vec<ShareEvent> {
        std::mem::take(&mut self.news)
    }

    // ---- For operators ----

    /// Where all stands.
    pub fn status(&self, now: Micros, agreed: &Agreed) -> Json {
        let counts = self.sync.counters;
        let items = self.replica.items().count();
        let marked = |(subject, at): (&Subject, Micros)| match subject {
            Subject::Instance(name) => json!({ "instance": name, "since_ms": at / 1_000 }),
            Subject::Conductor(name) => json!({ "conductor": name, "since_ms": at / 1_000 }),
        };
        json!({
            "root": format!("{:016x}", self.replica.root_digest()),
            "items": items,
            "caught_up": self.sync.caught_up(),
            "lag_ms": (now - self.replica.last_in_sync_at()).max(0) / 1_000,
            "marks_agreed": self.agreed(agreed),
            "marks": self.marks.iter().map(marked).collect::<Vec<_>>(),
            "named_requests": self.book.len(),
            "duties": if self.duties.lock().leased(now) { "leased" } else { "none" },
            "set_aside": self.set_aside(),
            "counters": {
                "equal": counts.equal_comparisons, "different": counts.different_comparisons, "taken": counts.merged_items,
                "turned_down": counts.rejected_items, "damaged": counts.damaged_chunks, "bytes": counts.sent_chunk_bytes,
                "repaired": counts.resolved_conflicts,
            },
        })
    }

    fn set_aside(&self) -> Vec<String> {
        let items = self.replica.conflicting_keys().map(|key| format!("{key:?}"));
        let policies = self.policy_apart.iter().map(|name| format!("the policy's document at {name}"));
        items.chain(policies).collect()
    }

    /// All that lasts: as operators read it, and in the bytes that `import` takes, which keep each figure to the last digit.
    pub fn export(&self) -> Json {
        let item = |(key, value): (Key, Value)| {
            let bytes = postcard::to_allocvec(&(&key, &value)).unwrap_or_default();
            let hex: String = bytes.iter().map(|byte| format!("{byte:02x}")).collect();
            let shown = serde_json::to_value(&value).unwrap_or_default();
            json!({ "key": format!("{key:?}"), "value": shown, "bytes": hex })
        };
        json!({ "form": 1, "items": self.replica.persistent_items().1.into_iter().map(item).collect::<Vec<_>>() })
    }

    /// Takes an export in, by the same rules as another's copy. How many items were taken, were known, were turned down.
    pub fn import(&mut self, now: Micros, export: &Json) -> Result<(usize, usize, usize), String> {
        if export["form"] != 1 {
            return Err(format!("form: must be 1, and is {}", export["form"]));
        }
        let items = export["items"].as_array().ok_or("items: is missing")?;
        let (mut taken, mut known, mut not, mut news) = (0, 0, 0, Vec::new());
        for item in items {
            let read = item["bytes"].as_str().and_then(bytes_of);
            let read = read.and_then(|bytes| postcard::from_bytes::<(Key, Value)>(&bytes).ok());
            match read.map(|(key, value)| {
                (self.replica.merge(now, Owner::from_name(&self.me), key.clone(), value), key)
            }) {
                Some((Ok(true), key)) => {
                    taken += 1;
                    news.push(key);
                }
                Some((Ok(false), _)) => known += 1,
                _ => not += 1,
            }
        }
        self.merged(now, news);
        Ok((taken, known, not))
    }
}

/// Bytes from their hexadecimal digits.
fn bytes_of(hex: &str) -> Option<Vec<u8>> {
    let digits = hex.as_bytes().chunks(2);
    digits.map(|pair| u8::from_str_radix(std::str::from_utf8(pair).ok()?, 16).ok()).collect()
}

//! The ledger: parts in one process, with messages that are lost, repeated and reordered, and stores that are damaged.
#![cfg(feature = "cluster")]

use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet};
use std::io::Write;
use std::path::PathBuf;
use std::rc::Rc;

use croftsill::control::policy::Silence;
use croftsill::control::state::{Agreed, ChangeId, Command, Ended, Evidence, Peer, Session};
use croftsill::ledger::store::{Batch, Disk, Loaded, Stable, StoreError};
use croftsill::ledger::types::{Message, decode, encode};
use croftsill::ledger::{Ledger, SNAPSHOT_EVERY, number};
use proptest::prelude::*;

/// A store in memory that outlives its ledger, and fails when it is told to.
#[derive(Clone, Default)]
struct Memory(Rc<RefCell<(Loaded, bool)>>);

impl Stable for Memory {
    fn write(&mut self, batch: &Batch) -> Result<(), StoreError> {
        let (kept, full) = &mut *self.0.borrow_mut();
        if *full {
            return Err(StoreError::File(PathBuf::from("memory"), "full".into()));
        }
        if let Some(snap) = &batch.snap {
            kept.entries.retain(|e| batch.cut_before.is_some() && e.index > snap.index);
            kept.snap = Some(snap.clone());
        }
        if let Some(first) = batch.entries.first() {
            kept.entries.retain(|e| e.index < first.index);
        }
        kept.entries.extend(batch.entries.iter().cloned());
        kept.hard = batch.hard.or(kept.hard);
        Ok(())
    }
}

fn peer(name: &str) -> Peer {
    Peer { name: name.into(), address: "127.0.0.1:1".parse().expect("an address"), site: "a".into() }
}

/// Some ledgers and what is on its way between them.
struct World {
    names: Vec<&'static str>,
    stores: BTreeMap<&'static str, Memory>,
    up: BTreeMap<&'static str, Ledger<Memory>>,
    on_the_way: Vec<Message>,
    random: u64,
}

impl World {
    fn new(names: &[&'static str]) -> Self {
        let mut world = World {
            names: names.to_vec(),
            stores: names.iter().map(|name| (*name, Memory::default())).collect(),
            up: BTreeMap::new(),
            on_the_way: Vec::new(),
            random: 7,
        };
        names.iter().for_each(|name| world.start(name));
        world
    }

    fn start(&mut self, name: &'static str) {
        let store = self.stores[name].clone();
        let loaded = store.0.borrow().0.clone();
        let founders = Agreed::new(self.names.iter().map(|name| peer(name)));
        self.up.insert(name, Ledger::open(name, Some(founders), store, loaded).expect("a ledger"));
    }

    fn draw(&mut self, below: u64) -> u64 {
        self.random =
            self.random.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
        (self.random >> 33) % below
    }

    fn drain(&mut self) {
        for ledger in self.up.values_mut() {
            self.on_the_way.extend(ledger.drain().expect("a store that holds").messages);
        }
    }

    /// One tick, and all messages in an order of their own, a part of them lost or twice.
    fn pass(&mut self, loss: u64) {
        self.up.values_mut().for_each(Ledger::tick);
        self.drain();
        for _ in 0..4 {
            for message in std::mem::take(&mut self.on_the_way) {
                let fate = self.draw(100);
                let times = if fate < loss {
                    0
                } else if fate < 2 * loss {
                    2
                } else {
                    1
                };
                for _ in 0..times {
                    let from = self.names.iter().find(|name| number(name) == message.from).copied();
                    let to = self.names.iter().find(|name| number(name) == message.to).copied();
                    if let (Some(from), Some(ledger)) = (from, to.and_then(|to| self.up.get_mut(to))) {
                        ledger.step(from, message.clone()).expect("a message in good order");
                    }
                }
            }
            self.drain();
            let turn = self.draw(self.on_the_way.len().max(1) as u64) as usize;
            self.on_the_way.rotate_left(turn);
        }
    }

    fn leader(&mut self, loss: u64) -> &'static str {
        for _ in 0..600 {
            let led = self.up.iter().find(|(_, ledger)| ledger.leads()).map(|(name, _)| *name);
            if let Some(name) = led {
                return name;
            }
            self.pass(loss);
        }
        panic!("no leader after 600 ticks");
    }

    /// Proposes at whoever leads until it is applied everywhere that is up.
    fn agree(&mut self, command: &Command, loss: u64, applied: impl Fn(&Agreed) -> bool) {
        for _ in 0..600 {
            if self.up.values().all(|ledger| applied(ledger.agreed())) {
                return;
            }
            let leader = self.leader(loss);
            if let Some(ledger) = self.up.get_mut(leader).filter(|ledger| !applied(ledger.agreed())) {
                ledger.propose(command);
            }
            self.pass(loss);
        }
        panic!("not agreed on after 600 ticks: {command:?}");
    }

    /// Another one joins, with an empty store, and registers.
    fn join(&mut self, name: &'static str) {
        self.agree(&Command::Join(peer(name)), 0, |agreed| agreed.members.contains_key(name));
        self.names.push(name);
        let store = Memory::default();
        self.stores.insert(name, store.clone());
        self.up.insert(name, Ledger::open(name, None, store, Loaded::default()).expect("a ledger"));
        self.register(name, 8, 0);
    }

    fn register(&mut self, name: &str, session: u64, loss: u64) {
        let command = Command::Register { name: name.into(), session: Session(session) };
        self.agree(&command, loss, |agreed| agreed.sessions.get(name) == Some(&Session(session)));
    }
}

#[test]
fn all_agree_though_messages_are_lost_repeated_and_reordered() {
    let mut world = World::new(&["a", "b", "c"]);
    for n in 0..20 {
        world.register(["a", "b", "c"][n as usize % 3], n, 20);
    }
    let agreed: BTreeSet<_> = world.up.values().map(|ledger| encode(ledger.agreed())).collect();
    assert_eq!(agreed.len(), 1);
}

#[test]
fn a_minority_agrees_on_nothing_and_a_returning_one_catches_up() {
    let mut world = World::new(&["a", "b", "c"]);
    world.register("a", 1, 0);
    let leader = world.leader(0);
    let lost: Vec<_> = world.names.iter().copied().filter(|name| *name != leader).collect();
    lost.iter().for_each(|name| drop(world.up.remove(name)));
    world
        .up
        .get_mut(leader)
        .expect("it is up")
        .propose(&Command::Register { name: "b".into(), session: Session(9) });
    (0..60).for_each(|_| world.pass(0));
    assert_eq!(world.up[leader].agreed().sessions.get("b"), None);
    lost.iter().for_each(|name| world.start(name));
    world.register("c", 3, 0);
    assert_eq!(world.up["a"].agreed(), world.up["b"].agreed());
}

#[test]
fn a_restart_of_all_forgets_nothing_that_was_agreed_on() {
    let mut world = World::new(&["a", "b", "c"]);
    world.register("b", 5, 0);
    world.up.clear();
    world.on_the_way.clear();
    world.names.clone().into_iter().for_each(|name| world.start(name));
    world.register("c", 6, 0);
    assert!(world.up.values().all(|ledger| ledger.agreed().sessions.get("b") == Some(&Session(5))));
}

/// Past a snapshot the log is cut off: one that was away for longer gets the snapshot, ended changes and all.
#[test]
fn one_that_was_away_for_longer_than_the_log_reaches_catches_up_by_a_snapshot() {
    let mut world = World::new(&["a", "b", "c"]);
    world.register("a", 0, 0);
    let leader = world.leader(0);
    let away = world.names.iter().copied().find(|name| *name != leader).expect("another");
    world.up.remove(away);
    let id = ChangeId(77);
    let (by, document) = ("a".to_owned(), "x".to_owned());
    let propose = Command::Propose { id, base: None, by, document, silence: Silence::Serve };
    world.agree(&propose, 0, |agreed| agreed.known(id));
    let abort = Command::Abort { id, who: vec!["b".into()], why: "no".into() };
    world.agree(&abort, 0, |agreed| agreed.ended(id).is_some());
    for n in 0..SNAPSHOT_EVERY + 20 {
        world.register("a", 100 + n, 0);
    }
    let kept = world.stores[leader].0.borrow().0.entries.len() as u64;
    assert!(kept < SNAPSHOT_EVERY, "{kept} entries are kept");
    world.start(away);
    world.register("b", 3, 0);
    assert_eq!(world.up[away].agreed(), world.up[leader].agreed());
    // And a restart goes on from the snapshot.
    world.up.remove(leader);
    world.start(leader);
    world.register("c", 4, 0);
    assert!(world.up[leader].agreed().ended(id).is_some());
}

#[test]
fn members_join_and_leave_through_the_log() {
    let mut world = World::new(&["a", "b", "c"]);
    world.join("d");
    assert_eq!(world.up["d"].voters(), ["a", "b", "c"]);
    world.up.remove("d");
    let leader = world.leader(0);
    let gone = world.names.iter().copied().find(|name| *name != leader && *name != "d").expect("another");
    world.up.remove(gone);
    let command = Command::Remove { name: gone.into() };
    world.agree(&command, 0, |agreed| !agreed.members.contains_key(gone));
    assert_eq!(world.up[leader].voters().len(), 2);
}

#[test]
fn a_learner_takes_a_lost_voter_s_place() {
    let mut world = World::new(&["a", "b", "c"]);
    let promote = |world: &mut World| {
        for _ in 0..100 {
            let leader = world.leader(0);
            let ledger = world.up.get_mut(leader).expect("it is up");
            if let Some(command) = ledger.to_promote() {
                assert!(ledger.propose(&command));
            }
            world.pass(0);
        }
    };
    world.join("d");
    promote(&mut world);
    assert_eq!(world.up["d"].voters(), ["a", "b", "c"], "a fourth vote survives no more losses than three");
    let leader = world.leader(0);
    let lost = world.names.iter().copied().find(|name| *name != leader && *name != "d").expect("another");
    world.up.remove(lost);
    world.agree(&Command::Remove { name: lost.into() }, 0, |agreed| !agreed.members.contains_key(lost));
    promote(&mut world);
    assert!(world.up.values().all(|l| l.voters().len() == 3 && l.voters().contains(&"d".to_owned())));
    // Its vote counts: with another one lost, it and the one that is left agree.
    world.up.remove(leader);
    world.register("d", 9, 0);
    // And it outlasts a restart.
    world.up.remove("d");
    world.on_the_way.clear();
    let store = world.stores["d"].clone();
    let loaded = store.0.borrow().0.clone();
    world.up.insert("d", Ledger::open("d", None, store, loaded).expect("a ledger"));
    world.register("d", 10, 0);
    assert!(world.up["d"].voters().contains(&"d".to_owned()));
}

#[test]
fn votes_grow_in_twos_up_to_five() {
    let mut world = World::new(&["a", "b", "c"]);
    ["d", "e", "f"].into_iter().for_each(|name| world.join(name));
    for _ in 0..100 {
        let leader = world.leader(0);
        let ledger = world.up.get_mut(leader).expect("it is up");
        let command = ledger.to_promote();
        command.map(|command| ledger.propose(&command));
        world.pass(0);
    }
    assert!(world.up.values().all(|ledger| ledger.voters().len() == 5));
}

#[test]
fn what_cannot_be_stored_is_not_acknowledged() {
    let mut world = World::new(&["a", "b", "c"]);
    world.register("a", 1, 0);
    let leader = world.leader(0);
    let full: Vec<_> = world.names.iter().copied().filter(|name| *name != leader).collect();
    full.iter().for_each(|name| world.stores[name].0.borrow_mut().1 = true);
    let ledger = world.up.get_mut(leader).expect("it is up");
    ledger.propose(&Command::Register { name: "b".into(), session: Session(2) });
    let sent = ledger.drain().expect("its own store holds").messages;
    for message in sent {
        let to = full.iter().find(|name| number(name) == message.to).expect("a follower");
        let follower = world.up.get_mut(to).expect("it is up");
        follower.step(leader, message).expect("in good order");
        assert!(follower.drain().is_err(), "a follower that cannot store goes on");
    }
    assert_eq!(world.up[leader].agreed().sessions.get("b"), None);
}

fn disk(path: &std::path::Path, cluster: &str) -> Result<(Disk, Loaded), StoreError> {
    Disk::open(path, cluster, "a")
}

fn filled(path: &std::path::Path) {
    let (disk, loaded) = disk(path, "one").expect("a new store");
    let mut ledger = Ledger::open("a", Some(Agreed::new([peer("a")])), disk, loaded).expect("a ledger");
    for n in 0..400 {
        ledger.tick();
        ledger.drain().expect("it stores");
        ledger.propose(&Command::Register { name: "a".into(), session: Session(n) });
    }
    ledger.drain().expect("it stores");
}

#[test]
fn a_store_keeps_all_over_a_restart_and_belongs_to_one_conductor_of_one_cluster() {
    let folder = tempfile::tempdir().expect("a folder");
    let path = folder.path().join("store");
    filled(&path);
    let (store, loaded) = disk(&path, "one").expect("the store");
    let mut ledger = Ledger::open("a", None, store, loaded).expect("a ledger");
    for _ in 0..60 {
        ledger.tick();
        ledger.drain().expect("it stores");
    }
    assert_eq!(ledger.agreed().sessions.get("a"), Some(&Session(399)));
    drop(ledger);
    let line = |fault: StoreError| fault.to_string();
    assert!(
        line(disk(&path, "two").err().expect("another cluster")).contains("belongs to the cluster \"one\"")
    );
    let other = Disk::open(&path, "one", "b").err().expect("another conductor");
    assert!(line(other).contains("belongs to the conductor \"a\""));
}

/// Whatever becomes of the file, opening it gives all or one plain error, never a part.
#[test]
fn torn_cut_and_corrupted_stores_are_turned_down_or_whole() {
    let folder = tempfile::tempdir().expect("a folder");
    let whole = folder.path().join("whole");
    filled(&whole);
    let bytes = std::fs::read(&whole).expect("the store");
    let expected = {
        let (_, loaded) = disk(&whole, "one").expect("the store");
        (loaded.snap, loaded.entries)
    };
    let mut seen = [0, 0];
    for n in 0..24 {
        let path = folder.path().join(format!("damaged-{n}"));
        let mut damaged = bytes.clone();
        match n % 3 {
            0 => damaged.truncate(bytes.len() * (n + 1) / 26),
            1 => damaged[bytes.len() * n / 26..][..64].iter_mut().for_each(|b| *b ^= 0xA5),
            _ => damaged[bytes.len() * n / 26..].iter_mut().for_each(|b| *b = 0),
        }
        std::fs::File::create(&path).and_then(|mut file| file.write_all(&damaged)).expect("a file");
        match std::panic::catch_unwind(|| disk(&path, "one").map(|(_, loaded)| loaded)) {
            Ok(Ok(loaded)) => {
                assert_eq!((loaded.snap, loaded.entries), expected, "case {n}");
                seen[0] += 1;
            }
            Ok(Err(fault)) => {
                assert_eq!(fault.to_string().lines().count(), 1);
                seen[1] += 1;
            }
            Err(_) => panic!("case {n}: the store ends the process"),
        }
    }
    assert!(seen[1] > 0, "no damage was found");
}

/// Shared state in the same store: what was kept comes back; a damaged item is left out, a damaged name is not forgotten.
#[test]
fn a_shelf_keeps_items_and_names_and_tells_damaged_ones_apart() {
    use croftsill::replica::idempotency::{ClaimId, ClaimRecord, RequestName, Stage};
    use croftsill::replica::share::UnsavedChanges;
    use croftsill::replica::store::{Key, Replica};
    let folder = tempfile::tempdir().expect("a folder");
    let path = folder.path().join("ledger.redb");
    let mut replica = Replica::new("a", 1_000);
    replica.record_return(1_000, "w1", Some(1));
    replica.record_return(1_000, "w2", Some(2));
    let items: Vec<_> =
        replica.persistent_items().1.into_iter().map(|(key, value)| (key, Some(value))).collect();
    let held = ClaimRecord {
        claim_id: ClaimId { session: Session(3), number: 4 },
        stage: Stage::Ran,
        last_heard_at: 5,
    };
    let names = [(RequestName(1), Some(held)), (RequestName(2), Some(held))].into();
    let reached = Some((7, [("b".to_owned(), (8, 9))].into()));
    let (disk, _) = disk(&path, "c").expect("a store");
    let state = disk.state();
    state
        .write(&UnsavedChanges { items, claims: names, sync_progress: reached.clone() })
        .expect("it is kept");
    let kept = state.load().expect("it is read");
    assert_eq!((kept.items.len(), kept.claims.len(), &kept.sync_progress), (2, 2, &reached));
    let gone = [(RequestName(2), None)].into();
    state.write(&UnsavedChanges { claims: gone, ..UnsavedChanges::default() }).expect("it is kept");
    drop((disk, state));
    use redb::ReadableTable as _;
    // A bit of one item and of one name is turned, each behind its checksum.
    let database = redb::Database::open(&path).expect("the file");
    let write = database.begin_write().expect("a transaction");
    {
        let items = redb::TableDefinition::<&[u8], &[u8]>::new("items");
        let mut items = write.open_table(items).expect("a table");
        let key = encode(&Key::Return("w2".into()));
        let mut value = items.get(key.as_slice()).expect("a row").expect("it is there").value().to_vec();
        *value.last_mut().expect("a byte") ^= 1;
        items.insert(key.as_slice(), value.as_slice()).expect("a row");
        let names = redb::TableDefinition::<u128, &[u8]>::new("names");
        let mut names = write.open_table(names).expect("a table");
        names.insert(1, [0_u8; 30].as_slice()).expect("a row");
    }
    write.commit().expect("it is kept");
    drop(database);
    let (disk, _) = self::disk(&path, "c").expect("a store");
    let kept = disk.state().load().expect("it is read");
    assert_eq!(kept.items.iter().map(|(key, _)| key.clone()).collect::<Vec<_>>(), [Key::Return("w1".into())]);
    assert_eq!(kept.claims.len(), 1, "a name that was given up is gone");
    assert_eq!((kept.claims[0].0, kept.claims[0].1.stage), (RequestName(1), Stage::MayHaveRun));
}

/// What the version before kept is read: the same without operators' marks.
#[test]
fn what_the_version_before_agreed_on_is_read() {
    let mut agreed = Agreed::new([peer("a"), peer("b")]);
    agreed.apply(&Command::Register { name: "a".into(), session: Session(5) });
    let bytes = encode(&agreed);
    // An empty set of marks is two empty lists at the end: the form before ends where they begin.
    let before = &bytes[..bytes.len() - 2];
    assert_eq!(Agreed::decode(before).expect("the form before"), agreed);
    assert_eq!(Agreed::decode(&bytes).expect("this form"), agreed);
    assert!(Agreed::decode(&bytes[..bytes.len() - 3]).is_err());
    assert!(Agreed::decode(&[bytes, vec![0]].concat()).is_err());
}

fn commands() -> impl Strategy<Value = Command> {
    let sessions = proptest::collection::btree_set(any::<u64>().prop_map(Session), 0..4);
    prop_oneof![
        (any::<u64>(), any::<Option<u64>>(), "[a-c]", ".{0,40}").prop_map(|(id, base, by, document)| {
            Command::Propose {
                id: ChangeId(id % 3),
                base: base.map(|b| b % 3),
                by,
                document,
                silence: Silence::Stop,
            }
        }),
        (any::<u64>(), sessions.clone())
            .prop_map(|(id, prepared)| Command::Decide { id: ChangeId(id % 3), prepared }),
        (any::<u64>(), sessions).prop_map(|(id, fenced)| Command::Activate { id: ChangeId(id % 3), fenced }),
        (any::<u64>(), ".{0,9}").prop_map(|(id, why)| Command::Abort {
            id: ChangeId(id % 3),
            who: vec![why.clone()],
            why
        }),
        ("[a-d]", any::<u64>()).prop_map(|(name, s)| Command::Register { name, session: Session(s % 4) }),
        any::<u64>().prop_map(|s| Command::Expire { session: Session(s % 4), evidence: Evidence::Lapsed }),
        "[a-d]".prop_map(|name| Command::Join(peer(&name))),
        "[a-d]".prop_map(|name| Command::Remove { name }),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::default() })]

    /// Whatever entries come in whatever order: revisions only grow, an ended change stays as it ended, a change comes
    /// into force only after it was decided, and what is agreed on survives its way over the wire and the disk.
    #[test]
    fn any_log_keeps_the_promises(log in proptest::collection::vec(commands(), 0..60)) {
        let mut agreed = Agreed::new([peer("a"), peer("b")]);
        for command in &log {
            let before = agreed.clone();
            agreed.apply(command);
            prop_assert!(agreed.revision == before.revision || agreed.revision == before.revision + 1);
            if agreed.revision > before.revision {
                let decided = before.change.is_some_and(|c| c.phase == croftsill::control::state::Phase::Decided);
                prop_assert!(decided);
            }
            for past in &before.history {
                let ended: Option<&Ended> = agreed.ended(past.id);
                prop_assert_eq!(ended, before.history.iter().rev().find(|p| p.id == past.id).map(|p| &p.ended));
            }
            prop_assert!(agreed.sessions.keys().all(|name| agreed.members.contains_key(name)));
            prop_assert_eq!(&decode::<Agreed>(&encode(&agreed)).expect("it decodes"), &agreed);
            prop_assert_eq!(&decode::<Command>(&encode(command)).expect("it decodes"), command);
        }
    }

    /// Bytes from a peer are a message or an error; one that is taken for a message and passes its check does no harm.
    #[test]
    fn any_bytes_are_a_message_or_an_error(bytes in proptest::collection::vec(any::<u8>(), 0..200)) {
        let _ = decode::<Agreed>(&bytes);
        let _ = decode::<Command>(&bytes);
        if let Ok(message) = decode::<Message>(&bytes) {
            let store = Memory::default();
            let mut ledger = Ledger::open("a", Some(Agreed::new([peer("a"), peer("b")])), store, Loaded::default())
                .expect("a ledger");
            let _ = ledger.step("b", message);
            let _ = ledger.drain();
        }
    }
}

//! The ledger: a replicated log by the `raft` library, as one object that is stepped and does no I/O of its own but for
//! its [`store`]. What it agrees on is [`Agreed`].

pub mod store;
pub mod types;

use std::collections::BTreeMap;

use raft::prelude::{ConfChange, Snapshot};
use raft::storage::MemStorage;
use raft::{Config, GetEntriesContext, RaftState, RawNode, StateRole, Storage};
use xxhash_rust::xxh3::xxh3_64;

use crate::control::state::{Agreed, Command};
use store::{Batch, Loaded, Stable, StoreError};
use types::{Entry, Hard, Message, Snap, Unfit};

/// Ticks without a leader after which a voter asks for votes, at least; twice that at most.
pub const ELECTION_TICKS: usize = 10;
/// Ticks between a leader's heartbeats.
const HEARTBEAT_TICKS: usize = 2;
/// Entries applied between snapshots; what lies before a snapshot is cut off.
pub const SNAPSHOT_EVERY: u64 = 256;
/// Most members that vote; the others learn.
pub const VOTERS: usize = 5;
/// Entries by which a learner that gets a vote may lag behind.
const PROMOTE_LAG: u64 = 32;
/// Most bytes of entries in one message: several documents, far below a frame.
const MESSAGE_BYTES: u64 = 128 * 1024;

/// Why the ledger does not go on.
#[derive(Debug, thiserror::Error)]
pub enum LedgerError {
    /// Nothing can be kept any more.
    #[error("{0}")]
    Store(#[from] StoreError),
    /// The library gave up.
    #[error("the log cannot go on: {0}")]
    Raft(#[from] raft::Error),
    /// What the store or a snapshot holds cannot be read.
    #[error("{0}")]
    Unfit(#[from] Unfit),
}

/// A conductor's number in the log: the same for the same name everywhere.
pub fn number(name: &str) -> u64 {
    xxh3_64(name.as_bytes()).max(1)
}

/// The log as the library reads it. The library's own store in memory makes no snapshots with content.
struct LogStorage {
    log: MemStorage,
    snap: Snapshot,
}

impl Storage for LogStorage {
    fn initial_state(&self) -> raft::Result<RaftState> {
        self.log.initial_state()
    }

    fn entries(
        &self, low: u64, high: u64, most: impl Into<Option<u64>>, context: GetEntriesContext,
    ) -> raft::Result<Vec<raft::prelude::Entry>> {
        self.log.entries(low, high, most, context)
    }

    fn term(&self, index: u64) -> raft::Result<u64> {
        self.log.term(index)
    }

    fn first_index(&self) -> raft::Result<u64> {
        self.log.first_index()
    }

    fn last_index(&self) -> raft::Result<u64> {
        self.log.last_index()
    }

    fn snapshot(&self, _request: u64, _to: u64) -> raft::Result<Snapshot> {
        Ok(self.snap.clone())
    }
}

/// What came of a step.
#[derive(Debug, Default)]
pub struct Output {
    /// To be sent, by the receiver's number.
    pub messages: Vec<Message>,
    /// What was applied, a line each.
    pub applied: Vec<String>,
    /// Whether what is agreed on was applied to at all.
    pub moved: bool,
    /// Whether members came or went.
    members_moved: bool,
}

/// One conductor's part of the ledger.
pub struct Ledger<S> {
    node: RawNode<LogStorage>,
    store: S,
    agreed: Agreed,
    applied: u64,
    names: BTreeMap<u64, String>,
}

impl<S: Stable> Ledger<S> {
    /// Goes on from what the store holds. An empty store begins with these founders, or, for one that joins a fleet
    /// later, with nothing: the others send it all.
    pub fn open(
        name: &str, founders: Option<Agreed>, mut store: S, loaded: Loaded,
    ) -> Result<Self, LedgerError> {
        let mut loaded = loaded;
        if loaded.snap.is_none()
            && let Some(agreed) = founders
        {
            // The order in which the file lists them must not matter, so the names' own order says who votes.
            let all: Vec<_> = agreed.members.keys().map(|name| number(name)).collect();
            let (voters, learners) = all.split_at(all.len().min(VOTERS));
            let (voters, learners) = (voters.to_vec(), learners.to_vec());
            let snap = Snap { index: 1, term: 1, voters, learners, data: types::encode(&agreed) };
            store.write(&Batch { snap: Some(snap.clone()), ..Batch::default() })?;
            loaded.snap = Some(snap);
        }
        let log = MemStorage::new();
        let mut storage = LogStorage { log, snap: Snapshot::default() };
        let mut agreed = Agreed::default();
        let mut applied = 0;
        if let Some(snap) = &loaded.snap {
            agreed = Agreed::decode(&snap.data).map_err(Unfit::from)?;
            applied = snap.index;
            storage.snap = snap.to_raft();
            storage.log.wl().apply_snapshot(storage.snap.clone())?;
        }
        let entries: Result<Vec<_>, _> =
            loaded.entries.iter().filter(|e| e.index > applied).map(Entry::to_raft).collect();
        storage.log.wl().append(&entries?)?;
        if let Some(hard) = loaded.hard {
            let last = storage.log.last_index()?;
            let commit = hard.commit.clamp(applied, last);
            storage.log.wl().set_hardstate(Hard { commit, ..hard }.to_raft());
        }
        let config = Config {
            id: number(name),
            election_tick: ELECTION_TICKS,
            heartbeat_tick: HEARTBEAT_TICKS,
            max_size_per_msg: MESSAGE_BYTES,
            max_inflight_msgs: 16,
            check_quorum: true,
            pre_vote: true,
            applied,
            ..Config::default()
        };
        let quiet = slog::Logger::root(slog::Discard, slog::o!());
        let node = RawNode::new(&config, storage, &quiet)?;
        let mut ledger = Ledger { node, store, agreed, applied, names: BTreeMap::new() };
        ledger.name_members();
        Ok(ledger)
    }

    /// What is agreed on, as far as applied here.
    pub fn agreed(&self) -> &Agreed {
        &self.agreed
    }

    /// The place in the log up to which that is.
    pub fn applied(&self) -> u64 {
        self.applied
    }

    /// The name of a member, by its number.
    pub fn name(&self, number: u64) -> Option<&str> {
        self.names.get(&number).map(String::as_str)
    }

    /// Whether this conductor leads.
    pub fn leads(&self) -> bool {
        self.node.raft.state == StateRole::Leader
    }

    /// The leader's name as far as known.
    pub fn leader(&self) -> Option<&str> {
        self.name(self.node.raft.leader_id)
    }

    /// The term: it grows with each election.
    pub fn term(&self) -> u64 {
        self.node.raft.term
    }

    /// The voters' names.
    pub fn voters(&self) -> Vec<String> {
        let conf = self.node.raft.prs().conf().to_conf_state();
        let mut names: Vec<_> =
            conf.voters.iter().filter_map(|number| self.name(*number)).map(str::to_owned).collect();
        names.sort();
        names
    }

    /// Time has passed.
    pub fn tick(&mut self) {
        self.node.tick();
    }

    /// A message came from this member. One that could not come from a member in good order is turned down.
    pub fn step(&mut self, from: &str, message: Message) -> Result<(), Unfit> {
        let raft = &self.node.raft;
        message.check(number(from), raft.id, raft.raft_log.last_index())?;
        // What the library itself turns down changes nothing.
        let _ = self.node.step(message.to_raft()?);
        Ok(())
    }

    /// This member's connection is down.
    pub fn unreachable(&mut self, name: &str) {
        self.node.report_unreachable(number(name));
    }

    /// Proposes an entry. Only a leader can, and nothing says that it will be agreed on.
    pub fn propose(&mut self, command: &Command) -> bool {
        if matches!(command, Command::Join(peer) if self.agreed.members.contains_key(&peer.name)) {
            return false;
        }
        let bytes = types::encode(command);
        let proposed = match types::conf_change(command) {
            Some(change) if self.may(&change) => self.node.propose_conf_change(bytes, change),
            Some(_) => return false,
            None => self.node.propose(Vec::new(), bytes),
        };
        self.leads() && proposed.is_ok()
    }

    /// The last voter stays.
    fn may(&self, change: &ConfChange) -> bool {
        let conf = self.node.raft.prs().conf().to_conf_state();
        change.change_type != raft::prelude::ConfChangeType::RemoveNode || conf.voters != [change.node_id]
    }

    /// As a leader: the learner that should get a vote. A lost voter's place is filled by one that is registered and keeps
    /// up, of the site with the fewest votes. An even number of votes survives no more losses than the odd one below it,
    /// so learners beyond it are taken in twos.
    pub fn to_promote(&self) -> Option<Command> {
        if !self.leads() || self.node.raft.has_pending_conf() {
            return None;
        }
        let (progress, last) = (self.node.raft.prs(), self.node.raft.raft_log.last_index());
        let conf = progress.conf().to_conf_state();
        let site = |number: &u64| Some(self.agreed.members.get(self.name(*number)?)?.site.as_str());
        let votes = |of: &str| conf.voters.iter().filter(|voter| site(voter) == Some(of)).count();
        let keeps_up = |peer: &&crate::control::state::Peer| {
            let number = number(&peer.name);
            let at = progress.get(number).filter(|p| p.recent_active && p.matched + PROMOTE_LAG >= last);
            at.is_some() && conf.learners.contains(&number) && self.agreed.sessions.contains_key(&peer.name)
        };
        let mut fit: Vec<_> = self.agreed.members.values().filter(keeps_up).collect();
        fit.sort_by_key(|peer| votes(&peer.site));
        let wanted = if conf.voters.len() % 2 == 0 { 1 } else { 2 };
        let room = conf.voters.len() + wanted <= VOTERS && fit.len() >= wanted;
        fit.first().filter(|_| room).map(|peer| Command::Promote { name: peer.name.clone() })
    }

    /// Whether anything is due.
    pub fn is_ready(&self) -> bool {
        self.node.has_ready()
    }

    /// Carries out what is due: stores, applies, and gives out what is to be sent.
    pub fn drain(&mut self) -> Result<Output, LedgerError> {
        let mut out = Output::default();
        while self.node.has_ready() {
            let mut ready = self.node.ready();
            out.send(ready.take_messages())?;
            let snap = ready.snapshot();
            let snap = (!snap.is_empty()).then(|| Snap::from_raft(snap));
            let entries: Result<Vec<_>, _> = ready.entries().iter().map(Entry::from_raft).collect();
            let hard = ready.hs().map(Hard::from_raft);
            // What is acknowledged before it is stored is lost: nothing below goes out if this fails.
            self.store.write(&Batch { snap: snap.clone(), entries: entries?, hard, cut_before: None })?;
            if let Some(snap) = snap {
                self.agreed = Agreed::decode(&snap.data).map_err(Unfit::from)?;
                self.applied = snap.index;
                let storage = self.node.mut_store();
                storage.snap = snap.to_raft();
                storage.log.wl().apply_snapshot(storage.snap.clone())?;
                self.name_members();
                out.applied.push(format!("all up to entry {} was taken over from the leader", snap.index));
                out.moved = true;
            }
            self.node.mut_store().log.wl().append(ready.entries())?;
            if let Some(hard) = ready.hs() {
                self.node.mut_store().log.wl().set_hardstate(hard.clone());
            }
            let committed = ready.take_committed_entries();
            self.apply(committed, &mut out)?;
            out.send(ready.take_persisted_messages())?;
            let mut light = self.node.advance(ready);
            if let Some(commit) = light.commit_index() {
                self.node.mut_store().log.wl().mut_hard_state().commit = commit;
            }
            out.send(light.take_messages())?;
            let committed = light.take_committed_entries();
            self.apply(committed, &mut out)?;
            self.node.advance_apply();
        }
        // One that joins is sent a snapshot, and takes one only that names it.
        let every = if out.members_moved { 1 } else { SNAPSHOT_EVERY };
        self.snapshot(every)?;
        Ok(out)
    }

    fn apply(&mut self, entries: Vec<raft::prelude::Entry>, out: &mut Output) -> Result<(), LedgerError> {
        for entry in entries {
            self.applied = entry.index;
            let entry = Entry::from_raft(&entry)?;
            if entry.command.is_empty() {
                continue;
            }
            // Another version's entry that is not known here changes nothing here; its kind is turned down before.
            let Ok(command) = types::decode::<Command>(&entry.command) else { continue };
            // One that is a member already keeps the part that it has, and one that is none gets no vote.
            let member = |name| self.agreed.members.contains_key(name);
            let known = match &command {
                Command::Join(peer) => member(&peer.name),
                Command::Promote { name } => !member(name),
                _ => false,
            };
            if let Some(change) = types::conf_change(&command).filter(|_| entry.conf && !known) {
                // Not stored: a restart goes on from the last snapshot's members and applies this again.
                let conf = self.node.apply_conf_change(&change)?;
                self.node.mut_store().log.wl().set_conf_state(conf);
            }
            out.applied.extend(self.agreed.apply(&command));
            out.moved = true;
            if entry.conf {
                out.members_moved = true;
                self.name_members();
            }
        }
        Ok(())
    }

    /// Keeps all that is applied as one piece from time to time, and cuts the log before it off.
    fn snapshot(&mut self, every: u64) -> Result<(), LedgerError> {
        let last = self.node.store().snap.get_metadata().index;
        if self.applied < last + every {
            return Ok(());
        }
        let conf = self.node.raft.prs().conf().to_conf_state();
        let term = self.node.store().term(self.applied)?;
        let (voters, learners) = (conf.voters, conf.learners);
        let snap = Snap { index: self.applied, term, voters, learners, data: types::encode(&self.agreed) };
        self.store.write(&Batch {
            cut_before: Some(snap.index),
            snap: Some(snap.clone()),
            ..Batch::default()
        })?;
        let storage = self.node.mut_store();
        storage.snap = snap.to_raft();
        storage.log.wl().compact(snap.index)?;
        Ok(())
    }

    fn name_members(&mut self) {
        self.names = self.agreed.members.keys().map(|name| (number(name), name.clone())).collect();
    }
}

impl Output {
    fn send(&mut self, messages: Vec<raft::prelude::Message>) -> Result<(), Unfit> {
        for message in &messages {
            self.messages.push(Message::from_raft(message)?);
        }
        Ok(())
    }
}

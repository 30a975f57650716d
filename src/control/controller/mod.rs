//! Where links, ledger and the deciding parts of a policy change come together. It has a thread of its own: flushing to
//! disk must not hold up a request.

mod handle;
mod messages;
mod operations;
mod reporting;
mod sharing;

use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

pub use handle::{Call, GrantedClaim, Handle, Reply, StateUpdate};
use operations::PendingChange;
use rand::RngExt;
use tokio::net::TcpListener;
use tokio::sync::{mpsc, oneshot};
use tokio::task::{LocalSet, spawn_local};
use tokio::time::MissedTickBehavior;

use super::coordinator::Coordinator;
use super::gate::Gate;
use super::policy::Policy;
use super::shared_gate::{Active, SharedGate};
use super::state::{Agreed, ChangeId, Command, Revision, Session};
use crate::api::{Micros, Settings};
use crate::ledger::store::{Disk, StateStore};
use crate::ledger::{Ledger, LedgerError, number};
use crate::node::Clock;
use crate::peers::alive::{Alive, Change};
use crate::peers::link::{LinkEvent, Links, hear};
use crate::peers::roster::Roster;
use crate::peers::{Heartbeat, Observed, PeerMessage};
use crate::replica::idempotency::{ClaimDecision, ClaimId};
use crate::replica::share::{self, SharedState};
use crate::wire::Names;

/// One tick of the ledger.
const TICK: Duration = Duration::from_millis(50);
/// After which an entry that has not come is proposed again.
const PROPOSE_AGAIN: Micros = 300_000;
/// Between the questions of one whose store has failed to the others, each in turn.
const OBSERVE_EVERY: Micros = 200_000;
/// Messages and calls that wait.
const QUEUE_MOST: usize = 4_096;

/// Why the conductors' side cannot start.
#[derive(Debug, thiserror::Error)]
pub enum StartError {
    /// The store or what it holds.
    #[error("{0}")]
    Ledger(#[from] LedgerError),
    /// Its address.
    #[error("cannot listen for peers on {0}: {1}")]
    Listen(SocketAddr, std::io::Error),
    /// Its thread.
    #[error("cannot start the ledger's thread: {0}")]
    Thread(std::io::Error),
}

/// What the controller needs of the deployment.
pub struct Setup {
    /// The operator's file.
    pub roster: Roster,
    /// The conductor's own settings.
    pub settings: Settings,
    /// Their names.
    pub names: Names,
    /// The clock that the right is judged by.
    pub clock: Clock,
}

/// Opens the store and the peers' address, and starts the thread.
pub fn start(setup: Setup) -> Result<(Handle, mpsc::UnboundedReceiver<share::SharedStateEvent>), StartError> {
    let Roster { cluster, store, me, .. } = &setup.roster;
    // The address first: that nobody else holds it proves that this conductor's older process has ended.
    let listener = std::net::TcpListener::bind(me.address).map_err(|e| StartError::Listen(me.address, e))?;
    listener.set_nonblocking(true).map_err(|e| StartError::Listen(me.address, e))?;
    let (disk, loaded) = Disk::open(store, cluster, &me.name).map_err(LedgerError::from)?;
    let state_store = disk.state();
    let kept = state_store.load().map_err(LedgerError::from)?;
    let ledger = Ledger::open(&me.name, setup.roster.founders(), disk, loaded)?;
    let session = Session(rand::rng().random());
    let gate = Arc::new(SharedGate::new(Gate::new(session), setup.settings.clone()));
    let (share, unfit) = SharedState::new(&me.name, session, setup.clock.now(), kept);
    if unfit > 0 {
        tracing::warn!("state: {unfit} items of the store cannot be used and are taken from others");
    }
    let (calls, asked) = mpsc::channel(QUEUE_MOST);
    let (updates, updated) = mpsc::channel(QUEUE_MOST);
    // Unbounded: the serving side runs in the same process and reads nothing that it has to wait for.
    let (share_news, for_serving) = mpsc::unbounded_channel();
    let handle = Handle { calls, updates, name: me.name.clone(), duties: share.duties(), gate: gate.clone() };
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let runtime = runtime.map_err(StartError::Thread)?;
    let thread = std::thread::Builder::new().name("ledger".into());
    let run = move || {
        LocalSet::new().block_on(&runtime, async move {
            let (news, heard) = mpsc::channel(QUEUE_MOST);
            let (cluster, me) =
                (Rc::<str>::from(&*setup.roster.cluster), Rc::<str>::from(&*setup.roster.me.name));
            match TcpListener::from_std(listener) {
                Ok(listener) => drop(spawn_local(hear(
                    listener,
                    cluster.clone(),
                    me.clone(),
                    setup.roster.speak,
                    news.clone(),
                ))),
                Err(fault) => tracing::error!("peers: nobody can be heard: {fault}"),
            }
            let links = Links::new(cluster, me, setup.roster.speak, news);
            let alive = Alive::new(&setup.roster.me.name, setup.clock.now(), rand::rng().random());
            let (setup, ledger) = (setup, Some(ledger));
            Controller {
                setup,
                gate,
                links,
                alive,
                ledger,
                stopped: None,
                observed: None,
                observed_at: Micros::MIN / 2,
                coordinator: None,
                heartbeats: BTreeMap::new(),
                heartbeat: None,
                reported_at: Micros::MIN / 2,
                recent_proposals: Vec::new(),
                pending_changes: Vec::new(),
                rejected_proposals: VecDeque::new(),
                share,
                state_store,
                share_news,
                claims: BTreeMap::new(),
                pending_removals: Vec::new(),
                pending_marks: Vec::new(),
            }
            .run(heard, asked, updated)
            .await;
        });
    };
    thread.spawn(run).map_err(StartError::Thread)?;
    Ok((handle, for_serving))
}

/// What is agreed on as far as known here, by the own log or by the others' messages.
fn agreed<'a>(ledger: &'a Option<Ledger<Disk>>, observed: &'a Option<Observed>) -> Option<&'a Agreed> {
    ledger.as_ref().map(Ledger::agreed).or(observed.as_ref().map(|seen| &seen.agreed))
}

struct Controller {
    setup: Setup,
    gate: Arc<SharedGate>,
    links: Links,
    alive: Alive,
    /// None once nothing can be stored any more.
    ledger: Option<Ledger<Disk>>,
    stopped: Option<String>,
    /// Then: what the others say is agreed on. It keeps this conductor in step though it keeps no log.
    observed: Option<Observed>,
    observed_at: Micros,
    /// The leader's part, with the term that it was elected for.
    coordinator: Option<(u64, Coordinator)>,
    /// As a leader: when each last knew this conductor as one, on this clock.
    heartbeats: BTreeMap<String, Micros>,
    /// As a follower: the leader's last heartbeat, and from whom.
    heartbeat: Option<(String, Heartbeat)>,
    reported_at: Micros,
    /// Entries asked for lately.
    recent_proposals: Vec<(Command, Micros)>,
    pending_changes: Vec<PendingChange>,
    /// The last proposals that were turned down before they came to the ledger, with what was said.
    rejected_proposals: VecDeque<(ChangeId, Reply)>,
    share: SharedState,
    state_store: StateStore,
    share_news: mpsc::UnboundedSender<share::SharedStateEvent>,
    claims: BTreeMap<ClaimId, oneshot::Sender<(ClaimDecision, Option<ClaimId>)>>,
    /// Members that are to be removed, until when that is asked for.
    pending_removals: Vec<(String, Micros)>,
    /// Operators' decisions that wait to be agreed on, until when.
    pending_marks: Vec<(oneshot::Sender<Reply>, Micros)>,
}

impl Controller {
    async fn run(
        mut self, mut heard: mpsc::Receiver<LinkEvent>,
        mut calls: mpsc::Receiver<(Call, oneshot::Sender<Reply>)>, mut updates: mpsc::Receiver<StateUpdate>,
    ) {
        let mut ticks = tokio::time::interval(TICK);
        // A process that was stopped does not make up for the ticks that it slept through.
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let (mut link_events, mut updated) = (Vec::new(), Vec::new());
        self.apply_agreed();
        loop {
            tokio::select! {
                _ = ticks.tick() => self.tick(),
                _ = heard.recv_many(&mut link_events, 64) => {}
                _ = updates.recv_many(&mut updated, 64) => {}
                Some((call, answer)) = calls.recv() => self.on_call(call, answer),
            }
            updated.drain(..).for_each(|update| self.take_update(update));
            for event in link_events.drain(..) {
                self.on_link_event(event);
            }
            self.advance();
        }
    }

    fn tick(&mut self) {
        if let Some(ledger) = &mut self.ledger {
            ledger.tick();
        }
        let now = self.now();
        if let Some(seen) =
            self.observed.as_ref().filter(|_| now >= self.observed_at.saturating_add(OBSERVE_EVERY))
        {
            let peers: Vec<_> = seen.agreed.sessions.keys().filter(|name| *name != self.me()).collect();
            let turn = usize::try_from(now / OBSERVE_EVERY).unwrap_or(0);
            if let Some(peer) = peers.get(turn % peers.len().max(1)) {
                self.links.send(peer, PeerMessage::Observe(seen.applied));
            }
            self.observed_at = now;
        }
        for (to, datagram) in self.alive.due(now) {
            self.links.send(&to, PeerMessage::Alive(datagram));
        }
        self.tick_shared_state(now);
        for change in self.alive.changes() {
            match change {
                Change::Heard(name) => tracing::info!("peers: {name} is heard"),
                Change::Silent(name) => tracing::warn!("peers: {name} is silent"),
            }
        }
    }

    fn now(&self) -> Micros {
        self.setup.clock.now()
    }

    fn me(&self) -> &str {
        &self.setup.roster.me.name
    }

    /// Proposes, or asks the leader to; not twice within a short time.
    fn propose(&mut self, now: Micros, command: Command) {
        self.recent_proposals.retain(|(_, at)| now < at.saturating_add(PROPOSE_AGAIN));
        if self.recent_proposals.iter().any(|(asked, _)| *asked == command) {
            return;
        }
        let me = self.setup.roster.me.name.clone();
        let Some(ledger) = &mut self.ledger else {
            if let Some(leader) = self.observed.as_ref().and_then(|seen| seen.leader.as_ref()) {
                self.links.send(leader, PeerMessage::Ask(command.clone()));
                self.recent_proposals.push((command, now));
            }
            return;
        };
        if ledger.leads() {
            if !ledger.propose(&command) {
                return;
            }
        } else if let Some(leader) = ledger.leader().filter(|leader| *leader != me) {
            self.links.send(leader, PeerMessage::Ask(command.clone()));
        } else if matches!(&command, Command::Join(peer) if peer.name == me) {
            // One that is no member yet knows no leader: whoever hears it passes it on.
            self.links.names().for_each(|name| self.links.send(name, PeerMessage::Ask(command.clone())));
        } else {
            return;
        }
        self.recent_proposals.push((command, now));
    }

    /// Carries out all that is due.
    fn advance(&mut self) {
        // A proposal or an own message makes the ledger ready anew: nothing that is due waits for the next tick.
        for _ in 0..16 {
            let moved = match self.ledger.as_mut().map(Ledger::drain) {
                Some(Ok(output)) => {
                    for message in output.messages {
                        // One that joins is answered before it knows the members: it goes by its file.
                        let member = self.ledger.as_ref().and_then(|ledger| ledger.name(message.to));
                        let to =
                            member.or_else(|| self.links.names().find(|name| number(name) == message.to));
                        if let Some(to) = to {
                            self.links.send(to, PeerMessage::Ledger(message));
                        }
                    }
                    output.applied.iter().for_each(|line| tracing::info!("ledger: {line}"));
                    output.moved
                }
                Some(Err(fault)) => {
                    tracing::error!("ledger: stopped, this conductor goes by the others' messages: {fault}");
                    self.stopped = Some(fault.to_string());
                    self.observed = self.ledger.as_ref().map(|ledger| Observed {
                        applied: ledger.applied(),
                        leader: ledger.leader().map(str::to_owned),
                        agreed: ledger.agreed().clone(),
                    });
                    (self.ledger, self.coordinator) = (None, None);
                    // What it applied before it failed was not taken in yet.
                    true
                }
                None => false,
            };
            if moved {
                self.recent_proposals.clear();
                self.apply_agreed();
            }
            let now = self.now();
            self.act_as_leader(now);
            self.report_standing(now, moved);
            if !self.ledger.as_ref().is_some_and(Ledger::is_ready) {
                break;
            }
        }
        self.flush_shared_state();
        self.answer_waiting();
    }
}

/// A document over this deployment's settings.
fn policy_under(setup: &Setup, revision: Revision, document: &str) -> Result<Active, String> {
    let policy = Policy::parse(document).map_err(|fault| fault.to_string())?;
    let Names { classes, tenants, zones, .. } = &setup.names;
    let settings =
        policy.over(&setup.settings, classes, tenants, zones).map_err(|fault| fault.to_string())?;
    Ok(Active { revision, policy: Some(policy), settings })
}

#[cfg(test)]
pub(crate) mod tests;

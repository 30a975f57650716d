//! Where links, ledger and the deciding parts of a policy change come together. It has a thread of its own: flushing to
//! disk must not hold up a request.

use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use rand::RngExt;
use serde_json::{Value, json};
use tokio::net::TcpListener;
use tokio::sync::{mpsc, oneshot};
use tokio::task::{LocalSet, spawn_local};
use tokio::time::{MissedTickBehavior, timeout};

use super::coordinator::Coordinator;
use super::gate::Gate;
use super::policy::{Policy, digest};
use super::report::{Grant, Report as Standing};
use super::right::{Active, Right};
use super::state::{Agreed, ChangeId, Command, Ended, Phase, Revision, Session};
use super::{AUTHORITY, policy};
use crate::api::{Micros, Settings};
use crate::estimate::Learnt;
use crate::ledger::store::{Disk, StateStore};
use crate::ledger::{Ledger, LedgerError, number};
use crate::node::Clock;
use crate::peers::alive::{Alive, Change};
use crate::peers::link::{Links, News, hear};
use crate::peers::roster::Roster;
use crate::peers::{Beat, Observed, Word};
use crate::replica::marks::Subject;
use crate::replica::ran::{Decision, Name, Try};
use crate::replica::share::{self, Duties, Share};
use crate::replica::store::Report;
use crate::wire::Names;

/// One tick of the ledger.
const TICK: Duration = Duration::from_millis(50);
/// Between the words of one that votes, or is in a change, to the leader...
const REPORT_OFTEN: Micros = 150_000;
/// ...and of all others.
const REPORT_SELDOM: Micros = 700_000;
/// After which an entry that has not come is proposed again.
const ASK_AGAIN: Micros = 300_000;
/// For so long an operator's call waits for a change to end. Its answer is owed within a second.
const CALL_WAIT: Micros = 850_000;
/// For so long after its call was answered a proposal that is not in the ledger yet is asked for again: an election takes
/// longer than a call may.
const ASK_ON: Micros = 10_000_000;
/// Between the questions of one whose store has failed to the others, each in turn.
const OBSERVE_EVERY: Micros = 200_000;
/// News and calls that wait.
const WAITING: usize = 4_096;
/// Calls that wait for a change to end.
const CALLS_MOST: usize = 64;

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

/// What operators ask.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Call {
    /// Where all stands.
    Status,
    /// A new policy.
    Propose {
        /// The change's number.
        id: ChangeId,
        /// The document.
        document: String,
        /// The revision that it was made for.
        base: Option<Revision>,
    },
    /// How a change ended.
    Outcome(ChangeId),
    /// A policy's document.
    Document(Revision),
    /// A conductor is a member no longer.
    Remove(String),
    /// Something is out for maintenance, or drained.
    Mark(Subject),
    /// It is back.
    Lift(Subject),
    /// Where shared state stands.
    State,
    /// All of it that lasts.
    Export,
    /// Such an export, to be merged.
    Import(Value),
}

impl Call {
    /// A proposal under a number of its own.
    pub fn proposal(document: String, base: Option<Revision>) -> Self {
        Call::Propose { id: ChangeId(rand::rng().random()), document, base }
    }
}

/// What the serving side tells of itself.
#[derive(Debug)]
pub enum Told {
    /// What the module has spent and learnt.
    Figures(Box<Learnt>),
    /// How an instance was found.
    Report(String, Report),
    /// A named request is to be sent.
    Claim(Name, oneshot::Sender<(Decision, Option<Try>)>),
    /// Nothing was sent under this claim.
    Withdraw(Name, Try),
    /// It ran.
    Ran(Name, Try),
}

/// The answer to a call.
#[derive(Clone, Debug, PartialEq)]
pub struct Reply {
    /// As HTTP has it.
    pub status: u16,
    /// JSON.
    pub body: Value,
}

/// The serving thread's way to the desk.
#[derive(Clone)]
pub struct Handle {
    calls: mpsc::Sender<(Call, oneshot::Sender<Reply>)>,
    told: mpsc::Sender<Told>,
    /// This conductor's name.
    pub name: String,
    /// The duties that are this conductor's to do.
    pub duties: Duties,
    /// The right to take requests.
    pub right: Arc<Right>,
}

impl Handle {
    /// Asks; where the ledger's thread has ended there is no answer.
    pub async fn call(&self, call: Call) -> Option<Reply> {
        let (answer, answered) = oneshot::channel();
        self.calls.send((call, answer)).await.ok()?;
        answered.await.ok()
    }

    /// Asks, and waits so long. One who proposed and is not answered in time learns by which number to ask again: a flush that
    /// the disk holds up holds up the ledger's thread, and the change may pass all the same. Else there is no answer.
    pub async fn ask(&self, call: Call, within: Duration) -> Option<Reply> {
        let proposed = if let Call::Propose { id, .. } = &call { Some(*id) } else { None };
        let answered = timeout(within, self.call(call)).await;
        answered.unwrap_or_else(|_| proposed.map(|id| unknown(id, "the ledger gives no answer yet")))
    }

    /// Tells; dropped where the ledger's thread is too slow to hear it.
    pub fn tell(&self, told: Told) {
        let _ = self.told.try_send(told);
    }

    /// Claims a named request's name. Without an answer nothing may be sent.
    pub async fn claim(&self, name: Name) -> (Decision, Option<Try>) {
        let (answer, answered) = oneshot::channel();
        if self.told.send(Told::Claim(name, answer)).await.is_err() {
            return (Decision::Refuse, None);
        }
        answered.await.unwrap_or((Decision::Refuse, None))
    }
}

/// What the desk needs of the deployment.
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
pub fn start(setup: Setup) -> Result<(Handle, mpsc::UnboundedReceiver<share::News>), StartError> {
    let Roster { cluster, store, me, .. } = &setup.roster;
    // The address first: that nobody else holds it proves that this conductor's older process has ended.
    let listener = std::net::TcpListener::bind(me.address).map_err(|e| StartError::Listen(me.address, e))?;
    listener.set_nonblocking(true).map_err(|e| StartError::Listen(me.address, e))?;
    let (disk, loaded) = Disk::open(store, cluster, &me.name).map_err(LedgerError::from)?;
    let state_store = disk.state();
    let kept = state_store.load().map_err(LedgerError::from)?;
    let ledger = Ledger::open(&me.name, setup.roster.founders(), disk, loaded)?;
    let session = Session(rand::rng().random());
    let right = Arc::new(Right::new(Gate::new(session), setup.settings.clone()));
    let (share, unfit) = Share::new(&me.name, session, setup.clock.now(), kept);
    if unfit > 0 {
        tracing::warn!("state: {unfit} items of the store cannot be used and are taken from others");
    }
    let (calls, asked) = mpsc::channel(WAITING);
    let (told, tells) = mpsc::channel(WAITING);
    // Unbounded: the serving side runs in the same process and reads nothing that it has to wait for.
    let (share_news, for_serving) = mpsc::unbounded_channel();
    let handle = Handle { calls, told, name: me.name.clone(), duties: share.duties(), right: right.clone() };
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let runtime = runtime.map_err(StartError::Thread)?;
    let thread = std::thread::Builder::new().name("ledger".into());
    let run = move || {
        LocalSet::new().block_on(&runtime, async move {
            let (news, heard) = mpsc::channel(WAITING);
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
            Desk {
                setup,
                right,
                links,
                alive,
                ledger,
                stopped: None,
                observed: None,
                observed_at: Micros::MIN / 2,
                coordinator: None,
                beats: BTreeMap::new(),
                beat: None,
                reported_at: Micros::MIN / 2,
                asked: Vec::new(),
                waiting: Vec::new(),
                not_proposed: VecDeque::new(),
                share,
                state_store,
                share_news,
                claims: BTreeMap::new(),
                removing: Vec::new(),
                decrees: Vec::new(),
            }
            .run(heard, asked, tells)
            .await;
        });
    };
    thread.spawn(run).map_err(StartError::Thread)?;
    Ok((handle, for_serving))
}

/// What is agreed on as far as known here, by the own log or by the others' word.
fn agreed<'a>(ledger: &'a Option<Ledger<Disk>>, observed: &'a Option<Observed>) -> Option<&'a Agreed> {
    ledger.as_ref().map(Ledger::agreed).or(observed.as_ref().map(|seen| &seen.agreed))
}

struct Waiting {
    command: Command,
    id: ChangeId,
    until: Micros,
    /// None once it was answered that nothing is known yet.
    answer: Option<oneshot::Sender<Reply>>,
}

struct Desk {
    setup: Setup,
    right: Arc<Right>,
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
    beats: BTreeMap<String, Micros>,
    /// As a follower: the leader's last word, from whom.
    beat: Option<(String, Beat)>,
    reported_at: Micros,
    /// Entries asked for lately.
    asked: Vec<(Command, Micros)>,
    waiting: Vec<Waiting>,
    /// The last proposals that were turned down before they came to the ledger, with what was said.
    not_proposed: VecDeque<(ChangeId, Reply)>,
    share: Share,
    state_store: StateStore,
    share_news: mpsc::UnboundedSender<share::News>,
    claims: BTreeMap<Try, oneshot::Sender<(Decision, Option<Try>)>>,
    /// Members that are to be removed, until when that is asked for.
    removing: Vec<(String, Micros)>,
    /// Operators' decisions that wait to be agreed on, until when.
    decrees: Vec<(oneshot::Sender<Reply>, Micros)>,
}

impl Desk {
    async fn run(
        mut self, mut heard: mpsc::Receiver<News>, mut calls: mpsc::Receiver<(Call, oneshot::Sender<Reply>)>,
        mut tells: mpsc::Receiver<Told>,
    ) {
        let mut ticks = tokio::time::interval(TICK);
        // A process that was stopped does not make up for the ticks that it slept through.
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let (mut news, mut told) = (Vec::new(), Vec::new());
        self.reload();
        loop {
            tokio::select! {
                _ = ticks.tick() => self.tick(),
                _ = heard.recv_many(&mut news, 64) => {}
                _ = tells.recv_many(&mut told, 64) => {}
                Some((call, answer)) = calls.recv() => self.call(call, answer),
            }
            told.drain(..).for_each(|told| self.told(told));
            for news in news.drain(..) {
                self.hear(news);
            }
            self.settle();
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
                self.links.send(peer, Word::Observe(seen.applied));
            }
            self.observed_at = now;
        }
        for (to, datagram) in self.alive.due(now) {
            self.links.send(&to, Word::Alive(datagram));
        }
        self.share_tick(now);
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

    fn hear(&mut self, news: News) {
        let now = self.now();
        match (news, &mut self.ledger) {
            (News::Word(from, word), Some(_)) => self.listen(now, from, *word),
            (News::Word(from, word), None) => self.observe(now, from, *word),
            (News::Refused(_, Some(session)), _) => {
                if let Some((_, coordinator)) = &mut self.coordinator {
                    coordinator.refused(session);
                }
            }
            (News::Up(name), _) => self.share.met(&name),
            (News::Down(name), Some(ledger)) => ledger.unreachable(&name),
            _ => {}
        }
    }

    /// What one hears whose store has failed.
    fn observe(&mut self, now: Micros, from: String, word: Word) {
        match word {
            Word::Answer(Some(grant), _) => self.right.change(None, |gate| gate.granted(grant)),
            Word::Struck(session) => self.right.change(None, |gate| gate.strike(session)),
            Word::Alive(datagram) => self.alive.hear(now, &from, &datagram),
            Word::Observed(seen) => {
                let before = self.observed.as_ref().map_or(0, |seen| seen.applied);
                let member =
                    agreed(&self.ledger, &self.observed).is_some_and(|a| a.members.contains_key(&from));
                if member && seen.applied >= before {
                    let moved = seen.applied > before;
                    self.observed = Some(*seen);
                    if moved {
                        self.asked.clear();
                        self.reload();
                        self.speak(now, true);
                    }
                }
            }
            Word::State(_) | Word::DutyLease(_) | Word::Claimed(..) => self.share_word(now, &from, word),
            _ => {}
        }
    }

    fn listen(&mut self, now: Micros, from: String, word: Word) {
        let Some(ledger) = &mut self.ledger else { return };
        match word {
            Word::Ledger(message) => {
                if let Err(fault) = ledger.step(&from, message) {
                    tracing::warn!("ledger: a message of {from} is passed over: {fault}");
                }
            }
            Word::Report(report, _) if ledger.agreed().gone.contains_key(&from) => {
                self.links.send(&from, Word::Struck(report.session));
            }
            Word::Struck(session) => {
                tracing::error!(
                    "peers: {from} says that this conductor is a member no longer; it takes no requests"
                );
                self.right.change(None, |gate| gate.strike(session));
            }
            Word::Report(report, echo) => {
                let term = ledger.term();
                if let Some(beat) = echo.filter(|beat| beat.term == term && beat.at <= now) {
                    let heard = self.beats.entry(from.clone()).or_insert(beat.at);
                    *heard = beat.at.max(*heard);
                }
                if let Some(grant) = self.grant(now, report) {
                    self.links.send(&from, Word::Answer(grant, Beat { term, at: now }));
                }
            }
            Word::Answer(grant, beat) => {
                if beat.term == ledger.term() && ledger.leader() == Some(&from) {
                    self.beat = Some((from, beat));
                }
                if let Some(grant) = grant {
                    self.right.change(None, |gate| gate.granted(grant));
                }
            }
            Word::State(_)
            | Word::DutyAsk(_)
            | Word::DutyLease(_)
            | Word::Claim(..)
            | Word::Claimed(..)
            | Word::Withdraw(..)
            | Word::Ran(..) => self.share_word(now, &from, word),
            Word::Alive(datagram) => self.alive.hear(now, &from, &datagram),
            Word::Observe(applied) => {
                if ledger.applied() >= applied {
                    let leader = ledger.leader().map(str::to_owned);
                    let seen =
                        Observed { applied: ledger.applied(), leader, agreed: ledger.agreed().clone() };
                    self.links.send(&from, Word::Observed(Box::new(seen)));
                }
            }
            Word::Observed(_) => {}
            Word::Ask(command) => {
                let own = match &command {
                    Command::Register { name, .. } => *name == from,
                    Command::Join(peer) => peer.name == from,
                    Command::Propose { .. } | Command::Remove { .. } => true,
                    _ => false,
                };
                if own {
                    self.ask(now, command);
                }
            }
        }
    }

    /// The leader's answer to a report; none from one that does not lead.
    fn grant(&mut self, now: Micros, report: Standing) -> Option<Option<Grant>> {
        let authority = self.authority(now);
        let (ledger, (term, coordinator)) = (self.ledger.as_ref()?, self.coordinator.as_mut()?);
        (ledger.leads() && ledger.term() == *term)
            .then(|| coordinator.report(now, report, ledger.agreed(), authority))
    }

    /// Whether a majority knew this conductor as its leader so lately that no other can have gone far.
    fn authority(&self, now: Micros) -> bool {
        let voters = self.ledger.as_ref().map(Ledger::voters).unwrap_or_default();
        let lately = |at: &Micros| now <= at.saturating_add(AUTHORITY);
        let knew = voters.iter().filter(|v| *v == self.me() || self.beats.get(*v).is_some_and(lately));
        !voters.is_empty() && knew.count() > voters.len() / 2
    }

    /// Proposes, or asks the leader to; not twice within a short time.
    fn ask(&mut self, now: Micros, command: Command) {
        self.asked.retain(|(_, at)| now < at.saturating_add(ASK_AGAIN));
        if self.asked.iter().any(|(asked, _)| *asked == command) {
            return;
        }
        let me = self.setup.roster.me.name.clone();
        let Some(ledger) = &mut self.ledger else {
            if let Some(leader) = self.observed.as_ref().and_then(|seen| seen.leader.as_ref()) {
                self.links.send(leader, Word::Ask(command.clone()));
                self.asked.push((command, now));
            }
            return;
        };
        if ledger.leads() {
            if !ledger.propose(&command) {
                return;
            }
        } else if let Some(leader) = ledger.leader().filter(|leader| *leader != me) {
            self.links.send(leader, Word::Ask(command.clone()));
        } else if matches!(&command, Command::Join(peer) if peer.name == me) {
            // One that is no member yet knows no leader: whoever hears it passes it on.
            self.links.names().for_each(|name| self.links.send(name, Word::Ask(command.clone())));
        } else {
            return;
        }
        self.asked.push((command, now));
    }

    /// Carries out all that is due.
    fn settle(&mut self) {
        // A proposal or an own word makes the ledger ready anew: nothing that is due waits for the next tick.
        for _ in 0..16 {
            let moved = match self.ledger.as_mut().map(Ledger::drain) {
                Some(Ok(output)) => {
                    for message in output.messages {
                        // One that joins is answered before it knows the members: it goes by its file.
                        let member = self.ledger.as_ref().and_then(|ledger| ledger.name(message.to));
                        let to =
                            member.or_else(|| self.links.names().find(|name| number(name) == message.to));
                        if let Some(to) = to {
                            self.links.send(to, Word::Ledger(message));
                        }
                    }
                    output.applied.iter().for_each(|line| tracing::info!("ledger: {line}"));
                    output.moved
                }
                Some(Err(fault)) => {
                    tracing::error!("ledger: stopped, this conductor goes by the others' word: {fault}");
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
                self.asked.clear();
                self.reload();
            }
            let now = self.now();
            self.lead(now);
            self.speak(now, moved);
            if !self.ledger.as_ref().is_some_and(Ledger::is_ready) {
                break;
            }
        }
        self.share_out();
        self.answer_waiting();
    }

    // ---- Shared state ----

    fn told(&mut self, told: Told) {
        let now = self.now();
        let members = || {
            let known =
                agreed(&self.ledger, &self.observed).map(|agreed| agreed.members.keys().cloned().collect());
            known.unwrap_or_default()
        };
        match told {
            Told::Figures(learnt) => self.share.figures(now, &learnt),
            Told::Report(instance, report) => self.share.report(now, &instance, report),
            Told::Claim(name, answer) => {
                let members = members();
                match self.share.claim(now, name, members) {
                    Some(of) => drop(self.claims.insert(of, answer)),
                    None => drop(answer.send((Decision::Refuse, None))),
                }
            }
            Told::Withdraw(name, of) => {
                let members = members();
                self.share.withdraw(name, of, &members);
            }
            Told::Ran(name, of) => {
                let members = members();
                self.share.ran(now, name, of, &members);
            }
        }
    }

    fn share_word(&mut self, now: Micros, from: &str, word: Word) {
        let authority = self.ledger.as_ref().is_some_and(Ledger::leads) && self.authority(now);
        if let Some(agreed) = agreed(&self.ledger, &self.observed).filter(|a| a.members.contains_key(from)) {
            self.share.hear(now, from, word, agreed, authority);
        }
    }

    fn share_tick(&mut self, now: Micros) {
        let Some(agreed) = agreed(&self.ledger, &self.observed) else { return };
        let others = agreed.sessions.keys().filter(|name| **name != self.setup.roster.me.name);
        let others: Vec<_> = others.map(String::as_str).collect();
        let heard: Vec<_> = others.iter().copied().filter(|name| self.alive.hears(name)).collect();
        // Who is heard is found out in the first seconds: until then all that are registered are asked.
        let heard = if heard.is_empty() { others } else { heard };
        let leader = match (&self.ledger, &self.observed) {
            (Some(ledger), _) => ledger.leader(),
            (None, seen) => seen.as_ref().and_then(|seen| seen.leader.as_deref()),
        };
        if let Some(ledger) = &self.ledger {
            self.share.led(ledger.term(), leader);
            self.share.leads(now, ledger.leads().then(|| ledger.term()), agreed);
        }
        self.share.tick(now, agreed, leader, &heard);
        if self.ledger.as_ref().is_some_and(Ledger::leads) && !self.share.agreed(agreed) {
            let marks = self.share.marks().clone();
            self.ask(now, Command::Mark(marks));
        }
    }

    /// Keeps what has to be kept, and only then says what follows from it.
    fn share_out(&mut self) {
        let now = self.now();
        let unsaved = self.share.unsaved(now);
        if !unsaved.is_empty()
            && let Err(fault) = self.state_store.write(&unsaved)
        {
            tracing::debug!("state: {fault}");
            self.share.store_failed();
        }
        self.share.settle_claims(now);
        for (of, _, decision) in self.share.decided() {
            if let Some(answer) = self.claims.remove(&of) {
                let _ = answer.send((decision, Some(of)));
            }
        }
        // Words to this conductor itself are heard here, and what comes of them goes out with the rest.
        for _ in 0..2 {
            for (to, word) in self.share.outbox() {
                let own = to == self.setup.roster.me.name;
                if own { self.share_word(now, &to, word) } else { self.links.send(&to, word) }
            }
        }
        for news in self.share.news() {
            let _ = self.share_news.send(news);
        }
        if self.decrees.is_empty() {
            return;
        }
        let all = agreed(&self.ledger, &self.observed).is_some_and(|agreed| self.share.agreed(agreed));
        for (answer, until) in std::mem::take(&mut self.decrees) {
            if all || now >= until {
                let _ = answer.send(Reply { status: 200, body: json!({ "kept": true, "agreed": all }) });
            } else {
                self.decrees.push((answer, until));
            }
        }
    }

    /// Takes in what is agreed on now.
    fn reload(&mut self) {
        let now = self.now();
        let Some(agreed) = agreed(&self.ledger, &self.observed) else { return };
        // One that joins goes by its file. Former members are only answered.
        let file = self.setup.roster.peers.iter().filter(|_| agreed.members.is_empty());
        let known = agreed.members.values().chain(agreed.gone.values()).chain(file);
        let ways = known.map(|peer| (peer.name.clone(), self.setup.roster.way(peer))).collect();
        self.alive.know(agreed.members.keys().cloned().collect());
        self.links.know(ways, agreed.sessions.clone());
        let active = (agreed.revision != self.right.active().revision)
            .then(|| agreed.documents.get(&agreed.revision))
            .flatten()
            .and_then(|document| {
                let active = under(&self.setup, agreed.revision, document);
                let fault =
                    |fault| tracing::error!("policy: revision {} cannot be used: {fault}", agreed.revision);
                active.map_err(fault).ok()
            });
        self.share.applied(now, agreed);
        let name = &self.setup.roster.me.name;
        if let Some(active) = &active {
            tracing::info!("policy: revision {} is in force here", active.revision);
        }
        let owed = self.right.change(active.map(Arc::new), |gate| gate.applied(now, name, agreed));
        if owed && let Some(change) = &agreed.change {
            let verdict = under(&self.setup, change.revision, &change.document).and_then(|active| {
                let same = active.policy.is_some_and(|policy| policy.silence == change.silence);
                if same { Ok(()) } else { Err("silence: differs from what was proposed".into()) }
            });
            if let Err(why) = &verdict {
                tracing::warn!("policy: change {} is turned down here: {why}", change.id);
            }
            self.right.change(None, |gate| gate.prepared(change.id, verdict));
        }
    }

    /// The leader's part.
    fn lead(&mut self, now: Micros) {
        let Some(ledger) = &self.ledger else { return };
        if !ledger.leads() {
            self.coordinator = None;
            return;
        }
        let term = ledger.term();
        if self.coordinator.as_ref().is_none_or(|(of, _)| *of != term) {
            tracing::info!("ledger: this conductor leads from term {term} on");
            self.coordinator = Some((term, Coordinator::new(now)));
            self.beats.clear();
        }
        let promoted = ledger.to_promote();
        let Some((_, coordinator)) = &mut self.coordinator else { return };
        for command in coordinator.due(now, ledger.agreed()).into_iter().chain(promoted) {
            self.ask(now, command);
        }
    }

    /// This conductor's own word: where it stands, that it has started, that it would be a member.
    fn speak(&mut self, now: Micros, moved: bool) {
        let Some(agreed) = agreed(&self.ledger, &self.observed) else { return };
        let (registered, session) = self.right.look(|gate| (gate.registered(), gate.session()));
        let me = self.setup.roster.me.clone();
        if self.right.look(Gate::struck) {
            return;
        }
        if !registered {
            let readable = agreed.revision == self.right.active().revision;
            let member = agreed.members.get(&me.name);
            if member.is_some_and(|peer| peer.address != me.address) && self.asked.is_empty() {
                tracing::error!(
                    "peers: the others know this conductor at another address; it takes no requests"
                );
            }
            let (member, here) = (member.is_some(), member.is_none_or(|peer| peer.address == me.address));
            if member && here && readable {
                self.ask(now, Command::Register { name: me.name, session });
            } else if !member && self.setup.roster.join {
                self.ask(now, Command::Join(me));
            }
            return;
        }
        let unsaid = self.right.look(Gate::unsaid);
        let report = self.right.report(now);
        let often = unsaid || report.standing.is_some() || agreed.silence == policy::Silence::Stop;
        let often = often || self.ledger.as_ref().is_some_and(|ledger| ledger.voters().contains(&me.name));
        let every = if often { REPORT_OFTEN } else { REPORT_SELDOM };
        // What is new is said at once; what was only waiting for its lease, as soon as that is there.
        let news = moved && report.standing.is_some() || unsaid && (moved || report.standing.is_some());
        if !news && now < self.reported_at.saturating_add(every) {
            return;
        }
        self.reported_at = now;
        let Some(ledger) = &self.ledger else {
            if let Some(leader) = self.observed.as_ref().and_then(|seen| seen.leader.as_ref()) {
                self.links.send(leader, Word::Report(report, None));
            }
            return;
        };
        if ledger.leads() {
            if let Some(Some(grant)) = self.grant(now, report) {
                self.right.change(None, |gate| gate.granted(grant));
            }
            if self.right.look(Gate::unsaid) {
                let report = self.right.report(now);
                self.grant(now, report);
            }
            self.lead(now);
        } else if let Some(leader) = ledger.leader() {
            let term = ledger.term();
            let echo = self.beat.as_ref().filter(|(from, beat)| from == leader && beat.term == term);
            self.links.send(leader, Word::Report(report, echo.map(|(_, beat)| *beat)));
        }
    }

    // ---- Operators' calls ----

    fn call(&mut self, call: Call, answer: oneshot::Sender<Reply>) {
        let now = self.now();
        let reply = match call {
            Call::Status => Reply { status: 200, body: self.status() },
            Call::Document(revision) => {
                match agreed(&self.ledger, &self.observed).and_then(|a| a.documents.get(&revision)) {
                    Some(document) => {
                        Reply { status: 200, body: json!({ "revision": revision, "document": document }) }
                    }
                    None => no(404, "no such revision is kept"),
                }
            }
            Call::Outcome(id) => self.outcome(id),
            Call::Propose { id, document, base } => match self.proposal(id, document, base) {
                Ok(_) if self.waiting.len() >= CALLS_MOST => {
                    self.not_proposed(id, no(503, "too many changes are waited for"))
                }
                Ok(command) => {
                    let until = now.saturating_add(CALL_WAIT);
                    return self.waiting.push(Waiting { command, id, until, answer: Some(answer) });
                }
                Err(reply) => self.not_proposed(id, reply),
            },
            Call::Remove(name) => self.remove(now, name),
            Call::Mark(subject) => {
                if !self.share.mark(now, subject) {
                    no(503, "too much is marked already")
                } else {
                    return self.decrees.push((answer, now.saturating_add(CALL_WAIT)));
                }
            }
            Call::Lift(subject) => {
                self.share.lift(now, self.setup.clock.unix_ms(), &subject);
                return self.decrees.push((answer, now.saturating_add(CALL_WAIT)));
            }
            Call::State => match agreed(&self.ledger, &self.observed) {
                Some(agreed) => Reply { status: 200, body: self.share.status(now, agreed) },
                None => no(503, "the ledger has stopped"),
            },
            Call::Export => Reply { status: 200, body: self.share.export() },
            Call::Import(export) => match self.share.import(now, &export) {
                Ok((taken, known, not)) => {
                    Reply { status: 200, body: json!({ "taken": taken, "known": known, "turned_down": not }) }
                }
                Err(why) => no(422, &why),
            },
        };
        let _ = answer.send(reply);
    }

    /// Remembers for a while that a change never came to the ledger, for a caller that went before it was told.
    fn not_proposed(&mut self, id: ChangeId, mut reply: Reply) -> Reply {
        reply.body["id"] = id.to_string().into();
        if self.not_proposed.len() >= CALLS_MOST {
            self.not_proposed.pop_front();
        }
        self.not_proposed.push_back((id, reply.clone()));
        reply
    }

    fn proposal(&self, id: ChangeId, document: String, base: Option<Revision>) -> Result<Command, Reply> {
        let Some(agreed) = agreed(&self.ledger, &self.observed) else {
            return Err(no(503, self.stopped.as_deref().unwrap_or("the ledger has stopped")));
        };
        let turned_down = |why: String| Reply {
            status: 422,
            body: json!({ "outcome": "turned_down", "who": [self.me()], "why": why }),
        };
        let silence = under(&self.setup, agreed.revision + 1, &document).map_err(turned_down)?;
        let silence = silence.policy.map(|policy| policy.silence).unwrap_or_default();
        let by = self.me().to_owned();
        Ok(Command::Propose { id, base, by, document, silence })
    }

    fn remove(&mut self, now: Micros, name: String) -> Reply {
        let Some(ledger) = &self.ledger else { return no(503, "the ledger has stopped") };
        if !ledger.agreed().members.contains_key(&name) {
            return no(404, "no such member");
        }
        if ledger.voters() == [name.clone()] {
            return no(409, "the last voter stays");
        }
        if ledger.leader().is_none() {
            return no(503, "the ledger has no leader: too few voters are up");
        }
        self.removing.push((name.clone(), now.saturating_add(ASK_ON)));
        Reply { status: 202, body: json!({ "asked": name, "see": "/peers" }) }
    }

    fn outcome(&self, id: ChangeId) -> Reply {
        if let Some((_, reply)) = self.not_proposed.iter().find(|(of, _)| *of == id) {
            return reply.clone();
        }
        let Some(agreed) = agreed(&self.ledger, &self.observed) else {
            return unknown(id, "the ledger has stopped here");
        };
        match (agreed.ended(id), &agreed.change) {
            (Some(ended), _) => {
                let applied = matches!(ended, Ended::Applied { .. });
                let mut body = shown(ended);
                body["id"] = id.to_string().into();
                Reply { status: if applied { 200 } else { 409 }, body }
            }
            (None, Some(change)) if change.id == id => unknown(id, phase(change.phase)),
            _ => unknown(id, "not seen in the ledger"),
        }
    }

    /// Answers the calls whose change has ended, and those that have waited long enough.
    fn answer_waiting(&mut self) {
        let now = self.now();
        for (name, until) in std::mem::take(&mut self.removing) {
            // A leader that has just died takes no word: it is asked for again, of the next one.
            let member = agreed(&self.ledger, &self.observed).is_some_and(|a| a.members.contains_key(&name));
            if member && now < until {
                self.ask(now, Command::Remove { name: name.clone() });
                self.removing.push((name, until));
            }
        }
        for mut waiting in std::mem::take(&mut self.waiting) {
            let reply = self.outcome(waiting.id);
            let ended = reply.status != 202;
            if let Some(answer) = waiting.answer.take_if(|_| ended || now >= waiting.until) {
                let _ = answer.send(reply);
            }
            if ended || now >= waiting.until.saturating_add(ASK_ON) {
                continue;
            }
            if !agreed(&self.ledger, &self.observed).is_some_and(|agreed| agreed.known(waiting.id)) {
                self.ask(now, waiting.command.clone());
            }
            self.waiting.push(waiting);
        }
    }

    fn status(&self) -> Value {
        let active = self.right.active();
        let now = self.now();
        let (registered, lease) = self.right.look(|gate| (gate.registered(), gate.lease_until()));
        let (words, bytes) = self.links.sent();
        let mut status = json!({
            "name": self.me(),
            "cluster": self.setup.roster.cluster,
            "revision": active.revision,
            "registered": registered,
            "lease_ms": lease.saturating_sub(now).max(0) / 1_000,
            "takes": format!("{:?}", self.right.look(|gate| gate.take(now))),
            "sent": { "words": words, "bytes": bytes },
            "ledger": self.stopped.as_deref().unwrap_or("runs"),
        });
        let Some(agreed) = agreed(&self.ledger, &self.observed) else { return status };
        let Agreed { change, sessions, members, history, documents, silence, .. } = agreed;
        let voters = self.ledger.as_ref().map(Ledger::voters).unwrap_or_default();
        let (leader, applied) = match (&self.ledger, &self.observed) {
            (Some(ledger), _) => (ledger.leader(), ledger.applied()),
            (None, Some(seen)) => (seen.leader.as_deref(), seen.applied),
            _ => (None, 0),
        };
        status["silence"] = json!(silence);
        status["digest"] = json!(documents.get(&active.revision).map(|document| digest(document)));
        status["leader"] = json!(leader);
        status["term"] = json!(self.ledger.as_ref().map(Ledger::term));
        status["applied"] = json!(applied);
        status["change"] = json!(change.as_ref().map(|c| {
            json!({ "id": c.id.to_string(), "revision": c.revision, "by": c.by, "phase": phase(c.phase) })
        }));
        let members = members.values().map(|peer| {
            json!({
                "name": peer.name, "address": peer.address, "site": peer.site, "votes": voters.contains(&peer.name),
                "live": sessions.contains_key(&peer.name), "heard": self.alive.hears(&peer.name),
            })
        });
        status["peers"] = members.collect();
        let history = history.iter().rev().map(|past| {
            let mut line = shown(&past.ended);
            (line["id"], line["by"]) = (past.id.to_string().into(), past.by.clone().into());
            line
        });
        status["history"] = history.collect();
        status["kept"] = documents.keys().copied().collect();
        status
    }
}

/// A document over this deployment's settings.
fn under(setup: &Setup, revision: Revision, document: &str) -> Result<Active, String> {
    let policy = Policy::parse(document).map_err(|fault| fault.to_string())?;
    let Names { classes, tenants, zones, .. } = &setup.names;
    let settings =
        policy.over(&setup.settings, classes, tenants, zones).map_err(|fault| fault.to_string())?;
    Ok(Active { revision, policy: Some(policy), settings })
}

/// How a change ended, for operators.
fn shown(ended: &Ended) -> Value {
    match ended {
        Ended::Applied { revision } => json!({ "outcome": "applied", "revision": revision }),
        Ended::TurnedDown { who, why } => json!({ "outcome": "turned_down", "who": who, "why": why }),
    }
}

fn phase(phase: Phase) -> &'static str {
    match phase {
        Phase::Proposed => "proposed",
        Phase::Decided => "decided",
    }
}

/// What is said of a change whose end is not known, and where to ask for it.
fn unknown(id: ChangeId, phase: &str) -> Reply {
    let see = format!("/policy/changes/{id}");
    Reply {
        status: 202,
        body: json!({ "outcome": "unknown", "id": id.to_string(), "phase": phase, "see": see }),
    }
}

fn no(status: u16, why: &str) -> Reply {
    Reply { status, body: json!({ "error": why }) }
}

#[cfg(test)]
mod tests;

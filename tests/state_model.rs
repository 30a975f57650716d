//! Duties and named requests, model-checked: the real modules, driven through every order of words, losses, deaths and elections
//! within small bounds.
#![cfg(feature = "cluster")]

use std::collections::{BTreeMap, BTreeSet};

use croftsill::api::Micros;
use croftsill::control::AUTHORITY;
use croftsill::control::state::Session;
use croftsill::replica::duty::{DutyLease, LeaseHolder, LeaseIssuer};
use croftsill::replica::idempotency::{
    CLAIM_TIMEOUT, ClaimAnswer, ClaimDecision, ClaimId, ClaimRecord, ClaimTable, ClaimVote, RequestName,
    Stage,
};
use stateright::{Checker, Model, Property};

/// Most states looked at in CI; `CROFTSILL_MODEL_STATES` asks for more.
fn budget() -> usize {
    std::env::var("CROFTSILL_MODEL_STATES").ok().and_then(|n| n.parse().ok()).unwrap_or(600_000)
}

// ---- Duties ----

const STEP: Micros = 250_000;
const DUTIES: [u64; 6] = [1, 2, 3, 4, 5, 6];

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum DutyDefect {
    /// A roster becomes the present one before its holders know it.
    OneStep,
    /// A new leader gives leases out at once.
    AtOnce,
    /// One that is silent is taken to be gone at once.
    Impatient,
}

struct Duties {
    holders: u64,
    steps: i64,
    elections: usize,
    deaths: usize,
    defect: Option<DutyDefect>,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct DutyWorld {
    holders: Vec<Option<LeaseHolder>>,
    /// The leader, and before it one that may not know yet that it leads no more.
    keeper: LeaseIssuer,
    old: Option<(LeaseIssuer, i64)>,
    registered: BTreeSet<Session>,
    /// On their way, one to each.
    leases: BTreeMap<Session, DutyLease>,
    step: i64,
    elections: usize,
    deaths: usize,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum DutyAct {
    Pass,
    /// A holder asks, of the old leader or the present one; the answer comes at once or is on its way.
    Ask(usize, bool, bool),
    Register(usize),
    Kill(usize),
    Strike(usize),
    Elect,
    Take(Session),
}

fn session(n: usize) -> Session {
    Session(n as u64 + 1)
}

impl Duties {
    fn now(&self, world: &DutyWorld) -> Micros {
        10_000_000 + world.step * STEP
    }
}

impl Model for Duties {
    type State = DutyWorld;
    type Action = DutyAct;

    fn init_states(&self) -> Vec<DutyWorld> {
        let holders: Vec<_> =
            (0..self.holders as usize).map(|n| Some(LeaseHolder::new(session(n)))).collect();
        // The first leader has led for long.
        vec![DutyWorld {
            registered: BTreeSet::from([session(0)]),
            holders,
            keeper: LeaseIssuer::new(1, 0),
            old: None,
            leases: BTreeMap::new(),
            step: 0,
            elections: 0,
            deaths: 0,
        }]
    }

    fn actions(&self, w: &DutyWorld, out: &mut Vec<DutyAct>) {
        if w.step < self.steps {
            out.push(DutyAct::Pass);
        }
        for (n, holder) in w.holders.iter().enumerate() {
            let known = w.registered.contains(&session(n));
            if holder.is_some() {
                if known {
                    for by_old in [false, true].into_iter().filter(|by_old| !by_old || w.old.is_some()) {
                        out.extend([DutyAct::Ask(n, by_old, false), DutyAct::Ask(n, by_old, true)]);
                    }
                }
                if !known {
                    out.push(DutyAct::Register(n));
                }
                if w.deaths < self.deaths {
                    out.push(DutyAct::Kill(n));
                }
            } else if known {
                out.push(DutyAct::Strike(n));
            }
        }
        if w.elections < self.elections {
            out.push(DutyAct::Elect);
        }
        out.extend(w.leases.keys().map(|to| DutyAct::Take(*to)));
    }

    fn next_state(&self, before: &DutyWorld, act: DutyAct) -> Option<DutyWorld> {
        let mut w = before.clone();
        let now = self.now(&w);
        match act {
            DutyAct::Pass => w.step += 1,
            DutyAct::Ask(n, by_old, late) => {
                let mut ask = w.holders[n].as_ref()?.lease_request(now);
                if self.defect == Some(DutyDefect::OneStep) {
                    ask.known_version = (u64::MAX, u64::MAX);
                }
                let lease = if by_old {
                    let (keeper, lost_at) = w.old.as_mut()?;
                    // Nobody of the majority that elected the new one has echoed it since.
                    let authority = now <= *lost_at + AUTHORITY;
                    keeper.handle_request(now, ask, &w.registered, authority)
                } else {
                    if self.defect == Some(DutyDefect::Impatient) {
                        w.keeper.advance(now, &BTreeSet::from([ask.session]));
                    }
                    w.keeper.handle_request(now, ask, &w.registered, true)
                }?;
                if late {
                    w.leases.insert(lease.session, lease);
                } else {
                    w.holders[n].as_mut()?.accept(&lease);
                }
            }
            DutyAct::Register(n) => drop(w.registered.insert(session(n))),
            DutyAct::Kill(n) => (w.holders[n], w.deaths) = (None, w.deaths + 1),
            DutyAct::Strike(n) => drop(w.registered.remove(&session(n))),
            DutyAct::Elect => {
                let elected = if self.defect == Some(DutyDefect::AtOnce) { 0 } else { now };
                let new = LeaseIssuer::new(w.elections as u64 + 2, elected);
                w.old = Some((std::mem::replace(&mut w.keeper, new), now));
                w.elections += 1;
            }
            DutyAct::Take(to) => {
                let lease = w.leases.remove(&to)?;
                w.holders[(to.0 - 1) as usize].as_mut()?.accept(&lease);
            }
        }
        (w != *before).then_some(w)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always("no duty is two conductors'", |model: &Duties, w: &DutyWorld| {
                let now = model.now(w);
                DUTIES
                    .iter()
                    .all(|duty| w.holders.iter().flatten().filter(|h| h.is_assigned(now, *duty)).count() <= 1)
            }),
            Property::sometimes("a duty is done", |model: &Duties, w: &DutyWorld| {
                w.holders
                    .iter()
                    .flatten()
                    .any(|h| DUTIES.iter().any(|duty| h.is_assigned(model.now(w), *duty)))
            }),
            Property::sometimes("duties are shared by two", |model: &Duties, w: &DutyWorld| {
                let busy = |h: &&LeaseHolder| DUTIES.iter().any(|duty| h.is_assigned(model.now(w), *duty));
                w.holders.iter().flatten().filter(busy).count() == 2
            }),
        ]
    }
}

fn duties_hold(model: Duties) {
    let checker = model.checker().threads(8).target_state_count(budget()).spawn_bfs().join();
    let whole = if checker.state_count() < budget() { "all" } else { "cut off" };
    println!("{} states, depth {}, {whole}", checker.unique_state_count(), checker.max_depth());
    if let Some(path) = checker.discovery("no duty is two conductors'") {
        panic!("one duty, two conductors: {:?}", path.into_actions());
    }
    assert!(checker.discovery("a duty is done").is_some());
}

#[test]
fn no_duty_is_done_twice_while_conductors_come_die_and_fall_silent() {
    duties_hold(Duties { holders: 2, steps: 6, elections: 0, deaths: 1, defect: None });
}

#[test]
fn no_duty_is_done_twice_across_an_election() {
    duties_hold(Duties { holders: 2, steps: 8, elections: 1, deaths: 0, defect: None });
}

#[test]
fn duties_come_to_be_shared_in_the_model() {
    let model = Duties { holders: 2, steps: 3, elections: 0, deaths: 0, defect: None };
    let checker = model.checker().threads(4).target_state_count(400_000).spawn_bfs().join();
    assert!(checker.discovery("duties are shared by two").is_some());
}

#[test]
fn the_check_of_duties_catches_what_it_is_there_for() {
    for (defect, elections) in [(DutyDefect::OneStep, 0), (DutyDefect::AtOnce, 1), (DutyDefect::Impatient, 0)]
    {
        let model = Duties { holders: 2, steps: 4, elections, deaths: 0, defect: Some(defect) };
        let checker = model.checker().threads(8).target_state_count(3_000_000).spawn_bfs().join();
        let found = checker.discovery("no duty is two conductors'").is_some();
        assert!(found, "{defect:?} is not caught within {} states", checker.unique_state_count());
    }
}

// ---- Named requests ----

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ClaimDefect {
    /// An answer is given before it is kept.
    AnswerUnsaved,
    /// Half of the members are enough.
    Half,
    /// A claim is withdrawn though it was sent under.
    WithdrawSent,
}

struct Claims {
    restarts: usize,
    travels: bool,
    defect: Option<ClaimDefect>,
}

#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
enum Said {
    Claim(ClaimId),
    Answer(ClaimId, ClaimAnswer),
    Withdraw(ClaimId),
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Peer {
    book: ClaimTable,
    disk: BTreeMap<RequestName, ClaimRecord>,
    /// The claim that it has on its way, and its try.
    claim: Option<(ClaimVote, ClaimId)>,
    tries: u64,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct ClaimWorld {
    peers: Vec<Peer>,
    /// Sender, receiver, word.
    net: BTreeSet<(usize, usize, Said)>,
    sent: Vec<ClaimId>,
    restarts: usize,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum ClaimAct {
    /// The client asks this conductor.
    Ask(usize),
    Hear(usize, usize, Said),
    Lose(usize, usize, Said),
    TimeOut(usize),
    Restart(usize),
}

const NAME: RequestName = RequestName(7);

fn names() -> BTreeSet<String> {
    ["0", "1", "2"].map(str::to_owned).into()
}

impl Claims {
    /// Everybody keeps what it has to before anything goes out.
    fn save(&self, peer: &mut Peer) {
        for (name, held) in peer.book.take_unsaved() {
            if self.defect == Some(ClaimDefect::AnswerUnsaved) {
                continue;
            }
            match held {
                Some(held) => drop(peer.disk.insert(name, held)),
                None => drop(peer.disk.remove(&name)),
            }
        }
    }

    fn settle(&self, w: &mut ClaimWorld, n: usize, now: Micros) {
        let Some((claim, of)) = w.peers[n].claim.clone() else { return };
        let mut decision = claim.decide(now);
        if self.defect == Some(ClaimDefect::Half) && decision == ClaimDecision::Refuse {
            decision = ClaimDecision::Send;
        }
        match decision {
            ClaimDecision::Wait => return,
            ClaimDecision::Send => {
                w.sent.push(of);
                if self.defect == Some(ClaimDefect::WithdrawSent) {
                    self.withdraw(w, n, of);
                }
            }
            ClaimDecision::Duplicate(_) | ClaimDecision::Refuse => self.withdraw(w, n, of),
        }
        w.peers[n].claim = None;
    }

    fn withdraw(&self, w: &mut ClaimWorld, n: usize, of: ClaimId) {
        w.peers[n].book.withdraw(NAME, of);
        self.save(&mut w.peers[n]);
        (0..3).filter(|to| *to != n).for_each(|to| {
            w.net.insert((n, to, Said::Withdraw(of)));
        });
    }
}

impl Model for Claims {
    type State = ClaimWorld;
    type Action = ClaimAct;

    fn init_states(&self) -> Vec<ClaimWorld> {
        let peer = Peer { book: ClaimTable::default(), disk: BTreeMap::new(), claim: None, tries: 0 };
        vec![ClaimWorld { peers: vec![peer; 3], net: BTreeSet::new(), sent: Vec::new(), restarts: 0 }]
    }

    fn actions(&self, w: &ClaimWorld, out: &mut Vec<ClaimAct>) {
        for (n, peer) in w.peers.iter().enumerate() {
            // Two conductors are asked, one of them twice.
            let most = [2, 1, 0][n];
            match peer.claim {
                None if peer.tries < most => out.push(ClaimAct::Ask(n)),
                Some(_) => out.push(ClaimAct::TimeOut(n)),
                None => {}
            }
            if w.restarts < self.restarts {
                out.push(ClaimAct::Restart(n));
            }
        }
        for (from, to, said) in &w.net {
            out.push(ClaimAct::Hear(*from, *to, said.clone()));
            if self.travels {
                out.push(ClaimAct::Lose(*from, *to, said.clone()));
            }
        }
    }

    fn next_state(&self, before: &ClaimWorld, act: ClaimAct) -> Option<ClaimWorld> {
        let mut w = before.clone();
        match act {
            ClaimAct::Ask(n) => {
                let peer = &mut w.peers[n];
                peer.tries += 1;
                let of = ClaimId { session: Session(n as u64 * 10 + w.restarts as u64), number: peer.tries };
                let mut claim = ClaimVote::new(0, names());
                claim.record_answer(&n.to_string(), peer.book.claim(0, NAME, of));
                self.save(peer);
                peer.claim = Some((claim, of));
                (0..3).filter(|to| *to != n).for_each(|to| {
                    w.net.insert((n, to, Said::Claim(of)));
                });
                self.settle(&mut w, n, 0);
            }
            ClaimAct::Hear(from, to, said) => {
                w.net.remove(&(from, to, said.clone()));
                match said {
                    Said::Claim(of) => {
                        let answer = w.peers[to].book.claim(0, NAME, of);
                        self.save(&mut w.peers[to]);
                        w.net.insert((to, from, Said::Answer(of, answer)));
                    }
                    Said::Answer(of, answer) => {
                        if let Some((claim, _)) = w.peers[to].claim.as_mut().filter(|(_, mine)| *mine == of) {
                            claim.record_answer(&from.to_string(), answer);
                        }
                        self.settle(&mut w, to, 0);
                    }
                    Said::Withdraw(of) => {
                        w.peers[to].book.withdraw(NAME, of);
                        self.save(&mut w.peers[to]);
                    }
                }
            }
            ClaimAct::Lose(from, to, said) => drop(w.net.remove(&(from, to, said))),
            ClaimAct::TimeOut(n) => self.settle(&mut w, n, CLAIM_TIMEOUT),
            ClaimAct::Restart(n) => {
                let peer = &mut w.peers[n];
                peer.book = ClaimTable::load(0, peer.disk.clone());
                peer.claim = None;
                w.restarts += 1;
            }
        }
        (w != *before).then_some(w)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always("a named request is sent once", |_, w: &ClaimWorld| w.sent.len() <= 1),
            Property::sometimes("it is sent", |_, w: &ClaimWorld| w.sent.len() == 1),
            Property::sometimes("after a withdrawn claim it is sent", |_, w: &ClaimWorld| {
                w.sent.first().is_some_and(|of| of.number == 2)
            }),
            Property::always("what was sent is known to a majority", |_, w: &ClaimWorld| {
                let holds = |of: &ClaimId| {
                    let knows = |p: &&Peer| {
                        p.disk
                            .get(&NAME)
                            .is_some_and(|held| held.claim_id == *of && held.stage == Stage::MayHaveRun)
                    };
                    w.peers.iter().filter(knows).count() >= 2
                };
                w.sent.iter().all(holds)
            }),
        ]
    }
}

#[test]
fn a_named_request_is_sent_once_whoever_is_asked_and_whoever_restarts() {
    for (restarts, travels) in [(0, true), (1, false), (2, false), (1, true)] {
        let model = Claims { restarts, travels, defect: None };
        let checker = model.checker().threads(8).target_state_count(budget()).spawn_bfs().join();
        let whole = if checker.state_count() < budget() { "all" } else { "cut off" };
        println!("{} states, depth {}, {whole}", checker.unique_state_count(), checker.max_depth());
        checker.assert_no_discovery("a named request is sent once");
        checker.assert_no_discovery("what was sent is known to a majority");
        assert!(checker.discovery("it is sent").is_some());
        assert!(checker.discovery("after a withdrawn claim it is sent").is_some());
    }
}

#[test]
fn the_check_of_claims_catches_what_it_is_there_for() {
    for defect in [ClaimDefect::AnswerUnsaved, ClaimDefect::Half, ClaimDefect::WithdrawSent] {
        let model = Claims { restarts: 2, travels: true, defect: Some(defect) };
        let checker = model.checker().threads(8).target_state_count(3_000_000).spawn_bfs().join();
        assert!(checker.discovery("a named request is sent once").is_some(), "{defect:?} is not caught");
    }
}

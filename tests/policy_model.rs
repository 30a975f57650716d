//! Model check of a policy change: the real state machine, gates and coordinators, driven through every order of
//! messages, losses, crashes, elections and passing time that the bounds allow. The ledger is taken for one log that
//! each process applies at its own pace; that is what the consensus library promises.

use std::collections::BTreeSet;

use croftsill::api::Micros;
use croftsill::control::AUTHORITY;
use croftsill::control::coordinator::Coordinator;
use croftsill::control::gate::{Closed, Gate, Take};
use croftsill::control::policy::Silence;
use croftsill::control::report::{Grant, Report};
use croftsill::control::state::{Agreed, ChangeId, Command, Evidence, Peer, Phase, Revision, Session};
use stateright::{Checker, Model, Property};

/// Time passes in steps of this: a lease is three of them, the wait for a silent session too.
const STEP: Micros = 700_000;

/// What may happen, and how often.
#[derive(Clone)]
struct Setup {
    nodes: usize,
    /// Proposed in this order; `bad` is declined by the last node.
    documents: &'static [&'static str],
    silence: Silence,
    crashes: u8,
    elections: u8,
    steps: u8,
    /// Reports and grants travel, and may be late, lost or overtaken. Else a word and its answer are one step: a late
    /// grant only takes away from the right to take requests, and a late report tells less, so the short form loses no
    /// way to break the rule and reaches far deeper.
    travels: bool,
    defect: Option<Defect>,
}

/// A fault of the surroundings that the check must catch, to show that it can.
#[derive(Clone, Copy, PartialEq)]
enum Defect {
    /// Sessions are struck off for silence at any time.
    ExpireEarly,
    /// A process that has just started serves by what it had stored.
    ServeUnregistered,
    /// What is held at the fence is taken under the old revision.
    ForgetFence,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Node {
    up: bool,
    agreed: Agreed,
    applied: usize,
    gate: Gate,
    report: Option<Report>,
    grant: Option<Grant>,
    /// As a leader, with the last moment at which a majority knew it as such.
    coordinator: Option<(Coordinator, u8)>,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct World {
    step: u8,
    log: Vec<Command>,
    nodes: Vec<Node>,
    leader: usize,
    proposed: u8,
    crashes: u8,
    elections: u8,
    /// The highest revision under which anybody could have taken a request so far.
    highest: Revision,
    /// Somebody could take a request under a lower one.
    broken: bool,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum Step {
    Pass,
    Propose,
    Apply(usize),
    PeerMessage { leader: usize, from: usize },
    Report(usize),
    Hear { leader: usize, from: usize },
    Receive(usize),
    Confirm,
    Due,
    Elect(usize),
    Crash(usize),
    Restart(usize),
    Refused { leader: usize, dead: usize },
    ExpireEarly(usize),
}

fn name(n: usize) -> String {
    format!("n{n}")
}

fn time(step: u8) -> Micros {
    Micros::from(step) * STEP
}

impl Setup {
    fn take(&self, node: &Node, now: Micros) -> Option<Revision> {
        match (node.gate.take(now), self.defect) {
            (Take::Under(revision), _) => Some(revision),
            (Take::Refuse(Closed::Unregistered), Some(Defect::ServeUnregistered)) => {
                Some(node.agreed.revision)
            }
            (Take::Hold(_), Some(Defect::ForgetFence)) => Some(node.gate.revision()),
            _ => None,
        }
    }

    fn apply(&self, world: &mut World, n: usize) {
        let (now, last) = (time(world.step), self.nodes - 1);
        let command = world.log[world.nodes[n].applied].clone();
        let node = &mut world.nodes[n];
        node.applied += 1;
        node.agreed.apply(&command);
        if node.gate.applied(now, &name(n), &node.agreed)
            && let Some(change) = &node.agreed.change
        {
            let bad = n == last && change.document == "bad";
            node.gate.prepared(change.id, if bad { Err("bad".into()) } else { Ok(()) });
        }
    }
}

impl Model for Setup {
    type State = World;
    type Action = Step;

    fn init_states(&self) -> Vec<World> {
        let address = "127.0.0.1:1".parse().expect("an address");
        let peer = |n| Peer { name: name(n), address, site: "a".into() };
        let log = (0..self.nodes).map(|n| Command::Register { name: name(n), session: Session(n as u64) });
        let mut agreed = Agreed::new((0..self.nodes).map(peer));
        agreed.silence = self.silence;
        let node = |n| Node {
            up: true,
            agreed: agreed.clone(),
            applied: 0,
            gate: Gate::new(Session(n as u64)),
            report: None,
            grant: None,
            coordinator: (n == 0).then(|| (Coordinator::new(0), 0)),
        };
        let mut world = World {
            step: 0,
            log: log.collect(),
            nodes: (0..self.nodes).map(node).collect(),
            leader: 0,
            proposed: 0,
            crashes: 0,
            elections: 0,
            highest: 0,
            broken: false,
        };
        // All have started well before.
        for n in 0..self.nodes {
            (0..self.nodes).for_each(|_| self.apply(&mut world, n));
        }
        vec![world]
    }

    fn actions(&self, world: &World, out: &mut Vec<Step>) {
        if world.step < self.steps {
            out.push(Step::Pass);
        }
        let leads = world.nodes[world.leader].up;
        if leads && usize::from(world.proposed) < self.documents.len() {
            out.push(Step::Propose);
        }
        if leads {
            out.extend([Step::Confirm, Step::Due]);
        }
        for (n, node) in world.nodes.iter().enumerate() {
            if !node.up {
                out.push(Step::Restart(n));
                let hears = |&k: &usize| world.nodes[k].up && world.nodes[k].coordinator.is_some();
                let refused = (0..self.nodes).filter(hears);
                out.extend(refused.map(|leader| Step::Refused { leader, dead: n }));
                continue;
            }
            if node.applied < world.log.len() {
                out.push(Step::Apply(n));
            }
            let hear = (0..self.nodes).filter(|&k| world.nodes[k].up && world.nodes[k].coordinator.is_some());
            if !self.travels {
                out.extend(hear.map(|leader| Step::PeerMessage { leader, from: n }));
            } else {
                out.push(Step::Report(n));
                if node.report.is_some() {
                    out.extend(hear.map(|leader| Step::Hear { leader, from: n }));
                }
            }
            if node.grant.is_some() {
                out.push(Step::Receive(n));
            }
            if world.elections < self.elections && n != world.leader {
                out.push(Step::Elect(n));
            }
            if world.crashes < self.crashes {
                out.push(Step::Crash(n));
            }
            if self.defect == Some(Defect::ExpireEarly) {
                out.push(Step::ExpireEarly(n));
            }
        }
    }

    fn next_state(&self, before: &World, step: Step) -> Option<World> {
        let mut world = before.clone();
        let now = time(world.step);
        match step {
            Step::Pass => world.step += 1,
            Step::Propose => {
                let document = self.documents[usize::from(world.proposed)].into();
                let (id, by) = (ChangeId(u64::from(world.proposed)), name(0));
                let silence = self.silence;
                world.log.push(Command::Propose { id, base: None, by, document, silence });
                world.proposed += 1;
            }
            Step::Apply(n) => self.apply(&mut world, n),
            Step::Report(n) => {
                let node = &mut world.nodes[n];
                node.report = Some(node.gate.report(now));
            }
            Step::PeerMessage { leader, from } => {
                let node = &mut world.nodes[from];
                node.report = Some(node.gate.report(now));
                let heard = self.next_state(&world, Step::Hear { leader, from })?;
                world = self.next_state(&heard, Step::Receive(from)).unwrap_or(heard);
            }
            Step::Hear { leader, from } => {
                let report = world.nodes[from].report.take()?;
                let leads = &mut world.nodes[leader];
                let (coordinator, confirmed) = leads.coordinator.as_mut()?;
                let authority = now - time(*confirmed) <= AUTHORITY;
                let grant = coordinator.report(now, report, &leads.agreed, authority);
                world.nodes[from].grant = grant.or(world.nodes[from].grant);
            }
            Step::Receive(n) => {
                let grant = world.nodes[n].grant.take()?;
                world.nodes[n].gate.granted(grant);
            }
            Step::Confirm => {
                let step = world.step;
                world.nodes[world.leader].coordinator.as_mut()?.1 = step;
            }
            Step::Due => {
                let node = &mut world.nodes[world.leader];
                let due = node.coordinator.as_mut()?.0.due(now, &node.agreed);
                let new: Vec<_> = due.into_iter().filter(|c| !world.log.contains(c)).collect();
                world.log.extend(new);
            }
            Step::Elect(n) => {
                world.elections += 1;
                world.leader = n;
                world.nodes[n].coordinator = Some((Coordinator::new(now), world.step));
            }
            Step::Crash(n) => {
                world.crashes += 1;
                let node = &mut world.nodes[n];
                (node.up, node.report, node.grant, node.coordinator) = (false, None, None, None);
            }
            Step::Restart(n) => {
                let session = Session(100 + u64::from(world.crashes) * 10 + n as u64);
                let node = &mut world.nodes[n];
                (node.up, node.gate) = (true, Gate::new(session));
                let (name, agreed) = (name(n), node.agreed.clone());
                node.gate.applied(now, &name, &agreed);
                world.log.push(Command::Register { name, session });
            }
            Step::Refused { leader, dead } => {
                let node = &mut world.nodes[leader];
                let session = *node.agreed.sessions.get(&name(dead))?;
                node.coordinator.as_mut()?.0.refused(session);
            }
            Step::ExpireEarly(n) => {
                let session = world.nodes[n].gate.session();
                let command = Command::Expire { session, evidence: Evidence::Lapsed };
                if world.log.contains(&command) {
                    return None;
                }
                world.log.push(command);
            }
        }
        let now = time(world.step);
        let taken = world.nodes.iter().filter(|node| node.up).filter_map(|node| self.take(node, now));
        let taken: Vec<_> = taken.collect();
        world.highest = taken.iter().copied().max().unwrap_or(0).max(world.highest);
        world.broken = taken.iter().any(|&revision| revision < world.highest);
        (world != *before).then_some(world)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always(
                "nobody takes a request under an older revision than anybody before",
                |_, w: &World| !w.broken,
            ),
            Property::always(
                "what is agreed on at one place in the log is the same everywhere",
                |_, w: &World| {
                    let at: BTreeSet<_> = w.nodes.iter().map(|node| node.applied).collect();
                    at.iter().all(|at| {
                        let mut same =
                            w.nodes.iter().filter(|node| node.applied == *at).map(|node| &node.agreed);
                        let first = same.next();
                        same.all(|agreed| Some(agreed) == first)
                    })
                },
            ),
            Property::sometimes("the first change comes into force", |_, w: &World| w.highest >= 1),
            Property::sometimes("a decided change waits for a fence", |_, w: &World| {
                let decided =
                    |node: &Node| matches!(&node.agreed.change, Some(c) if c.phase == Phase::Decided);
                w.nodes.iter().any(decided)
            }),
        ]
    }
}

/// Walks all states within the bounds; past the budget it stops, and says so.
fn holds(setup: Setup) {
    let checker = setup.checker().threads(8).target_state_count(budget()).spawn_bfs().join();
    let (states, depth) = (checker.unique_state_count(), checker.max_depth());
    let whole = if checker.state_count() < budget() { "all" } else { "cut off" };
    println!("{states} states, depth {depth}, {whole}");
    if let Some(path) =
        checker.discovery("nobody takes a request under an older revision than anybody before")
    {
        panic!("two revisions at once: {:?}", path.into_actions());
    }
    checker.assert_no_discovery("what is agreed on at one place in the log is the same everywhere");
}

const BASE: Setup = Setup {
    nodes: 2,
    documents: &["good"],
    silence: Silence::Serve,
    crashes: 0,
    elections: 0,
    steps: 1,
    travels: false,
    defect: None,
};

/// Most states looked at in CI; `CROFTSILL_MODEL_STATES` asks for more.
fn budget() -> usize {
    std::env::var("CROFTSILL_MODEL_STATES").ok().and_then(|n| n.parse().ok()).unwrap_or(600_000)
}

#[test]
fn two_revisions_never_decide_at_once_while_words_are_late_and_lost() {
    holds(Setup { travels: true, elections: 1, ..BASE });
}

#[test]
fn two_revisions_never_decide_at_once_with_a_crash() {
    holds(Setup { nodes: 3, crashes: 1, steps: 0, ..BASE });
}

#[test]
fn two_revisions_never_decide_at_once_with_an_election_and_lapsed_leases() {
    holds(Setup { nodes: 3, elections: 1, steps: 5, ..BASE });
}

#[test]
fn two_revisions_never_decide_at_once_with_leases_at_all_times() {
    holds(Setup { nodes: 2, silence: Silence::Stop, elections: 1, steps: 9, ..BASE });
}

#[test]
fn two_changes_one_of_them_declined() {
    holds(Setup { documents: &["bad", "good"], crashes: 1, elections: 1, ..BASE });
}

#[test]
fn two_changes_of_three_conductors_and_a_crash() {
    holds(Setup { nodes: 3, documents: &["good", "good"], crashes: 1, steps: 0, ..BASE });
}

#[test]
fn two_changes_of_three_conductors() {
    holds(Setup { nodes: 3, documents: &["good", "good"], ..BASE });
}

#[test]
fn a_change_comes_into_force_in_the_model() {
    let checker = BASE.checker().threads(2).target_state_count(200_000).spawn_bfs().join();
    assert!(checker.discovery("the first change comes into force").is_some());
    assert!(checker.discovery("a decided change waits for a fence").is_some());
}

/// The check itself: each of these faults must show as two revisions at once.
#[test]
fn the_check_catches_what_it_is_there_for() {
    for (defect, setup) in [
        (Defect::ExpireEarly, BASE),
        (Defect::ForgetFence, BASE),
        (Defect::ServeUnregistered, Setup { crashes: 1, ..BASE }),
    ] {
        let setup = Setup { defect: Some(defect), ..setup };
        let checker = setup.checker().threads(4).target_state_count(2_000_000).spawn_bfs().join();
        let found = checker.discovery("nobody takes a request under an older revision than anybody before");
        assert!(found.is_some(), "not caught within {} states", checker.unique_state_count());
    }
}

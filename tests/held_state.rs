//! A state that a reader holds is taken or released within its limit, whatever does not arrive: the writer's call, the release, the
//! reader's answer. The real program, with servers behind connections that accept everything, pass nothing on and tell nobody.

use std::path::Path;
use std::sync::Arc;
use std::time::Duration;

use rig::soak::clients::{Asked, Behaviour, Client, Got};
use rig::soak::deployment::Deployment;
use rig::soak::fleet::{Fleet, FleetPlanner};
use rig::soak::network::{Passing, Plan, Trouble, Way};
use rig::soak::servers::Attempt;
use rig::stand_ins::{HELD_MOST, Role};
use tokio::time::{Instant, sleep};

/// Requests in one round that teach the program how long servers take.
const WARM_UP: usize = 8;
/// Rounds within which it has learnt it: the first attempts at slow servers are given up too early.
const WARM_UP_ROUNDS: usize = 12;
/// Rounds in a row in which all were served, after which it has.
const SERVED_ROUNDS: usize = 3;
/// After which the program has closed an idle connection.
const IDLE_LIFE: Duration = Duration::from_millis(2_400);
/// Within which the program has written a request to a connection that it has opened.
const WRITTEN_WITHIN: Duration = Duration::from_millis(100);
/// Far above any wait that is meant.
const TIMEOUT: Duration = Duration::from_secs(20);
/// The classes of [`Deployment::quiet`].
const SAFE: usize = 0;
const UNSAFE: usize = 1;

fn play(test: impl Future<Output = ()>) {
    let runtime = tokio::runtime::Builder::new_multi_thread().worker_threads(2).enable_all().build();
    runtime.expect("a runtime").block_on(test);
}

/// A deployment in which a read and a first token take so long each.
fn deployment(readers: (usize, Duration), writers: (usize, Duration)) -> Deployment {
    let mut deployment = Deployment::quiet(readers.0, writers.0);
    for manner in &mut deployment.servers {
        manner.first = if manner.role == Role::Read { readers.1 } else { writers.1 };
    }
    deployment
}

async fn served(deployment: Deployment, planner: FleetPlanner) -> Fleet {
    let program = Path::new(env!("CARGO_BIN_EXE_croftsill"));
    let mut fleet = Fleet::new(program, deployment, planner, 1).await.expect("a fleet");
    assert!(fleet.start().await.expect("it starts"), "it takes clients");
    let mut served_rounds = 0;
    for round in 0..WARM_UP_ROUNDS {
        let asks = (0..WARM_UP).map(|number| ask(&fleet, &format!("warm-{round}-{number}"), SAFE));
        let asked = joined(asks).await;
        let served = asked.iter().all(|a| matches!(a.got, Got::Answer { status: 200, whole: true, .. }));
        served_rounds = if served { served_rounds + 1 } else { 0 };
        if served_rounds == SERVED_ROUNDS {
            return fleet;
        }
    }
    panic!("it does not serve: {}", fleet.conductors[0].lines.from(0).join("\n"));
}

async fn joined(asks: impl Iterator<Item = impl Future<Output = Asked> + Send + 'static>) -> Vec<Asked> {
    let running: Vec<_> = asks.map(tokio::spawn).collect();
    let mut asked = Vec::new();
    for one in running {
        asked.push(one.await.expect("no panic"));
    }
    asked
}

fn ask(fleet: &Fleet, name: &str, class: usize) -> impl Future<Output = Asked> + Send + use<> {
    let mut client = Client::new(0, fleet.doors[0].clone(), name.into(), fleet.clock);
    let its = fleet.deployment.classes[class].clone();
    async move { client.ask((class, &its), its.deadline, Behaviour::Plain).await }
}

/// Waits until this holds; false if that takes too long.
async fn happens(holds: impl Fn() -> bool) -> bool {
    let begun = Instant::now();
    while !holds() && begun.elapsed() < TIMEOUT {
        sleep(Duration::from_millis(1)).await;
    }
    holds()
}

fn untroubled() -> FleetPlanner {
    Arc::new(|_, _, _| None)
}

/// Sends one request, and looks at what is held while its client waits and for as long again as a state may be held.
async fn nothing_is_held_too_long(fleet: &Fleet, class: usize) {
    let limit = Duration::from_micros(HELD_MOST);
    let asked = tokio::spawn(ask(fleet, "one", class));
    sleep(3 * limit).await;
    let (held_long, released) = fleet.record.look(|seen, now| {
        seen.check_all(now);
        (seen.held_long.clone(), seen.released)
    });
    let log = fleet.conductors[0].lines.from(0).join("\n");
    assert!(held_long.is_empty(), "{held_long:?}\n{log}");
    assert!(released > 0, "no state was there to be released\n{log}");
    asked.abort();
}

/// The writers' connections fall silent: the calls for a state are written and do not arrive. An unsafe request has one such call
/// out, a safe one several after each other.
#[test]
fn a_call_that_does_not_arrive_does_not_stop_the_clock() {
    for (class, first_token) in [(UNSAFE, Duration::from_millis(500)), (SAFE, Duration::from_millis(150))] {
        play(async {
            let deployment = deployment((2, Duration::from_millis(5)), (4, first_token));
            let fleet = served(deployment, untroubled()).await;
            for link in fleet.links_to(0, Role::Write) {
                link.change(|state| state.up = Passing::Lost);
            }
            nothing_is_held_too_long(&fleet, class).await;
        });
    }
}

/// A read's answer is cut off by a reset, so that its state may be there, and the servers that are asked to release it first do not
/// get to hear it.
#[test]
fn a_release_that_does_not_arrive_is_made_at_other_servers() {
    play(async {
        let deployment = deployment((2, Duration::from_millis(5)), (10, Duration::from_millis(5)));
        let cut_off = Arc::new(std::sync::atomic::AtomicBool::new(false));
        let (readers, cut) =
            (deployment.servers.iter().filter(|s| s.role == Role::Read).count(), cut_off.clone());
        let planner: FleetPlanner = Arc::new(move |_, server, _| {
            let reader = server.is_some_and(|server| server < readers);
            let cut = reader && cut.load(std::sync::atomic::Ordering::Relaxed);
            cut.then_some(Plan { way: Way::Down, after: 0, trouble: Trouble::Reset })
        });
        let fleet = served(deployment, planner).await;
        cut_off.store(true, std::sync::atomic::Ordering::Relaxed);
        // Kept connections to readers were opened before, and are closed by then.
        sleep(IDLE_LIFE).await;
        for link in fleet.links_to(0, Role::Write) {
            link.change(|state| state.up = Passing::Lost);
        }
        let clear = sleep(Duration::from_millis(700));
        tokio::join!(nothing_is_held_too_long(&fleet, UNSAFE), async {
            clear.await;
            cut_off.store(false, std::sync::atomic::Ordering::Relaxed);
        });
    });
}

/// The readers' answers are lost in silence: the states are there, and nobody tells. A release beside the read would take its state
/// from one that is merely slow, so it comes with the read's time-out.
#[test]
fn a_read_whose_answer_does_not_arrive_is_released() {
    play(async {
        let deployment = deployment((3, Duration::from_millis(900)), (2, Duration::from_millis(5)));
        let fleet = served(deployment, untroubled()).await;
        for link in fleet.links_to(0, Role::Read) {
            link.change(|state| state.down = Passing::Lost);
        }
        nothing_is_held_too_long(&fleet, UNSAFE).await;
    });
}

/// Reads, or first tokens, that take longer than a state may be held cost no further attempt: what is on its way is left alone.
#[test]
fn slow_servers_lose_no_state_to_a_release() {
    let (quick, slow, pin_limit) =
        (Duration::from_millis(5), Duration::from_millis(400), Duration::from_millis(200));
    for (read, first_token) in [(slow, quick), (quick, slow)] {
        play(async {
            let deployment = Deployment { pin_limit, ..deployment((2, read), (2, first_token)) };
            let fleet = served(deployment, untroubled()).await;
            let before = fleet.record.look(|seen, _| seen.attempts.len());
            let asked = joined((0..4).map(|number| ask(&fleet, &format!("slow-{number}"), UNSAFE))).await;
            let served = |a: &Asked| matches!(a.got, Got::Answer { status: 200, whole: true, .. });
            assert!(asked.iter().all(served), "{asked:?}");
            let attempts = fleet.record.look(|seen, _| seen.attempts.len()) - before;
            assert_eq!(attempts, 2 * asked.len(), "a read and a write each");
        });
    }
}

/// Guards against a judge that holds a read against its conductor which the network kept back until that process had been killed.
#[test]
fn a_read_that_arrives_after_its_process_was_killed_is_not_held_against_it() {
    play(async {
        let quick = Duration::from_millis(5);
        // The end of a connection does not overtake its bytes at the server.
        let keeps_end: FleetPlanner =
            Arc::new(|_, _, _| Some(Plan { way: Way::Up, after: 0, trouble: Trouble::KeepsEnd }));
        let mut fleet = served(deployment((2, quick), (2, quick)), keeps_end).await;
        sleep(IDLE_LIFE).await;
        let links: Vec<_> = fleet.links_to(0, Role::Read).cloned().collect();
        let is_late = |attempt: &&Attempt| attempt.id.starts_with("late");
        let opened = || links.iter().map(|link| link.opened()).sum::<u64>();
        let before = opened();
        links.iter().for_each(|link| link.change(|state| state.up = Passing::Waits));
        let asked = tokio::spawn(ask(&fleet, "late", UNSAFE));
        assert!(happens(|| opened() > before).await, "the read is sent");
        sleep(WRITTEN_WITHIN).await;
        fleet.conductors[0].kill().await;
        let killed = fleet.record.look(|seen, now| {
            seen.killed(0, now);
            now
        });
        links.iter().for_each(|link| link.change(|state| state.up = Passing::Passes));
        let arrived = || fleet.record.look(|seen, _| seen.attempts.iter().find(is_late).cloned());
        assert!(happens(|| arrived().is_some()).await, "the read arrives");
        let attempt = arrived().expect("it has arrived");
        assert!(attempt.sent > killed, "the network read its bytes after the kill");
        sleep(3 * Duration::from_micros(HELD_MOST)).await;
        let held_long = fleet.record.look(|seen, now| {
            seen.check_all(now);
            seen.held_long.clone()
        });
        assert!(held_long.is_empty(), "{held_long:?}");
        asked.abort();
    });
}

//! Lists reach every conductor in time, at 2, 300 and 350 of them: watches that fall silent, are cut or refused, discovery
//! that is down. One process holds all conductors, on tokio's paused clock; discovery is a stand-in on loopback.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use croftsill::api::{HostId, Outcome, Role, Settings};
use croftsill::node::counters::Counters;
use croftsill::node::list::discovery::DiscoveryClient;
use croftsill::node::list::fleet::Fleet;
use croftsill::node::list::membership::{Membership, TargetList};
use croftsill::node::list::pace::CallSchedule;
use croftsill::node::planner::Planner;
use croftsill::node::policy_gate::PolicyGate;
use croftsill::node::process::readiness::Readiness;
use croftsill::node::process::schedule::GracePeriod;
use croftsill::node::process::shutdown::Shutdown;
use croftsill::node::process::start::{Given, become_ready};
use croftsill::node::request::Responder;
use croftsill::node::upstream::attempt::{InitialResult, Payload, Protocol, Upstream};
use croftsill::node::upstream::pool::{Endpoint, LocalFaultHandling, Pool, PoolLimits, Reuse};
use croftsill::node::upstream::socket::SendCheck;
use croftsill::node::{Clock, Core};
use croftsill::wire::{Names, settings_from};
use hyper::HeaderMap;
use proptest::prelude::*;
use proptest::test_runner::{RngAlgorithm, TestRng, TestRunner};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::task::{LocalSet, spawn_local};
use tokio::time::{Instant, sleep, timeout};

/// What the stand-in does at present.
#[derive(Clone, Copy, Debug, Default)]
struct World {
    version: u64,
    draining: bool,
    /// Calls get no answer; open watches say nothing, now and later.
    down: bool,
    /// Watches opened before the last change of this say nothing more.
    silenced: u32,
    /// Watches opened before the last change of this write a line byte by byte from then on.
    slowed: u32,
    /// Watches opened before the last change of this end.
    cut: u32,
    fate: Fate,
}

/// What becomes of a call.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum Fate {
    #[default]
    Served,
    Refused,
    Reset,
    Silent,
    /// The head of an answer, and nothing behind it.
    Half,
    /// The same, and the connection ends after a while.
    HalfAndCut,
    /// A watch begins with a list that is older than the one at hand.
    Older,
}

type Calls = Rc<RefCell<Vec<Instant>>>;

/// Shorter than any silence that loses a watch.
const BETWEEN_SLOW_BYTES: Duration = Duration::from_millis(500);

fn line(world: &World, full: bool) -> String {
    let state = if world.draining { "Terminating" } else { "Ready" };
    let entry = format!(
        r#"{{"id":"r1","addr":"127.0.0.1:9","zone":"sejong-1","kind":"prefill","cell":1,"state":"{state}"}}"#
    );
    let servers = if full || world.version > 1 { entry } else { String::new() };
    format!("{{\"version\":{},\"full\":{full},\"servers\":[{servers}]}}\n", world.version)
}

/// Nothing more comes here, until the other side gives up.
async fn given_up(mut socket: TcpStream) -> std::io::Result<()> {
    socket.read_u8().await.map(|_| ())
}

async fn answer(
    mut socket: TcpStream, mut world: watch::Receiver<World>, calls: Calls,
) -> std::io::Result<()> {
    let mut head = Vec::new();
    while !head.ends_with(b"\r\n\r\n") {
        head.push(socket.read_u8().await?);
    }
    calls.borrow_mut().push(Instant::now());
    let begun = *world.borrow_and_update();
    if begun.down {
        // Nobody comes back to a call that was not answered.
        return given_up(socket).await;
    }
    let follows = String::from_utf8_lossy(&head).contains("follow=1");
    match begun.fate {
        Fate::Served => {}
        Fate::Silent => return given_up(socket).await,
        Fate::Reset => return Ok(()),
        Fate::Refused => {
            return socket.write_all(b"HTTP/1.1 503 Overbooked\r\ncontent-length: 0\r\n\r\n").await;
        }
        Fate::Half | Fate::HalfAndCut => {
            socket.write_all(b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n").await?;
            if begun.fate == Fate::Half {
                return given_up(socket).await;
            }
            sleep(Duration::from_millis(1_900)).await;
            return Ok(());
        }
        Fate::Older if follows => {
            socket.write_all(b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n").await?;
            let first = line(&World { version: 0, ..begun }, false);
            socket.write_all(format!("{:x}\r\n{first}\r\n", first.len()).as_bytes()).await?;
            return given_up(socket).await;
        }
        Fate::Older => return Ok(()),
    }
    let chunk = |text: &str| format!("{:x}\r\n{text}\r\n", text.len());
    if !follows {
        let whole = line(&begun, true);
        let text = format!("HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n{whole}", whole.len());
        return socket.write_all(text.as_bytes()).await;
    }
    let first = chunk(&line(&begun, false));
    socket.write_all(b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n").await?;
    socket.write_all(first.as_bytes()).await?;
    loop {
        let changed = match timeout(Duration::from_secs(2), world.changed()).await {
            Ok(Err(_)) => return Ok(()),
            heard => heard.is_ok(),
        };
        let now = *world.borrow_and_update();
        if now.cut != begun.cut {
            return Ok(());
        }
        if now.down || now.silenced != begun.silenced {
            return given_up(socket).await;
        }
        let text = if changed { line(&now, false) } else { "\n".into() };
        if now.slowed != begun.slowed {
            for byte in text.trim_end().chars() {
                sleep(BETWEEN_SLOW_BYTES).await;
                socket.write_all(chunk(&byte.to_string()).as_bytes()).await?;
            }
            return given_up(socket).await;
        }
        socket.write_all(chunk(&text).as_bytes()).await?;
    }
}

struct Scene {
    world: watch::Sender<World>,
    calls: Calls,
    fleets: Vec<Rc<Fleet>>,
}

fn configured(conductors: usize, asked: bool) -> (Settings, Names) {
    let text = include_str!("exchanges/settings.json")
        .replace("\"balancers\": 2", &format!("\"balancers\": {conductors}"));
    let mode = if asked { "ask" } else { "push" };
    let text = text.replace("\"membershipMode\": \"push\"", &format!("\"membershipMode\": \"{mode}\""));
    settings_from(serde_json::from_str(&text).expect("settings")).expect("settings")
}

impl Scene {
    /// So many conductors that follow the stand-in, all of which have heard it.
    async fn open(conductors: usize, asked: bool) -> Self {
        let (scene, heard) = Self::start(conductors, asked, World { version: 1, ..World::default() }).await;
        for mut told in heard {
            told.wait_for(|told| *told).await.expect("a list");
        }
        scene
    }

    /// So many conductors that begin together, and whether each has heard the stand-in.
    async fn start(conductors: usize, asked: bool, world: World) -> (Self, Vec<watch::Receiver<bool>>) {
        let (world, seen) = watch::channel(world);
        let calls = Calls::default();
        let (mut fleets, mut heard) = (Vec::new(), Vec::new());
        // The system's queue of a listener holds fewer than all.
        for first in (0..conductors).step_by(LISTENER_EACH) {
            let listener = TcpListener::bind("127.0.0.1:0").await.expect("an address");
            let address = listener.local_addr().expect("an address");
            let (seen, counted) = (seen.clone(), calls.clone());
            spawn_local(async move {
                while let Ok((socket, _)) = listener.accept().await {
                    let (seen, counted) = (seen.clone(), counted.clone());
                    spawn_local(async move { answer(socket, seen, counted).await });
                }
            });
            for n in first..conductors.min(first + LISTENER_EACH) {
                let (fleet, told) = conductor(n as u64, conductors, asked, address);
                fleets.push(fleet);
                heard.push(told);
            }
        }
        (Scene { world, calls, fleets }, heard)
    }

    fn now(&self, change: impl FnOnce(&mut World)) -> Instant {
        self.world.send_modify(change);
        Instant::now()
    }

    /// Conductors that would send to the instance.
    fn sending(&self) -> usize {
        let ready = |fleet: &&Rc<Fleet>| {
            let host = fleet.host("r1").expect("it is listed");
            fleet.core().upstream.pool().endpoint(host).is_some_and(|site| site.is_ready)
        };
        self.fleets.iter().filter(ready).count()
    }

    /// Waits until nobody would send there; since then, how long.
    async fn drained(&self, since: Instant, at_most: Duration) -> Duration {
        while self.sending() > 0 {
            assert!(since.elapsed() < at_most, "{} still send after {:?}", self.sending(), since.elapsed());
            sleep(Duration::from_millis(10)).await;
        }
        since.elapsed()
    }

    /// The most calls within a tenth of a second since then.
    fn crowd(&self, since: Instant) -> usize {
        let calls = self.calls.borrow();
        let mut times: Vec<_> = calls.iter().filter(|at| **at >= since).collect();
        times.sort();
        let end = |from: &Instant| times.partition_point(|at| **at <= *from + Duration::from_millis(100));
        times.iter().enumerate().map(|(n, from)| end(from) - n).max().unwrap_or(0)
    }
}

fn core(settings: &Settings, seed: u64, connections: usize) -> (Core, Clock) {
    let (counters, clock) = (Rc::new(Counters::default()), Clock::start());
    let limits = PoolLimits {
        connect_timeout: Duration::from_secs(1),
        max_idle_time: Duration::from_secs(2),
        max_connections: connections,
    };
    let (planner, _orders) = Planner::start(settings.clone(), seed, clock, None);
    let pool = Rc::new(Pool::new(limits, counters.clone()));
    let upstream =
        Rc::new(Upstream::new(pool, Protocol::Platform { pin_limit: 1_000_000 }, counters.clone()));
    (Core { planner, upstream, counters, policy_gate: PolicyGate::always_open() }, clock)
}

fn conductor(
    seed: u64, conductors: usize, asked: bool, address: SocketAddr,
) -> (Rc<Fleet>, watch::Receiver<bool>) {
    let (settings, names) = configured(conductors, asked);
    let (core, clock) = core(&settings, seed, 8);
    let mut known = Membership::default();
    let whole = line(&World { version: 1, ..World::default() }, true);
    known.apply_list(&TargetList::parse(whole.as_bytes()).expect("a list").0).expect("the first list");
    let pace = CallSchedule::new(&settings, seed);
    let fleet = Fleet::new(core, settings, names, clock, known);
    let (told, heard) = watch::channel(false);
    // Discovery stays where it is: the sender is kept by the task.
    let (moves, address) = watch::channel(address);
    let directory = DiscoveryClient::new(fleet.clone(), pace, told);
    spawn_local(async move {
        directory.run(address).await;
        drop(moves);
    });
    (fleet, heard)
}

fn payload() -> Payload {
    Payload {
        id: "0a".into(),
        target: "/v1/chat/completions".parse().expect("a path"),
        headers: HeaderMap::new(),
        body: Bytes::from_static(b"{}"),
    }
}

/// An instance that counts the requests that begin there and answers none.
async fn mute() -> (SocketAddr, Rc<Cell<u32>>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("an address");
    let (address, begun) = (listener.local_addr().expect("an address"), Rc::<Cell<u32>>::default());
    let counted = begun.clone();
    spawn_local(async move {
        while let Ok((mut socket, _)) = listener.accept().await {
            let counted = counted.clone();
            spawn_local(async move {
                if socket.read_u8().await.is_ok() {
                    counted.set(counted.get() + 1);
                }
                while socket.read_u8().await.is_ok() {}
            });
        }
    });
    (address, begun)
}

/// Conductors to one listener of the stand-in.
const LISTENER_EACH: usize = 128;
const SIZES: [usize; 5] = [2, 30, 300, 350, 1_024];
const GRACE: Duration = Duration::from_secs(1);
const TOLD_AFTER: Duration = Duration::from_secs(6);

/// Calls within a tenth of a second; of few conductors as many come together by chance.
fn crowd_most(conductors: usize) -> usize {
    (2 + conductors / 8).max(conductors.min(8))
}

fn at_each_size<F: AsyncFn(usize)>(play: F) {
    at_sizes(&SIZES, play);
}

fn at_sizes<F: AsyncFn(usize)>(sizes: &[usize], play: F) {
    for &conductors in sizes {
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().start_paused(true).build();
        LocalSet::new().block_on(&runtime.expect("a runtime"), play(conductors));
    }
}

#[test]
fn a_watch_fallen_silent_costs_no_drain_its_deadline() {
    at_each_size(async |conductors| {
        for asked in [false, true] {
            let scene = Scene::open(conductors, asked).await;
            sleep(Duration::from_millis(700)).await;
            let silent = scene.now(|w| w.silenced += 1);
            sleep(Duration::from_millis(300)).await;
            scene.now(|w| (w.draining, w.version) = (true, 2));
            scene.drained(silent, TOLD_AFTER + GRACE).await;
            if asked {
                assert!(scene.crowd(silent) <= crowd_most(conductors), "{} at once", scene.crowd(silent));
            }
        }
    });
}

/// Guards against a watch that counts as heard with each byte of a line that does not end.
#[test]
fn a_watch_whose_line_comes_byte_by_byte_costs_no_drain_its_deadline() {
    at_each_size(async |conductors| {
        for asked in [false, true] {
            let scene = Scene::open(conductors, asked).await;
            sleep(Duration::from_millis(700)).await;
            let slow = scene.now(|w| (w.slowed, w.draining, w.version) = (w.slowed + 1, true, 2));
            scene.drained(slow, TOLD_AFTER + GRACE).await;
            if asked {
                assert!(scene.crowd(slow) <= crowd_most(conductors), "{} at once", scene.crowd(slow));
            }
        }
    });
}

#[test]
fn an_agent_back_after_an_outage_is_heard_within_the_grace() {
    at_each_size(async |conductors| {
        for outage in [3_000, 8_000, 20_130] {
            let scene = Scene::open(conductors, false).await;
            scene.now(|w| w.down = true);
            sleep(Duration::from_millis(outage)).await;
            let back = scene.now(|w| (w.down, w.draining, w.version) = (false, true, 2));
            scene.drained(back, GRACE).await;
        }
    });
}

#[test]
fn cut_watches_are_opened_again_before_a_drain_binds() {
    at_each_size(async |conductors| {
        for asked in [false, true] {
            let scene = Scene::open(conductors, asked).await;
            sleep(Duration::from_secs(5)).await;
            let cut = scene.now(|w| w.cut += 1);
            sleep(Duration::from_millis(5)).await;
            scene.now(|w| (w.draining, w.version) = (true, 2));
            scene.drained(cut, if asked { TOLD_AFTER } else { GRACE }).await;
            if asked {
                assert!(scene.crowd(cut) <= crowd_most(conductors), "{} at once", scene.crowd(cut));
            }
        }
    });
}

#[test]
fn a_shared_service_back_after_an_outage_tells_all_in_time_and_is_not_crowded() {
    at_each_size(async |conductors| {
        let scene = Scene::open(conductors, true).await;
        let down = scene.now(|w| w.down = true);
        sleep(Duration::from_secs(30)).await;
        assert!(scene.crowd(down) <= crowd_most(conductors), "{} at once", scene.crowd(down));
        let back = scene.now(|w| (w.down, w.draining, w.version) = (false, true, 2));
        scene.drained(back, TOLD_AFTER + GRACE).await;
    });
}

#[test]
fn an_agent_that_refused_is_heard_within_the_grace() {
    at_each_size(async |conductors| {
        let scene = Scene::open(conductors, false).await;
        scene.now(|w| (w.fate, w.cut) = (Fate::Refused, w.cut + 1));
        sleep(Duration::from_secs(20)).await;
        let back = scene.now(|w| (w.fate, w.draining, w.version) = (Fate::Served, true, 2));
        scene.drained(back, GRACE).await;
    });
}

#[test]
fn a_service_that_refuses_is_asked_less_and_less_but_heard_before_its_changes_count_as_told() {
    at_each_size(async |conductors| {
        for (n, fate) in IN_VAIN.into_iter().enumerate() {
            let scene = Scene::open(conductors, true).await;
            let refused = scene.now(|w| (w.fate, w.cut) = (fate, w.cut + 1));
            // Calls in vain of each kind are as far apart after a few as after many.
            let (whole, last) = if fate == Fate::Refused { (120, 40) } else { (20, 10) };
            sleep(Duration::from_millis(whole * 1_000 + 370 * n as u64)).await;
            let late = Instant::now() - Duration::from_secs(last);
            assert!(
                scene.crowd(refused) <= crowd_most(conductors),
                "{fate:?}: {} at once",
                scene.crowd(refused)
            );
            // A call every four seconds each is the least that keeps the term.
            let calls = scene.calls.borrow().iter().filter(|at| **at >= late).count();
            assert!(calls as u64 * 2 <= conductors as u64 * last, "{fate:?}: {calls} calls in {last} s");
            let back = scene.now(|w| (w.fate, w.draining, w.version) = (Fate::Served, true, 2));
            let took = scene.drained(back, TOLD_AFTER).await;
            println!("{conductors} conductors, {fate:?}: {calls} calls in {last} s, all told after {took:?}");
        }
    });
}

const IN_VAIN: [Fate; 6] =
    [Fate::Refused, Fate::Reset, Fate::Silent, Fate::Half, Fate::HalfAndCut, Fate::Older];

/// Whatever became of the calls before: from the moment at which discovery can be reached and has the change, a shared service
/// is heard before that counts as told, and an agent within the grace.
async fn heard_again_after(fates: &[(usize, u64)], asked: bool) {
    let scene = Scene::open(2, asked).await;
    scene.now(|w| w.cut += 1);
    for &(fate, ms) in fates {
        scene.now(|w| w.fate = IN_VAIN[fate]);
        sleep(Duration::from_millis(ms)).await;
    }
    let back = scene.now(|w| (w.fate, w.draining, w.version) = (Fate::Served, true, 2));
    scene.drained(back, if asked { TOLD_AFTER } else { GRACE }).await;
}

#[test]
fn no_fate_of_calls_keeps_a_change_unheard_once_discovery_can_be_reached() {
    let fates = proptest::collection::vec((0..IN_VAIN.len(), 0..7_000u64), 1..10);
    let config = ProptestConfig { cases: 200, failure_persistence: None, ..ProptestConfig::default() };
    let rng = TestRng::deterministic_rng(RngAlgorithm::ChaCha);
    let played = TestRunner::new_with_rng(config, rng).run(&fates, |fates| {
        for asked in [false, true] {
            let runtime =
                tokio::runtime::Builder::new_current_thread().enable_all().start_paused(true).build();
            LocalSet::new().block_on(&runtime.expect("a runtime"), heard_again_after(&fates, asked));
        }
        Ok(())
    });
    played.expect("a change is heard in time");
}

/// All begin together with an old list: each is ready within ten seconds, whatever becomes of its calls, and none sends to what
/// drains once that counts as told.
#[test]
fn processes_that_start_together_are_ready_in_time_and_not_by_a_list_that_breaks_a_drain() {
    at_sizes(&[2, 300], async |conductors| {
        // Of many only those whose calls are the most.
        let kinds = IN_VAIN.into_iter().chain([Fate::Served]).enumerate();
        let most = [Fate::Refused, Fate::Silent, Fate::Served];
        for (n, fate) in kinds.filter(|(_, fate)| conductors < 300 || most.contains(fate)) {
            for asked in [false, true] {
                let (begun, outage) = (Instant::now(), Duration::from_millis(1_500 * n as u64));
                let world = World { version: 2, draining: true, fate, ..World::default() };
                let (scene, heard) = Scene::start(conductors, asked, world).await;
                let ready: Vec<_> = heard
                    .into_iter()
                    .map(|told| {
                        let shutdown = Shutdown::new(GracePeriod::default());
                        let given = Given { known: true, inherited: false };
                        let caught_up = std::future::ready(());
                        spawn_local(become_ready(
                            told,
                            given,
                            PolicyGate::always_open(),
                            caught_up,
                            shutdown.clone(),
                        ));
                        shutdown
                    })
                    .collect();
                sleep(outage).await;
                let back = scene.now(|w| w.fate = Fate::Served);
                for shutdown in &ready {
                    shutdown.once(Readiness::healthy).await;
                }
                let took = begun.elapsed();
                assert!(took < Duration::from_secs(10), "{conductors}, {fate:?}, asked {asked}: {took:?}");
                // What an agent has counts as told from a new process's first moment.
                let binds = if asked { TOLD_AFTER } else { GRACE };
                if !asked && fate == Fate::Served {
                    assert_eq!(scene.sending(), 0, "ready before the agent's list was in");
                }
                scene.drained(back, binds).await;
            }
        }
    });
}

/// What may come between the decision and the first byte, for a first attempt, a second stage and a probe alike: the instance
/// drains, or is gone.
#[test]
fn what_was_decided_before_a_drain_does_not_begin_after_it() {
    at_each_size(async |conductors| {
        let (settings, _) = configured(conductors, false);
        for (role, gone) in [(Role::Read, false), (Role::Write, false), (Role::Write, true)] {
            let (addr, begun) = mute().await;
            let (core, _) = core(&settings, 1, 1);
            let (upstream, host) = (core.upstream, HostId(1));
            let site = |ready| Some(Endpoint { name: "r1".into(), addr, role, is_ready: ready });
            let payload = payload();
            let send = || {
                let (upstream, payload) = (upstream.clone(), payload.clone());
                let until = Instant::now() + Duration::from_secs(3);
                spawn_local(async move {
                    let (caller, _answer) = Responder::new(payload.id.clone());
                    upstream.start_attempt(host, &payload, until, (caller.client_presence(), None)).await.0
                })
            };
            upstream.pool().set_endpoint(host, site(true));
            // One has the only connection; the next one waits for it.
            let first = send();
            sleep(Duration::from_millis(100)).await;
            let waiting = send();
            sleep(Duration::from_millis(100)).await;
            upstream.pool().set_endpoint(host, site(false).filter(|_| !gone));
            first.abort();
            let ended = waiting.await.expect("it ends");
            assert!(matches!(ended, InitialResult::Ended(Outcome::Unreachable)), "told as not sent");
            assert_eq!(upstream.probe(host).await.0, Outcome::Unreachable);
            sleep(Duration::from_millis(100)).await;
            assert_eq!(begun.get(), 1, "only what had begun before");
            // A connection that stands already, with the drain told in the very moment of sending.
            upstream.pool().set_endpoint(host, site(true));
            let mut ready = upstream
                .pool()
                .acquire(host, LocalFaultHandling::Retry, Reuse::Allowed)
                .await
                .expect("a connection");
            upstream.pool().set_endpoint(host, site(false).filter(|_| !gone));
            let (body, mark) = ready.request_body(Bytes::from_static(b"{}"), SendCheck::Probe);
            let request = hyper::Request::post("/").body(body).expect("a request");
            assert!(ready.sender().send_request(request).await.is_err() && !mark.is_written());
            sleep(Duration::from_millis(100)).await;
            assert_eq!(begun.get(), 1, "not a byte");
        }
    });
}

/// What may come between the decision and the first byte of a first attempt or a second stage: the client leaves. No byte
/// goes out then, on a connection that comes up late, on one that was waited for, and on one that stood ready.
#[test]
fn what_was_decided_before_its_client_left_does_not_begin_after_it() {
    at_each_size(async |conductors| {
        let (settings, _) = configured(conductors, false);
        for role in [Role::Read, Role::Write] {
            let (addr, begun) = mute().await;
            let (core, _) = core(&settings, 1, 1);
            let (upstream, host) = (core.upstream, HostId(1));
            upstream
                .pool()
                .set_endpoint(host, Some(Endpoint { name: "r1".into(), addr, role, is_ready: true }));
            let payload = payload();
            let send = || {
                let (caller, answer) = Responder::new(payload.id.clone());
                let (upstream, payload) = (upstream.clone(), payload.clone());
                let until = Instant::now() + Duration::from_secs(3);
                let attempt = spawn_local(async move {
                    upstream.start_attempt(host, &payload, until, (caller.client_presence(), None)).await.0
                });
                (attempt, answer)
            };
            let (first, _waits) = send();
            sleep(Duration::from_millis(100)).await;
            // It waits for the only connection, and its client leaves meanwhile.
            let (waiting, answer) = send();
            sleep(Duration::from_millis(100)).await;
            drop(answer);
            first.abort();
            let ended = waiting.await.expect("it ends");
            assert!(matches!(ended, InitialResult::Ended(Outcome::Moot)), "told as never sent");
            // Its client has left before its connection comes up.
            let (late, answer) = send();
            drop(answer);
            assert!(matches!(late.await.expect("it ends"), InitialResult::Ended(Outcome::Moot)));
            sleep(Duration::from_millis(100)).await;
            assert_eq!(begun.get(), 1, "only what had begun before");
            // While its client waits the same attempt begins.
            let (_last, _waits) = send();
            sleep(Duration::from_millis(100)).await;
            assert_eq!(begun.get(), 2);
        }
    });
}

/// What may happen to lists, in any order.
#[derive(Clone, Copy, Debug)]
enum Act {
    Silence,
    Cut,
    Outage(u64),
    Drain(bool),
    Ban(bool),
}

fn acts() -> impl Strategy<Value = Vec<(Act, u64)>> {
    let act = prop_oneof![
        Just(Act::Silence),
        Just(Act::Cut),
        (50..9_000u64).prop_map(Act::Outage),
        any::<bool>().prop_map(Act::Drain),
        any::<bool>().prop_map(Act::Ban),
    ];
    proptest::collection::vec((act, 0..9_000u64), 1..12)
}

/// Plays them to two conductors. From the moment at which a drain or a ban binds nobody would begin anything there, until it is
/// taken back.
async fn keeps_what_was_told(acts: &[(Act, u64)], asked: bool) {
    let scene = Scene::open(2, asked).await;
    let slack = if asked { TOLD_AFTER + GRACE } else { GRACE };
    // When what drains counts as told at the latest, if it drains.
    let mut told: Option<Instant> = None;
    let mut silent = Instant::now();
    let mut banned = false;
    for &(act, wait) in acts {
        match act {
            Act::Silence => {
                // What is told from now on may be missed, and so may what was told in this moment.
                silent = scene.now(|w| w.silenced += 1) + TOLD_AFTER;
                told = told.map(|at| if scene.sending() > 0 { at.max(silent) } else { at });
            }
            Act::Cut => _ = scene.now(|w| w.cut += 1),
            Act::Outage(ms) => {
                scene.now(|w| w.down = true);
                sleep(Duration::from_millis(ms)).await;
                let back = scene.now(|w| w.down = false);
                // An outage shorter than the silence of a watch is silence, as the pages have it.
                silent = silent.max(back - Duration::from_millis(ms) + TOLD_AFTER);
                told = told.map(|at| if scene.sending() > 0 { at.max(back) } else { at });
            }
            Act::Drain(drains) => {
                let now = scene.now(|w| (w.draining, w.version) = (drains, w.version + 1));
                told = drains.then(|| told.unwrap_or(now.max(silent)));
            }
            Act::Ban(out) => {
                for fleet in &scene.fleets {
                    let _ = if out { fleet.ban("r1").await } else { fleet.lift_ban("r1").await };
                }
                banned = out;
            }
        }
        let until = Instant::now() + Duration::from_millis(wait);
        loop {
            let binds = banned || told.is_some_and(|at| Instant::now() >= at + slack);
            assert!(!binds || scene.sending() == 0, "{act:?} in {acts:?}, asked {asked}");
            if Instant::now() >= until {
                break;
            }
            sleep(Duration::from_millis(50)).await;
        }
    }
}

#[test]
fn no_order_of_lists_cuts_outages_and_bans_leaves_a_send_past_its_deadline() {
    let config = ProptestConfig { cases: 96, failure_persistence: None, ..ProptestConfig::default() };
    let rng = TestRng::deterministic_rng(RngAlgorithm::ChaCha);
    let played = TestRunner::new_with_rng(config, rng).run(&acts(), |acts| {
        for asked in [false, true] {
            let runtime =
                tokio::runtime::Builder::new_current_thread().enable_all().start_paused(true).build();
            LocalSet::new().block_on(&runtime.expect("a runtime"), keeps_what_was_told(&acts, asked));
        }
        Ok(())
    });
    played.expect("what was told is kept");
}

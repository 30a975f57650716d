//! One seeded history: a deployment, its load, faults of the network, drains, and signals in series to the conductors.

use std::path::Path;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use rustix::process::Signal;
use tokio::net::TcpStream;
use tokio::time::{Instant, sleep, sleep_until};

use super::clients::{Asks, Client, Got};
use super::deployment::Deployment;
use super::discovery::Listed;
use super::fleet::{Fleet, FleetPlanner};
use super::judge::{Ending, History, Stop};
use super::network::{Passing, Plan, Trouble, Way};
use super::slowness::slow_down;
use super::spoiling;
use crate::Micros;
use crate::stand_ins::HELD_MOST;

/// For how long clients send.
const LOAD_FOR: Duration = Duration::from_millis(7_500);
/// Clients of each conductor.
const CLIENTS: usize = 8;
/// Idle clients of each conductor in a crowd, half of which have begun a request.
const CROWD: usize = 120;
/// One of so many histories has a crowd.
const CROWD_EVERY: u64 = 4;
/// Of so many histories, all but the one with this remainder have slow servers.
const SLOW_BUT_ONE_OF: (u64, u64) = (8, 4);
/// Sets the draws for slow servers apart from a history's others.
const SLOW_SEED: u64 = 0x736c_6f77;
/// A process is held up for so long.
const HELD_UP: Duration = Duration::from_millis(150);
/// Within which a restarted conductor takes clients.
const READY_MOST: Micros = 10_000_000;
/// Part of the connections to servers that something befalls, and of clients' connections.
const TROUBLED: (f64, f64) = (0.12, 0.04);
/// Part of the other connections to servers on which an answer is spoilt.
const SPOILT: f64 = 0.1;
/// Sets the draws for spoilt answers apart from a history's others.
const SPOILT_SEED: u64 = 0x7370_6f69;
/// Timers that run later than this make a history worthless.
const LATENESS_MOST: Micros = 250_000;

/// What came of a history.
pub struct Outcome {
    /// A line on each thing that was done or counted.
    pub told: Vec<String>,
    /// All that breaks a rule.
    pub found: Vec<String>,
    /// What breaks a rule and is known to.
    pub known: Vec<String>,
    /// Requests whose clients got a whole stream.
    pub served: usize,
    /// The machine was too busy for the findings to count.
    pub too_busy: bool,
}

/// What befalls connections, drawn from the seed and the connection's own numbers.
fn planner(seed: u64) -> FleetPlanner {
    Arc::new(move |conductor, server, number| {
        let place = (conductor as u64) << 48 ^ (server.map_or(255, |server| server as u64)) << 32 ^ number;
        let mut rng = SmallRng::seed_from_u64(seed ^ place.wrapping_mul(0x9e37_79b9_7f4a_7c15));
        let share = if server.is_some() { TROUBLED.0 } else { TROUBLED.1 };
        let drawn = rng.random_bool(share).then(|| Plan {
            way: if rng.random_bool(0.5) { Way::Up } else { Way::Down },
            after: rng.random_range(0..1_400),
            trouble: match rng.random_range(0..8) {
                0..=2 => Trouble::Silence,
                3 => Trouble::Pause(Duration::from_millis(rng.random_range(50..1_500))),
                4 => Trouble::Reset,
                5 => Trouble::HalfClose,
                6 => Trouble::Pieces,
                _ => Trouble::KeepsEnd,
            },
        });
        drawn.or_else(|| {
            server.and_then(|_| spoils(&mut SmallRng::seed_from_u64(rng.random::<u64>() ^ SPOILT_SEED)))
        })
    })
}

/// Draws whether an answer on a connection is spoilt, behind so many bytes that servers send.
fn spoils(rng: &mut SmallRng) -> Option<Plan> {
    rng.random_bool(SPOILT).then(|| Plan {
        way: Way::Down,
        after: rng.random_range(0..2_500),
        trouble: Trouble::Spoils(spoiling::ALL[rng.random_range(0..spoiling::ALL.len())]),
    })
}

/// Plays one history. The fleet is given back for its files.
pub async fn play(program: &Path, seed: u64) -> std::io::Result<(Fleet, Outcome)> {
    let mut rng = SmallRng::seed_from_u64(seed);
    let mut deployment = Deployment::draw(&mut rng);
    if seed % SLOW_BUT_ONE_OF.0 != SLOW_BUT_ONE_OF.1 {
        slow_down(&mut deployment, &mut SmallRng::seed_from_u64(seed ^ SLOW_SEED));
    }
    let mut fleet = Fleet::new(program, deployment.clone(), planner(seed), seed).await?;
    let told = vec![describe(&deployment, seed)];
    let mut outcome = Outcome { told, found: vec![], known: vec![], served: 0, too_busy: false };
    if !fleet.start().await? {
        outcome.found.push("not all conductors took clients".into());
        return Ok((fleet, outcome));
    }
    let (stop, lateness) = (Instant::now() + LOAD_FOR, watch_lateness());
    let (asks, mut running) = (Asks::default(), Vec::new());
    for at in 0..deployment.conductors {
        for number in 0..CLIENTS {
            let client =
                Client::new(at, fleet.doors[at].clone(), format!("{seed}-{at}-{number}"), fleet.clock);
            let own = SmallRng::seed_from_u64(rng.random());
            running.push(tokio::spawn(client.live(deployment.clone(), asks.clone(), own, stop)));
        }
    }
    let crowd = if seed.is_multiple_of(CROWD_EVERY) { crowd(&fleet).await } else { Vec::new() };
    let (mut faults_rng, mut signals_rng) =
        (SmallRng::seed_from_u64(rng.random()), SmallRng::seed_from_u64(rng.random()));
    let mut signals = Signals::default();
    let handles = Handles::of(&fleet);
    let faults = tokio::spawn(async move { handles.disturb(&mut faults_rng, stop).await });
    signals.send(&mut fleet, &mut signals_rng, stop).await?;
    outcome.told.extend(faults.await.unwrap_or_default());
    for client in running {
        let _ = client.await;
    }
    drop(crowd);
    // What is held by now has to end.
    sleep(2 * Duration::from_micros(HELD_MOST)).await;
    outcome.found.append(&mut signals.found);
    for (number, conductor) in fleet.conductors.iter_mut().enumerate() {
        if let Some(code) = conductor.exited() {
            outcome.found.push(format!("conductor {number} ended by itself, exit code {code:?}"));
        }
    }
    let lateness = lateness.load(Ordering::Relaxed);
    let history = fleet.record.look(|seen, now| {
        seen.check_all(now);
        let drains = fleet.agents.iter().map(|agent| agent.drains()).collect();
        let (attempts, held_long) = (seen.attempts.clone(), seen.held_long.clone());
        outcome.told.push(format!(
            "{} attempts; states: {} taken, {} released by {} releases",
            attempts.len(),
            seen.taken,
            seen.released,
            seen.releases
        ));
        let (endings, stops) = (signals.endings.clone(), signals.stops.clone());
        let asked = asks.all();
        History { deployment, asked, attempts, held_long, endings, stops, drains, lateness }
    });
    outcome.told.push(count(&history));
    outcome.served = history.asked.iter().filter(|asked| is_served(&asked.got)).count();
    outcome.too_busy = lateness > LATENESS_MOST;
    outcome.found.extend(history.findings());
    outcome.known = history.known();
    Ok((fleet, outcome))
}

fn describe(deployment: &Deployment, seed: u64) -> String {
    let deadlines: Vec<_> = deployment.classes.iter().map(|class| class.deadline.as_millis()).collect();
    format!(
        "{} conductors, {} servers ({} slow), {} zones, deadlines {deadlines:?} ms, states held for {} ms at most{}",
        deployment.conductors,
        deployment.servers.len(),
        deployment.servers.iter().filter(|server| server.slowness.is_some()).count(),
        deployment.zones.len(),
        deployment.pin_limit.as_millis(),
        if seed.is_multiple_of(CROWD_EVERY) { ", a crowd" } else { "" }
    )
}

fn is_served(got: &Got) -> bool {
    matches!(got, Got::Answer { status: 200, whole: true, .. })
}

fn count(history: &History) -> String {
    let of = |fits: fn(&Got) -> bool| history.asked.iter().filter(|asked| fits(&asked.got)).count();
    format!(
        "{} requests: {} served, {} refused, {} otherwise answered, {} cut, {} closed, {} with nothing; {} planned ends; timers {} ms late",
        history.asked.len(),
        of(is_served),
        of(|got| matches!(got, Got::Answer { status: 429 | 503, .. })),
        of(|got| matches!(got, Got::Answer { status, whole: true, .. } if ![200, 429, 503].contains(status))),
        of(|got| matches!(got, Got::Answer { whole: false, .. })),
        of(|got| matches!(got, Got::Closed)),
        of(|got| matches!(got, Got::Nothing)),
        history.endings.len(),
        history.lateness / 1_000,
    )
}

/// How late this machine runs its timers, at worst, from now on.
fn watch_lateness() -> Arc<AtomicU64> {
    let worst = Arc::new(AtomicU64::new(0));
    let seen = Arc::downgrade(&worst);
    tokio::spawn(async move {
        let each = Duration::from_millis(5);
        while let Some(worst) = seen.upgrade() {
            let begun = Instant::now();
            sleep(each).await;
            worst.fetch_max((begun.elapsed() - each).as_micros() as u64, Ordering::Relaxed);
        }
    });
    worst
}

/// Idle clients, half of which have begun a request.
async fn crowd(fleet: &Fleet) -> Vec<TcpStream> {
    let mut open = Vec::new();
    for door in &fleet.doors {
        for number in 0..CROWD {
            let Ok(mut socket) = TcpStream::connect(door.address).await else { continue };
            if number % 2 == 0 {
                let begun = b"POST /v1/chat/completions HTTP/1.1\r\nHost: a";
                let _ = tokio::io::AsyncWriteExt::write_all(&mut socket, begun).await;
            }
            open.push(socket);
        }
    }
    open
}

/// What faults are set on.
struct Handles {
    links: Vec<Vec<super::network::Link>>,
    agents: Vec<super::discovery::Agent>,
    ids: Vec<String>,
}

impl Handles {
    fn of(fleet: &Fleet) -> Self {
        let ids = (0..fleet.servers.len()).map(|number| fleet.deployment.server_id(number)).collect();
        Handles { links: fleet.links.clone(), agents: fleet.agents.clone(), ids }
    }

    /// Breaks the network and lists drains, one after the other, and mends all of it at the end.
    async fn disturb(self, rng: &mut SmallRng, until: Instant) -> Vec<String> {
        let (begun, mut told) = (Instant::now(), Vec::new());
        while Instant::now() < until {
            sleep(Duration::from_millis(rng.random_range(120..500))).await;
            let (conductor, server) =
                (rng.random_range(0..self.links.len()), rng.random_range(0..self.ids.len()));
            let link = &self.links[conductor][server];
            let lasts = Duration::from_millis(rng.random_range(150..2_600));
            let what = match rng.random_range(0..9) {
                0 => {
                    link.silence_open();
                    "its open connections fall silent"
                }
                1 => {
                    self.links[conductor].iter().for_each(|link| link.silence_open());
                    "all of the conductor's open connections fall silent"
                }
                2 => {
                    self.links.iter().for_each(|links| links[server].silence_open());
                    "all of the server's open connections fall silent"
                }
                3 | 4 => {
                    let passing = if rng.random_bool(0.5) { Passing::Lost } else { Passing::Waits };
                    let (up, down) = [(true, true), (true, false), (false, true)][rng.random_range(0..3)];
                    link.change(|state| {
                        state.up = if up { passing } else { state.up };
                        state.down = if down { passing } else { state.down };
                    });
                    let link = link.clone();
                    tokio::spawn(async move {
                        sleep(lasts).await;
                        link.change(|state| (state.up, state.down) = Default::default());
                    });
                    "nothing passes for a while"
                }
                5 => {
                    link.change(|state| state.late = Duration::from_millis(rng.random_range(60..1_000)));
                    let link = link.clone();
                    tokio::spawn(async move {
                        sleep(lasts).await;
                        link.change(|state| state.late = Duration::ZERO);
                    });
                    "connections come up late"
                }
                6 => {
                    let zone = rng.random_range(0..3);
                    let cut: Vec<_> = self.links[conductor].iter().skip(zone).step_by(3).cloned().collect();
                    cut.iter().for_each(|link| {
                        link.change(|state| (state.up, state.down) = (Passing::Lost, Passing::Lost))
                    });
                    tokio::spawn(async move {
                        sleep(lasts).await;
                        cut.iter().for_each(|link| {
                            link.change(|state| (state.up, state.down) = Default::default())
                        });
                    });
                    "a third of its servers is cut off"
                }
                _ => {
                    self.agents.iter().for_each(|agent| agent.list(&self.ids[server], Listed::Terminating));
                    let (agents, id) = (self.agents.clone(), self.ids[server].clone());
                    tokio::spawn(async move {
                        sleep(lasts).await;
                        agents.iter().for_each(|agent| agent.list(&id, Listed::Ready));
                    });
                    "drains"
                }
            };
            told.push(format!(
                "{} ms: conductor {conductor}, {}: {what}",
                begun.elapsed().as_millis(),
                self.ids[server]
            ));
        }
        told
    }
}

/// Signals to conductors, one of them at a time.
#[derive(Default)]
struct Signals {
    endings: Vec<Ending>,
    stops: Vec<Stop>,
    found: Vec<String>,
}

impl Signals {
    async fn send(&mut self, fleet: &mut Fleet, rng: &mut SmallRng, until: Instant) -> std::io::Result<()> {
        while Instant::now() < until {
            sleep(Duration::from_millis(rng.random_range(300..1_100))).await;
            let at = rng.random_range(0..fleet.conductors.len());
            match rng.random_range(0..4) {
                0 => self.hold_up(fleet, at).await,
                1 => fleet.conductors[at].signal(Signal::HUP),
                _ => self.end(fleet, rng, at).await?,
            }
        }
        Ok(())
    }

    async fn hold_up(&mut self, fleet: &Fleet, at: usize) {
        let from = fleet.clock.now();
        fleet.conductors[at].signal(Signal::STOP);
        sleep(HELD_UP).await;
        fleet.conductors[at].signal(Signal::CONT);
        self.stops.push(Stop { at, from, until: fleet.clock.now() });
    }

    /// SIGTERM, further signals, SIGKILL at the soonest moment, and the next start at once.
    async fn end(&mut self, fleet: &mut Fleet, rng: &mut SmallRng, at: usize) -> std::io::Result<()> {
        if rng.random_bool(0.3) {
            fleet.conductors[at].signal(Signal::HUP);
        }
        fleet.conductors[at].signal(Signal::TERM);
        let (told, kill_at) = (fleet.clock.now(), Instant::now() + fleet.deployment.soonest_kill());
        while Instant::now() < kill_at {
            let next = Instant::now() + Duration::from_millis(rng.random_range(60..700));
            sleep_until(next.min(kill_at)).await;
            if next < kill_at {
                match rng.random_range(0..5) {
                    0 if next + HELD_UP < kill_at => self.hold_up(fleet, at).await,
                    1 => fleet.conductors[at].signal(Signal::TERM),
                    2 => fleet.conductors[at].signal(Signal::HUP),
                    _ => {}
                }
            }
        }
        match fleet.conductors[at].exited() {
            Some(Some(0)) => {}
            Some(code) => self.found.push(format!("conductor {at} ended with {code:?} after SIGTERM")),
            // Nobody can let go of what is held for it.
            None => {
                fleet.conductors[at].kill().await;
                fleet.record.look(|seen, now| seen.killed(at, now));
            }
        }
        let killed = fleet.clock.now();
        fleet.conductors[at].kill().await;
        fleet.conductors[at].start()?;
        let ready = fleet.conductors[at].ready().await;
        let back = fleet.clock.now();
        if !ready || back - killed > READY_MOST {
            self.found
                .push(format!("conductor {at} was ready {} ms after its start", (back - killed) / 1_000));
        }
        self.endings.push(Ending { at, told, killed, back });
        Ok(())
    }
}

//! The rig's command line.

use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;

use clap::{Parser, Subcommand, ValueEnum};
use rig::fleet::{Fleet, Size, document};
use rig::load::{Load, Outcome};
use rig::policy;
use rig::slow_servers::campaign as slowness;
use rig::slow_servers::play::Play;
use rig::soak::campaign;

/// Starts real conductors on loopback, breaks things between them, and checks what they promise.
#[derive(Parser)]
struct Line {
    #[command(subcommand)]
    command: Command,
    /// The program; built first where none is named
    #[arg(long, global = true)]
    program: Option<PathBuf>,
}

#[derive(Subcommand)]
enum Command {
    /// Three conductors, stand-in instances and load: a first look, under half a minute
    Demo,
    /// How long policy changes take and what they cost, at these sizes
    Measure {
        /// Conductors
        #[arg(long, value_delimiter = ',', default_value = "5,15")]
        sizes: Vec<usize>,
        /// Of shared state instead
        #[arg(long)]
        state: bool,
    },
    /// Policy changes under faults
    Policy {
        /// The first history's seed
        #[arg(long, default_value_t = 1)]
        seed: u64,
        /// How many seeds, from that one on
        #[arg(long, default_value_t = 1)]
        seeds: u64,
        /// Faults in a history
        #[arg(long, default_value_t = 12)]
        steps: usize,
    },
    /// Conductors among clients and servers over a network that breaks, with signals in series
    Soak {
        /// The first history's seed
        #[arg(long, default_value_t = 1)]
        seed: u64,
        /// How many seeds, from that one on
        #[arg(long, default_value_t = 1)]
        seeds: u64,
        /// How many at once
        #[arg(long, default_value_t = 3)]
        at_once: usize,
        /// Tell what was done in each
        #[arg(long)]
        verbose: bool,
    },
    /// Servers that read requests or write answers slowly, in every way, at every place and on every front
    SlowServers {
        /// What is played
        #[arg(long, value_enum, default_value_t = Forms::Slow)]
        forms: Forms,
        /// How often all is played
        #[arg(long, default_value_t = 1)]
        rounds: usize,
        /// Requests of each class in a play
        #[arg(long, default_value_t = 4)]
        requests: usize,
        /// How many plays at once
        #[arg(long, default_value_t = 12)]
        at_once: usize,
        /// Only plays whose description holds this text
        #[arg(long, default_value = "")]
        only: String,
        /// So many plays drawn by a seed instead, in which slow servers read slowly, too
        #[arg(long, default_value_t = 0)]
        drawn: usize,
        /// That seed
        #[arg(long, default_value_t = 1)]
        seed: u64,
        /// The conductor's connections get small send buffers
        #[arg(long)]
        small_buffers: bool,
        /// Tell what each client and server saw, and the conductor's log
        #[arg(long)]
        verbose: bool,
    },
    /// Shared state under faults: bans, named requests, copies that come together
    Replicate {
        /// The first history's seed
        #[arg(long, default_value_t = 1)]
        seed: u64,
        /// How many seeds, from that one on
        #[arg(long, default_value_t = 1)]
        seeds: u64,
        /// Faults in a history
        #[arg(long, default_value_t = 10)]
        steps: usize,
    },
}

/// What servers do in the plays of `slow-servers`.
#[derive(Clone, Copy, Debug, ValueEnum)]
enum Forms {
    /// They read or write slowly.
    Slow,
    /// They spoil their answers.
    Spoilt,
    /// They answer in unusual forms.
    Unusual,
}

impl Forms {
    fn plays(self, requests: usize) -> Vec<Play> {
        match self {
            Forms::Slow => slowness::all(requests),
            Forms::Spoilt => slowness::spoilt(requests),
            Forms::Unusual => slowness::unusual(requests),
        }
    }
}

/// What a history is about.
#[derive(Clone, Copy)]
enum About {
    Policy,
    State,
}

/// The program, built from this repository as it stands.
fn build() -> std::io::Result<PathBuf> {
    let root = std::path::Path::new(env!("CARGO_MANIFEST_DIR")).join("..");
    let cargo = std::env::var_os("CARGO").unwrap_or("cargo".into());
    let built = std::process::Command::new(cargo)
        .args(["build", "--release", "--locked", "--bin", "croftsill"])
        .current_dir(&root)
        .status()?;
    if !built.success() {
        return Err(std::io::Error::other("the program does not build"));
    }
    let target = std::env::var_os("CARGO_TARGET_DIR").map_or(root.join("target"), PathBuf::from);
    target.join("release/croftsill").canonicalize()
}

async fn demo(program: &std::path::Path) -> std::io::Result<bool> {
    let size = Size { breakable: false, ..Size::default() };
    let mut fleet = Fleet::new(program, &size, 1).await?;
    println!("starting 3 conductors, 2 readers, 3 writers on loopback ...");
    if !fleet.start().await? {
        return Ok(false);
    }
    for conductor in &fleet.conductors {
        println!(
            "  {} takes clients at {}, operators at {}",
            conductor.place.name, conductor.place.clients, conductor.place.operators
        );
    }
    let targets = fleet.conductors.iter().map(|c| c.place.clients).collect();
    let load = Load::begin(targets, 80.0, 1, fleet.clock);
    tokio::time::sleep(Duration::from_secs(3)).await;
    println!("3 s of load: {} requests ended", load.count());
    let at = fleet.conductors[1].place.operators;
    let change = policy::propose(at, &document(1, "serve"), false, Duration::from_secs(5), fleet.clock).await;
    println!(
        "a new policy, proposed at n01: {:?} after {} ms",
        change.told,
        (change.ended - change.proposed) / 1_000
    );
    tokio::time::sleep(Duration::from_secs(2)).await;
    fleet.kill(2).await;
    println!("n02 is killed");
    tokio::time::sleep(Duration::from_secs(1)).await;
    let change = policy::propose(at, &document(2, "serve"), false, Duration::from_secs(5), fleet.clock).await;
    println!("another policy: {:?} after {} ms", change.told, (change.ended - change.proposed) / 1_000);
    fleet.restart(2).await?;
    let back = fleet.conductors[2].ready().await;
    println!("n02 is back{}", if back { " and takes clients" } else { ", and does not become ready" });
    tokio::time::sleep(Duration::from_secs(2)).await;
    let asked = load.end().await;
    for (class, is_unsafe) in [("climb-query", false), ("route-save", true)] {
        let count =
            |outcome| asked.iter().filter(|a| a.is_unsafe == is_unsafe && a.outcome == outcome).count();
        println!(
            "{class}: {} served, {} refused, {} failed, {} cut short by the kill, {} found n02 away",
            count(Outcome::Served),
            count(Outcome::Refused),
            count(Outcome::Failed),
            count(Outcome::Lost) + count(Outcome::Broken),
            count(Outcome::Unreachable)
        );
    }
    Ok(back)
}

fn soak(
    program: &std::path::Path, seeds: std::ops::Range<u64>, at_once: usize, verbose: bool,
) -> std::io::Result<bool> {
    let all = campaign::play(program, seeds, at_once, |played| {
        let busy = if played.too_busy { ", the machine was too busy: does not count" } else { "" };
        let mut text = format!("seed {}: {} found{busy}\n", played.seed, played.found.len());
        let told = played.told.iter().filter(|line| verbose || !line.contains(" ms: "));
        told.for_each(|line| text += &format!("  {line}\n"));
        played.found.iter().take(12).for_each(|line| text += &format!("  FOUND: {line}\n"));
        played.known.iter().for_each(|line| text += &format!("  KNOWN RED: {line}\n"));
        let kept = played.kept.iter().map(|folder| format!("  kept in {}\n", folder.display()));
        print!("{text}{}", kept.collect::<String>());
    })?;
    let failed = all.iter().filter(|played| played.failed()).count();
    let too_busy = all.iter().filter(|played| played.too_busy).count();
    let known: usize = all.iter().map(|played| played.known.len()).sum();
    let passed = all.len() - failed - too_busy;
    println!(
        "{passed} passed, {failed} failed, {too_busy} too busy to count; {known} findings are known red"
    );
    Ok(failed == 0)
}

/// How plays with slow servers are run and told.
struct SlowRun {
    plays: Vec<Play>,
    at_once: usize,
    small_buffers: bool,
    verbose: bool,
}

/// Plays servers that are slow. Returns whether no rule was broken.
async fn slow_servers(program: &std::path::Path, run: SlowRun) -> std::io::Result<bool> {
    let folder = tempfile::tempdir()?;
    let preload = run.small_buffers.then(|| slowness::small_buffers(folder.path())).transpose()?;
    let (mut passed, mut failed) = (0, 0);
    slowness::run(program, preload.as_deref(), run.plays, run.at_once, |play, report| match report {
        Ok(report) => {
            let is_broken = report.played.iter().any(|played| !played.findings.is_empty());
            print!("{}", slowness::describe(play, report));
            if run.verbose {
                report.log.iter().for_each(|line| println!("    {line}"));
                report.played.iter().for_each(|played| println!("    {played:?}"));
            }
            *if is_broken { &mut failed } else { &mut passed } += 1;
        }
        Err(error) => {
            println!("{play:?}: {error}");
            failed += 1;
        }
    })
    .await;
    println!("{passed} passed, {failed} failed");
    Ok(failed == 0)
}

async fn histories(
    program: &std::path::Path, about: About, seeds: std::ops::Range<u64>, steps: usize,
) -> std::io::Result<bool> {
    let (mut passed, mut failed) = (0, 0);
    for seed in seeds {
        let (fleet, report) = match about {
            About::Policy => policy::history(program, seed, steps).await?,
            About::State => rig::replicate::history(program, seed, steps).await?,
        };
        println!("seed {seed}");
        report.told.iter().for_each(|line| println!("  {line}"));
        if report.found.is_empty() {
            passed += 1;
            continue;
        }
        failed += 1;
        report.found.iter().take(12).for_each(|line| println!("  FOUND: {line}"));
        let folder = fleet.keep();
        let text = report.told.iter().chain(&report.found).cloned().collect::<Vec<_>>().join("\n");
        std::fs::write(folder.join("history.txt"), text)?;
        let asked: Vec<_> = report.asked.iter().map(|a| format!("{a:?}")).collect();
        std::fs::write(folder.join("requests.txt"), asked.join("\n"))?;
        println!("  kept in {}", folder.display());
    }
    println!("{passed} passed, {failed} failed");
    Ok(failed == 0)
}

fn main() -> ExitCode {
    let line = Line::parse();
    let run = async {
        let program = line.program.map_or_else(build, |path| path.canonicalize())?;
        match line.command {
            Command::Demo => demo(&program).await,
            Command::Measure { sizes, state: true } => rig::measure_state::all(&program, &sizes).await,
            Command::Measure { sizes, state: false } => {
                let mut well = true;
                for size in sizes {
                    well &= rig::measure::size(&program, size).await?;
                }
                Ok(well)
            }
            Command::Policy { seed, seeds, steps } => {
                histories(&program, About::Policy, seed..seed + seeds, steps).await
            }
            Command::Soak { seed, seeds, at_once, verbose } => {
                tokio::task::block_in_place(|| soak(&program, seed..seed + seeds, at_once, verbose))
            }
            Command::SlowServers {
                forms,
                rounds,
                requests,
                at_once,
                only,
                drawn,
                seed,
                small_buffers,
                verbose,
            } => {
                let mut plays = match drawn {
                    0 => (0..rounds).flat_map(|_| forms.plays(requests)).collect(),
                    _ => slowness::draw(seed, drawn),
                };
                plays.retain(|play: &Play| format!("{play:?}").contains(&only));
                slow_servers(&program, SlowRun { plays, at_once, small_buffers, verbose }).await
            }
            Command::Replicate { seed, seeds, steps } => {
                histories(&program, About::State, seed..seed + seeds, steps).await
            }
        }
    };
    let runtime = tokio::runtime::Builder::new_multi_thread().enable_all().build();
    // Told to end, the rig ends what it started.
    let told = async {
        use tokio::signal::unix::{SignalKind, signal};
        let (mut term, mut int) = (signal(SignalKind::terminate())?, signal(SignalKind::interrupt())?);
        tokio::select! {
            _ = term.recv() => {}
            _ = int.recv() => {}
        }
        Err(std::io::Error::other("told to end"))
    };
    let either = async {
        tokio::select! {
            done = run => done,
            told = told => told,
        }
    };
    match runtime.and_then(|runtime| runtime.block_on(either)) {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::FAILURE,
        Err(fault) => {
            eprintln!("rig: {fault}");
            ExitCode::FAILURE
        }
    }
}

//! The conductor: reads its configuration, starts its planners and fronts, and ends when told to.
#![forbid(unsafe_code)]

use std::cell::Cell;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::ExitCode;
use std::rc::Rc;
use std::time::Duration;

use croftsill::api::{HostId, Member, Role};
use croftsill::node::counters::Counters;
use croftsill::node::front::chat::ChatFront;
use croftsill::node::front::intake::Intake;
use croftsill::node::front::operator::{self, Operator};
use croftsill::node::front::platform::PlatformFront;
use croftsill::node::front::serve;
use croftsill::node::list::discovery::Directory;
use croftsill::node::list::fleet::Fleet;
use croftsill::node::list::membership::Membership;
use croftsill::node::planner::Planner;
use croftsill::node::process::config::{Chat, ConfigError, Platform};
use croftsill::node::process::handover::{self, Hello};
use croftsill::node::process::readiness::{Happening, Readiness};
use croftsill::node::process::reload;
use croftsill::node::process::shutdown::{STILL_STREAMING, Shutdown};
use croftsill::node::process::succession::{self, Estate, Inherited, Partners};
use croftsill::node::upstream::attempt::{Dialect, Upstream};
use croftsill::node::upstream::pool::{Pool, Site};
use croftsill::node::{Clock, Core, tend_fleet};
use tokio::net::{TcpListener, TcpSocket};
use tokio::signal::unix::Signal;
use tokio::sync::watch;
use tokio::task::{LocalSet, spawn_local};

/// How long a start waits for discovery before it serves by the list that it was given, which may be old.
const DISCOVERY_WAIT: Duration = Duration::from_secs(5);

/// The same where an older process has handed its list over, which is as new as that process heard.
const INHERITED_WAIT: Duration = Duration::from_secs(1);
/// Clients that may wait in the system's queue.
const BACKLOG: u32 = 1_024;

#[derive(Debug, thiserror::Error)]
enum StartError {
    #[error("{0}")]
    Config(#[from] ConfigError),
    #[error("cannot listen on {0}: {1}")]
    Listen(SocketAddr, std::io::Error),
    #[error("{0}")]
    Io(#[from] std::io::Error),
    #[error("usage: croftsill [--chat FILE]")]
    Usage,
}

/// Listens for clients; `beside` another process of the same conductor, if need be.
fn listen(place: SocketAddr, beside: bool) -> Result<TcpListener, StartError> {
    let bound = || {
        let socket = if place.is_ipv4() { TcpSocket::new_v4() } else { TcpSocket::new_v6() }?;
        socket.set_reuseaddr(true)?;
        if beside {
            socket.set_reuseport(true)?;
        }
        socket.bind(place)?;
        socket.listen(BACKLOG)
    };
    bound().map_err(|fault| StartError::Listen(place, fault))
}

async fn start_platform(
    config: Platform, clock: Clock, counters: Rc<Counters>, shutdown: &Shutdown, replaced: (Signal, PathBuf),
    alone: bool,
) -> Result<(), StartError> {
    // The chat front's address cannot be shared, so a process with one is not succeeded while it runs.
    let meeting = config.operator.filter(|_| alone).and_then(|_| succession::meeting_place(&config.name));
    let hello = Hello { version: handover::VERSION, name: config.name.clone(), listen: config.listen };
    let inherited = match &meeting {
        Some(path) if path.exists() => {
            let asked = succession::inherit(path, &hello).await;
            asked.inspect_err(|fault| tracing::warn!("handover: nothing taken over: {fault}")).ok()
        }
        _ => None,
    };
    let inherited = inherited.map(Inherited::parts);
    let (inherited, listener, link) = match inherited {
        Some((listener, state, link)) => (Some(state), listener, Some(link)),
        None => (None, listen(config.listen, meeting.is_some())?, None),
    };
    let listener = Rc::new(listener);
    let settings = handover::digest(&config.settings);
    let same = inherited.as_ref().filter(|state| state.settings == settings);
    let learnt = same.map(|state| state.learnt.clone());
    let pool = Rc::new(Pool::new(config.pool, counters.clone()));
    let (planner, orders) = Planner::start(config.settings.clone(), config.seed, clock, learnt);
    let upstream = Rc::new(Upstream::new(pool.clone(), Dialect::Platform, counters.clone()));
    let (discovery, address) = watch::channel(config.discovery);
    let (hangups, path) = replaced;
    spawn_local(reload::follow(hangups, path, discovery, counters.clone()));
    let core = Core { planner, upstream, counters: counters.clone() };
    spawn_local(tend_fleet(core.clone(), orders));
    spawn_local(async move { pool.tidy().await });

    let mut known = Membership::default();
    if let Some(list) = &config.known {
        let _ = known.take(list);
    }
    let fresh = inherited.is_some();
    if let Some(state) = inherited {
        succession::take_over(shutdown, &state);
        known = state.membership;
        if state.discovery != config.discovery {
            known.forget_version();
        }
    }
    let fleet = Fleet::new(core.clone(), config.settings.clone(), config.names.clone(), clock, known);
    let directory = Directory::new(fleet.clone(), config.settings.routers, config.seed);
    let (told, mut heard) = watch::channel(false);
    let discovery = address.clone();
    spawn_local(directory.follow(address, told));
    let (known, noted) = (config.known.is_some() || fresh, shutdown.clone());
    let wait = if fresh { INHERITED_WAIT } else { DISCOVERY_WAIT };
    spawn_local(async move {
        let in_time = tokio::time::timeout(wait, heard.wait_for(|told| *told)).await.is_ok();
        if !in_time && !known {
            let _ = heard.wait_for(|told| *told).await;
        }
        tracing::info!("ready, {}", if in_time { "with discovery's list" } else { "discovery is silent" });
        noted.note(Happening::CanServe);
    });
    let (planner, ending) = (core.planner.clone(), shutdown.clone());
    spawn_local(async move {
        ending.once(Readiness::ending).await;
        tokio::time::sleep(STILL_STREAMING).await;
        // A newer process serves at the same address until the very end and after it.
        if ending.readiness().accepts() {
            planner.ending();
        }
    });
    let intake = Intake::new(config.intake, config.body_bytes, counters.clone());
    let front = PlatformFront::new(core, config.names, intake.clone(), shutdown.clone());
    let partners = Partners::default();
    if let Some(place) = config.operator {
        let listener = TcpListener::bind(place).await.map_err(|fault| StartError::Listen(place, fault))?;
        let operator = Operator::new(fleet.clone(), shutdown.clone(), partners.clone());
        spawn_local(operator::serve(listener, operator));
        tracing::info!("operators call at {place}");
    }
    let weak = Rc::downgrade(&listener);
    let estate = Estate {
        hello,
        settings,
        fleet,
        shutdown: shutdown.clone(),
        intake: intake.clone(),
        listener: weak,
        discovery,
        partners,
        shares: Cell::new(0),
        clock,
    };
    let ready = shutdown.clone();
    let serving = serve(listener, None, intake, shutdown.clone(), move |_| front.clone());
    if let Some(link) = link {
        // The older process takes the clients until this one can serve.
        spawn_local(async move {
            ready.once(Readiness::healthy).await;
            spawn_local(serving);
            let estate = Rc::new(estate);
            let offered = estate.clone();
            meeting.map(|path| spawn_local(async move { offered.offer(path).await }));
            estate.succeed(link).await;
        });
    } else {
        spawn_local(serving);
        meeting.map(|path| spawn_local(async move { estate.offer(path).await }));
    }
    tracing::info!("{} listens on {}", config.name, config.listen);
    Ok(())
}

async fn start_chat(
    mut config: Chat, clock: Clock, counters: Rc<Counters>, shutdown: &Shutdown,
) -> Result<(), StartError> {
    let listener = Rc::new(listen(config.listen, false)?);
    let seed = clock.now() as u64 ^ u64::from(std::process::id()) << 48;
    let pool = Rc::new(Pool::new(config.pool.clone(), counters.clone()));
    let (planner, orders) = Planner::start(config.settings.clone(), seed, clock, None);
    let dialect = Dialect::Chat(std::mem::take(&mut config.server_headers));
    let upstream = Rc::new(Upstream::new(pool.clone(), dialect, counters.clone()));
    let core = Core { planner, upstream, counters: counters.clone() };
    spawn_local(tend_fleet(core.clone(), orders));
    let tidied = pool.clone();
    spawn_local(async move { tidied.tidy().await });
    let mut members = Vec::new();
    for (number, (_, addr)) in config.servers.iter().enumerate() {
        let host = HostId(number as u32);
        pool.place(host, Some(Site { addr: *addr, role: Role::Both, ready: true }));
        members.push(Member { host, ..Member::default() });
    }
    core.planner.hosts(true, members);
    let (listen, tls) = (config.listen, config.tls.take());
    let intake = Intake::new(config.intake, config.body_bytes, counters.clone());
    let front = ChatFront::new(core, Rc::new(config), intake.clone(), shutdown.clone(), seed);
    spawn_local(serve(listener, tls, intake, shutdown.clone(), move |peer| front.for_peer(peer)));
    tracing::info!("chat front listens on {listen}");
    Ok(())
}

/// The operator's file, where the program was started as `croftsill --chat FILE`.
fn chat_file() -> Result<Option<PathBuf>, StartError> {
    let mut words = std::env::args_os().skip(1);
    match (words.next(), words.next(), words.next()) {
        (None, ..) => Ok(None),
        (Some(flag), Some(file), None) if flag == "--chat" => Ok(Some(file.into())),
        _ => Err(StartError::Usage),
    }
}

async fn run() -> Result<(), StartError> {
    let clock = Clock::start();
    let hangups = reload::hangups()?;
    let shutdown = Shutdown::default();
    let chat = chat_file()?.map(|path| Chat::read(&path)).transpose()?;
    let path = std::env::var_os("LB_CONFIG").map(PathBuf::from);
    let platform = path.map(|path| Platform::read(&path).map(|config| (config, path))).transpose()?;
    if platform.is_none() && chat.is_none() {
        return Err(ConfigError::Nothing.into());
    }
    let mut counted = Vec::new();
    if let Some((mut config, path)) = platform {
        config.leave(chat.as_ref().map_or(0, |chat| chat.intake + chat.pool.connections));
        let counters = Rc::new(Counters::default());
        counted.push(("platform", counters.clone()));
        start_platform(config, clock, counters, &shutdown, (hangups, path), chat.is_none()).await?;
    } else {
        spawn_local(reload::refuse(hangups));
    }
    if let Some(config) = chat {
        let counters = Rc::new(Counters::default());
        counted.push(("chat", counters.clone()));
        start_chat(config, clock, counters, &shutdown).await?;
    }
    shutdown.run().await?;
    for (front, counters) in counted {
        tracing::info!("counters of {front}: {}", counters.line());
    }
    Ok(())
}

fn main() -> ExitCode {
    let level = std::env::var("CROFTSILL_LOG").ok().and_then(|text| text.parse().ok());
    let level = level.unwrap_or(tracing::level_filters::LevelFilter::INFO);
    let log = tracing_subscriber::fmt().with_max_level(level);
    log.with_writer(std::io::stderr).with_ansi(false).with_target(false).init();
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let ended = runtime.map_err(StartError::Io).and_then(|runtime| LocalSet::new().block_on(&runtime, run()));
    match ended {
        Ok(()) => ExitCode::SUCCESS,
        Err(fault) => {
            eprintln!("croftsill: {fault}");
            ExitCode::FAILURE
        }
    }
}

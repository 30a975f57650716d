//! The conductor: reads its configuration, starts its planners and fronts, and ends when told to.
#![forbid(unsafe_code)]

use std::cell::Cell;
use std::net::SocketAddr;
#[cfg(feature = "cluster")]
use std::path::Path;
use std::path::PathBuf;
use std::process::ExitCode;
use std::rc::Rc;

use croftsill::api::{HostId, Member, Role};
#[cfg(feature = "cluster")]
use croftsill::cli::{self, Words};
#[cfg(feature = "cluster")]
use croftsill::control::controller;
use croftsill::node::counters::Counters;
use croftsill::node::front::accept::BACKLOG;
use croftsill::node::front::chat::ChatFront;
use croftsill::node::front::intake::Intake;
use croftsill::node::front::operator::{self, Operator};
use croftsill::node::front::platform::PlatformFront;
use croftsill::node::front::serve;
use croftsill::node::list::discovery::DiscoveryClient;
use croftsill::node::list::fleet::Fleet;
use croftsill::node::list::membership::Membership;
use croftsill::node::list::pace::CallSchedule;
use croftsill::node::planner::Planner;
use croftsill::node::policy_gate::PolicyGate;
use croftsill::node::process::config::{Chat, ConfigError, Platform};
use croftsill::node::process::handover::{self, Hello, State};
use croftsill::node::process::readiness::{Happening, Readiness};
use croftsill::node::process::reload;
use croftsill::node::process::schedule::GracePeriod;
use croftsill::node::process::shutdown::{EndSignals, Shutdown};
use croftsill::node::process::start::{Given, become_ready};
use croftsill::node::process::succession::{self, Estate, Inherited, Link, Partners};
use croftsill::node::request_ids::RequestIds;
#[cfg(feature = "cluster")]
use croftsill::node::shared::SharedState;
use croftsill::node::upstream::attempt::{Protocol, Upstream};
use croftsill::node::upstream::pool::{Endpoint, Pool};
use croftsill::node::{Clock, Core, run_fleet_commands};
#[cfg(feature = "cluster")]
use croftsill::peers::roster::Roster;
use tokio::net::{TcpListener, TcpSocket};
use tokio::signal::unix::Signal;
use tokio::sync::watch;
use tokio::task::{LocalSet, spawn_local};
use tokio::time::sleep_until;

#[derive(Debug, thiserror::Error)]
enum StartError {
    #[error("{0}")]
    Config(#[from] ConfigError),
    #[error("cannot listen on {0}: {1}")]
    Listen(SocketAddr, std::io::Error),
    #[error("{0}")]
    Io(#[from] std::io::Error),
    #[cfg(feature = "cluster")]
    #[error("{0}")]
    Peers(#[from] croftsill::control::controller::StartError),
    #[cfg(not(feature = "cluster"))]
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

/// What a process begins with: an older one's, or its own.
struct Beginning {
    inherited: Option<State>,
    listener: TcpListener,
    link: Option<Link>,
    /// Where a newer process finds this one.
    meeting: Option<PathBuf>,
}

impl Beginning {
    /// Takes an older process's clients over, or listens.
    async fn find(config: &Platform, hello: &Hello, alone: bool) -> Result<Self, StartError> {
        let meeting = config.operator.filter(|_| alone).and_then(|_| succession::meeting_place(&config.name));
        let inherited = match &meeting {
            Some(path) if path.exists() => {
                let asked = succession::inherit(path, hello).await;
                asked.inspect_err(|fault| tracing::warn!("handover: nothing taken over: {fault}")).ok()
            }
            _ => None,
        };
        Ok(match inherited.map(Inherited::parts) {
            Some((listener, state, link)) => {
                Beginning { inherited: Some(state), listener, link: Some(link), meeting }
            }
            None => {
                let listener = listen(config.listen, meeting.is_some())?;
                Beginning { inherited: None, listener, link: None, meeting }
            }
        })
    }
}

/// The list that a process begins with.
fn first_list(config: &Platform, inherited: Option<State>, shutdown: &Shutdown) -> Membership {
    let mut known = Membership::default();
    if let Some(list) = &config.known {
        let _ = known.apply_list(list);
    }
    if let Some(state) = inherited {
        succession::take_over(shutdown, &state);
        known = state.membership;
        if state.discovery != config.discovery {
            known.forget_version();
        }
    }
    known
}

/// Tells a planner of the shutdown, and when it is time to move streams.
async fn follow_shutdown(planner: Planner, shutdown: Shutdown, clock: Clock) {
    let schedule = shutdown.begun().await;
    planner.begin_shutdown(clock.micros_at(schedule.answers_until));
    sleep_until(schedule.streams_move_at).await;
    // A newer process serves at the same address until the very end and after it.
    if shutdown.readiness().accepts() {
        planner.move_streams();
    }
}

/// The way to the other conductors, where this one knows them.
#[cfg(feature = "cluster")]
type Conductors = Option<controller::Handle>;
/// Without the feature there are none.
#[cfg(not(feature = "cluster"))]
type Conductors = Option<std::convert::Infallible>;

/// The other conductors, where this one knows them: the way to what is shared with them, and news of it.
#[cfg(feature = "cluster")]
type Peers =
    (controller::Handle, tokio::sync::mpsc::UnboundedReceiver<croftsill::replica::share::SharedStateEvent>);

/// Where conductors know one another: the gate that judges whether requests may be taken, and what is shared.
#[cfg(feature = "cluster")]
fn join_peers(
    file: Option<&Path>, config: &Platform, clock: Clock, counters: &Rc<Counters>,
) -> Result<(Rc<PolicyGate>, Option<Peers>), StartError> {
    let Some(file) = file else { return Ok((PolicyGate::always_open(), None)) };
    let roster = Roster::read(file, &config.name)?;
    tracing::info!("peers: {} of {}, listens on {}", config.name, roster.cluster, roster.me.address);
    let (settings, names) = (config.settings.clone(), config.names.clone());
    let (handle, news) = controller::start(controller::Setup { roster, settings, names, clock })?;
    Ok((PolicyGate::guarded(handle.gate.clone(), clock, counters.clone()), Some((handle, news))))
}

/// Begins to share state with the other conductors, where this one knows them.
#[cfg(feature = "cluster")]
fn share(
    peers: Option<Peers>, fleet: &Rc<Fleet>, (me, clock): (String, Clock), shutdown: &Shutdown,
) -> Option<Rc<SharedState>> {
    let (handle, news) = peers?;
    let shared = SharedState::new(handle, fleet.clone(), clock);
    let shutdown = shutdown.clone();
    let drain = move |drained| shutdown.note(if drained { Happening::Drain } else { Happening::Undrain });
    spawn_local(shared.clone().run(me, news, drain));
    Some(shared)
}

async fn start_platform(
    config: Platform, words: &Words, clock: Clock, counters: Rc<Counters>, shutdown: &Shutdown,
    replaced: (Signal, PathBuf),
) -> Result<Conductors, StartError> {
    // The chat front's address cannot be shared, nor a conductor's store and its address for peers: a process with one of
    // them is not succeeded while it runs.
    let alone = words.chat.is_none() && words.cluster.is_none();
    let hello = Hello {
        version: handover::VERSION,
        name: config.name.clone(),
        listen: config.listen,
        shares_ids: true,
    };
    let Beginning { inherited, listener, link, meeting } = Beginning::find(&config, &hello, alone).await?;
    let listener = Rc::new(listener);
    // What the older process learnt goes by its clock.
    let clock = inherited.as_ref().and_then(|state| state.now).map_or(clock, Clock::continuing_from);
    #[cfg(feature = "cluster")]
    let (policy_gate, peers) = join_peers(words.cluster.as_deref(), &config, clock, &counters)?;
    #[cfg(feature = "cluster")]
    let conductors = peers.as_ref().map(|(handle, _)| handle.clone());
    #[cfg(not(feature = "cluster"))]
    let policy_gate = PolicyGate::always_open();
    let settings = handover::digest(&config.settings);
    let same = inherited.as_ref().filter(|state| state.settings == settings);
    let learnt = same.map(|state| state.learnt.clone());
    let pool = Rc::new(Pool::new(config.pool.clone(), counters.clone()));
    let (planner, orders) = Planner::start(config.settings.clone(), config.seed, clock, learnt);
    let dialect = Protocol::Platform { pin_limit: config.settings.rules.pin_limit };
    let upstream = Rc::new(Upstream::new(pool.clone(), dialect, counters.clone()));
    let (discovery, address) = watch::channel(config.discovery);
    let (hangups, path) = replaced;
    spawn_local(reload::follow(hangups, path, discovery, counters.clone()));
    let core = Core { planner, upstream, counters: counters.clone(), policy_gate: policy_gate.clone() };
    let tidied = pool.clone();
    spawn_local(async move { tidied.run_eviction().await });

    let fresh = inherited.is_some();
    let shares_ids = inherited.as_ref().is_some_and(|state| state.shares_ids);
    let known = first_list(&config, inherited, shutdown);
    let fleet = Fleet::new(core.clone(), config.settings.clone(), config.names.clone(), clock, known);
    let (told, heard) = watch::channel(false);
    let directory =
        DiscoveryClient::new(fleet.clone(), CallSchedule::new(&config.settings, config.seed), told);
    let discovery = address.clone();
    spawn_local(directory.run(address));
    let given = Given { known: config.known.is_some() || fresh, inherited: fresh };
    #[cfg(feature = "cluster")]
    let shared = share(peers, &fleet, (config.name.clone(), clock), shutdown);
    #[cfg(not(feature = "cluster"))]
    let shared = None::<std::convert::Infallible>;
    let orders = match shared {
        #[cfg(feature = "cluster")]
        Some(ref shared) => {
            spawn_local(shared.clone().run_fleet_commands(core.clone(), orders));
            None
        }
        _ => Some(orders),
    };
    orders.map(|orders| spawn_local(run_fleet_commands(core.clone(), orders)));
    let caught_up = async move {
        #[cfg(feature = "cluster")]
        if let Some(shared) = shared {
            shared.wait_until_caught_up().await;
        }
        #[cfg(not(feature = "cluster"))]
        let _ = shared;
    };
    spawn_local(become_ready(heard, given, policy_gate.clone(), caught_up, shutdown.clone()));
    spawn_local(follow_shutdown(core.planner.clone(), shutdown.clone(), clock));
    let intake = Intake::new(config.intake, config.request_bytes, counters.clone());
    spawn_local(policy_gate.apply_connection_limits(intake.clone(), pool));
    let partners = Partners::default();
    let ids = RequestIds::new(config.id_bytes, clock, partners.clone());
    if shares_ids {
        ids.await_handover();
    }
    let front = PlatformFront::new(
        core,
        (config.names, &config.settings),
        intake.clone(),
        shutdown.clone(),
        ids.clone(),
    );
    let weak = Rc::downgrade(&listener);
    let estate = Rc::new(Estate {
        hello,
        settings,
        fleet: fleet.clone(),
        shutdown: shutdown.clone(),
        intake: intake.clone(),
        listener: weak,
        discovery,
        partners: partners.clone(),
        ids,
        shares: Cell::new(0),
        clock,
    });
    let succeeds = link.is_some();
    // Before operators call: what they say here concerns the older process, too.
    link.into_iter().for_each(|link| estate.succeed(link, shares_ids));
    if let Some(place) = config.operator {
        let listener = TcpListener::bind(place).await.map_err(|fault| StartError::Listen(place, fault))?;
        let operator = Operator::new(fleet, shutdown.clone(), partners);
        #[cfg(feature = "cluster")]
        let operator = operator.among(conductors.clone());
        spawn_local(operator::serve(listener, operator));
        tracing::info!("operators call at {place}");
    }
    let ready = shutdown.clone();
    let serving = serve(listener, None, intake, shutdown.clone(), move |_| front.clone());
    spawn_local(async move {
        if succeeds {
            // The older process takes the clients until this one can serve.
            ready.once(Readiness::healthy).await;
            estate.tell_serves();
        }
        spawn_local(serving);
        if let Some(path) = meeting {
            estate.offer(path).await;
        }
    });
    tracing::info!("{} listens on {}", config.name, config.listen);
    #[cfg(feature = "cluster")]
    return Ok(conductors);
    #[cfg(not(feature = "cluster"))]
    Ok(None)
}

async fn start_chat(
    mut config: Chat, clock: Clock, counters: Rc<Counters>, shutdown: &Shutdown, conductors: Conductors,
) -> Result<(), StartError> {
    let listener = Rc::new(listen(config.listen, false)?);
    let seed = clock.now() as u64 ^ u64::from(std::process::id()) << 48;
    let pool = Rc::new(Pool::new(config.pool.clone(), counters.clone()));
    let (planner, orders) = Planner::start(config.settings.clone(), seed, clock, None);
    let dialect = Protocol::Chat(std::mem::take(&mut config.server_headers));
    let upstream = Rc::new(Upstream::new(pool.clone(), dialect, counters.clone()));
    let core = Core { planner, upstream, counters: counters.clone(), policy_gate: PolicyGate::always_open() };
    spawn_local(run_fleet_commands(core.clone(), orders));
    spawn_local(follow_shutdown(core.planner.clone(), shutdown.clone(), clock));
    let tidied = pool.clone();
    spawn_local(async move { tidied.run_eviction().await });
    let mut members = Vec::new();
    for (number, (name, addr)) in config.servers.iter().enumerate() {
        let host = HostId(number as u32);
        let name = name.as_str().into();
        pool.set_endpoint(host, Some(Endpoint { name, addr: *addr, role: Role::Both, is_ready: true }));
        members.push(Member { host, ..Member::default() });
    }
    core.planner.update_hosts(true, members);
    let (listen, tls) = (config.listen, config.tls.take());
    let intake = Intake::new(config.intake, config.request_bytes, counters.clone());
    let front = ChatFront::new(core, Rc::new(config), intake.clone(), shutdown.clone(), seed);
    #[cfg(feature = "cluster")]
    let front = front.among(conductors);
    #[cfg(not(feature = "cluster"))]
    let _ = conductors;
    spawn_local(serve(listener, tls, intake, shutdown.clone(), move |peer| front.for_peer(peer)));
    tracing::info!("chat front listens on {listen}");
    Ok(())
}

/// What the program was started with.
#[cfg(not(feature = "cluster"))]
struct Words {
    chat: Option<PathBuf>,
    cluster: Option<std::convert::Infallible>,
}

/// Without operators' commands the program takes one word: `croftsill --chat FILE`.
#[cfg(not(feature = "cluster"))]
fn words() -> Result<Words, StartError> {
    let mut words = std::env::args_os().skip(1);
    let chat = match (words.next(), words.next(), words.next()) {
        (None, ..) => None,
        (Some(flag), Some(file), None) if flag == "--chat" => Some(file.into()),
        _ => return Err(StartError::Usage),
    };
    Ok(Words { chat, cluster: None })
}

async fn run(words: Words) -> Result<(), StartError> {
    let clock = Clock::start();
    let (hangups, end_signals) = (reload::hangups()?, EndSignals::catch()?);
    let chat = words.chat.as_deref().map(Chat::read).transpose()?;
    let path = std::env::var_os("LB_CONFIG").map(PathBuf::from);
    let platform = path.map(|path| Platform::read(&path).map(|config| (config, path))).transpose()?;
    if platform.is_none() && (chat.is_none() || words.cluster.is_some()) {
        return Err(ConfigError::Nothing.into());
    }
    // The platform's own settings say when it kills a process, whatever other fronts there are.
    let settings = platform.as_ref().map(|(config, _)| &config.settings);
    let settings = settings.or(chat.as_ref().map(|chat| &chat.settings));
    let shutdown = Shutdown::new(settings.map(GracePeriod::of).unwrap_or_default());
    let mut counted = Vec::new();
    let mut conductors = Conductors::default();
    if let Some((mut config, path)) = platform {
        config.leave(chat.as_ref().map_or(0, |chat| chat.intake + chat.pool.max_connections));
        let counters = Rc::new(Counters::default());
        counted.push(("platform", counters.clone()));
        conductors = start_platform(config, &words, clock, counters, &shutdown, (hangups, path)).await?;
    } else {
        spawn_local(reload::refuse(hangups));
        // The chat front's servers stand in its file.
        shutdown.note(Happening::CanServe);
    }
    if let Some(config) = chat {
        let counters = Rc::new(Counters::default());
        counted.push(("chat", counters.clone()));
        start_chat(config, clock, counters, &shutdown, conductors).await?;
    }
    shutdown.run(end_signals).await;
    for (front, counters) in counted {
        tracing::info!("counters of {front}: {}", counters.to_json_line());
    }
    Ok(())
}

/// Logs to standard error, as text or as a line of JSON each.
fn log(json: bool) {
    let level = std::env::var("CROFTSILL_LOG").ok().and_then(|text| text.parse().ok());
    let level = level.unwrap_or(tracing::level_filters::LevelFilter::INFO);
    let log = tracing_subscriber::fmt().with_max_level(level);
    let log = log.with_writer(std::io::stderr).with_ansi(false).with_target(false);
    #[cfg(feature = "cluster")]
    if json {
        return log.json().init();
    }
    let _ = json;
    log.init();
}

fn main() -> ExitCode {
    #[cfg(feature = "cluster")]
    let words = {
        let line = cli::Line::read();
        if let Some(command) = line.command {
            return command.run();
        }
        Ok(line.words)
    };
    #[cfg(not(feature = "cluster"))]
    let words = words();
    #[cfg(feature = "cluster")]
    log(words.as_ref().is_ok_and(|words: &Words| words.log == cli::LogForm::Json));
    #[cfg(not(feature = "cluster"))]
    log(false);
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let ended = words.and_then(|words| {
        let runtime = runtime.map_err(StartError::Io)?;
        LocalSet::new().block_on(&runtime, run(words))
    });
    match ended {
        Ok(()) => ExitCode::SUCCESS,
        Err(fault) => {
            eprintln!("croftsill: {fault}");
            ExitCode::FAILURE
        }
    }
}

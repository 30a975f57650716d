//! The conductor: reads its configuration, starts its planners and fronts, and ends when told to.
#![forbid(unsafe_code)]

use std::path::PathBuf;
use std::process::ExitCode;
use std::rc::Rc;
use std::time::Duration;

use croftsill::node::attempt::{Dialect, Upstream};
use croftsill::node::config::{ConfigError, Platform};
use croftsill::node::counters::Counters;
use croftsill::node::discovery::Directory;
use croftsill::node::front::platform::PlatformFront;
use croftsill::node::front::{Intake, serve};
use croftsill::node::planner::Planner;
use croftsill::node::pool::Pool;
use croftsill::node::shutdown::Shutdown;
use croftsill::node::{Clock, Core, tend_fleet};
use tokio::net::TcpListener;
use tokio::sync::watch;
use tokio::task::{LocalSet, spawn_local};

/// How long a start waits for discovery before it serves by the list that it was given, which may be old.
const DISCOVERY_WAIT: Duration = Duration::from_secs(5);

#[derive(Debug, thiserror::Error)]
enum StartError {
    #[error("{0}")]
    Config(#[from] ConfigError),
    #[error("cannot listen on {0}: {1}")]
    Listen(std::net::SocketAddr, std::io::Error),
    #[error("{0}")]
    Io(#[from] std::io::Error),
}

async fn start_platform(
    config: Platform, clock: Clock, counters: Rc<Counters>, shutdown: &Shutdown,
) -> Result<(), StartError> {
    let listener =
        TcpListener::bind(config.listen).await.map_err(|fault| StartError::Listen(config.listen, fault))?;
    let pool = Rc::new(Pool::new(config.pool, counters.clone()));
    let (planner, orders) = Planner::start(config.settings.clone(), config.seed, clock);
    let upstream = Rc::new(Upstream::new(pool.clone(), Dialect::Platform, counters.clone()));
    let core = Core { planner, upstream, counters };
    spawn_local(tend_fleet(core.clone(), orders));
    spawn_local(async move { pool.tidy().await });

    let mut directory = Directory::new(core.clone(), config.settings, config.names.clone(), clock);
    if let Some(known) = &config.known {
        directory.take(known);
    }
    let (told, heard) = watch::channel(false);
    let (ready, is_ready) = watch::channel(false);
    spawn_local(directory.follow(config.discovery, told));
    let known = config.known.is_some();
    spawn_local(async move {
        let mut heard = heard;
        let in_time = tokio::time::timeout(DISCOVERY_WAIT, heard.wait_for(|told| *told)).await.is_ok();
        if !in_time && !known {
            let _ = heard.wait_for(|told| *told).await;
        }
        tracing::info!("ready, {}", if in_time { "with discovery's list" } else { "discovery is silent" });
        ready.send_replace(true);
    });
    let intake = Intake::new(config.intake, config.body_bytes);
    let front = PlatformFront::new(core, config.names, intake.clone(), is_ready, shutdown.clone());
    spawn_local(serve(listener, intake, shutdown.clone(), front));
    tracing::info!("{} listens on {}", config.name, config.listen);
    Ok(())
}

async fn run() -> Result<(), StartError> {
    let clock = Clock::start();
    let (counters, shutdown) = (Rc::new(Counters::default()), Shutdown::default());
    let platform = std::env::var_os("LB_CONFIG").map(PathBuf::from);
    let platform = platform.map(|path| Platform::read(&path)).transpose()?;
    if platform.is_none() {
        return Err(ConfigError::Nothing.into());
    }
    if let Some(config) = platform {
        start_platform(config, clock, counters.clone(), &shutdown).await?;
    }
    shutdown.run().await?;
    tracing::info!("counters {}", counters.line());
    Ok(())
}

fn main() -> ExitCode {
    tracing_subscriber::fmt().with_writer(std::io::stderr).with_ansi(false).with_target(false).init();
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

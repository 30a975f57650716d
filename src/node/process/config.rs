//! What a conductor is told at its start.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

use hyper::header::{HeaderMap, HeaderName, HeaderValue};
use serde::Deserialize;
use serde_json::Value;

use crate::api::{Class, ClassId, Effect, Kind, Micros, Role, Settings};
use crate::node::front::spiffe::{Identities, Tls};
use crate::node::list::membership::TargetList;
use crate::node::upstream::pool::PoolLimits;
use crate::wire::{Names, settings_from};

/// Why a configuration cannot be used; one plain line each.
#[derive(Debug, thiserror::Error)]
pub enum ConfigError {
    /// A file could not be read.
    #[error("cannot read {0}: {1}")]
    Read(String, std::io::Error),
    /// A file is not in its format or misses something.
    #[error("{0}: {1}")]
    Form(String, String),
    /// Neither front is set up.
    #[error("nothing to do: set LB_CONFIG for the platform's front or --chat FILE for the chat front")]
    Nothing,
}

/// What the platform tells a conductor.
pub struct Platform {
    /// Its name.
    pub name: String,
    /// Where clients connect.
    pub listen: SocketAddr,
    /// Where operators call, where they do.
    pub operator: Option<SocketAddr>,
    /// Where discovery answers.
    pub discovery: SocketAddr,
    /// For random numbers.
    pub seed: u64,
    /// The last known list of hosts, perhaps old.
    pub known: Option<TargetList>,
    /// The module's settings.
    pub settings: Settings,
    /// Their names.
    pub names: Names,
    /// How connections to instances are kept.
    pub pool: PoolLimits,
    /// Most connections taken from clients at once.
    pub intake: usize,
    /// Most bytes of heads, bodies and answers held at once.
    pub request_bytes: usize,
    /// Bytes for the ids of requests.
    pub id_bytes: usize,
}

#[derive(Deserialize)]
struct File {
    name: String,
    listen: SocketAddr,
    discovery: SocketAddr,
    operator: Option<SocketAddr>,
    seed: String,
    #[serde(default)]
    limits: Limits,
    known: Option<Value>,
    settings: Value,
}

#[derive(Deserialize)]
#[serde(default)]
struct Limits {
    memory_mb: usize,
    sockets: usize,
}

impl Default for Limits {
    fn default() -> Self {
        Limits { memory_mb: 192, sockets: 1_024 }
    }
}

/// What the node itself needs of the settings.
#[derive(Deserialize)]
struct NodeSettings {
    limits: NodeLimits,
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct NodeLimits {
    #[serde(default = "connect_default")]
    connect_timeout: f64,
    #[serde(default = "idle_default")]
    idle_close: f64,
}

/// Descriptors for what is not clients or instances: operators, an upgrade, listeners, log and runtime (11), and calls to
/// discovery open beside one another during an outage (13, see [`crate::node::list::pace`]).
const OWN_SOCKETS: usize = crate::node::front::operator::SLOTS + 24;
/// Of a limit too small for that, the part that is not clients' or instances', as one in so many.
const OWN_PART: usize = 2;

/// Of the memory limit, in hundredths, what clients may make the process hold. The rest is for the program itself, what the
/// allocator keeps, and a margin: memory over half of the limit is meant to be rare.
const CLIENTS_MEMORY_PERCENT: usize = 50;
/// Of that, what connections may take before a byte of a request has come, in hundredths.
const CONNECTIONS_MEMORY_PERCENT: usize = 60;
/// Of the memory limit, in hundredths, what the ids of requests may take.
const IDS_MEMORY_PERCENT: usize = 6;
/// Memory of one client's connection without a request: its task, the HTTP library's buffers and a usual head that is not whole.
const CONNECTION_BYTES: usize = 14 * 1024;
/// Most bytes of heads, bodies and answers that the chat front holds.
const CHAT_REQUEST_BYTES: usize = 32 * 1024 * 1024;

/// How the memory that clients may take is divided.
struct ClientMemory {
    connections: usize,
    request_bytes: usize,
}

impl ClientMemory {
    /// Divides it for a limit on memory and on descriptors of clients' connections.
    fn of(memory_mb: usize, descriptors: usize) -> Self {
        let bytes = memory_mb.min(4_096) * 1024 * 1024 / 100 * CLIENTS_MEMORY_PERCENT;
        let affordable = bytes / 100 * CONNECTIONS_MEMORY_PERCENT / CONNECTION_BYTES;
        let connections = descriptors.min(affordable.max(8));
        let request_bytes = bytes.saturating_sub(connections * CONNECTION_BYTES);
        ClientMemory { connections, request_bytes }
    }
}

/// Descriptors that the system lets this process have; as many as may be where it does not say.
fn system_limit() -> usize {
    let limit = rustix::process::getrlimit(rustix::process::Resource::Nofile).current;
    limit.map_or(usize::MAX, |limit| usize::try_from(limit).unwrap_or(usize::MAX))
}

fn connect_default() -> f64 {
    250.0
}

fn idle_default() -> f64 {
    30_000.0
}

fn millis(ms: f64, least: f64) -> Duration {
    Duration::from_secs_f64(ms.clamp(least, 3_600_000.0) / 1_000.0)
}

/// Share of a resource's limit, in hundredths.
fn percent(of: usize, part: usize) -> usize {
    (of * part / 100).max(8)
}

impl Platform {
    /// Reads the configuration file.
    pub fn read(path: &Path) -> Result<Self, ConfigError> {
        let shown = path.display().to_string();
        let text = std::fs::read(path).map_err(|e| ConfigError::Read(shown.clone(), e))?;
        let mut config = Self::parse(&text).map_err(|e| ConfigError::Form(shown, e))?;
        if config.operator.is_none()
            && let Some(place) = std::env::var_os("LB_OPERATOR").filter(|place| !place.is_empty())
        {
            let place = place.to_string_lossy();
            let parsed = place.parse().map_err(|_| format!("\"{place}\" is not an address with a port"));
            config.operator = Some(parsed.map_err(|e| ConfigError::Form("LB_OPERATOR".into(), e))?);
        }
        Ok(config)
    }

    /// Leaves so many sockets to another front of the same process: the limit counts for all of it.
    pub fn leave(&mut self, sockets: usize) {
        let less = |own: usize| own.saturating_sub(sockets.div_ceil(2)).max(8);
        (self.intake, self.pool.max_connections) = (less(self.intake), less(self.pool.max_connections));
    }

    fn parse(text: &[u8]) -> Result<Self, String> {
        let file: File = serde_json::from_slice(text).map_err(|e| e.to_string())?;
        let node = NodeSettings::deserialize(&file.settings).map_err(|e| format!("settings: {e}"))?;
        let (settings, names) = settings_from(file.settings).map_err(|e| format!("settings: {e}"))?;
        let seed = u64::from_str_radix(&file.seed, 16)
            .map_err(|_| format!("seed: \"{}\" is not a hexadecimal number", file.seed))?;
        // What cannot be read of the last known list is told by discovery.
        let known = file.known.as_ref().and_then(|known| {
            let read = TargetList::from_json(known)
                .inspect_err(|fault| tracing::warn!("known: {fault}; passed over"));
            let (list, faults) = read.ok()?;
            faults.summary().inspect(|line| tracing::warn!("known: {line}"));
            Some(list)
        });
        // Clients and instances get most of the descriptors; the rest is for clients who are only turned away.
        let sockets = file.limits.sockets.min(16_384).min(system_limit());
        let sockets = sockets - OWN_SOCKETS.min(sockets / OWN_PART);
        let memory = ClientMemory::of(file.limits.memory_mb, percent(sockets, 48));
        Ok(Platform {
            name: file.name,
            listen: file.listen,
            discovery: file.discovery,
            operator: file.operator,
            seed,
            known,
            settings,
            names,
            pool: PoolLimits {
                connect_timeout: millis(node.limits.connect_timeout, 1.0),
                // Well before the instance closes it: a request that crosses a close ends as a reset.
                max_idle_time: millis(node.limits.idle_close * 0.5, 1.0),
                max_connections: percent(sockets, 44),
            },
            intake: memory.connections,
            request_bytes: memory.request_bytes,
            id_bytes: file.limits.memory_mb.min(4_096) * 1024 * 1024 / 100 * IDS_MEMORY_PERCENT,
        })
    }
}

/// The chat front as its operator sets it up.
pub struct Chat {
    /// Where clients connect.
    pub listen: SocketAddr,
    /// Servers, by name.
    pub servers: Vec<(String, SocketAddr)>,
    /// The class of each model.
    pub models: BTreeMap<String, ClassId>,
    /// The module's settings.
    pub settings: Settings,
    /// Most tokens taken for a request that names none.
    pub default_max_tokens: u32,
    /// Headers added to what goes to the servers.
    pub server_headers: HeaderMap,
    /// How connections to servers are kept.
    pub pool: PoolLimits,
    /// Most connections taken from clients at once.
    pub intake: usize,
    /// Most bytes of heads, bodies and answers held at once.
    pub request_bytes: usize,
    /// Identities, where clients must prove theirs.
    pub tls: Option<Identities>,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct ChatFile {
    listen: SocketAddr,
    #[serde(default = "default_max_tokens")]
    default_max_tokens: u32,
    #[serde(default = "default_attempts")]
    max_attempts: u32,
    #[serde(default = "connect_default")]
    connect_timeout_ms: f64,
    #[serde(default = "idle_default")]
    idle_close_ms: f64,
    #[serde(default = "default_retry_after")]
    retry_after_ms: f64,
    #[serde(default = "default_connections")]
    client_connections: usize,
    #[serde(default = "default_connections")]
    server_connections: usize,
    servers: Vec<ChatServer>,
    classes: Vec<ChatClass>,
    models: BTreeMap<String, String>,
    #[serde(default)]
    server_headers: BTreeMap<String, String>,
    tls: Option<Tls>,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct ChatServer {
    name: String,
    address: SocketAddr,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct ChatClass {
    name: String,
    effect: ChatEffect,
    first_token_ms: f64,
    #[serde(default)]
    first_token_ms_per_1000: f64,
    deadline_ms: f64,
    token_ms: f64,
    #[serde(default = "default_worth")]
    worth: f64,
}

#[derive(Deserialize)]
#[serde(rename_all = "lowercase")]
enum ChatEffect {
    Safe,
    Unsafe,
}

fn default_max_tokens() -> u32 {
    800
}

fn default_attempts() -> u32 {
    4
}

fn default_retry_after() -> f64 {
    2_000.0
}

fn default_connections() -> usize {
    128
}

fn default_worth() -> f64 {
    1.0
}

fn micros(ms: f64, what: &str) -> Result<Micros, String> {
    let fits = (0.0..=86_400_000.0).contains(&ms);
    fits.then_some((ms * 1_000.0) as Micros).ok_or_else(|| format!("{what}: {ms} ms is out of range"))
}

impl Chat {
    /// Reads the operator's file.
    pub fn read(path: &Path) -> Result<Self, ConfigError> {
        let shown = path.display().to_string();
        let text = std::fs::read_to_string(path).map_err(|e| ConfigError::Read(shown.clone(), e))?;
        let base = path.parent().unwrap_or(Path::new(""));
        // The parser shows the place over several lines; the log has one.
        Self::parse(&text, base)
            .map_err(|e| ConfigError::Form(shown, e.split_whitespace().collect::<Vec<_>>().join(" ")))
    }

    fn parse(text: &str, base: &Path) -> Result<Self, String> {
        let file: ChatFile = toml::from_str(text).map_err(|e| e.to_string())?;
        if file.servers.is_empty() {
            return Err("servers: at least one is needed".into());
        }
        if file.models.is_empty() {
            return Err("models: at least one is needed".into());
        }
        if !(1..=100).contains(&file.max_attempts) {
            return Err("max_attempts: must lie between 1 and 100".into());
        }
        let class = |c: &ChatClass| -> Result<Class, String> {
            let at = |key: &str| format!("class \"{}\": {key}", c.name);
            Ok(Class {
                aim: micros(c.first_token_ms, &at("first_token_ms"))?,
                aim_per_1000: micros(c.first_token_ms_per_1000, &at("first_token_ms_per_1000"))?,
                deadline: micros(c.deadline_ms, &at("deadline_ms"))?,
                token_aim: micros(c.token_ms, &at("token_ms"))?.max(1),
                worth: c.worth,
                late_worth: 0.0,
                effect: match c.effect {
                    ChatEffect::Safe => Effect::Safe,
                    ChatEffect::Unsafe => Effect::Unsafe,
                },
            })
        };
        let classes = file.classes.iter().map(class).collect::<Result<Vec<_>, _>>()?;
        let named = |(model, class): (&String, &String)| {
            let at = file.classes.iter().position(|c| c.name == *class);
            let at = at.ok_or_else(|| format!("models: \"{model}\" has the unknown class \"{class}\""))?;
            Ok((model.clone(), ClassId(at)))
        };
        let models = file.models.iter().map(named).collect::<Result<_, String>>()?;
        let mut server_headers = HeaderMap::new();
        for (name, value) in &file.server_headers {
            let pair = HeaderName::from_bytes(name.as_bytes()).ok().zip(HeaderValue::from_str(value).ok());
            let (name, value) = pair.ok_or_else(|| format!("server_headers: \"{name}\" is not a header"))?;
            server_headers.insert(name, value);
        }
        let settings = Settings {
            routers: 1,
            kinds: vec![Kind { role: Role::Both, memory: None }],
            classes,
            limits: crate::api::Limits {
                cancel: true,
                max_attempts: file.max_attempts,
                come_back: Some(micros(file.retry_after_ms, "retry_after_ms")?),
                ..Default::default()
            },
            ..Settings::default()
        };
        Ok(Chat {
            listen: file.listen,
            servers: file.servers.into_iter().map(|s| (s.name, s.address)).collect(),
            models,
            settings,
            default_max_tokens: file.default_max_tokens,
            server_headers,
            pool: PoolLimits {
                connect_timeout: millis(file.connect_timeout_ms, 1.0),
                max_idle_time: millis(file.idle_close_ms * 0.5, 1.0),
                max_connections: file.server_connections.clamp(1, 4_096),
            },
            intake: file.client_connections.clamp(1, 4_096),
            request_bytes: CHAT_REQUEST_BYTES,
            tls: file.tls.map(|tls| Identities::read(tls, base)).transpose().map_err(|e| e.to_string())?,
        })
    }
}

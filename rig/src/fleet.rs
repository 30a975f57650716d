//! A fleet of real conductors with stand-in instances, and a breakable link from each conductor to each other.

use std::collections::BTreeMap;
use std::path::{Path, PathBuf};

use serde_json::{Value, json};
use tempfile::TempDir;

use crate::conductor::{Conductor, Home, Place, TIMEOUT, free_home};
use crate::faults::{Faults, Link};
use crate::stand_ins::{Instance, Record, Role, discovery, instance};
use crate::{Clock, Micros};

/// The sites of every fleet here.
pub const SITES: &[&str] = &["daejeon-1", "sejong-1"];

/// A time in which a conductor could not answer: from a signal to its undoing, or that of a kill.
pub type Away = (usize, Micros, Micros);

/// A fleet.
pub struct Fleet {
    /// The conductors, by their order.
    pub conductors: Vec<Conductor>,
    /// From which to which.
    pub links: BTreeMap<(usize, usize), Link>,
    /// What instances saw.
    pub record: Record,
    /// One clock for all.
    pub clock: Clock,
    /// The instances.
    pub instances: Vec<Instance>,
    /// Its part of loopback.
    pub home: Home,
    /// Its files; gone with it unless kept.
    pub folder: TempDir,
}

/// How large a fleet is.
#[derive(Clone, Debug)]
pub struct Size {
    /// Conductors.
    pub conductors: usize,
    /// Readers.
    pub readers: usize,
    /// Writers.
    pub writers: usize,
    /// Whether conductors know one another.
    pub cluster: bool,
    /// Whether links can be broken. Without, conductors connect to each other themselves.
    pub breakable: bool,
    /// Whether instances may be probed.
    pub probes: bool,
    /// Whether there is a chat front, too, with the writers behind it.
    pub chat: bool,
    /// Whether its files lie in memory where the machine has such a place: a disk that flushes nothing for half a second is a
    /// fault of its own, and lets leases lapse amid a change.
    pub in_memory: bool,
}

/// Links to a conductor listen at its address from this port on, one for each other conductor.
const LINK_PORTS: u16 = 9_000;
/// Where files lie in memory.
const MEMORY: &str = "/dev/shm";

impl Default for Size {
    fn default() -> Self {
        Size {
            conductors: 3,
            readers: 2,
            writers: 3,
            cluster: true,
            breakable: true,
            probes: false,
            chat: false,
            in_memory: false,
        }
    }
}

/// What the deployment tells a conductor, as the platform's configuration has it.
pub fn settings(conductors: usize, site: &str, probes: bool) -> Value {
    json!({
        "accounts": [], "balancers": conductors, "blend": {"whole": 1.0}, "clients": {"marksRetry": true},
        "domainType": "twostage", "failureDomains": SITES,
        "familyInfo": {"ahead": false, "aimUsPer1000PromptTokens": [40000.0, 40000.0], "farPrice": 0.03,
            "localRead": false, "memoryTokens": [2.0e6, 2.0e6], "pinLimit": 1000.0, "resume": true,
            "roleByKind": ["read", "write"], "tokenAim": [60.0, 80.0]},
        "invariants": {"answerSlack": 8.0, "askWithin": 10000.0, "drainGrace": 1000.0, "fallMultiple": 3.0,
            "overloadFor": 2000.0, "rampTime": 13000.0, "startCapacity": 0.28},
        "kinds": ["prefill", "decode"],
        "lanes": [
            {"deadline": 6000.0, "group": "all", "lateWorth": 0.1, "name": "climb-query", "objective": 1500.0,
             "semantics": "read_like", "stream": true, "window": 5000.0, "worth": 3.0},
            {"deadline": 15000.0, "group": "all", "lateWorth": 0.2, "name": "route-save", "objective": 3000.0,
             "semantics": "non_idempotent", "stream": true, "window": 5000.0, "worth": 2.0}],
        "limits": {"cancelling": true, "connectTimeout": 250.0, "idleClose": 30000.0, "maxAttempts": 4,
            "maxRetryAfter": 2000.0, "mayDuplicate": false, "mayProbe": probes, "retryAfter": true},
        "locality": site, "me": 0, "membershipMode": "push", "prices": {},
        "report": {"columns": ["x0"], "source": "pull"}, "step": 2.0, "tier": 0, "weights": "silent",
        "worthBy": "work"
    })
}

/// A policy document: `mark` tells one from another, `silence` says who pays for silent conductors.
pub fn document(mark: u64, silence: &str) -> String {
    format!(
        "silence = \"{silence}\"\n\n[limits]\nattempts = 4\ncome_back_ms = {}\n\n[classes.climb-query]\n\
         first_token_ms = 1500\nfirst_token_ms_per_1000 = 40\ndeadline_ms = 6000\ntoken_ms = 60\nworth = 3\n\
         late_worth = 0.1\n\n[classes.route-save]\nfirst_token_ms = 3000\nfirst_token_ms_per_1000 = 40\n\
         deadline_ms = 15000\ntoken_ms = 80\nworth = 2\nlate_worth = 0.2\n",
        1_000 + mark
    )
}

/// A conductor's cluster file: who there is, and by which links.
pub fn cluster_file(
    places: &[Place], links: &BTreeMap<(usize, usize), Link>, me: usize, join: bool,
) -> String {
    let mut text = format!("cluster = \"rig\"\nstore = \"ledger.redb\"\njoin = {join}\n");
    for (n, place) in places.iter().enumerate() {
        let (name, address, site) = (&place.name, place.peers, &place.site);
        text += &format!("\n[[peers]]\nname = \"{name}\"\naddress = \"{address}\"\nsite = \"{site}\"\n");
        if let Some(link) = links.get(&(me, n)) {
            text += &format!("via = \"{}\"\nvia_refuses = true\n", link.address);
        }
    }
    text
}

/// A conductor's chat front: the writers behind it, one class that must not run twice.
pub fn chat_file(place: &Place, instances: &[Instance]) -> String {
    let mut text = format!(
        "listen = \"{}\"\ndefault_max_tokens = 50\nmax_attempts = 4\nconnect_timeout_ms = 250\nidle_close_ms = 30000\n\
         retry_after_ms = 2000\nclient_connections = 128\nserver_connections = 128\n",
        place.chat
    );
    for instance in instances.iter().filter(|instance| instance.role == Role::Write) {
        text += &format!("[[servers]]\nname = \"{}\"\naddress = \"{}\"\n", instance.id, instance.address);
    }
    text + "[[classes]]\nname = \"route-save\"\neffect = \"unsafe\"\nfirst_token_ms = 3000\nfirst_token_ms_per_1000 = 40\n\
            deadline_ms = 15000\ntoken_ms = 80\nworth = 2\n[models]\n\"route-save\" = \"route-save\"\n"
}

impl Fleet {
    /// Lays a fleet out; nothing of it is started.
    pub async fn new(program: &Path, size: &Size, seed: u64) -> std::io::Result<Self> {
        let mut named = tempfile::Builder::new();
        let named = named.prefix("croftsill-rig-");
        let in_memory = size.in_memory.then(|| named.tempdir_in(MEMORY).ok()).flatten();
        let folder = in_memory.map_or_else(|| named.tempdir(), Ok)?;
        let clock = Clock::default();
        let record = Record(Default::default(), clock);
        let mut instances = Vec::new();
        for n in 0..size.readers {
            instances.push(instance(&format!("r{n}"), Role::Read, record.clone()).await?);
        }
        for n in 0..size.writers {
            instances.push(instance(&format!("w{n}"), Role::Write, record.clone()).await?);
        }
        let discovery = discovery(&instances, SITES).await?;
        let home = free_home()?;
        let mut places = Vec::new();
        for n in 0..size.conductors {
            places.push(Place::at(home, n, SITES[n % SITES.len()]));
        }
        let mut links = BTreeMap::new();
        for from in (0..size.conductors).filter(|_| size.breakable && size.cluster) {
            for to in (0..size.conductors).filter(|&to| to != from) {
                let port = LINK_PORTS + from as u16;
                let link = Link::to(places[to].peers, port, seed ^ (from as u64) << 32 ^ to as u64).await?;
                links.insert((from, to), link);
            }
        }
        let mut conductors = Vec::new();
        for (n, place) in places.iter().enumerate() {
            let config = json!({
                "name": place.name, "listen": place.clients, "operator": place.operators, "discovery": discovery,
                "seed": format!("{:x}", seed.wrapping_add(n as u64 + 1)),
                "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
                "settings": settings(size.conductors, &place.site, size.probes),
            });
            let cluster = size.cluster.then(|| cluster_file(&places, &links, n, false));
            let mut conductor =
                Conductor::new(place.clone(), program, folder.path(), &config, cluster.as_deref())?;
            if size.chat {
                conductor.chat(&chat_file(place, &instances))?;
            }
            conductors.push(conductor);
        }
        Ok(Fleet { conductors, links, record, clock, instances, home, folder })
    }

    /// Starts all, and waits until all take clients.
    pub async fn start(&mut self) -> std::io::Result<bool> {
        for conductor in &mut self.conductors {
            conductor.start()?;
        }
        for conductor in &self.conductors {
            if !conductor.ready().await {
                return Ok(false);
            }
        }
        Ok(true)
    }

    /// Kills a conductor; links to it refuse connections, as its own address does. The time in which that came about.
    pub async fn kill(&mut self, number: usize) -> Away {
        let before = self.clock.now();
        self.conductors[number].kill().await;
        let away = (number, before, self.clock.now());
        for (_, link) in self.links.iter().filter(|((_, to), _)| *to == number) {
            link.refuse().await;
        }
        away
    }

    /// Starts a conductor again.
    pub async fn restart(&mut self, number: usize) -> std::io::Result<()> {
        for ((_, to), link) in &self.links {
            if *to == number {
                link.open().await?;
            }
        }
        self.conductors[number].start()
    }

    /// Cuts these off from all others, both ways, or heals that.
    pub fn cut(&self, side: &[usize], cut: bool) {
        for ((from, to), link) in &self.links {
            if side.contains(from) != side.contains(to) {
                link.set(Faults { cut, ..Faults::default() });
            }
        }
    }

    /// Sets the same faults on all links.
    pub fn disturb(&self, faults: Faults) {
        self.links.values().for_each(|link| link.set(faults));
    }

    /// Waits until a conductor that is up leads the ledger.
    pub async fn led(&self) -> usize {
        let found = async {
            loop {
                if let Some(leader) = self.leader().await {
                    return leader;
                }
                tokio::time::sleep(std::time::Duration::from_millis(20)).await;
            }
        };
        tokio::time::timeout(TIMEOUT, found).await.unwrap_or_else(|_| panic!("nobody leads the ledger"))
    }

    /// The conductor that leads the ledger, as one that is up tells it.
    pub async fn leader(&self) -> Option<usize> {
        for conductor in self.conductors.iter().filter(|conductor| conductor.runs()) {
            let led = conductor.status().await.and_then(|status| Some(status["leader"].as_str()?.to_owned()));
            let number = led.and_then(|led| self.conductors.iter().position(|c| c.place.name == led));
            if let Some(number) = number.filter(|&number| self.conductors[number].runs()) {
                return Some(number);
            }
        }
        None
    }

    /// Keeps the files of a run that failed; where they are.
    pub fn keep(self) -> PathBuf {
        let mut conductors = self.conductors;
        for conductor in &mut conductors {
            let log = conductor.lines.from(0).join("\n");
            let _ = std::fs::write(conductor.folder.join("log.txt"), log);
        }
        self.folder.keep()
    }
}

//! The operator's file: who the conductors are.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};

use serde::Deserialize;

use crate::control::policy::line_of;
use crate::control::state::{Agreed, NAME_MOST, Peer};
use crate::node::process::config::ConfigError;
use crate::peers::{EARLIEST, VERSION};

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct File {
    cluster: String,
    store: PathBuf,
    #[serde(default)]
    join: bool,
    speak: Option<u16>,
    peers: Vec<Line>,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct Line {
    name: String,
    address: SocketAddr,
    site: String,
    via: Option<SocketAddr>,
    #[serde(default)]
    via_refuses: bool,
}

/// The conductors as one of them is told.
#[derive(Clone, Debug)]
pub struct Roster {
    /// The fleet's name.
    pub cluster: String,
    /// Where this conductor keeps its part of the ledger.
    pub store: PathBuf,
    /// This conductor comes to a fleet that runs already.
    pub join: bool,
    /// The version that it speaks on links.
    pub speak: u16,
    /// This conductor.
    pub me: Peer,
    /// All that the file names, this one too.
    pub peers: Vec<Peer>,
    /// Where another address than a peer's own leads to it, and whether that refuses connections when, and only when, the
    /// peer's process has ended.
    pub via: BTreeMap<String, (SocketAddr, bool)>,
}

impl Roster {
    /// Reads the file, for the conductor of this name.
    pub fn read(path: &Path, name: &str) -> Result<Self, ConfigError> {
        let shown = path.display().to_string();
        let text = std::fs::read_to_string(path).map_err(|e| ConfigError::Read(shown.clone(), e))?;
        let base = path.parent().unwrap_or(Path::new("."));
        Self::parse(&text, base, name).map_err(|e| ConfigError::Form(shown, e))
    }

    fn parse(text: &str, base: &Path, name: &str) -> Result<Self, String> {
        let file: File = toml::from_str(text).map_err(|e| {
            let line = e.span().and_then(|span| line_of(text, span.start));
            let line = line.map_or(String::new(), |line| format!("line {line}: "));
            format!("{line}{}", e.message().replace('\n', " "))
        })?;
        let fits = |name: &str| {
            let known = |c: char| c.is_ascii_alphanumeric() || "-_.".contains(c);
            (1..=NAME_MOST).contains(&name.len()) && name.chars().all(known)
        };
        if !fits(&file.cluster) {
            return Err(format!("cluster: \"{}\" is no name", file.cluster));
        }
        let (mut peers, mut via) = (BTreeMap::new(), BTreeMap::new());
        for line in file.peers {
            if !fits(&line.name) || !fits(&line.site) {
                return Err(format!("peers: \"{}\" at \"{}\": not both are names", line.name, line.site));
            }
            via.extend(line.via.map(|at| (line.name.clone(), (at, line.via_refuses))));
            let peer = Peer { name: line.name.clone(), address: line.address, site: line.site };
            if peers.values().any(|p: &Peer| p.address == peer.address) {
                return Err(format!("peers: the address {} stands there twice", peer.address));
            }
            if peers.insert(line.name.clone(), peer).is_some() {
                return Err(format!("peers: \"{}\" stands there twice", line.name));
            }
        }
        let me = peers
            .get(name)
            .cloned()
            .ok_or_else(|| format!("peers: this conductor, \"{name}\", is not there"))?;
        let speak = file.speak.unwrap_or(VERSION);
        if !(EARLIEST..=VERSION).contains(&speak) {
            return Err(format!("speak: must lie between {EARLIEST} and {VERSION}, and is {speak}"));
        }
        let store = base.join(file.store);
        let (cluster, join) = (file.cluster, file.join);
        Ok(Roster { cluster, store, join, speak, me, peers: peers.into_values().collect(), via })
    }

    /// What the founders agree on before the first entry; none for one that joins them later.
    pub fn founders(&self) -> Option<Agreed> {
        (!self.join).then(|| Agreed::new(self.peers.iter().cloned()))
    }

    /// Where to connect for a peer, and whether it has ended when that refuses connections.
    pub fn way(&self, peer: &Peer) -> (SocketAddr, bool) {
        self.via.get(&peer.name).copied().unwrap_or((peer.address, true))
    }
}

#[cfg(test)]
mod tests;

//! Real conductors between clients and servers, with a breakable link on every way.

use std::path::Path;
use std::sync::Arc;

use serde_json::json;
use tempfile::TempDir;

use super::deployment::Deployment;
use super::discovery::{Agent, Entry, Listed};
use super::network::{Link, Planner};
use super::servers::{Record, Server};
use crate::Clock;
use crate::conductor::{Conductor, Place, free_home};
use crate::stand_ins::Role;

/// Draws what befalls a connection: by the conductor, the server where it leads to one, and the connection's number.
pub type FleetPlanner = Arc<dyn Fn(usize, Option<usize>, u64) -> Option<super::network::Plan> + Send + Sync>;

/// A fleet whose every connection passes through a breakable link.
pub struct Fleet {
    /// Its deployment.
    pub deployment: Deployment,
    /// The conductors.
    pub conductors: Vec<Conductor>,
    /// The servers.
    pub servers: Vec<Server>,
    /// By conductor and server.
    pub links: Vec<Vec<Link>>,
    /// For clients, by conductor.
    pub doors: Vec<Link>,
    /// Discovery's agents, by conductor.
    pub agents: Vec<Agent>,
    /// What servers saw.
    pub record: Record,
    /// One clock for all.
    pub clock: Clock,
    folder: TempDir,
}

fn link_planner(planner: &FleetPlanner, conductor: usize, server: Option<usize>) -> Planner {
    let planner = planner.clone();
    Arc::new(move |number| planner(conductor, server, number))
}

impl Fleet {
    /// Lays a fleet out; no conductor is started.
    pub async fn new(
        program: &Path, deployment: Deployment, planner: FleetPlanner, seed: u64,
    ) -> std::io::Result<Self> {
        let folder = tempfile::Builder::new().prefix("croftsill-soak-").tempdir()?;
        let (clock, home) = (Clock::default(), free_home()?);
        let record = Record::new(clock);
        let mut servers = Vec::new();
        for (number, manner) in deployment.servers.iter().enumerate() {
            let id = deployment.server_id(number);
            servers.push(Server::start(&id, manner.clone(), record.clone()).await?);
        }
        let (mut conductors, mut links, mut doors, mut agents) = (vec![], vec![], vec![], vec![]);
        for at in 0..deployment.conductors {
            let mut to_servers = Vec::new();
            for (number, server) in servers.iter().enumerate() {
                let link = Link::to(server.address, clock, link_planner(&planner, at, Some(number))).await?;
                server.link(link.clone());
                to_servers.push(link);
            }
            let entry = |(number, link): (usize, &Link)| Entry {
                id: deployment.server_id(number),
                address: link.address,
                zone: deployment.zones[deployment.zone(number)].clone(),
                kind: if deployment.servers[number].role == Role::Read { "prefill" } else { "decode" },
                cell: deployment.zone(number),
                listed: Listed::Ready,
            };
            let agent = Agent::start(to_servers.iter().enumerate().map(entry).collect(), clock).await?;
            let place = Place::at(home, at, &deployment.zones[at % deployment.zones.len()]);
            let config = json!({
                "name": place.name, "listen": place.clients, "discovery": agent.address,
                "seed": format!("{:x}", seed.wrapping_add(at as u64 + 1)),
                "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
                "settings": deployment.settings(at),
            });
            doors.push(Link::to(place.clients, clock, link_planner(&planner, at, None)).await?);
            conductors.push(Conductor::new(place, program, folder.path(), &config, None)?);
            links.push(to_servers);
            agents.push(agent);
        }
        Ok(Fleet { deployment, conductors, servers, links, doors, agents, record, clock, folder })
    }

    /// Starts all conductors, and waits until all take clients.
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

    /// The links from a conductor to servers of a role.
    pub fn links_to(&self, conductor: usize, role: Role) -> impl Iterator<Item = &Link> {
        let servers = self.deployment.servers.iter();
        let links = self.links[conductor].iter().zip(servers);
        links.filter(move |(_, manner)| manner.role == role).map(|(link, _)| link)
    }

    /// Keeps the files of a run that failed; where they are.
    pub fn keep(self) -> std::path::PathBuf {
        for conductor in &self.conductors {
            let _ = std::fs::write(conductor.folder.join("log.txt"), conductor.lines.from(0).join("\n"));
        }
        drop(self.conductors);
        self.folder.keep()
    }
}

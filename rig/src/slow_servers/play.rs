//! One play: a conductor, readers and writers of which some are slow, and requests of both classes.

use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

use serde_json::json;
use tokio::task::JoinSet;

use super::client::{Exchange, Front, Request};
use super::script::{Slowness, answer};
use super::server::{self, Attempt, Manner, Record};
use super::verdict::{Finding, Terms, findings};
use crate::Clock;
use crate::conductor::{Conductor, Place, free_home};
use crate::soak::deployment::Deployment;
use crate::soak::discovery::{Agent, Entry, Listed};
use crate::stand_ins::Role;

/// Servers of each role.
const READERS: usize = 2;
const WRITERS: usize = 3;
/// Tokens that a request asks for, and the pace that the chat front's file wants of them.
const MAX_TOKENS: u32 = 20;
const TOKEN_MS: u32 = 60;
/// Allowance of a whole answer for each token, as a multiple of the wanted pace.
const WHOLE_ANSWER_PACE: u32 = 2;

/// The classes, and whether their requests must not run twice.
pub const CLASSES: [(&str, bool); 2] = [("climb-query", false), ("route-save", true)];

/// Which servers are slow.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SlowServers {
    /// One reader.
    OneReader,
    /// All readers.
    AllReaders,
    /// One writer.
    OneWriter,
    /// All writers.
    AllWriters,
}

impl SlowServers {
    fn holds(self, role: Role, number: usize) -> bool {
        match self {
            SlowServers::OneReader => role == Role::Read && number == 0,
            SlowServers::AllReaders => role == Role::Read,
            SlowServers::OneWriter => role == Role::Write && number == 0,
            SlowServers::AllWriters => role == Role::Write,
        }
    }

    /// Returns the role of these servers.
    pub fn role(self) -> Role {
        match self {
            SlowServers::OneReader | SlowServers::AllReaders => Role::Read,
            SlowServers::OneWriter | SlowServers::AllWriters => Role::Write,
        }
    }
}

/// What is played.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Play {
    /// The front that clients use.
    pub front: Front,
    /// In which way servers are slow.
    pub manner: Manner,
    /// Which of them.
    pub slow: SlowServers,
    /// How long clients wait for a first event.
    pub patience: Duration,
    /// Length of a prompt in bytes.
    pub prompt_bytes: usize,
    /// Requests of each class, all at once.
    pub requests: usize,
}

/// One request of a play and how it went.
#[derive(Clone, Debug)]
pub struct Played {
    /// Its class.
    pub class: &'static str,
    /// What its client saw.
    pub exchange: Exchange,
    /// What servers saw of it.
    pub attempts: Vec<Attempt>,
    /// Rules that were broken.
    pub findings: Vec<Finding>,
}

/// A conductor that takes clients, and its servers.
pub struct Started {
    /// The conductor.
    pub conductor: Conductor,
    /// The clock of all records.
    pub clock: Clock,
    /// What the servers see.
    pub record: Record,
    _folder: tempfile::TempDir,
}

/// What came of a play.
#[derive(Clone, Debug)]
pub struct Report {
    /// Its requests.
    pub played: Vec<Played>,
    /// The conductor's log.
    pub log: Vec<String>,
}

impl Play {
    /// How long a client waits for its final answer.
    fn answer_patience(&self) -> Duration {
        match self.front {
            Front::ChatWhole => {
                let writing = MAX_TOKENS * TOKEN_MS * WHOLE_ANSWER_PACE;
                self.patience + Duration::from_millis(u64::from(writing))
            }
            Front::Platform | Front::Chat => self.patience,
        }
    }

    fn deployment(&self) -> Deployment {
        let mut deployment = Deployment::quiet(READERS, WRITERS);
        deployment.zones.truncate(1);
        deployment.classes.iter_mut().for_each(|class| class.deadline = self.patience);
        deployment
    }

    fn chat_file(&self, place: &Place, writers: &[SocketAddr]) -> String {
        let mut text = format!(
            "listen = \"{}\"\ndefault_max_tokens = {MAX_TOKENS}\nmax_attempts = 4\nconnect_timeout_ms = 250\n\
             idle_close_ms = 30000\nretry_after_ms = 2000\nclient_connections = 128\nserver_connections = 128\n",
            place.chat
        );
        for (number, address) in writers.iter().enumerate() {
            text += &format!("[[servers]]\nname = \"w{number}\"\naddress = \"{address}\"\n");
        }
        for (class, is_unsafe) in CLASSES {
            let effect = if is_unsafe { "unsafe" } else { "safe" };
            text += &format!(
                "[[classes]]\nname = \"{class}\"\neffect = \"{effect}\"\nfirst_token_ms = 500\n\
                 first_token_ms_per_1000 = 40\ndeadline_ms = {}\ntoken_ms = {TOKEN_MS}\nworth = 2\n",
                self.patience.as_millis()
            );
        }
        text += "[models]\n";
        for (class, _) in CLASSES {
            text += &format!("\"{class}\" = \"{class}\"\n");
        }
        text
    }

    async fn servers(&self, role: Role, count: usize, record: &Record) -> std::io::Result<Vec<SocketAddr>> {
        let mut addresses = Vec::new();
        for number in 0..count {
            let manner = if self.slow.holds(role, number) { self.manner } else { Manner::USUAL };
            addresses.push(server::start(role, manner, record.clone()).await?);
        }
        Ok(addresses)
    }

    /// Starts servers and a conductor, into which `preload` is loaded. The servers run until the runtime ends.
    pub async fn set_up(&self, program: &Path, preload: Option<&Path>) -> std::io::Result<Started> {
        let (clock, home) = (Clock::default(), free_home()?);
        let record = Record::new(clock);
        let readers = self.servers(Role::Read, READERS, &record).await?;
        let writers = self.servers(Role::Write, WRITERS, &record).await?;
        let folder = tempfile::Builder::new().prefix("croftsill-slow-").tempdir()?;
        let place = Place::at(home, 0, "daejeon-1");
        let deployment = self.deployment();
        let agent = Agent::start(entries(&deployment, &readers, &writers), clock).await?;
        let config = json!({
            "name": place.name, "listen": place.clients, "discovery": agent.address, "seed": "1f",
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024}, "settings": deployment.settings(0),
        });
        let mut conductor = Conductor::new(place, program, folder.path(), &config, None)?;
        conductor.before = "export CROFTSILL_LOG=debug;".into();
        if let Some(library) = preload {
            conductor.before += &format!(" export LD_PRELOAD='{}';", library.display());
        }
        let chat_file = self.chat_file(&conductor.place, &writers);
        conductor.chat(&chat_file)?;
        conductor.start()?;
        if !conductor.ready().await {
            return Err(std::io::Error::other("the program takes no clients"));
        }
        Ok(Started { conductor, clock, record, _folder: folder })
    }

    /// Plays it with this program, into which `preload` is loaded. The servers run until the runtime ends.
    pub async fn run(&self, program: &Path, preload: Option<&Path>) -> std::io::Result<Report> {
        let mut started = self.set_up(program, preload).await?;
        let played = self.ask_all(&started.conductor.place, started.clock, &started.record).await?;
        started.conductor.kill().await;
        Ok(Report { played, log: started.conductor.lines.from(0) })
    }

    async fn ask_all(&self, place: &Place, clock: Clock, record: &Record) -> std::io::Result<Vec<Played>> {
        let to = if self.front == Front::Platform { place.clients } else { place.chat };
        let mut asked = JoinSet::new();
        for (class, is_unsafe) in CLASSES {
            for number in 0..self.requests {
                let request = Request {
                    front: self.front,
                    id: format!("{class}-{number}"),
                    class,
                    patience: self.patience,
                    prompt_bytes: self.prompt_bytes,
                };
                asked.spawn(async move { (class, is_unsafe, request.send(to, clock).await) });
            }
        }
        let script = answer(Role::Write, self.writers_slowness(), self.front != Front::ChatWhole);
        let mut played = Vec::new();
        while let Some(Ok((class, is_unsafe, exchange))) = asked.join_next().await {
            let exchange = exchange?;
            let mut attempts = record.attempts();
            attempts.retain(|attempt| attempt.id == exchange.id);
            let (front, patience) = (self.front, self.answer_patience());
            let terms = Terms { front, patience, is_unsafe, script: &script };
            let findings = findings(&terms, &exchange, &attempts);
            played.push(Played { class, exchange, attempts, findings });
        }
        Ok(played)
    }

    fn writers_slowness(&self) -> Slowness {
        if self.slow.role() == Role::Write { self.manner.slowness } else { Slowness::Nowhere }
    }
}

fn entries(deployment: &Deployment, readers: &[SocketAddr], writers: &[SocketAddr]) -> Vec<Entry> {
    let entry = |(number, &address): (usize, &SocketAddr)| Entry {
        id: deployment.server_id(number),
        address,
        zone: deployment.zones[0].clone(),
        kind: if number < readers.len() { "prefill" } else { "decode" },
        cell: 0,
        listed: Listed::Ready,
    };
    readers.iter().chain(writers).enumerate().map(entry).collect()
}

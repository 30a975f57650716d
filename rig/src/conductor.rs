//! A real conductor's process.

use std::net::{Ipv4Addr, SocketAddr};
use std::path::{Path, PathBuf};
use std::process::Stdio;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::{Method, Request};
use hyper_util::rt::TokioIo;
use rand::Rng;
use rustix::process::{Pid, Signal, kill_process};
use serde_json::{Value, json};
use tokio::io::{AsyncBufReadExt, BufReader};
use tokio::process::{Child, Command};
use tokio::sync::watch;

/// Far above any wait that is meant: only a run that fails comes to its end.
pub const TIMEOUT: Duration = Duration::from_secs(30);

/// Lines that a process wrote, over all its runs.
#[derive(Clone, Default)]
pub struct Lines {
    all: Arc<Mutex<Vec<String>>>,
    count: Arc<watch::Sender<usize>>,
}

impl Lines {
    fn push(&self, line: String) {
        if let Ok(mut all) = self.all.lock() {
            all.push(line);
            self.count.send_replace(all.len());
        }
    }

    /// How many there are.
    pub fn count(&self) -> usize {
        *self.count.borrow()
    }

    /// Those from a place on.
    pub fn from(&self, place: usize) -> Vec<String> {
        self.all.lock().map(|all| all.get(place..).unwrap_or_default().to_vec()).unwrap_or_default()
    }

    /// Waits for a line that holds this text, from a place on. None when none comes in time.
    pub async fn wait(&self, place: usize, text: &str) -> Option<String> {
        let find = || self.from(place).into_iter().find(|line| line.contains(text));
        let mut count = self.count.subscribe();
        let waited = tokio::time::timeout(TIMEOUT, async {
            loop {
                if let Some(line) = find() {
                    return Some(line);
                }
                count.changed().await.ok()?;
            }
        });
        waited.await.ok().flatten()
    }
}

/// Where a conductor is found.
#[derive(Clone, Debug)]
pub struct Place {
    /// Its name.
    pub name: String,
    /// For clients.
    pub clients: SocketAddr,
    /// For operators.
    pub operators: SocketAddr,
    /// For other conductors.
    pub peers: SocketAddr,
    /// For clients of the chat front.
    pub chat: SocketAddr,
    /// Its site.
    pub site: String,
}

/// A conductor.
pub struct Conductor {
    /// Where it is found.
    pub place: Place,
    /// Its log.
    pub lines: Lines,
    /// Its folder.
    pub folder: PathBuf,
    program: PathBuf,
    cluster: bool,
    chat: bool,
    child: Option<Child>,
    /// Put before the program, as a shell has it.
    pub before: String,
}

/// A part of loopback for one fleet: 127.A.B.0/24 by these two numbers. Addresses there are never the near end of
/// somebody's connection, so a port that a killed conductor had is free when it comes back.
pub type Home = (u8, u8);

/// A home that no other fleet has at this moment.
pub fn free_home() -> std::io::Result<Home> {
    let mut rng = rand::rng();
    for _ in 0..1_000 {
        let home = (rng.random_range(64..=191), rng.random_range(0..=255));
        // Held for the process's life: a second fleet finds it taken.
        if let Ok(held) = std::net::TcpListener::bind((Ipv4Addr::new(127, home.0, home.1, 255 - 1), 7_000)) {
            std::mem::forget(held);
            return Ok(home);
        }
    }
    Err(std::io::Error::other("no free part of loopback"))
}

impl Place {
    /// The place of a conductor by its number.
    pub fn at((a, b): Home, number: usize, site: &str) -> Self {
        let at = |port| SocketAddr::from((Ipv4Addr::new(127, a, b, (number % 250) as u8 + 1), port));
        let (clients, operators, peers, chat) = (at(8_080), at(8_081), at(8_082), at(8_083));
        Place { name: format!("n{number:02}"), clients, operators, peers, chat, site: site.into() }
    }
}

impl Conductor {
    /// A conductor that is not started yet, with its files in a folder of its own.
    pub fn new(
        place: Place, program: &Path, folder: &Path, config: &Value, cluster: Option<&str>,
    ) -> std::io::Result<Self> {
        let folder = folder.join(&place.name);
        std::fs::create_dir_all(folder.join("tmp"))?;
        std::fs::write(folder.join("config.json"), config.to_string())?;
        if let Some(text) = cluster {
            std::fs::write(folder.join("cluster.toml"), text)?;
        }
        let (lines, program) = (Lines::default(), program.to_owned());
        Ok(Conductor {
            place,
            lines,
            folder,
            program,
            cluster: cluster.is_some(),
            chat: false,
            child: None,
            before: String::new(),
        })
    }

    /// Gives it a chat front by this file.
    pub fn chat(&mut self, text: &str) -> std::io::Result<()> {
        self.chat = true;
        std::fs::write(self.folder.join("chat.toml"), text)
    }

    /// Starts the process.
    pub fn start(&mut self) -> std::io::Result<()> {
        let line = format!("{} exec \"$0\" \"$@\"", self.before);
        let mut command = Command::new("/bin/sh");
        command.arg("-c").arg(line).arg(&self.program);
        if self.cluster {
            command.arg("--cluster").arg(self.folder.join("cluster.toml"));
        }
        if self.chat {
            command.arg("--chat").arg(self.folder.join("chat.toml"));
        }
        command.env("LB_CONFIG", self.folder.join("config.json")).env("TMPDIR", self.folder.join("tmp"));
        command.stdin(Stdio::null()).stdout(Stdio::null()).stderr(Stdio::piped()).kill_on_drop(true);
        let mut child = command.spawn()?;
        if let Some(stderr) = child.stderr.take() {
            let lines = self.lines.clone();
            tokio::spawn(async move {
                let mut read = BufReader::new(stderr).lines();
                while let Ok(Some(line)) = read.next_line().await {
                    lines.push(line);
                }
            });
        }
        self.child = Some(child);
        Ok(())
    }

    /// Its process's number while it runs.
    pub fn pid(&self) -> Option<u32> {
        self.child.as_ref().and_then(Child::id)
    }

    /// Sends it a signal.
    pub fn signal(&self, signal: Signal) {
        if let Some(pid) = self.pid().and_then(|pid| Pid::from_raw(pid as i32)) {
            let _ = kill_process(pid, signal);
        }
    }

    /// Kills it, and waits until it is gone.
    pub async fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill().await;
        }
    }

    /// Waits for it to end by itself; its exit code.
    pub async fn ended(&mut self) -> Option<i32> {
        let mut child = self.child.take()?;
        tokio::time::timeout(TIMEOUT, child.wait()).await.ok()?.ok()?.code()
    }

    /// Its exit code if it has ended by itself, none in that for a signal.
    pub fn exited(&mut self) -> Option<Option<i32>> {
        let status = self.child.as_mut()?.try_wait().ok().flatten()?;
        Some(status.code())
    }

    /// Whether a process is there.
    pub fn runs(&self) -> bool {
        self.child.is_some()
    }

    /// Calls as an operator.
    pub async fn call(&self, method: Method, path: &str, body: &str) -> Option<(u16, Value)> {
        call(self.place.operators, method, path, body).await
    }

    /// Where it stands in the policy.
    pub async fn status(&self) -> Option<Value> {
        self.call(Method::GET, "/policy", "").await.map(|(_, body)| body)
    }

    /// Waits until it is ready for clients.
    pub async fn ready(&self) -> bool {
        self.until(|| async {
            let asked = call(self.place.clients, Method::GET, "/-/ready", "").await;
            asked.is_some_and(|(status, _)| status == 200)
        })
        .await
    }

    /// Waits until its status fits.
    pub async fn status_is(&self, fits: impl Fn(&Value) -> bool) -> bool {
        self.until(|| async { self.status().await.is_some_and(|status| fits(&status)) }).await
    }

    async fn until<F: Future<Output = bool>>(&self, holds: impl Fn() -> F) -> bool {
        let tries = async {
            while !holds().await {
                tokio::time::sleep(Duration::from_millis(15)).await;
            }
        };
        tokio::time::timeout(TIMEOUT, tries).await.is_ok()
    }
}

/// One call, on a connection of its own. None where nobody answers within two seconds.
pub async fn call(at: SocketAddr, method: Method, path: &str, body: &str) -> Option<(u16, Value)> {
    let exchange = async {
        let socket = tokio::net::TcpStream::connect(at).await.ok()?;
        let (mut sender, connection) =
            hyper::client::conn::http1::handshake(TokioIo::new(socket)).await.ok()?;
        tokio::spawn(connection);
        let request = Request::builder().method(method).uri(path).header("host", "rig");
        let request = request.body(Full::new(Bytes::from(body.to_owned()))).ok()?;
        let answer = sender.send_request(request).await.ok()?;
        let status = answer.status().as_u16();
        let text = answer.into_body().collect().await.ok()?.to_bytes();
        Some((status, serde_json::from_slice(&text).unwrap_or(json!({}))))
    };
    tokio::time::timeout(Duration::from_secs(2), exchange).await.ok().flatten()
}

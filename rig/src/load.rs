//! Open-loop load: requests are sent at times drawn ahead, whatever becomes of those before them.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::Request;
use hyper_util::rt::TokioIo;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use rand_distr::{Distribution, Exp};
use tokio::task::JoinHandle;

use crate::{Clock, Micros};

/// For a whole exchange; clients give up after it.
pub const TIMEOUT: Duration = Duration::from_secs(8);

/// What became of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Outcome {
    /// A whole stream.
    Served,
    /// Trying again is harmless.
    Refused,
    /// It may have run.
    Failed,
    /// Its stream broke.
    Broken,
    /// No connection: it was never taken.
    Unreachable,
    /// The connection ended without an answer.
    Lost,
}

/// A request as its client saw it.
#[derive(Clone, Debug)]
pub struct Asked {
    /// Its id.
    pub id: String,
    /// The conductor.
    pub at: usize,
    /// It must not run twice.
    pub is_unsafe: bool,
    /// When it was meant to be sent, before the connection was made.
    pub sent: Micros,
    /// When the head of the answer came.
    pub answered: Option<Micros>,
    /// The revision that the answer names.
    pub revision: Option<u64>,
    /// What became of it.
    pub outcome: Outcome,
    /// It was refused with a time to come back.
    pub come_back: bool,
}

/// A load on some conductors.
pub struct Load {
    asked: Arc<Mutex<Vec<Asked>>>,
    stop: Arc<std::sync::atomic::AtomicBool>,
    task: JoinHandle<()>,
}

impl Load {
    /// Begins: so many requests a second, each to one of these by chance.
    pub fn begin(targets: Vec<SocketAddr>, rate: f64, seed: u64, clock: Clock) -> Self {
        let asked: Arc<Mutex<Vec<Asked>>> = Arc::default();
        let stop = Arc::new(std::sync::atomic::AtomicBool::new(false));
        let (seen, stopped) = (asked.clone(), stop.clone());
        let task = tokio::spawn(async move {
            let mut rng = SmallRng::seed_from_u64(seed);
            let Ok(gaps) = Exp::new(rate) else { return };
            let mut due = clock.now();
            let mut open = Vec::new();
            let mut number = 0_u64;
            while !stopped.load(std::sync::atomic::Ordering::Relaxed) {
                due += (gaps.sample(&mut rng) * 1e6) as Micros;
                let now = clock.now();
                if due > now {
                    tokio::time::sleep(Duration::from_micros(due - now)).await;
                }
                number += 1;
                let at = rng.random_range(0..targets.len());
                let is_unsafe = rng.random_bool(0.36);
                let id = format!("{seed:08x}-{number:06}");
                let (target, seen) = (targets[at], seen.clone());
                open.push(tokio::spawn(async move {
                    let asked = ask(target, at, id, is_unsafe, due, clock).await;
                    if let Ok(mut seen) = seen.lock() {
                        seen.push(asked);
                    }
                }));
                open.retain(|task| !task.is_finished());
            }
            for task in open {
                let _ = task.await;
            }
        });
        Load { asked, stop, task }
    }

    /// How many have ended so far.
    pub fn count(&self) -> usize {
        self.asked.lock().map_or(0, |asked| asked.len())
    }

    /// Waits until so many more have ended.
    pub async fn more(&self, by: usize) {
        let until = self.count() + by;
        for _ in 0..3_000 {
            if self.count() >= until {
                return;
            }
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
    }

    /// Sends no more, and waits for those that are out.
    pub async fn end(self) -> Vec<Asked> {
        self.stop.store(true, std::sync::atomic::Ordering::Relaxed);
        let _ = self.task.await;
        self.asked.lock().map(|asked| asked.clone()).unwrap_or_default()
    }
}

async fn ask(
    target: SocketAddr, at: usize, id: String, is_unsafe: bool, sent: Micros, clock: Clock,
) -> Asked {
    let mut asked = Asked {
        id,
        at,
        is_unsafe,
        sent,
        answered: None,
        revision: None,
        outcome: Outcome::Unreachable,
        come_back: false,
    };
    let exchange = exchange(target, &mut asked, clock);
    if tokio::time::timeout(TIMEOUT, exchange).await.is_err() {
        asked.outcome = if asked.answered.is_some() { Outcome::Broken } else { Outcome::Lost };
    }
    asked
}

async fn exchange(target: SocketAddr, asked: &mut Asked, clock: Clock) -> Option<()> {
    let socket = tokio::net::TcpStream::connect(target).await.ok()?;
    let _ = socket.set_nodelay(true);
    let (mut sender, connection) = hyper::client::conn::http1::handshake(TokioIo::new(socket)).await.ok()?;
    tokio::spawn(connection);
    let class = if asked.is_unsafe { "route-save" } else { "climb-query" };
    let timeout = if asked.is_unsafe { "7000" } else { "5000" };
    let request = Request::post("/v1/chat/completions")
        .header("host", "app.svc")
        .header("request-id", &asked.id)
        .header("request-class", class)
        .header("affinity-key", &asked.id)
        .header("request-timeout-ms", timeout)
        .header("request-info", "prompt_len=400,max_out=40");
    let body = "{\"model\":\"chat\",\"stream\":true,\"max_tokens\":40,\"messages\":[]}";
    let request = request.body(Full::new(Bytes::from(body))).ok()?;
    asked.outcome = Outcome::Lost;
    let answer = sender.send_request(request).await.ok()?;
    asked.answered = Some(clock.now());
    let text = |name| answer.headers().get(name).and_then(|v| v.to_str().ok()?.parse::<f64>().ok());
    asked.revision = text("policy-revision").map(|r| r as u64);
    asked.come_back = text("retry-after").is_some();
    let status = answer.status().as_u16();
    let body = answer.into_body().collect().await.map(|body| body.to_bytes());
    asked.outcome = match (status, body) {
        (200, Ok(body)) if body.ends_with(b"[DONE]\n\n") => Outcome::Served,
        (200, _) => Outcome::Broken,
        (429 | 503, _) => Outcome::Refused,
        _ => Outcome::Failed,
    };
    Some(())
}

//! Clients that keep their connections, send one request after another on them until they end, and record what they got.

use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use rand::Rng;
use rand::rngs::SmallRng;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::{Instant, sleep, timeout, timeout_at};

use super::deployment::{Class, Deployment};
use super::network::{Connection, Link, Trouble};
use crate::{Clock, Micros};

/// Beyond its patience, for which a client still reads: an answer that comes so late is told from none.
const READ_ON: Duration = Duration::from_secs(2);
/// For a stream to end.
const STREAM_MOST: Duration = Duration::from_secs(10);
/// Length of a large prompt.
const LARGE_PROMPT_BYTES: usize = 200_000;
/// Part of the requests that are large where servers are slow.
const LARGE: f64 = 0.1;
/// Size of a piece of a slowly written request.
const TRICKLE: usize = 61;

/// What a client got.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Got {
    /// An answer with this status.
    Answer {
        /// The status.
        status: u16,
        /// When its head had come, and with status 200 the first event, too.
        at: Micros,
        /// It came to its end.
        whole: bool,
    },
    /// The end of the connection alone.
    Closed,
    /// Nothing within its patience and [`READ_ON`].
    Nothing,
}

/// A request as its client saw it.
#[derive(Clone, Debug)]
pub struct Asked {
    /// Its id.
    pub id: String,
    /// Its class, by number.
    pub class: usize,
    /// The conductor.
    pub at: usize,
    /// The first one on its connection.
    pub first: bool,
    /// When its connection was opened.
    pub opened: Micros,
    /// When its last byte was written; none where the connection ended before.
    pub sent: Option<Micros>,
    /// For how long its client waits.
    pub patience: Micros,
    /// When its client left without an answer.
    pub left: Option<Micros>,
    /// What came back.
    pub got: Got,
    /// When the exchange ended.
    pub ended: Micros,
    /// The connection.
    pub connection: Option<Arc<Connection>>,
}

/// All that clients saw.
#[derive(Clone, Default)]
pub struct Asks(Arc<Mutex<Vec<Asked>>>);

impl Asks {
    fn push(&self, asked: Asked) {
        self.0.lock().unwrap_or_else(PoisonError::into_inner).push(asked);
    }

    /// Those that have ended.
    pub fn all(&self) -> Vec<Asked> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }
}

/// How one request is made.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Behaviour {
    /// At once, and waited for.
    Plain,
    /// The same, with a prompt near the largest that a body may have.
    Large,
    /// Written slowly.
    Trickles,
    /// Given up after so long.
    Leaves(Duration),
}

/// One client of one conductor.
pub struct Client {
    /// The conductor, by number.
    pub at: usize,
    /// The way to it.
    pub door: Link,
    /// Names its requests.
    pub name: String,
    /// The clock of the run.
    pub clock: Clock,
    socket: Option<(TcpStream, Option<Arc<Connection>>)>,
    opened: Micros,
    count: usize,
}

impl Client {
    /// A client that has not connected.
    pub fn new(at: usize, door: Link, name: String, clock: Clock) -> Self {
        Client { at, door, name, clock, socket: None, opened: 0, count: 0 }
    }

    /// Sends requests of any class until `stop`, on open connections as long as they stand.
    pub async fn live(mut self, deployment: Deployment, asks: Asks, mut rng: SmallRng, stop: Instant) {
        let pause = Duration::from_secs_f64(1.0 / deployment.rate.max(1.0));
        while Instant::now() < stop {
            let class = rng.random_range(0..deployment.classes.len());
            let behaviour = match rng.random_range(0..20) {
                0 => Behaviour::Trickles,
                1 | 2 => Behaviour::Leaves(Duration::from_millis(rng.random_range(1..400))),
                _ if deployment.has_slow_servers() && rng.random_bool(LARGE) => Behaviour::Large,
                _ => Behaviour::Plain,
            };
            let patience = deployment.classes[class].deadline.mul_f64(rng.random_range(0.5..=1.0));
            let asked = self.ask((class, &deployment.classes[class]), patience, behaviour).await;
            let closed_unread = asked.got == Got::Closed && !asked.first;
            asks.push(asked);
            if !closed_unread {
                sleep(pause.mul_f64(rng.random_range(0.2..6.0))).await;
            }
        }
    }

    /// One request, on the open connection if there is one.
    pub async fn ask(
        &mut self, (class, its): (usize, &Class), patience: Duration, behaviour: Behaviour,
    ) -> Asked {
        self.count += 1;
        let (id, first) = (format!("{}-{}", self.name, self.count), self.socket.is_none());
        let mut asked = Asked {
            id,
            class,
            at: self.at,
            first,
            opened: self.opened,
            sent: None,
            patience: patience.as_micros() as Micros,
            left: None,
            got: Got::Closed,
            ended: 0,
            connection: None,
        };
        if self.socket.is_none() {
            self.opened = self.clock.now();
            asked.opened = self.opened;
            self.socket = self.connect().await;
        }
        if let Some((mut socket, connection)) = self.socket.take() {
            asked.connection = connection.clone();
            let stays = self.exchange(&mut socket, &mut asked, its, behaviour).await;
            if asked.left.is_some() {
                drop(socket);
                asked.left = Some(self.clock.now());
            } else if stays {
                self.socket = Some((socket, connection));
            }
        } else {
            // Nobody listens: a process that restarts.
            sleep(Duration::from_millis(30)).await;
        }
        asked.ended = self.clock.now();
        asked
    }

    async fn connect(&self) -> Option<(TcpStream, Option<Arc<Connection>>)> {
        let socket = TcpStream::connect(self.door.address).await.ok()?;
        let _ = socket.set_nodelay(true);
        let near = socket.local_addr().ok()?;
        // The link notes a connection as it accepts it.
        let noted = async {
            loop {
                if let Some(connection) = self.door.opened_from(near) {
                    return connection;
                }
                sleep(Duration::from_millis(1)).await;
            }
        };
        let connection = timeout(READ_ON, noted).await.ok();
        Some((socket, connection))
    }

    /// Whether the connection may be used again.
    async fn exchange(
        &self, socket: &mut TcpStream, asked: &mut Asked, class: &Class, behaviour: Behaviour,
    ) -> bool {
        // Over a connection that passes its bytes in pieces, such a prompt takes longer than clients are given to write it.
        let is_large = behaviour == Behaviour::Large && !passes_in_pieces(asked);
        let prompt = if is_large { "b".repeat(LARGE_PROMPT_BYTES) } else { String::new() };
        let body = format!(
            "{{\"model\":\"chat\",\"stream\":true,\"max_tokens\":40,\"messages\":[{{\"role\":\"user\",\"content\":\"{prompt}\"}}]}}"
        );
        let (id, patience_ms) = (&asked.id, asked.patience / 1_000);
        let request = format!(
            "POST /v1/chat/completions HTTP/1.1\r\nHost: app.svc\r\nRequest-Id: {id}\r\nRequest-Class: {}\r\n\
             Affinity-Key: {}\r\nRequest-Timeout-Ms: {patience_ms}\r\nRequest-Info: prompt_len=400,max_out=40\r\n\
             Content-Length: {}\r\n\r\n{body}",
            class.name,
            self.name,
            body.len()
        );
        if !write(socket, request.as_bytes(), behaviour == Behaviour::Trickles).await {
            return false;
        }
        asked.sent = Some(self.clock.now());
        let begun = Instant::now();
        let patience = Duration::from_micros(asked.patience);
        let most = match behaviour {
            Behaviour::Leaves(after) => after.min(patience),
            _ => patience + READ_ON,
        };
        let (got, keeps) = read_answer(socket, begun + most, self.clock).await;
        asked.got = got;
        if got == Got::Nothing && matches!(behaviour, Behaviour::Leaves(_)) {
            // The moment is noted when the connection has been closed.
            asked.left = Some(0);
        }
        keeps
    }
}

async fn write(socket: &mut TcpStream, bytes: &[u8], slowly: bool) -> bool {
    if !slowly {
        return socket.write_all(bytes).await.is_ok();
    }
    for piece in bytes.chunks(TRICKLE) {
        if socket.write_all(piece).await.is_err() {
            return false;
        }
        sleep(Duration::from_millis(20)).await;
    }
    true
}

/// An answer, and whether its connection may be used again.
async fn read_answer(socket: &mut TcpStream, until: Instant, clock: Clock) -> (Got, bool) {
    let (mut text, mut buffer) = (Vec::new(), [0; 8_192]);
    let (mut until, mut head_at) = (until, None);
    loop {
        let Ok(read) = timeout_at(until, socket.read(&mut buffer)).await else {
            return (got(&text, head_at).unwrap_or(Got::Nothing), false);
        };
        let Ok(read @ 1..) = read else { return (got(&text, head_at).unwrap_or(Got::Closed), false) };
        text.extend_from_slice(&buffer[..read]);
        if head_at.is_none() && has_begun(&text) {
            // From here on the deadline does not run.
            head_at = Some(clock.now());
            until = Instant::now() + STREAM_MOST;
        }
        if let Some(answer @ Got::Answer { whole: true, .. }) = got(&text, head_at) {
            let closes = String::from_utf8_lossy(&text).to_lowercase().contains("connection: close");
            return (answer, !closes);
        }
    }
}

fn passes_in_pieces(asked: &Asked) -> bool {
    let plan = asked.connection.as_ref().and_then(|connection| connection.plan);
    plan.is_some_and(|plan| plan.trouble == Trouble::Pieces)
}

/// Whether an answer is there as far as its client waits for it: its head, and of a stream the first whole event.
fn has_begun(bytes: &[u8]) -> bool {
    let text = String::from_utf8_lossy(bytes);
    let Some((head, body)) = text.split_once("\r\n\r\n") else { return false };
    let is_stream = head.starts_with("HTTP/1.1 200");
    !is_stream || body.split_once("data:").is_some_and(|(_, event)| event.contains("\n\n"))
}

fn got(bytes: &[u8], head_at: Option<Micros>) -> Option<Got> {
    let (text, at) = (String::from_utf8_lossy(bytes), head_at?);
    let status = text.strip_prefix("HTTP/1.1 ")?.get(..3)?.parse().ok()?;
    let (head, body) = text.split_once("\r\n\r\n")?;
    let length = head.to_lowercase();
    let length = length.lines().find_map(|line| line.strip_prefix("content-length: ")?.parse::<usize>().ok());
    let whole = length.map_or(body.ends_with("0\r\n\r\n"), |length| body.len() >= length);
    Some(Got::Answer { status, at, whole })
}

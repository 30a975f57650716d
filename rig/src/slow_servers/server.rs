//! A stand-in server that follows a [`Script`], reads requests as slowly as it is told, and records what it read and wrote.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::time::sleep;

use super::script::{Slowness, Step, answer};
use super::unusual::Form;
use crate::stand_ins::Role;
use crate::{Clock, Micros};

/// Receive buffer of a server that reads slowly, so that what is written to it is soon what it has read.
const SMALL_BUFFER_BYTES: u32 = 4_096;
/// Pause between two reads of a slow reader.
const READ_INTERVAL: Duration = Duration::from_millis(5);
const BACKLOG: u32 = 256;
const NO_CONTENT: &[u8] = b"HTTP/1.1 204 No Content\r\n\r\n";
const NOT_FOUND: &[u8] = b"HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n";

/// An attempt whose last byte reached its server.
#[derive(Clone, Debug)]
pub struct Attempt {
    /// The request's id.
    pub id: String,
    /// What the server does.
    pub role: Role,
    /// When its last byte arrived.
    pub arrived: Micros,
    /// When each event was written whole.
    pub events: Vec<Micros>,
    /// When the last byte of the answer was written, if it was.
    pub completed: Option<Micros>,
    /// When bytes were written that spoil the answer, if they were.
    pub spoilt: Option<Micros>,
    /// When its connection was seen to close while the answer was written, if it was.
    pub closed: Option<Micros>,
}

/// What all servers of a fleet saw.
#[derive(Clone)]
pub struct Record {
    attempts: Arc<Mutex<Vec<Attempt>>>,
    clock: Clock,
}

impl Record {
    /// An empty record on this clock.
    pub fn new(clock: Clock) -> Self {
        Record { attempts: Arc::default(), clock }
    }

    /// Returns all attempts in the order of their arrival.
    pub fn attempts(&self) -> Vec<Attempt> {
        self.attempts.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }

    fn arrived(&self, id: &str, role: Role) -> usize {
        let arrived = self.clock.now();
        let mut attempts = self.attempts.lock().unwrap_or_else(PoisonError::into_inner);
        let (id, events) = (id.to_owned(), Vec::new());
        attempts.push(Attempt { id, role, arrived, events, completed: None, spoilt: None, closed: None });
        attempts.len() - 1
    }

    fn change(&self, number: usize, change: impl FnOnce(&mut Attempt, Micros)) {
        let now = self.clock.now();
        change(&mut self.attempts.lock().unwrap_or_else(PoisonError::into_inner)[number], now);
    }
}

/// How a server reads and answers.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Manner {
    /// Bytes of a request that it reads in a second; `None` where it is not slow.
    pub read_rate: Option<usize>,
    /// Where its answer is slow.
    pub slowness: Slowness,
}

impl Manner {
    /// A server that is not slow.
    pub const USUAL: Manner = Manner { read_rate: None, slowness: Slowness::Nowhere };
}

/// Starts a server, which runs as long as the runtime. Returns where it listens.
pub async fn start(role: Role, manner: Manner, record: Record) -> std::io::Result<SocketAddr> {
    let socket = TcpSocket::new_v4()?;
    if manner.read_rate.is_some() {
        socket.set_recv_buffer_size(SMALL_BUFFER_BYTES)?;
    }
    socket.bind(SocketAddr::from(([127, 0, 0, 1], 0)))?;
    let listener: TcpListener = socket.listen(BACKLOG)?;
    let address = listener.local_addr()?;
    tokio::spawn(async move {
        while let Ok((socket, _)) = listener.accept().await {
            let _ = socket.set_nodelay(true);
            let server = Connection { socket, role, manner, record: record.clone() };
            tokio::spawn(server.serve());
        }
    });
    Ok(address)
}

struct Connection {
    socket: TcpStream,
    role: Role,
    manner: Manner,
    record: Record,
}

/// A request's head and whether its client wants events.
struct Request {
    head: String,
    is_stream: bool,
}

impl Request {
    fn header(&self, name: &str) -> Option<&str> {
        let mut lines = self.head.lines().filter_map(|line| line.split_once(':'));
        lines.find(|(found, _)| found.eq_ignore_ascii_case(name)).map(|(_, value)| value.trim())
    }
}

impl Connection {
    async fn serve(mut self) {
        while let Some(request) = self.read_request().await {
            if self.answer(&request).await.is_none() {
                return;
            }
        }
    }

    async fn read_some(&mut self, text: &mut Vec<u8>) -> Option<()> {
        let mut buffer = [0; 16 * 1024];
        let mut most = buffer.len();
        if let Some(bytes_per_second) = self.manner.read_rate {
            sleep(READ_INTERVAL).await;
            let bytes = bytes_per_second as f64 * READ_INTERVAL.as_secs_f64();
            most = (bytes as usize).clamp(1, most);
        }
        let read = self.socket.read(&mut buffer[..most]).await.ok().filter(|&read| read > 0)?;
        text.extend_from_slice(&buffer[..read]);
        Some(())
    }

    /// Reads one request to its last byte.
    async fn read_request(&mut self) -> Option<Request> {
        let mut text = Vec::new();
        let end = loop {
            if let Some(end) = text.windows(4).position(|four| four == b"\r\n\r\n") {
                break end + 4;
            }
            self.read_some(&mut text).await?;
        };
        let head = String::from_utf8_lossy(&text[..end]).into_owned();
        let mut request = Request { head, is_stream: true };
        let length = request.header("content-length").and_then(|length| length.parse().ok()).unwrap_or(0);
        while text.len() < end + length {
            self.read_some(&mut text).await?;
        }
        let wants_events = b"\"stream\":true";
        request.is_stream = text[end..].windows(wants_events.len()).any(|part| part == wants_events);
        Some(request)
    }

    /// Answers a request; none when the connection is over.
    async fn answer(&mut self, request: &Request) -> Option<()> {
        if request.head.starts_with("DELETE") {
            return self.socket.write_all(NO_CONTENT).await.ok();
        }
        if !request.head.starts_with("POST") {
            return self.socket.write_all(NOT_FOUND).await.ok();
        }
        let number = self.record.arrived(request.header("request-id").unwrap_or_default(), self.role);
        let script = answer(self.role, self.manner.slowness, request.is_stream);
        for step in &script.steps {
            for _ in 0..step.times {
                self.take(step, number).await?;
            }
        }
        if !script.is_whole {
            // Silent until the conductor closes the connection.
            self.stays_open(Duration::MAX).await;
            self.record.change(number, |attempt, now| attempt.closed = Some(now));
            return None;
        }
        self.record.change(number, |attempt, now| attempt.completed = Some(now));
        let ends_with_connection =
            matches!(self.manner.slowness, Slowness::Unusual(Form::UntilClose)) && self.role == Role::Write;
        (!ends_with_connection).then_some(())
    }

    /// Takes one step of the answer to an attempt; none when the connection is over.
    async fn take(&mut self, step: &Step, number: usize) -> Option<()> {
        if !step.pause.is_zero() && !self.stays_open(step.pause).await {
            self.record.change(number, |attempt, now| attempt.closed = Some(now));
            return None;
        }
        if step.spoils {
            self.record.change(number, |attempt, now| attempt.spoilt = Some(now));
        }
        self.socket.write_all(&step.bytes).await.ok()?;
        if step.completes_event {
            self.record.change(number, |attempt, now| attempt.events.push(now));
        }
        Some(())
    }

    /// Waits; returns false as soon as the conductor closes the connection.
    async fn stays_open(&mut self, pause: Duration) -> bool {
        let mut byte = [0];
        tokio::time::timeout(pause, self.socket.peek(&mut byte)).await.is_err()
    }
}

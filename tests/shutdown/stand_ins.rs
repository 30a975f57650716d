//! Discovery and instances on loopback that record which requests they had whole.

use std::io::{BufRead, BufReader, ErrorKind, Read, Write};
use std::net::{TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use crate::verdict::Forwarded;

/// Between two events of a stream without end.
const BETWEEN_EVENTS: Duration = Duration::from_millis(50);
/// Content of a large event.
const LARGE_EVENT_BYTES: usize = 16 * 1024;
/// Without room for as long as this, the events of a stream are no longer taken.
const STALLED_AFTER: Duration = Duration::from_millis(300);
const STREAM_HEAD: &str =
    "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n";
const EVENT: &str =
    "data: {\"choices\":[{\"index\":0,\"delta\":{\"content\":\"x\"},\"finish_reason\":null}]}\n\n";
const LAST_EVENTS: &str =
    "data: {\"choices\":[{\"index\":0,\"delta\":{},\"finish_reason\":\"stop\"}]}\n\ndata: [DONE]\n\n";
const WHOLE_ANSWER: &str = r#"{"choices":[{"index":0,"message":{"role":"assistant","content":"x"}}]}"#;

/// How writers answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Behaviour {
    /// Whole and at once.
    AtOnce,
    /// Whole after so long.
    After(Duration),
    /// Never.
    Never,
    /// With a first event at once, and further ones without end.
    Endless,
    /// With large events without end, as fast as they are taken.
    Flood,
}

/// What all instances of a test saw.
#[derive(Clone, Default)]
pub struct Record {
    forwarded: Arc<Mutex<Forwarded>>,
    /// A stream's events are no longer taken.
    is_stalled: Arc<AtomicBool>,
}

impl Record {
    /// What was forwarded up to now.
    pub fn forwarded(&self) -> Forwarded {
        self.forwarded.lock().expect("no panic").clone()
    }

    /// Waits until the events of a stream are no longer taken.
    pub fn wait_until_stalled(&self) {
        while !self.is_stalled.load(Ordering::Relaxed) {
            std::thread::sleep(Duration::from_millis(1));
        }
    }

    fn note(&self, head: &str, marker: &str, writer: bool) {
        let told = head.to_lowercase();
        let told = told.lines().find_map(|line| line.strip_prefix("request-timeout-ms: ")?.parse().ok());
        let mut forwarded = self.forwarded.lock().expect("no panic");
        forwarded.told.push((marker.to_owned(), told.map(Duration::from_millis), Instant::now()));
        forwarded.anywhere.insert(marker.to_owned());
        if writer {
            forwarded.at_writers.insert(marker.to_owned());
        }
    }
}

/// A request's head and body; none at the end of the connection.
fn request(lines: &mut impl BufRead) -> Option<(String, String)> {
    let mut head = String::new();
    while !head.ends_with("\r\n\r\n") {
        if lines.read_line(&mut head).ok()? == 0 {
            return None;
        }
    }
    let lower = head.to_lowercase();
    let length = lower.lines().find_map(|line| line.strip_prefix("content-length: ")?.parse().ok());
    let mut body = vec![0; length.unwrap_or(0)];
    lines.read_exact(&mut body).ok()?;
    Some((head, String::from_utf8(body).ok()?))
}

/// The name by which tests know a request: it stands in the body, which goes on unchanged.
fn marker(body: &str) -> Option<&str> {
    let (_, rest) = body.split_once("marker-")?;
    rest.split(['"', ' ', '\\']).next()
}

/// Calls `serve` with each connection, on a thread of its own.
fn each_connection(address: &str, serve: impl Fn(TcpStream) + Send + Sync + 'static) {
    let (listener, serve) = (TcpListener::bind(address).expect("a free address"), Arc::new(serve));
    std::thread::spawn(move || {
        for socket in listener.incoming().flatten() {
            let serve = serve.clone();
            let _ = socket.set_nodelay(true);
            std::thread::spawn(move || serve(socket));
        }
    });
}

fn write_chunk(socket: &mut TcpStream, text: &str) -> std::io::Result<()> {
    socket.write_all(format!("{:x}\r\n{text}\r\n", text.len()).as_bytes())
}

fn write_stream(socket: &mut TcpStream) -> std::io::Result<()> {
    socket.write_all(STREAM_HEAD.as_bytes())?;
    write_chunk(socket, EVENT)?;
    write_chunk(socket, LAST_EVENTS)?;
    socket.write_all(b"0\r\n\r\n")
}

fn write_endless_stream(socket: &mut TcpStream) -> std::io::Result<()> {
    socket.write_all(STREAM_HEAD.as_bytes())?;
    loop {
        write_chunk(socket, EVENT)?;
        std::thread::sleep(BETWEEN_EVENTS);
    }
}

/// Writes large events as fast as they are taken, and records when they no longer are.
fn write_flood(socket: &mut TcpStream, record: &Record) -> std::io::Result<()> {
    socket.write_all(STREAM_HEAD.as_bytes())?;
    socket.set_write_timeout(Some(STALLED_AFTER))?;
    let event = EVENT.replace("\"x\"", &format!("\"{}\"", "x".repeat(LARGE_EVENT_BYTES)));
    let chunk = format!("{:x}\r\n{event}\r\n", event.len());
    loop {
        let mut rest = chunk.as_bytes();
        while !rest.is_empty() {
            match socket.write(rest) {
                Ok(written) => rest = &rest[written..],
                Err(fault) if fault.kind() == ErrorKind::WouldBlock => {
                    record.is_stalled.store(true, Ordering::Relaxed);
                }
                Err(fault) => return Err(fault),
            }
        }
    }
}

fn write_whole(socket: &mut TcpStream, status: &str, text: &str) -> std::io::Result<()> {
    let head = format!(
        "HTTP/1.1 {status}\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n",
        text.len()
    );
    socket.write_all((head + text).as_bytes())
}

fn answer(
    socket: &mut TcpStream, record: &Record, behaviour: Behaviour, streamed: bool,
) -> std::io::Result<()> {
    let write = |socket: &mut TcpStream| match streamed {
        true => write_stream(socket),
        false => write_whole(socket, "200 OK", WHOLE_ANSWER),
    };
    match behaviour {
        Behaviour::AtOnce => write(socket),
        Behaviour::After(wait) => {
            std::thread::sleep(wait);
            write(socket)
        }
        Behaviour::Endless if streamed => write_endless_stream(socket),
        Behaviour::Flood if streamed => write_flood(socket, record),
        Behaviour::Never | Behaviour::Endless | Behaviour::Flood => {
            // Up to the end of the connection.
            let _ = socket.read(&mut [0]);
            Ok(())
        }
    }
}

/// An instance that reads prompts, at once.
pub fn reader(address: &str, record: &Record) {
    let record = record.clone();
    each_connection(address, move |mut socket| {
        let mut lines = BufReader::new(socket.try_clone().expect("a second handle"));
        while let Some((head, body)) = request(&mut lines) {
            marker(&body).inspect(|marker| record.note(&head, marker, false));
            let written = match head.starts_with("POST") {
                true => write_whole(&mut socket, "202 Accepted", r#"{"cached_tokens":10}"#),
                false => socket.write_all(b"HTTP/1.1 204 No Content\r\n\r\n"),
            };
            if written.is_err() {
                return;
            }
        }
    });
}

/// An instance that writes answers.
pub fn writer(address: &str, record: &Record, behaviour: Behaviour) {
    let record = record.clone();
    each_connection(address, move |mut socket| {
        let mut lines = BufReader::new(socket.try_clone().expect("a second handle"));
        while let Some((head, body)) = request(&mut lines) {
            marker(&body).inspect(|marker| record.note(&head, marker, true));
            let written = match head.starts_with("POST") {
                // Requests that prepare a test are answered by all.
                true if body.contains("marker-first") => write_stream(&mut socket),
                true => answer(&mut socket, &record, behaviour, body.contains(r#""stream":true"#)),
                false => socket.write_all(b"HTTP/1.1 204 No Content\r\n\r\n"),
            };
            if written.is_err() {
                return;
            }
        }
    });
}

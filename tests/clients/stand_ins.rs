//! A conductor with one reader and one writer on loopback, and clients that write and read as a test tells them.

use std::collections::HashMap;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::Path;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use crate::player::{Program, address, file, platform, port, target};

/// Far above any wait that is meant.
pub const TIMEOUT: Duration = Duration::from_secs(20);
const STREAM_HEAD: &str =
    "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n";
const LAST_EVENT: &str = "data: [DONE]\n\n";

pub fn ms(milliseconds: u64) -> Duration {
    Duration::from_millis(milliseconds)
}

/// How the reader and the writer behave.
#[derive(Clone, Copy)]
pub struct Manner {
    /// From a prompt's last byte to the reader's answer.
    pub reading: Duration,
    /// From the call's last byte to the first event.
    pub first_event: Duration,
    /// Events of a stream, without the last one; a usual request's has one short event.
    pub events: usize,
    pub event_bytes: usize,
    pub between_events: Duration,
    /// Whether an event but the first is written in two pieces, with that time between them, too.
    pub splits_events: bool,
    /// These read requests slowly: so many bytes for each millisecond.
    pub bytes_per_ms: Option<(&'static str, usize)>,
}

impl Default for Manner {
    fn default() -> Self {
        Manner {
            reading: Duration::ZERO,
            first_event: Duration::ZERO,
            events: 2,
            event_bytes: 60,
            between_events: Duration::ZERO,
            splits_events: false,
            bytes_per_ms: None,
        }
    }
}

/// Limits of the conductor.
#[derive(Clone, Copy)]
pub struct Limits {
    pub memory_mb: u64,
    pub sockets: u64,
}

/// The largest that the pages name.
pub const AMPLE: Limits = Limits { memory_mb: 192, sockets: 1_024 };

/// A request that an instance had whole.
#[derive(Clone)]
pub struct Arrival {
    pub instance: &'static str,
    pub at: Instant,
    pub head: String,
    pub body: Vec<u8>,
}

/// What instances had whole, by request id.
type Arrivals = Arc<Mutex<HashMap<String, Vec<Arrival>>>>;

/// Discovery, a reader and a writer.
pub struct Fleet {
    pub base: String,
    arrivals: Arrivals,
    config: std::path::PathBuf,
}

impl Fleet {
    pub fn start(limits: Limits, manner: Manner) -> Self {
        let base = address();
        let list = ["r1", "w1"].map(|name| target(&base, name, "Ready")).join(",");
        discovery(&base, &list);
        let arrivals = Arrivals::default();
        for name in ["r1", "w1"] {
            instance(&base, name, manner, arrivals.clone());
        }
        let config = platform(&base);
        let text = std::fs::read_to_string(&config).expect("the file just written").replace(
            r#""memory_mb":192,"sockets":1024"#,
            &format!(r#""memory_mb":{},"sockets":{}"#, limits.memory_mb, limits.sockets),
        );
        file(&base, "config.json", &text);
        Fleet { base, arrivals, config }
    }

    /// Starts a process whose operators call at this port.
    pub fn process(&self, operator_port: u32) -> Program {
        let operator = format!("{}:{operator_port}", self.base);
        let folder = self.config.parent().expect("a folder");
        let vars = [("LB_CONFIG", &*self.config), ("TMPDIR", folder), ("LB_OPERATOR", Path::new(&operator))];
        let mut program = Program::start(&self.base, &[], &vars).leaving_files();
        program.logs("operators call at");
        let began = Instant::now();
        while !self.call(operator_port, "GET /healthcheck").starts_with("HTTP/1.1 200") {
            assert!(began.elapsed() < TIMEOUT, "it never serves");
            std::thread::sleep(ms(10));
        }
        program
    }

    fn call(&self, operator_port: u32, call: &str) -> String {
        let mut socket = TcpStream::connect(format!("{}:{operator_port}", self.base)).expect("it listens");
        let _ = write!(socket, "{call} HTTP/1.1\r\nHost: o\r\n\r\n");
        let mut answer = String::new();
        let _ = socket.read_to_string(&mut answer);
        answer
    }

    pub fn connect(&self) -> TcpStream {
        let address: SocketAddr = format!("{}:8081", self.base).parse().expect("an address");
        let socket = TcpStream::connect_timeout(&address, TIMEOUT).expect("it listens");
        socket.set_read_timeout(Some(TIMEOUT)).expect("a socket's option");
        let _ = socket.set_nodelay(true);
        socket
    }

    /// Sends one request on a connection of its own: the status of its answer, and whether that is a whole stream.
    pub fn ask(&self, request: &Request) -> Option<(u32, bool)> {
        let mut socket = self.connect();
        socket.write_all(request.text().as_bytes()).ok()?;
        answer(&mut BufReader::new(socket))
    }

    /// When this instance had requests with this id, whole.
    pub fn arrivals(&self, instance: &str, id: &str) -> Vec<Instant> {
        self.arrived(id)
            .iter()
            .filter(|arrival| arrival.instance == instance)
            .map(|arrival| arrival.at)
            .collect()
    }

    /// The requests with this id that instances had, whole.
    pub fn arrived(&self, id: &str) -> Vec<Arrival> {
        self.arrivals.lock().expect("no panic").get(id).cloned().unwrap_or_default()
    }

    /// How many requests with ids that begin with this text reached an instance.
    pub fn arrived_ids(&self, start: &str) -> u64 {
        let arrivals = self.arrivals.lock().expect("no panic");
        arrivals.keys().filter(|id| id.starts_with(start) && *id != "first").count() as u64
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(self.config.parent().expect("a folder"));
    }
}

/// A client's request.
#[derive(Clone)]
pub struct Request {
    pub id: String,
    pub class: &'static str,
    pub timeout_ms: u64,
    pub body_bytes: usize,
}

impl Request {
    pub fn new(id: impl Into<String>, class: &'static str) -> Self {
        Request { id: id.into(), class, timeout_ms: 6_000, body_bytes: 200 }
    }

    pub fn head(&self) -> String {
        format!(
            "POST /v1/chat/completions HTTP/1.1\r\nHost: app.svc\r\nRequest-Id: {id}\r\nRequest-Class: {}\r\n\
             Affinity-Key: s-{id}\r\nRequest-Timeout-Ms: {}\r\nRequest-Info: prompt_len=400,max_out=40\r\n\
             Content-Length: {}\r\n\r\n",
            self.class,
            self.timeout_ms,
            self.body_bytes,
            id = self.id
        )
    }

    pub fn text(&self) -> String {
        self.head() + &"b".repeat(self.body_bytes)
    }
}

/// Reads one message: its head and body; none at the end of the connection or where it breaks off.
fn message(from: &mut impl BufRead) -> Option<(String, Vec<u8>)> {
    let (mut head, mut body) = (String::new(), Vec::new());
    while !head.ends_with("\r\n\r\n") {
        if from.read_line(&mut head).ok()? == 0 {
            return None;
        }
    }
    let lower = head.to_lowercase();
    if !lower.contains("transfer-encoding: chunked") {
        let length = lower.lines().find_map(|l| l.strip_prefix("content-length: ")?.parse().ok());
        body.resize(length.unwrap_or(0), 0);
        from.read_exact(&mut body).ok()?;
        return Some((head, body));
    }
    loop {
        let mut size = String::new();
        from.read_line(&mut size).ok()?;
        let mut chunk = vec![0; usize::from_str_radix(size.trim(), 16).ok()? + 2];
        from.read_exact(&mut chunk).ok()?;
        if chunk.len() == 2 {
            return Some((head, body));
        }
        body.extend_from_slice(&chunk[..chunk.len() - 2]);
    }
}

/// Reads an answer: its status, and whether it is a whole stream.
pub fn answer(from: &mut impl BufRead) -> Option<(u32, bool)> {
    let (head, body) = message(from)?;
    let status = head.split(' ').nth(1)?.parse().ok()?;
    Some((status, body.ends_with(LAST_EVENT.as_bytes())))
}

/// Reads no faster than so many bytes each millisecond.
struct SlowSocket {
    socket: TcpStream,
    bytes_per_ms: Option<usize>,
}

impl Read for SlowSocket {
    fn read(&mut self, buffer: &mut [u8]) -> std::io::Result<usize> {
        let Some(bytes_per_ms) = self.bytes_per_ms else { return self.socket.read(buffer) };
        std::thread::sleep(ms(1));
        let most = buffer.len().min(bytes_per_ms);
        self.socket.read(&mut buffer[..most])
    }
}

/// Tells the list, and that nothing changes, to any number of processes.
fn discovery(base: &str, list: &str) {
    let listener = TcpListener::bind(format!("{base}:8500")).expect("a free address");
    let whole = format!(r#"{{"version":1,"full":true,"servers":[{list}]}}"#);
    std::thread::spawn(move || {
        for mut socket in listener.incoming().flatten() {
            let whole = whole.clone();
            std::thread::spawn(move || {
                let mut lines = BufReader::new(socket.try_clone().expect("a second handle"));
                let Some((head, _)) = message(&mut lines) else { return };
                if !head.contains("follow=1") {
                    let _ =
                        write!(socket, "HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{whole}", whole.len());
                    return;
                }
                let _ = write!(socket, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
                while write!(socket, "1\r\n\n\r\n").is_ok() {
                    std::thread::sleep(Duration::from_secs(2));
                }
            });
        }
    });
}

fn instance(base: &str, name: &'static str, manner: Manner, arrivals: Arrivals) {
    let listener = TcpListener::bind(format!("{base}:{}", port(name))).expect("a free address");
    let bytes_per_ms = manner.bytes_per_ms.filter(|(names, _)| names.contains(name)).map(|(_, bytes)| bytes);
    if bytes_per_ms.is_some() {
        // Small, so that what is written is soon what was read.
        rustix::net::sockopt::set_socket_recv_buffer_size(&listener, 4_096).expect("a socket's option");
    }
    std::thread::spawn(move || {
        for socket in listener.incoming().flatten() {
            let arrivals = arrivals.clone();
            let _ = socket.set_nodelay(true);
            std::thread::spawn(move || serve(SlowSocket { socket, bytes_per_ms }, name, manner, &arrivals));
        }
    });
}

fn serve(slow: SlowSocket, name: &'static str, manner: Manner, arrivals: &Arrivals) -> Option<()> {
    let mut socket = slow.socket.try_clone().ok()?;
    let mut lines = BufReader::new(slow);
    while let Some((head, body)) = message(&mut lines) {
        if !head.starts_with("POST") {
            socket.write_all(b"HTTP/1.1 204 No Content\r\n\r\n").ok()?;
            continue;
        }
        let id =
            head.lines().find_map(|line| line.strip_prefix("request-id: ")).unwrap_or_default().to_owned();
        let arrival = Arrival { instance: name, at: Instant::now(), head, body };
        arrivals.lock().expect("no panic").entry(id.clone()).or_default().push(arrival);
        if name == "r1" {
            std::thread::sleep(manner.reading);
            write!(socket, "HTTP/1.1 202 OK\r\nContent-Length: 19\r\n\r\n{{\"cached_tokens\":10}}").ok()?;
        } else {
            let usual = Manner { events: 1, event_bytes: 60, ..manner };
            write_stream(&mut socket, if id.starts_with("usual") { usual } else { manner }).ok()?;
        }
    }
    Some(())
}

fn write_stream(socket: &mut TcpStream, manner: Manner) -> std::io::Result<()> {
    std::thread::sleep(manner.first_event);
    socket.write_all(STREAM_HEAD.as_bytes())?;
    let start = "data: {\"choices\":[{\"index\":0,\"delta\":{\"content\":\"";
    let filler = "x".repeat(manner.event_bytes.saturating_sub(start.len()));
    let event = format!("{start}{filler}\"}}}}]}}\n\n");
    let (first, second) = event.split_at(event.len() / 2);
    for number in 0..manner.events {
        if number > 0 {
            std::thread::sleep(manner.between_events);
        }
        if manner.splits_events && number > 0 {
            write!(socket, "{:x}\r\n{first}\r\n", first.len())?;
            std::thread::sleep(manner.between_events);
            write!(socket, "{:x}\r\n{second}\r\n", second.len())?;
        } else {
            write!(socket, "{:x}\r\n{event}\r\n", event.len())?;
        }
    }
    write!(socket, "{:x}\r\n{LAST_EVENT}\r\n0\r\n\r\n", LAST_EVENT.len())
}

//! Stand-ins for one small deployment, and the cases of this review that are played with them. Only the standard library is used.
//! Every address is a free port of 127.0.0.1.

use std::collections::{HashMap, HashSet};
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{Shutdown, TcpListener, TcpStream};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

mod cases;

/// Why a case could not be played.
pub type Fault = String;

/// The rule of the pages was kept or broken.
#[derive(PartialEq)]
pub enum Verdict {
    Held,
    Broken,
}

pub fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

pub fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_millis() as u64
}

/// The record of a run: lines with the time since its start.
#[derive(Clone)]
pub struct Record {
    begun: Instant,
    lines: Arc<Mutex<Vec<(u128, String)>>>,
}

impl Record {
    fn new() -> Self {
        Record { begun: Instant::now(), lines: Arc::default() }
    }

    /// Milliseconds since the start of the run.
    pub fn now(&self) -> f64 {
        self.begun.elapsed().as_secs_f64() * 1000.0
    }

    pub fn note(&self, text: impl Into<String>) {
        let at = self.begun.elapsed().as_micros();
        self.lines.lock().unwrap().push((at, text.into()));
    }

    fn write(&self, path: &str) -> std::io::Result<()> {
        let mut lines = self.lines.lock().unwrap().clone();
        lines.sort_by_key(|line| line.0);
        let text: String =
            lines.iter().map(|(at, text)| format!("{:10.1} ms  {text}\n", *at as f64 / 1000.0)).collect();
        std::fs::write(path, text)
    }
}

/// A message's head, its lines without the first, and its body.
pub struct Message {
    pub first: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
    /// When the first byte came.
    pub came: f64,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(n, _)| n == name).map(|(_, v)| v.as_str())
    }
}

fn head_lines(from: &mut impl BufRead) -> Option<(String, Vec<(String, String)>)> {
    let mut first = String::new();
    let mut headers = Vec::new();
    loop {
        let mut line = String::new();
        if from.read_line(&mut line).ok()? == 0 {
            return None;
        }
        let line = line.trim_end();
        if line.is_empty() {
            if first.is_empty() {
                continue;
            }
            return Some((first, headers));
        }
        if first.is_empty() {
            first = line.to_owned();
        } else if let Some((name, value)) = line.split_once(':') {
            headers.push((name.to_lowercase(), value.trim().to_owned()));
        }
    }
}

/// Reads one request from a connection; none at its end.
fn request(from: &mut BufReader<TcpStream>, record: &Record) -> Option<Message> {
    if from.fill_buf().ok()?.is_empty() {
        return None;
    }
    let came = record.now();
    let (first, headers) = head_lines(from)?;
    let mut message = Message { first, headers, body: Vec::new(), came };
    let length = message.header("content-length").and_then(|v| v.parse().ok()).unwrap_or(0);
    message.body.resize(length, 0);
    from.read_exact(&mut message.body).ok()?;
    Some(message)
}

/// What an attempt at an instance came to, for the record and the judge.
#[derive(Clone)]
pub struct Attempt {
    pub id: String,
    pub class: String,
    pub at: String,
    pub reads: bool,
    /// When its first byte and its last byte came.
    pub first_byte: f64,
    pub last_byte: f64,
}

/// An instance.
#[derive(Clone)]
pub struct Instance {
    pub name: String,
    pub addr: String,
    pub zone: &'static str,
    pub cell: u32,
    pub reads: bool,
    /// For a reader: how long a prompt takes. For a writer: the time to the first token.
    pub takes: Duration,
    pub state: Arc<Mutex<&'static str>>,
    pub started_ms: Arc<AtomicU64>,
    sockets: Arc<Mutex<Vec<TcpStream>>>,
}

/// All instances, what they hold, and the attempts that they saw.
#[derive(Clone)]
pub struct Fleet {
    pub record: Record,
    pub instances: Vec<Instance>,
    pub attempts: Arc<Mutex<Vec<Attempt>>>,
    /// Requests whose prompt is read and whose state waits.
    held: Arc<Mutex<HashSet<String>>>,
    pub streams: Streams,
    /// The round of the case on windows, if one is played.
    pub round: Arc<Mutex<Round>>,
    pub version: Arc<AtomicU64>,
    /// Discovery is down: its agent says nothing.
    pub down: Arc<AtomicBool>,
}

/// How long a request whose connection is reset has run by then.
pub const BREAK_AFTER: Duration = Duration::from_millis(850);

/// What instances do in one round of the case on windows.
#[derive(Default)]
pub struct Round {
    /// Writers whose connections are reset under requests that have begun.
    pub resets: HashSet<String>,
    /// Until when after its first attempt a request may be repeated.
    pub window: Duration,
    /// How long before the end of the first window the second reads answer.
    pub lead: Duration,
    /// Requests that were broken off: when their first attempt had come whole.
    pub broken: HashMap<String, (f64, Instant)>,
    /// Requests that have been repeated.
    pub repeated: HashSet<String>,
}

/// The streams that writers write: so many events with a token each, and the time between two.
#[derive(Clone, Copy)]
pub struct Streams {
    pub events: u32,
    pub gap: Duration,
}

impl Default for Streams {
    fn default() -> Self {
        Streams { events: 10, gap: ms(60) }
    }
}

/// What marks the end of a stream that is whole.
pub const DONE: &[u8] = b"data: [DONE]\n\n";

impl Fleet {
    /// Starts so many readers and writers, half of them in each zone.
    pub fn start(
        record: &Record, readers: (usize, Duration), writers: (usize, Duration), streams: Streams,
    ) -> Result<Self, Fault> {
        let mut fleet = Fleet {
            record: record.clone(),
            instances: Vec::new(),
            attempts: Arc::default(),
            held: Arc::default(),
            streams,
            round: Arc::default(),
            version: Arc::new(AtomicU64::new(41)),
            down: Arc::default(),
        };
        let mut listeners = Vec::new();
        for (count, takes, reads) in [(readers.0, readers.1, true), (writers.0, writers.1, false)] {
            for n in 0..count {
                let listener = TcpListener::bind("127.0.0.1:0").map_err(|e| e.to_string())?;
                let addr = listener.local_addr().map_err(|e| e.to_string())?.to_string();
                fleet.instances.push(Instance {
                    name: format!("{}{}", if reads { "r" } else { "w" }, n + 1),
                    addr,
                    zone: ["daejeon-1", "sejong-1"][n % 2],
                    cell: (n % 2) as u32,
                    reads,
                    takes,
                    state: Arc::new(Mutex::new("Ready")),
                    started_ms: Arc::default(),
                    sockets: Arc::default(),
                });
                listeners.push(listener);
            }
        }
        for (n, listener) in listeners.into_iter().enumerate() {
            let fleet = fleet.clone();
            thread::spawn(move || {
                for socket in listener.incoming().flatten() {
                    let fleet = fleet.clone();
                    thread::spawn(move || fleet.instance(n, socket));
                }
            });
        }
        Ok(fleet)
    }

    fn instance(&self, n: usize, socket: TcpStream) {
        let me = &self.instances[n];
        let _ = socket.set_nodelay(true);
        if let Ok(kept) = socket.try_clone() {
            me.sockets.lock().unwrap().push(kept);
        }
        let Ok(reading) = socket.try_clone() else { return };
        let (mut socket, mut lines) = (socket, BufReader::new(reading));
        while let Some(asked) = request(&mut lines, &self.record) {
            if !self.answer(me, &asked, &mut socket) {
                let _ = socket.shutdown(Shutdown::Both);
                return;
            }
        }
        // The other side has closed, or ended its sending: so does this one.
        let _ = socket.shutdown(Shutdown::Both);
    }

    /// Answers one request; whether the connection goes on.
    fn answer(&self, me: &Instance, asked: &Message, socket: &mut TcpStream) -> bool {
        let words: Vec<&str> = asked.first.split(' ').collect();
        let (method, path) = (words[0], words.get(1).copied().unwrap_or(""));
        if let Some(id) = path.strip_prefix("/kv/leases/") {
            if method == "DELETE" {
                self.held.lock().unwrap().remove(id);
                return socket.write_all(b"HTTP/1.1 204 No Content\r\n\r\n").is_ok();
            }
            return socket.write_all(b"HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n").is_ok();
        }
        let Some(id) = asked.header("request-id").filter(|_| method == "POST").map(str::to_owned) else {
            return socket.write_all(b"HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n").is_ok();
        };
        let class = asked.header("request-class").unwrap_or("").to_owned();
        let last_byte = self.record.now();
        self.record.note(format!("instance {}: request {id} ({class}) has come whole", me.name));
        self.attempts.lock().unwrap().push(Attempt {
            id: id.clone(),
            class: class.clone(),
            at: me.name.clone(),
            reads: me.reads,
            first_byte: asked.came,
            last_byte,
        });
        if me.reads {
            thread::sleep(me.takes);
            self.wait_for_gate(&id);
            self.held.lock().unwrap().insert(id);
            let body = r#"{"cached_tokens":0}"#;
            let text = format!(
                "HTTP/1.1 202 Accepted\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n{body}",
                body.len()
            );
            return socket.write_all(text.as_bytes()).is_ok();
        }
        if !self.held.lock().unwrap().remove(&id) {
            return socket
                .write_all(b"HTTP/1.1 410 Gone\r\nNot-Started: 1\r\nContent-Length: 0\r\n\r\n")
                .is_ok();
        }
        if self.runs_and_breaks(me, &id, last_byte) {
            thread::sleep(BREAK_AFTER);
            self.record.note(format!("instance {}: {id} has run, its connection is reset", me.name));
            return false;
        }
        thread::sleep(me.takes);
        let head =
            "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n";
        if socket.write_all(head.as_bytes()).is_err() {
            return false;
        }
        let created = unix_ms() / 1000;
        for n in 0..self.streams.events {
            let end = if n + 1 == self.streams.events { "\"stop\"" } else { "null" };
            let event = format!(
                "data: {{\"id\":\"chatcmpl-{id}\",\"object\":\"chat.completion.chunk\",\"created\":{created},\
                 \"model\":\"chat\",\"choices\":[{{\"index\":0,\"delta\":{{\"content\":\"{n:04}\"}},\
                 \"finish_reason\":{end}}}]}}\n\n"
            );
            if write!(socket, "{:x}\r\n{event}\r\n", event.len()).is_err() {
                return false;
            }
            thread::sleep(self.streams.gap);
        }
        let tail = "data: {\"choices\":[],\"usage\":{\"prompt_tokens\":6000,\"completion_tokens\":40,\
                    \"prompt_tokens_details\":{\"cached_tokens\":0}}}\n\n";
        let tail = format!("{tail}{}", String::from_utf8_lossy(DONE));
        let whole = write!(socket, "{:x}\r\n{tail}\r\n0\r\n\r\n", tail.len()).is_ok();
        self.record.note(format!("instance {}: the stream of {id} is written whole: {whole}", me.name));
        whole
    }

    /// Whether this attempt is one whose connection is reset: the first of its request, at a writer that the round names.
    fn runs_and_breaks(&self, me: &Instance, id: &str, last_byte: f64) -> bool {
        let mut round = self.round.lock().unwrap();
        let first = !round.broken.contains_key(id);
        let breaks = first && round.resets.contains(&me.name) && id.starts_with('f');
        if breaks {
            round.broken.insert(id.to_owned(), (last_byte, Instant::now()));
        }
        breaks
    }

    /// When the reads of requests that were broken off answer: shortly before the first of their windows ends.
    pub fn gate(&self) -> Option<Instant> {
        let round = self.round.lock().unwrap();
        let first = round.broken.values().map(|(_, at)| *at).min()?;
        Some(first + round.window - round.lead)
    }

    fn wait_for_gate(&self, id: &str) {
        let waits = {
            let mut round = self.round.lock().unwrap();
            round.broken.contains_key(id) && round.repeated.insert(id.to_owned())
        };
        if let Some(gate) = self.gate().filter(|_| waits) {
            thread::sleep(gate.saturating_duration_since(Instant::now()));
        }
    }

    /// The process of an instance ends and comes back at the same address: its connections are reset.
    pub fn restart(&self, name: &str) {
        let Some(me) = self.instances.iter().find(|i| i.name == name) else { return };
        self.record.note(format!("operator: {name} is restarted, its connections break"));
        for socket in me.sockets.lock().unwrap().drain(..) {
            let _ = socket.shutdown(Shutdown::Both);
        }
        me.started_ms.store(unix_ms(), Ordering::SeqCst);
        self.version.fetch_add(1, Ordering::SeqCst);
    }

    fn entry(&self, i: &Instance) -> String {
        format!(
            r#"{{"id":"{}","addr":"{}","zone":"{}","kind":"{}","cell":{},"state":"{}","weight":1.0,"started_ms":{}}}"#,
            i.name,
            i.addr,
            i.zone,
            if i.reads { "prefill" } else { "decode" },
            i.cell,
            i.state.lock().unwrap(),
            i.started_ms.load(Ordering::SeqCst)
        )
    }

    /// The whole list, as discovery writes it.
    pub fn list(&self) -> String {
        let entries: Vec<String> = self.instances.iter().map(|i| self.entry(i)).collect();
        let version = self.version.load(Ordering::SeqCst);
        format!(r#"{{"version":{version},"full":true,"servers":[{}]}}"#, entries.join(","))
    }

    /// Starts discovery's agent, and gives its address.
    pub fn discovery(&self) -> Result<String, Fault> {
        let listener = TcpListener::bind("127.0.0.1:0").map_err(|e| e.to_string())?;
        let addr = listener.local_addr().map_err(|e| e.to_string())?.to_string();
        let fleet = self.clone();
        thread::spawn(move || {
            for socket in listener.incoming().flatten() {
                let fleet = fleet.clone();
                thread::spawn(move || fleet.agent(socket));
            }
        });
        Ok(addr)
    }

    fn wait_until_up(&self) {
        while self.down.load(Ordering::SeqCst) {
            thread::sleep(ms(10));
        }
    }

    fn agent(&self, socket: TcpStream) {
        let _ = socket.set_nodelay(true);
        let Ok(reading) = socket.try_clone() else { return };
        let (mut socket, mut lines) = (socket, BufReader::new(reading));
        while let Some(asked) = request(&mut lines, &self.record) {
            self.wait_until_up();
            if !asked.first.contains("follow=1") {
                let list = self.list();
                let head = "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length:";
                if write!(socket, "{head} {}\r\n\r\n{list}", list.len()).is_err() {
                    return;
                }
                continue;
            }
            let list = self.list() + "\n";
            let mut told = self.version.load(Ordering::SeqCst);
            let head = "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nTransfer-Encoding: chunked\r\n\r\n";
            if write!(socket, "{head}{:x}\r\n{list}\r\n", list.len()).is_err() {
                return;
            }
            let mut quiet = Instant::now();
            loop {
                thread::sleep(ms(20));
                self.wait_until_up();
                let version = self.version.load(Ordering::SeqCst);
                let line = if version != told {
                    self.list() + "\n"
                } else if quiet.elapsed() >= ms(2000) {
                    "\n".to_owned()
                } else {
                    continue;
                };
                (told, quiet) = (version, Instant::now());
                if write!(socket, "{:x}\r\n{line}\r\n", line.len()).is_err() {
                    return;
                }
            }
        }
    }
}

/// The settings of a small deployment: those of the first one, at the ends that its page gives.
pub fn settings() -> &'static str {
    r#"{"accounts":[],"balancers":2,"blend":{"whole":0.7,"worstClass":0.2,"worstTenant":0.0,"worstWindow":0.1},
"clients":{"marksRetry":true},"domainType":"twostage","failureDomains":["daejeon-1","sejong-1"],
"familyInfo":{"ahead":false,"aimUsPer1000PromptTokens":[40000.0,40000.0],"farPrice":0.03,"localRead":false,
"memoryTokens":[225677,210000],"pinLimit":1000.0,"reportX0":"share of memory that is held",
"reportX1":"thousands of prompt tokens waiting to be read or fetched","resume":true,"roleByKind":["read","write"],
"tokenAim":[60.0,80.0]},
"invariants":{"answerSlack":8.0,"askWithin":10000.0,"drainGrace":1000.0,"fallMultiple":3.0,"overloadFor":2000.0,
"rampTime":13000.0,"startCapacity":0.28},
"kinds":["prefill","decode"],
"lanes":[{"deadline":6000.0,"group":"all","lateWorth":0.1,"name":"climb-query","objective":1500.0,"semantics":"read_like",
"stream":true,"window":5000.0,"worth":3.0},
{"deadline":15000.0,"group":"all","lateWorth":0.2,"name":"route-save","objective":3000.0,"semantics":"non_idempotent",
"stream":true,"window":5000.0,"worth":2.0}],
"layers":["model-fleet"],
"limits":{"cancelling":true,"connectTimeout":250.0,"cpuUsPerRequest":0.0,"cpuUsPerS":500000,"idleClose":30000.0,
"maxAttempts":4,"maxRetryAfter":2000.0,"mayDuplicate":false,"mayProbe":false,"mayTell":false,"mostHeld":20000,
"multiplex":100,"retryAfter":true},
"locality":"daejeon-1","me":0,"membershipMode":"push","overShareWorth":0.1,
"prices":{"connection":0.0,"crossZone":0.011,"handshake":0.0,"lateFail":0.025,"membershipMode":0.0,"moves":0.0,
"origin":0.0,"peer":0.0,"probe":0.0024,"waste":0.08},
"report":{"columns":["active","x0"],"source":"pull"},"step":2.0,"tier":0,"weights":"silent","worthBy":"work"}"#
}

/// A free port of the loopback address.
pub fn free_address() -> Result<String, Fault> {
    let listener = TcpListener::bind("127.0.0.1:0").map_err(|e| e.to_string())?;
    Ok(listener.local_addr().map_err(|e| e.to_string())?.to_string())
}

/// A conductor as the platform starts it.
pub struct Conductor {
    pub label: String,
    pub operator: String,
    record: Record,
    child: Child,
}

/// What the platform knows of a conductor's place.
pub struct Place {
    pub listen: String,
    pub discovery: String,
    pub folder: PathBuf,
}

/// The line `run` of the deploy file.
fn run_line() -> Result<String, Fault> {
    let text = std::fs::read_to_string("deploy/balancer.toml").map_err(|e| e.to_string())?;
    let line = text.lines().find_map(|l| l.strip_prefix("run = "));
    Ok(line.ok_or("no line run")?.trim().trim_matches('"').to_owned())
}

impl Place {
    /// Starts `run` with a second address of its own; everything else stays the same.
    pub fn start(&self, label: &str, fleet: &Fleet) -> Result<Conductor, Fault> {
        self.start_with(label, fleet, settings())
    }

    /// The same, with other settings.
    pub fn start_with(&self, label: &str, fleet: &Fleet, settings: &str) -> Result<Conductor, Fault> {
        let operator = free_address()?;
        let (listen, discovery) = (&self.listen, &self.discovery);
        let text = format!(
            "{{\"name\":\"n1\",\"listen\":\"{listen}\",\"discovery\":\"{discovery}\",\"operator\":\"{operator}\",\
             \"seed\":\"{:016x}\",\"limits\":{{\"cores\":1.0,\"memory_mb\":192,\"sockets\":1024}},\
             \"known\":{},\"settings\":{}}}",
            0x8c1f30d27a5be964u64 ^ unix_ms(),
            fleet.list(),
            settings
        );
        let config = self.folder.join(format!("config-{label}.json"));
        std::fs::write(&config, text).map_err(|e| e.to_string())?;
        let log = std::fs::File::create(self.folder.join(format!("log-{label}.txt")))
            .map_err(|e| e.to_string())?;
        let child = Command::new("/bin/sh")
            .arg("-c")
            .arg(run_line()?)
            .env("LB_CONFIG", &config)
            .env("LB_NAME", "n1")
            .env("LB_LISTEN", listen)
            .env("LB_DISCOVERY", discovery)
            .env("TMPDIR", self.folder.join("tmp"))
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(log)
            .spawn()
            .map_err(|e| e.to_string())?;
        let pids = std::fs::OpenOptions::new().create(true).append(true).open(self.folder.join("pids"));
        pids.and_then(|mut pids| writeln!(pids, "{}", child.id())).map_err(|e| e.to_string())?;
        fleet.record.note(format!("platform: starts process {label}, operators call at {operator}"));
        Ok(Conductor { label: label.to_owned(), operator, record: fleet.record.clone(), child })
    }
}

unsafe extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
    fn socket(domain: i32, kind: i32, protocol: i32) -> i32;
    fn setsockopt(socket: i32, level: i32, name: i32, value: *const i32, length: u32) -> i32;
    fn connect(socket: i32, address: *const u8, length: u32) -> i32;
}

/// A client's connection over a path like an Ethernet's, on which what is not taken stays with the sender: segments of 1,460 bytes,
/// and the least room at the receiver. Loopback alone would have room for megabytes.
pub fn connect_as_over_a_network(address: &str) -> Result<TcpStream, Fault> {
    const STREAM: i32 = 1;
    const CLOSE_ON_EXEC: i32 = 0o2000000;
    const INET: i32 = 2;
    const MAXSEG: (i32, i32, i32) = (6, 2, 1460);
    const RECEIVE_ROOM: (i32, i32, i32) = (1, 8, 2304);
    let address: std::net::SocketAddrV4 = address.parse().map_err(|_| "not an address".to_owned())?;
    let mut raw = [0u8; 16];
    raw[..2].copy_from_slice(&(INET as u16).to_ne_bytes());
    raw[2..4].copy_from_slice(&address.port().to_be_bytes());
    raw[4..8].copy_from_slice(&address.ip().octets());
    // SAFETY: plain calls on a socket of this process; the pointers are valid for the lengths that are given.
    unsafe {
        let made = socket(INET, STREAM | CLOSE_ON_EXEC, 0);
        if made < 0 {
            return Err("no socket".into());
        }
        let stream = <TcpStream as std::os::fd::FromRawFd>::from_raw_fd(made);
        for (level, name, value) in [MAXSEG, RECEIVE_ROOM] {
            if setsockopt(made, level, name, &value, 4) != 0 {
                return Err("a socket's option is not taken".into());
            }
        }
        if connect(made, raw.as_ptr(), 16) != 0 {
            return Err("cannot connect".into());
        }
        Ok(stream)
    }
}

impl Conductor {
    /// Stops the process for so long.
    pub fn hold_up(&self, time: Duration) {
        const STOP: i32 = 19;
        const CONTINUE: i32 = 18;
        let begun = Instant::now();
        // SAFETY: a signal to a process that this one has started and has not waited for.
        unsafe { kill(self.child.id() as i32, STOP) };
        thread::sleep(time);
        unsafe { kill(self.child.id() as i32, CONTINUE) };
        let took = begun.elapsed().as_secs_f64() * 1000.0;
        self.record.note(format!("process {} was held up for {took:.1} ms", self.label));
    }

    pub fn signal(&self, name: &str) {
        self.record.note(format!("platform: SIG{name} to process {}", self.label));
        let _ = Command::new("/bin/sh").arg("-c").arg(format!("kill -{name} {}", self.child.id())).status();
    }

    /// Whether it runs.
    pub fn runs(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(None))
    }

    /// Calls its operator's front; the status of the answer, none where nobody answers.
    pub fn call(&self, method: &str, path: &str) -> Option<u16> {
        let mut socket = TcpStream::connect(&self.operator).ok()?;
        socket.set_read_timeout(Some(ms(3000))).ok()?;
        write!(socket, "{method} {path} HTTP/1.1\r\nHost: operator\r\n\r\n").ok()?;
        let mut text = String::new();
        let _ = socket.read_to_string(&mut text);
        text.split(' ').nth(1)?.parse().ok()
    }

    /// Waits until somebody listens at its operator's address.
    pub fn listens(&mut self, within: Duration) -> Result<(), Fault> {
        let begun = Instant::now();
        while begun.elapsed() < within && self.runs() {
            if TcpStream::connect(&self.operator).is_ok() {
                return Ok(());
            }
            thread::sleep(ms(2));
        }
        Err(format!("process {} does not listen", self.label))
    }

    /// Waits until it says that it can serve.
    pub fn serves(&mut self, within: Duration) -> Result<(), Fault> {
        let begun = Instant::now();
        while begun.elapsed() < within && self.runs() {
            if self.call("GET", "/healthcheck") == Some(200) {
                self.record.note(format!("platform: process {} says yes", self.label));
                return Ok(());
            }
            thread::sleep(ms(10));
        }
        Err(format!("process {} does not say yes", self.label))
    }

    /// Takes an instance out; when the yes came.
    pub fn maint(&self, instance: &str) -> Result<f64, Fault> {
        let status = self.call("POST", &format!("/instances/{instance}/maint"));
        let at = self.record.now();
        self.record.note(format!("operator: maint of {instance} at process {}: {status:?}", self.label));
        if status == Some(200) { Ok(at) } else { Err(format!("maint got {status:?}")) }
    }
}

impl Drop for Conductor {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// How a client's request ended.
#[derive(Clone)]
pub struct Asked {
    pub id: String,
    pub class: &'static str,
    pub sent: f64,
    pub ended: f64,
    /// The status; none where the connection ended without one.
    pub status: Option<u16>,
    /// A stream came to its last chunk.
    pub whole: bool,
}

/// A client's connection, kept between requests.
#[derive(Default)]
pub struct Client {
    line: Option<BufReader<TcpStream>>,
}

/// The most tokens that a request may produce.
const MAX_OUT: u32 = 374;

/// A request as the protocol page shows it.
pub fn request_text(id: &str, class: &str, deadline: u64, session: usize, prompt: u32) -> String {
    // A token is four characters.
    let prompt_text = "word".repeat(prompt as usize);
    let body = format!(
        r#"{{"model":"chat","stream":true,"max_tokens":{MAX_OUT},"messages":[{{"role":"user","content":"{prompt_text}"}}]}}"#
    );
    format!(
        "POST /v1/chat/completions HTTP/1.1\r\nHost: app.svc\r\nRequest-Id: {id}\r\nRequest-Class: {class}\r\n\
         Affinity-Key: {session:016x}\r\nRequest-Timeout-Ms: {deadline}\r\n\
         Request-Info: prefix={:016x},prompt_len={prompt},prefix_len=4000,max_out={MAX_OUT}\r\n\
         Content-Type: application/json\r\nContent-Length: {}\r\n\r\n{body}",
        session % 7 + 1,
        body.len()
    )
}

impl Client {
    /// Sends a request, and once more on a new connection where a kept one was closed over it unread.
    pub fn ask(&mut self, listen: &str, text: &str, wait: Duration) -> (Option<u16>, bool) {
        loop {
            let kept = self.line.is_some();
            let line = self.line.take().or_else(|| {
                let socket = TcpStream::connect(listen).ok()?;
                let _ = socket.set_nodelay(true);
                Some(BufReader::new(socket))
            });
            let Some(mut line) = line else { return (None, false) };
            let _ = line.get_ref().set_read_timeout(Some(wait));
            let begun = Instant::now();
            let sent = line.get_mut().write_all(text.as_bytes()).is_ok();
            let Some((first, headers)) = head_lines(&mut line).filter(|_| sent) else {
                if kept && begun.elapsed() < wait {
                    continue;
                }
                return (None, false);
            };
            let status = first.split(' ').nth(1).and_then(|s| s.parse().ok());
            let has = |name: &str, value: &str| {
                headers.iter().any(|(n, v)| n == name && v.to_lowercase() == value)
            };
            let whole = if has("transfer-encoding", "chunked") {
                chunks(&mut line).is_some()
            } else {
                let length = headers.iter().find(|(n, _)| n == "content-length");
                let mut body = vec![0; length.and_then(|(_, v)| v.parse().ok()).unwrap_or(0)];
                line.read_exact(&mut body).is_ok()
            };
            if whole && !has("connection", "close") {
                self.line = Some(line);
            }
            return (status, whole);
        }
    }
}

/// Reads a body in chunks to its last one.
fn chunks(line: &mut impl BufRead) -> Option<()> {
    loop {
        let mut size = String::new();
        line.read_line(&mut size).ok()?;
        let mut chunk = vec![0; usize::from_str_radix(size.trim(), 16).ok()? + 2];
        line.read_exact(&mut chunk).ok()?;
        if chunk.len() == 2 {
            return Some(());
        }
    }
}

/// Clients at work.
pub struct Load {
    stop: Arc<AtomicBool>,
    clients: Vec<thread::JoinHandle<()>>,
    pub asked: Arc<Mutex<Vec<Asked>>>,
}

static NEXT: AtomicU64 = AtomicU64::new(1);

/// A new request id, in the form of the protocol page.
pub fn new_id() -> String {
    let n = NEXT.fetch_add(1, Ordering::SeqCst);
    format!("{:016x}", n.wrapping_mul(0x9e3779b97f4a7c15) ^ unix_ms())
}

impl Load {
    /// So many clients, each with one request after the other and a pause between them.
    pub fn start(record: &Record, listen: &str, clients: usize, pause: Duration, prompt: u32) -> Self {
        let (stop, asked): (Arc<AtomicBool>, Arc<Mutex<Vec<Asked>>>) = Default::default();
        let threads = (0..clients).map(|n| {
            let (stop, asked, record, listen) =
                (stop.clone(), asked.clone(), record.clone(), listen.to_owned());
            thread::spawn(move || {
                thread::sleep(pause * n as u32 / clients as u32);
                let mut client = Client::default();
                let mut turn = 0;
                while !stop.load(Ordering::SeqCst) {
                    let (class, deadline) =
                        if (n + turn) % 3 == 0 { ("route-save", 15_000) } else { ("climb-query", 6_000) };
                    turn += 1;
                    let id = new_id();
                    let text = request_text(&id, class, deadline, n, prompt);
                    record.note(format!("client {n}: sends {id} ({class})"));
                    let sent = record.now();
                    let (status, whole) = client.ask(&listen, &text, ms(deadline + 2_000));
                    let ended = record.now();
                    record.note(format!("client {n}: {id} answered {status:?}, whole: {whole}"));
                    asked.lock().unwrap().push(Asked { id, class, sent, ended, status, whole });
                    thread::sleep(pause);
                }
            })
        });
        let clients = threads.collect();
        Load { stop, clients, asked }
    }

    pub fn stop(self) -> Vec<Asked> {
        self.stop.store(true, Ordering::SeqCst);
        for client in self.clients {
            let _ = client.join();
        }
        let asked = self.asked.lock().unwrap();
        asked.clone()
    }
}

fn main() {
    let words: Vec<String> = std::env::args().collect();
    let [_, case, trouble, folder, path] = &words[..] else {
        eprintln!("usage: standins CASE TROUBLE FOLDER RECORD");
        std::process::exit(2);
    };
    let record = Record::new();
    record.note(format!("case {case}, TROUBLE={trouble}"));
    let folder = PathBuf::from(folder);
    let _ = std::fs::create_dir_all(folder.join("tmp"));
    let played = cases::play(case, &record, trouble, folder);
    let (code, text) = match played {
        Ok(Verdict::Held) => (0, "the rule held".to_owned()),
        Ok(Verdict::Broken) => (1, "the rule was broken".to_owned()),
        Err(fault) => (2, format!("the case could not run: {fault}")),
    };
    record.note(format!("verdict: {text}"));
    if let Err(fault) = record.write(path) {
        eprintln!("cannot write the record: {fault}");
        std::process::exit(2);
    }
    println!("{text}");
    std::process::exit(code);
}

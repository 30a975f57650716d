//! Stand-ins for the platform, discovery, instances and clients, shared by the cases of the second review. They use the
//! standard library alone, a thread for each connection, loopback addresses and the real clock.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::fs::{File, OpenOptions};
use std::io::{self, ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};
use std::thread;
use std::time::{Duration, Instant};

pub fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

/// What happened, a line each, with the milliseconds since the start. It is written as it happens, so that a play that is ended
/// early leaves its record as well.
pub struct Record {
    start: Instant,
    file: Mutex<File>,
}

impl Record {
    /// Begins the record of a case anew.
    pub fn begin(path: &Path, case: &str, is_troubled: bool) -> io::Result<Arc<Self>> {
        let file = Mutex::new(File::create(path)?);
        let record = Arc::new(Record { start: Instant::now(), file });
        record.note(format!("case {case}, {} the disruption", if is_troubled { "with" } else { "without" }));
        Ok(record)
    }

    /// Milliseconds since the start.
    pub fn now(&self) -> u64 {
        self.start.elapsed().as_millis() as u64
    }

    pub fn note(&self, text: impl AsRef<str>) {
        let line = format!("{:>7} ms  {}\n", self.now(), text.as_ref());
        // A case whose record cannot be written to its end is not reported as played: `close` finds that.
        let _ = lock(&self.file).write_all(line.as_bytes());
    }

    /// Writes the verdict, and returns the exit code.
    pub fn close(&self, verdict: &str, code: i32) -> i32 {
        println!("{verdict}");
        let line = format!("{:>7} ms  verdict: {verdict}\n", self.now());
        let written = lock(&self.file).write_all(line.as_bytes());
        written.map_or_else(
            |fault| {
                println!("the record cannot be written: {fault}");
                2
            },
            |()| code,
        )
    }
}

pub fn lock<T>(of: &Mutex<T>) -> MutexGuard<'_, T> {
    of.lock().unwrap_or_else(|poisoned| poisoned.into_inner())
}

/// A listener on a free loopback port.
pub fn listener() -> (TcpListener, SocketAddr) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free loopback port");
    let at = listener.local_addr().expect("its address");
    (listener, at)
}

/// A loopback address that is free now, for a program that listens itself.
pub fn free_address() -> SocketAddr {
    listener().1
}

fn serve(listener: TcpListener, each: impl Fn(TcpStream) + Send + Sync + 'static) {
    let each = Arc::new(each);
    thread::spawn(move || {
        for socket in listener.incoming().flatten() {
            let each = each.clone();
            let _ = socket.set_nodelay(true);
            let _ = thread::Builder::new().stack_size(256 * 1024).spawn(move || each(socket));
        }
    });
}

/// The head of a message and its body, by its `Content-Length`.
pub struct Message {
    pub first: String,
    pub headers: HashMap<String, String>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> &str {
        self.headers.get(name).map_or("", String::as_str)
    }

    pub fn status(&self) -> u16 {
        self.first.split(' ').nth(1).and_then(|code| code.parse().ok()).unwrap_or(0)
    }
}

/// A socket and what was read from it and not yet taken.
pub struct Wire {
    pub socket: TcpStream,
    pending: Vec<u8>,
}

impl Wire {
    pub fn new(socket: TcpStream) -> Self {
        let _ = socket.set_nodelay(true);
        Wire { socket, pending: Vec::new() }
    }

    pub fn connect(to: SocketAddr) -> io::Result<Self> {
        Ok(Wire::new(TcpStream::connect_timeout(&to, ms(3_000))?))
    }

    fn more(&mut self) -> io::Result<()> {
        let mut part = [0; 16 * 1024];
        match self.socket.read(&mut part)? {
            0 => Err(ErrorKind::UnexpectedEof.into()),
            n => {
                self.pending.extend_from_slice(&part[..n]);
                Ok(())
            }
        }
    }

    fn take(&mut self, n: usize) -> io::Result<Vec<u8>> {
        while self.pending.len() < n {
            self.more()?;
        }
        Ok(self.pending.drain(..n).collect())
    }

    fn line(&mut self) -> io::Result<String> {
        loop {
            if let Some(at) = self.pending.iter().position(|b| *b == b'\n') {
                let line: Vec<u8> = self.pending.drain(..=at).collect();
                return Ok(String::from_utf8_lossy(&line).trim_end().to_owned());
            }
            self.more()?;
        }
    }

    /// The next message with its whole body, in chunks or by its length. None at an end between two messages.
    pub fn message(&mut self) -> io::Result<Option<Message>> {
        let first = match self.line() {
            Err(fault) if fault.kind() == ErrorKind::UnexpectedEof && self.pending.is_empty() => {
                return Ok(None);
            }
            line => line?,
        };
        let mut headers = HashMap::new();
        loop {
            let line = self.line()?;
            let Some((name, value)) = line.split_once(':') else { break };
            headers.insert(name.trim().to_ascii_lowercase(), value.trim().to_owned());
        }
        let mut message = Message { first, headers, body: Vec::new() };
        if message.header("transfer-encoding").contains("chunked") {
            loop {
                let size = self.line()?;
                let size = usize::from_str_radix(size.trim(), 16).map_err(|_| ErrorKind::InvalidData)?;
                message.body.extend(self.take(size)?);
                self.line()?;
                if size == 0 {
                    break;
                }
            }
        } else {
            let length = message.header("content-length").parse().unwrap_or(0);
            message.body = self.take(length)?;
        }
        Ok(Some(message))
    }

    /// Waits for the first byte of an answer, or the end.
    pub fn begins_within(&self, limit: Duration) -> bool {
        let _ = self.socket.set_read_timeout(Some(limit));
        self.socket.peek(&mut [0]).map_or_else(|fault| fault.kind() != ErrorKind::WouldBlock, |_| true)
    }

    /// Whether the other side has closed, without taking what it sent.
    pub fn has_closed(&self) -> bool {
        let _ = self.socket.set_nonblocking(true);
        let seen = self.socket.peek(&mut [0]);
        let _ = self.socket.set_nonblocking(false);
        match seen {
            Ok(n) => n == 0,
            Err(fault) => fault.kind() != ErrorKind::WouldBlock,
        }
    }
}

/// An instance as discovery lists it.
#[derive(Clone)]
pub struct Listed {
    pub id: String,
    pub addr: SocketAddr,
    pub kind: &'static str,
    pub state: &'static str,
}

impl Listed {
    fn json(&self) -> String {
        format!(
            "{{\"id\":\"{}\",\"addr\":\"{}\",\"zone\":\"sejong-1\",\"kind\":\"{}\",\"cell\":1,\"state\":\"{}\",\
             \"weight\":1.0,\"started_ms\":0}}",
            self.id, self.addr, self.kind, self.state
        )
    }
}

/// Discovery: the whole list, and watches with an empty line every 2 s. While it is down it takes connections and says nothing.
pub struct Discovery {
    pub at: SocketAddr,
    listed: Mutex<(u64, BTreeMap<String, Listed>)>,
    is_down: AtomicBool,
}

impl Discovery {
    pub fn start(instances: &[Listed]) -> Arc<Self> {
        let (listener, at) = listener();
        let listed = instances.iter().map(|one| (one.id.clone(), one.clone())).collect();
        let discovery =
            Arc::new(Discovery { at, listed: Mutex::new((41, listed)), is_down: AtomicBool::new(false) });
        let answering = discovery.clone();
        serve(listener, move |socket| drop(answering.answer(Wire::new(socket))));
        discovery
    }

    /// Takes discovery down, or brings it back.
    pub fn set_down(&self, is_down: bool) {
        self.is_down.store(is_down, Ordering::SeqCst);
    }

    fn wait_until_up(&self) {
        while self.is_down.load(Ordering::SeqCst) {
            thread::sleep(ms(10));
        }
    }

    pub fn whole(&self) -> String {
        let listed = lock(&self.listed);
        let servers: Vec<_> = listed.1.values().map(Listed::json).collect();
        format!("{{\"version\":{},\"full\":true,\"servers\":[{}]}}", listed.0, servers.join(","))
    }

    fn answer(&self, mut wire: Wire) -> io::Result<()> {
        while let Some(call) = wire.message()? {
            self.wait_until_up();
            if !call.first.contains("follow=1") {
                let body = self.whole();
                write!(wire.socket, "HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n{body}", body.len())?;
                continue;
            }
            wire.socket.write_all(b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n")?;
            let mut line = self.whole() + "\n";
            loop {
                self.wait_until_up();
                write!(wire.socket, "{:x}\r\n{line}\r\n", line.len())?;
                line = "\n".into();
                thread::sleep(ms(2_000));
            }
        }
        Ok(())
    }
}

/// How an instance works.
#[derive(Clone, Copy)]
pub struct Manner {
    pub reads: bool,
    /// How long a prompt takes to read, or an answer to its first event.
    pub first_ms: u64,
    /// Events of an answer, and the time between two of them.
    pub events: u64,
    pub between_ms: u64,
}

/// A request that reached an instance with its last byte.
#[derive(Clone)]
pub struct Arrival {
    pub at_ms: u64,
    pub id: String,
    pub instance: String,
}

/// All instances of a fleet. Readers hold a state for each prompt that they have read, until a writer fetches it or it is
/// released.
pub struct Fleet {
    pub record: Arc<Record>,
    pub arrivals: Mutex<Vec<Arrival>>,
    /// The ids for which a writer began an answer.
    pub runs: Mutex<Vec<String>>,
    /// Instances whose process has died.
    dead: Mutex<BTreeSet<String>>,
    /// Requests whose state a reader holds.
    states: Mutex<BTreeMap<String, u64>>,
}

impl Fleet {
    pub fn new(record: &Arc<Record>) -> Arc<Self> {
        Arc::new(Fleet {
            record: record.clone(),
            arrivals: Mutex::default(),
            runs: Mutex::default(),
            dead: Mutex::default(),
            states: Mutex::default(),
        })
    }

    /// Starts an instance.
    pub fn instance(self: &Arc<Self>, id: &str, manner: Manner) -> Listed {
        let (listener, addr) = listener();
        let (fleet, name) = (self.clone(), id.to_owned());
        listener.set_nonblocking(true).expect("a listener that can be looked at");
        // Ends with the instance's process: the listener closes, and new connections are refused.
        thread::spawn(move || {
            while !fleet.is_dead(&name) {
                let Ok((socket, _)) = listener.accept() else {
                    thread::sleep(ms(1));
                    continue;
                };
                let (fleet, name) = (fleet.clone(), name.clone());
                let _ = socket.set_nonblocking(false);
                thread::spawn(move || drop(fleet.answer(&name, manner, Wire::new(socket))));
            }
        });
        let kind = if manner.reads { "prefill" } else { "decode" };
        Listed { id: id.into(), addr, kind, state: "Ready" }
    }

    /// Ends an instance's process: its connections end and new ones are refused.
    pub fn kill_instance(&self, name: &str) {
        self.record.note(format!("instance {name}: its process ends, to be started again"));
        lock(&self.dead).insert(name.to_owned());
    }

    fn is_dead(&self, name: &str) -> bool {
        lock(&self.dead).contains(name)
    }

    fn answer(&self, name: &str, manner: Manner, mut wire: Wire) -> io::Result<()> {
        while let Some(call) = wire.message()? {
            if self.is_dead(name) {
                return Err(ErrorKind::ConnectionReset.into());
            }
            if let Some(path) = call.first.strip_prefix("DELETE /kv/leases/") {
                let id = path.split(' ').next().unwrap_or_default();
                lock(&self.states).remove(id);
                wire.socket.write_all(b"HTTP/1.1 204 No Content\r\n\r\n")?;
            } else if call.first.starts_with("GET /-/") {
                let load = "{\"inflight\":1,\"x0\":0.1}";
                write!(wire.socket, "HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n{load}", load.len())?;
            } else {
                self.run(name, manner, &mut wire, call)?;
            }
        }
        Ok(())
    }

    fn run(&self, name: &str, manner: Manner, wire: &mut Wire, call: Message) -> io::Result<()> {
        let id = call.header("request-id").to_owned();
        let at_ms = self.record.now();
        let role = if manner.reads { "read" } else { "write" };
        self.record.note(format!("instance {name}: {role} of {id}"));
        lock(&self.arrivals).push(Arrival { at_ms, id: id.clone(), instance: name.into() });
        if !manner.reads && lock(&self.states).remove(&id).is_none() {
            return wire
                .socket
                .write_all(b"HTTP/1.1 410 Gone\r\nnot-started: 1\r\ncontent-length: 0\r\n\r\n");
        }
        let until = Instant::now() + ms(manner.first_ms);
        while Instant::now() < until {
            if wire.has_closed() || self.is_dead(name) {
                return Err(ErrorKind::UnexpectedEof.into());
            }
            thread::sleep(ms(5));
        }
        if manner.reads {
            lock(&self.states).insert(id, self.record.now());
            let body = "{\"cached_tokens\":0}";
            return write!(
                wire.socket,
                "HTTP/1.1 202 Accepted\r\ncontent-length: {}\r\n\r\n{body}",
                body.len()
            );
        }
        self.record.note(format!("instance {name}: begins the answer of {id}"));
        lock(&self.runs).push(id.clone());
        let head = "HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\ntransfer-encoding: chunked\r\n\r\n";
        wire.socket.write_all(head.as_bytes())?;
        for number in 0..manner.events {
            if number > 0 {
                thread::sleep(ms(manner.between_ms));
            }
            if self.is_dead(name) {
                return Err(ErrorKind::UnexpectedEof.into());
            }
            let event =
                format!("data: {{\"choices\":[{{\"index\":0,\"delta\":{{\"content\":\"{id}\"}}}}]}}\n\n");
            write!(wire.socket, "{:x}\r\n{event}\r\n", event.len())?;
        }
        let last = "data: [DONE]\n\n";
        write!(wire.socket, "{:x}\r\n{last}\r\n0\r\n\r\n", last.len())
    }
}

/// Descriptors and memory of a conductor, as its configuration states them.
#[derive(Clone, Copy)]
pub struct Limits {
    pub memory_mb: u64,
    pub sockets: u64,
}

/// The settings of a small deployment, in the form of the wire page.
fn settings(balancers: u64) -> String {
    format!(
        r#"{{"accounts": [], "balancers": {balancers},
 "blend": {{"whole": 0.7, "worstClass": 0.2, "worstTenant": 0.0, "worstWindow": 0.1}},
 "clients": {{"marksRetry": true}}, "domainType": "twostage", "failureDomains": ["daejeon-1", "sejong-1"],
 "familyInfo": {{"ahead": false, "aimUsPer1000PromptTokens": [40000.0, 40000.0], "farPrice": 0.03,
  "localRead": false, "memoryTokens": [225677, 142841], "pinLimit": 1000.0, "resume": true,
  "roleByKind": ["read", "write"], "tokenAim": [60.0, 80.0]}},
 "invariants": {{"answerSlack": 8.0, "askWithin": 10000.0, "drainGrace": 1000.0, "fallMultiple": 3.0,
  "overloadFor": 2000.0, "rampTime": 13000.0, "startCapacity": 0.28}},
 "kinds": ["prefill", "decode"],
 "lanes": [
  {{"deadline": 6000.0, "group": "all", "lateWorth": 0.1, "name": "climb-query", "objective": 1500.0,
   "semantics": "read_like", "stream": true, "window": 5000.0, "worth": 3.0}},
  {{"deadline": 15000.0, "group": "all", "lateWorth": 0.2, "name": "route-save", "objective": 3000.0,
   "semantics": "non_idempotent", "stream": true, "window": 5000.0, "worth": 2.0}}],
 "layers": ["model-fleet"],
 "limits": {{"cancelling": true, "connectTimeout": 250.0, "cpuUsPerRequest": 0.0, "cpuUsPerS": 500000,
  "idleClose": 30000.0, "maxAttempts": 4, "maxRetryAfter": 2000.0, "mayDuplicate": false, "mayProbe": true,
  "mayTell": false, "mostHeld": 20000, "multiplex": 100, "retryAfter": true}},
 "locality": "sejong-1", "me": 0, "membershipMode": "push", "overShareWorth": 0.1,
 "prices": {{"connection": 0.0, "crossZone": 0.011, "handshake": 0.0, "lateFail": 0.025, "probe": 0.0024}},
 "report": {{"columns": ["active", "x0"], "source": "pull"}},
 "step": 2.0, "tier": 0, "weights": "silent", "worthBy": "work"}}"#
    )
}

/// A place for the files of a run, removed at its end.
pub struct Folder(pub PathBuf);

impl Folder {
    pub fn new(name: &str) -> Self {
        let path = std::env::temp_dir().join(format!("{name}-{}", std::process::id()));
        std::fs::create_dir_all(path.join("tmp")).expect("a temporary folder");
        Folder(path)
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

/// Sends a signal to a process that this one started, by the shell's own command.
fn send_signal(signal: &str, process: u32) {
    let _ = Command::new("/bin/sh").args(["-c", &format!("kill -{signal} {process}")]).status();
}

/// Processes that were started and not yet ended.
static STARTED: Mutex<Vec<u32>> = Mutex::new(Vec::new());

/// Ends the case as one that could not run if it takes too long, with all processes that it started.
pub fn end_after(record: &Arc<Record>, limit: Duration) {
    let record = record.clone();
    thread::spawn(move || {
        thread::sleep(limit);
        for process in lock(&STARTED).iter() {
            send_signal("KILL", *process);
        }
        std::process::exit(record.close("the case took too long; it could not run", 2));
    });
}

/// A conductor, started with the `run` line of the deploy file from the repository's root.
pub struct Conductor {
    pub process: Child,
    pub listen: SocketAddr,
    pub operator: SocketAddr,
}

impl Conductor {
    /// Starts one at `listen`, with a log beside its configuration.
    pub fn start(
        folder: &Folder, label: &str, listen: SocketAddr, discovery: &Discovery, limits: Limits,
    ) -> Self {
        let operator = free_address();
        let config = format!(
            "{{\"name\":\"n3\",\"listen\":\"{listen}\",\"discovery\":\"{}\",\"operator\":\"{operator}\",\
             \"seed\":\"8c1f30d27a5be964\",\"limits\":{{\"cores\":1.0,\"memory_mb\":{},\"sockets\":{}}},\
             \"known\":{},\"settings\":{}}}",
            discovery.at,
            limits.memory_mb,
            limits.sockets,
            discovery.whole(),
            settings(2)
        );
        let file = folder.0.join(format!("config-{label}.json"));
        std::fs::write(&file, config).expect("the configuration");
        let deploy = std::fs::read_to_string("deploy/balancer.toml").expect("the deploy file");
        let run = deploy.lines().find_map(|line| line.strip_prefix("run = \"")?.strip_suffix('"'));
        let log = File::create(folder.0.join(format!("log-{label}"))).expect("a log");
        let process = Command::new("/bin/sh")
            .args(["-c", run.expect("the run line")])
            .env("LB_NAME", "n3")
            .env("LB_CONFIG", &file)
            .env("LB_LISTEN", listen.to_string())
            .env("LB_DISCOVERY", discovery.at.to_string())
            .env("LB_OPERATOR", operator.to_string())
            .env("TMPDIR", folder.0.join("tmp"))
            .stdin(Stdio::null())
            .stdout(log.try_clone().expect("a log"))
            .stderr(log)
            .spawn()
            .expect("the conductor");
        lock(&STARTED).push(process.id());
        // For a script that is ended early.
        let pids = OpenOptions::new().create(true).append(true).open(std::env::temp_dir().join("pids"));
        let _ = pids.and_then(|mut pids| writeln!(pids, "{}", process.id()));
        Conductor { process, listen, operator }
    }

    /// Waits until `GET /-/ready` is answered with 200.
    pub fn is_ready_within(&self, limit: Duration) -> bool {
        let until = Instant::now() + limit;
        while Instant::now() < until {
            if call(self.listen, "GET", "/-/ready").is_ok_and(|status| status == 200) {
                return true;
            }
            thread::sleep(ms(20));
        }
        false
    }

    /// A value of its status in the process table, in kilobytes.
    pub fn memory_kb(&self, name: &str) -> Option<u64> {
        let status = std::fs::read_to_string(format!("/proc/{}/status", self.process.id())).ok()?;
        let line = status.lines().find_map(|line| line.strip_prefix(name)?.strip_prefix(':'))?;
        line.split_whitespace().next()?.parse().ok()
    }

    pub fn signal(&self, signal: &str) {
        send_signal(signal, self.process.id());
    }
}

impl Drop for Conductor {
    fn drop(&mut self) {
        let _ = self.process.kill();
        let _ = self.process.wait();
        lock(&STARTED).retain(|process| *process != self.process.id());
    }
}

/// One call on a connection of its own; its status.
pub fn call(to: SocketAddr, method: &str, path: &str) -> io::Result<u16> {
    let mut wire = Wire::connect(to)?;
    wire.socket.set_read_timeout(Some(ms(2_000)))?;
    write!(
        wire.socket,
        "{method} {path} HTTP/1.1\r\nhost: {to}\r\nconnection: close\r\ncontent-length: 0\r\n\r\n"
    )?;
    Ok(wire.message()?.map_or(0, |answer| answer.status()))
}

/// Head and body of a client's request.
pub fn request(id: &str, class: &str, timeout_ms: u64, body_bytes: usize) -> (String, String) {
    let start = "{\"model\":\"chat\",\"stream\":true,\"max_tokens\":200,\"messages\":[{\"role\":\"user\",\"content\":\"";
    let end = "\"}]}";
    let filler = body_bytes.saturating_sub(start.len() + end.len());
    let body = format!("{start}{}{end}", "a".repeat(filler));
    let tokens = body.len() / 4;
    let head = format!(
        "POST /v1/chat/completions HTTP/1.1\r\nHost: app.svc\r\nRequest-Id: {id}\r\nRequest-Class: {class}\r\n\
         Affinity-Key: s{id}\r\nRequest-Timeout-Ms: {timeout_ms}\r\n\
         Request-Info: prompt_len={tokens},max_out=200\r\nContent-Type: application/json\r\n\
         Content-Length: {}\r\n\r\n",
        body.len()
    );
    (head, body)
}

/// Sends one request on a new connection, whole, and waits for its answer.
pub fn ask(
    record: &Record, to: SocketAddr, id: &str, class: &str, timeout_ms: u64, body_bytes: usize,
) -> Ended {
    let (head, body) = request(id, class, timeout_ms, body_bytes);
    let ended = match Wire::connect(to) {
        Err(fault) => Ended::NotSent(fault.kind().to_string()),
        Ok(mut wire) => match wire.socket.write_all((head + &body).as_bytes()) {
            Err(fault) => Ended::NotSent(fault.kind().to_string()),
            Ok(()) => {
                record.note(format!("client: sent {id}"));
                answer(&mut wire, ms(timeout_ms + 20_000))
            }
        },
    };
    record.note(format!("client: {id}: {ended:?}"));
    ended
}

/// Usual clients: a request each `every`, on a new connection, until the flag is set. Returns how they ended.
pub fn usual_clients(
    record: &Arc<Record>, to: SocketAddr, class: &'static str, every: Duration, body_bytes: usize,
    over: &Flag,
) -> thread::JoinHandle<Vec<(String, Ended)>> {
    let (record, over) = (record.clone(), over.clone());
    thread::spawn(move || {
        let mut clients = Vec::new();
        while !over.is_set() {
            let id = format!("{:016x}", 0xc000_0000 + clients.len());
            let record = record.clone();
            clients.push(thread::spawn(move || {
                let ended = ask(&record, to, &id, class, 5_000, body_bytes);
                (id, ended)
            }));
            thread::sleep(every);
        }
        clients.into_iter().filter_map(|client| client.join().ok()).collect()
    })
}

/// How a client's request ended, as the client saw it.
#[derive(Clone, Debug, PartialEq)]
pub enum Ended {
    /// An answer with this status, whole.
    Answered(u16),
    /// The connection ended or broke without an answer, or within one.
    Unanswered(String),
    /// Its last byte could not be written.
    NotSent(String),
}

/// Reads the answer to a request whose last byte was written.
pub fn answer(wire: &mut Wire, within: Duration) -> Ended {
    let _ = wire.socket.set_read_timeout(Some(within));
    match wire.message() {
        Ok(Some(answer)) => Ended::Answered(answer.status()),
        Ok(None) => Ended::Unanswered("the connection ended".into()),
        Err(fault) => Ended::Unanswered(format!("{:?}", fault.kind())),
    }
}

/// A flag that threads look at.
#[derive(Clone, Default)]
pub struct Flag(Arc<AtomicBool>);

impl Flag {
    pub fn set(&self) {
        self.0.store(true, Ordering::SeqCst);
    }

    pub fn is_set(&self) -> bool {
        self.0.load(Ordering::SeqCst)
    }
}

//! Stand-ins of a review: a platform with discovery, readers and writers, clients and operators, on loopback addresses, and the
//! checks of its cases. Only the standard library. Called by the `run.sh` of a case: `stand CASE ROOT FOLDER TROUBLE`.
//!
//! The stand-ins follow the protocol page: discovery pushes lists over a watch, readers answer 202 when the prompt is read,
//! writers stream events in chunks, any instance takes the release of a state with 204.

use std::collections::BTreeMap;
use std::fmt::Write as _;
use std::io::{self, ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, OnceLock};
use std::thread;
use std::time::{Duration, Instant};

/// Grace on sockets, by which every time limit grows.
const SOCKET_SLACK: u64 = 50;

/// A case ends within this.
const LONGEST: u64 = 112_000;

static START: OnceLock<Instant> = OnceLock::new();
static LATEST: AtomicU64 = AtomicU64::new(0);

/// Milliseconds since the case began.
fn now() -> u64 {
    START.get_or_init(Instant::now).elapsed().as_millis() as u64
}

fn pause(ms: u64) {
    thread::sleep(Duration::from_millis(ms));
}

/// Measures by how much this machine runs timers late; all bounds grow by it.
fn watch_lateness() {
    thread::spawn(|| loop {
        let begun = Instant::now();
        pause(5);
        let late = (begun.elapsed().as_millis() as u64).saturating_sub(5);
        LATEST.fetch_max(late, Ordering::Relaxed);
    });
}

fn lateness() -> u64 {
    LATEST.load(Ordering::Relaxed)
}

/// What was sent, answered and run, line by line.
#[derive(Clone, Default)]
struct Record(Arc<Mutex<Vec<(u64, String)>>>);

impl Record {
    fn note(&self, text: impl Into<String>) {
        self.at(now(), text);
    }

    fn at(&self, at: u64, text: impl Into<String>) {
        self.0.lock().unwrap().push((at, text.into()));
    }

    fn write(&self, folder: &Path) {
        let mut lines = self.0.lock().unwrap().clone();
        lines.sort_by_key(|line| line.0);
        let mut text = String::new();
        for (at, line) in lines {
            let _ = writeln!(text, "{:>7.3} s  {line}", at as f64 / 1e3);
        }
        let _ = std::fs::write(folder.join("record.txt"), text);
    }
}

/// A message's head and body. `first` is when its first byte came, `last` when its last one did.
struct Message {
    line: String,
    headers: BTreeMap<String, String>,
    body: Vec<u8>,
    first: u64,
    last: u64,
}

impl Message {
    fn header(&self, name: &str) -> &str {
        self.headers.get(name).map_or("", String::as_str)
    }

    fn status(&self) -> u16 {
        self.line.split(' ').nth(1).and_then(|status| status.parse().ok()).unwrap_or(0)
    }
}

/// Bytes read from a socket and not yet used.
struct Wire {
    socket: TcpStream,
    bytes: Vec<u8>,
}

impl Wire {
    fn new(socket: TcpStream) -> Self {
        let _ = socket.set_nodelay(true);
        Wire { socket, bytes: Vec::new() }
    }

    fn fill(&mut self) -> io::Result<()> {
        let mut part = [0; 16 * 1024];
        match self.socket.read(&mut part)? {
            0 => Err(ErrorKind::UnexpectedEof.into()),
            n => {
                self.bytes.extend_from_slice(&part[..n]);
                Ok(())
            }
        }
    }

    fn line(&mut self) -> io::Result<String> {
        loop {
            if let Some(at) = self.bytes.iter().position(|&byte| byte == b'\n') {
                let line: Vec<u8> = self.bytes.drain(..=at).collect();
                return Ok(String::from_utf8_lossy(&line).trim_end().to_owned());
            }
            self.fill()?;
        }
    }

    fn exactly(&mut self, length: usize) -> io::Result<Vec<u8>> {
        while self.bytes.len() < length {
            self.fill()?;
        }
        Ok(self.bytes.drain(..length).collect())
    }

    /// A head, and the body that its length tells.
    fn message(&mut self) -> io::Result<Message> {
        while self.bytes.is_empty() {
            self.fill()?;
        }
        let (first, line) = (now(), self.line()?);
        let mut headers = BTreeMap::new();
        loop {
            let header = self.line()?;
            let Some((name, value)) = header.split_once(':') else { break };
            headers.insert(name.to_ascii_lowercase(), value.trim().to_owned());
        }
        let length = headers.get("content-length").and_then(|value| value.parse().ok()).unwrap_or(0);
        let body = self.exactly(length)?;
        Ok(Message { line, headers, body, first, last: now() })
    }

    /// The chunks of a body; whether it came to its last one.
    fn chunks(&mut self) -> (usize, bool) {
        let mut events = 0;
        loop {
            let size = match self.line() {
                Ok(line) => usize::from_str_radix(line.trim(), 16),
                Err(_) => return (events, false),
            };
            match size {
                Ok(0) => return (events, self.line().is_ok()),
                Ok(size) => match self.exactly(size + 2) {
                    Ok(data) => events += data.windows(6).filter(|part| part == b"data: ").count(),
                    Err(_) => return (events, false),
                },
                Err(_) => return (events, false),
            }
        }
    }
}

#[derive(Clone, Copy, PartialEq)]
enum Role {
    Reader,
    Writer,
}

/// An instance, and how long it takes.
#[derive(Clone)]
struct Instance {
    id: String,
    address: SocketAddr,
    role: Role,
}

/// How instances work, in milliseconds.
#[derive(Clone, Copy)]
struct Pace {
    read: u64,
    first_token: u64,
    events: u32,
    between: u64,
    /// From which event on, and for how many, an event takes so long: the instance is slow for a while.
    slow: (u32, u32, u64),
}

/// The instance that is slow, if one is.
const SLOW_ONE: &str = "s-write4";

/// An instance that is never slow.
const NEVER: (u32, u32, u64) = (0, 0, 0);

/// What differs from one deployment to another.
#[derive(Clone, Copy)]
struct Site {
    settings: &'static str,
    zone: &'static str,
}

/// An attempt as an instance saw it.
#[derive(Clone)]
struct Attempt {
    request: String,
    instance: String,
    first: u64,
}

/// The platform round a conductor.
#[derive(Clone)]
struct Platform {
    root: PathBuf,
    record: Record,
    folder: PathBuf,
    instances: Arc<Mutex<Vec<Instance>>>,
    attempts: Arc<Mutex<Vec<Attempt>>>,
    /// Discovery says nothing.
    silent: Arc<AtomicBool>,
    discovery: SocketAddr,
    pids: Arc<Mutex<Vec<u32>>>,
    site: Site,
}

fn listen() -> TcpListener {
    TcpListener::bind("127.0.0.1:0").expect("a port")
}

fn free_address() -> SocketAddr {
    listen().local_addr().expect("an address")
}

impl Platform {
    fn new(root: &Path, folder: &Path, readers: usize, writers: usize, pace: Pace) -> Self {
        Self::of(CLIMB_ASSIST, root, folder, (readers, writers), pace)
    }

    fn of(site: Site, root: &Path, folder: &Path, (readers, writers): (usize, usize), pace: Pace) -> Self {
        let listener = listen();
        let platform = Platform {
            root: root.into(),
            record: Record::default(),
            folder: folder.into(),
            instances: Arc::default(),
            attempts: Arc::default(),
            silent: Arc::default(),
            discovery: listener.local_addr().expect("an address"),
            pids: Arc::default(),
            site,
        };
        for number in 0..readers + writers {
            let role = if number < readers { Role::Reader } else { Role::Writer };
            let socket = listen();
            let id = format!("s-{}{number}", if role == Role::Reader { "read" } else { "write" });
            let instance = Instance { id, address: socket.local_addr().expect("an address"), role };
            platform.instances.lock().unwrap().push(instance.clone());
            let its = platform.clone();
            thread::spawn(move || {
                for socket in socket.incoming().flatten() {
                    let (its, instance) = (its.clone(), instance.clone());
                    thread::spawn(move || its.serve(Wire::new(socket), &instance, pace));
                }
            });
        }
        let its = platform.clone();
        thread::spawn(move || {
            for socket in listener.incoming().flatten() {
                let its = its.clone();
                thread::spawn(move || drop(its.discover(Wire::new(socket))));
            }
        });
        platform
    }

    fn list(&self) -> String {
        let mut servers = Vec::new();
        for Instance { id, address, role } in self.instances.lock().unwrap().iter() {
            let kind = if *role == Role::Reader { "prefill" } else { "decode" };
            servers.push(format!(
                r#"{{"id":"{id}","addr":"{address}","zone":"{}","kind":"{kind}","cell":1,"state":"Ready","weight":1.0,"started_ms":0}}"#,
                self.site.zone
            ));
        }
        format!(r#"{{"version":41,"full":true,"servers":[{}]}}"#, servers.join(","))
    }

    fn discover(&self, mut wire: Wire) -> io::Result<()> {
        let call = wire.message()?;
        while self.silent.load(Ordering::Relaxed) {
            pause(20);
        }
        let list = self.list();
        if !call.line.contains("follow=1") {
            return write!(
                wire.socket,
                "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n{list}",
                list.len()
            );
        }
        wire.socket.write_all(b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nTransfer-Encoding: chunked\r\n\r\n")?;
        write!(wire.socket, "{:x}\r\n{list}\n\r\n", list.len() + 1)?;
        loop {
            pause(2_000);
            while self.silent.load(Ordering::Relaxed) {
                pause(20);
            }
            wire.socket.write_all(b"1\r\n\n\r\n")?;
        }
    }

    fn serve(&self, mut wire: Wire, instance: &Instance, pace: Pace) {
        while let Ok(call) = wire.message() {
            let mut words = call.line.split(' ');
            let (method, path) = (words.next().unwrap_or(""), words.next().unwrap_or(""));
            let answered = match method {
                "DELETE" => {
                    let id = path.rsplit('/').next().unwrap_or("");
                    self.record.at(call.last, format!("{} is told to release {id}", instance.id));
                    wire.socket.write_all(b"HTTP/1.1 204 No Content\r\n\r\n")
                }
                "POST" => self.work(&mut wire, &call, instance, pace),
                _ => wire.socket.write_all(b"HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n"),
            };
            if answered.is_err() {
                return;
            }
        }
    }

    fn work(&self, wire: &mut Wire, call: &Message, instance: &Instance, pace: Pace) -> io::Result<()> {
        let request = call.header("request-id").to_owned();
        let told = call.header("request-timeout-ms");
        let text = format!("{} gets {request}, {} bytes, told {told} ms", instance.id, call.body.len());
        self.record.at(call.last, text);
        let attempt = Attempt {
            request: request.clone(),
            instance: instance.id.clone(),
            first: call.first,
        };
        self.attempts.lock().unwrap().push(attempt);
        let socket = &mut wire.socket;
        if instance.role == Role::Reader {
            pause(pace.read);
            let body = r#"{"cached_tokens":0}"#;
            return write!(
                socket,
                "HTTP/1.1 202 Accepted\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n{body}",
                body.len()
            );
        }
        pause(pace.first_token);
        socket.write_all(b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n")?;
        let event = "data: {\"choices\":[{\"index\":0,\"delta\":{\"content\":\"oqvh\"},\"finish_reason\":null}]}\n\n";
        for number in 0..pace.events {
            let (from, most, slow) = if instance.id == SLOW_ONE { pace.slow } else { NEVER };
            if (from..from + most).contains(&number) {
                pause(slow.saturating_sub(pace.between));
                let written = write!(socket, "{:x}\r\n{event}\r\n", event.len());
                self.record.note(format!("{} writes event {number} of {request}, {slow} ms after the one before: {written:?}", instance.id));
                written?;
            } else {
                write!(socket, "{:x}\r\n{event}\r\n", event.len())?;
            }
            pause(pace.between);
        }
        socket.write_all(b"e\r\ndata: [DONE]\n\n\r\n0\r\n\r\n")?;
        self.record.note(format!("{} has written all of {request}", instance.id));
        Ok(())
    }

    /// Writes a configuration as the deployment page describes it.
    fn configure(&self, listen: SocketAddr, operator: Option<SocketAddr>, limits: (u32, u32)) -> PathBuf {
        let (memory, sockets) = limits;
        let operator = operator.map_or(String::new(), |place| format!(r#""operator":"{place}","#));
        let text = format!(
            r#"{{"name":"n1","listen":"{listen}","discovery":"{}",{operator}"seed":"8c1f30d27a5be964",
            "limits":{{"cores":1.0,"memory_mb":{memory},"sockets":{sockets}}},"known":{},"settings":{}}}"#,
            self.discovery,
            self.list(),
            self.site.settings
        );
        let path = self.folder_of_run().join(format!("config-{}.json", self.pids.lock().unwrap().len()));
        std::fs::write(&path, text).expect("a configuration");
        path
    }

    /// The temporary folder of this run, which `run.sh` makes and removes.
    fn folder_of_run(&self) -> PathBuf {
        PathBuf::from(std::env::var_os("CASE_TMP").expect("CASE_TMP is set by run.sh"))
    }

    /// Starts the conductor with the command `run` of the deploy file, as the deployment page says.
    fn start(&self, config: &Path, listen: SocketAddr, sockets: Option<u32>) -> Child {
        let deploy = std::fs::read_to_string(self.root.join("deploy/balancer.toml")).expect("the deploy file");
        let run = deploy.lines().find_map(|line| line.strip_prefix("run = ")).expect("a line run");
        let run = run.split('#').next().unwrap_or(run).trim().trim_matches('"');
        let limit = sockets.map_or(String::new(), |most| format!("ulimit -n {most} && "));
        let shared = self.folder_of_run().join("shared");
        let _ = std::fs::create_dir_all(&shared);
        let number = self.pids.lock().unwrap().len();
        let log = std::fs::File::create(self.folder_of_run().join(format!("log-{number}.txt"))).expect("a log");
        let child = Command::new("/bin/sh")
            .args(["-c", &format!("{limit}{run}")])
            .current_dir(&self.root)
            .env("LB_NAME", "n1")
            .env("LB_LISTEN", listen.to_string())
            .env("LB_DISCOVERY", self.discovery.to_string())
            .env("LB_CONFIG", config)
            .env("TMPDIR", shared)
            .env_remove("LB_OPERATOR")
            .env_remove("CROFTSILL_LOG")
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(log)
            .spawn()
            .expect("the program starts");
        self.pids.lock().unwrap().push(child.id());
        let pids = self.pids.lock().unwrap().iter().map(u32::to_string).collect::<Vec<_>>().join("\n");
        let _ = std::fs::write(self.folder_of_run().join("pids"), pids + "\n");
        self.record.note(format!("conductor started, process {number}"));
        child
    }

    fn attempts(&self) -> Vec<Attempt> {
        self.attempts.lock().unwrap().clone()
    }
}

/// A small deployment with the figures of climb-assist's site file, in the form of the wire page.
const CLIMB_ASSIST: Site = Site { settings: CLIMB_ASSIST_SETTINGS, zone: "daejeon-1" };
/// The same of ub-booking, whose clients do not ask for the rest of a stream.
const UB_BOOKING: Site = Site { settings: UB_BOOKING_SETTINGS, zone: "ub-east" };

const UB_BOOKING_SETTINGS: &str = r#"{"accounts":[],"balancers":2,"blend":{"whole":0.65,"worstClass":0.2,"worstTenant":0.0,"worstWindow":0.15},
"clients":{"marksRetry":false},"domainType":"twostage","failureDomains":["ub-east","ub-west"],
"familyInfo":{"ahead":false,"aimUsPer1000PromptTokens":[60000.0,40000.0],"farPrice":0.04,"localRead":false,
"memoryTokens":[205000,140000],"pinLimit":500.0,"resume":false,"roleByKind":["read","write"],"tokenAim":[50.0,60.0]},
"invariants":{"answerSlack":16.0,"askWithin":10000.0,"drainGrace":250.0,"fallMultiple":2.5,"overloadFor":2000.0,
"rampTime":14000.0,"startCapacity":0.25},"kinds":["prefill","decode"],
"lanes":[{"deadline":4000.0,"group":"all","lateWorth":0.2,"name":"ask","objective":1000.0,"semantics":"read_like","stream":true,
"window":5000.0,"worth":2.0},{"deadline":4000.0,"group":"all","lateWorth":0.2,"name":"book","objective":1000.0,
"semantics":"non_idempotent","stream":true,"window":5000.0,"worth":6.0}],
"layers":["booking-models"],"limits":{"cancelling":true,"connectTimeout":250.0,"cpuUsPerRequest":0.0,"cpuUsPerS":500000,
"idleClose":30000.0,"maxAttempts":6,"maxRetryAfter":1000.0,"mayDuplicate":false,"mayProbe":false,"mayTell":false,
"mostHeld":20000,"multiplex":32,"retryAfter":true},"locality":"ub-east","me":0,"membershipMode":"push",
"overShareWorth":0.1,"prices":{"connection":0.0,"crossZone":0.02,"handshake":0.0,"lateFail":0.034,"membershipMode":0.0,
"moves":0.0,"origin":0.0,"peer":0.0,"probe":0.0,"waste":0.093},"report":{"columns":[],"source":"silent"},
"step":4.0,"tier":0,"weights":"nominal","worthBy":"work"}"#;

const CLIMB_ASSIST_SETTINGS: &str = r#"{"accounts":[],"balancers":2,"blend":{"whole":0.7,"worstClass":0.2,"worstTenant":0.0,"worstWindow":0.1},
"clients":{"marksRetry":true},"domainType":"twostage","failureDomains":["daejeon-1","sejong-1"],
"familyInfo":{"ahead":false,"aimUsPer1000PromptTokens":[40000.0,40000.0],"farPrice":0.03,"localRead":false,
"memoryTokens":[225677,142841],"pinLimit":1000.0,"reportX0":"share of memory that is held","resume":true,
"roleByKind":["read","write"],"tokenAim":[60.0,80.0]},
"invariants":{"answerSlack":8.0,"askWithin":10000.0,"drainGrace":1000.0,"fallMultiple":3.0,"overloadFor":2000.0,
"rampTime":13000.0,"startCapacity":0.28},"kinds":["prefill","decode"],
"lanes":[{"deadline":6000.0,"group":"all","lateWorth":0.1,"name":"climb-query","objective":1500.0,"semantics":"read_like",
"stream":true,"window":5000.0,"worth":3.0},{"deadline":15000.0,"group":"all","lateWorth":0.2,"name":"route-save",
"objective":3000.0,"semantics":"non_idempotent","stream":true,"window":5000.0,"worth":2.0}],
"layers":["model-fleet"],"limits":{"cancelling":true,"connectTimeout":250.0,"cpuUsPerRequest":0.0,"cpuUsPerS":500000,
"idleClose":30000.0,"maxAttempts":4,"maxRetryAfter":2000.0,"mayDuplicate":false,"mayProbe":true,"mayTell":false,
"mostHeld":20000,"multiplex":100,"retryAfter":true},"locality":"daejeon-1","me":0,"membershipMode":"push",
"overShareWorth":0.1,"prices":{"connection":0.0,"crossZone":0.011,"handshake":0.0,"lateFail":0.025,"membershipMode":0.0,
"moves":0.0,"origin":0.0,"peer":0.0,"probe":0.0024,"waste":0.08},"report":{"columns":["active","x0"],"source":"pull"},
"step":2.0,"tier":0,"weights":"silent","worthBy":"work"}"#;

/// Ends a process in the way that a signal's name says.
fn signal(child: &Child, name: &str) {
    let _ = Command::new("/bin/sh").args(["-c", &format!("kill -{name} {}", child.id())]).status();
}

/// One call on a connection of its own, such as an operator's or the front's: the status, or none.
fn call(to: SocketAddr, method: &str, path: &str) -> Option<u16> {
    let socket = TcpStream::connect_timeout(&to, Duration::from_secs(1)).ok()?;
    let _ = socket.set_read_timeout(Some(Duration::from_secs(2)));
    let mut wire = Wire::new(socket);
    write!(wire.socket, "{method} {path} HTTP/1.1\r\nHost: {to}\r\nConnection: close\r\n\r\n").ok()?;
    wire.message().ok().map(|answer| answer.status())
}

/// Waits until this holds; whether it did in time.
fn waits(ms: u64, mut holds: impl FnMut() -> bool) -> bool {
    let until = now() + ms;
    while now() < until {
        if holds() {
            return true;
        }
        pause(10);
    }
    false
}

/// A request as the protocol page shows one.
fn request(id: &str, class: &str, patience: u64, prompt: u32, body: usize) -> Vec<u8> {
    let text = r#"{"model":"chat","stream":true,"max_tokens":200,"messages":[{"role":"user","content":""#;
    let end = r#""}]}"#;
    let filler = body.saturating_sub(text.len() + end.len());
    let mut bytes = format!(
        "POST /v1/chat/completions HTTP/1.1\r\nHost: app.svc\r\nRequest-Id: {id}\r\nRequest-Class: {class}\r\nAffinity-Key: {id}\r\n\
         Request-Timeout-Ms: {patience}\r\nRequest-Info: prompt_len={prompt},max_out=200\r\nContent-Type: application/json\r\n\
         Content-Length: {}\r\n\r\n",
        text.len() + filler + end.len()
    )
    .into_bytes();
    bytes.extend_from_slice(text.as_bytes());
    bytes.extend(std::iter::repeat_n(b'a', filler));
    bytes.extend_from_slice(end.as_bytes());
    bytes
}

/// What a client got.
#[derive(Clone, Debug, PartialEq)]
enum Got {
    /// A final answer with this status, whole or not.
    Answer(u16, bool),
    /// The conductor ended the connection without an answer.
    Closed,
    /// Nothing within the client's patience and half a second more.
    Nothing,
    /// The connection did not come up.
    NoConnection,
}

/// A usual client's request on a connection, and when its answer began.
fn ask(wire: &mut Wire, bytes: &[u8], patience: u64) -> (Got, u64, u64) {
    if wire.socket.write_all(bytes).is_err() {
        return (Got::Closed, now(), now());
    }
    let sent = now();
    // Up to half a second after its time an answer still counts.
    let bound = patience + 500 + SOCKET_SLACK + lateness();
    let _ = wire.socket.set_read_timeout(Some(Duration::from_millis(bound)));
    let answer = match wire.message() {
        Ok(answer) => answer,
        Err(fault) if matches!(fault.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => {
            return (Got::Nothing, sent, now());
        }
        Err(_) => return (Got::Closed, sent, now()),
    };
    let (status, began) = (answer.status(), now());
    let _ = wire.socket.set_read_timeout(Some(Duration::from_secs(20)));
    let whole = answer.header("transfer-encoding") != "chunked" || wire.chunks().1;
    (Got::Answer(status, whole), sent, began)
}

fn id(kind: u32, number: u32) -> String {
    format!("{kind:08x}{number:08x}")
}

/// How a case ended, as its exit status says.
enum Verdict {
    Held,
    Broken,
    CouldNotRun(String),
}

include!("cases.rs");

fn main() {
    now();
    watch_lateness();
    let words: Vec<String> = std::env::args().collect();
    let [_, case, root, folder, trouble] = &words[..] else {
        eprintln!("usage: stand CASE ROOT FOLDER TROUBLE");
        std::process::exit(2);
    };
    thread::spawn(|| {
        pause(LONGEST);
        println!("the case could not run: it took too long");
        std::process::exit(2);
    });
    let (root, folder, trouble) = (Path::new(root), Path::new(folder), trouble != "0");
    let (verdict, platform) = match case.as_str() {
        "crowd" => crowd(root, folder, trouble),
        "memory" => memory(root, folder, trouble),
        "gone" => gone(root, folder, trouble),
        "slow" => slow(root, folder, trouble),
        "maintenance" => maintenance(root, folder, trouble),
        _ => {
            eprintln!("no such case: {case}");
            std::process::exit(2);
        }
    };
    let (text, status) = match verdict {
        Verdict::Held => ("the rule held".to_owned(), 0),
        Verdict::Broken => ("the rule was broken".to_owned(), 1),
        Verdict::CouldNotRun(why) => (format!("the case could not run: {why}"), 2),
    };
    platform.record.note(format!("timers ran {} ms late at most", lateness()));
    platform.record.note(&*text);
    platform.record.write(&platform.folder);
    println!("{case}: {text}");
    std::process::exit(status);
}

//! A newer process takes over from an older one: under load, and with either of them dying at an awkward moment.

mod player;

use std::collections::{BTreeMap, HashMap};
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{TcpListener, TcpStream};
use std::os::unix::net::{UnixListener, UnixStream};
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use player::{Program, address, platform, port, target};

/// Far above any wait that is meant.
const TIMEOUT: Duration = Duration::from_secs(20);

/// A client at work: how many of its requests were answered, and which were not.
type Asking = std::thread::JoinHandle<(u32, Vec<String>)>;

/// The head of a message and its body, whichever way it is framed; none at the end of the connection.
fn message(from: &mut impl BufRead) -> Option<(String, Vec<u8>)> {
    let (mut head, mut body) = (String::new(), Vec::new());
    while !head.ends_with("\r\n\r\n") {
        if from.read_line(&mut head).ok()? == 0 {
            return None;
        }
    }
    let lower = head.to_lowercase();
    let length = lower.lines().find_map(|l| l.strip_prefix("content-length: ")?.parse().ok());
    if lower.contains("transfer-encoding: chunked") {
        loop {
            let mut size = String::new();
            from.read_line(&mut size).ok()?;
            let mut chunk = vec![0; usize::from_str_radix(size.trim(), 16).ok()? + 2];
            from.read_exact(&mut chunk).ok()?;
            if chunk.len() == 2 {
                break;
            }
            body.extend_from_slice(&chunk[..chunk.len() - 2]);
        }
    } else {
        body.resize(length.unwrap_or(0), 0);
        from.read_exact(&mut body).ok()?;
    }
    Some((head, body))
}

/// Answers each message of each connection until the test ends.
fn answering(addr: String, answer: impl Fn(&str, &mut TcpStream) + Send + Sync + 'static) {
    let (listener, answer) = (TcpListener::bind(addr).expect("a free address"), Arc::new(answer));
    std::thread::spawn(move || {
        for mut socket in listener.incoming().flatten() {
            let answer = answer.clone();
            std::thread::spawn(move || {
                let mut lines = BufReader::new(socket.try_clone().expect("a second handle"));
                while let Some((head, _)) = message(&mut lines) {
                    answer(&head, &mut socket);
                }
            });
        }
    });
}

/// A fleet on loopback: discovery, one reader, one writer, and a count of what came to the writer by request.
struct Fleet {
    base: String,
    /// Discovery answers nothing.
    is_silent: Arc<AtomicBool>,
    written: Arc<Mutex<HashMap<String, u32>>>,
    config: PathBuf,
    folder: PathBuf,
}

impl Fleet {
    fn start() -> Self {
        let base = address();
        let list = ["r1", "w1", "w2"].map(|name| target(&base, name, "Ready")).join(",");
        let whole = format!(r#"{{"version":1,"full":true,"servers":[{list}]}}"#);
        let is_silent = Arc::<AtomicBool>::default();
        let silent = is_silent.clone();
        answering(format!("{base}:8500"), move |head, socket| {
            while silent.load(Ordering::Relaxed) {
                std::thread::sleep(Duration::from_millis(5));
            }
            let followed = head.contains("follow=1");
            let _ = match followed {
                false => write!(socket, "HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{whole}", whole.len()),
                true => write!(socket, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\n\n\r\n"),
            };
            while followed && write!(socket, "1\r\n\n\r\n").is_ok() {
                std::thread::sleep(Duration::from_secs(2));
            }
        });
        let written = Arc::new(Mutex::new(HashMap::new()));
        for name in ["r1", "w1", "w2"] {
            let written = written.clone();
            answering(format!("{base}:{}", port(name)), move |head, socket| {
                let _ = match (name, head.starts_with("POST")) {
                    (_, false) => write!(socket, "HTTP/1.1 204 No Content\r\n\r\n"),
                    ("r1", _) => write!(
                        socket,
                        "HTTP/1.1 202 OK\r\nContent-Length: 19\r\n\r\n{{\"cached_tokens\":10}}"
                    )
                    .and_then(|()| socket.flush()),
                    _ => {
                        let id = head.lines().find_map(|l| l.strip_prefix("request-id: ")).unwrap_or("");
                        *written.lock().expect("no panic").entry(id.to_owned()).or_insert(0) += 1;
                        let event = "data: {\"choices\":[{\"delta\":{\"content\":\"x\"}}]}\n\n";
                        let done = "data: [DONE]\n\n";
                        write!(
                            socket,
                            "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: \
                             chunked\r\n\r\n{:x}\r\n{event}\r\n{:x}\r\n{done}\r\n0\r\n\r\n",
                            event.len(),
                            done.len()
                        )
                    }
                };
            });
        }
        let config = platform(&base);
        let folder = config.parent().expect("a folder").to_owned();
        Fleet { base, is_silent, written, config, folder }
    }

    fn meeting_place(&self) -> PathBuf {
        self.folder.join("handover-n1")
    }

    /// Starts a process whose operators call at this port.
    fn process(&self, port: u32) -> Program {
        let operator = format!("{}:{port}", self.base);
        let vars =
            [("LB_CONFIG", &*self.config), ("TMPDIR", &*self.folder), ("LB_OPERATOR", Path::new(&operator))];
        let mut program = Program::start(&self.base, &[], &vars).leaving_files();
        program.logs("operators call at");
        program
    }

    fn call(&self, port: u32, method: &str, path: &str) -> String {
        let mut socket = TcpStream::connect(format!("{}:{port}", self.base)).expect("it listens");
        let _ = write!(socket, "{method} {path} HTTP/1.1\r\nHost: o\r\n\r\n");
        let mut answer = String::new();
        let _ = socket.read_to_string(&mut answer);
        answer
    }

    /// Waits until the process at this port can serve.
    fn serves(&self, port: u32) {
        let begun = std::time::Instant::now();
        while !self.call(port, "GET", "/healthcheck").starts_with("HTTP/1.1 200") {
            assert!(begun.elapsed() < TIMEOUT, "never serves");
        }
    }

    /// One request on a new connection, answered whole.
    fn asks(&self, id: &str) -> bool {
        let mut client = Client { base: self.base.clone(), line: None };
        client.ask(id, "climb-query")
    }

    /// Asks over and over from several clients until the result is told to stop; it gives back what was lost.
    fn load(&self) -> (Arc<AtomicBool>, Vec<Asking>) {
        static NEXT: AtomicU32 = AtomicU32::new(1);
        let stop = Arc::new(AtomicBool::new(false));
        let clients = (0..6).map(|n| {
            let (base, stop) = (self.base.clone(), stop.clone());
            std::thread::spawn(move || {
                let mut client = Client { base, line: None };
                let (mut answered, mut lost) = (0, Vec::new());
                while !stop.load(Ordering::Relaxed) {
                    let id = format!("{:x}", NEXT.fetch_add(1, Ordering::Relaxed));
                    // Half of the clients keep their connections.
                    if n % 2 == 0 {
                        client.line = None;
                    }
                    let class = if answered % 3 == 0 { "route-save" } else { "climb-query" };
                    if client.ask(&id, class) {
                        answered += 1;
                    } else {
                        lost.push(id);
                    }
                }
                (answered, lost)
            })
        });
        let clients = clients.collect();
        (stop, clients)
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

fn request_text(id: &str, class: &str) -> String {
    format!(
        "POST /v1/chat/completions HTTP/1.1\r\nHost: app.svc\r\nRequest-Id: {id}\r\nRequest-Class: {class}\r\n\
         Request-Timeout-Ms: 6000\r\nRequest-Info: prompt_len=400,max_out=40\r\nContent-Length: 2\r\n\r\n{{}}"
    )
}

struct Client {
    base: String,
    line: Option<BufReader<TcpStream>>,
}

impl Client {
    /// Sends a request, once more on a new connection if a kept one was closed over it; whether it was answered whole.
    fn ask(&mut self, id: &str, class: &str) -> bool {
        let text = request_text(id, class);
        loop {
            let kept = self.line.is_some();
            let line = self.line.take().or_else(|| {
                let socket = TcpStream::connect(format!("{}:8081", self.base)).ok()?;
                socket.set_read_timeout(Some(TIMEOUT)).ok()?;
                Some(BufReader::new(socket))
            });
            let Some(mut line) = line else { return false };
            let sent = line.get_mut().write_all(text.as_bytes()).is_ok();
            match message(&mut line).filter(|_| sent) {
                Some((head, body)) => {
                    if !head.to_lowercase().contains("connection: close") {
                        self.line = Some(line);
                    }
                    return head.starts_with("HTTP/1.1 200") && body.ends_with(b"[DONE]\n\n");
                }
                None if kept => continue,
                None => return false,
            }
        }
    }
}

fn all_answered(clients: Vec<Asking>) -> u32 {
    let ended = clients.into_iter().map(|client| client.join().expect("no panic"));
    let (answered, lost): (Vec<_>, Vec<_>) = ended.unzip();
    assert!(lost.iter().all(Vec::is_empty), "lost {lost:?}");
    answered.iter().sum()
}

#[test]
fn no_request_is_lost_in_two_upgrades_in_a_row_under_load() {
    let fleet = Fleet::start();
    let mut older = fleet.process(8_082);
    fleet.serves(8_082);
    let (stop, clients) = fleet.load();
    assert!(fleet.call(8_082, "POST", "/instances/w2/maint").contains("200 OK"));
    for port in [8_083, 8_084] {
        let mut newer = fleet.process(port);
        fleet.serves(port);
        newer.logs("readiness: serving");
        older.logs("readiness: handing over");
        older.signal("TERM");
        older.ended(true);
        assert!(fleet.call(port, "GET", "/status").contains("\"w2\""), "the ban goes over");
        older = newer;
    }
    assert!(fleet.call(8_084, "POST", "/instances/w2/ready").contains("200 OK"));
    stop.store(true, Ordering::Relaxed);
    assert!(all_answered(clients) > 20);
    let written = fleet.written.lock().expect("no panic");
    let twice: BTreeMap<_, _> = written.iter().filter(|(_, times)| **times != 1).collect();
    assert!(twice.is_empty(), "ran more than once: {twice:?}");
    drop(written);
    older.end();
}

#[test]
fn the_older_told_to_end_early_or_late_loses_nothing() {
    for late in [false, true] {
        let fleet = Fleet::start();
        let mut older = fleet.process(8_082);
        fleet.serves(8_082);
        let (stop, clients) = fleet.load();
        let mut newer = fleet.process(8_083);
        // Early: before anybody has heard the newer one's yes.
        if late {
            fleet.serves(8_083);
            older.logs("readiness: handing over");
        }
        older.signal("TERM");
        older.ended(true);
        fleet.serves(8_083);
        newer.logs("the older process is gone");
        stop.store(true, Ordering::Relaxed);
        all_answered(clients);
        newer.end();
    }
}

/// A client of the older process that says nothing for long, as that is told to end: what it then asks for is not sent on, and
/// may be repeated at the newer one.
#[test]
fn what_reaches_the_older_late_in_its_shutdown_is_refused_unsent() {
    let fleet = Fleet::start();
    let mut older = fleet.process(8_082);
    fleet.serves(8_082);
    let mut silent = TcpStream::connect(format!("{}:8081", fleet.base)).expect("it listens");
    silent.set_read_timeout(Some(TIMEOUT)).expect("a socket's option");
    // Taken from the queue behind it, so that the silent one is the older process's.
    assert!(fleet.asks("a1"));
    let mut newer = fleet.process(8_083);
    older.logs("readiness: handing over");
    older.signal("TERM");
    older.logs("shutdown: begun");
    std::thread::sleep(Duration::from_millis(650));
    let _ = silent.write_all(request_text("b1", "climb-query").as_bytes());
    let mut lines = BufReader::new(silent);
    let answer = message(&mut lines);
    assert!(answer.is_none_or(|(head, _)| head.starts_with("HTTP/1.1 429")));
    older.ended(true);
    assert_eq!(fleet.written.lock().expect("no panic").get("b1"), None, "it was sent on");
    assert!(fleet.asks("b1"));
    newer.logs("the older process is gone");
    newer.end();
}

#[test]
fn what_operators_say_to_either_process_reaches_the_other() {
    let fleet = Fleet::start();
    let mut older = fleet.process(8_082);
    fleet.serves(8_082);
    let mut newer = fleet.process(8_083);
    older.logs("readiness: handing over");
    assert!(fleet.call(8_083, "POST", "/instances/w1/maint").contains("200 OK"));
    older.logs("operator: w1 is out for maintenance");
    assert!(fleet.call(8_082, "POST", "/instances/w1/ready").contains("200 OK"));
    newer.logs("operator: w1 is back");
    assert!(fleet.call(8_082, "POST", "/healthcheck/fail").contains("200 OK"));
    newer.logs("readiness: drained");
    older.signal("TERM");
    older.ended(true);
    newer.logs("the older process is gone");
    newer.end();
}

/// Guards against an operator's word at a newer process that still starts, and that never reaches the older one, which sends on.
#[test]
fn what_operators_say_to_a_newer_process_that_still_starts_reaches_the_older() {
    let fleet = Fleet::start();
    let mut older = fleet.process(8_082);
    fleet.serves(8_082);
    fleet.is_silent.store(true, Ordering::Relaxed);
    // Without a word of discovery it waits for a second before it serves.
    let mut newer = fleet.process(8_083);
    assert!(fleet.call(8_083, "POST", "/instances/w1/maint").contains("200 OK"));
    assert!(!fleet.call(8_083, "GET", "/healthcheck").contains("200 OK"), "it serves too soon for this test");
    older.logs("operator: w1 is out for maintenance");
    assert!(fleet.call(8_082, "POST", "/instances/w2/maint").contains("200 OK"));
    newer.logs("operator: w2 is out for maintenance");
    assert!(fleet.call(8_083, "POST", "/instances/w2/ready").contains("200 OK"));
    older.logs("operator: w2 is back");
    assert!(!fleet.call(8_083, "GET", "/healthcheck").contains("200 OK"), "it serves too soon for this test");
    fleet.is_silent.store(false, Ordering::Relaxed);
    newer.logs("readiness: serving");
    older.logs("readiness: handing over");
    older.signal("TERM");
    older.ended(true);
    newer.logs("the older process is gone");
    newer.end();
}

#[test]
fn the_newer_goes_on_when_the_older_is_killed_midway() {
    let fleet = Fleet::start();
    let mut older = fleet.process(8_082);
    fleet.serves(8_082);
    let mut newer = fleet.process(8_083);
    older.logs("readiness: handing over");
    older.signal("KILL");
    older.ended(false);
    newer.logs("the older process is gone");
    assert!(fleet.asks("a1"));
    newer.end();
}

/// Plays the newer process up to the point where it has all that is handed over.
fn pretends(fleet: &Fleet, version: u32) -> (UnixStream, u8, String) {
    let mut link = UnixStream::connect(fleet.meeting_place()).expect("it is offered");
    let listen = format!("{}:8081", fleet.base);
    let _ = writeln!(link, r#"{{"hello":{{"version":{version},"name":"n1","listen":"{listen}"}}}}"#);
    let (mut first, mut line) = ([0], String::new());
    link.read_exact(&mut first).expect("an answer");
    let mut lines = BufReader::new(link.try_clone().expect("a second handle"));
    lines.read_line(&mut line).expect("a line");
    (link, first[0], line)
}

#[test]
fn the_older_serves_on_when_the_newer_dies_before_or_after_its_yes() {
    let fleet = Fleet::start();
    let mut older = fleet.process(8_082);
    fleet.serves(8_082);
    let (link, first, state) = pretends(&fleet, 1);
    assert!(first == b'L' && state.contains("membership"), "{state}");
    older.logs("a newer process has what there is");
    drop(link);
    older.logs("the newer process is gone");
    assert!(fleet.asks("a1"));

    let (mut link, ..) = pretends(&fleet, 1);
    let _ = writeln!(link, "\"serves\"");
    older.logs("readiness: handing over");
    drop(link);
    older.logs("readiness: serving, was handing over");
    assert!(fleet.asks("a2"));
    older.end();
}

/// Guards against an upgrade that fails and leaves the next one without maintenance and drain: the newer process serves, is killed,
/// and the older one is found again by the process that is started then.
#[test]
fn what_operators_said_outlives_a_newer_process_that_is_killed() {
    let fleet = Fleet::start();
    let mut older = fleet.process(8_082);
    fleet.serves(8_082);
    assert!(fleet.call(8_082, "POST", "/instances/w2/maint").contains("200 OK"));
    for (killed_port, next_port) in [(8_083, 8_084), (8_085, 8_086)] {
        let mut killed = fleet.process(killed_port);
        older.logs("readiness: handing over");
        killed.signal("KILL");
        killed.ended(false);
        older.logs("handover: offered again");
        let mut next = fleet.process(next_port);
        next.logs("readiness: serving");
        assert!(fleet.call(next_port, "GET", "/status").contains("\"w2\""), "the ban goes over");
        older.signal("TERM");
        older.ended(true);
        next.logs("the older process is gone");
        older = next;
    }
    older.end();
}

#[test]
fn another_version_gets_nothing_and_is_told_why() {
    let fleet = Fleet::start();
    let mut older = fleet.process(8_082);
    fleet.serves(8_082);
    let (_, first, refusal) = pretends(&fleet, 7);
    assert!(first == b'N' && refusal.contains("version 7 is not 1"), "{refusal}");
    older.logs("not given");
    assert!(fleet.asks("a1"));
    older.end();
}

#[test]
fn stale_silent_and_foreign_files_hinder_no_start() {
    let fleet = Fleet::start();
    let place = fleet.meeting_place();
    // A plain file; a socket that nobody listens at any more; one that says what nobody asked for; a silent one.
    std::fs::write(&place, "foreign").expect("a file");
    for round in 0..4 {
        let stranger = if round == 0 {
            None
        } else {
            std::fs::remove_file(&place).expect("the last one's");
            Some(UnixListener::bind(&place).expect("a socket"))
        };
        let stranger = match (round, stranger) {
            (1, stranger) => {
                drop(stranger);
                None
            }
            (2, Some(stranger)) => {
                std::thread::spawn(move || {
                    let (mut link, _) = stranger.accept().expect("the program");
                    let _ = writeln!(link, "L{{\"state\":5}}");
                });
                None
            }
            (_, stranger) => stranger,
        };
        let mut program = fleet.process(8_082);
        program.logs("handover: nothing taken over");
        fleet.serves(8_082);
        assert!(fleet.asks(&format!("a{round}")));
        drop(stranger);
        program.end();
    }
}

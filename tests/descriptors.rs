//! A process at its limit of descriptors: idle and silent clients fill it while discovery is down, and it serves, hears
//! discovery again and keeps what that told. Real processes, a real limit.

mod player;

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{Shutdown, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

const FILES: u32 = 160;

/// Discovery as an agent: one watch with a line now and then; while it is down it takes calls and answers none.
#[derive(Clone, Default)]
struct Agent {
    down: Arc<AtomicBool>,
    list: Arc<Mutex<(u64, String)>>,
    held: Arc<Mutex<Vec<TcpStream>>>,
}

impl Agent {
    fn listen(&self, base: &str) {
        let listener = TcpListener::bind(format!("{base}:8500")).expect("a free address");
        let agent = self.clone();
        std::thread::spawn(move || {
            for socket in listener.incoming().flatten() {
                let agent = agent.clone();
                std::thread::spawn(move || agent.answer(socket));
            }
        });
    }

    fn answer(&self, mut socket: TcpStream) -> Option<()> {
        let mut head = String::new();
        let mut reader = BufReader::new(socket.try_clone().ok()?);
        while reader.read_line(&mut head).is_ok_and(|n| n > 2) {}
        if self.down.load(Ordering::SeqCst) {
            // Open until the caller gives up.
            let _ = reader.read_to_string(&mut head);
            return None;
        }
        let (version, list) = self.list.lock().ok()?.clone();
        let whole = format!("{{\"version\":{version},\"full\":true,\"servers\":[{list}]}}\n");
        if !head.contains("follow=1") {
            return write!(socket, "HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{whole}", whole.len()).ok();
        }
        write!(socket, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n").ok()?;
        write!(socket, "{:x}\r\n{whole}\r\n", whole.len()).ok()?;
        self.held.lock().ok()?.push(socket);
        Some(())
    }

    fn goes_down(&self) {
        self.down.store(true, Ordering::SeqCst);
        let mut held = self.held.lock().expect("the watches");
        held.drain(..).for_each(|watch| drop(watch.shutdown(Shutdown::Both)));
    }

    fn comes_back(&self, version: u64, list: String) {
        *self.list.lock().expect("the list") = (version, list);
        self.down.store(false, Ordering::SeqCst);
    }
}

/// An instance that reads or writes at once and counts the requests that begin there.
fn instance(base: &str, name: &'static str) -> Arc<AtomicU32> {
    let listener = TcpListener::bind(format!("{base}:{}", player::port(name))).expect("a free address");
    let begun = Arc::<AtomicU32>::default();
    let counted = begun.clone();
    std::thread::spawn(move || {
        for socket in listener.incoming().flatten() {
            let counted = counted.clone();
            std::thread::spawn(move || serve(socket, name, &counted));
        }
    });
    begun
}

fn serve(socket: TcpStream, name: &str, begun: &AtomicU32) -> Option<()> {
    let mut out = socket.try_clone().ok()?;
    let mut reader = BufReader::new(socket);
    loop {
        let (mut head, mut length) = (String::new(), 0);
        while !head.ends_with("\r\n\r\n") {
            let from = head.len();
            reader.read_line(&mut head).ok().filter(|&n| n > 0)?;
            if let Some(value) = head[from..].to_lowercase().strip_prefix("content-length:") {
                length = value.trim().parse().ok()?;
            }
        }
        reader.read_exact(&mut vec![0; length]).ok()?;
        if head.starts_with("DELETE") {
            out.write_all(b"HTTP/1.1 204 No Content\r\n\r\n").ok()?;
            continue;
        }
        begun.fetch_add(1, Ordering::SeqCst);
        out.write_all(if name.starts_with('r') {
            b"HTTP/1.1 202 Accepted\r\nContent-Length: 19\r\n\r\n{\"cached_tokens\":0}".as_slice()
        } else {
            b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n18\r\ndata: {}\n\ndata: [DONE]\n\n\r\n0\r\n\r\n"
        })
        .ok()?;
    }
}

/// One request on a connection of its own: the status, or none where the connection closed without an answer.
fn ask(base: &str, id: &str) -> Option<u32> {
    let socket = TcpStream::connect(format!("{base}:8081")).ok()?;
    let mut out = socket.try_clone().ok()?;
    write!(
        out,
        "POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nRequest-Id: {id}\r\nRequest-Class: climb-query\r\n\
         Request-Timeout-Ms: 2000\r\nRequest-Info: prompt_len=400,max_out=10\r\nContent-Length: 2\r\n\r\n{{}}"
    )
    .ok()?;
    let mut line = String::new();
    BufReader::new(socket).read_line(&mut line).ok()?;
    line.split(' ').nth(1)?.parse().ok()
}

/// Asks until the answer is this; clients that found no room come again.
fn ask_until(base: &str, name: &str, wanted: u32) {
    let tried = (0..400).map(|n| ask(base, &format!("{name}{n}")));
    let tried = tried.scan(false, |done, got| {
        let go_on = !*done;
        *done = got == Some(wanted);
        go_on.then_some(got)
    });
    let tried = tried.collect::<Vec<_>>();
    assert_eq!(tried.last(), Some(&Some(wanted)), "{tried:?}");
}

#[test]
fn idle_clients_fill_the_descriptors_while_discovery_is_down() {
    let base = player::address();
    let (_reads, writes) = (instance(&base, "r1"), instance(&base, "w1"));
    let list = |state| [player::target(&base, "r1", "Ready"), player::target(&base, "w1", state)].join(",");
    let agent = Agent::default();
    agent.comes_back(1, list("Ready"));
    agent.listen(&base);
    // The configuration allows more than the system gives.
    let config = player::platform(&base);
    let mut program = player::Program::limited(&base, FILES, &[("LB_CONFIG", &config)]);
    program.logs("ready, with");

    // Many more clients than there is room: some say nothing, some ask once and rest, and who is closed comes again.
    let over = Arc::<AtomicBool>::default();
    let (silent, idle) = (Arc::<AtomicU32>::default(), Arc::<AtomicU32>::default());
    let clients: Vec<_> = (0..2 * FILES)
        .map(|n| {
            let (over, base) = (over.clone(), base.clone());
            let met = if n % 2 == 0 { silent.clone() } else { idle.clone() };
            std::thread::spawn(move || {
                while !over.load(Ordering::SeqCst) {
                    let Ok(mut socket) = TcpStream::connect(format!("{base}:8081")) else { continue };
                    let _ = socket.set_read_timeout(Some(Duration::from_millis(500)));
                    let asked =
                        n % 2 == 0 || write!(socket, "GET /-/ready HTTP/1.1\r\nHost: x\r\n\r\n").is_ok();
                    met.fetch_add(u32::from(asked), Ordering::SeqCst);
                    let mut some = [0; 512];
                    while matches!(socket.read(&mut some), Ok(1..)) {}
                }
            })
        })
        .collect();
    while silent.load(Ordering::SeqCst) < FILES || idle.load(Ordering::SeqCst) < FILES {
        std::thread::yield_now();
    }
    agent.goes_down();
    program.logs("discovery: watch lost");
    ask_until(&base, "down", 200);
    let before = writes.load(Ordering::SeqCst);
    agent.comes_back(2, list("Terminating"));
    program.logs("discovery: heard again");
    ask_until(&base, "back", 429);
    assert_eq!(writes.load(Ordering::SeqCst), before, "a leaving server got a request");
    over.store(true, Ordering::SeqCst);
    clients.into_iter().for_each(|client| client.join().expect("a client"));
    let log = program.end();
    assert!(!log.contains("cannot accept"), "{log}");
}

/// A program with a reader and a writer, and what has begun at each.
fn started(base: &str) -> (player::Program, [Arc<AtomicU32>; 2]) {
    let begun = ["r1", "w1"].map(|name| instance(base, name));
    let agent = Agent::default();
    agent.comes_back(1, ["r1", "w1"].map(|name| player::target(base, name, "Ready")).join(","));
    agent.listen(base);
    let config = player::platform(base);
    let mut program = player::Program::limited(base, FILES, &[("LB_CONFIG", &config)]);
    program.logs("ready, with");
    (program, begun)
}

/// Clients that use one id all at once, amid others that begin a head and stop: it runs once, each is answered, a neighbour is
/// served.
#[test]
fn a_flood_of_one_id_and_of_half_heads_runs_it_once() {
    let base = player::address();
    let (program, begun) = started(&base);
    let half = |_| {
        let mut socket = TcpStream::connect(format!("{base}:8081")).ok()?;
        socket.write_all(b"POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nRequest-Id: sa").ok()?;
        Some(socket)
    };
    let heads: Vec<_> = (0..2 * FILES).filter_map(half).collect();
    // Who finds no room comes again.
    let same = |base: &str| (0..400).find_map(|_| ask(base, "same").filter(|status| *status != 429));
    let client = |_| {
        let base = base.clone();
        std::thread::spawn(move || same(&base))
    };
    let clients: Vec<_> = (0..64).map(client).collect();
    let told: Vec<_> = clients.into_iter().map(|client| client.join().expect("a client")).collect();
    let count = |status| told.iter().filter(|told| **told == Some(status)).count();
    assert_eq!((count(200), count(409)), (1, 63), "{told:?}");
    assert_eq!(begun.each_ref().map(|begun| begun.load(Ordering::SeqCst)), [1, 1]);
    ask_until(&base, "other", 200);
    assert_eq!(same(&base), Some(409), "its end was forgotten");
    drop(heads);
    program.end();
}

#[test]
fn a_process_without_descriptors_for_new_clients_says_so_once_and_serves_on() {
    let base = player::address();
    let (mut program, _begun) = started(&base);
    let mut old = TcpStream::connect(format!("{base}:8081")).expect("it listens");
    let mut ready = |number: u32| {
        write!(old, "GET /-/ready HTTP/1.1\r\nHost: x\r\n\r\n").expect("it reads");
        let mut answer = [0; 1_024];
        let got = old.read(&mut answer).expect("it answers");
        assert!(answer[..got].starts_with(b"HTTP/1.1 200"), "answer {number}");
    };
    ready(0);
    program.files(1, FILES);
    let waiting = TcpStream::connect(format!("{base}:8081")).expect("the system takes it in");
    program.logs("cannot accept");
    // Several tries later what is open is served as before.
    (1..20).for_each(|number| {
        std::thread::sleep(Duration::from_millis(10));
        ready(number);
    });
    program.files(FILES, FILES);
    program.logs("accepted again");
    drop((waiting, old));
    ask_until(&base, "again", 200);
    let log = program.end();
    assert_eq!(log.matches("cannot accept").count(), 1, "{log}");
}

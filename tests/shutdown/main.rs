//! The real program on loopback, told to end by SIGTERM and killed at the soonest moment at which the platform may: each
//! request that comes meanwhile is answered before, or its connection is closed so that its client may repeat it.

mod around;
mod checker;
mod clients;
mod held_up;
#[path = "../player/mod.rs"]
mod player;
mod slow_clients;
mod stand_ins;
mod verdict;

use std::io::Write;
use std::net::TcpStream;
use std::path::{Path, PathBuf};
use std::sync::mpsc::channel;
use std::time::{Duration, Instant};

use clients::{Arrival, Client, Front, Start};
use player::{Program, address, discovery, file, port, target};
use serde_json::{Value, json};
use stand_ins::{Behaviour, Record, reader, writer};
use verdict::{Exchange, Forwarded, Got, Times, fault, soonest_kill};

const READERS: [&str; 2] = ["r1", "r2"];
const WRITERS: [&str; 4] = ["w1", "w2", "w3", "w4"];
/// Times after SIGTERM at which requests come, in milliseconds: some on each side of every step of a shutdown.
const MOMENTS_MS: [u64; 9] = [50, 250, 450, 550, 650, 900, 1_400, 2_000, 3_000];
/// New connections come for so long after SIGTERM.
const CONNECTIONS_COME_MS: u64 = 400;
/// The last moment in which a request comes, before SIGKILL.
const LAST_MOMENT: Duration = Duration::from_millis(60);

/// How the process stands before it is told to end.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Standing {
    /// Alone.
    Alone,
    /// Drained by its operators a moment before.
    Drained,
    /// One of conductors that know one another.
    Clustered,
}

/// A fleet in which all goes as one test wants it.
#[derive(Clone, Copy)]
struct Scenario {
    front: Front,
    deadline: Duration,
    behaviour: Behaviour,
    standing: Standing,
    /// The level of the program's log.
    log_level: &'static str,
}

/// The platform's configuration with this longest deadline for all classes.
fn configuration(base: &str, deadline: Duration) -> PathBuf {
    let text = include_str!("../exchanges/settings.json");
    let mut settings: Value = serde_json::from_str(text).expect("settings");
    for lane in settings["lanes"].as_array_mut().expect("classes") {
        lane["deadline"] = json!(deadline.as_millis() as f64);
        lane["objective"] = json!(deadline.as_millis() as f64 / 2.0);
    }
    let config = json!({
        "name": "n1", "listen": format!("{base}:8081"), "discovery": format!("{base}:8500"), "seed": "1f",
        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024}, "settings": settings,
    });
    file(base, "config.json", &config.to_string())
}

/// The file of a cluster that this conductor founds alone.
fn cluster_file(base: &str) -> PathBuf {
    let peer = format!("[[peers]]\nname = \"n1\"\naddress = \"{base}:8301\"\nsite = \"sejong-1\"\n");
    file(base, "cluster.toml", &format!("cluster = \"climb-assist\"\nstore = \"ledger.redb\"\n{peer}"))
}

/// Tells the process, as its operators, to send its clients away.
fn drain(base: &str) {
    let mut socket = TcpStream::connect(format!("{base}:8082")).expect("operators are heard");
    socket.write_all(b"POST /healthcheck/fail HTTP/1.1\r\nHost: o\r\n\r\n").expect("it reads");
    assert_eq!(clients::read_answer(&socket).0, Got::Answer { status: 200, whole: true });
}

/// The chat front's file with this deadline for all classes.
fn chat_file(base: &str, deadline: Duration) -> PathBuf {
    let path = player::chat(base, &WRITERS, "");
    let text = std::fs::read_to_string(&path).expect("its file");
    let with_deadline = |line: &str| match line.split_once(" = ") {
        Some(("deadline_ms", _)) => format!("deadline_ms = {}", deadline.as_millis()),
        Some(("first_token_ms", _)) => format!("first_token_ms = {}", deadline.as_millis() / 2),
        _ => line.to_owned(),
    };
    let text: Vec<_> = text.lines().map(with_deadline).collect();
    file(base, "chat.toml", &text.join("\n"))
}

impl Scenario {
    fn kill_after(&self) -> Duration {
        soonest_kill(self.deadline)
    }

    fn port(&self) -> u32 {
        if self.front == Front::Platform { 8_081 } else { 8_090 }
    }

    fn start(&self, base: &str, record: &Record) -> Program {
        for name in READERS.iter().filter(|_| self.front == Front::Platform) {
            reader(&format!("{base}:{}", port(name)), record);
        }
        for name in WRITERS {
            writer(&format!("{base}:{}", port(name)), record, self.behaviour);
        }
        if self.front != Front::Platform {
            let path = chat_file(base, self.deadline);
            let mut program = Program::start(base, &["--chat", &path.to_string_lossy()], &[]);
            program.logs("chat front listens on");
            return program;
        }
        let list = READERS.iter().chain(&WRITERS).map(|name| target(base, name, "Ready"));
        let told = discovery(base, list.collect::<Vec<_>>().join(","));
        let (config, operators) = (configuration(base, self.deadline), format!("{base}:8082"));
        let vars = [
            ("LB_CONFIG", &*config),
            ("LB_OPERATOR", Path::new(&operators)),
            ("CROFTSILL_LOG", Path::new(self.log_level)),
        ];
        let cluster = cluster_file(base);
        let words = ["--cluster", &*cluster.to_string_lossy()];
        let words = if self.standing == Standing::Clustered { &words[..] } else { &[] };
        let mut program = Program::start(base, words, &vars);
        program.logs("ready, with");
        // Discovery lives as long as the test.
        std::mem::forget(told);
        program
    }

    fn arrivals(&self) -> Vec<Arrival> {
        let last = self.kill_after() - LAST_MOMENT;
        let moments: Vec<_> =
            MOMENTS_MS.map(Duration::from_millis).into_iter().filter(|at| *at < last).chain([last]).collect();
        let soon = Duration::from_millis(300);
        let late = Duration::from_millis(CONNECTIONS_COME_MS - 10);
        // A whole answer that is waited for at SIGTERM is as a stream that runs: SIGKILL may cut it.
        let mut arrivals = if self.front == Front::ChatWhole { vec![] } else { vec![Arrival::Before] };
        arrivals.extend(moments.iter().map(|&at| Arrival::Kept { at }));
        arrivals.extend([soon, late].map(|at| Arrival::New { at }));
        arrivals.extend(moments.iter().map(|&at| Arrival::Silent { opened: None, at }));
        let after = |from: Duration| moments.iter().copied().filter(move |at| *at > from);
        arrivals.extend(after(late).map(|at| Arrival::Silent { opened: Some(late), at }));
        arrivals.extend(after(soon).map(|rest| Arrival::HeadInTwo { first: soon, rest }));
        arrivals.extend(after(soon).map(|rest| Arrival::BodyInTwo { first: soon, rest }));
        arrivals
    }

    /// Plays it: each arrival as one client's, SIGTERM, SIGKILL.
    fn play(&self) -> Played {
        let (base, record) = (address(), Record::default());
        let program = self.start(&base, &record);
        let (start, (ready, is_ready)) = (Start::default(), channel());
        let clients = self.arrivals().into_iter().enumerate().map(|(number, arrival)| Client {
            address: format!("{base}:{}", self.port()),
            front: self.front,
            arrival,
            marker: format!("{number}"),
            unsafe_to_repeat: number % 2 == 1,
            deadline: self.deadline,
        });
        let running: Vec<_> = clients
            .map(|client| {
                let (start, ready) = (start.clone(), ready.clone());
                let arrival = client.arrival;
                let live = move || client.run(&start, move || ready.send(()).expect("the test waits"));
                (arrival, std::thread::spawn(live))
            })
            .collect();
        // A client that fails is noticed and not waited for.
        drop(ready);
        running.iter().for_each(|_| is_ready.recv().expect("a client"));
        if self.standing == Standing::Drained {
            drain(&base);
        }
        program.signal("TERM");
        let told = Instant::now();
        start.tell(told);
        std::thread::sleep((told + self.kill_after()).saturating_duration_since(Instant::now()));
        let times = Times { told, killed: Instant::now() };
        program.kill();
        let exchanges = running.into_iter().filter_map(|(arrival, client)| {
            let exchange = client.join().expect("no panic")?;
            Some((arrival, exchange))
        });
        Played { exchanges: exchanges.collect(), forwarded: record.forwarded(), times }
    }
}

/// What came of a scenario.
struct Played {
    exchanges: Vec<(Arrival, Exchange)>,
    forwarded: Forwarded,
    times: Times,
}

impl Played {
    /// Nothing that was read is lost, and the test has shown something.
    fn check(&self) {
        let faults: Vec<_> = self
            .exchanges
            .iter()
            .filter_map(|(arrival, exchange)| {
                let what = fault(exchange, &self.forwarded, self.times)?;
                let sent = exchange.sent.map(|at| at.saturating_duration_since(self.times.told));
                Some(format!("{what}: {arrival:?}, sent at {sent:?}, got {:?}", exchange.got))
            })
            .collect();
        assert!(faults.is_empty(), "{} of {}:\n{}", faults.len(), self.exchanges.len(), faults.join("\n"));
        assert!(!self.forwarded.at_writers.is_empty(), "nothing was forwarded");
    }
}

impl Scenario {
    fn new(front: Front, deadline_ms: u64, behaviour: Behaviour) -> Self {
        let deadline = Duration::from_millis(deadline_ms);
        Scenario { front, deadline, behaviour, standing: Standing::Alone, log_level: "info" }
    }
}

fn check(front: Front, deadline_ms: u64, behaviour: Behaviour) {
    Scenario::new(front, deadline_ms, behaviour).play().check();
}

fn check_standing(standing: Standing) {
    let scenario = Scenario::new(Front::Platform, DEADLINES_MS[1], Behaviour::Endless);
    Scenario { standing, ..scenario }.play().check();
}

#[test]
fn a_process_that_was_drained_before() {
    check_standing(Standing::Drained);
}

#[test]
fn a_process_among_conductors_that_know_one_another() {
    check_standing(Standing::Clustered);
}

/// Of a deadline, the part after which a late instance answers.
fn late(deadline_ms: u64) -> Behaviour {
    Behaviour::After(Duration::from_millis(deadline_ms * 4 / 5))
}

/// Longest deadlines: well under a second, in between, and longer than what counts before SIGKILL.
const DEADLINES_MS: [u64; 3] = [400, 1_500, 5_000];

macro_rules! scenarios {
    ($($name:ident: $front:ident, $deadline:expr, $behaviour:expr;)*) => {$(
        #[test]
        fn $name() {
            check(Front::$front, $deadline, $behaviour);
        }
    )*};
}

scenarios! {
    short_deadlines_and_answers_at_once: Platform, DEADLINES_MS[0], Behaviour::AtOnce;
    short_deadlines_and_late_answers: Platform, DEADLINES_MS[0], late(DEADLINES_MS[0]);
    short_deadlines_and_no_answers: Platform, DEADLINES_MS[0], Behaviour::Never;
    short_deadlines_and_endless_streams: Platform, DEADLINES_MS[0], Behaviour::Endless;
    middling_deadlines_and_answers_at_once: Platform, DEADLINES_MS[1], Behaviour::AtOnce;
    middling_deadlines_and_late_answers: Platform, DEADLINES_MS[1], late(DEADLINES_MS[1]);
    middling_deadlines_and_no_answers: Platform, DEADLINES_MS[1], Behaviour::Never;
    middling_deadlines_and_endless_streams: Platform, DEADLINES_MS[1], Behaviour::Endless;
    long_deadlines_and_answers_at_once: Platform, DEADLINES_MS[2], Behaviour::AtOnce;
    long_deadlines_and_late_answers: Platform, DEADLINES_MS[2], late(DEADLINES_MS[2]);
    long_deadlines_and_no_answers: Platform, DEADLINES_MS[2], Behaviour::Never;
    long_deadlines_and_endless_streams: Platform, DEADLINES_MS[2], Behaviour::Endless;
    chat_with_short_deadlines_and_no_answers: ChatStream, DEADLINES_MS[0], Behaviour::Never;
    chat_with_middling_deadlines_and_late_answers: ChatStream, DEADLINES_MS[1], late(DEADLINES_MS[1]);
    chat_with_middling_deadlines_and_endless_streams: ChatStream, DEADLINES_MS[1], Behaviour::Endless;
    chat_with_long_deadlines_and_no_answers: ChatStream, DEADLINES_MS[2], Behaviour::Never;
    whole_chat_answers_with_middling_deadlines_that_come_late: ChatWhole, DEADLINES_MS[1], late(DEADLINES_MS[1]);
    whole_chat_answers_with_long_deadlines_that_never_come: ChatWhole, DEADLINES_MS[2], Behaviour::Never;
}

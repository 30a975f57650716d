//! What else happens around a shutdown: clients in the system's queue, bad input, further signals, operators' drains.

use std::io::Write;
use std::net::TcpStream;
use std::sync::mpsc::channel;
use std::time::{Duration, Instant};

use crate::clients::{Arrival, Client, Front, Start, read_answer};
use crate::player::{Program, address, file};
use crate::stand_ins::{Behaviour, Record};
use crate::verdict::{Got, Times, fault};
use crate::{DEADLINES_MS, Scenario};

const MS: Duration = Duration::from_millis(1);
/// Within which half a request that stops gets its error or its close.
const BAD_CLIENTS: Duration = Duration::from_secs(3);
/// Longer than any shutdown in which nothing is to be waited for takes.
const QUICK: Duration = Duration::from_millis(1_600);

/// A program, and where its clients connect.
pub struct Serving {
    pub program: Program,
    base: String,
    address: String,
    pub record: Record,
}

fn serving(front: Front, deadline_ms: u64, behaviour: Behaviour) -> Serving {
    serving_as(&Scenario::new(front, deadline_ms, behaviour))
}

/// Starts the program as a scenario has it.
pub fn serving_as(scenario: &Scenario) -> Serving {
    let (base, record) = (address(), Record::default());
    let program = scenario.start(&base, &record);
    let address = format!("{base}:{}", scenario.port());
    Serving { program, base, address, record }
}

impl Serving {
    pub fn client(&self, front: Front, arrival: Arrival, marker: &str) -> Client {
        Client {
            address: self.address.clone(),
            front,
            arrival,
            marker: marker.into(),
            unsafe_to_repeat: false,
            deadline: Duration::from_millis(DEADLINES_MS[2]),
        }
    }

    fn connect(&self) -> TcpStream {
        let socket = TcpStream::connect(&self.address).expect("it listens");
        socket.set_read_timeout(Some(Duration::from_secs(30))).expect("a socket's option");
        socket
    }

    pub fn terminate(&self) -> Instant {
        self.program.signal("TERM");
        Instant::now()
    }
}

/// The process is stopped, clients connect and send, and it goes on when the time for arrivals is over or nearly: each gets
/// an answer, and those of the last moment are not sent on.
#[test]
fn clients_that_wait_in_the_systems_queue_are_answered() {
    for (deadline_ms, stopped_for) in [(DEADLINES_MS[0], 150), (DEADLINES_MS[1], 400), (DEADLINES_MS[2], 400)]
    {
        let serving = serving(Front::Platform, deadline_ms, Behaviour::Never);
        let scenario = Scenario::new(Front::Platform, deadline_ms, Behaviour::Never);
        let (start, (ready, is_ready)) = (Start::default(), channel());
        let clients: Vec<_> = (0..10)
            .map(|n| {
                let client = Client {
                    deadline: scenario.deadline,
                    ..serving.client(Front::Platform, Arrival::New { at: 350 * MS }, &format!("{n}"))
                };
                let (start, ready) = (start.clone(), ready.clone());
                std::thread::spawn(move || {
                    client.run(&start, move || ready.send(()).expect("the test waits"))
                })
            })
            .collect();
        clients.iter().for_each(|_| is_ready.recv().expect("a client"));
        let told = serving.terminate();
        let until =
            |after: Duration| std::thread::sleep((told + after).saturating_duration_since(Instant::now()));
        until(300 * MS);
        serving.program.stop();
        start.tell(told);
        until((300 + stopped_for) * MS);
        serving.program.signal("CONT");
        until(scenario.kill_after());
        let times = Times { told, killed: Instant::now() };
        serving.program.kill();
        for client in clients {
            let exchange = client.join().expect("no panic").expect("it listens");
            assert_eq!(fault(&exchange, &serving.record.forwarded(), times), None, "{exchange:?}");
            assert_ne!(exchange.got, Got::Nothing, "{exchange:?}");
        }
    }
}

/// The process has no descriptor for a client that waits in the queue as the time for arrivals ends: it is answered once there
/// is one.
#[test]
fn a_client_in_the_queue_is_answered_though_accepting_fails_for_a_moment() {
    let mut serving = serving(Front::Platform, DEADLINES_MS[2], Behaviour::AtOnce);
    let told = serving.terminate();
    serving.program.logs("shutdown: begun");
    serving.program.files(0, 1_024);
    let mut socket = serving.connect();
    socket.write_all(b"GET /-/counters HTTP/1.1\r\nHost: a\r\n\r\n").expect("the system takes it");
    serving.program.logs("intake: cannot accept a connection");
    std::thread::sleep((told + 700 * MS).saturating_duration_since(Instant::now()));
    serving.program.files(1_024, 1_024);
    assert_eq!(read_answer(&socket).0, Got::Answer { status: 200, whole: true });
    let log = serving.program.ended(true);
    assert_eq!(log.matches("cannot accept").count(), 1, "{log}");
}

/// A whole answer that its client waits for at SIGTERM is as a stream that runs: it comes to its end where no SIGKILL does.
#[test]
fn a_whole_answer_under_way_at_sigterm_goes_on() {
    let behaviour = Behaviour::After(Duration::from_millis(4_500));
    let mut serving = serving(Front::ChatWhole, DEADLINES_MS[2], behaviour);
    let client = serving.client(Front::ChatWhole, Arrival::Before, "1");
    let (start, (ready, is_ready)) = (Start::default(), channel());
    let running =
        std::thread::spawn(move || client.run(&start, move || ready.send(()).expect("the test waits")));
    is_ready.recv().expect("a client");
    while serving.record.forwarded().at_writers.is_empty() {
        std::thread::sleep(MS);
    }
    serving.terminate();
    let exchange = running.join().expect("no panic").expect("it listens");
    assert_eq!(exchange.got, Got::Answer { status: 200, whole: true });
    serving.program.ended(true);
}

/// Signals that come while the process ends are told in a line each, and change nothing.
#[test]
fn further_signals_do_not_disturb_a_shutdown() {
    let mut serving = serving(Front::Platform, DEADLINES_MS[1], Behaviour::After(1_200 * MS));
    let (client, start) = (serving.client(Front::Platform, Arrival::Before, "1"), Start::default());
    let (ready, is_ready) = channel();
    let running =
        std::thread::spawn(move || client.run(&start, move || ready.send(()).expect("the test waits")));
    is_ready.recv().expect("a client");
    let told = serving.terminate();
    serving.program.logs("shutdown: begun");
    file(&serving.base, "config.json", "{\"name\":");
    serving.program.signal("HUP");
    serving.program.logs("reload: kept the old configuration");
    serving.terminate();
    serving.program.logs("shutdown: told again to end, goes on");
    let exchange = running.join().expect("no panic").expect("it listens");
    assert_eq!(exchange.got, Got::Answer { status: 200, whole: true });
    let log = serving.program.ended(true);
    assert!(told.elapsed() >= 1_000 * MS, "it waited for the answer");
    for line in ["shutdown: begun", "reload: kept the old configuration", "told again to end"] {
        assert_eq!(log.matches(line).count(), 1, "{line}: {log}");
    }
}

/// Halves of requests that stop, idle connections and a flood of commands: each gets its error or its close, and none takes
/// the answer from another client or delays the end.
#[test]
fn bad_clients_neither_delay_the_end_nor_take_an_answer_from_others() {
    let mut serving = serving(Front::Platform, DEADLINES_MS[0], Behaviour::After(100 * MS));
    let idle: Vec<_> = (0..100).map(|_| serving.connect()).collect();
    let mut flood = serving.connect();
    flood.write_all("GET /-/counters HTTP/1.1\r\nHost: a\r\n\r\n".repeat(500).as_bytes()).expect("it reads");
    let mut client = serving.client(Front::Platform, Arrival::Before, "1");
    client.deadline = Duration::from_millis(DEADLINES_MS[0]);
    let (start, (ready, is_ready)) = (Start::default(), channel());
    let running =
        std::thread::spawn(move || client.run(&start, move || ready.send(()).expect("the test waits")));
    is_ready.recv().expect("a client");
    let mut half_head = serving.connect();
    half_head.write_all(b"POST /v1/chat/completions HTTP/1.1\r\nHost: a").expect("it reads");
    let mut half_body = serving.connect();
    let head = "POST /v1/chat/completions HTTP/1.1\r\nHost: a\r\nRequest-Id: b1\r\nRequest-Class: climb-query\r\n\
                Request-Timeout-Ms: 400\r\nRequest-Info: prompt_len=4,max_out=4\r\nContent-Length: 9\r\n\r\n{";
    half_body.write_all(head.as_bytes()).expect("it reads");
    let told = serving.terminate();
    let exchange = running.join().expect("no panic").expect("it listens");
    assert_eq!(exchange.got, Got::Answer { status: 200, whole: true });
    // Neither request came whole, so neither was sent on, and both may be repeated.
    for socket in [&half_head, &half_body] {
        let (got, ended) = read_answer(socket);
        assert_eq!(got, Got::Answer { status: 429, whole: true });
        assert!(ended - told < BAD_CLIENTS, "after {:?}", ended - told);
    }
    serving.program.ended(true);
    assert!(told.elapsed() < QUICK, "ended after {:?}", told.elapsed());
    drop((idle, flood));
}

/// Unfit and too large requests that come during a shutdown get their errors whole.
#[test]
fn unfit_requests_get_their_errors_during_a_shutdown() {
    let mut serving = serving(Front::Platform, DEADLINES_MS[1], Behaviour::AtOnce);
    let (mut unfit, mut large) = (serving.connect(), serving.connect());
    serving.terminate();
    serving.program.logs("shutdown: begun");
    unfit
        .write_all(b"POST /v1/chat/completions HTTP/1.1\r\nHost: a\r\nContent-Length: 0\r\n\r\n")
        .expect("it reads");
    assert_eq!(read_answer(&unfit).0, Got::Answer { status: 400, whole: true });
    let length = 300 * 1024;
    let head = format!(
        "POST /v1/chat/completions HTTP/1.1\r\nHost: a\r\nRequest-Id: b1\r\nRequest-Class: climb-query\r\n\
         Request-Timeout-Ms: 400\r\nRequest-Info: prompt_len=4,max_out=4\r\nContent-Length: {length}\r\n\r\n"
    );
    large.write_all(head.as_bytes()).expect("it reads");
    large.write_all(&vec![b'x'; length]).expect("it reads");
    assert_eq!(read_answer(&large).0, Got::Answer { status: 413, whole: true });
    serving.program.ended(true);
}

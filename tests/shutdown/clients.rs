//! Clients whose requests come at set times after SIGTERM, in each way that a request can arrive.

use std::io::{ErrorKind, Read, Write};
use std::net::TcpStream;
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

use crate::verdict::{Exchange, Got};

/// Far above any wait that is meant.
const TIMEOUT: Duration = Duration::from_secs(30);

/// Which front is asked.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Front {
    /// The platform's protocol.
    Platform,
    /// Chat completions, streamed.
    ChatStream,
    /// Chat completions, as one answer.
    ChatWhole,
}

/// How a request arrives; times are from SIGTERM on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Arrival {
    /// Whole before SIGTERM.
    Before,
    /// On a connection that had an answer before SIGTERM.
    Kept {
        /// When it comes.
        at: Duration,
    },
    /// On a connection opened in the same moment.
    New {
        /// When it comes.
        at: Duration,
    },
    /// On a connection that says nothing for a while.
    Silent {
        /// When the connection is opened; none for before SIGTERM.
        opened: Option<Duration>,
        /// When the request comes.
        at: Duration,
    },
    /// Its head in two pieces.
    HeadInTwo {
        /// When the first piece comes.
        first: Duration,
        /// When the rest does.
        rest: Duration,
    },
    /// Its body in two pieces.
    BodyInTwo {
        /// When the first piece comes.
        first: Duration,
        /// When the rest does.
        rest: Duration,
    },
}

/// Tells clients when SIGTERM was sent.
#[derive(Clone, Default)]
pub struct Start(Arc<(Mutex<Option<Instant>>, Condvar)>);

impl Start {
    /// Tells it.
    pub fn tell(&self, at: Instant) {
        *self.0.0.lock().expect("no panic") = Some(at);
        self.0.1.notify_all();
    }

    fn wait(&self) -> Instant {
        let told = self.0.0.lock().expect("no panic");
        let told = self.0.1.wait_while(told, |at| at.is_none()).expect("no panic");
        told.expect("waited for")
    }

    /// Sleeps until so long after SIGTERM.
    fn sleep_until(&self, after: Duration) {
        std::thread::sleep((self.wait() + after).saturating_duration_since(Instant::now()));
    }
}

/// One client and its request.
#[derive(Clone)]
pub struct Client {
    /// Where it connects.
    pub address: String,
    /// The front there.
    pub front: Front,
    /// How its request arrives.
    pub arrival: Arrival,
    /// The request's name in the instances' records.
    pub marker: String,
    /// Of the class that must not run twice.
    pub unsafe_to_repeat: bool,
    /// How long it waits.
    pub deadline: Duration,
}

impl Client {
    fn class(&self) -> &'static str {
        if self.unsafe_to_repeat { "route-save" } else { "climb-query" }
    }

    /// A request's head and its body.
    fn request(&self) -> (String, String) {
        let marker = &self.marker;
        let streamed = self.front != Front::ChatWhole;
        let model = if self.unsafe_to_repeat { "route-save" } else { "climb-assist" };
        let body = format!(
            r#"{{"model":"{model}","stream":{streamed},"max_tokens":4,"messages":[{{"role":"user","content":"marker-{marker}"}}]}}"#
        );
        let mut head = "POST /v1/chat/completions HTTP/1.1\r\nHost: app.svc\r\n".to_owned();
        if self.front == Front::Platform {
            head += &format!(
                "Request-Id: {marker}\r\nRequest-Class: {}\r\nRequest-Timeout-Ms: {}\r\n\
                 Request-Info: prompt_len=400,max_out=4\r\n",
                self.class(),
                self.deadline.as_millis()
            );
        }
        head += &format!("Content-Type: application/json\r\nContent-Length: {}\r\n\r\n", body.len());
        (head, body)
    }

    fn connect(&self) -> Option<TcpStream> {
        let socket = TcpStream::connect(&self.address).ok()?;
        let _ = socket.set_nodelay(true);
        socket.set_read_timeout(Some(TIMEOUT)).expect("a socket's option");
        Some(socket)
    }

    /// Returns a connection that had an answer. What prepares the test is asked again where a busy machine does not answer it within
    /// the deadline.
    fn connect_and_ask_first(&self) -> TcpStream {
        let begun = Instant::now();
        for attempt in 0.. {
            let first = Client { marker: format!("first{}-{attempt}", self.marker), ..self.clone() };
            let socket = first.send();
            let (got, _) = read_answer(&socket);
            if got == (Got::Answer { status: 200, whole: true }) {
                return socket;
            }
            assert!(begun.elapsed() < TIMEOUT, "it does not serve: {got:?}");
        }
        unreachable!("the numbers of attempts do not end")
    }

    /// Brings the request; the connection, and when the last byte was written, where either came about. `ready` is called
    /// when all is done that comes before SIGTERM.
    fn bring(&self, start: &Start, ready: impl FnOnce()) -> Option<(TcpStream, Option<Instant>)> {
        let (head, body) = self.request();
        let whole = format!("{head}{body}");
        let write = |mut socket: &TcpStream, text: &str| socket.write_all(text.as_bytes()).is_ok();
        let at_once = |socket: TcpStream| {
            let sent = write(&socket, &whole).then(Instant::now);
            (socket, sent)
        };
        match self.arrival {
            Arrival::Before => {
                let brought = at_once(self.connect().expect("it listens"));
                ready();
                Some(brought)
            }
            Arrival::Kept { at } => {
                let socket = self.connect_and_ask_first();
                ready();
                start.sleep_until(at);
                Some(at_once(socket))
            }
            Arrival::New { at } => {
                ready();
                start.sleep_until(at);
                self.connect().map(at_once)
            }
            Arrival::Silent { opened, at } => {
                let before = if opened.is_none() { self.connect() } else { None };
                ready();
                let socket = before.or_else(|| {
                    start.sleep_until(opened.unwrap_or_default());
                    self.connect()
                });
                start.sleep_until(at);
                socket.map(at_once)
            }
            Arrival::HeadInTwo { first, rest } => {
                self.bring_in_two((head.len() / 2, first, rest), &whole, start, ready)
            }
            Arrival::BodyInTwo { first, rest } => {
                self.bring_in_two((head.len() + body.len() / 2, first, rest), &whole, start, ready)
            }
        }
    }

    fn bring_in_two(
        &self, (cut, first, rest): (usize, Duration, Duration), whole: &str, start: &Start,
        ready: impl FnOnce(),
    ) -> Option<(TcpStream, Option<Instant>)> {
        ready();
        start.sleep_until(first);
        let mut socket = self.connect()?;
        let begun = socket.write_all(&whole.as_bytes()[..cut]).is_ok();
        start.sleep_until(rest);
        let ended = begun && socket.write_all(&whole.as_bytes()[cut..]).is_ok();
        Some((socket, ended.then(Instant::now)))
    }

    /// Sends the request on a new connection.
    pub fn send(&self) -> TcpStream {
        let (head, body) = self.request();
        let mut socket = self.connect().expect("it listens");
        socket.write_all((head + &body).as_bytes()).expect("it reads");
        socket
    }

    /// Lives one exchange through; none where the connection was refused.
    pub fn run(self, start: &Start, ready: impl FnOnce()) -> Option<Exchange> {
        let (socket, sent) = self.bring(start, ready)?;
        let (got, ended) = read_answer(&socket);
        Some(Exchange { marker: self.marker, unsafe_to_repeat: self.unsafe_to_repeat, sent, got, ended })
    }
}

/// Reads an answer up to its end or the connection's; when that was.
pub fn read_answer(mut socket: &TcpStream) -> (Got, Instant) {
    let (mut text, mut buffer) = (String::new(), [0; 16_384]);
    loop {
        match socket.read(&mut buffer) {
            Ok(read) if read > 0 => text += &String::from_utf8_lossy(&buffer[..read]),
            Err(fault) if fault.kind() == ErrorKind::Interrupted => continue,
            Err(fault) if fault.kind() == ErrorKind::WouldBlock => panic!("still open: {text}"),
            _ => return (parse(&text), Instant::now()),
        }
        if let got @ Got::Answer { whole: true, .. } = parse(&text) {
            return (got, Instant::now());
        }
    }
}

fn parse(text: &str) -> Got {
    let status = text.strip_prefix("HTTP/1.1 ").and_then(|rest| rest.get(..3)?.parse().ok());
    let Some(status) = status else { return Got::Nothing };
    let Some((head, body)) = text.split_once("\r\n\r\n") else { return Got::Answer { status, whole: false } };
    let length =
        head.to_lowercase().lines().find_map(|line| line.strip_prefix("content-length: ")?.parse().ok());
    let whole = length.map_or(body.ends_with("0\r\n\r\n"), |length: usize| body.len() >= length);
    Got::Answer { status, whole }
}

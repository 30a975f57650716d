//! Requests in forms that HTTP allows, however unusual or slow: each reaches its instances whole.

use std::fmt::Write as _;
use std::io::{BufReader, Write as _};

use proptest::prelude::*;
use proptest::test_runner::{Config, TestRunner};

use crate::stand_ins::*;

const CASES: u32 = 60;
const TARGETS: [&str; 3] =
    ["/v1/chat/completions", "/v1/chat/completions?a=b%20c&d", "http://app.svc/v1/chat/completions?e=f"];

/// A request's form.
#[derive(Clone, Debug)]
struct Form {
    class: &'static str,
    target: &'static str,
    /// Empty lines in front of the request.
    leading_lines: usize,
    has_capital_names: bool,
    /// Spaces in front of the fields' values, and behind them.
    spaces: (usize, usize),
    expects_continue: bool,
    body: Vec<u8>,
    chunks: Option<Chunks>,
    /// Lengths of the pieces in which it is written; a millisecond is between two of them.
    pieces: Vec<usize>,
}

/// How a body is cut into chunks.
#[derive(Clone, Debug)]
struct Chunks {
    lengths: Vec<usize>,
    leading_zeros: usize,
    is_upper: bool,
    extension: String,
    trailers: String,
}

impl Form {
    fn text(&self, id: &str) -> Vec<u8> {
        let mut text = "\r\n".repeat(self.leading_lines);
        let _ = write!(text, "POST {} HTTP/1.1\r\n", self.target);
        let mut fields = vec![
            ("Host", "app.svc".to_owned()),
            ("Request-Id", id.to_owned()),
            ("Request-Class", self.class.to_owned()),
            ("Affinity-Key", format!("s-{id}")),
            ("Request-Timeout-Ms", "6000".to_owned()),
            ("Request-Info", "prompt_len=400,max_out=40".to_owned()),
        ];
        if self.expects_continue {
            fields.push(("Expect", "100-continue".to_owned()));
        }
        match &self.chunks {
            Some(_) => fields.push(("Transfer-Encoding", "chunked".to_owned())),
            None => fields.push(("Content-Length", self.body.len().to_string())),
        }
        for (name, value) in fields {
            let name = if self.has_capital_names { name.to_uppercase() } else { name.to_lowercase() };
            let (before, behind) = (" ".repeat(self.spaces.0), "\t".repeat(self.spaces.1));
            let _ = write!(text, "{name}:{before}{value}{behind}\r\n");
        }
        text += "\r\n";
        let mut bytes = text.into_bytes();
        match &self.chunks {
            Some(chunks) => chunks.write(&self.body, &mut bytes),
            None => bytes.extend_from_slice(&self.body),
        }
        bytes
    }
}

impl Chunks {
    fn write(&self, body: &[u8], text: &mut Vec<u8>) {
        let zeros = "0".repeat(self.leading_zeros);
        let mut rest = body;
        for length in self.lengths.iter().cycle() {
            if rest.is_empty() {
                break;
            }
            let (data, behind) = rest.split_at((*length).min(rest.len()));
            let size = if self.is_upper { format!("{:X}", data.len()) } else { format!("{:x}", data.len()) };
            text.extend_from_slice(format!("{zeros}{size}{}\r\n", self.extension).as_bytes());
            text.extend_from_slice(data);
            text.extend_from_slice(b"\r\n");
            rest = behind;
        }
        text.extend_from_slice(format!("{zeros}0{}\r\n{}\r\n", self.extension, self.trailers).as_bytes());
    }
}

fn chunks() -> impl Strategy<Value = Chunks> {
    let lengths = prop::collection::vec(40_usize..3_000, 1..5);
    (
        lengths,
        0_usize..4,
        any::<bool>(),
        " ?(;[a-z]{1,8}(=[a-z]{1,8})?){0,2}",
        "([a-z]{2,8}: [a-z]{0,8}\r\n){0,3}",
    )
        .prop_map(|(lengths, leading_zeros, is_upper, extension, trailers)| Chunks {
            lengths,
            leading_zeros,
            is_upper,
            extension,
            trailers: trailers.lines().map(|line| format!("x-{line}\r\n")).collect(),
        })
}

fn form() -> impl Strategy<Value = Form> {
    let body = prop::collection::vec(any::<u8>(), 1..12_000);
    let place =
        (prop::sample::select(vec!["climb-query", "route-save"]), prop::sample::select(TARGETS.to_vec()));
    let fields = (0_usize..2, any::<bool>(), (0_usize..4, 0_usize..3), any::<bool>());
    (place, fields, body, prop::option::of(chunks()), prop::collection::vec(1_usize..2_000, 1..6)).prop_map(
        |(
            (class, target),
            (leading_lines, has_capital_names, spaces, expects_continue),
            body,
            chunks,
            pieces,
        )| Form {
            class,
            target,
            leading_lines,
            has_capital_names,
            spaces,
            expects_continue,
            body,
            chunks,
            pieces,
        },
    )
}

fn send(fleet: &Fleet, text: &[u8], pieces: &[usize]) -> Option<(u32, bool)> {
    let mut socket = fleet.connect();
    let mut rest = text;
    // At most so many pauses: a whole request has 2.6 s.
    let least = text.len() / 500 + 1;
    for length in pieces.iter().cycle() {
        let (piece, behind) = rest.split_at((*length).max(least).min(rest.len()));
        socket.write_all(piece).ok()?;
        if behind.is_empty() {
            break;
        }
        rest = behind;
        std::thread::sleep(ms(1));
    }
    let mut answers = BufReader::new(socket);
    loop {
        match answer(&mut answers)? {
            (100..=199, _) => {}
            told => return Some(told),
        }
    }
}

/// Guards against a sound request that is refused, cut or changed for the form that it comes in.
#[test]
fn a_request_reaches_its_instances_whole_in_every_form_that_http_allows() {
    let fleet = Fleet::start(AMPLE, Manner::default());
    let program = fleet.process(8_082);
    let mut runner = TestRunner::new(Config { cases: CASES, failure_persistence: None, ..Config::default() });
    let number = std::cell::Cell::new(0);
    let result = runner.run(&form(), |form| {
        number.set(number.get() + 1);
        let id = format!("{:016x}", number.get());
        let told = send(&fleet, &form.text(&id), &form.pieces);
        prop_assert_eq!(told, Some((200, true)));
        let arrived = fleet.arrived(&id);
        let instances: Vec<_> = arrived.iter().map(|arrival| arrival.instance).collect();
        prop_assert_eq!(instances, vec!["r1", "w1"]);
        let path = form.target.strip_prefix("http://app.svc").unwrap_or(form.target);
        for arrival in arrived {
            prop_assert!(arrival.head.starts_with(&format!("POST {path} HTTP/1.1\r\n")), "{}", arrival.head);
            prop_assert_eq!(&arrival.body, &form.body);
        }
        Ok(())
    });
    program.end();
    result.expect("each form");
}

//! One client that sends at full speed on one connection: others are answered in time, and memory does not grow with what it sent.

use std::io::{BufReader, Read, Write};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::{Duration, Instant};

use crate::stand_ins::*;

/// How long the client sends at full speed.
const FLOOD_TIME: Duration = Duration::from_secs(4);
/// Within this usual clients are served, which takes some milliseconds without the flood.
const IN_TIME: Duration = Duration::from_millis(500);
/// Requests that are written at once.
const BATCH: u64 = 50;
/// By as much memory may grow while the flood goes on, in kB.
const MAX_GROWTH_KB: u64 = 8 * 1_024;

/// Requests of one connection that may go unserved: as many in a row, and as many in each second.
const MAX_REQUESTS: u64 = 64;

/// What one client sends, by the number of the request.
type Sent = fn(u64) -> String;

/// How a client sends at full speed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Pace {
    /// All that the connection takes; answers are read beside that.
    Pipelined,
    /// All that the connection takes; answers are not read.
    Unread,
    /// The next request as soon as the answer to the one before is there.
    InTurn,
}

/// Sends until told to stop, on a new connection whenever the last one has ended.
fn flood(fleet: &Fleet, pace: Pace, sent: Sent, is_over: &AtomicBool, count: &AtomicU64) {
    while !is_over.load(Ordering::Relaxed) {
        let mut socket = fleet.connect();
        let _ = socket.set_write_timeout(Some(ms(200)));
        let mut answers = BufReader::new(socket.try_clone().expect("a second handle"));
        if pace == Pace::InTurn {
            while !is_over.load(Ordering::Relaxed) {
                let number = count.fetch_add(1, Ordering::Relaxed);
                if socket.write_all(sent(number).as_bytes()).is_err() || answer(&mut answers).is_none() {
                    break;
                }
            }
            continue;
        }
        if pace == Pace::Pipelined {
            std::thread::spawn(move || while matches!(answers.get_mut().read(&mut [0; 65_536]), Ok(1..)) {});
        }
        while !is_over.load(Ordering::Relaxed) {
            let first = count.fetch_add(BATCH, Ordering::Relaxed);
            let many: String = (first..first + BATCH).map(sent).collect();
            match socket.write_all(many.as_bytes()) {
                Err(fault) if fault.kind() != std::io::ErrorKind::WouldBlock => break,
                _ => {}
            }
        }
        let _ = socket.shutdown(std::net::Shutdown::Both);
    }
}

fn others_are_served(what: &str, pace: Pace, sent: Sent) {
    let fleet = Fleet::start(AMPLE, Manner::default());
    let program = fleet.process(8_082);
    assert_eq!(fleet.ask(&Request::new("first", "climb-query")), Some((200, true)));
    let (is_over, count) = (AtomicBool::new(false), AtomicU64::new(0));
    let (is_over, count, fleet) = (&is_over, &count, &fleet);
    let before_kb = program.memory_kb();
    let (mut slowest, mut most_kb, mut answers) = (Duration::ZERO, 0, Vec::new());
    std::thread::scope(|scope| {
        scope.spawn(move || flood(fleet, pace, sent, is_over, count));
        let began = Instant::now();
        while began.elapsed() < FLOOD_TIME {
            let asked = Instant::now();
            answers.push(fleet.ask(&Request::new(format!("usual{}", answers.len()), "climb-query")));
            slowest = slowest.max(asked.elapsed());
            most_kb = most_kb.max(program.memory_kb());
            std::thread::sleep(ms(20));
        }
        is_over.store(true, Ordering::Relaxed);
    });
    let unserved = answers.iter().filter(|answer| **answer != Some((200, true))).count();
    println!(
        "{what}: {} sent; slowest of {} usual requests {slowest:?}, {unserved} not served; {before_kb} kB before, at most {most_kb}",
        count.load(Ordering::Relaxed),
        answers.len()
    );
    program.end();
    let sent_on = fleet.arrived_ids("f");
    println!("{what}: {sent_on} requests of the client were sent on");
    if pace == Pace::InTurn {
        // It has one connection all the while.
        assert!(sent_on <= MAX_REQUESTS * (1 + FLOOD_TIME.as_secs() + 1), "{sent_on} requests were sent on");
    }
    assert_eq!(unserved, 0, "{answers:?}");
    assert!(slowest < IN_TIME, "{slowest:?}");
    assert!(most_kb < before_kb + MAX_GROWTH_KB, "{before_kb} kB before, {most_kb} kB");
}

#[test]
fn small_requests_at_full_speed_delay_nobody() {
    others_are_served("small", Pace::Pipelined, |_| "GET /-/ready HTTP/1.1\r\nHost: x\r\n\r\n".to_owned());
}

#[test]
fn small_requests_whose_answers_are_not_read_delay_nobody() {
    others_are_served("small, unread", Pace::Unread, |_| {
        "GET /-/ready HTTP/1.1\r\nHost: x\r\n\r\n".to_owned()
    });
}

#[test]
fn unsound_requests_at_full_speed_delay_nobody() {
    others_are_served("unsound", Pace::Pipelined, |number| {
        format!("POST /{number} HTTP/1.1\r\nHost: x\r\n\r\n")
    });
}

#[test]
fn requests_without_time_under_ever_new_names_delay_nobody() {
    others_are_served("without time", Pace::Pipelined, |number| {
        Request { timeout_ms: 1, body_bytes: 2, ..Request::new(format!("f{number}"), "climb-query") }.text()
    });
}

#[test]
fn whole_requests_under_ever_new_names_delay_nobody() {
    others_are_served("whole", Pace::Pipelined, |number| {
        Request { body_bytes: 2, ..Request::new(format!("f{number}"), "climb-query") }.text()
    });
}

#[test]
fn bytes_that_are_no_request_delay_nobody() {
    others_are_served("no request", Pace::Pipelined, |_| "\r\n\r\n\r\n\r\n".repeat(50));
}

#[test]
fn a_body_in_the_smallest_chunks_delays_nobody() {
    others_are_served("smallest chunks", Pace::Pipelined, |number| match number % 100_000 {
        0 => Request { body_bytes: 0, ..Request::new(format!("f{number}"), "climb-query") }
            .head()
            .replace("Content-Length: 0", "Transfer-Encoding: chunked"),
        _ => "1\r\nx\r\n".to_owned(),
    });
}

#[test]
fn requests_in_a_class_that_nobody_knows_delay_nobody() {
    others_are_served("unknown class", Pace::Pipelined, |number| {
        Request { body_bytes: 2, ..Request::new(format!("f{number}"), "climb-query") }
            .text()
            .replace("climb-query", &format!("class-{number}"))
    });
}

#[test]
fn heads_with_ever_new_fields_delay_nobody() {
    others_are_served("new fields", Pace::Pipelined, |number| {
        format!("GET /-/ready HTTP/1.1\r\nHost: x\r\nX-{number:x}: {number}\r\n\r\n")
    });
}

#[test]
fn small_requests_in_turn_delay_nobody() {
    others_are_served("small, in turn", Pace::InTurn, |_| {
        "GET /-/ready HTTP/1.1\r\nHost: x\r\n\r\n".to_owned()
    });
}

#[test]
fn requests_without_time_in_turn_under_ever_new_names_delay_nobody() {
    others_are_served("without time, in turn", Pace::InTurn, |number| {
        Request { timeout_ms: 1, body_bytes: 2, ..Request::new(format!("f{number}"), "climb-query") }.text()
    });
}

#[test]
fn unsafe_requests_without_time_in_turn_under_ever_new_names_delay_nobody() {
    others_are_served("unsafe without time, in turn", Pace::InTurn, |number| {
        Request { timeout_ms: 1, body_bytes: 2, ..Request::new(format!("f{number}"), "route-save") }.text()
    });
}

#[test]
fn unsound_requests_in_turn_delay_nobody() {
    others_are_served("unsound, in turn", Pace::InTurn, |number| {
        format!("GET /{number} HTTP/1.1\r\nHost: x\r\n\r\n")
    });
}

//! Hundreds of clients at once that make the process hold much: it stays under its limit, and usual clients are answered.

use std::io::Write;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Instant;

use crate::player::Program;
use crate::stand_ins::*;

/// The least memory and the most descriptors that the pages name.
const LIMITS: Limits = Limits { memory_mb: 32, sockets: 1_024 };
/// Clients at once: nearly all that the process takes.
const CLIENTS: usize = 440;
/// How long the process is watched.
const WATCHED_MS: u64 = 2_500;

/// The most memory of its own that the process has had, in kB, while the clients go on and usual clients ask.
fn most_memory_kb(
    fleet: &Fleet, program: &Program, mut go_on: impl FnMut(),
) -> (u64, Vec<Option<(u32, bool)>>) {
    let is_over = AtomicBool::new(false);
    let (is_over, mut most_kb) = (&is_over, 0);
    std::thread::scope(|scope| {
        let usual = scope.spawn(move || {
            let mut answers = Vec::new();
            while !is_over.load(Ordering::Relaxed) {
                let request = Request {
                    body_bytes: 4_000,
                    ..Request::new(format!("usual{}", answers.len()), "climb-query")
                };
                answers.push(fleet.ask(&request));
                std::thread::sleep(ms(100));
            }
            answers
        });
        let began = Instant::now();
        while began.elapsed() < ms(WATCHED_MS) {
            most_kb = most_kb.max(program.memory_kb());
            go_on();
            std::thread::sleep(ms(10));
        }
        is_over.store(true, Ordering::Relaxed);
        (most_kb, usual.join().expect("a usual client"))
    })
}

/// Clients that each write `begin` at once and `drip` again and again.
fn holds_the_limit(what: &str, begin: &str, drip: &str, manner: Manner) {
    let fleet = Fleet::start(LIMITS, manner);
    let program = fleet.process(8_082);
    let mut held: Vec<TcpStream> = Vec::new();
    let begin = Arc::<str>::from(begin);
    // Each writes as far as it is read, as clients of their own would.
    let writers: Vec<_> = (0..CLIENTS)
        .map(|number| {
            let (mut socket, begin) = (fleet.connect(), begin.clone());
            held.push(socket.try_clone().expect("a second handle"));
            let begin = begin.replace("{number}", &number.to_string());
            std::thread::spawn(move || drop(socket.write_all(begin.as_bytes())))
        })
        .collect();
    held.iter().for_each(|socket| drop(socket.set_nonblocking(!drip.is_empty())));
    let (most_kb, answers) = most_memory_kb(&fleet, &program, || {
        held.iter_mut().filter(|_| !drip.is_empty()).for_each(|socket| drop(socket.write(drip.as_bytes())));
    });
    let unserved = answers.iter().filter(|answer| **answer != Some((200, true))).count();
    println!(
        "{what}: at most {most_kb} kB of {}; {unserved} of {} usual requests not served",
        LIMITS.memory_mb * 1_024,
        answers.len()
    );
    held.iter().for_each(|socket| drop(socket.shutdown(std::net::Shutdown::Both)));
    writers.into_iter().for_each(|writer| writer.join().expect("a client"));
    program.end();
    assert!(most_kb < LIMITS.memory_mb * 1_024, "{most_kb} kB");
    // Refused is an answer; nothing at all is none.
    assert!(answers.iter().all(Option::is_some), "{answers:?}");
}

/// Guards against bodies that are too large being held beside the room that is counted for bodies.
#[test]
fn half_written_large_bodies_stay_under_the_memory_limit() {
    let request = Request { body_bytes: 400_000, ..Request::new("bad{number}", "climb-query") };
    holds_the_limit("half of 400 kB bodies", &(request.head() + &"b".repeat(200_000)), "", Manner::default());
}

/// Guards against bodies in pieces being held in the buffers of each connection beside the room that is counted.
#[test]
fn slowly_written_bodies_stay_under_the_memory_limit() {
    let request = Request { body_bytes: 250_000, ..Request::new("bad{number}", "climb-query") };
    holds_the_limit(
        "slow bodies",
        &(request.head() + &"b".repeat(30_000)),
        &"b".repeat(1_500),
        Manner::default(),
    );
}

/// Guards against unfinished heads being held without a count.
#[test]
fn unfinished_long_heads_stay_under_the_memory_limit() {
    let head = format!("POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nCookie: {}", "a".repeat(31_000));
    holds_the_limit("unfinished heads", &head, "aa", Manner::default());
}

/// The same with as many short fields as a head may have, and more.
#[test]
fn heads_of_very_many_short_fields_stay_under_the_memory_limit() {
    let fields: String = (0..5_000).map(|number| format!("{:x}:\r\n", number % 4_096)).collect();
    let head = format!("POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\n{fields}");
    holds_the_limit("heads of short fields", &head, "a:\r\n", Manner::default());
}

/// Guards against answers that are held for clients that do not read them.
#[test]
fn unread_long_answers_stay_under_the_memory_limit() {
    let request = Request { body_bytes: 2_000, ..Request::new("slow{number}", "climb-query") };
    let manner = Manner { events: 1_500, event_bytes: 16_000, ..Manner::default() };
    holds_the_limit("unread answers", &request.text(), "", manner);
}

/// Whole heads with as many short fields as the process takes, whose requests wait.
#[test]
fn requests_with_very_many_short_fields_stay_under_the_memory_limit() {
    let fields: String = (0..88).map(|number| format!("f{number}: {number}\r\n")).collect();
    let request = Request { body_bytes: 2_000, ..Request::new("bad{number}", "climb-query") };
    let (head, body) = (request.head(), "b".repeat(2_000));
    let whole = head.replace("Host: app.svc\r\n", &format!("Host: app.svc\r\n{fields}")) + &body;
    // A third of them waits for the reader, the others find it taken.
    let manner = Manner { reading: ms(2_000), ..Manner::default() };
    holds_the_limit("whole heads of short fields", &whole, "", manner);
}

/// Streams of small events to clients that read none of them.
#[test]
fn unread_answers_of_small_events_stay_under_the_memory_limit() {
    let request = Request { body_bytes: 2_000, ..Request::new("slow{number}", "climb-query") };
    let manner = Manner { events: 60_000, event_bytes: 200, ..Manner::default() };
    holds_the_limit("unread small events", &request.text(), "", manner);
}

/// Streams whose events are as large as they may be.
#[test]
fn unread_answers_of_large_events_stay_under_the_memory_limit() {
    let request = Request { body_bytes: 2_000, ..Request::new("slow{number}", "climb-query") };
    let manner = Manner { events: 300, event_bytes: 60_000, ..Manner::default() };
    holds_the_limit("unread large events", &request.text(), "", manner);
}

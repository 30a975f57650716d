//! The id of a request that may have run is the conductor's: it runs once, whatever else clients send, and at whichever process.

use std::io::{BufReader, Write};

use crate::stand_ins::*;

/// Clients that send other requests at once.
const CLIENTS: usize = 32;

/// Sends an unsafe request and goes as soon as the writer has it.
fn ask_and_go(fleet: &Fleet, id: &str) {
    let mut socket = fleet.connect();
    let request = Request { timeout_ms: 10_000, ..Request::new(id, "route-save") };
    socket.write_all(request.text().as_bytes()).expect("it reads");
    while fleet.arrivals("w1", id).is_empty() {
        std::thread::sleep(ms(5));
    }
}

/// Requests with ids of their own, many on each connection; each is answered.
fn send_others(fleet: &Fleet, count: usize, make: impl Fn(usize) -> Request + Sync) {
    let (each, make) = (count / CLIENTS, &make);
    std::thread::scope(|scope| {
        for client in 0..CLIENTS {
            scope.spawn(move || {
                let mut line = BufReader::new(fleet.connect());
                for number in client * each..(client + 1) * each {
                    let text = make(number).text();
                    // One whose connection was closed behind the answer before comes once more.
                    while line.get_mut().write_all(text.as_bytes()).is_err() || answer(&mut line).is_none() {
                        line = BufReader::new(fleet.connect());
                    }
                }
            });
        }
    });
}

fn runs_once_behind(others: usize, class: &'static str, timeout_ms: u64) {
    let fleet = Fleet::start(AMPLE, Manner { first_event: ms(100), ..Manner::default() });
    let program = fleet.process(8_082);
    ask_and_go(&fleet, "once");
    // What was held for it is released, and its id counts as that of a request that has ended.
    std::thread::sleep(ms(3_000));
    send_others(&fleet, others, |number| Request {
        timeout_ms,
        body_bytes: 2,
        ..Request::new(format!("other{number}"), class)
    });
    let again = fleet.ask(&Request::new("once", "route-save"));
    let runs = fleet.arrivals("w1", "once").len();
    println!("behind {others} others of {class}, {timeout_ms} ms: {again:?}, {runs} runs");
    program.end();
    assert_eq!((again, runs), (Some((409, false)), 1));
}

#[test]
fn an_unsafe_id_runs_once_behind_many_others_that_have_no_time() {
    runs_once_behind(9_600, "climb-query", 1);
}

#[test]
fn an_unsafe_id_runs_once_behind_many_unsafe_others_that_have_no_time() {
    runs_once_behind(9_600, "route-save", 1);
}

#[test]
fn an_unsafe_id_runs_once_behind_many_others_that_run() {
    runs_once_behind(9_600, "climb-query", 6_000);
}

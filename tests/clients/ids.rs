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
/// A stream that is open at the older process, one that has ended there, and one of the newer process that comes to the older.
#[test]
fn an_unsafe_id_runs_once_in_an_upgrade() {
    let manner = Manner { events: 40, between_events: ms(100), ..Manner::default() };
    let fleet = Fleet::start(AMPLE, manner);
    let mut older = fleet.process(8_082);
    ask_and_go(&fleet, "ended");
    let mut at_older = BufReader::new(fleet.connect());
    let open = Request { timeout_ms: 10_000, ..Request::new("open", "route-save") };
    at_older.get_mut().write_all(open.text().as_bytes()).expect("it reads");
    while fleet.arrivals("w1", "open").is_empty() {
        std::thread::sleep(ms(5));
    }
    // A request that has begun at the older process and comes to its end after the handover.
    let mut begun = BufReader::new(fleet.connect());
    let text = Request::new("new", "route-save").text();
    let (begin, rest) = text.split_at(100);
    begun.get_mut().write_all(begin.as_bytes()).expect("it reads");
    // Behind it in the queue of connections.
    assert_eq!(fleet.ask(&Request::new("usual", "climb-query")), Some((200, true)));
    let newer = fleet.process(8_083);
    older.logs("readiness: handing over");
    let at_newer = ["open", "ended"].map(|id| fleet.ask(&Request::new(id, "route-save")));
    ask_and_go(&fleet, "new");
    begun.get_mut().write_all(rest.as_bytes()).expect("it reads");
    let new_at_older = answer(&mut begun);
    let runs = ["open", "ended", "new"].map(|id| fleet.arrivals("w1", id).len());
    println!("at the newer {at_newer:?}, at the older {new_at_older:?}; runs {runs:?}");
    older.signal("TERM");
    assert_eq!(answer(&mut at_older), Some((200, true)));
    older.ended(true);
    // What both knew outlives the older process.
    let again = ["open", "ended", "new"].map(|id| fleet.ask(&Request::new(id, "route-save")));
    newer.end();
    assert_eq!(runs, [1, 1, 1]);
    assert_eq!((at_newer, new_at_older), ([Some((409, false)); 2], Some((409, false))));
    assert_eq!(again, [Some((409, false)); 3]);
}

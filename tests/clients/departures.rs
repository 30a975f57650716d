//! A client that closes its connection: nothing begins for it over 0.1 s later, whatever it had sent before.

use std::io::Write;
use std::time::Instant;

use crate::stand_ins::*;

/// After its client has closed an attempt may begin for 0.1 s, and 50 ms by which limits grow on sockets.
const LATEST_MS: u64 = 150;

/// The further bytes that each client sends behind its request, and whether anything began for it too late.
fn begins_nothing_late(further_bytes: usize) {
    // The prompt is read 0.18 s after it came; only then the call of the writer would begin.
    let fleet = Fleet::start(AMPLE, Manner { reading: ms(180), ..Manner::default() });
    let program = fleet.process(8_082);
    let mut late = Vec::new();
    for number in 0..4 {
        let request = Request { timeout_ms: 10_000, ..Request::new(format!("left{number}"), "route-save") };
        let further = Request { body_bytes: 20_000, ..Request::new(format!("more{number}"), "route-save") };
        let mut bytes = request.text();
        while bytes.len() < further_bytes {
            bytes += &further.text();
        }
        let mut socket = fleet.connect();
        let _ = socket.write_all(bytes.as_bytes());
        drop(socket);
        let closed = Instant::now();
        std::thread::sleep(ms(700));
        let after = |at: Instant| at.saturating_duration_since(closed).as_millis() as u64;
        late.extend(
            fleet.arrivals("w1", &request.id).into_iter().map(after).filter(|after| *after > LATEST_MS),
        );
        assert_eq!(fleet.arrivals("w1", &further.id), []);
        let neighbour = Request::new(format!("stays{number}"), "climb-query");
        assert_eq!(fleet.ask(&neighbour), Some((200, true)));
    }
    println!("{further_bytes} bytes behind a request: late calls of the writer after {late:?} ms");
    program.end();
    assert!(late.is_empty(), "calls of the writer {late:?} ms after the client had closed");
}

#[test]
fn nothing_begins_for_a_client_that_has_gone() {
    begins_nothing_late(0);
}

#[test]
fn nothing_begins_for_a_client_that_has_gone_behind_much_that_is_unread() {
    begins_nothing_late(3_000_000);
}

/// Guards against a close that stands behind more than the pace of reading past it brings up in time.
#[test]
fn nothing_begins_for_a_client_that_has_gone_behind_all_that_buffers_hold() {
    begins_nothing_late(9_000_000);
}

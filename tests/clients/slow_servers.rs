//! Servers that write or read slowly: a stream that still goes on is not cut, and the final answer comes in its time.

use std::time::{Duration, Instant};

use crate::stand_ins::*;

/// Up to half a second after its time an answer is only worth nothing; 50 ms by which limits grow on sockets.
const LATEST: Duration = Duration::from_millis(550);

fn stream_goes_on(manner: Manner) {
    let fleet = Fleet::start(AMPLE, manner);
    let program = fleet.process(8_082);
    for class in ["climb-query", "route-save"] {
        let told = fleet.ask(&Request { timeout_ms: 15_000, ..Request::new(format!("s-{class}"), class) });
        println!("{class}: {told:?}");
        assert_eq!(told, Some((200, true)), "{class}");
    }
    program.end();
}

/// Guards against a limit on silence below the 5 s that a client may be left waiting.
#[test]
fn a_stream_with_an_event_each_four_and_a_half_seconds_is_not_cut() {
    stream_goes_on(Manner { events: 2, between_events: ms(4_600), ..Manner::default() });
}

/// Guards against a limit on silence that does not see an event that comes in pieces.
#[test]
fn a_stream_whose_events_come_in_slow_pieces_is_not_cut() {
    stream_goes_on(Manner { events: 2, between_events: ms(2_300), splits_events: true, ..Manner::default() });
}

/// Guards against an answer that waits for a server that is still reading its request.
fn answer_comes_in_time(slow: &'static str, body_bytes: usize) {
    for (class, timeout_ms) in [("climb-query", 1_500), ("route-save", 1_500), ("route-save", 4_000)] {
        // 250 kB at 20 bytes a millisecond: 12 s.
        let fleet = Fleet::start(AMPLE, Manner { bytes_per_ms: Some((slow, 20)), ..Manner::default() });
        let program = fleet.process(8_082);
        let request = Request { timeout_ms, body_bytes, ..Request::new("large", class) };
        let asked = Instant::now();
        let told = fleet.ask(&request);
        let took = asked.elapsed();
        println!("{slow} slow, {class}: {told:?} after {took:?}, its time was {timeout_ms} ms");
        program.end();
        assert!(told.is_some() && took < ms(timeout_ms) + LATEST, "{told:?} after {took:?}");
    }
}

#[test]
fn a_large_request_that_the_reader_reads_slowly_has_its_answer_in_time() {
    answer_comes_in_time("r1", 250_000);
}

#[test]
fn a_large_request_that_the_writer_reads_slowly_has_its_answer_in_time() {
    answer_comes_in_time("w1", 250_000);
}

//! Bad clients send long heads that do not end and stay, beside usual clients. The platform watches the conductor's memory and
//! kills it over `memory_mb`, as the deployment page says.

use std::io::Write;
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use crate::world::*;

/// Both from the ranges that the pages name: 32 to 192 MB, 256 to 1,024 descriptors.
const LIMITS: Limits = Limits { memory_mb: 32, sockets: 1_024 };
/// Bad clients at once, and what each has sent of its head when it stops for a while.
const BAD_CLIENTS: usize = 440;
const HEAD_BYTES: usize = 31_000;
/// What each adds every half second: its head does not end.
const DRIP: &[u8] = b"aaaa";

pub fn play(record: &Arc<Record>, is_troubled: bool) -> i32 {
    let folder = Folder::new("heads");
    let fleet = Fleet::new(record);
    let reads = Manner { reads: true, first_ms: 80, events: 0, between_ms: 0 };
    let writes = Manner { reads: false, first_ms: 60, events: 40, between_ms: 40 };
    let instances = [
        fleet.instance("r1", reads),
        fleet.instance("r2", reads),
        fleet.instance("w1", writes),
        fleet.instance("w2", writes),
    ];
    let discovery = Discovery::start(&instances);
    let conductor = Conductor::start(&folder, "only", free_address(), &discovery, LIMITS);
    if !conductor.is_ready_within(Duration::from_secs(20)) {
        return record.close("the conductor is not ready; the case could not run", 2);
    }
    let over = Flag::default();
    let usual = usual_clients(record, conductor.listen, "climb-query", ms(200), 4_000, &over);
    thread::sleep(ms(2_000));

    let mut held = Vec::new();
    if is_troubled {
        let head = format!(
            "POST /v1/chat/completions HTTP/1.1\r\nHost: app.svc\r\nRequest-Id: bad\r\nCookie: {}",
            "a".repeat(HEAD_BYTES)
        );
        for _ in 0..BAD_CLIENTS {
            if let Ok(mut wire) = Wire::connect(conductor.listen) {
                let _ = wire.socket.write_all(head.as_bytes());
                held.push(wire);
            }
        }
        record.note(format!("{} bad clients have each sent {HEAD_BYTES} bytes of a head", held.len()));
    }
    let limit_kb = LIMITS.memory_mb * 1_024;
    let (mut most_kb, mut is_killed, mut was_over) = (0, false, false);
    let began = Instant::now();
    let mut dripped = Instant::now();
    while began.elapsed() < ms(5_000) && !is_killed {
        let now_kb = conductor.memory_kb("RssAnon").unwrap_or(0);
        if now_kb > most_kb {
            most_kb = now_kb;
            record.note(format!("platform: the conductor has {now_kb} kB of memory, of {limit_kb}"));
        }
        // Two looks in a row, and only memory of its own: less than a platform counts.
        if now_kb > limit_kb && was_over {
            record.note("platform: over memory_mb, the conductor is killed");
            conductor.signal("KILL");
            is_killed = true;
        }
        was_over = now_kb > limit_kb;
        if dripped.elapsed() > ms(500) {
            held.iter_mut().for_each(|wire| drop(wire.socket.write_all(DRIP)));
            dripped = Instant::now();
        }
        thread::sleep(ms(20));
    }
    over.set();
    let ended = usual.join().unwrap_or_default();
    let unanswered = ended.iter().filter(|(_, end)| matches!(end, Ended::Unanswered(_))).count();
    if is_killed {
        let text = format!(
            "broken: the conductor had {most_kb} kB of memory of its own, of {limit_kb}, and was killed; {unanswered} requests \
             of usual clients had no whole answer"
        );
        return record.close(&text, 1);
    }
    record.close(
        &format!("held: at most {most_kb} kB of {limit_kb}; {unanswered} requests without an answer"),
        0,
    )
}

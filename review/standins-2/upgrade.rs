//! A newer process takes over from an older one, and operators take a writer out of service at the newer one's address while
//! that one still starts. The disruption is an outage of discovery.

use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use crate::world::*;

const LIMITS: Limits = Limits { memory_mb: 192, sockets: 1_024 };
/// The outage; the pages name one of 8 s.
const OUTAGE_MS: u64 = 6_000;
/// `drainGrace` of the settings, the 50 ms by which limits grow on sockets, and 150 ms for a process that is held up.
const GRACE_MS: u64 = 1_000 + 50 + 150;
/// From SIGTERM to SIGKILL: the longest deadline, counted as 3 s, and 0.7 s more.
const KILL_AFTER_MS: u64 = 3_700;
const BANNED: &str = "w2";
/// When operators restart the instance, after the yes: past the grace.
const RESTART_MS: u64 = 1_400;

pub fn play(record: &Arc<Record>, is_troubled: bool) -> i32 {
    let folder = Folder::new("upgrade");
    let fleet = Fleet::new(record);
    let reads = Manner { reads: true, first_ms: 500, events: 0, between_ms: 0 };
    let writes = Manner { reads: false, first_ms: 60, events: 10, between_ms: 40 };
    let instances = [
        fleet.instance("r1", reads),
        fleet.instance("r2", reads),
        fleet.instance("w1", writes),
        fleet.instance(BANNED, writes),
    ];
    let discovery = Discovery::start(&instances);
    let older = Conductor::start(&folder, "older", free_address(), &discovery, LIMITS);
    if !older.is_ready_within(Duration::from_secs(20)) {
        return record.close("the conductor is not ready; the case could not run", 2);
    }
    record.note("the older process is ready");

    let load_over = Flag::default();
    let load = usual_clients(record, older.listen, "route-save", ms(70), 24_000, &load_over);
    thread::sleep(ms(3_000));

    if is_troubled {
        discovery.set_down(true);
        record.note("discovery is down");
    }
    let outage_began = Instant::now();
    let newer = Conductor::start(&folder, "newer", older.listen, &discovery, LIMITS);
    record.note("the newer process is started");
    let path = format!("/instances/{BANNED}/maint");
    let mut yes_at = None;
    while yes_at.is_none() && outage_began.elapsed() < ms(3_000) {
        if call(newer.operator, "POST", &path).is_ok_and(|status| status == 200) {
            yes_at = Some(record.now());
        } else {
            thread::sleep(ms(5));
        }
    }
    let Some(yes_at) = yes_at else {
        return record.close("the newer process takes no call; the case could not run", 2);
    };
    record.note(format!("operator: the newer process said yes to maintenance of {BANNED}"));
    let mut is_serving = false;
    while !is_serving && outage_began.elapsed() < ms(6_000) {
        is_serving = call(newer.operator, "GET", "/healthcheck").is_ok_and(|status| status == 200);
        thread::sleep(ms(10));
    }
    if !is_serving {
        return record.close("the newer process does not serve within 6 s; the case could not run", 2);
    }
    record.note("the newer process says that it serves; SIGTERM to the older one");
    older.signal("TERM");
    let told_to_end = Instant::now();
    let (mut is_killed, mut is_restarted) = (false, false);
    while outage_began.elapsed() < ms(OUTAGE_MS) || told_to_end.elapsed() < ms(KILL_AFTER_MS) {
        if !is_restarted && record.now() >= yes_at + RESTART_MS {
            fleet.kill_instance(BANNED);
            is_restarted = true;
        }
        if !is_killed && told_to_end.elapsed() >= ms(KILL_AFTER_MS) {
            older.signal("KILL");
            is_killed = true;
        }
        thread::sleep(ms(10));
    }
    discovery.set_down(false);
    load_over.set();
    let ended = load.join().unwrap_or_default();

    let arrivals = lock(&fleet.arrivals);
    let is_late = |arrival: &&Arrival| arrival.instance == BANNED && arrival.at_ms > yes_at + GRACE_MS;
    let lost = arrivals
        .iter()
        .filter(is_late)
        .filter(|arrival| ended.iter().any(|(id, end)| *id == arrival.id && *end != Ended::Answered(200)));
    let lost = lost.count();
    let late: Vec<_> = arrivals
        .iter()
        .filter(is_late)
        .map(|arrival| {
            format!("{} at {} ms, {} ms after the yes", arrival.id, arrival.at_ms, arrival.at_ms - yes_at)
        })
        .collect();
    let before = arrivals.iter().filter(|a| a.instance == BANNED && a.at_ms < yes_at).count();
    if before == 0 {
        return record.close("the writer had no work before; the case could not run", 2);
    }
    if late.is_empty() {
        return record
            .close(&format!("held: nothing new to {BANNED} past the grace ({before} requests before)"), 0);
    }
    late.iter().for_each(|one| record.note(format!("late: {one}")));
    record.close(
        &format!(
            "broken: {} requests sent to {BANNED} past the grace, {lost} of them not served: {}",
            late.len(),
            late.join("; ")
        ),
        1,
    )
}

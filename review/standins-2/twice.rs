//! A newer process takes over while requests of a class that must never run twice are open at the older one. A bad client sends
//! the id of such a request, which is open at this conductor. The disruption is the upgrade.

use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use crate::world::*;

const LIMITS: Limits = Limits { memory_mb: 192, sockets: 1_024 };
/// From SIGTERM to SIGKILL: the longest deadline, counted as 3 s, and 0.7 s more.
const KILL_AFTER_MS: u64 = 3_700;
const OPEN: usize = 4;

pub fn play(record: &Arc<Record>, is_troubled: bool) -> i32 {
    let folder = Folder::new("twice");
    let fleet = Fleet::new(record);
    let reads = Manner { reads: true, first_ms: 150, events: 0, between_ms: 0 };
    let writes = Manner { reads: false, first_ms: 100, events: 50, between_ms: 60 };
    let instances = [
        fleet.instance("r1", reads),
        fleet.instance("r2", reads),
        fleet.instance("w1", writes),
        fleet.instance("w2", writes),
    ];
    let discovery = Discovery::start(&instances);
    let older = Conductor::start(&folder, "older", free_address(), &discovery, LIMITS);
    if !older.is_ready_within(Duration::from_secs(20)) {
        return record.close("the conductor is not ready; the case could not run", 2);
    }
    // Streams of three seconds, so that each is open all the while.
    let ids: Vec<String> = (0..OPEN).map(|number| format!("{:016x}", 0xa000_0000 + number)).collect();
    let to = older.listen;
    let ask_all = |class: &'static str| -> Vec<_> {
        let each = ids.iter().map(|id| {
            let (record, id) = (record.clone(), id.clone());
            thread::spawn(move || ask(&record, to, &id, class, 10_000, 4_000))
        });
        each.collect()
    };
    let owners = ask_all("route-save");
    thread::sleep(ms(600));
    let first_runs = writes_of(&fleet, &ids);
    if first_runs != OPEN {
        return record.close(&format!("{first_runs} of {OPEN} streams run; the case could not run"), 2);
    }

    let mut newer = None;
    if is_troubled {
        let process = Conductor::start(&folder, "newer", to, &discovery, LIMITS);
        record.note("the newer process is started");
        let began = Instant::now();
        let says_yes = || call(process.operator, "GET", "/healthcheck").is_ok_and(|status| status == 200);
        while !says_yes() {
            if began.elapsed() > ms(6_000) {
                return record
                    .close("the newer process does not serve within 6 s; the case could not run", 2);
            }
            thread::sleep(ms(10));
        }
        record.note("the newer process says yes; SIGTERM to the older one");
        older.signal("TERM");
        newer = Some(process);
    }
    let told_at = Instant::now();
    record.note("bad clients send the ids of these open requests");
    let intruders = ask_all("route-save");
    let intruders: Vec<_> = intruders.into_iter().filter_map(|bad| bad.join().ok()).collect();
    let owners: Vec<_> = owners.into_iter().filter_map(|owner| owner.join().ok()).collect();
    while is_troubled && told_at.elapsed() < ms(KILL_AFTER_MS) {
        thread::sleep(ms(10));
    }
    drop(newer);

    let runs = writes_of(&fleet, &ids);
    let answered = |ends: &[Ended]| ends.iter().filter(|end| **end == Ended::Answered(200)).count();
    let told = format!(
        "{OPEN} requests that must never run twice, {} of their owners served; {} bad clients with the same ids were served; the \
         writers ran {runs} answers for the {OPEN} ids",
        answered(&owners),
        answered(&intruders)
    );
    if runs > OPEN || answered(&intruders) > 0 {
        return record.close(&format!("broken: {told}"), 1);
    }
    record.close(&format!("held: {told}"), 0)
}

/// How many answers the writers began for these ids.
fn writes_of(fleet: &Fleet, ids: &[String]) -> usize {
    let runs = lock(&fleet.runs);
    runs.iter().filter(|id| ids.contains(id)).count()
}

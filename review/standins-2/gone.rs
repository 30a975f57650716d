//! Clients send much at once on one connection and go. What begins for them later than the rule allows is a break. Without the
//! disruption they send the one request and go.

use std::collections::BTreeMap;
use std::io::Write;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use crate::world::*;

/// The most that the pages name.
const LIMITS: Limits = Limits { memory_mb: 192, sockets: 1_024 };
const CLIENTS: u64 = 12;
/// Requests that each of them sends behind the first one, and the body of each.
const FURTHER: u64 = 150;
const BODY_BYTES: usize = 20_000;
/// After its client has closed an attempt may still begin for so long, and the 50 ms by which limits grow on sockets.
const LEFT_MS: u64 = 100 + 50;

/// By how much this machine has run timers late so far: the bound grows by it.
fn watch_lateness() -> Arc<AtomicU64> {
    let most = Arc::new(AtomicU64::new(0));
    let seen = most.clone();
    thread::spawn(move || {
        loop {
            let began = Instant::now();
            thread::sleep(ms(5));
            let late = began.elapsed().as_millis() as u64;
            seen.fetch_max(late.saturating_sub(5), Ordering::SeqCst);
        }
    });
    most
}

pub fn play(record: &Arc<Record>, is_troubled: bool) -> i32 {
    let folder = Folder::new("gone");
    let fleet = Fleet::new(record);
    // 5,000 tokens are read in 0.22 to 0.33 s at the speeds of the site file; these readers have kept a third of the text.
    let reads = Manner { reads: true, first_ms: 175, events: 0, between_ms: 0 };
    let writes = Manner { reads: false, first_ms: 20, events: 10, between_ms: 40 };
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
    let lateness = watch_lateness();
    let mut left = BTreeMap::new();
    for number in 0..CLIENTS {
        let id = format!("{:016x}", 0xa000_0000 + number);
        let further = if is_troubled { FURTHER } else { 0 };
        let further = (0..further).map(|at| format!("{:016x}", 0xb000_0000 + number * FURTHER + at));
        let mut bytes = String::new();
        for id in [id.clone()].into_iter().chain(further) {
            let (head, body) = request(&id, "route-save", 15_000, BODY_BYTES);
            bytes += &(head + &body);
        }
        let Ok(mut wire) = Wire::connect(conductor.listen) else { continue };
        record.note(format!("client: sends {id} first, {} bytes in all", bytes.len()));
        let sent = wire.socket.write_all(bytes.as_bytes());
        drop(wire);
        let closed_ms = record.now();
        record.note(format!("client: {id}: has closed its connection, {sent:?}"));
        left.insert(id, closed_ms);
        thread::sleep(ms(1_400));
    }
    let bound_ms = LEFT_MS + lateness.load(Ordering::SeqCst);
    let mut late = Vec::new();
    for arrival in lock(&fleet.arrivals).iter() {
        let Some(closed_ms) = left.get(&arrival.id) else { continue };
        if arrival.at_ms > closed_ms + bound_ms {
            let after_ms = arrival.at_ms - closed_ms;
            record.note(format!(
                "late: {} got {} {after_ms} ms after its client had closed",
                arrival.instance, arrival.id
            ));
            late.push(after_ms);
        }
    }
    let runs = lock(&fleet.runs).iter().filter(|id| left.contains_key(*id)).count();
    let told = format!(
        "{} clients have gone, {} attempts reached an instance over {bound_ms} ms later (at most {} ms); {runs} requests had an \
         answer begun",
        left.len(),
        late.len(),
        late.iter().max().unwrap_or(&0)
    );
    if left.is_empty() {
        return record.close(&format!("the case could not run: {told}"), 2);
    }
    match late.len() {
        0 => record.close(&format!("held: {told}"), 0),
        _ => record.close(&format!("broken: {told}"), 1),
    }
}

//! A crowd connects without ever finishing a request, while true clients come on new connections. Memory and descriptors are cut by
//! half.

use std::io::Write;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use crate::world::*;

/// Half of the most that the pages name.
const LIMITS: Limits = Limits { memory_mb: 96, sockets: 512 };
/// Past a request's time in which an answer only earns nothing, and the 50 ms by which limits grow on sockets.
const LATE_MS: u64 = 500 + 50;
const CLIENTS: u64 = 60;

/// How many of the crowd connect in a second, how many are connected at most, and how much of a head each sends.
const CROWD_PER_SECOND: u64 = 500;
const CROWD_MOST: usize = 1_150;
const CROWD_BYTES: usize = 80;
/// How long a true client waits: half of what its class gives it.
const TIMEOUT_MS: u64 = 3_000;

/// The crowd sends a part of a head; true clients write at once.
pub fn queue(record: &Arc<Record>, is_troubled: bool) -> i32 {
    let folder = Folder::new("crowd");
    let fleet = Fleet::new(record);
    let reads = Manner { reads: true, first_ms: 80, events: 0, between_ms: 0 };
    let writes = Manner { reads: false, first_ms: 60, events: 10, between_ms: 40 };
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
    let (over, to) = (Flag::default(), conductor.listen);
    let met = Arc::new(AtomicU64::new(0));
    let crowding = is_troubled.then(|| {
        let (over, met) = (over.clone(), met.clone());
        thread::spawn(move || crowd_in(to, &over, &met))
    });
    thread::sleep(ms(4_000));

    let mut clients = Vec::new();
    for number in 0..CLIENTS {
        let record = record.clone();
        clients.push(thread::spawn(move || true_client(&record, to, number)));
        thread::sleep(ms(150));
    }
    let ended: Vec<_> = clients.into_iter().filter_map(|client| client.join().ok()).collect();
    over.set();
    crowding.map(|crowding| crowding.join());
    thread::sleep(ms(1_500));
    if let Ok(mut wire) = Wire::connect(to)
        && wire
            .socket
            .write_all(b"GET /-/counters HTTP/1.1\r\nHost: app.svc\r\nConnection: close\r\n\r\n")
            .is_ok()
        && let Ok(Some(counters)) = wire.message()
    {
        record.note(format!("the conductor's counters: {}", String::from_utf8_lossy(&counters.body).trim()));
    }

    let taken = ended.iter().filter(|end| !matches!(end, Ended::NotSent(_))).count();
    let lost = ended.iter().filter(|end| matches!(end, Ended::Unanswered(_))).count();
    let told = format!(
        "{lost} of {taken} requests that were written whole had no final answer; {} more were not written; a crowd of {}",
        ended.len() - taken,
        met.load(Ordering::SeqCst)
    );
    if taken == 0 {
        return record.close(&format!("the case could not run: {told}"), 2);
    }
    match lost {
        0 => record.close(&format!("held: {told}"), 0),
        _ => record.close(&format!("broken: {told}"), 1),
    }
}

/// Connects again and again, sends a part of a request, and stays until the conductor ends the connection.
fn crowd_in(to: SocketAddr, over: &Flag, met: &AtomicU64) {
    let mut held: Vec<Wire> = Vec::new();
    let began = Instant::now();
    while !over.is_set() {
        let due = began.elapsed().as_millis() as u64 * CROWD_PER_SECOND / 1_000;
        while met.load(Ordering::SeqCst) < due && held.len() < CROWD_MOST && !over.is_set() {
            let number = met.fetch_add(1, Ordering::SeqCst);
            let Ok(mut wire) = Wire::connect(to) else { break };
            let (head, _) = request(&format!("{:016x}", 0xb000_0000 + number), "climb-query", 6_000, 2_000);
            let _ = wire.socket.write_all(&head.as_bytes()[..CROWD_BYTES]);
            held.push(wire);
        }
        held.retain(|wire| !wire.has_closed());
        thread::sleep(ms(10));
    }
}

/// Sends one request on a new connection. An answer counts up to half a second past its time.
fn true_client(record: &Record, to: SocketAddr, number: u64) -> Ended {
    let id = format!("{:016x}", 0xc000_0000 + number);
    let (head, body) = request(&id, "climb-query", TIMEOUT_MS, 2_000);
    let connecting = Instant::now();
    let mut wire = match Wire::connect(to) {
        Ok(wire) => wire,
        Err(fault) => {
            record.note(format!("client: {id}: cannot connect: {}", fault.kind()));
            return Ended::NotSent(fault.kind().to_string());
        }
    };
    record.note(format!("client: {id}: connected after {} ms", connecting.elapsed().as_millis()));
    if let Err(fault) = wire.socket.write_all((head + &body).as_bytes()) {
        record.note(format!("client: {id}: cannot write: {}", fault.kind()));
        return Ended::NotSent(fault.kind().to_string());
    }
    record.note(format!("client: {id}: written whole"));
    let sent_at = Instant::now();
    let begun = wire.begins_within(ms(TIMEOUT_MS + LATE_MS));
    let ended = match begun {
        true => answer(&mut wire, ms(10_000)),
        false => Ended::Unanswered("nothing came in its time and half a second".into()),
    };
    record.note(format!("client: {id}: {ended:?}, {} ms after its last byte", sent_at.elapsed().as_millis()));
    ended
}

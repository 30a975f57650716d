//! The cases, by name.

use std::path::PathBuf;
use std::thread::sleep;

use super::*;

/// After the yes to `maint`, nothing new goes to the instance: the grace of the settings, and the 50 ms that the protocol page adds
/// to each time limit.
const DRAIN_GRACE_MS: f64 = 1_000.0 + 50.0;

pub fn play(case: &str, record: &Record, trouble: &str, folder: PathBuf) -> Result<Verdict, Fault> {
    match case {
        "late-repeat" => late_repeat(record, trouble, folder),
        "cut-short" => cut_short(record, trouble != "0", folder),
        "second-try" => second_try(record, trouble != "0", folder),
        _ => Err(format!("no case {case}")),
    }
}

/// Attempts at the instance whose first byte came later than the grace after the yes, and before it was brought back.
fn judge_ban(fleet: &Fleet, instance: &str, yes: f64, asked: &[Asked]) -> Verdict {
    let record = &fleet.record;
    let attempts = fleet.attempts.lock().unwrap().clone();
    let before = attempts.iter().filter(|a| a.at == instance && a.first_byte < yes).count();
    let late: Vec<_> =
        attempts.iter().filter(|a| a.at == instance && a.first_byte > yes + DRAIN_GRACE_MS).collect();
    for attempt in &late {
        let end = asked.iter().find(|a| a.id == attempt.id);
        record.note(format!(
            "judge: {} ({}) was sent to {instance} {:.0} ms after the yes; its client got {:?}, whole: {:?}",
            attempt.id,
            attempt.class,
            attempt.first_byte - yes,
            end.and_then(|e| e.status),
            end.map(|e| e.whole)
        ));
    }
    let broken = |id: &str| asked.iter().any(|a| a.id == id && !(a.status == Some(200) && a.whole));
    let lost = late.iter().filter(|a| a.class == "route-save" && broken(&a.id)).count();
    let whole = asked.iter().filter(|a| a.status == Some(200) && a.whole).count();
    record.note(format!(
        "judge: {} requests, {whole} served whole; {instance} got {before} before the yes, {} later than {DRAIN_GRACE_MS} ms \
         after it; of these {lost} of class route-save were broken by its restart",
        asked.len(),
        late.len()
    ));
    if late.is_empty() { Verdict::Held } else { Verdict::Broken }
}

/// Reads take long prompts' time, so that requests are under way while the processes change.
fn small_fleet(record: &Record) -> Result<Fleet, Fault> {
    Fleet::start(record, (6, ms(800)), (5, ms(60)), Streams::default())
}

fn place(fleet: &Fleet, folder: PathBuf) -> Result<Place, Fault> {
    Ok(Place { listen: free_address()?, discovery: fleet.discovery()?, folder })
}

/// An instance is out for maintenance. A new version says yes and is killed before the older process is told to end; the upgrade is
/// made again.
fn second_try(record: &Record, trouble: bool, folder: PathBuf) -> Result<Verdict, Fault> {
    let fleet = small_fleet(record)?;
    let place = place(&fleet, folder)?;
    let mut serving = place.start("1", &fleet)?;
    serving.serves(ms(30_000))?;
    let load = Load::start(record, &place.listen, 24, ms(300), 12_000);
    sleep(ms(6_000));
    let yes = serving.maint("w1")?;
    sleep(ms(4_000));
    let mut newer = place.start("2", &fleet)?;
    newer.serves(ms(6_000))?;
    if trouble {
        newer.signal("KILL");
        sleep(ms(2_000));
        if !serving.runs() {
            return Err("the older process has ended".into());
        }
    } else {
        serving.signal("TERM");
        sleep(ms(6_000));
        serving = newer;
    }
    let mut last = place.start("3", &fleet)?;
    last.serves(ms(6_000))?;
    serving.signal("TERM");
    sleep(ms(3_000));
    fleet.restart("w1");
    sleep(ms(3_000));
    let asked = load.stop();
    Ok(judge_ban(&fleet, "w1", yes, &asked))
}

/// The window of the class, the time by which it may be overrun by the protocol page, and how long the conductor is held up.
const WINDOW_MS: u64 = 2_000;
const WINDOW_SLACK_MS: f64 = 50.0;
const HELD_UP: Duration = Duration::from_millis(145);
const ROUNDS: u32 = 22;
const AT_ONCE: usize = 32;

/// `TROUBLE=resets` leaves the hold-ups out. A class with an idempotency key. Connections to some writers are reset under requests that have begun; their prompts are read
/// again, and as the window of the first attempts ends the conductor is held up.
fn late_repeat(record: &Record, trouble: &str, folder: PathBuf) -> Result<Verdict, Fault> {
    let keyed = settings().replace("non_idempotent", "idempotency_key");
    let keyed = keyed.replace("\"window\":5000.0", &format!("\"window\":{WINDOW_MS}.0"));
    let fleet = Fleet::start(record, (6, ms(300)), (6, ms(200)), Streams::default())?;
    let place = place(&fleet, folder)?;
    let mut conductor = place.start_with("1", &fleet, &keyed)?;
    conductor.serves(ms(30_000))?;
    let load = Load::start(record, &place.listen, 6, ms(300), 6_000);
    sleep(ms(6_000));
    let mut asked = Vec::new();
    for number in 0..ROUNDS {
        {
            let mut round = fleet.round.lock().unwrap();
            *round = Round {
                window: ms(WINDOW_MS),
                lead: ms(8),
                ..Round::default()
            };
            if trouble != "0" {
                round.resets = ["w1", "w2", "w3"].map(str::to_owned).into();
            }
        }
        let clients: Vec<_> = (0..AT_ONCE)
            .map(|n| {
                let (listen, record) = (place.listen.clone(), record.clone());
                thread::spawn(move || {
                    let id = format!("f{}", &new_id()[1..]);
                    let text = request_text(&id, "route-save", 15_000, 1_000 + n, 6_000);
                    record.note(format!("round {number}: client sends {id}"));
                    let sent = record.now();
                    let (status, whole) = Client::default().ask(&listen, &text, ms(17_000));
                    record.note(format!("round {number}: {id} answered {status:?}, whole: {whole}"));
                    Asked { id, class: "route-save", sent, ended: record.now(), status, whole }
                })
            })
            .collect();
        if trouble != "0" && trouble != "resets" {
            let begun = Instant::now();
            while fleet.gate().is_none_or(|gate| gate > Instant::now() + ms(300)) && begun.elapsed() < ms(3_000) {
                sleep(ms(5));
            }
            if let Some(gate) = fleet.gate() {
                let at = gate + Duration::from_micros(300 + 150 * u64::from(number % 11));
                sleep(at.saturating_duration_since(Instant::now() + ms(1)));
                while Instant::now() < at {
                    std::hint::spin_loop();
                }
                conductor.hold_up(HELD_UP);
            }
        }
        asked.extend(clients.into_iter().filter_map(|client| client.join().ok()));
    }
    load.stop();
    Ok(judge_window(&fleet, &asked))
}

/// Repeats at writers that came later than the window and the slack after the first attempt had come whole.
fn judge_window(fleet: &Fleet, asked: &[Asked]) -> Verdict {
    let record = &fleet.record;
    let attempts = fleet.attempts.lock().unwrap().clone();
    let (mut repeats, mut late) = (0, 0);
    for one in asked {
        let mut writes = attempts.iter().filter(|a| a.id == one.id && !a.reads);
        let Some(first) = writes.next() else { continue };
        for again in writes {
            repeats += 1;
            let after = again.last_byte - first.last_byte;
            if after > WINDOW_MS as f64 + WINDOW_SLACK_MS {
                late += 1;
                record.note(format!(
                    "judge: {} ran at {} and was sent to {} {after:.0} ms later; its client got {:?}",
                    one.id, first.at, again.at, one.status
                ));
            }
        }
    }
    let whole = asked.iter().filter(|a| a.status == Some(200) && a.whole).count();
    record.note(format!(
        "judge: {} requests, {whole} served whole; {repeats} repeats, {late} of them later than {WINDOW_MS} ms and \
         {WINDOW_SLACK_MS} ms after the first attempt",
        asked.len()
    ));
    if late == 0 { Verdict::Held } else { Verdict::Broken }
}

/// The settings of the deployment on other engines: other aims, more memory, quick tokens.
fn engines() -> String {
    let text = settings().replace("[225677,210000]", "[860000,1600000]").replace("[60.0,80.0]", "[85.0,85.0]");
    text.replace("[40000.0,40000.0]", "[35000.0,35000.0]").replace("1500.0", "700.0").replace("3000.0", "700.0")
}

/// Streams that run as a planned restart begins, and how long a client's connection is silent.
const STREAMS: usize = 8;
const SILENT: u64 = 3_800;

/// What a client got of one stream.
struct Got {
    id: String,
    status: String,
    events: usize,
    done: bool,
    /// The body ended with the last chunk.
    last_chunk: bool,
}

/// A planned restart, while the connections of some clients are silent for some seconds. The conductor ends the streams that still
/// run, so that their clients ask another one for the rest.
fn cut_short(record: &Record, trouble: bool, folder: PathBuf) -> Result<Verdict, Fault> {
    let fleet = Fleet::start(record, (5, ms(200)), (6, ms(50)), Streams { events: 374, gap: ms(12) })?;
    let place = place(&fleet, folder)?;
    let mut conductor = place.start_with("1", &fleet, &engines())?;
    conductor.serves(ms(30_000))?;
    let load = Load::start(record, &place.listen, 6, ms(300), 6_000);
    sleep(ms(6_000));
    // The connections fall silent 1.2 s before SIGTERM, and are back 2.6 s after it.
    let silent_at = Instant::now() + ms(800);
    let clients: Vec<_> = (0..STREAMS)
        .map(|n| {
            let (listen, record) = (place.listen.clone(), record.clone());
            thread::spawn(move || watch(&listen, &record, n, trouble.then_some(silent_at)))
        })
        .collect();
    sleep((silent_at + ms(1_200)).saturating_duration_since(Instant::now()));
    conductor.signal("TERM");
    sleep(ms(4_000));
    if conductor.runs() {
        conductor.signal("KILL");
    }
    let got: Vec<_> = clients.into_iter().filter_map(|client| client.join().ok()?.ok()).collect();
    load.stop();
    if got.len() < STREAMS || !got.iter().any(|g| g.status == "200") {
        return Err("the streams did not begin".into());
    }
    let mut lost = 0;
    for one in &got {
        let short = one.status == "200" && one.last_chunk && !one.done;
        lost += usize::from(short);
        record.note(format!(
            "judge: {}: status {}, {} of {} events, end mark: {}, last chunk: {}{}",
            one.id,
            one.status,
            one.events,
            fleet.streams.events,
            one.done,
            one.last_chunk,
            if short { ": cut short, and ended as though it were whole" } else { "" }
        ));
    }
    record.note(format!("judge: {STREAMS} requests, {lost} streams ended with the last chunk that were not whole"));
    Ok(if lost == 0 { Verdict::Held } else { Verdict::Broken })
}

/// Sends a request and reads its stream to the end; from the given moment on nothing is read for a while.
fn watch(listen: &str, record: &Record, n: usize, silent_at: Option<Instant>) -> Result<Got, Fault> {
    let id = new_id();
    let mut socket = connect_as_over_a_network(listen)?;
    let _ = socket.set_read_timeout(Some(ms(10_000)));
    let class = if n % 2 == 0 { "climb-query" } else { "route-save" };
    record.note(format!("client: sends {id} ({class})"));
    let text = request_text(&id, class, if n % 2 == 0 { 6_000 } else { 15_000 }, 500 + n, 6_000);
    socket.write_all(text.as_bytes()).map_err(|e| e.to_string())?;
    let (mut bytes, mut part) = (Vec::new(), [0; 1_024]);
    let mut silent_at = silent_at;
    loop {
        if silent_at.is_some_and(|at| Instant::now() >= at) {
            silent_at = None;
            record.note(format!("client: the connection of {id} is silent, {} bytes have come", bytes.len()));
            sleep(ms(SILENT));
            record.note(format!("client: the connection of {id} is back"));
        }
        match socket.read(&mut part) {
            Ok(n @ 1..) => bytes.extend_from_slice(&part[..n]),
            _ => break,
        }
    }
    let text = String::from_utf8_lossy(&bytes).into_owned();
    let status = text.split(' ').nth(1).unwrap_or("none").to_owned();
    let got = Got {
        id: id.clone(),
        status,
        events: text.matches("chat.completion.chunk").count(),
        done: text.contains("data: [DONE]"),
        last_chunk: bytes.ends_with(b"\r\n0\r\n\r\n"),
    };
    record.note(format!("client: the connection of {id} has ended, {} bytes have come", bytes.len()));
    Ok(got)
}

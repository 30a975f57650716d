//! Figures of policy changes: how long they take, what they cost requests, and what conductors cost one another.

use std::path::Path;
use std::time::Duration;

use hdrhistogram::Histogram;
use serde_json::Value;

use crate::check::Told;
use crate::fleet::{Fleet, Size, document};
use crate::load::{Asked, Load, Outcome};
use crate::policy::{propose, settled};

/// Milliseconds of changes, least, median and most.
#[derive(Clone, Copy, Debug)]
pub struct Times(pub f64, pub f64, pub f64);

/// Least, median and most of these.
pub fn times(mut all: Vec<f64>) -> Times {
    all.sort_by(f64::total_cmp);
    let at =
        |part: f64| all.get(((all.len().max(1) - 1) as f64 * part) as usize).copied().unwrap_or(f64::NAN);
    Times(at(0.0), at(0.5), at(1.0))
}

/// Milliseconds to the head of the answer at this quantile.
pub fn first_token(asked: &[Asked], quantile: f64) -> f64 {
    let Ok(mut histogram) = Histogram::<u64>::new(3) else { return f64::NAN };
    for a in asked.iter().filter(|a| a.outcome == Outcome::Served) {
        let _ = histogram.record(a.answered.unwrap_or(a.sent).saturating_sub(a.sent).max(1));
    }
    histogram.value_at_quantile(quantile) as f64 / 1_000.0
}

/// Processor time in seconds and resident memory in MB of a process, as the system accounts for it.
fn usage(pid: u32) -> Option<(f64, f64)> {
    let stat = std::fs::read_to_string(format!("/proc/{pid}/stat")).ok()?;
    let fields: Vec<_> = stat.rsplit(')').next()?.split_whitespace().collect();
    let ticks: f64 = fields.get(11)?.parse::<f64>().ok()? + fields.get(12)?.parse::<f64>().ok()?;
    let status = std::fs::read_to_string(format!("/proc/{pid}/status")).ok()?;
    let line = status.lines().find(|line| line.starts_with("VmRSS:"))?;
    Some((ticks / 100.0, line.split_whitespace().nth(1)?.parse::<f64>().ok()? / 1024.0))
}

/// Descriptors and threads of a process.
fn holds(pid: u32) -> (usize, usize) {
    let count = |what: &str| std::fs::read_dir(format!("/proc/{pid}/{what}")).map_or(0, Iterator::count);
    (count("fd"), count("task"))
}

/// From proposal to the last activation, as the conductors' own logs show it.
async fn change(fleet: &Fleet, at: usize, mark: u64) -> Option<f64> {
    let running: Vec<_> = fleet.conductors.iter().filter(|c| c.runs()).collect();
    let places: Vec<_> = running.iter().map(|c| c.lines.count()).collect();
    let (operators, clock) = (fleet.conductors[at].place.operators, fleet.clock);
    let begun = clock.now();
    let text = document(mark, "serve");
    let proposal =
        tokio::spawn(async move { propose(operators, &text, false, Duration::from_secs(15), clock).await });
    for (conductor, place) in running.iter().zip(places) {
        if conductor.lines.wait(place, "is in force here").await.is_none() {
            println!("  change {mark} did not reach {}", conductor.place.name);
            return None;
        }
    }
    let took = (clock.now() - begun) as f64 / 1_000.0;
    let told = proposal.await.ok()?.told;
    if !matches!(told, Told::Applied(_)) {
        println!("  change {mark}: {told:?}");
        return None;
    }
    Some(took)
}

/// What conductors cost for five seconds, each.
pub async fn idle(fleet: &Fleet) -> String {
    let pids: Vec<_> = fleet.conductors.iter().filter_map(crate::conductor::Conductor::pid).collect();
    let before: Vec<_> = pids.iter().filter_map(|pid| usage(*pid)).collect();
    let sent = |statuses: &[Value]| statuses.iter().filter_map(|s| s["sent"]["bytes"].as_f64()).sum::<f64>();
    let statuses = |fleet: &Fleet| {
        let places: Vec<_> = fleet.conductors.iter().map(|c| c.place.operators).collect();
        async move {
            let mut all = Vec::new();
            for place in places {
                let told = crate::conductor::call(place, hyper::Method::GET, "/policy", "").await;
                all.extend(told.map(|(_, body)| body));
            }
            all
        }
    };
    let bytes = sent(&statuses(fleet).await);
    let seconds = 5.0;
    tokio::time::sleep(Duration::from_secs_f64(seconds)).await;
    let conductors = fleet.conductors.len() as f64;
    let bytes = (sent(&statuses(fleet).await) - bytes) / seconds / conductors;
    let after: Vec<_> = pids.iter().filter_map(|pid| usage(*pid)).collect();
    let cpu: f64 = after.iter().zip(&before).map(|(a, b)| a.0 - b.0).sum::<f64>() / seconds / conductors;
    let memory = after.iter().map(|a| a.1).fold(0.0, f64::max);
    let (descriptors, threads) = pids.iter().map(|pid| holds(*pid)).max().unwrap_or_default();
    format!(
        "{bytes:.0} bytes/s sent to others, {:.2} % of a core; at most {memory:.1} MB, {descriptors} descriptors, {threads} threads",
        cpu * 100.0
    )
}

/// All figures at one size.
pub async fn size(program: &Path, conductors: usize) -> std::io::Result<bool> {
    println!("{conductors} conductors");
    let size = Size { conductors, breakable: false, writers: 4, readers: 4, ..Size::default() };
    let mut fleet = Fleet::new(program, &size, 7).await?;
    if !fleet.start().await? {
        println!("  not all became ready");
        return Ok(false);
    }
    let targets: Vec<_> = fleet.conductors.iter().map(|c| c.place.clients).collect();
    // Warm the module's means, and connections.
    let load = Load::begin(targets.clone(), 100.0, 3, fleet.clock);
    tokio::time::sleep(Duration::from_secs(3)).await;
    load.end().await;
    println!("  idle, each: {}", idle(&fleet).await);
    // Changes a second apart against none, in slices by turns, so that the machine's drift falls on both alike.
    let (mut with, mut without, mut mark) = (Vec::new(), Vec::new(), 10_000);
    for slice in 0..10 {
        let load = Load::begin(targets.clone(), 250.0, 20 + slice, fleet.clock);
        for _ in 0..4 {
            tokio::time::sleep(Duration::from_millis(500)).await;
            if slice % 2 == 0 {
                mark += 1;
                change(&fleet, mark as usize % conductors, mark).await;
            }
            tokio::time::sleep(Duration::from_millis(500)).await;
        }
        let asked = load.end().await;
        if slice % 2 == 0 { with.extend(asked) } else { without.extend(asked) }
    }
    println!(
        "  a change a second: first answer p50 {:.2} ms, p99 {:.2} ms over {} requests; none: {:.2}, {:.2} over {}; p99 {:+.1} %",
        first_token(&with, 0.5),
        first_token(&with, 0.99),
        with.len(),
        first_token(&without, 0.5),
        first_token(&without, 0.99),
        without.len(),
        (first_token(&with, 0.99) / first_token(&without, 0.99) - 1.0) * 100.0
    );
    let mut all_up = Vec::new();
    let load = Load::begin(targets.clone(), 100.0, 5, fleet.clock);
    tokio::time::sleep(Duration::from_secs(6)).await;
    let calm = load.end().await;
    let load = Load::begin(targets, 100.0, 6, fleet.clock);
    let until = fleet.clock.now() + 6_000_000;
    while fleet.clock.now() < until {
        mark += 1;
        all_up.extend(change(&fleet, mark as usize % conductors, mark).await);
    }
    let busy = load.end().await;
    let not = |asked: &[Asked]| asked.iter().filter(|a| a.outcome != Outcome::Served).count();
    println!(
        "  all up, {} changes one after another under load: {:.0?} ms (least, median, most); first answer p50 {:.2} ms, p99 {:.2} ms \
         ({} of {} not served); without changes p50 {:.2}, p99 {:.2} ({} of {})",
        all_up.len(),
        times(all_up),
        first_token(&busy, 0.5),
        first_token(&busy, 0.99),
        not(&busy),
        busy.len(),
        first_token(&calm, 0.5),
        first_token(&calm, 0.99),
        not(&calm),
        calm.len()
    );
    let (mut killed, mut led) = (Vec::new(), Vec::new());
    for round in 0..3 {
        let Some(leader) = fleet.leader().await else { break };
        let victim = (leader + 1) % conductors;
        fleet.kill(victim).await;
        mark += 1;
        killed.extend(change(&fleet, leader, mark).await);
        fleet.restart(victim).await?;
        fleet.conductors[victim].ready().await;
        let Some(leader) = fleet.leader().await else { break };
        let other = (leader + 1 + round) % conductors;
        let other = if other == leader { (leader + 1) % conductors } else { other };
        fleet.kill(leader).await;
        mark += 1;
        led.extend(change(&fleet, other, mark).await);
        fleet.restart(leader).await?;
        fleet.conductors[leader].ready().await;
    }
    println!(
        "  one killed just before: {:.0?} ms; the leader killed just before: {:.0?} ms",
        times(killed),
        times(led)
    );
    Ok(settled(&fleet).await.len() == conductors)
}

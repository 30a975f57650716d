//! Histories of policy changes under faults: proposals while conductors are killed, stopped and cut off.

use std::path::Path;
use std::time::Duration;

use hyper::Method;
use rand::rngs::SmallRng;
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};
use rustix::process::Signal;
use serde_json::Value;

use crate::check::{self, Change, Stand, Told};
use crate::conductor::{TIMEOUT, call};
use crate::faults::Faults;
use crate::fleet::{Away, Fleet, Size, document};
use crate::load::{Asked, Load, Outcome, TIMEOUT as LOAD_TIMEOUT};
use crate::{Clock, Micros};

/// A run's result.
pub struct Report {
    /// What was done, a line each.
    pub told: Vec<String>,
    /// What should not be.
    pub found: Vec<String>,
    /// The changes.
    pub changes: Vec<Change>,
    /// The requests.
    pub asked: Vec<Asked>,
}

/// What an answer of a conductor says of a change.
pub fn told(body: &Value) -> Told {
    match body["outcome"].as_str() {
        Some("applied") => Told::Applied(body["revision"].as_u64().unwrap_or(0)),
        Some("turned_down") => Told::TurnedDown,
        _ => Told::Unknown,
    }
}

/// Proposes at a conductor's operators' address, and follows the change there until it has ended or `patience` is over.
pub async fn propose(
    at: std::net::SocketAddr, text: &str, bad: bool, patience: Duration, clock: Clock,
) -> Change {
    let proposed = clock.now();
    let until = tokio::time::Instant::now() + patience;
    let mut change = Change { id: None, proposed, ended: proposed, told: Told::Unknown, bad };
    let Some((_, mut body)) = call(at, Method::POST, "/policy", text).await else {
        change.ended = clock.now();
        return change;
    };
    loop {
        change.id = body["id"].as_str().map(str::to_owned).or(change.id);
        change.told = told(&body);
        let Some(id) = change.id.clone().filter(|_| change.told == Told::Unknown) else { break };
        if tokio::time::Instant::now() >= until {
            break;
        }
        tokio::time::sleep(Duration::from_millis(20)).await;
        if let Some((_, seen)) = call(at, Method::GET, &format!("/policy/changes/{id}"), "").await {
            body = seen;
        }
    }
    change.ended = clock.now();
    change
}

/// Where a conductor stands.
pub async fn stand(fleet: &Fleet, number: usize) -> Option<Stand> {
    let conductor = &fleet.conductors[number];
    let status = conductor.status().await?;
    let history = status["history"].as_array()?.iter();
    let history =
        history.filter_map(|past| Some((past["id"].as_str()?.to_owned(), past["revision"].as_u64())));
    Some(Stand {
        name: conductor.place.name.clone(),
        revision: status["revision"].as_u64()?,
        digest: status["digest"].as_str().map(str::to_owned),
        history: history.collect(),
    })
}

/// Waits until all that run stand at the same revision with no change under way, and gives where they stand.
pub async fn settled(fleet: &Fleet) -> Vec<Stand> {
    let until = tokio::time::Instant::now() + TIMEOUT;
    loop {
        let mut stands = Vec::new();
        let mut busy = false;
        for (number, conductor) in fleet.conductors.iter().enumerate().filter(|(_, c)| c.runs()) {
            let status = conductor.status().await.unwrap_or_default();
            busy |= !status["change"].is_null() || status["registered"] != true;
            stands.extend(stand(fleet, number).await);
        }
        let same = stands
            .windows(2)
            .all(|pair| pair[0].revision == pair[1].revision && pair[0].history == pair[1].history);
        if (same && !busy) || tokio::time::Instant::now() >= until {
            return stands;
        }
        tokio::time::sleep(Duration::from_millis(30)).await;
    }
}

/// All checks on a history. `away` excuses answers that were cut short.
pub fn findings(
    fleet: &Fleet, asked: &[Asked], changes: &[Change], stands: &[Stand], away: &[Away],
) -> Vec<String> {
    let cut_short = |a: &Asked| {
        let (from, to) = (a.sent, a.sent + LOAD_TIMEOUT.as_micros() as Micros);
        away.iter().any(|(at, since, until)| *at == a.at && from <= *until && *since <= to)
    };
    let mut found = check::one_moment(asked);
    found.extend(check::told_truly(changes, stands));
    found.extend(check::answered(asked, &cut_short));
    found.extend(check::come_back_told(asked));
    let now = fleet.clock.now();
    fleet.record.look(|seen| {
        found.extend(check::attempts_kept(asked, &seen.attempts));
        found.extend(check::nothing_pinned(asked, seen, now, &cut_short));
    });
    found
}

fn asleep(stopped: &[(usize, Micros)], who: usize) -> bool {
    stopped.iter().any(|(number, _)| *number == who)
}

/// Whole links, nobody stopped, everybody up.
pub async fn mend(
    fleet: &mut Fleet, stopped: &mut Vec<(usize, Micros)>, away: &mut Vec<Away>,
) -> std::io::Result<()> {
    fleet.disturb(Faults::default());
    for (who, since) in stopped.drain(..) {
        fleet.conductors[who].signal(Signal::CONT);
        away.push((who, since, fleet.clock.now()));
    }
    let down: Vec<_> = (0..fleet.conductors.len()).filter(|&n| !fleet.conductors[n].runs()).collect();
    for who in down {
        fleet.restart(who).await?;
    }
    Ok(())
}

/// Breaks something between or at conductors, or mends all; what it was. None where there was nothing to break.
pub async fn disturb_somehow(
    fleet: &mut Fleet, rng: &mut SmallRng, stopped: &mut Vec<(usize, Micros)>, away: &mut Vec<Away>,
) -> std::io::Result<Option<String>> {
    let conductors = fleet.conductors.len();
    let who = rng.random_range(0..conductors);
    let what = rng.random_range(0..9);
    let line = match what {
        0 if fleet.conductors[who].runs() && !asleep(stopped, who) => {
            away.push(fleet.kill(who).await);
            format!("n{who:02} is killed")
        }
        1 => match fleet.leader().await.filter(|leader| !asleep(stopped, *leader)) {
            Some(leader) => {
                away.push(fleet.kill(leader).await);
                format!("n{leader:02}, which leads, is killed")
            }
            None => return Ok(None),
        },
        2 if fleet.conductors[who].runs() && !asleep(stopped, who) => {
            fleet.conductors[who].signal(Signal::STOP);
            stopped.push((who, fleet.clock.now()));
            format!("n{who:02} is stopped")
        }
        3 => {
            fleet.cut(&[who], true);
            format!("n{who:02} is cut off")
        }
        4 => {
            let side: Vec<_> = (0..conductors).filter(|_| rng.random_bool(0.5)).collect();
            fleet.cut(&side, true);
            format!("{side:?} are cut off")
        }
        5 => {
            let to = rng.random_range(0..conductors);
            if let Some(link) = fleet.links.get(&(who, to)) {
                link.set(Faults { cut: true, ..Faults::default() });
            }
            format!("what n{who:02} says to n{to:02} is cut")
        }
        6 => {
            let (delay, jitter) = (Duration::from_millis(rng.random_range(0..30)), Duration::from_millis(60));
            fleet.disturb(Faults { delay, jitter, loss: 0.1, repeated: 0.1, swapped: 0.1, cut: false });
            "links lose, delay, repeat and reorder".into()
        }
        _ => {
            mend(fleet, stopped, away).await?;
            "all is mended".into()
        }
    };
    Ok(Some(line))
}

/// One seeded history: so many steps, each a fault or its end, with proposals at any conductor all along.
pub async fn history(program: &Path, seed: u64, steps: usize) -> std::io::Result<(Fleet, Report)> {
    let mut rng = SmallRng::seed_from_u64(seed);
    let conductors = *[3, 4, 5].choose(&mut rng).unwrap_or(&3);
    let silence = if rng.random_bool(0.5) { "serve" } else { "stop" };
    let size = Size { conductors, ..Size::default() };
    let mut fleet = Fleet::new(program, &size, seed).await?;
    let mut report = Report { told: Vec::new(), found: Vec::new(), changes: Vec::new(), asked: Vec::new() };
    if !fleet.start().await? {
        report.found.push("not all conductors became ready".into());
        return Ok((fleet, report));
    }
    let targets: Vec<_> = fleet.conductors.iter().map(|c| c.place.clients).collect();
    let load = Load::begin(targets, 60.0, seed, fleet.clock);
    let mut away: Vec<Away> = Vec::new();
    let mut stopped: Vec<(usize, Micros)> = Vec::new();
    report.told.push(format!("{conductors} conductors, silence = {silence}"));
    let mut proposals = Vec::new();
    for step in 0..steps {
        let at = rng.random_range(0..conductors);
        let bad = rng.random_bool(0.15);
        let text = if bad {
            document(step as u64, silence).replace("worth = 2", "wroth = 2")
        } else {
            document(step as u64, silence)
        };
        if fleet.conductors[at].runs() {
            let place = fleet.conductors[at].place.operators;
            let clock = fleet.clock;
            report.told.push(format!(
                "{} ms: proposal {step} at n{at:02}{}",
                clock.now() / 1_000,
                if bad { ", bad" } else { "" }
            ));
            proposals.push(tokio::spawn(async move {
                propose(place, &text, bad, Duration::from_secs(6), clock).await
            }));
        }
        // A fault while that is under way; its delay is part of the history.
        tokio::time::sleep(Duration::from_millis(rng.random_range(0..40))).await;
        let Some(line) = disturb_somehow(&mut fleet, &mut rng, &mut stopped, &mut away).await? else {
            continue;
        };
        report.told.push(format!("{} ms: {line}", fleet.clock.now() / 1_000));
        tokio::time::sleep(Duration::from_millis(rng.random_range(50..900))).await;
    }
    mend(&mut fleet, &mut stopped, &mut away).await?;
    report.told.push(format!("{} ms: all is mended", fleet.clock.now() / 1_000));
    for proposal in proposals {
        report.changes.extend(proposal.await);
    }
    for conductor in &fleet.conductors {
        if !conductor.ready().await {
            report.found.push(format!("{} does not become ready after all is mended", conductor.place.name));
        }
    }
    // With all up again a change passes.
    let last = loop {
        let place = fleet.conductors[0].place.operators;
        let change =
            propose(place, &document(9_999, silence), false, Duration::from_secs(10), fleet.clock).await;
        let done = change.told != Told::TurnedDown || fleet.clock.now() > 120_000_000;
        report.changes.push(change.clone());
        if done {
            break change;
        }
        tokio::time::sleep(Duration::from_millis(300)).await;
    };
    if !matches!(last.told, Told::Applied(_)) {
        report.found.push(format!("with all up again a change does not pass: {:?}", last.told));
    }
    let stands = settled(&fleet).await;
    report.asked = load.end().await;
    let late = findings(&fleet, &report.asked, &report.changes, &stands, &away);
    report.found.extend(late);
    let count = |outcome| report.asked.iter().filter(|a| a.outcome == outcome).count();
    let applied = report.changes.iter().filter(|c| matches!(c.told, Told::Applied(_))).count();
    let unknown = report.changes.iter().filter(|c| c.told == Told::Unknown).count();
    report.told.push(format!(
        "{} requests: {} served, {} refused, {} failed, {} cut short, {} unreachable; {} changes: {applied} applied, {unknown} unknown",
        report.asked.len(),
        count(Outcome::Served),
        count(Outcome::Refused),
        count(Outcome::Failed),
        count(Outcome::Lost) + count(Outcome::Broken),
        count(Outcome::Unreachable),
        report.changes.len()
    ));
    Ok((fleet, report))
}

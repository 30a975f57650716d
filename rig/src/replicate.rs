//! Histories of shared state under faults: operators' bans, named requests and probes while conductors die, stop and are cut off.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::{Method, Request};
use hyper_util::rt::TokioIo;
use rand::rngs::SmallRng;
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};
use rustix::process::Signal;
use serde_json::json;

use crate::check::{self, Banned, Cold, Decree};
use crate::conductor::{TIMEOUT, call};
use crate::fleet::{Away, Fleet, Size};
use crate::load::{Load, Outcome};
use crate::policy::{Report, disturb_somehow, findings, mend};
use crate::{Clock, Micros};

/// After the last fault copies are equal within this.
pub const CONVERGED_MOST: Micros = 4_000_000;

/// Requests a second over all conductors.
const RATE: f64 = 40.0;
/// A writer's part of them in a cold instance's window: five writers, two seconds.
const USUAL: f64 = RATE * 2.0 / 5.0;

/// What a client of the chat front was told of a named request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Named {
    /// It ran for this client.
    Served,
    /// Nothing was sent; trying again is harmless.
    Refused,
    /// It has run or may have run.
    Known,
    /// Failed or lost: it may have run.
    Unknown,
}

/// One try of a named request.
pub async fn ask_named(at: SocketAddr, name: &str) -> Named {
    let exchange = async {
        let socket = tokio::net::TcpStream::connect(at).await.ok()?;
        let (mut sender, connection) =
            hyper::client::conn::http1::handshake(TokioIo::new(socket)).await.ok()?;
        tokio::spawn(connection);
        let body = json!({ "model": "route-save", "stream": true, "prompt_cache_key": name,
            "messages": [{ "role": "user", "content": "save the route" }] });
        let request = Request::builder().method(Method::POST).uri("/v1/chat/completions");
        let request = request.header("host", "rig").header("idempotency-key", name);
        let request = request.header("content-type", "application/json");
        let request = request.body(Full::new(Bytes::from(body.to_string()))).ok()?;
        let answer = sender.send_request(request).await.ok()?;
        let status = answer.status().as_u16();
        let body = answer.into_body().collect().await.map(|body| body.to_bytes());
        Some(match (status, body) {
            (200, Ok(body)) if body.ends_with(b"[DONE]\n\n") => Named::Served,
            (409, _) => Named::Known,
            (429, _) => Named::Refused,
            _ => Named::Unknown,
        })
    };
    tokio::time::timeout(Duration::from_secs(8), exchange).await.ok().flatten().unwrap_or(Named::Unknown)
}

/// A client that wants its request run once: it tries at any conductor until it is told an end.
async fn client(targets: Vec<SocketAddr>, name: String, seed: u64) -> (String, Vec<Named>) {
    let mut rng = SmallRng::seed_from_u64(seed);
    let mut told = Vec::new();
    for _ in 0..4 {
        let Some(at) = targets.choose(&mut rng) else { break };
        told.push(ask_named(*at, &name).await);
        if matches!(told.last(), Some(Named::Served | Named::Known)) {
            break;
        }
        tokio::time::sleep(Duration::from_millis(rng.random_range(20..300))).await;
    }
    (name, told)
}

/// What an operator asks of a conductor: an instance out, or back.
pub async fn decree(at: SocketAddr, instance: &str, out: bool, clock: Clock) -> Decree {
    let asked = clock.now();
    let path = format!("/instances/{instance}/{}", if out { "maint" } else { "ready" });
    let told = call(at, Method::POST, &path, "").await;
    let kept = told.is_some_and(|(status, _)| status == 200);
    Decree { instance: instance.into(), out, asked, ended: clock.now(), kept }
}

/// Which instances a conductor has out.
pub async fn banned(at: SocketAddr) -> Option<BTreeSet<String>> {
    let (_, status) = call(at, Method::GET, "/status", "").await?;
    Some(status["maintenance"].as_object()?.keys().cloned().collect())
}

/// Waits until all that run have the same root and the same instances out; when that was, and what is out where.
pub async fn equal(fleet: &Fleet) -> (Option<Micros>, Vec<Banned>) {
    let until = tokio::time::Instant::now() + TIMEOUT;
    loop {
        let (mut roots, mut out) = (BTreeSet::new(), Vec::new());
        for conductor in fleet.conductors.iter().filter(|conductor| conductor.runs()) {
            let state = conductor.call(Method::GET, "/state", "").await;
            roots.insert(state.and_then(|(_, state)| state["root"].as_str().map(str::to_owned)));
            let instances = banned(conductor.place.operators).await.unwrap_or_default();
            out.push(Banned { name: conductor.place.name.clone(), instances });
        }
        let same = out.windows(2).all(|pair| pair[0].instances == pair[1].instances);
        if same && roots.len() == 1 && !roots.contains(&None) {
            return (Some(fleet.clock.now()), out);
        }
        if tokio::time::Instant::now() >= until {
            return (None, out);
        }
        tokio::time::sleep(Duration::from_millis(25)).await;
    }
}

/// One seeded history: so many steps, each a fault or its end, with bans, lifts and named requests at any conductor all along.
pub async fn history(program: &Path, seed: u64, steps: usize) -> std::io::Result<(Fleet, Report)> {
    let mut rng = SmallRng::seed_from_u64(seed);
    let conductors = *[3, 4, 5].choose(&mut rng).unwrap_or(&3);
    let size = Size { conductors, writers: 5, probes: true, chat: true, ..Size::default() };
    let mut fleet = Fleet::new(program, &size, seed).await?;
    let mut report = Report { told: Vec::new(), found: Vec::new(), changes: Vec::new(), asked: Vec::new() };
    if !fleet.start().await? {
        report.found.push("not all conductors became ready".into());
        return Ok((fleet, report));
    }
    report.told.push(format!("{conductors} conductors"));
    let targets: Vec<_> = fleet.conductors.iter().map(|c| c.place.clients).collect();
    let chats: Vec<_> = fleet.conductors.iter().map(|c| c.place.chat).collect();
    let load = Load::begin(targets, RATE, seed, fleet.clock);
    let (mut away, mut stopped): (Vec<Away>, Vec<(usize, Micros)>) = (Vec::new(), Vec::new());
    let (mut decrees, mut clients) = (Vec::new(), Vec::new());
    for step in 0..steps {
        // Two of five writers are ever out, so that there is always one to serve.
        let instance = format!("w{}", rng.random_range(0..2));
        let (at, out) = (rng.random_range(0..conductors), rng.random_bool(0.6));
        if fleet.conductors[at].runs() {
            let (place, clock) = (fleet.conductors[at].place.operators, fleet.clock);
            report.told.push(format!(
                "{} ms: {instance} is {} at n{at:02}",
                clock.now() / 1_000,
                if out { "banned" } else { "lifted" }
            ));
            decrees.push(tokio::spawn(async move { decree(place, &instance, out, clock).await }));
        }
        for n in 0..3 {
            let name = format!("{seed}-{step}-{n}");
            clients.push(tokio::spawn(client(chats.clone(), name, rng.random())));
        }
        tokio::time::sleep(Duration::from_millis(rng.random_range(0..60))).await;
        let Some(line) = disturb_somehow(&mut fleet, &mut rng, &mut stopped, &mut away).await? else {
            continue;
        };
        report.told.push(format!("{} ms: {line}", fleet.clock.now() / 1_000));
        tokio::time::sleep(Duration::from_millis(rng.random_range(50..900))).await;
    }
    mend(&mut fleet, &mut stopped, &mut away).await?;
    let mended = fleet.clock.now();
    report.told.push(format!("{} ms: all is mended", mended / 1_000));
    let (mut given, mut told) = (Vec::new(), BTreeMap::new());
    for decree in decrees {
        given.extend(decree.await);
    }
    for client in clients {
        told.extend(client.await);
    }
    for conductor in &fleet.conductors {
        if !conductor.ready().await {
            report.found.push(format!("{} does not become ready after all is mended", conductor.place.name));
        }
    }
    // The last words came before this moment; copies have to be equal soon after.
    let calm = fleet.clock.now();
    let (converged, out) = equal(&fleet).await;
    match converged {
        Some(at) if at - calm <= CONVERGED_MOST => {
            report.told.push(format!("equal {} ms after all were ready", (at - calm) / 1_000));
        }
        Some(at) => report
            .found
            .push(format!("copies are equal only {} ms after all were ready", (at - calm) / 1_000)),
        None => report.found.push(format!("copies never are equal: {out:?}")),
    }
    report.found.extend(check::bans_kept(&given, &out));
    let names: BTreeMap<String, bool> =
        told.iter().map(|(name, told)| (name.clone(), told.contains(&Named::Served))).collect();
    report.asked = load.end().await;
    fleet.record.look(|seen| report.found.extend(check::named_once(&names, &seen.attempts)));
    // One more of each at calm: it works.
    let name = format!("{seed}-last");
    let last = client(chats, name, seed).await.1;
    if last.last() != Some(&Named::Served) {
        report.found.push(format!("with all up again a named request is not served: {last:?}"));
    }
    // The platform's front keeps cold instances by the sum of all conductors; the chat front's servers are listed in its file.
    let banned_before = |lift: &Decree| {
        let of =
            |ban: &&Decree| ban.out && ban.kept && ban.instance == lift.instance && ban.ended < lift.asked;
        given.iter().any(|ban| of(&ban))
    };
    let lifts = given.iter().filter(|d| !d.out && d.kept && banned_before(d));
    let returns: Vec<_> = lifts.map(|lift| (lift.instance.clone(), lift.ended)).collect();
    let cold = Cold { fall_multiple: 3.0, window: 2_000_000, ramp: 13_000_000, start: 0.28 };
    fleet.record.look(|seen| {
        let plain: Vec<_> = seen.attempts.iter().filter(|a| !names.contains_key(&a.id)).cloned().collect();
        report.found.extend(check::cold_spared(&returns, &plain, cold, USUAL));
    });
    let late = findings(&fleet, &report.asked, &[], &[], &away);
    // Clients of the chat front have checks of their own.
    report.found.extend(late.into_iter().filter(|line| !names.keys().any(|name| line.starts_with(name))));
    let count = |outcome| report.asked.iter().filter(|a| a.outcome == outcome).count();
    let named = |wanted| told.values().flatten().filter(|told| **told == wanted).count();
    report.told.push(format!(
        "{} requests: {} served, {} refused; {} decrees, {} kept; {} named: {} served, {} refused tries, {} known, {} unknown",
        report.asked.len(),
        count(Outcome::Served),
        count(Outcome::Refused),
        given.len(),
        given.iter().filter(|decree| decree.kept).count(),
        told.len(),
        named(Named::Served),
        named(Named::Refused),
        named(Named::Known),
        named(Named::Unknown)
    ));
    Ok((fleet, report))
}

/// Stops a conductor, or lets it go on.
pub fn stop(fleet: &Fleet, number: usize, stopped: bool) {
    fleet.conductors[number].signal(if stopped { Signal::STOP } else { Signal::CONT });
}

//! Figures of shared state: what it costs, how soon copies come together, what it spares.

use std::path::Path;
use std::time::Duration;

use crate::fleet::{Fleet, Size};
use crate::load::{Load, Outcome};
use crate::measure::{first_token, idle, times};
use crate::replicate::{Named, ask_named, decree, equal};

/// Steady cost for each conductor at one size, without and with load.
pub async fn steady(program: &Path, conductors: usize) -> std::io::Result<()> {
    let size = Size { conductors, breakable: false, writers: 4, readers: 4, probes: true, ..Size::default() };
    let mut fleet = Fleet::new(program, &size, 7).await?;
    if !fleet.start().await? {
        println!("{conductors} conductors: not all became ready");
        return Ok(());
    }
    tokio::time::sleep(Duration::from_secs(2)).await;
    println!("{conductors} conductors, no load: {}", idle(&fleet).await);
    let load = Load::begin(fleet.conductors.iter().map(|c| c.place.clients).collect(), 150.0, 3, fleet.clock);
    println!("{conductors} conductors, 150 requests a second over all: {}", idle(&fleet).await);
    load.end().await;
    Ok(())
}

/// How soon five copies are equal after a cut heals, with bans and lifts on both sides.
pub async fn healing(program: &Path) -> std::io::Result<()> {
    let mut fleet = Fleet::new(program, &Size { conductors: 5, writers: 5, ..Size::default() }, 8).await?;
    if !fleet.start().await? {
        return Ok(());
    }
    let mut all = Vec::new();
    for round in 0..7 {
        fleet.cut(&[0, 1], true);
        let places: Vec<_> = fleet.conductors.iter().map(|c| c.place.operators).collect();
        for (at, instance, out) in [(0, "w0", round % 2 == 0), (3, "w1", round % 2 == 0), (4, "w0", true)] {
            decree(places[at], instance, out, fleet.clock).await;
        }
        tokio::time::sleep(Duration::from_millis(700)).await;
        let healed = fleet.clock.now();
        fleet.cut(&[0, 1], false);
        if let (Some(at), _) = equal(&fleet).await {
            all.push((at - healed) as f64 / 1_000.0);
        }
    }
    println!(
        "5 conductors, healing of a cut until all copies are equal: {:.0?} (least, median, most) ms",
        times(all)
    );
    Ok(())
}

/// First answers at five conductors while five others return at once.
pub async fn returning(program: &Path) -> std::io::Result<()> {
    let size = Size { conductors: 10, breakable: false, readers: 4, writers: 4, ..Size::default() };
    let mut fleet = Fleet::new(program, &size, 9).await?;
    if !fleet.start().await? {
        return Ok(());
    }
    let targets: Vec<_> = fleet.conductors[..5].iter().map(|c| c.place.clients).collect();
    let (mut calm, mut during, mut took) = (Vec::new(), Vec::new(), Vec::new());
    for round in 0..4 {
        let load = Load::begin(targets.clone(), 200.0, 40 + round, fleet.clock);
        tokio::time::sleep(Duration::from_secs(3)).await;
        calm.extend(load.end().await);
        for n in 5..10 {
            fleet.kill(n).await;
        }
        let load = Load::begin(targets.clone(), 200.0, 60 + round, fleet.clock);
        tokio::time::sleep(Duration::from_millis(500)).await;
        let begun = fleet.clock.now();
        for n in 5..10 {
            fleet.restart(n).await?;
        }
        for n in 5..10 {
            fleet.conductors[n].ready().await;
        }
        took.push((fleet.clock.now() - begun) as f64 / 1_000.0);
        tokio::time::sleep(Duration::from_millis(1_500)).await;
        during.extend(load.end().await);
    }
    println!(
        "five of ten return at once: all ready after {:.0?} ms; first answer p99 {:.2} ms over {} requests, {:.2} over {} at rest",
        times(took),
        first_token(&during, 0.99),
        during.len(),
        first_token(&calm, 0.99),
        calm.len()
    );
    Ok(())
}

/// What a name costs a request, and what sharing spares in probes.
pub async fn names_and_probes(program: &Path) -> std::io::Result<()> {
    for cluster in [true, false] {
        let size = Size {
            conductors: 5,
            cluster,
            breakable: false,
            writers: 5,
            probes: true,
            chat: true,
            ..Size::default()
        };
        let mut fleet = Fleet::new(program, &size, 10).await?;
        if !fleet.start().await? {
            return Ok(());
        }
        let mut took = Vec::new();
        for n in 0..200 {
            let begun = fleet.clock.now();
            let told = ask_named(fleet.conductors[n % 5].place.chat, &format!("name-{n}")).await;
            if told == Named::Served {
                took.push((fleet.clock.now() - begun) as f64 / 1_000.0);
            }
        }
        fleet.record.look(|seen| seen.probes.clear());
        let load =
            Load::begin(fleet.conductors.iter().map(|c| c.place.clients).collect(), 60.0, 5, fleet.clock);
        tokio::time::sleep(Duration::from_secs(10)).await;
        let asked = load.end().await;
        let probes = fleet.record.look(|seen| seen.probes.len());
        let served = asked.iter().filter(|a| a.outcome == Outcome::Served).count();
        println!(
            "5 conductors {}: a whole named exchange {:.2?} ms (least, median, most); in 10 s of load {probes} probes, {served} of {} served",
            if cluster { "that share" } else { "that share nothing" },
            times(took),
            asked.len()
        );
    }
    Ok(())
}

/// All of it.
pub async fn all(program: &Path, sizes: &[usize]) -> std::io::Result<bool> {
    healing(program).await?;
    returning(program).await?;
    names_and_probes(program).await?;
    for size in sizes {
        steady(program, *size).await?;
    }
    Ok(true)
}

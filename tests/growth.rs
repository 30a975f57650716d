//! How the module's work grows with the list: counted in hosts looked at, never in seconds.
mod common;

use common::*;
use croftsill::api::*;

/// Readers for each writer.
const READERS_EACH: u32 = 2;
/// What a request may cost from its arrival to its end, in walks over all hosts.
const WALKS_A_REQUEST: u64 = 30;

/// A router among many, with so many hosts.
fn rig(hosts: u32) -> Rig {
    let limits = Limits { probes: true, ..settings().limits };
    let kind = |host: u32| usize::from(host.is_multiple_of(READERS_EACH + 1));
    let members: Vec<_> = (0..hosts).map(|host| in_cell(host, kind(host), i64::from(host % 40))).collect();
    Rig::new(Settings { routers: 300, limits, ..settings() }, &members)
}

fn looks(rig: &mut Rig, mut act: impl FnMut(&mut Rig)) -> u64 {
    let before = rig.router.hosts_examined();
    act(rig);
    rig.router.hosts_examined() - before
}

/// Brings a request to its reader, past the answers of the readers that are asked first.
fn reads(rig: &mut Rig, id: u64) -> u32 {
    let out = rig.request(id);
    let asked = out.iter().filter_map(|action| match action {
        Action::Probe(host) => Some(*host),
        _ => None,
    });
    let load = Load { in_flight: Some(1.0), memory: Some(0.2), ..Load::default() };
    let told =
        asked.map(|host| Event::ProbeEnded { host, outcome: Outcome::Served, load: Some(load.clone()) });
    let told: Vec<_> = told.collect();
    sent_to(&out).or_else(|| sent_to(&rig.step(MS, &told))).expect("a reader")
}

#[test]
fn a_request_costs_as_many_walks_among_3200_hosts_as_among_200() {
    for hosts in [200, 3_200] {
        let mut rig = rig(hosts);
        for id in 1..20 {
            let looked = looks(&mut rig, |rig| {
                let reader = reads(rig, id);
                let writer = sent_to(&rig.end(id, reader, Outcome::Read)).expect("a writer");
                rig.step(20 * MS, &[began(id, writer)]);
                rig.step(S, &[ended(id, writer, Outcome::Served, true)]);
            });
            assert!(looked <= WALKS_A_REQUEST * u64::from(hosts), "{looked} of {hosts}");
        }
    }
}

/// Streams that run, their ends and changes of the list cost no walk for each.
#[test]
fn what_is_told_while_nothing_waits_costs_no_walk() {
    let mut rig = rig(3_200);
    let reader = reads(&mut rig, 1);
    let writer = sent_to(&rig.end(1, reader, Outcome::Read)).expect("a writer");
    let looked = looks(&mut rig, |rig| {
        rig.step(20 * MS, &[began(1, writer)]);
        for _ in 0..100 {
            rig.step(20 * MS, &[]);
        }
        rig.step(S, &[ended(1, writer, Outcome::Served, true)]);
    });
    assert_eq!(looked, 0);
    let many: Vec<_> = (0..100)
        .map(|n| Event::HostList {
            is_complete: false,
            members: vec![Member { phase: Phase::Draining, ..in_cell(n, 0, 0) }],
        })
        .collect();
    let looked = looks(&mut rig, |rig| drop(rig.step(MS, &many)));
    assert!(looked <= 2 * 3_200, "{looked}");
}

/// A prompt that no writer takes is tried at a bounded number of readers, not at one in eight of all.
#[test]
fn a_request_that_finds_no_writer_costs_a_bounded_number_of_walks() {
    let limits = Limits { probes: true, ..settings().limits };
    for hosts in [200, 3_200] {
        let kind = |host: u32| usize::from(host.is_multiple_of(READERS_EACH + 1));
        let members: Vec<_> = (0..hosts).map(|host| in_cell(host, kind(host), 0)).collect();
        let mut settings = Settings { routers: 300, limits: limits.clone(), ..settings() };
        // No writer has memory for a single answer.
        settings.kinds[1].memory = Some(1.0);
        let mut rig = Rig::new(settings, &members);
        rig.request(1);
        let looked = looks(&mut rig, |rig| drop(rig.tick(100 * MS)));
        assert!((1..=70 * u64::from(hosts)).contains(&looked), "{looked} of {hosts}");
    }
}

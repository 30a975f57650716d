//! What the policy lets be spent: repeats, cold hosts, tenants' shares, weights of sites.
mod common;

use std::collections::BTreeMap;
use std::rc::Rc;

use common::*;
use croftsill::api::*;
use croftsill::estimate::{DecayingMean, Spending};

/// Requests whose writes all fail; how many attempts they had together.
fn attempts_while_all_fails(budget: Option<f64>, requests: u64, others: Option<Spending>) -> u32 {
    let budgets = Budgets { retries: budget, ..Budgets::default() };
    let members: Vec<_> = [member(READER, 0)].into_iter().chain((10..40).map(|h| member(h, 1))).collect();
    let mut rig = Rig::new(Settings { budgets, ..settings() }, &members);
    rig.step(0, &others.map(|others| Event::PeerSpending(Rc::new(others))).into_iter().collect::<Vec<_>>());
    let mut attempts = 0;
    for id in 0..requests {
        let mut out = rig.request(id);
        let mut answers = 0;
        while let Some(host) = sent_to(&out) {
            attempts += 1;
            let outcome = if host == READER { Outcome::Read } else { Outcome::Broken };
            out = rig.step(MS, &[ended(id, host, outcome, false)]);
            answers += finals(&out);
        }
        assert_eq!(answers, 1, "one final answer");
        rig.step(500 * MS, &[]);
    }
    attempts
}

#[test]
fn repeats_stay_within_their_budget() {
    let (free, bounded, none) = (
        attempts_while_all_fails(None, 40, None),
        attempts_while_all_fails(Some(0.25), 40, None),
        attempts_while_all_fails(Some(0.0), 40, None),
    );
    assert_eq!((free, none), (160, 80));
    assert!((85..=95).contains(&bounded), "{bounded}");
}

#[test]
fn repeats_that_others_have_begun_count() {
    let now = 100 * S;
    let spent = |arrived, retried| Spending {
        arrived: DecayingMean { value: arrived, updated_at: now },
        retried: DecayingMean { value: retried, updated_at: now },
        ..Spending::default()
    };
    let idle = attempts_while_all_fails(Some(0.2), 1, Some(spent(100.0, 0.0)));
    let busy = attempts_while_all_fails(Some(0.2), 1, Some(spent(100.0, 60.0)));
    assert_eq!((idle, busy), (4, 2));
}

/// Of two tenants with the same demand, how much work each is admitted to.
fn admitted_of(shares: [Option<f64>; 2]) -> [usize; 2] {
    let tenants = shares.map(|share| Tenant { quota_per_s: 0.0, share }).to_vec();
    let mut rig = Rig::new(Settings { tenants, ..settings() }, &[member(READER, 0), member(WRITER, 1)]);
    let mut admitted = [0, 0];
    let (mut owner, mut reads, mut streams) = (BTreeMap::new(), Vec::new(), Vec::new());
    for round in 0..600_u64 {
        let mut events = Vec::new();
        for tenant in 0..2_u64 {
            // The second asks four times as often.
            if tenant == 1 || round % 4 == 0 {
                let id = round * 2 + tenant;
                owner.insert(id, tenant as usize);
                events
                    .push(Event::Request(NewRequest { tenant: Some(TenantId(tenant as usize)), ..ask(id) }));
            }
        }
        reads.drain(..).for_each(|id| events.push(ended(id, READER, Outcome::Read, false)));
        let done = streams.extract_if(.., |(_, begun)| round >= *begun + 80);
        events.extend(done.map(|(id, _)| ended(id, WRITER, Outcome::Served, true)));
        for action in rig.step(50 * MS, &events) {
            match action {
                Action::Send { request, host: HostId(READER), .. } => {
                    admitted[owner[&request.0]] += 1;
                    reads.push(request.0);
                }
                Action::Send { request, .. } => {
                    rig.step(0, &[began(request.0, WRITER)]);
                    streams.push((request.0, round));
                }
                _ => {}
            }
        }
    }
    admitted
}

#[test]
fn a_tenant_within_its_share_comes_before_one_beyond() {
    let [quiet, loud] = admitted_of([None, None]);
    let [kept, bounded] = admitted_of([Some(0.5), Some(0.5)]);
    assert!(quiet * 2 < loud, "without shares demand decides: {quiet} and {loud}");
    assert!(kept >= quiet * 5 / 4 && kept >= 100, "{kept} with a share, {quiet} without");
    // What the one leaves the other takes: shares waste nothing.
    assert!(kept + bounded >= (quiet + loud) * 95 / 100, "{} and {}", kept + bounded, quiet + loud);
}

#[test]
fn sites_are_chosen_by_their_weight() {
    let at =
        |host, kind, zone| Member { zone: ZoneId(zone), cell: CellId(zone as i64), ..member(host, kind) };
    let members = [at(1, 0, 0), at(2, 0, 1), at(10, 1, 0), at(11, 1, 1)];
    let reads = |zone_weights| {
        let mut rig = Rig::new(Settings { zone_weights, ..settings() }, &members);
        let far = (0..200).filter(|&id| {
            let ask = NewRequest { prefix: Some(TextKey(id)), session: Some(TextKey(id)), ..ask(id) };
            let at = sent_to(&rig.step(S, &[Event::Request(ask)]));
            let reader = at.expect("it is read");
            let writer = sent_to(&rig.end(id, reader, Outcome::Read)).expect("it is written");
            rig.step(0, &[began(id, writer), ended(id, writer, Outcome::Served, true)]);
            reader == 2
        });
        far.count()
    };
    let (same, less, never) = (reads(Vec::new()), reads(vec![1.0, 0.25]), reads(vec![1.0, 0.0]));
    assert!((60..140).contains(&same), "{same}");
    assert!((10..80).contains(&less), "{less}");
    assert_eq!(never, 0);
}

#[test]
fn what_all_send_to_a_cold_host_is_counted_where_they_tell_one_another() {
    let sent = |theirs: f64| {
        let members: Vec<_> = (1..5).map(|h| member(h, 0)).chain([member(20, 1), member(21, 1)]).collect();
        let mut rig = Rig::new(settings(), &members);
        let cold = Member { started: Some(rig.now), ..member(1, 0) };
        rig.step(0, &[Event::HostList { is_complete: false, members: vec![cold] }]);
        let mut there = 0;
        for id in 0..200 {
            let fresh = |value| DecayingMean { value, updated_at: rig.now };
            let others = Spending {
                reads: fresh(200.0),
                writes: fresh(200.0),
                cold: BTreeMap::from([(1, fresh(theirs))]),
                ..Spending::default()
            };
            let ask = NewRequest { prefix: Some(TextKey(id)), session: Some(TextKey(id)), ..ask(id) };
            let out = rig.step(20 * MS, &[Event::PeerSpending(Rc::new(others)), Event::Request(ask)]);
            let Some(reader) = sent_to(&out) else { continue };
            there += u32::from(reader == 1);
            let writer = sent_to(&rig.step(0, &[ended(id, reader, Outcome::Read, false)]));
            let Some(writer) = writer else { continue };
            rig.step(0, &[began(id, writer), ended(id, writer, Outcome::Served, true)]);
        }
        there
    };
    assert!(sent(0.0) > 0);
    assert_eq!(sent(1_000.0), 0, "others have sent it all that it takes");
}

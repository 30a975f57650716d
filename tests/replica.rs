//! Replicated state: the laws of each merge, copies that differ, clocks that jump, comparisons that break off.
#![cfg(feature = "cluster")]

use std::collections::{BTreeMap, BTreeSet};

use croftsill::api::Micros;
use croftsill::control::state::{Agreed, Session};
use croftsill::estimate::{DecayingMean, SpeedCurve, Spending};
use croftsill::peers::PeerMessage;
use croftsill::replica::clock::{HybridClock, MAX_CLOCK_SKEW_US, Timestamp};
use croftsill::replica::idempotency::{
    CLAIM_RETENTION, ClaimAnswer, ClaimDecision, ClaimId, ClaimRecord, ClaimTable, MAX_CLAIMS, RequestName,
    Stage,
};
use croftsill::replica::marks::{Dot, Marks, Subject};
use croftsill::replica::share::{SharedState, StoredState};
use croftsill::replica::store::{
    EPHEMERAL_LIFETIME_US, EstimatesSnapshot, InstanceReport, Key, LwwRegister, MergeError, OwnedRegister,
    Replica, SpendingSnapshot, Value,
};
use croftsill::replica::sync::{CATCH_UP_TIMEOUT_US, MAX_CATCH_UPS_PER_SOURCE, SyncMessage, Synchronizer};
use croftsill::replica::{Owner, TOMBSTONE_RETENTION_US};
use proptest::prelude::*;

const S: Micros = 1_000_000;
const NOW: Micros = 1_000_000 * S;
/// Bytes of an item of [`World::fill`], encoded.
const ITEM: usize = 41;

fn instance(n: u8) -> Subject {
    Subject::Instance(format!("w{n}"))
}

// ---- Marks ----

/// What three copies do: set, lift, or take another's whole copy in; and which marks were set, and lifted.
fn play(steps: &[(u8, u8, u8)]) -> (Vec<Marks>, Vec<(Subject, Dot)>, BTreeSet<Dot>) {
    let mut copies = vec![Marks::default(); 3];
    let (mut set, mut lifted, mut replaced) = (Vec::new(), BTreeSet::new(), BTreeSet::new());
    for (n, &(who, what, on)) in steps.iter().enumerate() {
        let who = usize::from(who) % 3;
        let subject = instance(on % 3);
        match what % 4 {
            0 | 1 => {
                let before = copies[who].dots_of(&subject);
                let dot = copies[who].add(Session(who as u64), subject.clone(), NOW + n as Micros);
                set.extend(dot.map(|dot| (subject, dot)));
                replaced.extend(before);
            }
            2 => lifted.extend(copies[who].remove(&subject).into_iter().flatten()),
            _ => {
                let other = copies[usize::from(on) % 3].clone();
                copies[who].merge(&other);
            }
        }
    }
    set.retain(|(_, dot)| !replaced.contains(dot));
    (copies, set, lifted)
}

fn merged(one: &Marks, other: &Marks) -> Marks {
    let mut all = one.clone();
    all.merge(other);
    all
}

fn steps() -> impl Strategy<Value = Vec<(u8, u8, u8)>> {
    prop::collection::vec((any::<u8>(), any::<u8>(), any::<u8>()), 0..40)
}

proptest! {
    #[test]
    fn marks_merge_alike_in_every_order(steps in steps()) {
        let (copies, ..) = play(&steps);
        let [a, b, c] = &copies[..] else { panic!("three") };
        prop_assert_eq!(merged(a, b), merged(b, a));
        prop_assert_eq!(merged(&merged(a, b), c), merged(a, &merged(b, c)));
        prop_assert_eq!(&merged(a, a), a);
        prop_assert_eq!(merged(&merged(a, b), b), merged(a, b));
    }

    /// A mark is gone only where a lift had seen it, whatever was merged when.
    #[test]
    fn no_mark_is_forgotten_that_no_lift_had_seen(steps in steps()) {
        let (copies, set, lifted) = play(&steps);
        let all = merged(&merged(&copies[0], &copies[1]), &copies[2]);
        // What stands elsewhere is a mark that nobody lifted, or one that took the place of such.
        let stands: BTreeSet<_> =
            set.iter().filter(|(_, dot)| !lifted.contains(dot)).map(|(subject, _)| subject.clone()).collect();
        prop_assert_eq!(all.iter().map(|(subject, _)| subject.clone()).collect::<BTreeSet<_>>(), stands);
        prop_assert!(copies.iter().all(|copy| copy.is_included_in(&all) && copy.is_valid()));
    }
}

#[test]
fn a_ban_set_while_another_is_lifted_stays_until_a_lift_that_has_seen_it() {
    let mut one = Marks::default();
    one.add(Session(1), instance(1), NOW);
    let mut other = one.clone();
    one.remove(&instance(1));
    other.add(Session(2), instance(1), NOW + 1);
    let (left, right) = (merged(&one, &other), merged(&other, &one));
    assert_eq!(left, right);
    assert_eq!(left.marked_since(&instance(1)), Some(NOW), "the ban that nobody lifted holds");
    let mut after = left;
    after.remove(&instance(1));
    assert_eq!(merged(&after, &other).marked_since(&instance(1)), None, "an old copy does not bring it back");
    // One that is banned already and is banned once more stays so, though the first ban is lifted at the same time.
    let mut one = Marks::default();
    one.add(Session(1), instance(1), NOW);
    let mut other = one.clone();
    one.remove(&instance(1));
    other.add(Session(2), instance(1), NOW + 1);
    assert_eq!(merged(&one, &other).marked_since(&instance(1)), Some(NOW));
}

#[test]
fn what_is_known_of_ended_processes_is_collected_after_the_horizon() {
    let mut marks = Marks::default();
    for run in 0..50 {
        marks.add(Session(run), instance(1), NOW + run as Micros);
        marks.remove(&instance(1));
    }
    marks.add(Session(99), instance(2), NOW);
    let before = format!("{marks:?}").len();
    marks.collect_garbage(NOW + TOMBSTONE_RETENTION_US + S);
    assert!(format!("{marks:?}").len() * 5 < before && marks.marked_since(&instance(2)) == Some(NOW));
}

// ---- Items ----

fn report(failed: bool, time: Micros, counter: u32, by: u64) -> Value {
    let value = Some(InstanceReport { failed, in_flight: Some(counter.into()), memory: None });
    Value::Report(LwwRegister { timestamp: Timestamp { time, counter, writer: Owner(by) }, value })
}

fn spent(run: u64, sequence: u64) -> Value {
    let value = SpendingSnapshot {
        totals: [run as f64, sequence as f64, 1.0, 2.0],
        tenant_tokens: vec![(0, 1.0)],
        cold_sends: vec![(7, sequence as f64)],
    };
    Value::Spent(OwnedRegister { run, sequence, value })
}

fn learnt(run: u64, sequence: u64) -> Value {
    let mut curve = SpeedCurve::default();
    (0..sequence).for_each(|_| curve.add_stream(1.0, 100.0, 6e6));
    Value::Learnt(OwnedRegister {
        run,
        sequence,
        value: EstimatesSnapshot { curves: vec![curve], means: [80.0, 1e5, 500.0, 0.5] },
    })
}

/// Items as their writers make them: of one version there is one content.
fn items() -> impl Strategy<Value = Vec<(Key, Value)>> {
    let one = (0..4_u8, 0..3_u64, 1..4_u64, 1..6_u64).prop_map(|(kind, who, run, n)| match kind {
        0 => {
            let key = Key::Report(format!("w{who}"));
            let by = n % 3;
            (key, report((run + n + by) % 2 == 0, NOW + run as Micros, n as u32, by))
        }
        1 => {
            let timestamp = Timestamp { time: NOW + run as Micros, counter: n as u32, writer: Owner(who) };
            let value = (run != 2).then_some((run * 10 + n) as i64);
            (Key::Return(format!("w{}", n % 3)), Value::Return(LwwRegister { timestamp, value }))
        }
        2 => (Key::Spent(Owner(who)), spent(run, n)),
        _ => (Key::Learnt(Owner(who)), learnt(run, n)),
    });
    prop::collection::vec(one, 0..30)
}

fn all_of(replica: &Replica) -> Vec<(Key, Value)> {
    replica.items().map(|(key, value)| (key.clone(), value.clone())).collect()
}

fn take_all(replica: &mut Replica, items: &[(Key, Value)]) {
    for (key, value) in items {
        let _ = replica.merge(NOW, Owner(9), key.clone(), value.clone());
    }
}

proptest! {
    #[test]
    fn items_merge_alike_in_every_order_and_however_often(items in items(), turn in any::<prop::sample::Index>()) {
        let mut straight = Replica::new("a", NOW);
        take_all(&mut straight, &items);
        let mut turned = Replica::new("a", NOW);
        let mut other = items.clone();
        if !other.is_empty() {
            other.rotate_left(turn.index(items.len()));
        }
        other.reverse();
        take_all(&mut turned, &other);
        prop_assert_eq!(all_of(&straight), all_of(&turned));
        prop_assert_eq!(straight.root_digest(), turned.root_digest());
        take_all(&mut straight, &items);
        prop_assert_eq!(all_of(&straight), all_of(&turned), "once more changes nothing");
        // Merging copies is merging what went into them.
        let (mut left, mut right) = (Replica::new("b", NOW), Replica::new("c", NOW));
        let (first, second) = items.split_at(items.len() / 2);
        take_all(&mut left, first);
        take_all(&mut right, second);
        let theirs = all_of(&right);
        take_all(&mut left, &theirs);
        prop_assert_eq!(all_of(&left), all_of(&straight));
    }

    /// Whatever bytes come: nothing panics, and what is kept stays in bounds.
    #[test]
    fn no_words_of_a_peer_do_harm(bytes in prop::collection::vec(any::<u8>(), 0..600)) {
        let mut replica = Replica::new("a", NOW);
        let mut sync = Synchronizer::new("a", NOW);
        if let Ok(say) = postcard::from_bytes::<SyncMessage>(&bytes) {
            let _ = sync.handle_message(NOW, &mut replica, "b", 3, say);
        }
        let sum = xxhash_rust::xxh3::xxh3_64(&bytes);
        let _ = sync.handle_message(NOW, &mut replica, "b", 3, SyncMessage::Chunk(bytes, sum, Some((1, 1)), true));
        sync.tick(NOW + S, &mut replica, &["b"]);
        prop_assert!(replica.items().count() < 600);
    }
}

#[test]
fn impossible_figures_and_wrong_kinds_are_turned_down() {
    let mut replica = Replica::new("a", NOW);
    let mut merge = |key: Key, value: Value| replica.merge(NOW, Owner(9), key, value);
    let huge = SpendingSnapshot { totals: [f64::NAN, 0.0, 0.0, 0.0], ..SpendingSnapshot::default() };
    let spent_of = |value| Value::Spent(OwnedRegister { run: 1, sequence: 1, value });
    assert_eq!(merge(Key::Spent(Owner(1)), spent_of(huge)), Err(MergeError::Invalid));
    let many = SpendingSnapshot { cold_sends: vec![(1, 1.0); 2_000], ..SpendingSnapshot::default() };
    assert_eq!(merge(Key::Spent(Owner(1)), spent_of(many)), Err(MergeError::Invalid));
    assert_eq!(merge(Key::Learnt(Owner(1)), spent(1, 1)), Err(MergeError::Invalid));
    assert_eq!(merge(Key::Report(String::new()), report(true, NOW, 0, 1)), Err(MergeError::Invalid));
    assert_eq!(merge(Key::Report("w".repeat(200)), report(true, NOW, 0, 1)), Err(MergeError::Invalid));
    assert_eq!(merge(Key::Report("w1".into()), report(true, NOW, 0, 1)), Ok(true));
}

// ---- Clocks ----

#[test]
fn stamps_of_one_writer_grow_though_its_clock_stands_or_goes_back_a_little() {
    let mut clock = HybridClock::new(Owner(1));
    let mut last = clock.next_timestamp(NOW);
    for now in [NOW, NOW - S, NOW + 1, NOW - 5 * S, NOW + 2] {
        let next = clock.next_timestamp(now);
        assert!(next > last, "{next:?} after {last:?}");
        last = next;
    }
}

#[test]
fn a_clock_that_jumped_by_a_day_does_not_win_for_ever() {
    const DAY: Micros = 24 * 3_600 * S;
    let (mut wrong, mut right) = (Replica::new("a", NOW), Replica::new("b", NOW));
    wrong.record_return(NOW + DAY, "w1", Some(1));
    let (key, value) = wrong.take_changed_items().remove(0);
    assert_eq!(right.merge(NOW, Owner(1), key.clone(), value), Err(MergeError::ClockAhead));
    right.record_return(NOW + S, "w1", Some(2));
    let theirs = right.take_changed_items().remove(0);
    // Set right again it lets go of what it wrote, and takes the others' word.
    wrong.remove_expired(NOW + 2 * S);
    assert_eq!(wrong.merge(NOW + 2 * S, Owner(2), key.clone(), theirs.1), Ok(true));
    wrong.record_return(NOW + 3 * S, "w1", Some(3));
    let own = wrong.take_changed_items().remove(0);
    assert_eq!(right.merge(NOW + 3 * S, Owner(1), key.clone(), own.1), Ok(true));
    assert!(matches!(right.get(&key), Some(Value::Return(LwwRegister { value: Some(3), .. }))));
    // One within the bound is taken, and followed: whoever writes next is later.
    let mut near = HybridClock::new(Owner(1));
    near.observe(NOW, Timestamp { time: NOW + MAX_CLOCK_SKEW_US, counter: 3, writer: Owner(2) });
    assert!(
        near.next_timestamp(NOW) > Timestamp { time: NOW + MAX_CLOCK_SKEW_US, counter: 3, writer: Owner(2) }
    );
}

#[test]
fn a_run_whose_clock_was_ahead_is_overtaken_by_the_next_one() {
    let mut other = Replica::new("b", NOW);
    let mut first = Replica::new("a", NOW + 9 * S);
    first.record_spending(NOW, SpendingSnapshot { totals: [1.0; 4], ..SpendingSnapshot::default() });
    let (key, value) = first.take_changed_items().remove(0);
    assert_eq!(other.merge(NOW, Owner::from_name("a"), key.clone(), value.clone()), Ok(true));
    let mut second = Replica::new("a", NOW + S);
    assert_eq!(second.merge(NOW + S, Owner::from_name("b"), key.clone(), value), Ok(true));
    second.record_spending(NOW + S, SpendingSnapshot { totals: [2.0; 4], ..SpendingSnapshot::default() });
    let (_, value) = second.take_changed_items().remove(0);
    assert_eq!(other.merge(NOW + S, Owner::from_name("a"), key, value), Ok(true), "its word counts again");
}

#[test]
fn what_is_stale_is_forgotten_and_no_longer_counts() {
    let mut replica = Replica::new("a", NOW);
    take_all(
        &mut replica,
        &[(Key::Spent(Owner(1)), spent(1, 8)), (Key::Report("w1".into()), report(true, NOW, 0, 1))],
    );
    assert_eq!(replica.spending_of_others(NOW).cold_sends(NOW, 7), 8.0);
    assert_eq!(
        replica
            .spending_of_others(NOW + EPHEMERAL_LIFETIME_US + 1)
            .cold_sends(NOW + EPHEMERAL_LIFETIME_US + 1, 7),
        0.0
    );
    replica.remove_expired(NOW + EPHEMERAL_LIFETIME_US + 1);
    assert_eq!(replica.items().count(), 0);
}

#[test]
fn spending_fades_from_when_it_came_whatever_the_writer_s_clock() {
    let fading = |value| DecayingMean { value, updated_at: NOW };
    let mine =
        Spending { arrived: fading(4.0), cold: BTreeMap::from([(7, fading(2.0))]), ..Spending::default() };
    let told = SpendingSnapshot::new(NOW + 6 * S, &mine);
    assert!((told.totals[0] - 2.0).abs() < 1e-9, "half is left after the fade's half life");
    let there = told.to_spending(77 * S);
    assert!((there.arrived.decayed(77 * S, 0.0) - 2.0).abs() < 1e-9);
    assert!((there.cold_sends(83 * S, 7) - 0.5).abs() < 1e-9);
}

// ---- Copies that differ where they must not ----

#[test]
fn the_same_version_with_other_content_is_set_aside_and_set_right_by_a_majority() {
    let key = Key::Learnt(Owner(7));
    let (good, bad) = (learnt(1, 1), {
        let Value::Learnt(OwnedRegister { run, sequence, mut value }) = learnt(1, 1) else { panic!() };
        value.means[0] = 1.0;
        Value::Learnt(OwnedRegister { run, sequence, value })
    });
    let mut copies: Vec<_> = ["a", "b", "c"].map(|name| Replica::new(name, NOW)).into();
    for (replica, value) in copies.iter_mut().zip([&good, &good, &bad]) {
        assert_eq!(replica.merge(NOW, Owner(7), key.clone(), value.clone()), Ok(true));
    }
    assert_eq!(
        copies[0].merge(NOW, Owner::from_name("c"), key.clone(), bad.clone()),
        Err(MergeError::Conflict)
    );
    assert_eq!((copies[0].get(&key), copies[0].conflicting_keys().count()), (None, 1), "neither is used");
    assert!(copies[0].resolve_conflicts(NOW, 3).is_empty(), "one against one is no majority");
    // All tell what they hold of it, until each has seen a majority's.
    for _ in 0..3 {
        for from in 0..3 {
            let own = copies[from].own_conflicting_items();
            let own = if own.is_empty() {
                copies[from].get(&key).map(|value| vec![(key.clone(), value.clone())]).unwrap_or_default()
            } else {
                own
            };
            for to in (0..3).filter(|to| *to != from) {
                for (key, value) in own.clone() {
                    let name = ["a", "b", "c"][from];
                    let _ = copies[to].merge(NOW, Owner::from_name(name), key, value);
                }
                copies[to].resolve_conflicts(NOW, 3);
            }
        }
    }
    for replica in &copies {
        assert_eq!((replica.get(&key), replica.conflicting_keys().count()), (Some(&good), 0));
    }
    // And a later version ends the matter by itself.
    assert_eq!(copies[2].merge(NOW, Owner(7), key.clone(), learnt(1, 2)), Ok(true));
}

// ---- Comparisons ----

/// Copies with their comparisons, and what is on its way between them.
struct World {
    names: Vec<String>,
    copies: Vec<(Replica, Synchronizer)>,
    now: Micros,
    bytes: usize,
    /// How often each word comes that comes at all.
    times: usize,
}

impl World {
    fn new(count: usize) -> Self {
        let names: Vec<_> = (0..count).map(|n| format!("n{n:02}")).collect();
        let copies =
            names.iter().map(|name| (Replica::new(name, NOW), Synchronizer::new(name, NOW))).collect();
        World { names, copies, now: NOW, bytes: 0, times: 1 }
    }

    /// Passes a tick; `fate` says what becomes of each word.
    fn pass(&mut self, mut fate: impl FnMut(usize, usize, &mut SyncMessage) -> bool) {
        self.now += 50_000;
        let mut on_the_way = Vec::new();
        for n in 0..self.names.len() {
            let peers: Vec<_> =
                self.names.iter().filter(|name| **name != self.names[n]).map(String::as_str).collect();
            let (replica, sync) = &mut self.copies[n];
            for (to, say) in sync.tick(self.now, replica, &peers) {
                on_the_way.push((n, to, say));
            }
        }
        while !on_the_way.is_empty() {
            for (from, to, mut say) in std::mem::take(&mut on_the_way) {
                let to = self.names.iter().position(|name| *name == to).expect("a peer");
                self.bytes += postcard::to_allocvec(&say).expect("bytes").len();
                let times = usize::from(fate(from, to, &mut say)) * self.times;
                for say in std::iter::repeat_n(say, times) {
                    let (replica, sync) = &mut self.copies[to];
                    let (out, _) =
                        sync.handle_message(self.now, replica, &self.names[from], self.names.len(), say);
                    on_the_way.extend(out.into_iter().map(|(back, say)| (to, back, say)));
                }
            }
        }
    }

    fn fill(&mut self, at: usize, items: std::ops::Range<usize>) {
        let now = self.now;
        items.for_each(|n| self.copies[at].0.record_return(now, &format!("instance-{n:05}"), Some(n as i64)));
        self.copies[at].0.take_changed_items();
    }

    fn equal(&self) -> bool {
        self.copies.windows(2).all(|pair| pair[0].0.root_digest() == pair[1].0.root_digest())
    }

    fn until(
        &mut self, most: usize, mut fate: impl FnMut(usize, usize, &mut SyncMessage) -> bool,
        done: impl Fn(&World) -> bool,
    ) {
        for _ in 0..most {
            if done(self) {
                return;
            }
            self.pass(&mut fate);
        }
        assert!(done(self), "not after {most} ticks");
    }
}

#[test]
fn a_comparison_costs_by_the_difference_and_not_by_the_whole() {
    let cost = |whole: usize, difference: usize| {
        let mut world = World::new(2);
        world.fill(0, 0..whole);
        world.until(400, |_, _, _| true, World::equal);
        let bytes = world.bytes;
        world.fill(0, whole..whole + difference);
        world.until(400, |_, _, _| true, World::equal);
        world.bytes - bytes
    };
    let item = |n: usize| ITEM * n;
    // One that returns names how far it had come, and is sent what came since, whatever the whole.
    let (small, large) = (cost(200, 400), cost(8_000, 400));
    assert!(small < item(400) * 13 / 10, "{small} bytes for 400 items of 200 and more");
    assert!(large < item(400) * 13 / 10, "{large} bytes for 400 items of 8,000 and more");
    let whole = cost(0, 8_000);
    assert!(whole < item(8_000) * 13 / 10, "{whole} bytes for 8,000 items");
}

#[test]
fn a_catch_up_that_breaks_off_goes_on_from_what_came() {
    let mut world = World::new(2);
    world.fill(0, 0..12_000);
    // Chunks get through for a while, then nothing does.
    let mut chunks = 0;
    for _ in 0..4 {
        world.pass(|_, _, say| {
            chunks += usize::from(matches!(say, SyncMessage::Chunk(..)));
            true
        });
    }
    let came = world.copies[1].0.items().count();
    assert!(chunks > 0 && came > 0 && came < 12_000, "{came} came in {chunks} chunks");
    (0..60).for_each(|_| world.pass(|_, _, _| false));
    let bytes = world.bytes;
    world.until(600, |_, _, _| true, World::equal);
    let rest = world.bytes - bytes;
    assert!(rest < (12_000 - came) * ITEM * 2, "{rest} bytes for the {} that were missing", 12_000 - came);
}

#[test]
fn a_corrupted_chunk_is_never_taken_and_asked_for_again() {
    let mut world = World::new(2);
    world.fill(0, 0..500);
    let mut spoilt = 0;
    world.until(
        600,
        |_, _, say| {
            if let SyncMessage::Chunk(body, ..) = say
                && spoilt < 3
                && !body.is_empty()
            {
                let middle = body.len() / 2;
                body[middle] ^= 1;
                spoilt += 1;
            }
            true
        },
        World::equal,
    );
    let damaged: u64 = world.copies.iter().map(|(_, sync)| sync.counters.damaged_chunks).sum();
    assert_eq!((spoilt, damaged), (3, 3));
}

#[test]
fn copies_come_together_though_words_are_lost_and_come_twice() {
    let mut world = World { times: 2, ..World::new(5) };
    for n in 0..5 {
        world.fill(n, n * 100..n * 100 + 150);
    }
    let mut turn = 0_u32;
    let lossy = move |_: usize, _: usize, _: &mut SyncMessage| {
        turn = turn.wrapping_mul(1_664_525).wrapping_add(1_013_904_223);
        turn >> 24 > 60
    };
    world.until(2_000, lossy, World::equal);
    assert_eq!(world.copies[0].0.items().count(), 550);
}

#[test]
fn many_that_return_at_once_do_not_fall_on_one_source() {
    let mut world = World::new(12);
    for n in 0..6 {
        world.fill(n, 0..3_000);
    }
    // The first six have been equal for long; the others return empty.
    let (full, _) = (world.copies[0].0.persistent_items(), ());
    for n in 1..6 {
        world.copies[n].0.load(NOW, full.clone());
    }
    for n in 0..6 {
        let (replica, sync) = &mut world.copies[n];
        let root = replica.root_digest();
        sync.handle_message(NOW, replica, "x", 12, SyncMessage::InSync(root, true, (0, 0)));
        assert_eq!(sync.caught_up(), Some(true));
    }
    let mut most = 0;
    for _ in 0..400 {
        world.pass(|_, _, _| true);
        most = most.max(world.copies.iter().map(|(_, sync)| sync.catch_up_count()).max().unwrap_or(0));
        if world.copies.iter().all(|(_, sync)| sync.caught_up() == Some(true)) {
            break;
        }
    }
    assert!(world.copies.iter().all(|(_, sync)| sync.caught_up() == Some(true)), "not all are caught up");
    assert!((1..=MAX_CATCH_UPS_PER_SOURCE).contains(&most), "{most} at one source");
    assert!(
        world.now - NOW < CATCH_UP_TIMEOUT_US,
        "within the bound after which they serve with what they have"
    );
}

#[test]
fn one_that_cannot_catch_up_serves_with_what_it_has_and_says_so() {
    let mut world = World::new(2);
    world.fill(0, 0..10);
    world.until(100, |_, _, _| false, |world| world.now > NOW + CATCH_UP_TIMEOUT_US);
    world.pass(|_, _, _| false);
    assert_eq!(world.copies[1].1.caught_up(), Some(false));
    // One with nobody to be behind is caught up.
    let (mut replica, mut sync) = (Replica::new("a", NOW), Synchronizer::new("a", NOW));
    sync.tick(NOW + CATCH_UP_TIMEOUT_US / 2, &mut replica, &[]);
    assert_eq!(sync.caught_up(), Some(true));
}

#[test]
fn a_copy_that_was_apart_past_the_horizon_takes_a_whole_one_and_brings_nothing_back() {
    let later = NOW + TOMBSTONE_RETENTION_US + TOMBSTONE_RETENTION_US / 2;
    let mut old = Replica::new("a", NOW);
    old.record_return(NOW, "w1", Some(5));
    let kept = old.persistent_items();
    // Meanwhile it was deleted, and the deletion mark collected.
    let mut current = Replica::new("b", later);
    current.record_return(later, "w2", Some(6));
    let mut back = Replica::new("a", later);
    back.load(later, kept);
    assert!(back.discard_if_outdated(later + 1));
    assert!(back.get(&Key::Return("w1".into())).is_none(), "the dead is not kept");
    assert_eq!(back.take_removed_keys(), BTreeSet::from([Key::Return("w1".into())]), "nor on the disk");
    // One that was apart for less keeps what it has.
    let mut young = Replica::new("a", NOW);
    young.record_return(NOW, "w1", Some(5));
    assert!(!young.discard_if_outdated(NOW + TOMBSTONE_RETENTION_US / 2) && young.items().count() == 1);
}

/// Two sides of a cut ban, lift and spend; a third saw half of each side. All come to the same, in whatever order they meet.
#[test]
fn a_third_that_saw_half_of_each_side_changes_nothing_in_the_end() {
    let orders = [[0, 1, 2], [1, 2, 0], [2, 0, 1], [2, 1, 0]];
    let ends: Vec<_> = orders
        .into_iter()
        .map(|order| {
            let mut copies = ["a", "b", "c"].map(|name| Replica::new(name, NOW));
            let mut sides = [Marks::default(), Marks::default()];
            sides[0].add(Session(1), instance(1), NOW);
            let shared = sides[0].clone();
            sides[1].merge(&shared);
            sides[0].remove(&instance(1));
            sides[0].add(Session(1), instance(2), NOW + 1);
            copies[0].record_marks(NOW, sides[0].clone());
            copies[0]
                .record_spending(NOW, SpendingSnapshot { totals: [5.0; 4], ..SpendingSnapshot::default() });
            // The third hears the first side's beginning and the second side's end.
            copies[2]
                .merge(NOW, Owner::from_name("a"), Key::Marks, Value::Marks(sides[0].clone()))
                .expect("in order");
            sides[0].add(Session(1), instance(3), NOW + 2);
            copies[0].record_marks(NOW, sides[0].clone());
            sides[1].add(Session(2), instance(1), NOW + 1);
            copies[1].record_marks(NOW, sides[1].clone());
            copies[1]
                .record_spending(NOW, SpendingSnapshot { totals: [7.0; 4], ..SpendingSnapshot::default() });
            copies[2]
                .merge(NOW, Owner::from_name("b"), Key::Marks, Value::Marks(sides[1].clone()))
                .expect("in order");
            for _ in 0..2 {
                for from in order {
                    let all = all_of(&copies[from]);
                    copies.iter_mut().for_each(|copy| take_all(copy, &all));
                }
            }
            let others = copies[2].spending_of_others(NOW).arrived.decayed(NOW, 0.0);
            assert!((others - 12.0).abs() < 1e-9, "each side's spending counts once: {others}");
            assert!(copies.windows(2).all(|pair| all_of(&pair[0]) == all_of(&pair[1])));
            let marks = copies[0].marks();
            marks.iter().map(|(subject, _)| subject.clone()).collect::<Vec<_>>()
        })
        .collect();
    assert!(ends.iter().all(|end| *end == [instance(1), instance(2), instance(3)]), "{ends:?}");
}

#[test]
fn a_catch_up_whose_source_dies_goes_on_at_another() {
    let mut world = World::new(3);
    world.fill(0, 0..9_000);
    let full = world.copies[0].0.persistent_items();
    world.copies[1].0.load(NOW, full);
    for n in 0..2 {
        let (replica, sync) = &mut world.copies[n];
        let root = replica.root_digest();
        sync.handle_message(NOW, replica, "x", 3, SyncMessage::InSync(root, true, (0, 0)));
    }
    let mut source = None;
    for _ in 0..6 {
        world.pass(|from, to, say| {
            if to == 2 && matches!(say, SyncMessage::Chunk(..)) {
                source = Some(from);
            }
            true
        });
        if world.copies[2].0.items().count() > 0 {
            break;
        }
    }
    let dead = source.expect("somebody feeds it");
    let came = world.copies[2].0.items().count();
    assert!(came < 9_000, "it was not there yet");
    world.until(
        200,
        |from, to, _| from != dead && to != dead,
        |world| world.copies[2].1.caught_up() == Some(true),
    );
    assert_eq!(world.copies[2].0.items().count(), 9_000);
}

#[test]
fn one_that_returns_again_and_again_costs_its_differences_and_comes_to_the_same() {
    let mut world = World::new(3);
    world.fill(0, 0..2_000);
    world.until(400, |_, _, _| true, World::equal);
    for round in 0..8 {
        let kept = (world.copies[2].0.persistent_items(), world.copies[2].1.received_positions().clone());
        world.fill(round % 2, 2_000 + round * 50..2_050 + round * 50);
        // It was away for a moment, and is a process anew.
        (0..3).for_each(|_| world.pass(|from, to, _| from != 2 && to != 2));
        let (mut replica, mut sync) = (Replica::new("n02", world.now), Synchronizer::new("n02", world.now));
        replica.load(world.now, kept.0);
        sync.restore_positions(kept.1);
        world.copies[2] = (replica, sync);
        let bytes = world.bytes;
        world.until(200, |_, _, _| true, |world| world.copies[2].1.caught_up() == Some(true));
        assert!(world.bytes - bytes < 2_000 * ITEM / 2, "{} bytes for a short absence", world.bytes - bytes);
    }
    world.until(400, |_, _, _| true, World::equal);
    assert_eq!(world.copies[2].0.items().count(), 2_400);
}

/// Two documents under one revision are told, and neither is chosen.
#[test]
fn another_document_as_the_same_revision_is_told() {
    let (mut share, _) = SharedState::new("a", Session(1), NOW, StoredState::default());
    let document = "x".to_owned();
    let agreed =
        Agreed { revision: 3, documents: BTreeMap::from([(3, document.clone())]), ..Agreed::default() };
    share.update_agreed(NOW, &agreed);
    let digest = croftsill::estimate::name_hash(&document);
    let mut hear = |say| {
        share.handle_message(NOW, "b", PeerMessage::State(say), &agreed, false);
        share.status(NOW, &agreed)["set_aside"].as_array().map_or(0, Vec::len)
    };
    assert_eq!(
        (hear(SyncMessage::Policy(3, digest)), hear(SyncMessage::Policy(2, 9))),
        (0, 0),
        "the same, and an older one"
    );
    assert_eq!(
        (hear(SyncMessage::Policy(3, 9)), hear(SyncMessage::Policy(3, digest))),
        (1, 0),
        "another, and then no more"
    );
}

/// What cannot be kept is not promised, and what waits for it is refused.
#[test]
fn a_full_disk_refuses_named_requests_and_says_yes_to_no_claim() {
    let members = || BTreeSet::from(["a".to_owned(), "b".to_owned()]);
    let (mut share, _) = SharedState::new("a", Session(1), NOW, StoredState::default());
    let agreed = Agreed::default();
    let of = share.start_claim(NOW, RequestName(1), members()).expect("room");
    share.handle_message(NOW, "b", PeerMessage::Claim(RequestName(2), attempt(9, 1)), &agreed, false);
    assert!(!share.take_unsaved(NOW).claims.is_empty());
    share.handle_store_failure();
    let yes =
        |(_, word): &(String, PeerMessage)| matches!(word, PeerMessage::Claimed(_, ClaimAnswer::Granted));
    assert!(!share.take_outgoing().iter().any(yes), "a claim was granted that is not on disk");
    assert_eq!(share.take_decided_claims(), [(of, RequestName(1), ClaimDecision::Refuse)]);
    let of = share.start_claim(NOW, RequestName(3), members()).expect("room");
    share.decide_claims(NOW);
    assert_eq!(share.take_decided_claims(), [(of, RequestName(3), ClaimDecision::Refuse)]);
}

/// Marks that came back from too long ago go by the ledger's word, but for those that nobody else can have seen.
#[test]
fn marks_of_a_copy_that_was_apart_too_long_go_by_the_ledger() {
    let mut ledger = Marks::default();
    ledger.add(Session(1), instance(1), NOW);
    let mut apart = ledger.clone();
    apart.add(Session(1), instance(2), NOW);
    apart.add(Session(7), instance(3), NOW + TOMBSTONE_RETENTION_US);
    ledger.remove(&instance(1));
    let back = apart.reapplied_to(&ledger, Session(7), NOW + S, NOW + 2 * TOMBSTONE_RETENTION_US);
    assert_eq!(back.iter().map(|(subject, _)| subject.clone()).collect::<Vec<_>>(), [instance(3)]);
    assert!(back.is_valid() && ledger.is_included_in(&back));
    let none = apart.reapplied_to(
        &ledger,
        Session(7),
        NOW + TOMBSTONE_RETENTION_US,
        NOW + 2 * TOMBSTONE_RETENTION_US,
    );
    assert_eq!(none, ledger, "all that it had set was seen");
}

/// The whole way of a part that returns from too long ago, on the object that the process steps.
#[test]
fn a_part_that_was_apart_past_the_horizon_keeps_nothing_of_it_on_its_disk() {
    let mut old = Replica::new("a", NOW);
    old.record_return(NOW, "w1", Some(5));
    let (_, items) = old.persistent_items();
    let later = NOW + 2 * TOMBSTONE_RETENTION_US;
    let kept = StoredState { items, claims: Vec::new(), sync_progress: Some((NOW, BTreeMap::new())) };
    let (mut share, unfit) = SharedState::new("a", Session(1), later, kept);
    assert_eq!(unfit, 0);
    share.tick(later + S, &Agreed::default(), None, &["b"]);
    let unsaved = share.take_unsaved(later + S);
    assert!(unsaved.items.contains(&(Key::Return("w1".into()), None)), "{unsaved:?}");
}

// ---- Named requests ----

fn attempt(by: u64, n: u64) -> ClaimId {
    ClaimId { session: Session(by), number: n }
}

#[test]
fn a_name_is_the_first_claim_s_and_is_kept_before_anything_is_said() {
    let mut book = ClaimTable::default();
    let name = RequestName::new("club", "order-1");
    assert_ne!(name, RequestName::new("clu", "border-1"));
    assert_eq!(book.claim(NOW, name, attempt(1, 1)), ClaimAnswer::Granted);
    assert_eq!(book.take_unsaved().len(), 1);
    assert_eq!(book.claim(NOW, name, attempt(1, 1)), ClaimAnswer::Granted, "the same word twice");
    assert_eq!(book.claim(NOW, name, attempt(2, 1)), ClaimAnswer::Taken(attempt(1, 1), Stage::MayHaveRun));
    book.withdraw(name, attempt(2, 1));
    assert_eq!(book.claim(NOW, name, attempt(3, 1)), ClaimAnswer::Taken(attempt(1, 1), Stage::MayHaveRun));
    book.complete(NOW, name, attempt(1, 1));
    book.withdraw(name, attempt(1, 1));
    assert_eq!(
        book.claim(NOW, name, attempt(3, 1)),
        ClaimAnswer::Taken(attempt(1, 1), Stage::Ran),
        "what ran stays known"
    );
    let kept: Vec<_> =
        book.take_unsaved().into_iter().filter_map(|(name, held)| Some((name, held?))).collect();
    let mut back = ClaimTable::load(NOW + 5 * CLAIM_RETENTION, kept);
    assert_eq!(
        back.claim(NOW + 5 * CLAIM_RETENTION, name, attempt(4, 1)),
        ClaimAnswer::Taken(attempt(1, 1), Stage::Ran)
    );
}

#[test]
fn a_flood_of_names_is_turned_down_and_none_is_forgotten_before_its_time() {
    let name = |n: usize| RequestName(n as u128);
    let held = |n: u64| ClaimRecord { claim_id: attempt(1, n), stage: Stage::Ran, last_heard_at: NOW };
    let mut book = ClaimTable::load(NOW, (0..MAX_CLAIMS).map(|n| (name(n), held(n as u64))));
    assert_eq!(book.claim(NOW + S, name(MAX_CLAIMS), attempt(2, 1)), ClaimAnswer::Full);
    assert!(matches!(book.claim(NOW + S, name(3), attempt(2, 1)), ClaimAnswer::Taken(_, Stage::Ran)));
    assert_eq!(
        book.claim(NOW + CLAIM_RETENTION + S, name(MAX_CLAIMS), attempt(2, 1)),
        ClaimAnswer::Granted,
        "after its time there is room"
    );
    // What was asked for once more is kept for longer.
    assert!(book.get(name(3)).is_some() && book.get(name(4)).is_none());
}

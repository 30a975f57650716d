use proptest::prelude::*;
use tokio::sync::mpsc;
use tokio::task::{LocalSet, spawn_local, yield_now};

use super::*;
use table::MIN_REMEMBERED;

fn alone() -> Rc<RequestIds> {
    RequestIds::new(0, Clock::start(), Partners::default())
}

/// Takes an id where no other process has to be asked.
fn take(ids: &Rc<RequestIds>, id: &str, is_unsafe: bool) -> Result<TakenId, Untaken> {
    let mut taking = std::pin::pin!(ids.take(id, is_unsafe));
    let waker = std::task::Waker::noop();
    match taking.as_mut().poll(&mut std::task::Context::from_waker(waker)) {
        std::task::Poll::Ready(taken) => taken,
        std::task::Poll::Pending => panic!("another process is asked"),
    }
}

/// An id is turned down while its request is open, however many others end meanwhile, and behind thousands that ended since.
#[test]
fn an_id_is_used_once_while_it_is_open_and_for_thousands_after_it() {
    let ids = alone();
    let is_known = |id: &str| take(&ids, id, false).is_err();
    let open = take(&ids, "open", false).expect("a new id");
    take(&ids, "ended", false).expect("a new id").end(RequestEnd::NotRun);
    for n in 1..MIN_REMEMBERED {
        take(&ids, &n.to_string(), false).expect("a new id").end(RequestEnd::NotRun);
        assert!(is_known("ended"), "forgotten after {n}");
    }
    for n in 0..2 * MIN_REMEMBERED {
        take(&ids, &format!("later-{n}"), false).expect("a new id").end(RequestEnd::NotRun);
    }
    assert!(is_known("open"), "taken twice at once");
    open.end(RequestEnd::NotRun);
    assert!(is_known("open"));
    // What is kept is bounded.
    assert_eq!(ids.table.borrow().known_count(), MIN_REMEMBERED);
}

/// A request whose end was not told may have run.
#[test]
fn an_id_that_is_dropped_is_remembered_as_one_that_may_have_run() {
    let ids = alone();
    drop(take(&ids, "dropped", true).expect("a new id"));
    for n in 0..2 * MIN_REMEMBERED {
        take(&ids, &n.to_string(), true).expect("a new id").end(RequestEnd::NotRun);
    }
    assert!(take(&ids, "dropped", true).is_err());
}

/// The two processes of an upgrade, with a link that the test moves along.
struct Upgrade {
    older: Rc<RequestIds>,
    newer: Rc<RequestIds>,
    to_newer: mpsc::Receiver<Message>,
    to_older: mpsc::Receiver<Message>,
}

impl Upgrade {
    /// The newer process has its link to the older one, and does not serve yet.
    fn begin(older: Rc<RequestIds>) -> Self {
        let (older_sender, to_newer) = mpsc::channel(10_000);
        let (newer_sender, to_older) = mpsc::channel(10_000);
        let newer = alone();
        newer.await_handover();
        older.partners.set(Side::Older, Some(older_sender));
        older.partner_joined(Side::Older);
        newer.partners.set(Side::Newer, Some(newer_sender));
        newer.partner_joined(Side::Newer);
        Upgrade { older, newer, to_newer, to_older }
    }

    /// Brings one message to the newer process, and returns whether there was one.
    fn tell_newer(&mut self) -> bool {
        let Ok(Message::Ids(message)) = self.to_newer.try_recv() else { return false };
        self.newer.told(Side::Newer, message);
        true
    }

    fn tell_older(&mut self) -> bool {
        let Ok(Message::Ids(message)) = self.to_older.try_recv() else { return false };
        self.older.told(Side::Older, message);
        true
    }

    /// Brings all messages to where they go.
    async fn settle(&mut self) {
        loop {
            yield_now().await;
            if !(self.tell_newer() | self.tell_older()) {
                return;
            }
        }
    }
}

fn play(test: impl Future<Output = ()>) {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_time().start_paused(true).build();
    LocalSet::new().block_on(&runtime.expect("a runtime"), test);
}

/// Takes an id in a task of its own, so that the link can be moved along meanwhile.
fn taking(ids: &Rc<RequestIds>, id: &str) -> tokio::task::JoinHandle<Result<TakenId, Untaken>> {
    let (ids, id) = (ids.clone(), id.to_owned());
    spawn_local(async move { ids.take(&id, true).await })
}

#[test]
fn ids_go_over_to_the_newer_process_and_back_when_that_dies() {
    play(async {
        let older = alone();
        let open = take(&older, "open", true).expect("a new id");
        take(&older, "ran", true).expect("a new id").end(RequestEnd::MayHaveRun);
        let mut upgrade = Upgrade::begin(older);
        upgrade.settle().await;
        // Before the handover the newer one takes nothing, and the older one tells what it takes.
        let early = taking(&upgrade.newer, "early");
        let late = take(&upgrade.older, "late", true).expect("a new id");
        upgrade.settle().await;
        assert!(!early.is_finished());
        upgrade.older.hand_over();
        upgrade.settle().await;
        let early = early.await.expect("no panic").expect("a new id");
        for known in ["open", "ran", "late"] {
            assert_eq!(take(&upgrade.newer, known, true).err(), Some(Untaken::Duplicate), "{known}");
        }
        // After it the older one asks.
        let asked = ["early", "asked"].map(|id| taking(&upgrade.older, id));
        upgrade.settle().await;
        let [known, new] = asked;
        assert_eq!(known.await.expect("no panic").err(), Some(Untaken::Duplicate));
        let asked = new.await.expect("no panic").expect("a new id");
        assert!(take(&upgrade.newer, "asked", true).is_err());
        drop((open, late, asked));
        // The newer one dies: what was open there may have run.
        upgrade.older.partner_lost(Side::Older);
        assert!(take(&upgrade.older, "early", true).is_err());
        drop(take(&upgrade.older, "again-its-own", true).expect("a new id"));
        drop(early);
    });
}

/// Guards against a newer process that waits for ever, and against an older one that sends on what it may not.
#[test]
fn a_partner_that_does_not_answer_or_is_gone_has_a_stated_result() {
    play(async {
        let mut upgrade = Upgrade::begin(alone());
        upgrade.settle().await;
        assert_eq!(upgrade.newer.take("a", true).await.err(), Some(Untaken::Unanswered));
        upgrade.newer.partner_lost(Side::Newer);
        assert!(upgrade.newer.take("a", true).await.is_ok());

        let mut upgrade = Upgrade::begin(alone());
        upgrade.older.hand_over();
        upgrade.settle().await;
        assert_eq!(upgrade.older.take("b", true).await.err(), Some(Untaken::Unanswered));
        let waiting = taking(&upgrade.older, "c");
        yield_now().await;
        upgrade.older.partner_lost(Side::Older);
        assert!(waiting.await.expect("no panic").is_ok());
    });
}

proptest! {
    /// In any order of requests, ends, messages and the handover, no id is open at both processes, and none that has run is taken again.
    #[test]
    fn no_id_is_open_at_both_processes(steps in prop::collection::vec((0_u8..6, 0_u8..5), 1..120)) {
        play(async move {
            let mut upgrade = Upgrade::begin(alone());
            let processes = [upgrade.older.clone(), upgrade.newer.clone()];
            let (mut pending, mut open, mut ran, mut is_handed_over) = (Vec::new(), Vec::<(u8, TakenId)>::new(), Vec::new(), false);
            for (step, id) in steps {
                match step {
                    0 | 1 => pending.push((id, taking(&processes[usize::from(step)], &id.to_string()))),
                    2 => drop(upgrade.tell_newer()),
                    3 => drop(upgrade.tell_older()),
                    4 if !is_handed_over => {
                        is_handed_over = true;
                        upgrade.older.hand_over();
                    }
                    _ => {
                        if let Some(at) = open.iter().position(|(taken, _)| *taken == id) {
                            open.remove(at).1.end(RequestEnd::MayHaveRun);
                            ran.push(id);
                        }
                    }
                }
                for _ in 0..4 {
                    yield_now().await;
                }
                let (done, rest): (Vec<_>, Vec<_>) = pending.into_iter().partition(|(_, taking)| taking.is_finished());
                pending = rest;
                for (id, taking) in done {
                    if let Ok(taken) = taking.await.expect("no panic") {
                        assert!(open.iter().all(|(other, _)| *other != id), "{id} is open twice");
                        assert!(!ran.contains(&id), "{id} runs twice");
                        open.push((id, taken));
                    }
                }
            }
        });
    }
}

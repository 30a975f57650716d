use std::path::Path;
use std::time::Duration;

use tokio::task::{LocalSet, spawn_local, yield_now};
use tokio::time::Instant;

use super::*;
use crate::control::controller::tests::handle_and_updates;
use crate::node::Clock;
use crate::node::counters::Counters;
use crate::node::planner::Planner;
use crate::node::policy_gate::PolicyGate;
use crate::node::process::schedule::GracePeriod;
use crate::node::upstream::attempt::{Protocol, Upstream};
use crate::node::upstream::pool::Pool;

/// A front of the example file whose controller never answers.
fn front(shutdown: &Shutdown) -> ChatFront {
    let file = Path::new(env!("CARGO_MANIFEST_DIR")).join("deploy/chat.example.toml");
    let chat = Chat::read(&file).expect("the example file");
    let counters = Rc::new(Counters::default());
    let (planner, _orders) = Planner::start(chat.settings.clone(), 1, Clock::start(), None);
    let pool = Rc::new(Pool::new(chat.pool.clone(), counters.clone()));
    let upstream = Rc::new(Upstream::new(pool, Protocol::Chat(HeaderMap::new()), counters.clone()));
    let core = Core { planner, upstream, counters: counters.clone(), policy_gate: PolicyGate::always_open() };
    let intake = Intake::new(chat.intake, chat.request_bytes, counters);
    let (handle, calls, updates) = handle_and_updates();
    // Held up, not ended.
    std::mem::forget((calls, updates));
    ChatFront::new(core, Rc::new(chat), intake, shutdown.clone(), 1).among(Some(handle))
}

/// How long a request that must not run twice waits for its claim.
async fn waits_for_its_claim(shutdown: &Shutdown, time_left: Micros) -> Duration {
    let front = front(shutdown);
    let class = front.chat.settings.classes.iter().position(|class| class.effect == Effect::Unsafe);
    let ask = NewRequest { class: ClassId(class.expect("such a class")), time_left, ..NewRequest::default() };
    let begun = Instant::now();
    let claimed = front.claim(&ask, Some(&HeaderValue::from_static("order-1"))).await;
    assert!(matches!(claimed, Err(Fault::Refused(_))), "nothing was sent");
    begun.elapsed()
}

#[tokio::test(start_paused = true)]
async fn a_claim_without_an_answer_ends_with_the_requests_time_or_the_process() {
    let test = async {
        let shutdown = Shutdown::new(GracePeriod::default());
        assert_eq!(waits_for_its_claim(&shutdown, 1_500_000).await.as_millis(), 1_500);
        let ending = shutdown.clone();
        spawn_local(async move { ending.finish().await });
        yield_now().await;
        let until = shutdown.begun().await.answers_until - Instant::now();
        assert_eq!(waits_for_its_claim(&shutdown, 60_000_000).await.as_millis(), until.as_millis());
    };
    LocalSet::new().run_until(test).await;
}

use super::*;
use crate::api::Role;
use crate::node::upstream::attempt::Protocol;
use crate::node::upstream::pool::{Endpoint, Pool, PoolLimits};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;
use tokio::task::LocalSet;

/// An instance that confirms what comes, or says nothing; how many calls came.
async fn instance(pool: &Pool, host: u32, answers: bool, calls: Rc<std::cell::Cell<usize>>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("an address");
    let addr = listener.local_addr().expect("an address");
    pool.set_endpoint(
        HostId(host),
        Some(Endpoint { name: "r1".into(), addr, role: Role::Read, is_ready: true }),
    );
    tokio::task::spawn_local(async move {
        let mut open = Vec::new();
        while let Ok((mut socket, _)) = listener.accept().await {
            let mut head = [0; 1_024];
            if socket.read(&mut head).await.is_ok_and(|read| read > 0) {
                calls.set(calls.get() + 1);
            }
            if answers {
                socket.write_all(b"HTTP/1.1 204 No Content\r\n\r\n").await.expect("it reads");
            }
            open.push(socket);
        }
    });
}

fn play(silent: u32, answering: u32, check: impl AsyncFnOnce(Rc<Upstream>, Rc<std::cell::Cell<usize>>)) {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
    LocalSet::new().block_on(&runtime, async {
        let counters: Rc<Counters> = Rc::default();
        let limits = PoolLimits {
            connect_timeout: Duration::from_millis(250),
            max_idle_time: Duration::from_secs(2),
            max_connections: 64,
        };
        let pool = Rc::new(Pool::new(limits, counters.clone()));
        let calls: Rc<std::cell::Cell<usize>> = Rc::default();
        for host in 0..silent {
            instance(&pool, host, false, calls.clone()).await;
        }
        for host in silent..silent + answering {
            instance(&pool, host, true, calls.clone()).await;
        }
        let upstream = Rc::new(Upstream::new(pool, Protocol::Platform { pin_limit: 1_000_000 }, counters));
        check(upstream, calls).await;
    });
}

#[test]
fn the_first_confirmation_ends_it() {
    play(0, 3, async |upstream, calls| {
        assert!(release(upstream.clone(), "0a".into(), ReleaseReason::Ordered).await.is_some());
        assert_eq!((calls.get(), upstream.counters().release_calls.get()), (1, 1));
        assert_eq!(upstream.counters().releases_ordered.get(), 1);
    });
}

/// More silent instances than were ever asked before a release was given up.
#[test]
fn silent_instances_do_not_end_it() {
    play(12, 1, async |upstream, calls| {
        let begun = Instant::now();
        let sent = release(upstream.clone(), "0a".into(), ReleaseReason::Unanswered).await;
        assert!(sent.is_some_and(|sent| sent > begun), "by the call that was confirmed");
        assert_eq!(calls.get(), 13, "each was asked once");
        assert_eq!(upstream.counters().releases_lost.get(), 0);
    });
}

#[test]
fn the_wait_grows_and_is_bounded() {
    assert_eq!((pause(0), pause(QUICK)), (EACH, EACH));
    assert_eq!(pause(QUICK + 1), EACH.mul_f64(SLOWER));
    assert_eq!(pause(1_000), EACH_MOST);
}

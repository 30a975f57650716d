use super::*;
use crate::api::Role;
use crate::node::upstream::attempt::Protocol;
use crate::node::upstream::pool::{Endpoint, Pool, PoolLimits};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;
use tokio::task::LocalSet;

/// Starts an instance that confirms each call or stays silent, and counts the calls.
async fn start_instance(pool: &Pool, host: u32, answers: bool, calls: Rc<std::cell::Cell<usize>>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let addr = listener.local_addr().expect("the listener's address");
    pool.set_endpoint(
        HostId(host),
        Some(Endpoint { name: "r1".into(), addr, role: Role::Read, is_ready: true }),
    );
    tokio::task::spawn_local(async move {
        let mut open_sockets = Vec::new();
        while let Ok((mut socket, _)) = listener.accept().await {
            let mut received = [0; 1_024];
            if socket.read(&mut received).await.is_ok_and(|read| read > 0) {
                calls.set(calls.get() + 1);
            }
            if answers {
                socket.write_all(b"HTTP/1.1 204 No Content\r\n\r\n").await.expect("an open connection");
            }
            open_sockets.push(socket);
        }
    });
}

fn run_with_instances(
    silent: u32, answering: u32, check: impl AsyncFnOnce(Rc<Upstream>, Rc<std::cell::Cell<usize>>),
) {
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
            start_instance(&pool, host, false, calls.clone()).await;
        }
        for host in silent..silent + answering {
            start_instance(&pool, host, true, calls.clone()).await;
        }
        let upstream = Rc::new(Upstream::new(pool, Protocol::Platform { pin_limit: 1_000_000 }, counters));
        check(upstream, calls).await;
    });
}

#[test]
fn the_first_confirmation_ends_a_release() {
    run_with_instances(0, 3, async |upstream, calls| {
        assert!(release(upstream.clone(), "0a".into(), ReleaseReason::Ordered).await.is_some());
        assert_eq!((calls.get(), upstream.counters().release_calls.get()), (1, 1));
        assert_eq!(upstream.counters().releases_ordered.get(), 1);
    });
}

/// A release must not be abandoned after a fixed number of silent instances: here twelve are silent, more
/// than were ever asked before.
#[test]
fn silent_instances_do_not_end_a_release() {
    run_with_instances(12, 1, async |upstream, calls| {
        let started_at = Instant::now();
        let sent_at = release(upstream.clone(), "0a".into(), ReleaseReason::Unanswered).await;
        assert!(sent_at.is_some_and(|sent_at| sent_at > started_at), "the time of the confirmed call");
        assert_eq!(calls.get(), 13, "each instance was asked once");
        assert_eq!(upstream.counters().releases_lost.get(), 0);
    });
}

#[test]
fn the_call_interval_grows_and_is_bounded() {
    assert_eq!((call_interval(0), call_interval(MIN_INTERVAL_CALLS)), (MIN_CALL_INTERVAL, MIN_CALL_INTERVAL));
    assert_eq!(call_interval(MIN_INTERVAL_CALLS + 1), MIN_CALL_INTERVAL.mul_f64(CALL_INTERVAL_GROWTH));
    assert_eq!(call_interval(1_000), MAX_CALL_INTERVAL);
}

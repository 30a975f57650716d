use tokio::net::TcpListener;
use tokio::task::LocalSet;

use super::*;
use crate::api::Outcome;
use crate::node::upstream::attempt::{Protocol, Upstream};

const HOST: HostId = HostId(1);
/// Errors of a call to connect that are caused by a temporary shortage on this machine.
const LOCAL_ERRORS: [Errno; 8] = [
    Errno::MFILE,
    Errno::NFILE,
    Errno::NOBUFS,
    Errno::NOMEM,
    Errno::ADDRNOTAVAIL,
    Errno::NETUNREACH,
    Errno::AGAIN,
    Errno::INTR,
];
/// Errors of a call to connect that are caused by the instance or the network path to it.
const REMOTE_ERRORS: [Errno; 4] = [Errno::CONNREFUSED, Errno::TIMEDOUT, Errno::HOSTUNREACH, Errno::CONNRESET];

fn faults(errno: Errno, count: usize) -> impl Iterator<Item = io::Error> {
    (0..count).map(move |_| io::Error::from_raw_os_error(errno.raw_os_error()))
}

/// Creates a pool with one instance that listens and accepts connections.
async fn pool() -> Pool {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let addr = listener.local_addr().expect("the listener's address");
    tokio::task::spawn_local(async move {
        let mut accepted = Vec::new();
        while let Ok(connection) = listener.accept().await {
            accepted.push(connection);
        }
    });
    let limits = PoolLimits {
        connect_timeout: Duration::from_millis(250),
        max_idle_time: Duration::from_secs(1),
        max_connections: 8,
    };
    let pool = Pool::new(limits, Rc::default());
    pool.set_endpoint(HOST, Some(Endpoint { name: "r1".into(), addr, role: Role::Read, is_ready: true }));
    pool
}

#[tokio::test(start_paused = true)]
async fn a_local_fault_is_retried() {
    let test = async {
        for errno in LOCAL_ERRORS {
            let pool = pool().await;
            pool.connect_faults.borrow_mut().extend(faults(errno, 5));
            let connected = pool.acquire(HOST, LocalFaultHandling::Retry, Reuse::Allowed).await;
            assert!(connected.is_ok(), "{errno:?}");
            assert_eq!(pool.permits.available_permits(), 7, "one permit is in use");
        }
    };
    LocalSet::new().run_until(test).await;
}

#[tokio::test(start_paused = true)]
async fn a_lasting_local_fault_is_reported_as_such_and_leaks_no_permit() {
    let test = async {
        let pool = pool().await;
        pool.connect_faults.borrow_mut().extend(faults(Errno::MFILE, 1_000));
        let started_at = Instant::now();
        let connected = pool.acquire(HOST, LocalFaultHandling::Retry, Reuse::Allowed).await.map(drop);
        assert_eq!(connected, Err(ConnectError::LocalFault));
        assert_eq!(started_at.elapsed(), pool.limits.connect_timeout);
        let tries = 1_000 - pool.connect_faults.borrow().len();
        assert!((10..=30).contains(&tries), "{tries} tries");
        let failed = pool.acquire(HOST, LocalFaultHandling::Fail, Reuse::Allowed).await.map(drop);
        assert_eq!(
            (failed, started_at.elapsed()),
            (Err(ConnectError::LocalFault), pool.limits.connect_timeout)
        );
        assert_eq!(pool.permits.available_permits(), 8);
    };
    LocalSet::new().run_until(test).await;
}

#[tokio::test(start_paused = true)]
async fn a_fault_of_the_network_or_the_instance_is_reported_at_once() {
    let test = async {
        for errno in REMOTE_ERRORS {
            let pool = pool().await;
            pool.connect_faults.borrow_mut().extend(faults(errno, 1));
            let connected = pool.acquire(HOST, LocalFaultHandling::Retry, Reuse::Allowed).await.map(drop);
            assert_eq!(connected, Err(ConnectError::Unreachable), "{errno:?}");
            assert!(
                pool.acquire(HOST, LocalFaultHandling::Retry, Reuse::Allowed).await.is_ok(),
                "the next try"
            );
        }
    };
    LocalSet::new().run_until(test).await;
}

/// A probe that fails because of a local fault must not count against the instance.
#[tokio::test(start_paused = true)]
async fn a_probe_that_cannot_be_sent_does_not_count_against_the_instance() {
    let test = async {
        let pool = Rc::new(pool().await);
        pool.connect_faults.borrow_mut().extend(faults(Errno::ADDRNOTAVAIL, 1));
        let upstream =
            Upstream::new(pool.clone(), Protocol::Platform { pin_limit: 1_000_000 }, Rc::default());
        assert_eq!(upstream.probe(HOST).await.0, Outcome::Full);
        pool.connect_faults.borrow_mut().extend(faults(Errno::CONNREFUSED, 1));
        assert_eq!(upstream.probe(HOST).await.0, Outcome::Unreachable);
    };
    LocalSet::new().run_until(test).await;
}

/// Drops a connection while its request is in flight: the server sees the end of the sending half at once,
/// and the close guard lives until the server has closed the connection, too.
#[tokio::test]
async fn the_end_of_an_attempt_that_was_given_up_is_seen_by_its_witness() {
    let test = async {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
        let addr = listener.local_addr().expect("the listener's address");
        let pool = pool().await;
        pool.set_endpoint(HOST, Some(Endpoint { name: "r1".into(), addr, role: Role::Read, is_ready: true }));
        let (close_guard, mut connection_end) = oneshot::channel();
        let mut connection =
            pool.acquire(HOST, LocalFaultHandling::Fail, Reuse::Never).await.expect("a connection");
        let (mut server, _) = listener.accept().await.expect("a connection");
        let (body, _) = connection.request_body(Bytes::from_static(b"{}"), SendCheck::Unchecked);
        connection.close_guard = Some(close_guard);
        let sending = async {
            let request = hyper::Request::post("/").body(body).expect("a valid request");
            connection.sender().send_request(request).await.map(drop)
        };
        let mut received = [0; 1_024];
        tokio::select! {
            _ = sending => panic!("the server does not answer"),
            read = server.read(&mut received) => assert!(read.is_ok_and(|read| read > 0)),
        }
        drop(connection);
        while server.read(&mut received).await.expect("an orderly end of the data") > 0 {}
        assert!(
            connection_end.try_recv().is_err_and(|error| error == oneshot::error::TryRecvError::Empty),
            "the guard lives"
        );
        assert_eq!(pool.abandoned.0.get(), 1);
        drop(server);
        connection_end.await.expect_err("the guard is dropped with the connection");
        assert_eq!(pool.abandoned.0.get(), 0);
    };
    LocalSet::new().run_until(test).await;
}

use tokio::net::TcpListener;
use tokio::task::LocalSet;

use super::*;
use crate::api::Outcome;
use crate::node::upstream::attempt::{Protocol, Upstream};

const HOST: HostId = HostId(1);
/// What a call to connect may fail with for want of something that this machine lacks for a moment.
const LOCAL: [Errno; 8] = [
    Errno::MFILE,
    Errno::NFILE,
    Errno::NOBUFS,
    Errno::NOMEM,
    Errno::ADDRNOTAVAIL,
    Errno::NETUNREACH,
    Errno::AGAIN,
    Errno::INTR,
];
/// What it fails with where the way to the instance, or the instance, is at fault.
const REMOTE: [Errno; 4] = [Errno::CONNREFUSED, Errno::TIMEDOUT, Errno::HOSTUNREACH, Errno::CONNRESET];

fn faults(errno: Errno, times: usize) -> impl Iterator<Item = io::Error> {
    (0..times).map(move |_| io::Error::from_raw_os_error(errno.raw_os_error()))
}

/// A pool with one instance that listens and takes connections.
async fn pool() -> Pool {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("an address");
    let addr = listener.local_addr().expect("an address");
    tokio::task::spawn_local(async move {
        let mut taken = Vec::new();
        while let Ok(connection) = listener.accept().await {
            taken.push(connection);
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
async fn a_fault_of_this_machine_is_waited_out() {
    let test = async {
        for errno in LOCAL {
            let pool = pool().await;
            pool.connect_faults.borrow_mut().extend(faults(errno, 5));
            let connected = pool.acquire(HOST, LocalFaultHandling::Retry, Reuse::Allowed).await;
            assert!(connected.is_ok(), "{errno:?}");
            assert_eq!(pool.permits.available_permits(), 7, "one connection is counted");
        }
    };
    LocalSet::new().run_until(test).await;
}

#[tokio::test(start_paused = true)]
async fn a_fault_of_this_machine_that_lasts_is_told_apart_and_leaks_nothing() {
    let test = async {
        let pool = pool().await;
        pool.connect_faults.borrow_mut().extend(faults(Errno::MFILE, 1_000));
        let begun = Instant::now();
        let connected = pool.acquire(HOST, LocalFaultHandling::Retry, Reuse::Allowed).await.map(drop);
        assert_eq!(connected, Err(ConnectError::LocalFault));
        assert_eq!(begun.elapsed(), pool.limits.connect_timeout);
        let tries = 1_000 - pool.connect_faults.borrow().len();
        assert!((10..=30).contains(&tries), "{tries} tries");
        let told = pool.acquire(HOST, LocalFaultHandling::Fail, Reuse::Allowed).await.map(drop);
        assert_eq!((told, begun.elapsed()), (Err(ConnectError::LocalFault), pool.limits.connect_timeout));
        assert_eq!(pool.permits.available_permits(), 8);
    };
    LocalSet::new().run_until(test).await;
}

#[tokio::test(start_paused = true)]
async fn a_fault_of_the_way_or_the_instance_is_told_at_once() {
    let test = async {
        for errno in REMOTE {
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

/// A probe that this machine cannot make says nothing against its instance.
#[tokio::test(start_paused = true)]
async fn a_probe_that_cannot_be_made_is_not_held_against_the_instance() {
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

/// A request on its way over a connection that is given up: its server hears of the end at once, and the witness lives until the
/// server has ended the connection, too.
#[tokio::test]
async fn the_end_of_an_attempt_that_was_given_up_is_seen_by_its_witness() {
    let test = async {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("an address");
        let addr = listener.local_addr().expect("an address");
        let pool = pool().await;
        pool.set_endpoint(HOST, Some(Endpoint { name: "r1".into(), addr, role: Role::Read, is_ready: true }));
        let (witness, mut known) = oneshot::channel();
        let mut connection =
            pool.acquire(HOST, LocalFaultHandling::Fail, Reuse::Never).await.expect("a connection");
        let (mut server, _) = listener.accept().await.expect("a connection");
        let (body, _) = connection.request_body(Bytes::from_static(b"{}"), SendCheck::Unchecked);
        connection.witness = Some(witness);
        let sending = async {
            let request = hyper::Request::post("/").body(body).expect("a request");
            connection.sender().send_request(request).await.map(drop)
        };
        let mut head = [0; 1_024];
        tokio::select! {
            _ = sending => panic!("nobody answers"),
            read = server.read(&mut head) => assert!(read.is_ok_and(|read| read > 0)),
        }
        drop(connection);
        while server.read(&mut head).await.expect("an end in order") > 0 {}
        assert!(known.try_recv().is_err_and(|why| why == oneshot::error::TryRecvError::Empty), "not yet");
        assert_eq!(pool.given_up.0.get(), 1);
        drop(server);
        known.await.expect_err("it goes with the connection");
        assert_eq!(pool.given_up.0.get(), 0);
    };
    LocalSet::new().run_until(test).await;
}

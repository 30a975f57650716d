//! Two things in one moment, forced: an instance closes a kept connection as a request is about to use it, room is made at a
//! connection whose next request has come, a client waits in the queue as the process ends. All parties are on one thread.

use std::cell::RefCell;
use std::convert::Infallible;
use std::io::{ErrorKind, Read, Write};
use std::net::SocketAddr;
use std::pin::Pin;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use croftsill::api::{HostId, NewRequest, Outcome, Role};
use croftsill::node::counters::Counters;
use croftsill::node::front::intake::Intake;
use croftsill::node::front::{Reply, serve};
use croftsill::node::planner::Planner;
use croftsill::node::policy_gate::PolicyGate;
use croftsill::node::process::readiness::Happening;
use croftsill::node::process::schedule::GracePeriod;
use croftsill::node::process::shutdown::Shutdown;
use croftsill::node::request::{Answer, Responder, handle_request};
use croftsill::node::upstream::attempt::{InitialResult, Payload, Protocol, Upstream};
use croftsill::node::upstream::pool::{Endpoint, Pool, PoolLimits, Reuse};
use croftsill::node::{Clock, Core};
use croftsill::wire::settings_from;
use http_body_util::{Either, Full};
use hyper::body::Incoming;
use hyper::{HeaderMap, Request, Response};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::{LocalSet, spawn_local, yield_now};
use tokio::time::{Instant, advance, sleep};

const HOST: HostId = HostId(1);
/// For which a connection must have been quiet before it is used again.
const SETTLED: Duration = Duration::from_millis(150);

fn play(test: impl AsyncFn()) {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().start_paused(true).build();
    LocalSet::new().block_on(&runtime.expect("a runtime"), test());
}

/// A connection that the test may close under its task.
type SharedSocket = Rc<RefCell<Option<TcpStream>>>;

/// An instance that answers what comes with 204, or 202 where it is to be read, and whose connections the test may close.
#[derive(Clone, Default)]
struct Instance {
    connections: Rc<RefCell<Vec<SharedSocket>>>,
    heads: Rc<RefCell<Vec<String>>>,
}

impl Instance {
    async fn listen(&self) -> SocketAddr {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("an address");
        let address = listener.local_addr().expect("an address");
        let instance = self.clone();
        spawn_local(async move {
            while let Ok((socket, _)) = listener.accept().await {
                let socket = Rc::new(RefCell::new(Some(socket)));
                instance.connections.borrow_mut().push(socket.clone());
                spawn_local(instance.clone().answer(socket));
            }
        });
        address
    }

    async fn answer(self, socket: SharedSocket) {
        let mut head = Vec::new();
        loop {
            let readable = std::future::poll_fn(|cx| match &*socket.borrow() {
                Some(socket) => socket.poll_read_ready(cx),
                None => std::task::Poll::Pending,
            });
            readable.await.expect("a connection");
            let mut buffer = [0; 4_096];
            let mut held = socket.borrow_mut();
            let Some(stream) = held.as_mut() else { return };
            match stream.try_read(&mut buffer) {
                Ok(0) => return,
                Ok(read) => head.extend_from_slice(&buffer[..read]),
                Err(fault) if fault.kind() == ErrorKind::WouldBlock => continue,
                Err(_) => return,
            }
            if head.ends_with(b"\r\n\r\n") || head.ends_with(b"{}") {
                let text = String::from_utf8_lossy(&std::mem::take(&mut head)).into_owned();
                let answer: &[u8] = match text.split(' ').next() {
                    Some("POST") => b"HTTP/1.1 202 Accepted\r\ncontent-length: 2\r\n\r\n{}",
                    Some("GET") => b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\n{}",
                    _ => b"HTTP/1.1 204 No Content\r\n\r\n",
                };
                self.heads.borrow_mut().push(text);
                stream.try_write(answer).expect("room for a short answer");
            }
        }
    }

    /// Closes all connections, so that the other side learns of it in the same turn in which this future ends.
    async fn close_all_in_this_moment(&self) {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("an address");
        let mut signal =
            TcpStream::connect(listener.local_addr().expect("an address")).await.expect("it listens");
        let (mut wakes, _) = listener.accept().await.expect("a connection");
        let wakes = &mut wakes;
        let mut woken = Box::pin(async move { wakes.read_u8().await });
        // Waits for it now, so that what becomes readable first wakes first.
        std::future::poll_fn(|cx| {
            assert!(woken.as_mut().poll(cx).is_pending());
            std::task::Poll::Ready(())
        })
        .await;
        signal.write_u8(1).await.expect("room for a byte");
        self.connections.borrow().iter().for_each(|socket| drop(socket.borrow_mut().take()));
        woken.await.expect("the byte");
    }
}

fn limits() -> PoolLimits {
    PoolLimits {
        connect_timeout: Duration::from_secs(1),
        max_idle_time: Duration::from_secs(2),
        max_connections: 8,
    }
}

async fn upstream_to(instance: &Instance) -> Rc<Upstream> {
    upstream_at(instance.listen().await, Role::Read)
}

/// An upstream with one instance, which listens there.
fn upstream_at(addr: SocketAddr, role: Role) -> Rc<Upstream> {
    let counters = Rc::new(Counters::default());
    let pool = Rc::new(Pool::new(limits(), counters.clone()));
    pool.set_endpoint(HOST, Some(Endpoint { name: "s1".into(), addr, role, is_ready: true }));
    Rc::new(Upstream::new(pool, Protocol::Platform { pin_limit: 1_000_000 }, counters))
}

fn payload() -> Payload {
    Payload {
        id: "0a".into(),
        target: "/v1/chat/completions".parse().expect("a path"),
        headers: HeaderMap::new(),
        body: Bytes::from_static(b"{}"),
    }
}

/// A probe and a release are owed their answer though the kept connection that they were to use has just closed, as a request
/// is; it is known that nothing of them was written there.
#[test]
fn a_kept_connection_that_closes_as_it_is_used_costs_no_call_its_answer() {
    play(async || {
        let instance = Instance::default();
        let upstream = upstream_to(&instance).await;
        assert_eq!(upstream.probe(HOST).await.0, Outcome::Served);
        sleep(SETTLED).await;
        instance.close_all_in_this_moment().await;
        assert_eq!(upstream.probe(HOST).await.0, Outcome::Served, "a probe");
        sleep(SETTLED).await;
        instance.close_all_in_this_moment().await;
        assert!(upstream.send_release(HOST, "0a", Reuse::Allowed).await, "a release");
        sleep(SETTLED).await;
        instance.close_all_in_this_moment().await;
        let (caller, _answer) = Responder::new("0a".into());
        let until = Instant::now() + Duration::from_secs(3);
        let (first, _) =
            upstream.start_attempt(HOST, &payload(), until, (caller.client_presence(), None)).await;
        assert!(matches!(first, InitialResult::PromptRead(_)), "a request");
        let heads = instance.heads.borrow();
        let methods: Vec<_> = heads.iter().filter_map(|head| head.split(' ').next()).collect();
        assert_eq!(methods, ["GET", "GET", "DELETE", "POST"], "each came once");
    });
}

/// An attempt whose time is over before its first byte, as in a process that was stopped, does not begin; nothing is said
/// against its instance.
#[test]
fn an_attempt_does_not_begin_after_its_time() {
    play(async || {
        let instance = Instance::default();
        let upstream = upstream_to(&instance).await;
        assert_eq!(upstream.probe(HOST).await.0, Outcome::Served);
        sleep(SETTLED).await;
        let (caller, _answer) = Responder::new("0a".into());
        let over = Instant::now() - Duration::from_millis(1);
        let (first, _) =
            upstream.start_attempt(HOST, &payload(), over, (caller.client_presence(), None)).await;
        assert!(matches!(first, InitialResult::Ended(Outcome::Moot)));
        sleep(SETTLED).await;
        assert_eq!(instance.heads.borrow().len(), 1, "the probe alone");
    });
}

/// An answer that lies in the socket when its attempt's time is found to be over, as in a process that was stopped, is taken.
#[test]
fn an_answer_that_has_come_is_taken_though_its_time_is_over() {
    play(async || {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("an address");
        let counters = Rc::new(Counters::default());
        let pool = Rc::new(Pool::new(limits(), counters.clone()));
        let addr = listener.local_addr().expect("an address");
        pool.set_endpoint(HOST, Some(Endpoint { name: "r1".into(), addr, role: Role::Read, is_ready: true }));
        let upstream = Rc::new(Upstream::new(pool, Protocol::Platform { pin_limit: 1_000_000 }, counters));
        let within = Duration::from_millis(500);
        let attempt = spawn_local(async move {
            let (caller, _answer) = Responder::new("0a".into());
            upstream
                .start_attempt(HOST, &payload(), Instant::now() + within, (caller.client_presence(), None))
                .await
                .0
        });
        let (mut socket, _) = listener.accept().await.expect("a connection");
        let mut request = Vec::new();
        while !request.ends_with(b"{}") {
            request.push(socket.read_u8().await.expect("a request"));
        }
        let answer = b"HTTP/1.1 202 Accepted\r\ncontent-length: 2\r\n\r\n{}";
        socket.try_write(answer).expect("room for a short answer");
        advance(within * 2).await;
        assert!(matches!(attempt.await.expect("it ends"), InitialResult::PromptRead(_)));
    });
}

/// Guards against a request without a body that counts as never sent though an instance has had all of it, and runs twice.
#[test]
fn a_request_without_a_body_that_an_instance_has_had_may_have_run() {
    play(async || {
        for body in [Bytes::new(), Bytes::from_static(b"{}")] {
            let listener = TcpListener::bind("127.0.0.1:0").await.expect("an address");
            let addr = listener.local_addr().expect("an address");
            let end = [&b"\r\n\r\n"[..], &body].concat();
            let instance = spawn_local(async move {
                let (mut socket, _) = listener.accept().await.expect("a connection");
                let mut had = Vec::new();
                while !had.ends_with(&end) {
                    assert!(socket.read_buf(&mut had).await.expect("a request") > 0);
                }
            });
            let upstream = upstream_at(addr, Role::Write);
            let (responder, _answer) = Responder::new("0a".into());
            let payload = Payload { body: body.clone(), ..payload() };
            let deadline = Instant::now() + Duration::from_secs(10);
            let guards = (responder.client_presence(), None);
            let (result, _) = upstream.start_attempt(HOST, &payload, deadline, guards).await;
            instance.await.expect("it had the request");
            assert!(matches!(result, InitialResult::Ended(Outcome::Broken)), "body {body:?}");
        }
    });
}

/// A request for which nothing was sent by its deadline, as its planner did not run, is refused: trying again is harmless.
#[test]
fn what_was_never_sent_by_its_deadline_is_refused_and_not_failed() {
    play(async || {
        let text = include_str!("exchanges/settings.json");
        let (settings, _) = settings_from(serde_json::from_str(text).expect("settings")).expect("settings");
        let (counters, clock) = (Rc::new(Counters::default()), Clock::start());
        let pool = Rc::new(Pool::new(limits(), counters.clone()));
        let never_run = LocalSet::new();
        let (planner, _orders) = {
            let _entered = never_run.enter();
            Planner::start(settings, 1, clock, None)
        };
        let upstream =
            Rc::new(Upstream::new(pool, Protocol::Platform { pin_limit: 1_000_000 }, counters.clone()));
        let core =
            Core { planner, upstream, counters: counters.clone(), policy_gate: PolicyGate::always_open() };
        let (caller, answer) = Responder::new("0a".into());
        let ask = NewRequest {
            prompt_tokens: 100.0,
            max_output_tokens: 10.0,
            time_left: 1_000_000,
            ..Default::default()
        };
        spawn_local(handle_request(core, ask, (payload(), ()), caller));
        let given = answer.await.expect("an answer").answer;
        assert!(matches!(given, Answer::Refused { .. }));
        assert_eq!(counters.overdue.get(), 1);
    });
}

/// A front that answers each request at once.
async fn front(intake: &Rc<Intake>, shutdown: &Shutdown) -> SocketAddr {
    let listener = Rc::new(TcpListener::bind("127.0.0.1:0").await.expect("an address"));
    let address = listener.local_addr().expect("an address");
    let answer = |_: Request<Incoming>| async {
        let reply: Reply = Response::new(Either::Left(Full::from("answer")));
        Ok::<_, Infallible>(reply)
    };
    let served = serve(listener, None, intake.clone(), shutdown.clone(), move |_| tower::service_fn(answer));
    shutdown.note(Happening::CanServe);
    spawn_local(served);
    yield_now().await;
    address
}

/// A client whose calls return at once.
fn client(address: SocketAddr) -> std::net::TcpStream {
    let socket = std::net::TcpStream::connect(address).expect("it listens");
    socket.set_nonblocking(true).expect("a socket's option");
    socket
}

const REQUEST: &[u8] = b"GET / HTTP/1.1\r\nhost: x\r\n\r\n";

/// Reads to the end, in turn with the other parties.
async fn read_to_end(mut socket: &std::net::TcpStream) -> Result<String, ErrorKind> {
    let (mut text, mut buffer) = (String::new(), [0; 4_096]);
    loop {
        match socket.read(&mut buffer) {
            Ok(0) => return Ok(text),
            Ok(read) => text.push_str(&String::from_utf8_lossy(&buffer[..read])),
            Err(fault) if fault.kind() == ErrorKind::WouldBlock => sleep(Duration::from_millis(1)).await,
            Err(fault) => return Err(fault.kind()),
        }
    }
}

fn intake(most: usize) -> Rc<Intake> {
    Intake::new(most, 1_000_000, Rc::default())
}

/// A connection makes room in the moment in which its client's next request comes. It is closed in order: the answer before
/// stands, and the client may safely send the request again.
#[test]
fn a_connection_that_makes_room_is_not_reset_over_a_request_that_comes() {
    play(async || {
        let (intake, shutdown) = (intake(1), Shutdown::new(GracePeriod::default()));
        let mut first = client(front(&intake, &shutdown).await);
        first.write_all(REQUEST).expect("room for a request");
        sleep(Duration::from_millis(10)).await;
        // Both in one turn of the other parties.
        first.write_all(REQUEST).expect("room for a request");
        let other = intake.enter();
        let text = read_to_end(&first).await;
        assert_eq!(text.map(|text| text.matches("answer").count()), Ok(1));
        drop(other);
    });
}

/// Whether a future ends now.
async fn ends_now(future: &mut (impl Future<Output = ()> + Unpin)) -> bool {
    std::future::poll_fn(|cx| std::task::Poll::Ready(Pin::new(&mut *future).poll(cx).is_ready())).await
}

/// A client that waits in the system's queue as the time for arrivals ends is served before the process ends.
#[test]
fn who_waits_in_the_queue_is_served_before_the_process_ends() {
    play(async || {
        let (intake, shutdown) = (intake(1), Shutdown::new(GracePeriod::default()));
        let address = front(&intake, &shutdown).await;
        let _no_room_for_others = intake.enter();
        let mut ended = Box::pin(shutdown.finish());
        assert!(!ends_now(&mut ended).await);
        let accept_until = shutdown.begun().await.accept_until;
        let mut late = client(address);
        late.write_all(REQUEST).expect("room for a request");
        advance(accept_until - Instant::now()).await;
        assert!(!ends_now(&mut ended).await, "over who waits");
        ended.await;
        // All that the process does is done: what the client has not got by now it never gets.
        let mut buffer = [0; 4_096];
        let read = late.read(&mut buffer).map(|read| String::from_utf8_lossy(&buffer[..read]).into_owned());
        assert!(read.as_ref().is_ok_and(|text| text.ends_with("answer")), "{read:?}");
    });
}

/// The process ends only when a last answer's connection has been closed by its client, or has been waited for.
#[test]
fn the_process_waits_for_the_close_behind_its_last_answer() {
    play(async || {
        let (intake, shutdown) = (intake(8), Shutdown::new(GracePeriod::default()));
        let mut last = client(front(&intake, &shutdown).await);
        let ending = shutdown.clone();
        let ended = spawn_local(async move { ending.finish().await });
        yield_now().await;
        let accept_until = shutdown.begun().await.accept_until;
        advance(accept_until - Duration::from_millis(1) - Instant::now()).await;
        last.write_all(REQUEST).expect("room for a request");
        sleep(Duration::from_millis(10)).await;
        assert!(!ended.is_finished(), "with a connection that is still read");
        // More than was asked for: it is read past, and its client sees an end, no reset.
        last.write_all(REQUEST).expect("room for a request");
        let text = read_to_end(&last).await;
        assert_eq!(text.map(|text| text.matches("answer").count()), Ok(1));
        drop(last);
        sleep(Duration::from_millis(10)).await;
        assert!(ended.is_finished());
    });
}

//! Readers and writers that keep the platform's protocol: slots, queues, states that wait, releases, drains. What they see is
//! recorded for the judge.

use std::collections::{BTreeMap, BTreeSet};
use std::convert::Infallible;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Either, Full, StreamBody};
use hyper::body::Incoming;
use hyper::header::{HeaderName, HeaderValue};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Method, Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use tokio::net::TcpListener;
use tokio::sync::{Semaphore, mpsc};

use super::network::{Connection, Link};
use super::slowness::{self, Slowness};
use crate::stand_ins::{Events, HELD_MOST, Role};
use crate::{Clock, Micros};

/// How long a reader takes at least for a prompt.
const READ_LEAST: Duration = Duration::from_millis(3);

/// Within which a link has noted a connection that it opened.
const NOTED_WITHIN: Duration = Duration::from_secs(5);

/// How a server works.
#[derive(Clone, Debug)]
pub struct Manner {
    /// What it does.
    pub role: Role,
    /// Requests at once.
    pub slots: usize,
    /// More that may wait.
    pub queue: usize,
    /// How long a prompt takes here, or an answer to its first token.
    pub first: Duration,
    /// Events of an answer.
    pub events: usize,
    /// Whether work that has begun goes on when its connection ends.
    pub goes_on: bool,
    /// How it is slow, if it is.
    pub slowness: Option<Slowness>,
}

/// An attempt whose last byte reached its server.
#[derive(Clone, Debug)]
pub struct Attempt {
    /// The request.
    pub id: String,
    /// The server.
    pub at: String,
    /// What it does.
    pub role: Role,
    /// The conductor that sent it.
    pub from: usize,
    /// When its first byte was sent.
    pub begun: Micros,
    /// When its last byte was sent.
    pub sent: Micros,
    /// When it arrived.
    pub arrived: Micros,
    /// When the server was done with it.
    pub ended: Option<Micros>,
    /// When each event of its answer was written whole.
    pub events: Vec<Micros>,
    /// Its answer began, or may have had an effect.
    pub ran: bool,
    /// The time that it told, in milliseconds.
    pub told_ms: Option<u64>,
    /// The connection that brought it.
    pub connection: Arc<Connection>,
}

/// A state that a reader holds.
#[derive(Clone, Debug)]
struct State {
    /// By whose attempt.
    from: usize,
    /// Since when no attempt of its request is out.
    since: Micros,
    /// The connection of its read.
    read_over: Arc<Connection>,
    /// When its read arrived.
    arrived: Micros,
}

/// A state that was held for too long.
#[derive(Clone, Debug)]
pub struct HeldLong {
    /// The request.
    pub id: String,
    /// The conductor.
    pub from: usize,
    /// Since when no attempt was out.
    pub since: Micros,
    /// Until when at least.
    pub until: Micros,
    /// The connection of its read.
    pub read_over: Arc<Connection>,
    /// When its read arrived.
    pub arrived: Micros,
    /// When its conductor was killed.
    pub kills: Vec<Micros>,
}

/// What all servers saw.
#[derive(Debug, Default)]
pub struct Seen {
    /// All attempts, in the order of their arrival.
    pub attempts: Vec<Attempt>,
    /// States that were held for too long.
    pub held_long: Vec<HeldLong>,
    /// Releases that arrived.
    pub releases: u64,
    /// States that ended: by a call that took them, by a release.
    pub taken: u64,
    /// By a release.
    pub released: u64,
    states: BTreeMap<String, Vec<State>>,
    kills: Vec<(usize, Micros)>,
    /// Reads, by their numbers, that were told to release what they had not read to the end.
    dropped: BTreeSet<usize>,
}

impl Seen {
    fn is_out(&self, id: &str) -> bool {
        self.attempts.iter().rev().any(|attempt| attempt.id == id && attempt.ended.is_none())
    }

    /// Notes the states of a request that have been held for too long by now.
    fn check(&mut self, id: &str, now: Micros) {
        if self.is_out(id) {
            return;
        }
        let states = self.states.get_mut(id).into_iter().flatten();
        for state in states.filter(|state| now.saturating_sub(state.since) > HELD_MOST) {
            let kills = self.kills.iter().filter(|(conductor, _)| *conductor == state.from);
            self.held_long.push(HeldLong {
                id: id.to_owned(),
                from: state.from,
                since: state.since,
                until: now,
                read_over: state.read_over.clone(),
                arrived: state.arrived,
                kills: kills.map(|(_, at)| *at).collect(),
            });
            // Told once.
            state.since = Micros::MAX;
        }
    }

    /// Notes all states that have been held for too long by now.
    pub fn check_all(&mut self, now: Micros) {
        let ids: Vec<_> = self.states.keys().cloned().collect();
        ids.iter().for_each(|id| self.check(id, now));
    }

    /// A conductor was killed: nobody can let go of what is held for its requests.
    pub fn killed(&mut self, conductor: usize, now: Micros) {
        self.check_all(now);
        self.states.values_mut().for_each(|states| states.retain(|state| state.from != conductor));
        self.kills.push((conductor, now));
    }

    /// A read has come to its end. One over a connection of a process that has been killed leaves nothing that anybody could
    /// release: the network may pass its bytes on, and even read them, long after that process has written them.
    fn hold(&mut self, number: usize, now: Micros) {
        let Attempt { id, from, arrived, connection: read_over, .. } = self.attempts[number].clone();
        let is_of_killed = |&(conductor, at): &(usize, Micros)| conductor == from && at >= read_over.opened;
        if self.kills.iter().any(is_of_killed) || self.dropped.contains(&number) {
            return;
        }
        self.states.entry(id).or_default().push(State { from, since: now, read_over, arrived });
    }

    fn arrive(&mut self, attempt: Attempt) -> usize {
        self.check(&attempt.id, attempt.arrived);
        self.attempts.push(attempt);
        self.attempts.len() - 1
    }

    fn end(&mut self, number: usize, now: Micros) {
        let attempt = &mut self.attempts[number];
        if attempt.ended.replace(now).is_none() {
            let id = attempt.id.clone();
            if !self.is_out(&id) {
                self.states.get_mut(&id).into_iter().flatten().for_each(|state| state.since = now);
            }
        }
    }

    /// A writer's call takes the state that waits; false when there is none.
    fn take(&mut self, id: &str) -> bool {
        let taken = self.states.remove(id).is_some();
        self.taken += u64::from(taken);
        taken
    }

    /// Lets go of all for which no attempt waits. What is still read is not kept when it is.
    fn release(&mut self, id: &str, now: Micros) {
        self.releases += 1;
        let reads = |a: &Attempt| a.id == id && a.role == Role::Read && a.ended.is_none();
        let reading = self.attempts.iter().enumerate().filter(|(_, attempt)| reads(attempt));
        self.dropped.extend(reading.map(|(number, _)| number));
        let waits = |a: &Attempt| a.id == id && a.role == Role::Write && a.ended.is_none();
        if !self.attempts.iter().rev().any(waits) {
            self.check(id, now);
            self.released += u64::from(self.states.remove(id).is_some());
        }
    }
}

/// What all servers saw, shared by them.
#[derive(Clone, Default)]
pub struct Record(Arc<Mutex<Seen>>, pub Clock);

impl Record {
    /// A record on this clock.
    pub fn new(clock: Clock) -> Self {
        Record(Arc::default(), clock)
    }

    /// Looks at what was seen.
    pub fn look<T>(&self, at: impl FnOnce(&mut Seen, Micros) -> T) -> T {
        let now = self.1.now();
        at(&mut self.0.lock().unwrap_or_else(PoisonError::into_inner), now)
    }
}

/// A server, with a link from each conductor.
pub struct Server {
    /// Its id.
    pub id: String,
    /// How it works.
    pub manner: Manner,
    /// Where it listens.
    pub address: SocketAddr,
    links: Arc<Mutex<Vec<Link>>>,
}

/// What one connection's service needs.
#[derive(Clone)]
struct Desk {
    id: String,
    manner: Manner,
    slots: Arc<Semaphore>,
    rng: Arc<Mutex<SmallRng>>,
    record: Record,
    /// The conductor behind the connection, and the connection as the network knows it.
    from: Option<(usize, Arc<Connection>)>,
}

type Body = Either<Full<Bytes>, StreamBody<Events>>;

impl Server {
    /// Starts a server that no link leads to yet.
    pub async fn start(id: &str, manner: Manner, record: Record) -> std::io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let address = listener.local_addr()?;
        let links: Arc<Mutex<Vec<Link>>> = Arc::default();
        let slots = Arc::new(Semaphore::new(manner.slots));
        let rng = Arc::new(Mutex::new(SmallRng::seed_from_u64(address.port().into())));
        let (name, known, at_work) = (id.to_owned(), links.clone(), manner.clone());
        tokio::spawn(async move {
            while let Ok((socket, from)) = listener.accept().await {
                let _ = socket.set_nodelay(true);
                let mut desk = Desk {
                    id: name.clone(),
                    manner: at_work.clone(),
                    slots: slots.clone(),
                    rng: rng.clone(),
                    record: record.clone(),
                    from: None,
                };
                let known = known.clone();
                tokio::spawn(async move {
                    desk.from = sender(&known, from).await;
                    let service = service_fn(|request| desk.clone().answer(request));
                    let _ = http1::Builder::new().serve_connection(TokioIo::new(socket), service).await;
                });
            }
        });
        Ok(Server { id: id.to_owned(), manner, address, links })
    }

    /// The links that lead here, by their conductors' numbers.
    pub fn link(&self, link: Link) {
        self.links.lock().unwrap_or_else(PoisonError::into_inner).push(link);
    }
}

/// Which conductor a connection comes from. Its link may note it a little later than the server accepts it.
async fn sender(links: &Mutex<Vec<Link>>, from: SocketAddr) -> Option<(usize, Arc<Connection>)> {
    let find = || {
        let links = links.lock().unwrap_or_else(PoisonError::into_inner);
        links.iter().enumerate().find_map(|(number, link)| Some((number, link.connection(from)?)))
    };
    let begun = tokio::time::Instant::now();
    while begun.elapsed() < NOTED_WITHIN {
        if let Some(found) = find() {
            return Some(found);
        }
        tokio::time::sleep(Duration::from_millis(1)).await;
    }
    None
}

/// Ends an attempt's entry when the exchange is over, however that comes.
struct Open(Record, usize);

impl Drop for Open {
    fn drop(&mut self) {
        self.0.look(|seen, now| seen.end(self.1, now));
    }
}

fn whole(status: StatusCode, text: &'static str) -> Response<Body> {
    let mut reply = Response::new(Either::Left(Full::new(text.into())));
    *reply.status_mut() = status;
    reply
}

fn not_started(status: StatusCode) -> Response<Body> {
    let mut reply = whole(status, "");
    reply.headers_mut().insert(HeaderName::from_static("not-started"), HeaderValue::from_static("1"));
    reply
}

impl Desk {
    async fn answer(self, request: Request<Incoming>) -> Result<Response<Body>, Infallible> {
        match (request.method(), request.uri().path()) {
            (&Method::DELETE, path) => {
                let id = path.rsplit('/').next().unwrap_or_default();
                self.record.look(|seen, now| seen.release(id, now));
                Ok(whole(StatusCode::NO_CONTENT, ""))
            }
            (&Method::GET, "/-/load") => Ok(whole(StatusCode::OK, "{\"inflight\":1,\"x0\":0.1}")),
            (&Method::GET, "/-/healthy") => Ok(whole(StatusCode::OK, "")),
            (&Method::POST, _) => Ok(self.work(request).await),
            _ => Ok(whole(StatusCode::NOT_FOUND, "")),
        }
    }

    async fn work(self, request: Request<Incoming>) -> Response<Body> {
        let header = |name| request.headers().get(name).and_then(|value| value.to_str().ok());
        let id = header("request-id").unwrap_or_default().to_owned();
        let told_ms = header("request-timeout-ms").and_then(|text| text.parse().ok());
        let Some(()) = self.read_body(request.into_body()).await else {
            return whole(StatusCode::BAD_REQUEST, "");
        };
        let Some((from, connection)) = self.from.clone() else {
            return whole(StatusCode::BAD_REQUEST, "");
        };
        let role = self.manner.role;
        let number = self.record.look(|seen, arrived| {
            let (id, at) = (id.clone(), self.id.clone());
            let (begun, sent) = (connection.request_begun(), connection.last_up());
            let attempt = Attempt {
                id,
                at,
                role,
                from,
                begun,
                sent,
                arrived,
                ended: None,
                events: Vec::new(),
                ran: false,
                told_ms,
                connection,
            };
            seen.arrive(attempt)
        });
        let open = Open(self.record.clone(), number);
        let waiting = self.manner.slots + self.manner.queue;
        if self.record.look(|seen, _| seen.waiting_at(&self.id)) > waiting {
            return not_started(StatusCode::SERVICE_UNAVAILABLE);
        }
        match role {
            Role::Read => self.read(open).await,
            Role::Write => self.write(id, open).await,
        }
    }

    /// Reads a request's body to its end, as slowly as this server does. None where it breaks off.
    async fn read_body(&self, mut body: Incoming) -> Option<()> {
        let read_rate = self.manner.slowness.and_then(|slowness| slowness.read_rate);
        while let Some(frame) = body.frame().await {
            let bytes = frame.ok()?.into_data().map_or(0, |data| data.len());
            if let Some(bytes_per_second) = read_rate {
                tokio::time::sleep(Duration::from_secs_f64(bytes as f64 / bytes_per_second as f64)).await;
            }
        }
        Some(())
    }

    async fn read(self, open: Open) -> Response<Body> {
        let slots = self.slots.clone();
        let Ok(slot) = slots.acquire_owned().await else {
            return not_started(StatusCode::SERVICE_UNAVAILABLE);
        };
        let record = self.record.clone();
        let time = self.manner.first.max(READ_LEAST);
        let finish = async move {
            tokio::time::sleep(time).await;
            // The state is there from the moment in which the attempt has ended.
            let number = open.1;
            drop(open);
            record.look(|seen, now| seen.hold(number, now));
            drop(slot);
        };
        if self.manner.goes_on {
            let _ = tokio::spawn(finish).await;
        } else {
            finish.await;
        }
        whole(StatusCode::ACCEPTED, "{\"cached_tokens\":0}")
    }

    async fn write(self, id: String, open: Open) -> Response<Body> {
        if !self.record.look(|seen, _| seen.states.contains_key(&id)) {
            return not_started(StatusCode::GONE);
        }
        let Ok(slot) = self.slots.clone().acquire_owned().await else {
            return not_started(StatusCode::SERVICE_UNAVAILABLE);
        };
        let number = open.1;
        let begun = self.record.look(|seen, _| {
            let taken = seen.take(&id);
            seen.attempts[number].ran = taken;
            taken
        });
        if !begun {
            return not_started(StatusCode::GONE);
        }
        tokio::time::sleep(self.manner.first).await;
        let (pieces, receiver) = mpsc::channel(4);
        let fault = self.manner.slowness.and_then(|slowness| {
            slowness.fault(&mut self.rng.lock().unwrap_or_else(PoisonError::into_inner))
        });
        let (steps, is_whole) = slowness::answer(self.manner.events.max(1), fault);
        let record = self.record.clone();
        tokio::spawn(async move {
            let _work = (open, slot);
            for step in steps {
                tokio::select! {
                    () = pieces.closed() => return,
                    () = tokio::time::sleep(step.pause) => {}
                }
                if pieces.send(step.text.into()).await.is_err() {
                    return;
                }
                if step.completes_event {
                    record.look(|seen, now| seen.attempts[number].events.push(now));
                }
            }
            if !is_whole {
                pieces.closed().await;
            }
        });
        let mut reply = Response::new(Either::Right(StreamBody::new(Events(receiver))));
        reply.headers_mut().insert("content-type", HeaderValue::from_static("text/event-stream"));
        reply
    }
}

impl Seen {
    fn waiting_at(&self, server: &str) -> usize {
        self.attempts.iter().filter(|a| a.at == server && a.ended.is_none()).count()
    }
}

#[cfg(test)]
mod tests;

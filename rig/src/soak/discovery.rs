//! Discovery with a list that changes: each conductor has an agent of its own, which pushes changes to its watches.

use std::convert::Infallible;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{Either, Full, StreamBody};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response};
use hyper_util::rt::TokioIo;
use serde_json::{Value, json};
use tokio::net::TcpListener;
use tokio::sync::{mpsc, watch};

use crate::stand_ins::Events;
use crate::{Clock, Micros};

/// An empty line is written this often while nothing changes.
const BEAT: Duration = Duration::from_secs(2);

type Body = Either<Full<Bytes>, StreamBody<Events>>;

/// Whether a server takes new work.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Listed {
    /// It does.
    #[default]
    Ready,
    /// It finishes what it has.
    Terminating,
}

/// A server as one conductor's agent lists it.
#[derive(Clone, Debug)]
pub struct Entry {
    /// Its id.
    pub id: String,
    /// Where that conductor reaches it.
    pub address: SocketAddr,
    /// Its zone.
    pub zone: String,
    /// Its kind.
    pub kind: &'static str,
    /// Its cell.
    pub cell: usize,
    /// Whether it takes new work.
    pub listed: Listed,
}

impl Entry {
    fn json(&self) -> Value {
        let state = match self.listed {
            Listed::Ready => "Ready",
            Listed::Terminating => "Terminating",
        };
        json!({ "id": self.id, "addr": self.address, "zone": self.zone, "kind": self.kind, "cell": self.cell,
            "state": state, "weight": 1.0, "started_ms": 0 })
    }
}

/// A time in which a conductor knew that a server drains.
#[derive(Clone, Debug)]
pub struct Drain {
    /// The server.
    pub id: String,
    /// When it was told.
    pub since: Micros,
    /// When it was told otherwise.
    pub until: Option<Micros>,
}

/// One conductor's agent.
#[derive(Clone)]
pub struct Agent {
    /// Where it listens.
    pub address: SocketAddr,
    entries: Arc<Mutex<Vec<Entry>>>,
    version: watch::Sender<u64>,
    drains: Arc<Mutex<Vec<Drain>>>,
    clock: Clock,
}

impl Agent {
    /// Starts an agent with this list.
    pub async fn start(entries: Vec<Entry>, clock: Clock) -> std::io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let agent = Agent {
            address: listener.local_addr()?,
            entries: Arc::new(Mutex::new(entries)),
            version: watch::Sender::new(1),
            drains: Arc::default(),
            clock,
        };
        let serving = agent.clone();
        tokio::spawn(async move {
            while let Ok((socket, _)) = listener.accept().await {
                let agent = serving.clone();
                tokio::spawn(async move {
                    let service = service_fn(|request| {
                        let agent = agent.clone();
                        async move { agent.answer(&request) }
                    });
                    let _ = http1::Builder::new().serve_connection(TokioIo::new(socket), service).await;
                });
            }
        });
        Ok(agent)
    }

    fn entries(&self) -> std::sync::MutexGuard<'_, Vec<Entry>> {
        self.entries.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Lists a server otherwise from now on; its conductor is told at once.
    pub fn list(&self, id: &str, listed: Listed) {
        self.entries().iter_mut().filter(|entry| entry.id == id).for_each(|entry| entry.listed = listed);
        let (mut drains, now) =
            (self.drains.lock().unwrap_or_else(PoisonError::into_inner), self.clock.now());
        drains
            .iter_mut()
            .filter(|drain| drain.id == id && drain.until.is_none())
            .for_each(|drain| drain.until = Some(now));
        if listed == Listed::Terminating {
            drains.push(Drain { id: id.to_owned(), since: now, until: None });
        }
        self.version.send_modify(|version| *version += 1);
    }

    /// All drains that the conductor was told of.
    pub fn drains(&self) -> Vec<Drain> {
        self.drains.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }

    fn line(&self) -> Bytes {
        let servers: Vec<_> = self.entries().iter().map(Entry::json).collect();
        format!("{}\n", json!({ "version": *self.version.borrow(), "full": true, "servers": servers })).into()
    }

    fn answer(&self, request: &Request<Incoming>) -> Result<Response<Body>, Infallible> {
        if !request.uri().query().is_some_and(|query| query.contains("follow=1")) {
            return Ok(Response::new(Either::Left(Full::new(self.line()))));
        }
        let (pieces, receiver) = mpsc::channel(4);
        let (agent, mut version) = (self.clone(), self.version.subscribe());
        tokio::spawn(async move {
            let mut next = agent.line();
            while pieces.send(next).await.is_ok() {
                let changed = tokio::time::timeout(BEAT, version.changed()).await;
                next = if changed.is_ok() { agent.line() } else { "\n".into() };
            }
        });
        Ok(Response::new(Either::Right(StreamBody::new(Events(receiver)))))
    }
}

//! Stand-ins for what conductors talk to: readers, writers and discovery, as far as the platform's protocol shows them.

use std::collections::BTreeMap;
use std::convert::Infallible;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Either, Full, StreamBody};
use hyper::body::{Frame, Incoming};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Method, Request, Response};
use hyper_util::rt::TokioIo;
use serde_json::json;
use tokio::net::TcpListener;
use tokio::sync::mpsc;

use crate::{Clock, Micros};

/// What a stand-in does.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Role {
    /// Reads prompts.
    Read,
    /// Writes answers.
    Write,
}

/// An attempt as its instance saw it.
#[derive(Clone, Debug)]
pub struct Attempt {
    /// The request.
    pub id: String,
    /// The instance.
    pub at: String,
    /// What it does.
    pub role: Role,
    /// When its last byte had come.
    pub begun: Micros,
    /// When the exchange ended; none while it runs.
    pub ended: Option<Micros>,
    /// It made an answer.
    pub ran: bool,
}

/// For so long a read state may be held with no attempt out: the rule's second, with its slack.
pub const HELD_MOST: Micros = 1_350_000;

/// What all instances saw, and what they hold.
#[derive(Default)]
pub struct Seen {
    /// Attempts in order of their beginning.
    pub attempts: Vec<Attempt>,
    /// Read states by request: since when they are held with no attempt out.
    pub held: BTreeMap<String, Micros>,
    /// Probes: the instance, and when.
    pub probes: Vec<(String, Micros)>,
    /// Those that were held so for longer than [`HELD_MOST`]: the request, from when, until when.
    pub held_long: Vec<(String, Micros, Micros)>,
}

/// Shared by all stand-ins of a run.
#[derive(Clone, Default)]
pub struct Record(pub Arc<Mutex<Seen>>, pub Clock);

impl Record {
    /// Looks at what was seen.
    pub fn look<T>(&self, at: impl FnOnce(&mut Seen) -> T) -> T {
        at(&mut self.0.lock().unwrap_or_else(std::sync::PoisonError::into_inner))
    }

    fn begin(&self, id: &str, at: &str, role: Role) -> usize {
        let begun = self.1.now();
        self.look(|seen| {
            seen.let_go(id, begun);
            seen.attempts.push(Attempt {
                id: id.into(),
                at: at.into(),
                role,
                begun,
                ended: None,
                ran: false,
            });
            seen.attempts.len() - 1
        })
    }

    fn end(&self, number: usize, ran: bool) {
        let now = self.1.now();
        self.look(|seen| {
            let attempt = &mut seen.attempts[number];
            (attempt.ended, attempt.ran) = (Some(now), ran);
        });
    }
}

impl Seen {
    fn let_go(&mut self, id: &str, now: Micros) {
        let since = self.held.remove(id).filter(|since| now - since > HELD_MOST);
        self.held_long.extend(since.map(|since| (id.to_owned(), since, now)));
    }
}

/// An instance that answers.
#[derive(Clone, Debug)]
pub struct Instance {
    /// Its id.
    pub id: String,
    /// Where it listens.
    pub address: SocketAddr,
    /// What it does.
    pub role: Role,
}

type Body = Either<Full<Bytes>, StreamBody<Events>>;

/// A streamed body: pieces as they are given.
pub struct Events(pub mpsc::Receiver<Bytes>);

impl futures::Stream for Events {
    type Item = Result<Frame<Bytes>, Infallible>;

    fn poll_next(
        mut self: std::pin::Pin<&mut Self>, cx: &mut std::task::Context<'_>,
    ) -> std::task::Poll<Option<Self::Item>> {
        self.0.poll_recv(cx).map(|piece| piece.map(|bytes| Ok(Frame::data(bytes))))
    }
}

fn whole(status: u16, text: impl Into<Bytes>) -> Response<Body> {
    let mut reply = Response::new(Either::Left(Full::new(text.into())));
    *reply.status_mut() = hyper::StatusCode::from_u16(status).unwrap_or_default();
    reply
}

/// Starts an instance.
pub async fn instance(id: &str, role: Role, record: Record) -> std::io::Result<Instance> {
    let listener = TcpListener::bind("127.0.0.1:0").await?;
    let address = listener.local_addr()?;
    let name = id.to_owned();
    tokio::spawn(async move {
        while let Ok((socket, _)) = listener.accept().await {
            let _ = socket.set_nodelay(true);
            let (record, name) = (record.clone(), name.clone());
            tokio::spawn(async move {
                let service = service_fn(|request| answer(request, role, record.clone(), name.clone()));
                let _ = http1::Builder::new().serve_connection(TokioIo::new(socket), service).await;
            });
        }
    });
    Ok(Instance { id: id.into(), address, role })
}

/// Ends an attempt's entry when the exchange is over, however that comes.
struct Open(Record, usize, bool);

impl Drop for Open {
    fn drop(&mut self) {
        self.0.end(self.1, self.2);
    }
}

async fn answer(
    request: Request<Incoming>, role: Role, record: Record, name: String,
) -> Result<Response<Body>, Infallible> {
    if request.method() == Method::DELETE {
        let id = request.uri().path().rsplit('/').next().unwrap_or_default().to_owned();
        let now = record.1.now();
        record.look(|seen| seen.let_go(&id, now));
        return Ok(whole(204, ""));
    }
    if request.method() == Method::GET && request.uri().path() == "/-/load" {
        let now = record.1.now();
        record.look(|seen| seen.probes.push((name, now)));
        return Ok(whole(200, "{\"inflight\":1,\"x0\":0.1}"));
    }
    if request.method() != Method::POST {
        return Ok(whole(404, ""));
    }
    let id =
        request.headers().get("request-id").and_then(|id| id.to_str().ok()).unwrap_or_default().to_owned();
    let body = request.into_body().collect().await.map(|body| body.to_bytes()).unwrap_or_default();
    // A client's own name for its request goes before the conductor's.
    let body: serde_json::Value = serde_json::from_slice(&body).unwrap_or_default();
    let id = body["prompt_cache_key"].as_str().map_or(id, str::to_owned);
    let mut open = Open(record.clone(), record.begin(&id, &name, role), false);
    match role {
        Role::Read => {
            tokio::time::sleep(Duration::from_millis(4)).await;
            open.2 = true;
            let now = record.1.now();
            record.look(|seen| seen.held.insert(id, now));
            Ok(whole(202, "{\"cached_tokens\":0}"))
        }
        Role::Write => {
            open.2 = true;
            let (pieces, receiver) = mpsc::channel(4);
            tokio::spawn(async move {
                let _open = open;
                for n in 0..4 {
                    let reason = if n == 3 { "\"stop\"" } else { "null" };
                    let event = format!(
                        "data: {{\"choices\":[{{\"index\":0,\"delta\":{{\"content\":\"w{n}\"}},\"finish_reason\":{reason}}}]}}\n\n"
                    );
                    if pieces.send(event.into()).await.is_err() {
                        return;
                    }
                    tokio::time::sleep(Duration::from_millis(8)).await;
                }
                let usage = "data: {\"choices\":[],\"usage\":{\"prompt_tokens\":400,\"completion_tokens\":4,\
                    \"prompt_tokens_details\":{\"cached_tokens\":0}}}\n\ndata: [DONE]\n\n";
                let _ = pieces.send(usage.into()).await;
            });
            let mut reply = Response::new(Either::Right(StreamBody::new(Events(receiver))));
            reply
                .headers_mut()
                .insert("content-type", hyper::header::HeaderValue::from_static("text/event-stream"));
            Ok(reply)
        }
    }
}

/// Starts discovery with a list of these instances, half of them in each zone.
pub async fn discovery(
    instances: &[Instance], zones: &'static [&'static str],
) -> std::io::Result<SocketAddr> {
    let servers: Vec<_> = instances
        .iter()
        .enumerate()
        .map(|(n, instance)| {
            let (kind, zone) = match instance.role {
                Role::Read => ("prefill", zones[n % zones.len()]),
                Role::Write => ("decode", zones[n % zones.len()]),
            };
            json!({ "id": instance.id, "addr": instance.address, "zone": zone, "kind": kind,
                "cell": n % zones.len(), "state": "Ready", "weight": 1.0, "started_ms": 0 })
        })
        .collect();
    let list = Bytes::from(format!("{}\n", json!({ "version": 1, "full": true, "servers": servers })));
    let listener = TcpListener::bind("127.0.0.1:0").await?;
    let address = listener.local_addr()?;
    tokio::spawn(async move {
        while let Ok((socket, _)) = listener.accept().await {
            let list = list.clone();
            tokio::spawn(async move {
                let service = service_fn(|request: Request<Incoming>| {
                    let list = list.clone();
                    async move {
                        let follows = request.uri().query().is_some_and(|query| query.contains("follow=1"));
                        if !follows {
                            return Ok::<_, Infallible>(whole(200, list));
                        }
                        let (pieces, receiver) = mpsc::channel(4);
                        tokio::spawn(async move {
                            let mut next = list;
                            while pieces.send(next).await.is_ok() {
                                tokio::time::sleep(Duration::from_secs(2)).await;
                                next = "\n".into();
                            }
                        });
                        Ok(Response::new(Either::Right(StreamBody::new(Events(receiver)))))
                    }
                });
                let _ = http1::Builder::new().serve_connection(TokioIo::new(socket), service).await;
            });
        }
    });
    Ok(address)
}

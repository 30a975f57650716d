//! The platform's front: its headers in, its status codes out.

use std::convert::Infallible;
use std::future::Future;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};

use bytes::Bytes;
use http_body_util::{Either, Full};
use hyper::body::Incoming;
use hyper::header::{CONNECTION, CONTENT_TYPE, HeaderMap, HeaderValue, RETRY_AFTER};
use hyper::{Method, Request, Response, StatusCode};
use xxhash_rust::xxh3::xxh3_64;

use super::intake::Intake;
use super::intake::body::{BodyError, read_body};
use super::intake::connection::Arrival;
use super::{Pieces, Reply, begin};
use crate::api::*;
use crate::node::Core;
use crate::node::counters::add;
use crate::node::process::shutdown::Shutdown;
use crate::node::request::{Answer, FinalAnswer, RequestEnd};
use crate::node::request_ids::RequestIds;
use crate::node::request_ids::table::Untaken;
use crate::node::upstream::attempt::Payload;
use crate::node::upstream::headers::end_to_end_headers;
use crate::wire::Names;

/// Longest id taken.
const ID_MOST: usize = 128;
/// Longest time a client may ask for, in milliseconds.
const TIMEOUT_MOST: u64 = 3_600_000;
/// Longest guess at a stream's time that is believed, in microseconds.
const WORK_HINT_MOST: f64 = TIMEOUT_MOST as f64 * 1_000.0;
/// When a client that found no room should come back.
const SHED_WAIT: Micros = 1_000_000;
/// Tells by which revision of the policy an answer was decided, where conductors have one.
const REVISION: &str = "policy-revision";
/// Taken off a client's patience: for the way of request and answer, and for the time that a request lay unread on a busy
/// machine. Instances may be told no more than what is left to the client, but for the time that a process is held up.
const ON_THE_WAY: Micros = 20_000;
/// The most that this may be of a patience, as one in so many.
const ON_THE_WAY_PART: Micros = 10;

/// Why a request was turned down before it was taken in.
#[derive(Debug, thiserror::Error)]
pub enum Malformed {
    /// A header is missing.
    #[error("the header {0} is missing")]
    Missing(&'static str),
    /// A header does not have its form.
    #[error("the header {0} must be {1}")]
    Unfit(&'static str, &'static str),
    /// Nobody knows the class.
    #[error("unknown class \"{0}\"")]
    Class(String),
    /// The id was seen before.
    #[error("the request id \"{0}\" was used before")]
    Duplicate(String),
    /// The body was not taken.
    #[error("{0}")]
    Body(#[from] BodyError),
    /// Its length is given in two ways.
    #[error("Content-Length and Transfer-Encoding exclude each other")]
    Framing,
    /// Not a path of this program.
    #[error("no such path")]
    Path,
    /// The path does not take this method.
    #[error("this path takes {0}")]
    Method(&'static str),
}

impl Malformed {
    fn status(&self) -> StatusCode {
        match self {
            Malformed::Duplicate(_) => StatusCode::CONFLICT,
            Malformed::Body(BodyError::TooLarge) => StatusCode::PAYLOAD_TOO_LARGE,
            Malformed::Body(BodyError::Slow) => StatusCode::REQUEST_TIMEOUT,
            Malformed::Path => StatusCode::NOT_FOUND,
            Malformed::Method(_) => StatusCode::METHOD_NOT_ALLOWED,
            _ => StatusCode::BAD_REQUEST,
        }
    }
}

/// The platform's front, as a service over HTTP.
#[derive(Clone)]
pub struct PlatformFront {
    core: Core,
    names: Rc<Names>,
    intake: Rc<Intake>,
    shutdown: Shutdown,
    ids: Rc<RequestIds>,
    /// The requests of which classes must not run twice.
    unsafe_classes: Rc<[bool]>,
}

impl PlatformFront {
    /// A front before this core.
    pub fn new(
        core: Core, (names, settings): (Names, &Settings), intake: Rc<Intake>, shutdown: Shutdown,
        ids: Rc<RequestIds>,
    ) -> Self {
        let unsafe_classes = settings.classes.iter().map(|class| class.effect != Effect::Safe).collect();
        PlatformFront { core, names: Rc::new(names), intake, shutdown, ids, unsafe_classes }
    }

    async fn handle(self, request: Request<Incoming>) -> Reply {
        let mut reply = match (request.method(), request.uri().path()) {
            (_, "/v1/chat/completions") => match self.complete(request).await {
                Ok(reply) => reply,
                Err(fault) => {
                    add(&self.core.counters.malformed);
                    tracing::debug!("intake: turned down: {fault}");
                    plain(fault.status(), format!("{fault}\n"))
                }
            },
            (&Method::GET, "/-/ready")
                if self.shutdown.readiness().ready() && !self.core.policy_gate.is_closed() =>
            {
                plain(StatusCode::OK, "ready\n")
            }
            (&Method::GET, "/-/ready") => {
                let drained = self.shutdown.readiness().drained();
                let why = match (drained, self.core.policy_gate.is_closed()) {
                    (true, _) => "drained by operators\n",
                    (_, true) => "not known to the other conductors, or cut off from them\n",
                    _ => "no list of instances yet\n",
                };
                plain(StatusCode::SERVICE_UNAVAILABLE, why)
            }
            (&Method::GET, "/-/counters") => plain(StatusCode::OK, self.core.counters.to_json_line() + "\n"),
            (_, "/-/ready" | "/-/counters") => {
                plain(StatusCode::METHOD_NOT_ALLOWED, format!("{}\n", Malformed::Method("GET")))
            }
            _ => plain(StatusCode::NOT_FOUND, format!("{}\n", Malformed::Path)),
        };
        if self.shutdown.readiness().lets_go() || self.intake.crowded() {
            reply.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
        }
        reply
    }

    /// Never taken in, so trying again is harmless.
    fn shed(&self) -> Reply {
        add(&self.core.counters.shed);
        refusal(Some(SHED_WAIT))
    }

    async fn complete(&self, mut request: Request<Incoming>) -> Result<Reply, Malformed> {
        let arrived = tokio::time::Instant::now();
        if request.method() != Method::POST {
            return Err(Malformed::Method("POST"));
        }
        if request.extensions().get::<Arrival>().is_some_and(|arrival| arrival.conflicting) {
            return Err(Malformed::Framing);
        }
        let headers = request.headers();
        let head = id(headers).and_then(|id| Ok((Rc::<str>::from(id), ask(headers, &self.names)?)));
        let (body, permit) = match read_body(&mut request, head.is_ok(), &self.intake, &self.shutdown).await {
            Err(BodyError::NoRoom | BodyError::ProcessEnds) => return Ok(self.shed()),
            read => read?,
        };
        let (id, mut ask) = head?;
        if !self.intake.admits(&request) {
            return Ok(self.shed());
        }
        let Some(room) = self.intake.room_for_answer() else { return Ok(self.shed()) };
        let is_unsafe = self.unsafe_classes.get(ask.class.0).copied().unwrap_or(true);
        let taken = match self.ids.take(&id, is_unsafe).await {
            Ok(taken) => taken,
            Err(Untaken::Duplicate) => return Err(Malformed::Duplicate(id.to_string())),
            Err(Untaken::Full) => {
                add(&self.core.counters.ids_full);
                return Ok(self.shed());
            }
            Err(Untaken::Unanswered) => {
                add(&self.core.counters.ids_unanswered);
                return Ok(self.shed());
            }
        };
        let on_the_way = ON_THE_WAY.min(ask.time_left / ON_THE_WAY_PART);
        ask.time_left -= arrived.elapsed().as_micros() as Micros + on_the_way;
        let target = request.uri().path_and_query().cloned().ok_or(Malformed::Path)?;
        let payload =
            Payload { id: id.clone(), target, headers: end_to_end_headers(request.headers()), body };
        let connection = self.intake.connection_of_request(&request);
        let kept = room.clone();
        let on_end = move |end: RequestEnd| {
            taken.end(end);
            drop(kept);
        };
        let FinalAnswer { answer, revision } =
            begin(&self.core, &self.shutdown, ask, (payload, permit), connection, on_end).await;
        let mut reply = match answer {
            Answer::Events { form, stream: events } => {
                stream(form.content_type, Pieces::new(events, id, room))
            }
            Answer::Refused { retry_after } => refusal(retry_after),
            Answer::Failed => plain(StatusCode::BAD_GATEWAY, "the request failed and may have run\n"),
        };
        revision.map(|revision| reply.headers_mut().insert(REVISION, HeaderValue::from(revision)));
        Ok(reply)
    }
}

impl tower::Service<Request<Incoming>> for PlatformFront {
    type Response = Reply;
    type Error = Infallible;
    type Future = Pin<Box<dyn Future<Output = Result<Reply, Infallible>>>>;

    fn poll_ready(&mut self, _: &mut Context<'_>) -> Poll<Result<(), Infallible>> {
        Poll::Ready(Ok(()))
    }

    fn call(&mut self, request: Request<Incoming>) -> Self::Future {
        let front = self.clone();
        Box::pin(async move { Ok(front.handle(request).await) })
    }
}

fn text<'a>(headers: &'a HeaderMap, name: &'static str) -> Result<Option<&'a str>, Malformed> {
    let value = headers.get(name).map(|v| v.to_str().map_err(|_| Malformed::Unfit(name, "plain text")));
    Ok(value.transpose()?.map(str::trim).filter(|v| !v.is_empty()))
}

fn needed<'a>(headers: &'a HeaderMap, name: &'static str) -> Result<&'a str, Malformed> {
    text(headers, name)?.ok_or(Malformed::Missing(name))
}

fn id(headers: &HeaderMap) -> Result<&str, Malformed> {
    let id = needed(headers, "Request-Id")?;
    let fits = |c: char| c.is_ascii_alphanumeric() || "-_.~".contains(c);
    if id.len() > ID_MOST || !id.chars().all(fits) {
        return Err(Malformed::Unfit("Request-Id", "at most 128 letters, digits and -_.~"));
    }
    Ok(id)
}

/// Takes out of a head what the decisions need.
fn ask(headers: &HeaderMap, names: &Names) -> Result<NewRequest, Malformed> {
    let class = needed(headers, "Request-Class")?;
    let class =
        names.classes.iter().position(|c| c == class).ok_or_else(|| Malformed::Class(class.into()))?;
    let time =
        needed(headers, "Request-Timeout-Ms")?.parse().ok().filter(|ms| (1..=TIMEOUT_MOST).contains(ms));
    let time: u64 =
        time.ok_or(Malformed::Unfit("Request-Timeout-Ms", "whole milliseconds from 1 to 3600000"))?;
    let mut ask =
        NewRequest { class: ClassId(class), time_left: time as Micros * 1_000, ..NewRequest::default() };
    info(needed(headers, "Request-Info")?, &mut ask).ok_or(Malformed::Unfit(
        "Request-Info",
        "prompt_len=N,max_out=N and, with an opening, prefix=ID,prefix_len=N",
    ))?;
    ask.session = text(headers, "Affinity-Key")?.map(|key| TextKey(xxh3_64(key.as_bytes())));
    ask.tenant = tenant(headers, names)?;
    ask.expected_stream_time = work_hint(headers)?;
    match text(headers, "Client-Retry")? {
        None => {}
        Some("again") => ask.is_resumed = true,
        Some("1") => ask.is_client_retry = true,
        Some(_) => return Err(Malformed::Unfit("Client-Retry", "1 or again")),
    }
    Ok(ask)
}

/// The request's tenant. A name that the settings do not know has no share there, so it counts as no tenant.
fn tenant(headers: &HeaderMap, names: &Names) -> Result<Option<TenantId>, Malformed> {
    let name = text(headers, "Tenant")?;
    Ok(name.and_then(|name| names.tenants.iter().position(|known| known == name)).map(TenantId))
}

/// The client's guess at the time that its stream takes, in microseconds; zero is no guess.
fn work_hint(headers: &HeaderMap) -> Result<Option<Micros>, Malformed> {
    let Some(hint) = text(headers, "Work-Hint")? else { return Ok(None) };
    let hint: f64 = hint
        .parse()
        .ok()
        .filter(|hint| (0.0..=WORK_HINT_MOST).contains(hint))
        .ok_or(Malformed::Unfit("Work-Hint", "microseconds from 0 to 3600000000"))?;
    Ok(Some(hint as Micros).filter(|&hint| hint > 0))
}

fn info(text: &str, ask: &mut NewRequest) -> Option<()> {
    let (mut prompt, mut most) = (None, None);
    for pair in text.split(',') {
        let (key, value) = pair.trim().split_once('=')?;
        let tokens = || value.parse::<u32>().ok().map(f64::from);
        match key {
            "prefix" if value.is_empty() || value == "0" => {}
            "prefix" => ask.prefix = Some(TextKey(xxh3_64(value.as_bytes()))),
            "prefix_len" => ask.prefix_tokens = tokens()?,
            "prompt_len" => prompt = Some(tokens()?),
            "max_out" => most = Some(tokens()?),
            _ => {}
        }
    }
    (ask.prompt_tokens, ask.max_output_tokens) = (prompt?, most?);
    (ask.prefix_tokens <= ask.prompt_tokens).then_some(())
}

fn plain(status: StatusCode, text: impl Into<Bytes>) -> Reply {
    let mut reply = Response::new(Either::Left(Full::new(text.into())));
    *reply.status_mut() = status;
    reply.headers_mut().insert(CONTENT_TYPE, HeaderValue::from_static("text/plain"));
    reply
}

fn refusal(come_back: Option<Micros>) -> Reply {
    let mut reply = plain(StatusCode::TOO_MANY_REQUESTS, "refused: trying again is harmless\n");
    let seconds = come_back.and_then(|us| HeaderValue::from_str(&(us as f64 / 1e6).to_string()).ok());
    seconds.map(|seconds| reply.headers_mut().insert(RETRY_AFTER, seconds));
    reply
}

fn stream(content_type: Option<HeaderValue>, pieces: Pieces) -> Reply {
    let mut reply = Response::new(Either::Right(pieces));
    let kind = content_type.unwrap_or(HeaderValue::from_static("text/event-stream"));
    reply.headers_mut().insert(CONTENT_TYPE, kind);
    reply
}

#[cfg(test)]
mod tests;

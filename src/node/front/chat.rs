//! The chat front: the public chat completions form, streamed or whole.

use std::convert::Infallible;
use std::future::Future;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};

use bytes::Bytes;
use http_body_util::{Either, Full};
use hyper::body::Incoming;
use hyper::header::{CONNECTION, CONTENT_TYPE, HeaderMap, HeaderName, HeaderValue, RETRY_AFTER};
use hyper::{Method, Request, Response, StatusCode};
use serde::{Deserialize, Serialize};
use serde_json::json;
#[cfg(feature = "cluster")]
use tokio::time::sleep;
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

use super::intake::Intake;
use super::intake::body::{BodyError, read_body};
use super::intake::connection::Arrival;
use super::spiffe::Peer;
use super::{Pieces, Reply, begin};
use crate::api::*;
#[cfg(feature = "cluster")]
use crate::control::controller::{GrantedClaim, Handle};
use crate::node::Core;
use crate::node::counters::add;
use crate::node::process::config::Chat;
use crate::node::process::shutdown::Shutdown;
use crate::node::request::Answer;
#[cfg(feature = "cluster")]
use crate::node::to_duration;
use crate::node::upstream::attempt::Payload;
#[cfg(feature = "cluster")]
use crate::replica::idempotency::{ClaimDecision, MAX_IDEMPOTENCY_KEY_BYTES, RequestName, Stage};

/// Tells clients whether to try again by themselves.
const SHOULD_RETRY: HeaderName = HeaderName::from_static("x-should-retry");
const REQUEST_ID: HeaderName = HeaderName::from_static("x-request-id");
#[cfg(feature = "cluster")]
const IDEMPOTENCY_KEY: HeaderName = HeaderName::from_static("idempotency-key");
const RETRY_COUNT: HeaderName = HeaderName::from_static("x-stainless-retry-count");
/// Characters that make a token, about.
const CHARS_A_TOKEN: f64 = 4.0;
/// When a client that found no room should come back.
const SHED_WAIT: Micros = 1_000_000;
/// Most tokens that a request may ask for.
const TOKENS_MOST: u32 = 1 << 20;

/// The fields that the decisions need.
#[derive(Deserialize)]
struct Completion {
    model: String,
    messages: Vec<Message>,
    stream: Option<bool>,
    max_tokens: Option<u32>,
    max_completion_tokens: Option<u32>,
    prompt_cache_key: Option<String>,
}

#[derive(Deserialize)]
struct Message {
    content: Option<Content>,
}

#[derive(Deserialize)]
#[serde(untagged)]
enum Content {
    Text(String),
    Parts(Vec<Part>),
}

#[derive(Deserialize)]
struct Part {
    text: Option<String>,
}

impl Message {
    /// Its length in characters, and its hash going on from `seed`.
    fn measure(&self, seed: u64) -> (usize, u64) {
        let texts: Vec<&str> = match &self.content {
            None => Vec::new(),
            Some(Content::Text(text)) => vec![text],
            Some(Content::Parts(parts)) => parts.iter().filter_map(|p| p.text.as_deref()).collect(),
        };
        let chars = texts.iter().map(|t| t.chars().count()).sum();
        (chars, texts.iter().fold(seed, |seed, text| xxh3_64_with_seed(text.as_bytes(), seed)))
    }
}

/// Why a request was turned down or not answered; each as the public error object.
#[derive(Debug, thiserror::Error)]
enum Fault {
    #[error("{0}")]
    Invalid(String),
    #[error("the model \"{0}\" does not exist")]
    Model(String),
    #[error("{0}")]
    Body(#[from] BodyError),
    #[error("no such path: {0}")]
    Path(String),
    #[error("this path takes {0}")]
    Method(&'static str),
    #[error("the identity {0} may not use this service")]
    Denied(Rc<str>),
    #[error("the fleet cannot take this request now; trying again is harmless")]
    Refused(Option<Micros>),
    #[error("the request failed and may have run; it must not be repeated automatically")]
    Failed,
    #[cfg(feature = "cluster")]
    #[error("a request of this idempotency key {}; it is not run again", if *.0 == Stage::Ran { "has run" } else { "may have run" })]
    Known(Stage),
}

impl Fault {
    /// Status, type and code.
    fn form(&self) -> (StatusCode, &'static str, Option<&'static str>) {
        let invalid = "invalid_request_error";
        match self {
            Fault::Invalid(_) => (StatusCode::BAD_REQUEST, invalid, None),
            Fault::Model(_) => (StatusCode::NOT_FOUND, invalid, Some("model_not_found")),
            Fault::Body(BodyError::TooLarge) => (StatusCode::PAYLOAD_TOO_LARGE, invalid, None),
            Fault::Body(_) => (StatusCode::BAD_REQUEST, invalid, None),
            Fault::Path(_) => (StatusCode::NOT_FOUND, invalid, Some("unknown_url")),
            Fault::Method(_) => (StatusCode::METHOD_NOT_ALLOWED, invalid, None),
            Fault::Denied(_) => (StatusCode::FORBIDDEN, "permission_error", Some("identity_not_allowed")),
            Fault::Refused(_) => {
                (StatusCode::TOO_MANY_REQUESTS, "rate_limit_error", Some("rate_limit_exceeded"))
            }
            Fault::Failed => (StatusCode::BAD_GATEWAY, "server_error", Some("may_have_run")),
            #[cfg(feature = "cluster")]
            Fault::Known(Stage::Ran) => (StatusCode::CONFLICT, invalid, Some("has_run")),
            #[cfg(feature = "cluster")]
            Fault::Known(Stage::MayHaveRun) => (StatusCode::CONFLICT, invalid, Some("may_have_run")),
        }
    }

    fn reply(&self) -> Reply {
        let (status, kind, code) = self.form();
        let error =
            json!({"error": {"message": self.to_string(), "type": kind, "param": null, "code": code}});
        let mut reply = object(status, &error);
        let headers = reply.headers_mut();
        match self {
            Fault::Refused(come_back) => {
                let seconds =
                    come_back.and_then(|us| HeaderValue::from_str(&(us as f64 / 1e6).to_string()).ok());
                seconds.map(|seconds| headers.insert(RETRY_AFTER, seconds));
            }
            // Public client libraries repeat most statuses by themselves unless told otherwise.
            _ => drop(headers.insert(SHOULD_RETRY, HeaderValue::from_static("false"))),
        }
        reply
    }
}

fn object(status: StatusCode, value: &impl Serialize) -> Reply {
    let text = serde_json::to_vec(value).unwrap_or_default();
    whole(status, Some(HeaderValue::from_static("application/json")), text.into())
}

fn whole(status: StatusCode, content_type: Option<HeaderValue>, text: Bytes) -> Reply {
    let mut reply = Response::new(Either::Left(Full::new(text)));
    *reply.status_mut() = status;
    content_type.map(|kind| reply.headers_mut().insert(CONTENT_TYPE, kind));
    reply
}

/// The chat front, as a service over HTTP.
#[derive(Clone)]
pub struct ChatFront {
    core: Core,
    chat: Rc<Chat>,
    intake: Rc<Intake>,
    shutdown: Shutdown,
    /// Of the ids made here.
    ids: Rc<Ids>,
    peer: Peer,
    #[cfg(feature = "cluster")]
    conductors: Option<Handle>,
}

struct Ids {
    seed: u64,
    next: std::cell::Cell<u64>,
}

impl ChatFront {
    /// A front before this core.
    pub fn new(core: Core, chat: Rc<Chat>, intake: Rc<Intake>, shutdown: Shutdown, seed: u64) -> Self {
        let ids = Rc::new(Ids { seed, next: std::cell::Cell::new(0) });
        ChatFront {
            core,
            chat,
            intake,
            shutdown,
            ids,
            peer: Peer::Unproven,
            #[cfg(feature = "cluster")]
            conductors: None,
        }
    }

    /// The same, for a conductor that knows others: a named request that must not run twice is run by one of them at most.
    #[cfg(feature = "cluster")]
    pub fn among(self, conductors: Option<Handle>) -> Self {
        ChatFront { conductors, ..self }
    }

    /// Claims the name of a request that must not run twice, where its client gave one.
    #[cfg(feature = "cluster")]
    async fn claim(
        &self, ask: &NewRequest, given: Option<&HeaderValue>,
    ) -> Result<Option<GrantedClaim>, Fault> {
        let repeats = self.chat.settings.classes[ask.class.0].effect != Effect::Unsafe;
        let (Some(handle), Some(given)) = (&self.conductors, given.filter(|_| !repeats)) else {
            return Ok(None);
        };
        let fits = |text: &&str| (1..=MAX_IDEMPOTENCY_KEY_BYTES).contains(&text.len());
        let text = given.to_str().ok().filter(fits);
        let text = text.ok_or_else(|| {
            Fault::Invalid(format!("{IDEMPOTENCY_KEY}: 1 to {MAX_IDEMPOTENCY_KEY_BYTES} visible characters"))
        })?;
        let scope = if let Peer::Allowed(id) = &self.peer { id } else { "" };
        let name = RequestName::new(scope, text);
        // A disk that flushes nothing for a while holds claims up.
        let claimed = tokio::select! {
            biased;
            claimed = handle.claim(name) => claimed,
            () = sleep(to_duration(ask.time_left)) => Err(ClaimDecision::Refuse),
            () = self.shutdown.due(|schedule| schedule.answers_until) => Err(ClaimDecision::Refuse),
        };
        match claimed {
            Ok(claim) => Ok(Some(claim)),
            Err(ClaimDecision::Duplicate(stage)) => {
                add(&self.core.counters.known_named);
                Err(Fault::Known(stage))
            }
            // Too few conductors are up to know it: nothing was sent.
            Err(_) => Err(self.shed()),
        }
    }

    /// The same front for one client.
    pub fn for_peer(&self, peer: Peer) -> Self {
        ChatFront { peer, ..self.clone() }
    }

    async fn handle(self, request: Request<Incoming>) -> Reply {
        let mut reply = self.route(request).await.unwrap_or_else(|fault| {
            let (status, ..) = fault.form();
            if !matches!(fault, Fault::Refused(_) | Fault::Failed) {
                add(&self.core.counters.malformed);
                tracing::debug!("chat: turned down with {status}: {fault}");
            }
            fault.reply()
        });
        if self.shutdown.readiness().lets_go() || self.intake.crowded() {
            reply.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
        }
        reply
    }

    async fn route(&self, request: Request<Incoming>) -> Result<Reply, Fault> {
        if let Peer::Denied(id) = &self.peer {
            return Err(Fault::Denied(id.clone()));
        }
        match (request.method(), request.uri().path()) {
            (&Method::POST, "/v1/chat/completions") => self.complete(request).await,
            (_, "/v1/chat/completions") => Err(Fault::Method("POST")),
            (&Method::GET, "/v1/models") => {
                let model = |id| json!({"id": id, "object": "model", "created": 0, "owned_by": "croftsill"});
                let models: Vec<_> = self.chat.models.keys().map(model).collect();
                Ok(object(StatusCode::OK, &json!({"object": "list", "data": models})))
            }
            (&Method::GET, "/-/ready") => Ok(whole(StatusCode::OK, None, "ready\n".into())),
            (&Method::GET, "/-/counters") => Ok(object(StatusCode::OK, &self.core.counters.values_by_name())),
            (_, "/v1/models" | "/-/ready" | "/-/counters") => Err(Fault::Method("GET")),
            (_, path) => Err(Fault::Path(path.to_owned())),
        }
    }

    async fn complete(&self, mut request: Request<Incoming>) -> Result<Reply, Fault> {
        let arrived = tokio::time::Instant::now();
        if request.extensions().get::<Arrival>().is_some_and(|arrival| arrival.conflicting) {
            return Err(Fault::Invalid("Content-Length and Transfer-Encoding exclude each other".into()));
        }
        let (body, permit) = match read_body(&mut request, true, &self.intake, &self.shutdown).await {
            Err(BodyError::NoRoom | BodyError::ProcessEnds) => return Err(self.shed()),
            read => read?,
        };
        let completion = serde_json::from_slice(&body);
        let completion: Completion = completion.map_err(|e| Fault::Invalid(e.to_string()))?;
        let mut ask = self.ask(&completion)?;
        let retries = request.headers().get(RETRY_COUNT).and_then(|v| v.to_str().ok()?.parse::<u32>().ok());
        ask.is_client_retry = retries.is_some_and(|n| n > 0);
        if !self.intake.admits(&request) {
            return Err(self.shed());
        }
        let room = self.intake.room_for_answer().ok_or_else(|| self.shed())?;
        #[cfg(feature = "cluster")]
        let mut claimed = self.claim(&ask, request.headers().get(IDEMPOTENCY_KEY)).await?;
        ask.time_left -= arrived.elapsed().as_micros() as Micros;
        let id = self.new_id();
        let shown = HeaderValue::from_str(&id).ok();
        let target = request.uri().path_and_query().cloned();
        let target = target.ok_or_else(|| Fault::Path(String::new()))?;
        let headers = HeaderMap::from_iter([(CONTENT_TYPE, HeaderValue::from_static("application/json"))]);
        #[cfg(feature = "cluster")]
        claimed.iter_mut().for_each(GrantedClaim::used);
        let (streamed, payload) = (!ask.is_unary, Payload { id: id.clone(), target, headers, body });
        let connection = self.intake.connection_of_request(&request);
        let kept = room.clone();
        let on_end = move |_| drop(kept);
        let answer =
            begin(&self.core, &self.shutdown, ask, (payload, permit), connection, on_end).await.answer;
        #[cfg(feature = "cluster")]
        if let Some(claim) = claimed {
            match &answer {
                Answer::Refused { .. } => claim.withdrawn(),
                Answer::Events { .. } => claim.completed(),
                // A claim that stays says that it may have run.
                Answer::Failed => {}
            }
        }
        let mut reply = match answer {
            Answer::Events { form, stream: events } if streamed && form.is_event_stream() => {
                let mut reply = Response::new(Either::Right(Pieces::new(events, id, room)));
                form.content_type.map(|kind| reply.headers_mut().insert(CONTENT_TYPE, kind));
                reply
            }
            // Nothing of a whole answer is shown before it is known to be whole.
            Answer::Events { form, stream: events } => match Pieces::new(events, id, room).whole().await {
                Ok(text) => whole(form.status, form.content_type, text),
                Err(_) => Fault::Failed.reply(),
            },
            Answer::Refused { retry_after } => Fault::Refused(retry_after).reply(),
            Answer::Failed => Fault::Failed.reply(),
        };
        shown.map(|id| reply.headers_mut().insert(REQUEST_ID, id));
        Ok(reply)
    }

    /// Never taken in, so trying again is harmless.
    fn shed(&self) -> Fault {
        add(&self.core.counters.shed);
        Fault::Refused(Some(SHED_WAIT))
    }

    fn new_id(&self) -> Rc<str> {
        let number = self.ids.next.get();
        self.ids.next.set(number + 1);
        format!("{:016x}", xxh3_64_with_seed(&number.to_le_bytes(), self.ids.seed)).into()
    }

    /// Takes out of a body what the decisions need.
    fn ask(&self, completion: &Completion) -> Result<NewRequest, Fault> {
        let class = self.chat.models.get(&completion.model).copied();
        let class = class.ok_or_else(|| Fault::Model(completion.model.clone()))?;
        let Some(first) = completion.messages.first() else {
            return Err(Fault::Invalid("messages: must not be empty".into()));
        };
        let asked = completion.max_completion_tokens.or(completion.max_tokens);
        let most = asked.unwrap_or(self.chat.default_max_tokens);
        if !(1..=TOKENS_MOST).contains(&most) {
            return Err(Fault::Invalid(format!("max_tokens: must lie between 1 and {TOKENS_MOST}")));
        }
        let tokens = |chars: usize| (chars as f64 / CHARS_A_TOKEN).max(1.0);
        let (opening, prefix) = first.measure(0);
        let talk = completion.messages.iter().take(2).fold(0, |seed, m| m.measure(seed).1);
        let session = completion.prompt_cache_key.as_ref().map_or(talk, |key| xxh3_64(key.as_bytes()));
        let figures = &self.chat.settings.classes[class.0];
        // A whole answer comes after its last token, not its first: the time to write it is added, at up to
        // twice the wanted pace.
        let whole = completion.stream != Some(true);
        let writing = if whole { Micros::from(most).saturating_mul(figures.token_aim * 2) } else { 0 };
        Ok(NewRequest {
            class,
            session: Some(TextKey(session)),
            prefix: (completion.messages.len() > 1).then_some(TextKey(prefix)),
            prefix_tokens: if completion.messages.len() > 1 { tokens(opening) } else { 0.0 },
            prompt_tokens: tokens(completion.messages.iter().map(|m| m.measure(0).0).sum()),
            max_output_tokens: f64::from(most),
            time_left: figures.deadline.saturating_add(writing),
            is_unary: whole,
            ..NewRequest::default()
        })
    }
}

impl tower::Service<Request<Incoming>> for ChatFront {
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

#[cfg(all(test, feature = "cluster"))]
mod tests;

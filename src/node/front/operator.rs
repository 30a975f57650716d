//! The operator's front: maintenance of instances, drains, and whether this process serves. One call a connection.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::convert::Infallible;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
#[cfg(feature = "cluster")]
use http_body_util::{BodyExt, Limited};
use hyper::body::Incoming;
use hyper::header::{ALLOW, CONNECTION, CONTENT_TYPE, HeaderValue};
use hyper::server::conn::http1;
use hyper::{Method, Request, Response, StatusCode};
use hyper_util::rt::{TokioIo, TokioTimer};
use serde_json::json;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Notify;
use tokio::task::spawn_local;
use tokio::time::{sleep, timeout};

#[cfg(feature = "cluster")]
use crate::control::controller::{self, Call};
#[cfg(feature = "cluster")]
use crate::control::policy::DOCUMENT_MOST;
#[cfg(feature = "cluster")]
use crate::control::state::ChangeId;
use crate::node::counters::add;
use crate::node::list::fleet::Fleet;
use crate::node::list::membership::UnknownId;
use crate::node::process::handover::Message;
use crate::node::process::readiness::Happening;
use crate::node::process::shutdown::Shutdown;
use crate::node::process::succession::Partners;
#[cfg(feature = "cluster")]
use crate::replica::marks::Subject;

/// Callers served at once. Their descriptors are kept free in the configuration's budgets.
pub const SLOTS: usize = 12;
/// For a caller to bring a whole head.
const HEAD_TIME: Duration = Duration::from_millis(1_500);
/// Longest head read.
const HEAD_MOST: usize = 8 * 1024;
/// How long, and how much of, what nobody asked for is read behind an answer: closed over unread bytes the connection
/// would be reset and the answer lost.
const LINGER: (Duration, usize) = (Duration::from_millis(500), 64 * 1024);
/// For the document of a proposal to arrive, and for the ledger to answer a call.
#[cfg(feature = "cluster")]
const BODY_TIME: Duration = Duration::from_millis(500);
#[cfg(feature = "cluster")]
const ANSWER_TIME: Duration = Duration::from_millis(950);
/// Longest export of shared state taken in.
#[cfg(feature = "cluster")]
const EXPORT_MOST: usize = 4 * 1024 * 1024;
/// Longest id of an instance.
const ID_MOST: usize = 128;

/// Why a call is answered with no.
#[derive(Debug, thiserror::Error)]
enum No {
    #[error("no such path")]
    Path,
    #[error("this path takes {0}")]
    Method(&'static str),
    #[error("an instance's id has 1 to {ID_MOST} letters, digits and -_.~")]
    Id,
    #[error("{0}")]
    Unknown(#[from] UnknownId),
    #[cfg(feature = "cluster")]
    #[error("base: must be a revision's number")]
    Base,
    #[cfg(feature = "cluster")]
    #[error("the document must come within half a second, as UTF-8 text of at most {DOCUMENT_MOST} bytes")]
    Body,
    #[cfg(feature = "cluster")]
    #[error("an export must come within half a second, as JSON of at most {EXPORT_MOST} bytes")]
    Export,
    #[cfg(feature = "cluster")]
    #[error("a change's number has 16 hexadecimal digits, a revision's is decimal")]
    Number,
    #[cfg(feature = "cluster")]
    #[error("the ledger gives no answer")]
    Ledger,
    #[error("cannot serve: {0}")]
    NotServing(&'static str),
}

impl No {
    fn status(&self) -> StatusCode {
        match self {
            No::Path | No::Unknown(_) => StatusCode::NOT_FOUND,
            No::Method(_) => StatusCode::METHOD_NOT_ALLOWED,
            No::Id => StatusCode::BAD_REQUEST,
            #[cfg(feature = "cluster")]
            No::Base | No::Body | No::Export | No::Number => StatusCode::BAD_REQUEST,
            #[cfg(feature = "cluster")]
            No::Ledger => StatusCode::SERVICE_UNAVAILABLE,
            No::NotServing(_) => StatusCode::SERVICE_UNAVAILABLE,
        }
    }
}

type Reply = Response<Full<Bytes>>;

/// What operators may do, and to what.
#[derive(Clone)]
pub struct Operator {
    fleet: Rc<Fleet>,
    shutdown: Shutdown,
    partners: Partners,
    #[cfg(feature = "cluster")]
    conductors: Option<controller::Handle>,
}

impl Operator {
    /// A front for this fleet and process, and for the other process in an upgrade.
    pub fn new(fleet: Rc<Fleet>, shutdown: Shutdown, partners: Partners) -> Self {
        Operator {
            fleet,
            shutdown,
            partners,
            #[cfg(feature = "cluster")]
            conductors: None,
        }
    }

    /// The same, for a conductor that knows others.
    #[cfg(feature = "cluster")]
    pub fn among(self, conductors: Option<controller::Handle>) -> Self {
        Operator { conductors, ..self }
    }

    /// Calls about all conductors; none where it is not one, or conductors do not know one another.
    #[cfg(feature = "cluster")]
    async fn shared(&self, request: Request<Incoming>) -> Result<Reply, No> {
        let handle = self.conductors.as_ref().ok_or(No::Path)?;
        let path = request.uri().path().to_owned();
        let must =
            |wanted: Method, named| (*request.method() == wanted).then_some(()).ok_or(No::Method(named));
        let call = match path.split('/').skip(1).collect::<Vec<_>>()[..] {
            ["policy"] if request.method() == Method::POST => {
                let base = request.uri().query().and_then(|query| query.strip_prefix("base="));
                let base = base.map(|base| base.parse().map_err(|_| No::Base)).transpose()?;
                let body = Limited::new(request.into_body(), DOCUMENT_MOST).collect();
                let body = timeout(BODY_TIME, body).await.map_err(|_| No::Body)?.map_err(|_| No::Body)?;
                let document = String::from_utf8(body.to_bytes().into()).map_err(|_| No::Body)?;
                Call::proposal(document, base)
            }
            ["policy"] => must(Method::GET, "GET or POST").map(|()| Call::Status)?,
            ["peers"] => must(Method::GET, "GET").map(|()| Call::Status)?,
            ["policy", "changes", id] => {
                must(Method::GET, "GET")?;
                Call::Outcome(u64::from_str_radix(id, 16).map(ChangeId).map_err(|_| No::Number)?)
            }
            ["policy", "revisions", revision] => {
                must(Method::GET, "GET")?;
                Call::Document(revision.parse().map_err(|_| No::Number)?)
            }
            ["peers", name, "remove"] => {
                must(Method::POST, "POST")?;
                Call::Remove(name.into())
            }
            ["state"] => must(Method::GET, "GET").map(|()| Call::State)?,
            ["state", "export"] => must(Method::GET, "GET").map(|()| Call::Export)?,
            ["state", "import"] => {
                must(Method::POST, "POST")?;
                let body = Limited::new(request.into_body(), EXPORT_MOST).collect();
                let body = timeout(BODY_TIME, body).await.map_err(|_| No::Export)?.map_err(|_| No::Export)?;
                Call::Import(serde_json::from_slice(&body.to_bytes()).map_err(|_| No::Export)?)
            }
            _ => return Err(No::Path),
        };
        let told = handle.ask(call, ANSWER_TIME).await.ok_or(No::Ledger)?;
        let mut reply = Response::new(Full::new(format!("{:#}\n", told.body).into()));
        *reply.status_mut() = StatusCode::from_u16(told.status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
        reply.headers_mut().insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
        reply.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
        Ok(reply)
    }

    /// Tells the other conductors what an operator decided, and says how far that has come; nothing where there are none.
    #[cfg(feature = "cluster")]
    async fn decree(&self, subject: Subject, out: bool) -> Result<&'static str, No> {
        let Some(handle) = &self.conductors else { return Ok("") };
        let call = if out { Call::Mark(subject) } else { Call::Lift(subject) };
        let told = handle.ask(call, ANSWER_TIME).await.ok_or(No::Ledger)?;
        match (told.status, told.body["agreed"] == true) {
            (200, true) => Ok(", agreed by all conductors"),
            (200, false) => Ok(", here and where this conductor is heard; not agreed by all yet"),
            _ => Err(No::Ledger),
        }
    }

    #[cfg(not(feature = "cluster"))]
    async fn shared(&self, _: Request<Incoming>) -> Result<Reply, No> {
        Err(No::Path)
    }

    async fn handle(&self, method: &Method, path: &str) -> Result<String, No> {
        let must = |wanted: Method, named| (*method == wanted).then_some(()).ok_or(No::Method(named));
        let readiness = self.shutdown.readiness();
        match path.split('/').skip(1).collect::<Vec<_>>()[..] {
            ["healthcheck"] => {
                must(Method::GET, "GET")?;
                let stage = readiness.stage().name();
                readiness.healthy().then(|| format!("{stage}\n")).ok_or(No::NotServing(stage))
            }
            ["healthcheck", told @ ("fail" | "ok")] => {
                must(Method::POST, "POST")?;
                self.partners.tell(&Message::Drain(told == "fail"));
                if told == "fail" {
                    add(&self.fleet.core().counters.drains);
                    self.shutdown.note(Happening::Drain);
                } else {
                    self.shutdown.note(Happening::Undrain);
                }
                #[cfg(feature = "cluster")]
                if let Some(handle) = &self.conductors {
                    // It stays drained over a restart, and the others know of it. What it does itself waits for nobody.
                    let _ = self.decree(Subject::Conductor(handle.name.clone()), told == "fail").await;
                }
                Ok(format!("{}\n", self.shutdown.readiness().stage().name()))
            }
            ["instances", id, told @ ("maint" | "ready")] => {
                must(Method::POST, "POST")?;
                let fits = |c: char| c.is_ascii_alphanumeric() || "-_.~".contains(c);
                if id.is_empty() || id.len() > ID_MOST || !id.chars().all(fits) {
                    return Err(No::Id);
                }
                if told == "maint" {
                    self.fleet.ban(id).await?;
                    self.partners.tell(&Message::Ban(id.into()));
                } else {
                    self.fleet.lift_ban(id).await?;
                    self.partners.tell(&Message::Lift(id.into()));
                }
                #[cfg(feature = "cluster")]
                let agreed = self.decree(Subject::Instance(id.into()), told == "maint").await?;
                #[cfg(not(feature = "cluster"))]
                let agreed = "";
                Ok(format!(
                    "{id} is {}{agreed}\n",
                    if told == "maint" { "out for maintenance" } else { "back" }
                ))
            }
            ["status"] => {
                must(Method::GET, "GET")?;
                let membership = self.fleet.membership();
                let instances = membership.targets().into_iter();
                let instances: BTreeMap<_, _> = instances.map(|t| (t.id, format!("{:?}", t.state))).collect();
                let status = json!({
                    "stage": readiness.stage().name(),
                    "drained": readiness.drained(),
                    "maintenance": membership.bans(),
                    "instances": instances,
                });
                Ok(format!("{status:#}\n"))
            }
            _ => Err(No::Path),
        }
    }

    async fn answer(&self, request: Request<Incoming>) -> Reply {
        let counters = &self.fleet.core().counters;
        let handled = match self.handle(request.method(), request.uri().path()).await {
            Err(No::Path) => match self.shared(request).await {
                Ok(reply) => {
                    let yes = reply.status().is_success();
                    add(if yes { &counters.calls } else { &counters.calls_refused });
                    return reply;
                }
                Err(no) => Err(no),
            },
            handled => handled,
        };
        let (status, text, allow) = match handled {
            Ok(text) => (StatusCode::OK, text, None),
            Err(no) => {
                let allow = if let No::Method(named) = no { Some(named) } else { None };
                (no.status(), format!("{no}\n"), allow)
            }
        };
        add(if status == StatusCode::OK { &counters.calls } else { &counters.calls_refused });
        let mut reply = Response::new(Full::new(text.into()));
        *reply.status_mut() = status;
        let headers = reply.headers_mut();
        headers.insert(CONTENT_TYPE, HeaderValue::from_static("text/plain"));
        headers.insert(CONNECTION, HeaderValue::from_static("close"));
        allow.map(|named| headers.insert(ALLOW, HeaderValue::from_static(named)));
        reply
    }
}

/// A caller that holds a slot.
#[derive(Default)]
struct Caller {
    /// Its call has come whole.
    called: Cell<bool>,
    makes_room: Notify,
}

/// The slots. Callers that have brought no whole call make room for others, the one that waited longest first.
#[derive(Default)]
struct Slots {
    callers: RefCell<BTreeMap<u64, Rc<Caller>>>,
    next: Cell<u64>,
    left: Notify,
}

impl Slots {
    fn enter(&self) -> (u64, Rc<Caller>) {
        let (number, caller) = (self.next.get(), Rc::new(Caller::default()));
        self.next.set(number + 1);
        self.callers.borrow_mut().insert(number, caller.clone());
        (number, caller)
    }

    fn leave(&self, number: u64) {
        self.callers.borrow_mut().remove(&number);
        self.left.notify_one();
    }

    /// Waits until there is a slot.
    async fn vacancy(&self) {
        while self.callers.borrow().len() >= SLOTS {
            let waiting = self.callers.borrow().values().find(|c| !c.called.get()).cloned();
            if let Some(caller) = waiting {
                caller.makes_room.notify_one();
            }
            self.left.notified().await;
        }
    }
}

/// Serves operators until the process has ended.
pub async fn serve(listener: TcpListener, operator: Operator) {
    let slots = Rc::new(Slots::default());
    loop {
        let socket = match listener.accept().await {
            Ok((socket, _)) => socket,
            Err(fault) => {
                tracing::warn!("operator: cannot accept a call: {fault}");
                sleep(Duration::from_millis(20)).await;
                continue;
            }
        };
        slots.vacancy().await;
        let (number, caller) = slots.enter();
        let (slots, operator) = (slots.clone(), operator.clone());
        // A call that has come is answered before the process ends.
        let pending = operator.shutdown.pending();
        spawn_local(async move {
            tokio::select! {
                biased;
                () = call(socket, &operator, &caller) => {}
                () = caller.makes_room.notified() => {}
            }
            if !caller.called.get() {
                add(&operator.fleet.core().counters.calls_unfinished);
            }
            slots.leave(number);
            drop(pending);
        });
    }
}

async fn call(socket: TcpStream, operator: &Operator, caller: &Caller) {
    let _ = socket.set_nodelay(true);
    let service = hyper::service::service_fn(|request| async move {
        caller.called.set(true);
        Ok::<_, Infallible>(operator.answer(request).await)
    });
    let served = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(HEAD_TIME)
        .max_buf_size(HEAD_MOST)
        .keep_alive(false)
        .serve_connection(TokioIo::new(socket), service)
        .without_shutdown();
    // A call that ended in a fault of its own has its answer already, or is owed none.
    let Ok(parts) = served.await else { return };
    let mut socket = parts.io.into_inner();
    let _ = socket.shutdown().await;
    let past = async {
        let (mut scratch, mut seen) = ([0; 1024], 0);
        while let Ok(n @ 1..) = socket.read(&mut scratch).await {
            seen += n;
            if seen > LINGER.1 {
                break;
            }
        }
    };
    let _ = timeout(LINGER.0, past).await;
}

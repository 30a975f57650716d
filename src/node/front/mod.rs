//! Fronts: each reads requests in its own protocol and puts answers into its own words.

pub mod chat;
pub mod platform;
pub mod spiffe;

use std::cell::Cell;
use std::convert::Infallible;
use std::pin::Pin;
use std::rc::Rc;
use std::sync::Arc;
use std::task::{Context, Poll};
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use http_body_util::{BodyExt, Either, Full};
use hyper::body::{Body, Frame, Incoming};
use hyper::server::conn::http1;
use hyper::{Request, Response};
use hyper_util::rt::{TokioIo, TokioTimer};
use hyper_util::service::TowerToHyperService;
use tokio::io::{AsyncRead, AsyncWrite};
use tokio::net::TcpListener;
use tokio::sync::{OwnedSemaphorePermit, Semaphore, mpsc, oneshot, watch};
use tokio::task::spawn_local;
use tokio::time::timeout;
use tower::{Service, ServiceExt};

use super::Core;
use super::attempt::Payload;
use super::relay::{Piece, StreamBroken};
use super::request::{Answer, Caller, live};
use super::shutdown::{Pending, STILL_ARRIVING, Shutdown};
use crate::api::NewRequest;
use spiffe::{Identities, Peer};

/// Largest body of a request.
pub const BODY_MOST: usize = 256 * 1024;
/// How much of a body that is too large is read to keep the connection usable.
const DISCARD_MOST: usize = 2 * 1024 * 1024;
/// For a client to send a body it has begun.
const BODY_TIME: Duration = Duration::from_secs(10);
/// For a client to send a head, or to stay idle between requests.
const HEAD_TIME: Duration = Duration::from_secs(90);
/// Buffer of a client's connection.
const BUFFER: usize = 32 * 1024;
/// Connections past the limit that are still taken, to be told so and closed.
const SPARE: usize = 16;

/// A front's answer: whole, or a stream.
pub type Reply = Response<Either<Full<Bytes>, Pieces>>;

/// A stream's body: pieces as they come, cut off where the stream broke.
pub struct Pieces(mpsc::Receiver<Piece>);

impl Pieces {
    /// The body for a stream.
    pub fn new(pieces: mpsc::Receiver<Piece>) -> Self {
        Pieces(pieces)
    }

    /// The whole of it in one piece.
    pub async fn whole(mut self) -> Result<Bytes, StreamBroken> {
        let mut text = BytesMut::new();
        while let Some(piece) = self.0.recv().await {
            text.extend_from_slice(&piece?);
        }
        Ok(text.freeze())
    }
}

impl Body for Pieces {
    type Data = Bytes;
    type Error = StreamBroken;

    fn poll_frame(
        mut self: Pin<&mut Self>, cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, StreamBroken>>> {
        self.0.poll_recv(cx).map(|piece| piece.map(|p| p.map(Frame::data)))
    }
}

/// Room for what clients bring.
pub struct Intake {
    slots: Arc<Semaphore>,
    bytes: Cell<usize>,
    most_bytes: usize,
}

/// Bytes of a body that are held, given back when dropped.
pub struct BodyRoom(Rc<Intake>, usize);

impl Drop for BodyRoom {
    fn drop(&mut self) {
        self.0.bytes.set(self.0.bytes.get() - self.1);
    }
}

impl Intake {
    /// Room for so many connections and so many bytes of bodies.
    pub fn new(most_connections: usize, most_bytes: usize) -> Rc<Self> {
        let slots = Arc::new(Semaphore::new(most_connections + SPARE));
        Rc::new(Intake { slots, bytes: Cell::new(0), most_bytes })
    }

    /// Whether more clients are connected than are served.
    pub fn crowded(&self) -> bool {
        self.slots.available_permits() < SPARE
    }

    /// Room for a body, if there is any.
    pub fn room(self: &Rc<Self>, bytes: usize) -> Option<BodyRoom> {
        let total = self.bytes.get() + bytes;
        (total <= self.most_bytes).then(|| {
            self.bytes.set(total);
            BodyRoom(self.clone(), bytes)
        })
    }
}

/// Why a request's body was not taken.
#[derive(Debug, thiserror::Error)]
pub enum BodyError {
    /// It is too large.
    #[error("the body is over {BODY_MOST} bytes")]
    TooLarge,
    /// There is no room for it; it was never taken in, so trying again is harmless.
    #[error("no room for the body")]
    NoRoom,
    /// It took too long.
    #[error("the body took over {} s to arrive", BODY_TIME.as_secs())]
    Slow,
    /// The connection broke within it.
    #[error("the body broke off: {0}")]
    Broken(#[from] hyper::Error),
}

/// Reads a body whole, with room for it set aside first. What is too large, or has no room, is read past, so that
/// the connection can go on.
pub async fn read_body(body: &mut Incoming, intake: &Rc<Intake>) -> Result<(Bytes, BodyRoom), BodyError> {
    let hint = body.size_hint();
    let most = hint.exact().map_or(BODY_MOST, |n| usize::try_from(n).unwrap_or(usize::MAX).min(BODY_MOST));
    let room = intake.room(most);
    let read = async {
        let mut text =
            BytesMut::with_capacity(if room.is_some() { hint.lower().min(most as u64) as usize } else { 0 });
        let mut seen = 0;
        while let Some(frame) = body.frame().await {
            let Ok(data) = frame?.into_data() else { continue };
            seen += data.len();
            if seen > DISCARD_MOST {
                return Err(BodyError::TooLarge);
            }
            if seen <= BODY_MOST && room.is_some() {
                text.extend_from_slice(&data);
            }
        }
        if seen > BODY_MOST { Err(BodyError::TooLarge) } else { Ok(text.freeze()) }
    };
    let text = timeout(BODY_TIME, read).await.unwrap_or(Err(BodyError::Slow))?;
    Ok((text, room.ok_or(BodyError::NoRoom)?))
}

/// Starts a request's life, with what it keeps until its end. It has a task of its own: a front's future is dropped
/// when the client leaves, and the request still has to be withdrawn and let go of.
pub fn begin(
    core: &Core, ask: NewRequest, payload: Payload, keep: (BodyRoom, Pending),
) -> oneshot::Receiver<Answer> {
    let (caller, answer) = Caller::new();
    let core = core.clone();
    spawn_local(async move {
        live(core, ask, payload, caller).await;
        drop(keep);
    });
    answer
}

/// Serves connections until the process has ended. With `tls` each client must prove its identity first.
pub async fn serve<S>(
    listener: TcpListener, tls: Option<Identities>, intake: Rc<Intake>, shutdown: Shutdown,
    service: impl Fn(Peer) -> S + Clone + 'static,
) where
    S: Service<Request<Incoming>, Response = Reply, Error = Infallible> + Clone + 'static,
{
    loop {
        // Past the limit clients wait in the system's queue.
        let Ok(slot) = intake.slots.clone().acquire_owned().await else { return };
        let socket = match listener.accept().await {
            Ok((socket, _)) => socket,
            Err(fault) => {
                tracing::warn!("intake: cannot accept a connection: {fault}");
                tokio::time::sleep(Duration::from_millis(20)).await;
                continue;
            }
        };
        let _ = socket.set_nodelay(true);
        let place = Place { _slot: slot, _pending: shutdown.pending() };
        match &tls {
            None => drop(spawn_local(connection(socket, service(Peer::Unproven), shutdown.clone(), place))),
            Some(identities) => {
                let (identities, service, shutdown) = (identities.clone(), service.clone(), shutdown.clone());
                spawn_local(async move {
                    match identities.prove(socket).await {
                        Ok((stream, peer)) => connection(stream, service(peer), shutdown, place).await,
                        Err(fault) => tracing::warn!("intake: a client did not prove its identity: {fault}"),
                    }
                });
            }
        }
    }
}

/// A connection's place in the intake, given back when dropped.
struct Place {
    _slot: OwnedSemaphorePermit,
    _pending: Pending,
}

async fn connection<I, S>(io: I, service: S, shutdown: Shutdown, place: Place)
where
    I: AsyncRead + AsyncWrite + Unpin + 'static,
    S: Service<Request<Incoming>, Response = Reply, Error = Infallible> + Clone + 'static,
{
    let (used, mut first) = watch::channel(false);
    let service = service.map_request(move |request| {
        used.send_replace(true);
        request
    });
    let served = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(HEAD_TIME)
        .max_buf_size(BUFFER)
        .serve_connection(TokioIo::new(io), TowerToHyperService::new(service));
    tokio::pin!(served);
    // A client that breaks off, or a stream that broke, is told by the request's own task.
    let ended = tokio::select! {
        ended = &mut served => ended,
        () = async {
            shutdown.begun().await;
            // Guards the requests that still arrive: the library closes a connection that has brought nothing
            // yet at once, and the client's request with it.
            let _ = timeout(STILL_ARRIVING, first.wait_for(|used| *used)).await;
        } => {
            served.as_mut().graceful_shutdown();
            served.await
        }
    };
    if let Err(fault) = ended {
        tracing::debug!("intake: connection ended: {fault}");
    }
    drop(place);
}

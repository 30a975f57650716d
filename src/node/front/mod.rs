//! Fronts: each reads requests in its own protocol and puts answers into its own words.

pub mod accept;
pub mod chat;
pub mod intake;
pub mod operator;
pub mod platform;
pub mod spiffe;

use std::convert::Infallible;
use std::pin::{Pin, pin};
use std::rc::Rc;
use std::task::{Context, Poll, ready};
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use http_body_util::{Either, Full};
use hyper::body::{Body, Frame, Incoming};
use hyper::header::{CONNECTION, HeaderValue};
use hyper::server::conn::http1;
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::{TokioIo, TokioTimer};
use hyper_util::service::TowerToHyperService;
use tokio::net::TcpListener;
use tokio::sync::watch;
use tokio::task::spawn_local;
use tokio::time::timeout;
use tower::{Service, ServiceExt};

use super::Core;
use super::answer_stream::StreamReceiver;
use super::counters::add;
use super::request::{Answer, FinalAnswer, RequestEnd, Responder, handle_request};
use crate::api::NewRequest;
use crate::node::process::readiness::Readiness;
use crate::node::process::schedule::FIRST_REQUEST_TIME;
use crate::node::process::shutdown::{Pending, Shutdown};
use crate::node::uninterrupted::RetryInterrupted;
use crate::node::upstream::attempt::Payload;
use crate::node::upstream::events::StreamError;
use accept::Acceptor;
use intake::budget::Reservation;
use intake::connection::{ConnectionState, Framed, MAX_HEAD_BYTES};
use intake::socket::ClientSocket;
use intake::stream::Stream;
use intake::{AnswerRoom, Intake, Place};
use spiffe::{Identities, Peer};

/// For a client to send a head, or to stay idle between requests. After 2 s a connection without an open request may
/// be closed, and one that says nothing is owed a close within 3 s.
const HEAD_TIME: Duration = Duration::from_millis(2_100);

/// Most that the HTTP library holds of a request's head and what came with its end.
const LIBRARY_BUFFER_BYTES: usize = MAX_HEAD_BYTES + 8 * 1024;
/// Largest answer that is kept back until it is whole.
const WHOLE_MOST: usize = 4 * 1024 * 1024;

/// A front's answer: whole, or a stream.
pub type Reply = Response<Either<Full<Bytes>, Pieces>>;

/// A stream's body: pieces as they come, cut off where the stream broke.
pub struct Pieces {
    stream: StreamReceiver,
    request: Rc<str>,
    state: Option<Rc<ConnectionState>>,
    room: AnswerRoom,
}

impl Pieces {
    /// The body for the stream of the request with this id, and the memory that is reserved for it.
    pub fn new(stream: StreamReceiver, request: Rc<str>, room: AnswerRoom) -> Self {
        Pieces { stream, request, state: None, room }
    }

    /// The whole of it in one piece; one that goes on and on is spoilt.
    pub async fn whole(mut self) -> Result<Bytes, StreamError> {
        let mut text = BytesMut::new();
        while let Some(piece) = self.stream.next().await {
            text.extend_from_slice(&piece?);
            if text.len() > WHOLE_MOST || !self.room.borrow_mut().grow_to(text.capacity()) {
                return Err(StreamError::Malformed);
            }
        }
        Ok(text.freeze())
    }
}

impl Drop for Pieces {
    fn drop(&mut self) {
        self.state.iter().for_each(|state| state.complete());
    }
}

impl Body for Pieces {
    type Data = Bytes;
    type Error = StreamError;

    fn poll_frame(
        mut self: Pin<&mut Self>, cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, StreamError>>> {
        if let Some(state) = &self.state {
            ready!(state.poll_answer_room(cx));
        }
        let piece = ready!(self.stream.poll_next(cx));
        match &piece {
            Some(Ok(piece)) => self.state.iter().for_each(|state| state.answer_given(piece.len())),
            Some(Err(error)) => tracing::debug!(request = %self.request, %error, "answer: cut off"),
            None => tracing::debug!(request = %self.request, "answer: ended with its last chunk"),
        }
        Poll::Ready(piece.map(|piece| piece.map(Frame::data)))
    }
}

/// Starts the life of a request that came on this connection, with the room of its body, and waits for its answer; `on_end` is told
/// how the request ended. It has a task
/// of its own: a front's future is dropped when the client leaves, and the request still has to be withdrawn and let go of. In a
/// shutdown a request that comes too late is refused and nothing is sent for it.
pub async fn begin(
    core: &Core, shutdown: &Shutdown, ask: NewRequest, payload: (Payload, Reservation),
    connection: Option<Rc<ConnectionState>>, on_end: impl FnOnce(RequestEnd) + 'static,
) -> FinalAnswer {
    if !shutdown.takes(&ask) {
        add(&core.counters.shed);
        on_end(RequestEnd::NeverSent);
        return FinalAnswer { answer: Answer::Refused { retry_after: None }, revision: None };
    }
    let (caller, answer) = Responder::new(payload.0.id.clone());
    let caller = caller.on_connection(connection.clone());
    let (core, pending) = (core.clone(), shutdown.pending());
    spawn_local(async move {
        on_end(handle_request(core, ask, payload, caller).await);
        drop(pending);
    });
    let answer = answer.await.unwrap_or(FinalAnswer { answer: Answer::Failed, revision: None });
    if !matches!(answer.answer, Answer::Events { .. }) {
        connection.iter().for_each(|connection| connection.note_unserved());
    }
    answer
}

/// Serves connections until the process ends and nothing arrives any more. With `tls` each client must prove its
/// identity first.
pub async fn serve<S>(
    listener: Rc<TcpListener>, tls: Option<Identities>, intake: Rc<Intake>, shutdown: Shutdown,
    service: impl Fn(Peer) -> S + Clone + 'static,
) where
    S: Service<Request<Incoming>, Response = Reply, Error = Infallible> + Clone + 'static,
{
    // The process does not end before those are taken who wait in the queue.
    let _listening = shutdown.pending();
    let mut acceptor = Acceptor::new(listener, intake.clone(), shutdown.clone());
    while let Some(socket) = acceptor.next().await {
        let _ = socket.set_nodelay(true);
        let socket = RetryInterrupted(socket);
        let (place, pending) = (intake.enter(), shutdown.pending());
        match &tls {
            None => drop(spawn_local(connection(
                socket,
                service(Peer::Unproven),
                shutdown.clone(),
                (place, pending),
            ))),
            Some(identities) => {
                let (identities, service, shutdown) = (identities.clone(), service.clone(), shutdown.clone());
                spawn_local(async move {
                    let proven = tokio::select! {
                        proven = timeout(HEAD_TIME, identities.prove(socket)) => proven,
                        () = place.state.made_room() => return,
                        () = shutdown.due(|schedule| schedule.answers_until) => return,
                    };
                    match proven {
                        Ok(Ok((stream, peer))) => {
                            connection(stream, service(peer), shutdown, (place, pending)).await;
                        }
                        Ok(Err(fault)) => {
                            tracing::warn!("intake: a client did not prove its identity: {fault}");
                        }
                        Err(_) => tracing::warn!("intake: a client did not prove its identity in time"),
                    }
                });
            }
        }
    }
}

/// One request of a connection: how it arrived is added, and a connection that cannot go on is closed behind it.
async fn one_request<S>(
    service: S, state: Rc<ConnectionState>, mut request: Request<Incoming>,
) -> Result<Reply, Infallible>
where
    S: Service<Request<Incoming>, Response = Reply, Error = Infallible>,
{
    let (arrival, framed) = (state.taken(&request), Framed::of(&request));
    request.extensions_mut().insert(arrival);
    let mut reply = service.oneshot(request).await?;
    let unfit = reply.status().is_client_error() && reply.status() != StatusCode::TOO_MANY_REQUESTS;
    if !state.answered(framed, unfit) {
        reply.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
    }
    match reply.body_mut() {
        Either::Left(_) => state.complete(),
        Either::Right(pieces) => pieces.state = Some(state),
    }
    Ok(reply)
}

async fn connection<I, S>(io: I, service: S, shutdown: Shutdown, (place, pending): (Place, Pending))
where
    I: ClientSocket + 'static,
    S: Service<Request<Incoming>, Response = Reply, Error = Infallible> + Clone + 'static,
{
    let state = place.state.clone();
    let (used, mut first) = watch::channel(false);
    let stream = Stream::new(io, state.clone());
    let (mut last, watched) = (stream.handle(), stream.handle());
    let service = tower::service_fn(move |request| {
        used.send_replace(true);
        one_request(service.clone(), state.clone(), request)
    });
    let served = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(HEAD_TIME)
        .max_buf_size(LIBRARY_BUFFER_BYTES)
        .serve_connection(TokioIo::new(stream), TowerToHyperService::new(service));
    // Its own box: what is left of the connection is let go of before the last bytes are read past.
    let mut served = Box::pin(served);
    let state = place.state.clone();
    let ending = async {
        shutdown.once(Readiness::lets_go).await;
        // Guards the requests that still arrive: the library closes a connection that has brought nothing
        // yet at once, and the client's request with it.
        let _ = timeout(FIRST_REQUEST_TIME, first.wait_for(|used| *used)).await;
        state.between_heads().await;
    };
    let (mut gone, mut ending) = (pin!(watched.gone()), pin!(ending));
    let mut out_of_time = pin!(async {
        shutdown.due(|schedule| schedule.answers_until).await;
        if state.has_request() {
            // Its answer ends the connection, and comes in this moment.
            std::future::pending::<()>().await;
        }
    });
    let mut ends = false;
    // A client that breaks off, or a stream that broke, is told by the request's own task.
    let ended = loop {
        tokio::select! {
            biased;
            // First: a request that crosses this must not be begun and then dropped.
            () = place.state.made_room(), if !ends => break Err("it makes room for others".to_owned()),
            ended = &mut served => break ended.map_err(|fault| fault.to_string()),
            () = state.head_refused() => break Err("no room for its head".to_owned()),
            () = &mut gone => break Err("the client has gone".to_owned()),
            () = &mut out_of_time => break Err("the process ends".to_owned()),
            () = &mut ending, if !ends => {
                served.as_mut().graceful_shutdown();
                ends = true;
            }
        }
    };
    if let Err(fault) = ended {
        tracing::debug!("intake: connection ended: {fault}");
    }
    drop(served);
    if state.is_head_refused() {
        place.count_refused_head();
    }
    if state.is_head_refused() || shutdown.readiness().ending() && state.has_begun() {
        last.refuse().await;
    }
    // The process does not end over bytes that are unread: what was written last would go with the reset.
    last.leave(&shutdown).await;
    drop((place, pending));
}

#[cfg(test)]
mod tests;

//! Reading a request's body within the room that there is.

use std::pin::pin;
use std::rc::Rc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt;
use hyper::Request;
use hyper::body::{Body, Incoming};
use tokio::time::{Instant, timeout_at};

use super::Intake;
use super::budget::Reservation;
use super::connection::{Arrival, REQUEST_TIME};
use crate::node::process::shutdown::Shutdown;

/// Largest body of a request.
pub const BODY_MOST: usize = 256 * 1024;
/// How much of a body that is too large is read to keep the connection usable.
const DISCARD_MOST: usize = 2 * 1024 * 1024;
/// Room that a body gets at least, unless it is announced to be shorter.
const BODY_CAPACITY_LEAST: usize = 4 * 1024;
/// For a body to arrive at least, whenever its request began.
const BODY_LEAST: Duration = Duration::from_millis(500);

/// Why a request's body was not taken.
#[derive(Debug, thiserror::Error)]
pub enum BodyError {
    /// It is too large.
    #[error("the body is over {BODY_MOST} bytes")]
    TooLarge,
    /// There is no room for it; it was never taken in, so trying again is harmless.
    #[error("no room for the body")]
    NoRoom,
    /// The process ends before it is whole; it was never taken in, so trying again is harmless.
    #[error("the process ends before the body is whole")]
    ProcessEnds,
    /// It took too long.
    #[error("the body took too long to arrive")]
    Slow,
    /// The connection broke within it.
    #[error("the body broke off: {0}")]
    Broken(#[from] hyper::Error),
}

/// Reads a body whole. What is unwanted, a little too large or finds no room is read past, so that the connection
/// can go on.
pub async fn read_body(
    request: &mut Request<Incoming>, wanted: bool, intake: &Rc<Intake>, shutdown: &Shutdown,
) -> Result<(Bytes, Reservation), BodyError> {
    let now = Instant::now();
    let since = request.extensions().get::<Arrival>().map_or(now, |arrival| arrival.since);
    let until = (since + REQUEST_TIME).max(now + BODY_LEAST);
    let arrived = request.extensions().get::<Arrival>().map(|arrival| arrival.whole.clone());
    let mut body = pin!(request.body_mut());
    let hint = body.size_hint().lower();
    if hint > DISCARD_MOST as u64 {
        return Err(BodyError::TooLarge);
    }
    let mut room = intake.room();
    let read = async {
        // What is announced to be too large is never held.
        let (mut text, mut seen, mut kept) = (BytesMut::new(), 0, wanted && hint <= BODY_MOST as u64);
        while let Some(frame) = body.frame().await {
            let Ok(data) = frame?.into_data() else { continue };
            seen += data.len();
            if seen > DISCARD_MOST {
                return Err(BodyError::TooLarge);
            }
            // Room is taken for what has come, not for what was announced.
            kept = kept && seen <= BODY_MOST && room.grow_to(capacity_for(seen, hint as usize));
            if kept {
                text.reserve(capacity_for(seen, hint as usize) - text.len());
                text.extend_from_slice(&data);
            } else if !text.is_empty() {
                text = BytesMut::new();
                room.clear();
            }
        }
        match (seen > BODY_MOST, kept || !wanted) {
            (true, _) => Err(BodyError::TooLarge),
            (false, true) => Ok((text.freeze(), room)),
            (false, false) => Err(BodyError::NoRoom),
        }
    };
    let taken = tokio::select! {
        biased;
        read = timeout_at(until, read) => read.unwrap_or(Err(BodyError::Slow))?,
        () = shutdown.due(|schedule| schedule.answers_until) => return Err(BodyError::ProcessEnds),
    };
    arrived.inspect(|whole| whole.store(true, Ordering::Relaxed));
    Ok(taken)
}

/// The room in which a body is kept of which so much has come: doubled as it grows, and no more than was announced.
fn capacity_for(seen: usize, announced: usize) -> usize {
    let grown = seen.next_power_of_two().max(BODY_CAPACITY_LEAST);
    if announced >= seen { grown.min(announced) } else { grown.min(BODY_MOST) }
}

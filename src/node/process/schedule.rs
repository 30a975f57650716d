//! The schedule of a graceful shutdown: until when requests are taken, answered and streamed after SIGTERM. It follows from
//! the settings alone and runs on the monotonic clock. It does no I/O.

use std::time::Duration;

use tokio::time::Instant;

use crate::api::Settings;
use crate::node::to_duration;

/// A longest deadline counts as no longer than this in the grace period.
const DEADLINE_MOST: Duration = Duration::from_secs(3);
/// The grace period beyond the longest deadline. A request that comes later than this after SIGTERM must have its whole
/// answer by SIGKILL.
const BEYOND_DEADLINE: Duration = Duration::from_millis(700);
/// After SIGTERM new connections go on coming for so long.
const CONNECTIONS_COME: Duration = Duration::from_millis(400);
/// For a connection that was opened last to have come up, and for the request that comes with it to be read.
const ON_THE_WAY: Duration = Duration::from_millis(50);
/// How far each step keeps from the moment that it must not miss: the process may be held up for 0.15 s between a look at
/// its clock and what follows, and an answer has its way to go.
const MARGIN: Duration = Duration::from_millis(200);
/// Before SIGKILL, for the clients of streams that still run to find another conductor and ask it for the rest.
const RESUME_TIME: Duration = Duration::from_millis(1_400);
/// For a client to send its first request on a connection that is let go of: its bytes may be on their way.
pub const FIRST_REQUEST_TIME: Duration = Duration::from_secs(1);

/// The time from SIGTERM to the soonest SIGKILL.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct GracePeriod(Duration);

impl Default for GracePeriod {
    /// The longest one.
    fn default() -> Self {
        GracePeriod(DEADLINE_MOST + BEYOND_DEADLINE)
    }
}

impl GracePeriod {
    /// As the platform gives it: the longest deadline of all classes, within a bound, and a fixed time more.
    pub fn of(settings: &Settings) -> Self {
        let longest =
            settings.classes.iter().map(|class| to_duration(class.deadline)).max().unwrap_or_default();
        GracePeriod(longest.min(DEADLINE_MOST) + BEYOND_DEADLINE)
    }
}

/// The steps of one shutdown.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ShutdownSchedule {
    /// Until then connections are accepted.
    pub accept_until: Instant,
    /// Until then requests that have come whole are taken in.
    pub requests_until: Instant,
    /// Then streams that still run are moved, where their clients ask another conductor for the rest.
    pub streams_move_at: Instant,
    /// By then each request has its answer, or the beginning of its stream; connections without a request end.
    pub answers_until: Instant,
}

impl ShutdownSchedule {
    /// The schedule of a shutdown that begins now.
    pub fn new(begun: Instant, grace: GracePeriod) -> Self {
        let (requests_until, killed_at) = (begun + BEYOND_DEADLINE - MARGIN, begun + grace.0);
        ShutdownSchedule {
            accept_until: begun + CONNECTIONS_COME + ON_THE_WAY,
            requests_until,
            streams_move_at: (killed_at - RESUME_TIME.min(grace.0)).max(requests_until),
            answers_until: killed_at - MARGIN,
        }
    }
}

#[cfg(test)]
mod tests;

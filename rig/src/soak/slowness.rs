//! How some servers of a history are slow, drawn by its seed. No I/O.

use std::time::Duration;

use rand::Rng;
use rand::rngs::SmallRng;

use super::deployment::Deployment;
use crate::stand_ins::Role;

/// Between two events of an answer.
const BETWEEN_EVENTS: Duration = Duration::from_millis(12);
/// Between two comments.
const BETWEEN_COMMENTS: Duration = Duration::from_millis(250);
/// Comments of an answer that brings nothing else: for longer than any client reads.
const COMMENTS: usize = 100;
/// One server in so many is slow, and one in so many of its answers.
const SLOW_SERVERS: f64 = 0.3;
const SLOW_ANSWERS: f64 = 0.3;
/// One slow server in so many reads requests slowly, at so many bytes a second.
const SLOW_READERS: f64 = 0.5;
const READ_RATES: std::ops::Range<usize> = 20_000..400_000;
const LAST_EVENTS: &str = "data: {\"choices\":[],\"usage\":{\"prompt_tokens\":400,\"completion_tokens\":4,\
                           \"prompt_tokens_details\":{\"cached_tokens\":0}}}\n\ndata: [DONE]\n\n";
const COMMENT: &str = ": still here\n\n";

/// Where an answer is slow.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Fault {
    /// The head at once, the first event so much later.
    LateFirstEvent(Duration),
    /// Comments, and never an event.
    CommentsOnly,
    /// So long before the second event.
    Gap(Duration),
    /// The second event in two pieces, so long before each.
    EventInPieces(Duration),
    /// Nothing behind the first event.
    StopsBehindEvent,
    /// A part of the second event so long behind the first, and nothing behind it.
    StopsWithinEvent(Duration),
}

impl Fault {
    fn draw(rng: &mut SmallRng) -> Self {
        let mut up_to = |most| Duration::from_millis(rng.random_range(100..most));
        let (gap, piece, late, stop) = (up_to(4_500), up_to(2_250), up_to(6_000), up_to(4_500));
        match rng.random_range(0..6) {
            0 => Fault::LateFirstEvent(late),
            1 => Fault::CommentsOnly,
            2 => Fault::Gap(gap),
            3 => Fault::EventInPieces(piece),
            4 => Fault::StopsBehindEvent,
            _ => Fault::StopsWithinEvent(stop),
        }
    }
}

/// How a server is slow.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Slowness {
    /// Part of its answers that are.
    pub answers: f64,
    /// Bytes of a request that it reads in a second, where it is slow at that.
    pub read_rate: Option<usize>,
}

impl Slowness {
    /// Draws what one answer comes to.
    pub fn fault(&self, rng: &mut SmallRng) -> Option<Fault> {
        rng.random_bool(self.answers).then(|| Fault::draw(rng))
    }
}

/// Makes some servers of a deployment slow.
pub fn slow_down(deployment: &mut Deployment, rng: &mut SmallRng) {
    for server in &mut deployment.servers {
        if !rng.random_bool(SLOW_SERVERS) {
            continue;
        }
        let read_rate = rng.random_bool(SLOW_READERS).then(|| rng.random_range(READ_RATES));
        let answers = if server.role == Role::Write { SLOW_ANSWERS } else { 0.0 };
        server.slowness = Some(Slowness { answers, read_rate });
    }
}

/// A part of an answer.
#[derive(Clone, Debug, PartialEq)]
pub struct Step {
    /// How long after the part before.
    pub pause: Duration,
    /// What is written then.
    pub text: String,
    /// Whether it completes an event.
    pub completes_event: bool,
}

/// Returns the parts of an answer with so many events, and whether it is whole behind them.
pub fn answer(events: usize, fault: Option<Fault>) -> (Vec<Step>, bool) {
    let step = |pause, text: &str, completes_event| Step { pause, text: text.into(), completes_event };
    if fault == Some(Fault::CommentsOnly) {
        return (vec![step(BETWEEN_COMMENTS, COMMENT, false); COMMENTS], false);
    }
    let before_first = if let Some(Fault::LateFirstEvent(pause)) = fault { pause } else { Duration::ZERO };
    let mut steps = vec![step(before_first, &event(0, events), true)];
    let second = event(1, events);
    let (start, end) = second.split_at(second.len() / 2);
    match fault {
        Some(Fault::StopsBehindEvent) => return (steps, false),
        Some(Fault::StopsWithinEvent(pause)) => {
            steps.push(step(pause, start, false));
            return (steps, false);
        }
        Some(Fault::EventInPieces(pause)) => {
            steps.extend([step(pause, start, false), step(pause, end, true)]);
        }
        Some(Fault::Gap(pause)) => steps.push(step(pause, &second, true)),
        _ => {}
    }
    let begun = steps.iter().filter(|step| step.completes_event).count();
    steps.extend((begun..events).map(|number| step(BETWEEN_EVENTS, &event(number, events), true)));
    steps.push(step(BETWEEN_EVENTS, LAST_EVENTS, true));
    (steps, true)
}

fn event(number: usize, of: usize) -> String {
    let reason = if number + 1 == of { "\"stop\"" } else { "null" };
    format!(
        "data: {{\"choices\":[{{\"index\":0,\"delta\":{{\"content\":\"w{number}\"}},\"finish_reason\":{reason}}}]}}\n\n"
    )
}

//! Judges a history by what clients and servers saw. Each rule says all that it finds.

use std::collections::BTreeMap;

use super::clients::{Asked, Got};
use super::deployment::{Deployment, Effect};
use super::discovery::Drain;
use super::network::Trouble;
use super::servers::{Attempt, HeldLong};
use crate::Micros;
use crate::stand_ins::{HELD_MOST, Role};

const MS: Micros = 1_000;
/// After its client's patience an answer still counts as one.
const ANSWER_SLACK: Micros = 550 * MS;
/// New connections come for so long after SIGTERM.
const CONNECTIONS_COME: Micros = 400 * MS;
/// A request that came later than this after SIGTERM may not be cut by SIGKILL.
const CUT_EXCUSED: Micros = 700 * MS;
/// What came in the last moments before SIGKILL need not have been answered.
const LAST_MOMENTS: Micros = 150 * MS;
/// After its client left nothing more begins.
const LEFT_SLACK: Micros = 100 * MS;
/// By so much the time told to a server may be over what is left.
const TOLD_SLACK: Micros = 150 * MS;
/// Within which sends to a server that drains end.
const DRAIN_GRACE: Micros = 1_050 * MS;
/// A client may be left waiting for so long behind a server's last event.
const WAIT_BEHIND_EVENT: Micros = 5_050 * MS;
/// Only a stream whose server has written no event for this long may be cut: 5 s, less a hold-up of 0.15 s as the last event is
/// read, and one as the stream is cut.
const CUT_BEHIND_EVENT: Micros = 4_700 * MS;
/// A conductor's own close is seen by the network a little later.
const CLOSE_SEEN: Micros = 5 * MS;
/// For one request.
const ATTEMPTS_MOST: usize = 4;

/// A conductor's planned end.
#[derive(Clone, Copy, Debug)]
pub struct Ending {
    /// Which conductor.
    pub at: usize,
    /// SIGTERM.
    pub told: Micros,
    /// SIGKILL, or when its end was found before.
    pub killed: Micros,
    /// When the next process took clients.
    pub back: Micros,
}

/// A time in which a conductor was stopped.
#[derive(Clone, Copy, Debug)]
pub struct Stop {
    /// Which conductor.
    pub at: usize,
    /// From when.
    pub from: Micros,
    /// Until when.
    pub until: Micros,
}

/// All that a history left.
#[derive(Clone, Debug)]
pub struct History {
    /// What the deployment asks.
    pub deployment: Deployment,
    /// Requests as their clients saw them.
    pub asked: Vec<Asked>,
    /// Attempts as the servers saw them.
    pub attempts: Vec<Attempt>,
    /// States that were held for too long.
    pub held_long: Vec<HeldLong>,
    /// Planned ends.
    pub endings: Vec<Ending>,
    /// Stops.
    pub stops: Vec<Stop>,
    /// By conductor, the drains that it was told of.
    pub drains: Vec<Vec<Drain>>,
    /// How late this machine has run its timers at worst: all figures grow by it.
    pub lateness: Micros,
}

impl History {
    /// All that breaks a rule.
    pub fn findings(&self) -> Vec<String> {
        let mut by_id: BTreeMap<&str, Vec<&Attempt>> = BTreeMap::new();
        self.attempts.iter().for_each(|attempt| by_id.entry(&attempt.id).or_default().push(attempt));
        let none = Vec::new();
        let mut found: Vec<_> =
            self.held_long.iter().filter(|held| !answer_lost_in_silence(held)).map(held).collect();
        for asked in &self.asked {
            let attempts = by_id.get(asked.id.as_str()).unwrap_or(&none);
            let faults = [
                self.unanswered(asked, attempts),
                self.repeated(asked, attempts),
                self.begun_after_leaving(asked, attempts),
                self.told_too_much(asked, attempts),
                self.left_waiting(asked, attempts),
                self.left_open_though_spoilt(asked, attempts),
            ];
            let shown = |fault: String| format!("{} at conductor {}: {fault}", asked.id, asked.at);
            found.extend(faults.into_iter().flatten().map(shown));
        }
        found.extend(self.attempts.iter().filter_map(|attempt| self.drained(attempt)));
        found
    }

    /// What breaks a rule and is known to: states whose reads' answers were lost in silence are held for as long as their conductors
    /// wait for these answers. `tests/held_state.rs` shows it by itself, and KNOWN-RED.txt names that test.
    pub fn known(&self) -> Vec<String> {
        self.held_long.iter().filter(|held| answer_lost_in_silence(held)).map(held).collect()
    }

    /// The planned end that a request met: the last one, as nothing of a process lives on behind its kill.
    fn ending(&self, asked: &Asked, sent: Micros) -> Option<&Ending> {
        self.endings.iter().rfind(|e| e.at == asked.at && sent <= e.back && asked.ended >= e.told)
    }

    /// One final answer, before the client gives up.
    fn unanswered(&self, asked: &Asked, attempts: &[&Attempt]) -> Option<String> {
        let sent = asked.sent.filter(|_| asked.left.is_none())?;
        let connection = asked.connection.as_ref().filter(|c| c.taken() && !c.disturbed())?;
        let ending = self.ending(asked, sent);
        match asked.got {
            Got::Answer { at, status, .. } if at > sent + asked.patience + ANSWER_SLACK + self.lateness => {
                let after = (at - sent) / MS;
                Some(format!("answered {after} ms after it was sent, with {status}: {connection:?}"))
            }
            Got::Answer { whole: true, .. } => None,
            Got::Answer { whole: false, .. } => {
                let by_server = attempts.iter().any(|attempt| attempt.connection.disturbed());
                let by_kill = ending.is_some_and(|e| asked.ended + LAST_MOMENTS >= e.killed);
                let excused = ending.is_some_and(|e| sent <= e.told + CUT_EXCUSED);
                let by_silence = streamed(attempts).is_some_and(|attempt| {
                    attempt.events.last().is_some_and(|last| last + CUT_BEHIND_EVENT <= asked.ended)
                });
                (!(by_server || by_silence || by_kill && excused)).then(|| {
                    let (after, events) = ((asked.ended - sent) / MS, streamed(attempts).map(|a| &a.events));
                    format!(
                        "its answer was cut {after} ms after it was sent at {sent}; {events:?}, {ending:?}"
                    )
                })
            }
            Got::Closed if !asked.first => {
                let killed =
                    ending.is_some_and(|e| asked.ended >= e.killed && sent + LAST_MOMENTS >= e.killed);
                (!attempts.is_empty() && !killed).then(|| "sent on, and its connection closed".into())
            }
            Got::Closed | Got::Nothing => match ending {
                Some(ending) if asked.first && asked.opened > ending.told + CONNECTIONS_COME => None,
                Some(ending) if sent + LAST_MOMENTS + self.lateness > ending.killed => None,
                _ => Some(format!("no answer, {} ms on: {connection:?}", (asked.ended - sent) / MS)),
            },
        }
    }

    /// From each event of its server on, a client has the next one or the end within 5 s.
    fn left_waiting(&self, asked: &Asked, attempts: &[&Attempt]) -> Option<String> {
        asked.connection.as_ref().filter(|connection| !connection.disturbed())?;
        let Got::Answer { status: 200, .. } = asked.got else { return None };
        let attempt = streamed(attempts).filter(|attempt| !attempt.connection.disturbed())?;
        let next = attempt.events.iter().skip(1).copied().chain([asked.ended]);
        let waits =
            attempt.events.iter().zip(next).map(|(&event, next)| next.min(asked.ended).saturating_sub(event));
        let longest = waits.max().filter(|&wait| wait > WAIT_BEHIND_EVENT + self.lateness)?;
        Some(format!("left waiting for {} ms behind an event of {}", longest / MS, attempt.at))
    }

    /// A stream that is spoilt ends within 5 s, and not as a whole one.
    fn left_open_though_spoilt(&self, asked: &Asked, attempts: &[&Attempt]) -> Option<String> {
        asked.connection.as_ref().filter(|connection| !connection.disturbed())?;
        let Got::Answer { status: 200, whole, .. } = asked.got else { return None };
        let attempt = streamed(attempts)?;
        // Nothing is asked on a connection behind an answer that was spoilt.
        let is_last_on_connection = attempt.begun == attempt.connection.request_begun();
        let spoilt =
            attempt.connection.spoilt().filter(|&at| is_last_on_connection && at >= attempt.arrived)?;
        if whole {
            return Some(format!("spoilt by the network behind {}, and ended as whole", attempt.at));
        }
        let left_open = asked.ended.saturating_sub(spoilt);
        let is_late = left_open > WAIT_BEHIND_EVENT + self.lateness;
        is_late.then(|| format!("left open for {} ms behind what spoilt it", left_open / MS))
    }

    /// Nothing that must not runs twice; one attempt at a time, four at most.
    fn repeated(&self, asked: &Asked, attempts: &[&Attempt]) -> Option<String> {
        let runs = attempts.iter().filter(|attempt| attempt.role == Role::Write && attempt.ran).count();
        let is_unsafe = self.deployment.classes[asked.class].effect == Effect::Unsafe;
        let refused = matches!(asked.got, Got::Answer { status: 429 | 503, .. });
        if is_unsafe && runs > 1 {
            return Some(format!("must not run twice, and ran {runs} times"));
        }
        if is_unsafe && runs == 1 && refused {
            return Some("ran, and was refused as though it had not".into());
        }
        if attempts.len() > ATTEMPTS_MOST {
            return Some(format!("{} attempts", attempts.len()));
        }
        let pauses = |attempt: &Attempt| {
            attempt.connection.plan.is_some_and(|plan| matches!(plan.trouble, Trouble::Pause(_)))
        };
        let both_out = |pair: &[&Attempt]| {
            let (one, next) = (pair[0], pair[1]);
            let until = next.sent + CLOSE_SEEN + self.lateness;
            let out = one.ended.is_none_or(|ended| ended > until)
                && one.connection.near_ended().is_none_or(|ended| ended > until);
            out && !pauses(one) && !next.connection.disturbed()
        };
        let pair = attempts.windows(2).find(|pair| both_out(pair))?;
        let shown = |attempt: &Attempt| {
            format!(
                "{} {:?} sent {} arrived {} ended {:?}, {:?}",
                attempt.at, attempt.role, attempt.sent, attempt.arrived, attempt.ended, attempt.connection
            )
        };
        Some(format!("two attempts out at once: {}; {}", shown(pair[0]), shown(pair[1])))
    }

    fn stopped_within(&self, conductor: usize, from: Micros, until: Micros) -> bool {
        self.stops.iter().any(|stop| stop.at == conductor && stop.from <= until && stop.until >= from)
    }

    /// Nothing begins for a client that has gone.
    fn begun_after_leaving(&self, asked: &Asked, attempts: &[&Attempt]) -> Option<String> {
        let left = asked.left?;
        asked.connection.as_ref().filter(|connection| !connection.disturbed())?;
        let after = |attempt: &&&Attempt| attempt.begun > left + LEFT_SLACK + self.lateness;
        let late = attempts.iter().filter(|attempt| !attempt.connection.disturbed()).find(after)?;
        let excused = self.stopped_within(asked.at, left, late.begun);
        (!excused).then(|| format!("an attempt {} ms after its client had gone", (late.begun - left) / MS))
    }

    /// A server is told at most the time that is left.
    fn told_too_much(&self, asked: &Asked, attempts: &[&Attempt]) -> Option<String> {
        // A request that the network kept back came late, and nobody could know.
        asked.connection.as_ref().filter(|connection| !connection.disturbed())?;
        let until = asked.sent? + asked.patience;
        let over = |attempt: &&&Attempt| {
            let left = until.saturating_sub(attempt.begun) + TOLD_SLACK + self.lateness;
            attempt.told_ms.is_none_or(|told| told * MS > left)
        };
        let attempt = attempts.iter().filter(|attempt| !attempt.connection.disturbed()).find(over)?;
        let left = until.saturating_sub(attempt.begun) / MS;
        Some(format!("{} was told {:?} ms where {left} were left", attempt.at, attempt.told_ms))
    }

    /// Nothing new to a server that drains.
    fn drained(&self, attempt: &Attempt) -> Option<String> {
        if attempt.connection.disturbed() {
            return None;
        }
        let late = |drain: &&Drain| {
            let over = drain.until.unwrap_or(Micros::MAX);
            let grace = DRAIN_GRACE + self.lateness;
            drain.id == attempt.at && attempt.begun > drain.since + grace && attempt.begun < over
        };
        let drain = self.drains.get(attempt.from)?.iter().find(late)?;
        let after = (attempt.begun - drain.since) / MS;
        Some(format!("{}: sent to {} {after} ms after its drain was told", attempt.id, attempt.at))
    }
}

/// The attempt whose answer a client got.
fn streamed<'a>(attempts: &[&'a Attempt]) -> Option<&'a Attempt> {
    attempts.iter().rev().find(|attempt| attempt.role == Role::Write && attempt.ran).copied()
}

/// Whether a state was held for too long only while its conductor waited for an answer that the network had lost.
fn answer_lost_in_silence(held: &HeldLong) -> bool {
    let waited_until = held.read_over.near_ended().unwrap_or(held.until);
    held.read_over.disturbed() && held.until.saturating_sub(waited_until) <= HELD_MOST
}

fn held(held: &HeldLong) -> String {
    let time = (held.until - held.since) / MS;
    let (opened, read) = (held.read_over.opened / MS, held.read_over.last_up() / MS);
    let kills: Vec<_> = held.kills.iter().map(|at| at / MS).collect();
    format!(
        "{}: its state was held for {time} ms with no attempt out (conductor {}, killed at {kills:?}; the read's connection was opened at \
         {opened}, its last byte read by the network at {read}, arrived at {}, no attempt out since {})",
        held.id,
        held.from,
        held.arrived / MS,
        held.since / MS
    )
}

#[cfg(test)]
mod tests;

//! Counters of the requests, attempts, connections and operator calls that a process handles.

use std::cell::Cell;
use std::collections::BTreeMap;

use crate::api::Outcome;
use crate::node::upstream::events::StreamError;

macro_rules! counters {
    ($($(#[$doc:meta])* $name:ident),* $(,)?) => {
        /// Counters since the start of the process.
        #[derive(Debug, Default)]
        pub struct Counters {
            $($(#[$doc])* pub $name: Cell<u64>,)*
        }

        impl Counters {
            /// Returns the value of each counter by its name.
            pub fn values_by_name(&self) -> BTreeMap<&'static str, u64> {
                BTreeMap::from([$((stringify!($name), self.$name.get())),*])
            }
        }
    };
}

counters! {
    /// Requests accepted.
    taken,
    /// Malformed requests answered with a 4xx status and never accepted.
    malformed,
    /// Requests rejected at intake because the conductor was full, and never accepted.
    shed,
    /// Client connections without a request that were closed to make room for others.
    evicted,
    /// Client connections that were closed to make room while a partly received request had stalled.
    evicted_begun,
    /// Requests refused because too many of their connection went unserved in a short time. They count as shed, too.
    too_fast,
    /// Requests refused before their head was whole, because there was no memory for it.
    heads_refused,
    /// Requests refused because their ids could not be remembered for long enough.
    ids_full,
    /// Requests refused because the other process of an upgrade did not say in time whether their ids are new.
    ids_unanswered,
    /// Requests answered with a complete stream.
    served,
    /// Requests answered with a stream that broke after its first event.
    broken,
    /// Streams whose instance closed or broke the connection before the end. They count as broken, too.
    streams_cut,
    /// Streams that were ended here because no event arrived in time behind the last one. They count as broken, too.
    streams_silent,
    /// Streams that were ended here because the first event, or an answer in one piece, was not whole in time. They count as broken, too.
    streams_overdue,
    /// Streams that were ended here because they were not valid. They count as broken, too.
    streams_malformed,
    /// Streams that were cut off before the process ended, for their clients to resume elsewhere. They count as broken, too.
    streams_moved,
    /// Requests rejected by the decision module.
    refused,
    /// Requests answered as failed.
    failed,
    /// Requests for which the planner made no decision by the deadline.
    overdue,
    /// Requests whose client disconnected before its final answer was complete.
    left,
    /// Requests that waited at the policy gate while a policy change took effect.
    held_at_door,
    /// Requests rejected at the policy gate because this process may not accept any.
    turned_away,
    /// Revision of the policy under which requests are accepted.
    revision,
    /// Reports on instances received from other conductors.
    reports_heard,
    /// Probes skipped because another conductor is responsible for them.
    probes_left,
    /// Requests with an idempotency key that were not sent, because they were known to be running or to have run.
    known_named,
    /// Attempts sent to instances.
    attempts,
    /// Attempts that ended with a complete stream.
    attempts_served,
    /// Attempts that completed the prefill of a prompt.
    attempts_read,
    /// Attempts rejected by a full or draining instance.
    attempts_full,
    /// Attempts rejected because there was no cached state to fetch.
    attempts_no_state,
    /// Attempts answered with an error.
    attempts_error,
    /// Attempts abandoned at their timeout.
    attempts_timed_out,
    /// Attempts whose instance could not be reached.
    attempts_unreachable,
    /// Attempts whose connection broke.
    attempts_broken,
    /// Attempts whose answer could not be parsed.
    attempts_spoilt,
    /// Attempts cancelled.
    attempts_cancelled,
    /// Attempts that the planner asked for and that were never sent.
    attempts_moot,
    /// Releases that an instance confirmed.
    releases,
    /// Releases that the decision module asked for.
    releases_ordered,
    /// Releases made because an attempt ended without an answer from its instance.
    releases_no_answer,
    /// Releases made because a state may have been held for most of its pin limit.
    releases_unanswered,
    /// Releases made because the request had ended.
    releases_request_over,
    /// Calls that asked an instance to release a state.
    release_calls,
    /// Releases that no instance confirmed in time.
    releases_lost,
    /// Connections opened to instances.
    connects,
    /// Kept connections to instances that were reused.
    reuses,
    /// Probes sent.
    probes,
    /// Watches opened on discovery.
    watches,
    /// Lists and changes received from discovery.
    lists,
    /// Attempts stopped by the check before their first byte: the instance drains, the client has left, or time is up.
    held_back,
    /// Instances taken out for maintenance by operators.
    bans,
    /// Instances returned from maintenance by operators.
    bans_lifted,
    /// Drains requested by operators.
    drains,
    /// Operator calls that succeeded.
    calls,
    /// Operator calls that were rejected.
    calls_refused,
    /// Connections to the operator front that did not send a complete call.
    calls_unfinished,
    /// Handovers to a newer process.
    handed_over,
    /// 1 if this process took over from an older one, 0 otherwise.
    inherited,
    /// Configuration reloads that were applied.
    reloads,
    /// Configuration reloads that failed.
    reloads_failed,
}

/// Increments a counter by one.
pub fn add(counter: &Cell<u64>) {
    counter.set(counter.get() + 1);
}

impl Counters {
    /// Counts a stream that broke after its first event, by the reason.
    pub fn count_broken_stream(&self, error: StreamError) {
        add(&self.broken);
        add(match error {
            StreamError::Cut => &self.streams_cut,
            StreamError::Silent => &self.streams_silent,
            StreamError::Overdue => &self.streams_overdue,
            StreamError::Malformed => &self.streams_malformed,
        });
    }

    /// Counts an ended attempt by its outcome.
    pub fn count_attempt_end(&self, outcome: Outcome) {
        add(match outcome {
            Outcome::Served => &self.attempts_served,
            Outcome::Read => &self.attempts_read,
            Outcome::Full => &self.attempts_full,
            Outcome::NoState => &self.attempts_no_state,
            Outcome::Error => &self.attempts_error,
            Outcome::TimedOut => &self.attempts_timed_out,
            Outcome::Unreachable => &self.attempts_unreachable,
            Outcome::Broken => &self.attempts_broken,
            Outcome::Spoilt => &self.attempts_spoilt,
            Outcome::Cancelled => &self.attempts_cancelled,
            Outcome::Moot => &self.attempts_moot,
        });
    }

    /// Returns all counters as one line of JSON.
    pub fn to_json_line(&self) -> String {
        serde_json::to_string(&self.values_by_name()).unwrap_or_default()
    }
}

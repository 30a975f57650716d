//! Decisions during shutdown: each request gets its answer, or the first token of its stream, before the
//! process is killed.

use super::*;

impl Router {
    /// Bounds the deadlines of all waiting requests and of those that arrive from now on. A request for an
    /// answer in one piece is treated like a running stream: it continues while the process runs.
    pub(super) fn begin_shutdown(&mut self, answers_until: Micros) {
        self.answers_until = Some(answers_until);
        let is_bounded = |r: &Request| r.stage != Stage::Streaming && !r.spec.is_unary;
        let ids: Vec<_> = self.requests.iter().filter(|(_, r)| is_bounded(r)).map(|(&id, _)| id).collect();
        for id in ids {
            self.bound_deadline(id, answers_until);
        }
    }

    /// Lowers the deadline of a request to at most `deadline`, and updates its place in its tier.
    fn bound_deadline(&mut self, id: RequestId, deadline: Micros) {
        let Some(request) = self.requests.get_mut(&id) else { return };
        let old_key = (request.first_token_due, id);
        request.deadline = request.deadline.min(deadline);
        request.first_token_due = request.first_token_due.min(deadline);
        for tier in [&mut self.high, &mut self.low] {
            if tier.remove(&old_key) {
                tier.insert((request.first_token_due, id));
            }
        }
    }

    /// Returns whether an attempt is in flight for a request that must be answered before the process ends.
    fn has_answerable_attempt(request: &Request) -> bool {
        matches!(request.stage, Stage::Reading | Stage::Writing)
            && !request.has_client_left
            && !request.spec.is_unary
    }

    /// Returns the time until requests with an attempt in flight must be answered; `None` if there are none.
    pub(super) fn time_until_answers_due(&self, now: Micros) -> Option<Micros> {
        let time_left = self.answers_until? - now;
        (time_left > 0 && self.requests.values().any(Self::has_answerable_attempt)).then_some(time_left)
    }

    /// Cancels the attempts in flight once answers are due. The final answers follow when the attempts end: a
    /// refusal promises that nothing runs any more, so it is not given while an attempt is in flight.
    pub(super) fn cancel_attempts_at_shutdown(&mut self, now: Micros, out: &mut Vec<Action>) {
        if self.answers_until.is_some_and(|until| now >= until) {
            let with_attempt = self.requests.iter().filter(|(_, r)| Self::has_answerable_attempt(r));
            out.extend(with_attempt.map(|(&id, r)| Action::Cancel {
                request: id,
                attempt: AttemptId(r.attempts_sent.max(1) - 1),
            }));
        }
    }
}

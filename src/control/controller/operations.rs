//! Operators' calls: proposals and how they ended, members, marks, and the status.

use serde_json::{Value, json};
use tokio::sync::oneshot;

use super::{Call, Controller, Reply, agreed, policy_under};
use crate::api::Micros;
use crate::control::policy::digest;
use crate::control::state::{Agreed, ChangeId, Command, Ended, Phase, Revision};
use crate::ledger::Ledger;

/// For so long an operator's call waits for a change to end. Its answer is owed within a second.
const CALL_WAIT: Micros = 850_000;
/// For so long after its call was answered a proposal that is not in the ledger yet is proposed again: an election takes
/// longer than a call may.
const PROPOSE_ON: Micros = 10_000_000;
/// Calls that wait for a change to end, and rejected proposals that are remembered.
const CALLS_MOST: usize = 64;

/// A change that was proposed here and has not ended yet.
pub(super) struct PendingChange {
    command: Command,
    id: ChangeId,
    until: Micros,
    /// None once it was answered that nothing is known yet.
    answer: Option<oneshot::Sender<Reply>>,
}

impl Controller {
    pub(super) fn on_call(&mut self, call: Call, answer: oneshot::Sender<Reply>) {
        let now = self.now();
        let reply = match call {
            Call::Status => Reply { status: 200, body: self.status() },
            Call::Document(revision) => {
                match agreed(&self.ledger, &self.observed).and_then(|a| a.documents.get(&revision)) {
                    Some(document) => {
                        Reply { status: 200, body: json!({ "revision": revision, "document": document }) }
                    }
                    None => error_reply(404, "no such revision is kept"),
                }
            }
            Call::Outcome(id) => self.outcome(id),
            Call::Propose { id, document, base } => match self.proposal(id, document, base) {
                Ok(_) if self.pending_changes.len() >= CALLS_MOST => {
                    self.reject_proposal(id, error_reply(503, "too many changes are waited for"))
                }
                Ok(command) => {
                    let until = now.saturating_add(CALL_WAIT);
                    return self.pending_changes.push(PendingChange {
                        command,
                        id,
                        until,
                        answer: Some(answer),
                    });
                }
                Err(reply) => self.reject_proposal(id, reply),
            },
            Call::Remove(name) => self.remove(now, name),
            Call::Mark(subject) => {
                if !self.share.add_mark(now, subject) {
                    error_reply(503, "too much is marked already")
                } else {
                    return self.pending_marks.push((answer, now.saturating_add(CALL_WAIT)));
                }
            }
            Call::Lift(subject) => {
                self.share.lift_mark(now, self.setup.clock.unix_ms(), &subject);
                return self.pending_marks.push((answer, now.saturating_add(CALL_WAIT)));
            }
            Call::State => match agreed(&self.ledger, &self.observed) {
                Some(agreed) => Reply { status: 200, body: self.share.status(now, agreed) },
                None => error_reply(503, "the ledger has stopped"),
            },
            Call::Export => Reply { status: 200, body: self.share.export() },
            Call::Import(export) => match self.share.import(now, &export) {
                Ok((taken, known, not)) => {
                    Reply { status: 200, body: json!({ "taken": taken, "known": known, "turned_down": not }) }
                }
                Err(why) => error_reply(422, &why),
            },
        };
        let _ = answer.send(reply);
    }

    /// Remembers for a while that a change never came to the ledger, for a caller that went before it was told.
    pub(super) fn reject_proposal(&mut self, id: ChangeId, mut reply: Reply) -> Reply {
        reply.body["id"] = id.to_string().into();
        if self.rejected_proposals.len() >= CALLS_MOST {
            self.rejected_proposals.pop_front();
        }
        self.rejected_proposals.push_back((id, reply.clone()));
        reply
    }

    pub(super) fn proposal(
        &self, id: ChangeId, document: String, base: Option<Revision>,
    ) -> Result<Command, Reply> {
        let Some(agreed) = agreed(&self.ledger, &self.observed) else {
            return Err(error_reply(503, self.stopped.as_deref().unwrap_or("the ledger has stopped")));
        };
        let turned_down = |why: String| Reply {
            status: 422,
            body: json!({ "outcome": "turned_down", "who": [self.me()], "why": why }),
        };
        let silence = policy_under(&self.setup, agreed.revision + 1, &document).map_err(turned_down)?;
        let silence = silence.policy.map(|policy| policy.silence).unwrap_or_default();
        let by = self.me().to_owned();
        Ok(Command::Propose { id, base, by, document, silence })
    }

    pub(super) fn remove(&mut self, now: Micros, name: String) -> Reply {
        let Some(ledger) = &self.ledger else { return error_reply(503, "the ledger has stopped") };
        if !ledger.agreed().members.contains_key(&name) {
            return error_reply(404, "no such member");
        }
        if ledger.voters() == [name.clone()] {
            return error_reply(409, "the last voter stays");
        }
        if ledger.leader().is_none() {
            return error_reply(503, "the ledger has no leader: too few voters are up");
        }
        self.pending_removals.push((name.clone(), now.saturating_add(PROPOSE_ON)));
        Reply { status: 202, body: json!({ "asked": name, "see": "/peers" }) }
    }

    pub(super) fn outcome(&self, id: ChangeId) -> Reply {
        if let Some((_, reply)) = self.rejected_proposals.iter().find(|(of, _)| *of == id) {
            return reply.clone();
        }
        let Some(agreed) = agreed(&self.ledger, &self.observed) else {
            return unknown_outcome(id, "the ledger has stopped here");
        };
        match (agreed.ended(id), &agreed.change) {
            (Some(ended), _) => {
                let applied = matches!(ended, Ended::Applied { .. });
                let mut body = outcome_json(ended);
                body["id"] = id.to_string().into();
                Reply { status: if applied { 200 } else { 409 }, body }
            }
            (None, Some(change)) if change.id == id => unknown_outcome(id, phase_name(change.phase)),
            _ => unknown_outcome(id, "not seen in the ledger"),
        }
    }

    /// Answers the calls whose change has ended, and those that have waited long enough.
    pub(super) fn answer_waiting(&mut self) {
        let now = self.now();
        for (name, until) in std::mem::take(&mut self.pending_removals) {
            // A leader that has just died takes no message: the next one is asked.
            let member = agreed(&self.ledger, &self.observed).is_some_and(|a| a.members.contains_key(&name));
            if member && now < until {
                self.propose(now, Command::Remove { name: name.clone() });
                self.pending_removals.push((name, until));
            }
        }
        for mut waiting in std::mem::take(&mut self.pending_changes) {
            let reply = self.outcome(waiting.id);
            let ended = reply.status != 202;
            if let Some(answer) = waiting.answer.take_if(|_| ended || now >= waiting.until) {
                let _ = answer.send(reply);
            }
            if ended || now >= waiting.until.saturating_add(PROPOSE_ON) {
                continue;
            }
            if !agreed(&self.ledger, &self.observed).is_some_and(|agreed| agreed.known(waiting.id)) {
                self.propose(now, waiting.command.clone());
            }
            self.pending_changes.push(waiting);
        }
    }

    pub(super) fn status(&self) -> Value {
        let active = self.gate.active();
        let now = self.now();
        let (registered, lease) = self.gate.look(|gate| (gate.registered(), gate.lease_until()));
        let (words, bytes) = self.links.sent();
        let mut status = json!({
            "name": self.me(),
            "cluster": self.setup.roster.cluster,
            "revision": active.revision,
            "registered": registered,
            "lease_ms": lease.saturating_sub(now).max(0) / 1_000,
            "takes": format!("{:?}", self.gate.look(|gate| gate.take(now))),
            "sent": { "words": words, "bytes": bytes },
            "ledger": self.stopped.as_deref().unwrap_or("runs"),
        });
        let Some(agreed) = agreed(&self.ledger, &self.observed) else { return status };
        let Agreed { change, sessions, members, history, documents, silence, .. } = agreed;
        let voters = self.ledger.as_ref().map(Ledger::voters).unwrap_or_default();
        let (leader, applied) = match (&self.ledger, &self.observed) {
            (Some(ledger), _) => (ledger.leader(), ledger.applied()),
            (None, Some(seen)) => (seen.leader.as_deref(), seen.applied),
            _ => (None, 0),
        };
        status["silence"] = json!(silence);
        status["digest"] = json!(documents.get(&active.revision).map(|document| digest(document)));
        status["leader"] = json!(leader);
        status["term"] = json!(self.ledger.as_ref().map(Ledger::term));
        status["applied"] = json!(applied);
        status["change"] = json!(change.as_ref().map(|c| {
            json!({ "id": c.id.to_string(), "revision": c.revision, "by": c.by, "phase": phase_name(c.phase) })
        }));
        let members = members.values().map(|peer| {
            json!({
                "name": peer.name, "address": peer.address, "site": peer.site, "votes": voters.contains(&peer.name),
                "live": sessions.contains_key(&peer.name), "heard": self.alive.hears(&peer.name),
            })
        });
        status["peers"] = members.collect();
        let history = history.iter().rev().map(|past| {
            let mut line = outcome_json(&past.ended);
            (line["id"], line["by"]) = (past.id.to_string().into(), past.by.clone().into());
            line
        });
        status["history"] = history.collect();
        status["kept"] = documents.keys().copied().collect();
        status
    }
}

/// How a change ended, for operators.
pub(super) fn outcome_json(ended: &Ended) -> Value {
    match ended {
        Ended::Applied { revision } => json!({ "outcome": "applied", "revision": revision }),
        Ended::TurnedDown { who, why } => json!({ "outcome": "turned_down", "who": who, "why": why }),
    }
}

pub(super) fn phase_name(phase: Phase) -> &'static str {
    match phase {
        Phase::Proposed => "proposed",
        Phase::Decided => "decided",
    }
}

/// What is said of a change whose end is not known, and where to ask for it.
pub(super) fn unknown_outcome(id: ChangeId, phase: &str) -> Reply {
    let see = format!("/policy/changes/{id}");
    Reply {
        status: 202,
        body: json!({ "outcome": "unknown", "id": id.to_string(), "phase": phase, "see": see }),
    }
}

pub(super) fn error_reply(status: u16, why: &str) -> Reply {
    Reply { status, body: json!({ "error": why }) }
}

//! State that is merged rather than agreed on: figures, reports and claims go out, others' come in.

use serde_json::json;

use super::{Controller, Reply, StateUpdate, agreed};
use crate::api::Micros;
use crate::control::state::Command;
use crate::ledger::Ledger;
use crate::peers::PeerMessage;
use crate::replica::idempotency::ClaimDecision;

impl Controller {
    pub(super) fn take_update(&mut self, told: StateUpdate) {
        let now = self.now();
        let members = || {
            let known =
                agreed(&self.ledger, &self.observed).map(|agreed| agreed.members.keys().cloned().collect());
            known.unwrap_or_default()
        };
        match told {
            StateUpdate::Figures(learnt) => self.share.record_estimates(now, &learnt),
            StateUpdate::Report(instance, report) => self.share.record_report(now, &instance, report),
            StateUpdate::Claim(name, answer) => {
                let members = members();
                match self.share.start_claim(now, name, members) {
                    Some(of) => drop(self.claims.insert(of, answer)),
                    None => drop(answer.send((ClaimDecision::Refuse, None))),
                }
            }
            StateUpdate::Withdraw(name, of) => {
                let members = members();
                self.share.withdraw_claim(name, of, &members);
            }
            StateUpdate::Completed(name, of) => {
                let members = members();
                self.share.complete_claim(now, name, of, &members);
            }
        }
    }

    pub(super) fn on_shared_state_message(&mut self, now: Micros, from: &str, message: PeerMessage) {
        let authority = self.ledger.as_ref().is_some_and(Ledger::leads) && self.has_authority(now);
        if let Some(agreed) = agreed(&self.ledger, &self.observed).filter(|a| a.members.contains_key(from)) {
            self.share.handle_message(now, from, message, agreed, authority);
        }
    }

    pub(super) fn tick_shared_state(&mut self, now: Micros) {
        let Some(agreed) = agreed(&self.ledger, &self.observed) else { return };
        let others = agreed.sessions.keys().filter(|name| **name != self.setup.roster.me.name);
        let others: Vec<_> = others.map(String::as_str).collect();
        let heard: Vec<_> = others.iter().copied().filter(|name| self.alive.hears(name)).collect();
        // Who is heard is found out in the first seconds: until then all that are registered are asked.
        let heard = if heard.is_empty() { others } else { heard };
        let leader = match (&self.ledger, &self.observed) {
            (Some(ledger), _) => ledger.leader(),
            (None, seen) => seen.as_ref().and_then(|seen| seen.leader.as_deref()),
        };
        if let Some(ledger) = &self.ledger {
            self.share.record_leader(ledger.term(), leader);
            self.share.update_leadership(now, ledger.leads().then(|| ledger.term()), agreed);
        }
        self.share.tick(now, agreed, leader, &heard);
        if self.ledger.as_ref().is_some_and(Ledger::leads) && !self.share.are_marks_agreed(agreed) {
            let marks = self.share.marks().clone();
            self.propose(now, Command::Mark(marks));
        }
    }

    /// Keeps what has to be kept, and only then says what follows from it.
    pub(super) fn flush_shared_state(&mut self) {
        let now = self.now();
        let unsaved = self.share.take_unsaved(now);
        if !unsaved.is_empty()
            && let Err(fault) = self.state_store.write(&unsaved)
        {
            tracing::debug!("state: {fault}");
            self.share.handle_store_failure();
        }
        self.share.decide_claims(now);
        for (of, _, decision) in self.share.take_decided_claims() {
            if let Some(answer) = self.claims.remove(&of) {
                let _ = answer.send((decision, Some(of)));
            }
        }
        // Words to this conductor itself are heard here, and what comes of them goes out with the rest.
        for _ in 0..2 {
            for (to, message) in self.share.take_outgoing() {
                let own = to == self.setup.roster.me.name;
                if own {
                    self.on_shared_state_message(now, &to, message)
                } else {
                    self.links.send(&to, message)
                }
            }
        }
        for news in self.share.take_events() {
            let _ = self.share_news.send(news);
        }
        if self.pending_marks.is_empty() {
            return;
        }
        let all =
            agreed(&self.ledger, &self.observed).is_some_and(|agreed| self.share.are_marks_agreed(agreed));
        for (answer, until) in std::mem::take(&mut self.pending_marks) {
            if all || now >= until {
                let _ = answer.send(Reply { status: 200, body: json!({ "kept": true, "agreed": all }) });
            } else {
                self.pending_marks.push((answer, until));
            }
        }
    }
}

//! State that is merged rather than agreed on: figures, reports and claims go out, others' come in.

use serde_json::json;

use super::{Controller, Reply, StateUpdate, agreed};
use crate::api::Micros;
use crate::control::state::Command;
use crate::ledger::Ledger;
use crate::peers::PeerMessage;
use crate::replica::idempotency::Decision;

impl Controller {
    pub(super) fn take_update(&mut self, told: StateUpdate) {
        let now = self.now();
        let members = || {
            let known =
                agreed(&self.ledger, &self.observed).map(|agreed| agreed.members.keys().cloned().collect());
            known.unwrap_or_default()
        };
        match told {
            StateUpdate::Figures(learnt) => self.share.figures(now, &learnt),
            StateUpdate::Report(instance, report) => self.share.report(now, &instance, report),
            StateUpdate::Claim(name, answer) => {
                let members = members();
                match self.share.claim(now, name, members) {
                    Some(of) => drop(self.claims.insert(of, answer)),
                    None => drop(answer.send((Decision::Refuse, None))),
                }
            }
            StateUpdate::Withdraw(name, of) => {
                let members = members();
                self.share.withdraw(name, of, &members);
            }
            StateUpdate::Completed(name, of) => {
                let members = members();
                self.share.ran(now, name, of, &members);
            }
        }
    }

    pub(super) fn on_shared_state_message(&mut self, now: Micros, from: &str, message: PeerMessage) {
        let authority = self.ledger.as_ref().is_some_and(Ledger::leads) && self.has_authority(now);
        if let Some(agreed) = agreed(&self.ledger, &self.observed).filter(|a| a.members.contains_key(from)) {
            self.share.hear(now, from, message, agreed, authority);
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
            self.share.led(ledger.term(), leader);
            self.share.leads(now, ledger.leads().then(|| ledger.term()), agreed);
        }
        self.share.tick(now, agreed, leader, &heard);
        if self.ledger.as_ref().is_some_and(Ledger::leads) && !self.share.agreed(agreed) {
            let marks = self.share.marks().clone();
            self.propose(now, Command::Mark(marks));
        }
    }

    /// Keeps what has to be kept, and only then says what follows from it.
    pub(super) fn flush_shared_state(&mut self) {
        let now = self.now();
        let unsaved = self.share.unsaved(now);
        if !unsaved.is_empty()
            && let Err(fault) = self.state_store.write(&unsaved)
        {
            tracing::debug!("state: {fault}");
            self.share.store_failed();
        }
        self.share.settle_claims(now);
        for (of, _, decision) in self.share.decided() {
            if let Some(answer) = self.claims.remove(&of) {
                let _ = answer.send((decision, Some(of)));
            }
        }
        // Words to this conductor itself are heard here, and what comes of them goes out with the rest.
        for _ in 0..2 {
            for (to, message) in self.share.outbox() {
                let own = to == self.setup.roster.me.name;
                if own {
                    self.on_shared_state_message(now, &to, message)
                } else {
                    self.links.send(&to, message)
                }
            }
        }
        for news in self.share.news() {
            let _ = self.share_news.send(news);
        }
        if self.pending_marks.is_empty() {
            return;
        }
        let all = agreed(&self.ledger, &self.observed).is_some_and(|agreed| self.share.agreed(agreed));
        for (answer, until) in std::mem::take(&mut self.pending_marks) {
            if all || now >= until {
                let _ = answer.send(Reply { status: 200, body: json!({ "kept": true, "agreed": all }) });
            } else {
                self.pending_marks.push((answer, until));
            }
        }
    }
}

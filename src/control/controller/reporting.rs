//! What follows from the ledger: the policy in force here, the leader's part, and this conductor's reports to the leader.

use std::sync::Arc;

use super::{Controller, agreed, policy_under};
use crate::api::Micros;
use crate::control::coordinator::Coordinator;
use crate::control::gate::Gate;
use crate::control::policy;
use crate::control::state::Command;
use crate::peers::PeerMessage;

/// Between the reports of one that votes, or is in a change, to the leader...
const REPORT_OFTEN: Micros = 150_000;
/// ...and of all others.
const REPORT_SELDOM: Micros = 700_000;

impl Controller {
    /// Takes in what is agreed on now.
    pub(super) fn apply_agreed(&mut self) {
        let now = self.now();
        let Some(agreed) = agreed(&self.ledger, &self.observed) else { return };
        // One that joins goes by its file. Former members are only answered.
        let file = self.setup.roster.peers.iter().filter(|_| agreed.members.is_empty());
        let known = agreed.members.values().chain(agreed.gone.values()).chain(file);
        let ways = known.map(|peer| (peer.name.clone(), self.setup.roster.way(peer))).collect();
        self.alive.know(agreed.members.keys().cloned().collect());
        self.links.know(ways, agreed.sessions.clone());
        let active = (agreed.revision != self.gate.active().revision)
            .then(|| agreed.documents.get(&agreed.revision))
            .flatten()
            .and_then(|document| {
                let active = policy_under(&self.setup, agreed.revision, document);
                let fault =
                    |fault| tracing::error!("policy: revision {} cannot be used: {fault}", agreed.revision);
                active.map_err(fault).ok()
            });
        self.share.update_agreed(now, agreed);
        let name = &self.setup.roster.me.name;
        if let Some(active) = &active {
            tracing::info!("policy: revision {} is in force here", active.revision);
        }
        let owed = self.gate.change(active.map(Arc::new), |gate| gate.applied(now, name, agreed));
        if owed && let Some(change) = &agreed.change {
            let verdict = policy_under(&self.setup, change.revision, &change.document).and_then(|active| {
                let same = active.policy.is_some_and(|policy| policy.silence == change.silence);
                if same { Ok(()) } else { Err("silence: differs from what was proposed".into()) }
            });
            if let Err(why) = &verdict {
                tracing::warn!("policy: change {} is turned down here: {why}", change.id);
            }
            self.gate.change(None, |gate| gate.prepared(change.id, verdict));
        }
    }

    /// The leader's part.
    pub(super) fn act_as_leader(&mut self, now: Micros) {
        let Some(ledger) = &self.ledger else { return };
        if !ledger.leads() {
            self.coordinator = None;
            return;
        }
        let term = ledger.term();
        if self.coordinator.as_ref().is_none_or(|(of, _)| *of != term) {
            tracing::info!("ledger: this conductor leads from term {term} on");
            self.coordinator = Some((term, Coordinator::new(now)));
            self.heartbeats.clear();
        }
        let promoted = ledger.to_promote();
        let Some((_, coordinator)) = &mut self.coordinator else { return };
        for command in coordinator.due(now, ledger.agreed()).into_iter().chain(promoted) {
            self.propose(now, command);
        }
    }

    /// Reports to the leader: where this conductor stands, that it has started, that it would be a member.
    pub(super) fn report_standing(&mut self, now: Micros, moved: bool) {
        let Some(agreed) = agreed(&self.ledger, &self.observed) else { return };
        let (registered, session) = self.gate.look(|gate| (gate.registered(), gate.session()));
        let me = self.setup.roster.me.clone();
        if self.gate.look(Gate::struck) {
            return;
        }
        if !registered {
            let readable = agreed.revision == self.gate.active().revision;
            let member = agreed.members.get(&me.name);
            if member.is_some_and(|peer| peer.address != me.address) && self.recent_proposals.is_empty() {
                tracing::error!(
                    "peers: the others know this conductor at another address; it takes no requests"
                );
            }
            let (member, here) = (member.is_some(), member.is_none_or(|peer| peer.address == me.address));
            if member && here && readable {
                self.propose(now, Command::Register { name: me.name, session });
            } else if !member && self.setup.roster.join {
                self.propose(now, Command::Join(me));
            }
            return;
        }
        let unsaid = self.gate.look(Gate::unsaid);
        let report = self.gate.report(now);
        let often = unsaid || report.standing.is_some() || agreed.silence == policy::Silence::Stop;
        let often = often || self.ledger.as_ref().is_some_and(|ledger| ledger.voters().contains(&me.name));
        let every = if often { REPORT_OFTEN } else { REPORT_SELDOM };
        // What is new is said at once; what was only waiting for its lease, as soon as that is there.
        let news = moved && report.standing.is_some() || unsaid && (moved || report.standing.is_some());
        if !news && now < self.reported_at.saturating_add(every) {
            return;
        }
        self.reported_at = now;
        let Some(ledger) = &self.ledger else {
            if let Some(leader) = self.observed.as_ref().and_then(|seen| seen.leader.as_ref()) {
                self.links.send(leader, PeerMessage::Report(report, None));
            }
            return;
        };
        if ledger.leads() {
            if let Some(Some(grant)) = self.grant(now, report) {
                self.gate.change(None, |gate| gate.granted(grant));
            }
            if self.gate.look(Gate::unsaid) {
                let report = self.gate.report(now);
                self.grant(now, report);
            }
            self.act_as_leader(now);
        } else if let Some(leader) = ledger.leader() {
            let term = ledger.term();
            let echo =
                self.heartbeat.as_ref().filter(|(from, heartbeat)| from == leader && heartbeat.term == term);
            self.links.send(leader, PeerMessage::Report(report, echo.map(|(_, heartbeat)| *heartbeat)));
        }
    }
}

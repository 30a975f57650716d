//! What comes over the links from other conductors.

use super::{Controller, agreed};
use crate::api::Micros;
use crate::control::AUTHORITY;
use crate::control::report::{Grant, Report as Standing};
use crate::control::state::Command;
use crate::ledger::Ledger;
use crate::peers::link::LinkEvent;
use crate::peers::{Heartbeat, Observed, PeerMessage};

impl Controller {
    pub(super) fn on_link_event(&mut self, news: LinkEvent) {
        let now = self.now();
        match (news, &mut self.ledger) {
            (LinkEvent::Message(from, message), Some(_)) => self.on_message(now, from, *message),
            (LinkEvent::Message(from, message), None) => self.on_message_without_ledger(now, from, *message),
            (LinkEvent::Refused(_, Some(session)), _) => {
                if let Some((_, coordinator)) = &mut self.coordinator {
                    coordinator.refused(session);
                }
            }
            (LinkEvent::Up(name), _) => self.share.compare_with(&name),
            (LinkEvent::Down(name), Some(ledger)) => ledger.unreachable(&name),
            _ => {}
        }
    }

    /// What one hears whose store has failed.
    pub(super) fn on_message_without_ledger(&mut self, now: Micros, from: String, message: PeerMessage) {
        match message {
            PeerMessage::Answer(Some(grant), _) => self.gate.change(None, |gate| gate.granted(grant)),
            PeerMessage::Struck(session) => self.gate.change(None, |gate| gate.strike(session)),
            PeerMessage::Alive(datagram) => self.alive.hear(now, &from, &datagram),
            PeerMessage::Observed(seen) => {
                let before = self.observed.as_ref().map_or(0, |seen| seen.applied);
                let member =
                    agreed(&self.ledger, &self.observed).is_some_and(|a| a.members.contains_key(&from));
                if member && seen.applied >= before {
                    let moved = seen.applied > before;
                    self.observed = Some(*seen);
                    if moved {
                        self.recent_proposals.clear();
                        self.apply_agreed();
                        self.report_standing(now, true);
                    }
                }
            }
            PeerMessage::State(_) | PeerMessage::DutyLease(_) | PeerMessage::Claimed(..) => {
                self.on_shared_state_message(now, &from, message)
            }
            _ => {}
        }
    }

    pub(super) fn on_message(&mut self, now: Micros, from: String, message: PeerMessage) {
        let Some(ledger) = &mut self.ledger else { return };
        match message {
            PeerMessage::Ledger(message) => {
                if let Err(fault) = ledger.step(&from, message) {
                    tracing::warn!("ledger: a message of {from} is passed over: {fault}");
                }
            }
            PeerMessage::Report(report, _) if ledger.agreed().gone.contains_key(&from) => {
                self.links.send(&from, PeerMessage::Struck(report.session));
            }
            PeerMessage::Struck(session) => {
                tracing::error!(
                    "peers: {from} says that this conductor is a member no longer; it takes no requests"
                );
                self.gate.change(None, |gate| gate.strike(session));
            }
            PeerMessage::Report(report, echo) => {
                let term = ledger.term();
                if let Some(heartbeat) =
                    echo.filter(|heartbeat| heartbeat.term == term && heartbeat.at <= now)
                {
                    let heard = self.heartbeats.entry(from.clone()).or_insert(heartbeat.at);
                    *heard = heartbeat.at.max(*heard);
                }
                if let Some(grant) = self.grant(now, report) {
                    self.links.send(&from, PeerMessage::Answer(grant, Heartbeat { term, at: now }));
                }
            }
            PeerMessage::Answer(grant, heartbeat) => {
                if heartbeat.term == ledger.term() && ledger.leader() == Some(&from) {
                    self.heartbeat = Some((from, heartbeat));
                }
                if let Some(grant) = grant {
                    self.gate.change(None, |gate| gate.granted(grant));
                }
            }
            PeerMessage::State(_)
            | PeerMessage::DutyAsk(_)
            | PeerMessage::DutyLease(_)
            | PeerMessage::Claim(..)
            | PeerMessage::Claimed(..)
            | PeerMessage::Withdraw(..)
            | PeerMessage::Completed(..) => self.on_shared_state_message(now, &from, message),
            PeerMessage::Alive(datagram) => self.alive.hear(now, &from, &datagram),
            PeerMessage::Observe(applied) => {
                if ledger.applied() >= applied {
                    let leader = ledger.leader().map(str::to_owned);
                    let seen =
                        Observed { applied: ledger.applied(), leader, agreed: ledger.agreed().clone() };
                    self.links.send(&from, PeerMessage::Observed(Box::new(seen)));
                }
            }
            PeerMessage::Observed(_) => {}
            PeerMessage::Ask(command) => {
                let own = match &command {
                    Command::Register { name, .. } => *name == from,
                    Command::Join(peer) => peer.name == from,
                    Command::Propose { .. } | Command::Remove { .. } => true,
                    _ => false,
                };
                if own {
                    self.propose(now, command);
                }
            }
        }
    }

    /// The leader's answer to a report; none from one that does not lead.
    pub(super) fn grant(&mut self, now: Micros, report: Standing) -> Option<Option<Grant>> {
        let authority = self.has_authority(now);
        let (ledger, (term, coordinator)) = (self.ledger.as_ref()?, self.coordinator.as_mut()?);
        (ledger.leads() && ledger.term() == *term)
            .then(|| coordinator.report(now, report, ledger.agreed(), authority))
    }

    /// Whether a majority knew this conductor as its leader so lately that no other can have gone far.
    pub(super) fn has_authority(&self, now: Micros) -> bool {
        let voters = self.ledger.as_ref().map(Ledger::voters).unwrap_or_default();
        let lately = |at: &Micros| now <= at.saturating_add(AUTHORITY);
        let knew = voters.iter().filter(|v| *v == self.me() || self.heartbeats.get(*v).is_some_and(lately));
        !voters.is_empty() && knew.count() > voters.len() / 2
    }
}

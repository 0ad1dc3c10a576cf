//! What other daemons send, and what this one tells them.

use bytes::Bytes;
use catalogue::sync::Reach;
use membership::{Event, Topic};
use peers::{Inbound, Part, Payload};
use types::prelude::*;

use super::Control;
use crate::shared::lock;

impl Control {
    /// Takes what another daemon sent. Questions that no part answers are dropped, which
    /// tells the asker to go elsewhere.
    pub(super) fn take_peer(&mut self, now: Time, inbound: Inbound) {
        let (from, payload) = match inbound {
            Inbound::Message { from, payload } => (from, payload),
            Inbound::Ask { payload, reply, .. } => {
                if let Some(answer) = self.answer_peer(now, &payload) {
                    reply.send(answer);
                }
                return;
            }
        };
        match payload {
            Payload::Membership(message) => {
                let events = self.members.on_message(now, &from, message);
                self.on_members(now, events);
            }
            Payload::Part {
                part: Part::Catalogue,
                body,
            } => {
                let actions = self.catalogue.on_peer(now, &from.id, &body);
                self.perform(now, actions);
            }
            Payload::Part {
                part: Part::Ledger,
                body,
            } => {
                let actions = self.ledger.on_peer(now, &from.id, &body);
                self.perform_ledger(actions);
            }
            Payload::Part {
                part: Part::Session,
                body,
            } => {
                let _ = self.shared.sessions.answer(&body, now);
            }
            Payload::Part {
                part: Part::Poison,
                body,
            } => self.add_up(now, &from.id, &body),
            Payload::Part { part, .. } => {
                tracing::debug!("node: {} sent something for {part:?}, dropped", from.id);
            }
        }
    }

    fn answer_peer(&self, now: Time, payload: &Payload) -> Option<Payload> {
        match payload {
            Payload::Part {
                part: Part::Session,
                body,
            } => self.shared.sessions.answer(body, now),
            _ => None,
        }
    }

    /// Probes, tells news, and takes what that brings.
    pub(super) fn tick_members(&mut self, now: Time) {
        let events = self.members.tick(now);
        self.on_members(now, events);
    }

    fn on_members(&mut self, now: Time, events: Vec<Event>) {
        let mut changed = false;
        for event in events {
            match event {
                Event::MemberUp { .. } => changed = true,
                Event::MemberDown { id, .. } => {
                    changed = true;
                    lock(&self.shared.quality).daemon_gone(now, &id);
                }
                Event::FactChanged {
                    origin,
                    topic: Topic::Progress,
                    ..
                } => self.take_progress(now, &origin),
                Event::FactChanged {
                    origin,
                    topic: topic @ (Topic::Evidence | Topic::Suspension),
                    key,
                } => self.take_evidence(now, &origin, topic, &key),
                Event::FactChanged {
                    origin,
                    topic: Topic::Demand,
                    ..
                } => self.take_demand(&origin),
                _ => {}
            }
        }
        if changed {
            self.catalogue.set_members(self.members.live());
            self.shared.sessions.set_members(self.members.homes());
            self.ledger.set_members(self.members.other_peers());
        }
    }

    /// Shows which revision this daemon has in force.
    pub(super) fn show_progress(&mut self, now: Time, revision: Revision) {
        let value = Bytes::copy_from_slice(&revision.0.to_le_bytes());
        self.members
            .publish(now, Topic::Progress, Bytes::new(), value);
    }

    fn take_progress(&mut self, now: Time, origin: &DaemonId) {
        let mut facts = self.members.facts(Topic::Progress);
        let fact = facts.find(|fact| fact.origin == *origin);
        let revision = fact.and_then(|fact| <[u8; 8]>::try_from(&fact.value[..]).ok());
        let Some(revision) = revision.map(u64::from_le_bytes).map(Revision) else {
            return;
        };
        // The fact may have been long on its way: what the daemon said itself since holds.
        let heard = self.catalogue.sync().heard(origin);
        if heard.is_none_or(|heard| heard.revision < revision) {
            self.catalogue.report(now, origin, revision, Span::ZERO);
        }
    }

    /// The part of the fleet in reach. Membership is slow to bury hundreds when this
    /// daemon is cut off alone; its unanswered probes tell sooner.
    pub(super) fn reach(&self, now: Time) -> Reach {
        let mut reach = self.catalogue.sync().reach(now);
        reach.reached = reach.reached.min(self.members.membership().reachable());
        reach
    }
}

//! Handles messages of other daemons, and publishes this one's progress.

use bytes::Bytes;
use catalogue::sync::Reach;
use membership::{Event, Topic};
use peers::{Inbound, Part, Payload};
use types::prelude::*;

use super::Control;
use crate::shared::lock;

impl Control {
    /// Handles a message of another daemon. A query that no part answers is dropped; its sender is
    /// then refused and can ask another daemon.
    pub(super) fn handle_peer(&mut self, now: Time, inbound: Inbound) {
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
                self.on_membership_events(now, events);
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
            } => self.merge_quarantine(now, &from.id, &body),
            Payload::Part { part, .. } => {
                tracing::debug!("node: dropped a message of {} for {part:?}", from.id);
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

    /// Runs the membership's timed work and handles the events that follow.
    pub(super) fn tick_members(&mut self, now: Time) {
        let events = self.members.tick(now);
        self.on_membership_events(now, events);
    }

    fn on_membership_events(&mut self, now: Time, events: Vec<Event>) {
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
                } => self.merge_progress(now, &origin),
                Event::FactChanged {
                    origin,
                    topic: topic @ (Topic::Evidence | Topic::Suspension),
                    key,
                } => self.merge_evidence(now, &origin, topic, &key),
                Event::FactChanged {
                    origin,
                    topic: Topic::Demand,
                    ..
                } => self.merge_demand(&origin),
                _ => {}
            }
        }
        if changed {
            self.catalogue.set_members(self.members.live());
            self.shared
                .sessions
                .set_members(self.members.session_members());
            self.ledger.set_members(self.members.other_peers());
        }
    }

    /// Publishes the revision that this daemon has in force.
    pub(super) fn publish_progress(&mut self, now: Time, revision: Revision) {
        let value = Bytes::copy_from_slice(&revision.0.to_le_bytes());
        self.members
            .publish(now, Topic::Progress, Bytes::new(), value);
    }

    fn merge_progress(&mut self, now: Time, origin: &DaemonId) {
        let mut facts = self.members.facts(Topic::Progress);
        let fact = facts.find(|fact| fact.origin == *origin);
        let revision = fact.and_then(|fact| <[u8; 8]>::try_from(&fact.value[..]).ok());
        let Some(revision) = revision.map(u64::from_le_bytes).map(Revision) else {
            return;
        };
        // The fact may have been delayed: a revision at least as high that the daemon has reported
        // directly takes precedence.
        let heard = self.catalogue.sync().heard(origin);
        if heard.is_none_or(|heard| heard.revision < revision) {
            self.catalogue.report(now, origin, revision, Span::ZERO);
        }
    }

    /// The part of the fleet in reach. When this daemon is cut off alone, membership takes long to
    /// declare hundreds of others dead; its unanswered probes show it sooner.
    pub(super) fn reach(&self, now: Time) -> Reach {
        let mut reach = self.catalogue.sync().reach(now);
        reach.reached = reach.reached.min(self.members.membership().reachable());
        reach
    }
}

//! Handles received messages.

use rand::Rng;
use types::prelude::*;

use super::{Event, Membership, Outcome};
use crate::member::State;
use crate::message::{Gossip, MemberRecord, Message, Sender};

/// Random members sent to a joining daemon when the repair budget is used up.
const SHORT_PAGE_MEMBERS: usize = 6;

impl Membership {
    /// Handles a message from an authenticated sender.
    pub fn receive(
        &mut self,
        now: Time,
        from: &Sender,
        message: Message,
        rng: &mut impl Rng,
    ) -> Outcome {
        let mut outcome = Outcome::default();
        if !self.accept(now, from, &message, &mut outcome) {
            return outcome;
        }
        self.gossip_budget.refill(now);
        self.repair_budget.refill(now);
        self.join_budget.refill(now);
        let had_urgent = self.rumors.has_urgent();
        let gets_reply = matches!(message, Message::Probe { .. });
        self.dispatch(now, from, message, rng, &mut outcome);
        self.notify_suspected(from, gets_reply, &mut outcome);
        if !had_urgent && self.rumors.has_urgent() {
            self.push_urgent(now, Some(&from.id), rng, &mut outcome);
        }
        outcome
    }

    /// Whether a message is processed. Records the contact with its sender, and reports a duplicate
    /// name or an outdated sender.
    fn accept(
        &mut self,
        now: Time,
        from: &Sender,
        message: &Message,
        outcome: &mut Outcome,
    ) -> bool {
        if !message.is_well_formed() {
            self.counters.malformed += 1;
            return false;
        }
        if from.id == self.local.id {
            let address = from.address;
            if address != self.local.address {
                outcome.events.push(Event::DuplicateName { address });
            }
            return false;
        }
        let known = self.members.get(&from.id).map(|m| m.record.stamp);
        let is_join = matches!(message, Message::Join(_));
        // The sender was paused while a later run took over its name, so its message is outdated.
        if !is_join && known.is_some_and(|known| known.incarnation > from.incarnation) {
            self.counters.stale += 1;
            self.send_successor(from, outcome);
            return false;
        }
        if known.is_some_and(|known| known.incarnation == from.incarnation) {
            self.members.record_contact(&from.id, now);
        }
        true
    }

    fn dispatch(
        &mut self,
        now: Time,
        from: &Sender,
        message: Message,
        rng: &mut impl Rng,
        outcome: &mut Outcome,
    ) {
        match message {
            Message::Probe { seq, gossip } => {
                self.handle_gossip(now, from, gossip, rng, outcome);
                let gossip = self.build_gossip(Some(&from.id));
                self.send(from.address, Message::Ack { seq, gossip }, outcome);
            }
            Message::Ack { seq, gossip } => {
                self.handle_gossip(now, from, gossip, rng, outcome);
                self.on_ack(seq, outcome);
            }
            Message::ProbeFor { seq, target } => {
                self.on_probe_for(now, from, seq, &target, outcome)
            }
            Message::Push(gossip) => self.handle_gossip(now, from, gossip, rng, outcome),
            Message::Join(record) => self.on_join(now, from, record, rng, outcome),
            Message::PageRequest(after) => self.send_page(from, Some(&after), outcome),
            Message::Page { members, next } => {
                for record in &members {
                    self.apply_report(now, record, rng, outcome);
                }
                if let Some(next) = next {
                    self.send(from.address, Message::PageRequest(next), outcome);
                }
            }
            Message::Digest(digest) => self.on_digest(from, &digest, outcome),
            Message::Repair {
                members,
                origins,
                wanted,
            } => {
                let known = self.members.present();
                for record in &members {
                    self.apply_report(now, record, rng, outcome);
                }
                if self.members.present() > known {
                    self.cursor.restart_catch_up();
                }
                for theirs in &origins {
                    self.apply_origin_facts(now, theirs, outcome);
                }
                self.send_wanted(from, &wanted, outcome);
            }
        }
    }

    fn handle_gossip(
        &mut self,
        now: Time,
        from: &Sender,
        gossip: Gossip,
        rng: &mut impl Rng,
        outcome: &mut Outcome,
    ) {
        self.apply_gossip(now, &gossip, rng, outcome);
        if !gossip.attachment.is_empty() {
            outcome.events.push(Event::Attachment {
                from: from.id.clone(),
                bytes: gossip.attachment,
            });
        }
    }

    /// Tells a sender that is recorded as suspect or gone about this, so that it refutes it.
    ///
    /// Otherwise a daemon that was partitioned could talk to others for long without learning that
    /// they consider it down.
    fn notify_suspected(&mut self, from: &Sender, gets_reply: bool, outcome: &mut Outcome) {
        let known = self.members.get(&from.id).map(|member| &member.record);
        let suspected = known.filter(|record| record.state != State::Alive);
        if let Some(record) = suspected.filter(|_| !gets_reply).cloned() {
            self.push_gossip(&record, outcome);
        }
    }

    fn on_ack(&mut self, seq: u32, outcome: &mut Outcome) {
        if let Some((requester, seq)) = self.prober.acknowledge(seq) {
            let gossip = Gossip::default();
            self.send(requester, Message::Ack { seq, gossip }, outcome);
        }
    }

    fn on_probe_for(
        &mut self,
        now: Time,
        from: &Sender,
        requester_seq: u32,
        target: &DaemonId,
        outcome: &mut Outcome,
    ) {
        let Some(to) = self.members.get(target).map(|m| m.record.address) else {
            return;
        };
        let ends_at = now + self.cfg.timing.probe;
        let relay = self
            .prober
            .add_relay(now, from.address, requester_seq, ends_at);
        if let Some(seq) = relay {
            let gossip = self.build_gossip(Some(target));
            self.send(to, Message::Probe { seq, gossip }, outcome);
        }
    }

    fn on_join(
        &mut self,
        now: Time,
        from: &Sender,
        record: MemberRecord,
        rng: &mut impl Rng,
        outcome: &mut Outcome,
    ) {
        let is_own = record.id == from.id
            && record.stamp.incarnation == from.incarnation
            && record.address == from.address
            && record.state == State::Alive;
        if !is_own {
            self.counters.malformed += 1;
            return;
        }
        self.apply_report(now, &record, rng, outcome);
        self.members.record_contact(&from.id, now);
        match self.has_repair_budget() {
            true => self.send_page(from, None, outcome),
            false => self.send_short_page(from, rng, outcome),
        }
    }

    /// Sends a few members to a joining daemon when the budget does not allow a full page.
    ///
    /// When a whole fleet starts at once, the first daemons to join use up the seeds' repair
    /// budget, and the others would know no other member. A daemon that knows a few members soon
    /// learns of the rest.
    fn send_short_page(&mut self, from: &Sender, rng: &mut impl Rng, outcome: &mut Outcome) {
        if self.join_budget.available() == 0 {
            return;
        }
        let mut members = vec![self.local.clone()];
        members.extend(self.successor_of(from));
        members.extend(self.random_peers(SHORT_PAGE_MEMBERS, Some(&from.id), rng));
        let next = None;
        let page = Message::Page { members, next };
        self.join_budget.spend(page.wire_len());
        self.enqueue(from.address, page, outcome);
    }

    /// Sends the members after `after`, as many as fit into a message.
    fn send_page(&mut self, from: &Sender, after: Option<&DaemonId>, outcome: &mut Outcome) {
        if !self.has_repair_budget() {
            return;
        }
        let mut members = Vec::new();
        if after.is_none() {
            members.push(self.local.clone());
            members.extend(self.successor_of(from));
        }
        let mut remaining = self.cfg.budget.message;
        let mut next = None;
        for record in self.members.after(after).map(|member| &member.record) {
            if !record.state.is_present() || record.id == from.id {
                continue;
            }
            let bytes = record.wire_len();
            if bytes > remaining {
                next = members.last().map(|last: &MemberRecord| last.id.clone());
                break;
            }
            remaining -= bytes;
            members.push(record.clone());
        }
        self.send_repair(from.address, Message::Page { members, next }, outcome);
    }

    /// Tells a sender of the later run of its name, so that it stops or raises its incarnation.
    fn send_successor(&mut self, from: &Sender, outcome: &mut Outcome) {
        let members = self.successor_of(from).into_iter().collect();
        let page = Message::Page {
            members,
            next: None,
        };
        if self.has_repair_budget() {
            self.send_repair(from.address, page, outcome);
        }
    }

    /// The later run of the sender's name that this daemon knows of.
    fn successor_of(&self, from: &Sender) -> Option<MemberRecord> {
        let record = &self.members.get(&from.id)?.record;
        (record.stamp.incarnation > from.incarnation).then(|| record.clone())
    }

    /// Whether the budget allows answering with pages and repairs now.
    ///
    /// Many daemons that join at once, or one that sends requests without end, must not use more
    /// than the repair budget; they retry.
    pub(crate) fn has_repair_budget(&self) -> bool {
        self.repair_budget.available() > 0
    }
}

//! Selects the updates to gossip and queues outgoing messages.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use bytes::Bytes;
use rand::Rng;
use rand::seq::index;
use types::prelude::*;

use super::{Membership, Outcome};
use crate::fact::Topic;
use crate::member::State;
use crate::message::{
    Envelope, FactGroup, GROUP_ORIGIN_BYTES, Gossip, MemberRecord, MemberUpdate, Message,
};
use crate::origin::{FactKey, OriginId, OriginTag};
use crate::rumor::{Subject, Urgency};

/// Peers to which urgent updates are sent in one round.
const URGENT_FANOUT: usize = 4;
/// Bytes reserved in each message for urgent updates, regardless of the budget.
const URGENT_RESERVE: usize = 1_024;
/// Maximum number of rumors considered for one message.
const MAX_RUMORS_SCANNED: usize = 512;

type Groups = BTreeMap<(Topic, Bytes, Bytes), Vec<(OriginTag, u64)>>;

/// Builds the gossip for one receiver within its byte limits.
struct GossipBuilder {
    members: Vec<MemberUpdate>,
    groups: Groups,
    remaining: usize,
    urgent_reserve: usize,
    sent: Vec<Subject>,
    obsolete: Vec<Subject>,
}

impl GossipBuilder {
    fn new(remaining: usize) -> Self {
        Self {
            members: Vec::new(),
            groups: BTreeMap::new(),
            remaining,
            urgent_reserve: URGENT_RESERVE,
            sent: Vec::new(),
            obsolete: Vec::new(),
        }
    }

    /// Reserves bytes; returns false if too few remain.
    fn reserve(&mut self, bytes: usize, urgency: Urgency) -> bool {
        if bytes <= self.remaining {
            self.remaining -= bytes;
            return true;
        }
        if urgency == Urgency::Urgent && bytes <= self.urgent_reserve {
            self.urgent_reserve -= bytes;
            return true;
        }
        false
    }

    fn is_full(&self) -> bool {
        self.remaining < GROUP_ORIGIN_BYTES
    }
}

impl Membership {
    /// Gossip for a receiver. A report that the receiver itself is suspect or gone comes first, so
    /// that it can refute it.
    pub(super) fn build_gossip(&mut self, to: Option<&DaemonId>) -> Gossip {
        let remaining = self.gossip_budget.available().min(self.cfg.budget.message);
        let mut builder = GossipBuilder::new(remaining);
        let receiver = to.and_then(|id| self.members.get(id));
        if let Some(member) = receiver.filter(|m| m.record.state != State::Alive) {
            builder.members.push(brief_update(&member.record));
        }
        let queued = self.rumors.queued().take(MAX_RUMORS_SCANNED);
        for (urgency, subject) in queued {
            self.add_rumor(&mut builder, urgency, subject, to);
            if builder.is_full() && urgency != Urgency::Urgent {
                break;
            }
        }
        for subject in &builder.obsolete {
            self.rumors.remove(subject);
        }
        for subject in &builder.sent {
            self.rumors.mark_sent(subject);
        }
        Gossip {
            attachment: self.attachment.clone(),
            members: builder.members,
            facts: fact_groups(builder.groups),
        }
    }

    fn add_rumor(
        &self,
        builder: &mut GossipBuilder,
        urgency: Urgency,
        subject: &Subject,
        to: Option<&DaemonId>,
    ) {
        match subject {
            Subject::Member(id) if Some(id) == to => {}
            Subject::Member(id) => self.add_member_rumor(builder, urgency, subject, id),
            Subject::Fact(id, _) if Some(&id.daemon) == to => {}
            Subject::Fact(id, key) => self.add_fact_rumor(builder, urgency, id, key),
        }
    }

    fn add_member_rumor(
        &self,
        builder: &mut GossipBuilder,
        urgency: Urgency,
        subject: &Subject,
        id: &DaemonId,
    ) {
        let record = if *id == self.local.id {
            Some(&self.local)
        } else {
            self.members.get(id).map(|member| &member.record)
        };
        let Some(record) = record else {
            builder.obsolete.push(subject.clone());
            return;
        };
        let update = member_update(record);
        if builder.reserve(update.wire_len(), urgency) {
            builder.members.push(update);
            builder.sent.push(subject.clone());
        }
    }

    fn add_fact_rumor(
        &self,
        builder: &mut GossipBuilder,
        urgency: Urgency,
        id: &OriginId,
        key: &FactKey,
    ) {
        let subject = || Subject::Fact(id.clone(), key.clone());
        let Some(stored) = self.origins.stored(id, key) else {
            builder.obsolete.push(subject());
            return;
        };
        let group = (key.0, key.1.clone(), stored.value.clone());
        let head = match builder.groups.contains_key(&group) {
            true => 0,
            false => FactGroup::header_len(&key.1, &stored.value),
        };
        if builder.reserve(head + GROUP_ORIGIN_BYTES, urgency) {
            let origins = builder.groups.entry(group).or_default();
            origins.push((id.tag(), stored.seq));
            builder.sent.push(subject());
        }
    }

    /// Queues a message and charges it to the gossip budget.
    pub(crate) fn send(&mut self, to: SocketAddr, message: Message, outcome: &mut Outcome) {
        self.gossip_budget.spend(message.wire_len());
        self.enqueue(to, message, outcome);
    }

    /// Queues a message and charges it to the repair budget.
    pub(crate) fn send_repair(&mut self, to: SocketAddr, message: Message, outcome: &mut Outcome) {
        self.repair_budget.spend(message.wire_len());
        self.enqueue(to, message, outcome);
    }

    pub(super) fn enqueue(&mut self, to: SocketAddr, message: Message, outcome: &mut Outcome) {
        let bytes = message.wire_len();
        self.counters.bytes_sent += bytes as u64;
        self.counters.messages_sent += 1;
        outcome.send.push(Envelope { to, message });
    }

    /// Pushes pending updates to one peer.
    pub(super) fn push_gossip(&mut self, to: &MemberRecord, outcome: &mut Outcome) {
        let gossip = self.build_gossip(Some(&to.id));
        self.send(to.address, Message::Push(gossip), outcome);
    }

    /// Pushes urgent updates to a few peers, with other updates as far as they fit.
    pub(super) fn push_urgent(
        &mut self,
        now: Time,
        except: Option<&DaemonId>,
        rng: &mut impl Rng,
        outcome: &mut Outcome,
    ) {
        self.gossip_budget.refill(now);
        for peer in self.random_peers(URGENT_FANOUT, except, rng) {
            if !self.rumors.has_urgent() {
                return;
            }
            self.push_gossip(&peer, outcome);
        }
    }

    /// Up to `count` distinct random members that are present.
    pub(super) fn random_peers(
        &self,
        count: usize,
        except: Option<&DaemonId>,
        rng: &mut impl Rng,
    ) -> Vec<MemberRecord> {
        let present = self.members.iter().map(|member| &member.record);
        let present = present.filter(|r| r.state.is_present() && Some(&r.id) != except);
        let present = present.collect::<Vec<_>>();
        let chosen = index::sample(rng, present.len(), count.min(present.len()));
        chosen.into_iter().map(|i| present[i].clone()).collect()
    }
}

fn fact_groups(groups: Groups) -> Vec<FactGroup> {
    let groups = groups.into_iter();
    let groups = groups.map(|((topic, key, value), origins)| FactGroup {
        topic,
        key,
        value,
        origins,
    });
    groups.collect()
}

/// A full record for a new daemon. Otherwise a brief update: the receiver knows the daemon, or the
/// digest repairs it.
fn member_update(record: &MemberRecord) -> MemberUpdate {
    if record.state == State::Alive && record.stamp.refutation == 0 {
        MemberUpdate::Full(record.clone())
    } else {
        brief_update(record)
    }
}

fn brief_update(record: &MemberRecord) -> MemberUpdate {
    let origin = OriginId {
        daemon: record.id.clone(),
        incarnation: record.stamp.incarnation,
    };
    MemberUpdate::Brief {
        origin: origin.tag(),
        refutation: record.stamp.refutation,
        state: record.state,
    }
}

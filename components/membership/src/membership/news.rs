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
use crate::message::{Envelope, FactGroup, GROUP_ORIGIN, MemberNews, MemberRecord, Message, News};
use crate::origin::{FactKey, OriginId, OriginTag};
use crate::rumor::{Subject, Urgency};

/// Peers to which urgent updates are sent in one round.
const URGENT_FANOUT: usize = 4;
/// Bytes reserved in each message for urgent updates, regardless of the budget.
const URGENT_ROOM: usize = 1_024;
/// Maximum number of rumors considered for one message.
const MAX_LOOKED_AT: usize = 512;

type Groups = BTreeMap<(Topic, Bytes, Bytes), Vec<(OriginTag, u64)>>;

/// Builds the gossip for one receiver within its byte limits.
struct Draft {
    members: Vec<MemberNews>,
    groups: Groups,
    room: usize,
    urgent_room: usize,
    told: Vec<Subject>,
    outdated: Vec<Subject>,
}

impl Draft {
    fn new(room: usize) -> Self {
        Self {
            members: Vec::new(),
            groups: BTreeMap::new(),
            room,
            urgent_room: URGENT_ROOM,
            told: Vec::new(),
            outdated: Vec::new(),
        }
    }

    /// Reserves bytes; returns false if too few remain.
    fn reserve(&mut self, bytes: usize, urgency: Urgency) -> bool {
        if bytes <= self.room {
            self.room -= bytes;
            return true;
        }
        if urgency == Urgency::Urgent && bytes <= self.urgent_room {
            self.urgent_room -= bytes;
            return true;
        }
        false
    }

    fn is_full(&self) -> bool {
        self.room < GROUP_ORIGIN
    }
}

impl Membership {
    /// Gossip for a receiver. A report that the receiver itself is suspect or gone comes first, so
    /// that it can refute it.
    pub(super) fn news(&mut self, to: Option<&DaemonId>) -> News {
        let room = self.allowance.available().min(self.cfg.budget.message);
        let mut draft = Draft::new(room);
        let accused = to.and_then(|id| self.members.get(id));
        if let Some(member) = accused.filter(|m| m.record.state != State::Alive) {
            draft.members.push(brief(&member.record));
        }
        let waiting = self.rumors.waiting().take(MAX_LOOKED_AT);
        for (urgency, subject) in waiting {
            self.draft(&mut draft, urgency, subject, to);
            if draft.is_full() && urgency != Urgency::Urgent {
                break;
            }
        }
        for subject in &draft.outdated {
            self.rumors.remove(subject);
        }
        for subject in &draft.told {
            self.rumors.told(subject);
        }
        News {
            attachment: self.attachment.clone(),
            members: draft.members,
            facts: into_groups(draft.groups),
        }
    }

    fn draft(&self, draft: &mut Draft, urgency: Urgency, subject: &Subject, to: Option<&DaemonId>) {
        match subject {
            Subject::Member(id) if Some(id) == to => {}
            Subject::Member(id) => self.draft_member(draft, urgency, subject, id),
            Subject::Fact(id, _) if Some(&id.daemon) == to => {}
            Subject::Fact(id, key) => self.draft_fact(draft, urgency, id, key),
        }
    }

    fn draft_member(&self, draft: &mut Draft, urgency: Urgency, subject: &Subject, id: &DaemonId) {
        let record = if *id == self.me.id {
            Some(&self.me)
        } else {
            self.members.get(id).map(|member| &member.record)
        };
        let Some(record) = record else {
            draft.outdated.push(subject.clone());
            return;
        };
        let news = news_of(record);
        if draft.reserve(news.wire_len(), urgency) {
            draft.members.push(news);
            draft.told.push(subject.clone());
        }
    }

    fn draft_fact(&self, draft: &mut Draft, urgency: Urgency, id: &OriginId, key: &FactKey) {
        let subject = || Subject::Fact(id.clone(), key.clone());
        let Some(held) = self.origins.held(id, key) else {
            draft.outdated.push(subject());
            return;
        };
        let group = (key.0, key.1.clone(), held.value.clone());
        let head = match draft.groups.contains_key(&group) {
            true => 0,
            false => FactGroup::head_len(&key.1, &held.value),
        };
        if draft.reserve(head + GROUP_ORIGIN, urgency) {
            let origins = draft.groups.entry(group).or_default();
            origins.push((id.tag(), held.seq));
            draft.told.push(subject());
        }
    }

    /// Queues a message and charges it to the gossip budget.
    pub(crate) fn send(&mut self, to: SocketAddr, message: Message, outcome: &mut Outcome) {
        self.allowance.spend(message.wire_len());
        self.put(to, message, outcome);
    }

    /// Queues a message and charges it to the repair budget.
    pub(crate) fn send_repair(&mut self, to: SocketAddr, message: Message, outcome: &mut Outcome) {
        self.repairs.spend(message.wire_len());
        self.put(to, message, outcome);
    }

    pub(super) fn put(&mut self, to: SocketAddr, message: Message, outcome: &mut Outcome) {
        let bytes = message.wire_len();
        self.counters.bytes_sent += bytes as u64;
        self.counters.messages_sent += 1;
        outcome.send.push(Envelope { to, message });
    }

    /// Pushes pending updates to one peer.
    pub(super) fn push(&mut self, to: &MemberRecord, outcome: &mut Outcome) {
        let news = self.news(Some(&to.id));
        self.send(to.address, Message::Push(news), outcome);
    }

    /// Pushes urgent updates to a few peers, with other updates as far as they fit.
    pub(super) fn push_urgent(
        &mut self,
        now: Time,
        except: Option<&DaemonId>,
        rng: &mut impl Rng,
        outcome: &mut Outcome,
    ) {
        self.allowance.fill(now);
        for peer in self.random_peers(URGENT_FANOUT, except, rng) {
            if !self.rumors.has_urgent() {
                return;
            }
            self.push(&peer, outcome);
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

fn into_groups(groups: Groups) -> Vec<FactGroup> {
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
fn news_of(record: &MemberRecord) -> MemberNews {
    if record.state == State::Alive && record.stamp.refutation == 0 {
        MemberNews::Full(record.clone())
    } else {
        brief(record)
    }
}

fn brief(record: &MemberRecord) -> MemberNews {
    let origin = OriginId {
        daemon: record.id.clone(),
        incarnation: record.stamp.incarnation,
    };
    MemberNews::Brief {
        origin: origin.tag(),
        refutation: record.stamp.refutation,
        state: record.state,
    }
}

//! Queue of updates to gossip, and how often each is still to be sent.
//!
//! Each update is sent a few times; after that the digest covers it. Updates that were sent least
//! often are sent first. Receiving a known update from a peer reduces its remaining sends by one,
//! since others know it too.

use std::collections::{BTreeMap, BTreeSet};

use types::prelude::DaemonId;

use crate::origin::{FactKey, OriginId};

/// Maximum number of queued updates; those beyond it spread by the digest only.
pub(crate) const MAX_RUMORS: usize = 16_384;

/// What a rumor is about; its content is looked up when it is sent.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Subject {
    /// The record of a member.
    Member(DaemonId),
    /// A fact of an origin.
    Fact(OriginId, FactKey),
}

/// Priority of a rumor, highest first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Urgency {
    /// Sent at once.
    Urgent,
    /// Changes of members.
    Member,
    /// All others.
    Normal,
}

#[derive(Debug, Clone, Copy)]
struct Rumor {
    urgency: Urgency,
    sent: u8,
    remaining: u8,
    order: u64,
}

type QueueKey = (Urgency, u8, u64, Subject);

/// Updates that are still to be sent.
#[derive(Debug, Default)]
pub(crate) struct Rumors {
    rumors: BTreeMap<Subject, Rumor>,
    queue: BTreeSet<QueueKey>,
    next_order: u64,
}

impl Rumors {
    pub(crate) fn len(&self) -> usize {
        self.rumors.len()
    }

    /// Queues an update to be sent `times` times, replacing any remaining sends of an earlier one.
    pub(crate) fn add(&mut self, subject: Subject, urgency: Urgency, times: u8) {
        self.remove(&subject);
        if self.rumors.len() >= MAX_RUMORS {
            self.evict_last();
        }
        self.next_order += 1;
        let rumor = Rumor {
            urgency,
            sent: 0,
            remaining: times,
            order: self.next_order,
        };
        self.insert(subject, rumor);
    }

    fn insert(&mut self, subject: Subject, rumor: Rumor) {
        let key = (rumor.urgency, rumor.sent, rumor.order, subject.clone());
        self.queue.insert(key);
        self.rumors.insert(subject, rumor);
    }

    pub(crate) fn remove(&mut self, subject: &Subject) -> bool {
        let Some(rumor) = self.rumors.remove(subject) else {
            return false;
        };
        let key = (rumor.urgency, rumor.sent, rumor.order, subject.clone());
        self.queue.remove(&key)
    }

    fn evict_last(&mut self) {
        if let Some((.., subject)) = self.queue.pop_last() {
            self.rumors.remove(&subject);
        }
    }

    /// Records that a peer sent an update that is already known: it is sent one time less, unless
    /// it is urgent.
    ///
    /// An urgent update reaches each daemon several times within milliseconds, so all daemons
    /// would stop sending it at once. Now and then a daemon would be missed and learn of a
    /// suspension from the digest only, a minute late.
    pub(crate) fn note_duplicate(&mut self, subject: &Subject) {
        let rumor = self.rumors.get_mut(subject);
        let rumor = rumor.filter(|rumor| rumor.urgency != Urgency::Urgent);
        if let Some(rumor) = rumor {
            rumor.remaining = rumor.remaining.saturating_sub(1);
            if rumor.remaining == 0 {
                self.remove(subject);
            }
        }
    }

    /// Whether an urgent update is queued.
    pub(crate) fn has_urgent(&self) -> bool {
        let first = self.queue.first();
        first.is_some_and(|(urgency, ..)| *urgency == Urgency::Urgent)
    }

    /// Queued updates in the order in which they are sent.
    pub(crate) fn queued(&self) -> impl Iterator<Item = (Urgency, &Subject)> {
        let queue = self.queue.iter();
        queue.map(|(urgency, _, _, subject)| (*urgency, subject))
    }

    /// Records that an update was sent once.
    pub(crate) fn mark_sent(&mut self, subject: &Subject) {
        let Some(mut rumor) = self.rumors.get(subject).copied() else {
            return;
        };
        self.remove(subject);
        rumor.sent += 1;
        rumor.remaining -= 1;
        if rumor.remaining > 0 {
            self.insert(subject.clone(), rumor);
        }
    }
}

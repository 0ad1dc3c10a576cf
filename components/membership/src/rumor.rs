//! What is still to be told, and how often.
//!
//! Each change is sent a few times and then left to the digest. What was told least is
//! told first. A peer that tells us what we know takes one off, since others know too.

use std::collections::{BTreeMap, BTreeSet};

use types::prelude::DaemonId;

use crate::origin::{FactKey, OriginId};

/// Changes waiting to be told, at most; beyond it the digest has to do.
pub(crate) const MAX_RUMORS: usize = 16_384;

/// What a rumor is about; its content is looked up when it is told.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Subject {
    /// A member.
    Member(DaemonId),
    /// A fact.
    Fact(OriginId, FactKey),
}

/// Which rumors are told first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Urgency {
    /// At once.
    Urgent,
    /// Changes of members.
    Member,
    /// All other.
    Normal,
}

#[derive(Debug, Clone, Copy)]
struct Rumor {
    urgency: Urgency,
    told: u8,
    left: u8,
    order: u64,
}

type Place = (Urgency, u8, u64, Subject);

/// The changes still to be told.
#[derive(Debug, Default)]
pub(crate) struct Rumors {
    rumors: BTreeMap<Subject, Rumor>,
    queue: BTreeSet<Place>,
    next_order: u64,
}

impl Rumors {
    pub(crate) fn len(&self) -> usize {
        self.rumors.len()
    }

    /// Tells a change so many times, whatever was left of an earlier one.
    pub(crate) fn add(&mut self, subject: Subject, urgency: Urgency, times: u8) {
        self.remove(&subject);
        if self.rumors.len() >= MAX_RUMORS {
            self.drop_last();
        }
        self.next_order += 1;
        let rumor = Rumor {
            urgency,
            told: 0,
            left: times,
            order: self.next_order,
        };
        self.put(subject, rumor);
    }

    fn put(&mut self, subject: Subject, rumor: Rumor) {
        let place = (rumor.urgency, rumor.told, rumor.order, subject.clone());
        self.queue.insert(place);
        self.rumors.insert(subject, rumor);
    }

    pub(crate) fn remove(&mut self, subject: &Subject) -> bool {
        let Some(rumor) = self.rumors.remove(subject) else {
            return false;
        };
        let place = (rumor.urgency, rumor.told, rumor.order, subject.clone());
        self.queue.remove(&place)
    }

    fn drop_last(&mut self) {
        if let Some((.., subject)) = self.queue.pop_last() {
            self.rumors.remove(&subject);
        }
    }

    /// Somebody else told it: one time less to tell, unless it is urgent.
    ///
    /// What is urgent comes to each daemon several times within milliseconds, so all would
    /// fall silent at once, and now and then a daemon is left that nobody told: it would
    /// learn of a suspension from the digest only, a minute late.
    pub(crate) fn heard_again(&mut self, subject: &Subject) {
        let rumor = self.rumors.get_mut(subject);
        let rumor = rumor.filter(|rumor| rumor.urgency != Urgency::Urgent);
        if let Some(rumor) = rumor {
            rumor.left = rumor.left.saturating_sub(1);
            if rumor.left == 0 {
                self.remove(subject);
            }
        }
    }

    /// Whether anything urgent waits.
    pub(crate) fn has_urgent(&self) -> bool {
        let first = self.queue.first();
        first.is_some_and(|(urgency, ..)| *urgency == Urgency::Urgent)
    }

    /// Those to tell next, in order.
    pub(crate) fn waiting(&self) -> impl Iterator<Item = (Urgency, &Subject)> {
        let queue = self.queue.iter();
        queue.map(|(urgency, _, _, subject)| (*urgency, subject))
    }

    /// Notes that it was told once.
    pub(crate) fn told(&mut self, subject: &Subject) {
        let Some(mut rumor) = self.rumors.get(subject).copied() else {
            return;
        };
        self.remove(subject);
        rumor.told += 1;
        rumor.left -= 1;
        if rumor.left > 0 {
            self.put(subject.clone(), rumor);
        }
    }
}

//! Publishes this daemon's own facts.

use bytes::Bytes;
use types::prelude::*;

use super::{FACT_TRANSMISSIONS, Membership, URGENT_TRANSMISSIONS};
use crate::fact::{MAX_FACTS_PER_ORIGIN, PublishError, Topic, check_sizes};
use crate::message::SharedFact;
use crate::origin::{FactKey, OriginId};
use crate::rumor::{Subject, Urgency};

impl Membership {
    /// Publishes a fact. An empty value retracts it.
    ///
    /// Urgent topics are sent with the next [`Membership::flush`] or tick. Others are sent as the
    /// budget allows, always with the latest value: when facts change faster than the budget can
    /// carry, intermediate values are skipped.
    ///
    /// # Errors
    /// Returns an error if the key or value is too long, or if there are too many keys.
    pub fn publish(
        &mut self,
        now: Time,
        topic: Topic,
        key: Bytes,
        value: Bytes,
    ) -> Result<(), PublishError> {
        check_sizes(&key, &value)?;
        let id = self.own_origin();
        let fact_key = (topic, key.clone());
        let stored = self.origins.stored(&id, &fact_key);
        if stored.is_some_and(|stored| stored.value == value) {
            return Ok(());
        }
        let count = self.origins.get(&id).map_or(0, |own| own.facts.len());
        if stored.is_none() && count >= MAX_FACTS_PER_ORIGIN {
            return Err(PublishError::TooMany(count));
        }
        self.own_seq += 1;
        let seq = self.own_seq;
        let fact = SharedFact {
            topic,
            key,
            seq,
            value,
        };
        self.origins.merge(now, &id, &fact);
        self.queue_fact(id, fact_key);
        Ok(())
    }

    /// Queues one of this daemon's facts for sending.
    fn queue_fact(&mut self, id: OriginId, key: FactKey) {
        let (urgency, times) = urgency_of(key.0);
        self.rumors.add(Subject::Fact(id, key), urgency, times);
    }

    /// Queues all facts of this daemon for sending, since others may have dropped them.
    pub(super) fn queue_all_facts(&mut self) {
        let id = self.own_origin();
        let own = self.origins.get(&id);
        let keys = own.into_iter().flat_map(|own| own.facts.keys().cloned());
        for key in keys.collect::<Vec<_>>() {
            self.queue_fact(id.clone(), key);
        }
    }
}

/// Urgency of facts on a topic, and how often they are sent.
pub(super) fn urgency_of(topic: Topic) -> (Urgency, u8) {
    match topic.is_urgent() {
        true => (Urgency::Urgent, URGENT_TRANSMISSIONS),
        false => (Urgency::Normal, FACT_TRANSMISSIONS),
    }
}

//! What this daemon itself says, and how much of it goes out.

use bytes::Bytes;
use types::prelude::*;

use super::{FACT_TIMES, Membership, URGENT_TIMES};
use crate::fact::{MAX_FACTS_PER_ORIGIN, PublishError, Topic, check};
use crate::message::{FactGroup, GROUP_ORIGIN, SharedFact};
use crate::origin::{FactKey, OriginId};
use crate::rumor::{Subject, Urgency};

/// Part of the budget that goes to daemons' own new facts.
const FACT_SHARE: f64 = 0.7;
/// How often a daemon receives one change, as measured by `bench membership`.
const REDUNDANCY: f64 = 2.0;
impl Membership {
    /// Says a fact. An empty value retracts it.
    ///
    /// Urgent topics go out with the next [`Membership::flush`] or tick; others as the
    /// budget allows, each key with its latest value only.
    ///
    /// # Errors
    /// When a part is too long or there are too many keys.
    pub fn publish(
        &mut self,
        now: Time,
        topic: Topic,
        key: Bytes,
        value: Bytes,
    ) -> Result<(), PublishError> {
        check(&key, &value)?;
        let id = self.my_origin();
        let fact_key = (topic, key.clone());
        let held = self.origins.held(&id, &fact_key);
        if held.is_some_and(|held| held.value == value) {
            return Ok(());
        }
        let count = self.origins.get(&id).map_or(0, |own| own.facts.len());
        if held.is_none() && count >= MAX_FACTS_PER_ORIGIN {
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
        self.origins.take(now, &id, &fact);
        self.announce(id, fact_key);
        Ok(())
    }

    /// Queues an own fact for telling.
    fn announce(&mut self, id: OriginId, key: FactKey) {
        if key.0.is_urgent() {
            let subject = Subject::Fact(id, key);
            self.rumors.add(subject, Urgency::Urgent, URGENT_TIMES);
        } else if self.waiting_keys.insert(key.clone()) {
            self.waiting.push_back(key);
        }
    }

    /// Queues every own fact for telling, after others may have dropped them.
    pub(super) fn announce_all(&mut self) {
        let id = self.my_origin();
        let own = self.origins.get(&id);
        let keys = own.into_iter().flat_map(|own| own.facts.keys().cloned());
        for key in keys.collect::<Vec<_>>() {
            self.announce(id.clone(), key);
        }
    }

    /// Lets own facts go as far as this daemon's part of the fleet's bytes allows.
    ///
    /// Every change reaches every daemon, so what one may say falls with their number.
    /// Without this a large fleet's news would outgrow each daemon's budget and the
    /// queues would be full of what has long been replaced.
    pub(super) fn issue_waiting(&mut self, now: Time) {
        let share = FACT_SHARE / (REDUNDANCY * self.fleet_size() as f64);
        self.issue.set_rate(self.cfg.budget.rate as f64 * share);
        self.issue.fill(now);
        let id = self.my_origin();
        while self.issue.available() > 0 {
            let Some(key) = self.waiting.pop_front() else {
                return;
            };
            self.waiting_keys.remove(&key);
            let Some(held) = self.origins.held(&id, &key) else {
                continue;
            };
            self.issue.spend(issue_cost(&key, &held.value));
            let subject = Subject::Fact(id.clone(), key);
            self.rumors.add(subject, Urgency::Normal, FACT_TIMES);
        }
    }
}

/// Bytes that one fact takes on the wire. Progress is mostly told in groups, since most
/// daemons say the same.
fn issue_cost(key: &FactKey, value: &Bytes) -> usize {
    match key.0 {
        Topic::Progress => GROUP_ORIGIN,
        _ => FactGroup::head_len(&key.1, value) + GROUP_ORIGIN,
    }
}

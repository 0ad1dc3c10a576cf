//! Shares quality evidence and suspensions of versions with the other daemons.

use bytes::Bytes;
use membership::Topic;
use types::prelude::*;

use super::Control;
use crate::shared::lock;

impl Control {
    /// Publishes what changed in this daemon's counters and suspensions.
    pub(super) fn publish_evidence(&mut self, now: Time) {
        let facts = lock(&self.shared.quality).take_unpublished_facts(now, &mut rand::rng());
        for fact in facts {
            let topic = if fact.is_suspension() {
                Topic::Suspension
            } else {
                Topic::Evidence
            };
            self.members.publish(now, topic, fact.key, fact.value);
        }
    }

    /// Merges evidence on versions that another daemon published.
    pub(super) fn merge_evidence(
        &mut self,
        now: Time,
        origin: &DaemonId,
        topic: Topic,
        key: &Bytes,
    ) {
        let mut facts = self.members.facts(topic);
        let Some(fact) = facts.find(|fact| fact.origin == *origin && fact.key == *key) else {
            return;
        };
        let mut quality = lock(&self.shared.quality);
        let rng = &mut rand::rng();
        if let Err(error) = quality.merge_fact(now, origin, &fact.key, &fact.value, rng) {
            tracing::warn!("quality: a fact of {origin} is ignored: {error}");
        }
    }
}

//! Shares evidence on versions and suspensions with the other daemons.

use bytes::Bytes;
use membership::Topic;
use types::prelude::*;

use super::Control;
use crate::shared::lock;

impl Control {
    /// Shows what changed in this daemon's counters and suspensions.
    pub(super) fn show_quality(&mut self, now: Time) {
        let cells = lock(&self.shared.quality).take_unpublished_facts(now, &mut rand::rng());
        for cell in cells {
            let topic = if cell.is_suspension() {
                Topic::Suspension
            } else {
                Topic::Evidence
            };
            self.members.publish(now, topic, cell.key, cell.value);
        }
    }

    /// Takes a fact on versions that another daemon shows.
    pub(super) fn take_evidence(
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
            tracing::warn!("quality: a fact of {origin} is passed over: {error}");
        }
    }
}

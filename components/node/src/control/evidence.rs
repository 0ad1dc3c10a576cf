//! Shares quality evidence and suspensions of versions with the other daemons.

use bytes::Bytes;
use membership::Topic;
use types::prelude::*;

use super::Control;
use crate::shared::lock;

impl Control {
    /// Publishes what changed in this daemon's counters and suspensions.
    pub(super) fn publish_evidence(&mut self, now: Time) {
        let cells = lock(&self.shared.quality).own_cells_changed(now, &mut rand::rng());
        for cell in cells {
            let topic = if cell.is_suspension() {
                Topic::Suspension
            } else {
                Topic::Evidence
            };
            self.members.publish(now, topic, cell.key, cell.value);
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
        if let Err(error) = quality.merge(now, origin, &fact.key, &fact.value, rng) {
            tracing::warn!("quality: a fact of {origin} is ignored: {error}");
        }
    }
}

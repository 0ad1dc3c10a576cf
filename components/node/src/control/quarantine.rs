//! Exchanges crash reports and quarantines with the other daemons.

use bytes::Bytes;
use peers::Part;
use poison::{Change, ContentUpdates};
use rand::seq::IteratorRandom;
use types::prelude::*;

use super::Control;
use crate::shared::lock;

/// Number of daemons that an update is sent to at a time: all of a small fleet. Each of them
/// forwards it, so that it reaches a fleet of hundreds after about four rounds.
const GOSSIP_FANOUT: usize = 8;

impl Control {
    /// Merges a peer's updates, and forwards at once those that are new.
    pub(super) fn merge_quarantine(&mut self, now: Time, from: &DaemonId, body: &Bytes) {
        match ContentUpdates::decode(body) {
            Ok(updates) => drop(
                self.shared
                    .quarantine
                    .suspects
                    .lock()
                    .merge_updates(now, updates),
            ),
            Err(e) => tracing::warn!("peers: {from}: {e}"),
        }
        self.gossip_quarantine(now);
    }

    /// Drops expired records, and gossips new updates.
    pub(super) fn tick_quarantine(&mut self, now: Time) {
        let daemons = self.members.membership().fleet_size();
        let upstreams = lock(&self.shared.router).upstreams().count();
        self.shared.quarantine.expire(now, daemons, upstreams);
        self.gossip_quarantine(now);
    }

    fn gossip_quarantine(&mut self, now: Time) {
        let mut suspects = self.shared.quarantine.suspects.lock();
        let (updates, changes) = (suspects.take_updates(now), suspects.take_changes());
        drop(suspects);
        changes.iter().for_each(log_change);
        if updates.0.is_empty() {
            return;
        }
        let body = match updates.encode() {
            Ok(body) => body,
            Err(e) => return tracing::error!("peers: {e}"),
        };
        let others = self.members.other_peers().into_iter();
        for peer in others.sample(&mut rand::rng(), GOSSIP_FANOUT) {
            self.members.send(&peer.id, Part::Poison, body.clone());
        }
    }
}

fn log_change(change: &Change) {
    match change {
        Change::Quarantined(entry) => tracing::warn!(
            "traffic: request {} of {} is quarantined, {} upstreams crashed under it",
            entry.content,
            entry.customer.as_deref().unwrap_or("an unknown customer"),
            entry.crashes.len()
        ),
        Change::Cleared(content) => {
            tracing::info!("traffic: request {content} is no longer quarantined")
        }
    }
}

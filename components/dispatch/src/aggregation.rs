//! Aggregation of the fleet's evidence on roll-outs.
//!
//! Every daemon reports its own counts to the two daemons that watch the store, which add them
//! up. The sums travel with every daemon's heartbeat state, so all daemons judge a roll-out by
//! the same figures. A report and a sum are some dozen bytes whatever the fleet's size; only
//! the watchers receive a report from every daemon.

use std::collections::{BTreeMap, BTreeSet};

use bytes::Bytes;
use serde::{Deserialize, Serialize};
use types::prelude::*;

use crate::evidence::Evidence;

/// Roll-outs remembered; beyond it the oldest are dropped.
const MAX_ORDERS: usize = 8;
/// Most sessions taken from one message.
const MAX_SESSIONS_PER_MESSAGE: usize = 4_096;

/// The fleet's evidence on a roll-out, as daemons exchange it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct RolloutSummary {
    /// Sum over the fleet.
    pub fleet: Evidence,
    /// Whether some daemon found the new version bad.
    pub is_bad: bool,
}

/// Messages on a roll-out between daemons, besides [`RolloutSummary`].
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum RolloutMessage {
    /// Sent to a watcher: the sender's counts and the active sessions it saw.
    Report {
        /// The sender's counts.
        own: Evidence,
        /// Sessions that stay on their version, by [`crate::Gate::mark`].
        staying: Vec<u32>,
    },
    /// Sent to all daemons: sessions that stay on their version.
    Staying {
        /// The store's revision of the order.
        order: u64,
        /// The sessions, by [`crate::Gate::mark`].
        sessions: Vec<u32>,
    },
}

/// Bytes that are not a valid message.
#[derive(Debug, thiserror::Error)]
#[error("a peer's message on a roll-out cannot be read: {0}")]
pub struct RolloutMessageError(#[from] postcard::Error);

impl RolloutMessage {
    /// Encodes the message.
    ///
    /// # Errors
    /// Never for a message of this type.
    pub fn encode(&self) -> Result<Bytes, RolloutMessageError> {
        Ok(postcard::to_allocvec(self)?.into())
    }

    /// Decodes a message.
    ///
    /// # Errors
    /// When the bytes are not a valid message.
    pub fn decode(bytes: &[u8]) -> Result<Self, RolloutMessageError> {
        Ok(postcard::from_bytes(bytes)?)
    }
}

#[derive(Debug, Default)]
struct OrderEvidence {
    reports: BTreeMap<DaemonId, Evidence>,
    /// Counts that daemons reported before they restarted.
    before_restarts: Evidence,
    summary: Option<RolloutSummary>,
    staying: BTreeSet<u32>,
    /// Number of staying sessions already announced.
    announced: usize,
}

impl OrderEvidence {
    /// Replaces a daemon's report. A smaller one comes from a daemon that restarted; its counts
    /// from before still count.
    fn replace(&mut self, from: DaemonId, report: Evidence) {
        let previous = self.reports.insert(from, report);
        if let Some(mut previous) =
            previous.filter(|previous| answer_count(previous) > answer_count(&report))
        {
            previous.new.forget_out();
            previous.old.forget_out();
            self.before_restarts.new.add(&previous.new);
            self.before_restarts.old.add(&previous.old);
        }
    }
}

/// Collected evidence, by the order's revision.
#[derive(Debug, Default)]
pub struct EvidenceAggregator {
    orders: BTreeMap<u64, OrderEvidence>,
}

impl EvidenceAggregator {
    fn order(&mut self, revision: u64) -> &mut OrderEvidence {
        while self.orders.len() > MAX_ORDERS {
            self.orders.pop_first();
        }
        self.orders.entry(revision).or_default()
    }

    /// Handles another daemon's message.
    pub fn handle_message(&mut self, from: DaemonId, message: RolloutMessage) {
        match message {
            RolloutMessage::Report { own, staying } => {
                let order = self.order(own.order);
                order.replace(from, own);
                order
                    .staying
                    .extend(staying.iter().take(MAX_SESSIONS_PER_MESSAGE));
            }
            RolloutMessage::Staying { order, sessions } => {
                let order = self.order(order);
                order
                    .staying
                    .extend(sessions.iter().take(MAX_SESSIONS_PER_MESSAGE));
            }
        }
    }

    /// Merges a sum; the one with more answers is the later one.
    pub fn merge_summary(&mut self, summary: &RolloutSummary) {
        let order = self.order(summary.fleet.order);
        match &mut order.summary {
            Some(previous) => {
                if answer_count(&summary.fleet) > answer_count(&previous.fleet) {
                    previous.fleet = summary.fleet;
                }
                previous.is_bad |= summary.is_bad;
            }
            None => order.summary = Some(summary.clone()),
        }
    }

    /// Records this daemon's own evidence and returns the fleet's as far as known.
    pub fn fleet(&mut self, me: &DaemonId, own: &Evidence) -> RolloutSummary {
        let order = self.order(own.order);
        order.replace(me.clone(), *own);
        let mut sum = Evidence {
            order: own.order,
            ..order.before_restarts
        };
        for report in order.reports.values() {
            sum.new.add(&report.new);
            sum.old.add(&report.old);
            sum.elapsed_ms = sum.elapsed_ms.max(report.elapsed_ms);
        }
        let is_bad = order.summary.as_ref().is_some_and(|summary| summary.is_bad);
        self.merge_summary(&RolloutSummary { fleet: sum, is_bad });
        let summary = self.order(own.order).summary.clone();
        summary.unwrap_or(RolloutSummary { fleet: sum, is_bad })
    }

    /// Marks a roll-out's new version as bad.
    pub fn mark_bad(&mut self, revision: u64) {
        if let Some(summary) = &mut self.order(revision).summary {
            summary.is_bad = true;
        }
    }

    /// Returns every sum, to be sent with the daemon's heartbeat state.
    #[must_use]
    pub fn summaries(&self) -> Vec<RolloutSummary> {
        let summaries = self
            .orders
            .values()
            .filter_map(|order| order.summary.clone());
        summaries.collect()
    }

    /// Returns the sessions that stay on their version.
    #[must_use]
    pub fn staying(&self, revision: u64) -> BTreeSet<u32> {
        let order = self.orders.get(&revision);
        order.map(|order| order.staying.clone()).unwrap_or_default()
    }

    /// Returns a message with the staying sessions if some are new since the last call.
    pub fn unannounced_staying_sessions(&mut self, revision: u64) -> Option<RolloutMessage> {
        let order = self.order(revision);
        if order.staying.len() == order.announced {
            return None;
        }
        order.announced = order.staying.len();
        Some(RolloutMessage::Staying {
            order: revision,
            sessions: order.staying.iter().copied().collect(),
        })
    }
}

fn answer_count(evidence: &Evidence) -> u64 {
    let arms = [evidence.new.sum(), evidence.old.sum()];
    arms.iter()
        .map(|arm| u64::from(arm.sent) + u64::from(arm.answers()))
        .sum()
}

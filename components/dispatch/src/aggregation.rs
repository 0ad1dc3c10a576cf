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
/// Time in which every daemon's first report arrives, in ms.
const FIRST_REPORTS_MS: u32 = 1_000;
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

/// Evidence on one roll-out that this daemon collected.
///
/// The sum of all reports lacks what daemons counted before they restarted, unless this daemon
/// received their earlier reports. A daemon that becomes a collector in the middle of a roll-out
/// did not, so it continues from the last known sum and adds only what daemons count after their
/// first report to it. No answer is added twice; the few between that sum and the first reports are
/// missing.
#[derive(Debug, Default)]
struct OrderEvidence {
    reports: BTreeMap<DaemonId, Evidence>,
    /// Counts of processes that ended, and of those in `reports` up to `counted`.
    base: Evidence,
    /// Part of each report that `base` includes.
    counted: BTreeMap<DaemonId, Evidence>,
    /// When this daemon last continued from the known sum, as time since the order in ms.
    continued_at_ms: Option<u32>,
    summary: Option<RolloutSummary>,
    progress: SummaryProgress,
    staying: BTreeSet<u32>,
    /// Number of staying sessions already announced.
    announced: usize,
}

impl OrderEvidence {
    /// Replaces a daemon's report. A smaller one comes from a daemon that restarted; its counts
    /// from before still count.
    fn replace(&mut self, from: DaemonId, report: Evidence) {
        let Some(previous) = self.reports.insert(from.clone(), report) else {
            if self.continued_at_ms.is_some() {
                self.counted.insert(from, report);
            }
            return;
        };
        if answer_count(&previous) > answer_count(&report) {
            let counted = self.counted.remove(&from).unwrap_or_default();
            self.base.add(&previous.since(&counted).without_out());
        }
    }

    /// Returns the sum of the base and of all reports.
    fn sum(&self, order: u64) -> Evidence {
        let mut sum = Evidence { order, ..self.base };
        for (daemon, report) in &self.reports {
            match self.counted.get(daemon) {
                Some(counted) => sum.add(&report.since(counted)),
                None => sum.add(report),
            }
        }
        sum
    }

    /// Continues from the known sum if this daemon's own is smaller than that was half a second
    /// ago, by which time every report should have arrived.
    fn catch_up(&mut self, me: &DaemonId, own: &Evidence) {
        let known = self.summary.as_ref().map(|summary| summary.fleet);
        let known = known.unwrap_or_default();
        let earlier = self.progress.update(own.elapsed_ms, answer_count(&known));
        let collects = self.reports.len() > 1;
        if collects && answer_count(&self.sum(own.order)) < earlier {
            self.reports = BTreeMap::from([(me.clone(), *own)]);
            self.counted.clone_from(&self.reports);
            self.base = known;
            self.continued_at_ms = Some(own.elapsed_ms);
        }
        let has_all_reports = |since| own.elapsed_ms.saturating_sub(since) >= FIRST_REPORTS_MS;
        if self.continued_at_ms.is_some_and(has_all_reports) {
            self.base = self.base.without_out();
        }
    }
}

/// Growth of the known sum over time.
#[derive(Debug, Default)]
struct SummaryProgress {
    /// Time since the order in ms, in the steps in which daemons report it.
    elapsed_ms: u32,
    /// Number of answers in the sum when this step and the one before began.
    counts: [u64; 2],
}

impl SummaryProgress {
    /// Records the sum's number of answers; returns that of the step before.
    fn update(&mut self, elapsed_ms: u32, count: u64) -> u64 {
        if elapsed_ms > self.elapsed_ms {
            self.elapsed_ms = elapsed_ms;
            self.counts = [count, self.counts[0]];
        }
        self.counts[1]
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
        order.catch_up(me, own);
        let sum = order.sum(own.order);
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

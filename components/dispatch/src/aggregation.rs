//! What the fleet saw of roll-outs, gathered at the daemons that watch the store.
//!
//! Every daemon reports its own counts to the two watchers, which add them up; the sums
//! travel with everybody's standing, so that each daemon judges a roll-out by the same
//! figures. A report and a sum are some dozen bytes whatever the fleet's size; only the
//! watchers take a report from every daemon.

use std::collections::{BTreeMap, BTreeSet};

use bytes::Bytes;
use serde::{Deserialize, Serialize};
use types::prelude::*;

use crate::evidence::Evidence;

/// Roll-outs remembered; the oldest go.
const MAX_ORDERS: usize = 8;
/// Sessions in one message at most.
const MAX_SESSIONS: usize = 4_096;

/// The fleet's figures of a roll-out, as they travel.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct RolloutWord {
    /// The sum over the fleet.
    pub fleet: Evidence,
    /// Some daemon found the new version bad.
    pub is_bad: bool,
}

/// What daemons tell each other of a roll-out besides.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum RolloutMessage {
    /// To a watcher: what the sender saw, and which sessions it saw at work.
    Report {
        /// Its counts.
        own: Evidence,
        /// Sessions that stay on their version, by [`crate::Gate::mark`].
        staying: Vec<u32>,
    },
    /// To everybody: sessions that stay on their version.
    Staying {
        /// The order's revision.
        order: u64,
        /// By [`crate::Gate::mark`].
        sessions: Vec<u32>,
    },
}

/// Bytes that are no message.
#[derive(Debug, thiserror::Error)]
#[error("a peer's word on a roll-out cannot be read: {0}")]
pub struct RolloutMessageError(#[from] postcard::Error);

impl RolloutMessage {
    /// As bytes.
    ///
    /// # Errors
    /// Never for a message of this form.
    pub fn encode(&self) -> Result<Bytes, RolloutMessageError> {
        Ok(postcard::to_allocvec(self)?.into())
    }

    /// From bytes.
    ///
    /// # Errors
    /// When they are not of the expected form.
    pub fn decode(bytes: &[u8]) -> Result<Self, RolloutMessageError> {
        Ok(postcard::from_bytes(bytes)?)
    }
}

#[derive(Debug, Default)]
struct Order {
    reports: BTreeMap<DaemonId, Evidence>,
    /// Sums of daemons that began anew.
    ended: Evidence,
    word: Option<RolloutWord>,
    staying: BTreeSet<u32>,
    /// Sessions that were handed on.
    told: usize,
}

impl Order {
    /// Takes a daemon's report in place of its last one. One that is smaller comes from a
    /// daemon that restarted; what it had seen before still counts.
    fn replace(&mut self, from: DaemonId, report: Evidence) {
        let held = self.reports.insert(from, report);
        if let Some(mut held) = held.filter(|held| size(held) > size(&report)) {
            held.new.forget_out();
            held.old.forget_out();
            self.ended.new.add(&held.new);
            self.ended.old.add(&held.old);
        }
    }
}

/// What was gathered, by the order's revision.
#[derive(Debug, Default)]
pub struct Gathering {
    orders: BTreeMap<u64, Order>,
}

impl Gathering {
    fn order(&mut self, revision: u64) -> &mut Order {
        while self.orders.len() > MAX_ORDERS {
            self.orders.pop_first();
        }
        self.orders.entry(revision).or_default()
    }

    /// Takes another daemon's message.
    pub fn take(&mut self, from: DaemonId, message: RolloutMessage) {
        match message {
            RolloutMessage::Report { own, staying } => {
                let order = self.order(own.order);
                order.replace(from, own);
                order.staying.extend(staying.iter().take(MAX_SESSIONS));
            }
            RolloutMessage::Staying { order, sessions } => {
                let order = self.order(order);
                order.staying.extend(sessions.iter().take(MAX_SESSIONS));
            }
        }
    }

    /// Takes a sum; the one with more answers is the later one.
    pub fn take_word(&mut self, word: &RolloutWord) {
        let order = self.order(word.fleet.order);
        match &mut order.word {
            Some(held) => {
                if size(&word.fleet) > size(&held.fleet) {
                    held.fleet = word.fleet;
                }
                held.is_bad |= word.is_bad;
            }
            None => order.word = Some(word.clone()),
        }
    }

    /// Notes what this daemon itself saw, and returns the fleet's figures as far as known.
    pub fn fleet(&mut self, me: &DaemonId, own: &Evidence) -> RolloutWord {
        let order = self.order(own.order);
        order.replace(me.clone(), *own);
        let mut sum = Evidence {
            order: own.order,
            ..order.ended
        };
        for report in order.reports.values() {
            sum.new.add(&report.new);
            sum.old.add(&report.old);
            sum.elapsed_ms = sum.elapsed_ms.max(report.elapsed_ms);
        }
        let is_bad = order.word.as_ref().is_some_and(|word| word.is_bad);
        self.take_word(&RolloutWord { fleet: sum, is_bad });
        let word = self.order(own.order).word.clone();
        word.unwrap_or(RolloutWord { fleet: sum, is_bad })
    }

    /// Marks a roll-out's version as bad.
    pub fn condemn(&mut self, revision: u64) {
        if let Some(word) = &mut self.order(revision).word {
            word.is_bad = true;
        }
    }

    /// Every sum, to travel with the standing.
    #[must_use]
    pub fn words(&self) -> Vec<RolloutWord> {
        let words = self.orders.values().filter_map(|order| order.word.clone());
        words.collect()
    }

    /// Sessions that stay on their version.
    #[must_use]
    pub fn staying(&self, revision: u64) -> BTreeSet<u32> {
        let order = self.orders.get(&revision);
        order.map(|order| order.staying.clone()).unwrap_or_default()
    }

    /// Sessions to hand on, if some are new since the last time.
    pub fn staying_news(&mut self, revision: u64) -> Option<RolloutMessage> {
        let order = self.order(revision);
        if order.staying.len() == order.told {
            return None;
        }
        order.told = order.staying.len();
        Some(RolloutMessage::Staying {
            order: revision,
            sessions: order.staying.iter().copied().collect(),
        })
    }
}

fn size(evidence: &Evidence) -> u64 {
    let arms = [evidence.new.sum(), evidence.old.sum()];
    arms.iter()
        .map(|arm| u64::from(arm.sent) + u64::from(arm.answers()))
        .sum()
}

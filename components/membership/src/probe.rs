//! Schedules probes and tracks their outcomes.
//!
//! Members are probed in turn in a shuffled order, so that each is probed within a bounded time.
//! New members are inserted at a random position.

use std::collections::VecDeque;
use std::net::SocketAddr;

use rand::seq::SliceRandom;
use rand::{Rng, RngExt};
use types::prelude::*;

/// Number of recent probes from which the reachable part of the fleet is estimated.
const RECENT_OUTCOMES: usize = 10;
/// Minimum number of outcomes for this estimate.
const MIN_OUTCOMES: usize = 3;
/// Maximum number of outstanding probes on behalf of other daemons.
const MAX_RELAYS: usize = 64;

/// A probe that waits for its acknowledgement.
#[derive(Debug, Clone)]
pub(crate) struct PendingProbe {
    pub(crate) target: DaemonId,
    pub(crate) seq: u32,
    /// Time at which others are asked to probe; none once they were asked.
    pub(crate) indirect_at: Option<Time>,
    /// Time at which the target is suspected.
    pub(crate) ends_at: Time,
}

/// An outstanding probe on behalf of another daemon.
#[derive(Debug)]
struct RelayedProbe {
    seq: u32,
    requester: SocketAddr,
    requester_seq: u32,
    ends_at: Time,
}

/// Probe schedule and outstanding probes.
#[derive(Debug, Default)]
pub(crate) struct Prober {
    order: Vec<DaemonId>,
    next: usize,
    last_seq: u32,
    pub(crate) next_at: Time,
    pub(crate) pending: Option<PendingProbe>,
    relays: Vec<RelayedProbe>,
    /// Whether each of the last probes was answered, oldest first.
    outcomes: VecDeque<bool>,
}

impl Prober {
    /// Returns the sequence number for a new probe.
    pub(crate) fn next_seq(&mut self) -> u32 {
        self.last_seq = self.last_seq.wrapping_add(1);
        self.last_seq
    }

    /// Adds a member at a random position.
    pub(crate) fn add(&mut self, id: DaemonId, rng: &mut impl Rng) {
        if self.order.contains(&id) {
            return;
        }
        let index = rng.random_range(0..=self.order.len());
        self.order.insert(index, id);
    }

    /// The next present member. Members that are gone are removed before each new round.
    pub(crate) fn next_target(
        &mut self,
        is_present: impl Fn(&DaemonId) -> bool,
        rng: &mut impl Rng,
    ) -> Option<DaemonId> {
        if self.next >= self.order.len() {
            self.order.retain(|id| is_present(id));
            self.order.shuffle(rng);
            self.next = 0;
        }
        while let Some(id) = self.order.get(self.next) {
            self.next += 1;
            if is_present(id) {
                return Some(id.clone());
            }
        }
        None
    }

    /// Handles an acknowledgement. For an indirect probe, returns the requester's address and its
    /// sequence number.
    pub(crate) fn acknowledge(&mut self, seq: u32) -> Option<(SocketAddr, u32)> {
        if self.pending.as_ref().is_some_and(|p| p.seq == seq) {
            self.pending = None;
            self.record_outcome(true);
        }
        let index = self.relays.iter().position(|relay| relay.seq == seq)?;
        let relay = self.relays.swap_remove(index);
        Some((relay.requester, relay.requester_seq))
    }

    /// Records whether a probe was answered.
    pub(crate) fn record_outcome(&mut self, answered: bool) {
        if self.outcomes.len() >= RECENT_OUTCOMES {
            self.outcomes.pop_front();
        }
        self.outcomes.push_back(answered);
    }

    /// Forgets the outstanding probe and past outcomes.
    pub(crate) fn reset(&mut self) {
        self.pending = None;
        self.outcomes.clear();
    }

    /// Share of the last probes that were answered, from 0 to 1; 1 if too few are known.
    pub(crate) fn answered_ratio(&self) -> f64 {
        if self.outcomes.len() < MIN_OUTCOMES {
            return 1.0;
        }
        let answered = self.outcomes.iter().filter(|answered| **answered).count();
        answered as f64 / self.outcomes.len() as f64
    }

    /// Registers a probe on behalf of another daemon. Returns its sequence number, or none if too
    /// many are outstanding.
    pub(crate) fn add_relay(
        &mut self,
        now: Time,
        requester: SocketAddr,
        requester_seq: u32,
        ends_at: Time,
    ) -> Option<u32> {
        self.relays.retain(|relay| !now.has_reached(relay.ends_at));
        if self.relays.len() >= MAX_RELAYS {
            return None;
        }
        let seq = self.next_seq();
        self.relays.push(RelayedProbe {
            seq,
            requester,
            requester_seq,
            ends_at,
        });
        Some(seq)
    }
}

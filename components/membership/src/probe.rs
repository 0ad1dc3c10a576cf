//! Who is probed when.
//!
//! Members are probed by turns in a shuffled order, so that each is probed within a
//! bounded time, and newcomers join the order at a random place.

use std::collections::VecDeque;
use std::net::SocketAddr;

use rand::seq::SliceRandom;
use rand::{Rng, RngExt};
use types::prelude::*;

/// Probes whose outcome tells how much of the fleet is in reach.
const OUTCOMES: usize = 10;
/// Fewer outcomes than this tell nothing.
const MIN_OUTCOMES: usize = 3;
/// Probes under way for other daemons, at most.
const MAX_RELAYS: usize = 64;

/// A probe that waits for its acknowledgement.
#[derive(Debug, Clone)]
pub(crate) struct Pending {
    pub(crate) target: DaemonId,
    pub(crate) seq: u32,
    /// Others are asked to probe at this moment, unless they were.
    pub(crate) ask_at: Option<Time>,
    /// The target is suspected at this moment.
    pub(crate) ends_at: Time,
}

/// A probe made for another daemon.
#[derive(Debug)]
struct Relay {
    seq: u32,
    asker: SocketAddr,
    asker_seq: u32,
    ends_at: Time,
}

/// Who is probed when.
#[derive(Debug, Default)]
pub(crate) struct Prober {
    order: Vec<DaemonId>,
    next: usize,
    next_seq: u32,
    pub(crate) next_at: Time,
    pub(crate) pending: Option<Pending>,
    relays: Vec<Relay>,
    /// Whether each of the last probes was answered.
    outcomes: VecDeque<bool>,
}

impl Prober {
    /// Numbers a probe.
    pub(crate) fn seq(&mut self) -> u32 {
        self.next_seq = self.next_seq.wrapping_add(1);
        self.next_seq
    }

    /// Puts a newcomer in the order.
    pub(crate) fn add(&mut self, id: DaemonId, rng: &mut impl Rng) {
        if self.order.contains(&id) {
            return;
        }
        let place = rng.random_range(0..=self.order.len());
        self.order.insert(place, id);
    }

    /// The next in the order who is present; those gone are left out from now on.
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

    /// Takes an acknowledgement; gives whom else to tell, and their number for it.
    pub(crate) fn acknowledged(&mut self, seq: u32) -> Option<(SocketAddr, u32)> {
        if self.pending.as_ref().is_some_and(|p| p.seq == seq) {
            self.pending = None;
            self.note(true);
        }
        let place = self.relays.iter().position(|relay| relay.seq == seq)?;
        let relay = self.relays.swap_remove(place);
        Some((relay.asker, relay.asker_seq))
    }

    /// Notes whether a probe was answered.
    pub(crate) fn note(&mut self, answered: bool) {
        if self.outcomes.len() >= OUTCOMES {
            self.outcomes.pop_front();
        }
        self.outcomes.push_back(answered);
    }

    /// Forgets past outcomes.
    pub(crate) fn begin_anew(&mut self) {
        self.pending = None;
        self.outcomes.clear();
    }

    /// Share of the last probes that were answered.
    pub(crate) fn answered_share(&self) -> f64 {
        if self.outcomes.len() < MIN_OUTCOMES {
            return 1.0;
        }
        let answered = self.outcomes.iter().filter(|answered| **answered).count();
        answered as f64 / self.outcomes.len() as f64
    }

    /// Remembers for whom a probe is made; gives its number unless too many wait.
    pub(crate) fn relay(
        &mut self,
        now: Time,
        asker: SocketAddr,
        asker_seq: u32,
        ends_at: Time,
    ) -> Option<u32> {
        self.relays.retain(|relay| !now.has_reached(relay.ends_at));
        if self.relays.len() >= MAX_RELAYS {
            return None;
        }
        let seq = self.seq();
        self.relays.push(Relay {
            seq,
            asker,
            asker_seq,
            ends_at,
        });
        Some(seq)
    }
}

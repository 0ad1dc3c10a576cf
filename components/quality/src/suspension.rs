//! Suspensions as counters that only grow.
//!
//! Each stream has two counters: the number of its suspensions, and the number of the last one that
//! was lifted. It is suspended while the first is larger. Both merge by taking the larger, so the
//! order, repetition and loss of messages do not matter. A suspension ends only at an operator's
//! request. Several daemons publish each suspension, since the one that detected it may be replaced
//! within a minute.

use std::collections::{BTreeMap, BTreeSet};

use rand::{Rng, RngExt};
use types::prelude::*;

use crate::stream::StreamId;

/// Minimum number of daemons that publish each suspension.
const MIN_PUBLISHERS: usize = 3;

/// Counters of one stream's suspensions.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub(crate) struct SuspensionCounters {
    pub(crate) suspended: u32,
    pub(crate) lifted: u32,
}

impl SuspensionCounters {
    pub(crate) fn is_active(self) -> bool {
        self.suspended > self.lifted
    }

    fn merged(self, other: Self) -> Self {
        Self {
            suspended: self.suspended.max(other.suspended),
            lifted: self.lifted.max(other.lifted),
        }
    }
}

/// Suspension state of one stream, and the daemons known to publish it.
#[derive(Debug, Clone, Default)]
struct State {
    counters: SuspensionCounters,
    published: Option<SuspensionCounters>,
    publishers: BTreeSet<DaemonId>,
}

/// All suspensions, past ones included.
#[derive(Debug, Clone, Default)]
pub(crate) struct Suspensions {
    by_stream: BTreeMap<StreamId, State>,
}

impl Suspensions {
    pub(crate) fn is_active(&self, id: StreamId) -> bool {
        self.by_stream
            .get(&id)
            .is_some_and(|state| state.counters.is_active())
    }

    /// Begins a suspension unless one is active; it is due for publication at once.
    pub(crate) fn begin(&mut self, id: StreamId) {
        let state = self.by_stream.entry(id).or_default();
        if !state.counters.is_active() {
            state.counters.suspended = state.counters.lifted + 1;
            state.publishers.clear();
        }
    }

    /// Ends the active suspension; returns whether there was one.
    pub(crate) fn lift(&mut self, id: StreamId) -> bool {
        let Some(state) = self.by_stream.get_mut(&id) else {
            return false;
        };
        let was_active = state.counters.is_active();
        if was_active {
            state.counters.lifted = state.counters.suspended;
            state.publishers.clear();
        }
        was_active
    }

    /// Merges a peer's counters.
    pub(crate) fn merge(&mut self, origin: &DaemonId, id: StreamId, counters: SuspensionCounters) {
        let state = self.by_stream.entry(id).or_default();
        let merged = state.counters.merged(counters);
        if merged != state.counters {
            state.counters = merged;
            state.publishers.clear();
        }
        if counters == state.counters && state.publishers.len() < MIN_PUBLISHERS {
            state.publishers.insert(origin.clone());
        }
    }

    /// Forgets that a daemon publishes suspensions, after it is gone.
    pub(crate) fn forget(&mut self, origin: &DaemonId) {
        for state in self.by_stream.values_mut() {
            state.publishers.remove(origin);
        }
    }

    /// Returns the counters that this daemon should publish now.
    ///
    /// While fewer than [`MIN_PUBLISHERS`] others publish a suspension, each daemon joins with a
    /// probability at which about that many join per tick. Otherwise the suspension would be lost
    /// together with the daemon that detected it.
    pub(crate) fn take_unpublished(
        &mut self,
        fleet: usize,
        rng: &mut impl Rng,
    ) -> Vec<(StreamId, SuspensionCounters)> {
        let probability = MIN_PUBLISHERS as f64 / fleet.max(1) as f64;
        let mut due = Vec::new();
        for (id, state) in &mut self.by_stream {
            let unpublished = state.published != Some(state.counters);
            let too_few_publishers = state.publishers.len() < MIN_PUBLISHERS;
            let unconditional = state.published.is_some() || state.publishers.is_empty();
            if unpublished
                && (unconditional || (too_few_publishers && rng.random_bool(probability.min(1.0))))
            {
                state.published = Some(state.counters);
                due.push((*id, state.counters));
            }
        }
        due
    }
}

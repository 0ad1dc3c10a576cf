//! Preemption of this daemon's batch requests by interactive ones.
//!
//! Reports lag, so when batch work fills all slots, an interactive request often meets a full
//! upstream and waits until a request ends there. This daemon knows for certain where its own batch
//! requests run: one of them can be cancelled and resumed later, and its slot goes to the
//! interactive request, to which engines give priority.

use types::prelude::*;

use crate::demand::UpstreamIndex;
use crate::router::{Entry, Router};

/// Estimated load from which a batch request is preempted. Estimates lag, but below this value a
/// free slot is all but certain.
const PREEMPTION_LOAD: f64 = 0.7;

impl Router {
    /// Counts a batch attempt that can be cancelled and resumed.
    pub fn preemptible_started(&mut self, index: UpstreamIndex) {
        if let Some(entry) = self.entry_mut(index) {
            entry.upstream.batch_in_flight += 1;
            self.preemptible.insert(index);
        }
    }

    /// Counts the end of such a batch attempt.
    pub fn preemptible_ended(&mut self, index: UpstreamIndex) {
        let Some(entry) = self.entry_mut(index) else {
            return;
        };
        entry.upstream.batch_in_flight = entry.upstream.batch_in_flight.saturating_sub(1);
        if entry.upstream.batch_in_flight == 0 {
            self.preemptible.remove(&index);
        }
    }

    /// Whether one of this daemon's batch requests at an upstream should be cancelled in favour of
    /// an interactive one being sent there. Call it between [`Router::pick`] and
    /// [`Router::started`].
    #[must_use]
    pub fn should_preempt_batch(&self, now: Time, index: UpstreamIndex) -> bool {
        self.entry(index).is_some_and(|entry| {
            let mean_others = self.mean_others_of(entry);
            let after =
                entry.upstream.load(now, mean_others) + 1.0 / f64::from(entry.upstream.slots);
            entry.upstream.batch_in_flight > 0 && after > PREEMPTION_LOAD
        })
    }

    fn mean_others_of(&self, entry: &Entry) -> f64 {
        let target = entry.upstream.loaded.first();
        target.map_or(0.0, |target| self.pools[target.as_usize()].mean_others)
    }
}

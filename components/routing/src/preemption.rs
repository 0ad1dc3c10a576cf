//! Batch work that can give way to interactive work.
//!
//! Reports lag, so with batch work filling all slots an interactive request often meets a
//! full upstream and waits until something ends there. This daemon knows for certain where
//! its own batch requests run: one of them can be cancelled, and resumed later, and its slot
//! goes to the interactive request, since engines put that first.

use types::prelude::*;

use crate::demand::UpstreamIndex;
use crate::router::{Entry, Router};

/// Estimated load at which a batch request is asked to give way. Estimates lag; below this
/// one a free slot is all but certain.
const FULL_LOAD: f64 = 0.7;

impl Router {
    /// Counts a batch attempt that can be cancelled and resumed.
    pub fn batch_started(&mut self, index: UpstreamIndex) {
        if let Some(entry) = self.entry_mut(index) {
            entry.upstream.batch += 1;
            self.yielding.insert(index);
        }
    }

    /// Counts the end of such an attempt.
    pub fn batch_ended(&mut self, index: UpstreamIndex) {
        let Some(entry) = self.entry_mut(index) else {
            return;
        };
        entry.upstream.batch = entry.upstream.batch.saturating_sub(1);
        if entry.upstream.batch == 0 {
            self.yielding.remove(&index);
        }
    }

    /// Whether one of this daemon's batch requests at an upstream should give way to an
    /// interactive one that is being sent there. To be asked between `pick` and `started`.
    #[must_use]
    pub fn must_give_way(&self, now: Time, index: UpstreamIndex) -> bool {
        self.entry(index).is_some_and(|entry| {
            let usual = self.usual_of(entry);
            let after = entry.upstream.load(now, usual) + 1.0 / f64::from(entry.upstream.slots);
            entry.upstream.batch > 0 && after > FULL_LOAD
        })
    }

    fn usual_of(&self, entry: &Entry) -> f64 {
        let target = entry.upstream.loaded.first();
        target.map_or(0.0, |target| self.candidates[target.slot()].usual_others)
    }
}

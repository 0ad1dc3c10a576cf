//! Which upstreams to ask for their load.
//!
//! Each answer brings a short report, so asking serves to learn of upstreams that this daemon
//! has not used of late, and of what they have loaded. Those of its subsets are asked often,
//! the others in rotation; how many at once is bounded by the caller, not by the fleet.

use types::prelude::*;

use crate::demand::UpstreamIndex;
use crate::router::{Entry, Router};

/// Intervals between two polls of an upstream outside the subsets.
const ROTATION: u64 = 10;

impl Router {
    /// Upstreams whose poll is due, longest overdue first, at most `limit`. Those of the
    /// subsets are due again after `interval`.
    pub fn due_polls(&mut self, now: Time, interval: Span, limit: usize) -> Vec<UpstreamIndex> {
        let mut due = Vec::new();
        while due.len() < limit {
            let first = self.polls.first().copied();
            let Some((_, index)) = first.filter(|(at, _)| now.has_reached(*at)) else {
                break;
            };
            let rounds = if self.is_in_subset(index) {
                1
            } else {
                ROTATION
            };
            self.schedule_poll(index, now + interval.times(rounds));
            due.push(index);
        }
        due
    }

    pub(crate) fn schedule_poll(&mut self, index: UpstreamIndex, at: Time) {
        self.cancel_poll(index);
        if let Some(entry) = self.entry_mut(index) {
            entry.upstream.poll_at = at;
            self.polls.insert((at, index));
        }
    }

    pub(crate) fn cancel_poll(&mut self, index: UpstreamIndex) {
        if let Some(at) = self.upstream(index).map(|upstream| upstream.poll_at) {
            self.polls.remove(&(at, index));
        }
    }

    /// Whether this daemon samples the upstream for any target. Ejected ones are asked as
    /// often, so that their return is to a known load.
    #[must_use]
    pub fn is_in_subset(&self, index: UpstreamIndex) -> bool {
        let Some(entry) = self.entry(index) else {
            return false;
        };
        entry.upstream.health.is_ejected() || self.is_sampled(index, entry)
    }

    fn is_sampled(&self, index: UpstreamIndex, entry: &Entry) -> bool {
        let size = self.tuning.subset;
        entry.upstream.loaded.iter().any(|target| {
            let pool = &self.candidates[target.slot()];
            pool.place_of(index, entry.ranks) < size
        })
    }
}

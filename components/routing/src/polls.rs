//! Schedule of the load polls.
//!
//! Each answer carries a short load report, so polls are needed only for the load of upstreams that
//! this daemon has not used recently, and for the targets that upstreams have loaded. Upstreams in
//! the daemon's subsets are polled often, the others in rotation. The caller limits how many are
//! polled at once, so the number of polls does not grow with the fleet.

use types::prelude::*;

use crate::demand::UpstreamIndex;
use crate::router::{Entry, Router};

/// Number of intervals between two polls of an upstream outside the subsets.
const ROTATION_INTERVALS: u64 = 10;

impl Router {
    /// Returns the upstreams whose poll is due, longest overdue first, at most `limit`. Those in
    /// the subsets are due again after `interval`.
    pub fn due_polls(&mut self, now: Time, interval: Span, limit: usize) -> Vec<UpstreamIndex> {
        let mut due = Vec::new();
        while due.len() < limit {
            let first = self.polls.first().copied();
            let Some((_, index)) = first.filter(|(at, _)| now.has_reached(*at)) else {
                break;
            };
            let intervals = if self.is_in_subset(index) {
                1
            } else {
                ROTATION_INTERVALS
            };
            self.schedule_poll(index, now + interval.times(intervals));
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

    /// Whether this daemon samples the upstream for any target or it is ejected. Ejected ones are
    /// polled as often, so that their load is known when they return.
    #[must_use]
    pub fn is_in_subset(&self, index: UpstreamIndex) -> bool {
        let Some(entry) = self.entry(index) else {
            return false;
        };
        entry.upstream.health.is_ejected() || self.is_sampled(index, entry)
    }

    fn is_sampled(&self, index: UpstreamIndex, entry: &Entry) -> bool {
        let subset = self.tuning.subset;
        entry.upstream.loaded.iter().any(|target| {
            let pool = &self.pools[target.as_usize()];
            pool.position_of(index, entry.keys) < subset
        })
    }
}

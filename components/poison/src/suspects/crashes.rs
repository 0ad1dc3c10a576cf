//! Crashes of upstreams, whatever requests were in flight there, and their rate.

use std::collections::{BTreeSet, HashMap};

use types::prelude::*;

use crate::updates::UpstreamInstance;

/// Crashes remembered at most, to compute their rate.
const MAX_CRASHES: usize = 4_096;
/// Longer than the crashes of any content are kept, so that the rate at their time does not change
/// afterwards.
const CRASHES_KEPT: Span = Span::from_secs(3_600);
/// Crashes added to those seen, so that the rate is never 0.
const UNSEEN_CRASHES: f64 = 0.5;
/// The least rate is computed for at least this many upstreams, since fewer say too little about
/// how rare crashes are: with one, the rate assumed without any crash would excuse three in a
/// second.
const MIN_UPSTREAMS: usize = 8;

/// Recent crashes of upstreams, whatever requests were in flight there.
#[derive(Debug, Default)]
pub(crate) struct UpstreamCrashes {
    crashed_at: HashMap<UpstreamInstance, Time>,
    pub(crate) upstreams: usize,
}

impl UpstreamCrashes {
    pub(crate) fn record(&mut self, upstream: &UpstreamInstance, at: Time) {
        if self.crashed_at.len() < MAX_CRASHES {
            self.crashed_at.entry(upstream.clone()).or_insert(at);
        }
    }

    pub(crate) fn expire(&mut self, now: Time) {
        self.crashed_at
            .retain(|_, at| now.since(*at) < CRASHES_KEPT);
    }

    /// The least rate to assume, per upstream and second: half a crash more than were seen.
    pub(crate) fn min_rate(&self, over: Span) -> f64 {
        UNSEEN_CRASHES / (self.upstreams.max(MIN_UPSTREAMS) as f64 * over.as_secs_f64())
    }

    /// Crashes per upstream and second, without those of `excluded`, in the time that starts
    /// `before` earlier than `from` and lasts until `to`.
    pub(crate) fn rate(
        &self,
        before: Span,
        from: Time,
        to: Time,
        excluded: &BTreeSet<UpstreamInstance>,
    ) -> f64 {
        let from = from - before;
        let over = (to.since(from)).max(before).as_secs_f64();
        let crashes = self.crashed_at.iter();
        let crashes = crashes
            .filter(|(upstream, at)| **at >= from && **at <= to && !excluded.contains(*upstream));
        crashes.count() as f64 / (self.upstreams.max(1) as f64 * over)
    }
}

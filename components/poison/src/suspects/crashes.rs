//! Ends of upstreams, whatever ran there, and how often they come.

use std::collections::{BTreeSet, HashMap};

use types::prelude::*;

use crate::updates::UpstreamRun;

/// Ends of upstreams remembered, for the rate at which they come,
const MAX_ENDS: usize = 4_096;
/// for longer than what is held against any content, so that the rate of its time stays as it was.
const ENDS_REMEMBERED: Span = Span::from_secs(3_600);
/// A rate is never taken for nothing.
const UNSEEN_ENDS: f64 = 0.5;
/// Fewer upstreams than these say too little of how rare their ends are: with one, the rate that is
/// taken for nothing would excuse three ends in a second.
const FEW_UPSTREAMS: usize = 8;

/// Ends of upstreams, whatever ran there.
#[derive(Debug, Default)]
pub(crate) struct Ends {
    at: HashMap<UpstreamRun, Time>,
    pub(crate) upstreams: usize,
}

impl Ends {
    pub(crate) fn note(&mut self, upstream: &UpstreamRun, at: Time) {
        if self.at.len() < MAX_ENDS {
            self.at.entry(upstream.clone()).or_insert(at);
        }
    }

    pub(crate) fn forget(&mut self, now: Time) {
        self.at.retain(|_, at| now.since(*at) < ENDS_REMEMBERED);
    }

    /// What is taken for the rate at least: half an end more than were seen.
    pub(crate) fn least_rate(&self, over: Span) -> f64 {
        UNSEEN_ENDS / (self.upstreams.max(FEW_UPSTREAMS) as f64 * over.as_secs_f64())
    }

    /// Ends of one upstream a second, other than `but`, from so long before the first of two
    /// moments to the second.
    pub(crate) fn rate(
        &self,
        before: Span,
        from: Time,
        to: Time,
        but: &BTreeSet<UpstreamRun>,
    ) -> f64 {
        let from = from - before;
        let over = (to.since(from)).max(before).as_secs_f64();
        let ends = self.at.iter();
        let ends =
            ends.filter(|(upstream, at)| **at >= from && **at <= to && !but.contains(*upstream));
        ends.count() as f64 / (self.upstreams.max(1) as f64 * over)
    }
}

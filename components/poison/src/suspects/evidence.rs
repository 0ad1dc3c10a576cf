//! How well a content explains the ends of the upstreams that it ran at.
//!
//! Of two requests that three upstreams ended under, the one that ends them is there within a
//! moment of each run's begin; the other was caught in long runs, or where many upstreams end.
//! So the ends are held against chance: upstreams end at some rate by themselves, a content has run
//! for some time in all, and the number of ends that fall into it by chance is Poisson's.

use std::collections::{BTreeMap, BTreeSet};

use types::prelude::*;

use crate::word::UpstreamRun;

/// Ends kept of one content; more say nothing more.
const MAX_ENDS: usize = 16;
/// A run counts for this long at least: an end is noticed some ten ms after it.
const LEAST_RAN: Span = Span::from_millis(20);

/// An upstream's end under a content.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct End {
    /// How long the content had run there.
    pub(crate) ran: Span,
    pub(crate) at: Time,
}

/// What is held against one content.
#[derive(Debug, Clone, Default)]
pub(crate) struct Suspect {
    pub(crate) ends: BTreeMap<UpstreamRun, End>,
    /// When some daemon last sent it to see whether its bar holds.
    pub(crate) tried_at: Option<Time>,
    /// Since when it is barred, as far as known here.
    pub(crate) barred_since: Option<Time>,
}

/// How often upstreams end by themselves.
pub(crate) trait Hazard {
    /// Ends of one upstream a second between two moments, other than `explained`.
    fn rate(&self, from: Time, to: Time, explained: &BTreeSet<UpstreamRun>) -> f64;
}

impl Suspect {
    /// Adds an end; whether it is news. The shorter run counts where two tell of one end.
    pub(crate) fn add(&mut self, upstream: UpstreamRun, end: End) -> bool {
        if let Some(held) = self.ends.get_mut(&upstream) {
            let is_shorter = end.ran < held.ran;
            held.ran = held.ran.min(end.ran);
            return is_shorter;
        }
        if self.ends.len() >= MAX_ENDS {
            self.drop_oldest();
        }
        self.ends.insert(upstream, end);
        true
    }

    fn drop_oldest(&mut self) {
        let oldest = self.ends.iter().min_by_key(|(_, end)| end.at);
        if let Some(upstream) = oldest.map(|(upstream, _)| upstream.clone()) {
            self.ends.remove(&upstream);
        }
    }

    /// When the last upstream ended under it.
    pub(crate) fn last_at(&self) -> Time {
        let ends = self.ends.values().map(|end| end.at);
        ends.max().unwrap_or_default()
    }

    /// Ends that nothing else explains, and how likely they are by chance.
    pub(crate) fn unexplained(
        &self,
        explained: &BTreeSet<UpstreamRun>,
        hazard: &impl Hazard,
    ) -> (usize, f64) {
        let ends = self.ends.iter();
        let ends = ends.filter(|(upstream, _)| !explained.contains(*upstream));
        let ends = ends.map(|(_, end)| *end).collect::<Vec<_>>();
        let ran = ends.iter().map(|end| end.ran.max(LEAST_RAN).as_secs_f64());
        let first = ends.iter().map(|end| end.at).min().unwrap_or_default();
        let last = ends.iter().map(|end| end.at).max().unwrap_or_default();
        let expected = hazard.rate(first, last, explained) * ran.sum::<f64>();
        (ends.len(), chance(ends.len(), expected))
    }
}

/// At most how likely so many ends or more are where `expected` are: Poisson's tail.
fn chance(ends: usize, expected: f64) -> f64 {
    (1..=ends).map(|n| expected / n as f64).product()
}

//! How well a content explains the ends of the upstreams that it ran at.
//!
//! Of two requests that three upstreams ended under, the one that ends them is there within a
//! moment of each run's begin; the other was caught in long runs, or where many upstreams end.
//! So the ends are held against chance: upstreams end at some rate by themselves, a content has run
//! for some time in all, and the number of ends that fall into it by chance is Poisson's.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use types::prelude::*;

use super::Barred;
use super::crashes::Ends;
use crate::content::Content;
use crate::policy::PoisonPolicy;
use crate::updates::UpstreamRun;

/// Ends kept of one content; more say nothing more.
const MAX_ENDS: usize = 16;
/// A run counts for this long at least: an end is noticed some ten ms after it.
const LEAST_RAN: Span = Span::from_millis(20);

/// The usual rate of ends is taken over this long before a content's first, its own among them,
const USUAL_OVER: Span = Span::from_secs(60);
/// and held against that of others from this long before it on: ends come in bursts, in which
/// much is hit three times by chance.
const BURST_BEFORE: Span = Span::from_secs(2);
/// What runs beside a content that ends its upstream has run for up to this long by then, in
/// seconds: half an answer's time.
const BESIDE_S: f64 = 0.5;

/// An upstream's end under a content.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct End {
    /// Whether there was a sign that the content ran there.
    pub(crate) had_begun: bool,
    /// How long it had run there.
    pub(crate) ran: Span,
    pub(crate) at: Time,
}

impl End {
    fn ran_s(&self) -> f64 {
        self.ran.max(LEAST_RAN).as_secs_f64()
    }
}

/// What is held against one content.
#[derive(Debug, Clone, Default)]
pub(crate) struct Suspect {
    pub(crate) customer: Option<Arc<str>>,
    pub(crate) ends: BTreeMap<UpstreamRun, End>,
    /// When some daemon last sent it to see whether its bar holds.
    pub(crate) tried_at: Option<Time>,
    /// Since when it is barred, as far as known here.
    pub(crate) barred_since: Option<Time>,
    /// Others proved it; what is known here need not.
    pub(crate) is_told: bool,
}

impl Suspect {
    /// Adds an end; whether it is news. Where two tell of one end the run that had begun counts,
    /// and of these the shorter.
    pub(crate) fn add(&mut self, upstream: UpstreamRun, end: End) -> bool {
        if let Some(held) = self.ends.get_mut(&upstream) {
            let is_better = (!end.had_begun, end.ran) < (!held.had_begun, held.ran);
            if is_better {
                held.had_begun = end.had_begun;
                held.ran = end.ran;
            }
            return is_better;
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

    /// The ends that count. Of a content that was seen to run somewhere, those under which it had
    /// begun: elsewhere it only waited beside what ended them. One that ends upstreams before the
    /// first sign of an answer never was seen to run.
    pub(crate) fn counted(&self) -> impl Iterator<Item = (&UpstreamRun, &End)> {
        let has_begun = self.ends.values().any(|end| end.had_begun);
        let ends = self.ends.iter();
        ends.filter(move |(_, end)| end.had_begun || !has_begun)
    }

    /// How many ends count.
    pub(crate) fn count(&self) -> usize {
        self.counted().count()
    }

    /// When the last upstream ended under it.
    pub(crate) fn last_at(&self) -> Time {
        let ends = self.counted().map(|(_, end)| end.at);
        ends.max().unwrap_or_default()
    }

    /// When its bar lapses.
    pub(crate) fn lapses_at(&self, policy: &PoisonPolicy) -> Time {
        self.last_at() + policy.bar_for(self.count())
    }

    /// Its bar, if it is barred.
    pub(crate) fn bar(&self, content: Content, policy: &PoisonPolicy) -> Option<Barred> {
        let ends = self.counted();
        let ends = ends.map(|(upstream, end)| (upstream.clone(), end.ran));
        Some(Barred {
            content,
            customer: self.customer.clone(),
            since: self.barred_since?,
            until: self.lapses_at(policy),
            ends: ends.collect(),
        })
    }

    /// How likely its ends are by chance, if nothing else explains all of them.
    ///
    /// One that another content explains says less, but not nothing: what only ran beside the
    /// culprit is anywhere in its run then, and seldom has just begun.
    pub(crate) fn chance(&self, explained: &BTreeSet<UpstreamRun>, ends: &Ends) -> Option<f64> {
        let (others, own): (Vec<_>, Vec<_>) = self
            .counted()
            .partition(|(upstream, _)| explained.contains(*upstream));
        let first = own.iter().map(|(_, end)| end.at).min()?;
        let last = own.iter().map(|(_, end)| end.at).max()?;
        let ran = own.iter().map(|(_, end)| end.ran_s()).sum::<f64>();
        let beside = others
            .iter()
            .map(|(_, end)| (end.ran_s() / BESIDE_S).min(1.0));
        let mut but = explained.clone();
        let usual = ends.rate(USUAL_OVER, first, last, &but) + ends.least_rate(USUAL_OVER);
        but.extend(own.iter().map(|(upstream, _)| (*upstream).clone()));
        let beside_it = ends.rate(BURST_BEFORE, first, last, &but) + ends.least_rate(BURST_BEFORE);
        let expected = usual.max(beside_it) * ran;
        Some(chance(own.len(), expected) * beside.product::<f64>())
    }
}

/// At most how likely so many ends or more are where `expected` are: Poisson's tail.
fn chance(ends: usize, expected: f64) -> f64 {
    (1..=ends).map(|n| expected / n as f64).product()
}

//! Budgets of answers for versions that are not proved.
//!
//! The budget is the fleet's: so many answers at first and some more for each rating that
//! came back, so that what is served but not yet judged is bounded. Each daemon may
//! spend its equal part without asking anyone.

use rand::{Rng, RngExt};
use types::prelude::*;

/// This daemon's part of the fleet's budget for one version.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) struct Budget {
    base: f64,
    per_rating: f64,
    /// Answers a second that come free, for versions that must not starve of ratings.
    trickle: Rate,
    since: Time,
    seen_before: f64,
    /// A part below one answer rounds up with its own probability: drawn once, so that
    /// asking again does not help and the fleet's sum is right on average.
    rounding: f64,
    spent: f64,
}

/// Part of the base that an owner who does not mind at all allows.
const MOST_BASE: f64 = 1.5;

/// How far the judgement of a version has come.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) struct Progress {
    /// Ratings of the whole fleet seen.
    pub(crate) seen: f64,
    /// How near the test is to its alarm, 1 being there.
    pub(crate) level: f64,
    /// From 0 to 1: how much the owner minds answers that are not proved.
    pub(crate) caution: f64,
}

/// What a budget is made of.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) struct BudgetTerms {
    pub(crate) base: f64,
    pub(crate) per_rating: f64,
    pub(crate) trickle: Rate,
}

impl Budget {
    pub(crate) fn new(terms: BudgetTerms, now: Time, seen: f64, rng: &mut impl Rng) -> Self {
        Self {
            base: terms.base,
            per_rating: terms.per_rating,
            trickle: terms.trickle,
            since: now,
            seen_before: seen,
            rounding: rng.random(),
            spent: 0.0,
        }
    }

    /// Whether one more answer fits, for what is known of the version and the size of the fleet.
    ///
    /// The nearer the test is to its alarm, the fewer ratings it still needs, and answers
    /// that wait for theirs beyond that number only add to the harm.
    pub(crate) fn allows(&self, now: Time, stream: &Progress, fleet: usize) -> bool {
        let earned = self.per_rating * (stream.seen - self.seen_before);
        let free = self.trickle.over(now.since(self.since));
        let part = (self.base * (1.0 - stream.level).max(0.0) * (MOST_BASE - stream.caution)
            + earned
            + free)
            / fleet.max(1) as f64;
        self.spent + 1.0 <= part + self.rounding
    }

    pub(crate) fn spend(&mut self) {
        self.spent += 1.0;
    }
}

//! Budgets of answers for versions that are not proved.
//!
//! A budget is for the whole fleet: a number of answers at first, and some more for each rating
//! received, which bounds the answers served but not yet rated. Each daemon may spend an equal
//! share without asking the others.

use rand::{Rng, RngExt};
use types::prelude::*;

/// One daemon's share of the fleet's budget for one stream.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) struct Budget {
    base: f64,
    per_rating: f64,
    /// Answers per second that are granted without ratings, to versions that must keep getting
    /// ratings.
    guaranteed_rate: Rate,
    since: Time,
    ratings_seen_before: f64,
    /// Rounds the fractional part of this daemon's share up with a probability equal to the
    /// fraction, so that the sum over the fleet is right on average. Drawn only once, so that
    /// repeated checks do not raise the share.
    rounding: f64,
    spent: f64,
}

/// Factor on the base for an owner whose caution is 0.
const MAX_BASE_FACTOR: f64 = 1.5;

/// What is known of a version when its budget is checked.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) struct Progress {
    /// Ratings of the whole fleet since the start.
    pub(crate) ratings_seen: f64,
    /// Level of the sequential test: 0 is far from the alarm, 1 raises it.
    pub(crate) level: f64,
    /// Weight that the offer's owner gives to avoiding answers from unproved versions, from 0 to 1.
    pub(crate) caution: f64,
}

/// Parameters of a budget.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) struct BudgetTerms {
    pub(crate) base: f64,
    pub(crate) per_rating: f64,
    pub(crate) guaranteed_rate: Rate,
}

impl Budget {
    pub(crate) fn new(
        terms: BudgetTerms,
        now: Time,
        ratings_seen: f64,
        rng: &mut impl Rng,
    ) -> Self {
        Self {
            base: terms.base,
            per_rating: terms.per_rating,
            guaranteed_rate: terms.guaranteed_rate,
            since: now,
            ratings_seen_before: ratings_seen,
            rounding: rng.random(),
            spent: 0.0,
        }
    }

    /// Whether one more answer fits into this daemon's share of the budget.
    ///
    /// The base shrinks as the test nears its alarm: fewer ratings are needed then, and answers
    /// served beyond those would only add harm while their ratings are outstanding.
    pub(crate) fn allows(&self, now: Time, progress: &Progress, fleet: usize) -> bool {
        let earned = self.per_rating * (progress.ratings_seen - self.ratings_seen_before);
        let guaranteed = self.guaranteed_rate.over(now.since(self.since));
        let share =
            (self.base * (1.0 - progress.level).max(0.0) * (MAX_BASE_FACTOR - progress.caution)
                + earned
                + guaranteed)
                / fleet.max(1) as f64;
        self.spent + 1.0 <= share + self.rounding
    }

    pub(crate) fn spend(&mut self) {
        self.spent += 1.0;
    }
}

//! Ratings of answers, and counters of them split by the confidence that the engine stated.

use serde::Serialize;

/// Number of confidence bins; bin 0 holds answers without a stated confidence.
pub const BINS: usize = 9;

const CONFIDENCE_BINS: usize = BINS - 1;

/// Confidence that an engine states for its answer, from 0 to 1.
#[derive(Debug, Clone, Copy, PartialEq, PartialOrd, Serialize)]
pub struct Confidence(f64);

impl Confidence {
    /// Clamps a number to 0 to 1; `None` for NaN.
    #[must_use]
    pub fn new(value: f64) -> Option<Self> {
        (!value.is_nan()).then(|| Self(value.clamp(0.0, 1.0)))
    }

    /// Lowest confidence of a bin.
    #[must_use]
    pub fn lowest_of(bin: usize) -> Self {
        Self(bin.saturating_sub(1) as f64 / CONFIDENCE_BINS as f64)
    }

    fn bin(self) -> usize {
        let index = (self.0 * CONFIDENCE_BINS as f64) as usize;
        index.min(CONFIDENCE_BINS - 1) + 1
    }
}

/// Rating of one answer.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Rating {
    /// Whether the answer was good enough.
    pub adequate: bool,
    /// Confidence that the engine stated.
    pub confidence: Option<Confidence>,
    /// Whether another version's answer was discarded before this one.
    pub escalated: bool,
}

impl Rating {
    /// Creates a rating of a direct answer without a stated confidence.
    #[must_use]
    pub fn direct(adequate: bool) -> Self {
        Self {
            adequate,
            confidence: None,
            escalated: false,
        }
    }

    pub(crate) fn bin(&self) -> usize {
        self.confidence.map_or(0, Confidence::bin)
    }
}

/// Ratings in one confidence bin.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize)]
pub(crate) struct Bin<T> {
    pub(crate) good: T,
    pub(crate) bad: T,
}

/// One daemon's ratings since its start. The counters only grow.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub(crate) struct Totals(pub(crate) [Bin<u32>; BINS]);

impl Totals {
    pub(crate) fn add(&mut self, rating: Rating) {
        let bin = &mut self.0[rating.bin()];
        let count = if rating.adequate {
            &mut bin.good
        } else {
            &mut bin.bad
        };
        *count = count.saturating_add(1);
    }

    /// Ratings in `self` that are not in `earlier`, bin by bin.
    ///
    /// An older copy of the counters, from a repeated or reordered message, holds no further
    /// ratings, so it adds nothing.
    pub(crate) fn beyond(&self, earlier: &Self) -> Self {
        let mut difference = Self::default();
        for (bin, (new, old)) in difference.0.iter_mut().zip(self.0.iter().zip(&earlier.0)) {
            bin.good = new.good.saturating_sub(old.good);
            bin.bad = new.bad.saturating_sub(old.bad);
        }
        difference
    }

    /// Larger value of both, bin by bin.
    pub(crate) fn merged(&self, other: &Self) -> Self {
        let mut merged_totals = *self;
        for (bin, other) in merged_totals.0.iter_mut().zip(&other.0) {
            bin.good = bin.good.max(other.good);
            bin.bad = bin.bad.max(other.bad);
        }
        merged_totals
    }

    pub(crate) fn good(&self) -> u64 {
        self.0.iter().map(|bin| u64::from(bin.good)).sum()
    }

    pub(crate) fn bad(&self) -> u64 {
        self.0.iter().map(|bin| u64::from(bin.bad)).sum()
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.good() + self.bad() == 0
    }
}

/// Ratings of the whole fleet, older ones decayed.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize)]
pub(crate) struct DecayedTotals(pub(crate) [Bin<f64>; BINS]);

impl DecayedTotals {
    /// Adds ratings, then scales all of them down so that at most `memory` remain.
    pub(crate) fn add(&mut self, ratings: &Totals, memory: f64) {
        for (bin, ratings) in self.0.iter_mut().zip(&ratings.0) {
            bin.good += f64::from(ratings.good);
            bin.bad += f64::from(ratings.bad);
        }
        let sum = self.sum();
        if sum > memory {
            self.scale(memory / sum);
        }
    }

    pub(crate) fn scale(&mut self, factor: f64) {
        for bin in &mut self.0 {
            bin.good *= factor;
            bin.bad *= factor;
        }
    }

    pub(crate) fn good(&self) -> f64 {
        self.0.iter().map(|bin| bin.good).sum()
    }

    pub(crate) fn bad(&self) -> f64 {
        self.0.iter().map(|bin| bin.bad).sum()
    }

    pub(crate) fn sum(&self) -> f64 {
        self.good() + self.bad()
    }
}

//! Counters of ratings, split by the confidence that the engine stated.

use serde::Serialize;

/// Bins of stated confidence: bin 0 holds answers without any.
pub const BINS: usize = 9;

const SIGNAL_BINS: usize = BINS - 1;

/// How sure an engine says it is of its answer, from 0 to 1.
#[derive(Debug, Clone, Copy, PartialEq, PartialOrd, Serialize)]
pub struct Confidence(f64);

impl Confidence {
    /// From a number; outside 0 to 1 it is cut off, not-a-number is no statement.
    #[must_use]
    pub fn new(value: f64) -> Option<Self> {
        (!value.is_nan()).then(|| Self(value.clamp(0.0, 1.0)))
    }

    /// The lowest confidence of a bin.
    #[must_use]
    pub fn lowest_of(bin: usize) -> Self {
        Self(bin.saturating_sub(1) as f64 / SIGNAL_BINS as f64)
    }

    fn bin(self) -> usize {
        let index = (self.0 * SIGNAL_BINS as f64) as usize;
        index.min(SIGNAL_BINS - 1) + 1
    }
}

/// One answer's rating.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Rating {
    /// Whether the answer was good enough.
    pub adequate: bool,
    /// What the engine said of it.
    pub confidence: Option<Confidence>,
    /// Whether another version's answer was discarded first.
    pub escalated: bool,
}

impl Rating {
    /// A rating of a direct answer without a stated confidence.
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

/// Ratings of one bin.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize)]
pub(crate) struct Bin<T> {
    pub(crate) good: T,
    pub(crate) bad: T,
}

/// One daemon's ratings since its start: these only grow.
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

    /// What `self` has more than `earlier`, bin by bin.
    ///
    /// Guards against repeats and overtaking: an older copy of the counters has
    /// nothing more, so that it adds nothing.
    pub(crate) fn beyond(&self, earlier: &Self) -> Self {
        let mut more = Self::default();
        for (bin, (new, old)) in more.0.iter_mut().zip(self.0.iter().zip(&earlier.0)) {
            bin.good = new.good.saturating_sub(old.good);
            bin.bad = new.bad.saturating_sub(old.bad);
        }
        more
    }

    /// The larger of both, bin by bin.
    pub(crate) fn merged(&self, other: &Self) -> Self {
        let mut both = *self;
        for (bin, other) in both.0.iter_mut().zip(&other.0) {
            bin.good = bin.good.max(other.good);
            bin.bad = bin.bad.max(other.bad);
        }
        both
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

/// The fleet's ratings with older ones faded.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize)]
pub(crate) struct Faded(pub(crate) [Bin<f64>; BINS]);

impl Faded {
    /// Adds ratings and fades all so that at most `memory` remain.
    pub(crate) fn add(&mut self, more: &Totals, memory: f64) {
        for (bin, more) in self.0.iter_mut().zip(&more.0) {
            bin.good += f64::from(more.good);
            bin.bad += f64::from(more.bad);
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

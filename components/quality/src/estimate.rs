//! A version's share of adequate answers, with its uncertainty.

use serde::Serialize;

/// Beta posterior of a share.
#[derive(Debug, Clone, Copy, PartialEq, Serialize)]
pub struct Estimate {
    /// Adequate answers, the prior's included.
    pub good: f64,
    /// The others, the prior's included.
    pub bad: f64,
}

impl Estimate {
    /// From a prior share worth `prior_ratings`, and counts.
    #[must_use]
    pub fn new(prior: f64, prior_ratings: f64, good: f64, bad: f64) -> Self {
        Self {
            good: prior * prior_ratings + good,
            bad: (1.0 - prior) * prior_ratings + bad,
        }
    }

    /// Expected share.
    #[must_use]
    pub fn mean(&self) -> f64 {
        self.good / (self.good + self.bad).max(f64::MIN_POSITIVE)
    }

    /// Standard deviation of the share.
    #[must_use]
    pub fn deviation(&self) -> f64 {
        let sum = self.good + self.bad;
        let mean = self.mean();
        (mean * (1.0 - mean) / (sum + 1.0)).sqrt()
    }

    /// The share less so many deviations, at least 0.
    #[must_use]
    pub fn below(&self, deviations: f64) -> f64 {
        (self.mean() - deviations * self.deviation()).max(0.0)
    }

    /// The share plus so many deviations, at most 1.
    #[must_use]
    pub fn above(&self, deviations: f64) -> f64 {
        (self.mean() + deviations * self.deviation()).min(1.0)
    }
}

//! Estimate of a version's share of adequate answers, with its uncertainty.

use serde::Serialize;

/// Beta posterior of a share.
#[derive(Debug, Clone, Copy, PartialEq, Serialize)]
pub struct Estimate {
    /// Adequate answers, the prior's included.
    pub good: f64,
    /// Inadequate answers, the prior's included.
    pub bad: f64,
}

impl Estimate {
    /// Creates an estimate from counts and a prior share with the weight of `prior_ratings`
    /// ratings.
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

    /// Mean minus `deviations` standard deviations, at least 0.
    #[must_use]
    pub fn lower_bound(&self, deviations: f64) -> f64 {
        (self.mean() - deviations * self.deviation()).max(0.0)
    }

    /// Mean plus `deviations` standard deviations, at most 1.
    #[must_use]
    pub fn upper_bound(&self, deviations: f64) -> f64 {
        (self.mean() + deviations * self.deviation()).min(1.0)
    }
}

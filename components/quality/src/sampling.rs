//! Selection of the answers to have rated.
//!
//! The rater's rate limit is for the whole fleet; each daemon uses an equal share of it through a
//! token bucket. Within that, a share of each stream's answers is rated, a larger one where the
//! estimate is less certain. All answers of versions on a budget are rated, for which the bucket
//! may go into debt.

use types::prelude::*;

const BUCKET_SECONDS: f64 = 2.0;
const MIN_BUCKET_TOKENS: f64 = 2.0;
const BISECTION_STEPS: usize = 30;

/// Token bucket with this daemon's share of the rater's rate.
#[derive(Debug, Clone, Copy)]
pub(crate) struct RatingBucket {
    tokens: f64,
    filled_at: Time,
    pub(crate) paused_until: Time,
}

impl RatingBucket {
    pub(crate) fn new(now: Time) -> Self {
        Self {
            tokens: MIN_BUCKET_TOKENS,
            filled_at: now,
            paused_until: Time::ZERO,
        }
    }

    /// Takes a token, going into debt if the rating is `urgent`; returns whether there was one.
    pub(crate) fn take(&mut self, now: Time, daemon_rate: Rate, urgent: bool) -> bool {
        let size = (daemon_rate.0 * BUCKET_SECONDS).max(MIN_BUCKET_TOKENS);
        let gained = daemon_rate.over(now.since(self.filled_at));
        self.tokens = (self.tokens + gained).min(size);
        self.filled_at = now;
        if !now.has_reached(self.paused_until) {
            return false;
        }
        let required = if urgent { 1.0 - 2.0 * size } else { 1.0 };
        let granted = self.tokens >= required;
        if granted {
            self.tokens -= 1.0;
        }
        granted
    }
}

/// Request rate and sampling weight of one stream.
#[derive(Debug, Clone, Copy)]
pub(crate) struct SamplingInput {
    /// Answers per second.
    pub(crate) rate: f64,
    /// Weight of a rating of the stream, in any unit.
    pub(crate) weight: f64,
}

/// Shares of each stream's answers to rate, in proportion to weight, such that `budget` ratings per
/// second are used.
pub(crate) fn sampling_shares(inputs: &[SamplingInput], budget: Rate) -> Vec<f64> {
    let total_rate: f64 = inputs.iter().map(|input| input.rate).sum();
    if total_rate <= budget.0 {
        return vec![1.0; inputs.len()];
    }
    let heaviest = inputs
        .iter()
        .map(|input| input.weight)
        .fold(f64::MIN_POSITIVE, f64::max);
    let lightest = inputs
        .iter()
        .map(|input| input.weight)
        .fold(heaviest, f64::min);
    let share = |scale: f64, input: &SamplingInput| (scale * input.weight).min(1.0);
    let used = |scale: f64| {
        inputs
            .iter()
            .map(|input| input.rate * share(scale, input))
            .sum::<f64>()
    };
    let (mut low, mut high) = (0.0, 1.0 / lightest.max(heaviest * 1e-6));
    for _ in 0..BISECTION_STEPS {
        let middle = (low + high) / 2.0;
        if used(middle) < budget.0 {
            low = middle;
        } else {
            high = middle;
        }
    }
    inputs.iter().map(|input| share(high, input)).collect()
}

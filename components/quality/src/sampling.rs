//! Which answers to have rated.
//!
//! The rater's rate is the fleet's; each daemon uses its equal part through a token bucket.
//! Within it, every (class, version) has its share of answers rated, larger where the
//! estimate is less sure. Versions on a budget have all of theirs rated, into debt.

use types::prelude::*;

const BUCKET_SECONDS: f64 = 2.0;
const SMALLEST_BUCKET: f64 = 2.0;
const BISECTIONS: usize = 30;

/// This daemon's part of the rater's rate.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Bucket {
    tokens: f64,
    filled_at: Time,
    pub(crate) paused_until: Time,
}

impl Bucket {
    pub(crate) fn new(now: Time) -> Self {
        Self {
            tokens: SMALLEST_BUCKET,
            filled_at: now,
            paused_until: Time::ZERO,
        }
    }

    /// Takes a token, into debt when the rating is `urgent`; says whether there was one.
    pub(crate) fn take(&mut self, now: Time, part: Rate, urgent: bool) -> bool {
        let size = (part.0 * BUCKET_SECONDS).max(SMALLEST_BUCKET);
        let gained = part.over(now.since(self.filled_at));
        self.tokens = (self.tokens + gained).min(size);
        self.filled_at = now;
        if !now.has_reached(self.paused_until) {
            return false;
        }
        let least = if urgent { 1.0 - 2.0 * size } else { 1.0 };
        let granted = self.tokens >= least;
        if granted {
            self.tokens -= 1.0;
        }
        granted
    }
}

/// One stream's need.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Need {
    /// Answers a second.
    pub(crate) rate: f64,
    /// How much a rating teaches, in any unit.
    pub(crate) weight: f64,
}

/// Shares of answers to rate, in proportion to weight, so that `budget` ratings a second are used.
pub(crate) fn shares(needs: &[Need], budget: Rate) -> Vec<f64> {
    let all: f64 = needs.iter().map(|need| need.rate).sum();
    if all <= budget.0 {
        return vec![1.0; needs.len()];
    }
    let heaviest = needs
        .iter()
        .map(|need| need.weight)
        .fold(f64::MIN_POSITIVE, f64::max);
    let lightest = needs
        .iter()
        .map(|need| need.weight)
        .fold(heaviest, f64::min);
    let share = |level: f64, need: &Need| (level * need.weight).min(1.0);
    let used = |level: f64| {
        needs
            .iter()
            .map(|need| need.rate * share(level, need))
            .sum::<f64>()
    };
    let (mut low, mut high) = (0.0, 1.0 / lightest.max(heaviest * 1e-6));
    for _ in 0..BISECTIONS {
        let middle = (low + high) / 2.0;
        if used(middle) < budget.0 {
            low = middle;
        } else {
            high = middle;
        }
    }
    needs.iter().map(|need| share(high, need)).collect()
}

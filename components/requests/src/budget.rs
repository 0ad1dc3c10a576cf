//! Retry budget of an entry: a token bucket that successes refill.
//!
//! Without a budget, each request to a failing pool would be sent several times, and the pool would
//! get more traffic than a healthy one. With it, the retries are at most [`RETRIES_PER_SUCCESS`]
//! times the successes plus a small steady allowance, whatever fails.

use types::prelude::*;

/// Retries added to the budget by each success.
pub const RETRIES_PER_SUCCESS: f64 = 0.2;
/// Retries per second added regardless of successes, for entries with little traffic.
pub const STEADY_RETRY_RATE: Rate = Rate(2.0);
/// Capacity of the budget, in retries.
pub const MAX_SAVED_RETRIES: f64 = 50.0;

/// Retries that an entry may make.
#[derive(Debug, Clone, PartialEq)]
pub struct RetryBudget {
    saved: f64,
    refilled_at: Time,
}

impl RetryBudget {
    /// Creates a full budget.
    #[must_use]
    pub fn new(now: Time) -> Self {
        Self {
            saved: MAX_SAVED_RETRIES,
            refilled_at: now,
        }
    }

    /// Adds the share of a retry that a complete answer earns.
    pub fn record_success(&mut self) {
        self.add(RETRIES_PER_SUCCESS);
    }

    /// Takes one retry from the budget; false if less than one is left.
    pub fn take(&mut self, now: Time) -> bool {
        let allowed = self.has_retry(now);
        if allowed {
            self.saved -= 1.0;
        }
        allowed
    }

    /// Whether a retry is left.
    pub fn has_retry(&mut self, now: Time) -> bool {
        self.add(STEADY_RETRY_RATE.over(now.since(self.refilled_at)));
        self.refilled_at = self.refilled_at.max(now);
        self.saved >= 1.0
    }

    /// Retries left in the budget, for the dump.
    #[must_use]
    pub fn saved(&self) -> f64 {
        self.saved
    }

    fn add(&mut self, retries: f64) {
        self.saved = (self.saved + retries).min(MAX_SAVED_RETRIES);
    }
}

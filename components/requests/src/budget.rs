//! The retry budget of an entry: a token bucket that successes fill.
//!
//! Guards against retry storms: when a pool fails, every request would be sent several times
//! and the failing pool would get more traffic than a healthy one. With a budget, retries are
//! at most [`RATIO`] of successes plus a small steady allowance, whatever fails.

use types::prelude::*;

/// Retries earned by one success.
pub const RATIO: f64 = 0.2;
/// Retries a second for entries with few successes.
pub const STEADY: Rate = Rate(2.0);
/// Most retries saved up.
pub const MOST: f64 = 50.0;

/// Retries that an entry may still make.
#[derive(Debug, Clone, PartialEq)]
pub struct RetryBudget {
    saved: f64,
    filled_at: Time,
}

impl RetryBudget {
    /// A full one.
    #[must_use]
    pub fn new(now: Time) -> Self {
        Self {
            saved: MOST,
            filled_at: now,
        }
    }

    /// Counts a whole answer.
    pub fn succeed(&mut self) {
        self.save(RATIO);
    }

    /// Takes one retry, if there is one.
    pub fn take(&mut self, now: Time) -> bool {
        self.save(STEADY.over(now.since(self.filled_at)));
        self.filled_at = self.filled_at.max(now);
        let allowed = self.saved >= 1.0;
        if allowed {
            self.saved -= 1.0;
        }
        allowed
    }

    /// Retries saved up, for the dump.
    #[must_use]
    pub fn saved(&self) -> f64 {
        self.saved
    }

    fn save(&mut self, retries: f64) {
        self.saved = (self.saved + retries).min(MOST);
    }
}

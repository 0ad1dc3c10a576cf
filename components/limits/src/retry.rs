//! Budgets that keep retries a small part of the work.

/// Retries earned by a request.
const EARNED: f64 = 0.1;
/// Retries saved up, at most.
const MAX_SAVED: f64 = 20.0;

/// Retries that a pool may still get.
///
/// When a pool fails, each request would become several just when there is least room for
/// them. A tenth of the requests may be retried, and a few saved up for quiet times.
#[derive(Debug, Clone, Copy)]
pub(crate) struct RetryBudget(f64);

impl Default for RetryBudget {
    fn default() -> Self {
        Self(MAX_SAVED)
    }
}

impl RetryBudget {
    pub(crate) fn earn(&mut self) {
        self.0 = (self.0 + EARNED).min(MAX_SAVED);
    }

    pub(crate) fn spend(&mut self) -> bool {
        let enough = self.0 >= 1.0;
        if enough {
            self.0 -= 1.0;
        }
        enough
    }
}

//! Token bucket.

use types::prelude::*;

/// Span whose tokens may be saved up in addition to one.
const BURST: Span = Span::from_millis(100);

/// Bucket of tokens, one per request, refilled at a rate.
#[derive(Debug, Clone, Copy)]
pub(crate) struct TokenBucket {
    tokens: f64,
    filled_at: Time,
}

impl TokenBucket {
    /// Creates a bucket whose tokens accrue from a time on.
    pub(crate) fn empty(from: Time) -> Self {
        Self {
            tokens: 0.0,
            filled_at: from,
        }
    }

    fn tokens(&self, now: Time, rate: Rate) -> f64 {
        let capacity = 1.0 + rate.over(BURST);
        (self.tokens + rate.over(now.since(self.filled_at))).min(capacity)
    }

    /// Refills the bucket up to now; to be called before the rate changes.
    pub(crate) fn refill(&mut self, now: Time, rate: Rate) {
        self.tokens = self.tokens(now, rate);
        self.filled_at = self.filled_at.max(now);
    }

    /// Returns when a request may be sent next.
    pub(crate) fn ready_at(&self, now: Time, rate: Rate) -> Time {
        let missing = 1.0 - self.tokens(now, rate);
        match missing <= 0.0 {
            true => now,
            // Rounded up, so that the token is there at that moment.
            false => now + Span::from_secs_f64(missing / rate.0) + Span::from_micros(1),
        }
    }

    /// Takes a token; the count may become negative.
    pub(crate) fn take(&mut self, now: Time, rate: Rate) {
        self.refill(now, rate);
        self.tokens -= 1.0;
    }
}

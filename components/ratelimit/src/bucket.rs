//! A token bucket.

use types::prelude::*;

/// Requests that may be sent at once beside one: what comes within this span.
const BURST: Span = Span::from_millis(100);

/// Tokens of one request each, refilled at a rate.
#[derive(Debug, Clone, Copy)]
pub(crate) struct TokenBucket {
    tokens: f64,
    filled_at: Time,
}

impl TokenBucket {
    pub(crate) fn empty(now: Time) -> Self {
        Self {
            tokens: 0.0,
            filled_at: now,
        }
    }

    fn tokens(&self, now: Time, rate: Rate) -> f64 {
        let most = 1.0 + rate.over(BURST);
        (self.tokens + rate.over(now.since(self.filled_at))).min(most)
    }

    /// Refills up to now; to be called before the rate changes.
    pub(crate) fn refill(&mut self, now: Time, rate: Rate) {
        self.tokens = self.tokens(now, rate);
        self.filled_at = now;
    }

    /// When a request may be sent next.
    pub(crate) fn ready_at(&self, now: Time, rate: Rate) -> Time {
        let missing = 1.0 - self.tokens(now, rate);
        match missing <= 0.0 {
            true => now,
            // Rounded up, so that a token is there at that moment.
            false => now + Span::from_secs_f64(missing / rate.0) + Span::from_micros(1),
        }
    }

    /// Takes a token, also one that is not there yet.
    pub(crate) fn take(&mut self, now: Time, rate: Rate) {
        self.refill(now, rate);
        self.tokens -= 1.0;
    }
}

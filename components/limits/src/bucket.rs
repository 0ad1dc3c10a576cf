//! Token buckets and decaying averages.

use types::prelude::*;

/// Capacity of a bucket, in seconds of its rate.
const BURST_SECONDS: f64 = 1.0;
/// Minimum capacity of a bucket: one request.
const MIN_BURST: f64 = 1.0;

/// Token bucket that limits an average rate.
///
/// A reservation may leave the bucket in debt if a request is larger than the capacity or uses
/// more than was reserved. Nothing passes until the debt is repaid, so the average rate holds.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Bucket {
    rate: f64,
    level: f64,
    at: Time,
}

impl Bucket {
    /// Creates a bucket that holds one second of its rate.
    #[must_use]
    pub fn new(now: Time, rate: f64) -> Self {
        Self {
            rate,
            level: rate * BURST_SECONDS,
            at: now,
        }
    }

    /// Sets the refill rate per second.
    pub fn set_rate(&mut self, now: Time, rate: f64) {
        self.refill(now);
        self.rate = rate;
        self.level = self.level.min(self.burst());
    }

    /// Whether an amount may pass now.
    pub fn is_open(&mut self, now: Time, amount: f64) -> bool {
        self.refill(now);
        self.level >= amount.min(self.burst())
    }

    /// Takes an amount, possibly into debt.
    pub fn take(&mut self, amount: f64) {
        self.level -= amount;
    }

    /// Returns what was reserved and not used, or takes what was used beyond the reservation.
    pub fn settle(&mut self, reserved: f64, used: f64) {
        self.level = (self.level + reserved - used).min(self.burst());
    }

    /// Time until the bucket has refilled enough for an amount, if nothing else is taken.
    #[must_use]
    pub fn wait_for(&self, amount: f64) -> Span {
        let missing = amount - self.level;
        if missing <= 0.0 {
            return Span::ZERO;
        }
        Span::from_secs_f64((missing / self.rate.max(f64::MIN_POSITIVE)).min(MAX_WAIT_SECONDS))
    }

    fn burst(&self) -> f64 {
        (self.rate * BURST_SECONDS).max(MIN_BURST)
    }

    fn refill(&mut self, now: Time) {
        let passed = now.since(self.at).as_secs_f64();
        self.level = (self.level + passed * self.rate).min(self.burst());
        self.at = now;
    }
}

/// Maximum wait that is reported, in seconds.
const MAX_WAIT_SECONDS: f64 = 3600.0;

/// A rate of events, or an average of a level, in which older values count exponentially less.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Meter {
    value: f64,
    at: Time,
}

/// Time constant of the exponential decay of a meter.
const METER_DECAY: Span = Span::from_secs(3);

impl Meter {
    /// Counts events of the given total amount.
    pub fn count(&mut self, now: Time, amount: f64) {
        self.value = self.rate(now) + amount / METER_DECAY.as_secs_f64();
        self.at = now;
    }

    /// Current rate per second.
    #[must_use]
    pub fn rate(&self, now: Time) -> f64 {
        self.value * self.decay(now)
    }

    /// Moves the average toward a level that has held since the last call.
    pub fn follow(&mut self, now: Time, level: f64) {
        let decay = self.decay(now);
        self.value = self.value * decay + level * (1.0 - decay);
        self.at = now;
    }

    /// Average level as of the last update.
    #[must_use]
    pub fn level(&self) -> f64 {
        self.value
    }

    fn decay(&self, now: Time) -> f64 {
        (-now.since(self.at).as_secs_f64() / METER_DECAY.as_secs_f64()).exp()
    }
}

//! Token buckets and decayed meters.

use types::prelude::*;

/// Seconds of its rate that a bucket holds.
const BURST_SECONDS: f64 = 1.0;
/// A bucket holds at least one request.
const MIN_BURST: f64 = 1.0;

/// Lets through so many a second on average.
///
/// A reservation may leave it in debt, when one request is larger than the whole bucket or
/// used more than was reserved; nothing passes until the debt is paid, so the mean holds.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Bucket {
    rate: f64,
    level: f64,
    at: Time,
}

impl Bucket {
    /// A bucket with a second's worth in it.
    #[must_use]
    pub fn new(now: Time, rate: f64) -> Self {
        Self {
            rate,
            level: rate * BURST_SECONDS,
            at: now,
        }
    }

    /// Sets what flows in from now on, a second.
    pub fn set_rate(&mut self, now: Time, rate: f64) {
        self.refill(now);
        self.rate = rate;
        self.level = self.level.min(self.burst());
    }

    /// Whether something may pass now.
    pub fn is_open(&mut self, now: Time, amount: f64) -> bool {
        self.refill(now);
        self.level >= amount.min(self.burst())
    }

    /// Takes an amount, into debt if need be.
    pub fn take(&mut self, amount: f64) {
        self.level -= amount;
    }

    /// Gives back what was reserved and not used, or takes what was used beyond.
    pub fn settle(&mut self, reserved: f64, used: f64) {
        self.level = (self.level + reserved - used).min(self.burst());
    }

    /// How long until an amount has passed, if nothing else does.
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

/// Longest wait that is told.
const MAX_WAIT_SECONDS: f64 = 3600.0;

/// A rate, or a mean of a level, in which the past counts less and less.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Meter {
    value: f64,
    at: Time,
}

/// Time in which a meter forgets most of the past.
const METER_DECAY: Span = Span::from_secs(3);

impl Meter {
    /// Counts events.
    pub fn count(&mut self, now: Time, amount: f64) {
        self.value = self.rate(now) + amount / METER_DECAY.as_secs_f64();
        self.at = now;
    }

    /// Events a second.
    #[must_use]
    pub fn rate(&self, now: Time) -> f64 {
        self.value * self.fade(now)
    }

    /// Moves toward a level that holds since the last call.
    pub fn follow(&mut self, now: Time, level: f64) {
        let fade = self.fade(now);
        self.value = self.value * fade + level * (1.0 - fade);
        self.at = now;
    }

    /// The mean level.
    #[must_use]
    pub fn level(&self) -> f64 {
        self.value
    }

    fn fade(&self, now: Time) -> f64 {
        (-now.since(self.at).as_secs_f64() / METER_DECAY.as_secs_f64()).exp()
    }
}

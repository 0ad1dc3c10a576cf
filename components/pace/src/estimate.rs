//! The estimate of one upstream's pace from one daemon's samples.

use types::prelude::*;

/// Time after which a sample counts half.
const HALF_LIFE: Span = Span::from_secs(20);

/// Speed of an upstream relative to its service; below 1 for slow ones.
#[derive(Debug, Clone, Copy, PartialEq, PartialOrd)]
pub struct Pace(f64);

impl Pace {
    /// The usual pace.
    pub const USUAL: Self = Self(1.0);
    /// The lowest pace that is told apart.
    pub const MIN: Self = Self(0.3);
    /// The highest pace that is told apart.
    pub const MAX: Self = Self(3.0);

    /// Creates a pace within [`Pace::MIN`] and [`Pace::MAX`]; a value that is not a number is the
    /// usual pace.
    #[must_use]
    pub fn new(value: f64) -> Self {
        match value.is_nan() {
            true => Self::USUAL,
            false => Self(value.clamp(Self::MIN.0, Self::MAX.0)),
        }
    }

    /// Returns the pace as a factor.
    #[must_use]
    pub const fn get(self) -> f64 {
        self.0
    }

    pub(crate) fn from_log(log: f64) -> Self {
        Self::new(log.exp())
    }

    pub(crate) fn log(self) -> f64 {
        self.0.ln()
    }
}

impl Default for Pace {
    fn default() -> Self {
        Self::USUAL
    }
}

/// Decaying mean of the logarithms of an upstream's paces.
///
/// A mean of logarithms weighs a factor up and the same factor down alike, and one late answer
/// moves it less than it would move a mean of times.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Estimate {
    log_sum: f64,
    weight: f64,
    at: Time,
}

impl Estimate {
    /// Creates the estimate that samples of this total weight and mean give.
    pub(crate) fn new(now: Time, pace: Pace, weight: f64) -> Self {
        Self {
            log_sum: pace.log() * weight,
            weight,
            at: now,
        }
    }

    /// Adds a sample: the ratio of a measured time to the usual one. Ratios that are not finite and
    /// positive are ignored.
    pub fn record(&mut self, now: Time, ratio: f64) {
        if !ratio.is_finite() || ratio <= 0.0 {
            return;
        }
        let factor = self.decay(now);
        self.log_sum = self.log_sum * factor + Pace::new(1.0 / ratio).log();
        self.weight = self.weight * factor + 1.0;
        self.at = self.at.max(now);
    }

    /// Number of samples that it rests on, each counted by what it has not decayed.
    #[must_use]
    pub fn weight(&self, now: Time) -> f64 {
        self.weight * self.decay(now)
    }

    /// Whether no sample was recorded.
    pub(crate) fn is_empty(&self) -> bool {
        self.weight <= 0.0
    }

    /// The mean pace of the samples; the usual one without any.
    #[must_use]
    pub fn pace(&self) -> Pace {
        match self.weight > 0.0 {
            true => Pace::from_log(self.log_sum / self.weight),
            false => Pace::USUAL,
        }
    }

    /// Sum of the samples' logarithms and their weight, both decayed.
    pub(crate) fn sums(&self, now: Time) -> (f64, f64) {
        let factor = self.decay(now);
        (self.log_sum * factor, self.weight * factor)
    }

    /// Reduces the weight to a bound; the mean stays. The next sample then weighs at least
    /// `1 / (max + 1)`, however many there were before.
    pub fn cap_weight(&mut self, max: f64) {
        if self.weight > max {
            self.log_sum *= max / self.weight;
            self.weight = max;
        }
    }

    fn decay(&self, now: Time) -> f64 {
        let age = now.since(self.at).as_secs_f64();
        (-age / HALF_LIFE.as_secs_f64()).exp2()
    }
}

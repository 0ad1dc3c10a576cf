//! What the fleet has seen of two versions of a service.

use serde::{Deserialize, Serialize};
use types::prelude::*;

/// Answers of one version, counted since the order.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize, Deserialize)]
pub struct ArmCounts {
    /// Requests sent.
    pub sent: u32,
    /// Whole good answers.
    pub good: u32,
    /// Failures, broken answers and silence.
    pub bad: u32,
    /// Sum of the logarithms of measured over expected time.
    pub slowness: f32,
    /// Sum of their squares.
    pub slowness_squares: f32,
    /// Requests out now.
    pub out: u32,
}

impl ArmCounts {
    /// Answers, good and bad.
    #[must_use]
    pub fn answers(&self) -> u32 {
        self.good + self.bad
    }

    /// Notes a good answer and how its time compares with the expected one.
    pub fn note_good(&mut self, measured_ms: f64, expected_ms: f64) {
        let log = (measured_ms.max(0.1) / expected_ms.max(0.1)).ln() as f32;
        self.good += 1;
        self.slowness += log;
        self.slowness_squares += log * log;
    }

    /// Adds another daemon's counts.
    pub fn add(&mut self, other: &Self) {
        self.sent = self.sent.saturating_add(other.sent);
        self.good = self.good.saturating_add(other.good);
        self.bad = self.bad.saturating_add(other.bad);
        self.slowness += other.slowness;
        self.slowness_squares += other.slowness_squares;
        self.out = self.out.saturating_add(other.out);
    }

    /// Share of bad answers.
    #[must_use]
    pub fn bad_share(&self) -> f64 {
        f64::from(self.bad) / f64::from(self.answers().max(1))
    }

    /// Mean and variance of the logarithms.
    pub(crate) fn slowness_moments(&self) -> (f64, f64) {
        let n = f64::from(self.good.max(1));
        let mean = f64::from(self.slowness) / n;
        let variance = (f64::from(self.slowness_squares) / n - mean * mean).max(0.0);
        (mean, variance)
    }
}

/// What one daemon has seen of a roll-out.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize, Deserialize)]
pub struct Evidence {
    /// The store's revision of the order.
    pub order: u64,
    /// How long the daemon knows the order, so that one that restarted does not begin anew.
    pub elapsed_ms: u32,
    /// The new version.
    pub new: ArmCounts,
    /// All others.
    pub old: ArmCounts,
}

impl Evidence {
    /// How long its daemon knows the order.
    #[must_use]
    pub fn elapsed(&self) -> Span {
        Span::from_millis(u64::from(self.elapsed_ms))
    }
}

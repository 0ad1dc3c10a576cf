//! How long an upstream takes beside what was expected.

/// Weight of a new figure in the running mean: about the last eight answers count.
const WEIGHT: f64 = 0.125;
/// A single answer counts at most so many times slower than expected.
const MOST: f64 = 10.0;
/// Fastest pace believed.
const LEAST: f64 = 0.25;

/// Running mean of measured over expected time; 1 is as expected.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Pace(f64);

impl Default for Pace {
    fn default() -> Self {
        Self(1.0)
    }
}

impl Pace {
    pub(crate) fn note(&mut self, measured_ms: f64, expected_ms: f64) {
        let ratio = (measured_ms / expected_ms.max(1.0)).clamp(LEAST, MOST);
        self.0 += WEIGHT * (ratio - self.0);
    }

    pub(crate) fn get(self) -> f64 {
        self.0
    }
}

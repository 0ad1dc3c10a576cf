//! Sequential test for a version that is worse than its reference.
//!
//! The test runs one CUSUM for each of a few alternatives. CUSUM number `j` sums the log likelihood
//! ratio of "share is `alternative[j]`" against "share is the null share", never below zero, and
//! the test alarms when any of them reaches its threshold. The expected number of ratings before a
//! false alarm is computed numerically (see [`mean_run_length`]), so the threshold is no larger
//! than necessary for the required rate of false alarms. Fewer answers are rated than served, so a
//! bound per rating is also a bound per request.

use serde::Serialize;

/// Distances of the alternatives below the null share.
const ALTERNATIVE_DROPS: [f64; 2] = [0.12, 0.33];
const ALTERNATIVES: usize = ALTERNATIVE_DROPS.len();
const MIN_SHARE: f64 = 0.02;
const MAX_SHARE: f64 = 0.995;
const GRID_CELLS: usize = 256;
const MAX_SWEEPS: usize = 2000;
const CONVERGED_CHANGE: f64 = 1e-4;
const THRESHOLD_PRECISION: f64 = 0.05;
/// Null shares are rounded down to a multiple of 1 / `NULL_SHARE_STEPS`.
const NULL_SHARE_STEPS: f64 = 200.0;

/// Amounts that a good and a bad rating add to one CUSUM.
#[derive(Debug, Clone, Copy, PartialEq, Serialize)]
struct Steps {
    good: f64,
    bad: f64,
}

impl Steps {
    fn new(null: f64, alternative: f64) -> Self {
        Self {
            good: (alternative / null).ln(),
            bad: ((1.0 - alternative) / (1.0 - null)).ln(),
        }
    }
}

/// Parameters of the test for one null share.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct Thresholds {
    /// Null share that they hold for.
    pub null: f64,
    steps: [Steps; ALTERNATIVES],
    heights: [f64; ALTERNATIVES],
}

impl Thresholds {
    /// Computes the thresholds for a null share and a mean number of ratings before a false alarm.
    #[must_use]
    pub fn new(null: f64, run_length: f64) -> Self {
        let null = (null * NULL_SHARE_STEPS).floor() / NULL_SHARE_STEPS;
        let null = null.clamp(2.0 * MIN_SHARE, MAX_SHARE);
        let steps = ALTERNATIVE_DROPS.map(|drop| Steps::new(null, (null - drop).max(MIN_SHARE)));
        let run_length_each = run_length * ALTERNATIVES as f64;
        Self {
            null,
            steps,
            heights: steps.map(|steps| smallest_threshold(null, steps, run_length_each)),
        }
    }
}

/// State of the sequential test.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize)]
pub struct Detector {
    sums: [f64; ALTERNATIVES],
}

impl Detector {
    /// Adds ratings whose order is not known.
    pub fn add(&mut self, thresholds: &Thresholds, good: u64, bad: u64) {
        for (sum, steps) in self.sums.iter_mut().zip(&thresholds.steps) {
            let change = good as f64 * steps.good + bad as f64 * steps.bad;
            *sum = (*sum + change).max(0.0);
        }
    }

    /// Level of the test: 0 is far from the alarm, 1 raises it.
    #[must_use]
    pub fn level(&self, thresholds: &Thresholds) -> f64 {
        let levels = self.sums.iter().zip(&thresholds.heights);
        levels.map(|(sum, height)| sum / height).fold(0.0, f64::max)
    }
}

/// Smallest threshold at which the mean run length is reached, rounded up by
/// [`THRESHOLD_PRECISION`] at most.
fn smallest_threshold(null: f64, steps: Steps, run_length: f64) -> f64 {
    // Wald's bound: a CUSUM with threshold h runs for at least e^h ratings on average.
    let mut high = run_length.ln().max(1.0);
    let mut low = high / 2.0;
    while high - low > THRESHOLD_PRECISION {
        let middle = (low + high) / 2.0;
        if run_length_of(null, steps, middle) < run_length {
            low = middle;
        } else {
            high = middle;
        }
    }
    high
}

/// Mean number of ratings before a CUSUM for `alternative` against `null` reaches `threshold` while
/// the true share is `share`.
///
/// A run is a sequence of cycles that begin at zero and end at zero or at the threshold, so the
/// mean run length is the mean length of a cycle divided by the probability that the cycle ends at
/// the threshold.
#[must_use]
pub fn mean_run_length(share: f64, null: f64, alternative: f64, threshold: f64) -> f64 {
    run_length_of(share, Steps::new(null, alternative), threshold)
}

fn run_length_of(share: f64, steps: Steps, threshold: f64) -> f64 {
    let cell_size = threshold / GRID_CELLS as f64;
    let transitions: Vec<[GridPosition; 2]> = (0..GRID_CELLS)
        .map(|index| {
            [steps.bad, steps.good].map(|step| GridPosition::new(index as f64 + step / cell_size))
        })
        .collect();
    let mut alarm_probability = [0.0; GRID_CELLS];
    let mut mean_length = [0.0; GRID_CELLS];
    for _ in 0..MAX_SWEEPS {
        let mut change = 0.0_f64;
        for (index, [after_bad, after_good]) in transitions.iter().enumerate() {
            let mean =
                |after_bad: f64, after_good: f64| (1.0 - share) * after_bad + share * after_good;
            let next_probability = mean(
                after_bad.value(&alarm_probability, 1.0),
                after_good.value(&alarm_probability, 1.0),
            );
            let next_length = 1.0
                + mean(
                    after_bad.value(&mean_length, 0.0),
                    after_good.value(&mean_length, 0.0),
                );
            change = change.max((next_length - mean_length[index]).abs() / next_length);
            change = change.max(
                (next_probability - alarm_probability[index]).abs()
                    / next_probability.max(f64::MIN_POSITIVE),
            );
            alarm_probability[index] = next_probability;
            mean_length[index] = next_length;
        }
        if change < CONVERGED_CHANGE {
            break;
        }
    }
    mean_length[0] / alarm_probability[0].max(f64::MIN_POSITIVE)
}

/// Position on the grid after a rating.
#[derive(Clone, Copy)]
enum GridPosition {
    Zero,
    AtIndex(usize, f64),
    AtThreshold,
}

impl GridPosition {
    fn new(position: f64) -> Self {
        if position <= 0.0 {
            Self::Zero
        } else if position >= GRID_CELLS as f64 {
            Self::AtThreshold
        } else {
            Self::AtIndex(position as usize, position.fract())
        }
    }

    fn value(self, values: &[f64; GRID_CELLS], at_threshold: f64) -> f64 {
        match self {
            Self::Zero => 0.0,
            Self::AtThreshold => at_threshold,
            Self::AtIndex(index, part) => {
                let next = values[(index + 1).min(GRID_CELLS - 1)];
                values[index] + (next - values[index]) * part
            }
        }
    }
}

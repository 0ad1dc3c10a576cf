//! Sequential test for a version that is worse than its reference.
//!
//! One CUSUM for each of a few alternatives. CUSUM number `j` sums the log likelihood ratio
//! of "share is `alternative[j]`" against "share is the null share", never below zero, and the
//! test alarms when any reaches its threshold. The expected number of ratings before a
//! false alarm is found exactly (see [`mean_run_length`]), so the threshold is no larger
//! than the stated rate asks for. Fewer answers are rated than served, so a rate a rating
//! bounds the rate a request.

use serde::Serialize;

/// How far below the null share the alternatives lie.
const DROPS: [f64; 2] = [0.12, 0.33];
const ALTERNATIVES: usize = DROPS.len();
const LOWEST_SHARE: f64 = 0.02;
const HIGHEST_SHARE: f64 = 0.995;
const GRID: usize = 256;
const SWEEPS: usize = 2000;
const SETTLED: f64 = 1e-4;
const PRECISION: f64 = 0.05;
/// Null shares are rounded down to a multiple of one part of this many.
const NULL_STEPS: f64 = 200.0;

/// What a rating adds to one CUSUM.
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

/// Thresholds of the test for one null share.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct Thresholds {
    /// The null share that they hold for.
    pub null: f64,
    steps: [Steps; ALTERNATIVES],
    heights: [f64; ALTERNATIVES],
}

impl Thresholds {
    /// For a null share and the mean number of ratings before a false alarm.
    #[must_use]
    pub fn new(null: f64, run_length: f64) -> Self {
        let null = (null * NULL_STEPS).floor() / NULL_STEPS;
        let null = null.clamp(2.0 * LOWEST_SHARE, HIGHEST_SHARE);
        let steps = DROPS.map(|drop| Steps::new(null, (null - drop).max(LOWEST_SHARE)));
        let each = run_length * ALTERNATIVES as f64;
        Self {
            null,
            steps,
            heights: steps.map(|steps| height(null, steps, each)),
        }
    }
}

/// State of the test.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize)]
pub struct Detector {
    sums: [f64; ALTERNATIVES],
}

impl Detector {
    /// Takes ratings whose order is not known.
    pub fn add(&mut self, thresholds: &Thresholds, good: u64, bad: u64) {
        for (sum, steps) in self.sums.iter_mut().zip(&thresholds.steps) {
            let change = good as f64 * steps.good + bad as f64 * steps.bad;
            *sum = (*sum + change).max(0.0);
        }
    }

    /// How near the test is to its alarm: 0 is far, 1 is there.
    #[must_use]
    pub fn level(&self, thresholds: &Thresholds) -> f64 {
        let levels = self.sums.iter().zip(&thresholds.heights);
        levels.map(|(sum, height)| sum / height).fold(0.0, f64::max)
    }
}

/// Smallest threshold at which the mean run length is reached, within a small error upwards.
fn height(null: f64, steps: Steps, run_length: f64) -> f64 {
    // Wald's bound: a CUSUM with threshold h runs for at least e^h ratings on average.
    let mut high = run_length.ln().max(1.0);
    let mut low = high / 2.0;
    while high - low > PRECISION {
        let middle = (low + high) / 2.0;
        if run_length_of(null, steps, middle) < run_length {
            low = middle;
        } else {
            high = middle;
        }
    }
    high
}

/// Mean number of ratings before a CUSUM for `alternative` against `null` reaches `threshold`
/// while the true share is `share`.
///
/// A run is a series of cycles that begin at zero and end at zero or at the threshold, so
/// the mean is the mean length of a cycle over the probability that it ends at the threshold.
#[must_use]
pub fn mean_run_length(share: f64, null: f64, alternative: f64, threshold: f64) -> f64 {
    run_length_of(share, Steps::new(null, alternative), threshold)
}

fn run_length_of(share: f64, steps: Steps, threshold: f64) -> f64 {
    let cell = threshold / GRID as f64;
    let moves: Vec<[Place; 2]> = (0..GRID)
        .map(|index| [steps.bad, steps.good].map(|step| Place::new(index as f64 + step / cell)))
        .collect();
    let mut hit = [0.0; GRID];
    let mut length = [0.0; GRID];
    for _ in 0..SWEEPS {
        let mut change = 0.0_f64;
        for (index, [up, down]) in moves.iter().enumerate() {
            let mean = |up: f64, down: f64| (1.0 - share) * up + share * down;
            let next_hit = mean(up.value(&hit, 1.0), down.value(&hit, 1.0));
            let next_length = 1.0 + mean(up.value(&length, 0.0), down.value(&length, 0.0));
            change = change.max((next_length - length[index]).abs() / next_length);
            change = change.max((next_hit - hit[index]).abs() / next_hit.max(f64::MIN_POSITIVE));
            hit[index] = next_hit;
            length[index] = next_length;
        }
        if change < SETTLED {
            break;
        }
    }
    length[0] / hit[0].max(f64::MIN_POSITIVE)
}

/// Where a rating leads on the grid.
#[derive(Clone, Copy)]
enum Place {
    Zero,
    Between(usize, f64),
    Beyond,
}

impl Place {
    fn new(at: f64) -> Self {
        if at <= 0.0 {
            Self::Zero
        } else if at >= GRID as f64 {
            Self::Beyond
        } else {
            Self::Between(at as usize, at.fract())
        }
    }

    fn value(self, values: &[f64; GRID], beyond: f64) -> f64 {
        match self {
            Self::Zero => 0.0,
            Self::Beyond => beyond,
            Self::Between(index, part) => {
                let next = values[(index + 1).min(GRID - 1)];
                values[index] + (next - values[index]) * part
            }
        }
    }
}

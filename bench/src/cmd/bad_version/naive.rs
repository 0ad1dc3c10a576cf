//! Baseline without gossip: each daemon ejects a version based on its own latest ratings.

use std::collections::VecDeque;

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

use super::{BAD, CANARY_SHARE, Case};
use crate::cli::BadVersion;
use crate::report::Report;

const WINDOW: usize = 50;
const MIN_GOOD_SHARE: f64 = 0.8;
const MAX_REQUESTS: usize = 100_000;

pub(super) fn run(report: &mut Report, options: &BadVersion, case: Case, optimal: f64) {
    for daemons in [8, 64] {
        let runs = (0..options.runs).map(|run| simulate(case, daemons, options.seed * 1000 + run));
        let bad = runs.sum::<f64>() / options.runs.max(1) as f64;
        let arm = format!("{}/naive-{daemons}-daemons", case.name());
        report.note(&arm, "bad_answers_mean", bad);
        report.note(&arm, "ratio_to_least", bad / optimal);
    }
}

/// Simulates one run and returns the number of bad answers. Every answer is rated at once, which
/// favors this arm.
fn simulate(case: Case, daemons: usize, seed: u64) -> f64 {
    let mut rng = StdRng::seed_from_u64(seed);
    let known = if case == Case::TurnsBad { WINDOW } else { 0 };
    let mut windows = vec![VecDeque::from(vec![true; known]); daemons];
    let mut ejected = vec![false; daemons];
    let mut bad = 0.0;
    for _ in 0..MAX_REQUESTS {
        let daemon = rng.random_range(0..daemons);
        let offered = case == Case::TurnsBad || rng.random_bool(CANARY_SHARE);
        if ejected[daemon] || !offered {
            continue;
        }
        let adequate = rng.random_bool(BAD);
        bad += f64::from(u8::from(!adequate));
        let window = &mut windows[daemon];
        window.push_back(adequate);
        if window.len() > WINDOW {
            window.pop_front();
        }
        let good = window.iter().filter(|good| **good).count() as f64;
        ejected[daemon] = window.len() == WINDOW && good < MIN_GOOD_SHARE * WINDOW as f64;
    }
    bad
}

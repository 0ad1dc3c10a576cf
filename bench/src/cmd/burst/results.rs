//! Measurements of one arm.

use std::collections::BTreeMap;

use hdrhistogram::Histogram;
use types::prelude::*;

use super::simulation::{ALL_SLOTS, BURST_PERIOD};

/// Length of the windows over which request starts are compared with a limit.
const WINDOW_SECONDS: u64 = 5;
/// Time from the start of the burst until measurement begins, so that facts have spread.
const SETTLING_TIME: Span = Span::from_secs(5);

/// Counts of one customer during the burst.
#[derive(Debug, Clone)]
pub struct Counts {
    /// Arrived requests.
    pub arrived: u64,
    /// Completed requests.
    pub ended: u64,
    /// Number of refusals.
    pub refused: u64,
    /// Number of started requests by window.
    pub starts: BTreeMap<u64, u64>,
    /// Time to first token in microseconds.
    pub first_token: Histogram<u64>,
}

/// Measurements of one arm during the burst.
#[derive(Debug)]
pub struct Results {
    /// Counts by customer.
    pub customers: Vec<Counts>,
    /// Batch requests cancelled in favor of interactive ones.
    pub preempted: u64,
    /// Number of published facts.
    pub facts: u64,
    /// Slots not used by interactive requests, and how many of them batch requests used, summed
    /// over samples.
    pub available: (f64, f64),
    /// Running interactive and batch requests by second.
    pub running: BTreeMap<u64, (u32, u32)>,
}

impl Results {
    /// Creates empty measurements.
    pub fn new(customers: usize) -> Self {
        let counts = Counts {
            arrived: 0,
            ended: 0,
            refused: 0,
            starts: BTreeMap::new(),
            first_token: Histogram::new_with_bounds(1, 3_600_000_000, 3).expect("valid bounds"),
        };
        Self {
            customers: vec![counts; customers],
            preempted: 0,
            facts: 0,
            available: (0.0, 0.0),
            running: BTreeMap::new(),
        }
    }

    /// Records the arrival of a request.
    pub fn arrived(&mut self, now: Time, customer: usize) {
        self.customers[customer].arrived += u64::from(is_measured(now));
    }

    /// Records the end of a request.
    pub fn ended(&mut self, now: Time, customer: usize) {
        self.customers[customer].ended += u64::from(is_measured(now));
    }

    /// Records a refusal.
    pub fn refused(&mut self, now: Time, customer: usize) {
        self.customers[customer].refused += u64::from(is_measured(now));
    }

    /// Records the start of a request.
    pub fn started(&mut self, now: Time, customer: usize) {
        if is_measured(now) {
            let window = now.since(BURST_PERIOD.0).as_micros() / 1_000_000 / WINDOW_SECONDS;
            *self.customers[customer].starts.entry(window).or_default() += 1;
        }
    }

    /// Records the first token of a request.
    pub fn first_token(&mut self, arrived: Time, now: Time, customer: usize) {
        if is_measured(arrived) {
            let wait = now.since(arrived).as_micros();
            self.customers[customer].first_token.saturating_record(wait);
        }
    }

    /// Samples the numbers of running interactive and batch requests.
    pub fn sample(&mut self, now: Time, running: (u32, u32)) {
        self.running.insert(now.0 / 1_000_000, running);
        if !is_measured(now) {
            return;
        }
        let available = f64::from(ALL_SLOTS.saturating_sub(running.0));
        self.available.0 += available;
        self.available.1 += f64::from(running.1).min(available);
    }

    /// Returns the maximum and the mean of starts per window, as multiples of a limit.
    pub fn starts_relative_to_limit(&self, customer: usize, limit: Rate) -> (f64, f64) {
        let allowed = limit.0 * WINDOW_SECONDS as f64;
        let windows = self.customers[customer].starts.values();
        let windows: Vec<_> = windows.map(|starts| *starts as f64 / allowed).collect();
        let mean = windows.iter().sum::<f64>() / windows.len().max(1) as f64;
        (windows.into_iter().fold(0.0, f64::max), mean)
    }
}

fn is_measured(now: Time) -> bool {
    (BURST_PERIOD.0 + SETTLING_TIME..BURST_PERIOD.1).contains(&now)
}

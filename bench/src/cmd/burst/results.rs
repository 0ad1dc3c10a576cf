//! What an arm showed.

use std::collections::BTreeMap;

use hdrhistogram::Histogram;
use types::prelude::*;

use super::simulation::{ALL_SLOTS, BURST};

/// Starts are held against a limit over windows of this length.
const WINDOW_SECONDS: u64 = 5;
/// From the batch's begin until it is measured, for facts to have spread.
const SETTLE: Span = Span::from_secs(5);

/// One customer's counts during the burst.
#[derive(Debug, Clone)]
pub struct Counts {
    /// Requests that came.
    pub arrived: u64,
    /// Requests that ended.
    pub ended: u64,
    /// Refusals.
    pub refused: u64,
    /// Starts by window.
    pub starts: BTreeMap<u64, u64>,
    /// Microseconds to the first token.
    pub first_token: Histogram<u64>,
}

/// What an arm showed during the burst.
#[derive(Debug)]
pub struct Found {
    /// By customer.
    pub customers: Vec<Counts>,
    /// Batch requests cancelled for interactive ones.
    pub gave_way: u64,
    /// Facts published.
    pub facts: u64,
    /// Slots that interactive work left, and that batch used of them, summed over samples.
    pub left: (f64, f64),
    /// Interactive and batch requests running, by second.
    pub running: BTreeMap<u64, (u32, u32)>,
}

impl Found {
    /// Nothing yet.
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
            gave_way: 0,
            facts: 0,
            left: (0.0, 0.0),
            running: BTreeMap::new(),
        }
    }

    /// A request came.
    pub fn arrived(&mut self, now: Time, customer: usize) {
        self.customers[customer].arrived += u64::from(is_measured(now));
    }

    /// A request ended.
    pub fn ended(&mut self, now: Time, customer: usize) {
        self.customers[customer].ended += u64::from(is_measured(now));
    }

    /// A request was refused.
    pub fn refused(&mut self, now: Time, customer: usize) {
        self.customers[customer].refused += u64::from(is_measured(now));
    }

    /// A request started.
    pub fn started(&mut self, now: Time, customer: usize) {
        if is_measured(now) {
            let window = now.since(BURST.0).as_micros() / 1_000_000 / WINDOW_SECONDS;
            *self.customers[customer].starts.entry(window).or_default() += 1;
        }
    }

    /// A request's first token came.
    pub fn first_token(&mut self, arrived: Time, now: Time, customer: usize) {
        if is_measured(arrived) {
            let wait = now.since(arrived).as_micros();
            self.customers[customer].first_token.saturating_record(wait);
        }
    }

    /// Requests at engines now.
    pub fn sample(&mut self, now: Time, running: (u32, u32)) {
        self.running.insert(now.0 / 1_000_000, running);
        if !is_measured(now) {
            return;
        }
        let left = f64::from(ALL_SLOTS.saturating_sub(running.0));
        self.left.0 += left;
        self.left.1 += f64::from(running.1).min(left);
    }

    /// Most starts of a window and their mean, as multiples of a limit.
    pub fn over_limit(&self, customer: usize, limit: Rate) -> (f64, f64) {
        let allowed = limit.0 * WINDOW_SECONDS as f64;
        let windows = self.customers[customer].starts.values();
        let windows: Vec<_> = windows.map(|starts| *starts as f64 / allowed).collect();
        let mean = windows.iter().sum::<f64>() / windows.len().max(1) as f64;
        (windows.into_iter().fold(0.0, f64::max), mean)
    }
}

fn is_measured(now: Time) -> bool {
    (BURST.0 + SETTLE..BURST.1).contains(&now)
}

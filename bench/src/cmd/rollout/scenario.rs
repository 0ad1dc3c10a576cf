//! The conditions of a run, and what it showed.

use types::prelude::*;

use super::Way;
use super::environment::Fencing;

/// What an operator does while the driver is paused.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Operator {
    /// Nothing.
    None,
    /// Aborts the roll-out, or begins one back when it is done.
    Aborts,
    /// Withdraws the version that comes.
    Withdraws,
}

/// What fails beside.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Trouble {
    /// Nothing.
    None,
    /// The store is down for a minute.
    StoreDown,
    /// A fifth of the store's replies is lost, from then on.
    LostReplies,
    /// The weight store gives leave every few seconds only.
    SlowWeights,
    /// The engines of a failure domain restart with the old version only.
    DomainLost,
}

/// A run's conditions.
#[derive(Debug, Clone)]
pub(super) struct Scenario {
    pub(super) way: Way,
    pub(super) fencing: Fencing,
    pub(super) seed: u64,
    /// Engines in the pool.
    pub(super) engines: usize,
    /// Whoever drives then is paused.
    pub(super) pause_at: Vec<Time>,
    pub(super) operator: Operator,
    pub(super) trouble: Trouble,
    pub(super) trouble_at: Time,
}

impl Scenario {
    /// Without troubles.
    pub(super) fn new(way: Way, fencing: Fencing, seed: u64, engines: usize) -> Self {
        Self {
            way,
            fencing,
            seed,
            engines,
            pause_at: Vec::new(),
            operator: Operator::None,
            trouble: Trouble::None,
            trouble_at: Time::NEVER,
        }
    }
}

/// What a run showed.
#[derive(Debug, Default)]
pub(super) struct Outcome {
    pub(super) finished_s: Option<f64>,
    pub(super) short_s: f64,
    pub(super) both_short: bool,
    pub(super) withdrawn_requests: f64,
    pub(super) revived: bool,
    pub(super) late_orders: u64,
    pub(super) late_removals: u64,
    pub(super) refused_orders: u64,
    pub(super) unsafe_removals: u64,
    pub(super) orders: u64,
    pub(super) loads_without_leave: u64,
    pub(super) store_calls: u64,
    /// Seconds, then slots ready and needed of versions 1 and 2, a sample a second.
    pub(super) samples: Vec<[f64; 5]>,
    /// When whoever drives acted.
    pub(super) acted_at: Vec<Time>,
}

//! The conditions of a run and its outcome.

use types::prelude::*;

use super::DriverKind;
use super::environment::Fencing;

/// Action of an operator while the driver is paused.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Operator {
    /// None.
    None,
    /// Aborts the roll-out, or starts one in the opposite direction if it is finished.
    Aborts,
    /// Withdraws the new version.
    Withdraws,
}

/// Fault in addition to the pauses.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Fault {
    /// None.
    None,
    /// The store is down for a minute.
    StoreDown,
    /// A fifth of the store's replies is lost from the time of the fault on.
    LostReplies,
    /// The weight store grants permits only every few seconds.
    SlowWeights,
    /// The engines of a failure domain restart with only the old version loaded.
    DomainLost,
}

/// Conditions of a run.
#[derive(Debug, Clone)]
pub(super) struct Scenario {
    pub(super) driver_kind: DriverKind,
    pub(super) fencing: Fencing,
    pub(super) seed: u64,
    /// Number of engines in the pool.
    pub(super) engines: usize,
    /// Times at which the daemon that is driving is paused.
    pub(super) pause_at: Vec<Time>,
    pub(super) operator: Operator,
    pub(super) fault: Fault,
    pub(super) fault_at: Time,
}

impl Scenario {
    /// Creates a scenario without faults, pauses and operator actions.
    pub(super) fn new(
        driver_kind: DriverKind,
        fencing: Fencing,
        seed: u64,
        engines: usize,
    ) -> Self {
        Self {
            driver_kind,
            fencing,
            seed,
            engines,
            pause_at: Vec::new(),
            operator: Operator::None,
            fault: Fault::None,
            fault_at: Time::NEVER,
        }
    }
}

/// Outcome of a run.
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
    pub(super) loads_without_permit: u64,
    pub(super) store_calls: u64,
    /// Samples, one per second: time in seconds, ready slots of versions 1 and 2, needed slots of
    /// versions 1 and 2.
    pub(super) samples: Vec<[f64; 5]>,
    /// Times at which the driving daemon acted.
    pub(super) acted_at: Vec<Time>,
}

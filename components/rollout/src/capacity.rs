//! How much a version can run and how much it must.

use catalogue::entry::VersionState;
use types::prelude::*;

use crate::driver::Config;
use crate::goal::{Goal, Phase};
use crate::observed::{Engine, Observed};

/// Engines that a version which still serves sessions keeps at least.
const LEAST_ENGINES: usize = 2;

/// Slots of engines that have a version ready, counted only where the report is recent.
///
/// An engine that has not reported lately may have died; it is no reason to remove another.
pub(crate) fn ready(seen: &Observed<'_>, version: &VersionName, now: Time, cfg: &Config) -> f64 {
    let usable = seen.engines.iter().filter(|e| !e.leaving);
    let usable = usable.filter(|e| e.is_fresh(now, cfg.recent));
    slots(usable.filter(|e| e.has_ready(version)))
}

/// Slots of engines that have a version ready or loading.
pub(crate) fn expected(seen: &Observed<'_>, version: &VersionName) -> f64 {
    let usable = seen.engines.iter().filter(|e| !e.leaving);
    slots(usable.filter(|e| e.has(version)))
}

/// Slots of all engines that take work.
pub(crate) fn all(seen: &Observed<'_>) -> f64 {
    slots(seen.engines.iter().filter(|e| !e.leaving))
}

fn slots<'a>(engines: impl Iterator<Item = &'a Engine>) -> f64 {
    engines.map(|e| f64::from(e.slots)).sum()
}

/// Slots that the largest engines can lose at once to late orders of paused drivers.
pub(crate) fn margin(seen: &Observed<'_>, cfg: &Config) -> f64 {
    let mut sizes: Vec<u32> = seen.engines.iter().map(|e| e.slots).collect();
    sizes.sort_unstable_by(|a, b| b.cmp(a));
    sizes
        .iter()
        .take(cfg.margin_engines)
        .map(|s| f64::from(*s))
        .sum()
}

/// What the two versions of a roll-out must be able to run.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) struct Needs {
    /// The version that stays, before any capacity of the other goes.
    pub(crate) keep: f64,
    /// The version that stays, to be loaded.
    pub(crate) keep_wanted: f64,
    /// The version that goes. Infinite: nothing of it may go.
    pub(crate) drop: f64,
}

impl Needs {
    pub(crate) fn of(goal: &Goal, seen: &Observed<'_>, now: Time, cfg: &Config) -> Self {
        let total = seen.demand.total();
        let (_, on_drop) = goal.demand(seen.model, &seen.demand);
        let all = all(seen);
        let margin = margin(seen, cfg);
        let sized = |demand: f64| demand * cfg.headroom + margin;
        match goal.phase {
            Phase::Bring { share, next } => {
                let keep = sized(total * next.get()).min(all);
                let rest = sized(on_drop.max(total * (1.0 - share.get())));
                let whole = next == Share::ALL;
                let as_before = if whole {
                    ready(seen, &goal.drop, now, cfg)
                } else {
                    0.0
                };
                Self {
                    keep,
                    keep_wanted: keep.max(as_before).max(least(seen)).min(all),
                    drop: rest.min(all),
                }
            }
            Phase::Remove { drop_state } => Self {
                keep: sized(total).min(all),
                keep_wanted: all,
                drop: removed_to(drop_state, on_drop, sized(on_drop).max(least(seen))),
            },
        }
    }
}

/// What a version that goes keeps.
fn removed_to(state: VersionState, demand: f64, draining: f64) -> f64 {
    match state {
        // Offered again by an operator: it is not for the driver to take it away.
        VersionState::Offered => f64::INFINITY,
        VersionState::Draining => draining,
        // What runs on it ends first.
        VersionState::Withdrawn if demand > 0.0 => f64::INFINITY,
        VersionState::Withdrawn => 0.0,
    }
}

fn least(seen: &Observed<'_>) -> f64 {
    let mut sizes: Vec<u32> = seen.engines.iter().map(|e| e.slots).collect();
    sizes.sort_unstable();
    sizes
        .iter()
        .take(LEAST_ENGINES)
        .map(|s| f64::from(*s))
        .sum()
}

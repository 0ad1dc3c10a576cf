//! The capacity that versions have and the capacity that they need, in slots.

use catalogue::entry::VersionState;
use types::prelude::*;

use crate::driver::Config;
use crate::goal::{Goal, Phase};
use crate::observed::{Engine, Observed};

/// Minimum number of engines kept for a version that still serves sessions.
const MIN_ENGINES: usize = 2;

/// Slots of the engines that have a version ready, by recent reports only.
///
/// An engine without a recent report may have crashed, and must not justify a removal elsewhere.
pub(crate) fn ready_slots(
    observed: &Observed<'_>,
    version: &VersionName,
    now: Time,
    cfg: &Config,
) -> f64 {
    let usable = observed.engines.iter().filter(|e| !e.leaving);
    let usable = usable.filter(|e| e.is_fresh(now, cfg.max_report_age));
    sum_slots(usable.filter(|e| e.has_ready(version)))
}

/// Slots of the engines that have a version ready or are loading it.
pub(crate) fn expected_slots(observed: &Observed<'_>, version: &VersionName) -> f64 {
    let usable = observed.engines.iter().filter(|e| !e.leaving);
    sum_slots(usable.filter(|e| e.has(version)))
}

/// Slots of all engines that take new work.
pub(crate) fn total_slots(observed: &Observed<'_>) -> f64 {
    sum_slots(observed.engines.iter().filter(|e| !e.leaving))
}

fn sum_slots<'a>(engines: impl Iterator<Item = &'a Engine>) -> f64 {
    engines.map(|e| f64::from(e.slots)).sum()
}

/// Slots that late orders of paused drivers can take away at once, from the largest engines.
pub(crate) fn margin_slots(observed: &Observed<'_>, cfg: &Config) -> f64 {
    let mut sizes: Vec<u32> = observed.engines.iter().map(|e| e.slots).collect();
    sizes.sort_unstable_by(|a, b| b.cmp(a));
    sizes
        .iter()
        .take(cfg.margin_engines)
        .map(|s| f64::from(*s))
        .sum()
}

/// Slots that the two versions of a roll-out need.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) struct Needs {
    /// For the version that stays, before any capacity of the other is removed.
    pub(crate) keep: f64,
    /// For the version that stays: loads are ordered up to this.
    pub(crate) keep_target: f64,
    /// For the version that goes; infinite if none of its capacity may be removed.
    pub(crate) drop: f64,
}

impl Needs {
    pub(crate) fn of(goal: &Goal, observed: &Observed<'_>, now: Time, cfg: &Config) -> Self {
        let total = observed.demand.total();
        let (_, on_drop) = goal.demand(observed.model, &observed.demand);
        let all = total_slots(observed);
        let margin = margin_slots(observed, cfg);
        let with_reserve = |demand: f64| demand * cfg.headroom + margin;
        match goal.phase {
            Phase::Ramp { share, next } => {
                let keep = with_reserve(total * next.get()).min(all);
                let rest = with_reserve(on_drop.max(total * (1.0 - share.get())));
                let takes_all = next == Share::ALL;
                let slots_of_dropped = if takes_all {
                    ready_slots(observed, &goal.drop, now, cfg)
                } else {
                    0.0
                };
                Self {
                    keep,
                    keep_target: keep.max(slots_of_dropped).max(min_slots(observed)).min(all),
                    drop: rest.min(all),
                }
            }
            Phase::Remove { drop_state } => Self {
                keep: with_reserve(total).min(all),
                keep_target: all,
                drop: slots_kept(
                    drop_state,
                    on_drop,
                    with_reserve(on_drop).max(min_slots(observed)),
                ),
            },
        }
    }
}

/// Slots to keep for the version that goes once the other gets all new sessions.
fn slots_kept(state: VersionState, demand: f64, draining: f64) -> f64 {
    match state {
        // An operator has offered it again, so the driver must not remove it.
        VersionState::Offered => f64::INFINITY,
        VersionState::Draining => draining,
        // Requests that still run on it end first.
        VersionState::Withdrawn if demand > 0.0 => f64::INFINITY,
        VersionState::Withdrawn => 0.0,
    }
}

/// Slots of the [`MIN_ENGINES`] smallest engines.
fn min_slots(observed: &Observed<'_>) -> f64 {
    let mut sizes: Vec<u32> = observed.engines.iter().map(|e| e.slots).collect();
    sizes.sort_unstable();
    sizes.iter().take(MIN_ENGINES).map(|s| f64::from(*s)).sum()
}

//! Runs the timed part of the quality evidence and logs what changed, for operators.

use quality::{Change, Phase};
use types::prelude::*;

use crate::shared::{Shared, lock};

/// Runs the statistical tests and budgets for a fleet of `fleet` live daemons.
pub(crate) fn tick(shared: &Shared, now: Time, fleet: usize) {
    let changes = lock(&shared.quality).tick(now, fleet, &mut rand::rng());
    for change in &changes {
        log_change(change);
    }
    if !changes.is_empty() {
        let dump = lock(&shared.quality).dump();
        let suspended = dump
            .streams
            .iter()
            .filter(|stream| stream.phase == Phase::Suspended);
        shared
            .metrics
            .suspended_versions
            .set(suspended.count() as i64);
    }
}

fn log_change(change: &Change) {
    let Change {
        class,
        version,
        from,
        to,
        quality,
        ratings,
    } = change;
    if *to == Phase::Suspended {
        tracing::warn!(
            "quality: {version} is suspended for {class}: {quality:.3} adequate of {ratings:.0}"
        );
    } else {
        tracing::info!("quality: {version} went from {from:?} to {to:?} for {class}");
    }
}

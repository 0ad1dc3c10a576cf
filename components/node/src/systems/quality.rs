//! Runs what goes by time in the evidence and tells operators what changed.

use quality::{Change, Phase};
use types::prelude::*;

use crate::shared::{Shared, lock};

/// Runs the tests and budgets for a fleet of so many live daemons.
pub(crate) fn tick(shared: &Shared, now: Time, fleet: usize) {
    let changes = lock(&shared.quality).tick(now, fleet, &mut rand::rng());
    for change in &changes {
        tell(change);
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

fn tell(change: &Change) {
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

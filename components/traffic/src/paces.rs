//! Paces of engines: merged, published, logged and counted.

use dispatch::{PaceChange, PaceUpdate};
use types::prelude::*;

use crate::shared::Shared;

/// Changes are logged one by one up to this many at a time: at a daemon's start it learns of all
/// slow engines at once.
const MAX_LOGGED: usize = 8;

impl<T> Shared<T> {
    /// Merges the paces that other daemons report.
    pub(crate) fn merge_paces(&self, updates: &[PaceUpdate]) {
        let now = self.now();
        let mut upstreams = self.upstreams.borrow_mut();
        for update in updates {
            upstreams.merge_paces(now, update);
        }
    }

    /// Updates the paces by which engines are chosen, and publishes this daemon's samples for the
    /// control thread.
    pub(crate) fn publish_paces(&self) {
        let now = self.now();
        let mut upstreams = self.upstreams.borrow_mut();
        let Some(changes) = upstreams.refresh_paces(now) else {
            return;
        };
        self.observed.set_paces(upstreams.pace_reports(now));
        let summary = upstreams.pace_summary();
        self.metrics.lowest_pace.set(summary.lowest.get());
        self.metrics.highest_pace.set(summary.highest.get());
        let slow = i64::try_from(summary.slow).unwrap_or(i64::MAX);
        self.metrics.slow_upstreams.set(slow);
        if changes.len() > MAX_LOGGED {
            let turned_slow = changes.iter().filter(|change| change.is_slow).count();
            let recovered = changes.len() - turned_slow;
            tracing::info!(turned_slow, recovered, "upstreams: many paces changed");
            return;
        }
        for change in &changes {
            let spec = upstreams.find_paced(change.upstream);
            log(spec.map(|spec| &spec.id), change);
        }
    }
}

fn log(upstream: Option<&UpstreamId>, change: &PaceChange) {
    let upstream = upstream.map(UpstreamId::as_str);
    let pace = change.pace.get();
    match change.is_slow {
        true => tracing::info!(upstream, pace, "upstreams: slow"),
        false => tracing::info!(upstream, pace, "upstreams: no longer slow"),
    }
}

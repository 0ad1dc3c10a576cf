//! Mean latency of each version's answers, as this daemon sees them.

use std::collections::BTreeMap;

use types::prelude::*;

/// Weight of the newest answer in the moving average.
const NEWEST_WEIGHT: f64 = 0.05;
/// Most versions kept; the catalogue's own bound is lower.
const MAX_VERSIONS: usize = 1024;

/// Exponential moving averages of the time to a whole answer, by version.
#[derive(Debug, Default)]
pub(crate) struct Latencies {
    means: BTreeMap<VersionId, f64>,
}

impl Latencies {
    /// The mean of a version's answers, or `None` before the first.
    pub(crate) fn of(&self, version: &VersionId) -> Option<Span> {
        self.means
            .get(version)
            .map(|mean| Span::from_secs_f64(*mean))
    }

    /// Adds an answer that took `took`.
    pub(crate) fn record(&mut self, version: &VersionId, took: Span) {
        let took = took.as_secs_f64();
        if let Some(mean) = self.means.get_mut(version) {
            *mean += NEWEST_WEIGHT * (took - *mean);
            return;
        }
        if self.means.len() >= MAX_VERSIONS {
            self.means.pop_first();
        }
        self.means.insert(version.clone(), took);
    }
}

//! How long each version's answers take, as this daemon sees them.

use std::collections::BTreeMap;

use types::prelude::*;

/// Weight of the newest answer.
const NEWEST: f64 = 0.05;
/// Versions remembered, at most; the catalogue's own bound is lower.
const MAX_VERSIONS: usize = 1024;

/// Mean times to the end of an answer.
#[derive(Debug, Default)]
pub(crate) struct Paces {
    means: BTreeMap<VersionId, f64>,
}

impl Paces {
    /// The mean, once an answer was seen.
    pub(crate) fn of(&self, version: &VersionId) -> Option<Span> {
        self.means
            .get(version)
            .map(|mean| Span::from_secs_f64(*mean))
    }

    /// Takes an answer's time.
    pub(crate) fn note(&mut self, version: &VersionId, took: Span) {
        let took = took.as_secs_f64();
        if let Some(mean) = self.means.get_mut(version) {
            *mean += NEWEST * (took - *mean);
            return;
        }
        if self.means.len() >= MAX_VERSIONS {
            self.means.pop_first();
        }
        self.means.insert(version.clone(), took);
    }
}

//! Fingerprints of recent bills of a shard, as read from the store.

use std::collections::{BTreeSet, HashMap};

use crate::bill::Fingerprint;

/// Fingerprints by the segment that holds them. A segment never changes once written.
#[derive(Debug, Default)]
pub(super) struct Seen {
    segments: BTreeSet<u64>,
    fingerprints: HashMap<Fingerprint, u64>,
}

impl Seen {
    pub(super) fn len(&self) -> usize {
        self.fingerprints.len()
    }

    pub(super) fn contains(&self, fingerprint: &Fingerprint) -> bool {
        self.fingerprints.contains_key(fingerprint)
    }

    pub(super) fn has(&self, segment: u64) -> bool {
        self.segments.contains(&segment)
    }

    pub(super) fn add(
        &mut self,
        segment: u64,
        fingerprints: impl IntoIterator<Item = Fingerprint>,
    ) {
        self.segments.insert(segment);
        self.fingerprints
            .extend(fingerprints.into_iter().map(|each| (each, segment)));
    }

    /// Keeps only segments that the head still names.
    pub(super) fn keep(&mut self, named: &BTreeSet<u64>) {
        if self.segments.is_subset(named) {
            return;
        }
        self.segments.retain(|segment| named.contains(segment));
        self.fingerprints
            .retain(|_, segment| named.contains(segment));
    }
}

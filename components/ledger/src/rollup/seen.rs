//! Cache of the fingerprints of a shard's recent bills.

use std::collections::{BTreeSet, HashMap};

use crate::bill::Fingerprint;

/// Cached fingerprints and the segments that they belong to. A segment never changes once it
/// is written, so the cache stays valid.
#[derive(Debug, Default)]
pub(super) struct KnownFingerprints {
    segments: BTreeSet<u64>,
    fingerprints: HashMap<Fingerprint, u64>,
}

impl KnownFingerprints {
    pub(super) fn len(&self) -> usize {
        self.fingerprints.len()
    }

    pub(super) fn contains(&self, fingerprint: &Fingerprint) -> bool {
        self.fingerprints.contains_key(fingerprint)
    }

    pub(super) fn has_segment(&self, segment: u64) -> bool {
        self.segments.contains(&segment)
    }

    pub(super) fn add_segment(
        &mut self,
        segment: u64,
        fingerprints: impl IntoIterator<Item = Fingerprint>,
    ) {
        self.segments.insert(segment);
        self.fingerprints
            .extend(fingerprints.into_iter().map(|each| (each, segment)));
    }

    /// Keeps only the segments that the head still lists.
    pub(super) fn retain_segments(&mut self, listed: &BTreeSet<u64>) {
        if self.segments.is_subset(listed) {
            return;
        }
        self.segments.retain(|segment| listed.contains(segment));
        self.fingerprints
            .retain(|_, segment| listed.contains(segment));
    }
}

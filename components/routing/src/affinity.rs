//! Table of the upstreams that this daemon believes to have a prompt's prefix cached.
//!
//! The table is approximate and bounded: it has two generations of entries, and when the current
//! one is full the previous one is dropped, which forgets prefixes not used for a while. Cache
//! events of the engines correct it, but they come late and with gaps, so it only influences where
//! a request is sent first.

use std::collections::HashMap;

use crate::demand::{PrefixHash, TargetIndex, UpstreamIndex};

/// Maximum number of prefixes in a generation.
const GENERATION_ENTRIES: usize = 32_768;
/// Maximum number of upstreams remembered for a prefix.
pub(crate) const MAX_HOLDERS: usize = 4;

/// Upstreams that have a prefix cached, latest first.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct Holders {
    indices: [Option<UpstreamIndex>; MAX_HOLDERS],
}

impl Holders {
    pub(crate) fn iter(&self) -> impl Iterator<Item = UpstreamIndex> {
        self.indices.iter().flatten().copied()
    }

    pub(crate) fn contains(&self, index: UpstreamIndex) -> bool {
        self.indices.contains(&Some(index))
    }

    fn add(&mut self, index: UpstreamIndex) {
        let holder = self
            .indices
            .iter()
            .position(|holder| *holder == Some(index));
        let last = holder.unwrap_or(MAX_HOLDERS - 1);
        self.indices[..=last].rotate_right(1);
        self.indices[0] = Some(index);
    }

    fn remove(&mut self, index: UpstreamIndex) {
        for holder in &mut self.indices {
            if *holder == Some(index) {
                *holder = None;
            }
        }
    }
}

/// Prefixes and the upstreams that have them cached.
#[derive(Debug, Clone, Default)]
pub(crate) struct PrefixTable {
    current: HashMap<u64, Holders>,
    previous: HashMap<u64, Holders>,
}

impl PrefixTable {
    pub(crate) fn holders(&self, target: TargetIndex, prefix: PrefixHash) -> Option<&Holders> {
        let key = prefix_key(target, prefix);
        self.current.get(&key).or_else(|| self.previous.get(&key))
    }

    pub(crate) fn add(&mut self, target: TargetIndex, prefix: PrefixHash, index: UpstreamIndex) {
        let key = prefix_key(target, prefix);
        if !self.current.contains_key(&key) {
            let holders_before = self.previous.remove(&key).unwrap_or_default();
            self.rotate_if_full();
            self.current.insert(key, holders_before);
        }
        if let Some(holders) = self.current.get_mut(&key) {
            holders.add(index);
        }
    }

    pub(crate) fn remove(&mut self, target: TargetIndex, prefix: PrefixHash, index: UpstreamIndex) {
        let key = prefix_key(target, prefix);
        for generation in [&mut self.current, &mut self.previous] {
            if let Some(holders) = generation.get_mut(&key) {
                holders.remove(index);
            }
        }
    }

    pub(crate) fn len(&self) -> usize {
        self.current.len() + self.previous.len()
    }

    fn rotate_if_full(&mut self) {
        if self.current.len() >= GENERATION_ENTRIES {
            self.previous = std::mem::take(&mut self.current);
        }
    }
}

/// Hash of target and prefix. Caches of different versions share nothing, so the target is part of
/// the key.
pub(crate) fn prefix_key(target: TargetIndex, prefix: PrefixHash) -> u64 {
    const ODD_MULTIPLIER: u64 = 0x9e37_79b9_7f4a_7c15;
    let mixed = prefix.0 ^ u64::from(target.0).wrapping_mul(ODD_MULTIPLIER);
    (mixed ^ (mixed >> 29)).wrapping_mul(ODD_MULTIPLIER)
}

//! Which upstreams this daemon believes to hold a prompt's beginning in their caches.
//!
//! Approximate and bounded: two generations of entries. When the younger is full the older
//! is dropped, so that what was not used for a while goes. Engines' cache events correct it,
//! but come late and with gaps, so nothing depends on it but where a request is sent first.

use std::collections::HashMap;

use crate::demand::{PrefixHash, TargetIndex, UpstreamIndex};

/// Prefixes in a generation.
const GENERATION_ENTRIES: usize = 32_768;
/// Upstreams remembered for a prefix.
pub(crate) const MAX_HOLDERS: usize = 4;

/// Upstreams that hold a prefix, latest first.
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
        let held = self.indices.iter().position(|held| *held == Some(index));
        let last = held.unwrap_or(MAX_HOLDERS - 1);
        self.indices[..=last].rotate_right(1);
        self.indices[0] = Some(index);
    }

    fn remove(&mut self, index: UpstreamIndex) {
        for held in &mut self.indices {
            if *held == Some(index) {
                *held = None;
            }
        }
    }
}

/// Prefixes and their holders.
#[derive(Debug, Clone, Default)]
pub(crate) struct PrefixTable {
    young: HashMap<u64, Holders>,
    old: HashMap<u64, Holders>,
}

impl PrefixTable {
    pub(crate) fn holders(&self, target: TargetIndex, prefix: PrefixHash) -> Option<&Holders> {
        let key = key_of(target, prefix);
        self.young.get(&key).or_else(|| self.old.get(&key))
    }

    pub(crate) fn add(&mut self, target: TargetIndex, prefix: PrefixHash, index: UpstreamIndex) {
        let key = key_of(target, prefix);
        if !self.young.contains_key(&key) {
            let older = self.old.remove(&key).unwrap_or_default();
            self.make_room();
            self.young.insert(key, older);
        }
        if let Some(holders) = self.young.get_mut(&key) {
            holders.add(index);
        }
    }

    pub(crate) fn remove(&mut self, target: TargetIndex, prefix: PrefixHash, index: UpstreamIndex) {
        let key = key_of(target, prefix);
        for generation in [&mut self.young, &mut self.old] {
            if let Some(holders) = generation.get_mut(&key) {
                holders.remove(index);
            }
        }
    }

    pub(crate) fn len(&self) -> usize {
        self.young.len() + self.old.len()
    }

    fn make_room(&mut self) {
        if self.young.len() >= GENERATION_ENTRIES {
            self.old = std::mem::take(&mut self.young);
        }
    }
}

/// Caches of different versions share nothing, so the target is part of the key.
pub(crate) fn key_of(target: TargetIndex, prefix: PrefixHash) -> u64 {
    const ODD: u64 = 0x9e37_79b9_7f4a_7c15;
    let mixed = prefix.0 ^ u64::from(target.0).wrapping_mul(ODD);
    (mixed ^ (mixed >> 29)).wrapping_mul(ODD)
}

//! Pool of the eligible upstreams of one target, ordered for sampling and for prefixes.
//!
//! Members are kept sorted by a hash, so that one is added or removed by a binary search. The order
//! of the sampling lists differs between daemons (rendezvous hashing): the first few of a list are
//! the daemon's subset, and when one of them is removed the next one moves up. The order of the
//! ring is the same in all daemons, so that they agree on a prefix's home upstreams.

use pace::Baseline;
use types::prelude::*;

use crate::demand::UpstreamIndex;

/// Distance of an upstream from this daemon, nearest first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Distance {
    SameDomain,
    SameRegion,
    Far,
}

pub(crate) const DISTANCES: [Distance; 3] =
    [Distance::SameDomain, Distance::SameRegion, Distance::Far];

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct Member {
    hash: u64,
    index: UpstreamIndex,
}

/// Upstreams in the order of a hash.
#[derive(Debug, Clone, Default)]
pub(crate) struct HashOrder(Vec<Member>);

impl HashOrder {
    fn insert(&mut self, member: Member) {
        if let Err(position) = self.0.binary_search(&member) {
            self.0.insert(position, member);
        }
    }

    fn remove(&mut self, member: Member) {
        if let Ok(position) = self.0.binary_search(&member) {
            self.0.remove(position);
        }
    }

    pub(crate) fn len(&self) -> usize {
        self.0.len()
    }

    pub(crate) fn get(&self, position: usize) -> UpstreamIndex {
        self.0[position].index
    }

    pub(crate) fn first(&self, count: usize) -> impl Iterator<Item = UpstreamIndex> {
        self.0.iter().take(count).map(|member| member.index)
    }

    /// The `window` members from a point of the ring on, with their hashes.
    pub(crate) fn after(
        &self,
        point: u64,
        window: usize,
    ) -> impl Iterator<Item = (u64, UpstreamIndex)> {
        let position = self.0.partition_point(|member| member.hash < point);
        let members = self.0[position..].iter().chain(&self.0[..position]);
        let members = members.take(window);
        members.map(|member| (member.hash, member.index))
    }
}

/// Hashes and distance of an upstream that determine its position in the pools.
#[derive(Debug, Clone, Copy)]
pub(crate) struct PoolKeys {
    /// Differs between daemons; orders the sampling lists.
    pub(crate) daemon_hash: u64,
    /// The same in all daemons; orders the rings.
    pub(crate) shared_hash: u64,
    pub(crate) distance: Distance,
}

impl PoolKeys {
    pub(crate) fn new(id: &UpstreamId, seed: u64, distance: Distance) -> Self {
        let bytes = id.as_str().as_bytes();
        Self {
            daemon_hash: xxhash_rust::xxh3::xxh3_64_with_seed(bytes, seed),
            shared_hash: xxhash_rust::xxh3::xxh3_64(bytes),
            distance,
        }
    }
}

/// Pool of the eligible upstreams of one target.
#[derive(Debug, Clone, Default)]
pub(crate) struct Pool {
    by_distance: [HashOrder; DISTANCES.len()],
    /// Ring of this daemon's region, and ring of all other regions.
    rings: [HashOrder; 2],
    /// Number of upstreams with the target that are neither leaving nor removed, ejected ones
    /// included.
    pub(crate) total: usize,
    /// Number of these that are ejected.
    pub(crate) ejected: usize,
    /// Slots of the eligible upstreams.
    pub(crate) slots: u64,
    /// Decayed mean of other daemons' requests per slot.
    pub(crate) mean_others: f64,
    /// Usual time between tokens, in microseconds.
    pub(crate) per_token: Baseline,
}

impl Pool {
    pub(crate) fn insert(&mut self, index: UpstreamIndex, keys: PoolKeys) {
        let daemon_member = Member {
            hash: keys.daemon_hash,
            index,
        };
        let shared_member = Member {
            hash: keys.shared_hash,
            index,
        };
        self.by_distance[keys.distance as usize].insert(daemon_member);
        self.rings[usize::from(keys.distance == Distance::Far)].insert(shared_member);
    }

    pub(crate) fn remove(&mut self, index: UpstreamIndex, keys: PoolKeys) {
        let daemon_member = Member {
            hash: keys.daemon_hash,
            index,
        };
        let shared_member = Member {
            hash: keys.shared_hash,
            index,
        };
        self.by_distance[keys.distance as usize].remove(daemon_member);
        self.rings[usize::from(keys.distance == Distance::Far)].remove(shared_member);
    }

    /// Position of an upstream in the order of its distance, or the position it would have.
    pub(crate) fn position_of(&self, index: UpstreamIndex, keys: PoolKeys) -> usize {
        let daemon_member = Member {
            hash: keys.daemon_hash,
            index,
        };
        let order = &self.by_distance[keys.distance as usize];
        order.0.partition_point(|member| *member < daemon_member)
    }

    pub(crate) fn at_distance(&self, distance: Distance) -> &HashOrder {
        &self.by_distance[distance as usize]
    }

    /// Ring of the upstreams of this daemon's region, the same in all daemons of the region.
    pub(crate) fn region_ring(&self) -> &HashOrder {
        &self.rings[0]
    }

    pub(crate) fn len(&self) -> usize {
        self.by_distance.iter().map(HashOrder::len).sum()
    }
}

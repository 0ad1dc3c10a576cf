//! Eligible upstreams of one target, ordered for sampling and for prefixes.
//!
//! Members are kept sorted by a hash, so that one comes or goes by a binary search. The
//! order of the sampling lists differs between daemons (rendezvous hashing): the first few
//! of a list are the daemon's subset, and when one of them goes the next moves up by itself.
//! The order of the ring is the same in all daemons, so that they agree on a prefix's home.

use types::prelude::*;

use crate::demand::UpstreamIndex;

/// Nearest first.
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
        if let Err(place) = self.0.binary_search(&member) {
            self.0.insert(place, member);
        }
    }

    fn remove(&mut self, member: Member) {
        if let Ok(place) = self.0.binary_search(&member) {
            self.0.remove(place);
        }
    }

    pub(crate) fn len(&self) -> usize {
        self.0.len()
    }

    pub(crate) fn get(&self, place: usize) -> UpstreamIndex {
        self.0[place].index
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
        let place = self.0.partition_point(|member| member.hash < point);
        let members = self.0[place..].iter().chain(&self.0[..place]);
        let members = members.take(window);
        members.map(|member| (member.hash, member.index))
    }
}

/// Hashes of an upstream that place it in the lists.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Ranks {
    pub(crate) own: u64,
    pub(crate) shared: u64,
    pub(crate) distance: Distance,
}

impl Ranks {
    pub(crate) fn new(id: &UpstreamId, seed: u64, distance: Distance) -> Self {
        let bytes = id.as_str().as_bytes();
        Self {
            own: xxhash_rust::xxh3::xxh3_64_with_seed(bytes, seed),
            shared: xxhash_rust::xxh3::xxh3_64(bytes),
            distance,
        }
    }
}

/// Eligible upstreams of one target.
#[derive(Debug, Clone, Default)]
pub(crate) struct Candidates {
    by_distance: [HashOrder; DISTANCES.len()],
    ring: [HashOrder; 2],
    /// Upstreams with the target that are neither leaving nor removed, ejected ones included.
    pub(crate) present: usize,
    /// Of those, ejected.
    pub(crate) ejected: usize,
    /// Slots of the eligible ones.
    pub(crate) slots: u64,
    /// Decayed mean of others' requests per slot.
    pub(crate) usual_others: f64,
    /// Decayed mean time between tokens, in microseconds.
    pub(crate) per_token: f64,
    /// Answers in that mean.
    pub(crate) paced: u32,
}

impl Candidates {
    pub(crate) fn insert(&mut self, index: UpstreamIndex, ranks: Ranks) {
        let own = Member {
            hash: ranks.own,
            index,
        };
        let shared = Member {
            hash: ranks.shared,
            index,
        };
        self.by_distance[ranks.distance as usize].insert(own);
        self.ring[usize::from(ranks.distance == Distance::Far)].insert(shared);
    }

    pub(crate) fn remove(&mut self, index: UpstreamIndex, ranks: Ranks) {
        let own = Member {
            hash: ranks.own,
            index,
        };
        let shared = Member {
            hash: ranks.shared,
            index,
        };
        self.by_distance[ranks.distance as usize].remove(own);
        self.ring[usize::from(ranks.distance == Distance::Far)].remove(shared);
    }

    /// Place of an upstream, or of where it would be, in the order of its distance.
    pub(crate) fn place_of(&self, index: UpstreamIndex, ranks: Ranks) -> usize {
        let own = Member {
            hash: ranks.own,
            index,
        };
        let order = &self.by_distance[ranks.distance as usize];
        order.0.partition_point(|member| *member < own)
    }

    pub(crate) fn at(&self, distance: Distance) -> &HashOrder {
        &self.by_distance[distance as usize]
    }

    /// Those of the own region, on the ring that all of the region's daemons share.
    pub(crate) fn near_ring(&self) -> &HashOrder {
        &self.ring[0]
    }

    pub(crate) fn len(&self) -> usize {
        self.by_distance.iter().map(HashOrder::len).sum()
    }
}

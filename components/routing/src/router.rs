//! The router's state, and the pools that follow from it.

use std::collections::{BTreeMap, BTreeSet};

use types::prelude::*;

use crate::affinity::PrefixTable;
use crate::demand::{Target, TargetIndex, UpstreamIndex};
use crate::homes::Popularity;
use crate::pick::Tuning;
use crate::pool::{Pool, PoolKeys};
use crate::upstream::{Location, Upstream};

/// Consecutive failures of distinct upstreams after which their failure domain is suspected.
const SUSPECT_DOMAIN_FAILURES: u32 = 4;

/// Number of upstreams with the latest answers that every choice considers.
const MAX_RECENTLY_ANSWERED: usize = 2;

/// One daemon's knowledge of the upstreams, and its choice among them.
#[derive(Debug, Clone)]
pub struct Router {
    pub(crate) location: Location,
    pub(crate) seed: u64,
    pub(crate) tuning: Tuning,
    pub(crate) targets: Vec<Target>,
    pub(crate) target_index: BTreeMap<Target, TargetIndex>,
    pub(crate) pools: Vec<Pool>,
    pub(crate) upstreams: Vec<Option<Entry>>,
    pub(crate) by_id: BTreeMap<UpstreamId, UpstreamIndex>,
    pub(crate) domains: Vec<Domain>,
    pub(crate) prefixes: PrefixTable,
    pub(crate) popularity: Popularity,
    pub(crate) pending_returns: BTreeSet<(Time, UpstreamIndex)>,
    pub(crate) recently_answered: [Option<UpstreamIndex>; MAX_RECENTLY_ANSWERED],
    pub(crate) preemptible: BTreeSet<UpstreamIndex>,
    pub(crate) free_indices: Vec<UpstreamIndex>,
    pub(crate) polls: BTreeSet<(Time, UpstreamIndex)>,
}

/// An upstream and its keys in the pools.
#[derive(Debug, Clone)]
pub(crate) struct Entry {
    pub(crate) upstream: Upstream,
    pub(crate) keys: PoolKeys,
    pub(crate) removed: bool,
}

/// Recent failures in a failure domain as a whole.
#[derive(Debug, Clone)]
pub(crate) struct Domain {
    pub(crate) name: FailureDomain,
    failures: u32,
    last_failed: Option<UpstreamIndex>,
}

impl Domain {
    pub(crate) fn new(name: FailureDomain) -> Self {
        Self {
            name,
            failures: 0,
            last_failed: None,
        }
    }

    /// Whether several of its upstreams were unreachable and none has answered since.
    pub(crate) fn is_suspect(&self) -> bool {
        self.failures >= SUSPECT_DOMAIN_FAILURES
    }

    pub(crate) fn record_failure(&mut self, index: UpstreamIndex) {
        if self.last_failed != Some(index) {
            self.failures = self.failures.saturating_add(1);
            self.last_failed = Some(index);
        }
    }

    pub(crate) fn record_answer(&mut self) {
        self.failures = 0;
        self.last_failed = None;
    }
}

impl Router {
    /// Creates a router without upstreams for a daemon at a location. The daemon's name determines
    /// its subsets.
    #[must_use]
    pub fn new(daemon: &DaemonId, location: Location, tuning: Tuning) -> Self {
        Self {
            location,
            seed: xxhash_rust::xxh3::xxh3_64(daemon.as_str().as_bytes()),
            tuning,
            targets: Vec::new(),
            target_index: BTreeMap::new(),
            pools: Vec::new(),
            upstreams: Vec::new(),
            by_id: BTreeMap::new(),
            domains: Vec::new(),
            prefixes: PrefixTable::default(),
            popularity: Popularity::default(),
            pending_returns: BTreeSet::new(),
            recently_answered: [None; MAX_RECENTLY_ANSWERED],
            preemptible: BTreeSet::new(),
            free_indices: Vec::new(),
            polls: BTreeSet::new(),
        }
    }

    /// Returns the upstream with an index.
    #[must_use]
    pub fn upstream(&self, index: UpstreamIndex) -> Option<&Upstream> {
        self.entry(index).map(|entry| &entry.upstream)
    }

    /// Returns the index of an upstream.
    #[must_use]
    pub fn index_of(&self, id: &UpstreamId) -> Option<UpstreamIndex> {
        self.by_id.get(id).copied()
    }

    /// Iterates over all upstreams in the order of their ids.
    pub fn upstreams(&self) -> impl Iterator<Item = (UpstreamIndex, &Upstream)> {
        let indices = self.by_id.values().copied();
        indices.filter_map(|index| Some((index, self.upstream(index)?)))
    }

    /// Returns the index of a target that was added.
    #[must_use]
    pub fn target_index(&self, target: &Target) -> Option<TargetIndex> {
        self.target_index.get(target).copied()
    }

    /// Returns the target with an index.
    #[must_use]
    pub fn target(&self, index: TargetIndex) -> Option<&Target> {
        self.targets.get(index.as_usize())
    }

    /// Returns the slots of all upstreams eligible for a target.
    #[must_use]
    pub fn slots(&self, target: TargetIndex) -> u64 {
        self.pools
            .get(target.as_usize())
            .map_or(0, |pool| pool.slots)
    }

    /// Returns the number of upstreams eligible for a target.
    #[must_use]
    pub fn eligible_count(&self, target: TargetIndex) -> usize {
        self.pools.get(target.as_usize()).map_or(0, Pool::len)
    }

    /// Returns the number of prefixes remembered.
    #[must_use]
    pub fn remembered_prefixes(&self) -> usize {
        self.prefixes.len()
    }

    /// Ends the ejections and signs of leaving whose time is over.
    pub(crate) fn apply_due_returns(&mut self, now: Time) {
        while let Some(&(at, index)) = self.pending_returns.first() {
            if !now.has_reached(at) {
                return;
            }
            self.pending_returns.pop_first();
            self.update_upstream(index, |upstream| {
                let ejected = upstream.health.ejected_until();
                if ejected.is_some_and(|until| now.has_reached(until)) {
                    upstream.health.readmit(now);
                }
                upstream.health.expire_leaving(now);
            });
        }
    }

    pub(crate) fn entry(&self, index: UpstreamIndex) -> Option<&Entry> {
        self.upstreams.get(index.as_usize())?.as_ref()
    }

    pub(crate) fn entry_mut(&mut self, index: UpstreamIndex) -> Option<&mut Entry> {
        self.upstreams.get_mut(index.as_usize())?.as_mut()
    }

    /// Changes an upstream and updates the pools accordingly.
    pub(crate) fn update_upstream(
        &mut self,
        index: UpstreamIndex,
        update: impl FnOnce(&mut Upstream),
    ) {
        self.remove_from_pools(index);
        if let Some(entry) = self.entry_mut(index) {
            update(&mut entry.upstream);
        }
        self.add_to_pools(index);
    }

    pub(crate) fn add_to_pools(&mut self, index: UpstreamIndex) {
        let Some(Some(entry)) = self.upstreams.get(index.as_usize()) else {
            return;
        };
        let health = entry.upstream.health;
        if entry.removed || health.is_leaving() {
            return;
        }
        for target in &entry.upstream.loaded {
            let pool = &mut self.pools[target.as_usize()];
            pool.total += 1;
            if health.is_ejected() {
                pool.ejected += 1;
            } else {
                pool.slots += u64::from(entry.upstream.slots);
                pool.insert(index, entry.keys);
            }
        }
    }

    pub(crate) fn remove_from_pools(&mut self, index: UpstreamIndex) {
        let Some(Some(entry)) = self.upstreams.get(index.as_usize()) else {
            return;
        };
        let health = entry.upstream.health;
        if entry.removed || health.is_leaving() {
            return;
        }
        for target in &entry.upstream.loaded {
            let pool = &mut self.pools[target.as_usize()];
            pool.total -= 1;
            if health.is_ejected() {
                pool.ejected -= 1;
            } else {
                pool.slots -= u64::from(entry.upstream.slots);
                pool.remove(index, entry.keys);
            }
        }
    }
}

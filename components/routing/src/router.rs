//! The tables, and what changes them.

use std::collections::{BTreeMap, BTreeSet};

use types::prelude::*;

use crate::affinity::PrefixTable;
use crate::demand::{Target, TargetIndex, UpstreamIndex};
use crate::homes::Popularity;
use crate::pick::Tuning;
use crate::pool::{Candidates, Ranks};
use crate::upstream::{Place, Upstream};

/// Distinct upstreams in a row that must fail before their failure domain is suspected.
const SUSPECT_FAILURES: u32 = 4;

/// Upstreams of the latest answers that are candidates.
const RECENT: usize = 2;

/// One daemon's picture of the upstreams.
#[derive(Debug, Clone)]
pub struct Router {
    pub(crate) place: Place,
    pub(crate) seed: u64,
    pub(crate) tuning: Tuning,
    pub(crate) targets: Vec<Target>,
    pub(crate) target_index: BTreeMap<Target, TargetIndex>,
    pub(crate) candidates: Vec<Candidates>,
    pub(crate) upstreams: Vec<Option<Entry>>,
    pub(crate) by_id: BTreeMap<UpstreamId, UpstreamIndex>,
    pub(crate) domains: Vec<Domain>,
    pub(crate) prefixes: PrefixTable,
    pub(crate) popularity: Popularity,
    pub(crate) returns: BTreeSet<(Time, UpstreamIndex)>,
    pub(crate) answered: [Option<UpstreamIndex>; RECENT],
    pub(crate) yielding: BTreeSet<UpstreamIndex>,
    pub(crate) vacant: Vec<UpstreamIndex>,
    pub(crate) polls: BTreeSet<(Time, UpstreamIndex)>,
}

/// An upstream and its place in the lists.
#[derive(Debug, Clone)]
pub(crate) struct Entry {
    pub(crate) upstream: Upstream,
    pub(crate) ranks: Ranks,
    pub(crate) removed: bool,
}

/// What is known of a failure domain as a whole.
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

    /// Several of its upstreams failed and none has answered since.
    pub(crate) fn is_suspect(&self) -> bool {
        self.failures >= SUSPECT_FAILURES
    }

    pub(crate) fn failed(&mut self, index: UpstreamIndex) {
        if self.last_failed != Some(index) {
            self.failures = self.failures.saturating_add(1);
            self.last_failed = Some(index);
        }
    }

    pub(crate) fn answered(&mut self) {
        self.failures = 0;
        self.last_failed = None;
    }
}

impl Router {
    /// An empty picture for a daemon at a place. The daemon's name decides its subsets.
    #[must_use]
    pub fn new(daemon: &DaemonId, place: Place, tuning: Tuning) -> Self {
        Self {
            place,
            seed: xxhash_rust::xxh3::xxh3_64(daemon.as_str().as_bytes()),
            tuning,
            targets: Vec::new(),
            target_index: BTreeMap::new(),
            candidates: Vec::new(),
            upstreams: Vec::new(),
            by_id: BTreeMap::new(),
            domains: Vec::new(),
            prefixes: PrefixTable::default(),
            popularity: Popularity::default(),
            returns: BTreeSet::new(),
            answered: [None; RECENT],
            yielding: BTreeSet::new(),
            vacant: Vec::new(),
            polls: BTreeSet::new(),
        }
    }

    /// The upstream of a number.
    #[must_use]
    pub fn upstream(&self, index: UpstreamIndex) -> Option<&Upstream> {
        self.entry(index).map(|entry| &entry.upstream)
    }

    /// The number of an upstream.
    #[must_use]
    pub fn index_of(&self, id: &UpstreamId) -> Option<UpstreamIndex> {
        self.by_id.get(id).copied()
    }

    /// All upstreams in the order of their ids.
    pub fn upstreams(&self) -> impl Iterator<Item = (UpstreamIndex, &Upstream)> {
        let indices = self.by_id.values().copied();
        indices.filter_map(|index| Some((index, self.upstream(index)?)))
    }

    /// The number of a target, if it was configured.
    #[must_use]
    pub fn target_index(&self, target: &Target) -> Option<TargetIndex> {
        self.target_index.get(target).copied()
    }

    /// The target of a number.
    #[must_use]
    pub fn target(&self, index: TargetIndex) -> Option<&Target> {
        self.targets.get(index.slot())
    }

    /// Slots of all upstreams fit to run a target.
    #[must_use]
    pub fn slots(&self, target: TargetIndex) -> u64 {
        self.candidates
            .get(target.slot())
            .map_or(0, |candidates| candidates.slots)
    }

    /// Upstreams fit to run a target.
    #[must_use]
    pub fn eligible(&self, target: TargetIndex) -> usize {
        self.candidates
            .get(target.slot())
            .map_or(0, Candidates::len)
    }

    /// Prefixes remembered.
    #[must_use]
    pub fn remembered_prefixes(&self) -> usize {
        self.prefixes.len()
    }

    /// Lets back whatever is due.
    pub(crate) fn settle(&mut self, now: Time) {
        while let Some(&(at, index)) = self.returns.first() {
            if !now.has_reached(at) {
                return;
            }
            self.returns.pop_first();
            self.change(index, |upstream| {
                let ejected = upstream.health.ejected_until();
                if ejected.is_some_and(|until| now.has_reached(until)) {
                    upstream.health.readmit(now);
                }
                upstream.health.stay(now);
            });
        }
    }

    pub(crate) fn entry(&self, index: UpstreamIndex) -> Option<&Entry> {
        self.upstreams.get(index.slot())?.as_ref()
    }

    pub(crate) fn entry_mut(&mut self, index: UpstreamIndex) -> Option<&mut Entry> {
        self.upstreams.get_mut(index.slot())?.as_mut()
    }

    /// Changes an upstream and keeps the lists true.
    pub(crate) fn change(&mut self, index: UpstreamIndex, change: impl FnOnce(&mut Upstream)) {
        self.unlist(index);
        if let Some(entry) = self.entry_mut(index) {
            change(&mut entry.upstream);
        }
        self.list(index);
    }

    pub(crate) fn list(&mut self, index: UpstreamIndex) {
        let Some(Some(entry)) = self.upstreams.get(index.slot()) else {
            return;
        };
        let health = entry.upstream.health;
        if entry.removed || health.is_leaving() {
            return;
        }
        for target in &entry.upstream.loaded {
            let pool = &mut self.candidates[target.slot()];
            pool.present += 1;
            if health.is_ejected() {
                pool.ejected += 1;
            } else {
                pool.slots += u64::from(entry.upstream.slots);
                pool.insert(index, entry.ranks);
            }
        }
    }

    pub(crate) fn unlist(&mut self, index: UpstreamIndex) {
        let Some(Some(entry)) = self.upstreams.get(index.slot()) else {
            return;
        };
        let health = entry.upstream.health;
        if entry.removed || health.is_leaving() {
            return;
        }
        for target in &entry.upstream.loaded {
            let pool = &mut self.candidates[target.slot()];
            pool.present -= 1;
            if health.is_ejected() {
                pool.ejected -= 1;
            } else {
                pool.slots -= u64::from(entry.upstream.slots);
                pool.remove(index, entry.ranks);
            }
        }
    }
}

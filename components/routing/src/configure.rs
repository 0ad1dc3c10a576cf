//! Configuration of targets and upstreams from the catalogue.

use std::collections::BTreeSet;

use types::prelude::*;

use crate::demand::{Target, TargetIndex, UpstreamIndex};
use crate::pool::{Distance, Pool, PoolKeys};
use crate::router::{Domain, Entry, Router};
use crate::upstream::{Location, Upstream, UpstreamSpec};

/// Maximum number of targets; further ones are not routed.
const MAX_TARGETS: usize = 4_096;
/// Maximum number of upstreams; further ones are not used.
const MAX_UPSTREAMS: usize = 65_536;

impl Router {
    /// Returns the index of a target, adding it if it is new. Returns `None` once the table is
    /// full.
    pub fn add_target(&mut self, target: &Target) -> Option<TargetIndex> {
        if let Some(index) = self.target_index.get(target) {
            return Some(*index);
        }
        if self.targets.len() >= MAX_TARGETS {
            return None;
        }
        let index = TargetIndex(u16::try_from(self.targets.len()).ok()?);
        self.targets.push(target.clone());
        self.target_index.insert(target.clone(), index);
        self.pools.push(Pool::default());
        Some(index)
    }

    /// Replaces the upstreams by those of the catalogue.
    ///
    /// The state of an upstream is kept while its address and location stay the same. One that is
    /// gone from the catalogue gets no new work; its index is reused once its last request has
    /// ended.
    pub fn configure(&mut self, specs: Vec<UpstreamSpec>) {
        let listed: BTreeSet<UpstreamId> = specs.iter().map(|spec| spec.id.clone()).collect();
        let gone = self.by_id.iter().filter(|(id, _)| !listed.contains(*id));
        let gone: Vec<_> = gone.map(|(_, index)| *index).collect();
        for index in gone {
            self.remove(index);
        }
        for spec in specs {
            self.add(spec);
        }
    }

    fn add(&mut self, spec: UpstreamSpec) {
        if let Some(&index) = self.by_id.get(&spec.id) {
            self.update_spec(index, spec);
            return;
        }
        let Some(index) = self.free_index() else {
            return;
        };
        let domain = self.domain_index(&spec.location.failure_domain);
        let keys = PoolKeys::new(&spec.id, self.seed, self.distance(&spec.location));
        self.by_id.insert(spec.id.clone(), index);
        self.upstreams[index.as_usize()] = Some(Entry {
            upstream: Upstream::new(spec, domain),
            keys,
            removed: false,
        });
        self.add_to_pools(index);
        self.schedule_poll(index, Time::ZERO);
    }

    fn update_spec(&mut self, index: UpstreamIndex, spec: UpstreamSpec) {
        let same_location = self.upstream(index).is_some_and(|upstream| {
            upstream.spec.address == spec.address && upstream.spec.location == spec.location
        });
        if !same_location {
            self.remove(index);
            self.add(spec);
            return;
        }
        self.update_upstream(index, |upstream| {
            for target in &spec.assumed_loaded {
                let known = upstream.spec.assumed_loaded.contains(target);
                if !known && !upstream.loaded.contains(target) {
                    upstream.loaded.push(*target);
                }
            }
            upstream
                .loaded
                .retain(|target| spec.assumed_loaded.contains(target));
            upstream.slots = spec.slots.max(1);
            upstream.spec = spec;
        });
    }

    fn remove(&mut self, index: UpstreamIndex) {
        self.remove_from_pools(index);
        self.cancel_poll(index);
        let Some(entry) = self.entry_mut(index) else {
            return;
        };
        entry.removed = true;
        let id = entry.upstream.spec.id.clone();
        self.by_id.remove(&id);
        self.free_if_unused(index);
    }

    /// Frees the index of a removed upstream after its last request.
    pub(crate) fn free_if_unused(&mut self, index: UpstreamIndex) {
        let entry = self.entry(index);
        if entry.is_some_and(|entry| entry.removed && entry.upstream.in_flight == 0) {
            self.upstreams[index.as_usize()] = None;
            self.free_indices.push(index);
            self.preemptible.remove(&index);
            self.pending_returns
                .retain(|(_, returning)| *returning != index);
        }
    }

    fn free_index(&mut self) -> Option<UpstreamIndex> {
        if let Some(index) = self.free_indices.pop() {
            return Some(index);
        }
        if self.upstreams.len() >= MAX_UPSTREAMS {
            return None;
        }
        let index = UpstreamIndex(u32::try_from(self.upstreams.len()).ok()?);
        self.upstreams.push(None);
        Some(index)
    }

    fn domain_index(&mut self, name: &FailureDomain) -> u16 {
        let known = self.domains.iter().position(|domain| domain.name == *name);
        let position = known.unwrap_or_else(|| {
            self.domains.push(Domain::new(name.clone()));
            self.domains.len() - 1
        });
        u16::try_from(position).unwrap_or(u16::MAX)
    }

    fn distance(&self, location: &Location) -> Distance {
        if location.failure_domain == self.location.failure_domain {
            Distance::SameDomain
        } else if location.region == self.location.region {
            Distance::SameRegion
        } else {
            Distance::Far
        }
    }
}

//! Taking over what the catalogue says.

use std::collections::BTreeSet;

use types::prelude::*;

use crate::demand::{Target, TargetIndex, UpstreamIndex};
use crate::pool::{Candidates, Distance, Ranks};
use crate::router::{Domain, Entry, Router};
use crate::upstream::{Place, Upstream, UpstreamSpec};

/// Targets, at most; later ones are not routed.
const MAX_TARGETS: usize = 4_096;
/// Upstreams, at most; later ones are not used.
const MAX_UPSTREAMS: usize = 65_536;

impl Router {
    /// The number of a target, given now if it has none; nothing once the table is full.
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
        self.candidates.push(Candidates::default());
        Some(index)
    }

    /// Makes the table's upstreams those of the catalogue.
    ///
    /// What is known of an upstream stays while its address stays. One that is gone gets
    /// nothing new; its number is free again once its last request has ended.
    pub fn configure(&mut self, specs: Vec<UpstreamSpec>) {
        let named: BTreeSet<UpstreamId> = specs.iter().map(|spec| spec.id.clone()).collect();
        let gone = self.by_id.iter().filter(|(id, _)| !named.contains(*id));
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
            self.update(index, spec);
            return;
        }
        let Some(index) = self.free_index() else {
            return;
        };
        let domain = self.domain_index(&spec.place.failure_domain);
        let ranks = Ranks::new(&spec.id, self.seed, self.distance(&spec.place));
        self.by_id.insert(spec.id.clone(), index);
        self.upstreams[index.slot()] = Some(Entry {
            upstream: Upstream::new(spec, domain),
            ranks,
            removed: false,
        });
        self.list(index);
        self.schedule_poll(index, Time::ZERO);
    }

    fn update(&mut self, index: UpstreamIndex, spec: UpstreamSpec) {
        let same_place = self.upstream(index).is_some_and(|upstream| {
            upstream.spec.address == spec.address && upstream.spec.place == spec.place
        });
        if !same_place {
            self.remove(index);
            self.add(spec);
            return;
        }
        self.change(index, |upstream| {
            for target in &spec.presumed {
                let known = upstream.spec.presumed.contains(target);
                if !known && !upstream.loaded.contains(target) {
                    upstream.loaded.push(*target);
                }
            }
            upstream
                .loaded
                .retain(|target| spec.presumed.contains(target));
            upstream.slots = spec.slots.max(1);
            upstream.spec = spec;
        });
    }

    fn remove(&mut self, index: UpstreamIndex) {
        self.unlist(index);
        self.cancel_poll(index);
        let Some(entry) = self.entry_mut(index) else {
            return;
        };
        entry.removed = true;
        let id = entry.upstream.spec.id.clone();
        self.by_id.remove(&id);
        self.forget_removed(index);
    }

    /// Frees the number of a removed upstream after its last request.
    pub(crate) fn forget_removed(&mut self, index: UpstreamIndex) {
        let entry = self.entry(index);
        if entry.is_some_and(|entry| entry.removed && entry.upstream.in_flight == 0) {
            self.upstreams[index.slot()] = None;
            self.vacant.push(index);
            self.yielding.remove(&index);
            self.returns.retain(|(_, returning)| *returning != index);
        }
    }

    fn free_index(&mut self) -> Option<UpstreamIndex> {
        if let Some(index) = self.vacant.pop() {
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
        let slot = known.unwrap_or_else(|| {
            self.domains.push(Domain::new(name.clone()));
            self.domains.len() - 1
        });
        u16::try_from(slot).unwrap_or(u16::MAX)
    }

    fn distance(&self, place: &Place) -> Distance {
        if place.failure_domain == self.place.failure_domain {
            Distance::SameDomain
        } else if place.region == self.place.region {
            Distance::SameRegion
        } else {
            Distance::Far
        }
    }
}

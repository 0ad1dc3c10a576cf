//! Even load of plain services with few slots, see the crate `balance`.

use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;

use balance::{Average, AverageLoad, Candidate, PeerLoad, ServiceLoad};
use rand::Rng;
use types::prelude::*;

use crate::choose::Choice;
use crate::requirements::Requirements;
use crate::upstreams::{Entry, UpstreamIndex, Upstreams};

/// What the choice by even load knows of an upstream.
#[derive(Debug, Default)]
pub(crate) struct EntryBalance {
    average: Average,
    used_at: Time,
    peers: PeerLoad,
    full_until: Time,
    /// When reports on this instance can be expected.
    reported_from: Time,
    /// Whether the latest request was sent there as to an engine.
    is_engine: bool,
}

impl EntryBalance {
    /// Creates the state of an instance that is new at this daemon.
    pub(crate) fn new(now: Time) -> Self {
        Self {
            // As if used now: one that was never used would be the next choice of all daemons.
            used_at: now,
            reported_from: now + balance::REPORT_LIFETIME,
            ..Self::default()
        }
    }

    pub(crate) fn record_start(&mut self, now: Time, in_flight: u32, is_engine: bool) {
        self.used_at = now;
        self.is_engine = is_engine;
        self.average.set(now, in_flight);
    }

    pub(crate) fn record_end(&mut self, now: Time, in_flight: u32) {
        self.average.set(now, in_flight);
    }
}

/// What the choice by even load knows of the fleet.
#[derive(Debug, Default)]
pub(crate) struct EvenLoad {
    daemons: usize,
    services: HashMap<Arc<str>, ServiceLoad>,
    /// Requests that were rejected for lack of capacity while another upstream was believed to have
    /// some.
    avoidable_rejections: u64,
}

impl EvenLoad {
    /// Returns the load by other daemons of a service whose upstreams are balanced.
    fn balanced(&self, service: &str) -> Option<&ServiceLoad> {
        let load = self.services.get(service)?;
        balance::applies(load.slots(), self.daemons).then_some(load)
    }
}

impl Upstreams {
    /// Sets the number of daemons in the fleet.
    pub fn set_daemons(&mut self, daemons: usize) {
        self.even_load.daemons = daemons;
    }

    /// Returns the averages of this daemon's requests in flight at upstreams of balanced services,
    /// for the other daemons: the largest that fit into a report.
    #[must_use]
    pub fn own_averages(&self, now: Time) -> Vec<AverageLoad> {
        if !self.policy.evens_load {
            return Vec::new();
        }
        let balanced = self.entries.values().filter(|entry| {
            let service = self.even_load.balanced(&entry.spec.service);
            !entry.balance.is_engine && service.is_some()
        });
        let loads = balanced
            .filter_map(|entry| AverageLoad::new(entry.instance.0, entry.balance.average.get(now)));
        balance::select(loads.collect())
    }

    /// Sets the loads by all other daemons, by instance key.
    pub fn set_peer_averages(&mut self, loads: &HashMap<u32, PeerLoad>) {
        if !self.policy.evens_load {
            return;
        }
        let services = &mut self.even_load.services;
        services.clear();
        for entry in self.entries.values_mut() {
            let load = loads.get(&entry.instance.0).copied().unwrap_or_default();
            entry.balance.peers = load;
            if entry.takes_requests() {
                let service = services.entry(entry.spec.service.clone()).or_default();
                service.add(load, entry.spec.slots);
            }
        }
    }

    /// Chooses among the upstreams of a plain service whose load is evened out; none for other
    /// services.
    pub(crate) fn choose_even(
        &self,
        now: Time,
        eligible: &[(UpstreamIndex, &Entry)],
        requirements: &Requirements<'_>,
        rng: &mut impl Rng,
    ) -> Option<Choice> {
        if !self.policy.evens_load || requirements.model.is_some() || !requirements.parts.is_empty()
        {
            return None;
        }
        let service = self.even_load.balanced(requirements.service)?;
        let near = eligible.iter().enumerate();
        let near =
            near.filter(|(_, (_, entry))| entry.spec.failure_domain == *requirements.local_domain);
        let near = near.map(|(position, _)| position).collect::<Vec<_>>();
        let candidate = |position: usize| candidate(now, eligible[position].1, service);
        let position = balance::choose(eligible.len(), &near, service.mean(), candidate, rng)?;
        let (index, entry) = eligible[position];
        Some(Choice {
            index,
            load: self.plain_load(entry, requirements),
            prefixes: Vec::new(),
            lease: None,
        })
    }

    /// Records that an upstream rejected a request of this daemon for lack of capacity.
    pub(crate) fn record_full(&mut self, now: Time, index: UpstreamIndex) {
        if !self.policy.evens_load {
            return;
        }
        let rejecting = self.entries.get(&index);
        let Some(rejecting) = rejecting.filter(|entry| !entry.balance.is_engine) else {
            return;
        };
        let service = &rejecting.spec.service;
        let Some(load) = self.even_load.balanced(service) else {
            return;
        };
        let others = self.by_service.get(service).into_iter().flatten();
        let others = others.filter(|other| **other != index);
        let mut others = others.filter_map(|other| self.entries.get(other));
        let is_avoidable = others
            .any(|entry| entry.takes_requests() && candidate(now, entry, load).has_capacity());
        if is_avoidable {
            self.even_load.avoidable_rejections += 1;
        }
        if let Some(entry) = self.entries.get_mut(&index) {
            entry.balance.full_until = balance::full_until(now);
        }
    }

    /// Returns how many requests were rejected for lack of capacity while another upstream was
    /// believed to have some.
    #[must_use]
    pub fn avoidable_rejections(&self) -> u64 {
        self.even_load.avoidable_rejections
    }

    /// Returns the load per slot of the busiest upstream over the mean, by service whose load is
    /// evened out and that has any load.
    #[must_use]
    pub fn skews(&self, now: Time) -> BTreeMap<Arc<str>, f64> {
        let services = self.even_load.services.keys();
        let skews = services.filter_map(|service| {
            let load = self.even_load.balanced(service)?;
            let entries = self.by_service.get(service)?.iter();
            let entries = entries.filter_map(|index| self.entries.get(index));
            let usable = entries.filter(|entry| entry.takes_requests());
            let usable = usable.filter(|entry| !entry.balance.is_engine);
            let loads = usable.map(|entry| {
                let others = balance::estimate(entry.balance.peers, entry.spec.slots, load);
                (entry.balance.average.get(now) + others, entry.spec.slots)
            });
            Some((service.clone(), balance::skew(loads)?))
        });
        skews.collect()
    }
}

fn candidate(now: Time, entry: &Entry, service: &ServiceLoad) -> Candidate {
    let estimate = balance::estimate(entry.balance.peers, entry.spec.slots, service);
    // No reports on a new instance would say that it is idle, while all daemons use it.
    let others = match now < entry.balance.reported_from {
        true => estimate.max(service.mean() * f64::from(entry.spec.slots)),
        false => estimate,
    };
    Candidate {
        own: entry.in_flight,
        used_at: entry.balance.used_at,
        others,
        slots: entry.spec.slots,
        is_full: now < entry.balance.full_until,
        is_cold: entry.is_cold(now),
    }
}

//! Decisions on requests to plain services.

use std::collections::BTreeMap;
use std::fmt;
use std::sync::Arc;

use rand::{Rng, RngExt};
use types::prelude::*;

use crate::flow::Flow;
use crate::limit::{Limit, is_congested};
use crate::peer_reports::FleetView;
use crate::policy::OverloadPolicy;
use crate::report::{Report, service_hash};
use crate::service::{FORGET_AFTER, Service};
use crate::sums;

/// Services that are counted; requests to further ones are always sent.
const MAX_SERVICES: usize = 64;
/// Part of the time left that a refused caller waits at most: it has to be served after that.
const MAX_WAIT_PART: f64 = 1.0 / 3.0;
/// Least wait, as a share of the longest.
const MIN_WAIT_SHARE: f64 = 0.3;
/// Resolution of `Retry-After`. Waits are rounded down to it, so that the wait never exceeds the
/// maximum.
const WAIT_UNIT: Span = Span::from_millis(10);

/// What became of the sends to a service since the last update.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Sends {
    /// Sends that upstreams answered.
    pub completed: u32,
    /// Sends that upstreams rejected for lack of capacity.
    pub rejected: u32,
    /// Requests in flight, as an average over the time.
    pub in_flight: f64,
}

/// Why a request is refused.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Refusal {
    /// What the fleet's callers offer.
    pub offered: Rate,
    /// What the fleet sends.
    pub limit: Rate,
    /// Probability with which a request of the same flow is sent.
    pub probability: f64,
}

impl fmt::Display for Refusal {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self {
            offered,
            limit,
            probability,
        } = self;
        let (offered, limit) = (offered.0, limit.0);
        write!(
            f,
            "offered {offered:.1}/s, limit {limit:.1}/s, probability {probability:.3}"
        )
    }
}

/// Whether a request is sent.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Decision {
    /// It is sent.
    Send,
    /// It is refused at once.
    Refuse(Refusal),
}

/// The beginning or end of a limit.
#[derive(Debug, Clone, PartialEq)]
pub struct Change {
    /// The service.
    pub service: Arc<str>,
    /// The state after it.
    pub status: ServiceStatus,
}

/// The fleet's load on a service, as this daemon knows it.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ServiceStatus {
    /// What callers offer.
    pub offered: Rate,
    /// What upstreams complete.
    pub completed: Rate,
    /// What upstreams reject for lack of capacity.
    pub rejected: Rate,
    /// Requests in flight.
    pub in_flight: f64,
    /// Slots of the upstreams that may get requests.
    pub slots: u32,
    /// The limit on sends, while the service is congested.
    pub limit: Option<Rate>,
    /// Mean probability with which a request is sent.
    pub probability: f64,
}

impl From<&Service> for ServiceStatus {
    fn from(service: &Service) -> Self {
        let sums = &service.sums;
        Self {
            offered: Rate(sums.offered),
            completed: Rate(sums.completed),
            rejected: Rate(sums.rejected),
            in_flight: sums.in_flight,
            slots: service.slots,
            limit: service.limit.map(|limit| Rate(limit.per_s())),
            probability: service.mean_probability,
        }
    }
}

/// When a refused caller is to come back: at a random time within a third of what is left until
/// its deadline.
pub fn retry_after(now: Time, deadline: Time, rng: &mut impl Rng) -> Span {
    let longest = now.until(deadline).as_secs_f64() * MAX_WAIT_PART;
    let wait = Span::from_secs_f64(longest * rng.random_range(MIN_WAIT_SHARE..=1.0));
    Span(wait.0 / WAIT_UNIT.0 * WAIT_UNIT.0)
}

/// What one daemon counts of the plain services, and decides by.
#[derive(Debug, Default)]
pub struct Overload {
    policy: OverloadPolicy,
    services: BTreeMap<Arc<str>, Service>,
    updated_at: Option<Time>,
    /// Whether there has been a report of another daemon.
    has_peer_reports: bool,
}

impl Overload {
    /// Creates an empty table.
    #[must_use]
    pub fn new(policy: OverloadPolicy) -> Self {
        Self {
            policy,
            ..Self::default()
        }
    }

    /// Counts a request and decides whether it is sent.
    pub fn decide(
        &mut self,
        now: Time,
        service: &Arc<str>,
        flow: Flow,
        rng: &mut impl Rng,
    ) -> Decision {
        if !self.policy.refuses {
            return Decision::Send;
        }
        if !self.services.contains_key(service) {
            if self.services.len() >= MAX_SERVICES {
                return Decision::Send;
            }
            let new = Service::new(service_hash(service));
            self.services.insert(Arc::clone(service), new);
        }
        let Some(service) = self.services.get_mut(service) else {
            return Decision::Send;
        };
        match service.decide(now, flow, rng.random()) {
            Ok(()) => Decision::Send,
            Err(probability) => Decision::Refuse(Refusal {
                offered: Rate(service.sums.offered),
                limit: Rate(service.limit.map_or(0.0, |limit| limit.per_s())),
                probability,
            }),
        }
    }

    /// Updates the averages, the limits and the probabilities, several times a second. `sends` is
    /// what became of a service's sends since the last update, and `slots` the slots of its
    /// upstreams that may get requests. Returns the limits that began or ended.
    pub fn update(
        &mut self,
        now: Time,
        view: &FleetView,
        mut sends: impl FnMut(&str) -> Sends,
        slots: impl Fn(&str) -> u32,
    ) -> Vec<Change> {
        let last = self.updated_at.replace(now);
        let elapsed = last.map_or(Span::ZERO, |last| now.since(last));
        if elapsed == Span::ZERO {
            return Vec::new();
        }
        // A daemon that has just started knows too little to tell from its own few requests. Until it
        // has joined, it is the only one it knows of, which must not count once it sees the others.
        self.has_peer_reports |= view.known() > 0;
        let is_alone = view.present() == 1;
        let mut changes = Vec::new();
        for (name, service) in &mut self.services {
            service.update(now, elapsed, sends(name), view);
            service.sums = sums::sum(view, &service.report());
            service.slots = slots(name);
            let may_limit = self.has_peer_reports || is_alone || service.sees_rejections();
            let was_limited = service.limit.is_some();
            update_limit(now, service, may_limit);
            service.share_out(view);
            if service.limit.is_some() != was_limited {
                changes.push(Change {
                    service: Arc::clone(name),
                    status: (&*service).into(),
                });
            }
        }
        // A request may last longer than that.
        self.services.retain(|_, service| {
            now.since(service.used_at) < FORGET_AFTER || service.has_traffic()
        });
        changes
    }

    /// This daemon's part of the load, for the other daemons.
    #[must_use]
    pub fn report(&self) -> Report {
        let services = self.services.values();
        let busy = services.filter(|service| service.has_traffic());
        Report {
            services: busy.map(Service::report).collect(),
        }
    }

    /// The fleet's load on each service.
    pub fn services(&self) -> impl Iterator<Item = (&Arc<str>, ServiceStatus)> {
        let services = self.services.iter();
        services.map(|(name, service)| (name, service.into()))
    }

    /// Whether loads are counted and reported at all.
    #[must_use]
    pub fn is_on(&self) -> bool {
        self.policy.refuses
    }
}

fn update_limit(now: Time, service: &mut Service, may_limit: bool) {
    let (sums, slots) = (service.sums, service.slots);
    // Without upstreams there is nothing to limit, and no request finds one.
    let goes_on = match &mut service.limit {
        _ if slots == 0 => false,
        Some(limit) => limit.update(now, &sums, slots),
        None if may_limit && is_congested(&sums, slots) => {
            service.limit = Some(Limit::begin(now, &sums, slots));
            true
        }
        None => false,
    };
    if !goes_on {
        service.limit = None;
        service.mean_probability = 1.0;
    }
}

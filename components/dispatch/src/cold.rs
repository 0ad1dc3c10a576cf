//! Upstreams that are cold.
//!
//! A cold upstream is slow and tolerates few requests a second. Its entry says for how long it stays
//! cold. One that got no requests may have turned cold shortly before its entry says so, so it also
//! counts as cold for a while after its failure domain is no longer evacuated.

use std::collections::HashMap;
use std::sync::Arc;

use ratelimit::{ColdBound, RateLimits};
use routes::{ColdStart, Service};
use types::prelude::*;

use crate::upstreams::{Entry, UpstreamIndex, Upstreams};

/// Longest time that one entry may advertise. A later entry may extend it.
const MAX_COLD: Span = Span::from_secs(60);
/// Weight of a new sample in the pace of cold upstreams.
const SAMPLE_WEIGHT: f64 = 0.1;
/// Upper bound of a sample, which includes waits that this daemon cannot see.
const MAX_SLOWDOWN: f64 = 8.0;

/// How far the rate of a cold upstream may be exceeded in any second.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ColdTolerance {
    /// Multiple of the rate that is tolerated.
    pub overshoot: f64,
    /// Requests that are tolerated beyond that.
    pub allowance: f64,
}

impl Default for ColdTolerance {
    fn default() -> Self {
        Self {
            overshoot: 1.0,
            allowance: 0.0,
        }
    }
}

impl ColdTolerance {
    fn bound(self, rate: Rate) -> ColdBound {
        ColdBound {
            rate,
            spare: rate.0 * (self.overshoot - 1.0) + self.allowance,
        }
    }
}

/// What is known of cold upstreams, by service.
#[derive(Debug, Default)]
pub(crate) struct ColdStarts {
    tolerance: ColdTolerance,
    by_service: HashMap<Arc<str>, ColdStart>,
    /// Mean factor by which cold upstreams take longer.
    slowdown: HashMap<Arc<str>, f64>,
}

/// Until when an upstream is cold.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct ColdUntil {
    /// End of the time that its entry advertises.
    advertised: Time,
    /// End of the time for which it may be cold unnoticed.
    assumed: Time,
}

impl ColdUntil {
    pub(crate) fn get(self) -> Time {
        self.advertised.max(self.assumed)
    }
}

impl Entry {
    pub(crate) fn is_cold(&self, now: Time) -> bool {
        now < self.cold_until.get()
    }
}

impl Upstreams {
    /// Sets how far the rates of cold upstreams may be exceeded.
    #[must_use]
    pub fn with_cold_tolerance(mut self, tolerance: ColdTolerance) -> Self {
        self.cold.tolerance = tolerance;
        self
    }

    /// Sets how the services' upstreams start.
    pub fn set_cold_starts<'a>(&mut self, services: impl Iterator<Item = &'a Service>) {
        let cold_starts = services.filter_map(|s| Some((Arc::clone(&s.name), s.cold_start?)));
        self.cold.by_service = cold_starts.collect();
    }

    /// Treats upstreams as cold that may have turned cold while they got no requests.
    pub(crate) fn assume_cold(&mut self, now: Time, is_concerned: impl Fn(&Entry) -> bool) {
        let entries = self.entries.values_mut();
        for entry in entries.filter(|entry| is_concerned(entry)) {
            let Some(cold_start) = self.cold.by_service.get(&entry.spec.service) else {
                continue;
            };
            entry.cold_until.assumed = now + cold_start.duration;
            limit_cold(&mut self.limits, &self.cold, now, entry, false);
        }
    }

    /// Whether an upstream is cold.
    #[must_use]
    pub fn is_cold(&self, now: Time, index: UpstreamIndex) -> bool {
        let entry = self.entries.get(&index);
        entry.is_some_and(|entry| entry.is_cold(now))
    }

    /// Number of upstreams that are cold.
    #[must_use]
    pub fn count_cold(&self, now: Time) -> usize {
        let entries = self.entries.values();
        entries.filter(|entry| entry.is_cold(now)).count()
    }

    /// Factor by which a service's cold upstreams take longer.
    pub(crate) fn cold_slowdown(&self, service: &str) -> f64 {
        self.cold.slowdown.get(service).copied().unwrap_or(1.0)
    }

    /// Records how much longer than expected a cold upstream took.
    pub(crate) fn record_cold_sample(&mut self, service: &Arc<str>, factor: f64) {
        let slowdown = self.cold.slowdown.entry(Arc::clone(service)).or_insert(1.0);
        *slowdown += SAMPLE_WEIGHT * (factor.clamp(1.0, MAX_SLOWDOWN) - *slowdown);
    }
}

/// Applies the cold time of an upstream's new entry; `was_in_use` is whether requests were sent to it
/// before.
pub(crate) fn apply_cold_time(
    limits: &mut RateLimits,
    cold: &ColdStarts,
    now: Time,
    entry: &mut Entry,
    was_in_use: bool,
) {
    let remaining = entry.spec.warm_up_remaining.min(MAX_COLD);
    entry.cold_until.advertised = now + remaining;
    limit_cold(limits, cold, now, entry, was_in_use);
}

/// Limits an upstream while it is cold; `was_in_use` is whether requests were sent to it before.
fn limit_cold(
    limits: &mut RateLimits,
    cold: &ColdStarts,
    now: Time,
    entry: &Entry,
    was_in_use: bool,
) {
    let until = entry.cold_until.get();
    let cold_start = cold.by_service.get(&entry.spec.service);
    let is_limited = now < until || limits.is_cold(now, entry.instance);
    if let Some(cold_start) = cold_start.filter(|_| is_limited) {
        let bound = cold.tolerance.bound(cold_start.rate);
        limits.set_cold(now, entry.instance, bound, until, was_in_use);
    }
}

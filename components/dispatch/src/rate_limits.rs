//! Rate limits that upstreams advertise in their answers.

use std::sync::Arc;

use ratelimit::{Admission, Advertised, Advertisement, Change, Fleet, InstanceKey, RateLimits};
use routes::Upstream;
use types::prelude::*;

use crate::choose::NoUpstream;
use crate::upstreams::{Entry, UpstreamIndex, Upstreams};

/// Longest time for which an upstream that refused is left alone, whatever pause it asked for:
/// other requests end there, and it may have room sooner than it expected.
const MAX_BACKOFF: Span = Span::from_secs(5);

impl Upstreams {
    /// Returns the known rate limits.
    #[must_use]
    pub fn rate_limits(&self) -> &RateLimits {
        &self.limits
    }

    /// Returns an upstream's rate limit.
    #[must_use]
    pub fn rate_limit(&self, index: UpstreamIndex) -> Option<Rate> {
        self.limits.rate(self.entries.get(&index)?.instance)
    }

    /// Iterates over the ids and limits of the upstreams that have a rate limit.
    pub fn limited(&self) -> impl Iterator<Item = (String, Rate)> {
        let rate = |entry: &Entry| self.limits.rate(entry.instance);
        let entries = self.entries.values();
        entries.filter_map(move |entry| Some((entry.spec.id.to_string(), rate(entry)?)))
    }

    /// Finds the listed upstream of an instance.
    #[must_use]
    pub fn find_instance(&self, instance: InstanceKey) -> Option<&Arc<Upstream>> {
        let entry = self
            .entries
            .values()
            .find(|entry| entry.instance == instance);
        entry.map(|entry| &entry.spec)
    }

    /// Sets the daemons that share the limits.
    pub fn set_fleet(&mut self, now: Time, fleet: &Arc<Fleet>) {
        self.limits.set_fleet(now, fleet);
        self.brittle.set_fleet(fleet);
    }

    /// Records the rate limit in an answer whose request was sent at `sent_at`.
    pub fn observe_rate_limit(
        &mut self,
        now: Time,
        index: UpstreamIndex,
        sent_at: Time,
        advertised: Advertised,
    ) -> Option<Change> {
        let instance = self.entries.get(&index)?.instance;
        self.limits.observe(now, instance, sent_at, advertised)
    }

    /// Merges a rate limit that another daemon advertises.
    pub fn merge_rate_limit(&mut self, now: Time, ad: &Advertisement) -> Option<Change> {
        self.limits.merge(now, ad)
    }

    /// Returns the rate limits to advertise to other daemons.
    pub fn advertise_rate_limits(&mut self, now: Time) -> Vec<Advertisement> {
        self.limits.advertise(now)
    }

    /// Takes a token for one more request to an upstream, if its rate limit allows it.
    pub fn try_acquire(&mut self, now: Time, index: UpstreamIndex) -> bool {
        let Some(entry) = self.entries.get(&index) else {
            return false;
        };
        let is_open = self.limits.admission(now, entry.instance) == Admission::Open;
        if is_open {
            self.limits.take(now, entry.instance);
        }
        is_open
    }

    /// Leaves an upstream alone until `until`, as it asked for, but no longer than
    /// `MAX_BACKOFF`.
    pub fn back_off(&mut self, now: Time, index: UpstreamIndex, until: Time) {
        if let Some(entry) = self.entries.get_mut(&index) {
            entry.backoff_until = until.min(now + MAX_BACKOFF);
        }
    }

    /// Retains the upstreams whose rate limits allow a request now.
    ///
    /// # Errors
    /// When none does, with the time at which one will.
    pub(crate) fn retain_admitted(
        &self,
        now: Time,
        candidates: &mut Vec<(UpstreamIndex, &Entry)>,
    ) -> Result<(), NoUpstream> {
        if self.limits.is_unused() {
            return Ok(());
        }
        let has_advertised = self.limits.has_advertised();
        let mut earliest = Time::NEVER;
        candidates.retain(|(_, entry)| {
            if !has_advertised && !entry.is_cold(now) {
                return true;
            }
            match self.limits.admission(now, entry.instance) {
                Admission::Open => true,
                Admission::Limited { until } => {
                    earliest = earliest.min(until);
                    false
                }
            }
        });
        match candidates.is_empty() {
            true => Err(NoUpstream::Limited { until: earliest }),
            false => Ok(()),
        }
    }
}

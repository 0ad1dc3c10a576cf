//! Limits that upstreams advertise: observed, merged, logged and counted.

use dispatch::{
    Advertised, Advertisement, BrittleAdvertisement, Brittleness, RateLimitChange, UpstreamIndex,
};
use types::prelude::*;

use crate::shared::Shared;

impl<T> Shared<T> {
    /// Applies the rate limit that an answer carries.
    pub(crate) fn observe_rate_limit(
        &self,
        index: UpstreamIndex,
        sent_at: Time,
        advertised: Advertised,
    ) {
        let now = self.now();
        let mut upstreams = self.upstreams.borrow_mut();
        let change = upstreams.observe_rate_limit(now, index, sent_at, advertised);
        if advertised == Advertised::Invalid {
            self.metrics.invalid_rate_limits.inc();
        }
        if let Some(change) = change {
            let spec = upstreams.spec(index);
            log(spec.map(|spec| &spec.id), "answer", change);
        }
    }

    /// Applies the brittleness that an answer advertises.
    pub(crate) fn observe_brittleness(
        &self,
        index: UpstreamIndex,
        sent_at: Time,
        advertised: Brittleness,
    ) {
        if advertised == Brittleness::Invalid {
            self.metrics.invalid_rate_limits.inc();
        }
        let mut upstreams = self.upstreams.borrow_mut();
        if upstreams.observe_brittleness(index, sent_at, advertised) {
            let service = upstreams.spec(index).map(|spec| &*spec.service);
            tracing::info!(service, ?advertised, "upstreams: brittleness changed");
        }
    }

    /// Sends nothing to an upstream for the time that its refusal asks for.
    pub(crate) fn back_off(&self, index: UpstreamIndex, wait: Span) {
        let now = self.now();
        let mut upstreams = self.upstreams.borrow_mut();
        upstreams.back_off(now, index, now + wait);
    }

    /// Merges the rate limits that other daemons advertise.
    pub(crate) fn merge_rate_limits(&self, ads: &[Advertisement]) {
        let now = self.now();
        let mut upstreams = self.upstreams.borrow_mut();
        for ad in ads {
            if let Some(change) = upstreams.merge_rate_limit(now, ad) {
                let spec = upstreams.find_instance(ad.instance);
                log(spec.map(|spec| &spec.id), "peer", change);
            }
        }
    }

    /// Merges the brittle services that other daemons advertise.
    pub(crate) fn merge_brittleness(&self, ads: &[BrittleAdvertisement]) {
        let now = self.now();
        let mut upstreams = self.upstreams.borrow_mut();
        ads.iter()
            .for_each(|ad| upstreams.merge_brittleness(now, ad));
    }

    /// Publishes the rate limits that the control thread is to advertise.
    pub(crate) fn publish_rate_limits(&self) {
        let mut upstreams = self.upstreams.borrow_mut();
        self.observed
            .set_rate_limits(upstreams.advertise_rate_limits(self.now()));
        self.observed
            .set_brittle(upstreams.advertise_brittleness(self.now()));
        let limited = i64::try_from(upstreams.rate_limits().len()).unwrap_or(i64::MAX);
        self.metrics.limited_upstreams.set(limited);
    }
}

fn log(upstream: Option<&UpstreamId>, source: &'static str, change: RateLimitChange) {
    let upstream = upstream.map(UpstreamId::as_str);
    match change {
        RateLimitChange::Set(rate) => {
            tracing::info!(upstream, %rate, source, "upstreams: rate limit advertised");
        }
        RateLimitChange::Changed(rate) => {
            tracing::debug!(upstream, %rate, source, "upstreams: rate limit changed");
        }
        RateLimitChange::Lifted { after, sent } => {
            let after_s = after.as_secs_f64();
            tracing::info!(
                upstream,
                after_s,
                sent,
                source,
                "upstreams: rate limit lifted"
            );
        }
    }
}

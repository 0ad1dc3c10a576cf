//! Requests that the new version gets, counted against the operators' bound.
//!
//! A version may show that it is bad only once its upstreams are loaded as they will be in service.
//! So the bound is divided among a canary, a load test and the time after the decision, in which a
//! version that was found good gets everything until the roll-out's end.

use std::collections::VecDeque;

use types::prelude::*;

use super::CANARY_DELAY;
use super::judge::MIN_SUSPICIOUS_EXCESS;

/// Most of the allowed share that the canary uses; the rest is for the load test and for the time
/// in which the new version gets everything.
const MAX_CANARY_EXPOSURE_SHARE: f64 = 0.3;
/// Least of it, where the roll-out is short.
const MIN_CANARY_EXPOSURE_SHARE: f64 = 0.1;
/// Share of the exposure bound that the count may reach: requests may come faster than before,
/// and daemons learn of each other's counts some hundred ms late.
const USABLE_EXPOSURE_SHARE: f64 = 0.9;
/// The same in the last second of a roll-out, in which there is less that may change.
const LAST_USABLE_EXPOSURE_SHARE: f64 = 0.95;
/// Exposure kept from the canary for the load test, as time at the full share.
const LOAD_TEST_RESERVE: Span = Span::from_millis(350);
/// Least time at the full share before a completion is recorded, except shortly before the end.
/// Some versions fail only once they get all of the traffic, whatever the load of each upstream.
pub(super) const FULL_SHARE_TEST: Span = Span::from_millis(500);
/// Time before the end from which the version is expected to get everything when a load test
/// begins.
const COMPLETION_TIME: Span = Span::from_millis(1_200);
/// Time before the end from which the last of the bound may be used.
const LAST_PERIOD: Span = Span::from_millis(1_000);
/// Latest time before the end at which the roll-out is decided.
pub(super) const LATEST_DECISION_MARGIN: Span = Span::from_millis(500);
/// Window of the current request rate.
const RATE_WINDOW: Span = Span::from_secs(1);
/// Least time between two samples of the requests sent.
const RATE_SAMPLE_INTERVAL: Span = Span::from_millis(50);

/// The operators' bound on requests to a bad version.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct TrialLimits {
    /// Share of a service's requests that a bad version may get.
    pub exposure: f64,
    /// Requests that it may get beyond that.
    pub allowance: f64,
}

impl TrialLimits {
    /// Share that the canary gets throughout a roll-out of this length. Every daemon works out the
    /// same one, since a session's requests come through several of them.
    pub(super) fn canary_share(&self, timeout: Span) -> f64 {
        let timeout = timeout.as_secs_f64();
        let completion = COMPLETION_TIME.as_secs_f64();
        let lasts = timeout - CANARY_DELAY.as_secs_f64() - completion;
        let reserved = completion + LOAD_TEST_RESERVE.as_secs_f64();
        let spare = USABLE_EXPOSURE_SHARE * self.exposure * timeout - reserved;
        let least = MIN_CANARY_EXPOSURE_SHARE * self.exposure;
        let most = MAX_CANARY_EXPOSURE_SHARE * self.exposure;
        (spare / lasts.max(1.0)).clamp(least, most)
    }

    /// Smallest share, at least the canary's, that loads each of the upstreams which get it as much
    /// as everything would load all of them. `None` where that is everything.
    pub(super) fn load_test_share(&self, timeout: Span, upstreams: usize) -> Option<f64> {
        let total = upstreams as f64;
        let loaded = (self.canary_share(timeout) * total).ceil();
        (loaded < total).then(|| loaded / total)
    }
}

/// Requests sent so far, and the rate at which further ones are expected.
#[derive(Debug)]
pub(super) struct Exposure<'a> {
    pub(super) limits: &'a TrialLimits,
    /// Time until the end of the roll-out.
    pub(super) left: Span,
    /// Requests sent to the new version.
    pub(super) new: f64,
    /// Requests sent to either version.
    pub(super) all: f64,
    /// Requests a second.
    pub(super) rate: f64,
}

impl Exposure<'_> {
    /// Whether all requests still to come fit into the allowed exposure.
    ///
    /// A version that is bad only under more load than there is answers well and is not reverted.
    /// When its share rose with its good answers, it got more than twice what the operators allow a
    /// bad version.
    pub(super) fn fits_everything(&self) -> bool {
        self.fits(self.rate * self.left.as_secs_f64())
    }

    /// Whether a load test at `share` fits, and everything after the decision.
    pub(super) fn fits_load_test(&self, share: f64) -> bool {
        let completion = COMPLETION_TIME.as_secs_f64();
        let tested = self.left.as_secs_f64() - completion;
        tested > 0.0 && self.fits(self.rate * (share * tested + completion))
    }

    fn fits(&self, to_new: f64) -> bool {
        let by_the_end = self.all + self.rate * self.left.as_secs_f64();
        let allowed = self.limits.exposure * by_the_end + self.limits.allowance;
        // A version may fail this much more often without being suspected, and is sent each of
        // these requests again.
        let sent_again = MIN_SUSPICIOUS_EXCESS * to_new;
        let usable = match self.left <= LAST_PERIOD {
            true => LAST_USABLE_EXPOSURE_SHARE,
            false => USABLE_EXPOSURE_SHARE,
        };
        self.new + to_new + sent_again <= usable * allowed
    }
}

/// Rate of requests over the last [`RATE_WINDOW`].
#[derive(Debug, Default)]
pub(super) struct RequestRate {
    /// When how many requests had been sent; the first sample is as old as the window or older.
    samples: VecDeque<(Time, u32)>,
}

impl RequestRate {
    /// Records the requests sent so far. Those sent before the first sample, by other daemons
    /// before this one started, do not count.
    pub(super) fn update(&mut self, now: Time, sent: u32) {
        let newest = self.samples.back();
        if newest.is_some_and(|(at, _)| now.since(*at) < RATE_SAMPLE_INTERVAL) {
            return;
        }
        self.samples.push_back((now, sent));
        while self
            .samples
            .get(1)
            .is_some_and(|(at, _)| now.since(*at) >= RATE_WINDOW)
        {
            self.samples.pop_front();
        }
    }

    /// Returns the requests a second; zero until a window has passed.
    pub(super) fn per_sec(&self) -> f64 {
        let (Some((since, before)), Some((now, sent))) =
            (self.samples.front(), self.samples.back())
        else {
            return 0.0;
        };
        let elapsed = now.since(*since);
        if elapsed < RATE_WINDOW {
            return 0.0;
        }
        f64::from(sent.saturating_sub(*before)) / elapsed.as_secs_f64()
    }
}

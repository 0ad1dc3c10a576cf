//! State of one upstream's limit at one daemon.

use types::prelude::*;

use crate::advertised::{Advertisement, Change, InstanceKey};
use crate::fleet::{DaemonKey, Fleet, senders};
use crate::share::Share;
use crate::table::LimitShare;

/// Least rate of requests, however low the limit: the upstream's answers are the only sign that
/// the limit is lifted.
const MIN_RATE: Rate = Rate(0.25);
/// Time without an answer that confirms the limit after which daemons other than its senders
/// may probe.
const PROBE_AFTER: Span = Span::from_secs(4);
/// Length of each daemon's turn to probe.
const PROBE_TURN: Span = Span::from_secs(1);

fn at_least_min(rate: Rate) -> Rate {
    Rate(rate.0.max(MIN_RATE.0))
}

/// State of one upstream's limit at one daemon.
#[derive(Debug)]
pub(crate) struct Limit {
    pub(crate) version: u32,
    /// `None` once it was lifted.
    pub(crate) rate: Option<Rate>,
    /// When this daemon learned of the current value.
    pub(crate) changed_at: Time,
    /// When an answer to any daemon last confirmed it.
    pub(crate) confirmed_at: Time,
    pub(crate) sent: u64,
    share: Share,
    probed_at: Option<Time>,
}

impl Limit {
    pub(crate) fn new(now: Time, instance: InstanceKey, fleet: &Fleet) -> Self {
        Self {
            version: 0,
            rate: None,
            changed_at: now,
            confirmed_at: now,
            sent: 0,
            share: Share::new(now, instance, fleet),
            probed_at: None,
        }
    }

    /// Returns this daemon's share of the rate, if it is a sender.
    fn share(&self) -> Option<Rate> {
        let rate = self.rate?;
        self.share.of(at_least_min(rate), self.senders())
    }

    /// The other daemons that have a share of the rate.
    pub(crate) fn other_senders(&self, instance: InstanceKey, fleet: &Fleet) -> &[DaemonKey] {
        self.share.others(instance, fleet, self.senders())
    }

    /// Returns the rate and this daemon's part of it.
    pub(crate) fn shares(&self) -> Option<LimitShare> {
        let rate = self.rate?;
        let own = self.share().unwrap_or(Rate(0.0));
        Some(LimitShare { rate, own })
    }

    /// Number of daemons among which the rate is divided.
    fn senders(&self) -> usize {
        self.rate.map_or(0, |rate| senders(rate, self.share.fleet))
    }

    /// Sets a new version and rate; returns what changed.
    pub(crate) fn set(&mut self, now: Time, version: u32, rate: Option<Rate>) -> Option<Change> {
        self.version = version;
        if self.rate == rate {
            return None;
        }
        let before = self.rate;
        self.change_share(now, |limit| limit.rate = rate);
        let after = now.since(self.changed_at);
        self.changed_at = now;
        match (before, rate) {
            (None, Some(rate)) => {
                self.sent = 0;
                Some(Change::Set(rate))
            }
            (_, Some(rate)) => Some(Change::Changed(rate)),
            (_, None) => Some(Change::Lifted {
                after,
                sent: self.sent,
            }),
        }
    }

    /// Sets the fleet.
    pub(crate) fn set_fleet(&mut self, now: Time, instance: InstanceKey, fleet: &Fleet) {
        self.change_share(now, |limit| {
            limit.share.set_fleet(instance, fleet);
        });
    }

    /// Applies a change that affects this daemon's share.
    fn change_share(&mut self, now: Time, change: impl FnOnce(&mut Self)) {
        let before = self.share();
        change(self);
        self.share.refill(now, before);
    }

    /// Returns when this daemon may send next; `None` without a limit.
    pub(crate) fn ready_at(&self, now: Time, settled_at: Time) -> Option<Time> {
        let rate = self.rate?;
        if now < settled_at {
            return Some(settled_at);
        }
        match self.share() {
            Some(rate) => Some(self.share.ready_at(now, rate)),
            None if self.is_prober(now) => Some(now),
            // Some sender has a token after about this time.
            None => Some(now + Span::from_secs_f64(1.0 / at_least_min(rate).0)),
        }
    }

    /// Whether no answer has confirmed the limit for [`PROBE_AFTER`], and it is this daemon's
    /// turn to probe.
    fn is_prober(&self, now: Time) -> bool {
        let unconfirmed = now.since(self.confirmed_at);
        if unconfirmed < PROBE_AFTER || self.probed_at.is_some_and(|at| now.since(at) < PROBE_AFTER)
        {
            return false;
        }
        let turn = (unconfirmed - PROBE_AFTER).as_micros() / PROBE_TURN.as_micros();
        let senders = self.senders();
        let others = self.share.fleet.saturating_sub(senders).max(1);
        self.share.rank == senders + turn as usize % others
    }

    /// Counts a request that is sent.
    pub(crate) fn take(&mut self, now: Time) {
        if self.rate.is_none() {
            return;
        }
        self.sent += 1;
        match self.share() {
            Some(rate) => self.share.take(now, rate),
            None => self.probed_at = Some(now),
        }
    }

    pub(crate) fn advertisement(&self, now: Time, instance: InstanceKey) -> Advertisement {
        let age = now.since(self.confirmed_at).as_millis();
        Advertisement {
            instance,
            version: self.version,
            rate: self.rate.map(|rate| rate.0 as f32),
            age_ms: u16::try_from(age).unwrap_or(u16::MAX),
        }
    }
}

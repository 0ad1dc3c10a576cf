//! Limits of upstreams that are cold: they have just started, or been idle for long, and tolerate
//! few requests until they are warm.
//!
//! The configuration names the rate, the upstream's entry for how long. Requests count within any
//! second, so few daemons send to a cold upstream, and their bursts fit what is tolerated beyond the
//! rate.

use types::prelude::*;

use crate::advertised::InstanceKey;
use crate::fleet::{DaemonKey, Fleet};
use crate::share::Share;
use crate::table::LimitShare;

/// Part of what is tolerated beyond the rate that the senders' bursts may take. The rest is for
/// daemons that don't know the same fleet yet, and for requests that are delayed on their way.
const BURST_SHARE: f64 = 0.5;

/// Window over which a cold upstream's requests count.
const WINDOW: Span = Span::from_secs(1);

/// What an upstream tolerates in any second while it is cold.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ColdBound {
    /// Requests a second, from all daemons together.
    pub rate: Rate,
    /// Requests in one second that are tolerated beyond the rate.
    pub spare: f64,
}

impl ColdBound {
    fn senders(self) -> usize {
        ((self.spare * BURST_SHARE) as usize).max(1)
    }
}

/// One upstream's limit while it is cold, at one daemon.
#[derive(Debug)]
pub(crate) struct ColdLimit {
    bound: ColdBound,
    until: Time,
    /// Nothing is sent before this time.
    open_at: Time,
    share: Share,
}

impl ColdLimit {
    pub(crate) fn new(now: Time, instance: InstanceKey, fleet: &Fleet, bound: ColdBound) -> Self {
        Self {
            bound,
            until: now,
            open_at: now,
            share: Share::new(now, instance, fleet),
        }
    }

    pub(crate) fn is_cold(&self, now: Time) -> bool {
        now < self.until
    }

    /// Returns this daemon's share of the rate, if it is a sender.
    fn rate(&self) -> Option<Rate> {
        self.share.of(self.bound.rate, self.bound.senders())
    }

    /// The other daemons that have a share of the rate.
    pub(crate) fn other_senders(&self, instance: InstanceKey, fleet: &Fleet) -> &[DaemonKey] {
        self.share.others(instance, fleet, self.bound.senders())
    }

    /// Returns the rate and this daemon's part of it.
    pub(crate) fn shares(&self) -> LimitShare {
        LimitShare {
            rate: self.bound.rate,
            own: self.rate().unwrap_or(Rate(0.0)),
        }
    }

    /// Sends nothing until the requests that were sent before do not count any more.
    pub(crate) fn pause(&mut self, now: Time) {
        self.open_at = now + WINDOW;
    }

    pub(crate) fn set(&mut self, now: Time, bound: ColdBound, until: Time) {
        self.until = until;
        if bound != self.bound {
            let before = self.rate();
            self.bound = bound;
            self.share.refill(now, before);
        }
    }

    pub(crate) fn set_fleet(&mut self, now: Time, instance: InstanceKey, fleet: &Fleet) {
        let before = self.rate();
        self.share.set_fleet(instance, fleet);
        self.share.refill(now, before);
    }

    /// Returns when this daemon may send next.
    pub(crate) fn ready_at(&self, now: Time, settled_at: Time) -> Time {
        let ready_at = match self.rate() {
            Some(rate) => {
                let ready_at = self.share.ready_at(now, rate);
                ready_at.max(settled_at).max(self.open_at)
            }
            None => self.until,
        };
        ready_at.min(self.until)
    }

    pub(crate) fn take(&mut self, now: Time) {
        if let Some(rate) = self.rate() {
            self.share.take(now, rate);
        }
    }
}

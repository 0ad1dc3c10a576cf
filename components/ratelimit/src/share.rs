//! One daemon's share of a rate that the whole fleet keeps at one upstream.

use std::cell::OnceCell;

use types::prelude::*;

use crate::advertised::InstanceKey;
use crate::bucket::TokenBucket;
use crate::fleet::{DaemonKey, Fleet};

/// One daemon's share of a rate at one upstream.
#[derive(Debug)]
pub(crate) struct Share {
    /// Place in the order of the upstream's senders, from 0.
    pub(crate) rank: usize,
    /// Number of daemons in the fleet.
    pub(crate) fleet: usize,
    bucket: TokenBucket,
    /// The other daemons that have a share, once they are needed.
    others: OnceCell<Vec<DaemonKey>>,
}

impl Share {
    pub(crate) fn new(now: Time, instance: InstanceKey, fleet: &Fleet) -> Self {
        Self {
            rank: fleet.rank(instance),
            fleet: fleet.size(),
            bucket: TokenBucket::empty(now),
            others: OnceCell::new(),
        }
    }

    /// The other daemons that have a share of a rate that is divided among `senders` daemons.
    pub(crate) fn others(
        &self,
        instance: InstanceKey,
        fleet: &Fleet,
        senders: usize,
    ) -> &[DaemonKey] {
        self.others
            .get_or_init(|| fleet.other_senders(instance, senders))
    }

    /// Returns this daemon's part of a rate that is divided among `senders` daemons, if it is one of
    /// them.
    pub(crate) fn of(&self, rate: Rate, senders: usize) -> Option<Rate> {
        let divisor = senders.min(self.fleet.max(1)) as f64;
        (self.rank < senders).then(|| Rate(rate.0 / divisor))
    }

    pub(crate) fn set_fleet(&mut self, instance: InstanceKey, fleet: &Fleet) {
        self.rank = fleet.rank(instance);
        self.fleet = fleet.size();
    }

    /// Refills the bucket by the rate of this daemon before a change. The tokens of a new share
    /// accrue from now on, since its former owner may just have used them.
    pub(crate) fn refill(&mut self, now: Time, before: Option<Rate>) {
        self.others.take();
        match before {
            Some(rate) => self.bucket.refill(now, rate),
            None => self.bucket = TokenBucket::empty(now),
        }
    }

    /// Returns when a sender with this rate may send next.
    pub(crate) fn ready_at(&self, now: Time, rate: Rate) -> Time {
        self.bucket.ready_at(now, rate)
    }

    pub(crate) fn take(&mut self, now: Time, rate: Rate) {
        self.bucket.take(now, rate);
    }
}

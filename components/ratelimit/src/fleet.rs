//! Choice of the daemons that may send to an upstream with a limit.

use serde::{Deserialize, Serialize};
use types::prelude::*;
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

use crate::advertised::InstanceKey;

/// How long a daemon that just started sends nothing to limited upstreams: it knows too few peers
/// to determine the senders.
pub const SETTLING_TIME: Span = Span::from_secs(5);

/// Identifies a daemon, by a hash of its id.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct DaemonKey(u64);

impl From<&DaemonId> for DaemonKey {
    fn from(id: &DaemonId) -> Self {
        Self(xxh3_64(id.as_str().as_bytes()))
    }
}

/// The daemons that share the limits.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Fleet {
    me: DaemonKey,
    others: Vec<DaemonKey>,
}

impl Fleet {
    /// Creates a fleet of this daemon and all its peers that have a share: those present, and those
    /// that disappeared recently without announcing that they leave.
    pub fn new<'a>(me: &DaemonId, others: impl Iterator<Item = &'a DaemonId>) -> Self {
        Self {
            me: me.into(),
            others: others.map(DaemonKey::from).collect(),
        }
    }

    /// This daemon's place in an order of all daemons on which they agree, from 0.
    #[must_use]
    pub fn place(&self) -> usize {
        self.others.iter().filter(|other| **other < self.me).count()
    }

    /// The daemons by their places in that order.
    #[must_use]
    pub fn in_order(&self) -> Vec<DaemonKey> {
        let mut daemons = self.others.clone();
        daemons.push(self.me);
        daemons.sort_unstable();
        daemons
    }

    /// Key of this daemon.
    #[must_use]
    pub fn me(&self) -> DaemonKey {
        self.me
    }

    /// Number of daemons, including this one.
    #[must_use]
    pub fn size(&self) -> usize {
        self.others.len() + 1
    }

    /// Returns this daemon's rank in the order of an upstream's senders, from 0.
    pub(crate) fn rank(&self, instance: InstanceKey) -> usize {
        let mine = score(self.me, instance);
        let others = self.others.iter();
        others.filter(|o| score(**o, instance) < mine).count()
    }

    /// Returns the other daemons among the first `count` in the order of an upstream's senders.
    pub(crate) fn other_senders(&self, instance: InstanceKey, count: usize) -> Vec<DaemonKey> {
        let mut senders = self.others.clone();
        senders.push(self.me);
        senders.sort_by_cached_key(|daemon| score(*daemon, instance));
        senders.truncate(count);
        senders.retain(|daemon| *daemon != self.me);
        senders
    }
}

/// Sort key of a daemon in the order of an upstream's senders.
fn score(daemon: DaemonKey, instance: InstanceKey) -> (u64, DaemonKey) {
    let hash = xxh3_64_with_seed(&daemon.0.to_le_bytes(), instance.0.into());
    (hash, daemon)
}

/// Returns how many daemons send to an upstream with this limit.
///
/// Each may have a burst of one request, so the rate bounds their number; there are at least two,
/// in case one is down.
pub(crate) fn senders(rate: Rate, fleet: usize) -> usize {
    let count = (rate.0 as usize).saturating_add(2);
    count.min(fleet.max(1))
}

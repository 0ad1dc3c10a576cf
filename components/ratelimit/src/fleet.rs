//! Which daemons may send to an upstream with a limit.

use types::prelude::*;
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

use crate::advertised::RunKey;

/// A daemon that just started knows too few others to draw senders for so long.
pub const SETTLE: Span = Span::from_secs(5);

/// The daemons that share the limits.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Fleet {
    me: u64,
    others: Vec<u64>,
}

impl Fleet {
    /// This daemon and all others that have a part: those present, and those that went without a
    /// word not long ago.
    pub fn new<'a>(me: &DaemonId, others: impl Iterator<Item = &'a DaemonId>) -> Self {
        let hash = |id: &DaemonId| xxh3_64(id.as_str().as_bytes());
        Self {
            me: hash(me),
            others: others.map(hash).collect(),
        }
    }

    /// Daemons, this one included.
    pub(crate) fn size(&self) -> usize {
        self.others.len() + 1
    }

    /// This daemon's place in the order of an upstream's senders.
    pub(crate) fn rank(&self, run: RunKey) -> usize {
        let score = |daemon: u64| {
            (
                xxh3_64_with_seed(&daemon.to_le_bytes(), run.0.into()),
                daemon,
            )
        };
        let mine = score(self.me);
        self.others.iter().filter(|o| score(**o) < mine).count()
    }
}

/// How many daemons send to an upstream with this limit.
///
/// Each may have a burst of one request, so that their number is bounded by the rate; two at
/// least, for the case that one is down.
pub(crate) fn senders(rate: Rate, fleet: usize) -> usize {
    let count = (rate.0 as usize).saturating_add(2);
    count.min(fleet.max(1))
}

//! Keys of the ledger in the store.
//!
//! Batches lie by shard, since a roll-up takes one shard whatever the hours in it:
//! a repeat may fall in another hour than the request's first bill.

use crate::journal::Origin;
use crate::totals::Hour;

/// Builds keys under a cluster's prefix.
#[derive(Debug, Clone)]
pub(crate) struct Keys {
    prefix: String,
}

impl Keys {
    pub(crate) fn new(prefix: &str) -> Self {
        Self {
            prefix: format!("{}/ledger", prefix.trim_end_matches('/')),
        }
    }

    /// How far an origin's bills are sealed.
    pub(crate) fn mark(&self, origin: &Origin) -> String {
        let Origin {
            daemon,
            incarnation,
        } = origin;
        format!("{}{daemon}/{:016x}", self.marks(), incarnation.0)
    }

    /// All origins' marks.
    pub(crate) fn marks(&self) -> String {
        format!("{}/origins/", self.prefix)
    }

    /// A shard's part of a batch.
    pub(crate) fn batch(&self, shard: u16, origin: &Origin, first: u64) -> String {
        let Origin {
            daemon,
            incarnation,
        } = origin;
        let batches = self.batches(shard);
        format!("{batches}{daemon}/{:016x}/{first:012x}", incarnation.0)
    }

    /// All parts of batches of a shard.
    pub(crate) fn batches(&self, shard: u16) -> String {
        format!("{}/batches/{shard:02x}/", self.prefix)
    }

    /// All parts of batches.
    pub(crate) fn all_batches(&self) -> String {
        format!("{}/batches/", self.prefix)
    }

    /// What a shard's roll-ups agree on.
    pub(crate) fn head(&self, shard: u16) -> String {
        format!("{}/shards/{shard:02x}", self.prefix)
    }

    /// Fingerprints of recent bills of a shard.
    pub(crate) fn segments(&self, shard: u16) -> String {
        format!("{}/seen/{shard:02x}/", self.prefix)
    }

    /// One roll-up's fingerprints.
    pub(crate) fn segment(&self, shard: u16, number: u64) -> String {
        format!("{}{number:012x}", self.segments(shard))
    }

    /// All totals.
    pub(crate) fn all_totals(&self) -> String {
        format!("{}/totals/", self.prefix)
    }

    /// Totals of an hour; the shards' keys come after it.
    pub(crate) fn hour(&self, hour: Hour) -> String {
        format!("{}{hour}", self.all_totals())
    }

    /// Totals of an hour in a shard.
    pub(crate) fn totals(&self, hour: Hour, shard: u16) -> String {
        format!("{}/{shard:02x}", self.hour(hour))
    }

    /// The hour of a key of totals.
    pub(crate) fn hour_of(&self, key: &str) -> Option<Hour> {
        let rest = key.strip_prefix(&self.all_totals())?;
        rest.split_once('/')?.0.parse().ok()
    }

    /// Where a batch that cannot be read is put aside.
    pub(crate) fn damaged(&self, key: &str) -> String {
        let rest = key.strip_prefix(&self.prefix).unwrap_or(key);
        format!("{}/damaged{rest}", self.prefix)
    }
}

//! Keys of the ledger in the store.
//!
//! Batches are grouped by shard, since a roll-up processes one shard with all its hours: a
//! retry may be billed in another hour than the first attempt at the request.

use crate::journal::Origin;
use crate::totals::Hour;

/// Builds the keys under a cluster's prefix.
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

    /// Returns the key of an origin's mark: the number up to which its charges are sealed.
    pub(crate) fn mark_key(&self, origin: &Origin) -> String {
        let Origin {
            daemon,
            incarnation,
        } = origin;
        format!("{}{daemon}/{:016x}", self.marks_prefix(), incarnation.0)
    }

    /// Returns the prefix of all marks.
    pub(crate) fn marks_prefix(&self) -> String {
        format!("{}/origins/", self.prefix)
    }

    /// Returns the key of a shard's part of a batch.
    pub(crate) fn batch_key(&self, shard: u16, origin: &Origin, first: u64) -> String {
        let Origin {
            daemon,
            incarnation,
        } = origin;
        let batches = self.shard_batches_prefix(shard);
        format!("{batches}{daemon}/{:016x}/{first:012x}", incarnation.0)
    }

    /// Returns the prefix of a shard's parts of batches.
    pub(crate) fn shard_batches_prefix(&self, shard: u16) -> String {
        format!("{}/batches/{shard:02x}/", self.prefix)
    }

    /// Returns the prefix of all parts of batches.
    pub(crate) fn batches_prefix(&self) -> String {
        format!("{}/batches/", self.prefix)
    }

    /// Returns the key of a shard's head, by which its roll-ups are coordinated.
    pub(crate) fn head_key(&self, shard: u16) -> String {
        format!("{}/shards/{shard:02x}", self.prefix)
    }

    /// Returns the prefix of a shard's segments: the fingerprints of its recent bills.
    pub(crate) fn segments_prefix(&self, shard: u16) -> String {
        format!("{}/seen/{shard:02x}/", self.prefix)
    }

    /// Returns the key of the segment written by one roll-up.
    pub(crate) fn segment_key(&self, shard: u16, number: u64) -> String {
        format!("{}{number:012x}", self.segments_prefix(shard))
    }

    /// Returns the prefix of all totals.
    pub(crate) fn totals_prefix(&self) -> String {
        format!("{}/totals/", self.prefix)
    }

    /// Returns the prefix of an hour's totals; it sorts before the keys of the shards.
    pub(crate) fn hour_prefix(&self, hour: Hour) -> String {
        format!("{}{hour}", self.totals_prefix())
    }

    /// Returns the key of an hour's totals in a shard.
    pub(crate) fn totals_key(&self, hour: Hour, shard: u16) -> String {
        format!("{}/{shard:02x}", self.hour_prefix(hour))
    }

    /// Returns the hour of a key of totals.
    pub(crate) fn hour_of(&self, key: &str) -> Option<Hour> {
        let rest = key.strip_prefix(&self.totals_prefix())?;
        rest.split_once('/')?.0.parse().ok()
    }

    /// Returns the key to which an undecodable batch is moved.
    pub(crate) fn damaged_key(&self, key: &str) -> String {
        let rest = key.strip_prefix(&self.prefix).unwrap_or(key);
        format!("{}/damaged{rest}", self.prefix)
    }
}

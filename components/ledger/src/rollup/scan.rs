//! Reads of a roll-up: the head and batches, then totals and fingerprints.

use std::collections::{BTreeMap, BTreeSet};

use bytes::Bytes;
use keyvalue::{Answer, KeyValue, ModRevision, Op, OpReply, Range, Reply, Request, Txn};
use serde::{Deserialize, Serialize};
use types::prelude::*;

use super::commit::MAX_BATCHES_PER_ROLLUP;
use super::seen::KnownFingerprints;
use crate::bill::{Charge, Fingerprint};
use crate::codec;
use crate::keys::Keys;
use crate::totals::{Hour, Totals};

/// Maximum number of charges in one roll-up, since their fingerprints are written as a single
/// value in the store.
const MAX_CHARGES: usize = 50_000;
/// Maximum number of hours in one roll-up; the store limits a transaction to 128 steps.
const MAX_HOURS: usize = 20;
/// Maximum number of segments read in one call.
const SEGMENTS_PER_CALL: usize = 8;

/// Shared state of a shard's roll-ups, kept in the store.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub(super) struct Head {
    /// The shard's clock, which advances with roll-ups and stops while the store is down.
    pub(super) clock: Micros,
    /// When the last roll-up was done, by the wall clock of its daemon.
    pub(super) at: WallTime,
    /// Number of the next segment.
    pub(super) next: u64,
    /// Segments that have not been deleted.
    pub(super) segments: Vec<Segment>,
}

/// A time span in microseconds.
pub(super) type Micros = u64;

/// Number and expiry of a segment, which holds the fingerprints of one roll-up.
#[derive(Debug, Clone, Copy, Serialize, Deserialize)]
pub(super) struct Segment {
    pub(super) number: u64,
    /// Expiry time on the head's clock.
    pub(super) expires: Micros,
}

/// A batch as read from the store.
#[derive(Debug)]
pub(super) struct Batch {
    pub(super) key: String,
    pub(super) revision: ModRevision,
    pub(super) value: Bytes,
    /// The decoded charges; `None` if the batch is undecodable.
    pub(super) charges: Option<Vec<Charge>>,
}

/// The data that a roll-up has read.
#[derive(Debug)]
pub(super) struct Scan {
    pub(super) head: Head,
    pub(super) head_revision: ModRevision,
    pub(super) batches: Vec<Batch>,
    pub(super) totals: BTreeMap<Hour, (ModRevision, Totals)>,
}

/// Returns the call that reads a shard's head and its first batches.
pub(super) fn request(keys: &Keys, shard: u16) -> Request {
    let batches = Range {
        limit: MAX_BATCHES_PER_ROLLUP,
        ..Range::prefix(keys.shard_batches_prefix(shard))
    };
    read_request(vec![Range::key(keys.head_key(shard)), batches])
}

fn read_request(ranges: Vec<Range>) -> Request {
    Request::Txn(Txn {
        success: ranges.into_iter().map(Op::Range).collect(),
        ..Txn::default()
    })
}

/// Extracts the ranges from the reply to a read-only transaction.
fn ranges(answer: Answer) -> Option<Vec<Vec<KeyValue>>> {
    let Reply::Txn(reply) = answer.reply else {
        return None;
    };
    let each = reply.replies.into_iter().map(|reply| match reply {
        OpReply::Range(found) => Some(found),
        _ => None,
    });
    each.collect()
}

impl Scan {
    /// Decodes the head and batches; returns `None` if there is nothing to roll up.
    pub(super) fn from_answer(answer: Answer, seen: &mut KnownFingerprints) -> Option<Self> {
        let mut ranges = ranges(answer)?.into_iter();
        let head = ranges.next()?.into_iter().next();
        let found = ranges.next()?;
        if found.is_empty() {
            return None;
        }
        let head_revision = head.as_ref().map_or(ModRevision(0), |kv| kv.mod_revision);
        // An undecodable head was written by a newer release, which does the roll-ups itself.
        let head: Head = match head {
            Some(kv) => codec::decode(&kv.value).ok()?,
            None => Head::default(),
        };
        seen.retain_segments(&head.segments.iter().map(|segment| segment.number).collect());
        Some(Self {
            head,
            head_revision,
            batches: select_batches(found),
            totals: BTreeMap::new(),
        })
    }

    /// Returns the call that reads the affected totals and the segments not cached yet.
    pub(super) fn load_request(
        &self,
        keys: &Keys,
        shard: u16,
        seen: &KnownFingerprints,
    ) -> Request {
        let hours = self.hours();
        let totals = hours
            .iter()
            .map(|hour| Range::key(keys.totals_key(*hour, shard)));
        let missing_segments = self.missing_segments(seen);
        let segments = missing_segments
            .iter()
            .map(|number| Range::key(keys.segment_key(shard, *number)));
        read_request(totals.chain(segments).collect())
    }

    fn hours(&self) -> BTreeSet<Hour> {
        hours_of(
            self.batches
                .iter()
                .filter_map(|batch| batch.charges.as_ref()),
        )
    }

    fn missing_segments(&self, seen: &KnownFingerprints) -> Vec<u64> {
        let listed = self.head.segments.iter().map(|segment| segment.number);
        let missing_segments = listed.filter(|number| !seen.has_segment(*number));
        missing_segments.take(SEGMENTS_PER_CALL).collect()
    }

    /// Adds the totals and segments that were read. Returns true once all are present, or `None`
    /// if the shard has changed in the meantime.
    pub(super) fn add_loaded(
        &mut self,
        answer: Answer,
        seen: &mut KnownFingerprints,
    ) -> Option<bool> {
        let mut ranges = ranges(answer)?.into_iter();
        for hour in self.hours() {
            let totals = match ranges.next()?.into_iter().next() {
                Some(kv) => (kv.mod_revision, codec::decode(&kv.value).ok()?),
                None => (ModRevision(0), Totals::new()),
            };
            self.totals.insert(hour, totals);
        }
        for number in self.missing_segments(seen) {
            let kv = ranges.next()?.into_iter().next()?;
            let fingerprints: Vec<Fingerprint> = codec::decode(&kv.value).ok()?;
            seen.add_segment(number, fingerprints);
        }
        Some(self.missing_segments(seen).is_empty())
    }
}

fn hours_of<'a>(charges: impl Iterator<Item = &'a Vec<Charge>>) -> BTreeSet<Hour> {
    charges
        .flatten()
        .map(|charge| Hour::of(charge.at))
        .collect()
}

/// Selects as many batches as fit into one transaction and one segment, at least one.
fn select_batches(found: Vec<KeyValue>) -> Vec<Batch> {
    let mut selected: Vec<Batch> = Vec::new();
    let mut count = 0;
    let mut hours = BTreeSet::new();
    for kv in found {
        let charges = codec::unpack(&kv.value).ok();
        count += charges.as_ref().map_or(0, Vec::len);
        hours.extend(hours_of(charges.iter()));
        let is_too_much = count > MAX_CHARGES || hours.len() > MAX_HOURS;
        if is_too_much && !selected.is_empty() {
            break;
        }
        selected.push(Batch {
            key: kv.key,
            revision: kv.mod_revision,
            value: kv.value,
            charges,
        });
    }
    selected
}

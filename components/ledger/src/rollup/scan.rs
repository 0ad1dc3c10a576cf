//! Reading for a roll-up: the head and batches, then totals and fingerprints.

use std::collections::{BTreeMap, BTreeSet};

use bytes::Bytes;
use keyvalue::{Answer, KeyValue, ModRevision, Op, OpReply, Range, Reply, Request, Txn};
use serde::{Deserialize, Serialize};
use types::prelude::*;

use super::commit::MAX_BATCHES_PER_ROLLUP;
use super::seen::Seen;
use crate::bill::{Charge, Fingerprint};
use crate::codec;
use crate::keys::Keys;
use crate::totals::{Hour, Totals};

/// Charges of one roll-up: their fingerprints go into one value of the store.
const MAX_CHARGES: usize = 50_000;
/// Hours of one roll-up: a transaction takes 128 steps.
const MAX_HOURS: usize = 20;
/// Segments read in one call.
const SEGMENTS_PER_CALL: usize = 8;

/// What a shard's roll-ups agree on.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub(super) struct Head {
    /// Time during which roll-ups were done: stands still while the store is down.
    pub(super) clock: Span64,
    /// When the last roll-up was done, by its daemon's calendar.
    pub(super) at: WallTime,
    /// Number of the next segment.
    pub(super) next: u64,
    /// Segments that are kept.
    pub(super) segments: Vec<Segment>,
}

/// Microseconds, as a number.
pub(super) type Span64 = u64;

/// One roll-up's fingerprints, by number.
#[derive(Debug, Clone, Copy, Serialize, Deserialize)]
pub(super) struct Segment {
    pub(super) number: u64,
    /// On the head's clock.
    pub(super) expires: Span64,
}

/// A batch that was read.
#[derive(Debug)]
pub(super) struct Batch {
    pub(super) key: String,
    pub(super) revision: ModRevision,
    pub(super) value: Bytes,
    /// Nothing when it cannot be read.
    pub(super) charges: Option<Vec<Charge>>,
}

/// What a roll-up has read.
#[derive(Debug)]
pub(super) struct Scan {
    pub(super) head: Head,
    pub(super) head_revision: ModRevision,
    pub(super) batches: Vec<Batch>,
    pub(super) totals: BTreeMap<Hour, (ModRevision, Totals)>,
}

/// Reads a shard's head and its first batches.
pub(super) fn request(keys: &Keys, shard: u16) -> Request {
    let batches = Range {
        limit: MAX_BATCHES_PER_ROLLUP,
        ..Range::prefix(keys.batches(shard))
    };
    read(vec![Range::key(keys.head(shard)), batches])
}

fn read(ranges: Vec<Range>) -> Request {
    Request::Txn(Txn {
        success: ranges.into_iter().map(Op::Range).collect(),
        ..Txn::default()
    })
}

/// The ranges of a transaction that only reads.
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
    /// Takes the head and batches; nothing when there is nothing to roll up.
    pub(super) fn read(answer: Answer, seen: &mut Seen) -> Option<Self> {
        let mut ranges = ranges(answer)?.into_iter();
        let head = ranges.next()?.into_iter().next();
        let found = ranges.next()?;
        if found.is_empty() {
            return None;
        }
        let head_revision = head.as_ref().map_or(ModRevision(0), |kv| kv.mod_revision);
        // A head that cannot be read was written by a newer release, which rolls up.
        let head: Head = match head {
            Some(kv) => codec::decode(&kv.value).ok()?,
            None => Head::default(),
        };
        seen.keep(&head.segments.iter().map(|segment| segment.number).collect());
        Some(Self {
            head,
            head_revision,
            batches: choose(found),
            totals: BTreeMap::new(),
        })
    }

    /// Reads the totals to add to and segments not read before.
    pub(super) fn load(&self, keys: &Keys, shard: u16, seen: &Seen) -> Request {
        let hours = self.hours();
        let totals = hours
            .iter()
            .map(|hour| Range::key(keys.totals(*hour, shard)));
        let missing = self.missing(seen);
        let segments = missing
            .iter()
            .map(|number| Range::key(keys.segment(shard, *number)));
        read(totals.chain(segments).collect())
    }

    fn hours(&self) -> BTreeSet<Hour> {
        hours_of(
            self.batches
                .iter()
                .filter_map(|batch| batch.charges.as_ref()),
        )
    }

    fn missing(&self, seen: &Seen) -> Vec<u64> {
        let named = self.head.segments.iter().map(|segment| segment.number);
        let missing = named.filter(|number| !seen.has(*number));
        missing.take(SEGMENTS_PER_CALL).collect()
    }

    /// Takes totals and segments; true once all are there, nothing when the shard has
    /// moved on meanwhile.
    pub(super) fn take_loaded(&mut self, answer: Answer, seen: &mut Seen) -> Option<bool> {
        let mut ranges = ranges(answer)?.into_iter();
        for hour in self.hours() {
            let totals = match ranges.next()?.into_iter().next() {
                Some(kv) => (kv.mod_revision, codec::decode(&kv.value).ok()?),
                None => (ModRevision(0), Totals::new()),
            };
            self.totals.insert(hour, totals);
        }
        for number in self.missing(seen) {
            let kv = ranges.next()?.into_iter().next()?;
            let fingerprints: Vec<Fingerprint> = codec::decode(&kv.value).ok()?;
            seen.add(number, fingerprints);
        }
        Some(self.missing(seen).is_empty())
    }
}

fn hours_of<'a>(charges: impl Iterator<Item = &'a Vec<Charge>>) -> BTreeSet<Hour> {
    charges
        .flatten()
        .map(|charge| Hour::of(charge.at))
        .collect()
}

/// As many batches as one transaction and one segment can take, at least one.
fn choose(found: Vec<KeyValue>) -> Vec<Batch> {
    let mut chosen: Vec<Batch> = Vec::new();
    let mut count = 0;
    let mut hours = BTreeSet::new();
    for kv in found {
        let charges = codec::unpack(&kv.value).ok();
        count += charges.as_ref().map_or(0, Vec::len);
        hours.extend(hours_of(charges.iter()));
        let is_too_much = count > MAX_CHARGES || hours.len() > MAX_HOURS;
        if is_too_much && !chosen.is_empty() {
            break;
        }
        chosen.push(Batch {
            key: kv.key,
            revision: kv.mod_revision,
            value: kv.value,
            charges,
        });
    }
    chosen
}

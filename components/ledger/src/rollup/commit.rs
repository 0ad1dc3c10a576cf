//! Commit of a roll-up: one transaction replaces batches by totals.

use std::collections::{BTreeMap, BTreeSet};

use keyvalue::{Answer, Compare, ModRevision, Op, Reply, Request, Txn};
use types::prelude::*;

use super::Counts;
use super::scan::{Batch, Head, Scan, Segment};
use super::seen::KnownFingerprints;
use crate::bill::Fingerprint;
use crate::codec;
use crate::keys::Keys;
use crate::seal::put;
use crate::totals::{Hour, Sum, Totals};

/// Maximum number of batches in one roll-up; the store limits a transaction to 128 compares and
/// 128 steps.
pub const MAX_BATCHES_PER_ROLLUP: u32 = 40;
/// Maximum number of expired segments deleted by one roll-up.
const MAX_EXPIRED: usize = 16;

/// Parameters of a commit.
pub(super) struct Context<'a> {
    pub(super) keys: &'a Keys,
    pub(super) shard: u16,
    pub(super) wall: WallTime,
    pub(super) interval: Span,
    pub(super) fingerprint_retention: Span,
}

/// A roll-up whose transaction is in flight.
#[derive(Debug)]
pub(super) struct Commit {
    segment: u64,
    fingerprints: Vec<Fingerprint>,
    repeats: u64,
    set_aside: u64,
    was_full: bool,
}

impl Commit {
    /// Adds up the charges that were read and returns the call that writes the result.
    pub(super) fn prepare(
        scan: Scan,
        seen: &KnownFingerprints,
        cx: &Context<'_>,
    ) -> (Self, Request) {
        let mut compare = compares(&scan, cx);
        let mut totals = scan.totals;
        let new = add_up(&scan.batches, seen, &mut totals);
        let is_damaged = |batch: &&Batch| batch.charges.is_none();
        let commit = Self {
            segment: scan.head.next,
            repeats: new.repeats,
            fingerprints: new.fingerprints.into_iter().collect(),
            set_aside: scan.batches.iter().filter(is_damaged).count() as u64,
            was_full: scan.batches.len() >= MAX_BATCHES_PER_ROLLUP as usize,
        };
        let mut writes = vec![];
        for batch in &scan.batches {
            writes.push(Op::Delete(batch.key.clone()));
            if batch.charges.is_none() {
                writes.push(put(cx.keys.damaged_key(&batch.key), batch.value.clone()));
            }
        }
        let touched = totals.iter().filter(|(_, (_, sums))| !sums.is_empty());
        for (hour, (revision, sums)) in touched {
            let key = cx.keys.totals_key(*hour, cx.shard);
            compare.push(Compare::ModRevision(key.clone(), *revision));
            writes.push(put(key, codec::encode(sums)));
        }
        writes.extend(commit.update_head(scan.head, cx));
        let request = Request::Txn(Txn {
            compare,
            success: writes,
            failure: Vec::new(),
        });
        (commit, request)
    }

    /// Advances the head's clock, deletes expired segments and adds the new one.
    fn update_head(&self, mut head: Head, cx: &Context<'_>) -> Vec<Op> {
        let elapsed = Span::from_millis(cx.wall.0.saturating_sub(head.at.0));
        let elapsed = elapsed.min(cx.interval.times(2));
        head.clock = head.clock.saturating_add(elapsed.as_micros());
        head.at = cx.wall;
        let is_expired = |segment: &Segment| segment.expires <= head.clock;
        let expired = head.segments.iter().filter(|segment| is_expired(segment));
        let expired: BTreeSet<_> = expired
            .map(|segment| segment.number)
            .take(MAX_EXPIRED)
            .collect();
        let deletes = expired
            .iter()
            .map(|number| Op::Delete(cx.keys.segment_key(cx.shard, *number)));
        let mut writes: Vec<_> = deletes.collect();
        head.segments
            .retain(|segment| !expired.contains(&segment.number));
        if !self.fingerprints.is_empty() {
            head.segments.push(Segment {
                number: self.segment,
                expires: head
                    .clock
                    .saturating_add(cx.fingerprint_retention.as_micros()),
            });
            head.next += 1;
            let key = cx.keys.segment_key(cx.shard, self.segment);
            writes.push(put(key, codec::encode(&self.fingerprints)));
        }
        writes.push(put(cx.keys.head_key(cx.shard), codec::encode(&head)));
        writes
    }

    /// Processes the outcome; returns whether more batches may be waiting, or `None` if the
    /// transaction did not succeed.
    pub(super) fn finish(
        self,
        answer: Answer,
        seen: &mut KnownFingerprints,
        counts: &mut Counts,
    ) -> Option<bool> {
        let Reply::Txn(reply) = answer.reply else {
            return None;
        };
        if !reply.succeeded {
            return None;
        }
        counts.rolled += self.fingerprints.len() as u64;
        counts.repeats += self.repeats;
        counts.set_aside += self.set_aside;
        if !self.fingerprints.is_empty() {
            seen.add_segment(self.segment, self.fingerprints);
        }
        Some(self.was_full)
    }
}

fn compares(scan: &Scan, cx: &Context<'_>) -> Vec<Compare> {
    let head = Compare::ModRevision(cx.keys.head_key(cx.shard), scan.head_revision);
    let batches = scan.batches.iter();
    let batches = batches.map(|batch| Compare::ModRevision(batch.key.clone(), batch.revision));
    std::iter::once(head).chain(batches).collect()
}

struct NewBills {
    fingerprints: BTreeSet<Fingerprint>,
    repeats: u64,
}

/// Adds charges to totals, counting each bill id once.
///
/// A caller's retry through another daemon leaves a second bill of the same request in another
/// batch. It is ignored because its fingerprint is among those of this roll-up or of an earlier
/// one, so the request is billed once.
fn add_up(
    batches: &[Batch],
    seen: &KnownFingerprints,
    totals: &mut BTreeMap<Hour, (ModRevision, Totals)>,
) -> NewBills {
    let mut new = NewBills {
        fingerprints: BTreeSet::new(),
        repeats: 0,
    };
    let charges = batches.iter().filter_map(|batch| batch.charges.as_ref());
    for charge in charges.flatten() {
        let is_known = seen.contains(&charge.fingerprint);
        if is_known || !new.fingerprints.insert(charge.fingerprint) {
            new.repeats += 1;
            continue;
        }
        let (_, sums) = totals.entry(Hour::of(charge.at)).or_default();
        *sums.entry((*charge.account).clone()).or_default() += Sum::from(charge);
    }
    new
}

//! Sealing: charges go to the store in batches, each at most once.
//!
//! The store keeps a mark for each origin: how far its charges are sealed. A batch is
//! written in one transaction that compares the mark's revision, writes one part for
//! each shard and moves the mark. So a batch is created once whoever writes it: a lost
//! reply, a late effect, a paused origin or a second holder finds the mark moved. The
//! mark outlives the batch, which a roll-up deletes. A batch written again after a lost
//! reply may have grown: of the two writes only one can happen.

use std::collections::{BTreeMap, BTreeSet};

use keyvalue::{
    Compare, KeyValue, ModRevision, Op, OpReply, Outcome, Put, Range, Reply, Request, Txn,
};
use serde::{Deserialize, Serialize};
use types::prelude::*;

use crate::bill::Charge;
use crate::codec::{self, MAX_BATCH_BYTES};
use crate::journal::{Journal, Origin};
use crate::keys::Keys;
use crate::totals::Hour;

/// Charges in a batch, before its size is looked at.
pub(crate) const MAX_BATCH_CHARGES: usize = 8192;
/// Hours in a batch: a roll-up reads and writes totals of each.
const MAX_BATCH_HOURS: usize = 16;
const FIRST_BACKOFF: Span = Span::from_millis(200);
const LONGEST_BACKOFF: Span = Span::from_secs(5);

/// How far a journal's sealing is.
#[derive(Debug, Default)]
pub(crate) struct Seal {
    /// The mark's revision as last seen; 0 when absent.
    mark: ModRevision,
    /// Last number of the batch sent and not yet answered.
    pub(crate) in_flight: Option<u64>,
    /// Not before.
    pub(crate) due: Time,
    backoff: Span,
}

/// How far an origin's charges are sealed.
#[derive(Debug, Serialize, Deserialize)]
pub(crate) struct Mark {
    sealed: u64,
    /// When it was last moved, by the calendar of the daemon that moved it.
    pub(crate) at: WallTime,
}

/// Cuts and sends the next batch.
pub(crate) fn request(
    origin: &Origin,
    journal: &mut Journal,
    keys: &Keys,
    wall: WallTime,
) -> Option<Request> {
    if journal.is_empty() || journal.seal.in_flight.is_some() {
        return None;
    }
    let (upto, parts) = cut(journal);
    journal.seal.in_flight = Some(upto);
    let first = journal.sealed() + 1;
    let mark = keys.mark(origin);
    let writes = parts
        .into_iter()
        .map(|(shard, value)| put(keys.batch(shard, origin, first), value));
    let moved = codec::encode(&Mark {
        sealed: upto,
        at: wall,
    });
    Some(Request::Txn(Txn {
        compare: vec![Compare::ModRevision(mark.clone(), journal.seal.mark)],
        success: writes.chain([put(mark.clone(), moved)]).collect(),
        failure: vec![Op::Range(Range::key(mark))],
    }))
}

pub(crate) fn put(key: String, value: bytes::Bytes) -> Op {
    Op::Put(Put {
        key,
        value,
        lease: None,
    })
}

/// The next batch: its last number and its parts, at most [`MAX_BATCH_BYTES`] in all.
fn cut(journal: &Journal) -> (u64, BTreeMap<u16, bytes::Bytes>) {
    let mut limit = charges_of_few_hours(journal);
    loop {
        let parts = parts(journal, limit);
        let size: usize = parts.values().map(bytes::Bytes::len).sum();
        if size <= MAX_BATCH_BYTES || limit == 1 {
            return (journal.sealed() + limit as u64, parts);
        }
        limit /= 2;
    }
}

fn charges_of_few_hours(journal: &Journal) -> usize {
    let mut hours = BTreeSet::new();
    let charges = journal.after(journal.sealed(), MAX_BATCH_CHARGES);
    let few = charges.take_while(|charge| {
        hours.insert(Hour::of(charge.at));
        hours.len() <= MAX_BATCH_HOURS
    });
    few.count()
}

fn parts(journal: &Journal, limit: usize) -> BTreeMap<u16, bytes::Bytes> {
    let mut shards: BTreeMap<u16, Vec<&Charge>> = BTreeMap::new();
    for charge in journal.after(journal.sealed(), limit) {
        let shard = charge.fingerprint.shard();
        shards.entry(shard).or_default().push(charge);
    }
    let packed = shards.into_iter();
    packed
        .map(|(shard, charges)| (shard, codec::pack(charges.iter().copied())))
        .collect()
}

/// Takes the outcome of a batch.
pub(crate) fn on_outcome(journal: &mut Journal, now: Time, outcome: Outcome) {
    let Some(upto) = journal.seal.in_flight.take() else {
        return;
    };
    let answer = match outcome {
        Ok(answer) => answer,
        Err(_) => return back_off(&mut journal.seal, now),
    };
    journal.seal.backoff = Span::ZERO;
    let Reply::Txn(reply) = answer.reply else {
        return back_off(&mut journal.seal, now);
    };
    if reply.succeeded {
        journal.seal.mark = answer.revision;
        journal.advance(upto);
        return;
    }
    match reply.replies.into_iter().next() {
        Some(OpReply::Range(found)) => take_mark(journal, now, found),
        _ => back_off(&mut journal.seal, now),
    }
}

/// Another holder, or an earlier try whose reply was lost, has moved the mark.
fn take_mark(journal: &mut Journal, now: Time, found: Vec<KeyValue>) {
    journal.seal.due = now;
    let Some(found) = found.into_iter().next() else {
        journal.seal.mark = ModRevision(0);
        return;
    };
    journal.seal.mark = found.mod_revision;
    match codec::decode::<Mark>(&found.value) {
        Ok(mark) => journal.advance(mark.sealed),
        // Written by a newer release: that one seals it.
        Err(_) => back_off(&mut journal.seal, now),
    }
}

fn back_off(seal: &mut Seal, now: Time) {
    seal.backoff = seal.backoff.times(2).clamp(FIRST_BACKOFF, LONGEST_BACKOFF);
    seal.due = now + seal.backoff;
}

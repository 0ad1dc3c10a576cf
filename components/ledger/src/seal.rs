//! Sealing: charges are written to the store in batches, each at most once.
//!
//! The store keeps a mark for each origin: the number up to which its charges are sealed. A
//! batch is written in one transaction that compares the mark's revision, writes one part
//! for each shard and advances the mark. A batch is therefore created only once, whoever
//! writes it: after a lost reply, a delayed write, a paused origin or sealing by a second
//! holder, any other write finds the mark advanced. The mark outlives the batch, which a
//! roll-up deletes. A batch that is retried after a lost reply may contain more charges; only
//! one of the two writes can succeed.

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

/// Maximum number of charges in a batch; [`MAX_BATCH_BYTES`] may limit it further.
pub(crate) const MAX_BATCH_CHARGES: usize = 8192;
/// Maximum number of different hours in a batch, since a roll-up reads and writes the totals
/// of each.
const MAX_BATCH_HOURS: usize = 16;
const MIN_BACKOFF: Span = Span::from_millis(200);
const MAX_BACKOFF: Span = Span::from_secs(5);

/// State of a journal's sealing.
#[derive(Debug, Default)]
pub(crate) struct Seal {
    /// Last known revision of the mark; 0 if it is absent.
    mark: ModRevision,
    /// Last number of the batch in flight.
    pub(crate) in_flight: Option<u64>,
    /// Earliest time of the next batch.
    pub(crate) due: Time,
    backoff: Span,
}

/// Number up to which an origin's charges are sealed, as kept in the store.
#[derive(Debug, Serialize, Deserialize)]
pub(crate) struct Mark {
    sealed: u64,
    /// When the mark last advanced, by the wall clock of the daemon that advanced it.
    pub(crate) at: WallTime,
}

/// Returns the call that writes the next batch, unless there is none or one is in flight.
pub(crate) fn request(
    origin: &Origin,
    journal: &mut Journal,
    keys: &Keys,
    wall: WallTime,
) -> Option<Request> {
    if journal.is_empty() || journal.seal.in_flight.is_some() {
        return None;
    }
    let (upto, parts) = next_batch(journal);
    journal.seal.in_flight = Some(upto);
    let first = journal.sealed() + 1;
    let mark = keys.mark_key(origin);
    let writes = parts
        .into_iter()
        .map(|(shard, value)| put(keys.batch_key(shard, origin, first), value));
    let new_mark = codec::encode(&Mark {
        sealed: upto,
        at: wall,
    });
    Some(Request::Txn(Txn {
        compare: vec![Compare::ModRevision(mark.clone(), journal.seal.mark)],
        success: writes.chain([put(mark.clone(), new_mark)]).collect(),
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

/// Returns the last number of the next batch and its parts by shard, at most
/// [`MAX_BATCH_BYTES`] in total.
fn next_batch(journal: &Journal) -> (u64, BTreeMap<u16, bytes::Bytes>) {
    let mut limit = max_charges(journal);
    loop {
        let parts = parts(journal, limit);
        let size: usize = parts.values().map(bytes::Bytes::len).sum();
        if size <= MAX_BATCH_BYTES || limit == 1 {
            return (journal.sealed() + limit as u64, parts);
        }
        limit /= 2;
    }
}

fn max_charges(journal: &Journal) -> usize {
    let mut hours = BTreeSet::new();
    let charges = journal.after(journal.sealed(), MAX_BATCH_CHARGES);
    let batch = charges.take_while(|charge| {
        hours.insert(Hour::of(charge.at));
        hours.len() <= MAX_BATCH_HOURS
    });
    batch.count()
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

/// Processes the outcome of a batch.
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
        Some(OpReply::Range(found)) => apply_mark(journal, now, found),
        _ => back_off(&mut journal.seal, now),
    }
}

/// Adopts the mark found in the store, which another holder or an earlier attempt with a lost
/// reply has advanced.
fn apply_mark(journal: &mut Journal, now: Time, found: Vec<KeyValue>) {
    journal.seal.due = now;
    let Some(found) = found.into_iter().next() else {
        journal.seal.mark = ModRevision(0);
        return;
    };
    journal.seal.mark = found.mod_revision;
    match codec::decode::<Mark>(&found.value) {
        Ok(mark) => journal.advance(mark.sealed),
        // Written by a newer release, which seals the charges itself.
        Err(_) => back_off(&mut journal.seal, now),
    }
}

fn back_off(seal: &mut Seal, now: Time) {
    seal.backoff = seal.backoff.times(2).clamp(MIN_BACKOFF, MAX_BACKOFF);
    seal.due = now + seal.backoff;
}

//! Packs calls for many claims into one.
//!
//! The store counts calls, and one transaction may hold many, each with its own compare. One
//! batch is under way at a time, and one that is not full is followed by a gap; calls that come
//! meanwhile wait for the next. So batches grow with the load by themselves, a lone call waits
//! for nothing, and a second has few calls until all of them are full.

use std::collections::{BTreeSet, VecDeque};

use keyvalue::{Answer, CallError, Op, OpReply, Outcome, Reply, Txn, TxnReply};
use types::prelude::*;

/// Most calls in one: under the 128 steps that the service allows in a transaction.
pub const MAX_BATCH: usize = 64;
/// Most calls waiting.
pub const MAX_WAITING: usize = 4096;
/// Most bytes of values in one: under the service's limit of a call.
const MAX_BATCH_BYTES: usize = 512 << 10;

/// Names a call to whoever pushed it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Ticket(pub u64);

/// Why a call was not taken; it was not sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum PushError {
    /// Too many are waiting.
    #[error("claims: {MAX_WAITING} calls of the store are waiting already")]
    Full,
    /// Only reads and transactions go into a batch.
    #[error("claims: calls on leases go to the store directly, not in a batch")]
    NotPackable,
}

#[derive(Debug, Clone)]
struct Waiting {
    ticket: Ticket,
    op: Op,
    alone: bool,
}

/// Calls waiting and under way.
#[derive(Debug)]
pub struct Batcher {
    gap: Span,
    not_before: Time,
    waiting: VecDeque<Waiting>,
    under_way: Vec<Waiting>,
}

impl Batcher {
    /// An empty one: no batch begins sooner than `gap` after one that was not full.
    #[must_use]
    pub fn new(gap: Span) -> Self {
        Self {
            gap,
            not_before: Time::ZERO,
            waiting: VecDeque::new(),
            under_way: Vec::new(),
        }
    }

    /// Adds a read or a transaction.
    ///
    /// # Errors
    /// When too many are waiting or the call is of another kind; nothing was sent.
    pub fn push(&mut self, ticket: Ticket, request: keyvalue::Request) -> Result<(), PushError> {
        if self.waiting.len() >= MAX_WAITING {
            return Err(PushError::Full);
        }
        let op = match request {
            keyvalue::Request::Txn(txn) => Op::Txn(txn),
            keyvalue::Request::Range(range) => Op::Range(range),
            _ => return Err(PushError::NotPackable),
        };
        self.waiting.push_back(Waiting {
            ticket,
            op,
            alone: false,
        });
        Ok(())
    }

    /// Calls waiting, for the dump.
    #[must_use]
    pub fn waiting(&self) -> usize {
        self.waiting.len()
    }

    /// When the next call may be made, if any waits.
    #[must_use]
    pub fn due_at(&self) -> Option<Time> {
        (!self.waiting.is_empty()).then_some(self.not_before)
    }

    /// The next call, unless one is under way, it is too early or none is waiting.
    #[must_use]
    pub fn next_call(&mut self, now: Time) -> Option<keyvalue::Request> {
        if !self.under_way.is_empty() || !now.has_reached(self.not_before) {
            return None;
        }
        self.under_way = self.take_batch();
        if self.under_way.is_empty() {
            return None;
        }
        let is_full = self.under_way.len() >= MAX_BATCH;
        self.not_before = if is_full { now } else { now + self.gap };
        let success = self.under_way.iter().map(|call| call.op.clone()).collect();
        Some(keyvalue::Request::Txn(Txn {
            success,
            ..Txn::default()
        }))
    }

    /// The service refuses a transaction that writes a key twice, so a key is in a batch once;
    /// a second call on it stays for the next.
    fn take_batch(&mut self) -> Vec<Waiting> {
        let mut batch: Vec<Waiting> = Vec::new();
        let mut keys = BTreeSet::new();
        let mut bytes = 0;
        while let Some(call) = self.waiting.front() {
            let size = value_bytes(&call.op);
            let is_over = batch.len() >= MAX_BATCH || bytes + size > MAX_BATCH_BYTES;
            let is_alone = call.alone || batch.iter().any(|call| call.alone);
            let is_repeat = !keys.insert(key_of(&call.op).to_owned());
            if !batch.is_empty() && (is_over || is_alone || is_repeat) {
                break;
            }
            bytes += size;
            batch.extend(self.waiting.pop_front());
        }
        batch
    }

    /// Takes the outcome of the call under way and gives each part its own.
    ///
    /// Guards against one bad part failing all: a refused batch (a lapsed lease in one of its
    /// writes, say) had no effect, and its parts are sent again one by one.
    #[must_use]
    pub fn on_outcome(&mut self, outcome: Outcome) -> Vec<(Ticket, Outcome)> {
        let calls = std::mem::take(&mut self.under_way);
        match outcome {
            Err(CallError::Refused(_)) if calls.len() > 1 => {
                let alone = calls.into_iter().map(|call| Waiting {
                    alone: true,
                    ..call
                });
                for call in alone.rev() {
                    self.waiting.push_front(call);
                }
                Vec::new()
            }
            Err(error) => {
                let tickets = calls.into_iter().map(|call| call.ticket);
                tickets.map(|ticket| (ticket, Err(error.clone()))).collect()
            }
            Ok(answer) => share_out(&calls, answer),
        }
    }
}

fn share_out(calls: &[Waiting], answer: Answer) -> Vec<(Ticket, Outcome)> {
    let revision = answer.revision;
    let replies = match answer.reply {
        Reply::Txn(TxnReply { replies, .. }) if replies.len() == calls.len() => replies,
        _ => {
            return calls
                .iter()
                .map(|call| (call.ticket, malformed()))
                .collect();
        }
    };
    let pairs = calls.iter().zip(replies);
    let outcomes = pairs.map(|(call, reply)| {
        let reply = match reply {
            OpReply::Txn(txn) => Reply::Txn(txn),
            OpReply::Range(found) => Reply::Range(found),
            _ => return (call.ticket, malformed()),
        };
        (call.ticket, Ok(Answer { revision, reply }))
    });
    outcomes.collect()
}

fn malformed() -> Outcome {
    Err(CallError::Unknown("malformed reply to a batch".to_owned()))
}

fn key_of(op: &Op) -> &str {
    match op {
        Op::Put(put) => &put.key,
        Op::Delete(key) => key,
        Op::Range(range) => &range.key,
        Op::Txn(txn) => txn.success.first().map_or("", key_of),
    }
}

fn value_bytes(op: &Op) -> usize {
    match op {
        Op::Put(put) => put.value.len(),
        Op::Txn(txn) => txn.success.iter().map(value_bytes).sum(),
        Op::Delete(_) | Op::Range(_) => 0,
    }
}

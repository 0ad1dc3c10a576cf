//! Packs store calls of many claims into one.
//!
//! The store's load depends on the number of calls, and one transaction may hold many, each
//! with its own compare. One batch is in flight at a time, and a batch that is not full is
//! followed by a gap; calls made meanwhile wait for the next batch. So batches grow with the
//! load, a single call at low load is sent at once, and the number of batches per second is
//! bounded by the gap as long as batches are not full.

use std::collections::{BTreeSet, VecDeque};

use keyvalue::{Answer, CallError, Op, OpReply, Outcome, Reply, Txn, TxnReply};
use types::prelude::*;

/// Most calls in a batch: under the 128 operations that the store allows in a transaction.
pub const MAX_BATCH: usize = 64;
/// Most calls waiting for a batch.
pub const MAX_WAITING: usize = 4096;
/// Most bytes of values in a batch: under the store's size limit of a call.
const MAX_BATCH_BYTES: usize = 512 << 10;

/// Identifies a call to the code that pushed it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Ticket(pub u64);

/// Why a call was not accepted; it was not sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum PushError {
    /// [`MAX_WAITING`] calls are waiting.
    #[error("claims: {MAX_WAITING} store calls are already waiting")]
    Full,
    /// The call is neither a read nor a transaction, so it cannot go into a batch.
    #[error("claims: calls on leases go to the store directly, not in a batch")]
    NotPackable,
}

#[derive(Debug, Clone)]
struct QueuedCall {
    ticket: Ticket,
    op: Op,
    send_alone: bool,
}

/// Queue of calls and the batch in flight.
#[derive(Debug)]
pub struct Batcher {
    min_gap: Span,
    next_at: Time,
    waiting: VecDeque<QueuedCall>,
    in_flight: Vec<QueuedCall>,
}

impl Batcher {
    /// Creates an empty batcher that waits at least `min_gap` between the start of a batch that is
    /// not full and the next.
    #[must_use]
    pub fn new(min_gap: Span) -> Self {
        Self {
            min_gap,
            next_at: Time::ZERO,
            waiting: VecDeque::new(),
            in_flight: Vec::new(),
        }
    }

    /// Queues a read or a transaction.
    ///
    /// # Errors
    /// If too many calls are waiting or the call is of another kind; it was not sent.
    pub fn push(&mut self, ticket: Ticket, request: keyvalue::Request) -> Result<(), PushError> {
        if self.waiting.len() >= MAX_WAITING {
            return Err(PushError::Full);
        }
        let op = match request {
            keyvalue::Request::Txn(txn) => Op::Txn(txn),
            keyvalue::Request::Range(range) => Op::Range(range),
            _ => return Err(PushError::NotPackable),
        };
        self.waiting.push_back(QueuedCall {
            ticket,
            op,
            send_alone: false,
        });
        Ok(())
    }

    /// Number of calls waiting.
    #[must_use]
    pub fn waiting(&self) -> usize {
        self.waiting.len()
    }

    /// Time from which the next batch may be sent, if any call waits.
    #[must_use]
    pub fn due_at(&self) -> Option<Time> {
        (!self.waiting.is_empty()).then_some(self.next_at)
    }

    /// Returns the next batch as one store call, unless a batch is in flight, the gap has not
    /// passed or no call waits.
    #[must_use]
    pub fn next_call(&mut self, now: Time) -> Option<keyvalue::Request> {
        if !self.in_flight.is_empty() || !now.has_reached(self.next_at) {
            return None;
        }
        self.in_flight = self.take_batch();
        if self.in_flight.is_empty() {
            return None;
        }
        let is_full = self.in_flight.len() >= MAX_BATCH;
        self.next_at = if is_full { now } else { now + self.min_gap };
        let success = self.in_flight.iter().map(|call| call.op.clone()).collect();
        Some(keyvalue::Request::Txn(Txn {
            success,
            ..Txn::default()
        }))
    }

    /// Takes the calls of the next batch from the queue. The store refuses a transaction that
    /// writes a key twice, so a second call on the same key waits for the next batch.
    fn take_batch(&mut self) -> Vec<QueuedCall> {
        let mut batch: Vec<QueuedCall> = Vec::new();
        let mut keys = BTreeSet::new();
        let mut bytes = 0;
        while let Some(call) = self.waiting.front() {
            let size = value_bytes(&call.op);
            let is_too_large = batch.len() >= MAX_BATCH || bytes + size > MAX_BATCH_BYTES;
            let must_be_alone = call.send_alone || batch.iter().any(|call| call.send_alone);
            let has_same_key = !keys.insert(first_key(&call.op).to_owned());
            if !batch.is_empty() && (is_too_large || must_be_alone || has_same_key) {
                break;
            }
            bytes += size;
            batch.extend(self.waiting.pop_front());
        }
        batch
    }

    /// Takes the outcome of the batch in flight and returns the outcome of each of its calls.
    ///
    /// A refused batch (for example because the lease of one of its writes has expired) had no
    /// effect. Its calls are retried one by one, so that one bad call does not fail the others.
    #[must_use]
    pub fn on_outcome(&mut self, outcome: Outcome) -> Vec<(Ticket, Outcome)> {
        let calls = std::mem::take(&mut self.in_flight);
        match outcome {
            Err(CallError::Refused(_)) if calls.len() > 1 => {
                let separate = calls.into_iter().map(|call| QueuedCall {
                    send_alone: true,
                    ..call
                });
                for call in separate.rev() {
                    self.waiting.push_front(call);
                }
                Vec::new()
            }
            Err(error) => {
                let tickets = calls.into_iter().map(|call| call.ticket);
                tickets.map(|ticket| (ticket, Err(error.clone()))).collect()
            }
            Ok(answer) => split_reply(&calls, answer),
        }
    }
}

fn split_reply(calls: &[QueuedCall], answer: Answer) -> Vec<(Ticket, Outcome)> {
    let revision = answer.revision;
    let replies = match answer.reply {
        Reply::Txn(TxnReply { replies, .. }) if replies.len() == calls.len() => replies,
        _ => {
            return calls
                .iter()
                .map(|call| (call.ticket, malformed_reply()))
                .collect();
        }
    };
    let pairs = calls.iter().zip(replies);
    let outcomes = pairs.map(|(call, reply)| {
        let reply = match reply {
            OpReply::Txn(txn) => Reply::Txn(txn),
            OpReply::Range(found) => Reply::Range(found),
            _ => return (call.ticket, malformed_reply()),
        };
        (call.ticket, Ok(Answer { revision, reply }))
    });
    outcomes.collect()
}

fn malformed_reply() -> Outcome {
    Err(CallError::Unknown("malformed reply to a batch".to_owned()))
}

fn first_key(op: &Op) -> &str {
    match op {
        Op::Put(put) => &put.key,
        Op::Delete(key) => key,
        Op::Range(range) => &range.key,
        Op::Txn(txn) => txn.success.first().map_or("", first_key),
    }
}

fn value_bytes(op: &Op) -> usize {
    match op {
        Op::Put(put) => put.value.len(),
        Op::Txn(txn) => txn.success.iter().map(value_bytes).sum(),
        Op::Delete(_) | Op::Range(_) => 0,
    }
}

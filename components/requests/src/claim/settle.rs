//! Recording a claim's outcome, or releasing the claim of work that did not run.
//!
//! Both replace the claim's value by compare-and-swap on its own write. A release leaves a
//! marker instead of deleting the key: a write of the claim whose reply was lost may land later,
//! and would stand for ever as "may have run" in an empty place; against the marker it fails.

use bytes::Bytes;
use keyvalue::{CallError, KeyValue, LeaseId, ModRevision, OpReply, Outcome, Range, Reply};

use super::{ClaimRecord, Held, MAX_CALLS, Nonce, Recorded, State, write_if};

/// A claim being settled.
#[derive(Debug, Clone)]
pub struct Settle {
    key: String,
    nonce: Nonce,
    lease: LeaseId,
    value: Bytes,
    releases: bool,
    over: Option<ModRevision>,
    calls: u32,
}

/// What follows a call.
#[derive(Debug)]
pub enum SettleStep {
    /// Make this call.
    Call(keyvalue::Request),
    /// Settled.
    Done,
    /// The key is another's: its claim had lapsed or been released.
    Superseded,
    /// The store does not answer: begin again later with [`Settle::again`].
    Later,
}

impl Settle {
    /// Records the outcome of a request that ran.
    #[must_use]
    pub fn record(held: Held, recorded: Recorded) -> (Self, keyvalue::Request) {
        Self::start(held, State::Done(recorded))
    }

    /// Releases the claim of a request that certainly did not run.
    #[must_use]
    pub fn release(held: Held) -> (Self, keyvalue::Request) {
        Self::start(held, State::Released)
    }

    fn start(held: Held, state: State) -> (Self, keyvalue::Request) {
        let releases = state == State::Released;
        let record = ClaimRecord {
            nonce: held.nonce.clone(),
            fingerprint: held.fingerprint,
            state,
        };
        let mut settle = Self {
            key: held.key,
            nonce: held.nonce,
            lease: held.lease,
            value: record.encode(),
            releases,
            over: held.revision,
            calls: 0,
        };
        let call = settle.again();
        (settle, call)
    }

    /// Begins again after [`SettleStep::Later`].
    #[must_use]
    pub fn again(&mut self) -> keyvalue::Request {
        self.calls = 1;
        self.next_call()
    }

    /// Takes the outcome of the last call.
    #[must_use]
    pub fn on_outcome(&mut self, outcome: Outcome) -> SettleStep {
        let reply = match outcome {
            Ok(answer) => answer.reply,
            Err(CallError::Unknown(_)) => {
                self.over = None;
                return self.call_again();
            }
            Err(CallError::NotSent(_) | CallError::Refused(_)) => return self.call_again(),
        };
        match reply {
            Reply::Txn(txn) if txn.succeeded => SettleStep::Done,
            Reply::Txn(txn) => match txn.replies.into_iter().next() {
                Some(OpReply::Range(found)) => self.after_found(found),
                _ => self.read_again(),
            },
            Reply::Range(found) => self.after_found(found),
            _ => self.read_again(),
        }
    }

    fn after_found(&mut self, found: Vec<KeyValue>) -> SettleStep {
        let Some(found) = found.into_iter().next() else {
            self.over = Some(ModRevision(0));
            return self.call_again();
        };
        if found.value == self.value {
            return SettleStep::Done;
        }
        let record = ClaimRecord::decode(&found.value);
        if !record.is_some_and(|record| self.may_replace(&record)) {
            return SettleStep::Superseded;
        }
        self.over = Some(found.mod_revision);
        self.call_again()
    }

    /// Another's release marker is replaced by ours as well: our claim over it may be on its
    /// way still, and fails once the marker's revision has moved.
    fn may_replace(&self, record: &ClaimRecord) -> bool {
        record.nonce == self.nonce || (self.releases && record.state == State::Released)
    }

    fn read_again(&mut self) -> SettleStep {
        self.over = None;
        self.call_again()
    }

    fn call_again(&mut self) -> SettleStep {
        if self.calls >= MAX_CALLS {
            return SettleStep::Later;
        }
        self.calls += 1;
        SettleStep::Call(self.next_call())
    }

    fn next_call(&self) -> keyvalue::Request {
        match self.over {
            Some(revision) => write_if(&self.key, revision, self.value.clone(), self.lease),
            None => keyvalue::Request::Range(Range::key(&self.key)),
        }
    }
}

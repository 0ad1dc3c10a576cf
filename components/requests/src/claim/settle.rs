//! Settles claims: records the outcome, or releases the claim of work that did not run.
//!
//! Both replace the claim's value by compare-and-swap on the revision of the claim's own write.
//! A release writes a marker instead of deleting the key: a write of the claim whose reply was
//! lost may take effect later. If the key were absent, it would succeed, and the claim would
//! say "may have run" until its lease expires; against the marker it fails.

use bytes::Bytes;
use keyvalue::{CallError, KeyValue, LeaseId, ModRevision, OpReply, Outcome, Range, Reply};

use super::{ClaimRecord, HeldClaim, MAX_CALLS, Nonce, RecordedAnswer, State, put_if_revision};

/// State machine that settles a claim.
#[derive(Debug, Clone)]
pub struct Settlement {
    key: String,
    nonce: Nonce,
    lease: LeaseId,
    value: Bytes,
    is_release: bool,
    expected_revision: Option<ModRevision>,
    calls: u32,
}

/// What follows a store call of a [`Settlement`].
#[derive(Debug)]
pub enum SettleStep {
    /// Make this store call.
    Call(keyvalue::Request),
    /// The claim is settled.
    Done,
    /// The key holds another claim: this one had expired or been released.
    Superseded,
    /// The store does not answer: start again later with [`Settlement::restart`].
    RetryLater,
}

impl Settlement {
    /// Records the outcome of a request that ran.
    #[must_use]
    pub fn record(held: HeldClaim, recorded: RecordedAnswer) -> (Self, keyvalue::Request) {
        Self::start(held, State::Done(recorded))
    }

    /// Releases the claim of a request that certainly did not run.
    #[must_use]
    pub fn release(held: HeldClaim) -> (Self, keyvalue::Request) {
        Self::start(held, State::Released)
    }

    fn start(held: HeldClaim, state: State) -> (Self, keyvalue::Request) {
        let is_release = state == State::Released;
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
            is_release,
            expected_revision: held.revision,
            calls: 0,
        };
        let call = settle.restart();
        (settle, call)
    }

    /// Starts again after [`SettleStep::RetryLater`] and returns the first store call.
    #[must_use]
    pub fn restart(&mut self) -> keyvalue::Request {
        self.calls = 1;
        self.next_call()
    }

    /// Takes the outcome of the last store call.
    #[must_use]
    pub fn on_outcome(&mut self, outcome: Outcome) -> SettleStep {
        let reply = match outcome {
            Ok(answer) => answer.reply,
            Err(CallError::Unknown(_)) => {
                self.expected_revision = None;
                return self.call_again();
            }
            Err(CallError::NotSent(_) | CallError::Refused(_)) => return self.call_again(),
        };
        match reply {
            Reply::Txn(txn) if txn.succeeded => SettleStep::Done,
            Reply::Txn(txn) => match txn.replies.into_iter().next() {
                Some(OpReply::Range(found)) => self.on_stored_value(found),
                _ => self.read_back(),
            },
            Reply::Range(found) => self.on_stored_value(found),
            _ => self.read_back(),
        }
    }

    fn on_stored_value(&mut self, found: Vec<KeyValue>) -> SettleStep {
        let Some(found) = found.into_iter().next() else {
            self.expected_revision = Some(ModRevision(0));
            return self.call_again();
        };
        if found.value == self.value {
            return SettleStep::Done;
        }
        let record = ClaimRecord::decode(&found.value);
        if !record.is_some_and(|record| self.may_replace(&record)) {
            return SettleStep::Superseded;
        }
        self.expected_revision = Some(found.mod_revision);
        self.call_again()
    }

    /// Whether the stored value may be replaced: it is this claim's own, or this is a release and
    /// the value is the release marker of another claim. This claim's write over that marker may
    /// still be in flight, and it fails once the marker's revision has changed.
    fn may_replace(&self, record: &ClaimRecord) -> bool {
        record.nonce == self.nonce || (self.is_release && record.state == State::Released)
    }

    fn read_back(&mut self) -> SettleStep {
        self.expected_revision = None;
        self.call_again()
    }

    fn call_again(&mut self) -> SettleStep {
        if self.calls >= MAX_CALLS {
            return SettleStep::RetryLater;
        }
        self.calls += 1;
        SettleStep::Call(self.next_call())
    }

    fn next_call(&self) -> keyvalue::Request {
        match self.expected_revision {
            Some(revision) => put_if_revision(&self.key, revision, self.value.clone(), self.lease),
            None => keyvalue::Request::Range(Range::key(&self.key)),
        }
    }
}

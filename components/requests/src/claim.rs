//! Claims: durable records in the key-value store that let a request run at most once.
//!
//! A request that is not idempotent is claimed under `claims/CUSTOMER/REQUEST` before the first
//! byte is sent to an upstream. The claim is a write that succeeds only if the key is absent, so
//! only one of all daemons, retries and restarts gets it. It carries a nonce, by which a daemon
//! recognizes its own write after a lost reply. Once the outcome is known, it is recorded in the
//! claim, and a retry gets the same answer; a retry that finds no recorded outcome is refused with
//! "outcome unknown".
//!
//! The types here are state machines without I/O: they return [`keyvalue::Request`]s and take
//! [`keyvalue::Outcome`]s. [`Claim`] makes a claim, [`Settlement`] records its outcome or releases
//! it, [`LeaseSlots`] obtains the lease that claims are written with, and [`Batcher`] packs many
//! of their calls into one.

mod batch;
mod lease;
mod record;
mod settle;

pub use batch::{Batcher, MAX_BATCH, MAX_WAITING, PushError, Ticket};
pub use lease::{ClaimLease, LeaseSlots, MAX_WINDOW, MIN_WINDOW, Windows};
pub use record::{ClaimRecord, MAX_BODY, MAX_HEADER_BYTES, Nonce, RecordedAnswer, State};
pub use settle::{SettleStep, Settlement};

use bytes::Bytes;
use keyvalue::{
    Answer, CallError, Compare, KeyValue, LeaseId, ModRevision, Op, OpReply, Outcome, Put, Range,
    Reply, Txn, TxnReply,
};
use types::prelude::*;

/// Most store calls made for one claim or settlement before it is given up.
pub const MAX_CALLS: u32 = 6;

/// Returns the key of a request's claim below `prefix`, such as `/buckthorncross/main/claims/`.
///
/// Each `/` in the customer's name is escaped, because names may contain `/`: unescaped, customer
/// `a/b` with request `c` would share a key with customer `a` and request `b/c`.
#[must_use]
pub fn claim_key(prefix: &str, customer: &CustomerId, id: &RequestId) -> String {
    let customer = customer.as_str().replace('/', "%2F");
    format!("{prefix}{customer}/{id}")
}

/// Parameters of a claim.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ClaimSpec {
    /// Key in the store, see [`claim_key`].
    pub key: String,
    /// Nonce, unique for this claim among all claims of all daemons.
    pub nonce: Nonce,
    /// Hash of the request's content; a retry has the same.
    pub fingerprint: u64,
    /// Lease that the key is written with; the key is deleted when it expires.
    pub lease: ClaimLease,
    /// Time after which the claim is given up.
    pub deadline: Time,
}

/// State machine that makes a claim.
#[derive(Debug, Clone)]
pub struct Claim {
    spec: ClaimSpec,
    expected_revision: ModRevision,
    phase: Phase,
    calls: u32,
    may_be_written: bool,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Phase {
    Writing,
    Reading,
}

/// A claim that this daemon holds, or may hold after an unanswered write. Not `Clone`, so
/// that it is settled only once.
#[derive(Debug, PartialEq, Eq)]
pub struct HeldClaim {
    pub(crate) key: String,
    pub(crate) nonce: Nonce,
    pub(crate) fingerprint: u64,
    pub(crate) lease: LeaseId,
    pub(crate) revision: Option<ModRevision>,
}

/// What an existing claim, made when the request was sent before, says about it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ExistingClaim {
    /// The request ran; return its recorded answer.
    Recorded(RecordedAnswer),
    /// The request may be running or have run.
    Open,
    /// The same id was used for a request with other content.
    KeyReused,
}

/// What follows a store call of a [`Claim`].
#[derive(Debug)]
pub enum ClaimStep {
    /// Make this store call.
    Call(keyvalue::Request),
    /// This daemon has the claim: run the request.
    Acquired(HeldClaim),
    /// The request was claimed before, here or by another daemon: do not run it.
    Duplicate(ExistingClaim),
    /// The claim could not be made: refuse the request as not run. A write that may still take
    /// effect is given, to be released: if it took effect later, the caller's retry would be
    /// refused with "outcome unknown".
    Unavailable(Option<HeldClaim>),
}

impl Claim {
    /// Starts a claim and returns its first store call.
    #[must_use]
    pub fn start(spec: ClaimSpec) -> (Self, keyvalue::Request) {
        let claim = Self {
            spec,
            expected_revision: ModRevision(0),
            phase: Phase::Writing,
            calls: 1,
            may_be_written: false,
        };
        let call = claim.write_request();
        (claim, call)
    }

    /// Lease that the claim is written with.
    #[must_use]
    pub fn lease(&self) -> LeaseId {
        self.spec.lease.id
    }

    /// Takes the outcome of the last store call.
    #[must_use]
    pub fn on_outcome(&mut self, outcome: Outcome, now: Time) -> ClaimStep {
        match (self.phase, outcome) {
            (Phase::Writing, Ok(answer)) => self.after_write(answer, now),
            (Phase::Reading, Ok(answer)) => self.after_read(answer, now),
            (Phase::Writing, Err(CallError::Unknown(_))) => {
                self.may_be_written = true;
                self.call_again(Phase::Reading, now)
            }
            (_, Err(CallError::Refused(_))) => self.give_up(),
            (phase, Err(_)) => self.call_again(phase, now),
        }
    }

    fn after_write(&mut self, answer: Answer, now: Time) -> ClaimStep {
        let Reply::Txn(TxnReply { succeeded, replies }) = answer.reply else {
            return self.read_back(now);
        };
        if succeeded {
            return self.acquired(answer.revision, now);
        }
        match replies.into_iter().next() {
            Some(OpReply::Range(found)) => self.on_stored_value(found, now),
            _ => self.read_back(now),
        }
    }

    fn after_read(&mut self, answer: Answer, now: Time) -> ClaimStep {
        match answer.reply {
            Reply::Range(found) => self.on_stored_value(found, now),
            _ => self.read_back(now),
        }
    }

    fn read_back(&mut self, now: Time) -> ClaimStep {
        self.may_be_written = true;
        self.call_again(Phase::Reading, now)
    }

    /// Decides by the key's present value.
    ///
    /// If the key is absent, the write has not taken effect yet and is made again with the same
    /// nonce; if both take effect, the second fails against the first, which the nonce identifies
    /// as this claim's own. If the nonce is another's, the request never runs here. So a lost reply
    /// does not lead to a second run.
    fn on_stored_value(&mut self, found: Vec<KeyValue>, now: Time) -> ClaimStep {
        let Some(found) = found.into_iter().next() else {
            self.expected_revision = ModRevision(0);
            return self.call_again(Phase::Writing, now);
        };
        let Some(record) = ClaimRecord::decode(&found.value) else {
            return ClaimStep::Duplicate(ExistingClaim::Open);
        };
        if record.nonce == self.spec.nonce {
            return self.acquired(found.mod_revision, now);
        }
        match record.state {
            State::Released => {
                self.expected_revision = found.mod_revision;
                self.call_again(Phase::Writing, now)
            }
            _ if record.fingerprint != self.spec.fingerprint => {
                ClaimStep::Duplicate(ExistingClaim::KeyReused)
            }
            State::Open => ClaimStep::Duplicate(ExistingClaim::Open),
            State::Done(recorded) => ClaimStep::Duplicate(ExistingClaim::Recorded(recorded)),
        }
    }

    /// Decides whether to use a claim whose write has taken effect.
    ///
    /// A claim that took so long that its lease has less than the retry window left is not used: it
    /// would expire while the caller may still retry, and the request would run again.
    fn acquired(&mut self, revision: ModRevision, now: Time) -> ClaimStep {
        let held = self.to_held(Some(revision));
        if now.has_reached(self.spec.lease.use_until) || now.has_reached(self.spec.deadline) {
            return ClaimStep::Unavailable(Some(held));
        }
        ClaimStep::Acquired(held)
    }

    fn call_again(&mut self, phase: Phase, now: Time) -> ClaimStep {
        if self.calls >= MAX_CALLS || now.has_reached(self.spec.deadline) {
            return self.give_up();
        }
        self.calls += 1;
        self.phase = phase;
        ClaimStep::Call(match phase {
            Phase::Writing => self.write_request(),
            Phase::Reading => keyvalue::Request::Range(Range::key(&self.spec.key)),
        })
    }

    fn give_up(&self) -> ClaimStep {
        ClaimStep::Unavailable(self.may_be_written.then(|| self.to_held(None)))
    }

    fn to_held(&self, revision: Option<ModRevision>) -> HeldClaim {
        HeldClaim {
            key: self.spec.key.clone(),
            nonce: self.spec.nonce.clone(),
            fingerprint: self.spec.fingerprint,
            lease: self.spec.lease.id,
            revision,
        }
    }

    fn write_request(&self) -> keyvalue::Request {
        let record = ClaimRecord {
            nonce: self.spec.nonce.clone(),
            fingerprint: self.spec.fingerprint,
            state: State::Open,
        };
        let lease = self.spec.lease.id;
        put_if_revision(
            &self.spec.key,
            self.expected_revision,
            record.encode(),
            lease,
        )
    }
}

/// Writes a key if it was last written at `revision` (0: if it is absent), else reads it.
pub(crate) fn put_if_revision(
    key: &str,
    revision: ModRevision,
    value: Bytes,
    lease: LeaseId,
) -> keyvalue::Request {
    let key = key.to_owned();
    keyvalue::Request::Txn(Txn {
        compare: vec![Compare::ModRevision(key.clone(), revision)],
        success: vec![Op::Put(Put {
            key: key.clone(),
            value,
            lease: Some(lease),
        })],
        failure: vec![Op::Range(Range::key(key))],
    })
}

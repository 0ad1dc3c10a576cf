//! At most once across daemons: a durable claim in the key-value service.
//!
//! A request that is not idempotent is claimed under `claims/CUSTOMER/REQUEST` before its first
//! byte leaves. The claim is a write that succeeds only if the key is absent, so of all daemons,
//! repeats and restarts one gets it. It carries a nonce, which tells the daemon's own write from
//! another's when a reply is lost. Once the outcome is known it is recorded in the claim, so that
//! a repeat gets the same answer; a repeat that finds none recorded is told "outcome unknown".
//!
//! The machines here return [`keyvalue::Request`]s and take [`keyvalue::Outcome`]s:
//! [`Claim`] makes a claim, [`Settle`] records its outcome or releases it, [`LeaseSlots`] keeps
//! the lease that claims go with, and [`Batcher`] packs many of their calls into one.

mod batch;
mod lease;
mod record;
mod settle;

pub use batch::{Batcher, MAX_BATCH, MAX_WAITING, PushError, Ticket};
pub use lease::{ClaimLease, LeaseSlots, MAX_WINDOW, MIN_WINDOW, Windows};
pub use record::{ClaimRecord, MAX_BODY, MAX_HEADER_BYTES, Nonce, Recorded, State};
pub use settle::{Settle, SettleStep};

use bytes::Bytes;
use keyvalue::{
    Answer, CallError, Compare, KeyValue, LeaseId, ModRevision, Op, OpReply, Outcome, Put, Range,
    Reply, Txn, TxnReply,
};
use types::prelude::*;

/// Calls made for one claim before it is given up.
pub const MAX_CALLS: u32 = 6;

/// The key of a request's claim below `prefix`, such as `/buckthorncross/main/claims/`.
///
/// Guards against two requests sharing a key: names may hold `/`, so that customer `a/b` with
/// request `c` would meet customer `a` with request `b/c`. The customer's are escaped.
#[must_use]
pub fn claim_key(prefix: &str, customer: &CustomerId, id: &RequestId) -> String {
    let customer = customer.as_str().replace('/', "%2F");
    format!("{prefix}{customer}/{id}")
}

/// What a claim is made with.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ClaimSpec {
    /// See [`claim_key`].
    pub key: String,
    /// Unique for this daemon's run and attempt at the request.
    pub nonce: Nonce,
    /// Hash of what is asked; a repeat has the same.
    pub fingerprint: u64,
    /// What the key goes with.
    pub lease: ClaimLease,
    /// Given up then.
    pub deadline: Time,
}

/// A claim in the making.
#[derive(Debug, Clone)]
pub struct Claim {
    spec: ClaimSpec,
    over: ModRevision,
    phase: Phase,
    calls: u32,
    in_doubt: bool,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Phase {
    Writing,
    Reading,
}

/// A claim that this daemon holds. Not copied: it is settled once.
#[derive(Debug, PartialEq, Eq)]
pub struct Held {
    pub(crate) key: String,
    pub(crate) nonce: Nonce,
    pub(crate) fingerprint: u64,
    pub(crate) lease: LeaseId,
    pub(crate) revision: Option<ModRevision>,
}

/// What another's claim says of the request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Standing {
    /// It ran; answer so again.
    Recorded(Recorded),
    /// It may be running or have run.
    Open,
    /// The same id was used for something else.
    Reused,
}

/// What follows a call.
#[derive(Debug)]
pub enum ClaimStep {
    /// Make this call.
    Call(keyvalue::Request),
    /// The claim is this daemon's: run the request.
    Mine(Held),
    /// The claim is another's: do not run it.
    Duplicate(Standing),
    /// No claim could be made: refuse as not run. A write still in doubt is to be released,
    /// or the caller's repeat would be told "outcome unknown" when it lands.
    Unavailable(Option<Held>),
}

impl Claim {
    /// Begins with the first call.
    #[must_use]
    pub fn start(spec: ClaimSpec) -> (Self, keyvalue::Request) {
        let claim = Self {
            spec,
            over: ModRevision(0),
            phase: Phase::Writing,
            calls: 1,
            in_doubt: false,
        };
        let call = claim.write();
        (claim, call)
    }

    /// The lease that it is made with.
    #[must_use]
    pub fn lease(&self) -> LeaseId {
        self.spec.lease.id
    }

    /// Takes the outcome of the last call.
    #[must_use]
    pub fn on_outcome(&mut self, outcome: Outcome, now: Time) -> ClaimStep {
        match (self.phase, outcome) {
            (Phase::Writing, Ok(answer)) => self.after_write(answer, now),
            (Phase::Reading, Ok(answer)) => self.after_read(answer, now),
            (Phase::Writing, Err(CallError::Unknown(_))) => {
                self.in_doubt = true;
                self.call_again(Phase::Reading, now)
            }
            (_, Err(CallError::Refused(_))) => self.give_up(),
            (phase, Err(_)) => self.call_again(phase, now),
        }
    }

    fn after_write(&mut self, answer: Answer, now: Time) -> ClaimStep {
        let Reply::Txn(TxnReply { succeeded, replies }) = answer.reply else {
            return self.doubt(now);
        };
        if succeeded {
            return self.mine(answer.revision, now);
        }
        match replies.into_iter().next() {
            Some(OpReply::Range(found)) => self.after_found(found, now),
            _ => self.doubt(now),
        }
    }

    fn after_read(&mut self, answer: Answer, now: Time) -> ClaimStep {
        match answer.reply {
            Reply::Range(found) => self.after_found(found, now),
            _ => self.doubt(now),
        }
    }

    fn doubt(&mut self, now: Time) -> ClaimStep {
        self.in_doubt = true;
        self.call_again(Phase::Reading, now)
    }

    /// Guards against running twice after a lost reply. Absent: the write did not land yet, and
    /// is made again with the same nonce; should both land, the second fails against the first,
    /// which the nonce shows to be ours. Another's nonce: never run here.
    fn after_found(&mut self, found: Vec<KeyValue>, now: Time) -> ClaimStep {
        let Some(found) = found.into_iter().next() else {
            self.over = ModRevision(0);
            return self.call_again(Phase::Writing, now);
        };
        let Some(record) = ClaimRecord::decode(&found.value) else {
            return ClaimStep::Duplicate(Standing::Open);
        };
        if record.nonce == self.spec.nonce {
            return self.mine(found.mod_revision, now);
        }
        match record.state {
            State::Released => {
                self.over = found.mod_revision;
                self.call_again(Phase::Writing, now)
            }
            _ if record.fingerprint != self.spec.fingerprint => {
                ClaimStep::Duplicate(Standing::Reused)
            }
            State::Open => ClaimStep::Duplicate(Standing::Open),
            State::Done(recorded) => ClaimStep::Duplicate(Standing::Recorded(recorded)),
        }
    }

    /// Guards against a claim that lapses before its caller stops retrying: one that took so
    /// long that its lease has less than the retry window left is not used.
    fn mine(&mut self, revision: ModRevision, now: Time) -> ClaimStep {
        let held = self.held(Some(revision));
        if now.has_reached(self.spec.lease.use_until) || now.has_reached(self.spec.deadline) {
            return ClaimStep::Unavailable(Some(held));
        }
        ClaimStep::Mine(held)
    }

    fn call_again(&mut self, phase: Phase, now: Time) -> ClaimStep {
        if self.calls >= MAX_CALLS || now.has_reached(self.spec.deadline) {
            return self.give_up();
        }
        self.calls += 1;
        self.phase = phase;
        ClaimStep::Call(match phase {
            Phase::Writing => self.write(),
            Phase::Reading => keyvalue::Request::Range(Range::key(&self.spec.key)),
        })
    }

    fn give_up(&self) -> ClaimStep {
        ClaimStep::Unavailable(self.in_doubt.then(|| self.held(None)))
    }

    fn held(&self, revision: Option<ModRevision>) -> Held {
        Held {
            key: self.spec.key.clone(),
            nonce: self.spec.nonce.clone(),
            fingerprint: self.spec.fingerprint,
            lease: self.spec.lease.id,
            revision,
        }
    }

    fn write(&self) -> keyvalue::Request {
        let record = ClaimRecord {
            nonce: self.spec.nonce.clone(),
            fingerprint: self.spec.fingerprint,
            state: State::Open,
        };
        let lease = self.spec.lease.id;
        write_if(&self.spec.key, self.over, record.encode(), lease)
    }
}

/// Writes a key if its last write was `revision` (0: if it is absent), else reads it.
pub(crate) fn write_if(
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

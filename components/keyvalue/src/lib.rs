//! Requests and replies of the platform's key-value service.
//!
//! Decision logic that needs the service returns a [`Request`] and later receives its
//! [`Outcome`]; it never calls the service itself. The types cover a subset of etcd: ranges,
//! transactions of compares, puts and deletes, and leases. Transactions can be nested, each
//! with its own compares, so that one call can carry many independent steps.

use bytes::Bytes;
use types::prelude::Span;

/// A call to the service.
#[derive(Debug, Clone, PartialEq)]
pub enum Request {
    /// Reads keys.
    Range(Range),
    /// Compares keys, then writes and reads others atomically.
    Txn(Txn),
    /// Creates a lease.
    LeaseGrant {
        /// Time after the last renewal at which the lease expires.
        ttl: Span,
    },
    /// Renews a lease.
    LeaseKeepAlive(LeaseId),
    /// Revokes a lease and deletes its keys.
    LeaseRevoke(LeaseId),
}

/// Id of a lease, assigned by the service.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct LeaseId(pub i64);

/// A revision of the service: of a key's last write, or of the service as a whole.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ModRevision(pub i64);

/// Specifies the keys to read.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Range {
    /// The key to read, or the prefix of the keys if `prefix` is set.
    pub key: String,
    /// Whether to read all keys that start with `key`.
    pub prefix: bool,
    /// Maximum number of keys to return; 0 for no limit.
    pub limit: u32,
    /// Returns only keys after this one and within the prefix; used to read in pages.
    pub after: Option<String>,
    /// Whether the result may be some seconds old, so that any replica can serve it at a lower
    /// cost.
    pub serializable: bool,
}

impl Range {
    /// Creates a range of one key.
    #[must_use]
    pub fn key(key: impl Into<String>) -> Self {
        Self {
            key: key.into(),
            prefix: false,
            limit: 0,
            after: None,
            serializable: false,
        }
    }

    /// Creates a range of all keys that start with `key`.
    #[must_use]
    pub fn prefix(key: impl Into<String>) -> Self {
        Self {
            key: key.into(),
            prefix: true,
            limit: 0,
            after: None,
            serializable: false,
        }
    }
}

/// A transaction, which carries out `success` if all compares hold and `failure` otherwise.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Txn {
    /// The conditions.
    pub compare: Vec<Compare>,
    /// Operations carried out if all conditions hold.
    pub success: Vec<Op>,
    /// Operations carried out if any condition does not hold.
    pub failure: Vec<Op>,
}

/// A condition on a key.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Compare {
    /// The key is absent.
    Absent(String),
    /// The key's last write has this revision; 0 means that the key is absent.
    ModRevision(String, ModRevision),
}

/// An operation of a transaction.
#[derive(Debug, Clone, PartialEq)]
pub enum Op {
    /// Writes a key.
    Put(Put),
    /// Deletes a key.
    Delete(String),
    /// Reads keys.
    Range(Range),
    /// Runs a nested transaction with its own compares.
    Txn(Txn),
}

/// A write of one key.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Put {
    /// The key to write.
    pub key: String,
    /// The new value.
    pub value: Bytes,
    /// Lease at whose end the key is deleted.
    pub lease: Option<LeaseId>,
}

/// A key with its current value.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct KeyValue {
    /// The key.
    pub key: String,
    /// The current value.
    pub value: Bytes,
    /// Revision of the last write.
    pub mod_revision: ModRevision,
    /// Lease at whose end the key is deleted.
    pub lease: Option<LeaseId>,
}

/// The result of an operation of a transaction.
#[derive(Debug, Clone, PartialEq)]
pub enum OpReply {
    /// The key was written.
    Put,
    /// Number of keys deleted.
    Delete(u64),
    /// The keys read.
    Range(Vec<KeyValue>),
    /// The result of a nested transaction.
    Txn(TxnReply),
}

/// The result of a transaction.
#[derive(Debug, Clone, PartialEq)]
pub struct TxnReply {
    /// Whether all compares held.
    pub succeeded: bool,
    /// Results of the operations carried out, in their order.
    pub replies: Vec<OpReply>,
}

/// The result of a call.
#[derive(Debug, Clone, PartialEq)]
pub enum Reply {
    /// The keys read by [`Request::Range`].
    Range(Vec<KeyValue>),
    /// The result of [`Request::Txn`].
    Txn(TxnReply),
    /// The lease created by [`Request::LeaseGrant`].
    LeaseGranted(LeaseId),
    /// The remaining time of the lease after [`Request::LeaseKeepAlive`]; `None` if the lease has
    /// ended.
    LeaseRenewed(Option<Span>),
    /// The lease was revoked.
    LeaseRevoked,
}

/// A reply and the revision of the service at that time.
#[derive(Debug, Clone, PartialEq)]
pub struct Answer {
    /// Revision of the service.
    pub revision: ModRevision,
    /// The result of the call.
    pub reply: Reply,
}

/// The answer to a call, or why there is none.
pub type Outcome = Result<Answer, CallError>;

/// Why a call has no answer.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum CallError {
    /// The call never reached the service and certainly had no effect.
    #[error("not sent: {0}")]
    NotSent(String),
    /// The call was sent and no usable reply arrived; it may have taken effect or may do so later.
    #[error("no reply: {0}")]
    Unknown(String),
    /// The service refused the call and did nothing.
    #[error("refused: {0}")]
    Refused(String),
}

/// A change of a watched key.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct WatchEvent {
    /// Revision of the change.
    pub revision: ModRevision,
    /// The key that changed.
    pub key: String,
    /// The new value; `None` if the key was deleted.
    pub value: Option<KeyValue>,
}

//! Requests and replies of the platform's key-value service.
//!
//! Decisions that need the service return a [`Request`] and are later given its
//! [`Outcome`]; they never call it. The subset is etcd's: ranges, transactions of
//! compares, puts and deletes, and leases. A transaction may hold transactions, each
//! with compares of its own, so that one call can carry many independent steps.

use bytes::Bytes;
use types::prelude::Span;

/// One call of the service.
#[derive(Debug, Clone, PartialEq)]
pub enum Request {
    /// Read keys.
    Range(Range),
    /// Compare, then write and read.
    Txn(Txn),
    /// Make a lease.
    LeaseGrant {
        /// It lapses this long after its last renewal.
        ttl: Span,
    },
    /// Renew a lease.
    LeaseKeepAlive(LeaseId),
    /// End a lease and delete its keys.
    LeaseRevoke(LeaseId),
}

/// A lease of the service.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct LeaseId(pub i64);

/// The service's own revision, of a key or as a whole.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ModRevision(pub i64);

/// Keys to read.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Range {
    /// The key, or the first of them.
    pub key: String,
    /// Read all keys that begin with `key`.
    pub prefix: bool,
    /// At most so many, 0 for all.
    pub limit: u32,
    /// Read only keys after this one (for reading in pages), still within the prefix.
    pub after: Option<String>,
    /// The answer may be some seconds old: a replica gives it, which costs the service less.
    pub serializable: bool,
}

impl Range {
    /// One key.
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

    /// All keys that begin so.
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

/// If all compares hold then `success`, else `failure`.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Txn {
    /// All must hold.
    pub compare: Vec<Compare>,
    /// Done when they do.
    pub success: Vec<Op>,
    /// Done when one does not.
    pub failure: Vec<Op>,
}

/// A condition on a key.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Compare {
    /// The key is absent.
    Absent(String),
    /// The key's last write was this one. [`ModRevision`] 0: the key is absent.
    ModRevision(String, ModRevision),
}

/// A step of a transaction.
#[derive(Debug, Clone, PartialEq)]
pub enum Op {
    /// Write a key.
    Put(Put),
    /// Delete a key.
    Delete(String),
    /// Read.
    Range(Range),
    /// A transaction inside, with its own compares.
    Txn(Txn),
}

/// A write.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Put {
    /// Where.
    pub key: String,
    /// What.
    pub value: Bytes,
    /// Goes when the lease ends.
    pub lease: Option<LeaseId>,
}

/// A key as it stands.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct KeyValue {
    /// Its name.
    pub key: String,
    /// Its value.
    pub value: Bytes,
    /// Its last write.
    pub mod_revision: ModRevision,
    /// The lease that it goes with.
    pub lease: Option<LeaseId>,
}

/// What a step of a transaction gave.
#[derive(Debug, Clone, PartialEq)]
pub enum OpReply {
    /// Written.
    Put,
    /// Deleted so many.
    Delete(u64),
    /// Read.
    Range(Vec<KeyValue>),
    /// An inner transaction's own reply.
    Txn(TxnReply),
}

/// What a transaction did.
#[derive(Debug, Clone, PartialEq)]
pub struct TxnReply {
    /// Whether all compares held.
    pub succeeded: bool,
    /// One for each step of the branch taken.
    pub replies: Vec<OpReply>,
}

/// What a call gave.
#[derive(Debug, Clone, PartialEq)]
pub enum Reply {
    /// Of a range.
    Range(Vec<KeyValue>),
    /// Of a transaction.
    Txn(TxnReply),
    /// Of a grant.
    LeaseGranted(LeaseId),
    /// Of a renewal: time left, or nothing when the lease is gone.
    LeaseKept(Option<Span>),
    /// Of a revocation.
    LeaseRevoked,
}

/// A reply with the service's revision at the time.
#[derive(Debug, Clone, PartialEq)]
pub struct Answer {
    /// The service's revision.
    pub revision: ModRevision,
    /// What the call gave.
    pub reply: Reply,
}

/// How a call ended.
pub type Outcome = Result<Answer, CallError>;

/// Why a call gave nothing.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum CallError {
    /// Never reached the service: certainly without effect.
    #[error("not sent: {0}")]
    NotSent(String),
    /// Sent, and no reply: may have taken effect or may do so later.
    #[error("no reply: {0}")]
    Unknown(String),
    /// The service said no and did nothing.
    #[error("refused: {0}")]
    Refused(String),
}

/// A change of a watched key.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct WatchEvent {
    /// The service's revision of the change.
    pub revision: ModRevision,
    /// The key.
    pub key: String,
    /// Its new state, or nothing once deleted.
    pub value: Option<KeyValue>,
}

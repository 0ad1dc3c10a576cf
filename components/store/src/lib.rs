//! Client of the platform's key-value service.
//!
//! The decision logic describes calls as [`keyvalue::Request`]s. I/O threads pass them to
//! a [`Store`] and return the [`keyvalue::Outcome`]s. An outcome never claims more than is
//! known: a call counts as not sent only if no byte of its body was written to a
//! connection.

mod etcd;

use std::io;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

use keyvalue::{ModRevision, Outcome, Range, Request, WatchEvent};
use types::prelude::*;

pub use crate::etcd::{Config, EtcdClient, EtcdError};

/// Blocking interface to the key-value service, used by I/O threads.
pub trait Store: Send + Sync {
    /// Makes a call and waits for its outcome, at most for the client's timeout.
    fn call(&self, req: Request) -> Outcome;

    /// Reads keys with a timeout for each part of the reply. Clients with one timeout for all
    /// calls ignore it.
    fn read(&self, range: Range, timeout: Span) -> Outcome {
        let _ = timeout;
        self.call(Request::Range(range))
    }

    /// Passes changes under a prefix to `sink` until the stream ends or the watch is stopped.
    fn watch(&self, watch: &Watch, sink: &mut Sink<'_>) -> WatchEnd;
}

/// Receives the changes of a watch; returns false to end it.
pub type Sink<'a> = dyn FnMut(WatchBatch) -> bool + 'a;

/// A watch of all keys under a prefix.
#[derive(Debug, Clone)]
pub struct Watch {
    /// Prefix of the watched keys.
    pub prefix: String,
    /// First revision of the service to report; 0 reports only changes from now on.
    pub from: ModRevision,
    /// Stops the watch when set, as soon as the next data arrives or the idle timeout passes.
    pub stop: Arc<AtomicBool>,
}

impl Watch {
    fn is_stopped(&self) -> bool {
        self.stop.load(Ordering::Relaxed)
    }
}

/// A batch of changes that arrived together.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct WatchBatch {
    /// Revision of the service up to which no change is missing.
    pub revision: ModRevision,
    /// The changes, oldest first; empty if the service only reports its revision.
    pub events: Vec<WatchEvent>,
    /// When the request that this batch answers was sent; no earlier change is missing. `None` if
    /// the service streams: a streamed batch may have been delayed for any time.
    pub requested_at: Option<BootInstant>,
}

/// Whether an I/O error says that the other side closed the connection.
#[must_use]
pub fn is_closed(error: &io::Error) -> bool {
    matches!(
        error.kind(),
        io::ErrorKind::UnexpectedEof
            | io::ErrorKind::ConnectionReset
            | io::ErrorKind::ConnectionAborted
            | io::ErrorKind::BrokenPipe
    )
}

/// Why a watch ended. Unless it was stopped, the caller restarts it after its last revision.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum WatchEnd {
    /// The caller stopped the watch.
    Stopped,
    /// No data arrived within the idle timeout: the service is quiet, or the connection failed
    /// silently.
    Idle,
    /// The requested revisions are compacted, and this is the oldest one left; the caller reads the
    /// keys and restarts the watch after the revision of that read.
    Compacted(ModRevision),
    /// The service closed the connection. It may do so while it works.
    Closed(String),
    /// The service was unreachable or the stream failed.
    Broken(String),
}

//! Client of the platform's key-value service.
//!
//! Decisions say what to call as [`keyvalue::Request`]; threads at the edge pass it
//! to a [`Store`] and bring back the [`keyvalue::Outcome`]. An outcome never says
//! more than is known: a call counts as not sent only while no byte of its body has
//! been handed to a connection.

mod etcd;

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Instant;

use keyvalue::{ModRevision, Outcome, Range, Request, WatchEvent};
use types::prelude::*;

pub use crate::etcd::{Config, EtcdClient, EtcdError};

/// The key-value service as threads at the edge see it. Calls block.
pub trait Store: Send + Sync {
    /// Makes one call and waits for its outcome, at most for the client's timeout.
    fn call(&self, req: Request) -> Outcome;

    /// Reads keys and waits for each part of the answer so long at most; clients with one
    /// timeout for all calls keep to that.
    fn read(&self, range: Range, patience: Span) -> Outcome {
        let _ = patience;
        self.call(Request::Range(range))
    }

    /// Follows a prefix until the stream ends or the watch is told to stop.
    fn watch(&self, watch: &Watch, sink: &mut Sink<'_>) -> WatchEnd;
}

/// Takes the changes of a watch; false ends it.
pub type Sink<'a> = dyn FnMut(WatchBatch) -> bool + 'a;

/// A watch of all keys under a prefix.
#[derive(Debug, Clone)]
pub struct Watch {
    /// First characters of the keys.
    pub prefix: String,
    /// First of the service's revisions to hear of; 0 from now on.
    pub from: ModRevision,
    /// Ends the watch once set, at its next sign of life or idle timeout.
    pub stop: Arc<AtomicBool>,
}

impl Watch {
    fn is_stopped(&self) -> bool {
        self.stop.load(Ordering::Relaxed)
    }
}

/// Changes that arrived together.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct WatchBatch {
    /// The service's revision up to which nothing is missing.
    pub revision: ModRevision,
    /// The changes, oldest first; none when the service only says how far it is.
    pub events: Vec<WatchEvent>,
    /// Nothing is missing as of this moment. Where the service is asked that is when it was, since the
    /// answer may have been held up; where it streams, when the changes were read.
    pub current_at: Instant,
}

/// Why a watch ended. Unless stopped, the caller begins anew after its last revision.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum WatchEnd {
    /// As told.
    Stopped,
    /// Nothing came for the idle timeout: a quiet service, or a connection that died
    /// without a word.
    Idle,
    /// The wanted revisions are gone; the caller reads the keys and begins after that.
    Compacted(ModRevision),
    /// The service could not be reached or broke off.
    Broken(String),
}

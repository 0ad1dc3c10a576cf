//! What other threads tell the control thread.

use keyvalue::{Outcome, WatchEvent};
use types::prelude::*;

use platform::Host;

/// Events that wait for the control thread. A sender that finds the queue full waits,
/// which slows traffic rather than losing a bill or a rating.
pub const EVENTS_WAITING: usize = 4096;

/// Something that happened outside the control thread.
#[derive(Debug)]
pub enum Event {
    /// A call of the store ended.
    Store(StoreUse, Outcome),
    /// Watched keys changed; without changes, a watch began.
    Watch(Vec<WatchEvent>),
    /// The platform's list of hosts.
    Hosts(Vec<Host>),
    /// Stop taking part: the process is leaving.
    Leave,
    /// Stop now.
    Stop,
}

/// Which part called the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StoreUse {
    /// Reading the catalogue.
    Catalogue,
    /// A step of an edit.
    Edit,
}

/// A request that ended, as traffic tells it.
#[derive(Debug, Clone)]
pub struct Ended {
    /// The request.
    pub request: RequestId,
    /// Its customer.
    pub customer: CustomerId,
}

//! What other threads tell the control thread.

use externals::Host;
use keyvalue::{Outcome, WatchEvent};
use ledger::{Bill, CallId};
use operators::command::Command;

use crate::systems::rollout::Called;

/// Where the release of an answer's end goes.
pub type ReleaseTo = flume::Sender<()>;

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
    /// An answer is whole; its end waits for the release.
    Bill(Box<Bill>, ReleaseTo),
    /// Another daemon sent something.
    Peer(peers::Inbound),
    /// The platform's list of hosts.
    Hosts(Vec<Host>),
    /// An operator asks.
    Operator(Command),
    /// A call of an engine or of the weight store ended.
    Called(Called),
    /// Stop taking part: the process is leaving.
    Leave,
    /// Seal all bills as soon as may be and say when there is none left.
    SealBills(flume::Sender<()>),
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
    /// A batch of bills or a roll-up.
    Ledger(CallId),
    /// A roll-out's lease, with a ticket.
    Rollout(u64),
}

//! Events that other threads send to the control thread.

use externals::Host;
use keyvalue::{Outcome, WatchEvent};
use ledger::{Bill, CallId};
use operators::command::Command;

use crate::systems::rollout::CallResult;

/// Signals that an answer's end may be sent.
pub type ReleaseTo = flume::Sender<()>;

/// Most events that wait for the control thread. A sender that finds the queue full waits, which
/// slows traffic rather than losing a bill or a rating.
pub const MAX_WAITING_EVENTS: usize = 4096;

/// Something that happened outside the control thread, which it handles in order.
#[derive(Debug)]
pub enum Event {
    /// A call of the store ended.
    Store(StoreUse, Outcome),
    /// Watched keys changed; an empty list means that a watch began.
    Watch(Vec<WatchEvent>),
    /// An answer is whole; its end is held back until the release.
    Bill(Box<Bill>, ReleaseTo),
    /// A message or question of another daemon.
    Peer(peers::Inbound),
    /// The platform's list of hosts, newly read.
    Hosts(Vec<Host>),
    /// An operator's command.
    Operator(Command),
    /// A call of an engine or of the weight store ended.
    Called(CallResult),
    /// The process is shutting down: leave the fleet.
    Leave,
    /// Seal all bills as soon as possible, and signal when none is left.
    SealBills(flume::Sender<()>),
    /// End the control thread now.
    Stop,
}

/// The part of the daemon that called the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StoreUse {
    /// A read of the catalogue.
    Catalogue,
    /// A step of an edit.
    Edit,
    /// A batch of bills or a roll-up of batches.
    Ledger(CallId),
    /// A call for a roll-out's lease, by its ticket.
    Rollout(u64),
}

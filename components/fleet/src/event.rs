//! What the control thread waits for.

use keyvalue::Outcome;
use mirror::{Change, Listing, Revision};
use peers::Inbound;
use types::prelude::*;

/// Why a call of the store was made.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum Purpose {
    /// A lease for this daemon's entry.
    Lease,
    /// Its renewal.
    Renew,
    /// This daemon's entry.
    Enter,
    /// A roll-out's state.
    State(String),
    /// A bar, or its end.
    Bar,
}

/// What the control thread waits for.
#[derive(Debug)]
pub(crate) enum Event {
    /// The store's keys were read.
    Listed(Listing),
    /// Keys changed.
    Changed {
        after: Revision,
        at: Revision,
        changes: Vec<Change>,
        /// The store had nothing newer then.
        current_at: Time,
    },
    /// The watch works, or why it does not.
    StoreHealth(Result<(), String>),
    /// A call ended.
    Called(Purpose, Outcome),
    /// Another daemon said or asked something.
    Peer { inbound: Inbound, arrived_at: Time },
    /// Finish.
    Stop,
}

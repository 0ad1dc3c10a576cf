//! Events of the control thread.

use keyvalue::Outcome;
use mirror::{Change, Listing, Revision};
use peers::Inbound;
use types::prelude::*;

/// Why a call of the store was made; logged under the variant's name.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum Purpose {
    /// Grant a lease for this daemon's entry.
    Lease,
    /// Renew that lease.
    Renew,
    /// Write this daemon's entry.
    Enter,
    /// Write the state of this service's roll-out.
    State(String),
    /// Write or delete a quarantine entry.
    Bar,
}

/// An event that the control thread handles.
#[derive(Debug)]
pub(crate) enum Event {
    /// The watching thread read all keys of the store.
    Listed(Listing),
    /// The watch reported changes.
    Changed {
        after: Revision,
        at: Revision,
        changes: Vec<Change>,
        /// A moment at which the store held nothing newer than `at`, if one is known.
        current_at: Option<Time>,
    },
    /// The store answered the watching thread, or why it did not.
    StoreHealth(Result<(), String>),
    /// A call of the store ended.
    Called(Purpose, Outcome),
    /// A message or request of another daemon.
    Peer { inbound: Inbound, arrived_at: Time },
    /// Updates on suspected request contents wait for other daemons.
    Suspected,
    /// Stop the control thread.
    Stop,
}

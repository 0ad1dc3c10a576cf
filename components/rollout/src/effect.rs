//! What a driver wants done.

use catalogue::entry::Model;
use types::prelude::*;

use crate::lease::{Hold, StoreCall};

/// What a driver wants done.
#[derive(Debug, Clone, PartialEq)]
pub enum Effect {
    /// Call the store; give the outcome back with its number.
    Store(StoreCall),
    /// Read an engine's load report.
    Read(UpstreamId),
    /// Send an order, unless its deadline has passed.
    Order(Order),
    /// Ask the weight store for leave to load; give the answer back.
    FetchSlot(VersionName),
    /// Write the model's entry, if it still has this revision.
    Edit {
        /// What it shall say.
        model: Box<Model>,
        /// The revision that was seen.
        if_match: Revision,
    },
}

/// An order to an engine: what shall be, safe to repeat.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Order {
    /// To whom.
    pub engine: UpstreamId,
    /// What.
    pub kind: OrderKind,
    /// Of which version.
    pub version: VersionName,
    /// Larger than that of any earlier driver.
    pub fencing: u64,
    /// Not to be sent from then on: the lease may have gone to another.
    pub not_after: Time,
}

/// What an engine shall do with a version.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OrderKind {
    /// Be able to run it.
    Load,
    /// Give up its memory.
    Unload,
}

impl Order {
    /// An order of the holder of a lease.
    pub(crate) fn new(
        hold: &Hold,
        engine: &UpstreamId,
        kind: OrderKind,
        version: &VersionName,
    ) -> Self {
        Self {
            engine: engine.clone(),
            kind,
            version: version.clone(),
            fencing: hold.fencing,
            not_after: hold.deadline,
        }
    }
}

//! The effects that a driver asks its caller to carry out.

use catalogue::entry::Model;
use types::prelude::*;

use crate::lease::{HeldLease, StoreCall};

/// Something that a driver asks its caller to carry out.
#[derive(Debug, Clone, PartialEq)]
pub enum Effect {
    /// Call the store and return the outcome with the call's number.
    Store(StoreCall),
    /// Read an engine's load report.
    Read(UpstreamId),
    /// Send an order, unless its deadline has passed.
    Order(Order),
    /// Ask the weight store for a permit to load a version and return the answer.
    RequestPermit(VersionName),
    /// Write the model's entry, if it still has this revision.
    Edit {
        /// The entry to write.
        model: Box<Model>,
        /// The revision that the edit is based on.
        if_match: Revision,
    },
}

/// An order to an engine. It states the wanted result, so it is safe to repeat.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Order {
    /// The engine to send it to.
    pub engine: UpstreamId,
    /// What the engine is to do.
    pub kind: OrderKind,
    /// The version to load or unload.
    pub version: VersionName,
    /// Fencing token, larger than that of any earlier driver.
    pub fencing: u64,
    /// Time from which it must not be sent, since another daemon may hold the lease.
    pub not_after: Time,
}

/// What an engine is to do with a version.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OrderKind {
    /// Load it, to be able to run it.
    Load,
    /// Unload it and free its memory.
    Unload,
}

impl Order {
    /// Creates an order of the lease's holder.
    pub(crate) fn new(
        held: &HeldLease,
        engine: &UpstreamId,
        kind: OrderKind,
        version: &VersionName,
    ) -> Self {
        Self {
            engine: engine.clone(),
            kind,
            version: version.clone(),
            fencing: held.fencing,
            not_after: held.deadline,
        }
    }
}

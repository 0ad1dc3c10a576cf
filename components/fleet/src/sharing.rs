//! How many daemons share the bounds of the whole fleet.
//!
//! A daemon that counted only the peers it reaches would take over the parts of those behind a
//! partition, which go on using them. So it counts peers that it has lost, and where it has not known
//! them, since it started behind the partition, as many as the store's entries stand for.

use crate::entry::DaemonEntry;

/// Daemons with an entry in the store: enough that one survives when most of a fleet is killed at
/// once.
pub(crate) const REGISTERED_DAEMONS: usize = 6;

/// Numbers of daemons, as one of them knows them.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct FleetSize {
    /// Daemons that are present, this one included.
    pub(crate) present: usize,
    /// Daemons that share the fleet's bounds.
    pub(crate) sharing: usize,
}

impl FleetSize {
    /// A daemon that knows no other.
    pub(crate) const ALONE: Self = Self {
        present: 1,
        sharing: 1,
    };
}

/// Number of daemons that share the fleet's bounds: the `known` ones, this one included, and those
/// that the entries of `unknown` daemons stand for.
#[must_use]
pub fn sharing_daemons(known: usize, unknown: impl Iterator<Item = DaemonEntry>) -> usize {
    let parts = unknown.map(|entry| {
        let fleet = entry.fleet.max(1);
        fleet as f64 / fleet.min(REGISTERED_DAEMONS) as f64
    });
    known + parts.sum::<f64>().ceil() as usize
}

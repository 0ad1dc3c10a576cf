//! Estimated requests in flight of other daemons.

use crate::reports::PeerLoad;

/// Load by other daemons at all upstreams of a service.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct ServiceLoad {
    total: f64,
    /// Requests that no longer count at the upstream of their report.
    spread: f64,
    slots: u64,
}

impl ServiceLoad {
    /// Adds an upstream of the service.
    pub fn add(&mut self, load: PeerLoad, slots: u32) {
        self.total += load.total;
        self.spread += (load.total - load.fresh).max(0.0);
        self.slots += u64::from(slots.max(1));
    }

    /// Number of slots of the service.
    #[must_use]
    pub fn slots(&self) -> u64 {
        self.slots
    }

    /// Mean load per slot.
    #[must_use]
    pub fn mean(&self) -> f64 {
        self.total / self.slots.max(1) as f64
    }
}

/// Estimates the requests in flight of other daemons at an upstream: the fresh ones, and its part of
/// those spread over the service.
#[must_use]
pub fn estimate(load: PeerLoad, slots: u32, service: &ServiceLoad) -> f64 {
    let part = f64::from(slots.max(1)) / service.slots.max(1) as f64;
    load.fresh + service.spread * part
}

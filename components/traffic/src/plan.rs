//! What the control thread knows, as one value.

use std::collections::BTreeSet;
use std::sync::Arc;

use dispatch::{Fleet, Gate};
use routes::{RouteTable, TableVersion, Upstream};
use types::prelude::*;

/// Validation that a configuration was current: no newer one had been acknowledged.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Validation {
    /// The version that was current.
    pub version: TableVersion,
    /// When it was current.
    pub validated_at: Time,
}

/// What the control thread knows, as one value.
#[derive(Debug, Clone, Default)]
pub struct Plan {
    /// The newest configuration; none until one is known.
    pub table: Option<Arc<RouteTable>>,
    /// All listed upstreams.
    pub upstreams: Vec<Arc<Upstream>>,
    /// Failure domains whose upstreams get no new requests.
    pub evacuated: Arc<BTreeSet<FailureDomain>>,
    /// Rollouts that split traffic between versions.
    pub gates: Vec<Gate>,
    /// Number of daemons in the fleet.
    pub daemons: usize,
    /// Number of daemons that share bounds of the whole fleet: those present, and those that may be
    /// behind a partition.
    pub sharing_daemons: usize,
    /// The daemons that share upstreams' rate limits.
    pub fleet: Arc<Fleet>,
    /// Number of upstream entries that cannot be read.
    pub unreadable_upstreams: usize,
    /// Number of upstreams in use whose entry disappeared and may only have lapsed.
    pub lapsed_upstreams: usize,
    /// Whether enough is known to serve.
    pub is_ready: bool,
}

impl Plan {
    /// Returns when the configuration was last known to be current, by a validation of its version
    /// or of an older one.
    #[must_use]
    pub fn validated_at(&self, validation: Option<Validation>) -> Option<Time> {
        let version = self.table.as_ref()?.version;
        let validation = validation.filter(|validation| validation.version <= version);
        validation.map(|validation| validation.validated_at)
    }

    /// Returns the rollout of a service.
    #[must_use]
    pub fn gate(&self, service: &str) -> Option<&Gate> {
        self.gates.iter().find(|gate| *gate.service == *service)
    }
}

//! What the control thread knows, as one value.

use std::sync::Arc;

use dispatch::{Fleet, Gate};
use routes::{RouteTable, TableVersion, Upstream};
use types::prelude::*;

/// A configuration that was current: nothing newer had been acknowledged.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Proof {
    /// Which.
    pub version: TableVersion,
    /// When.
    pub at: Time,
}

/// What the control thread knows, as one value.
#[derive(Debug, Clone, Default)]
pub struct Plan {
    /// The newest configuration; nothing until one is known.
    pub table: Option<Arc<RouteTable>>,
    /// Every upstream listed.
    pub upstreams: Vec<Arc<Upstream>>,
    /// Roll-outs that divide traffic.
    pub gates: Vec<Gate>,
    /// Daemons of the fleet.
    pub daemons: usize,
    /// Those that share upstreams' rate limits.
    pub fleet: Arc<Fleet>,
    /// Entries of upstreams that cannot be read.
    pub unreadable: usize,
    /// Whether enough is known to serve.
    pub is_ready: bool,
}

impl Plan {
    /// When the configuration was last known to be current, by a proof of it or of an older one.
    #[must_use]
    pub fn proven_at(&self, proof: Option<Proof>) -> Option<Time> {
        let version = self.table.as_ref()?.version;
        let proof = proof.filter(|proof| proof.version <= version);
        proof.map(|proof| proof.at)
    }

    /// The roll-out of a service.
    #[must_use]
    pub fn gate(&self, service: &str) -> Option<&Gate> {
        self.gates.iter().find(|gate| *gate.service == *service)
    }
}

//! Settings of the control thread.

use std::net::SocketAddr;

use types::prelude::*;

/// Settings of the control thread.
#[derive(Debug, Clone)]
pub struct Settings {
    /// Name of the fleet; daemons of another fleet are refused.
    pub cluster: ClusterName,
    /// Secret shared by the fleet's daemons.
    pub secret: bytes::Bytes,
    /// Name of this daemon.
    pub me: DaemonId,
    /// Listen address for other daemons; port 0 picks a free port.
    pub peers: SocketAddr,
    /// Address at which other daemons reach this one; the listen address if absent.
    pub advertise: Option<SocketAddr>,
    /// Addresses of daemons to join by, possibly stale.
    pub seeds: Vec<SocketAddr>,
    /// Failure domain of this daemon.
    pub failure_domain: FailureDomain,
    /// Region of this daemon's failure domain.
    pub region: Region,
    /// A change must be in force at every daemon within this time.
    pub in_force_within: Span,
    /// Limits on the traffic that a bad version may get.
    pub trial: dispatch::TrialLimits,
    /// How upstreams keep their entries in the store.
    pub upstream_lease: dispatch::EntryLease,
    /// Shortest lease that the store grants.
    pub shortest_lease: Span,
}

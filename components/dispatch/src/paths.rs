//! Paths to upstreams: directly, or through a peer.
//!
//! When a connection to an upstream cannot be opened, either the upstream is down or this host has
//! lost its path to it. A peer tells them apart: if it reaches the upstream, the path is lost, and
//! requests go through peers until a probe finds that the path is back. A lost path says nothing
//! about the upstream's health.
//!
//! Probes are rationed for the daemon as a whole, so their cost does not grow with the number of
//! upstreams. After one that succeeds the next one follows at once, so that all paths are back soon
//! after the first.

use std::collections::BTreeMap;
use std::sync::Arc;

use types::prelude::*;

use crate::upstreams::UpstreamIndex;

/// How a request gets to an upstream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Path {
    /// On a connection of this daemon.
    Direct,
    /// On a connection of a peer.
    ThroughPeer,
}

/// Why a direct connection could not be opened.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum DirectFailure {
    /// Nothing answered in time; open connections probably hang as well.
    TimedOut,
    /// The connection was reset; open connections may still work.
    Reset,
}

/// A path that this daemon has lost.
#[derive(Debug, Clone)]
struct LostPath {
    service: Arc<str>,
    failure: DirectFailure,
    since: Time,
}

/// Paths to upstreams that are not direct.
#[derive(Debug, Default)]
pub struct Paths {
    lost: BTreeMap<UpstreamIndex, LostPath>,
}

impl Paths {
    /// How a request gets to an upstream.
    #[must_use]
    pub fn path(&self, _index: UpstreamIndex) -> Path {
        Path::Direct
    }

    /// Records that a peer reached an upstream of `service` to which a direct connection, begun at
    /// `since`, could not be opened.
    pub fn record_lost(
        &mut self,
        index: UpstreamIndex,
        service: &Arc<str>,
        failure: DirectFailure,
        since: Time,
    ) {
        let service = Arc::clone(service);
        let lost = LostPath {
            service,
            failure,
            since,
        };
        self.lost.insert(index, lost);
    }
}

//! Messages that open a tunnel or ask for a lease, encoded by position.

use dispatch::LeasedBound;
use serde::{Deserialize, Serialize};
use types::prelude::*;
use xxhash_rust::xxh3::xxh3_128;

/// Longest encoded message, in bytes.
pub(crate) const MAX_MESSAGE_BYTES: usize = 1_024;

/// Shared by the daemons of a fleet; only a daemon that has it gets a tunnel or a lease.
#[derive(Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct FleetKey(pub [u8; 16]);

impl std::fmt::Debug for FleetKey {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("FleetKey(hidden)")
    }
}

impl FleetKey {
    /// The key of lease requests. A daemon that knows only tunnels denies them by it.
    pub(crate) fn for_leases(self) -> Self {
        let mut text = self.0.to_vec();
        text.extend_from_slice(b"leases");
        Self(xxh3_128(&text).to_be_bytes())
    }
}

/// Asks for a connection to one instance of an upstream.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Opening {
    pub(crate) key: FleetKey,
    pub(crate) upstream: UpstreamId,
    pub(crate) started_at: Option<WallTime>,
}

/// Asks to send one request to an instance of an upstream by the receiver's share. Begins with the
/// fields of an [`Opening`].
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub(crate) struct LeaseRequest {
    pub(crate) key: FleetKey,
    pub(crate) upstream: UpstreamId,
    pub(crate) started_at: Option<WallTime>,
    pub(crate) bound: LeasedBound,
}

impl LeaseRequest {
    /// Decodes a connection's first frame; `None` unless it asks for a lease.
    pub(crate) fn decode(frame: &[u8], key: FleetKey) -> Option<Self> {
        let request = postcard::from_bytes::<Self>(frame).ok()?;
        (request.key == key.for_leases()).then_some(request)
    }
}

/// The answer to a [`LeaseRequest`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct LeaseVerdict {
    pub(crate) is_granted: bool,
    /// Time after which another request may be granted, in ms.
    pub(crate) ready_in_ms: u32,
}

/// Sent before the connection of a lease is closed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum LeaseEnd {
    /// The upstream rejected the request for want of room.
    Rejected,
}

/// The answer to an [`Opening`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum Verdict {
    /// The upstream is connected.
    Connected,
    /// The upstream refuses connections.
    Refused,
    /// The upstream did not answer in time.
    Unreachable,
    /// The peer itself has lost its path to upstreams of the service.
    NoPath,
    /// The peer doesn't list the upstream.
    Unlisted,
    /// The peer has no room for another tunnel, or is leaving.
    Busy,
    /// The key is not that of the peer's fleet.
    Denied,
}

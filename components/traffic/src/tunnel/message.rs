//! Messages that open a tunnel, encoded by position.

use serde::{Deserialize, Serialize};
use types::prelude::*;

/// Longest encoded message, in bytes.
pub(crate) const MAX_MESSAGE_BYTES: usize = 1_024;

/// Shared by the daemons of a fleet; a tunnel is opened only for a daemon that has it.
#[derive(Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct FleetKey(pub [u8; 16]);

impl std::fmt::Debug for FleetKey {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("FleetKey(hidden)")
    }
}

/// Asks for a connection to one instance of an upstream.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Opening {
    pub(crate) key: FleetKey,
    pub(crate) upstream: UpstreamId,
    pub(crate) started_at: Option<WallTime>,
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

//! Tunnels: connections to upstreams through a peer.
//!
//! A daemon that has lost its path to an upstream opens a tunnel through a peer that has one. The
//! peer copies bytes and decides nothing: the request keeps its one exchange, with its deadline,
//! attempts, budget and evidence, at the daemon that took it. There is one hop at most, because a
//! peer connects directly or says that it can't.
//!
//! The daemon first sends an [`message::Opening`], and the peer answers with a
//! [`message::Verdict`]; before that nothing reaches the upstream. From then on, the daemon's bytes
//! go to the upstream as they are. The upstream's bytes come back in frames, so that its end can be
//! told from that of a peer which was killed. A tunnel carries one exchange: a peer that leaves
//! only has to wait for those in progress.

pub(crate) mod client;
pub(crate) mod lease;
pub(crate) mod message;
pub(crate) mod server;

use std::time::Duration;

use http1::WireOptions;

/// A tunnel is closed when sent bytes stay unacknowledged for this long.
const TUNNEL_WIRE: WireOptions = WireOptions {
    user_timeout: Duration::from_secs(3),
    keepalive: Duration::from_secs(1),
};

//! The RPC service between daemons.

use std::net::SocketAddr;

use membership::Sender;
use serde::{Deserialize, Serialize};
use types::prelude::*;

use crate::seal::{Challenge, Refusal, Sealed};

/// Maximum size of a frame, in bytes: a payload and its envelope.
pub(crate) const MAX_FRAME_BYTES: usize = crate::payload::MAX_BODY_BYTES + 1024;

/// Identifies the two ends of a connection. The authentication tags of later messages prove it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Handshake {
    /// The sender's cluster.
    pub(crate) cluster: ClusterName,
    /// The sender's id.
    pub(crate) id: DaemonId,
    /// The sender's incarnation.
    pub(crate) incarnation: Incarnation,
    /// The address at which the sender accepts connections.
    pub(crate) address: SocketAddr,
    /// The receiver's address, as the sender knows it.
    pub(crate) to: SocketAddr,
}

impl Handshake {
    pub(crate) fn sender(&self) -> Sender {
        Sender {
            id: self.id.clone(),
            incarnation: self.incarnation,
            address: self.address,
        }
    }
}

/// Calls from one daemon to another.
#[tarpc::service]
pub(crate) trait Peer {
    /// Starts the handshake; returns the challenge that authentication tags cover.
    async fn greet(greeting: Handshake) -> Result<Challenge, Refusal>;
    /// Delivers a one-way message.
    async fn deliver(sealed: Sealed) -> Result<(), Refusal>;
    /// Delivers a query and returns its reply.
    async fn ask(sealed: Sealed) -> Result<Sealed, Refusal>;
}

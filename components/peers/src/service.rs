//! The calls between daemons.

use std::net::SocketAddr;

use membership::Sender;
use serde::{Deserialize, Serialize};
use types::prelude::*;

use crate::seal::{Challenge, Refusal, Sealed};

/// Longest frame on a connection, in bytes: a body with its envelope.
pub(crate) const MAX_FRAME_BYTES: usize = crate::payload::MAX_BODY_BYTES + 1024;

/// Who opens a connection, and to whom; proved by the codes that follow.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Greeting {
    /// The fleet.
    pub(crate) cluster: ClusterName,
    /// The sender.
    pub(crate) id: DaemonId,
    /// The sender's restart.
    pub(crate) incarnation: Incarnation,
    /// Where the sender is reached.
    pub(crate) address: SocketAddr,
    /// Where the receiver is thought to be reached.
    pub(crate) to: SocketAddr,
}

impl Greeting {
    pub(crate) fn sender(&self) -> Sender {
        Sender {
            id: self.id.clone(),
            incarnation: self.incarnation,
            address: self.address,
        }
    }
}

/// The calls between daemons.
#[tarpc::service]
pub(crate) trait Peer {
    /// Opens a connection; gives the challenge that its codes cover.
    async fn greet(greeting: Greeting) -> Result<Challenge, Refusal>;
    /// Hands over a message.
    async fn deliver(sealed: Sealed) -> Result<(), Refusal>;
    /// Hands over a question and waits for its answer.
    async fn ask(sealed: Sealed) -> Result<Sealed, Refusal>;
}

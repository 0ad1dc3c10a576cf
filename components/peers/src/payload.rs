//! What one message carries.

use bincode::Options;
use bytes::Bytes;
use membership::Message;
use serde::{Deserialize, Serialize};

/// Largest content of one message, in bytes.
pub const MAX_BODY_BYTES: usize = 576 * 1024;

/// What one message carries.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Payload {
    /// Membership and facts.
    Membership(Message),
    /// Bytes of another part, which checks them itself.
    Part {
        /// Whose they are.
        part: Part,
        /// What they say.
        body: Bytes,
    },
}

/// Parts whose messages ride on the connections between daemons.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Part {
    /// Records of the catalogue.
    Catalogue,
    /// Pins of sessions.
    Session,
    /// Bills.
    Ledger,
    /// Claims of requests.
    Request,
    /// Shares of customers' limits.
    Limits,
    /// Evidence on versions.
    Quality,
    /// Steps of roll-outs.
    Rollout,
    /// Questions for operators.
    Operators,
    /// The store's keys.
    Mirror,
    /// How a daemon stands, several times a second.
    Standing,
    /// Contents under which upstreams ended.
    Poison,
    /// What a daemon's clock shows, answered by the connection's end itself.
    Clock,
}

/// Why bytes are no payload, or a payload makes no bytes.
#[derive(Debug, thiserror::Error)]
pub enum PayloadError {
    /// Longer than [`MAX_BODY_BYTES`].
    #[error("a message to a peer has {0} bytes, at most {MAX_BODY_BYTES} are allowed; split it")]
    TooLarge(usize),
    /// Not of the expected form.
    #[error("a message of a peer cannot be read: {0}")]
    Malformed(#[from] bincode::Error),
}

impl Payload {
    /// As bytes.
    ///
    /// # Errors
    /// When it is too large.
    pub fn encode(&self) -> Result<Bytes, PayloadError> {
        let bytes = bincode::DefaultOptions::new().serialize(self)?;
        if bytes.len() > MAX_BODY_BYTES {
            return Err(PayloadError::TooLarge(bytes.len()));
        }
        Ok(bytes.into())
    }

    /// From bytes.
    ///
    /// # Errors
    /// When they are too many or not of the expected form.
    pub fn decode(bytes: &[u8]) -> Result<Self, PayloadError> {
        if bytes.len() > MAX_BODY_BYTES {
            return Err(PayloadError::TooLarge(bytes.len()));
        }
        let options = bincode::DefaultOptions::new().with_limit(MAX_BODY_BYTES as u64);
        Ok(options.deserialize(bytes)?)
    }
}

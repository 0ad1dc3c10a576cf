//! Content of the messages between daemons, and its encoding.

use bincode::Options;
use bytes::Bytes;
use membership::Message;
use serde::{Deserialize, Serialize};

/// Maximum size of an encoded [`Payload`], in bytes.
pub const MAX_BODY_BYTES: usize = 576 * 1024;

/// Content of one message, query or reply.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Payload {
    /// Membership updates and facts.
    Membership(Message),
    /// Opaque content of another component, which decodes and checks it.
    Part {
        /// The component that the content belongs to.
        part: Part,
        /// The encoded content.
        body: Bytes,
    },
}

/// Components that exchange messages over the connections between daemons.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Part {
    /// Records of the catalogue.
    Catalogue,
    /// Assignments of sessions to upstreams.
    Session,
    /// Bills held for other daemons.
    Ledger,
    /// Claims on requests.
    Request,
    /// Shares of customers' limits.
    Limits,
    /// Evidence on the quality of versions.
    Quality,
    /// Progress of roll-outs.
    Rollout,
    /// Queries on behalf of operators.
    Operators,
    /// Keys of the store, for daemons that mirror them.
    Mirror,
    /// The state of a daemon, sent several times a second.
    Standing,
    /// Request contents during which upstreams crashed.
    Poison,
    /// The reading of a daemon's clock, which this crate answers itself.
    Clock,
}

/// Why a payload cannot be encoded or decoded.
#[derive(Debug, thiserror::Error)]
pub enum PayloadError {
    /// The encoded payload is longer than [`MAX_BODY_BYTES`].
    #[error("a message to a peer has {0} bytes, at most {MAX_BODY_BYTES} are allowed; split it")]
    TooLarge(usize),
    /// The bytes are not a valid payload.
    #[error("a message of a peer cannot be read: {0}")]
    Malformed(#[from] bincode::Error),
}

impl Payload {
    /// Encodes the payload.
    ///
    /// # Errors
    /// If the result exceeds [`MAX_BODY_BYTES`].
    pub fn encode(&self) -> Result<Bytes, PayloadError> {
        let bytes = bincode::DefaultOptions::new().serialize(self)?;
        if bytes.len() > MAX_BODY_BYTES {
            return Err(PayloadError::TooLarge(bytes.len()));
        }
        Ok(bytes.into())
    }

    /// Decodes a payload.
    ///
    /// # Errors
    /// If `bytes` exceeds [`MAX_BODY_BYTES`] or is not a valid payload.
    pub fn decode(bytes: &[u8]) -> Result<Self, PayloadError> {
        if bytes.len() > MAX_BODY_BYTES {
            return Err(PayloadError::TooLarge(bytes.len()));
        }
        let options = bincode::DefaultOptions::new().with_limit(MAX_BODY_BYTES as u64);
        Ok(options.deserialize(bytes)?)
    }
}

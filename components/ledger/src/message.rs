//! Messages between the ledgers of two daemons.

use bytes::Bytes;
use serde::{Deserialize, Serialize};
use types::prelude::*;

use crate::codec::{self, CodecError, MAX_BATCH_BYTES};
use crate::journal::Origin;

/// A message between ledgers, at most 160 KiB.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Message {
    /// Asks the receiver to hold charges until they are sealed.
    Replicate {
        /// The daemon that recorded the charges.
        origin: Origin,
        /// Number up to which all charges are sealed.
        sealed: u64,
        /// Number of the first charge in `charges`.
        first: u64,
        /// Packed charges; an empty pack only announces `sealed`.
        charges: Bytes,
        /// Incarnation of the sender.
        incarnation: Incarnation,
    },
    /// Acknowledges the charges held.
    Acknowledge {
        /// The daemon that recorded the charges.
        origin: Origin,
        /// Number of the last charge held without a gap; after a restart of the holder it may be
        /// lower than what the sender has recorded.
        upto: u64,
        /// Incarnation of the holder.
        incarnation: Incarnation,
        /// Whether the holder has no room, so that the sender must choose another.
        full: bool,
    },
    /// Asks the receiver to drop charges that another daemon holds now.
    Drop {
        /// The daemon that recorded the charges.
        origin: Origin,
    },
}

impl Message {
    /// Encodes the message.
    #[must_use]
    pub fn to_bytes(&self) -> Bytes {
        codec::encode(self)
    }

    /// Decodes a message from a peer.
    ///
    /// # Errors
    /// If `bytes` exceeds [`MAX_BATCH_BYTES`] or is not a valid message.
    pub fn from_bytes(bytes: &[u8]) -> Result<Self, CodecError> {
        if bytes.len() > MAX_BATCH_BYTES {
            return Err(CodecError::TooLarge(bytes.len()));
        }
        codec::decode(bytes)
    }
}

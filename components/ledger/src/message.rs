//! What ledgers of two daemons say to each other.

use bytes::Bytes;
use serde::{Deserialize, Serialize};
use types::prelude::*;

use crate::codec::{self, CodecError, MAX_BATCH_BYTES};
use crate::journal::Origin;

/// A message between ledgers, at most 160 KiB.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Message {
    /// Hold these charges until they are sealed.
    Hold {
        /// Whose they are.
        origin: Origin,
        /// All up to this one are sealed.
        sealed: u64,
        /// Number of the first one below.
        first: u64,
        /// Packed charges; empty to say only how far `sealed` is.
        charges: Bytes,
        /// Which run of the sender says so.
        by: Incarnation,
    },
    /// Held up to here.
    Held {
        /// Whose charges.
        origin: Origin,
        /// The last one held without a gap; below the sender's view after a restart.
        upto: u64,
        /// Which run of the holder says so.
        by: Incarnation,
        /// The holder has no room: choose another.
        full: bool,
    },
    /// Another daemon holds them now; forget them.
    Drop {
        /// Whose charges.
        origin: Origin,
    },
}

impl Message {
    /// As bytes.
    #[must_use]
    pub fn to_bytes(&self) -> Bytes {
        codec::encode(self)
    }

    /// From a peer's bytes.
    ///
    /// # Errors
    /// When they are too many or no message.
    pub fn from_bytes(bytes: &[u8]) -> Result<Self, CodecError> {
        if bytes.len() > MAX_BATCH_BYTES {
            return Err(CodecError::TooLarge(bytes.len()));
        }
        codec::decode(bytes)
    }
}

//! Settings of the edge between daemons: addresses, names and keys.

use std::fmt;
use std::net::SocketAddr;

use bytes::Bytes;
use sha2::{Digest, Sha256};
use types::prelude::*;

/// Shortest secret accepted, in bytes.
pub const MIN_SECRET_BYTES: usize = 16;

/// Settings of the edge between daemons.
#[derive(Debug, Clone)]
pub struct Config {
    /// The fleet; daemons of another are refused.
    pub cluster: ClusterName,
    /// This daemon.
    pub me: DaemonId,
    /// Its restart.
    pub incarnation: Incarnation,
    /// Where to listen.
    pub listen: SocketAddr,
    /// Where others reach this daemon; the address listened on if absent.
    pub advertise: Option<SocketAddr>,
    /// The shared keys.
    pub keys: Keys,
    /// This run's clock.
    pub clock: Clock,
}

/// A shared key.
#[derive(Clone, PartialEq, Eq)]
pub struct Key {
    /// Tells it from others while keys are changed; the same on every daemon.
    pub id: u16,
    /// At least [`MIN_SECRET_BYTES`] random bytes.
    pub secret: Bytes,
}

impl Key {
    /// A key known to operators by a name; its id is made of that.
    #[must_use]
    pub fn named(name: &str, secret: Bytes) -> Self {
        let hash = Sha256::digest(name.as_bytes());
        let id = u16::from_le_bytes([hash[0], hash[1]]);
        Self { id, secret }
    }
}

impl fmt::Debug for Key {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "Key({}, hidden)", self.id)
    }
}

/// Why keys cannot be used.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum KeyError {
    /// Too short to be safe.
    #[error("peer key {id} has {bytes} bytes; give at least {MIN_SECRET_BYTES} random bytes")]
    TooShort {
        /// The key.
        id: u16,
        /// Its length.
        bytes: usize,
    },
    /// Two secrets under one id.
    #[error("peer key {0} is given twice; give each key an id of its own")]
    Repeated(u16),
    /// The key to send with is not among those given.
    #[error("peer key {0} is to be sent with, but is not among the keys")]
    Unknown(u16),
}

/// The keys that are accepted, and the one that is sent with.
///
/// To change keys without a stop: give every daemon the new key beside the old one,
/// then let all send with the new one, then take the old one away.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Keys {
    accepted: Vec<Key>,
    sending: u16,
}

impl Keys {
    /// Checks and wraps keys.
    ///
    /// # Errors
    /// Says which key is at fault.
    pub fn new(accepted: Vec<Key>, sending: u16) -> Result<Self, KeyError> {
        for (place, key) in accepted.iter().enumerate() {
            if key.secret.len() < MIN_SECRET_BYTES {
                return Err(KeyError::TooShort {
                    id: key.id,
                    bytes: key.secret.len(),
                });
            }
            if accepted[..place].iter().any(|other| other.id == key.id) {
                return Err(KeyError::Repeated(key.id));
            }
        }
        if !accepted.iter().any(|key| key.id == sending) {
            return Err(KeyError::Unknown(sending));
        }
        Ok(Self { accepted, sending })
    }

    /// The secret of a key that is accepted.
    pub(crate) fn secret(&self, id: u16) -> Option<&Bytes> {
        let key = self.accepted.iter().find(|key| key.id == id);
        key.map(|key| &key.secret)
    }

    /// The id of the key that is sent with.
    #[must_use]
    pub fn sending(&self) -> u16 {
        self.sending
    }
}

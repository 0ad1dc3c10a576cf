//! Settings of the connections between daemons: addresses, names and keys.

use std::fmt;
use std::net::SocketAddr;

use bytes::Bytes;
use sha2::{Digest, Sha256};
use types::prelude::*;

/// Shortest secret accepted, in bytes.
pub const MIN_SECRET_BYTES: usize = 16;

/// Settings of the connections between daemons.
#[derive(Debug, Clone)]
pub struct Config {
    /// The cluster of this daemon; daemons of other clusters are refused.
    pub cluster: ClusterName,
    /// The id of this daemon.
    pub me: DaemonId,
    /// The incarnation of this daemon, which increases with each restart.
    pub incarnation: Incarnation,
    /// Address to listen on.
    pub listen: SocketAddr,
    /// Address at which other daemons reach this one; defaults to the address listened on.
    pub advertise: Option<SocketAddr>,
    /// Keys shared by the daemons of the cluster.
    pub keys: Keys,
    /// The clock that this daemon reports to its peers.
    pub clock: Clock,
}

/// A shared key.
#[derive(Clone, PartialEq, Eq)]
pub struct Key {
    /// Distinguishes keys during a key rotation; the same on every daemon.
    pub id: u16,
    /// At least [`MIN_SECRET_BYTES`] random bytes.
    pub secret: Bytes,
}

impl Key {
    /// Creates a key whose id is derived from the name that operators gave it.
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
    /// The secret is too short to be safe.
    #[error("peer key {id} has {bytes} bytes; give at least {MIN_SECRET_BYTES} random bytes")]
    TooShort {
        /// Id of the key.
        id: u16,
        /// Length of its secret, in bytes.
        bytes: usize,
    },
    /// Two keys have the same id.
    #[error("peer key {0} is given twice; give each key an id of its own")]
    Repeated(u16),
    /// The sending key is not among the accepted keys.
    #[error("peer key {0} is to be sent with, but is not among the keys")]
    Unknown(u16),
}

/// The keys that are accepted from peers, and the one that this daemon sends with.
///
/// To rotate keys without downtime, first add the new key beside the old one on every
/// daemon, then switch all daemons to sending with it, then remove the old one.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Keys {
    accepted: Vec<Key>,
    sending: u16,
}

impl Keys {
    /// Creates a key set after checking it.
    ///
    /// # Errors
    /// If a secret is too short, an id is repeated, or `sending` is not among the accepted
    /// keys; the error names the key.
    pub fn new(accepted: Vec<Key>, sending: u16) -> Result<Self, KeyError> {
        for (index, key) in accepted.iter().enumerate() {
            if key.secret.len() < MIN_SECRET_BYTES {
                return Err(KeyError::TooShort {
                    id: key.id,
                    bytes: key.secret.len(),
                });
            }
            if accepted[..index].iter().any(|other| other.id == key.id) {
                return Err(KeyError::Repeated(key.id));
            }
        }
        if !accepted.iter().any(|key| key.id == sending) {
            return Err(KeyError::Unknown(sending));
        }
        Ok(Self { accepted, sending })
    }

    /// Returns the secret of an accepted key.
    pub(crate) fn secret(&self, id: u16) -> Option<&Bytes> {
        let key = self.accepted.iter().find(|key| key.id == id);
        key.map(|key| &key.secret)
    }

    /// Returns the id of the key that this daemon sends with.
    #[must_use]
    pub fn sending(&self) -> u16 {
        self.sending
    }
}

//! What a daemon writes of itself into the store: where it is found, and how large the fleet is.
//!
//! The size serves those that start when everything was lost at one moment: a small fleet reads
//! the store at every daemon at once, a large one at a few and copies from them.

use std::fmt;
use std::net::SocketAddr;
use std::str::FromStr;

/// A daemon's entry.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct DaemonEntry {
    /// Where other daemons reach it.
    pub address: SocketAddr,
    /// Daemons in the fleet, as it knows.
    pub fleet: usize,
}

/// Text that is no entry.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("not an address and a number of daemons: {0}")]
pub struct DaemonEntryError(String);

impl fmt::Display for DaemonEntry {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} {}", self.address, self.fleet)
    }
}

impl FromStr for DaemonEntry {
    type Err = DaemonEntryError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let parse = || {
            let (address, fleet) = text.split_once(' ')?;
            Some(Self {
                address: address.parse().ok()?,
                fleet: fleet.parse().ok()?,
            })
        };
        parse().ok_or_else(|| DaemonEntryError(text.to_owned()))
    }
}

impl DaemonEntry {
    /// From a value of the store.
    ///
    /// # Errors
    /// When it is no entry: another writer may have put it there.
    pub fn decode(value: &[u8]) -> Result<Self, DaemonEntryError> {
        String::from_utf8_lossy(value).parse()
    }

    /// Whether the fleet has grown or shrunk so much since that others should know.
    #[must_use]
    pub fn is_outdated(&self, fleet: usize) -> bool {
        fleet >= self.fleet * 2 || fleet * 2 <= self.fleet
    }
}

//! What a daemon writes of itself into the store: where it is found, and how large the fleet and
//! the store are.
//!
//! The sizes serve those that start when everything was lost at one moment: a store of one page is
//! read by every daemon at once, a larger one by a few of a large fleet, and copied from them.

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
    /// Keys in the store, as it holds.
    pub keys: usize,
}

/// Text that is no entry.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("not an address, a number of daemons and one of keys: {0}")]
pub struct DaemonEntryError(String);

impl fmt::Display for DaemonEntry {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} {} {}", self.address, self.fleet, self.keys)
    }
}

impl FromStr for DaemonEntry {
    type Err = DaemonEntryError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let parse = || {
            let mut words = text.split(' ');
            Some(Self {
                address: words.next()?.parse().ok()?,
                fleet: words.next()?.parse().ok()?,
                keys: words.next()?.parse().ok()?,
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

    /// Whether the fleet or the store has grown or shrunk so much since that others should know.
    #[must_use]
    pub fn is_outdated(&self, fleet: usize, keys: usize) -> bool {
        let differs = |now: usize, then: usize| now >= then * 2 || now * 2 <= then;
        differs(fleet, self.fleet) || differs(keys, self.keys.max(1))
    }
}

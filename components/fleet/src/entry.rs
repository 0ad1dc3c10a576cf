//! A daemon's entry in the store: its address and the sizes of the fleet and the store.
//!
//! The sizes guide daemons that start after a loss of the whole fleet: a store of one page is read
//! by every daemon at once; in a large fleet, a larger one is read by a few daemons, and the other
//! daemons copy it from them.

use std::fmt;
use std::net::SocketAddr;
use std::str::FromStr;

/// Most daemons of a fleet that an entry may tell of. With a larger number, which another program
/// wrote, daemons would have hardly any share of the fleet's bounds.
const MAX_FLEET: usize = 100_000;

/// A daemon's entry in the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct DaemonEntry {
    /// Address at which other daemons reach it.
    pub address: SocketAddr,
    /// Number of daemons in the fleet, as far as it knows.
    pub fleet: usize,
    /// Number of keys in its copy of the store.
    pub keys: usize,
}

/// The text is not a valid daemon entry.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("invalid daemon entry, expected \"ADDRESS DAEMONS KEYS\": {0}")]
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
            let mut fields = text.split(' ');
            Some(Self {
                address: fields.next()?.parse().ok()?,
                fleet: fields.next()?.parse().ok()?,
                keys: fields.next()?.parse().ok()?,
            })
        };
        let entry = parse().filter(|entry| entry.fleet <= MAX_FLEET);
        entry.ok_or_else(|| DaemonEntryError(text.to_owned()))
    }
}

impl DaemonEntry {
    /// Decodes the entry from a value of the store.
    ///
    /// # Errors
    /// When the value is not an entry: another writer may have put it there.
    pub fn decode(value: &[u8]) -> Result<Self, DaemonEntryError> {
        String::from_utf8_lossy(value).parse()
    }

    /// Whether the fleet or the store has at least doubled or halved since the entry was written.
    #[must_use]
    pub fn is_outdated(&self, fleet: usize, keys: usize) -> bool {
        let differs = |now: usize, then: usize| now / 2 >= then || then / 2 >= now;
        differs(fleet, self.fleet) || differs(keys, self.keys.max(1))
    }
}

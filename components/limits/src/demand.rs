//! Demand that a daemon reports to the others.

use std::collections::BTreeMap;

use types::prelude::*;

/// Encoded length of an entry in bytes: four for the key, two for the value.
const ENTRY_BYTES: usize = 6;
/// Maximum encoded length of a fact, in bytes.
pub const MAX_FACT_BYTES: usize = 252;
/// Maximum number of entries in a fact; beyond it the smallest demands are left out.
pub const MAX_ENTRIES: usize = MAX_FACT_BYTES / ENTRY_BYTES;

/// Identifies a limited resource by a hash of its kind and name, which is the same in every
/// daemon.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct KeyId(pub u32);

impl KeyId {
    /// Key of a customer's requests per second.
    #[must_use]
    pub fn customer(id: &CustomerId) -> Self {
        Self::new("customer", id.as_str())
    }

    /// Key of an offer's requests per second.
    #[must_use]
    pub fn offer(name: &EntryName) -> Self {
        Self::new("offer", name.as_str())
    }

    /// Key of a pool's interactive work, running and waiting.
    #[must_use]
    pub fn interactive(pool: &EntryName) -> Self {
        Self::new("interactive", pool.as_str())
    }

    /// Key of a pool's batch work, running and waiting.
    #[must_use]
    pub fn batch(pool: &EntryName) -> Self {
        Self::new("batch", pool.as_str())
    }

    fn new(kind: &str, name: &str) -> Self {
        let hash = xxhash_rust::xxh3::xxh3_64(format!("{kind} {name}").as_bytes());
        Self((hash >> 32) as u32)
    }
}

/// Error for bytes that are not an encoded [`DemandFact`].
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("a demand fact of {0} bytes; at most {MAX_FACT_BYTES} and a multiple of {ENTRY_BYTES}")]
pub struct InvalidDemandFact(usize);

/// Demand at one daemon by key.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct DemandFact {
    entries: BTreeMap<KeyId, f32>,
}

impl DemandFact {
    /// Keeps the largest demands, rounded to the precision of the encoding.
    #[must_use]
    pub fn new(demands: impl IntoIterator<Item = (KeyId, f64)>) -> Self {
        let positive = demands.into_iter().filter(|(_, demand)| *demand > 0.0);
        let mut demands: Vec<_> = positive.collect();
        demands.sort_by(|(a, x), (b, y)| y.total_cmp(x).then(a.cmp(b)));
        demands.truncate(MAX_ENTRIES);
        let rounded = demands
            .into_iter()
            .map(|(key, demand)| (key, round_to_encoding(demand)));
        Self {
            entries: rounded.collect(),
        }
    }

    /// Demand for a key; 0 if absent.
    #[must_use]
    pub fn get(&self, key: KeyId) -> f64 {
        self.entries.get(&key).copied().map_or(0.0, f64::from)
    }

    /// All keys and their demands.
    pub fn iter(&self) -> impl Iterator<Item = (KeyId, f64)> {
        self.entries
            .iter()
            .map(|(key, demand)| (*key, f64::from(*demand)))
    }

    /// Encodes the fact for sending.
    #[must_use]
    pub fn to_bytes(&self) -> Vec<u8> {
        let mut bytes = Vec::with_capacity(self.entries.len() * ENTRY_BYTES);
        for (key, demand) in &self.entries {
            bytes.extend(key.0.to_be_bytes());
            bytes.extend(&demand.to_be_bytes()[..2]);
        }
        bytes
    }

    /// Decodes a fact from another daemon. Values that are not finite and positive are left out.
    ///
    /// # Errors
    /// Returns an error if the length is wrong.
    pub fn from_bytes(bytes: &[u8]) -> Result<Self, InvalidDemandFact> {
        let (entries, rest) = bytes.as_chunks::<ENTRY_BYTES>();
        if bytes.len() > MAX_FACT_BYTES || !rest.is_empty() {
            return Err(InvalidDemandFact(bytes.len()));
        }
        let parse = |entry: &[u8; ENTRY_BYTES]| {
            let [a, b, c, d, high, low] = *entry;
            let demand = f32::from_be_bytes([high, low, 0, 0]);
            (KeyId(u32::from_be_bytes([a, b, c, d])), demand)
        };
        let entries = entries.iter().map(parse);
        let valid = entries.filter(|(_, demand)| demand.is_finite() && *demand > 0.0);
        Ok(Self {
            entries: valid.collect(),
        })
    }
}

/// Rounds to the 16 bits that are sent (about three significant digits).
fn round_to_encoding(demand: f64) -> f32 {
    let [high, low, ..] = (demand as f32).to_be_bytes();
    f32::from_be_bytes([high, low, 0, 0])
}

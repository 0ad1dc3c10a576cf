//! Flows: the requests that are served in proportion to each other.

use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Distinguishes routes from customers of the same name.
const ROUTE_SEED: u64 = 1 << 8;

/// Identifies a flow, by a hash of its name and rank.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct FlowKey(pub u32);

impl FlowKey {
    /// All flows of a report that it does not list.
    pub const REST: Self = Self(0);
}

/// The requests of one customer, or the anonymous requests of one route, with one rank.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Flow {
    /// Identifies the flow.
    pub key: FlowKey,
    /// Rank of its requests; 0 is served first.
    pub rank: u8,
}

impl Flow {
    /// The flow of a customer's requests.
    #[must_use]
    pub fn of_customer(name: &str, rank: u8) -> Self {
        Self::new(name, u64::from(rank), rank)
    }

    /// The flow of a route's anonymous requests.
    #[must_use]
    pub fn of_route(name: &str, rank: u8) -> Self {
        Self::new(name, u64::from(rank) | ROUTE_SEED, rank)
    }

    fn new(name: &str, seed: u64, rank: u8) -> Self {
        let hash = xxh3_64_with_seed(name.as_bytes(), seed) as u32;
        let key = FlowKey(hash.max(FlowKey::REST.0 + 1));
        Self { key, rank }
    }
}

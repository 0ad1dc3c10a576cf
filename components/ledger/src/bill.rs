//! Bills as recorded, and charges: the compact form that is replicated and stored.

use std::sync::Arc;

use serde::{Deserialize, Serialize};
use types::prelude::*;
use xxhash_rust::xxh3::{xxh3_64_with_seed, xxh3_128};

/// Number of shards of the ledger in the store; a bill's id determines its shard.
pub(crate) const SHARDS: u16 = 32;

/// Identity of a bill, the same on every daemon that serves the request.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct BillId {
    /// The customer who pays.
    pub customer: CustomerId,
    /// Request id, unique for the customer within the retry window.
    pub request: RequestId,
}

/// The model version or service that a customer used.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Item {
    /// A version of a model.
    Version {
        /// The offer that the request named.
        offer: EntryName,
        /// The version that answered.
        version: VersionId,
    },
    /// A plain service, which has no versions.
    Service(EntryName),
}

impl Item {
    /// Returns the name of the offer or service.
    #[must_use]
    pub fn entry(&self) -> &EntryName {
        match self {
            Self::Version { offer, .. } => offer,
            Self::Service(service) => service,
        }
    }

    /// Returns the version, or `None` for a plain service.
    #[must_use]
    pub fn version(&self) -> Option<&VersionId> {
        match self {
            Self::Version { version, .. } => Some(version),
            Self::Service(_) => None,
        }
    }
}

/// The bill of one answered request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Bill {
    /// Identity of the bill.
    pub id: BillId,
    /// The model version or service that was used.
    pub item: Item,
    /// Tokens of the prompt.
    pub input: Tokens,
    /// Tokens of the answer.
    pub output: Tokens,
    /// The price that the customer pays.
    pub cost: Cost,
    /// When the answer ended, by the clock of the daemon that served it.
    pub at: WallTime,
    /// Number of attempts that the answer took.
    pub attempts: u16,
}

/// The customer and item by which bills are totalled.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Account {
    /// The customer who pays.
    pub customer: CustomerId,
    /// The model version or service that was used.
    pub item: Item,
}

const FINGERPRINT_BYTES: usize = 10;

/// The first 80 bits of a hash of a [`BillId`].
///
/// With 27 million fingerprints kept, the probability that a new bill collides with one of
/// them is 2e-17.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Fingerprint(pub [u8; FINGERPRINT_BYTES]);

impl Fingerprint {
    /// Computes the fingerprint of a bill id.
    #[must_use]
    pub fn of(id: &BillId) -> Self {
        let text = format!("{}\n{}", id.customer, id.request);
        let hash = xxh3_128(text.as_bytes()).to_be_bytes();
        let mut bytes = [0; FINGERPRINT_BYTES];
        bytes.copy_from_slice(&hash[..FINGERPRINT_BYTES]);
        Self(bytes)
    }

    /// Returns the shard that the bill belongs to.
    pub(crate) fn shard(&self) -> u16 {
        let hash = xxh3_64_with_seed(&self.0, 0);
        (hash % u64::from(SHARDS)) as u16
    }
}

/// A bill in the compact form that is replicated and stored.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Charge {
    /// Fingerprint of the bill's id.
    pub fingerprint: Fingerprint,
    /// The account whose total the charge adds to.
    pub account: Arc<Account>,
    /// Tokens of the prompt.
    pub input: Tokens,
    /// Tokens of the answer.
    pub output: Tokens,
    /// The price that the customer pays.
    pub cost: Cost,
    /// When the answer ended.
    pub at: WallTime,
    /// Number of attempts that the answer took.
    pub attempts: u16,
}

impl From<Bill> for Charge {
    fn from(bill: Bill) -> Self {
        Self {
            fingerprint: Fingerprint::of(&bill.id),
            account: Arc::new(Account {
                customer: bill.id.customer,
                item: bill.item,
            }),
            input: bill.input,
            output: bill.output,
            cost: bill.cost,
            at: bill.at,
            attempts: bill.attempts,
        }
    }
}

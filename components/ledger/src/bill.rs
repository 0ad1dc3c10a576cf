//! Bills as recorded and the compact form that is held and stored.

use std::sync::Arc;

use serde::{Deserialize, Serialize};
use types::prelude::*;
use xxhash_rust::xxh3::{xxh3_64_with_seed, xxh3_128};

/// Parts of the ledger in the store; a bill's part follows from its id.
pub(crate) const SHARDS: u16 = 32;

/// What a request is billed under, whichever daemon serves it.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct BillId {
    /// Who pays.
    pub customer: CustomerId,
    /// Unique for the customer within the retry window.
    pub request: RequestId,
}

/// What was used.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Item {
    /// A version of a model.
    Version {
        /// The offer that it was asked for by.
        offer: EntryName,
        /// The version that answered.
        version: VersionId,
    },
    /// A plain service.
    Service(EntryName),
}

impl Item {
    /// The offer or service.
    #[must_use]
    pub fn entry(&self) -> &EntryName {
        match self {
            Self::Version { offer, .. } => offer,
            Self::Service(service) => service,
        }
    }

    /// The version; nothing for a plain service.
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
    /// What it is billed under.
    pub id: BillId,
    /// What was used.
    pub item: Item,
    /// Of the prompt.
    pub input: Tokens,
    /// Of the answer.
    pub output: Tokens,
    /// What the customer pays.
    pub cost: Cost,
    /// When the answer ended, by the clock of the daemon that served it.
    pub at: WallTime,
    /// Attempts that it took.
    pub attempts: u16,
}

/// Whose total a bill adds to.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Account {
    /// Who pays.
    pub customer: CustomerId,
    /// What was used.
    pub item: Item,
}

const FINGERPRINT_BYTES: usize = 10;

/// Eighty bits of a hash of a [`BillId`].
///
/// With 27 million kept at a time, a new bill meets another's fingerprint with a
/// chance of 2e-17.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Fingerprint(pub [u8; FINGERPRINT_BYTES]);

impl Fingerprint {
    /// Hashes an id.
    #[must_use]
    pub fn of(id: &BillId) -> Self {
        let text = format!("{}\n{}", id.customer, id.request);
        let hash = xxh3_128(text.as_bytes()).to_be_bytes();
        let mut kept = [0; FINGERPRINT_BYTES];
        kept.copy_from_slice(&hash[..FINGERPRINT_BYTES]);
        Self(kept)
    }

    /// The part of the ledger that it belongs to.
    pub(crate) fn shard(&self) -> u16 {
        let hash = xxh3_64_with_seed(&self.0, 0);
        (hash % u64::from(SHARDS)) as u16
    }
}

/// A bill in the form that is held and stored.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Charge {
    /// Stands for the bill's id.
    pub fingerprint: Fingerprint,
    /// Whose total it adds to.
    pub account: Arc<Account>,
    /// Of the prompt.
    pub input: Tokens,
    /// Of the answer.
    pub output: Tokens,
    /// What the customer pays.
    pub cost: Cost,
    /// When the answer ended.
    pub at: WallTime,
    /// Attempts that it took.
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

//! Encoding of stored values and of the charges sent between daemons.
//!
//! `postcard` writes small numbers in one byte: a charge takes about 20 bytes instead of
//! 150 in JSON. The first byte is the format number.

use std::collections::BTreeMap;
use std::sync::Arc;

use bytes::Bytes;
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use types::prelude::*;

use crate::bill::{Account, Charge, Fingerprint};

const FORMAT: u8 = 1;

/// Maximum size of a sealed batch, in bytes; the store accepts values and transactions of up
/// to a megabyte.
pub const MAX_BATCH_BYTES: usize = 512 * 1024;

/// Why stored or received bytes cannot be decoded.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum CodecError {
    /// The format number is missing or that of another release.
    #[error("format {0:?} of a stored value is not known; this release reads format {FORMAT}")]
    Format(Option<u8>),
    /// The value is truncated or damaged.
    #[error("a stored value is damaged: {0}")]
    Damaged(String),
    /// A charge refers to an account that is missing from its pack.
    #[error("a charge names account {0}, which its pack does not have")]
    Account(u16),
    /// The value is longer than [`MAX_BATCH_BYTES`].
    #[error("{0} bytes are more than the accepted {MAX_BATCH_BYTES}")]
    TooLarge(usize),
}

/// Encodes a value, preceded by the format byte.
pub(crate) fn encode<T: Serialize>(value: &T) -> Bytes {
    let buf = postcard::to_extend(value, vec![FORMAT]);
    // Encoding cannot fail: the buffer grows as needed and every type here can be serialized.
    Bytes::from(buf.unwrap_or_default())
}

/// Decodes the output of [`encode`].
pub(crate) fn decode<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, CodecError> {
    match bytes.split_first() {
        Some((&FORMAT, rest)) => {
            postcard::from_bytes(rest).map_err(|err| CodecError::Damaged(err.to_string()))
        }
        other => Err(CodecError::Format(other.map(|(format, _)| *format))),
    }
}

/// A list of charges in which each account is written once.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
struct Pack {
    accounts: Vec<Account>,
    /// Time of the earliest charge.
    start: WallTime,
    charges: Vec<PackedCharge>,
}

#[derive(Debug, Clone, Serialize, Deserialize)]
struct PackedCharge {
    fingerprint: Fingerprint,
    account: u16,
    input: Tokens,
    output: Tokens,
    cost: Cost,
    /// Milliseconds after the pack's start.
    offset_ms: u64,
    attempts: u16,
}

/// Encodes charges as a pack.
pub(crate) fn pack<'a>(charges: impl Iterator<Item = &'a Charge> + Clone) -> Bytes {
    let start = charges.clone().map(|charge| charge.at).min();
    let mut pack = Pack {
        start: start.unwrap_or_default(),
        ..Pack::default()
    };
    let mut indices = BTreeMap::new();
    for charge in charges {
        let next = indices.len() as u16;
        let account = *indices.entry(&charge.account).or_insert(next);
        if account == next {
            pack.accounts.push((*charge.account).clone());
        }
        pack.charges.push(pack_charge(charge, account, pack.start));
    }
    encode(&pack)
}

fn pack_charge(charge: &Charge, account: u16, start: WallTime) -> PackedCharge {
    PackedCharge {
        fingerprint: charge.fingerprint,
        account,
        input: charge.input,
        output: charge.output,
        cost: charge.cost,
        offset_ms: charge.at.0 - start.0,
        attempts: charge.attempts,
    }
}

/// Decodes a pack of charges, checking its size and references.
pub(crate) fn unpack(bytes: &[u8]) -> Result<Vec<Charge>, CodecError> {
    if bytes.len() > MAX_BATCH_BYTES {
        return Err(CodecError::TooLarge(bytes.len()));
    }
    let pack: Pack = decode(bytes)?;
    let accounts: Vec<_> = pack.accounts.into_iter().map(Arc::new).collect();
    let charges = pack.charges.into_iter();
    charges
        .map(|packed| {
            let account = accounts.get(usize::from(packed.account));
            Ok(Charge {
                fingerprint: packed.fingerprint,
                account: account
                    .cloned()
                    .ok_or(CodecError::Account(packed.account))?,
                input: packed.input,
                output: packed.output,
                cost: packed.cost,
                at: WallTime(pack.start.0.saturating_add(packed.offset_ms)),
                attempts: packed.attempts,
            })
        })
        .collect()
}

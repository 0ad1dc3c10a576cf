//! Bytes of stored values and of charges between daemons.
//!
//! `postcard` is used since it writes small numbers in one byte: a charge takes about
//! 20 bytes in place of 150 in JSON. The first byte tells the format.

use std::collections::BTreeMap;
use std::sync::Arc;

use bytes::Bytes;
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use types::prelude::*;

use crate::bill::{Account, Charge, Fingerprint};

const FORMAT: u8 = 1;

/// Largest sealed batch; the store takes values and transactions up to a megabyte.
pub const MAX_BATCH_BYTES: usize = 512 * 1024;

/// Why bytes are not what they should be.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum CodecError {
    /// Written by another release.
    #[error("format {0:?} of a stored value is not known; this release reads format {FORMAT}")]
    Format(Option<u8>),
    /// Cut short or damaged.
    #[error("a stored value is damaged: {0}")]
    Damaged(String),
    /// A charge names an account that its pack does not have.
    #[error("a charge names account {0}, which its pack does not have")]
    Account(u16),
    /// More than is accepted.
    #[error("{0} bytes are more than the accepted {MAX_BATCH_BYTES}")]
    TooLarge(usize),
}

/// Writes a value after its format byte.
pub(crate) fn encode<T: Serialize>(value: &T) -> Bytes {
    let buf = postcard::to_extend(value, vec![FORMAT]);
    // Plain data always has a form: the buffer grows and no type here refuses.
    Bytes::from(buf.unwrap_or_default())
}

/// Reads what [`encode`] wrote.
pub(crate) fn decode<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, CodecError> {
    match bytes.split_first() {
        Some((&FORMAT, rest)) => {
            postcard::from_bytes(rest).map_err(|err| CodecError::Damaged(err.to_string()))
        }
        other => Err(CodecError::Format(other.map(|(format, _)| *format))),
    }
}

/// Charges with each account written once.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
struct Pack {
    accounts: Vec<Account>,
    /// The earliest charge's.
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
    after: u64,
    attempts: u16,
}

/// Packs charges.
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
        pack.charges.push(packed(charge, account, pack.start));
    }
    encode(&pack)
}

fn packed(charge: &Charge, account: u16, start: WallTime) -> PackedCharge {
    PackedCharge {
        fingerprint: charge.fingerprint,
        account,
        input: charge.input,
        output: charge.output,
        cost: charge.cost,
        after: charge.at.0 - start.0,
        attempts: charge.attempts,
    }
}

/// Unpacks charges, checking size and shape.
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
                at: WallTime(pack.start.0.saturating_add(packed.after)),
                attempts: packed.attempts,
            })
        })
        .collect()
}

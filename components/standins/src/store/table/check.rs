//! Checks for which the key-value store refuses a transaction before running it.

use std::collections::BTreeSet;

use super::{RawOp, RawTxn, key_bounds};

/// Most operations or compares of a transaction, summed with those of nested transactions
/// along any path of nesting.
const MAX_TXN_OPS: usize = 128;

/// Checks that the transaction is not too large and writes no key twice.
pub(super) fn check_txn(txn: &RawTxn) -> Result<(), String> {
    check_size(txn, MAX_TXN_OPS)?;
    written_keys(&txn.success)?;
    written_keys(&txn.failure)?;
    Ok(())
}

fn check_size(txn: &RawTxn, remaining: usize) -> Result<(), String> {
    let branches = txn.success.len().max(txn.failure.len());
    let ops = txn.compare.len().max(branches);
    if ops > remaining {
        return Err("etcdserver: too many operations in txn request".to_owned());
    }
    for op in txn.success.iter().chain(&txn.failure) {
        if let RawOp::Txn(inner) = op {
            check_size(inner, remaining - ops)?;
        }
    }
    Ok(())
}

/// Returns the keys that some operations may put. Fails if a key may be put twice, or put
/// and deleted by a range among the same operations.
fn written_keys(ops: &[RawOp]) -> Result<BTreeSet<String>, String> {
    let mut puts = BTreeSet::new();
    for op in ops {
        let new = match op {
            RawOp::Put(key, _, _) => BTreeSet::from([key.clone()]),
            RawOp::Txn(inner) => {
                let mut keys = written_keys(&inner.success)?;
                keys.extend(written_keys(&inner.failure)?);
                keys
            }
            _ => continue,
        };
        if !puts.is_disjoint(&new) {
            return Err("etcdserver: duplicate key given in txn request".to_owned());
        }
        puts.extend(new);
    }
    for op in ops {
        if let RawOp::Delete(key, end) = op {
            let range = key_bounds(key, end.as_deref());
            if puts.range::<str, _>(range).next().is_some() {
                return Err("etcdserver: duplicate key given in txn request".to_owned());
            }
        }
    }
    Ok(puts)
}

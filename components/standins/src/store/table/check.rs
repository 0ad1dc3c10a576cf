//! What the key-value service refuses a transaction for, before doing any of it.

use std::collections::BTreeSet;

use super::{RawOp, RawTxn, key_bounds};

/// Steps of a transaction and of those inside it, along any path.
const MAX_TXN_OPS: usize = 128;

/// Checks size and that no key is written twice.
pub(super) fn check(txn: &RawTxn) -> Result<(), String> {
    check_size(txn, MAX_TXN_OPS)?;
    writes(&txn.success)?;
    writes(&txn.failure)?;
    Ok(())
}

fn check_size(txn: &RawTxn, left: usize) -> Result<(), String> {
    let branches = txn.success.len().max(txn.failure.len());
    let ops = txn.compare.len().max(branches);
    if ops > left {
        return Err("etcdserver: too many operations in txn request".to_owned());
    }
    for op in txn.success.iter().chain(&txn.failure) {
        if let RawOp::Txn(inner) = op {
            check_size(inner, left - ops)?;
        }
    }
    Ok(())
}

/// Keys that some steps may write, with the ranges that they may delete.
fn writes(ops: &[RawOp]) -> Result<BTreeSet<String>, String> {
    let mut puts = BTreeSet::new();
    for op in ops {
        let new = match op {
            RawOp::Put(key, _, _) => BTreeSet::from([key.clone()]),
            RawOp::Txn(inner) => {
                let mut either = writes(&inner.success)?;
                either.extend(writes(&inner.failure)?);
                either
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

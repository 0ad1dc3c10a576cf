//! The stand-in store's table, with counts of the calls.

use keyvalue::{Op, Outcome, Request, Txn};
use standins::store::Table;
use types::prelude::*;

/// Counts of calls, keys and bytes.
#[derive(Debug, Default, Clone, Copy)]
pub struct Counts {
    pub writes: u64,
    pub reads: u64,
    pub keys_written: u64,
    pub batch_bytes: u64,
    pub batch_parts: u64,
    pub bytes_written: u64,
}

/// A table that counts its calls.
pub struct CountedStore {
    pub table: Table,
    pub counts: Counts,
}

impl CountedStore {
    pub fn new() -> Self {
        Self {
            table: Table::new(),
            counts: Counts::default(),
        }
    }

    /// Executes and counts a call.
    pub fn call(&mut self, now: Time, request: &Request) -> Outcome {
        match request {
            Request::Txn(txn) if is_write(txn) => self.count_writes(txn),
            _ => self.counts.reads += 1,
        }
        self.table.call(now, request)
    }

    fn count_writes(&mut self, txn: &Txn) {
        self.counts.writes += 1;
        for op in &txn.success {
            let Op::Put(put) = op else { continue };
            let bytes = (put.key.len() + put.value.len()) as u64;
            self.counts.keys_written += 1;
            self.counts.bytes_written += bytes;
            if put.key.contains("/batches/") {
                self.counts.batch_parts += 1;
                self.counts.batch_bytes += bytes;
            }
        }
    }
}

fn is_write(txn: &Txn) -> bool {
    txn.success.iter().any(|op| matches!(op, Op::Put(_)))
}

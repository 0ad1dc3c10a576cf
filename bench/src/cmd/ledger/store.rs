//! The store's stand-in as a table, with counts of what is asked of it.

use keyvalue::{Op, Outcome, Request, Txn};
use standins::store::Table;
use types::prelude::*;

/// Counts of calls and bytes.
#[derive(Debug, Default, Clone, Copy)]
pub struct Counts {
    pub writes: u64,
    pub reads: u64,
    pub keys_written: u64,
    pub batch_bytes: u64,
    pub batch_parts: u64,
    pub bytes_written: u64,
}

/// The table and its counts.
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

    /// Makes a call.
    pub fn call(&mut self, now: Time, request: &Request) -> Outcome {
        match request {
            Request::Txn(txn) if writes(txn) => self.count_writes(txn),
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

fn writes(txn: &Txn) -> bool {
    txn.success.iter().any(|op| matches!(op, Op::Put(_)))
}

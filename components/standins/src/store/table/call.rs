//! Executes [`keyvalue::Request`]s, the requests of the product's client, on the table.

use std::cmp::Ordering;

use keyvalue::{
    Answer, CallError, Compare, KeyValue, LeaseId, ModRevision, Op, OpReply, Outcome, Put, Range,
    Reply, Request, Txn, TxnReply, WatchEvent,
};
use types::prelude::*;

use super::{Change, Item, RawCompare, RawOp, RawReply, RawTxn, Table, Target};

impl Table {
    /// Expires leases, then executes one request.
    ///
    /// # Errors
    /// Returns [`CallError::Refused`] if the store refuses the request.
    pub fn call(&mut self, now: Time, req: &Request) -> Outcome {
        self.expire(now);
        let reply = self.execute(now, req)?;
        let revision = ModRevision(self.revision);
        Ok(Answer { revision, reply })
    }

    fn execute(&mut self, now: Time, req: &Request) -> Result<Reply, CallError> {
        Ok(match req {
            Request::Range(range) => Reply::Range(self.read_range(range)),
            Request::Txn(txn) => {
                let (succeeded, replies) = self.txn(&raw_txn(txn)).map_err(CallError::Refused)?;
                Reply::Txn(txn_reply(succeeded, replies))
            }
            Request::LeaseGrant { ttl } => Reply::LeaseGranted(LeaseId(self.grant(now, *ttl, 0))),
            Request::LeaseKeepAlive(id) => Reply::LeaseRenewed(self.keep_alive(now, id.0)),
            Request::LeaseRevoke(id) => {
                self.revoke(id.0);
                Reply::LeaseRevoked
            }
        })
    }

    fn read_range(&self, range: &Range) -> Vec<KeyValue> {
        let (start, end) = bounds(range);
        let (items, _) = self.range(&start, end.as_deref(), range.limit as usize);
        items.iter().map(|(k, item)| key_value(k, item)).collect()
    }
}

impl From<Change> for WatchEvent {
    fn from(change: Change) -> Self {
        let value = change.item.as_ref();
        Self {
            revision: ModRevision(change.revision),
            value: value.map(|item| key_value(&change.key, item)),
            key: change.key,
        }
    }
}

/// Returns the exclusive end of the range of keys that begin with a prefix.
fn prefix_end(prefix: &str) -> String {
    let mut chars = prefix.chars().collect::<Vec<_>>();
    while let Some(last) = chars.pop() {
        if let Some(next) = (last as u32 + 1..=char::MAX as u32).find_map(char::from_u32) {
            chars.push(next);
            return chars.into_iter().collect();
        }
    }
    "\0".to_owned()
}

fn bounds(range: &Range) -> (String, Option<String>) {
    let end = range.prefix.then(|| prefix_end(&range.key));
    match &range.after {
        Some(after) if *after >= range.key => (format!("{after}\0"), end),
        _ => (range.key.clone(), end),
    }
}

fn key_value(key: &str, item: &Item) -> KeyValue {
    KeyValue {
        key: key.to_owned(),
        value: item.value.clone(),
        mod_revision: ModRevision(item.mod_revision),
        lease: (item.lease != 0).then_some(LeaseId(item.lease)),
    }
}

fn raw_txn(txn: &Txn) -> RawTxn {
    RawTxn {
        compare: txn.compare.iter().map(raw_compare).collect(),
        success: txn.success.iter().map(raw_op).collect(),
        failure: txn.failure.iter().map(raw_op).collect(),
    }
}

fn raw_compare(compare: &Compare) -> RawCompare {
    let (key, target) = match compare {
        Compare::Absent(key) => (key, Target::Create(0)),
        Compare::ModRevision(key, revision) => (key, Target::Mod(revision.0)),
    };
    RawCompare {
        key: key.clone(),
        target,
        holds: vec![Ordering::Equal],
    }
}

fn raw_op(op: &Op) -> RawOp {
    match op {
        Op::Put(Put { key, value, lease }) => {
            RawOp::Put(key.clone(), value.clone(), lease.map_or(0, |id| id.0))
        }
        Op::Delete(key) => RawOp::Delete(key.clone(), None),
        Op::Range(range) => {
            let (start, end) = bounds(range);
            RawOp::Range(start, end, range.limit as usize)
        }
        Op::Txn(txn) => RawOp::Txn(raw_txn(txn)),
    }
}

fn txn_reply(succeeded: bool, replies: Vec<RawReply>) -> TxnReply {
    let replies = replies.into_iter().map(|reply| match reply {
        RawReply::Put => OpReply::Put,
        RawReply::Delete(count) => OpReply::Delete(count),
        RawReply::Range(items, _) => {
            OpReply::Range(items.iter().map(|(k, item)| key_value(k, item)).collect())
        }
        RawReply::Txn(succeeded, replies) => OpReply::Txn(txn_reply(succeeded, replies)),
    });
    TxnReply {
        succeeded,
        replies: replies.collect(),
    }
}

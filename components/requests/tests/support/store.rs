//! In-memory key-value store with leases and a clock that the test advances.

use std::collections::BTreeMap;

use keyvalue::{
    Answer, CallError, Compare, KeyValue, LeaseId, ModRevision, Op, OpReply, Outcome, Range, Reply,
    Request, Txn, TxnReply,
};
use types::prelude::*;

#[derive(Debug, Default)]
pub(crate) struct Store {
    pub(crate) keys: BTreeMap<String, KeyValue>,
    pub(crate) now: Time,
    leases: BTreeMap<LeaseId, Time>,
    revision: i64,
}

impl Store {
    /// Sets the clock and deletes expired leases with their keys.
    pub(crate) fn advance(&mut self, now: Time) {
        self.now = now;
        self.leases.retain(|_, until| *until > now);
        let leases = &self.leases;
        let is_live = |kv: &KeyValue| kv.lease.is_none_or(|lease| leases.contains_key(&lease));
        self.keys.retain(|_, kv| is_live(kv));
    }

    pub(crate) fn call(&mut self, request: &Request) -> Outcome {
        let reply = match request {
            Request::Range(range) => Reply::Range(self.range(range)),
            Request::Txn(txn) if !self.has_leases(txn) => {
                return Err(CallError::Refused("lease not found".to_owned()));
            }
            Request::Txn(txn) => {
                self.revision += 1;
                Reply::Txn(self.txn(txn))
            }
            Request::LeaseGrant { ttl } => {
                self.revision += 1;
                let id = LeaseId(self.revision);
                self.leases.insert(id, self.now + *ttl);
                Reply::LeaseGranted(id)
            }
            other => unreachable!("not used here: {other:?}"),
        };
        let revision = ModRevision(self.revision);
        Ok(Answer { revision, reply })
    }

    fn has_leases(&self, txn: &Txn) -> bool {
        txn.success.iter().all(|op| match op {
            Op::Put(put) => put.lease.is_none_or(|id| self.leases.contains_key(&id)),
            Op::Txn(txn) => self.has_leases(txn),
            Op::Delete(_) | Op::Range(_) => true,
        })
    }

    fn range(&self, range: &Range) -> Vec<KeyValue> {
        let limit = match range.limit {
            0 => usize::MAX,
            limit => limit as usize,
        };
        let within = self.keys.range(range.key.clone()..).map(|(_, kv)| kv);
        let within = within.take_while(|kv| match range.prefix {
            true => kv.key.starts_with(&range.key),
            false => kv.key == range.key,
        });
        let after = |kv: &&KeyValue| range.after.as_ref().is_none_or(|after| kv.key > *after);
        within.filter(after).take(limit).cloned().collect()
    }

    fn txn(&mut self, txn: &Txn) -> TxnReply {
        let succeeded = txn.compare.iter().all(|compare| {
            let (key, expected) = match compare {
                Compare::Absent(key) => (key, ModRevision(0)),
                Compare::ModRevision(key, revision) => (key, *revision),
            };
            let current = self.keys.get(key);
            current.map_or(ModRevision(0), |kv| kv.mod_revision) == expected
        });
        let ops = if succeeded {
            &txn.success
        } else {
            &txn.failure
        };
        let replies = ops.iter().map(|op| self.op(op)).collect();
        TxnReply { succeeded, replies }
    }

    fn op(&mut self, op: &Op) -> OpReply {
        match op {
            Op::Put(put) => {
                let kv = KeyValue {
                    key: put.key.clone(),
                    value: put.value.clone(),
                    mod_revision: ModRevision(self.revision),
                    lease: put.lease,
                };
                self.keys.insert(put.key.clone(), kv);
                OpReply::Put
            }
            Op::Delete(key) => OpReply::Delete(u64::from(self.keys.remove(key).is_some())),
            Op::Range(range) => OpReply::Range(self.range(range)),
            Op::Txn(txn) => OpReply::Txn(self.txn(txn)),
        }
    }
}

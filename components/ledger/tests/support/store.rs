//! A naive key-value service in memory.

use std::collections::BTreeMap;

use keyvalue::{
    Answer, Compare, KeyValue, ModRevision, Op, OpReply, Range, Reply, Request, Txn, TxnReply,
};

/// Steps and compares that the service takes in one transaction.
const MAX_TXN_STEPS: usize = 128;

#[derive(Debug, Default)]
pub(crate) struct Store {
    pub(crate) keys: BTreeMap<String, KeyValue>,
    revision: i64,
}

impl Store {
    pub(crate) fn call(&mut self, request: &Request) -> Answer {
        let reply = match request {
            Request::Range(range) => Reply::Range(self.range(range)),
            Request::Txn(txn) => {
                self.revision += 1;
                Reply::Txn(self.txn(txn))
            }
            other => unreachable!("the ledger takes no lease: {other:?}"),
        };
        Answer {
            revision: ModRevision(self.revision),
            reply,
        }
    }

    fn range(&self, range: &Range) -> Vec<KeyValue> {
        let limit = if range.limit == 0 {
            usize::MAX
        } else {
            range.limit as usize
        };
        let after = |kv: &&KeyValue| range.after.as_ref().is_none_or(|after| kv.key > *after);
        let within = self.keys.range(range.key.clone()..).map(|(_, kv)| kv);
        let within = within.take_while(|kv| match range.prefix {
            true => kv.key.starts_with(&range.key),
            false => kv.key == range.key,
        });
        within.filter(after).take(limit).cloned().collect()
    }

    fn txn(&mut self, txn: &Txn) -> TxnReply {
        assert!(txn.compare.len() <= MAX_TXN_STEPS && txn.success.len() <= MAX_TXN_STEPS);
        let succeeded = txn.compare.iter().all(|compare| self.holds(compare));
        let ops = if succeeded {
            &txn.success
        } else {
            &txn.failure
        };
        TxnReply {
            succeeded,
            replies: ops.iter().map(|op| self.op(op)).collect(),
        }
    }

    fn holds(&self, compare: &Compare) -> bool {
        let (key, revision) = match compare {
            Compare::Absent(key) => (key, ModRevision(0)),
            Compare::ModRevision(key, revision) => (key, *revision),
        };
        self.keys
            .get(key)
            .map_or(ModRevision(0), |kv| kv.mod_revision)
            == revision
    }

    fn op(&mut self, op: &Op) -> OpReply {
        match op {
            Op::Put(put) => {
                assert!(put.value.len() < 1_000_000, "{} bytes", put.value.len());
                let kv = KeyValue {
                    key: put.key.clone(),
                    value: put.value.clone(),
                    mod_revision: ModRevision(self.revision),
                    lease: None,
                };
                self.keys.insert(put.key.clone(), kv);
                OpReply::Put
            }
            Op::Delete(key) => OpReply::Delete(self.keys.remove(key).map_or(0, |_| 1)),
            Op::Range(range) => OpReply::Range(self.range(range)),
            Op::Txn(txn) => OpReply::Txn(self.txn(txn)),
        }
    }
}

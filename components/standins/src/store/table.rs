//! The state of the key-value store: keys, leases, revisions and past changes.
//!
//! As in etcd, all compares of a transaction, also of nested ones, see the state before the
//! transaction; its writes share one revision; and a transaction that writes a key twice is
//! refused.

use std::cmp::Ordering;
use std::collections::{BTreeMap, VecDeque};
use std::ops::Bound;

use bytes::Bytes;
use types::prelude::*;

mod call;
mod check;

/// Past changes kept for watches that start at an earlier revision.
const HISTORY_CHANGES: usize = 16_384;

/// The state of a key.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Item {
    /// Value of the key.
    pub value: Bytes,
    /// Revision that created the key.
    pub create_revision: i64,
    /// Revision that last wrote the key.
    pub mod_revision: i64,
    /// Number of writes since the key was created, including that one.
    pub version: i64,
    /// Lease that the key is attached to, 0 for none.
    pub lease: i64,
}

/// A change of a key.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Change {
    /// Revision of the change.
    pub revision: i64,
    /// Changed key.
    pub key: String,
    /// New state of the key, `None` if it was deleted.
    pub item: Option<Item>,
}

/// The property of a key that a compare checks, with the value to compare it with.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Target {
    /// Revision that created the key, 0 when absent.
    Create(i64),
    /// Revision that last wrote the key, 0 when absent.
    Mod(i64),
    /// Number of writes since the key was created, 0 when absent.
    Version(i64),
    /// Value of the key; the compare fails when the key is absent.
    Value(Bytes),
    /// Lease of the key, 0 when it has none.
    Lease(i64),
}

/// A precondition on a key.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RawCompare {
    /// Key to check.
    pub key: String,
    /// Property to compare, and the value to compare it with.
    pub target: Target,
    /// Orderings, of the key's property to the given value, that satisfy the precondition.
    pub holds: Vec<Ordering>,
}

/// An operation of a transaction. Ranges go from a key up to an exclusive end; an end of
/// `None` means only that key, and `"\0"` means all keys from there on.
#[derive(Debug, Clone, PartialEq)]
pub enum RawOp {
    /// Writes a value to a key, with a lease or 0 for none.
    Put(String, Bytes, i64),
    /// Deletes a range of keys.
    Delete(String, Option<String>),
    /// Reads a range of keys, up to a limit; 0 is no limit.
    Range(String, Option<String>, usize),
    /// Runs a nested transaction.
    Txn(RawTxn),
}

/// A transaction with preconditions.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct RawTxn {
    /// Preconditions, which must all hold for `success` to run.
    pub compare: Vec<RawCompare>,
    /// Operations run when all preconditions hold.
    pub success: Vec<RawOp>,
    /// Operations run when a precondition fails.
    pub failure: Vec<RawOp>,
}

/// The result of an operation.
#[derive(Debug, Clone, PartialEq)]
pub enum RawReply {
    /// The key was written.
    Put,
    /// Number of deleted keys.
    Delete(u64),
    /// Keys read, and the number of keys in the range regardless of the limit.
    Range(Vec<(String, Item)>, usize),
    /// Whether the preconditions of a nested transaction held, and its replies.
    Txn(bool, Vec<RawReply>),
}

/// Some of the requested changes are no longer kept; holds the last compacted revision.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Compaction(pub i64);

#[derive(Debug, Clone)]
struct Lease {
    ttl: Span,
    expires: Time,
}

/// The complete state of the store.
#[derive(Debug, Clone)]
pub struct Table {
    revision: i64,
    items: BTreeMap<String, Item>,
    leases: BTreeMap<i64, Lease>,
    next_lease: i64,
    history: VecDeque<Change>,
    compacted: i64,
}

impl Default for Table {
    fn default() -> Self {
        Self::new()
    }
}

impl Table {
    /// Creates an empty table at revision 1, as in etcd.
    #[must_use]
    pub fn new() -> Self {
        Self {
            revision: 1,
            items: BTreeMap::new(),
            leases: BTreeMap::new(),
            next_lease: 1,
            history: VecDeque::new(),
            compacted: 0,
        }
    }

    /// Returns the current revision.
    #[must_use]
    pub fn revision(&self) -> i64 {
        self.revision
    }

    /// Returns the keys from `start` up to `end`, at most `limit` of them (0 is no limit), and
    /// the number of keys in the range regardless of the limit.
    #[must_use]
    pub fn range(
        &self,
        start: &str,
        end: Option<&str>,
        limit: usize,
    ) -> (Vec<(String, Item)>, usize) {
        let limit = if limit == 0 { usize::MAX } else { limit };
        let found = self.items.range::<str, _>(key_bounds(start, end));
        let count = found.clone().count();
        let taken = found.take(limit).map(|(k, item)| (k.clone(), item.clone()));
        (taken.collect(), count)
    }

    /// Runs a transaction; returns whether its preconditions held, and a reply for each
    /// operation run.
    ///
    /// # Errors
    /// Returns the store's message if it refuses the transaction, which then has no effect.
    pub fn txn(&mut self, txn: &RawTxn) -> Result<(bool, Vec<RawReply>), String> {
        check::check_txn(txn)?;
        self.check_leases(txn)?;
        let plan = self.plan(txn);
        let revision = self.revision + 1;
        let reply = self.apply(txn, &plan, revision);
        if self.history.back().is_some_and(|c| c.revision == revision) {
            self.revision = revision;
        }
        self.trim_history();
        Ok(reply)
    }

    fn check_leases(&self, txn: &RawTxn) -> Result<(), String> {
        for op in txn.success.iter().chain(&txn.failure) {
            match op {
                RawOp::Put(_, _, lease) if *lease != 0 && !self.leases.contains_key(lease) => {
                    return Err(LEASE_NOT_FOUND.to_owned());
                }
                RawOp::Txn(inner) => self.check_leases(inner)?,
                _ => {}
            }
        }
        Ok(())
    }

    /// Decides which branch the transaction and each nested one takes, before any write.
    fn plan(&self, txn: &RawTxn) -> Plan {
        let holds = txn.compare.iter().all(|compare| self.holds(compare));
        let ops = if holds { &txn.success } else { &txn.failure };
        let inner = ops.iter().filter_map(|op| match op {
            RawOp::Txn(inner) => Some(self.plan(inner)),
            _ => None,
        });
        Plan {
            holds,
            inner: inner.collect(),
        }
    }

    fn holds(&self, compare: &RawCompare) -> bool {
        let item = self.items.get(&compare.key);
        let ordering = match &compare.target {
            Target::Create(n) => item.map_or(0, |i| i.create_revision).cmp(n),
            Target::Mod(n) => item.map_or(0, |i| i.mod_revision).cmp(n),
            Target::Version(n) => item.map_or(0, |i| i.version).cmp(n),
            Target::Lease(n) => item.map_or(0, |i| i.lease).cmp(n),
            Target::Value(value) => match item {
                Some(item) => item.value.cmp(value),
                None => return false,
            },
        };
        compare.holds.contains(&ordering)
    }

    fn apply(&mut self, txn: &RawTxn, plan: &Plan, revision: i64) -> (bool, Vec<RawReply>) {
        let ops = if plan.holds {
            &txn.success
        } else {
            &txn.failure
        };
        let mut inner = plan.inner.iter();
        let mut replies = Vec::with_capacity(ops.len());
        for op in ops {
            replies.push(match op {
                RawOp::Put(key, value, lease) => self.put(key, value, *lease, revision),
                RawOp::Delete(key, end) => self.delete(key, end.as_deref(), revision),
                RawOp::Range(key, end, limit) => {
                    let (items, count) = self.range(key, end.as_deref(), *limit);
                    RawReply::Range(items, count)
                }
                RawOp::Txn(txn) => {
                    let plan = inner.next().expect("each nested transaction has a plan");
                    let (holds, replies) = self.apply(txn, plan, revision);
                    RawReply::Txn(holds, replies)
                }
            });
        }
        (plan.holds, replies)
    }

    fn put(&mut self, key: &str, value: &Bytes, lease: i64, revision: i64) -> RawReply {
        let old = self.items.get(key);
        let item = Item {
            value: value.clone(),
            create_revision: old.map_or(revision, |old| old.create_revision),
            mod_revision: revision,
            version: old.map_or(1, |old| old.version + 1),
            lease,
        };
        self.items.insert(key.to_owned(), item.clone());
        self.record(key, Some(item), revision);
        RawReply::Put
    }

    fn delete(&mut self, key: &str, end: Option<&str>, revision: i64) -> RawReply {
        let found = self.items.range::<str, _>(key_bounds(key, end));
        let keys = found.map(|(k, _)| k.clone()).collect::<Vec<_>>();
        for key in &keys {
            self.items.remove(key);
            self.record(key, None, revision);
        }
        RawReply::Delete(keys.len() as u64)
    }

    fn record(&mut self, key: &str, item: Option<Item>, revision: i64) {
        self.history.push_back(Change {
            revision,
            key: key.to_owned(),
            item,
        });
    }

    fn trim_history(&mut self) {
        while self.history.len() > HISTORY_CHANGES {
            if let Some(change) = self.history.pop_front() {
                self.compacted = change.revision;
            }
        }
    }

    /// Discards the changes up to a revision, as an operator's compaction would.
    pub fn compact(&mut self, revision: i64) {
        self.history.retain(|change| change.revision > revision);
        self.compacted = self.compacted.max(revision.min(self.revision));
    }

    /// Returns the changes from a revision on, of the keys from `start` up to `end`.
    ///
    /// # Errors
    /// Fails when some of these revisions have been compacted.
    pub fn changes(
        &self,
        from: i64,
        start: &str,
        end: Option<&str>,
    ) -> Result<Vec<Change>, Compaction> {
        if from <= self.compacted {
            return Err(Compaction(self.compacted));
        }
        let bounds = key_bounds(start, end);
        let wanted = self.history.iter().filter(|change| {
            change.revision >= from
                && std::ops::RangeBounds::<str>::contains(&bounds, change.key.as_str())
        });
        Ok(wanted.cloned().collect())
    }

    /// Grants a lease and returns its id; for id 0 the store chooses a free one.
    pub fn grant(&mut self, now: Time, ttl: Span, id: i64) -> i64 {
        let id = if id == 0 {
            self.next_free_lease_id()
        } else {
            id
        };
        let expires = now + ttl;
        self.leases.insert(id, Lease { ttl, expires });
        id
    }

    fn next_free_lease_id(&mut self) -> i64 {
        while self.leases.contains_key(&self.next_lease) {
            self.next_lease += 1;
        }
        self.next_lease += 1;
        self.next_lease - 1
    }

    /// Renews a lease for its full TTL, which is returned; `None` if the lease is gone.
    pub fn keep_alive(&mut self, now: Time, id: i64) -> Option<Span> {
        let lease = self.leases.get_mut(&id)?;
        lease.expires = now + lease.ttl;
        Some(lease.ttl)
    }

    /// Ends a lease and deletes its keys; returns whether the lease existed.
    pub fn revoke(&mut self, id: i64) -> bool {
        if self.leases.remove(&id).is_none() {
            return false;
        }
        let items = self.items.iter().filter(|(_, item)| item.lease == id);
        let keys = items.map(|(key, _)| key.clone()).collect::<Vec<_>>();
        if !keys.is_empty() {
            self.revision += 1;
        }
        for key in keys {
            self.items.remove(&key);
            self.record(&key, None, self.revision);
        }
        self.trim_history();
        true
    }

    /// Ends the expired leases and deletes their keys; returns whether there were any.
    pub fn expire(&mut self, now: Time) -> bool {
        let due = self.leases.iter().filter(|(_, lease)| lease.expires <= now);
        let due = due.map(|(id, _)| *id).collect::<Vec<_>>();
        for id in &due {
            self.revoke(*id);
        }
        !due.is_empty()
    }
}

/// The error message of etcd for a lease that does not exist.
pub(crate) const LEASE_NOT_FOUND: &str = "etcdserver: requested lease not found";

/// The branch that a transaction takes, with the plans of the nested ones in that branch.
struct Plan {
    holds: bool,
    inner: Vec<Plan>,
}

fn key_bounds<'a>(start: &'a str, end: Option<&'a str>) -> (Bound<&'a str>, Bound<&'a str>) {
    let upper = match end {
        None | Some("") => Bound::Included(start),
        Some("\0") => Bound::Unbounded,
        // A range that ends before its start is empty; `BTreeMap::range` panics on it.
        Some(end) => Bound::Excluded(end.max(start)),
    };
    match upper {
        Bound::Excluded(end) if end == start => (Bound::Included(start), Bound::Excluded(start)),
        upper => (Bound::Included(start), upper),
    }
}

//! The key-value service's state: keys, leases, revisions and past changes.
//!
//! As in etcd: a transaction's compares, inner ones included, all see the state before
//! it; its writes share one revision; a key written twice in it is refused.

use std::cmp::Ordering;
use std::collections::{BTreeMap, VecDeque};
use std::ops::Bound;

use bytes::Bytes;
use types::prelude::*;

mod call;
mod check;

/// Past changes kept for watches that start late.
const HISTORY_CHANGES: usize = 16_384;

/// A key's state.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Item {
    /// Its value.
    pub value: Bytes,
    /// The revision that made it.
    pub create_revision: i64,
    /// The revision that last wrote it.
    pub mod_revision: i64,
    /// Writes since it was made.
    pub version: i64,
    /// The lease that it goes with, 0 for none.
    pub lease: i64,
}

/// A change of a key.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Change {
    /// The revision of the change.
    pub revision: i64,
    /// The key.
    pub key: String,
    /// Its new state, or nothing once deleted.
    pub item: Option<Item>,
}

/// What a compare looks at.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Target {
    /// The revision that made the key, 0 when absent.
    Create(i64),
    /// The revision that last wrote it, 0 when absent.
    Mod(i64),
    /// Writes since it was made, 0 when absent.
    Version(i64),
    /// Its value; never holds when absent.
    Value(Bytes),
    /// Its lease, 0 when it has none.
    Lease(i64),
}

/// A condition on a key.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RawCompare {
    /// The key.
    pub key: String,
    /// What is compared, and with what.
    pub target: Target,
    /// Orderings that hold.
    pub holds: Vec<Ordering>,
}

/// A step of a transaction. An `end` of nothing is the one key; `"\0"` is no end.
#[derive(Debug, Clone, PartialEq)]
pub enum RawOp {
    /// Write a key, with a lease or 0.
    Put(String, Bytes, i64),
    /// Delete from a key up to an end.
    Delete(String, Option<String>),
    /// Read from a key up to an end, at most so many (0: all).
    Range(String, Option<String>, usize),
    /// A transaction inside.
    Txn(RawTxn),
}

/// A transaction.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct RawTxn {
    /// All must hold for `success`.
    pub compare: Vec<RawCompare>,
    /// Done when they do.
    pub success: Vec<RawOp>,
    /// Done when one does not.
    pub failure: Vec<RawOp>,
}

/// What a step gave.
#[derive(Debug, Clone, PartialEq)]
pub enum RawReply {
    /// Written.
    Put,
    /// Deleted so many.
    Delete(u64),
    /// Keys read, and how many there are without the limit.
    Range(Vec<(String, Item)>, usize),
    /// Whether an inner transaction's compares held, and its replies.
    Txn(bool, Vec<RawReply>),
}

/// Changes asked for are no longer kept; the earliest that are.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Compaction(pub i64);

#[derive(Debug, Clone)]
struct Lease {
    ttl: Span,
    expires: Time,
}

/// The whole state.
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
    /// Empty, at revision 1 as etcd begins.
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

    /// The service's revision.
    #[must_use]
    pub fn revision(&self) -> i64 {
        self.revision
    }

    /// Keys from one up to an end, at most so many (0: all), and their full count.
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

    /// Does a transaction: whether its compares held, and a reply for each step taken.
    ///
    /// # Errors
    /// Says what the service would refuse it for; nothing is done then.
    pub fn txn(&mut self, txn: &RawTxn) -> Result<(bool, Vec<RawReply>), String> {
        check::check(txn)?;
        self.check_leases(txn)?;
        let plan = self.plan(txn);
        let revision = self.revision + 1;
        let reply = self.apply(txn, &plan, revision);
        if self.history.back().is_some_and(|c| c.revision == revision) {
            self.revision = revision;
        }
        self.bound_history();
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

    /// Which branch each transaction takes, outer before inner, in order.
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
                    let plan = inner.next().expect("a plan was made for each inner one");
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

    fn bound_history(&mut self) {
        while self.history.len() > HISTORY_CHANGES {
            if let Some(change) = self.history.pop_front() {
                self.compacted = change.revision;
            }
        }
    }

    /// Forgets changes up to a revision, as an operator's compaction would.
    pub fn compact(&mut self, revision: i64) {
        self.history.retain(|change| change.revision > revision);
        self.compacted = self.compacted.max(revision.min(self.revision));
    }

    /// Changes from a revision on, of keys from one up to an end.
    ///
    /// # Errors
    /// When some of them are no longer kept.
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

    /// Makes a lease, with an id of the service's own for 0; gives its id.
    pub fn grant(&mut self, now: Time, ttl: Span, id: i64) -> i64 {
        let id = if id == 0 { self.fresh_lease() } else { id };
        let expires = now + ttl;
        self.leases.insert(id, Lease { ttl, expires });
        id
    }

    fn fresh_lease(&mut self) -> i64 {
        while self.leases.contains_key(&self.next_lease) {
            self.next_lease += 1;
        }
        self.next_lease += 1;
        self.next_lease - 1
    }

    /// Renews a lease: its whole time again, or nothing when it is gone.
    pub fn keep_alive(&mut self, now: Time, id: i64) -> Option<Span> {
        let lease = self.leases.get_mut(&id)?;
        lease.expires = now + lease.ttl;
        Some(lease.ttl)
    }

    /// Ends a lease and deletes its keys; whether there was one.
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
        self.bound_history();
        true
    }

    /// Ends the leases whose time is up; whether any was.
    pub fn expire(&mut self, now: Time) -> bool {
        let due = self.leases.iter().filter(|(_, lease)| lease.expires <= now);
        let due = due.map(|(id, _)| *id).collect::<Vec<_>>();
        for id in &due {
            self.revoke(*id);
        }
        !due.is_empty()
    }
}

/// What etcd says of a lease that is gone.
pub(crate) const LEASE_NOT_FOUND: &str = "etcdserver: requested lease not found";

struct Plan {
    holds: bool,
    inner: Vec<Plan>,
}

fn key_bounds<'a>(start: &'a str, end: Option<&'a str>) -> (Bound<&'a str>, Bound<&'a str>) {
    let upper = match end {
        None | Some("") => Bound::Included(start),
        Some("\0") => Bound::Unbounded,
        // An end before the start holds nothing; a map refuses such bounds.
        Some(end) => Bound::Excluded(end.max(start)),
    };
    match upper {
        Bound::Excluded(end) if end == start => (Bound::Included(start), Bound::Excluded(start)),
        upper => (Bound::Included(start), upper),
    }
}

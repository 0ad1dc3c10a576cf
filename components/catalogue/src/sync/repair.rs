//! Repair of a store that was restored from an older copy.
//!
//! The daemons hold every accepted edit, the restored store does not. One watcher reads
//! all entries and writes back each that the daemons hold at a newer revision, with the
//! entry's mod revision as precondition, and finally the head, with its own. A concurrent
//! write by another party fails a precondition, and the repair starts over from the store's
//! new state.

use std::collections::{BTreeMap, VecDeque};

use keyvalue::{Compare, ModRevision, OpReply, Range, Reply, Request, Txn};
use types::prelude::*;

use crate::head::{Change, Head, Keys, RECENT_LENGTH, ReadHead};
use crate::record::{Catalogue, EncodedRecord, Record};
use crate::sync::source::{Call, parse_records};
use crate::sync::{Effect, Sync};

/// Consecutive polls that must find the store behind; a single one could be a late reply.
const MIN_POLLS_BEHIND: u32 = 2;

/// Consecutive polls that find the store behind after which any watcher repairs it, in case
/// the first watcher does not.
const ANY_WATCHER_POLLS: u32 = 6;

/// Entries read from the store in one call.
const PAGE_KEYS: u32 = 32;

/// Largest number of entries written in one transaction; the store accepts 128 operations.
const BATCH_ENTRIES: usize = 32;

/// Bytes after which a transaction takes no further entries; the store accepts 1.5 MB.
const BATCH_SIZE: usize = 512 << 10;

/// A repair in progress.
#[derive(Debug)]
pub(super) struct Repair {
    stage: Stage,
    head: ReadHead,
    /// Entries found in the store with their mod revisions.
    found: BTreeMap<EntryName, (ModRevision, EncodedRecord)>,
    writes: VecDeque<Write>,
    new_head: Head,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Stage {
    Head,
    Entries,
    Batch,
    Finish,
}

/// An entry to write, provided that its mod revision is still `expected`.
#[derive(Debug)]
struct Write {
    name: EntryName,
    expected: ModRevision,
    held: EncodedRecord,
}

impl Sync {
    /// Starts a repair if the store is behind for long enough and it is this daemon's turn.
    pub(super) fn start_repair_if_due(&mut self, now: Time, effects: &mut Vec<Effect>) {
        let polls_behind = self.source.polls_behind;
        let is_turn = polls_behind >= ANY_WATCHER_POLLS || self.is_first_watcher();
        // A daemon that lags itself would write back too little.
        let is_current = self.catalogue.revision() >= self.fleet_revision();
        if polls_behind < MIN_POLLS_BEHIND || !self.watching || !is_turn || !is_current {
            self.source.poll_at(now + self.cfg.round_interval);
            return;
        }
        tracing::warn!(
            "catalogue: the store is behind revision {}; writing the missing records back",
            self.catalogue.revision()
        );
        let repair = Repair {
            stage: Stage::Head,
            head: ReadHead::default(),
            found: BTreeMap::new(),
            writes: VecDeque::new(),
            new_head: Head::default(),
        };
        let req = Request::Txn(self.source.keys.read([]));
        effects.push(self.source.call(now, Call::Repair(Box::new(repair)), req));
    }

    fn is_first_watcher(&self) -> bool {
        let chosen = super::watchers(&self.members, self.cfg.watchers_per_domain);
        chosen.first() == Some(&self.cfg.me)
    }

    pub(super) fn on_repair(
        &mut self,
        now: Time,
        mut repair: Repair,
        reply: Reply,
        effects: &mut Vec<Effect>,
    ) {
        let req = match (repair.stage, reply) {
            (Stage::Head, Reply::Txn(reply)) => self.on_repair_head(&mut repair, &reply.replies),
            (Stage::Entries, Reply::Range(found)) => {
                let last = found.last().map(|pair| pair.key.clone());
                let is_last = found.len() < PAGE_KEYS as usize;
                repair.add_found(&self.source.keys, &found);
                if is_last {
                    repair.plan(&self.catalogue);
                    Some(repair.next_write(&self.source.keys))
                } else {
                    Some(read_entries(&self.source.keys, last))
                }
            }
            (Stage::Batch, Reply::Txn(reply)) if reply.succeeded => {
                Some(repair.next_write(&self.source.keys))
            }
            (Stage::Finish, Reply::Txn(reply)) if reply.succeeded => {
                let revision = repair.new_head.revision;
                tracing::info!("catalogue: the store is repaired up to revision {revision}");
                None
            }
            _ => None,
        };
        match req {
            Some(req) => effects.push(self.source.call(now, Call::Repair(Box::new(repair)), req)),
            // Finished, or a concurrent write intervened: the next poll shows which.
            None => self.source.poll_at(now),
        }
    }

    fn on_repair_head(&self, repair: &mut Repair, replies: &[OpReply]) -> Option<Request> {
        let Some(OpReply::Range(found)) = replies.first() else {
            return None;
        };
        repair.head = ReadHead::from_range(found).ok()?;
        let is_behind = repair.head.head.revision < self.catalogue.revision();
        repair.stage = Stage::Entries;
        is_behind.then(|| read_entries(&self.source.keys, None))
    }
}

fn read_entries(keys: &Keys, after: Option<String>) -> Request {
    Request::Range(Range {
        limit: PAGE_KEYS,
        after,
        ..Range::prefix(keys.entries())
    })
}

impl Repair {
    fn add_found(&mut self, keys: &Keys, found: &[keyvalue::KeyValue]) {
        for pair in found {
            for (name, held) in parse_records(keys, std::slice::from_ref(pair)) {
                self.found.insert(name, (pair.mod_revision, held));
            }
        }
    }

    /// Determines the entries and the head to write.
    fn plan(&mut self, catalogue: &Catalogue) {
        let mut head = Head {
            revision: catalogue.revision(),
            recent: recent_changes(catalogue),
        };
        for (name, held) in catalogue.latest() {
            let found = self.found.remove(name);
            let expected = found.as_ref().map_or(ModRevision(0), |(at, _)| *at);
            match found {
                // An edit that the restored store accepted before this repair. It gets a revision
                // above all that the daemons know, so that none of them misses it.
                Some((_, other)) if other.record.rank() > held.record.rank() => {
                    head = self.write_with_next_revision(name, expected, &other.record, &head);
                }
                Some((_, other)) if other.record.rank() == held.record.rank() => {}
                _ => self.writes.push_back(Write {
                    name: name.clone(),
                    expected,
                    held: held.clone(),
                }),
            }
        }
        // An entry that only the store holds was removed, and its tombstone is gone.
        for (name, (expected, held)) in std::mem::take(&mut self.found) {
            if held.is_tombstone() {
                continue;
            }
            let removal = Record {
                entry: None,
                history: held.record.next_history(),
                ..(*held.record).clone()
            };
            head = self.write_with_next_revision(&name, expected, &removal, &head);
        }
        self.new_head = head;
    }

    /// Queues a record under the head's next revision and returns the resulting head.
    fn write_with_next_revision(
        &mut self,
        name: &EntryName,
        expected: ModRevision,
        record: &Record,
        head: &Head,
    ) -> Head {
        let record = Record {
            revision: head.revision.next(),
            ..record.clone()
        };
        let change = Change {
            revision: record.revision,
            name: name.clone(),
            edit_id: record.edit_id,
        };
        self.writes.push_back(Write {
            name: name.clone(),
            expected,
            held: EncodedRecord::new(record.into()),
        });
        head.after(change)
    }

    /// Returns the next transaction: a batch of entries, or finally the head.
    fn next_write(&mut self, keys: &Keys) -> Request {
        if self.writes.is_empty() {
            self.stage = Stage::Finish;
            return Request::Txn(Txn {
                compare: vec![keys.compare_head(self.head.mod_revision)],
                success: vec![keys.put_head(&self.new_head)],
                failure: Vec::new(),
            });
        }
        self.stage = Stage::Batch;
        let mut txn = Txn {
            compare: vec![keys.compare_head(self.head.mod_revision)],
            ..Txn::default()
        };
        let mut size = 0;
        while let Some(write) = self.writes.pop_front() {
            size += write.held.json.len();
            let key = keys.entry(&write.name);
            txn.compare.push(Compare::ModRevision(key, write.expected));
            txn.success
                .push(keys.put_entry(&write.name, write.held.json));
            if txn.success.len() >= BATCH_ENTRIES || size >= BATCH_SIZE {
                break;
            }
        }
        Request::Txn(txn)
    }
}

/// Returns the latest edits, latest first, up to the first one that is not remembered.
fn recent_changes(catalogue: &Catalogue) -> Vec<Change> {
    let mut revision = catalogue.revision();
    let mut recent = Vec::new();
    while let Some(change) = catalogue.change(revision)
        && recent.len() < RECENT_LENGTH
    {
        recent.push(change.clone());
        revision = Revision(revision.0.saturating_sub(1));
    }
    recent
}

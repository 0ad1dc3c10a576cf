//! Putting back what a store restored from an older copy has lost.
//!
//! The daemons hold every accepted edit, the restored store does not. One watcher reads
//! all entries and writes each that the daemons hold in a newer revision, comparing the
//! entry's last write; last of all the head, comparing its own. Whoever else writes
//! meanwhile makes a compare fail, and the repair begins anew from what stands then.

use std::collections::{BTreeMap, VecDeque};

use keyvalue::{Compare, ModRevision, OpReply, Range, Reply, Request, Txn};
use types::prelude::*;

use crate::head::{Change, Head, Keys, RECENT_LENGTH, ReadHead};
use crate::record::{Catalogue, Held, Record};
use crate::sync::source::{Task, parse_all};
use crate::sync::{Effect, Sync};

/// Polls in a row that must find the store behind; one could be a late reply.
const BEHIND_POLLS: u32 = 2;

/// After so many any watcher repairs, whoever should have.
const ANYONE_POLLS: u32 = 6;

const PAGE_KEYS: u32 = 32;

/// Entries and bytes written in one transaction; the service takes 128 steps and 1.5 MB.
const BATCH_ENTRIES: usize = 32;
const BATCH_SIZE: usize = 512 << 10;

/// A repair under way.
#[derive(Debug)]
pub(super) struct Repair {
    stage: Stage,
    head: ReadHead,
    /// Entries of the store with their last writes.
    found: BTreeMap<EntryName, (ModRevision, Held)>,
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

/// An entry to write, over what was found.
#[derive(Debug)]
struct Write {
    name: EntryName,
    over: ModRevision,
    held: Held,
}

impl Sync {
    /// Begins a repair if it is this daemon's turn.
    pub(super) fn consider_repair(&mut self, now: Time, effects: &mut Vec<Effect>) {
        let behind = self.source.behind;
        let is_turn = behind >= ANYONE_POLLS || self.is_first_watcher();
        // One that lags itself would put back too little.
        let is_current = self.catalogue.revision() >= self.fleet_revision();
        if behind < BEHIND_POLLS || !self.watching || !is_turn || !is_current {
            self.source.poll_at(now + self.cfg.ask_interval);
            return;
        }
        tracing::warn!(
            "catalogue: the store is behind revision {}; putting records back",
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
        effects.push(self.source.call(now, Task::Repair(Box::new(repair)), req));
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
                repair.take(&self.source.keys, &found);
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
            Some(req) => effects.push(self.source.call(now, Task::Repair(Box::new(repair)), req)),
            // Done, or someone else wrote: the next poll tells.
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
    fn take(&mut self, keys: &Keys, found: &[keyvalue::KeyValue]) {
        for pair in found {
            for (name, held) in parse_all(keys, std::slice::from_ref(pair)) {
                self.found.insert(name, (pair.mod_revision, held));
            }
        }
    }

    /// Decides what to write.
    fn plan(&mut self, catalogue: &Catalogue) {
        let mut head = Head {
            revision: catalogue.revision(),
            recent: recent(catalogue),
        };
        for (name, held) in catalogue.held() {
            let found = self.found.remove(name);
            let over = found.as_ref().map_or(ModRevision(0), |(at, _)| *at);
            match found {
                // An edit that the restored store took before it was repaired: it gets a
                // revision after all that the daemons know, so that none of them misses it.
                Some((_, other)) if other.record.rank() > held.record.rank() => {
                    head = self.write_again(name, over, &other.record, &head);
                }
                Some((_, other)) if other.record.rank() == held.record.rank() => {}
                _ => self.writes.push_back(Write {
                    name: name.clone(),
                    over,
                    held: held.clone(),
                }),
            }
        }
        // What only the store has was removed, and its marker is gone.
        for (name, (over, held)) in std::mem::take(&mut self.found) {
            if held.is_marker() {
                continue;
            }
            let removal = Record {
                entry: None,
                history: held.record.history_of_next(),
                ..(*held.record).clone()
            };
            head = self.write_again(&name, over, &removal, &head);
        }
        self.new_head = head;
    }

    /// Writes a record with the next revision.
    fn write_again(
        &mut self,
        name: &EntryName,
        over: ModRevision,
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
            over,
            held: Held::new(record.into()),
        });
        head.after(change)
    }

    /// The next transaction: some entries, or last of all the head.
    fn next_write(&mut self, keys: &Keys) -> Request {
        if self.writes.is_empty() {
            self.stage = Stage::Finish;
            return Request::Txn(Txn {
                compare: vec![keys.compare_head(self.head.at)],
                success: vec![keys.put_head(&self.new_head)],
                failure: Vec::new(),
            });
        }
        self.stage = Stage::Batch;
        let mut txn = Txn {
            compare: vec![keys.compare_head(self.head.at)],
            ..Txn::default()
        };
        let mut size = 0;
        while let Some(write) = self.writes.pop_front() {
            size += write.held.json.len();
            let key = keys.entry(&write.name);
            txn.compare.push(Compare::ModRevision(key, write.over));
            txn.success
                .push(keys.put_entry(&write.name, write.held.json));
            if txn.success.len() >= BATCH_ENTRIES || size >= BATCH_SIZE {
                break;
            }
        }
        Request::Txn(txn)
    }
}

/// The latest edits that are remembered without a gap.
fn recent(catalogue: &Catalogue) -> Vec<Change> {
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

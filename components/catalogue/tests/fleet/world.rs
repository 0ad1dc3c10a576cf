//! Simulation of daemons, a network and a store in one thread, with injected faults.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::sync::Arc;

use bytes::Bytes;
use catalogue::edit::*;
use catalogue::entry::Entry;
use catalogue::file;
use catalogue::head::{Head, Keys};
use catalogue::record::Record;
use catalogue::sync::{Config, Effect, Member, Message, Sync};
use keyvalue::{CallError, Outcome, Request, Txn};
use rand::SeedableRng;
use rand::rngs::StdRng;
use standins::store::Table;
use types::prelude::*;

/// Simulated time that one step takes.
pub(crate) const STEP: Span = Span::from_millis(50);

/// Timeout of edits, queries and waits in tests.
pub(crate) const TIMEOUT: Span = Span::from_secs(10);

/// Fault injected into the next write of an editor.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum WriteFault {
    /// The write is applied and its reply arrives.
    NoFault,
    /// The write is applied but its reply is lost.
    ReplyLost,
    /// The reply is lost and the write is applied at [`Fleet::apply_delayed`].
    Delayed,
    /// The write fails without reaching the store.
    NotSent,
}

pub(crate) struct Daemon {
    pub(crate) sync: Sync,
    pub(crate) editor: Editor,
    pub(crate) paused: bool,
    watch_from: Option<i64>,
    calls: VecDeque<Request>,
}

pub(crate) struct Fleet {
    pub(crate) table: Table,
    pub(crate) now: Time,
    pub(crate) rng: StdRng,
    pub(crate) members: Vec<Member>,
    pub(crate) daemons: BTreeMap<DaemonId, Daemon>,
    pub(crate) store_up: bool,
    /// Daemons that reach only each other and not the store.
    pub(crate) partitioned: BTreeSet<DaemonId>,
    /// A daemon that reaches the other daemons but not the store.
    pub(crate) without_store: Option<DaemonId>,
    /// Whether watches skip all changes.
    pub(crate) drops_watch_events: bool,
    /// Whether pages of records between daemons are lost.
    pub(crate) drops_pages: bool,
    pub(crate) write_faults: VecDeque<WriteFault>,
    pub(crate) delayed: Vec<Request>,
    pub(crate) verdicts: BTreeMap<Ticket, Verdict>,
    /// Every edit that was ever applied in the store.
    pub(crate) applied_edits: BTreeMap<Revision, EditId>,
    pub(crate) store_calls: u64,
    messages: VecDeque<(DaemonId, DaemonId, Message)>,
    tickets: u64,
}

pub(crate) fn cluster() -> ClusterName {
    ClusterName::new("test").unwrap()
}

pub(crate) fn keys() -> Keys {
    Keys::new(&cluster())
}

pub(crate) fn id(index: usize) -> DaemonId {
    DaemonId::new(&format!("d{index}")).unwrap()
}

pub(crate) fn name(text: &str) -> EntryName {
    EntryName::new(text).unwrap()
}

/// Makes a customer with a key derived from a number and with this weight.
pub(crate) fn customer(key: usize, weight: usize) -> Arc<Entry> {
    let text = format!("{{kind: customer, owner: o, weight: {weight}, key_sha256: [{key:064x}]}}");
    let value = serde_norway::from_str(&text).unwrap();
    Arc::new(file::parse_entry(&name("customers/x"), value).unwrap())
}

impl Fleet {
    pub(crate) fn new(count: usize, seed: u64) -> Self {
        let members = (0..count).map(|index| Member {
            id: id(index),
            failure_domain: FailureDomain::new(&format!("f{}", index % 4)).unwrap(),
        });
        let mut fleet = Self {
            table: Table::new(),
            now: Time(1_000_000),
            rng: StdRng::seed_from_u64(seed),
            members: members.collect(),
            daemons: BTreeMap::new(),
            store_up: true,
            partitioned: BTreeSet::new(),
            without_store: None,
            drops_watch_events: false,
            drops_pages: false,
            write_faults: VecDeque::new(),
            delayed: Vec::new(),
            verdicts: BTreeMap::new(),
            applied_edits: BTreeMap::new(),
            store_calls: 0,
            messages: VecDeque::new(),
            tickets: 0,
        };
        (0..count).for_each(|index| fleet.restart(index));
        fleet
    }

    /// Replaces a daemon by a fresh process of the same name.
    pub(crate) fn restart(&mut self, index: usize) {
        let daemon = Daemon {
            sync: Sync::new(Config::new(id(index), &cluster())),
            editor: Editor::default(),
            paused: false,
            watch_from: None,
            calls: VecDeque::new(),
        };
        self.daemons.insert(id(index), daemon);
        self.lose_messages(index);
    }

    /// Drops the messages in flight to a daemon.
    pub(crate) fn lose_messages(&mut self, index: usize) {
        self.messages.retain(|(_, to, _)| *to != id(index));
    }

    pub(crate) fn daemon(&self, index: usize) -> &Daemon {
        &self.daemons[&id(index)]
    }

    pub(crate) fn pause(&mut self, index: usize, paused: bool) {
        self.daemons.get_mut(&id(index)).unwrap().paused = paused;
    }

    pub(crate) fn revision(&self, index: usize) -> Revision {
        self.daemon(index).sync.catalogue().revision()
    }

    pub(crate) fn head(&self) -> Head {
        let (found, _) = self.table.range(&keys().head(), None, 0);
        let head = found
            .first()
            .map(|(_, item)| serde_json::from_slice(&item.value).unwrap());
        head.unwrap_or_default()
    }

    /// Returns the entries' records in the store.
    pub(crate) fn stored(&self) -> BTreeMap<EntryName, Record> {
        let (found, _) = self.table.range(&keys().entries(), Some(&keys().head()), 0);
        let records = found.iter().map(|(key, item)| {
            let name = keys().name_of(key).unwrap();
            (name, serde_json::from_slice(&item.value).unwrap())
        });
        records.collect()
    }

    /// Submits an edit to a daemon; returns the edit's id and its ticket.
    pub(crate) fn edit(
        &mut self,
        index: usize,
        entry_name: &str,
        if_match: IfMatch,
        entry: Option<Arc<Entry>>,
        timeout: Span,
    ) -> (EditId, Ticket) {
        let edit_id = make_id(self.revision(index), &mut self.rng);
        let proposal = Proposal {
            id: edit_id,
            name: name(entry_name),
            if_match,
            entry,
            author: OperatorName::new("op").unwrap(),
            at: WallTime(0),
        };
        let edit = Edit::new(proposal, keys(), self.now + timeout);
        (edit_id, self.submit(index, Task::Edit(Box::new(edit))))
    }

    pub(crate) fn query(&mut self, index: usize, edit_id: EditId, entry: Option<&str>) -> Ticket {
        let query = Query::new(
            edit_id,
            entry.map(name),
            (OperatorName::new("op").unwrap(), WallTime(0)),
            keys(),
            self.now + TIMEOUT,
        );
        self.submit(index, Task::Query(query))
    }

    fn submit(&mut self, index: usize, task: Task) -> Ticket {
        self.tickets += 1;
        let ticket = Ticket(self.tickets);
        let daemon = self.daemons.get_mut(&id(index)).unwrap();
        assert!(daemon.editor.submit(ticket, task));
        ticket
    }

    /// Runs the simulation until a task has ended and returns its verdict.
    pub(crate) fn verdict(&mut self, ticket: Ticket) -> Verdict {
        let end = self.now + Span::from_secs(60);
        while !self.verdicts.contains_key(&ticket) && self.now < end {
            self.step();
        }
        self.verdicts
            .get(&ticket)
            .expect("a verdict in a minute")
            .clone()
    }

    /// Submits an edit of a customer and runs until its verdict.
    pub(crate) fn put(
        &mut self,
        index: usize,
        entry: &str,
        if_match: IfMatch,
        weight: usize,
    ) -> Verdict {
        let key = entry.bytes().map(usize::from).sum();
        let ticket = self
            .edit(index, entry, if_match, Some(customer(key, weight)), TIMEOUT)
            .1;
        self.verdict(ticket)
    }

    pub(crate) fn run(&mut self, span: Span) {
        let end = self.now + span;
        while self.now < end {
            self.step();
        }
    }

    /// Applies the delayed writes now.
    pub(crate) fn apply_delayed(&mut self) {
        for req in std::mem::take(&mut self.delayed) {
            let _ = self.call_table(&req);
        }
    }

    fn step(&mut self) {
        self.now = self.now + STEP;
        for (from, to, message) in std::mem::take(&mut self.messages) {
            if self.daemons[&to].paused {
                self.messages.push_back((from, to, message));
                continue;
            }
            let is_dropped = self.drops_pages && matches!(message, Message::Page(_));
            if is_dropped || self.partitioned.contains(&from) != self.partitioned.contains(&to) {
                continue;
            }
            let bytes = serde_json::to_vec(&message).unwrap();
            let message = serde_json::from_slice(&bytes).unwrap();
            let (now, daemon) = (self.now, self.daemons.get_mut(&to).unwrap());
            let effects = daemon.sync.on_message(now, &from, message, &mut self.rng);
            self.perform(&to, effects);
        }
        let ids: Vec<DaemonId> = self.daemons.keys().cloned().collect();
        for id in ids {
            if !self.daemons[&id].paused {
                self.step_daemon(&id);
            }
        }
    }

    fn step_daemon(&mut self, id: &DaemonId) {
        self.deliver_watch(id);
        let now = self.now;
        let live: Vec<Member> = self
            .members
            .iter()
            .filter(|member| self.partitioned.contains(&member.id) == self.partitioned.contains(id))
            .cloned()
            .collect();
        let daemon = self.daemons.get_mut(id).unwrap();
        let effects = daemon.sync.tick(now, &live, &mut self.rng);
        let outputs = daemon.editor.tick(now);
        self.perform(id, effects);
        self.perform_edits(id, outputs);
        while let Some(req) = self.daemons.get_mut(id).unwrap().calls.pop_front() {
            let outcome = self.call(id, &req, WriteFault::NoFault);
            let (now, daemon) = (self.now, self.daemons.get_mut(id).unwrap());
            let effects = daemon.sync.on_store(now, outcome, &mut self.rng);
            self.perform(id, effects);
        }
    }

    fn deliver_watch(&mut self, id: &DaemonId) {
        let reaches = self.reaches_store(id);
        let daemon = self.daemons.get_mut(id).unwrap();
        let Some(from) = daemon.watch_from.filter(|_| reaches) else {
            return;
        };
        let is_new = from == 0 || from > self.table.revision() + 1;
        let events = if is_new {
            Vec::new()
        } else {
            let changes = self
                .table
                .changes(from, keys().all(), Some("/buckthorncross/test/d"));
            changes.unwrap().into_iter().map(Into::into).collect()
        };
        daemon.watch_from = Some(self.table.revision() + 1);
        if is_new || !(events.is_empty() || self.drops_watch_events) {
            let effects = daemon.sync.on_watch(self.now, &events, &mut self.rng);
            self.perform(id, effects);
        }
    }

    fn perform(&mut self, from: &DaemonId, effects: Vec<Effect>) {
        for effect in effects {
            let daemon = self.daemons.get_mut(from).unwrap();
            match effect {
                Effect::Send { to, message } => {
                    self.messages.push_back((from.clone(), to, message));
                }
                Effect::Store(req) => daemon.calls.push_back(req),
                Effect::Watch => daemon.watch_from = Some(0),
                Effect::StopWatch => daemon.watch_from = None,
                Effect::Applied(_) => {}
            }
        }
    }

    fn perform_edits(&mut self, id: &DaemonId, outputs: Vec<Output>) {
        let mut outputs = VecDeque::from(outputs);
        let mut calls = 0;
        while let Some(output) = outputs.pop_front() {
            calls += 1;
            assert!(calls < 1000, "a task calls the store without end");
            let req = match output {
                Output::Done(ticket, verdict) => {
                    self.verdicts.insert(ticket, verdict);
                    continue;
                }
                Output::Call(req) => req,
            };
            let is_write = matches!(&req, Request::Txn(txn) if !txn.compare.is_empty());
            let fault = is_write.then(|| self.write_faults.pop_front()).flatten();
            let outcome = self.call(id, &req, fault.unwrap_or(WriteFault::NoFault));
            let daemon = self.daemons.get_mut(id).unwrap();
            let now = self.now;
            let known = daemon.sync.edit_context(now);
            let more = daemon.editor.on_outcome(now, outcome, known, &mut self.rng);
            let learned = daemon.editor.take_learned();
            let effects = daemon.sync.apply_records(learned, &mut self.rng);
            outputs.extend(more);
            self.perform(id, effects);
        }
    }

    fn reaches_store(&self, id: &DaemonId) -> bool {
        self.store_up && !self.partitioned.contains(id) && self.without_store.as_ref() != Some(id)
    }

    fn call(&mut self, id: &DaemonId, req: &Request, fault: WriteFault) -> Outcome {
        self.store_calls += 1;
        let lost = Err(CallError::Unknown("lost".to_owned()));
        match fault {
            _ if !self.reaches_store(id) => Err(CallError::NotSent("down".to_owned())),
            WriteFault::NoFault => self.call_table(req),
            WriteFault::NotSent => Err(CallError::NotSent("refused".to_owned())),
            WriteFault::ReplyLost => self.call_table(req).and(lost),
            WriteFault::Delayed => {
                self.delayed.push(req.clone());
                lost
            }
        }
    }

    pub(crate) fn sync(&mut self, index: usize) -> &mut Sync {
        &mut self.daemons.get_mut(&id(index)).unwrap().sync
    }

    /// Writes a record and a head directly to the store, without any check.
    pub(crate) fn write_unchecked(&mut self, entry: &str, json: Bytes, revision: u64) {
        let head = Head {
            revision: Revision(revision),
            ..Head::default()
        };
        let success = vec![keys().put_entry(&name(entry), json), keys().put_head(&head)];
        self.write_raw(Txn {
            success,
            ..Txn::default()
        });
    }

    /// Runs a transaction that belongs to no edit.
    pub(crate) fn write_raw(&mut self, txn: Txn) {
        self.call_table(&Request::Txn(txn)).unwrap();
    }

    fn call_table(&mut self, req: &Request) -> Outcome {
        let outcome = self.table.call(self.now, req);
        let is_write = matches!(req, Request::Txn(txn) if !txn.success.is_empty());
        let head = if is_write {
            self.head()
        } else {
            Head::default()
        };
        for change in head.recent {
            let id = self
                .applied_edits
                .entry(change.revision)
                .or_insert(change.edit_id);
            assert_eq!(*id, change.edit_id, "two edits at {}", change.revision);
        }
        outcome
    }
}

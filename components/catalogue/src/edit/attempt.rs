//! State machine that applies one edit.

use std::sync::Arc;

use keyvalue::{CallError, ModRevision, Op, Outcome, Reply, Request, Txn, TxnReply};
use rand::{Rng, RngExt};
use types::prelude::*;

use crate::check::MAX_ENTRY_SIZE;
use crate::edit::exclusion::is_ruled_out;
use crate::edit::snapshot::Snapshot;
use crate::edit::{EditContext, Proposal, Step, Verdict, judge};
use crate::head::{Change, Keys, void_name};
use crate::record::{Catalogue, EncodedRecord, Record};

/// First pause between attempts; doubles up to [`MAX_PAUSE`].
const FIRST_PAUSE: Span = Span::from_millis(20);

/// Longest pause between attempts.
const MAX_PAUSE: Span = Span::from_millis(640);

/// Attempts without a pause in between when other edits are applied first.
const ATTEMPTS_PER_PAUSE: u32 = 3;

/// One edit in progress.
#[derive(Debug, Clone)]
pub struct Edit {
    proposal: Proposal,
    keys: Keys,
    deadline: Time,
    state: State,
    /// A write whose outcome is unknown.
    unresolved: Option<SentWrite>,
    /// Other entries to read too, because they changed after this daemon's revision.
    extra_reads: Vec<EntryName>,
    pauses: u32,
    /// Writes that failed because another edit was applied first.
    lost_races: u32,
    /// Why the last attempt did not end the edit, for the verdict at the deadline.
    reason: String,
    records_read: Vec<(EntryName, EncodedRecord)>,
}

/// Purpose of the call in flight.
#[derive(Debug, Clone, PartialEq)]
enum State {
    Reading,
    Writing(SentWrite),
    Fencing,
    Pausing,
    Ended,
}

/// A write that was sent to the store.
#[derive(Debug, Clone, PartialEq)]
struct SentWrite {
    head_mod_revision: ModRevision,
    revision: Revision,
    held: EncodedRecord,
}

impl Edit {
    /// Creates an edit that has to end by `deadline`.
    #[must_use]
    pub fn new(proposal: Proposal, keys: Keys, deadline: Time) -> Self {
        Self {
            proposal,
            keys,
            deadline,
            state: State::Pausing,
            unresolved: None,
            extra_reads: Vec::new(),
            pauses: 0,
            lost_races: 0,
            reason: "not begun".to_owned(),
            records_read: Vec::new(),
        }
    }

    /// Returns the proposal that this edit applies.
    #[must_use]
    pub fn proposal(&self) -> &Proposal {
        &self.proposal
    }

    /// Takes the records read or written so far, for the catalogue.
    pub fn take_learned(&mut self) -> Vec<(EntryName, EncodedRecord)> {
        std::mem::take(&mut self.records_read)
    }

    /// Starts the edit or continues it after a wait.
    pub fn resume(&mut self, now: Time) -> Step {
        if now.has_reached(self.deadline) {
            return self.time_out();
        }
        self.state = State::Reading;
        Step::Call(Request::Txn(Txn {
            success: self.read_ops(),
            ..Txn::default()
        }))
    }

    fn read_ops(&self) -> Vec<Op> {
        let void = void_name(self.proposal.id);
        let own = [&self.proposal.name, &void];
        self.keys.read_ops(own.into_iter().chain(&self.extra_reads))
    }

    /// Handles the outcome of the last call.
    pub fn on_outcome(
        &mut self,
        now: Time,
        outcome: Outcome,
        cx: EditContext<'_>,
        rng: &mut impl Rng,
    ) -> Step {
        let state = std::mem::replace(&mut self.state, State::Ended);
        let reply = match outcome {
            Ok(answer) => answer.reply,
            Err(error) => return self.on_error(now, state, error, rng),
        };
        let Reply::Txn(reply) = reply else {
            return self.pause(now, "the store's reply does not fit the call", rng);
        };
        match state {
            State::Writing(sent) if reply.succeeded => {
                let name = self.proposal.name.clone();
                self.records_read.push((name, sent.held));
                self.end_as_applied(sent.revision)
            }
            State::Writing(_) if self.must_pause_after_lost_race() => {
                self.pause(now, "other edits come first", rng)
            }
            // The next read shows the outcome of the lost write.
            State::Fencing if reply.succeeded => self.resume(now),
            _ => self.on_snapshot(now, &reply, cx, rng),
        }
    }

    /// Counts a write that failed because another edit was applied first. Returns whether to
    /// pause before the next attempt.
    fn must_pause_after_lost_race(&mut self) -> bool {
        self.lost_races += 1;
        self.lost_races.is_multiple_of(ATTEMPTS_PER_PAUSE)
    }

    fn on_error(&mut self, now: Time, state: State, error: CallError, rng: &mut impl Rng) -> Step {
        if let (State::Writing(sent), CallError::Unknown(_)) = (state, &error) {
            self.unresolved = Some(sent);
        }
        self.pause(now, &error.to_string(), rng)
    }

    fn on_snapshot(
        &mut self,
        now: Time,
        reply: &TxnReply,
        cx: EditContext<'_>,
        rng: &mut impl Rng,
    ) -> Step {
        let snapshot = match Snapshot::parse(&self.keys, reply) {
            Ok(snapshot) => snapshot,
            Err(e) => return self.pause(now, &e.to_string(), rng),
        };
        self.keep_records(&snapshot);
        let id = self.proposal.id;
        let found = snapshot.revision_of(id);
        if let Some(revision) = found.or_else(|| cx.catalogue.revision_of(id)) {
            return self.end_as_applied(revision);
        }
        if let Some(reason) = cx.reason_to_wait(snapshot.head.head.revision) {
            return self.pause(now, reason, rng);
        }
        if let Some(sent) = self.unresolved.clone()
            && let Some(step) = self.resolve(now, &sent, &snapshot, cx.catalogue)
        {
            return step;
        }
        if now.has_reached(self.deadline) {
            return self.time_out();
        }
        self.try_write(now, &snapshot, cx, rng)
    }

    /// Determines the outcome of a write whose reply was lost, or fences it. Returns `None` if
    /// it was not applied and never will be.
    fn resolve(
        &mut self,
        now: Time,
        sent: &SentWrite,
        snapshot: &Snapshot,
        catalogue: &Catalogue,
    ) -> Option<Step> {
        if snapshot.head.mod_revision == sent.head_mod_revision {
            if now.has_reached(self.deadline) {
                return Some(self.time_out());
            }
            return Some(self.fence(snapshot));
        }
        let (id, name) = (self.proposal.id, &self.proposal.name);
        if !is_ruled_out(snapshot, catalogue, Some(name), sent.revision, id) {
            let reason = "its reply was lost and too many edits followed".to_owned();
            return Some(self.end(Verdict::Unknown { reason }));
        }
        self.unresolved = None;
        None
    }

    /// Writes the head unchanged.
    ///
    /// A lost write could still take effect after it was not found by a read. Its precondition
    /// is the head's mod revision, which this write changes. If the lost write takes effect
    /// first, this one fails and its reply contains the lost one.
    fn fence(&mut self, snapshot: &Snapshot) -> Step {
        self.state = State::Fencing;
        Step::Call(Request::Txn(Txn {
            compare: vec![self.keys.compare_head(snapshot.head.mod_revision)],
            success: vec![self.keys.put_head(&snapshot.head.head)],
            failure: self.read_ops(),
        }))
    }

    /// Checks the proposal against the current state and writes it.
    fn try_write(
        &mut self,
        now: Time,
        snapshot: &Snapshot,
        cx: EditContext<'_>,
        rng: &mut impl Rng,
    ) -> Step {
        let catalogue = cx.catalogue;
        if snapshot.held(&void_name(self.proposal.id)).is_some() {
            let reason = "it was asked for by its id and given up".to_owned();
            return self.end(Verdict::NotApplied { reason });
        }
        if let Some(conflict) = judge::conflict(&self.proposal, snapshot) {
            return self.end(conflict);
        }
        let Some(changed) = judge::changed_entries(&self.proposal, snapshot, catalogue) else {
            return self.pause(now, "this daemon is catching up", rng);
        };
        if !changed.iter().all(|name| self.extra_reads.contains(name)) {
            self.extra_reads = changed;
            return self.resume(now);
        }
        let problems = judge::problems(&self.proposal, snapshot, catalogue);
        if !problems.is_empty() {
            return self.end(Verdict::Invalid { problems });
        }
        self.write(snapshot)
    }

    fn write(&mut self, snapshot: &Snapshot) -> Step {
        let name = &self.proposal.name;
        let head = &snapshot.head;
        let record = Arc::new(self.record(snapshot));
        let held = EncodedRecord::new(record.clone());
        let size = held.json.len();
        if size > MAX_ENTRY_SIZE.as_usize() {
            let reason = format!("{size} bytes with its history; at most {MAX_ENTRY_SIZE}");
            return self.end(Verdict::NotApplied { reason });
        }
        let change = Change {
            revision: record.revision,
            name: name.clone(),
            edit_id: record.edit_id,
        };
        let entry_at = snapshot.entries.get(name).map(|(at, _)| *at);
        let entry = self.keys.entry(name);
        let entry = keyvalue::Compare::ModRevision(entry, entry_at.unwrap_or_default());
        let txn = Txn {
            compare: vec![self.keys.compare_head(head.mod_revision), entry],
            success: vec![
                self.keys.put_entry(name, held.json.clone()),
                self.keys.put_head(&head.head.after(change)),
            ],
            failure: self.read_ops(),
        };
        self.state = State::Writing(SentWrite {
            head_mod_revision: head.mod_revision,
            revision: record.revision,
            held,
        });
        Step::Call(Request::Txn(txn))
    }

    fn record(&self, snapshot: &Snapshot) -> Record {
        let current = snapshot.held(&self.proposal.name);
        let history = current.map(|held| held.record.next_history());
        Record {
            revision: snapshot.head.head.revision.next(),
            edit_id: self.proposal.id,
            author: self.proposal.author.clone(),
            at: self.proposal.at,
            entry: self.proposal.entry.clone(),
            history: history.unwrap_or_default(),
        }
    }

    fn keep_records(&mut self, snapshot: &Snapshot) {
        let entries = snapshot.entries.iter();
        let records = entries.map(|(name, (_, held))| (name.clone(), held.clone()));
        self.records_read.extend(records);
    }

    fn end_as_applied(&mut self, revision: Revision) -> Step {
        self.end(Verdict::Applied { revision })
    }

    fn end(&mut self, verdict: Verdict) -> Step {
        self.state = State::Ended;
        Step::Done(verdict)
    }

    fn time_out(&mut self) -> Step {
        let reason = format!("time ran out: {}", self.reason);
        self.end(match self.unresolved {
            Some(_) => Verdict::Unknown { reason },
            None => Verdict::NotApplied { reason },
        })
    }

    fn pause(&mut self, now: Time, reason: &str, rng: &mut impl Rng) -> Step {
        reason.clone_into(&mut self.reason);
        if now.has_reached(self.deadline) {
            return self.time_out();
        }
        self.state = State::Pausing;
        let doubled = FIRST_PAUSE.times(1 << self.pauses.min(5));
        let longest = doubled.min(MAX_PAUSE).as_micros();
        self.pauses += 1;
        let pause = Span::from_micros(rng.random_range(longest / 2..=longest));
        Step::Wait((now + pause).min(self.deadline))
    }
}

//! Queries for the outcome of an edit by its id, through any daemon.

use keyvalue::{Op, Outcome, Reply, Request, Txn};
use rand::{Rng, RngExt};
use types::prelude::*;

use crate::edit::exclusion::is_ruled_out;
use crate::edit::snapshot::Snapshot;
use crate::edit::{EditContext, Step, Verdict, base_revision};
use crate::head::{Change, Keys, void_name};
use crate::record::Record;

/// Shortest pause between attempts; each is chosen at random.
const MIN_PAUSE: Span = Span::from_millis(20);

/// Longest pause between attempts.
const MAX_PAUSE: Span = Span::from_millis(200);

/// A query for the outcome of an edit.
///
/// An edit that is not found is voided before "not applied" is reported: a void marker with its
/// id is written together with the head. This changes the head's mod revision, so a transaction
/// already sent cannot take effect, and keeps a paused daemon from retrying the edit.
#[derive(Debug, Clone)]
pub struct Query {
    id: EditId,
    name: Option<EntryName>,
    author: OperatorName,
    at: WallTime,
    keys: Keys,
    deadline: Time,
    /// Why the last attempt did not end the query, for the verdict at the deadline.
    reason: String,
}

impl Query {
    /// Creates a query that has to end by `deadline`. The entry's name, if known, allows a verdict
    /// on older edits. `asker` and `at` are stored in the void marker for information only.
    #[must_use]
    pub fn new(
        id: EditId,
        name: Option<EntryName>,
        (asker, at): (OperatorName, WallTime),
        keys: Keys,
        deadline: Time,
    ) -> Self {
        Self {
            id,
            name,
            author: asker,
            at,
            keys,
            deadline,
            reason: "not begun".to_owned(),
        }
    }

    /// Starts the query or continues it after a wait.
    pub fn resume(&mut self, now: Time) -> Step {
        if now.has_reached(self.deadline) {
            let reason = format!("time ran out: {}", self.reason);
            return Step::Done(Verdict::Unknown { reason });
        }
        Step::Call(Request::Txn(Txn {
            success: self.read_ops(),
            ..Txn::default()
        }))
    }

    /// Handles the outcome of the last call.
    pub fn on_outcome(
        &mut self,
        now: Time,
        outcome: Outcome,
        cx: EditContext<'_>,
        rng: &mut impl Rng,
    ) -> Step {
        let reply = match outcome {
            Ok(answer) => answer.reply,
            Err(e) => return self.pause(now, e.to_string(), rng),
        };
        let Reply::Txn(reply) = reply else {
            return self.pause(
                now,
                "the store's reply does not fit the call".to_owned(),
                rng,
            );
        };
        // Only the write that voids the edit has no reads in its reply.
        if reply.succeeded && !reply.replies.iter().any(is_range) {
            return self.resume(now);
        }
        match Snapshot::parse(&self.keys, &reply) {
            Ok(snapshot) => self.on_snapshot(now, &snapshot, cx, rng),
            Err(e) => self.pause(now, e.to_string(), rng),
        }
    }

    fn on_snapshot(
        &mut self,
        now: Time,
        snapshot: &Snapshot,
        cx: EditContext<'_>,
        rng: &mut impl Rng,
    ) -> Step {
        let head = &snapshot.head.head;
        let catalogue = cx.catalogue;
        let found = snapshot.revision_of(self.id);
        if let Some(revision) = found.or_else(|| catalogue.revision_of(self.id)) {
            return Step::Done(Verdict::Applied { revision });
        }
        if let Some(reason) = cx.reason_to_wait(head.revision) {
            return self.pause(now, reason.to_owned(), rng);
        }
        if snapshot.held(&void_name(self.id)).is_some() {
            let reason = "it was given up and can never land".to_owned();
            return Step::Done(Verdict::NotApplied { reason });
        }
        let first = base_revision(self.id, head.revision).next();
        if !is_ruled_out(snapshot, catalogue, self.name.as_ref(), first, self.id) {
            let reason = "too many edits followed to tell".to_owned();
            return Step::Done(Verdict::Unknown { reason });
        }
        self.void_edit(snapshot)
    }

    /// Writes the void marker that keeps the edit from ever taking effect.
    fn void_edit(&self, snapshot: &Snapshot) -> Step {
        let revision = snapshot.head.head.revision.next();
        // The marker needs an id other than the edit's own, or it would be mistaken for the edit.
        let edit_id = EditId(!self.id.0);
        let name = void_name(self.id);
        let record = Record {
            revision,
            edit_id,
            author: self.author.clone(),
            at: self.at,
            entry: None,
            history: Vec::new(),
        };
        let json = record.to_json();
        let change = Change {
            revision,
            name: name.clone(),
            edit_id,
        };
        Step::Call(Request::Txn(Txn {
            compare: vec![self.keys.compare_head(snapshot.head.mod_revision)],
            success: vec![
                self.keys.put_entry(&name, json),
                self.keys.put_head(&snapshot.head.head.after(change)),
            ],
            failure: self.read_ops(),
        }))
    }

    fn read_ops(&self) -> Vec<Op> {
        let void = void_name(self.id);
        self.keys.read_ops(self.name.iter().chain([&void]))
    }

    fn pause(&mut self, now: Time, reason: String, rng: &mut impl Rng) -> Step {
        self.reason = reason;
        let pause = rng.random_range(MIN_PAUSE.as_micros()..=MAX_PAUSE.as_micros());
        Step::Wait((now + Span::from_micros(pause)).min(self.deadline))
    }
}

fn is_range(reply: &keyvalue::OpReply) -> bool {
    matches!(reply, keyvalue::OpReply::Range(_))
}

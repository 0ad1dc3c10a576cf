//! What became of an edit, asked by its id through any daemon.

use keyvalue::{Op, Outcome, Reply, Request, Txn};
use rand::{Rng, RngExt};
use types::prelude::*;

use crate::edit::exclusion::all_are_others;
use crate::edit::snapshot::Reading;
use crate::edit::{Known, Step, Verdict, base_of};
use crate::head::{Change, Keys, void_name};
use crate::record::Record;

const MIN_PAUSE: Span = Span::from_millis(20);
const MAX_PAUSE: Span = Span::from_millis(200);

/// A question about an edit.
///
/// An edit that is not found is given up for good before "not applied" is said: a marker
/// of its id is written with the head, which moves the head's last write on (so a
/// transaction already sent cannot land) and tells a maker that is paused not to try again.
#[derive(Debug, Clone)]
pub struct Query {
    id: EditId,
    name: Option<EntryName>,
    author: OperatorName,
    at: WallTime,
    keys: Keys,
    deadline: Time,
    reason: String,
}

impl Query {
    /// Asks for an edit; the entry's name, where known, lets older edits be decided.
    /// `asker` and `at` go into the marker, for people.
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

    /// Begins, or goes on after a wait.
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

    /// Takes the outcome of the last call.
    pub fn on_outcome(
        &mut self,
        now: Time,
        outcome: Outcome,
        known: Known<'_>,
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
        // Only the write that gives the edit up has no reads in its reply.
        if reply.succeeded && !reply.replies.iter().any(is_range) {
            return self.resume(now);
        }
        match Reading::parse(&self.keys, &reply) {
            Ok(reading) => self.on_reading(now, &reading, known, rng),
            Err(e) => self.pause(now, e.to_string(), rng),
        }
    }

    fn on_reading(
        &mut self,
        now: Time,
        reading: &Reading,
        known: Known<'_>,
        rng: &mut impl Rng,
    ) -> Step {
        let head = &reading.head.head;
        let catalogue = known.catalogue;
        let found = reading.revision_of(self.id);
        if let Some(revision) = found.or_else(|| catalogue.revision_of(self.id)) {
            return Step::Done(Verdict::Applied { revision });
        }
        if let Some(reason) = known.cannot_judge(head.revision) {
            return self.pause(now, reason.to_owned(), rng);
        }
        if reading.held(&void_name(self.id)).is_some() {
            let reason = "it was given up and can never land".to_owned();
            return Step::Done(Verdict::NotApplied { reason });
        }
        let first = base_of(self.id, head.revision).next();
        if !all_are_others(reading, catalogue, self.name.as_ref(), first, self.id) {
            let reason = "too many edits followed to tell".to_owned();
            return Step::Done(Verdict::Unknown { reason });
        }
        self.give_up(reading)
    }

    /// Marks the edit as one that may never land.
    fn give_up(&self, reading: &Reading) -> Step {
        let revision = reading.head.head.revision.next();
        // Another id than the edit's own: a marker must not pass for the edit.
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
            compare: vec![self.keys.compare_head(reading.head.at)],
            success: vec![
                self.keys.put_entry(&name, json),
                self.keys.put_head(&reading.head.head.after(change)),
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

//! What became of an edit, asked by its id through any daemon.

use keyvalue::{Outcome, Reply, Request, Txn};
use rand::{Rng, RngExt};
use types::prelude::*;

use crate::edit::accounting::all_are_others;
use crate::edit::reading::Reading;
use crate::edit::{Known, Step, Verdict, base_of};
use crate::head::Keys;

const MIN_PAUSE: Span = Span::from_millis(20);
const MAX_PAUSE: Span = Span::from_millis(200);

/// A question about an edit.
///
/// An edit that is not found is given up for good before "not applied" is said: its id
/// goes into the head's list, which moves the head's last write on (so a transaction
/// already sent cannot land) and tells a maker that is paused not to try again.
#[derive(Debug, Clone)]
pub struct Query {
    id: EditId,
    name: Option<EntryName>,
    keys: Keys,
    deadline: Time,
    reason: String,
}

impl Query {
    /// Asks for an edit; the entry's name, where known, lets older edits be decided.
    #[must_use]
    pub fn new(id: EditId, name: Option<EntryName>, keys: Keys, deadline: Time) -> Self {
        Self {
            id,
            name,
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
        Step::Call(Request::Txn(self.keys.read(&self.name)))
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
        match known.fleet {
            None => return self.pause(now, "no other daemon is in touch".to_owned(), rng),
            // The edit may be among those that a restored store lost.
            Some(fleet) if head.revision < fleet.max(catalogue.highest()) => {
                return self.pause(now, "the store is behind the daemons".to_owned(), rng);
            }
            Some(_) => {}
        }
        if head.void.contains(&self.id) {
            let reason = "it was given up and can never land".to_owned();
            return Step::Done(Verdict::NotApplied { reason });
        }
        let first = base_of(self.id, head.revision).next();
        if !all_are_others(reading, catalogue, self.name.as_ref(), first, self.id) {
            let reason = "too many edits followed to tell".to_owned();
            return Step::Done(Verdict::Unknown { reason });
        }
        Step::Call(Request::Txn(Txn {
            compare: vec![self.keys.compare_head(reading.head.at)],
            success: vec![self.keys.put_head(&head.with_void(self.id))],
            failure: self.keys.read_ops(&self.name),
        }))
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

//! Queue of a daemon's edits and queries, of which one is processed at a time.
//!
//! Concurrent edits of one daemon would only conflict with one another over the head.

use std::collections::VecDeque;

use keyvalue::{Outcome, Request};
use rand::Rng;
use types::prelude::*;

use crate::edit::{Edit, EditContext, Query, Step, Verdict};
use crate::record::EncodedRecord;

/// Largest number of queued tasks, the one in progress included; further ones are refused.
pub const MAX_WAITING: usize = 256;

/// Identifies a task to the caller.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Ticket(pub u64);

/// An edit or a query.
#[derive(Debug, Clone)]
pub enum Task {
    /// Apply an edit.
    Edit(Box<Edit>),
    /// Determine the outcome of an edit.
    Query(Query),
}

/// What the editor asks of its caller.
#[derive(Debug, Clone, PartialEq)]
pub enum Output {
    /// Make this call to the store and pass the outcome to [`Editor::on_outcome`].
    Call(Request),
    /// Report the verdict of a task that ended.
    Done(Ticket, Verdict),
}

/// A queue of tasks, processed in the order of submission.
#[derive(Debug, Default)]
pub struct Editor {
    waiting: VecDeque<(Ticket, Task)>,
    /// When the first task resumes, if it is waiting.
    due: Option<Time>,
    /// Whether a call of the first task is in flight.
    in_flight: bool,
    records_read: Vec<(EntryName, EncodedRecord)>,
}

impl Editor {
    /// Queues a task; a later tick starts it. Returns false when the queue is full.
    #[must_use]
    pub fn submit(&mut self, ticket: Ticket, task: Task) -> bool {
        if self.waiting.len() >= MAX_WAITING {
            return false;
        }
        self.waiting.push_back((ticket, task));
        true
    }

    /// Returns the number of tasks queued, the one in progress included.
    #[must_use]
    pub fn len(&self) -> usize {
        self.waiting.len()
    }

    /// Whether no task is queued.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }

    /// Takes the records that edits have read or written, for the catalogue.
    pub fn take_learned(&mut self) -> Vec<(EntryName, EncodedRecord)> {
        std::mem::take(&mut self.records_read)
    }

    /// Starts or resumes the first task when it is due.
    pub fn tick(&mut self, now: Time) -> Vec<Output> {
        let is_due = self.due.is_none_or(|due| now.has_reached(due));
        if self.in_flight || !is_due {
            return Vec::new();
        }
        let mut outputs = Vec::new();
        self.resume_first(now, &mut outputs);
        outputs
    }

    /// Handles the outcome of the call in flight.
    pub fn on_outcome(
        &mut self,
        now: Time,
        outcome: Outcome,
        cx: EditContext<'_>,
        rng: &mut impl Rng,
    ) -> Vec<Output> {
        self.in_flight = false;
        let mut outputs = Vec::new();
        let Some((ticket, task)) = self.waiting.front_mut() else {
            return outputs;
        };
        let ticket = *ticket;
        let step = match task {
            Task::Edit(edit) => {
                let step = edit.on_outcome(now, outcome, cx, rng);
                self.records_read.extend(edit.take_learned());
                step
            }
            Task::Query(query) => query.on_outcome(now, outcome, cx, rng),
        };
        if self.handle_step(ticket, step, &mut outputs) {
            self.resume_first(now, &mut outputs);
        }
        outputs
    }

    /// Resumes the first task, and the following ones as long as each ends immediately.
    fn resume_first(&mut self, now: Time, outputs: &mut Vec<Output>) {
        while let Some((ticket, task)) = self.waiting.front_mut() {
            let ticket = *ticket;
            let step = match task {
                Task::Edit(edit) => edit.resume(now),
                Task::Query(query) => query.resume(now),
            };
            if !self.handle_step(ticket, step, outputs) {
                return;
            }
        }
    }

    /// Carries out a step of the first task; returns whether the task ended.
    fn handle_step(&mut self, ticket: Ticket, step: Step, outputs: &mut Vec<Output>) -> bool {
        self.due = None;
        match step {
            Step::Call(req) => {
                self.in_flight = true;
                outputs.push(Output::Call(req));
                false
            }
            Step::Wait(until) => {
                self.due = Some(until);
                false
            }
            Step::Done(verdict) => {
                self.waiting.pop_front();
                outputs.push(Output::Done(ticket, verdict));
                true
            }
        }
    }
}

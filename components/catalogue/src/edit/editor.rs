//! The edits and questions that a daemon was given, one under way at a time.
//!
//! Edits of one daemon would only contend with one another for the head.

use std::collections::VecDeque;

use keyvalue::{Outcome, Request};
use rand::Rng;
use types::prelude::*;

use crate::edit::{Edit, Known, Query, Step, Verdict};
use crate::record::Held;

/// Most tasks that wait; more are refused.
pub const MAX_WAITING: usize = 256;

/// Tells the caller's tasks apart.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Ticket(pub u64);

/// An edit or a question.
#[derive(Debug, Clone)]
pub enum Task {
    /// Apply.
    Edit(Box<Edit>),
    /// Tell.
    Query(Query),
}

/// What a step of the editor asks for.
#[derive(Debug, Clone, PartialEq)]
pub enum Output {
    /// Make this call of the store and bring back its outcome.
    Call(Request),
    /// A task ended.
    Done(Ticket, Verdict),
}

/// Tasks in the order in which they came.
#[derive(Debug, Default)]
pub struct Editor {
    waiting: VecDeque<(Ticket, Task)>,
    /// When the first task goes on; nothing while its call is under way.
    due: Option<Time>,
    under_way: bool,
    learned: Vec<(EntryName, Held)>,
}

impl Editor {
    /// Adds a task, to begin at the next tick; false when too many wait already.
    #[must_use]
    pub fn submit(&mut self, ticket: Ticket, task: Task) -> bool {
        if self.waiting.len() >= MAX_WAITING {
            return false;
        }
        self.waiting.push_back((ticket, task));
        true
    }

    /// Tasks that wait or are under way.
    #[must_use]
    pub fn len(&self) -> usize {
        self.waiting.len()
    }

    /// True without tasks.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }

    /// Records read on the way, for the catalogue to take.
    pub fn take_learned(&mut self) -> Vec<(EntryName, Held)> {
        std::mem::take(&mut self.learned)
    }

    /// Begins or goes on with the first task when it is due.
    pub fn tick(&mut self, now: Time) -> Vec<Output> {
        let is_due = self.due.is_none_or(|due| now.has_reached(due));
        if self.under_way || !is_due {
            return Vec::new();
        }
        let mut outputs = Vec::new();
        self.go_on(now, &mut outputs);
        outputs
    }

    /// Takes the outcome of the call under way.
    pub fn on_outcome(
        &mut self,
        now: Time,
        outcome: Outcome,
        known: Known<'_>,
        rng: &mut impl Rng,
    ) -> Vec<Output> {
        self.under_way = false;
        let mut outputs = Vec::new();
        let Some((ticket, task)) = self.waiting.front_mut() else {
            return outputs;
        };
        let ticket = *ticket;
        let step = match task {
            Task::Edit(edit) => {
                let step = edit.on_outcome(now, outcome, known, rng);
                self.learned.extend(edit.take_learned());
                step
            }
            Task::Query(query) => query.on_outcome(now, outcome, known, rng),
        };
        if self.take_step(ticket, step, &mut outputs) {
            self.go_on(now, &mut outputs);
        }
        outputs
    }

    /// Resumes the first task, and the next ones while they end at once.
    fn go_on(&mut self, now: Time, outputs: &mut Vec<Output>) {
        while let Some((ticket, task)) = self.waiting.front_mut() {
            let ticket = *ticket;
            let step = match task {
                Task::Edit(edit) => edit.resume(now),
                Task::Query(query) => query.resume(now),
            };
            if !self.take_step(ticket, step, outputs) {
                return;
            }
        }
    }

    /// True when the task ended.
    fn take_step(&mut self, ticket: Ticket, step: Step, outputs: &mut Vec<Output>) -> bool {
        self.due = None;
        match step {
            Step::Call(req) => {
                self.under_way = true;
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

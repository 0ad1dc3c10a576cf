//! Which requests run, wait and get a token: continuous batching as a pure table.

use std::collections::BTreeMap;

use types::prelude::*;

/// Steps made up for at once when the thread was late.
const MAX_STEPS: u32 = 64;

/// A request's number within the engine.
pub(super) type JobId = u64;

/// What the table must know of a request.
#[derive(Debug, Clone, Copy)]
pub(super) struct Job {
    pub(super) id: JobId,
    /// Lower goes first.
    pub(super) priority: i64,
    /// Waits no longer than this.
    pub(super) deadline: Time,
    /// From its slot to its first token.
    pub(super) prefill: Span,
    /// Tokens to generate.
    pub(super) tokens: u32,
    /// Gives no token after so many.
    pub(super) stall_after: Option<u32>,
}

#[derive(Debug)]
struct Running {
    job: Job,
    ready: Time,
    done: u32,
}

impl Running {
    fn is_stalled(&self) -> bool {
        self.job.stall_after.is_some_and(|n| self.done >= n)
    }
}

/// Something that happened to a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Event {
    /// It has a slot.
    Started(JobId),
    /// It got a token.
    Token(JobId),
    /// It waited past its deadline and is gone.
    Expired(JobId),
}

/// The requests of an engine.
#[derive(Debug, Default)]
pub(super) struct Batch {
    waiting: BTreeMap<(i64, JobId), Job>,
    running: BTreeMap<JobId, Running>,
    next_step: Time,
}

/// How fast a batch goes.
#[derive(Debug, Clone, Copy)]
pub(super) struct Pace {
    pub(super) slots: usize,
    pub(super) step: Span,
    pub(super) step_per_running: Span,
}

impl Batch {
    pub(super) fn running(&self) -> usize {
        self.running.len()
    }

    pub(super) fn waiting(&self) -> usize {
        self.waiting.len()
    }

    pub(super) fn submit(&mut self, job: Job) {
        self.waiting.insert((job.priority, job.id), job);
    }

    /// Forgets a request; whether it was there.
    pub(super) fn cancel(&mut self, id: JobId) -> bool {
        let waiting = self.waiting.len();
        self.waiting.retain(|(_, waiting), _| *waiting != id);
        self.running.remove(&id).is_some() || self.waiting.len() < waiting
    }

    /// Gives slots and tokens that are due.
    pub(super) fn tick(&mut self, now: Time, pace: Pace) -> Vec<Event> {
        let mut events = Vec::new();
        self.expire(now, &mut events);
        self.fill(now, pace, &mut events);
        let mut steps = 0;
        while !self.running.is_empty() && now.has_reached(self.next_step) && steps < MAX_STEPS {
            self.step(now, &mut events);
            self.fill(now, pace, &mut events);
            self.next_step = self.next_step + self.step_time(pace);
            steps += 1;
        }
        if steps == MAX_STEPS {
            self.next_step = self.next_step.max(now);
        }
        events
    }

    /// When the next tick is due; nothing while no request is there.
    pub(super) fn next_tick(&self) -> Option<Time> {
        let deadline = self.waiting.values().map(|job| job.deadline).min();
        // Not for a request that stalled or still reads its prompt: the thread would spin.
        let going = self
            .running
            .values()
            .filter(|running| !running.is_stalled());
        let step = going.map(|running| running.ready.max(self.next_step));
        deadline.into_iter().chain(step.min()).min()
    }

    fn step_time(&self, pace: Pace) -> Span {
        pace.step + pace.step_per_running.times(self.running.len() as u64)
    }

    fn expire(&mut self, now: Time, events: &mut Vec<Event>) {
        let due = self.waiting.values().filter(|job| job.deadline <= now);
        let due = due.map(|job| job.id).collect::<Vec<_>>();
        for id in due {
            self.cancel(id);
            events.push(Event::Expired(id));
        }
    }

    fn fill(&mut self, now: Time, pace: Pace, events: &mut Vec<Event>) {
        while self.running.len() < pace.slots {
            let Some((_, job)) = self.waiting.pop_first() else {
                return;
            };
            if self.running.is_empty() {
                self.next_step = self.next_step.max(now + pace.step + pace.step_per_running);
            }
            let ready = now + job.prefill;
            let done = 0;
            self.running.insert(job.id, Running { job, ready, done });
            events.push(Event::Started(job.id));
        }
    }

    fn step(&mut self, now: Time, events: &mut Vec<Event>) {
        let mut finished = Vec::new();
        for (id, running) in &mut self.running {
            if running.is_stalled() || !now.has_reached(running.ready) {
                continue;
            }
            running.done += 1;
            events.push(Event::Token(*id));
            if running.done >= running.job.tokens {
                finished.push(*id);
            }
        }
        for id in finished {
            self.running.remove(&id);
        }
    }
}

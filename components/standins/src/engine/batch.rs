//! Continuous batching without I/O: decides which requests run, wait and get a token.

use std::collections::BTreeMap;

use types::prelude::*;

/// Decode steps that one tick may catch up on when the thread was late; the rest are skipped.
const MAX_STEPS_PER_TICK: u32 = 64;

/// Identifies a request within one engine.
pub(super) type JobId = u64;

/// The scheduling parameters of a request.
#[derive(Debug, Clone, Copy)]
pub(super) struct Job {
    pub(super) id: JobId,
    /// Requests with a lower value get a slot first.
    pub(super) priority: i64,
    /// The request expires if it has no slot by this time.
    pub(super) deadline: Time,
    /// Time between getting a slot and the first token.
    pub(super) prefill: Span,
    /// Tokens to generate.
    pub(super) tokens: u32,
    /// Number of tokens after which the request stalls.
    pub(super) stall_after: Option<u32>,
}

#[derive(Debug)]
struct RunningJob {
    job: Job,
    first_token_at: Time,
    tokens_done: u32,
}

impl RunningJob {
    fn is_stalled(&self) -> bool {
        self.job.stall_after.is_some_and(|n| self.tokens_done >= n)
    }
}

/// A change in the state of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Event {
    /// The request got a slot.
    Started(JobId),
    /// The request got a token.
    Token(JobId),
    /// The request waited past its deadline and was removed.
    Expired(JobId),
}

/// The waiting and running requests of an engine.
#[derive(Debug, Default)]
pub(super) struct Batch {
    waiting: BTreeMap<(i64, JobId), Job>,
    running: BTreeMap<JobId, RunningJob>,
    next_step: Time,
}

/// The slot limit and step times of a batch.
#[derive(Debug, Clone, Copy)]
pub(super) struct BatchPace {
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

    /// Removes a request and returns whether it was present.
    pub(super) fn cancel(&mut self, id: JobId) -> bool {
        let waiting = self.waiting.len();
        self.waiting.retain(|(_, waiting), _| *waiting != id);
        self.running.remove(&id).is_some() || self.waiting.len() < waiting
    }

    /// Expires waiting requests, fills free slots and runs the decode steps that are due.
    pub(super) fn tick(&mut self, now: Time, pace: BatchPace) -> Vec<Event> {
        let mut events = Vec::new();
        self.expire_waiting(now, &mut events);
        self.fill_slots(now, pace, &mut events);
        let mut steps = 0;
        while !self.running.is_empty()
            && now.has_reached(self.next_step)
            && steps < MAX_STEPS_PER_TICK
        {
            self.step(now, &mut events);
            self.fill_slots(now, pace, &mut events);
            self.next_step = self.next_step + self.step_time(pace);
            steps += 1;
        }
        if steps == MAX_STEPS_PER_TICK {
            self.next_step = self.next_step.max(now);
        }
        events
    }

    /// Returns the time of the next tick, or `None` while there is nothing to wait for.
    pub(super) fn next_tick(&self) -> Option<Time> {
        let deadline = self.waiting.values().map(|job| job.deadline).min();
        // Stalled requests are left out and prefilling ones count from when they are ready, or
        // the thread would spin.
        let generating = self
            .running
            .values()
            .filter(|running| !running.is_stalled());
        let step = generating.map(|running| running.first_token_at.max(self.next_step));
        deadline.into_iter().chain(step.min()).min()
    }

    fn step_time(&self, pace: BatchPace) -> Span {
        pace.step + pace.step_per_running.times(self.running.len() as u64)
    }

    fn expire_waiting(&mut self, now: Time, events: &mut Vec<Event>) {
        let due = self.waiting.values().filter(|job| job.deadline <= now);
        let due = due.map(|job| job.id).collect::<Vec<_>>();
        for id in due {
            self.cancel(id);
            events.push(Event::Expired(id));
        }
    }

    fn fill_slots(&mut self, now: Time, pace: BatchPace, events: &mut Vec<Event>) {
        while self.running.len() < pace.slots {
            let Some((_, job)) = self.waiting.pop_first() else {
                return;
            };
            if self.running.is_empty() {
                self.next_step = self.next_step.max(now + pace.step + pace.step_per_running);
            }
            let first_token_at = now + job.prefill;
            let tokens_done = 0;
            self.running.insert(
                job.id,
                RunningJob {
                    job,
                    first_token_at,
                    tokens_done,
                },
            );
            events.push(Event::Started(job.id));
        }
    }

    fn step(&mut self, now: Time, events: &mut Vec<Event>) {
        let mut finished = Vec::new();
        for (id, running) in &mut self.running {
            if running.is_stalled() || !now.has_reached(running.first_token_at) {
                continue;
            }
            running.tokens_done += 1;
            events.push(Event::Token(*id));
            if running.tokens_done >= running.job.tokens {
                finished.push(*id);
            }
        }
        for id in finished {
            self.running.remove(&id);
        }
    }
}

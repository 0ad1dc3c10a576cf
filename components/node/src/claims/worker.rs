//! The thread behind [`super::Claims`].

use std::collections::{BTreeMap, VecDeque};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use keyvalue::{CallError, Outcome, Request};
use requests::claim::{Batcher, ClaimLease, LeaseSlots, Settle, SettleStep, Ticket, Windows};
use store::Store;
use types::prelude::*;

use super::Job;
use crate::shared::lock;

/// The lease is looked after at least so often.
const TICK: Duration = Duration::from_millis(200);
/// Batches that are not full begin so far apart: nine daemons make at most 180 such calls a
/// second.
const GAP: Span = Span::from_millis(50);
/// Pause before settlements that the store did not take are tried again.
const SETTLE_AGAIN: Span = Span::from_secs(1);
/// Settlements that wait out an outage; the oldest is left open when there are more.
pub(super) const MAX_LATER: usize = 4096;
/// At the end, settlements are tried for so long.
const LAST_TRIES: Span = Span::from_secs(3);

enum Waiter {
    Traffic(flume::Sender<Outcome>),
    Settle(Settle),
}

pub(super) struct Keeper {
    store: Arc<dyn Store>,
    clock: Clock,
    slots: LeaseSlots,
    lease: Arc<Mutex<Option<ClaimLease>>>,
    batcher: Batcher,
    waiting: BTreeMap<Ticket, Waiter>,
    next_ticket: u64,
    later: VecDeque<Settle>,
    later_count: Arc<AtomicUsize>,
    later_at: Time,
    is_stopping: bool,
}

impl Keeper {
    pub(super) fn new(
        store: Arc<dyn Store>,
        clock: Clock,
        windows: Windows,
        lease: Arc<Mutex<Option<ClaimLease>>>,
        later_count: Arc<AtomicUsize>,
    ) -> Self {
        Self {
            store,
            clock,
            slots: LeaseSlots::new(windows),
            lease,
            batcher: Batcher::new(GAP),
            waiting: BTreeMap::new(),
            next_ticket: 0,
            later: VecDeque::new(),
            later_count,
            later_at: Time::ZERO,
            is_stopping: false,
        }
    }

    pub(super) fn run(mut self, jobs: &flume::Receiver<Job>) {
        while !self.is_stopping {
            self.keep_lease();
            match jobs.recv_timeout(self.wait()) {
                Ok(job) => self.take(job),
                Err(flume::RecvTimeoutError::Timeout) => {}
                Err(flume::RecvTimeoutError::Disconnected) => break,
            }
            self.settle_later();
            self.call_all(jobs);
            self.later_count.store(self.later.len(), Ordering::Relaxed);
        }
        self.finish(jobs);
    }

    fn wait(&self) -> Duration {
        let due = self.batcher.due_at();
        let left = due.map(|due| self.clock.now().until(due).to_duration());
        left.map_or(TICK, |left| left.min(TICK))
    }

    fn take(&mut self, job: Job) {
        match job {
            Job::Call(request, tx) => self.push(request, Waiter::Traffic(tx)),
            Job::Settle(settle, request) => self.push(request, Waiter::Settle(settle)),
            Job::Forget(id) => {
                self.slots.forget(id);
                self.publish_lease();
            }
            Job::Stop => self.is_stopping = true,
        }
    }

    fn push(&mut self, request: Request, waiter: Waiter) {
        let ticket = Ticket(self.next_ticket);
        self.next_ticket += 1;
        match self.batcher.push(ticket, request) {
            Ok(()) => {
                self.waiting.insert(ticket, waiter);
            }
            Err(error) => self.hand_on(waiter, Err(CallError::NotSent(error.to_string()))),
        }
    }

    /// Makes batches until nothing waits; what comes meanwhile goes into the next.
    fn call_all(&mut self, jobs: &flume::Receiver<Job>) {
        loop {
            for job in jobs.try_iter() {
                self.take(job);
            }
            let Some(call) = self.batcher.next_call(self.clock.now()) else {
                return;
            };
            let outcome = self.store.call(call);
            for (ticket, outcome) in self.batcher.on_outcome(outcome) {
                if let Some(waiter) = self.waiting.remove(&ticket) {
                    self.hand_on(waiter, outcome);
                }
            }
        }
    }

    fn hand_on(&mut self, waiter: Waiter, outcome: Outcome) {
        let mut settle = match waiter {
            Waiter::Traffic(tx) => {
                let _ = tx.send(outcome);
                return;
            }
            Waiter::Settle(settle) => settle,
        };
        match settle.on_outcome(outcome) {
            SettleStep::Call(next) => self.push(next, Waiter::Settle(settle)),
            SettleStep::Later => self.put_off(settle),
            SettleStep::Done => {}
            SettleStep::Superseded => {
                tracing::warn!("claims: a claim lapsed before its outcome was recorded");
            }
        }
    }

    fn put_off(&mut self, settle: Settle) {
        if self.later.len() >= MAX_LATER {
            self.later.pop_front();
            tracing::warn!("claims: the store takes no outcomes, one is left open");
        }
        self.later.push_back(settle);
        self.later_at = self.clock.now() + SETTLE_AGAIN;
    }

    fn settle_later(&mut self) {
        if !self.clock.now().has_reached(self.later_at) {
            return;
        }
        for mut settle in std::mem::take(&mut self.later) {
            let call = settle.again();
            self.push(call, Waiter::Settle(settle));
        }
    }

    fn keep_lease(&mut self) {
        let Some((asked_at, request)) = self.slots.poll(self.clock.now()) else {
            return;
        };
        let outcome = self.store.call(request);
        if let Err(error) = &outcome {
            tracing::warn!("claims: no lease, non-idempotent work may be refused: {error}");
        }
        self.slots.on_outcome(asked_at, &outcome);
        self.publish_lease();
    }

    fn has_work(&self) -> bool {
        !self.later.is_empty() || !self.waiting.is_empty()
    }

    fn publish_lease(&self) {
        *lock(&self.lease) = self.slots.current(self.clock.now());
    }

    fn finish(&mut self, jobs: &flume::Receiver<Job>) {
        let until = self.clock.now() + LAST_TRIES;
        self.call_all(jobs);
        while self.has_work() && !self.clock.now().has_reached(until) {
            std::thread::sleep(self.wait());
            self.settle_later();
            self.call_all(jobs);
        }
        if self.has_work() {
            let left = self.later.len() + self.waiting.len();
            tracing::warn!("claims: {left} outcomes are not recorded, repeats are told unknown");
        }
    }
}

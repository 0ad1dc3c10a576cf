//! The thread behind [`super::Claims`]: batches calls of the store and keeps the claims' lease.

use std::collections::{BTreeMap, VecDeque};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use keyvalue::{CallError, Outcome, Request};
use requests::claim::{Batcher, ClaimLease, LeaseSlots, SettleStep, Settlement, Ticket, Windows};
use store::Store;
use types::prelude::*;

use super::Job;
use crate::shared::lock;

/// Longest interval between two checks of the lease.
const LEASE_CHECK_INTERVAL: Duration = Duration::from_millis(200);
/// Interval between the starts of batches that are not full: nine daemons make at most 180 such
/// calls a second.
const BATCH_INTERVAL: Span = Span::from_millis(50);
/// Pause before settlements that the store did not take are retried.
const SETTLE_RETRY_PAUSE: Span = Span::from_secs(1);
/// Most settlements deferred during an outage. Beyond it the oldest is dropped, and its claim
/// stays open.
pub(super) const MAX_DEFERRED: usize = 4096;
/// How long settlements are retried once the thread is to stop.
const STOP_TIMEOUT: Span = Span::from_secs(3);

enum Waiter {
    Traffic(flume::Sender<Outcome>),
    Settle(Settlement),
}

pub(super) struct Worker {
    store: Arc<dyn Store>,
    clock: Clock,
    slots: LeaseSlots,
    lease: Arc<Mutex<Option<ClaimLease>>>,
    batcher: Batcher,
    waiting: BTreeMap<Ticket, Waiter>,
    next_ticket: u64,
    deferred: VecDeque<Settlement>,
    deferred_count: Arc<AtomicUsize>,
    retry_at: Time,
    is_stopping: bool,
}

impl Worker {
    pub(super) fn new(
        store: Arc<dyn Store>,
        clock: Clock,
        windows: Windows,
        lease: Arc<Mutex<Option<ClaimLease>>>,
        deferred_count: Arc<AtomicUsize>,
    ) -> Self {
        Self {
            store,
            clock,
            slots: LeaseSlots::new(windows),
            lease,
            batcher: Batcher::new(BATCH_INTERVAL),
            waiting: BTreeMap::new(),
            next_ticket: 0,
            deferred: VecDeque::new(),
            deferred_count,
            retry_at: Time::ZERO,
            is_stopping: false,
        }
    }

    pub(super) fn run(mut self, jobs: &flume::Receiver<Job>) {
        while !self.is_stopping {
            self.keep_lease();
            match jobs.recv_timeout(self.next_wait()) {
                Ok(job) => self.handle(job),
                Err(flume::RecvTimeoutError::Timeout) => {}
                Err(flume::RecvTimeoutError::Disconnected) => break,
            }
            self.settle_deferred();
            self.call_all(jobs);
            self.deferred_count
                .store(self.deferred.len(), Ordering::Relaxed);
        }
        self.finish(jobs);
    }

    fn next_wait(&self) -> Duration {
        let due = self.batcher.due_at();
        let left = due.map(|due| self.clock.now().until(due).to_duration());
        left.map_or(LEASE_CHECK_INTERVAL, |left| left.min(LEASE_CHECK_INTERVAL))
    }

    fn handle(&mut self, job: Job) {
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
            Err(error) => self.deliver(waiter, Err(CallError::NotSent(error.to_string()))),
        }
    }

    /// Calls the store batch by batch until no batch is due; jobs that come in the meantime go into
    /// the next one.
    fn call_all(&mut self, jobs: &flume::Receiver<Job>) {
        loop {
            for job in jobs.try_iter() {
                self.handle(job);
            }
            let Some(call) = self.batcher.next_call(self.clock.now()) else {
                return;
            };
            let outcome = self.store.call(call);
            for (ticket, outcome) in self.batcher.on_outcome(outcome) {
                if let Some(waiter) = self.waiting.remove(&ticket) {
                    self.deliver(waiter, outcome);
                }
            }
        }
    }

    fn deliver(&mut self, waiter: Waiter, outcome: Outcome) {
        let mut settle = match waiter {
            Waiter::Traffic(tx) => {
                let _ = tx.send(outcome);
                return;
            }
            Waiter::Settle(settle) => settle,
        };
        match settle.on_outcome(outcome) {
            SettleStep::Call(next) => self.push(next, Waiter::Settle(settle)),
            SettleStep::RetryLater => self.defer(settle),
            SettleStep::Done => {}
            SettleStep::Superseded => {
                tracing::warn!("claims: a claim lapsed before its outcome was recorded");
            }
        }
    }

    fn defer(&mut self, settle: Settlement) {
        if self.deferred.len() >= MAX_DEFERRED {
            self.deferred.pop_front();
            tracing::warn!("claims: too many outcomes wait for the store, one is left open");
        }
        self.deferred.push_back(settle);
        self.retry_at = self.clock.now() + SETTLE_RETRY_PAUSE;
    }

    fn settle_deferred(&mut self) {
        if !self.clock.now().has_reached(self.retry_at) {
            return;
        }
        for mut settle in std::mem::take(&mut self.deferred) {
            let call = settle.restart();
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
        !self.deferred.is_empty() || !self.waiting.is_empty()
    }

    fn publish_lease(&self) {
        *lock(&self.lease) = self.slots.current(self.clock.now());
    }

    fn finish(&mut self, jobs: &flume::Receiver<Job>) {
        let until = self.clock.now() + STOP_TIMEOUT;
        self.call_all(jobs);
        while self.has_work() && !self.clock.now().has_reached(until) {
            std::thread::sleep(self.next_wait());
            self.settle_deferred();
            self.call_all(jobs);
        }
        if self.has_work() {
            let left = self.deferred.len() + self.waiting.len();
            tracing::warn!("claims: {left} outcomes are not recorded, retries are told unknown");
        }
    }
}

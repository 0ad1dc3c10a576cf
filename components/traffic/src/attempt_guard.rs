//! Accounting for one attempt at an upstream, from its start to its end.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::sync::Arc;

use dispatch::{AnswerStart, ArmCounts, Choice, Load, Ticket, UpstreamIndex, UpstreamOutcome};
use poison::{AttemptEnd, AttemptId, Contents};
use types::prelude::*;

use crate::arm::Arm;
use crate::awaited::AwaitedKey;
use crate::exchange::Request;
use crate::shared::Shared;
use crate::tunnel::client::TunnelLease;
use crate::tunnel::lease::Lease;

/// Accounts for one attempt at an upstream when dropped. Without an outcome it counts as cancelled.
pub(crate) struct AttemptGuard<T> {
    shared: Rc<Shared<T>>,
    index: UpstreamIndex,
    ticket: Ticket,
    attempt: AttemptId,
    contents: Contents,
    load: Load,
    arm: Option<Arm>,
    /// Set where the answer is evidence on a rollout.
    awaited: Option<AwaitedKey>,
    sent_at: Cell<Time>,
    /// Set where the request goes through a peer.
    tunnel: RefCell<Option<TunnelLease<T>>>,
    /// Set where the request goes by another daemon's share.
    lease: RefCell<Option<Lease>>,
    began_at: Option<Time>,
    /// Whether its silence was counted.
    is_silence_counted: Cell<bool>,
    outcome: UpstreamOutcome,
}

impl<T> AttemptGuard<T> {
    /// Counts a request that is about to be sent; `has_failed` is whether an earlier attempt of it
    /// failed.
    ///
    /// After a failure, the results of the request's further attempts are no new evidence on a
    /// version: some requests fail at every upstream, and each of their attempts would count as an
    /// independent failure.
    pub(crate) fn start(
        shared: &Rc<Shared<T>>,
        choice: &Choice,
        lease: Option<Lease>,
        request: &Request<T>,
        has_failed: bool,
    ) -> Self {
        let now = shared.now();
        let mut upstreams = shared.upstreams.borrow_mut();
        let (index, load, prefixes) = (choice.index, &choice.load, &choice.prefixes);
        let ticket = match lease {
            Some(_) => upstreams.record_leased_start(now, index, load, prefixes),
            None => upstreams.record_start(now, index, load, prefixes),
        };
        if upstreams.rate_limit(choice.index).is_some() {
            shared.metrics.limited_sends.inc();
        }
        let is_cold = upstreams.is_cold(now, choice.index);
        drop(upstreams);
        let arm = Arm::for_request(shared, choice, request, !has_failed);
        // A cold upstream is slow whatever its version.
        let evidence = arm.as_ref().filter(|arm| arm.is_evidence && !is_cold);
        let awaited = evidence.map(|arm| {
            let mut awaited = shared.awaited.borrow_mut();
            awaited.add(now, arm, choice.index, &choice.load)
        });
        let contents = request.contents.clone();
        let customer = request.customer.as_ref().map(|c| c.name.clone());
        let mut attempts = shared.attempts.borrow_mut();
        let attempt = attempts.sent(now, choice.index, contents.clone(), customer);
        drop(attempts);
        let guard = Self {
            shared: Rc::clone(shared),
            index: choice.index,
            ticket,
            attempt,
            contents,
            load: choice.load,
            arm,
            awaited,
            sent_at: Cell::new(now),
            tunnel: RefCell::default(),
            lease: RefCell::new(lease),
            began_at: None,
            is_silence_counted: Cell::default(),
            outcome: UpstreamOutcome::Cancelled,
        };
        guard.count(|counts| {
            counts.sent += 1;
            counts.out += 1;
        });
        guard
    }

    /// Notes the first output of the answer itself.
    pub(crate) fn note_first_output(&mut self, model: Option<&Arc<str>>) {
        let now = self.shared.now();
        let elapsed_ms = now.since(self.sent_at.get()).as_secs_f64() * 1_000.0;
        let mut upstreams = self.shared.upstreams.borrow_mut();
        upstreams.record_answer_start(
            now,
            &AnswerStart {
                index: self.index,
                ticket: self.ticket,
                load: &self.load,
                model,
                elapsed_ms,
            },
        );
        drop(upstreams);
        self.began_at = Some(now);
        self.note_running();
        if self.take_awaited() {
            self.count(|counts| counts.record_answer_start(elapsed_ms, &self.load));
        }
    }

    /// Notes a sign that the upstream is processing the request.
    pub(crate) fn note_running(&self) {
        let now = self.shared.now();
        let mut attempts = self.shared.attempts.borrow_mut();
        attempts.attempt_started(now, self.index, self.attempt);
    }

    /// Notes that something was read from the upstream.
    pub(crate) fn note_heard(&self) {
        let now = self.shared.now();
        let mut upstreams = self.shared.upstreams.borrow_mut();
        upstreams.record_received(now, self.index);
        if self.is_tunnelled() {
            return;
        }
        let mut paths = self.shared.paths.borrow_mut();
        if paths.lost() > 0
            && let Some(spec) = upstreams.spec(self.index)
        {
            paths.record_heard(now, self.index, &spec.service);
        }
    }

    /// Notes that the upstream has been silent for too long. The attempt goes on.
    pub(crate) fn note_silent(&self) {
        if self.is_silence_counted.replace(true) {
            return;
        }
        let now = self.shared.now();
        let mut upstreams = self.shared.upstreams.borrow_mut();
        upstreams.record_silence(now, self.index);
        drop(upstreams);
        if self.arm.as_ref().is_some_and(|arm| arm.is_evidence) {
            self.count(|counts| counts.broken += 1);
        }
    }

    /// Notes that the request goes through a peer. It is sent only now: opening the tunnel took a
    /// moment that says nothing about the upstream.
    pub(crate) fn note_tunnel(&self, tunnel: TunnelLease<T>) {
        self.sent_at.set(self.shared.now());
        self.tunnel.replace(Some(tunnel));
    }

    fn is_tunnelled(&self) -> bool {
        self.tunnel.borrow().is_some()
    }

    /// Whether the direct path to the upstream is lost, with nothing heard on it since `heard_at`.
    pub(crate) fn is_path_silent(&self, heard_at: Time) -> bool {
        let paths = self.shared.paths.borrow();
        if paths.lost() == 0 || self.is_tunnelled() {
            return false;
        }
        let upstreams = self.shared.upstreams.borrow();
        let spec = upstreams.spec(self.index);
        spec.is_some_and(|spec| {
            paths.is_silent(self.shared.now(), self.index, &spec.service, heard_at)
        })
    }

    /// Notes that the upstream rejected the request for want of room.
    pub(crate) fn note_rejected(&self) {
        let now = self.shared.now();
        let mut upstreams = self.shared.upstreams.borrow_mut();
        upstreams.count_rejection(self.index);
        match &mut *self.lease.borrow_mut() {
            Some(lease) => {
                upstreams.record_leased_rejection(now, self.index);
                lease.reject();
            }
            None => upstreams.record_rejection(now, self.index),
        }
    }

    /// When the request was sent.
    pub(crate) fn sent_at(&self) -> Time {
        self.sent_at.get()
    }

    /// How long the request has been outstanding.
    pub(crate) fn outstanding_for(&self) -> Span {
        self.shared.now().since(self.sent_at.get())
    }

    /// How long the upstream has been silent on all connections.
    pub(crate) fn upstream_silent_for(&self) -> Span {
        let now = self.shared.now();
        let upstreams = self.shared.upstreams.borrow();
        upstreams.silent_for(now, self.index, self.sent_at.get())
    }

    /// Time within which the first output can be expected: the estimate, and twice as much again
    /// for what the daemon cannot know.
    pub(crate) fn first_output_within(&self) -> Span {
        let ms = 3.0 * (self.load.wait_ms + self.load.expected_ms);
        Span::from_secs_f64(ms / 1_000.0)
    }

    /// Sets how the attempt ended; dropping the guard counts it.
    pub(crate) fn end(mut self, outcome: UpstreamOutcome) {
        self.outcome = outcome;
    }

    /// Stops waiting for the answer to begin; returns whether its start is still to be counted.
    fn take_awaited(&mut self) -> bool {
        let key = self.awaited.take();
        key.is_some_and(|key| self.shared.awaited.borrow_mut().remove(key))
    }

    fn count(&self, f: impl FnOnce(&mut ArmCounts)) {
        if let Some(arm) = &self.arm {
            arm.count(&self.shared, f);
        }
    }
}

impl<T> Drop for AttemptGuard<T> {
    fn drop(&mut self) {
        let now = self.shared.now();
        let mut upstreams = self.shared.upstreams.borrow_mut();
        if self.lease.take().is_some() {
            upstreams.record_leased_end(self.index);
        }
        upstreams.record_end(now, self.index, self.ticket, self.outcome);
        drop(upstreams);
        self.shared.attempt_ended(
            self.index,
            self.attempt,
            &self.contents,
            attempt_end(self.outcome),
        );
        self.take_awaited();
        self.count(|counts| counts.out = counts.out.saturating_sub(1));
        let Some(arm) = self.arm.take().filter(|arm| arm.is_evidence) else {
            return;
        };
        if self.is_silence_counted.get() {
            return;
        }
        match self.outcome {
            UpstreamOutcome::Good => arm.count(&self.shared, |counts| counts.good += 1),
            UpstreamOutcome::Failed => arm.count(&self.shared, |counts| counts.bad += 1),
            UpstreamOutcome::Silent => arm.count(&self.shared, |counts| counts.broken += 1),
            UpstreamOutcome::Incomplete => self.shared.note_broken_answer(arm, self.index),
            _ => {}
        }
    }
}

/// Translates an outcome into how the attempt at the upstream ended.
fn attempt_end(outcome: UpstreamOutcome) -> AttemptEnd {
    match outcome {
        UpstreamOutcome::Good => AttemptEnd::Answered,
        UpstreamOutcome::Failed => AttemptEnd::Failed,
        UpstreamOutcome::Incomplete => AttemptEnd::Broken,
        UpstreamOutcome::Silent | UpstreamOutcome::Cancelled => AttemptEnd::GivenUp,
        UpstreamOutcome::Unreachable | UpstreamOutcome::Refused | UpstreamOutcome::Replaced => {
            AttemptEnd::NotStarted
        }
    }
}

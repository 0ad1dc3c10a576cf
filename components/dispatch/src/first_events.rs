//! When a request leaves an upstream that has not started to answer.
//!
//! A second attempt helps the caller only if it can start to answer within the route's objective.
//! How long upstreams usually take to the first event is learned per service and objective, and a
//! silent upstream is left as soon as staying is the worse choice: when a new attempt has just the
//! time that nine in ten need. While upstreams are so busy that a second attempt would be late as
//! well, nothing is left early: it would only add load.

use std::collections::HashMap;
use std::sync::Arc;

use hdrhistogram::Histogram;
use types::prelude::*;

/// Share of the attempts that must start to answer within the time left for a second one.
const SECOND_IN_TIME: f64 = 0.9;
/// Share of the objective for which a request stays with an upstream at least.
const MIN_STAY: f64 = 0.6;
/// Samples below which nothing is known about a service.
const MIN_SAMPLES: u64 = 20;
/// Samples in a window; those of two windows count at most.
const WINDOW: u64 = 64;
/// Pairs of service and objective that are remembered; routes beyond leave no upstream early.
const MAX_KEYS: usize = 64;
/// Longest time that is told apart, in ms.
const MAX_MS: u64 = 60_000;

/// Recent times to the first event, in ms.
#[derive(Debug)]
struct Times {
    /// Samples of the current window, and of the one before.
    recent: Histogram<u16>,
    current: Histogram<u16>,
    /// Time within which enough of the attempts start to answer.
    usual: Option<Span>,
}

impl Times {
    fn new() -> Option<Self> {
        let current = Histogram::new_with_bounds(1, MAX_MS, 1).ok()?;
        Some(Self {
            recent: current.clone(),
            current,
            usual: None,
        })
    }

    fn record(&mut self, ms: u64) {
        let ms = ms.max(1);
        self.recent.saturating_record(ms);
        self.current.saturating_record(ms);
        if self.current.len() >= WINDOW {
            std::mem::swap(&mut self.recent, &mut self.current);
            self.current.reset();
        }
        let is_known = self.recent.len() >= MIN_SAMPLES;
        let usual = self.recent.value_at_quantile(SECOND_IN_TIME);
        self.usual = is_known.then(|| Span::from_millis(usual));
    }
}

/// An attempt that has not started to answer.
#[derive(Debug, Clone, Copy)]
pub struct SilentAttempt<'a> {
    /// Service that it was sent to.
    pub service: &'a Arc<str>,
    /// The route's objective for the first event.
    pub objective: Span,
    /// When the request arrived.
    pub arrived_at: Time,
    /// When the attempt was sent.
    pub sent_at: Time,
    /// Time in which its first event can be expected.
    pub expected: Span,
}

/// How long attempts take to the first event, by service and objective.
#[derive(Debug, Default)]
pub struct FirstEvents {
    times: HashMap<(Arc<str>, Span), Times>,
}

impl FirstEvents {
    /// Records the time that an attempt took to its first event.
    pub fn record(&mut self, service: &Arc<str>, objective: Span, elapsed: Span) {
        let key = (Arc::clone(service), objective);
        if let Some(times) = self.times.get_mut(&key) {
            times.record(elapsed.as_millis());
        } else if self.times.len() < MAX_KEYS
            && let Some(mut times) = Times::new()
        {
            times.record(elapsed.as_millis());
            self.times.insert(key, times);
        }
    }

    /// Records an attempt that was left before its first event: it would have taken the objective
    /// at least.
    pub fn record_left(&mut self, service: &Arc<str>, objective: Span, elapsed: Span) {
        self.record(service, objective, elapsed.max(objective));
    }

    /// When to leave a silent upstream for another; `None` if a second attempt would be late too, or
    /// too little is known.
    #[must_use]
    pub fn leave_at(&self, attempt: &SilentAttempt<'_>) -> Option<Time> {
        let key = (Arc::clone(attempt.service), attempt.objective);
        let usual = self.times.get(&key)?.usual?;
        let deadline = attempt.arrived_at + attempt.objective;
        let min_stay = attempt.objective.as_secs_f64() * MIN_STAY;
        let earliest = attempt.arrived_at + Span::from_secs_f64(min_stay);
        let is_overdue = attempt.sent_at + attempt.expected.max(usual);
        let leave_at = (deadline - usual).max(earliest).max(is_overdue);
        (leave_at + usual <= deadline).then_some(leave_at)
    }
}

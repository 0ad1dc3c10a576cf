//! Feeds metrics: labels of outcomes, times of streamed tokens, calls of the store.

use std::sync::Arc;

use keyvalue::{CallError, Request};
use requests::attempt::AttemptEnd;
use store::{Sink, Store, Watch, WatchEnd};
use telemetry::labels::{AttemptOutcome, Outcome, StoreCall, StoreOutcome};
use telemetry::metrics::{Metrics, OfferMetrics};
use types::prelude::*;

/// The outcome label of a refused request.
pub(crate) fn refusal_label(run: RunState) -> Outcome {
    match run {
        RunState::No => Outcome::Refused,
        RunState::Unknown => Outcome::Unknown,
        RunState::Yes => Outcome::Failed,
    }
}

/// The outcome label of an attempt.
pub(crate) fn attempt_label(end: &AttemptEnd) -> AttemptOutcome {
    match end {
        AttemptEnd::Complete { .. } => AttemptOutcome::Answered,
        AttemptEnd::NotSent | AttemptEnd::RefusedNotRun { .. } => AttemptOutcome::NotRun,
        AttemptEnd::Unknown(requests::attempt::UnknownCause::TimedOut) => AttemptOutcome::TimedOut,
        AttemptEnd::CallerGone => AttemptOutcome::Cancelled,
        AttemptEnd::Unknown(_)
        | AttemptEnd::Truncated { .. }
        | AttemptEnd::AnswerOfOtherAttempt
        | AttemptEnd::UpstreamError(_) => AttemptOutcome::Failed,
    }
}

/// Records the times between one request's tokens.
pub(crate) struct TokenTimes {
    offer: Arc<OfferMetrics>,
    arrived: Time,
    last: Option<Time>,
}

impl TokenTimes {
    /// Starts with the arrival of a request for an offer.
    pub(crate) fn new(metrics: &Metrics, offer: &EntryName, arrived: Time) -> Self {
        Self {
            offer: metrics.offer(offer.as_str()),
            arrived,
            last: None,
        }
    }

    /// Records that a token arrived.
    pub(crate) fn token(&mut self, now: Time) {
        match self.last.replace(now) {
            None => self.offer.first_token(now.since(self.arrived)),
            Some(last) => self.offer.between_tokens(now.since(last)),
        }
    }

    /// Records how the request ended.
    pub(crate) fn ended(&self, outcome: Outcome) {
        self.offer.ended(outcome);
    }
}

/// Wraps a store and counts its calls in the metrics.
pub(crate) struct CountedStore<S> {
    store: S,
    metrics: Arc<Metrics>,
}

impl<S> CountedStore<S> {
    /// Wraps a store.
    pub(crate) fn new(store: S, metrics: Arc<Metrics>) -> Self {
        Self { store, metrics }
    }
}

impl<S: Store> Store for CountedStore<S> {
    fn call(&self, req: Request) -> keyvalue::Outcome {
        let kind = kind_of(&req);
        let outcome = self.store.call(req);
        let label = match &outcome {
            Ok(_) => StoreOutcome::Ok,
            Err(CallError::NotSent(_)) => StoreOutcome::NotSent,
            Err(CallError::Unknown(_)) => StoreOutcome::Unknown,
            Err(CallError::Refused(_)) => StoreOutcome::Refused,
        };
        self.metrics.store_call(kind, label);
        outcome
    }

    fn watch(&self, watch: &Watch, sink: &mut Sink<'_>) -> WatchEnd {
        let end = self.store.watch(watch, sink);
        let label = match &end {
            WatchEnd::Closed(_) | WatchEnd::Broken(_) => StoreOutcome::Unknown,
            WatchEnd::Compacted(_) => StoreOutcome::Refused,
            WatchEnd::Stopped | WatchEnd::Idle => StoreOutcome::Ok,
        };
        self.metrics.store_call(StoreCall::Watch, label);
        end
    }
}

fn kind_of(req: &Request) -> StoreCall {
    match req {
        Request::Range(_) => StoreCall::Range,
        Request::Txn(_) => StoreCall::Txn,
        Request::LeaseGrant { .. } => StoreCall::LeaseGrant,
        Request::LeaseKeepAlive(_) => StoreCall::LeaseKeepAlive,
        Request::LeaseRevoke(_) => StoreCall::LeaseRevoke,
    }
}

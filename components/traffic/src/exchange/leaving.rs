//! Requests of a daemon that stops.
//!
//! Load balancers go on sending for a while, so not all requests can be refused at once. One that
//! is likely to be in progress at the end of the grace period is: a refusal shows that it was not
//! processed, and another daemon can serve it. What is still in progress then gets a final answer.

use types::prelude::*;

use super::Exchange;
use crate::answer::LocalReply;
use crate::ending::EndedBy;
use crate::report::Finish;
use crate::translate::Translator;

/// Share of a route's recent requests that must have ended within the time that is left, where a
/// request may be retried. Where it may not, all of them must.
const RETRYABLE_SHARE: f64 = 0.9;
const OVER: &str = "the grace period is over";

impl<T: Translator> Exchange<'_, T> {
    /// Whether the request is likely to end before this daemon does.
    pub(super) fn fits_grace_period(&self) -> bool {
        let (shared, request) = (self.shared, self.request);
        let ends_at = shared.ends_at.get();
        if request.deadline <= ends_at {
            return true;
        }
        let share = match request.route.retry.is_allowed() {
            true => RETRYABLE_SHARE,
            false => 1.0,
        };
        let now = shared.now();
        let mut durations = shared.durations.borrow_mut();
        let needed = durations.quantile(now, &request.route.name, share);
        needed.unwrap_or(request.route.objective) <= now.until(ends_at)
    }

    /// Ends a request that would not end before this daemon does.
    pub(super) async fn refuse_leaving(&mut self) -> Finish {
        let why = "it may not end within the grace period";
        if self.may_have_run() {
            return self.give_up(why).await;
        }
        let reply = LocalReply::leaving(&mut *self.shared.rng.borrow_mut());
        self.send_reply(reply, why).await
    }

    /// Answers a request that is in progress at the end of the grace period. Its sends have been
    /// dropped.
    pub(crate) async fn stop(&mut self) -> Finish {
        if self.relay.has_begun() || self.has_answered {
            return Finish::stopped(OVER);
        }
        let reply = match self.was_sent() {
            true => LocalReply::OutcomeUnknown { retry_after: None },
            false => LocalReply::leaving(&mut *self.shared.rng.borrow_mut()),
        };
        self.send_reply(reply, OVER).await
    }

    /// Records how long the request took, if an upstream had it and its caller stayed.
    pub(crate) fn record_duration(&self, began_at: Time, finish: &Finish) {
        if self.was_sent() && finish.ended_by != Some(EndedBy::Caller) {
            let now = self.shared.now();
            let mut durations = self.shared.durations.borrow_mut();
            durations.record(now, &self.request.route.name, now.since(began_at));
        }
    }

    /// Whether an upstream may have the request, or had it.
    fn was_sent(&self) -> bool {
        self.may_have_run() || !self.outstanding.is_empty()
    }
}

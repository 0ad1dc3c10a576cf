//! Requests of a daemon that stops.

use super::Exchange;
use crate::answer::LocalReply;
use crate::report::Finish;
use crate::translate::Translator;

const OVER: &str = "the grace period is over";

impl<T: Translator> Exchange<'_, T> {
    /// Answers a request that is in progress at the end of the grace period. Its sends have been
    /// dropped.
    pub(crate) async fn stop(&mut self) -> Finish {
        if self.relay.has_begun() || self.has_answered {
            return Finish::stopped(OVER);
        }
        let reply = match self.was_sent() {
            true => LocalReply::OutcomeUnknown,
            false => LocalReply::leaving(&mut *self.shared.rng.borrow_mut()),
        };
        self.send_reply(reply, OVER).await
    }

    /// Whether an upstream may have the request, or had it.
    fn was_sent(&self) -> bool {
        self.may_have_run() || !self.outstanding.is_empty()
    }
}

//! Log lines of a request.

use dispatch::RetryReason;

use super::{Exchange, MAX_EXTRA_SENDS};
use crate::ending::Remaining;
use crate::report::{Finish, Report};
use crate::run::Run;
use crate::translate::Translator;

impl<T: Translator> Exchange<'_, T> {
    /// The report on the request, which has ended.
    pub(crate) fn report(&self, finish: &Finish) -> Report {
        let mut report = self.report.clone();
        report.events = self.relay.delivered();
        report.first_byte_at = report.first_byte_at.or(self.relay.first_at());
        if self.relay.has_begun() && finish.ended_by.is_some() {
            report.remaining = Some(self.remaining());
        }
        for run in &self.outstanding {
            report.add(self.describe(run, "still out"));
        }
        report
    }

    fn remaining(&self) -> Remaining {
        let max_attempts = self.request.route.max_attempts;
        Remaining {
            runs: (self.runs, max_attempts),
            sends: (self.sends, max_attempts + MAX_EXTRA_SENDS),
            unreachable: self.unreachable,
            retries: self.shared.retry_usage(&self.service, RetryReason::Failure),
            shortage: self.choose(self.model_name(), &self.tried).err(),
            time: self.shared.now().until(self.request.deadline),
        }
    }

    /// Logs where the request is now: once for each stream that starts and each further send.
    ///
    /// When a host is killed or loses power, the line at a request's end never comes; without this
    /// one, on-call could not find out which upstream had the request.
    pub(super) fn log_progress(&self, what: &'static str, run: &Run) {
        let upstreams = self.shared.upstreams.borrow();
        let spec = upstreams.spec(run.index);
        tracing::info!(
            id = &*self.request.ask.attempt,
            upstream = spec.map(|spec| spec.id.as_str()),
            version = spec.map(|spec| &*spec.version),
            model = run.model_index,
            sends = self.sends,
            budget = self.report.charge.map(|charge| charge.to_string()),
            after_event = self.relay.last_event(),
            ms = self.shared.now().since(self.request.arrived_at).as_millis(),
            "{what}"
        );
    }

    /// Logs that a run goes on for want of another, where the reason is a new one.
    pub(super) fn log_kept(&mut self, run: &Run, what: &'static str, why: &'static str) {
        if self.kept_for.replace(why) == Some(why) {
            return;
        }
        let upstreams = self.shared.upstreams.borrow();
        let spec = upstreams.spec(run.index);
        let left = self.remaining();
        tracing::info!(
            id = &*self.request.ask.attempt,
            upstream = spec.map(|spec| spec.id.as_str()),
            what,
            why,
            %left,
            after_event = self.relay.last_event(),
            ms = self.shared.now().since(self.request.arrived_at).as_millis(),
            "requests: kept where it is"
        );
    }

    /// Adds a finished attempt to the line at the request's end.
    pub(super) fn record_try(&mut self, run: &Run, what: &str) {
        self.outstanding
            .retain(|other| !std::ptr::eq(&**other, run));
        let tried = self.describe(run, what);
        self.report.add(tried);
    }

    /// Describes an attempt: upstream, the load by which it was chosen, and its result.
    fn describe(&self, run: &Run, what: &str) -> String {
        let upstreams = self.shared.upstreams.borrow();
        let spec = upstreams.spec(run.index);
        let id = spec.map_or("?", |spec| spec.id.as_str());
        let version = spec.map_or("?", |spec| &*spec.version);
        let model = run
            .model_index
            .map_or(String::new(), |model| format!(" model {model}"));
        let ms = self.shared.now().since(self.request.arrived_at).as_millis();
        let wait = run.load.wait_ms.round();
        let work = run.load.expected_ms.round();
        let peer = run.peer.borrow();
        let peer = peer
            .as_ref()
            .map_or(String::new(), |peer| format!(" through {peer}"));
        format!("{id} {version}{model}{peer} (wait {wait} work {work}): {what} at {ms}ms")
    }
}

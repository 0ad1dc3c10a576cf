//! Log lines of a request.

use dispatch::UpstreamIndex;

use super::Exchange;
use crate::report::Report;
use crate::translate::Translator;

impl<T: Translator> Exchange<'_, T> {
    pub(crate) fn report(&self) -> Report {
        let mut report = self.report.clone();
        report.events = self.relay.delivered();
        if let Some(index) = self.outstanding {
            report.add(self.describe(index, "still out"));
        }
        report
    }

    /// Logs where the request is now: once for each stream that starts and each further send.
    ///
    /// When a host is killed or loses power, the line at a request's end never comes; without this
    /// one, on-call could not find out which upstream had the request.
    pub(super) fn log_progress(&self, what: &'static str, index: UpstreamIndex) {
        let upstreams = self.shared.upstreams.borrow();
        let spec = upstreams.spec(index);
        tracing::info!(
            id = &*self.request.ask.attempt,
            upstream = spec.map(|spec| spec.id.as_str()),
            version = spec.map(|spec| &*spec.version),
            model = self.model_index,
            sends = self.sends,
            budget = self.report.charge.map(|charge| charge.to_string()),
            after_event = self.relay.last_event(),
            ms = self.shared.now().since(self.request.arrived_at).as_millis(),
            "{what}"
        );
    }

    /// Adds a finished attempt to the line at the request's end.
    pub(super) fn record_try(&mut self, index: UpstreamIndex, what: &str) {
        self.outstanding = None;
        let tried = self.describe(index, what);
        self.report.add(tried);
    }

    /// Describes an attempt: upstream, the load by which it was chosen, and its result.
    pub(super) fn describe(&self, index: UpstreamIndex, what: &str) -> String {
        let upstreams = self.shared.upstreams.borrow();
        let spec = upstreams.spec(index);
        let id = spec.map_or("?", |spec| spec.id.as_str());
        let version = spec.map_or("?", |spec| &*spec.version);
        let model = self
            .model_index
            .map_or(String::new(), |model| format!(" model {model}"));
        let ms = self.shared.now().since(self.request.arrived_at).as_millis();
        let wait = self.chosen_by.wait_ms.round();
        let work = self.chosen_by.expected_ms.round();
        let peer = self.peer.borrow();
        let peer = peer
            .as_ref()
            .map_or(String::new(), |peer| format!(" through {peer}"));
        format!("{id} {version}{model}{peer} (wait {wait} work {work}): {what} at {ms}ms")
    }
}

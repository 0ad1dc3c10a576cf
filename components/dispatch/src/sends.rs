//! What became of the requests to a service, as input of its admission control.

use overload::Sends;
use types::prelude::*;

use crate::health::UpstreamOutcome;
use crate::upstreams::{UpstreamIndex, Upstreams};

/// Sends to one upstream since they were last taken.
#[derive(Debug, Default)]
pub(crate) struct SendCounts {
    completed: u32,
    rejected: u32,
    /// Requests in flight times microseconds.
    in_flight_us: u64,
    /// Until when `in_flight_us` counts.
    counted_until: Time,
    /// Since when the sends are counted: when they were last taken, or the first request.
    since: Option<Time>,
}

impl SendCounts {
    /// Counts the requests in flight up to now, before their number changes.
    pub(crate) fn count_in_flight(&mut self, now: Time, in_flight: u32) {
        let since = now.since(self.counted_until).as_micros();
        let added = since.saturating_mul(u64::from(in_flight));
        self.in_flight_us = self.in_flight_us.saturating_add(added);
        self.since.get_or_insert(now);
        self.counted_until = now.max(self.counted_until);
    }

    /// Counts a request that ended.
    pub(crate) fn count_end(&mut self, outcome: UpstreamOutcome) {
        let is_completed = matches!(
            outcome,
            UpstreamOutcome::Good | UpstreamOutcome::Failed | UpstreamOutcome::Incomplete
        );
        self.completed = self.completed.saturating_add(u32::from(is_completed));
    }
}

impl Upstreams {
    /// Records that an upstream rejected a request of this daemon for lack of capacity.
    pub fn count_rejection(&mut self, index: UpstreamIndex) {
        if let Some(entry) = self.entries.get_mut(&index) {
            entry.sends.rejected = entry.sends.rejected.saturating_add(1);
        }
    }

    /// Takes what became of a service's sends since the last call, `elapsed` ago. An upstream whose
    /// sends were last taken before that gives its average since then. Upstreams that are gone do not
    /// count: what ran there when they ended does not run any more.
    pub fn take_sends(&mut self, now: Time, service: &str, elapsed: Span) -> Sends {
        let mut sends = Sends::default();
        let indices = self.by_service.get(service).into_iter().flatten();
        for index in indices {
            let Some(entry) = self.entries.get_mut(index) else {
                continue;
            };
            entry.sends.count_in_flight(now, entry.in_flight);
            let taken = std::mem::take(&mut entry.sends);
            entry.sends.counted_until = now;
            entry.sends.since = Some(now);
            if entry.is_current() {
                let since = taken.since.map_or(Span::ZERO, |since| now.since(since));
                let span_us = elapsed.max(since).as_micros().max(1);
                sends.completed = sends.completed.saturating_add(taken.completed);
                sends.rejected = sends.rejected.saturating_add(taken.rejected);
                sends.in_flight += taken.in_flight_us as f64 / span_us as f64;
            }
        }
        sends
    }

    /// Slots of a service's upstreams that may get requests.
    #[must_use]
    pub fn available_slots(&self, service: &str) -> u32 {
        let indices = self.by_service.get(service).into_iter().flatten();
        let entries = indices.filter_map(|index| self.entries.get(index));
        let available = entries.filter(|entry| entry.takes_requests());
        available.fold(0, |sum, entry| sum.saturating_add(entry.spec.slots))
    }
}

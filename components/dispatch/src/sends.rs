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
}

impl SendCounts {
    /// Counts the requests in flight up to now, before their number changes.
    pub(crate) fn count_in_flight(&mut self, now: Time, in_flight: u32) {
        let since = now.since(self.counted_until).as_micros();
        self.in_flight_us += since.saturating_mul(u64::from(in_flight));
        self.counted_until = now.max(self.counted_until);
    }

    /// Counts a request that ended.
    pub(crate) fn count_end(&mut self, outcome: UpstreamOutcome) {
        let is_completed = matches!(
            outcome,
            UpstreamOutcome::Good | UpstreamOutcome::Failed | UpstreamOutcome::Incomplete
        );
        self.completed += u32::from(is_completed);
    }
}

impl Upstreams {
    /// Records that an upstream rejected a request of this daemon for lack of capacity.
    pub fn count_rejection(&mut self, index: UpstreamIndex) {
        if let Some(entry) = self.entries.get_mut(&index) {
            entry.sends.rejected += 1;
        }
    }

    /// Takes what became of a service's sends since the last call, `elapsed` ago. Upstreams that are
    /// gone do not count: what ran there when they ended does not run any more.
    pub fn take_sends(&mut self, now: Time, service: &str, elapsed: Span) -> Sends {
        let mut sends = Sends::default();
        let mut in_flight_us = 0;
        let indices = self.by_service.get(service).into_iter().flatten();
        for index in indices {
            let Some(entry) = self.entries.get_mut(index) else {
                continue;
            };
            entry.sends.count_in_flight(now, entry.in_flight);
            let taken = std::mem::take(&mut entry.sends);
            entry.sends.counted_until = now;
            if entry.is_current() {
                sends.completed += taken.completed;
                sends.rejected += taken.rejected;
                in_flight_us += taken.in_flight_us;
            }
        }
        sends.in_flight = in_flight_us as f64 / elapsed.as_micros().max(1) as f64;
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

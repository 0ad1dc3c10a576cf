//! What was sent to an upstream and has not begun to answer.

use std::collections::VecDeque;

use types::prelude::*;

#[derive(Debug, Clone, Copy)]
struct Waiting {
    ticket: u64,
    expected_ms: f64,
}

/// Requests that an upstream has not begun to answer, in the order in which they were sent.
#[derive(Debug, Default)]
pub(crate) struct Backlog {
    waiting: VecDeque<Waiting>,
    /// The upstream has been at the oldest since.
    at_oldest_since: Time,
}

impl Backlog {
    pub(crate) fn push(&mut self, now: Time, ticket: u64, expected_ms: f64) {
        if self.waiting.is_empty() {
            self.at_oldest_since = now;
        }
        self.waiting.push_back(Waiting {
            ticket,
            expected_ms,
        });
    }

    pub(crate) fn remove(&mut self, now: Time, ticket: u64) {
        let place = self.waiting.iter().position(|w| w.ticket == ticket);
        if let Some(place) = place {
            self.waiting.remove(place);
            self.at_oldest_since = now;
        }
    }

    /// Expected time until the upstream comes to a new request, in ms.
    pub(crate) fn ms(&self, now: Time) -> f64 {
        let Some(oldest) = self.waiting.front() else {
            return 0.0;
        };
        let whole = self.waiting.iter().map(|w| w.expected_ms).sum::<f64>();
        let done = now.since(self.at_oldest_since).as_secs_f64() * 1_000.0;
        whole - done.min(oldest.expected_ms)
    }
}

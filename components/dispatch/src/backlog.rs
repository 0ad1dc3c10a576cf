//! Requests that were sent to an upstream and whose answers have not started.

use std::collections::VecDeque;

use types::prelude::*;

#[derive(Debug, Clone, Copy)]
struct Waiting {
    ticket: u64,
    expected_ms: f64,
    /// Whether it is known which part of the prompt is cached.
    is_cache_known: bool,
}

/// Requests that an upstream has not started to answer, in the order in which they were sent.
#[derive(Debug, Default)]
pub(crate) struct Backlog {
    waiting: VecDeque<Waiting>,
    /// When the upstream is assumed to have started on the oldest request.
    oldest_started_at: Time,
}

impl Backlog {
    pub(crate) fn push(&mut self, now: Time, ticket: u64, expected_ms: f64, is_cache_known: bool) {
        if self.waiting.is_empty() {
            self.oldest_started_at = now;
        }
        self.waiting.push_back(Waiting {
            ticket,
            expected_ms,
            is_cache_known,
        });
    }

    pub(crate) fn remove(&mut self, now: Time, ticket: u64) {
        let position = self.waiting.iter().position(|w| w.ticket == ticket);
        if let Some(position) = position {
            self.waiting.remove(position);
            self.oldest_started_at = now;
        }
    }

    /// Whether it was known which part of a waiting request's prompt is cached.
    pub(crate) fn is_cache_known(&self, ticket: u64) -> bool {
        let mut waiting = self.waiting.iter();
        waiting.any(|waiting| waiting.ticket == ticket && waiting.is_cache_known)
    }

    /// Expected time until the upstream starts on a new request, in ms.
    pub(crate) fn wait_ms(&self, now: Time) -> f64 {
        let Some(oldest) = self.waiting.front() else {
            return 0.0;
        };
        let total_ms = self.waiting.iter().map(|w| w.expected_ms).sum::<f64>();
        let done_ms = now.since(self.oldest_started_at).as_secs_f64() * 1_000.0;
        total_ms - done_ms.min(oldest.expected_ms)
    }
}

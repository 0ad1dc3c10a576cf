//! Counts the requests in flight and bounds their number.

use std::sync::atomic::{AtomicUsize, Ordering};

use types::prelude::*;

use super::refusal::Refusal;

/// Retry-After sent to a caller when the bound is reached.
const OVERLOADED_RETRY_AFTER: Span = Span::from_secs(1);

/// Counter of requests in flight, shared by all event loops.
#[derive(Debug)]
pub(crate) struct InFlight {
    count: AtomicUsize,
    max: usize,
}

/// Counts one request as in flight until dropped.
#[derive(Debug)]
pub(crate) struct InFlightGuard<'a>(&'a InFlight);

impl InFlight {
    /// Creates a counter that admits at most `max` requests at once.
    pub(crate) fn new(max: usize) -> Self {
        Self {
            count: AtomicUsize::new(0),
            max,
        }
    }

    /// Number of requests in flight.
    pub(crate) fn count(&self) -> usize {
        self.count.load(Ordering::Acquire)
    }

    /// Counts one more request.
    ///
    /// # Errors
    /// A 503 when `max` requests are in flight; nothing of the request has run.
    pub(crate) fn enter(&self) -> Result<InFlightGuard<'_>, Refusal> {
        let guard = InFlightGuard(self);
        if self.count.fetch_add(1, Ordering::AcqRel) < self.max {
            return Ok(guard);
        }
        let message = "this daemon has as many requests in flight as it may";
        Err(Refusal::unavailable(
            "overloaded",
            message,
            OVERLOADED_RETRY_AFTER,
        ))
    }
}

impl Drop for InFlightGuard<'_> {
    fn drop(&mut self) {
        self.0.count.fetch_sub(1, Ordering::AcqRel);
    }
}

//! Requests in flight, bounded in number.

use std::sync::atomic::{AtomicUsize, Ordering};

use types::prelude::*;

use super::refusal::Refusal;

/// Pause that a caller is told when as many requests are in flight as may be.
const BUSY_RETRY: Span = Span::from_secs(1);

/// Counts requests in flight over all event loops.
#[derive(Debug)]
pub(crate) struct InFlight {
    count: AtomicUsize,
    max: usize,
}

/// One of them, until dropped.
#[derive(Debug)]
pub(crate) struct Entered<'a>(&'a InFlight);

impl InFlight {
    /// At most so many at once.
    pub(crate) fn new(max: usize) -> Self {
        Self {
            count: AtomicUsize::new(0),
            max,
        }
    }

    /// How many there are.
    pub(crate) fn count(&self) -> usize {
        self.count.load(Ordering::Acquire)
    }

    /// Counts one more.
    ///
    /// # Errors
    /// When there are as many as may be; nothing of it has run.
    pub(crate) fn enter(&self) -> Result<Entered<'_>, Refusal> {
        let entered = Entered(self);
        if self.count.fetch_add(1, Ordering::AcqRel) < self.max {
            return Ok(entered);
        }
        let message = "this daemon has as many requests in flight as it may";
        Err(Refusal::unavailable("overloaded", message, BUSY_RETRY))
    }
}

impl Drop for Entered<'_> {
    fn drop(&mut self) {
        self.0.count.fetch_sub(1, Ordering::AcqRel);
    }
}

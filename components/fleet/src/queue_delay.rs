//! Time that peers' messages spend in the control thread's queue.

use types::prelude::*;

/// Delays from this length on are logged: what daemons know of each other is then about as old.
const LONG_DELAY: Span = Span::from_millis(250);
/// Shortest time between two log lines.
const LOG_INTERVAL: Span = Span::from_secs(1);

/// The longest delay since the last log line.
#[derive(Debug, Default)]
pub(crate) struct QueueDelay {
    longest: Span,
    log_at: Time,
}

impl QueueDelay {
    /// Records the delay of a message that is handled now.
    pub(crate) fn note(&mut self, now: Time, arrived_at: Time) {
        self.longest = self.longest.max(now.since(arrived_at));
    }

    /// Logs the longest delay if it is long.
    pub(crate) fn log(&mut self, now: Time) {
        if self.longest < LONG_DELAY || !now.has_reached(self.log_at) {
            return;
        }
        let waited_ms = self.longest.as_millis();
        tracing::warn!(waited_ms, "control: slow to process peer messages");
        self.longest = Span::ZERO;
        self.log_at = now + LOG_INTERVAL;
    }
}

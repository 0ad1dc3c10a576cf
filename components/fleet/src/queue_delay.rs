//! How long messages of peers wait for the control thread.

use types::prelude::*;

/// A wait of so long is worth a line: what daemons believe of each other is about as old.
const LONG_DELAY: Span = Span::from_millis(250);
/// Shortest time between two lines.
const LOG_INTERVAL: Span = Span::from_secs(1);

/// The longest wait since it was last logged.
#[derive(Debug, Default)]
pub(crate) struct QueueDelay {
    longest: Span,
    log_at: Time,
}

impl QueueDelay {
    /// Notes a message that is taken now.
    pub(crate) fn note(&mut self, now: Time, arrived_at: Time) {
        self.longest = self.longest.max(now.since(arrived_at));
    }

    /// Logs a long wait.
    pub(crate) fn log(&mut self, now: Time) {
        if self.longest < LONG_DELAY || !now.has_reached(self.log_at) {
            return;
        }
        let waited_ms = self.longest.as_millis();
        tracing::warn!(waited_ms, "control: messages of peers waited for long");
        self.longest = Span::ZERO;
        self.log_at = now + LOG_INTERVAL;
    }
}

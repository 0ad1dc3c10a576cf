//! Liveness and readiness of the process.
//!
//! The control thread records its ticks here, and probes read them without asking that thread. A
//! hung control thread thus makes the probe fail instead of leaving it without an answer.

use std::sync::{Mutex, PoisonError};

use adminapi::status::HealthReply;
use types::prelude::*;

/// Time without a tick after which the control thread counts as hung.
pub const HUNG_AFTER: Span = Span::from_secs(10);

/// State that the health probes read.
#[derive(Debug)]
pub struct Health {
    clock: Clock,
    state: Mutex<State>,
}

#[derive(Debug)]
struct State {
    hung_at: Time,
    not_ready: Option<String>,
}

impl Health {
    /// Creates a state that is alive and not ready. `clock` must be the control thread's clock.
    #[must_use]
    pub fn new(clock: Clock) -> Self {
        let state = State {
            hung_at: clock.now() + HUNG_AFTER,
            not_ready: Some("starting".to_owned()),
        };
        Self {
            clock,
            state: Mutex::new(state),
        }
    }

    /// Records a tick of the control thread, and why the daemon is not ready (`None` if it is).
    pub fn tick(&self, not_ready: Option<String>) {
        let mut state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        state.hung_at = self.clock.now() + HUNG_AFTER;
        state.not_ready = not_ready;
    }

    /// Returns whether the control thread has ticked recently.
    #[must_use]
    pub fn alive(&self) -> HealthReply {
        let state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        let hung = self.clock.now().has_reached(state.hung_at);
        let reason = hung.then(|| format!("the control thread has not run for {HUNG_AFTER}"));
        HealthReply { ok: !hung, reason }
    }

    /// Returns whether the process is alive and ready to receive requests.
    #[must_use]
    pub fn ready(&self) -> HealthReply {
        let alive = self.alive();
        if !alive.ok {
            return alive;
        }
        let state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        let reason = state.not_ready.clone();
        HealthReply {
            ok: reason.is_none(),
            reason,
        }
    }
}

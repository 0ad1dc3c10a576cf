//! Whether the process lives and should get requests.
//!
//! The control thread notes its ticks here; probes read them without asking it. Thus a
//! control thread that hangs shows as unhealthy instead of as a probe without answer.

use std::sync::{Mutex, PoisonError};

use adminapi::status::HealthReply;
use types::prelude::*;

/// A control thread that has not ticked for so long counts as hung.
pub const HUNG_AFTER: Span = Span::from_secs(10);

/// What probes read.
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
    /// Alive and not ready. Give the clock that control uses.
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

    /// Notes a tick of the control thread, and whether the daemon should get requests.
    pub fn tick(&self, not_ready: Option<String>) {
        let mut state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        state.hung_at = self.clock.now() + HUNG_AFTER;
        state.not_ready = not_ready;
    }

    /// Whether the process lives.
    #[must_use]
    pub fn alive(&self) -> HealthReply {
        let state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        let hung = self.clock.now().has_reached(state.hung_at);
        let reason = hung.then(|| format!("the control thread has not run for {HUNG_AFTER}"));
        HealthReply { ok: !hung, reason }
    }

    /// Whether the daemon should get requests.
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

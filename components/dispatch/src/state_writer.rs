//! Writing a roll-out's state to the store.
//!
//! Every daemon judges a roll-out and any of them may write its state. They take turns by rank, and
//! each write is conditional on the state that the writer knows, so one of them takes effect.

use routes::RolloutState;
use types::prelude::*;

/// Delay per rank before a daemon writes a state: one write is enough, and the condition on
/// the key makes further ones harmless.
const WRITE_DELAY_PER_RANK: Span = Span::from_millis(200);
/// Delay before a write is retried.
const RETRY_DELAY: Span = Span::from_millis(400);

/// A roll-out's state as one daemon has to write it.
#[derive(Debug)]
pub struct StateWriter {
    /// The state to be written, and since when.
    wanted: Option<(RolloutState, Time)>,
    next_try_at: Time,
    is_writing: bool,
}

impl StateWriter {
    /// Creates the writer of an order that was just learned of, which is acknowledged first.
    #[must_use]
    pub fn new(now: Time) -> Self {
        Self {
            wanted: Some((RolloutState::Running, now)),
            next_try_at: now,
            is_writing: false,
        }
    }

    /// Asks for a state to be written where `recorded` is in the store. Returns whether it is newly
    /// asked for.
    pub fn want(&mut self, now: Time, state: RolloutState, recorded: RolloutState) -> bool {
        let is_new = !recorded.is_final() && self.wanted.is_none_or(|(wanted, _)| wanted < state);
        if is_new {
            self.wanted = Some((state, now));
            self.next_try_at = now;
        }
        is_new
    }

    /// Takes note of the state recorded in the store.
    pub fn on_recorded(&mut self, recorded: RolloutState) {
        let is_done = |(wanted, _)| recorded.is_final() || wanted == recorded;
        if self.wanted.is_some_and(is_done) {
            self.wanted = None;
        }
    }

    /// Returns the state that is to be written now and marks its write as started; lower ranks
    /// write first.
    pub fn start_write(&mut self, now: Time, rank: u64) -> Option<RolloutState> {
        let (state, since) = self.wanted?;
        let turn_at = since + WRITE_DELAY_PER_RANK.times(rank);
        if self.is_writing || now < turn_at || now < self.next_try_at {
            return None;
        }
        self.is_writing = true;
        Some(state)
    }

    /// Records that a write ended, whether or not it took effect.
    pub fn on_written(&mut self, now: Time) {
        self.is_writing = false;
        self.next_try_at = now + RETRY_DELAY;
    }
}

//! Which model answers.
//!
//! The smallest model is asked first. Its answer says how sure it is before the first event
//! comes, so an unsure one can be dropped unseen and the request asked again of the largest
//! model. That costs the second model's time, and the time until the caller sees something.

use types::prelude::*;

/// An answer of at least this confidence is kept.
///
/// Played over the first day of two deployments, worth by bound: 0 0.553 and 0.598, 30 0.705
/// and 0.718, 40 0.747 and 0.724, 50 0.778 and 0.739, 60 0.746 and 0.725, 70 0.701 and 0.709.
/// Above 60 the drafts are good and the larger model's time makes others late.
const KEEP_AT: u8 = 50;
/// Part of the objective in which a larger model's first event must be expected: an answer
/// that is late earns a small part of what it would in time, so the draft is kept instead.
const IN_TIME_SHARE: f64 = 0.8;

/// What is known of the answer of a smaller model.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Draft {
    /// The model's own opinion, 0 to 100.
    pub confidence: u8,
    /// When the request arrived.
    pub arrived_at: Time,
    /// The route's objective for the first event.
    pub objective: Span,
}

/// Which model is asked next.
#[derive(Debug, Clone, Copy, Default)]
pub struct Cascade;

impl Cascade {
    /// The place of the first model to ask among `models`, smallest first.
    #[must_use]
    pub fn first(models: usize) -> Option<usize> {
        (models > 0).then_some(0)
    }

    /// The place of the model to ask instead of keeping a draft: the largest whose first
    /// event is expected in time. `expected` says how long each place's takes from now.
    #[must_use]
    pub fn next(
        now: Time,
        asked: usize,
        models: usize,
        draft: Draft,
        mut expected: impl FnMut(usize) -> Option<Span>,
    ) -> Option<usize> {
        if draft.confidence >= KEEP_AT {
            return None;
        }
        let objective = draft.objective.as_secs_f64() * IN_TIME_SHARE;
        let left = objective - now.since(draft.arrived_at).as_secs_f64();
        let mut larger = (asked + 1..models).rev();
        larger.find(|place| expected(*place).is_some_and(|span| span.as_secs_f64() < left))
    }
}

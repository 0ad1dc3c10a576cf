//! Choice of the model size that answers.
//!
//! The smallest model is asked first. Its answer states its confidence before the first event
//! is sent, so a low-confidence answer can be dropped unseen and the request escalated to a
//! larger model. That costs the larger model's time, and the time until the caller sees
//! something.
//!
//! The confidence also shows how far the request exceeds the model. If by little, the next size
//! suffices, at half of the largest model's price and a quarter of its prefill time; if by much,
//! only the largest does.
//!
//! The bounds follow from how often a request is too hard for the smallest model: at a confidence
//! between 0 and 20 some 84 in 100, from 30 to 40 77, from 40 to 50 55, from 50 to 60 34, and above
//! 60 none. The largest model's price is a seventh of an answer's, so escalating to it pays up to a
//! confidence of 60 while engines have time to spare, and up to 50 when they have none. With the
//! next size asked from [`CascadePolicy::next_size_from`] on, escalation pays up to 60 at any load.
//! A fleet with little load could escalate to the largest more often, but then more of the longer
//! streams are in flight when a host is lost.

use types::prelude::*;

use crate::policy::CascadePolicy;

/// An answer of a smaller model that may be kept or escalated.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Draft {
    /// Position of the model that made it, smallest first.
    pub model_index: usize,
    /// The model's own confidence, 0 to 100.
    pub confidence: u8,
    /// Attempts that the route still allows.
    pub attempts_left: u32,
    /// When the request arrived.
    pub arrived_at: Time,
    /// The route's objective for the first event.
    pub objective: Span,
}

/// Chooses the model to ask next.
#[derive(Debug, Clone, Copy, Default)]
pub struct Cascade {
    policy: CascadePolicy,
}

impl Cascade {
    /// Creates a cascade with these bounds.
    #[must_use]
    pub fn new(policy: CascadePolicy) -> Self {
        Self { policy }
    }

    /// Returns the position of the first model to ask among `models`, smallest first.
    #[must_use]
    pub fn first(models: usize) -> Option<usize> {
        (models > 0).then_some(0)
    }

    /// Returns the position of the model to escalate to, or `None` if the draft is kept.
    ///
    /// Among the models whose first event is expected in time this is the next larger one when
    /// the draft nearly suffices, else the largest. `expected` returns the time to the first
    /// event from now of the model at a position.
    #[must_use]
    pub fn next(
        &self,
        now: Time,
        models: usize,
        draft: Draft,
        mut expected: impl FnMut(usize) -> Option<Span>,
    ) -> Option<usize> {
        if self.is_accepted(draft) {
            return None;
        }
        // A late answer is worth a small part of one in time, so the draft is kept instead.
        let objective_s = draft.objective.as_secs_f64() * self.policy.in_time_share;
        let left_s = objective_s - now.since(draft.arrived_at).as_secs_f64();
        let mut is_in_time =
            |model: &usize| expected(*model).is_some_and(|span| span.as_secs_f64() < left_s);
        let larger = draft.model_index + 1..models;
        // The next size may have low confidence too, so it is asked only if an attempt is left
        // to escalate to the largest after it.
        let is_near_acceptance = draft.confidence >= self.policy.next_size_from;
        let may_try_next = is_near_acceptance && draft.attempts_left > 1;
        let next = larger.clone().next().filter(|_| may_try_next);
        // A request far beyond the smallest model is also beyond the medium-sized ones: asking
        // one of them because the largest would be late costs its time and price for nothing.
        let is_far = draft.confidence < self.policy.middle_from;
        let smallest = if is_far { models.saturating_sub(1) } else { 0 };
        next.filter(&mut is_in_time).or_else(|| {
            let mut from_largest = larger.rev().take_while(|model| *model >= smallest);
            from_largest.find(is_in_time)
        })
    }

    fn is_accepted(&self, draft: Draft) -> bool {
        let keep_from = match draft.model_index {
            0 => self.policy.keep_from,
            _ => self.policy.keep_middle_from,
        };
        draft.confidence >= keep_from
    }
}

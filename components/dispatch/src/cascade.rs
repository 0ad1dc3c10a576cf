//! Which model answers.
//!
//! The smallest model is asked first. Its answer says how sure it is before the first event
//! comes, so an unsure one can be dropped unseen and the request asked again of a larger
//! model. That costs the larger model's time, and the time until the caller sees something.
//!
//! How unsure an answer is also says how far beyond its model the request is. A little
//! beyond, and the next size answers it, at half of the largest model's price and a quarter
//! of its reading time; far beyond, and only the largest does.
//!
//! The bounds follow from how often a draft was too hard for the smallest model: of those with a
//! confidence between 0 and 20 some 84 in 100, from 30 to 40 77, from 40 to 50 55, from 50 to 60
//! 34, and above 60 none. The largest model's price is a seventh of an answer's, so asking it pays up
//! to 60 while engines have time and up to 50 when they have none; with the next size asked from
//! [`CascadePolicy::next_size_from`] on it pays up to 60 whatever the load. A rested fleet could ask
//! the largest more often; the longer streams are then more of them in flight when a host is lost.

use types::prelude::*;

use crate::policy::CascadePolicy;

/// What is known of the answer of a smaller model.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Draft {
    /// Place of the model that made it.
    pub asked: usize,
    /// The model's own opinion, 0 to 100.
    pub confidence: u8,
    /// Runs that the route still allows.
    pub runs_left: u32,
    /// When the request arrived.
    pub arrived_at: Time,
    /// The route's objective for the first event.
    pub objective: Span,
}

/// Which model is asked next.
#[derive(Debug, Clone, Copy, Default)]
pub struct Cascade {
    policy: CascadePolicy,
}

impl Cascade {
    /// By these bounds.
    #[must_use]
    pub fn new(policy: CascadePolicy) -> Self {
        Self { policy }
    }

    /// The place of the first model to ask among `models`, smallest first.
    #[must_use]
    pub fn first(models: usize) -> Option<usize> {
        (models > 0).then_some(0)
    }

    /// The place of the model to ask instead of keeping a draft: of those whose first event
    /// is expected in time the next one when the draft is nearly sure, else the largest.
    /// `expected` says how long each place's takes from now.
    #[must_use]
    pub fn next(
        &self,
        now: Time,
        models: usize,
        draft: Draft,
        mut expected: impl FnMut(usize) -> Option<Span>,
    ) -> Option<usize> {
        if self.is_kept(draft) {
            return None;
        }
        // An answer that is late earns a small part of what it would in time, so the draft is
        // kept instead.
        let objective = draft.objective.as_secs_f64() * self.policy.in_time_share;
        let left = objective - now.since(draft.arrived_at).as_secs_f64();
        let mut is_in_time =
            |place: &usize| expected(*place).is_some_and(|span| span.as_secs_f64() < left);
        let larger = draft.asked + 1..models;
        // The next size may be unsure too, and is worth asking only if the largest can be
        // asked after it.
        let is_nearly_sure = draft.confidence >= self.policy.next_size_from;
        let may_try = is_nearly_sure && draft.runs_left > 1;
        let next = larger.clone().next().filter(|_| may_try);
        // What is far beyond the smallest model is beyond those in between as well: asking one
        // because the largest would be late takes its time and price for nothing.
        let is_far = draft.confidence < self.policy.middle_from;
        let least = if is_far { models.saturating_sub(1) } else { 0 };
        next.filter(&mut is_in_time).or_else(|| {
            let mut from_largest = larger.rev().take_while(|place| *place >= least);
            from_largest.find(is_in_time)
        })
    }

    fn is_kept(&self, draft: Draft) -> bool {
        let keep_from = match draft.asked {
            0 => self.policy.keep_from,
            _ => self.policy.keep_middle_from,
        };
        draft.confidence >= keep_from
    }
}

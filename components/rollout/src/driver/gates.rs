//! Decides when a roll-out goes to its next step, and when it goes back to the old version.

use catalogue::entry::{Model, RolloutState};
use types::prelude::*;

use crate::capacity;
use crate::driver::{Driver, StepStart, TickContext};
use crate::edit::{self, Action, EditError};
use crate::effect::Effect;
use crate::waiting::Waiting;

/// Time after which an edit that did not appear in the catalogue is repeated.
const EDIT_RETRY_AFTER: Span = Span::from_secs(30);

impl Driver {
    /// Goes to the next step when the gate is open, or back to the old version when the new one is
    /// suspended.
    pub(super) fn advance(&mut self, cx: &TickContext<'_>, effects: &mut Vec<Effect>) {
        let Some(rollout) = &cx.observed.model.rollout else {
            return;
        };
        match rollout.state {
            RolloutState::Paused => self.waiting = Some(Waiting::Operator),
            RolloutState::Running if cx.observed.evidence.new_suspended => {
                let next = edit::act(cx.observed.model, &rollback_action(cx));
                effects.extend(self.edit(cx, next));
            }
            RolloutState::Running => {
                self.waiting = self.gate_blocker(cx);
                if self.waiting.is_none() {
                    let next = next_step(cx.observed.model);
                    effects.extend(self.edit(cx, next));
                }
            }
            RolloutState::Aborted | RolloutState::Done => {}
        }
    }

    /// What the present step still waits for, if its gate is closed.
    fn gate_blocker(&mut self, cx: &TickContext<'_>) -> Option<Waiting> {
        let rollout = cx.observed.model.rollout.as_ref()?;
        let first = StepStart {
            step: rollout.step,
            fencing: cx.held.fencing,
            stay_until: cx.now + rollout.gate.stay,
            ratings: cx.observed.evidence.ratings,
        };
        // A new holder does not know how long the step has lasted, so it counts from now.
        let same = |s: &StepStart| (s.step, s.fencing) == (first.step, first.fencing);
        let start = *self
            .step_start
            .insert(self.step_start.filter(same).unwrap_or(first));
        let have = cx.observed.evidence.ratings.saturating_sub(start.ratings);
        let need = u64::from(rollout.gate.ratings);
        let keep = &cx.goal.keep;
        let ready = capacity::ready_slots(cx.observed, keep, cx.now, &self.cfg);
        // At share 0 the new version serves nothing yet, so only the loads are waited for.
        let serves = rollout.share() > Share::NONE;
        if serves && !cx.now.has_reached(start.stay_until) {
            Some(Waiting::Stay(cx.now.until(start.stay_until)))
        } else if serves && have < need {
            Some(Waiting::Ratings { have, need })
        } else if ready < cx.needs.keep {
            Some(Waiting::short_of(keep, ready, cx.needs.keep))
        } else {
            None
        }
    }

    /// Requests an edit of the entry at the observed revision, and requests it again after
    /// [`EDIT_RETRY_AFTER`] in case it was lost.
    fn edit(&mut self, cx: &TickContext<'_>, next: Result<Model, EditError>) -> Option<Effect> {
        self.waiting = Some(Waiting::Edit);
        let if_match = cx.observed.revision;
        let retry = self.edit_retry_at;
        let retry = retry.filter(|(revision, _)| *revision == if_match);
        if retry.is_some_and(|(_, retry_at)| !cx.now.has_reached(retry_at)) {
            return None;
        }
        let model = Box::new(next.ok()?);
        self.edit_retry_at = Some((if_match, cx.now + EDIT_RETRY_AFTER));
        Some(Effect::Edit { model, if_match })
    }
}

/// Goes back to the old version, unless that one is suspended too: then an operator decides.
fn rollback_action(cx: &TickContext<'_>) -> Action {
    if cx.observed.evidence.old_suspended {
        Action::Pause
    } else {
        Action::Abort
    }
}

fn next_step(model: &Model) -> Result<Model, EditError> {
    let rollout = model.rollout.as_ref().ok_or(EditError::NoRollout)?;
    if rollout.step + 1 < rollout.steps.len() {
        edit::act(model, &Action::Advance)
    } else {
        edit::finish(model)
    }
}

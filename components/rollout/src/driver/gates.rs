//! When a roll-out goes to its next step, and when back.

use catalogue::entry::{Model, RolloutState};
use types::prelude::*;

use crate::capacity;
use crate::driver::{Driver, Scene, Seen};
use crate::edit::{self, Action, EditError};
use crate::effect::Effect;
use crate::waiting::Waiting;

/// An edit that is not seen in the catalogue is made again after.
const EDIT_AGAIN: Span = Span::from_secs(30);

impl Driver {
    /// Goes to the next step when its gate is open, back when the new version is bad.
    pub(super) fn move_on(&mut self, scene: &Scene<'_>, effects: &mut Vec<Effect>) {
        let Some(rollout) = &scene.seen.model.rollout else {
            return;
        };
        match rollout.state {
            RolloutState::Paused => self.waiting = Some(Waiting::Operator),
            RolloutState::Running if scene.seen.evidence.new_suspended => {
                let next = edit::act(scene.seen.model, &way_back(scene));
                effects.extend(self.edit(scene, next));
            }
            RolloutState::Running => {
                self.waiting = self.gate(scene);
                if self.waiting.is_none() {
                    let next = step_on(scene.seen.model);
                    effects.extend(self.edit(scene, next));
                }
            }
            RolloutState::Aborted | RolloutState::Done => {}
        }
    }

    /// What the present step still waits for.
    fn gate(&mut self, scene: &Scene<'_>) -> Option<Waiting> {
        let rollout = scene.seen.model.rollout.as_ref()?;
        let first = Seen {
            step: rollout.step,
            fencing: scene.hold.fencing,
            stay_until: scene.now + rollout.gate.stay,
            ratings: scene.seen.evidence.ratings,
        };
        // A new holder cannot know how long the step has lasted: it begins again.
        let same = |s: &Seen| (s.step, s.fencing) == (first.step, first.fencing);
        let at = *self.seen.insert(self.seen.filter(same).unwrap_or(first));
        let have = scene.seen.evidence.ratings.saturating_sub(at.ratings);
        let need = u64::from(rollout.gate.ratings);
        let keep = &scene.goal.keep;
        let ready = capacity::ready(scene.seen, keep, scene.now, &self.cfg);
        // At a share of nothing there is nothing to wait for but the loads.
        let serves = rollout.share() > Share::NONE;
        if serves && !scene.now.has_reached(at.stay_until) {
            Some(Waiting::Stay(scene.now.until(at.stay_until)))
        } else if serves && have < need {
            Some(Waiting::Ratings { have, need })
        } else if ready < scene.needs.keep {
            Some(Waiting::short_of(keep, ready, scene.needs.keep))
        } else {
            None
        }
    }

    /// An edit of the entry as it was seen; made once for a revision, again when it is lost.
    fn edit(&mut self, scene: &Scene<'_>, next: Result<Model, EditError>) -> Option<Effect> {
        self.waiting = Some(Waiting::Edit);
        let if_match = scene.seen.revision;
        let sent = self.edit_again_at;
        let sent = sent.filter(|(revision, _)| *revision == if_match);
        if sent.is_some_and(|(_, again_at)| !scene.now.has_reached(again_at)) {
            return None;
        }
        let model = Box::new(next.ok()?);
        self.edit_again_at = Some((if_match, scene.now + EDIT_AGAIN));
        Some(Effect::Edit { model, if_match })
    }
}

/// Back to the old version, unless that one is suspended too: then an operator decides.
fn way_back(scene: &Scene<'_>) -> Action {
    if scene.seen.evidence.old_suspended {
        Action::Pause
    } else {
        Action::Abort
    }
}

fn step_on(model: &Model) -> Result<Model, EditError> {
    let rollout = model.rollout.as_ref().ok_or(EditError::NoRollout)?;
    if rollout.step + 1 < rollout.steps.len() {
        edit::act(model, &Action::Advance)
    } else {
        edit::finish(model)
    }
}

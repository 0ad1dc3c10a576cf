//! The goal of a roll-out, derived from its model's entry.

use catalogue::entry::{Model, Rollout, RolloutState, VersionState};
use types::prelude::*;

use crate::observed::Demand;

/// The goal of a roll-out: one version to provide, another to give up.
#[derive(Debug, Clone, PartialEq)]
pub struct Goal {
    /// The version that stays in the end.
    pub keep: VersionName,
    /// The version that goes in the end.
    pub drop: VersionName,
    /// How far the roll-out has come.
    pub phase: Phase,
}

/// How far a roll-out has come.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Phase {
    /// The version that stays takes over step by step.
    Ramp {
        /// Its share of new sessions.
        share: Share,
        /// Share to have capacity for: that of the next step while the roll-out runs.
        next: Share,
    },
    /// The version that stays gets all new sessions; the other's capacity is removed.
    Remove {
        /// State of the other version, which may still serve its sessions.
        drop_state: VersionState,
    },
}

impl Goal {
    /// Derives the goal from a model's entry, if it has a roll-out.
    #[must_use]
    pub fn of(model: &Model) -> Option<Self> {
        let rollout = model.rollout.as_ref()?;
        let (keep, drop) = match rollout.state {
            RolloutState::Aborted => (&rollout.from, &rollout.to),
            _ => (&rollout.to, &rollout.from),
        };
        let phase = match rollout.state {
            RolloutState::Running => ramp_phase(rollout, rollout.step + 1),
            RolloutState::Paused => ramp_phase(rollout, rollout.step),
            RolloutState::Aborted | RolloutState::Done => Phase::Remove {
                drop_state: model.versions.get(drop)?.state,
            },
        };
        Some(Self {
            keep: keep.clone(),
            drop: drop.clone(),
            phase,
        })
    }

    /// Returns the demand on the version that stays and on the one that goes.
    #[must_use]
    pub fn demand(&self, model: &Model, demand: &Demand) -> (f64, f64) {
        let aborted = model
            .rollout
            .as_ref()
            .is_some_and(|rollout| rollout.to == self.drop);
        if aborted {
            (demand.from, demand.to)
        } else {
            (demand.to, demand.from)
        }
    }
}

fn ramp_phase(rollout: &Rollout, next: usize) -> Phase {
    let last = rollout.steps.last().copied().unwrap_or(Share::ALL);
    Phase::Ramp {
        share: rollout.share(),
        next: rollout.steps.get(next).copied().unwrap_or(last),
    }
}

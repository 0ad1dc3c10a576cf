//! Changes to model entries that operators make most: roll-outs and version states.

use types::prelude::*;

use crate::entry::{Body, Entry, Gate, Model, Rollout, RolloutState, VersionState};

/// Why a change does not apply to an entry.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum ChangeError {
    /// The entry is not a model.
    #[error("this is no model's entry; name one under models/")]
    NotModel,
    /// The model has no such version.
    #[error("the model has no version {0}; put it into the entry first")]
    NoVersion(VersionName),
    /// No roll-out is in progress.
    #[error("no roll-out is under way; begin one")]
    NoRollout,
    /// A roll-out to this version is already in progress.
    #[error("a roll-out to {0} is under way; finish or abort it first")]
    Busy(VersionName),
}

/// A change to a model's roll-out.
#[derive(Debug, Clone, PartialEq)]
pub enum RolloutChange {
    /// Start a roll-out.
    Begin {
        /// The version to be replaced.
        from: VersionName,
        /// The version to be rolled out.
        to: VersionName,
        /// The new version's share of new sessions at each step, rising to 1.
        steps: Vec<Share>,
        /// Conditions for advancing to the next step.
        gate: Gate,
    },
    /// Go to the next step; after the last step the roll-out is done.
    Advance,
    /// Stay at the current step.
    Pause,
    /// Continue a paused roll-out.
    Resume,
    /// Return to the old version.
    Abort,
}

/// Returns the entry with its roll-out changed.
///
/// # Errors
/// When the entry is not a model, lacks a version, or its roll-out does not allow the change.
pub fn rollout(entry: &Entry, change: RolloutChange) -> Result<Entry, ChangeError> {
    let mut entry = entry.clone();
    let model = model_of(&mut entry)?;
    match change {
        RolloutChange::Begin {
            from,
            to,
            steps,
            gate,
        } => start(model, from, to, steps, gate)?,
        RolloutChange::Advance => advance(active_rollout(model)?),
        RolloutChange::Pause => active_rollout(model)?.state = RolloutState::Paused,
        RolloutChange::Resume => active_rollout(model)?.state = RolloutState::Running,
        RolloutChange::Abort => active_rollout(model)?.state = RolloutState::Aborted,
    }
    Ok(entry)
}

/// Returns the entry with a version offered, draining or withdrawn. Withdrawing the version
/// that is being rolled out aborts the roll-out.
///
/// # Errors
/// When the entry is not a model or has no such version.
pub fn set_state(
    entry: &Entry,
    version: &VersionName,
    state: VersionState,
) -> Result<Entry, ChangeError> {
    let mut entry = entry.clone();
    let model = model_of(&mut entry)?;
    let found = model.versions.get_mut(version);
    found
        .ok_or_else(|| ChangeError::NoVersion(version.clone()))?
        .state = state;
    let rollout = model.rollout.as_mut().filter(|rollout| is_active(rollout));
    if let Some(rollout) = rollout.filter(|rollout| rollout.to == *version)
        && state == VersionState::Withdrawn
    {
        rollout.state = RolloutState::Aborted;
    }
    Ok(entry)
}

fn model_of(entry: &mut Entry) -> Result<&mut Model, ChangeError> {
    match &mut entry.body {
        Body::Model(model) => Ok(model),
        _ => Err(ChangeError::NotModel),
    }
}

fn is_active(rollout: &Rollout) -> bool {
    matches!(rollout.state, RolloutState::Running | RolloutState::Paused)
}

fn active_rollout(model: &mut Model) -> Result<&mut Rollout, ChangeError> {
    let rollout = model.rollout.as_mut().filter(|rollout| is_active(rollout));
    rollout.ok_or(ChangeError::NoRollout)
}

fn start(
    model: &mut Model,
    from: VersionName,
    to: VersionName,
    steps: Vec<Share>,
    gate: Gate,
) -> Result<(), ChangeError> {
    if let Ok(active) = active_rollout(model) {
        return Err(ChangeError::Busy(active.to.clone()));
    }
    let missing = [&from, &to]
        .into_iter()
        .find(|name| !model.versions.contains_key(*name));
    if let Some(missing) = missing {
        return Err(ChangeError::NoVersion(missing.clone()));
    }
    model.rollout = Some(Rollout {
        from,
        to,
        steps,
        step: 0,
        state: RolloutState::Running,
        gate,
    });
    Ok(())
}

fn advance(rollout: &mut Rollout) {
    if rollout.step + 1 < rollout.steps.len() {
        rollout.step += 1;
    } else {
        rollout.state = RolloutState::Done;
    }
}

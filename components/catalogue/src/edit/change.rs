//! Changed entries for what operators do most: roll a version out, withdraw one.

use types::prelude::*;

use crate::entry::{Body, Entry, Gate, Model, Rollout, RolloutState, VersionState};

/// Why an entry cannot be changed so.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum ChangeError {
    /// Not a model's entry.
    #[error("this is no model's entry; name one under models/")]
    NotModel,
    /// The model lacks the version.
    #[error("the model has no version {0}; put it into the entry first")]
    NoVersion(VersionName),
    /// Nothing is being rolled out.
    #[error("no roll-out is under way; begin one")]
    NoRollout,
    /// One is being rolled out already.
    #[error("a roll-out to {0} is under way; finish or abort it first")]
    Busy(VersionName),
}

/// What to do with a roll-out.
#[derive(Debug, Clone, PartialEq)]
pub enum RolloutChange {
    /// Begin one.
    Begin {
        /// The version that goes.
        from: VersionName,
        /// The version that comes.
        to: VersionName,
        /// Its shares, rising to 1.
        steps: Vec<Share>,
        /// What a step needs before the next.
        gate: Gate,
    },
    /// Go to the next step; after the last the roll-out is done.
    Advance,
    /// Stay at the step.
    Pause,
    /// Go on.
    Resume,
    /// Go back to the old version.
    Abort,
}

/// The entry with its roll-out changed.
///
/// # Errors
/// When the entry is no model or its roll-out does not allow it.
pub fn rollout(entry: &Entry, change: RolloutChange) -> Result<Entry, ChangeError> {
    let mut entry = entry.clone();
    let model = model_of(&mut entry)?;
    match change {
        RolloutChange::Begin {
            from,
            to,
            steps,
            gate,
        } => begin(model, from, to, steps, gate)?,
        RolloutChange::Advance => advance(open(model)?),
        RolloutChange::Pause => open(model)?.state = RolloutState::Paused,
        RolloutChange::Resume => open(model)?.state = RolloutState::Running,
        RolloutChange::Abort => open(model)?.state = RolloutState::Aborted,
    }
    Ok(entry)
}

/// The entry with a version offered, draining or withdrawn. Withdrawing the version
/// that is being rolled out aborts the roll-out.
///
/// # Errors
/// When the entry is no model or has no such version.
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
    let rollout = model.rollout.as_mut().filter(|rollout| is_open(rollout));
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

fn is_open(rollout: &Rollout) -> bool {
    matches!(rollout.state, RolloutState::Running | RolloutState::Paused)
}

fn open(model: &mut Model) -> Result<&mut Rollout, ChangeError> {
    let rollout = model.rollout.as_mut().filter(|rollout| is_open(rollout));
    rollout.ok_or(ChangeError::NoRollout)
}

fn begin(
    model: &mut Model,
    from: VersionName,
    to: VersionName,
    steps: Vec<Share>,
    gate: Gate,
) -> Result<(), ChangeError> {
    if let Ok(open) = open(model) {
        return Err(ChangeError::Busy(open.to.clone()));
    }
    let absent = [&from, &to]
        .into_iter()
        .find(|name| !model.versions.contains_key(*name));
    if let Some(absent) = absent {
        return Err(ChangeError::NoVersion(absent.clone()));
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

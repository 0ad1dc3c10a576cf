//! What may be done to a model's entry: roll-outs started, moved and ended, versions
//! offered and withdrawn.
//!
//! Each function takes the entry as it stands and gives the entry to write. The write is
//! bound to the revision that was read, so of two operators who act at once one is told
//! that the entry has changed.

use catalogue::entry::{Gate, Model, Rollout, RolloutState, VersionState};
use types::prelude::*;

/// Steps of a roll-out started without any.
pub const DEFAULT_STEPS: [f64; 4] = [0.05, 0.25, 0.5, 1.0];
/// Most steps of a roll-out, the first with nothing but loading included.
pub const MAX_STEPS: usize = 32;

/// Why an action on a model makes no sense.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum EditError {
    /// The entry has no such version.
    #[error("the model has no version {0}; add it to the model's entry first")]
    UnknownVersion(VersionName),
    /// Roll-out from a version to itself.
    #[error("{0} cannot take over from itself; name another version")]
    SameVersion(VersionName),
    /// It does not say which version goes, and that is not plain.
    #[error("the model offers {0} other versions; say with `from` which one goes")]
    AmbiguousFrom(usize),
    /// There is one under way.
    #[error("a roll-out to {0} is under way; abort it or let it end first")]
    UnderWay(VersionName),
    /// There is none.
    #[error("the model has no roll-out; start one")]
    NoRollout,
    /// It has the last step already.
    #[error("the roll-out is at its last step; it ends once its gate opens")]
    LastStep,
    /// Not in a state for this action.
    #[error("the roll-out is {is}; this needs one that is {needs}")]
    WrongState {
        /// Its state.
        is: &'static str,
        /// The states that would do.
        needs: &'static str,
    },
    /// Steps do not rise to 1, or are too many.
    #[error("steps must rise to 1, be more than 0 and fewer than {MAX_STEPS}")]
    BadSteps,
}

/// What a new roll-out is.
#[derive(Debug, Clone, PartialEq)]
pub struct Start {
    /// The version that comes.
    pub to: VersionName,
    /// The version that goes, or the only other one offered.
    pub from: Option<VersionName>,
    /// Shares of new sessions; [`DEFAULT_STEPS`] unless given. A step of share 0, in which
    /// the new version is only loaded, goes before them.
    pub steps: Option<Vec<Share>>,
    /// Default unless given.
    pub gate: Option<Gate>,
}

/// An action on a roll-out.
#[derive(Debug, Clone, PartialEq)]
pub enum Action {
    /// Begins one. The new version becomes offered.
    Start(Start),
    /// Goes to the next step without waiting for the gate.
    Advance,
    /// Stays at the step.
    Pause,
    /// Goes on after a pause.
    Resume,
    /// Goes back to the old version. The new one drains.
    Abort,
}

/// The model after an action.
///
/// # Errors
/// When the action makes no sense for the model as it stands.
pub fn act(model: &Model, action: &Action) -> Result<Model, EditError> {
    match action {
        Action::Start(start) => begin(model, start),
        Action::Advance => advance(model),
        Action::Pause => {
            let needs = (&[RolloutState::Running][..], "running");
            change(model, needs, |rollout| rollout.state = RolloutState::Paused)
        }
        Action::Resume => {
            let needs = (&[RolloutState::Paused][..], "paused");
            change(model, needs, |rollout| {
                rollout.state = RolloutState::Running
            })
        }
        Action::Abort => abort(model),
    }
}

const UNDER_WAY: (&[RolloutState], &str) = (
    &[RolloutState::Running, RolloutState::Paused],
    "running or paused",
);

fn begin(model: &Model, start: &Start) -> Result<Model, EditError> {
    if let Some(rollout) = &model.rollout
        && UNDER_WAY.0.contains(&rollout.state)
    {
        return Err(EditError::UnderWay(rollout.to.clone()));
    }
    let from = match &start.from {
        Some(from) => from.clone(),
        None => only_other(model, &start.to)?,
    };
    if from == start.to {
        return Err(EditError::SameVersion(from));
    }
    let shares = start.steps.clone().unwrap_or_else(default_steps);
    check_steps(&shares)?;
    // At the first step the new version is only loaded: a share of sessions before any
    // engine is ready would have nowhere to go.
    let steps = std::iter::once(Share::NONE).chain(shares).collect();
    let mut next = set_state(model, &start.to, VersionState::Offered)?;
    known(model, &from)?;
    next.rollout = Some(Rollout {
        from,
        to: start.to.clone(),
        steps,
        step: 0,
        state: RolloutState::Running,
        gate: start.gate.clone().unwrap_or_default(),
    });
    Ok(next)
}

fn default_steps() -> Vec<Share> {
    DEFAULT_STEPS.into_iter().map(Share::clamped).collect()
}

fn check_steps(steps: &[Share]) -> Result<(), EditError> {
    let rise = steps.windows(2).all(|pair| pair[0].get() < pair[1].get());
    let first = steps.first().is_some_and(|share| share.get() > 0.0);
    let last = steps.last() == Some(&Share::ALL);
    if rise && first && last && steps.len() < MAX_STEPS {
        Ok(())
    } else {
        Err(EditError::BadSteps)
    }
}

fn only_other(model: &Model, to: &VersionName) -> Result<VersionName, EditError> {
    let offered = model.versions.iter();
    let offered = offered.filter(|(_, version)| version.state == VersionState::Offered);
    let others: Vec<_> = offered
        .map(|(name, _)| name)
        .filter(|name| *name != to)
        .collect();
    match others.as_slice() {
        [only] => Ok((*only).clone()),
        _ => Err(EditError::AmbiguousFrom(others.len())),
    }
}

fn known(model: &Model, version: &VersionName) -> Result<(), EditError> {
    if model.versions.contains_key(version) {
        Ok(())
    } else {
        Err(EditError::UnknownVersion(version.clone()))
    }
}

fn advance(model: &Model) -> Result<Model, EditError> {
    let rollout = model.rollout.as_ref().ok_or(EditError::NoRollout)?;
    if rollout.step + 1 >= rollout.steps.len() && UNDER_WAY.0.contains(&rollout.state) {
        return Err(EditError::LastStep);
    }
    change(model, UNDER_WAY, |rollout| rollout.step += 1)
}

fn abort(model: &Model) -> Result<Model, EditError> {
    let next = change(model, UNDER_WAY, |rollout| {
        rollout.state = RolloutState::Aborted
    })?;
    let rollout = model.rollout.as_ref().ok_or(EditError::NoRollout)?;
    // A version withdrawn meanwhile stays so: draining would let its sessions run on.
    if version_state(model, &rollout.to) == Some(VersionState::Withdrawn) {
        return Ok(next);
    }
    set_state(&next, &rollout.to, VersionState::Draining)
}

/// The model after its roll-out's last gate: the new version has all, the old one drains.
///
/// # Errors
/// When no roll-out is under way.
pub fn finish(model: &Model) -> Result<Model, EditError> {
    let next = change(model, UNDER_WAY, |rollout| {
        rollout.state = RolloutState::Done
    })?;
    let rollout = model.rollout.as_ref().ok_or(EditError::NoRollout)?;
    if version_state(model, &rollout.from) == Some(VersionState::Withdrawn) {
        return Ok(next);
    }
    set_state(&next, &rollout.from, VersionState::Draining)
}

fn version_state(model: &Model, version: &VersionName) -> Option<VersionState> {
    model.versions.get(version).map(|version| version.state)
}

fn change(
    model: &Model,
    needs: (&[RolloutState], &'static str),
    edit: impl FnOnce(&mut Rollout),
) -> Result<Model, EditError> {
    let mut next = model.clone();
    let rollout = next.rollout.as_mut().ok_or(EditError::NoRollout)?;
    if !needs.0.contains(&rollout.state) {
        return Err(EditError::WrongState {
            is: state_name(rollout.state),
            needs: needs.1,
        });
    }
    edit(rollout);
    Ok(next)
}

/// A roll-out's state as the catalogue writes it.
#[must_use]
pub fn state_name(state: RolloutState) -> &'static str {
    match state {
        RolloutState::Running => "running",
        RolloutState::Paused => "paused",
        RolloutState::Aborted => "aborted",
        RolloutState::Done => "done",
    }
}

/// The model with one version offered, draining or withdrawn.
///
/// Withdrawing the version that a roll-out brings aborts the roll-out.
///
/// # Errors
/// When the entry has no such version.
pub fn set_state(
    model: &Model,
    version: &VersionName,
    state: VersionState,
) -> Result<Model, EditError> {
    known(model, version)?;
    let mut next = model.clone();
    if let Some(entry) = next.versions.get_mut(version) {
        entry.state = state;
    }
    if let Some(rollout) = next.rollout.as_mut()
        && state == VersionState::Withdrawn
        && rollout.to == *version
        && UNDER_WAY.0.contains(&rollout.state)
    {
        rollout.state = RolloutState::Aborted;
    }
    Ok(next)
}

//! Edits of a model's entry: roll-outs started, advanced and ended, versions offered and withdrawn.
//!
//! Each function takes the present entry and returns the entry to write. The write is conditional
//! on the revision that was read, so when two operators act at once, one gets the error that the
//! entry has changed.

use catalogue::entry::{Gate, Model, Rollout, RolloutState, VersionState};
use types::prelude::*;

/// Shares of new sessions for a roll-out that is started without steps.
pub const DEFAULT_STEPS: [f64; 4] = [0.05, 0.25, 0.5, 1.0];
/// Maximum number of steps, including the first one, which only loads.
pub const MAX_STEPS: usize = 32;

/// Why an edit of a model's entry is rejected.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum EditError {
    /// The entry has no such version.
    #[error("the model has no version {0}; add it to the model's entry first")]
    UnknownVersion(VersionName),
    /// The roll-out would go from a version to itself.
    #[error("{0} cannot take over from itself; name another version")]
    SameVersion(VersionName),
    /// No old version is given, and the number of other offered versions is not one.
    #[error("the model offers {0} other versions; say with `from` which one goes")]
    AmbiguousFrom(usize),
    /// A roll-out to this version is in progress.
    #[error("a roll-out to {0} is under way; abort it or let it end first")]
    InProgress(VersionName),
    /// The model has no roll-out.
    #[error("the model has no roll-out; start one")]
    NoRollout,
    /// The roll-out is at its last step already.
    #[error("the roll-out is at its last step; it ends once its gate opens")]
    LastStep,
    /// The roll-out's state does not allow the action.
    #[error("the roll-out is {is}; this needs one that is {needs}")]
    WrongState {
        /// State of the roll-out.
        is: &'static str,
        /// States that allow the action.
        needs: &'static str,
    },
    /// The steps do not rise to 1, or there are too many.
    #[error("steps must rise to 1, be more than 0 and fewer than {MAX_STEPS}")]
    BadSteps,
}

/// Parameters of a new roll-out.
#[derive(Debug, Clone, PartialEq)]
pub struct Start {
    /// The new version.
    pub to: VersionName,
    /// The old version; by default the only other one that is offered.
    pub from: Option<VersionName>,
    /// Shares of new sessions, by default [`DEFAULT_STEPS`]. A step of share 0, in which the new
    /// version is only loaded, is put before them.
    pub steps: Option<Vec<Share>>,
    /// Conditions for leaving a step; by default those of [`Gate::default`].
    pub gate: Option<Gate>,
}

/// An action on a roll-out.
#[derive(Debug, Clone, PartialEq)]
pub enum Action {
    /// Starts a roll-out. The new version becomes offered.
    Start(Start),
    /// Goes to the next step without waiting for the gate.
    Advance,
    /// Pauses at the present step.
    Pause,
    /// Continues after a pause.
    Resume,
    /// Goes back to the old version; the new one drains.
    Abort,
}

/// Returns the model after an action.
///
/// # Errors
/// Returns an error when the model does not allow the action.
pub fn act(model: &Model, action: &Action) -> Result<Model, EditError> {
    match action {
        Action::Start(start) => start_rollout(model, start),
        Action::Advance => advance(model),
        Action::Pause => {
            let needs = (&[RolloutState::Running][..], "running");
            change_rollout(model, needs, |rollout| rollout.state = RolloutState::Paused)
        }
        Action::Resume => {
            let needs = (&[RolloutState::Paused][..], "paused");
            change_rollout(model, needs, |rollout| {
                rollout.state = RolloutState::Running
            })
        }
        Action::Abort => abort(model),
    }
}

/// States of a roll-out that is in progress, and their description for error messages.
const IN_PROGRESS: (&[RolloutState], &str) = (
    &[RolloutState::Running, RolloutState::Paused],
    "running or paused",
);

fn start_rollout(model: &Model, start: &Start) -> Result<Model, EditError> {
    if let Some(rollout) = &model.rollout
        && IN_PROGRESS.0.contains(&rollout.state)
    {
        return Err(EditError::InProgress(rollout.to.clone()));
    }
    let from = match &start.from {
        Some(from) => from.clone(),
        None => only_other_offered(model, &start.to)?,
    };
    if from == start.to {
        return Err(EditError::SameVersion(from));
    }
    let shares = start.steps.clone().unwrap_or_else(default_steps);
    check_steps(&shares)?;
    // At the first step the new version is only loaded: sessions sent to it before any engine is
    // ready could not be served.
    let steps = std::iter::once(Share::NONE).chain(shares).collect();
    let mut next = set_state(model, &start.to, VersionState::Offered)?;
    check_known(model, &from)?;
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
    let rises = steps.windows(2).all(|pair| pair[0].get() < pair[1].get());
    let starts_above_zero = steps.first().is_some_and(|share| share.get() > 0.0);
    let ends_at_one = steps.last() == Some(&Share::ALL);
    if rises && starts_above_zero && ends_at_one && steps.len() < MAX_STEPS {
        Ok(())
    } else {
        Err(EditError::BadSteps)
    }
}

fn only_other_offered(model: &Model, to: &VersionName) -> Result<VersionName, EditError> {
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

fn check_known(model: &Model, version: &VersionName) -> Result<(), EditError> {
    if model.versions.contains_key(version) {
        Ok(())
    } else {
        Err(EditError::UnknownVersion(version.clone()))
    }
}

fn advance(model: &Model) -> Result<Model, EditError> {
    let rollout = model.rollout.as_ref().ok_or(EditError::NoRollout)?;
    if rollout.step + 1 >= rollout.steps.len() && IN_PROGRESS.0.contains(&rollout.state) {
        return Err(EditError::LastStep);
    }
    change_rollout(model, IN_PROGRESS, |rollout| rollout.step += 1)
}

fn abort(model: &Model) -> Result<Model, EditError> {
    let next = change_rollout(model, IN_PROGRESS, |rollout| {
        rollout.state = RolloutState::Aborted
    })?;
    let rollout = model.rollout.as_ref().ok_or(EditError::NoRollout)?;
    // A version that was withdrawn meanwhile stays withdrawn: draining would let its sessions
    // continue.
    if version_state(model, &rollout.to) == Some(VersionState::Withdrawn) {
        return Ok(next);
    }
    set_state(&next, &rollout.to, VersionState::Draining)
}

/// Returns the model after its roll-out's last gate: the new version gets all sessions, the old one
/// drains.
///
/// # Errors
/// Returns an error when no roll-out is in progress.
pub fn finish(model: &Model) -> Result<Model, EditError> {
    let next = change_rollout(model, IN_PROGRESS, |rollout| {
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

fn change_rollout(
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

/// The name of a roll-out's state, as the catalogue writes it.
#[must_use]
pub fn state_name(state: RolloutState) -> &'static str {
    match state {
        RolloutState::Running => "running",
        RolloutState::Paused => "paused",
        RolloutState::Aborted => "aborted",
        RolloutState::Done => "done",
    }
}

/// Returns the model with one version offered, draining or withdrawn.
///
/// Withdrawing the new version of a roll-out aborts the roll-out.
///
/// # Errors
/// Returns an error when the entry has no such version.
pub fn set_state(
    model: &Model,
    version: &VersionName,
    state: VersionState,
) -> Result<Model, EditError> {
    check_known(model, version)?;
    let mut next = model.clone();
    if let Some(entry) = next.versions.get_mut(version) {
        entry.state = state;
    }
    if let Some(rollout) = next.rollout.as_mut()
        && state == VersionState::Withdrawn
        && rollout.to == *version
        && IN_PROGRESS.0.contains(&rollout.state)
    {
        rollout.state = RolloutState::Aborted;
    }
    Ok(next)
}

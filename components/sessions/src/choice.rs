//! Which version a session gets.
//!
//! A pinned version is kept as long as it may run at all, draining included. Withdrawal beats
//! the session, as does the loss of the customer's permission: the session moves to another
//! version and its caller is told. New sessions follow a roll-out's share by a hash of the
//! session, so that a rising share takes sessions from the old version only.

use std::collections::BTreeSet;

use catalogue::entry::{Rollout, VersionState};
use catalogue::view::View;
use types::prelude::*;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// The version of a session.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Choice {
    /// The one it had.
    Kept(VersionId),
    /// The one it has from now on.
    New {
        /// Its version.
        version: VersionId,
        /// The one it had and lost by withdrawal or permission; the caller is told.
        moved_from: Option<VersionId>,
    },
    /// This daemon's catalogue is older than the pin and does not have its version yet:
    /// refuse as not run, or wait for the catalogue.
    Behind,
}

impl Choice {
    /// The version, if there is one.
    #[must_use]
    pub fn version(&self) -> Option<&VersionId> {
        match self {
            Self::Kept(version) | Self::New { version, .. } => Some(version),
            Self::Behind => None,
        }
    }
}

/// What may be chosen from.
#[derive(Debug, Clone, Copy)]
pub struct Options<'a> {
    /// The catalogue.
    pub view: &'a View,
    /// Versions that the customer may use and that are not withdrawn.
    pub permitted: &'a BTreeSet<VersionId>,
    /// Versions that take no new sessions for now: suspended for bad answers.
    pub suspended: &'a BTreeSet<VersionId>,
    /// Models in the order of preference; those not named come last.
    pub preferred: &'a [ModelName],
}

/// Chooses for a session with this hash and perhaps a pin, given with the revision that it was
/// made under. Nothing, when no version that is permitted takes new sessions.
///
/// Guards against a session that changes its version at a daemon whose catalogue lags: a
/// version added a moment ago is unknown there, which looks like withdrawn. The pin's revision
/// tells the two apart.
#[must_use]
pub fn choose(
    hash: u64,
    pin: Option<(&VersionId, Revision)>,
    options: &Options<'_>,
) -> Option<Choice> {
    match pin {
        Some((pin, _)) if options.permitted.contains(pin) => Some(Choice::Kept(pin.clone())),
        Some((_, revision)) if revision > options.view.revision => Some(Choice::Behind),
        _ => Some(Choice::New {
            version: choose_new(hash, options)?,
            moved_from: pin.map(|(version, _)| version.clone()),
        }),
    }
}

/// Chooses by the session's hash and the present shares alone.
#[must_use]
pub fn choose_new(hash: u64, options: &Options<'_>) -> Option<VersionId> {
    let others = options.permitted.iter().map(|version| &version.model);
    let mut models = options.preferred.iter().chain(others);
    models.find_map(|model| choose_of_model(hash, model, options))
}

/// Chooses among one model's versions.
#[must_use]
pub fn choose_of_model(hash: u64, model: &ModelName, options: &Options<'_>) -> Option<VersionId> {
    let open = open_versions(model, options);
    let rollout = options.view.models.get(model);
    let rollout = rollout.and_then(|model| model.rollout.as_ref());
    let by_share = rollout.map(|rollout| arm(hash, model, rollout));
    match by_share {
        Some(version) if open.contains(&version) => Some(version),
        _ => open.into_iter().max_by_key(|version| draw(hash, version)),
    }
}

/// The side of a roll-out that a session falls on. The draw depends on the session and the
/// coming version only; with a rising share, sessions go over and none comes back.
#[must_use]
pub fn arm(hash: u64, model: &ModelName, rollout: &Rollout) -> VersionId {
    let to = VersionId::new(model.clone(), rollout.to.clone());
    let part = draw(hash, &to) as f64 / u64::MAX as f64;
    if part < rollout.share().get() || rollout.share() == Share::ALL {
        to
    } else {
        VersionId::new(model.clone(), rollout.from.clone())
    }
}

fn open_versions(model: &ModelName, options: &Options<'_>) -> BTreeSet<VersionId> {
    let of_model = options.permitted.iter().filter(|id| id.model == *model);
    let open = of_model
        .filter(|id| options.view.version_state(id) == Some(VersionState::Offered))
        .filter(|id| !options.suspended.contains(*id));
    open.cloned().collect()
}

fn draw(hash: u64, version: &VersionId) -> u64 {
    xxh3_64_with_seed(version.to_string().as_bytes(), hash)
}

//! Models, their versions and roll-outs.

use std::collections::BTreeMap;
use std::fmt;

use serde::{Deserialize, Serialize};
use types::prelude::*;

/// A model and its versions.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Model {
    /// The service whose upstreams run the model.
    pub service: EntryName,
    /// The model's versions by name.
    pub versions: BTreeMap<VersionName, Version>,
    /// The roll-out in progress, or else the last one.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub rollout: Option<Rollout>,
}

/// One version of a model.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Version {
    /// Which requests the version is given.
    pub state: VersionState,
    /// Price of the version's tokens.
    pub price: Price,
    /// Expected share of adequate answers by class, used before there are ratings.
    #[serde(default)]
    pub expected_quality: BTreeMap<ClassName, Share>,
}

/// Which requests a version is given.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum VersionState {
    /// All requests.
    Offered,
    /// Only requests of sessions that it already has.
    Draining,
    /// No new requests.
    Withdrawn,
}

impl fmt::Display for VersionState {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Offered => "offered",
            Self::Draining => "draining",
            Self::Withdrawn => "withdrawn",
        })
    }
}

/// Price of a million tokens.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Price {
    /// Price of prompt tokens.
    #[serde(with = "serde_with::As::<serde_with::DisplayFromStr>")]
    pub input: Cost,
    /// Price of answer tokens.
    #[serde(with = "serde_with::As::<serde_with::DisplayFromStr>")]
    pub output: Cost,
}

/// Number of tokens that a [`Price`] refers to.
const TOKENS_PER_PRICE: u128 = 1_000_000;

impl Price {
    /// Returns the cost of a prompt and its answer, rounded up.
    #[must_use]
    pub fn of(self, input: Tokens, output: Tokens) -> Cost {
        let input = u128::from(self.input.0) * u128::from(input.0);
        let output = u128::from(self.output.0) * u128::from(output.0);
        let sum = (input + output).div_ceil(TOKENS_PER_PRICE);
        Cost(u64::try_from(sum).unwrap_or(u64::MAX))
    }
}

/// How one version takes over from another.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Rollout {
    /// The version to be replaced.
    pub from: VersionName,
    /// The version to be rolled out.
    pub to: VersionName,
    /// The new version's share of new sessions at each step, rising to 1.
    pub steps: Vec<Share>,
    /// Index of the current step, from 0.
    pub step: usize,
    /// Whether the roll-out advances, has ended or was aborted.
    pub state: RolloutState,
    /// Conditions for advancing to the next step.
    #[serde(default)]
    pub gate: Gate,
}

impl Rollout {
    /// Returns the new version's current share of new sessions.
    #[must_use]
    pub fn share(&self) -> Share {
        match self.state {
            RolloutState::Aborted => Share::NONE,
            RolloutState::Done => Share::ALL,
            RolloutState::Running | RolloutState::Paused => {
                self.steps.get(self.step).copied().unwrap_or(Share::NONE)
            }
        }
    }
}

/// Whether a roll-out advances, has ended or was aborted.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum RolloutState {
    /// Advances when the gate of the current step is met.
    Running,
    /// Stays at the current step.
    Paused,
    /// Ended by returning to the old version.
    Aborted,
    /// Ended with the new version taking all sessions.
    Done,
}

/// Conditions for a roll-out to advance from one step to the next.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Gate {
    /// Number of ratings of the new version needed at this step.
    pub ratings: u32,
    /// Least time at a step.
    pub stay: Span,
}

impl Default for Gate {
    fn default() -> Self {
        Self {
            ratings: 50,
            stay: Span::from_secs(30),
        }
    }
}

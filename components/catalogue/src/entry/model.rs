//! Models, their versions and roll-outs.

use std::collections::BTreeMap;
use std::fmt;

use serde::{Deserialize, Serialize};
use types::prelude::*;

/// A model and its versions.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Model {
    /// The service that runs it.
    pub service: EntryName,
    /// Its versions by name.
    pub versions: BTreeMap<VersionName, Version>,
    /// The roll-out under way or the last one.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub rollout: Option<Rollout>,
}

/// One version of a model.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Version {
    /// Whether it takes work.
    pub state: VersionState,
    /// What its work costs.
    pub price: Price,
    /// Expected share of adequate answers before any rating, by class.
    #[serde(default)]
    pub expected_quality: BTreeMap<ClassName, Share>,
}

/// Whether a version takes work.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum VersionState {
    /// Everything.
    Offered,
    /// Only the sessions that it has.
    Draining,
    /// Nothing new at all.
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
    /// Of the prompt.
    #[serde(with = "serde_with::As::<serde_with::DisplayFromStr>")]
    pub input: Cost,
    /// Of the answer.
    #[serde(with = "serde_with::As::<serde_with::DisplayFromStr>")]
    pub output: Cost,
}

const TOKENS_PER_PRICE: u128 = 1_000_000;

impl Price {
    /// What a prompt and its answer cost, rounded up.
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
    /// The version that goes.
    pub from: VersionName,
    /// The version that comes.
    pub to: VersionName,
    /// The new version's share of new sessions, step by step, rising to 1.
    pub steps: Vec<Share>,
    /// The step in force, from 0.
    pub step: usize,
    /// Whether it moves.
    pub state: RolloutState,
    /// What a step needs before the next.
    #[serde(default)]
    pub gate: Gate,
}

impl Rollout {
    /// The new version's share of new sessions now.
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

/// Whether a roll-out moves.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum RolloutState {
    /// Goes on as gates open.
    Running,
    /// Stays at its step.
    Paused,
    /// Gone back to the old version.
    Aborted,
    /// The new version has everything.
    Done,
}

/// What a roll-out's step needs before the next.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Gate {
    /// Ratings of the new version at this step.
    pub ratings: u32,
    /// Shortest stay at a step.
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

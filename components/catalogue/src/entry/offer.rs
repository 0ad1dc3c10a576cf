//! What callers ask for.

use std::collections::BTreeMap;
use std::fmt;
use std::str::FromStr;

use serde::{Deserialize, Serialize};
use serde_with::{DeserializeFromStr, SerializeDisplay};
use types::id::NameError;
use types::prelude::*;

use crate::entry::{Freshness, Limits};

/// What callers ask for: a class of work and who may have it from which versions.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Offer {
    /// The kind of work.
    pub class: ClassName,
    /// What goes first; a request may ask for less.
    #[serde(default)]
    pub priority: Priority,
    /// Models and versions to choose from.
    pub candidates: Vec<Permit>,
    /// Who may call, and which of the candidates each may be served from.
    pub customers: BTreeMap<CustomerId, Vec<Permit>>,
    /// Share of answers that must be adequate.
    pub quality_target: Share,
    /// What matters when candidates differ.
    #[serde(default)]
    pub weights: Weights,
    /// Across all customers.
    #[serde(default)]
    pub limits: Limits,
    /// An answer is due within, unless the request says less.
    #[serde(default = "default_deadline")]
    pub deadline: Span,
    /// Longest answer.
    #[serde(default = "default_output")]
    pub max_output: Tokens,
    /// What holds when the catalogue may be out of date.
    #[serde(default)]
    pub freshness: Freshness,
}

const fn default_deadline() -> Span {
    Span::from_secs(60)
}

const fn default_output() -> Tokens {
    Tokens(4096)
}

/// What an owner weighs, each from 0; only their ratios count.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Weights {
    /// Money.
    pub cost: f64,
    /// Time to the answer.
    pub latency: f64,
    /// Answers from versions not yet proved.
    pub exposure: f64,
}

impl Default for Weights {
    fn default() -> Self {
        Self {
            cost: 1.0,
            latency: 1.0,
            exposure: 1.0,
        }
    }
}

/// A model with all its versions, or one version: `tariff-large` or `tariff-large@2026-11`.
#[derive(
    Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, SerializeDisplay, DeserializeFromStr,
)]
pub enum Permit {
    /// All versions.
    Model(ModelName),
    /// One version.
    Version(VersionId),
}

impl Permit {
    /// Whether it covers a version.
    #[must_use]
    pub fn covers(&self, version: &VersionId) -> bool {
        match self {
            Self::Model(model) => *model == version.model,
            Self::Version(only) => only == version,
        }
    }

    /// The model that it speaks of.
    #[must_use]
    pub fn model(&self) -> &ModelName {
        match self {
            Self::Model(model) => model,
            Self::Version(version) => &version.model,
        }
    }
}

impl fmt::Display for Permit {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Model(model) => model.fmt(f),
            Self::Version(version) => version.fmt(f),
        }
    }
}

impl FromStr for Permit {
    type Err = NameError;

    fn from_str(text: &str) -> Result<Self, NameError> {
        if text.contains('@') {
            text.parse().map(Self::Version)
        } else {
            text.parse().map(Self::Model)
        }
    }
}

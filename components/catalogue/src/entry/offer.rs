//! Offers: classes of work that customers may request.

use std::collections::BTreeMap;
use std::fmt;
use std::str::FromStr;

use serde::{Deserialize, Serialize};
use serde_with::{DeserializeFromStr, SerializeDisplay};
use types::id::NameError;
use types::prelude::*;

use crate::entry::{Freshness, Limits};

/// A class of work, and which customers may be served from which versions.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Offer {
    /// The class of work.
    pub class: ClassName,
    /// Priority of requests; a request may ask for a lower one.
    #[serde(default)]
    pub priority: Priority,
    /// Models and versions among which requests are routed.
    pub candidates: Vec<Permit>,
    /// Customers who may use the offer, with the candidates that each may be served from.
    pub customers: BTreeMap<CustomerId, Vec<Permit>>,
    /// Least share of answers that must be adequate.
    pub quality_target: Share,
    /// Weights of cost, latency and exposure in the choice among candidates.
    #[serde(default)]
    pub weights: Weights,
    /// Limits across all customers.
    #[serde(default)]
    pub limits: Limits,
    /// Deadline of an answer; a request may set a shorter one.
    #[serde(default = "default_deadline")]
    pub deadline: Span,
    /// Largest number of tokens in an answer.
    #[serde(default = "default_output")]
    pub max_output: Tokens,
    /// Rule for the offer while the catalogue may be out of date.
    #[serde(default)]
    pub freshness: Freshness,
}

const fn default_deadline() -> Span {
    Span::from_secs(60)
}

const fn default_output() -> Tokens {
    Tokens(4096)
}

/// Weights for the choice among candidates, each at least 0; only their ratios count.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Weights {
    /// Weight of the cost.
    pub cost: f64,
    /// Weight of the time to the answer.
    pub latency: f64,
    /// Weight of answers from versions not yet proved.
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
    /// All versions of a model.
    Model(ModelName),
    /// One version of a model.
    Version(VersionId),
}

impl Permit {
    /// Whether the permit covers a version.
    #[must_use]
    pub fn covers(&self, version: &VersionId) -> bool {
        match self {
            Self::Model(model) => *model == version.model,
            Self::Version(only) => only == version,
        }
    }

    /// Returns the model that the permit refers to.
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

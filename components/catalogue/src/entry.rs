//! What operators write: customers, services, models and offers.

mod customer;
mod model;
mod offer;
mod service;

use serde::{Deserialize, Serialize};
use types::prelude::*;

pub use crate::entry::customer::{Customer, KeyHash};
pub use crate::entry::model::{Gate, Model, Price, Rollout, RolloutState, Version, VersionState};
pub use crate::entry::offer::{Offer, Permit, Weights};
pub use crate::entry::service::{Protocol, Service, Upstream};

/// One entry of the catalogue.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Entry {
    /// The team that answers for it.
    pub owner: OperatorName,
    /// What it says.
    #[serde(flatten)]
    pub body: Body,
}

/// The kinds of entry.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(tag = "kind", rename_all = "kebab-case")]
pub enum Body {
    /// Who may call.
    Customer(Customer),
    /// Where work runs.
    Service(Service),
    /// A model and its versions.
    Model(Model),
    /// What callers ask for.
    Offer(Offer),
}

/// Upper bounds; what is absent is not bounded.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Limits {
    /// Requests started.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub requests: Option<Rate>,
    /// Tokens, input and output.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub tokens: Option<Rate>,
    /// Requests in flight.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub concurrent: Option<u32>,
}

/// What holds when a daemon has not heard for a while that its catalogue is current.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Freshness {
    /// The catalogue counts as current this long after it last was confirmed.
    pub limit: Span,
    /// What follows.
    pub past_limit: PastLimit,
}

impl Default for Freshness {
    fn default() -> Self {
        Self {
            limit: Span::from_secs(10),
            past_limit: PastLimit::ServeWithMajority,
        }
    }
}

/// What an entry does past its freshness limit.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum PastLimit {
    /// Serve what is known.
    Serve,
    /// Refuse as not run.
    Refuse,
    /// Serve while most of the fleet is in reach and none of it reaches the store;
    /// a daemon that sees only a few others may be the one that is cut off, and refuses.
    ServeWithMajority,
}

//! Entries that operators write: customers, services, models and offers.

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
    /// The team responsible for the entry.
    pub owner: OperatorName,
    /// The entry's content, according to its kind.
    #[serde(flatten)]
    pub body: Body,
}

/// The content of an entry, one variant for each kind.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(tag = "kind", rename_all = "kebab-case")]
pub enum Body {
    /// A customer who may send requests.
    Customer(Customer),
    /// A pool of upstreams that run requests.
    Service(Service),
    /// A model and its versions.
    Model(Model),
    /// A class of work that customers may request.
    Offer(Offer),
}

/// Rate and concurrency limits; an absent one does not apply.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Limits {
    /// Rate of requests started.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub requests: Option<Rate>,
    /// Rate of tokens, input and output together.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub tokens: Option<Rate>,
    /// Number of requests in flight.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub concurrent: Option<u32>,
}

/// Rule for an entry while its daemon cannot validate that the catalogue is current.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Freshness {
    /// How long the catalogue counts as current after it was last validated.
    pub limit: Span,
    /// What happens after that.
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
    /// Serve the entry as last known.
    Serve,
    /// Refuse requests without running them.
    Refuse,
    /// Serve while a majority of the fleet can be reached and none of it reaches the store.
    /// A daemon that reaches only a minority may be partitioned off itself, and refuses.
    ServeWithMajority,
}

//! Pools of upstreams.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};
use types::prelude::*;

use crate::entry::{Freshness, Limits};

/// A pool of upstreams.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Service {
    /// What its upstreams speak.
    pub protocol: Protocol,
    /// Its upstreams.
    pub upstreams: Vec<Upstream>,
    /// For plain services: who may call.
    #[serde(default)]
    pub customers: Vec<CustomerId>,
    /// For plain services: requests that may be repeated, besides GET, HEAD and OPTIONS.
    #[serde(default)]
    pub idempotent: bool,
    /// For plain services: across all customers.
    #[serde(default)]
    pub limits: Limits,
    /// For plain services: an answer is due within.
    #[serde(default = "default_timeout")]
    pub timeout: Span,
    /// What holds when the catalogue may be out of date.
    #[serde(default)]
    pub freshness: Freshness,
}

const fn default_timeout() -> Span {
    Span::from_secs(30)
}

/// What upstreams of a service speak.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Protocol {
    /// The OpenAI HTTP API and the engines' orders.
    Engine,
    /// Any HTTP.
    Plain,
}

/// One upstream.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Upstream {
    /// Unique in the catalogue.
    pub id: UpstreamId,
    /// Where it listens.
    pub address: SocketAddr,
    /// Where it stands.
    pub failure_domain: FailureDomain,
    /// The region of the failure domain; by default the daemon's own.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub region: Option<Region>,
    /// Requests that it runs at once.
    #[serde(default = "default_slots")]
    pub slots: u32,
    /// Whether it refuses orders with an old fencing number.
    #[serde(default)]
    pub checks_fencing: bool,
}

const fn default_slots() -> u32 {
    16
}

//! Services: pools of upstreams.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};
use types::prelude::*;

use crate::entry::{Freshness, Limits};

/// A pool of upstreams.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Service {
    /// Protocol of the service's upstreams.
    pub protocol: Protocol,
    /// The pool's upstreams.
    pub upstreams: Vec<Upstream>,
    /// For plain services: customers who may use the service.
    #[serde(default)]
    pub customers: Vec<CustomerId>,
    /// For plain services: whether requests other than GET, HEAD and OPTIONS may be retried too.
    #[serde(default)]
    pub idempotent: bool,
    /// For plain services: limits across all customers.
    #[serde(default)]
    pub limits: Limits,
    /// For plain services: timeout of an answer.
    #[serde(default = "default_timeout")]
    pub timeout: Span,
    /// Rule for the service while the catalogue may be out of date.
    #[serde(default)]
    pub freshness: Freshness,
}

const fn default_timeout() -> Span {
    Span::from_secs(30)
}

/// Protocol of a service's upstreams.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Protocol {
    /// The OpenAI HTTP API and the orders to inference engines.
    Engine,
    /// Any HTTP requests.
    Plain,
}

/// An upstream of a service.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Upstream {
    /// Id, unique in the catalogue.
    pub id: UpstreamId,
    /// Address that the upstream listens on.
    pub address: SocketAddr,
    /// Failure domain that the upstream runs in.
    pub failure_domain: FailureDomain,
    /// Region of the failure domain; by default that of the daemon.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub region: Option<Region>,
    /// Number of requests that the upstream runs concurrently.
    #[serde(default = "default_slots")]
    pub slots: u32,
    /// Whether the upstream refuses orders with an outdated fencing token.
    #[serde(default)]
    pub checks_fencing: bool,
}

const fn default_slots() -> u32 {
    16
}

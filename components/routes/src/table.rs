//! The route table: one version of the operators' configuration.

use std::collections::{BTreeMap, HashMap};
use std::fmt;
use std::sync::Arc;

use types::prelude::*;

use crate::key::{ApiKey, Customer};
use crate::upstream::{ColdStart, Engine};

/// Version of a configuration. Versions increase, but not by 1 each time.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct TableVersion(pub u64);

impl fmt::Display for TableVersion {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

/// Which requests of a route may be retried.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Retry {
    /// Requests are idempotent: they may run more than once.
    Any,
    /// Requests run at most once for each attempt of a caller.
    Never,
    /// The answer is a stream of events.
    Stream {
        /// Whether the stream may resume on another upstream after the last delivered event.
        resumable: bool,
    },
}

impl Retry {
    /// Whether a request with an unknown outcome may be retried.
    #[must_use]
    pub fn is_allowed(self) -> bool {
        matches!(self, Self::Any | Self::Stream { resumable: true })
    }

    /// Whether the answer is a stream of events.
    #[must_use]
    pub fn is_stream(self) -> bool {
        matches!(self, Self::Stream { .. })
    }
}

/// A service that receives a part of a route's traffic.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Target {
    /// Name of the service.
    pub service: Arc<str>,
    /// Share of the traffic, relative to the weights of the route's other targets.
    pub weight: u32,
}

/// Configuration of the requests for one host and path prefix.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Route {
    /// Name given by the operators.
    pub name: Arc<str>,
    /// Value of the request's `Host` field, in lower case.
    pub host: Arc<str>,
    /// Prefix of the path; begins and ends with a slash.
    pub prefix: Arc<str>,
    /// Which requests may be retried.
    pub retry: Retry,
    /// Longest time that a caller waits for the answer.
    pub timeout: Span,
    /// Time within which an answer, or the first event of a stream, counts as on time.
    pub objective: Span,
    /// Longest pause between two events that is on time.
    pub max_pause: Option<Span>,
    /// Priority; 0 is served first.
    pub rank: u8,
    /// Models to choose from, smallest first; empty if the caller names the model.
    pub models: Vec<Arc<str>>,
    /// Services that the requests go to; at least one.
    pub targets: Vec<Target>,
    /// Most upstreams that one attempt of a caller may run on.
    pub max_attempts: u32,
    /// Whether requests are served without an API key.
    pub allows_anonymous: bool,
}

impl Route {
    /// Picks the service for a request by a hash of its id, in proportion to the weights.
    #[must_use]
    pub fn target(&self, hash: u64) -> &Arc<str> {
        let total = self
            .targets
            .iter()
            .map(|t| u64::from(t.weight))
            .sum::<u64>();
        let mut offset = hash % total.max(1);
        for target in &self.targets {
            let weight = u64::from(target.weight);
            if offset < weight {
                return &target.service;
            }
            offset -= weight;
        }
        &self.targets[0].service
    }

    /// Checks that the route has a service to send to and a prefix that can match.
    ///
    /// # Errors
    /// States what is invalid.
    pub fn validate(&self) -> Result<(), TableError> {
        if self.targets.iter().all(|target| target.weight == 0) {
            return Err(TableError::NoTarget(self.name.clone()));
        }
        let prefix = &self.prefix;
        if !prefix.starts_with('/') || !prefix.ends_with('/') {
            return Err(TableError::BadPrefix(self.name.clone(), prefix.clone()));
        }
        Ok(())
    }
}

/// Configuration of a service, without its upstreams.
#[derive(Debug, Clone, PartialEq)]
pub struct Service {
    /// Name of the service.
    pub name: Arc<str>,
    /// Most connections that one upstream accepts in total.
    pub max_connections: u32,
    /// Properties of the engines, if the upstreams are model engines.
    pub engine: Option<Engine>,
    /// How its upstreams start, if they tolerate fewer requests while they are cold.
    pub cold_start: Option<ColdStart>,
}

/// Limits of size and time on a caller's requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Limits {
    /// Largest request head.
    pub head: ByteSize,
    /// Largest request body.
    pub body: ByteSize,
    /// Longest time from the first byte of a head to its end.
    pub head_timeout: Span,
    /// Longest time that a connection may be idle.
    pub idle: Span,
}

/// Why a configuration is invalid.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum TableError {
    /// A route has no target with a weight above 0.
    #[error("route {0} names no service; name at least one with a weight")]
    NoTarget(Arc<str>),
    /// A route's prefix does not begin and end with a slash.
    #[error("route {0}: prefix {1:?} must begin and end with a slash")]
    BadPrefix(Arc<str>, Arc<str>),
}

/// One version of the operators' configuration.
#[derive(Debug, Clone)]
pub struct RouteTable {
    /// Version of the configuration.
    pub version: TableVersion,
    /// Limits on callers' requests.
    pub limits: Limits,
    /// Whether customers are configured, so that requests carry API keys.
    pub has_customers: bool,
    services: BTreeMap<Arc<str>, Service>,
    customers: HashMap<ApiKey, Arc<Customer>>,
    /// Routes by host, longest prefix first.
    hosts: HashMap<Arc<str>, Vec<Arc<Route>>>,
}

impl RouteTable {
    /// Checks a configuration and sorts its routes.
    ///
    /// # Errors
    /// States which route is invalid.
    pub fn new(
        version: TableVersion,
        limits: Limits,
        routes: Vec<Route>,
        services: Vec<Service>,
        customers: Option<HashMap<ApiKey, Arc<Customer>>>,
    ) -> Result<Self, TableError> {
        let mut hosts = HashMap::<Arc<str>, Vec<Arc<Route>>>::new();
        for route in routes {
            route.validate()?;
            hosts
                .entry(route.host.clone())
                .or_default()
                .push(Arc::new(route));
        }
        for routes in hosts.values_mut() {
            routes.sort_by_key(|route| std::cmp::Reverse(route.prefix.len()));
        }
        let services = services.into_iter().map(|s| (s.name.clone(), s)).collect();
        Ok(Self {
            version,
            limits,
            has_customers: customers.is_some(),
            services,
            customers: customers.unwrap_or_default(),
            hosts,
        })
    }

    /// The route of a host whose prefix is the longest that matches a path.
    #[must_use]
    pub fn route(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let host = host.to_ascii_lowercase();
        let mut routes = self.hosts.get(host.as_str())?.iter();
        routes.find(|route| path.starts_with(&*route.prefix))
    }

    /// The customer that a key belongs to.
    #[must_use]
    pub fn customer(&self, key: &ApiKey) -> Option<&Arc<Customer>> {
        self.customers.get(key)
    }

    /// The service with a name.
    #[must_use]
    pub fn service(&self, name: &str) -> Option<&Service> {
        self.services.get(name)
    }

    /// All services.
    pub fn services(&self) -> impl Iterator<Item = &Service> {
        self.services.values()
    }

    /// All routes; the order of hosts is unspecified.
    pub fn routes(&self) -> impl Iterator<Item = &Arc<Route>> {
        self.hosts.values().flatten()
    }
}

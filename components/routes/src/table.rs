//! One version of the operators' configuration.

use std::collections::{BTreeMap, HashMap};
use std::fmt;
use std::sync::Arc;

use types::prelude::*;

use crate::key::{ApiKey, Customer};
use crate::upstream::Engine;

/// Versions rise in uneven steps.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct TableVersion(pub u64);

impl fmt::Display for TableVersion {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

/// What may be retried on a route.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Retry {
    /// Idempotent: may run more than once.
    Any,
    /// At most once for each attempt of a caller.
    Never,
    /// A stream, which may go on elsewhere after the last event delivered, or not at all.
    Stream {
        /// Whether it may go on elsewhere.
        resumable: bool,
    },
}

impl Retry {
    /// Whether a request of unknown outcome may be sent again.
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

/// A service that a route sends to, and how much of its traffic.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Target {
    /// The service.
    pub service: Arc<str>,
    /// Share beside the others' weights.
    pub weight: u32,
}

/// What is offered under a host and a path.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Route {
    /// The operators' name for it.
    pub name: Arc<str>,
    /// The caller's `Host`, in lower case.
    pub host: Arc<str>,
    /// Begins the path.
    pub prefix: Arc<str>,
    /// What may be retried.
    pub retry: Retry,
    /// A caller is not kept waiting longer.
    pub timeout: Span,
    /// An answer within this is on time; of a stream, its first event.
    pub objective: Span,
    /// Longest pause between two events that is on time.
    pub max_pause: Option<Span>,
    /// Rank, 0 first.
    pub rank: u8,
    /// Models to choose from, smallest first; empty where the caller names one.
    pub models: Vec<Arc<str>>,
    /// Where it goes, at least one.
    pub targets: Vec<Target>,
    /// Upstreams that one caller's attempt may run on.
    pub max_runs: u32,
    /// Served without a key.
    pub is_open: bool,
}

impl Route {
    /// The service for a request, by a hash of its id.
    #[must_use]
    pub fn target(&self, hash: u64) -> &Arc<str> {
        let total = self
            .targets
            .iter()
            .map(|t| u64::from(t.weight))
            .sum::<u64>();
        let mut place = hash % total.max(1);
        for target in &self.targets {
            let weight = u64::from(target.weight);
            if place < weight {
                return &target.service;
            }
            place -= weight;
        }
        &self.targets[0].service
    }
}

/// What is known of a service apart from its upstreams.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Service {
    /// Its name.
    pub name: Arc<str>,
    /// Connections that one upstream accepts from all callers together.
    pub max_connections: u32,
    /// Set where its upstreams are model engines.
    pub engine: Option<Engine>,
}

/// What a caller may send, and how long it may take.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Limits {
    /// Longest head.
    pub head: ByteSize,
    /// Longest body.
    pub body: ByteSize,
    /// A head must be complete within.
    pub head_timeout: Span,
    /// A connection without a request is kept for.
    pub idle: Span,
}

/// Why a configuration cannot be used.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum TableError {
    /// A route without a service.
    #[error("route {0} names no service; name at least one with a weight")]
    NoTarget(Arc<str>),
    /// A prefix of the wrong form.
    #[error("route {0}: prefix {1:?} must begin and end with a slash")]
    BadPrefix(Arc<str>, Arc<str>),
}

/// One version of the operators' configuration.
#[derive(Debug, Clone)]
pub struct RouteTable {
    /// Rises with each.
    pub version: TableVersion,
    /// What callers may send.
    pub limits: Limits,
    /// Whether requests carry keys.
    pub has_customers: bool,
    services: BTreeMap<Arc<str>, Service>,
    customers: HashMap<ApiKey, Arc<Customer>>,
    /// Routes of a host, longest prefix first.
    hosts: HashMap<Arc<str>, Vec<Arc<Route>>>,
}

impl RouteTable {
    /// Checks and orders a configuration.
    ///
    /// # Errors
    /// Says which route is at fault.
    pub fn new(
        version: TableVersion,
        limits: Limits,
        routes: Vec<Route>,
        services: Vec<Service>,
        customers: Option<HashMap<ApiKey, Arc<Customer>>>,
    ) -> Result<Self, TableError> {
        let mut hosts = HashMap::<Arc<str>, Vec<Arc<Route>>>::new();
        for route in routes {
            check(&route)?;
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

    /// The route with the longest prefix of a path on a host.
    #[must_use]
    pub fn route(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let host = host.to_ascii_lowercase();
        let mut routes = self.hosts.get(host.as_str())?.iter();
        routes.find(|route| path.starts_with(&*route.prefix))
    }

    /// Whose key it is.
    #[must_use]
    pub fn customer(&self, key: &ApiKey) -> Option<&Arc<Customer>> {
        self.customers.get(key)
    }

    /// A service.
    #[must_use]
    pub fn service(&self, name: &str) -> Option<&Service> {
        self.services.get(name)
    }

    /// All services.
    pub fn services(&self) -> impl Iterator<Item = &Service> {
        self.services.values()
    }

    /// All routes, hosts in no order.
    pub fn routes(&self) -> impl Iterator<Item = &Arc<Route>> {
        self.hosts.values().flatten()
    }
}

fn check(route: &Route) -> Result<(), TableError> {
    if route.targets.iter().all(|target| target.weight == 0) {
        return Err(TableError::NoTarget(route.name.clone()));
    }
    let prefix = &route.prefix;
    if !prefix.starts_with('/') || !prefix.ends_with('/') {
        return Err(TableError::BadPrefix(route.name.clone(), prefix.clone()));
    }
    Ok(())
}

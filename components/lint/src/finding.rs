//! Findings: what is wrong with which entry.

use std::sync::Arc;

use routes::TableVersion;
use types::prelude::*;

/// An entry of a configuration, by its index in the list of its kind.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Entry {
    /// The configuration itself.
    Configuration,
    /// The limits on callers' requests.
    Limits,
    /// A route.
    Route(usize),
    /// A service.
    Service(usize),
    /// A customer.
    Customer(usize),
}

/// A field of an entry.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Field {
    /// The version of the configuration.
    Version,
    /// The name of an entry.
    Name,
    /// The prefix of a route.
    Prefix,
    /// The timeout of a route.
    Timeout,
    /// The objective of a route.
    Objective,
    /// The longest pause between two events of a route.
    MaxPause,
    /// The models of a route.
    Models,
    /// The services of a route.
    Targets,
    /// The attempts of a route.
    MaxAttempts,
    /// The connections of a service's upstream.
    MaxConnections,
    /// The slots of a service's engine.
    Slots,
    /// The memory of a service's engine.
    Memory,
    /// A key of a customer, by its index.
    Key(usize),
    /// The keys of a customer.
    Keys,
    /// The largest request head.
    Head,
    /// The time for a request head.
    HeadTimeout,
    /// The time that a connection may be idle.
    Idle,
}

/// Where a finding lies.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Place {
    /// The entry.
    pub entry: Entry,
    /// The field of the entry that is at fault, if it is a single one.
    pub field: Option<Field>,
}

/// An entry without effect, or a limit that contradicts another one.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Finding {
    /// Where it lies.
    pub place: Place,
    /// What is wrong.
    pub problem: Problem,
}

/// What is wrong with an entry.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum Problem {
    /// An earlier route has the same host and prefix.
    #[error(
        "route {route} is never matched: route {by} has the same host and prefix and comes first"
    )]
    ShadowedRoute {
        /// Name of the route that is never matched.
        route: Arc<str>,
        /// Name of the route that is matched instead.
        by: Arc<str>,
    },
    /// A later service has the same name.
    #[error("this entry of service {0} is never used: a later one has the same name")]
    ReplacedService(Arc<str>),
    /// Another customer lists the same key later.
    #[error(
        "key {key} of customer {customer} is never matched: it belongs to customer {owner}, which lists it later"
    )]
    OverriddenKey {
        /// The first characters of the key.
        key: String,
        /// Name of the customer at fault.
        customer: Arc<str>,
        /// Name of the customer that the key belongs to.
        owner: Arc<str>,
    },
    /// The same customer lists the same key later.
    #[error("key {key} of customer {customer} is listed twice")]
    RepeatedKey {
        /// The first characters of the key.
        key: String,
        /// Name of the customer.
        customer: Arc<str>,
    },
    /// No route that can be matched sends requests to a service.
    #[error("no route sends requests to service {0}")]
    UnreachedService(Arc<str>),
    /// A customer has no keys.
    #[error("customer {0} has no keys")]
    NoKeys(Arc<str>),
    /// All keys of a customer belong to others.
    #[error("customer {0} has no keys of its own: other customers list all of them later")]
    NoKeysOfItsOwn(Arc<str>),
    /// A route needs a key, and there is none.
    #[error("nobody may use route {0}: it needs a key, and no customer has one")]
    NoCallers(Arc<str>),
    /// A route names a service that is not configured.
    #[error("route {route}: service {service} is not configured")]
    UnknownService {
        /// Name of the route.
        route: Arc<str>,
        /// Name of the service.
        service: Arc<str>,
    },
    /// A route's target has weight 0.
    #[error("route {route}: service {service} has weight 0 and gets no requests")]
    ZeroWeight {
        /// Name of the route.
        route: Arc<str>,
        /// Name of the service.
        service: Arc<str>,
    },
    /// Two entries have the same name, and both are used.
    #[error("the name {0} is used twice; logs and metrics can't tell the entries apart")]
    RepeatedName(Arc<str>),
    /// A limit is 0, so that no request can succeed or be in time.
    #[error("{limit} is 0")]
    Zero {
        /// The limit and the entry that it belongs to.
        limit: String,
    },
    /// Requests are given up before they are late.
    #[error("route {route}: the timeout of {timeout} is under the objective of {objective}")]
    TimeoutUnderObjective {
        /// Name of the route.
        route: Arc<str>,
        /// Its timeout.
        timeout: Span,
        /// Its objective.
        objective: Span,
    },
    /// A stream is given up before a pause is late.
    #[error("route {route}: the timeout of {timeout} is under the longest pause of {max_pause}")]
    TimeoutUnderPause {
        /// Name of the route.
        route: Arc<str>,
        /// Its timeout.
        timeout: Span,
        /// Its longest pause between two events.
        max_pause: Span,
    },
    /// A route has more attempts than retries are allowed.
    #[error(
        "route {route} has {attempts} attempts, and the retry budget allows a request {allowed}"
    )]
    AttemptsOverBudget {
        /// Name of the route.
        route: Arc<str>,
        /// Its attempts.
        attempts: u32,
        /// Attempts that the budget has room for.
        allowed: u32,
    },
    /// A route has more attempts than there are upstreams.
    #[error(
        "route {route} has {attempts} attempts, and service {service} has {upstreams} upstreams"
    )]
    AttemptsOverUpstreams {
        /// Name of the route.
        route: Arc<str>,
        /// Its attempts.
        attempts: u32,
        /// Name of the service.
        service: Arc<str>,
        /// Number of its upstreams.
        upstreams: u32,
    },
    /// A route lists a model more than once.
    #[error("route {route} lists model {model} more than once")]
    RepeatedModel {
        /// Name of the route.
        route: Arc<str>,
        /// Name of the model.
        model: Arc<str>,
    },
    /// A limit on pauses between events, on a route without events.
    #[error("route {0} bounds the pause between events, but its answers are no streams")]
    StreamLimit(Arc<str>),
    /// Engines have more slots than connections.
    #[error("service {service}: {slots} slots can't be used with {connections} connections")]
    SlotsOverConnections {
        /// Name of the service.
        service: Arc<str>,
        /// Requests that an engine runs at once.
        slots: u32,
        /// Connections that it accepts.
        connections: u32,
    },
    /// The version is not above the one in force.
    #[error("version {version} is not loaded by daemons that have version {in_force} in force")]
    NotNewer {
        /// Version of the configuration.
        version: TableVersion,
        /// Version in force.
        in_force: TableVersion,
    },
}

impl Problem {
    /// Stable name of the kind of problem, for programs.
    #[must_use]
    pub fn code(&self) -> &'static str {
        match self {
            Self::ShadowedRoute { .. } => "shadowed-route",
            Self::ReplacedService(_) => "replaced-service",
            Self::OverriddenKey { .. } => "overridden-key",
            Self::RepeatedKey { .. } => "repeated-key",
            Self::UnreachedService(_) => "unreached-service",
            Self::NoKeys(_) => "no-keys",
            Self::NoKeysOfItsOwn(_) => "no-keys-of-its-own",
            Self::NoCallers(_) => "no-callers",
            Self::UnknownService { .. } => "unknown-service",
            Self::ZeroWeight { .. } => "zero-weight",
            Self::RepeatedName(_) => "repeated-name",
            Self::Zero { .. } => "zero-limit",
            Self::TimeoutUnderObjective { .. } => "timeout-under-objective",
            Self::TimeoutUnderPause { .. } => "timeout-under-pause",
            Self::AttemptsOverBudget { .. } => "attempts-over-budget",
            Self::AttemptsOverUpstreams { .. } => "attempts-over-upstreams",
            Self::RepeatedModel { .. } => "repeated-model",
            Self::StreamLimit(_) => "stream-limit",
            Self::SlotsOverConnections { .. } => "slots-over-connections",
            Self::NotNewer { .. } => "not-newer",
        }
    }
}

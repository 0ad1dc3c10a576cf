//! Types of the settings, with their defaults.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use schemars::JsonSchema;
use serde::{Deserialize, Serialize};
use types::prelude::*;

/// Everything that one daemon is told at its start.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// Name of the fleet; daemons of other fleets are refused.
    #[schemars(with = "String")]
    pub cluster: ClusterName,
    /// Name of this daemon, unique in the fleet.
    #[schemars(with = "String")]
    pub daemon: DaemonId,
    /// Where this host stands.
    #[schemars(with = "String")]
    pub failure_domain: FailureDomain,
    /// The region of the failure domain.
    #[schemars(with = "String")]
    pub region: Region,
    /// Callers' API.
    pub callers: Callers,
    /// Operators' API.
    pub operators: Operators,
    /// Connections between daemons.
    pub peers: Peers,
    /// The platform's key-value service.
    pub store: Store,
    /// The platform's other services.
    #[serde(default)]
    pub platform: Platform,
    /// Logs.
    #[serde(default)]
    pub log: Log,
    /// The control thread.
    #[serde(default)]
    pub control: Control,
    /// How the daemon leaves.
    #[serde(default)]
    pub shutdown: Shutdown,
    /// Claims of work that runs only once.
    #[serde(default)]
    pub claims: Claims,
}

/// Callers' API.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Callers {
    /// Address to listen on.
    pub listen: SocketAddr,
    /// Threads that speak HTTP. Default 2.
    #[serde(default = "default_threads")]
    pub threads: usize,
    /// Connections held at once; more are closed as they come. Default 8192.
    #[serde(default = "default_connections")]
    pub max_connections: usize,
    /// Requests that run at once, a thread each. Default 2048.
    #[serde(default = "default_in_flight")]
    pub max_in_flight: usize,
    /// Longest head of a request. Default 32KiB.
    #[serde(default = "default_head")]
    #[schemars(with = "String")]
    #[serde(with = "serde_with::As::<serde_with::DisplayFromStr>")]
    pub max_head: ByteSize,
    /// Longest body of a request. Default 4MiB.
    #[serde(default = "default_body")]
    #[schemars(with = "String")]
    #[serde(with = "serde_with::As::<serde_with::DisplayFromStr>")]
    pub max_body: ByteSize,
    /// A head is read, or an idle connection closed, within. Default 15s.
    #[serde(default = "default_head_timeout")]
    #[schemars(with = "String")]
    pub head_timeout: Span,
    /// A body is read within. Default 30s.
    #[serde(default = "default_body_timeout")]
    #[schemars(with = "String")]
    pub body_timeout: Span,
    /// A caller that takes nothing of its answer for so long is cut off. Default 30s.
    #[serde(default = "default_write_timeout")]
    #[schemars(with = "String")]
    pub write_timeout: Span,
}

const fn default_threads() -> usize {
    2
}

const fn default_connections() -> usize {
    8192
}

const fn default_in_flight() -> usize {
    2048
}

const fn default_head() -> ByteSize {
    ByteSize(32 << 10)
}

const fn default_body() -> ByteSize {
    ByteSize(4 << 20)
}

const fn default_head_timeout() -> Span {
    Span::from_secs(15)
}

const fn default_body_timeout() -> Span {
    Span::from_secs(30)
}

const fn default_write_timeout() -> Span {
    Span::from_secs(30)
}

/// Operators' API.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Operators {
    /// Address to listen on.
    pub listen: SocketAddr,
    /// Bearer token of each operator, by the operator's name.
    #[schemars(with = "BTreeMap<String, String>")]
    pub tokens: BTreeMap<OperatorName, String>,
}

/// Connections between daemons.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Peers {
    /// Address to listen on.
    pub listen: SocketAddr,
    /// Address that other daemons reach; by default the one listened on.
    #[serde(default)]
    pub advertise: Option<SocketAddr>,
    /// Daemons to try first when joining.
    #[serde(default)]
    pub seeds: Vec<SocketAddr>,
    /// Shared keys. The first signs; all are accepted, so that keys change without a stop.
    pub keys: Vec<PeerKey>,
}

/// A key shared by the fleet.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct PeerKey {
    /// Names the key.
    pub id: String,
    /// At least 16 characters.
    pub secret: String,
}

/// The platform's key-value service.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Store {
    /// Its addresses, tried in turn.
    pub endpoints: Vec<SocketAddr>,
    /// A call is answered within. Default 2s.
    #[serde(default = "default_store_timeout")]
    #[schemars(with = "String")]
    pub timeout: Span,
}

const fn default_store_timeout() -> Span {
    Span::from_secs(2)
}

/// The platform's other services; what is left out is not used.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, default)]
pub struct Platform {
    /// The service that rates answers.
    pub rater: Option<SocketAddr>,
    /// Ratings that the whole fleet may ask for. Default 20/s.
    #[schemars(with = "Option<String>")]
    pub rater_rate: Option<Rate>,
    /// The store of models' weights.
    pub weights: Option<SocketAddr>,
    /// The list of hosts.
    pub hosts: Option<SocketAddr>,
}

/// Logs.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, default)]
pub struct Log {
    /// Their form.
    pub format: LogFormat,
    /// Levels by part, such as `info` or `info,peers=debug`.
    pub filter: String,
}

impl Default for Log {
    fn default() -> Self {
        Self {
            format: LogFormat::Text,
            filter: "info".to_owned(),
        }
    }
}

/// Form of the logs.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "lowercase")]
pub enum LogFormat {
    /// A line of text each.
    Text,
    /// An object of JSON each.
    Json,
}

/// The control thread.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, default)]
pub struct Control {
    /// Time between two runs of the systems. Default 200ms.
    #[schemars(with = "String")]
    pub tick: Span,
}

impl Default for Control {
    fn default() -> Self {
        Self {
            tick: Span::from_millis(200),
        }
    }
}

/// How the daemon leaves.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, default)]
pub struct Shutdown {
    /// Keep taking requests for so long after `/readyz` says no, while the balancer
    /// notices. Default 3s.
    #[schemars(with = "String")]
    pub notice: Span,
    /// Requests in flight are cut, and named in the log, after. Default 2m.
    #[schemars(with = "String")]
    pub deadline: Span,
}

impl Default for Shutdown {
    fn default() -> Self {
        Self {
            notice: Span::from_secs(3),
            deadline: Span::from_secs(120),
        }
    }
}

/// Claims of work that runs only once.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, default)]
pub struct Claims {
    /// Callers may repeat such a request for so long; 10m to 7days. Default 1day.
    #[schemars(with = "String")]
    pub retry_window: Span,
    /// Claims share a lease for so long. Default 1h.
    #[schemars(with = "String")]
    pub lease_slot: Span,
}

impl Default for Claims {
    fn default() -> Self {
        Self {
            retry_window: Span::from_secs(24 * 3600),
            lease_slot: Span::from_secs(3600),
        }
    }
}

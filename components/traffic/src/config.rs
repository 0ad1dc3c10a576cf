//! Settings of the event loop.

use std::net::{IpAddr, SocketAddr};

use dispatch::{ColdTolerance, Policy, RetryLimits};
use poison::SharedSuspects;
use telemetry::logs::Dropped;
use types::prelude::*;

use crate::tunnel::message::FleetKey;

/// Settings of tunnels between daemons.
#[derive(Debug, Clone)]
pub struct TunnelConfig {
    /// Listen address for peers' tunnels; port 0 picks a free port.
    pub listen: SocketAddr,
    /// Key shared by the fleet's daemons.
    pub key: FleetKey,
    /// Largest number of tunnels served at a time, from the process's file descriptors.
    pub max_served: usize,
}

/// Settings of the event loop.
#[derive(Debug, Clone)]
pub struct Config {
    /// Address for callers' connections.
    pub callers: SocketAddr,
    /// Address that serves readiness, metrics and the state.
    pub status: SocketAddr,
    /// Address that connections to upstreams leave from; chosen by the kernel if absent.
    pub source: Option<IpAddr>,
    /// Tunnels between daemons.
    pub tunnels: TunnelConfig,
    /// Path of the readiness check.
    pub ready_path: String,
    /// The failure domain of this daemon.
    pub failure_domain: FailureDomain,
    /// Largest number of callers' connections, from the process's file descriptors.
    pub max_caller_connections: usize,
    /// Largest total of request bodies held, from the process's memory.
    pub max_held_body_bytes: ByteSize,
    /// Largest total of upstreams' answers held, from the process's memory.
    pub max_held_answer_bytes: ByteSize,
    /// Policy of all decisions, with its bounds.
    pub policy: Policy,
    /// Limits of the retry budgets.
    pub retries: RetryLimits,
    /// Crash evidence against request contents, shared by all daemons.
    pub suspects: SharedSuspects,
    /// How far the rates of cold upstreams may be exceeded.
    pub cold_tolerance: ColdTolerance,
    /// Longest pause between two requests of a session.
    pub session_idle: Span,
    /// A route or key missing from the configuration is called unknown only if the configuration
    /// was validated within this time; a change is in force everywhere by then.
    pub max_staleness: Span,
    /// Longest time from the stop command until the last request has ended.
    pub grace_period: Span,
    /// Counts the log lines that were dropped.
    pub dropped_logs: Dropped,
}

//! What the event loop is told at its start.

use std::net::SocketAddr;

use dispatch::{Policy, RetryLimits};
use poison::SharedSuspects;
use telemetry::logs::Dropped;
use types::prelude::*;

/// What the event loop is told at its start.
#[derive(Debug, Clone)]
pub struct Config {
    /// Where callers connect.
    pub callers: SocketAddr,
    /// Where readiness, metrics and the state are asked for.
    pub status: SocketAddr,
    /// Path of the question whether this daemon is ready.
    pub ready_path: String,
    /// Where this daemon stands.
    pub failure_domain: FailureDomain,
    /// Connections of callers at most, from the process's descriptors.
    pub max_callers: usize,
    /// Bytes of callers' bodies held at most, from the process's memory.
    pub max_held: ByteSize,
    /// What decides, and by which bounds.
    pub policy: Policy,
    /// How many repeats the fleet may send.
    pub retries: RetryLimits,
    /// What is held against contents, by all daemons.
    pub suspects: SharedSuspects,
    /// Requests of a session follow each other within.
    pub session_idle: Span,
    /// What the configuration does not hold is called unknown only if it was proven current so
    /// lately; a change is in force everywhere by then.
    pub current_within: Span,
    /// A daemon that is told to stop ends its last request within.
    pub grace: Span,
    /// Counts log lines that were dropped.
    pub dropped_logs: Dropped,
}

//! The upstreams of a service.

use std::net::SocketAddr;
use std::sync::Arc;

use types::prelude::*;

/// Whether an upstream takes new work.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum UpstreamState {
    /// Takes new work.
    Ready,
    /// Finishes its current work, takes no more and will stop.
    Draining,
}

/// One run of an upstream's program.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Upstream {
    /// Id of the program; a later run may have the same id.
    pub id: UpstreamId,
    /// Start of this run by the upstream's clock; distinguishes runs with the same id.
    pub started_at: Option<WallTime>,
    /// Name of the service that it belongs to.
    pub service: Arc<str>,
    /// Address for requests. May be reused by another upstream after this one has stopped.
    pub address: SocketAddr,
    /// Failure domain that it runs in.
    pub failure_domain: FailureDomain,
    /// Version of its software.
    pub version: Arc<str>,
    /// Number of requests that it runs at once.
    pub slots: u32,
    /// Whether it takes new work.
    pub state: UpstreamState,
    /// Remaining time of the slow phase after its start, as of its last report.
    pub warm_up_remaining: Span,
}

/// How the upstreams of a service start.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ColdStart {
    /// Time for which an upstream is cold after it has started.
    pub duration: Span,
    /// Requests a second that one tolerates while it is cold, from all daemons together.
    pub rate: Rate,
}

/// Properties shared by all engines of a service.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Engine {
    /// Number of requests that one engine runs in a batch.
    pub slots: u32,
    /// Memory of one engine for prompts and answers, in tokens.
    pub memory: Tokens,
}

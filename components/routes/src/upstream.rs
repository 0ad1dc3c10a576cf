//! The upstreams of a service.

use std::net::SocketAddr;
use std::sync::Arc;

use types::prelude::*;

/// Whether an upstream takes new work.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum UpstreamState {
    /// It does.
    Ready,
    /// It finishes what it has and leaves.
    Draining,
}

/// One run of an upstream's program.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Upstream {
    /// Of the program; a later run may have it again.
    pub id: UpstreamId,
    /// When this run started, by its own clock: tells the runs under one id apart.
    pub started_at: Option<WallTime>,
    /// Of which service.
    pub service: Arc<str>,
    /// Where it is reached. Used again by others once it is gone.
    pub address: SocketAddr,
    /// Where it stands.
    pub failure_domain: FailureDomain,
    /// Its software.
    pub version: Arc<str>,
    /// Requests that it runs side by side.
    pub slots: u32,
    /// Whether it takes new work.
    pub state: UpstreamState,
    /// It stays slow this much longer after its start, as of its last report.
    pub cold_for: Span,
}

/// What all engines of a service have in common.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Engine {
    /// Requests that one engine batches.
    pub slots: u32,
    /// Memory of one engine for prompts and answers.
    pub memory: Tokens,
}

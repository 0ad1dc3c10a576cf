//! Input of a choice, load reports and outcomes of attempts.

use std::fmt;

use types::prelude::*;

/// Dense index of an upstream, stable while the upstream is in the catalogue.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct UpstreamIndex(pub u32);

impl UpstreamIndex {
    pub(crate) fn as_usize(self) -> usize {
        self.0 as usize
    }
}

impl fmt::Display for UpstreamIndex {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "#{}", self.0)
    }
}

/// What runs on upstreams: a version of a model, or a plain service.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Target {
    /// Version of a model.
    Version(VersionId),
    /// Plain service, by the name of its entry.
    Service(EntryName),
}

impl fmt::Display for Target {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Version(version) => version.fmt(f),
            Self::Service(name) => name.fmt(f),
        }
    }
}

/// Dense index of a target.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct TargetIndex(pub u16);

impl TargetIndex {
    pub(crate) fn as_usize(self) -> usize {
        usize::from(self.0)
    }
}

/// Hash of a prompt's prefix.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct PrefixHash(pub u64);

/// Requirements of one request.
#[derive(Debug, Clone, Copy)]
pub struct RouteRequest<'a> {
    /// Target that must be loaded.
    pub target: TargetIndex,
    /// Hashes of ever longer prefixes of the prompt, shortest first.
    pub prefix: &'a [PrefixHash],
    /// Interactive work avoids upstreams that are nearly full.
    pub priority: Priority,
    /// Upstreams that the request was already sent to.
    pub tried: &'a [UpstreamIndex],
}

/// Reason for which no upstream was chosen.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum PickError {
    /// The target was never configured.
    #[error("no upstream is known for the target; check its service in the catalogue")]
    UnknownTarget,
    /// No live, healthy upstream has the target loaded, or all of them were tried.
    #[error("no live upstream has the target loaded")]
    NoneLive,
}

/// Load that an upstream reports.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LoadReport {
    /// Number of requests being run.
    pub running: u32,
    /// Number of requests waiting in the upstream.
    pub waiting: u32,
    /// Number of requests that it runs at once.
    pub slots: u32,
    /// Targets that it has loaded; absent in the short report sent with each answer.
    pub loaded: Option<Vec<TargetIndex>>,
    /// Whether it announces that it is leaving.
    pub leaving: bool,
}

/// Outcome of an attempt at an upstream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// The answer was complete.
    Answered {
        /// Time from sending the request to the first token.
        first_token: Span,
        /// Time between tokens; zero for answers sent as a whole.
        per_token: Span,
    },
    /// The upstream was unreachable: no connection, or none in time.
    Unreachable,
    /// The upstream reported an error of its own, or cut the answer short.
    Failed,
    /// The upstream was full and refused the request before starting it.
    Busy,
    /// The upstream refused the request since the target is not loaded.
    NotLoaded,
    /// The caller gave up, which says nothing about the upstream.
    Cancelled,
}

//! What a choice is asked for, and what is learnt from its outcome.

use std::fmt;

use types::prelude::*;

/// A dense number of an upstream, stable while the upstream is in the catalogue.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct UpstreamIndex(pub u32);

impl UpstreamIndex {
    pub(crate) fn slot(self) -> usize {
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
    /// A version.
    Version(VersionId),
    /// A plain service, by its entry's name.
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

/// A dense number of a target.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct TargetIndex(pub u16);

impl TargetIndex {
    pub(crate) fn slot(self) -> usize {
        usize::from(self.0)
    }
}

/// Hash of a prompt's beginning.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct PrefixHash(pub u64);

/// One request's needs.
#[derive(Debug, Clone, Copy)]
pub struct Demand<'a> {
    /// What to run.
    pub target: TargetIndex,
    /// Hashes of ever longer beginnings of the prompt, shortest first.
    pub prefix: &'a [PrefixHash],
    /// Interactive work keeps away from upstreams that are nearly full.
    pub priority: Priority,
    /// Upstreams tried before.
    pub avoid: &'a [UpstreamIndex],
}

/// Why there is no choice.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum NoUpstream {
    /// The target was never configured.
    #[error("no upstream is known for the target; check its service in the catalogue")]
    UnknownTarget,
    /// None that is live and healthy has the target loaded, or all were tried.
    #[error("no live upstream has the target loaded")]
    NoneLive,
}

/// What an upstream says of its load.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LoadReport {
    /// Requests being run.
    pub running: u32,
    /// Requests held back by the upstream.
    pub waiting: u32,
    /// Requests that it runs at once.
    pub slots: u32,
    /// What it has loaded; absent in the short form that comes with each answer.
    pub loaded: Option<Vec<TargetIndex>>,
    /// It says that it is leaving.
    pub leaving: bool,
}

/// How an attempt at an upstream ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// A whole answer.
    Answered {
        /// From sending to the first token.
        first_token: Span,
        /// Between tokens; nothing for answers of one piece.
        per_token: Span,
    },
    /// Not reached: no connection, or none in time.
    Unreachable,
    /// An error of the upstream's own, or an answer cut short.
    Failed,
    /// Refused before beginning, for want of room.
    Busy,
    /// Refused since the target is not loaded.
    NotLoaded,
    /// Given up by the caller: says nothing of the upstream.
    Cancelled,
}

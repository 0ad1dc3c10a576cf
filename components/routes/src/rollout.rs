//! Roll-outs, which move a service's traffic to another version of its software.

use std::fmt;
use std::sync::Arc;

use types::prelude::*;

/// An operator's order to move a service to a version.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RolloutOrder {
    /// Name of the service.
    pub service: Arc<str>,
    /// Version to move to.
    pub to: Arc<str>,
    /// Time from the order within which the roll-out must be decided.
    pub decision_timeout: Span,
    /// The store's revision of the order, which distinguishes it from an earlier order for the
    /// same version.
    pub revision: u64,
}

/// State of a roll-out.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum RolloutState {
    /// The new version is under test.
    Running,
    /// The new version receives all traffic.
    Completed,
    /// The new version was rejected; the old one receives all traffic.
    Reverted,
}

impl RolloutState {
    /// Whether the roll-out is decided. The upstreams of the other version leave then, so a final
    /// state is never replaced by another.
    #[must_use]
    pub fn is_final(self) -> bool {
        self != Self::Running
    }
}

impl fmt::Display for RolloutState {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Running => "running",
            Self::Completed => "completed",
            Self::Reverted => "reverted",
        })
    }
}

//! Moving a service's traffic to another version of its software.

use std::fmt;
use std::sync::Arc;

use types::prelude::*;

/// An operators' wish to move a service to a version.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RolloutOrder {
    /// Which service.
    pub service: Arc<str>,
    /// To which version.
    pub to: Arc<str>,
    /// To be decided within, from the order on.
    pub within: Span,
    /// The store's revision of the order: tells it from an earlier one to the same version.
    pub revision: u64,
}

/// How far a roll-out is.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum RolloutState {
    /// Under trial.
    Running,
    /// The new version serves alone.
    Completed,
    /// The new version was bad; the old one serves alone.
    Reverted,
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

//! Facts: small typed values that each daemon publishes to all others.

use bytes::Bytes;
use serde::{Deserialize, Serialize};
use types::prelude::*;

/// Maximum length of a fact's key, in bytes.
pub const MAX_KEY_BYTES: usize = 64;
/// Maximum length of a fact's value, in bytes.
pub const MAX_VALUE_BYTES: usize = 256;
/// Maximum number of facts per origin, including retracted ones.
pub(crate) const MAX_FACTS_PER_ORIGIN: usize = 128;

/// Subject of a fact.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Topic {
    /// The catalogue revision in force.
    Progress,
    /// Suspended versions.
    Suspension,
    /// Demand on customers' limits.
    Demand,
    /// Counts of ratings.
    Evidence,
    /// Load of engines, and engines that are leaving.
    Engines,
    /// Custody of bills.
    Bills,
}

impl Topic {
    /// All topics.
    pub const ALL: [Self; 6] = [
        Self::Progress,
        Self::Suspension,
        Self::Demand,
        Self::Evidence,
        Self::Engines,
        Self::Bills,
    ];

    /// Whether facts on this topic remain valid after their origin is gone.
    #[must_use]
    pub const fn is_cumulative(self) -> bool {
        matches!(self, Self::Evidence | Self::Suspension)
    }

    /// Whether facts on this topic are sent at once, even beyond the budget.
    #[must_use]
    pub const fn is_urgent(self) -> bool {
        matches!(self, Self::Suspension)
    }
}

/// Reason why a fact cannot be published.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum PublishError {
    /// The key is longer than [`MAX_KEY_BYTES`].
    #[error("a fact's key has {0} bytes, at most {MAX_KEY_BYTES} are allowed")]
    KeyTooLong(usize),
    /// The value is longer than [`MAX_VALUE_BYTES`].
    #[error("a fact's value has {0} bytes, at most {MAX_VALUE_BYTES} are allowed")]
    ValueTooLong(usize),
    /// This daemon already publishes the maximum number of facts.
    #[error("this daemon already publishes {0} facts; retract some first")]
    TooMany(usize),
}

/// Checks the length of a fact's key and value.
///
/// # Errors
/// Returns an error that names the part that is too long.
pub(crate) fn check_sizes(key: &Bytes, value: &Bytes) -> Result<(), PublishError> {
    if key.len() > MAX_KEY_BYTES {
        return Err(PublishError::KeyTooLong(key.len()));
    }
    if value.len() > MAX_VALUE_BYTES {
        return Err(PublishError::ValueTooLong(value.len()));
    }
    Ok(())
}

/// A fact as known to this daemon.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Fact {
    /// Daemon that published the fact.
    pub origin: DaemonId,
    /// Incarnation of the daemon that published the fact.
    pub incarnation: Incarnation,
    /// Subject of the fact.
    pub topic: Topic,
    /// Distinguishes the origin's facts on one topic.
    pub key: Bytes,
    /// Published value.
    pub value: Bytes,
    /// Time at which this daemon first received this value.
    pub heard_at: Time,
}

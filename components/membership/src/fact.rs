//! Small typed values that every daemon shows to all others.

use bytes::Bytes;
use serde::{Deserialize, Serialize};
use types::prelude::*;

/// Longest key of a fact, in bytes.
pub const MAX_KEY_BYTES: usize = 64;
/// Longest value of a fact, in bytes.
pub const MAX_VALUE_BYTES: usize = 256;
/// Facts of one origin, removal markers included.
pub(crate) const MAX_FACTS_PER_ORIGIN: usize = 128;

/// What a fact is about.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Topic {
    /// The catalogue's revision in force.
    Progress,
    /// Versions that are suspended.
    Suspension,
    /// Demand on customers' limits.
    Demand,
    /// Counts of ratings.
    Evidence,
    /// Load and leaving of engines.
    Engines,
    /// Custody of bills.
    Bills,
}

impl Topic {
    /// Every topic.
    pub const ALL: [Self; 6] = [
        Self::Progress,
        Self::Suspension,
        Self::Demand,
        Self::Evidence,
        Self::Engines,
        Self::Bills,
    ];

    /// Whether facts still count after their origin is gone.
    #[must_use]
    pub const fn is_cumulative(self) -> bool {
        matches!(self, Self::Evidence | Self::Suspension)
    }

    /// Whether facts are sent at once and beyond the budget.
    #[must_use]
    pub const fn is_urgent(self) -> bool {
        matches!(self, Self::Suspension)
    }
}

/// Why a fact cannot be published.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum PublishError {
    /// Longer than [`MAX_KEY_BYTES`].
    #[error("a fact's key has {0} bytes, at most {MAX_KEY_BYTES} are allowed")]
    KeyTooLong(usize),
    /// Longer than [`MAX_VALUE_BYTES`].
    #[error("a fact's value has {0} bytes, at most {MAX_VALUE_BYTES} are allowed")]
    ValueTooLong(usize),
    /// This daemon publishes under too many keys.
    #[error("this daemon already publishes {0} facts; retract some first")]
    TooMany(usize),
}

/// Checks the sizes of a fact.
///
/// # Errors
/// Says which part is too long.
pub(crate) fn check(key: &Bytes, value: &Bytes) -> Result<(), PublishError> {
    if key.len() > MAX_KEY_BYTES {
        return Err(PublishError::KeyTooLong(key.len()));
    }
    if value.len() > MAX_VALUE_BYTES {
        return Err(PublishError::ValueTooLong(value.len()));
    }
    Ok(())
}

/// A fact as this daemon knows it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Fact {
    /// Whose it is.
    pub origin: DaemonId,
    /// Which restart of its origin said it.
    pub incarnation: Incarnation,
    /// What it is about.
    pub topic: Topic,
    /// Which of the origin's facts on the topic.
    pub key: Bytes,
    /// What it says.
    pub value: Bytes,
    /// When this daemon first heard this value.
    pub heard_at: Time,
}

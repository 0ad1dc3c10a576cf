//! What a roll-out waits for.

use std::fmt;

use types::prelude::*;

/// What a roll-out waits for. Its text is shown to operators.
#[derive(Debug, Clone, PartialEq)]
pub enum Waiting {
    /// The lease, which another daemon may hold.
    Lease,
    /// The rest of a step's minimum duration.
    Stay(Span),
    /// Ratings of the new version.
    Ratings {
        /// Ratings so far at this step.
        have: u64,
        /// Ratings that the gate requires.
        need: u64,
    },
    /// Engines with the version ready.
    Capacity {
        /// The version that lacks capacity.
        version: VersionName,
        /// Slots ready.
        ready: u64,
        /// Slots needed.
        needed: u64,
    },
    /// Room for a version: engines are full and none can be spared.
    Room(VersionName),
    /// Time left until the weight store may be asked for a permit again.
    WeightStore(Span),
    /// An operator, who resumes or aborts it.
    Operator,
    /// Sessions of the version that goes, or an operator who withdraws it.
    Sessions(VersionName),
    /// Its own edit of the catalogue, which was sent but is not yet observed.
    Edit,
}

impl fmt::Display for Waiting {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Lease => f.write_str("the driver's lease in the store"),
            Self::Stay(left) => write!(f, "{} more at this step", ceil_seconds(*left)),
            Self::Ratings { have, need } => write!(f, "ratings at this step, {have} of {need}"),
            Self::Capacity {
                version,
                ready,
                needed,
            } => {
                write!(f, "slots with {version} ready, {ready} of {needed}")
            }
            Self::Room(version) => {
                write!(
                    f,
                    "room for {version}: engines are full and none can be spared"
                )
            }
            Self::WeightStore(left) => write!(f, "the weight store for {}", ceil_seconds(*left)),
            Self::Operator => f.write_str("an operator to resume or abort"),
            Self::Sessions(version) => {
                write!(f, "sessions of {version} to end, or `withdraw` of it")
            }
            Self::Edit => f.write_str("its edit of the catalogue"),
        }
    }
}

/// Rounds up to whole seconds.
fn ceil_seconds(span: Span) -> Span {
    Span::from_secs(span.as_millis().div_ceil(1000))
}

impl Waiting {
    /// Builds the reason for a version that has too few slots ready.
    pub(crate) fn short_of(version: &VersionName, ready: f64, needed: f64) -> Self {
        Self::Capacity {
            version: version.clone(),
            ready: ready as u64,
            needed: needed.ceil() as u64,
        }
    }
}

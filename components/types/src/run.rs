//! Properties of requests that several layers share.

use std::fmt;
use std::str::FromStr;

use serde::{Deserialize, Serialize};

/// Whether an upstream did any of a request's work.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum RunState {
    /// Not run: no byte reached an upstream, or the upstream's protocol says that work did not
    /// begin.
    No,
    /// May or may not have run.
    Unknown,
    /// Has run, at least in part.
    Yes,
}

impl fmt::Display for RunState {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::No => "no",
            Self::Unknown => "unknown",
            Self::Yes => "yes",
        })
    }
}

/// Priority of a request when there is not enough capacity for all.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(rename_all = "lowercase")]
pub enum Priority {
    /// Runs with the capacity that interactive requests leave.
    Batch,
    /// A person is waiting for the answer.
    #[default]
    Interactive,
}

impl fmt::Display for Priority {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Batch => "batch",
            Self::Interactive => "interactive",
        })
    }
}

/// Error for a text that is neither `interactive` nor `batch`.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("{0:?} is not a priority; interactive and batch are")]
pub struct PriorityError(String);

impl FromStr for Priority {
    type Err = PriorityError;

    fn from_str(text: &str) -> Result<Self, PriorityError> {
        match text {
            "batch" => Ok(Self::Batch),
            "interactive" => Ok(Self::Interactive),
            _ => Err(PriorityError(text.to_owned())),
        }
    }
}

//! Words that several layers say about a request.

use std::fmt;
use std::str::FromStr;

use serde::{Deserialize, Serialize};

/// Whether any of a request's work was done by an upstream.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum RunState {
    /// No byte of the work reached an upstream, or its protocol says it was not begun.
    No,
    /// It may or may not have run.
    Unknown,
    /// It ran.
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

/// Which work goes first when there is not room for all.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(rename_all = "lowercase")]
pub enum Priority {
    /// Fills what interactive work leaves.
    Batch,
    /// A person waits.
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

/// Neither `interactive` nor `batch`.
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

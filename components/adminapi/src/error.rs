//! Errors, the same shape for every path.

use std::fmt;

use catalogue::diff::Difference;
use serde::{Deserialize, Serialize};

use crate::entry::EntryReply;

/// Body of every answer whose status is not 2xx.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ErrorReply {
    /// What went wrong.
    pub error: ErrorBody,
}

/// What went wrong.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ErrorBody {
    /// For programs.
    pub code: ErrorCode,
    /// What is wrong, and where.
    pub message: String,
    /// What to do.
    pub hint: String,
    /// Of `invalid_entry`: every problem found.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub problems: Vec<String>,
    /// Of `conflict` and `precondition_required`: the entry as it stands.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub current: Option<Box<EntryReply>>,
    /// Of `conflict`: where what was sent differs from what stands.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub difference: Vec<Difference>,
    /// Of edits: ask again by this id.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub edit_id: Option<types::id::EditId>,
}

/// Kinds of error.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ErrorCode {
    /// The request cannot be read.
    InvalidRequest,
    /// No token, or none that is known.
    Unauthorized,
    /// No such path, entry, edit or roll-out.
    NotFound,
    /// The path exists for other methods.
    MethodNotAllowed,
    /// The roll-out is not in a state for this.
    WrongState,
    /// The entry changed since it was read. Nothing was written.
    Conflict,
    /// The body is larger than the bound.
    TooLarge,
    /// The entry breaks a rule. Nothing was written.
    InvalidEntry,
    /// The entry exists and `If-Match` is missing. Nothing was written.
    PreconditionRequired,
    /// The edit certainly had no effect; it may be repeated.
    NotApplied,
    /// The daemon cannot answer now.
    Unavailable,
    /// The edit may have taken effect or may still do so.
    OutcomeUnknown,
    /// A fault of the daemon.
    Internal,
}

impl ErrorCode {
    /// The HTTP status that goes with it.
    #[must_use]
    pub fn status(self) -> u16 {
        match self {
            Self::InvalidRequest => 400,
            Self::Unauthorized => 401,
            Self::NotFound => 404,
            Self::MethodNotAllowed => 405,
            Self::WrongState => 409,
            Self::Conflict => 412,
            Self::TooLarge => 413,
            Self::InvalidEntry => 422,
            Self::PreconditionRequired => 428,
            Self::NotApplied | Self::Unavailable => 503,
            Self::OutcomeUnknown => 504,
            Self::Internal => 500,
        }
    }
}

impl ErrorBody {
    /// An error with nothing beside its text.
    #[must_use]
    pub fn new(code: ErrorCode, message: impl Into<String>, hint: impl Into<String>) -> Self {
        Self {
            code,
            message: message.into(),
            hint: hint.into(),
            problems: Vec::new(),
            current: None,
            difference: Vec::new(),
            edit_id: None,
        }
    }
}

impl fmt::Display for ErrorBody {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.message)?;
        for problem in &self.problems {
            write!(f, "\n  - {problem}")?;
        }
        for difference in &self.difference {
            let shown = |value: &Option<_>| {
                value
                    .as_ref()
                    .map_or("absent".to_owned(), |value: &serde_json::Value| {
                        value.to_string()
                    })
            };
            let (proposed, standing) = (shown(&difference.proposed), shown(&difference.standing));
            write!(
                f,
                "\n  {}: sent {proposed}, stands {standing}",
                difference.key
            )?;
        }
        write!(f, "\n{}", self.hint)
    }
}

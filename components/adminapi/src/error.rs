//! Error replies, with the same shape for all paths.

use std::fmt;

use catalogue::diff::Difference;
use serde::{Deserialize, Serialize};

use crate::entry::EntryReply;

/// Body of every reply whose status is not 2xx.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ErrorReply {
    /// Description of the error.
    pub error: ErrorBody,
}

/// Description of an error.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ErrorBody {
    /// Kind of the error, for programs.
    pub code: ErrorCode,
    /// What is wrong and where, for people.
    pub message: String,
    /// What the operator can do about it.
    pub hint: String,
    /// All problems found, for `invalid_entry`.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub problems: Vec<String>,
    /// Current entry, for `conflict` and `precondition_required`.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub current: Option<Box<EntryReply>>,
    /// Differences between the sent and the current entry, for `conflict`.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub difference: Vec<Difference>,
    /// Id of the edit, with which its outcome can be asked for.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub edit_id: Option<types::id::EditId>,
}

/// Kinds of error.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ErrorCode {
    /// The request is malformed.
    InvalidRequest,
    /// The token is missing or unknown.
    Unauthorized,
    /// The path, entry, edit or roll-out does not exist.
    NotFound,
    /// The path does not support this method.
    MethodNotAllowed,
    /// The roll-out's state does not allow the action.
    WrongState,
    /// The entry changed since it was read. Nothing was written.
    Conflict,
    /// The body exceeds the size limit.
    TooLarge,
    /// The entry breaks a rule. Nothing was written.
    InvalidEntry,
    /// The entry exists and `If-Match` is missing. Nothing was written.
    PreconditionRequired,
    /// The edit had no effect and will have none; it can be repeated.
    NotApplied,
    /// The daemon cannot answer now.
    Unavailable,
    /// The edit may have taken effect or may still do so.
    OutcomeUnknown,
    /// Internal error of the daemon.
    Internal,
}

impl ErrorCode {
    /// Returns the HTTP status for this code.
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
    /// Creates an error with a message and a hint and no further details.
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

//! Why a command failed, and the exit code for it.

use adminapi::error::{ErrorBody, ErrorCode};
use types::prelude::*;

/// The command line is wrong.
pub(crate) const USAGE: u8 = 2;
const FAILED: u8 = 1;
const CONFLICT: u8 = 3;
const OUTCOME_UNKNOWN: u8 = 4;
const UNREACHABLE: u8 = 5;

/// Why a command failed.
#[derive(Debug, thiserror::Error)]
pub(crate) enum Failure {
    /// The daemon refused.
    #[error("{0}")]
    Refused(Box<ErrorBody>),
    /// No connection, so nothing was asked.
    #[error(
        "{server} cannot be reached: {reason}\nstart a daemon there (`buckthorncrossd dev` for \
         a trial) or name another with --server"
    )]
    Unreachable {
        /// Where.
        server: String,
        /// The system's reason.
        reason: String,
    },
    /// An edit was sent and its outcome never learned.
    #[error(
        "it is not known whether edit {edit} of {name} took effect: {reason}\nlook for its id \
         in `buckthorncross catalogue history {name}` before making it again"
    )]
    OutcomeUnknown {
        /// The edit.
        edit: EditId,
        /// Its entry.
        name: EntryName,
        /// Why it is not known.
        reason: String,
    },
    /// Anything else.
    #[error("{0:#}")]
    Other(#[from] eyre::Report),
}

impl Failure {
    /// The exit code that goes with it.
    pub(crate) fn exit_code(&self) -> u8 {
        match self {
            Self::Refused(body) => match body.code {
                ErrorCode::Conflict | ErrorCode::PreconditionRequired => CONFLICT,
                ErrorCode::OutcomeUnknown => OUTCOME_UNKNOWN,
                _ => FAILED,
            },
            Self::Unreachable { .. } => UNREACHABLE,
            Self::OutcomeUnknown { .. } => OUTCOME_UNKNOWN,
            Self::Other(_) => FAILED,
        }
    }
}

//! Failures of commands and their exit codes.

use adminapi::error::{ErrorBody, ErrorCode};
use types::prelude::*;

/// Exit code for a wrong command line.
pub(crate) const USAGE: u8 = 2;
const FAILED: u8 = 1;
const CONFLICT: u8 = 3;
const OUTCOME_UNKNOWN: u8 = 4;
const UNREACHABLE: u8 = 5;

/// Why a command failed.
#[derive(Debug, thiserror::Error)]
pub(crate) enum Failure {
    /// The daemon replied with an error.
    #[error("{0}")]
    Refused(Box<ErrorBody>),
    /// No connection to the daemon could be made, so nothing was sent.
    #[error(
        "{server} cannot be reached: {reason}\nstart a daemon there (`buckthorncrossd dev` for \
         a trial) or name another with --server"
    )]
    Unreachable {
        /// URL of the daemon.
        server: String,
        /// Error of the operating system.
        reason: String,
    },
    /// An edit was sent and its outcome could not be learned.
    #[error(
        "it is not known whether edit {edit} of {name} took effect: {reason}\nlook for its id \
         in `buckthorncross catalogue history {name}` before making it again"
    )]
    OutcomeUnknown {
        /// Id of the edit.
        edit: EditId,
        /// Name of the edited entry.
        name: EntryName,
        /// Why the outcome is unknown.
        reason: String,
    },
    /// Any other error.
    #[error("{0:#}")]
    Other(#[from] eyre::Report),
}

impl Failure {
    /// Exit code of the process for this failure.
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

//! How attempts end, and whether the upstream did any of the work.

use types::prelude::*;

/// How an attempt at an upstream ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum AttemptEnd {
    /// No byte of the request was written: there was no connection, or it closed before
    /// the first byte.
    NotSent,
    /// The upstream refused the request and reported, by its protocol, that it did not begin the
    /// work.
    RefusedNotRun {
        /// Delay after which the upstream would accept the request, if it named one.
        retry_after: Option<Span>,
    },
    /// At least one byte was written and no answer came.
    Unknown(UnknownCause),
    /// The answer began but was cut off.
    Truncated {
        /// Tokens received over all attempts, including those that this one resumed from.
        received: Tokens,
        /// Whether any byte of the answer was sent to the caller.
        shown: bool,
    },
    /// The answer received belongs to another attempt.
    AnswerOfOtherAttempt,
    /// An error status that does not say whether the work was begun.
    UpstreamError(u16),
    /// The complete answer was received.
    Complete {
        /// Tokens used.
        usage: Usage,
        /// Whether the answer is good enough; if not, a stronger version may be asked.
        adequate: bool,
    },
    /// The caller disconnected and the attempt was cancelled.
    CallerGone,
}

/// Why the outcome of an attempt is unknown.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum UnknownCause {
    /// The connection was reset or closed.
    Reset,
    /// No answer came before the timeout.
    TimedOut,
}

/// Tokens used by a complete answer; zero for plain services.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Usage {
    /// Tokens of the prompt.
    pub input: Tokens,
    /// Tokens of the answer.
    pub output: Tokens,
}

impl AttemptEnd {
    /// Whether the upstream did any of the work.
    ///
    /// A reset or timeout after the first written byte does not count as "not run": the upstream
    /// may have read the whole request and be working on it. The same holds for an error status
    /// that does not say "not run", and for the answer to another attempt, which shows nothing
    /// about this one.
    #[must_use]
    pub fn run(&self) -> RunState {
        match self {
            Self::NotSent | Self::RefusedNotRun { .. } => RunState::No,
            Self::Unknown(_)
            | Self::AnswerOfOtherAttempt
            | Self::UpstreamError(_)
            | Self::CallerGone => RunState::Unknown,
            Self::Truncated { .. } | Self::Complete { .. } => RunState::Yes,
        }
    }
}

/// Whether callers take this status for a promise that their request was not processed.
#[must_use]
pub fn promises_not_run(status: u16) -> bool {
    matches!(status, 408 | 421 | 425 | 429 | 503)
}

/// Combines the run states of two attempts: yes outweighs unknown, unknown outweighs no.
#[must_use]
pub fn combine_run_states(a: RunState, b: RunState) -> RunState {
    match (a, b) {
        (RunState::Yes, _) | (_, RunState::Yes) => RunState::Yes,
        (RunState::Unknown, _) | (_, RunState::Unknown) => RunState::Unknown,
        (RunState::No, RunState::No) => RunState::No,
    }
}

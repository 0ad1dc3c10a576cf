//! What is known of an attempt once it has ended.

use types::prelude::*;

/// How an attempt at an upstream ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum AttemptEnd {
    /// No byte of the work was written: no connection, or it closed before the first byte.
    NotSent,
    /// The upstream's protocol says that the work was not begun.
    RefusedNotRun {
        /// When the upstream would take it.
        retry_after: Option<Span>,
    },
    /// A byte was written and no answer came.
    Unknown(Doubt),
    /// The answer began and stopped without its end.
    Truncated {
        /// Tokens received since the request's first attempt, those resumed from included.
        received: Tokens,
        /// Whether the caller has seen any byte of them.
        shown: bool,
    },
    /// The answer belongs to another attempt.
    Crossed,
    /// An error without a word on whether the work was begun.
    UpstreamError(u16),
    /// The whole answer.
    Whole {
        /// What it took.
        usage: Usage,
        /// Whether it is good enough; if not, a stronger version may be asked.
        adequate: bool,
    },
    /// The caller left and the attempt was cancelled.
    CallerGone,
}

/// Why nothing is known of an attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Doubt {
    /// The connection was reset or closed.
    Reset,
    /// No answer within the time allowed.
    TimedOut,
}

/// Tokens that a whole answer took; nothing for plain services.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Usage {
    /// Of the prompt.
    pub input: Tokens,
    /// Of the answer.
    pub output: Tokens,
}

impl AttemptEnd {
    /// Whether the upstream did any of the work.
    ///
    /// A reset or timeout after a written byte is not "not run": the upstream may have read it
    /// all and be at work. The same goes for an error status without the upstream's own word,
    /// and for a foreign answer, which says nothing of our attempt.
    #[must_use]
    pub fn run(&self) -> RunState {
        match self {
            Self::NotSent | Self::RefusedNotRun { .. } => RunState::No,
            Self::Unknown(_) | Self::Crossed | Self::UpstreamError(_) | Self::CallerGone => {
                RunState::Unknown
            }
            Self::Truncated { .. } | Self::Whole { .. } => RunState::Yes,
        }
    }
}

/// The state of several attempts taken together.
#[must_use]
pub fn worse_run(a: RunState, b: RunState) -> RunState {
    match (a, b) {
        (RunState::Yes, _) | (_, RunState::Yes) => RunState::Yes,
        (RunState::Unknown, _) | (_, RunState::Unknown) => RunState::Unknown,
        (RunState::No, RunState::No) => RunState::No,
    }
}

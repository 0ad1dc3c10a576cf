//! What is known of a call that gave no answer.

use types::prelude::*;

/// Why an attempt gave no whole answer of its own.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum AttemptError {
    /// No byte of the request left: no connection was made.
    #[error("no connection to the upstream: {0}")]
    NotSent(String),
    /// The engine says that it did not begin.
    #[error("the engine refused before beginning: {reason}")]
    NotRun {
        /// Its error's code or message.
        reason: String,
        /// When it may take it.
        retry_after: Option<Span>,
    },
    /// The engine does not have the version loaded, and so did not begin.
    #[error("the version is not loaded on this engine")]
    NotLoaded,
    /// Sent, and nothing says whether it ran.
    #[error("no answer from the upstream: {0}")]
    Unknown(Doubt),
    /// The answer began and has no proper end.
    #[error("the answer was cut short after {delivered} pieces of text: {cause}")]
    Truncated {
        /// Pieces of text that were handed on.
        delivered: u32,
        /// How it ended.
        cause: Doubt,
    },
    /// The answer is another attempt's: nothing of it was handed on.
    #[error("the upstream answered for {got:?}")]
    Crossed {
        /// The id that came instead of ours.
        got: String,
        /// Pieces of our own text handed on before.
        delivered: u32,
    },
    /// Another status; it says nothing of whether the work was begun.
    #[error("the upstream answered with status {status}: {message}")]
    Status {
        /// The HTTP status.
        status: u16,
        /// Its error's message.
        message: String,
        /// When to come back.
        retry_after: Option<Span>,
    },
}

/// Why nothing more is known.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum Doubt {
    /// The connection broke or closed.
    #[error("the connection closed")]
    Closed,
    /// Nothing came within the time allowed.
    #[error("nothing came in time")]
    TimedOut,
    /// The stream ended without its end marker or its finish reason.
    #[error("its end marker is missing")]
    NoEnd,
    /// Not HTTP, not JSON, or not a chat completion.
    #[error("what came can't be read: {0}")]
    Malformed(String),
    /// Longer than allowed.
    #[error("it is larger than {0}")]
    TooLarge(ByteSize),
    /// The engine sent an error event.
    #[error("the engine reported an error: {0}")]
    Reported(String),
}

impl AttemptError {
    /// Whether the upstream did any of the work.
    #[must_use]
    pub fn run(&self) -> RunState {
        match self {
            Self::NotSent(_) | Self::NotRun { .. } | Self::NotLoaded => RunState::No,
            Self::Truncated { delivered, .. } | Self::Crossed { delivered, .. }
                if *delivered > 0 =>
            {
                RunState::Yes
            }
            Self::Truncated { .. }
            | Self::Crossed { .. }
            | Self::Unknown(_)
            | Self::Status { .. } => RunState::Unknown,
        }
    }

    /// The upstream's word on when to come back.
    #[must_use]
    pub fn retry_after(&self) -> Option<Span> {
        match self {
            Self::NotRun { retry_after, .. } | Self::Status { retry_after, .. } => *retry_after,
            _ => None,
        }
    }
}

/// Why an order was not carried out, or is not known to be.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum OrderError {
    /// The engine holds a newer fencing number: another driver has taken over.
    #[error("the engine holds fencing number {held}, newer than this order's")]
    Fenced {
        /// The number that it holds.
        held: u64,
    },
    /// The engine said no.
    #[error("the engine refused the order with status {status}: {message}")]
    Refused {
        /// The HTTP status.
        status: u16,
        /// What it said.
        message: String,
    },
    /// No answer: it may have been carried out.
    #[error("no answer to the order: {0}")]
    NoAnswer(String),
}

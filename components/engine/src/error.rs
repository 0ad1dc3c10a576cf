//! What is known of a request that got no complete answer.

use types::prelude::*;

/// Why an attempt got no complete answer.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum AttemptError {
    /// No connection was made, so no byte of the request was sent.
    #[error("no connection to the upstream: {0}")]
    NotSent(String),
    /// The engine stated that it did not begin.
    #[error("the engine refused before beginning: {reason}")]
    NotRun {
        /// The engine's error code, or its message if there is no code.
        reason: String,
        /// Time to wait before a retry, if the engine stated it.
        retry_after: Option<Span>,
    },
    /// The engine has not loaded the version, so it did not begin.
    #[error("the version is not loaded on this engine")]
    NotLoaded,
    /// The request was sent and it is unknown whether it ran.
    #[error("no answer from the upstream: {0}")]
    Unknown(FailureCause),
    /// The answer began but is incomplete.
    #[error("the answer was cut short after {delivered} pieces of text: {cause}")]
    Truncated {
        /// Number of pieces of text that were passed on.
        delivered: u32,
        /// How the answer ended.
        cause: FailureCause,
    },
    /// The answer belongs to another attempt; no part of it was passed on.
    #[error("the upstream answered for {got:?}")]
    WrongAttempt {
        /// The id received in place of this attempt's.
        got: String,
        /// Number of pieces of this attempt's own text that were passed on before.
        delivered: u32,
    },
    /// Any other status; it does not show whether the work was begun.
    #[error("the upstream answered with status {status}: {message}")]
    Status {
        /// The HTTP status.
        status: u16,
        /// The message of the error in the body.
        message: String,
        /// Time to wait before a retry, if the upstream stated it.
        retry_after: Option<Span>,
    },
}

/// How the exchange with the upstream failed.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum FailureCause {
    /// The connection broke or closed.
    #[error("the connection closed")]
    Closed,
    /// Nothing arrived before the timeout.
    #[error("nothing came in time")]
    TimedOut,
    /// The end marker or the finish reason is missing.
    #[error("its end marker is missing")]
    NoEnd,
    /// The bytes are not HTTP, not JSON, or not a chat completion.
    #[error("what came can't be read: {0}")]
    Malformed(String),
    /// The body or event exceeds this limit.
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
            Self::Truncated { delivered, .. } | Self::WrongAttempt { delivered, .. }
                if *delivered > 0 =>
            {
                RunState::Yes
            }
            Self::Truncated { .. }
            | Self::WrongAttempt { .. }
            | Self::Unknown(_)
            | Self::Status { .. } => RunState::Unknown,
        }
    }

    /// Time to wait before a retry, if the upstream stated it.
    #[must_use]
    pub fn retry_after(&self) -> Option<Span> {
        match self {
            Self::NotRun { retry_after, .. } | Self::Status { retry_after, .. } => *retry_after,
            _ => None,
        }
    }
}

/// Why an order failed, or why it is unknown whether it was carried out.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum OrderError {
    /// The engine holds a newer fencing token: another driver has taken over.
    #[error("the engine holds fencing number {held}, newer than this order's")]
    Fenced {
        /// The fencing token that the engine holds.
        held: u64,
    },
    /// The engine refused the order.
    #[error("the engine refused the order with status {status}: {message}")]
    Refused {
        /// The HTTP status.
        status: u16,
        /// The body of the engine's answer.
        message: String,
    },
    /// No valid answer came; the order may have been carried out.
    #[error("no answer to the order: {0}")]
    NoAnswer(String),
}

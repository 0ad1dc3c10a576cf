//! Requests to the limiter and its answers.

use std::fmt;

use types::prelude::*;

/// Upper limits for the whole fleet; none means unlimited.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Limits {
    /// Requests started per second.
    pub requests: Option<Rate>,
    /// Input and output tokens per second.
    pub tokens: Option<Rate>,
    /// Maximum number of requests in flight.
    pub concurrent: Option<u32>,
}

/// A request that asks to be admitted.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct AdmissionRequest {
    /// Customer that sends the request.
    pub customer: CustomerId,
    /// Requested offer or plain service.
    pub offer: EntryName,
    /// Service whose upstreams would run the request.
    pub pool: EntryName,
    /// Priority of the request.
    pub priority: Priority,
    /// Estimated number of tokens that the request uses.
    pub tokens: Tokens,
    /// Time after which an answer is of no use.
    pub deadline: Time,
}

/// Identifies a waiting request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Ticket(pub u64);

/// Permission to start a request; returned with [`crate::Limiter::release`] when the request has
/// ended.
#[derive(Debug, PartialEq, Eq)]
#[must_use = "a grant holds a slot until it is released"]
pub struct Grant {
    pub(crate) customer: CustomerId,
    pub(crate) offer: EntryName,
    pub(crate) pool: EntryName,
    pub(crate) priority: Priority,
    pub(crate) tokens: Tokens,
    pub(crate) started: Time,
    pub(crate) deadline: Time,
}

impl Grant {
    /// Time at which the request started.
    #[must_use]
    pub fn started(&self) -> Time {
        self.started
    }
}

impl Grant {
    pub(crate) fn into_ask(self) -> AdmissionRequest {
        AdmissionRequest {
            customer: self.customer,
            offer: self.offer,
            pool: self.pool,
            priority: self.priority,
            tokens: self.tokens,
            deadline: self.deadline,
        }
    }
}

/// Reason for refusing a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Code {
    /// The customer's limit is reached.
    CustomerLimit,
    /// The offer's limit is reached.
    OfferLimit,
    /// The request could not be answered before its deadline.
    Overloaded,
    /// Too many requests are waiting.
    QueueFull,
}

impl Code {
    /// Short identifier for callers and metrics.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            Self::CustomerLimit => "customer_limit",
            Self::OfferLimit => "offer_limit",
            Self::Overloaded => "overloaded",
            Self::QueueFull => "queue_full",
        }
    }
}

impl fmt::Display for Code {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::CustomerLimit => "the customer's limit is reached",
            Self::OfferLimit => "the offer's limit is reached",
            Self::Overloaded => "the request could not be answered before its deadline",
            Self::QueueFull => "too many requests wait",
        })
    }
}

/// Refusal of a request that was not run.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
#[error("{code}; try again in {retry_after}")]
pub struct Refusal {
    /// Reason for the refusal.
    pub code: Code,
    /// Delay before a retry, spread so that requests refused together are not retried together.
    pub retry_after: Span,
}

/// Answer to an [`AdmissionRequest`].
#[derive(Debug, PartialEq, Eq)]
pub enum Admission {
    /// The request may start now.
    Start(Grant),
    /// The request waits for a [`Verdict`] from [`crate::Limiter::process_queues`].
    Wait(Ticket),
    /// The request is refused and was not run.
    Refuse(Refusal),
}

/// Result of a wait.
#[derive(Debug, PartialEq, Eq)]
pub enum Verdict {
    /// The request may start now.
    Start(Grant),
    /// The request is refused and was not run.
    Refuse(Refusal),
}

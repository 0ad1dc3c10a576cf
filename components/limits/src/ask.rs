//! What is asked of the limiter, and its answers.

use std::fmt;

use types::prelude::*;

/// Upper bounds for the fleet; what is absent is not bounded.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Bounds {
    /// Requests started.
    pub requests: Option<Rate>,
    /// Tokens, input and output.
    pub tokens: Option<Rate>,
    /// Requests in flight.
    pub concurrent: Option<u32>,
}

/// A request that wants to start.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Ask {
    /// Who asks.
    pub customer: CustomerId,
    /// For which offer or plain service.
    pub offer: EntryName,
    /// The service whose upstreams would run it.
    pub pool: EntryName,
    /// What goes first.
    pub priority: Priority,
    /// Tokens that it is expected to use.
    pub tokens: Tokens,
    /// An answer is of no use later.
    pub deadline: Time,
}

/// Names a waiting request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Ticket(pub u64);

/// Leave to start; given back by [`crate::Limiter::release`] when the request has ended.
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
    /// When it was given.
    #[must_use]
    pub fn started(&self) -> Time {
        self.started
    }
}

impl Grant {
    pub(crate) fn into_ask(self) -> Ask {
        Ask {
            customer: self.customer,
            offer: self.offer,
            pool: self.pool,
            priority: self.priority,
            tokens: self.tokens,
            deadline: self.deadline,
        }
    }
}

/// What refused a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Code {
    /// The customer's own limit.
    CustomerLimit,
    /// The offer's limit.
    OfferLimit,
    /// It could not be answered before its deadline.
    Overloaded,
    /// Too many wait.
    QueueFull,
}

impl Code {
    /// Short name, for callers and metrics.
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

/// A refusal before anything was sent: the request was not run.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
#[error("{code}; try again in {retry_after}")]
pub struct Refusal {
    /// What refused it.
    pub code: Code,
    /// When to try again. Spread, so that those refused together do not return together.
    pub retry_after: Span,
}

/// The answer to an [`Ask`].
#[derive(Debug, PartialEq, Eq)]
pub enum Admission {
    /// Start now.
    Start(Grant),
    /// Wait for a [`Verdict`] from [`crate::Limiter::pump`].
    Wait(Ticket),
    /// Not now.
    Refuse(Refusal),
}

/// The end of a wait.
#[derive(Debug, PartialEq, Eq)]
pub enum Verdict {
    /// Start now.
    Start(Grant),
    /// Not run.
    Refuse(Refusal),
}

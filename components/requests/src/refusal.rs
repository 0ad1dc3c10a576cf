//! Refusals, and the proof needed to refuse a request as "not run".

use std::fmt;

use types::prelude::*;

/// Proof that no byte of a request reached an upstream, or that each upstream it reached reported
/// that it did not begin the work.
///
/// After a false "not run" a caller would retry a booking that was already made, so only
/// [`crate::life::Request`] creates this proof, from how each of its attempts ended.
#[derive(Debug)]
pub struct NotRunProof(());

impl NotRunProof {
    pub(crate) fn new() -> Self {
        Self(())
    }
}

/// Why a request was refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Code {
    /// The request is malformed.
    Invalid,
    /// The caller's credentials are missing or unknown.
    Unauthorized,
    /// The customer is not permitted to use the entry.
    NotPermitted,
    /// There is no entry of the requested name.
    NotFound,
    /// A limit of the customer or entry was reached.
    Limited,
    /// Too many requests are waiting.
    Overloaded,
    /// The catalogue may be out of date, and the entry asks to refuse in that case.
    Stale,
    /// No upstream can take the request.
    NoUpstream,
    /// The same request crashed upstreams and is quarantined.
    Quarantined,
    /// The request cannot be completed before its deadline.
    DeadlinePassed,
    /// The claim that the request needs cannot be made.
    ClaimUnavailable,
    /// The ledger has no room for the bill.
    LedgerFull,
    /// Attempts failed and no further one is allowed.
    AttemptsFailed,
    /// An upstream answered with this HTTP error status.
    UpstreamStatus(u16),
    /// The answer was truncated after a part of it was sent to the caller.
    AnswerTruncated,
    /// The request may have run and must not be run again.
    OutcomeUnknown,
    /// The request ran earlier under the same id, and its answer was too large to record.
    AnswerNotKept,
    /// The same id was used for a different request.
    IdempotencyKeyReused,
    /// The caller disconnected.
    CallerGone,
    /// The daemon is shutting down.
    ShuttingDown,
}

impl fmt::Display for Code {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Invalid => "invalid_request",
            Self::Unauthorized => "unauthorized",
            Self::NotPermitted => "not_permitted",
            Self::NotFound => "not_found",
            Self::Limited => "limited",
            Self::Overloaded => "overloaded",
            Self::Stale => "stale_catalogue",
            Self::NoUpstream => "no_upstream",
            Self::Quarantined => "barred",
            Self::DeadlinePassed => "deadline_passed",
            Self::ClaimUnavailable => "claim_unavailable",
            Self::LedgerFull => "ledger_full",
            Self::AttemptsFailed => "attempts_failed",
            Self::UpstreamStatus(status) => return write!(f, "upstream_status_{status}"),
            Self::AnswerTruncated => "stream_cut",
            Self::OutcomeUnknown => "outcome_unknown",
            Self::AnswerNotKept => "answer_not_kept",
            Self::IdempotencyKeyReused => "id_reused",
            Self::CallerGone => "caller_gone",
            Self::ShuttingDown => "shutting_down",
        })
    }
}

/// What the caller gets instead of an answer: reason, run state and retry delay.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Refusal {
    run: RunState,
    code: Code,
    retry_after: Option<Span>,
}

impl Refusal {
    /// Creates a refusal with the run state "not run".
    #[must_use]
    pub fn not_run(_proof: NotRunProof, code: Code) -> Self {
        Self {
            run: RunState::No,
            code,
            retry_after: None,
        }
    }

    /// Creates the refusal of a request that may have run.
    #[must_use]
    pub fn unknown(code: Code) -> Self {
        Self {
            run: RunState::Unknown,
            code,
            retry_after: None,
        }
    }

    /// Creates the refusal of a request that ran, wholly or in part.
    #[must_use]
    pub fn ran(code: Code) -> Self {
        Self {
            run: RunState::Yes,
            code,
            retry_after: None,
        }
    }

    /// Sets the delay after which a retry is worthwhile.
    #[must_use]
    pub fn with_retry_after(self, span: Option<Span>) -> Self {
        Self {
            retry_after: span,
            ..self
        }
    }

    /// Whether an upstream did any of the work.
    #[must_use]
    pub fn run(&self) -> RunState {
        self.run
    }

    /// Reason for the refusal.
    #[must_use]
    pub fn code(&self) -> Code {
        self.code
    }

    /// Delay after which a retry is worthwhile.
    #[must_use]
    pub fn retry_after(&self) -> Option<Span> {
        self.retry_after
    }
}

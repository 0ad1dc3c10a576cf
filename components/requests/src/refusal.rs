//! Refusals, and the evidence that one which says "not run" needs.

use std::fmt;

use types::prelude::*;

/// Proof that no byte of a request's work reached an upstream, or that each upstream it
/// reached said it had not begun.
///
/// Guards against a false "not run", after which a caller would repeat a booking that was
/// made: only [`crate::life::Request`] makes one, from the ends of all of its attempts.
#[derive(Debug)]
pub struct NotRun(());

impl NotRun {
    pub(crate) fn proved() -> Self {
        Self(())
    }
}

/// Why a request was refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Code {
    /// The request itself is wrong.
    Invalid,
    /// Nobody known asks.
    Unauthorized,
    /// The customer may not have it.
    NotPermitted,
    /// Nothing of that name is offered.
    NotFound,
    /// A limit of the customer or entry is reached.
    Limited,
    /// Too much work is waiting.
    Overloaded,
    /// The catalogue may be out of date, and the entry says to refuse then.
    Stale,
    /// No upstream can take it.
    NoUpstream,
    /// Upstreams ended under the same request.
    Barred,
    /// It cannot be done in time.
    DeadlinePassed,
    /// The claim that it needs cannot be made.
    ClaimUnavailable,
    /// The bill could not be kept safe.
    LedgerFull,
    /// Attempts failed and no more are allowed.
    AttemptsFailed,
    /// An upstream answered with this error status.
    UpstreamStatus(u16),
    /// The answer broke off after the caller had seen a part.
    StreamCut,
    /// It may have run and must not run again.
    OutcomeUnknown,
    /// It ran under the same id earlier; its answer was too large to keep.
    AnswerNotKept,
    /// The same id is in use for another request.
    IdReused,
    /// The caller left.
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
            Self::Barred => "barred",
            Self::DeadlinePassed => "deadline_passed",
            Self::ClaimUnavailable => "claim_unavailable",
            Self::LedgerFull => "ledger_full",
            Self::AttemptsFailed => "attempts_failed",
            Self::UpstreamStatus(status) => return write!(f, "upstream_status_{status}"),
            Self::StreamCut => "stream_cut",
            Self::OutcomeUnknown => "outcome_unknown",
            Self::AnswerNotKept => "answer_not_kept",
            Self::IdReused => "id_reused",
            Self::CallerGone => "caller_gone",
            Self::ShuttingDown => "shutting_down",
        })
    }
}

/// What a caller is told instead of an answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Refusal {
    run: RunState,
    code: Code,
    retry_after: Option<Span>,
}

impl Refusal {
    /// One that says "not run".
    #[must_use]
    pub fn not_run(_evidence: NotRun, code: Code) -> Self {
        Self {
            run: RunState::No,
            code,
            retry_after: None,
        }
    }

    /// One of a request that may have run.
    #[must_use]
    pub fn unknown(code: Code) -> Self {
        Self {
            run: RunState::Unknown,
            code,
            retry_after: None,
        }
    }

    /// One of a request that ran, wholly or in part.
    #[must_use]
    pub fn ran(code: Code) -> Self {
        Self {
            run: RunState::Yes,
            code,
            retry_after: None,
        }
    }

    /// With a time after which a repeat is worth while.
    #[must_use]
    pub fn with_retry_after(self, span: Option<Span>) -> Self {
        Self {
            retry_after: span,
            ..self
        }
    }

    /// Whether any of the work was done.
    #[must_use]
    pub fn run(&self) -> RunState {
        self.run
    }

    /// Why.
    #[must_use]
    pub fn code(&self) -> Code {
        self.code
    }

    /// When a repeat is worth while.
    #[must_use]
    pub fn retry_after(&self) -> Option<Span> {
        self.retry_after
    }
}

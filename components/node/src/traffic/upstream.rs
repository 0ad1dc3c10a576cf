//! An upstream taken for an attempt, and what its failure says of the work.

use std::net::SocketAddr;

use callers::Responder;
use engine::{AttemptError, Doubt};
use requests::attempt::{self, AttemptEnd};
use requests::life::Facts;
use requests::step::{OnCallerGone, on_caller_gone};
use routing::{RouteRequest, Router, TargetIndex, UpstreamIndex};
use types::prelude::*;

/// An upstream taken for an attempt.
pub(crate) struct Taken {
    pub(crate) index: UpstreamIndex,
    pub(crate) target: TargetIndex,
    pub(crate) id: UpstreamId,
    pub(crate) address: SocketAddr,
}

impl Taken {
    /// Counts an attempt at a picked upstream as begun.
    pub(crate) fn start(
        router: &mut Router,
        index: UpstreamIndex,
        demand: &RouteRequest<'_>,
    ) -> Option<Self> {
        router.started(index, demand);
        let spec = router.upstream(index)?.spec();
        Some(Self {
            index,
            target: demand.target,
            id: spec.id.clone(),
            address: spec.address,
        })
    }
}

/// Waits until the caller has left, of work that is cancelled then; else for ever.
///
/// Guards against an upstream that works on for nobody: a caller that leaves before anything
/// of its answer was written shows on its connection only.
pub(crate) async fn left(responder: &Responder, facts: &Facts) {
    match on_caller_gone(facts) {
        OnCallerGone::Cancel => responder.gone().await,
        OnCallerGone::Finish => std::future::pending().await,
    }
}

/// What a failed attempt says of the work; `received` and `shown` are of its answer so far.
pub(crate) fn end_of(error: &AttemptError, received: Tokens, shown: bool) -> AttemptEnd {
    match error {
        AttemptError::NotSent(_) => AttemptEnd::NotSent,
        AttemptError::NotRun { retry_after, .. } => AttemptEnd::RefusedNotRun {
            retry_after: *retry_after,
        },
        AttemptError::NotLoaded => AttemptEnd::RefusedNotRun { retry_after: None },
        AttemptError::Unknown(Doubt::TimedOut) => AttemptEnd::Unknown(attempt::Doubt::TimedOut),
        AttemptError::Unknown(_) => AttemptEnd::Unknown(attempt::Doubt::Reset),
        AttemptError::Truncated { .. } => AttemptEnd::Truncated { received, shown },
        AttemptError::Crossed { .. } => AttemptEnd::Crossed,
        AttemptError::Status { status, .. } => AttemptEnd::UpstreamError(*status),
    }
}

//! The upstream picked for an attempt, and what its failure means for the request.

use std::net::SocketAddr;

use callers::Responder;
use engine::{AttemptError, FailureCause};
use requests::attempt::{self, AttemptEnd};
use requests::life::RequestSpec;
use requests::step::{OnCallerGone, on_caller_gone};
use routing::{RouteRequest, Router, TargetIndex, UpstreamIndex};
use types::prelude::*;

/// An upstream at which an attempt was started.
pub(crate) struct PickedUpstream {
    pub(crate) index: UpstreamIndex,
    pub(crate) target: TargetIndex,
    pub(crate) id: UpstreamId,
    pub(crate) address: SocketAddr,
}

impl PickedUpstream {
    /// Tells the router that an attempt starts at the upstream it picked.
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

/// Resolves when the caller is gone, for work that is cancelled then; never for other work.
///
/// Before anything of the answer is written, only the connection shows that the caller left.
/// Without this check the upstream would continue work that nobody waits for.
pub(crate) async fn cancellation(responder: &Responder, spec: &RequestSpec) {
    match on_caller_gone(spec) {
        OnCallerGone::Cancel => responder.disconnected().await,
        OnCallerGone::Finish => std::future::pending().await,
    }
}

/// Classifies a failed attempt; `received` and `shown` give how much of its answer has arrived.
pub(crate) fn attempt_end(error: &AttemptError, received: Tokens, shown: bool) -> AttemptEnd {
    match error {
        AttemptError::NotSent(_) => AttemptEnd::NotSent,
        AttemptError::NotRun { retry_after, .. } => AttemptEnd::RefusedNotRun {
            retry_after: *retry_after,
        },
        AttemptError::NotLoaded => AttemptEnd::RefusedNotRun { retry_after: None },
        AttemptError::Unknown(FailureCause::TimedOut) => {
            AttemptEnd::Unknown(attempt::UnknownCause::TimedOut)
        }
        AttemptError::Unknown(_) => AttemptEnd::Unknown(attempt::UnknownCause::Reset),
        AttemptError::Truncated { .. } => AttemptEnd::Truncated { received, shown },
        AttemptError::WrongAttempt { .. } => AttemptEnd::AnswerOfOtherAttempt,
        AttemptError::Status { status, .. } => AttemptEnd::UpstreamError(*status),
    }
}

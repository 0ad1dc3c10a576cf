//! An upstream taken for an attempt, and what its failure says of the work.

use std::net::SocketAddr;

use engine::{AttemptError, Doubt};
use requests::attempt::{self, AttemptEnd};
use routing::{Demand, Router, TargetIndex, UpstreamIndex};
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
        demand: &Demand<'_>,
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

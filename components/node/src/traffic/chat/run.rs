//! Runs one request: attempt after attempt until it is answered or refused.

use callers::Responder;
use requests::attempt::{AttemptEnd, Usage};
use requests::life::{Admitted, Answered, Attempted, Next, Refused, Request, Waiting};
use requests::refusal::Code;
use routing::{Demand, Outcome, PrefixHash, Target, TargetIndex, UpstreamIndex};
use types::prelude::*;

use super::Job;
use super::answer::Relay;
use super::body::prefix_hashes;
use super::version::{Chosen, choose_version};
use crate::shared::{Shared, lock};
use crate::traffic::refusal::Refusal;

/// Pause that a caller is told when no version or upstream can take the work.
const NO_UPSTREAM_RETRY: Span = Span::from_secs(1);

/// Runs a request to its end.
pub(crate) fn run(job: Job, responder: &Responder) {
    let Some(chosen) = choose_version(&job) else {
        let message = "no permitted version takes new work";
        let refusal = Refusal::unavailable("no_version", message, NO_UPSTREAM_RETRY);
        return refuse(&job, responder, &refusal);
    };
    let prefix = prefix_hashes(&job.ask.fields);
    let run = Run {
        job: &job,
        chosen: &chosen,
        prefix: &prefix,
    };
    run.attempts(Relay::new(&job, &chosen, responder));
}

fn refuse(job: &Job, responder: &Responder, refusal: &Refusal) {
    job.cx.shared.metrics.refusal(refusal.code);
    refusal.send(responder, Some(&job.head.request));
}

/// A request that may go to an upstream.
enum Ready {
    First(Request<Admitted>),
    Again(Request<Waiting>),
}

impl Ready {
    fn refuse(self, code: Code) -> Request<Refused> {
        match self {
            Self::First(request) => request.refuse(code),
            Self::Again(request) => request.refuse(code),
        }
    }

    fn attempt(self, upstream: UpstreamId) -> Result<Request<Attempted>, Request<Refused>> {
        match self {
            // Non-idempotent work needs a claim, which the life cycle enforces.
            Self::First(request) => request
                .attempt(upstream)
                .map_err(|request| request.refuse(Code::ClaimUnavailable)),
            Self::Again(request) => Ok(request.attempt(upstream)),
        }
    }
}

/// An upstream taken for an attempt.
struct Taken {
    index: UpstreamIndex,
    target: TargetIndex,
    id: UpstreamId,
    address: std::net::SocketAddr,
}

struct Run<'a> {
    job: &'a Job,
    chosen: &'a Chosen,
    prefix: &'a [PrefixHash],
}

impl Run<'_> {
    fn shared(&self) -> &Shared {
        &self.job.cx.shared
    }

    fn attempts(&self, mut relay: Relay<'_>) {
        let mut ready = Ready::First(self.job.admit());
        let mut avoid = Vec::new();
        loop {
            let Some(taken) = self.take_upstream(&avoid) else {
                return relay.refuse(&ready.refuse(Code::NoUpstream).refusal());
            };
            let request = match ready.attempt(taken.id.clone()) {
                Ok(request) => request,
                Err(refused) => return relay.refuse(&refused.refusal()),
            };
            let (request, end) = self.attempt(request, &taken, &mut relay);
            avoid.push(taken.index);
            ready = match self.end(request, &taken, &end) {
                Next::Retry(request, _) => Ready::Again(request),
                Next::Answered(request) => return self.answer(request, relay),
                Next::Refused(request) => return relay.refuse(&request.refusal()),
                Next::Unknown(request) => return relay.refuse(&request.refusal()),
                // Neither hedged nor escalated as yet: what is at hand is the answer.
                Next::Escalate(request) => {
                    return self.answer(request.answer(relay.usage()), relay);
                }
                Next::Open(_) => return,
            };
        }
    }

    fn end(&self, request: Request<Attempted>, taken: &Taken, end: &AttemptEnd) -> Next {
        let now = self.shared().now();
        let entry = &self.job.resolved.name;
        self.shared()
            .with_budget(entry, |budget| request.end(&taken.id, end, now, budget))
    }

    fn take_upstream(&self, avoid: &[UpstreamIndex]) -> Option<Taken> {
        let now = self.shared().now();
        let mut router = lock(&self.shared().router);
        let target = router.target_index(&Target::Version(self.chosen.version.clone()))?;
        let fresh = router.pick(now, &self.demand(target, avoid), &mut rand::rng());
        // Better one that failed before than none: its fault may have passed.
        let mut again = || router.pick(now, &self.demand(target, &[]), &mut rand::rng());
        let index = fresh.or_else(|_| again()).ok()?;
        let demand = self.demand(target, avoid);
        router.started(index, &demand);
        let spec = router.upstream(index)?.spec();
        Some(Taken {
            index,
            target,
            id: spec.id.clone(),
            address: spec.address,
        })
    }

    fn demand<'a>(&'a self, target: TargetIndex, avoid: &'a [UpstreamIndex]) -> Demand<'a> {
        Demand {
            target,
            prefix: self.prefix,
            priority: self.job.priority,
            avoid,
        }
    }

    fn attempt(
        &self,
        mut request: Request<Attempted>,
        taken: &Taken,
        relay: &mut Relay<'_>,
    ) -> (Request<Attempted>, AttemptEnd) {
        let began = self.shared().now();
        let end = relay.attempt(taken.address, &mut request);
        let outcome = relay.outcome(&end, began);
        let now = self.shared().now();
        let mut router = lock(&self.shared().router);
        if let Some(load) = relay.load() {
            router.report(now, taken.index, &load);
        }
        router.finished(now, taken.index, taken.target, outcome, &mut rand::rng());
        (request, end)
    }

    fn answer(&self, request: Request<Answered>, relay: Relay<'_>) {
        let usage: Usage = request.usage();
        let attempts = request.progress().attempts();
        let (_billed, facts) = request.bill();
        tracing::debug!(
            "traffic: {} is answered after {attempts} attempts",
            facts.request
        );
        relay.finish(usage, attempts);
    }
}

/// What routing learns from the end of an attempt.
pub(crate) fn outcome_of(end: &AttemptEnd, first_token: Span, per_token: Span) -> Outcome {
    match end {
        AttemptEnd::Whole { .. } => Outcome::Answered {
            first_token,
            per_token,
        },
        AttemptEnd::NotSent => Outcome::Unreachable,
        AttemptEnd::RefusedNotRun { .. } => Outcome::Busy,
        AttemptEnd::CallerGone => Outcome::Cancelled,
        AttemptEnd::Unknown(_)
        | AttemptEnd::Truncated { .. }
        | AttemptEnd::Crossed
        | AttemptEnd::UpstreamError(_) => Outcome::Failed,
    }
}

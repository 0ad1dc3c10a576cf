//! Runs one request: attempt after attempt until it is answered or refused.

use callers::Responder;
use catalogue::view::{SERVICES, short_name};
use limits::AdmissionRequest;
use requests::attempt::{AttemptEnd, Usage};
use requests::life::{Answered, Attempted, Next, Refused, Request, Waiting};
use requests::refusal::Code;
use routing::{Outcome, PrefixHash, RouteRequest, Target, TargetIndex, UpstreamIndex};
use types::prelude::*;

use super::Job;
use super::answer::Relay;
use super::body::prefix_hashes;
use super::version::{NoVersion, choose_version};
use crate::admission;
use crate::measured;
use crate::rating;
use crate::shared::{Shared, lock};
use crate::traffic::billing;
use crate::traffic::claim::{self, Claimed};
use crate::traffic::limited;
use crate::traffic::refusal::Refusal;
use crate::traffic::upstream::PickedUpstream;

/// Retry-After sent to a caller when no version can take the request.
const NO_VERSION_RETRY_AFTER: Span = Span::from_secs(1);

/// Output tokens reserved from token limits until the answer's length is known.
const EXPECTED_OUTPUT: Tokens = Tokens(256);

/// Runs a request to its end.
pub(crate) async fn run(job: &Job, responder: &Responder) {
    let chosen = match choose_version(job).await {
        Ok(chosen) => chosen,
        Err(reason) => return refuse(job, responder, &no_version(reason)).await,
    };
    let prefix = prefix_hashes(&job.params.fields);
    let run = Run {
        job,
        prefix: &prefix,
    };
    let relay = Relay::new(job, &chosen, responder);
    match claim::claim(&job.cx.shared, job.admit(), fingerprint(job)).await {
        Claimed::Ready(ready) => run.run_attempts(ready, relay).await,
        Claimed::Replay(recorded) => claim::replay(responder, recorded).await,
        Claimed::Refused(refusal) => relay.refuse(&refusal).await,
    }
}

fn no_version(reason: NoVersion) -> Refusal {
    let (code, message) = match reason {
        NoVersion::NoneAvailable => ("no_version", "no permitted version takes new work"),
        NoVersion::CatalogueBehind => (
            "stale_catalogue",
            "the session's version is newer than this daemon's catalogue",
        ),
    };
    Refusal::unavailable(code, message, NO_VERSION_RETRY_AFTER)
}

/// Hash of the body, the same for a retry. Headers do not count: they specify how the work is
/// requested, not what it is.
fn fingerprint(job: &Job) -> u64 {
    let body = serde_json::to_vec(&job.params.fields).unwrap_or_default();
    xxhash_rust::xxh3::xxh3_64(&body)
}

async fn refuse(job: &Job, responder: &Responder, refusal: &Refusal) {
    let metrics = &job.cx.shared.metrics;
    metrics.refusal(refusal.code);
    let offer = metrics.offer(job.resolved.name.as_str());
    offer.ended(measured::refusal_label(refusal.run));
    refusal.send(responder, Some(&job.head.request)).await;
}

struct Run<'a> {
    job: &'a Job,
    prefix: &'a [PrefixHash],
}

impl Run<'_> {
    fn shared(&self) -> &Shared {
        &self.job.cx.shared
    }

    async fn run_attempts(&self, mut ready: Request<Waiting>, mut relay: Relay<'_>) {
        let ask = self.admission_ask(&relay.trying().version);
        let mut guard = match admission::acquire(self.shared(), ask).await {
            Ok(guard) => guard,
            Err(refusal) => return self.refuse_limited(ready, &relay, refusal).await,
        };
        let mut tried = Vec::new();
        loop {
            if let Some(retry_after) = self.shared().quarantine.quarantined_for(&self.job.content) {
                return self.refuse_quarantined(ready, relay, retry_after).await;
            }
            let version = &relay.trying().version;
            let permitted = self.is_still_permitted(version);
            let picked = if permitted {
                self.pick_upstream(version, &tried)
            } else {
                None
            };
            let Some(picked) = picked else {
                return self.answer_or_refuse(ready, relay).await;
            };
            let request = ready.attempt(picked.id.clone());
            let (request, end) = self.attempt(request, &picked, &mut relay).await;
            let request = match self.pause(request, &picked, &relay) {
                Ok(paused) => {
                    ready = paused;
                    if let Err(refusal) = guard.reacquire(self.job.deadline).await {
                        return self.refuse_limited(ready, &relay, refusal).await;
                    }
                    continue;
                }
                Err(request) => request,
            };
            tried.push(picked.index);
            ready = match self.end_attempt(request, &picked, &end) {
                Next::Retry(request, _) => request,
                Next::Answered(request) => {
                    guard.used(request.usage().input + request.usage().output);
                    drop(guard);
                    return self.send_answer(request, relay).await;
                }
                Next::Refused(request) => return self.refuse(request, &relay).await,
                Next::Unknown(request) => return relay.refuse(&request.refusal()).await,
                Next::Escalate(request) => {
                    relay.escalate();
                    tried.clear();
                    request
                }
                Next::HedgeInFlight(_) => return,
            };
        }
    }

    /// Returns a preempted request to waiting, or gives any other request back as the error.
    fn pause(
        &self,
        request: Request<Attempted>,
        picked: &PickedUpstream,
        relay: &Relay<'_>,
    ) -> Result<Request<Waiting>, Request<Attempted>> {
        if relay.was_preempted() {
            request.pause(&picked.id, relay.received())
        } else {
            Err(request)
        }
    }

    async fn refuse_limited(
        &self,
        ready: Request<Waiting>,
        relay: &Relay<'_>,
        refusal: limits::Refusal,
    ) {
        let refused = ready.refuse(limited::code_of(refusal));
        let decision = claim::release_refused(self.shared(), refused);
        let decision = decision.with_retry_after(Some(refusal.retry_after));
        relay.refuse(&decision).await;
    }

    /// Ends a quarantined request: with the weaker version's answer if one is held, else with a
    /// refusal.
    async fn refuse_quarantined(
        &self,
        ready: Request<Waiting>,
        relay: Relay<'_>,
        retry_after: Span,
    ) {
        if relay.holds_answer() {
            return self.send_answer(ready.answer(relay.usage()), relay).await;
        }
        let refused = ready.refuse(Code::Quarantined);
        let refusal = claim::release_refused(self.shared(), refused);
        relay
            .refuse(&refusal.with_retry_after(Some(retry_after)))
            .await;
    }

    /// Admission request to the limiter. The tokens used are settled when the request ends.
    fn admission_ask(&self, version: &VersionId) -> AdmissionRequest {
        let job = self.job;
        let view = &job.cx.snapshot.view;
        let model = view.models.get(&version.model);
        let pool = model.and_then(|model| short_name(&model.service, SERVICES));
        let output = job.params.max_output.unwrap_or(EXPECTED_OUTPUT);
        AdmissionRequest {
            customer: job.cx.customer.clone(),
            offer: job.resolved.name.clone(),
            pool: pool.unwrap_or_else(|| job.resolved.name.clone()),
            priority: job.priority,
            tokens: job.params.input + output.min(EXPECTED_OUTPUT),
            deadline: job.deadline,
        }
    }

    /// Ends a request that no upstream can take: with the weaker version's answer if one is held,
    /// else with a refusal.
    async fn answer_or_refuse(&self, ready: Request<Waiting>, relay: Relay<'_>) {
        if relay.holds_answer() {
            self.send_answer(ready.answer(relay.usage()), relay).await;
        } else {
            let refused = ready.refuse(Code::NoUpstream);
            self.refuse(refused, &relay).await;
        }
    }

    /// Whether the version still serves the customer. A version may be withdrawn, or taken from the
    /// customer, while the request waits for its claim or for another attempt; so this reads the
    /// current catalogue, the offer included, not the copy from the request's arrival.
    fn is_still_permitted(&self, version: &VersionId) -> bool {
        let view = &self.shared().snapshot.load().view;
        let offer = view.offers.get(&self.job.resolved.name);
        let permitted = offer.map(|offer| view.permitted(offer, &self.job.cx.customer));
        permitted.is_some_and(|permitted| permitted.contains(version))
    }

    async fn refuse(&self, request: Request<Refused>, relay: &Relay<'_>) {
        relay
            .refuse(&claim::release_refused(self.shared(), request))
            .await;
    }

    fn end_attempt(
        &self,
        request: Request<Attempted>,
        picked: &PickedUpstream,
        end: &AttemptEnd,
    ) -> Next {
        let now = self.shared().now();
        let entry = &self.job.resolved.name;
        self.shared()
            .with_budget(entry, |budget| request.end(&picked.id, end, now, budget))
    }

    fn pick_upstream(
        &self,
        version: &VersionId,
        tried: &[UpstreamIndex],
    ) -> Option<PickedUpstream> {
        let now = self.shared().now();
        let mut router = lock(&self.shared().router);
        let target = router.target_index(&Target::Version(version.clone()))?;
        // An upstream that failed before is better than none: its fault may have passed.
        let last = tried.last().map_or(&[][..], std::slice::from_ref);
        let mut excluded = [tried, last, &[]].into_iter();
        let index = excluded.find_map(|tried| {
            let demand = self.demand(target, tried);
            router.pick(now, &demand, &mut rand::rng()).ok()
        })?;
        let demand = self.demand(target, tried);
        let is_interactive = self.job.priority == Priority::Interactive;
        let must_preempt = is_interactive && router.should_preempt_batch(now, index);
        let picked = PickedUpstream::start(&mut router, index, &demand)?;
        drop(router);
        if must_preempt {
            self.shared().admissions.preempt(index);
        }
        Some(picked)
    }

    /// Whether another attempt can take the place of one at this upstream.
    fn can_replace(
        &self,
        request: &Request<Attempted>,
        version: &VersionId,
        picked: &PickedUpstream,
    ) -> bool {
        let (shared, entry) = (self.shared(), &self.job.resolved.name);
        let now = shared.now();
        let may_replace = shared.with_budget(entry, |budget| request.may_replace(now, budget));
        let is_open = shared.quarantine.is_open(&self.job.content);
        if !may_replace || !is_open || !self.is_still_permitted(version) {
            return false;
        }
        let demand = self.demand(picked.target, std::slice::from_ref(&picked.index));
        let picked = lock(&shared.router).pick(now, &demand, &mut rand::rng());
        picked.is_ok()
    }

    fn demand<'a>(&'a self, target: TargetIndex, tried: &'a [UpstreamIndex]) -> RouteRequest<'a> {
        RouteRequest {
            target,
            prefix: self.prefix,
            priority: self.job.priority,
            tried,
        }
    }

    async fn attempt(
        &self,
        mut request: Request<Attempted>,
        picked: &PickedUpstream,
        relay: &mut Relay<'_>,
    ) -> (Request<Attempted>, AttemptEnd) {
        let began = self.shared().now();
        relay.set_upstream(picked.index);
        let (quarantine, content) = (&self.shared().quarantine, &self.job.content);
        let attempt_id = quarantine.attempt_started(picked, content);
        let version = &relay.trying().version;
        let can_replace = |request: &_| self.can_replace(request, version, picked);
        let end = relay
            .attempt(picked.address, &mut request, &can_replace)
            .await;
        quarantine
            .attempt_ended(picked, content, attempt_id, &end)
            .await;
        self.shared().metrics.attempt(measured::attempt_label(&end));
        let outcome = relay.outcome(&end, began);
        let now = self.shared().now();
        let mut router = lock(&self.shared().router);
        if let Some(load) = relay.load() {
            router.record_report(now, picked.index, &load);
        }
        router.finished(now, picked.index, picked.target, outcome, &mut rand::rng());
        (request, end)
    }

    fn record_latency(&self, version: &VersionId) {
        let took = self.shared().now().since(self.job.arrived);
        lock(&self.shared().latencies).record(version, took);
    }

    async fn send_answer(&self, request: Request<Answered>, relay: Relay<'_>) {
        let usage: Usage = request.usage();
        let attempts = request.progress().attempts();
        let (billed, details) = request.bill();
        tracing::debug!(
            "traffic: {} is answered after {attempts} attempts",
            details.request
        );
        let (version, cost) = (&relay.chosen().version, relay.cost(usage));
        self.record_latency(version);
        let bill = billing::bill_of(self.shared(), details, Some(version), cost, attempts);
        if billing::bill(self.shared(), bill).await.is_err() {
            let cut = requests::refusal::Refusal::ran(Code::ShuttingDown);
            return relay.refuse(&cut).await;
        }
        let sample = relay.sample();
        let recorded = relay.finish(usage, attempts).await;
        if let Some((sample, info)) = sample {
            rating::submit(&self.job.cx.shared, sample, info);
        }
        claim::record_answer(self.shared(), billed, recorded);
    }
}

/// The outcome for routing of an attempt that ended.
pub(crate) fn outcome_of(end: &AttemptEnd, first_token: Span, per_token: Span) -> Outcome {
    match end {
        AttemptEnd::Complete { .. } => Outcome::Answered {
            first_token,
            per_token,
        },
        AttemptEnd::NotSent => Outcome::Unreachable,
        AttemptEnd::RefusedNotRun { .. } => Outcome::Busy,
        AttemptEnd::CallerGone => Outcome::Cancelled,
        AttemptEnd::Unknown(_)
        | AttemptEnd::Truncated { .. }
        | AttemptEnd::AnswerOfOtherAttempt
        | AttemptEnd::UpstreamError(_) => Outcome::Failed,
    }
}

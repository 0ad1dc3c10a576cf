//! Runs one request: attempt after attempt until it is answered or refused.

use callers::Responder;
use catalogue::view::{SERVICES, short_name};
use limits::Ask;
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
use crate::traffic::claim::{self, Entry};
use crate::traffic::limited;
use crate::traffic::refusal::Refusal;
use crate::traffic::upstream::Taken;

/// Pause that a caller is told when no version or upstream can take the work.
const NO_UPSTREAM_RETRY: Span = Span::from_secs(1);

/// Tokens of an answer that are reserved until its length is known.
const EXPECTED_OUTPUT: Tokens = Tokens(256);

/// Runs a request to its end.
pub(crate) async fn run(job: &Job, responder: &Responder) {
    let chosen = match choose_version(job).await {
        Ok(chosen) => chosen,
        Err(reason) => return refuse(job, responder, &no_version(reason)).await,
    };
    let prefix = prefix_hashes(&job.ask.fields);
    let run = Run {
        job,
        prefix: &prefix,
    };
    let relay = Relay::new(job, &chosen, responder);
    match claim::enter(&job.cx.shared, job.admit(), fingerprint(job)).await {
        Entry::Ready(ready) => run.attempts(ready, relay).await,
        Entry::Repeat(recorded) => claim::replay(responder, recorded).await,
        Entry::Refused(refusal) => relay.refuse(&refusal).await,
    }
}

fn no_version(reason: NoVersion) -> Refusal {
    let (code, message) = match reason {
        NoVersion::NoneOpen => ("no_version", "no permitted version takes new work"),
        NoVersion::Behind => (
            "stale_catalogue",
            "the session's version is newer than this daemon's catalogue",
        ),
    };
    Refusal::unavailable(code, message, NO_UPSTREAM_RETRY)
}

/// The same for a repeat: what is asked, without how it is asked.
fn fingerprint(job: &Job) -> u64 {
    let body = serde_json::to_vec(&job.ask.fields).unwrap_or_default();
    xxhash_rust::xxh3::xxh3_64(&body)
}

async fn refuse(job: &Job, responder: &Responder, refusal: &Refusal) {
    let metrics = &job.cx.shared.metrics;
    metrics.refusal(refusal.code);
    let offer = metrics.offer(job.resolved.name.as_str());
    offer.ended(measured::refused(refusal.run));
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

    async fn attempts(&self, mut ready: Request<Waiting>, mut relay: Relay<'_>) {
        let wanted = self.leave_wanted(&relay.trying().version);
        let mut leave = match admission::enter(self.shared(), wanted).await {
            Ok(leave) => leave,
            Err(why) => return self.refuse_limited(ready, &relay, why).await,
        };
        let mut avoid = Vec::new();
        loop {
            if let Some(wait) = self.shared().barring.barred_for(&self.job.asked) {
                return self.refuse_barred(ready, relay, wait).await;
            }
            let version = &relay.trying().version;
            let permitted = self.is_still_permitted(version);
            let taken = if permitted {
                self.take_upstream(version, &avoid)
            } else {
                None
            };
            let Some(taken) = taken else {
                return self.give_up(ready, relay).await;
            };
            let request = ready.attempt(taken.id.clone());
            let (request, end) = self.attempt(request, &taken, &mut relay).await;
            let request = match self.pause(request, &taken, &relay) {
                Ok(paused) => {
                    ready = paused;
                    if let Err(why) = leave.wait_again(self.job.deadline).await {
                        return self.refuse_limited(ready, &relay, why).await;
                    }
                    continue;
                }
                Err(request) => request,
            };
            avoid.push(taken.index);
            ready = match self.end(request, &taken, &end) {
                Next::Retry(request, _) => request,
                Next::Answered(request) => {
                    leave.used(request.usage().input + request.usage().output);
                    drop(leave);
                    return self.answer(request, relay).await;
                }
                Next::Refused(request) => return self.refuse(request, &relay).await,
                Next::Unknown(request) => return relay.refuse(&request.refusal()).await,
                Next::Escalate(request) => {
                    relay.escalate();
                    avoid.clear();
                    request
                }
                Next::Open(_) => return,
            };
        }
    }

    /// Makes an attempt that gave way one that waits.
    fn pause(
        &self,
        request: Request<Attempted>,
        taken: &Taken,
        relay: &Relay<'_>,
    ) -> Result<Request<Waiting>, Request<Attempted>> {
        if relay.has_given_way() {
            request.pause(&taken.id, relay.received())
        } else {
            Err(request)
        }
    }

    async fn refuse_limited(
        &self,
        ready: Request<Waiting>,
        relay: &Relay<'_>,
        why: limits::Refusal,
    ) {
        let refused = ready.refuse(limited::code_of(why));
        let refusal = claim::refused(self.shared(), refused);
        let refusal = refusal.with_retry_after(Some(why.retry_after));
        relay.refuse(&refusal).await;
    }

    /// No upstream is to run it: the weaker version's answer serves if there is one.
    async fn refuse_barred(&self, ready: Request<Waiting>, relay: Relay<'_>, wait: Span) {
        if relay.has_answer() {
            return self.answer(ready.answer(relay.usage()), relay).await;
        }
        let refused = ready.refuse(Code::Barred);
        let refusal = claim::refused(self.shared(), refused);
        relay.refuse(&refusal.with_retry_after(Some(wait))).await;
    }

    /// What the request wants of the limits. Tokens are settled at its end.
    fn leave_wanted(&self, version: &VersionId) -> Ask {
        let job = self.job;
        let view = &job.cx.snapshot.view;
        let model = view.models.get(&version.model);
        let pool = model.and_then(|model| short_name(&model.service, SERVICES));
        let output = job.ask.max_output.unwrap_or(EXPECTED_OUTPUT);
        Ask {
            customer: job.cx.customer.clone(),
            offer: job.resolved.name.clone(),
            pool: pool.unwrap_or_else(|| job.resolved.name.clone()),
            priority: job.priority,
            tokens: job.ask.input + output.min(EXPECTED_OUTPUT),
            deadline: job.deadline,
        }
    }

    /// Nobody can be asked: the weaker version's answer serves if there is one.
    async fn give_up(&self, ready: Request<Waiting>, relay: Relay<'_>) {
        if relay.has_answer() {
            self.answer(ready.answer(relay.usage()), relay).await;
        } else {
            let refused = ready.refuse(Code::NoUpstream);
            self.refuse(refused, &relay).await;
        }
    }

    /// Guards against new work for a version withdrawn, or taken from the customer, while the
    /// request waited for its claim or for another attempt: the catalogue is read again, its
    /// offer included, not the copy from the request's arrival.
    fn is_still_permitted(&self, version: &VersionId) -> bool {
        let view = &self.shared().snapshot.load().view;
        let offer = view.offers.get(&self.job.resolved.name);
        let permitted = offer.map(|offer| view.permitted(offer, &self.job.cx.customer));
        permitted.is_some_and(|permitted| permitted.contains(version))
    }

    async fn refuse(&self, request: Request<Refused>, relay: &Relay<'_>) {
        relay.refuse(&claim::refused(self.shared(), request)).await;
    }

    fn end(&self, request: Request<Attempted>, taken: &Taken, end: &AttemptEnd) -> Next {
        let now = self.shared().now();
        let entry = &self.job.resolved.name;
        self.shared()
            .with_budget(entry, |budget| request.end(&taken.id, end, now, budget))
    }

    fn take_upstream(&self, version: &VersionId, avoid: &[UpstreamIndex]) -> Option<Taken> {
        let now = self.shared().now();
        let mut router = lock(&self.shared().router);
        let target = router.target_index(&Target::Version(version.clone()))?;
        let fresh = router.pick(now, &self.demand(target, avoid), &mut rand::rng());
        // Better one that failed before than none: its fault may have passed.
        let mut again = || router.pick(now, &self.demand(target, &[]), &mut rand::rng());
        let index = fresh.or_else(|_| again()).ok()?;
        let demand = self.demand(target, avoid);
        let is_person = self.job.priority == Priority::Interactive;
        let must_give_way = is_person && router.should_preempt_batch(now, index);
        let taken = Taken::start(&mut router, index, &demand)?;
        drop(router);
        if must_give_way {
            self.shared().admissions.ask_to_give_way(index);
        }
        Some(taken)
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
        taken: &Taken,
        relay: &mut Relay<'_>,
    ) -> (Request<Attempted>, AttemptEnd) {
        let began = self.shared().now();
        relay.set_upstream(taken.index);
        let (barring, asked) = (&self.shared().barring, &self.job.asked);
        let run = barring.sent(taken, asked);
        let end = relay.attempt(taken.address, &mut request).await;
        barring.over(taken, asked, run, &end).await;
        self.shared().metrics.attempt(measured::attempted(&end));
        let outcome = relay.outcome(&end, began);
        let now = self.shared().now();
        let mut router = lock(&self.shared().router);
        if let Some(load) = relay.load() {
            router.record_report(now, taken.index, &load);
        }
        router.finished(now, taken.index, taken.target, outcome, &mut rand::rng());
        (request, end)
    }

    fn note_pace(&self, version: &VersionId) {
        let took = self.shared().now().since(self.job.arrived);
        lock(&self.shared().paces).note(version, took);
    }

    async fn answer(&self, request: Request<Answered>, relay: Relay<'_>) {
        let usage: Usage = request.usage();
        let attempts = request.progress().attempts();
        let (billed, facts) = request.bill();
        tracing::debug!(
            "traffic: {} is answered after {attempts} attempts",
            facts.request
        );
        let (version, cost) = (&relay.chosen().version, relay.cost(usage));
        self.note_pace(version);
        let bill = billing::bill_of(self.shared(), facts, Some(version), cost, attempts);
        if billing::bill(self.shared(), bill).await.is_err() {
            let cut = requests::refusal::Refusal::ran(Code::ShuttingDown);
            return relay.refuse(&cut).await;
        }
        let sample = relay.sample();
        let recorded = relay.finish(usage, attempts).await;
        if let Some((sample, stated)) = sample {
            rating::send(&self.job.cx.shared, sample, stated);
        }
        claim::answered(self.shared(), billed, recorded);
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

//! `ANY /services/ENTRY/PATH`: requests passed through to plain services.

use bytes::Bytes;
use callers::{Head, Method, Request, Responder, StatusCode};
use engine::{PlainAnswer, PlainRequest};
use limits::AdmissionRequest;
use requests::attempt::{AttemptEnd, Usage, promises_not_run};
use requests::claim::RecordedAnswer;
use requests::life::{Answered, Arrived, Next, Refused, RequestSpec, Waiting};
use requests::refusal::Code;
use routing::{Outcome, RouteRequest, Target, UpstreamIndex};
use types::prelude::*;
use xxhash_rust::xxh3::Xxh3;

use super::Context;
use super::billing;
use super::claim::{self, Claimed, header_list};
use super::limited;
use super::params::RequestParams;
use super::refusal::{Refusal, set};
use super::upstream::{PickedUpstream, attempt_end, cancellation};
use crate::admission;
use crate::measured;
use crate::quarantine::CustomerContent;
use crate::shared::{Shared, lock};
use crate::systems::limits::account_of_service;

const STALE_CATALOGUE_RETRY_AFTER: Span = Span::from_secs(1);

/// A checked request with all that its run needs.
struct Job {
    cx: Context,
    head: RequestParams,
    service: EntryName,
    call: PlainRequest,
    idempotent: bool,
    deadline: Time,
    /// The request's content, by which a request that crashes upstreams is recognised.
    content: CustomerContent,
}

/// Checks a request and runs it to its end.
pub(crate) async fn serve(cx: Context, req: &Request) -> Result<(), Refusal> {
    let job = prepare(cx, req)?;
    let _in_flight = job.cx.shared.in_flight.enter()?;
    run(&job, &req.responder).await;
    Ok(())
}

fn prepare(cx: Context, req: &Request) -> Result<Job, Refusal> {
    let head = RequestParams::from_headers(&req.headers)?;
    let rest = req.path.trim_start_matches(super::SERVICES);
    let (name, path) = rest.split_once('/').unwrap_or((rest, ""));
    let unknown = || Refusal::not_found("service_not_found", format!("there is no service {name}"));
    let name: EntryName = name.parse().map_err(|_| unknown())?;
    let service = cx
        .snapshot
        .view
        .services
        .get(&name)
        .ok_or_else(unknown)?
        .clone();
    if service.protocol != catalogue::entry::Protocol::Plain {
        return Err(unknown());
    }
    if !service.customers.contains(&cx.customer) {
        let message = format!("customer {} may not use {name}", cx.customer);
        return Err(Refusal::forbidden(message));
    }
    if let Some(reason) = cx.snapshot.stale(cx.shared.now(), &service.freshness) {
        return Err(Refusal::unavailable(
            "stale_catalogue",
            reason,
            STALE_CATALOGUE_RETRY_AFTER,
        ));
    }
    let is_safe = matches!(req.method, Method::GET | Method::HEAD | Method::OPTIONS);
    let idempotent = (is_safe || service.idempotent) && !head.non_idempotent;
    let timeout = head
        .deadline
        .unwrap_or(service.timeout)
        .min(service.timeout);
    let deadline = cx.shared.now() + timeout;
    let query = if req.query.is_empty() {
        String::new()
    } else {
        format!("?{}", req.query)
    };
    let mut headers = req.headers.clone();
    headers.remove("authorization");
    let call = PlainRequest {
        method: req.method.clone(),
        path: format!("/{path}{query}"),
        headers,
        body: req.body.clone(),
        timeout,
    };
    let content = CustomerContent::of(&cx.customer, req, &req.body);
    Ok(Job {
        content,
        cx,
        head,
        service: name,
        call,
        idempotent,
        deadline,
    })
}

async fn run(job: &Job, responder: &Responder) {
    let admitted = Arrived::new().admit(RequestSpec {
        customer: job.cx.customer.clone(),
        id: job.head.request.clone(),
        entry: job.service.clone(),
        idempotent: job.idempotent,
        resumable: false,
        deadline: job.deadline,
    });
    match claim::claim(&job.cx.shared, admitted, job.fingerprint()).await {
        Claimed::Ready(ready) => run_attempts(job, ready, responder).await,
        Claimed::Replay(recorded) => claim::replay(responder, recorded).await,
        Claimed::Refused(refusal) => refuse(job, responder, &refusal).await,
    }
}

impl Job {
    /// Admission request to the limiter.
    fn admission_ask(&self) -> AdmissionRequest {
        AdmissionRequest {
            customer: self.cx.customer.clone(),
            offer: account_of_service(&self.service),
            pool: self.service.clone(),
            priority: self.head.priority.unwrap_or_default(),
            tokens: Tokens(0),
            deadline: self.deadline,
        }
    }

    /// Hash of the method, path and body, the same for a retry. Headers do not count: they specify
    /// how the work is requested, not what it is.
    fn fingerprint(&self) -> u64 {
        let mut hasher = Xxh3::new();
        for part in [self.call.method.as_str(), &self.call.path] {
            hasher.update(part.as_bytes());
            hasher.update(b"\0");
        }
        hasher.update(&self.call.body);
        hasher.digest()
    }
}

async fn run_attempts(
    job: &Job,
    mut ready: requests::life::Request<Waiting>,
    responder: &Responder,
) {
    let _guard = match admission::acquire(&job.cx.shared, job.admission_ask()).await {
        Ok(guard) => guard,
        Err(refusal) => {
            let refused = ready.refuse(limited::code_of(refusal));
            let decision = claim::release_refused(&job.cx.shared, refused);
            let decision = decision.with_retry_after(Some(refusal.retry_after));
            return refuse(job, responder, &decision).await;
        }
    };
    let mut tried = Vec::new();
    loop {
        if let Some(retry_after) = job.cx.shared.quarantine.quarantined_for(&job.content) {
            let refusal = claim::release_refused(&job.cx.shared, ready.refuse(Code::Quarantined));
            let refusal = refusal.with_retry_after(Some(retry_after));
            return refuse(job, responder, &refusal).await;
        }
        let picked = is_still_permitted(job).then(|| pick_upstream(job, &tried));
        let Some(picked) = picked.flatten() else {
            return refuse_unrun(job, responder, ready.refuse(Code::NoUpstream)).await;
        };
        let request = ready.attempt(picked.id.clone());
        let attempt_id = job
            .cx
            .shared
            .quarantine
            .attempt_started(&picked, &job.content);
        let time_left = request.time_left(job.cx.shared.now());
        let (end, answer) = tokio::select! {
            biased;
            attempted = attempt(job, &picked, time_left) => attempted,
            () = cancellation(responder, request.spec()) => {
                record_outcome(&job.cx.shared, &picked, &AttemptEnd::CallerGone, Time::ZERO);
                (AttemptEnd::CallerGone, None)
            }
        };
        let quarantine = &job.cx.shared.quarantine;
        quarantine
            .attempt_ended(&picked, &job.content, attempt_id, &end)
            .await;
        tried.push(picked.index);
        let now = job.cx.shared.now();
        let next = job.cx.shared.with_budget(&job.service, |budget| {
            request.end(&picked.id, &end, now, budget)
        });
        ready = match (next, answer) {
            (Next::Answered(request), Some(answer)) => {
                return send_answer(job, responder, answer, &picked.id, request).await;
            }
            (Next::Retry(waiting, _), _) => waiting,
            (Next::Refused(request), _) => return refuse_unrun(job, responder, request).await,
            (Next::Unknown(request), _) => {
                return refuse(job, responder, &request.refusal()).await;
            }
            _ => return,
        };
    }
}

/// Whether the customer may still use the service. It may lose the service while its request
/// waits for its claim or for another attempt, so this reads the current catalogue.
fn is_still_permitted(job: &Job) -> bool {
    let snapshot = job.cx.shared.snapshot.load();
    let service = snapshot.view.services.get(&job.service);
    service.is_some_and(|service| service.customers.contains(&job.cx.customer))
}

async fn attempt(
    job: &Job,
    picked: &PickedUpstream,
    time_left: Span,
) -> (AttemptEnd, Option<PlainAnswer>) {
    let shared = &job.cx.shared;
    let began = shared.now();
    let call = PlainRequest {
        timeout: time_left,
        ..job.call.clone()
    };
    let result = job.cx.client.plain(picked.address, &call).await;
    let (end, answer) = match result {
        Ok(answer) if is_not_run(&answer) => {
            (AttemptEnd::RefusedNotRun { retry_after: None }, None)
        }
        // After a gateway error, an idempotent request is retried at another upstream.
        Ok(answer) if answer.status >= 502 && job.idempotent => {
            (AttemptEnd::UpstreamError(answer.status), None)
        }
        // A caller would take it for a promise that its request was not processed.
        Ok(answer) if promises_not_run(answer.status) && !job.idempotent => {
            (AttemptEnd::UpstreamError(answer.status), None)
        }
        Ok(answer) => (
            AttemptEnd::Complete {
                usage: Usage::default(),
                adequate: true,
            },
            Some(answer),
        ),
        Err(error) => (attempt_end(&error, Tokens(0), false), None),
    };
    record_outcome(shared, picked, &end, began);
    (end, answer)
}

fn is_not_run(answer: &PlainAnswer) -> bool {
    answer.status == 503
        && answer
            .headers
            .get("x-not-run")
            .is_some_and(|value| value == "true")
}

fn record_outcome(shared: &Shared, picked: &PickedUpstream, end: &AttemptEnd, began: Time) {
    let now = shared.now();
    let outcome = match end {
        AttemptEnd::Complete { .. } => Outcome::Answered {
            first_token: now.since(began),
            per_token: Span::ZERO,
        },
        AttemptEnd::NotSent => Outcome::Unreachable,
        AttemptEnd::RefusedNotRun { .. } => Outcome::Busy,
        AttemptEnd::CallerGone => Outcome::Cancelled,
        _ => Outcome::Failed,
    };
    shared.metrics.attempt(measured::attempt_label(end));
    let mut router = lock(&shared.router);
    router.finished(now, picked.index, picked.target, outcome, &mut rand::rng());
}

fn pick_upstream(job: &Job, tried: &[UpstreamIndex]) -> Option<PickedUpstream> {
    let shared = &job.cx.shared;
    let mut router = lock(&shared.router);
    let target = router.target_index(&Target::Service(job.service.clone()))?;
    let demand = RouteRequest {
        target,
        prefix: &[],
        priority: Priority::Interactive,
        tried,
    };
    let index = router.pick(shared.now(), &demand, &mut rand::rng()).ok()?;
    PickedUpstream::start(&mut router, index, &demand)
}

async fn send_answer(
    job: &Job,
    responder: &Responder,
    answer: PlainAnswer,
    upstream: &UpstreamId,
    request: requests::life::Request<Answered>,
) {
    let attempts = request.progress().attempts();
    let (billed, details) = request.bill();
    let shared = &job.cx.shared;
    let bill = billing::bill_of(shared, details, None, Cost(0), attempts);
    if billing::bill(shared, bill).await.is_err() {
        let cut = requests::refusal::Refusal::ran(Code::ShuttingDown);
        return refuse(job, responder, &cut).await;
    }
    let status = StatusCode::from_u16(answer.status).unwrap_or(StatusCode::BAD_GATEWAY);
    let mut headers = answer.headers;
    set(&mut headers, "x-request-id", job.head.request.as_str());
    set(&mut headers, "x-served-by", upstream.as_str());
    set(&mut headers, "x-attempts", &attempts.to_string());
    let body: Bytes = answer.body;
    let recorded = RecordedAnswer::new(answer.status, header_list(&headers), body.clone());
    let offer = shared.metrics.offer(job.service.as_str());
    offer.ended(telemetry::labels::Outcome::Answered);
    // Fails only if the caller is gone; the answer is billed and recorded all the same.
    let _ = responder.answer(Head { status, headers }, body).await;
    claim::record_answer(&job.cx.shared, billed, recorded);
}

async fn refuse_unrun(job: &Job, responder: &Responder, request: requests::life::Request<Refused>) {
    let refusal = claim::release_refused(&job.cx.shared, request);
    refuse(job, responder, &refusal).await;
}

async fn refuse(job: &Job, responder: &Responder, decision: &requests::refusal::Refusal) {
    let refusal = Refusal::from_decision(decision);
    let metrics = &job.cx.shared.metrics;
    metrics.refusal(refusal.code);
    let offer = metrics.offer(job.service.as_str());
    offer.ended(measured::refusal_label(refusal.run));
    refusal.send(responder, Some(&job.head.request)).await;
}

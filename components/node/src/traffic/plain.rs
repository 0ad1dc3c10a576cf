//! `ANY /services/ENTRY/PATH`: plain services, passed through.

use bytes::Bytes;
use callers::{Head, Method, Request, Responder, StatusCode};
use engine::{PlainAnswer, PlainRequest};
use limits::Ask;
use requests::attempt::{AttemptEnd, Usage};
use requests::claim::Recorded;
use requests::life::{Answered, Arrived, Facts, Next, Refused, Waiting};
use requests::refusal::Code;
use routing::{Outcome, RouteRequest, Target, UpstreamIndex};
use types::prelude::*;
use xxhash_rust::xxh3::Xxh3;

use super::Context;
use super::ask::HeadAsk;
use super::billing;
use super::claim::{self, Entry, listed};
use super::limited;
use super::refusal::{Refusal, set};
use super::upstream::{Taken, end_of, left};
use crate::admission;
use crate::barring::Asked;
use crate::measured;
use crate::shared::{Shared, lock};
use crate::systems::limits::account_of_service;

const BUSY_RETRY: Span = Span::from_secs(1);

/// A call ready to run.
struct Job {
    cx: Context,
    head: HeadAsk,
    service: EntryName,
    call: PlainRequest,
    idempotent: bool,
    deadline: Time,
    /// What is asked, whoever carries it.
    asked: Asked,
}

/// Checks a call and runs it.
pub(crate) async fn serve(cx: Context, req: &Request) -> Result<(), Refusal> {
    let job = prepare(cx, req)?;
    let _entered = job.cx.shared.in_flight.enter()?;
    run(&job, &req.responder).await;
    Ok(())
}

fn prepare(cx: Context, req: &Request) -> Result<Job, Refusal> {
    let head = HeadAsk::from_headers(&req.headers)?;
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
        return Err(Refusal::unavailable("stale_catalogue", reason, BUSY_RETRY));
    }
    let safe = matches!(req.method, Method::GET | Method::HEAD | Method::OPTIONS);
    let idempotent = (safe || service.idempotent) && !head.non_idempotent;
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
    let asked = Asked::of(&cx.customer, req, &req.body);
    Ok(Job {
        asked,
        cx,
        head,
        service: name,
        call,
        idempotent,
        deadline,
    })
}

async fn run(job: &Job, responder: &Responder) {
    let admitted = Arrived::new().admit(Facts {
        customer: job.cx.customer.clone(),
        id: job.head.request.clone(),
        entry: job.service.clone(),
        idempotent: job.idempotent,
        resumable: false,
        deadline: job.deadline,
    });
    match claim::enter(&job.cx.shared, admitted, job.fingerprint()).await {
        Entry::Ready(ready) => attempts(job, ready, responder).await,
        Entry::Repeat(recorded) => claim::replay(responder, recorded).await,
        Entry::Refused(refusal) => refuse(job, responder, &refusal).await,
    }
}

impl Job {
    /// What the call wants of the limits.
    fn leave_wanted(&self) -> Ask {
        Ask {
            customer: self.cx.customer.clone(),
            offer: account_of_service(&self.service),
            pool: self.service.clone(),
            priority: self.head.priority.unwrap_or_default(),
            tokens: Tokens(0),
            deadline: self.deadline,
        }
    }

    /// The same for a repeat: what is asked, without how it is asked.
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

async fn attempts(job: &Job, mut ready: requests::life::Request<Waiting>, responder: &Responder) {
    let _leave = match admission::enter(&job.cx.shared, job.leave_wanted()).await {
        Ok(leave) => leave,
        Err(why) => {
            let refused = ready.refuse(limited::code_of(why));
            let refusal = claim::refused(&job.cx.shared, refused);
            let refusal = refusal.with_retry_after(Some(why.retry_after));
            return refuse(job, responder, &refusal).await;
        }
    };
    let mut avoid = Vec::new();
    loop {
        if let Some(wait) = job.cx.shared.barring.barred_for(&job.asked) {
            let refusal = claim::refused(&job.cx.shared, ready.refuse(Code::Barred));
            let refusal = refusal.with_retry_after(Some(wait));
            return refuse(job, responder, &refusal).await;
        }
        let taken = is_still_permitted(job).then(|| take_upstream(job, &avoid));
        let Some(taken) = taken.flatten() else {
            return refused(job, responder, ready.refuse(Code::NoUpstream)).await;
        };
        let request = ready.attempt(taken.id.clone());
        let run = job.cx.shared.barring.sent(&taken, &job.asked);
        let time_left = request.time_left(job.cx.shared.now());
        let (end, answer) = tokio::select! {
            biased;
            attempted = attempt(job, &taken, time_left) => attempted,
            () = left(responder, request.facts()) => {
                finished(&job.cx.shared, &taken, &AttemptEnd::CallerGone, Time::ZERO);
                (AttemptEnd::CallerGone, None)
            }
        };
        let barring = &job.cx.shared.barring;
        barring.over(&taken, &job.asked, run, &end).await;
        avoid.push(taken.index);
        let now = job.cx.shared.now();
        let next = job.cx.shared.with_budget(&job.service, |budget| {
            request.end(&taken.id, &end, now, budget)
        });
        ready = match (next, answer) {
            (Next::Answered(request), Some(answer)) => {
                return answered(job, responder, answer, &taken.id, request).await;
            }
            (Next::Retry(waiting, _), _) => waiting,
            (Next::Refused(request), _) => return refused(job, responder, request).await,
            (Next::Unknown(request), _) => {
                return refuse(job, responder, &request.refusal()).await;
            }
            _ => return,
        };
    }
}

/// Guards against new work for a customer that lost the service while its request waited for
/// its claim or for another attempt: the catalogue is read again.
fn is_still_permitted(job: &Job) -> bool {
    let snapshot = job.cx.shared.snapshot.load();
    let service = snapshot.view.services.get(&job.service);
    service.is_some_and(|service| service.customers.contains(&job.cx.customer))
}

async fn attempt(job: &Job, taken: &Taken, time_left: Span) -> (AttemptEnd, Option<PlainAnswer>) {
    let shared = &job.cx.shared;
    let began = shared.now();
    let call = PlainRequest {
        timeout: time_left,
        ..job.call.clone()
    };
    let result = job.cx.client.plain(taken.address, &call).await;
    let (end, answer) = match result {
        Ok(answer) if says_not_run(&answer) => {
            (AttemptEnd::RefusedNotRun { retry_after: None }, None)
        }
        // A gateway's error on a call that may be repeated is worth another upstream.
        Ok(answer) if answer.status >= 502 && job.idempotent => {
            (AttemptEnd::UpstreamError(answer.status), None)
        }
        Ok(answer) => (
            AttemptEnd::Whole {
                usage: Usage::default(),
                adequate: true,
            },
            Some(answer),
        ),
        Err(error) => (end_of(&error, Tokens(0), false), None),
    };
    finished(shared, taken, &end, began);
    (end, answer)
}

fn says_not_run(answer: &PlainAnswer) -> bool {
    answer.status == 503
        && answer
            .headers
            .get("x-not-run")
            .is_some_and(|value| value == "true")
}

fn finished(shared: &Shared, taken: &Taken, end: &AttemptEnd, began: Time) {
    let now = shared.now();
    let outcome = match end {
        AttemptEnd::Whole { .. } => Outcome::Answered {
            first_token: now.since(began),
            per_token: Span::ZERO,
        },
        AttemptEnd::NotSent => Outcome::Unreachable,
        AttemptEnd::RefusedNotRun { .. } => Outcome::Busy,
        AttemptEnd::CallerGone => Outcome::Cancelled,
        _ => Outcome::Failed,
    };
    shared.metrics.attempt(measured::attempted(end));
    let mut router = lock(&shared.router);
    router.finished(now, taken.index, taken.target, outcome, &mut rand::rng());
}

fn take_upstream(job: &Job, tried: &[UpstreamIndex]) -> Option<Taken> {
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
    Taken::start(&mut router, index, &demand)
}

async fn answered(
    job: &Job,
    responder: &Responder,
    answer: PlainAnswer,
    upstream: &UpstreamId,
    request: requests::life::Request<Answered>,
) {
    let attempts = request.progress().attempts();
    let (billed, facts) = request.bill();
    let shared = &job.cx.shared;
    let bill = billing::bill_of(shared, facts, None, Cost(0), attempts);
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
    let recorded = Recorded::new(answer.status, listed(&headers), body.clone());
    let offer = shared.metrics.offer(job.service.as_str());
    offer.ended(telemetry::labels::Outcome::Answered);
    // Billed and recorded for a repeat, whether or not the caller is still there.
    let _ = responder.answer(Head { status, headers }, body).await;
    claim::answered(&job.cx.shared, billed, recorded);
}

async fn refused(job: &Job, responder: &Responder, request: requests::life::Request<Refused>) {
    let refusal = claim::refused(&job.cx.shared, request);
    refuse(job, responder, &refusal).await;
}

async fn refuse(job: &Job, responder: &Responder, decision: &requests::refusal::Refusal) {
    let refusal = Refusal::from_decision(decision);
    let metrics = &job.cx.shared.metrics;
    metrics.refusal(refusal.code);
    let offer = metrics.offer(job.service.as_str());
    offer.ended(measured::refused(refusal.run));
    refusal.send(responder, Some(&job.head.request)).await;
}

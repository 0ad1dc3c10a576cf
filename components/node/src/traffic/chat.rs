//! `POST /v1/chat/completions`.

mod answer;
mod body;
mod run;
mod stream;
mod transcript;
mod version;

use callers::Request;
use requests::life::{Arrived, RequestSpec};
use types::prelude::*;

use super::Context;
use super::params::{ChatParams, RequestParams};
use super::refusal::Refusal;
use super::resolve::{Resolved, resolve};
use crate::quarantine::CustomerContent;

/// Retry-After sent to a caller when the catalogue may be out of date.
const STALE_CATALOGUE_RETRY_AFTER: Span = Span::from_secs(1);
/// Longest pause between two tokens before another engine is looked for.
const STALL_TIMEOUT: Span = Span::from_secs(10);
/// Interval at which one is looked for while there is none.
const LOOK_INTERVAL: Span = Span::from_millis(500);

/// A checked request with all that its run needs.
pub(crate) struct Job {
    pub(crate) cx: Context,
    pub(crate) head: RequestParams,
    pub(crate) params: ChatParams,
    pub(crate) resolved: Resolved,
    pub(crate) arrived: Time,
    pub(crate) deadline: Time,
    pub(crate) priority: Priority,
    /// The request's content, by which a request that crashes upstreams is recognised.
    pub(crate) content: CustomerContent,
}

/// Checks a request and runs it to its end.
pub(crate) async fn serve(cx: Context, req: &Request) -> Result<(), Refusal> {
    let job = prepare(cx, req)?;
    let _in_flight = job.cx.shared.in_flight.enter()?;
    run::run(&job, &req.responder).await;
    Ok(())
}

fn prepare(cx: Context, req: &Request) -> Result<Job, Refusal> {
    let head = RequestParams::from_headers(&req.headers)?;
    let params = ChatParams::from_body(&req.body)?;
    let view = &cx.snapshot.view;
    let resolved = resolve(view, &cx.customer, &params.model, head.offer.as_ref())?;
    let rule = &resolved.offer.freshness;
    if let Some(reason) = cx.snapshot.stale(cx.shared.now(), rule) {
        return Err(Refusal::unavailable(
            "stale_catalogue",
            reason,
            STALE_CATALOGUE_RETRY_AFTER,
        ));
    }
    let timeout = head.deadline.unwrap_or(resolved.offer.deadline);
    let arrived = cx.shared.now();
    let deadline = arrived + timeout.min(resolved.offer.deadline);
    let priority = head
        .priority
        .unwrap_or_default()
        .min(resolved.offer.priority);
    let content = CustomerContent::of(&cx.customer, req, &req.body);
    Ok(Job {
        content,
        cx,
        head,
        params,
        resolved,
        arrived,
        deadline,
        priority,
    })
}

impl Job {
    /// Starts the request's life cycle; nothing has been sent to an upstream yet.
    fn admit(&self) -> requests::life::Request<requests::life::Admitted> {
        Arrived::new().admit(RequestSpec {
            customer: self.cx.customer.clone(),
            id: self.head.request.clone(),
            entry: self.resolved.name.clone(),
            idempotent: !self.head.non_idempotent,
            resumable: self.params.stream,
            deadline: self.deadline,
        })
    }
}

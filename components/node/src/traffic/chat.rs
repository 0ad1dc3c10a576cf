//! `POST /v1/chat/completions`.

mod answer;
mod body;
mod run;
mod stream;
mod transcript;
mod version;

use callers::Request;
use requests::life::{Arrived, Facts};
use types::prelude::*;

use super::Context;
use super::params::{ChatAsk, HeadAsk};
use super::refusal::Refusal;
use super::resolve::{Resolved, resolve};
use crate::quarantine::Asked;

/// Pause that a caller is told when the catalogue may be out of date.
const BUSY_RETRY: Span = Span::from_secs(1);
/// Longest pause between two tokens before an engine counts as stalled.
const STALL: Span = Span::from_secs(10);

/// A request ready to run.
pub(crate) struct Job {
    pub(crate) cx: Context,
    pub(crate) head: HeadAsk,
    pub(crate) ask: ChatAsk,
    pub(crate) resolved: Resolved,
    pub(crate) arrived: Time,
    pub(crate) deadline: Time,
    pub(crate) priority: Priority,
    /// What is asked, whoever carries it.
    pub(crate) asked: Asked,
}

/// Checks a request and runs it.
pub(crate) async fn serve(cx: Context, req: &Request) -> Result<(), Refusal> {
    let job = prepare(cx, req)?;
    let _entered = job.cx.shared.in_flight.enter()?;
    run::run(&job, &req.responder).await;
    Ok(())
}

fn prepare(cx: Context, req: &Request) -> Result<Job, Refusal> {
    let head = HeadAsk::from_headers(&req.headers)?;
    let ask = ChatAsk::from_body(&req.body)?;
    let view = &cx.snapshot.view;
    let resolved = resolve(view, &cx.customer, &ask.model, head.offer.as_ref())?;
    let rule = &resolved.offer.freshness;
    if let Some(reason) = cx.snapshot.stale(cx.shared.now(), rule) {
        return Err(Refusal::unavailable("stale_catalogue", reason, BUSY_RETRY));
    }
    let given = head.deadline.unwrap_or(resolved.offer.deadline);
    let arrived = cx.shared.now();
    let deadline = arrived + given.min(resolved.offer.deadline);
    let priority = head
        .priority
        .unwrap_or_default()
        .min(resolved.offer.priority);
    let asked = Asked::of(&cx.customer, req, &req.body);
    Ok(Job {
        asked,
        cx,
        head,
        ask,
        resolved,
        arrived,
        deadline,
        priority,
    })
}

impl Job {
    /// Its start: nothing has left this daemon yet.
    fn admit(&self) -> requests::life::Request<requests::life::Admitted> {
        Arrived::new().admit(Facts {
            customer: self.cx.customer.clone(),
            id: self.head.request.clone(),
            entry: self.resolved.name.clone(),
            idempotent: !self.head.non_idempotent,
            resumable: self.ask.stream,
            deadline: self.deadline,
        })
    }
}

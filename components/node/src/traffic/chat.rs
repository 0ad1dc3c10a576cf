//! `POST /v1/chat/completions`.

mod answer;
mod body;
mod run;
mod stream;
mod version;

use callers::Request;
use requests::life::{Arrived, Facts};
use types::prelude::*;

use super::Context;
use super::ask::{ChatAsk, HeadAsk};
use super::refusal::Refusal;
use super::resolve::{Resolved, resolve};

/// Pause that a caller is told when every thread is taken.
const BUSY_RETRY: Span = Span::from_secs(1);
/// Longest pause between two tokens before an engine counts as stalled.
const STALL: Span = Span::from_secs(10);

/// A request ready to run on a thread of its own.
pub(crate) struct Job {
    pub(crate) cx: Context,
    pub(crate) head: HeadAsk,
    pub(crate) ask: ChatAsk,
    pub(crate) resolved: Resolved,
    pub(crate) deadline: Time,
    pub(crate) priority: Priority,
}

/// Checks a request and hands it to a thread.
pub(crate) fn serve(cx: Context, req: Request) -> Result<(), (Refusal, Request)> {
    let job = match prepare(cx, &req) {
        Ok(job) => job,
        Err(refusal) => return Err((refusal, req)),
    };
    let pool = job.cx.shared.pool.clone();
    // The responder travels with the job; when no thread is free it comes back, so
    // that the refusal can still be sent.
    let (give_back, returned) = flume::bounded(1);
    let _ = give_back.send(req);
    let rx = returned.clone();
    let run = move || {
        if let Ok(req) = rx.try_recv() {
            run::run(job, &req.responder);
        }
    };
    match pool.run(run) {
        Ok(()) => Ok(()),
        Err(_) => match returned.try_recv() {
            Ok(req) => {
                let message = "this daemon has as many requests in flight as it may";
                Err((Refusal::unavailable("overloaded", message, BUSY_RETRY), req))
            }
            Err(_) => Ok(()),
        },
    }
}

fn prepare(cx: Context, req: &Request) -> Result<Job, Refusal> {
    let head = HeadAsk::from_headers(&req.headers)?;
    let ask = ChatAsk::from_body(&req.body)?;
    let view = &cx.snapshot.view;
    let resolved = resolve(view, &cx.customer, &ask.model, head.offer.as_ref())?;
    if let Some(reason) = cx.snapshot.stale.get(&resolved.name) {
        return Err(Refusal::unavailable("stale_catalogue", reason.clone(), BUSY_RETRY));
    }
    let given = head.deadline.unwrap_or(resolved.offer.deadline);
    let deadline = cx.shared.now() + given.min(resolved.offer.deadline);
    let priority = head.priority.unwrap_or_default().min(resolved.offer.priority);
    Ok(Job { cx, head, ask, resolved, deadline, priority })
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

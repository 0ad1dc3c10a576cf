//! The path of a request: read, permitted, admitted, attempted, answered.
//!
//! [`Traffic::serve`] runs on the threads that speak HTTP and only decides; the work
//! itself takes a thread of the [`pool`]. All it reads is a [`Snapshot`], and all it
//! writes are small tables behind locks held for microseconds.

pub mod ask;
mod billing;
mod chat;
mod claim;
mod limited;
mod models;
mod plain;
pub mod pool;
pub mod refusal;
pub mod resolve;
mod upstream;

use std::sync::Arc;

use callers::{Method, Request, Serve};
use types::prelude::*;

use crate::shared::Shared;
use crate::snapshot::{Readiness, Snapshot};
use refusal::Refusal;

const CHAT: &str = "/v1/chat/completions";
const MODELS: &str = "/v1/models";
const SERVICES: &str = "/services/";
/// Pause that a caller is told when every thread is taken.
const BUSY_RETRY: Span = Span::from_secs(1);
const LEDGER_RETRY: Span = Span::from_secs(5);
const STARTING_RETRY: Span = Span::from_secs(1);

/// Takes callers' requests.
pub struct Traffic {
    shared: Arc<Shared>,
}

impl Traffic {
    /// Serves from what the control thread shares.
    #[must_use]
    pub(crate) fn new(shared: Arc<Shared>) -> Self {
        Self { shared }
    }

    fn route(&self, req: Request) -> Routed {
        let snapshot = self.shared.snapshot.load_full();
        let customer = match admitted_customer(&snapshot, &req) {
            Ok(customer) => customer,
            Err(refusal) => return Err(Rejected::boxed(refusal, req)),
        };
        let is_work = req.path == CHAT || req.path.starts_with(SERVICES);
        if snapshot.is_ledger_full && is_work {
            return Err(Rejected::boxed(ledger_full(), req));
        }
        let cx = Context {
            shared: self.shared.clone(),
            snapshot,
            customer,
        };
        match (req.method.clone(), req.path.as_str()) {
            (Method::POST, CHAT) => chat::serve(cx, req),
            (Method::GET, MODELS) => models::list(&cx, req),
            (Method::GET, path) if path.starts_with("/v1/models/") => models::get(&cx, req),
            (_, path) if path.starts_with(SERVICES) => plain::serve(cx, req),
            (_, CHAT | MODELS) => Err(Rejected::boxed(
                Refusal {
                    status: 405,
                    ..Refusal::bad_request("wrong method")
                },
                req,
            )),
            (_, path) => {
                let message = format!("there is no {path}");
                Err(Rejected::boxed(
                    Refusal::not_found("unknown_url", message),
                    req,
                ))
            }
        }
    }
}

impl Serve for Traffic {
    fn serve(&self, req: Request) {
        if let Err(rejected) = self.route(req) {
            self.shared.metrics.refusal(rejected.refusal.code);
            rejected.refusal.send(&rejected.req.responder, None);
        }
    }
}

/// A request that is refused before it took a thread.
pub(crate) struct Rejected {
    refusal: Refusal,
    req: Request,
}

impl Rejected {
    fn boxed(refusal: Refusal, req: Request) -> Box<Self> {
        Box::new(Self { refusal, req })
    }
}

/// A request handed on, or given back with its refusal.
pub(crate) type Routed = Result<(), Box<Rejected>>;

/// What every request needs.
pub(crate) struct Context {
    pub(crate) shared: Arc<Shared>,
    pub(crate) snapshot: Arc<Snapshot>,
    pub(crate) customer: CustomerId,
}

fn admitted_customer(snapshot: &Snapshot, req: &Request) -> Result<CustomerId, Refusal> {
    if snapshot.readiness == Readiness::Starting {
        let message = "this daemon holds no catalogue yet";
        return Err(Refusal::unavailable("starting", message, STARTING_RETRY));
    }
    let key = ask::bearer(&req.headers).ok_or_else(Refusal::unauthorized)?;
    let customer = snapshot.view.customer_of_key(key);
    customer.cloned().ok_or_else(Refusal::unauthorized)
}

/// Guards against lost bills in a long outage of the store: their memory is bounded, and
/// past the bound work is refused before any of it has run.
fn ledger_full() -> Refusal {
    let message = "too many bills wait for the store";
    Refusal::unavailable("ledger_full", message, LEDGER_RETRY)
}

/// Runs a job on a thread of the pool. When none is free the request comes back with a
/// refusal, so that it is never left without an answer.
fn dispatch(
    pool: &pool::Pool,
    req: Request,
    job: impl FnOnce(&callers::Responder) + Send + 'static,
) -> Routed {
    let (give, returned) = flume::bounded(1);
    let _ = give.send(req);
    let rx = returned.clone();
    let run = move || {
        if let Ok(req) = rx.try_recv() {
            job(&req.responder);
        }
    };
    if pool.run(run).is_ok() {
        return Ok(());
    }
    match returned.try_recv() {
        Ok(req) => {
            let message = "this daemon has as many requests in flight as it may";
            Err(Rejected::boxed(
                Refusal::unavailable("overloaded", message, BUSY_RETRY),
                req,
            ))
        }
        Err(_) => Ok(()),
    }
}

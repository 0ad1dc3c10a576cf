//! The path of a request: read, permitted, admitted, attempted, answered.
//!
//! [`Traffic::serve`] runs on the threads that speak HTTP and only decides; the work
//! itself takes a thread of the [`pool`]. All it reads is a [`Snapshot`], and all it
//! writes are small tables behind locks held for microseconds.

pub mod ask;
mod chat;
mod models;
mod plain;
pub mod pool;
pub mod refusal;
pub mod resolve;

use std::sync::Arc;

use callers::{Method, Request, Serve};
use types::prelude::*;

use crate::shared::Shared;
use crate::snapshot::{Readiness, Snapshot};
use refusal::Refusal;

const CHAT: &str = "/v1/chat/completions";
const MODELS: &str = "/v1/models";
const SERVICES: &str = "/services/";
const STARTING_RETRY: Span = Span::from_secs(1);

/// Takes callers' requests.
pub struct Traffic {
    shared: Arc<Shared>,
}

impl Traffic {
    /// Serves from what the control thread shares.
    #[must_use]
    pub fn new(shared: Arc<Shared>) -> Self {
        Self { shared }
    }

    fn route(&self, req: Request) -> Result<(), (Refusal, Request)> {
        let snapshot = self.shared.snapshot.load_full();
        let customer = match admitted_customer(&snapshot, &req) {
            Ok(customer) => customer,
            Err(refusal) => return Err((refusal, req)),
        };
        let cx = Context { shared: self.shared.clone(), snapshot, customer };
        match (req.method.clone(), req.path.as_str()) {
            (Method::POST, CHAT) => chat::serve(cx, req),
            (Method::GET, MODELS) => models::list(&cx, req),
            (Method::GET, path) if path.starts_with("/v1/models/") => models::get(&cx, req),
            (_, path) if path.starts_with(SERVICES) => plain::serve(cx, req),
            (_, CHAT | MODELS) => {
                Err((Refusal { status: 405, ..Refusal::bad_request("wrong method") }, req))
            }
            (_, path) => {
                let message = format!("there is no {path}");
                Err((Refusal::not_found("unknown_url", message), req))
            }
        }
    }
}

impl Serve for Traffic {
    fn serve(&self, req: Request) {
        if let Err((refusal, req)) = self.route(req) {
            self.shared.metrics.refusal(refusal.code);
            refusal.send(&req.responder, None);
        }
    }
}

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

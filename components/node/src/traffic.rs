//! Handles callers' requests: parsing, authentication, admission, upstream attempts, the answer.
//!
//! Everything here runs on the event loop of the caller's connection. It reads the published
//! [`Snapshot`] and writes only small tables behind locks, which are held for microseconds and
//! never across an await.

mod billing;
mod chat;
mod claim;
mod in_flight;
mod limited;
mod models;
pub mod params;
mod plain;
pub mod refusal;
pub mod resolve;
mod upstream;

use std::sync::Arc;

use callers::{Method, Request, Serve};
use engine::Client;
use types::prelude::*;

use crate::shared::Shared;
use crate::snapshot::{Readiness, Snapshot};
pub(crate) use in_flight::InFlight;
use refusal::Refusal;
pub(crate) use upstream::PickedUpstream;

const CHAT: &str = "/v1/chat/completions";
const MODELS: &str = "/v1/models";
const SERVICES: &str = "/services/";
const LEDGER_FULL_RETRY_AFTER: Span = Span::from_secs(5);
const STARTING_RETRY_AFTER: Span = Span::from_secs(1);

/// Serves callers' requests on one event loop.
pub(crate) struct Traffic {
    shared: Arc<Shared>,
    client: Client,
}

impl Traffic {
    /// Creates the handler for one event loop, with an upstream client of its own.
    pub(crate) fn new(shared: Arc<Shared>) -> Self {
        Self {
            shared,
            client: Client::default(),
        }
    }

    async fn route(&self, req: &Request) -> Result<(), Refusal> {
        let snapshot = self.shared.snapshot.load_full();
        let customer = authenticate(&snapshot, req)?;
        let is_work = req.path == CHAT || req.path.starts_with(SERVICES);
        if snapshot.is_ledger_full && is_work {
            return Err(ledger_full());
        }
        let cx = Context {
            shared: self.shared.clone(),
            client: self.client.clone(),
            snapshot,
            customer,
        };
        match (req.method.clone(), req.path.as_str()) {
            (Method::POST, CHAT) => chat::serve(cx, req).await,
            (Method::GET, MODELS) => models::list(&cx, req).await,
            (Method::GET, path) if path.starts_with("/v1/models/") => models::get(&cx, req).await,
            (_, path) if path.starts_with(SERVICES) => plain::serve(cx, req).await,
            (_, CHAT | MODELS) => Err(Refusal {
                status: 405,
                ..Refusal::bad_request("wrong method")
            }),
            (_, path) => {
                let message = format!("there is no {path}");
                Err(Refusal::not_found("unknown_url", message))
            }
        }
    }
}

impl Serve for Traffic {
    async fn serve(&self, req: Request) {
        if let Err(refusal) = self.route(&req).await {
            self.shared.metrics.refusal(refusal.code);
            refusal.send(&req.responder, None).await;
        }
    }
}

/// State that every request handler needs.
pub(crate) struct Context {
    pub(crate) shared: Arc<Shared>,
    pub(crate) client: Client,
    pub(crate) snapshot: Arc<Snapshot>,
    pub(crate) customer: CustomerId,
}

fn authenticate(snapshot: &Snapshot, req: &Request) -> Result<CustomerId, Refusal> {
    if snapshot.readiness == Readiness::Starting {
        let message = "this daemon holds no catalogue yet";
        return Err(Refusal::unavailable(
            "starting",
            message,
            STARTING_RETRY_AFTER,
        ));
    }
    let key = params::bearer(&req.headers).ok_or_else(Refusal::unauthorized)?;
    let customer = snapshot.view.customer_of_key(key);
    customer.cloned().ok_or_else(Refusal::unauthorized)
}

/// Refuses work before any of it has run while too many bills wait for the store. The memory for
/// waiting bills is bounded; without this check a long outage of the store would lose bills.
fn ledger_full() -> Refusal {
    let message = "too many bills wait for the store";
    Refusal::unavailable("ledger_full", message, LEDGER_FULL_RETRY_AFTER)
}

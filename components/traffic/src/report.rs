//! How a request ended, and its line in the log.

use std::sync::Arc;

use dispatch::Shortage;
use overload::Refusal;
use types::prelude::*;

use crate::ending::{EndedBy, Remaining};
use crate::exchange::Request;
use crate::metrics::Outcome;
use crate::retries::{Charge, ChargeKind};
use crate::shared::Shared;

/// How a request ended.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Finish {
    pub(crate) outcome: Outcome,
    pub(crate) status: u16,
    pub(crate) why: &'static str,
    /// Set where the answer did not come to its end.
    pub(crate) ended_by: Option<EndedBy>,
    pub(crate) keeps_alive: bool,
}

impl Finish {
    /// The caller has a whole answer.
    pub(crate) fn answered(keeps_alive: bool) -> Self {
        Self {
            outcome: Outcome::Answered,
            status: 200,
            why: "",
            ended_by: None,
            keeps_alive,
        }
    }

    /// The caller disconnected.
    pub(crate) fn caller_gone() -> Self {
        Self {
            outcome: Outcome::CallerGone,
            status: 0,
            why: "the caller disconnected",
            ended_by: Some(EndedBy::Caller),
            keeps_alive: false,
        }
    }

    /// The daemon stopped before the request had its answer.
    pub(crate) fn stopped(why: &'static str) -> Self {
        Self {
            outcome: Outcome::CutShort,
            status: 0,
            why,
            ended_by: Some(EndedBy::Shutdown),
            keeps_alive: false,
        }
    }

    /// A stream was cut short.
    pub(crate) fn cut(ended_by: EndedBy, why: &'static str) -> Self {
        Self {
            outcome: Outcome::CutShort,
            status: 200,
            why,
            ended_by: Some(ended_by),
            keeps_alive: false,
        }
    }
}

/// Details of a request for its log line, besides how it ended.
#[derive(Debug, Clone, Default)]
pub(crate) struct Report {
    pub(crate) first_byte_at: Option<Time>,
    /// A short description of each attempt.
    tries: String,
    service: Option<Arc<str>>,
    /// The bound for which the request was refused.
    pub(crate) shortage: Option<Shortage>,
    /// The limit for which the request was refused.
    pub(crate) overload: Option<Refusal>,
    /// How the last further send was charged to the retry budget.
    pub(crate) charge: Option<Charge>,
    pub(crate) events: u64,
    /// What was left, where a stream ended before its end.
    pub(crate) remaining: Option<Remaining>,
}

impl Report {
    /// Creates an empty report for a request to this service.
    pub(crate) fn for_service(service: Arc<str>) -> Self {
        Self {
            service: Some(service),
            ..Self::default()
        }
    }

    /// Adds the description of an attempt.
    pub(crate) fn add(&mut self, tried: String) {
        if !self.tries.is_empty() {
            self.tries.push_str("; ");
        }
        self.tries.push_str(&tried);
    }

    /// Logs the line at the request's end.
    pub(crate) fn log<T>(&self, shared: &Shared<T>, request: &Request<T>, finish: &Finish) {
        let now = shared.now();
        let first = self
            .first_byte_at
            .map(|at| at.since(request.arrived_at).as_millis());
        let refused = self.charge.filter(|c| c.kind == ChargeKind::Refused);
        tracing::info!(
            id = &*request.ask.attempt,
            route = &*request.route.name,
            service = self.service.as_deref(),
            customer = request.customer.as_ref().map(|customer| &*customer.name),
            table = request.table.version.0,
            tries = self.tries,
            outcome = ?finish.outcome,
            status = finish.status,
            why = finish.why,
            ended_by = finish.ended_by.map(|by| format!("{by:?}")),
            left = self.remaining.map(|remaining| remaining.to_string()),
            newest_table = self.remaining.and_then(|_| shared.table_version()),
            shortage = self.shortage.map(|shortage| shortage.to_string()),
            overload = self.overload.map(|refusal| refusal.to_string()),
            budget = refused.map(|charge| charge.to_string()),
            first_ms = first,
            ms = now.since(request.arrived_at).as_millis(),
            events = self.events,
            content = %request.contents.whole(),
            session = request.ask.session.map(|session| format!("{session:016x}")),
            "requests: ended"
        );
    }
}

//! Admission to plain services: counting, decisions, logs and metrics.

use std::sync::Arc;

use overload::{Change, Decision, Flow, REPORT_LIFETIME, Refusal, retry_after};
use types::prelude::*;

use crate::exchange::Request;
use crate::shared::Shared;

impl<T> Shared<T> {
    /// Counts a request and decides whether it may be sent now. Requests to engines are not counted.
    pub(crate) fn admit(&self, service: &Arc<str>, request: &Request<T>) -> Result<(), Refusal> {
        let known = request.table.service(service);
        if known.is_some_and(|service| service.engine.is_some()) {
            return Ok(());
        }
        let rank = request.route.rank;
        let flow = match &request.customer {
            Some(customer) => Flow::of_customer(&customer.name, customer.rank.unwrap_or(rank)),
            None => Flow::of_route(&request.route.name, rank),
        };
        let rng = &mut *self.rng.borrow_mut();
        let mut overload = self.overload.borrow_mut();
        match overload.decide(self.now(), service, flow, rng) {
            Decision::Send => Ok(()),
            Decision::Refuse(refusal) => {
                self.metrics.overload_refusals.inc();
                Err(refusal)
            }
        }
    }

    /// When a caller whose request is refused is to come back.
    pub(crate) fn overload_retry_after(&self, request: &Request<T>) -> Span {
        let rng = &mut *self.rng.borrow_mut();
        retry_after(self.now(), request.deadline, rng)
    }

    /// Updates the limits by what has happened since the last call, and publishes this daemon's
    /// report.
    pub(crate) fn update_overload(&self) {
        let mut overload = self.overload.borrow_mut();
        if !overload.is_on() {
            return;
        }
        let now = self.now();
        let elapsed = now.since(self.overload_updated_at.replace(now));
        let mut view = self.overload_view.borrow_mut();
        // The control thread drops expired reports; while it stalls, none of them would expire.
        if now.since(self.overload_view_at.get()) > REPORT_LIFETIME {
            view.drop_reports();
        }
        let upstreams = &self.upstreams;
        let changes = overload.update(
            now,
            &view,
            |service| upstreams.borrow_mut().take_sends(now, service, elapsed),
            |service| upstreams.borrow().available_slots(service),
        );
        changes.iter().for_each(log);
        let report = overload.report().encode(&mut *self.rng.borrow_mut());
        self.observed.set_overload(report);
    }

    /// Sets the metrics of the fleet's load on plain services.
    pub(crate) fn measure_overload(&self) {
        let overload = self.overload.borrow();
        let services = overload.services().map(|(name, status)| (&**name, status));
        self.metrics.set_overload(services);
    }
}

/// Logs that a limit on a service began or ended.
fn log(change: &Change) {
    let service = &*change.service;
    let status = &change.status;
    let (offered, completed) = (status.offered.0, status.completed.0);
    let (rejected, in_flight, slots) = (status.rejected.0, status.in_flight, status.slots);
    match status.limit {
        Some(limit) => tracing::warn!(
            service,
            offered,
            completed,
            rejected,
            in_flight,
            slots,
            limit = limit.0,
            "overload: requests are limited"
        ),
        None => tracing::info!(
            service,
            offered,
            completed,
            in_flight,
            slots,
            "overload: no limit any more"
        ),
    }
}

//! Takes limits from the catalogue and slots from the router.

use catalogue::entry::{Limits, Protocol};
use catalogue::view::View;
use limits::{Bounds, Limiter};
use routing::Router;
use types::prelude::*;

/// Prefix of a plain service's account; offers go by their short names.
const SERVICE: &str = "services/";

/// Sets the bounds that the catalogue says.
pub fn configure(limiter: &mut Limiter, now: Time, view: &View) {
    limiter.clear_bounds();
    for (id, customer) in &view.customers {
        limiter.set_customer(now, id, bounds(&customer.limits), customer.weight);
    }
    for (name, offer) in &view.offers {
        limiter.set_offer(now, name, bounds(&offer.limits));
    }
    for (name, service) in &view.services {
        if service.protocol == Protocol::Plain {
            limiter.set_offer(now, &account_of_service(name), bounds(&service.limits));
        }
    }
}

/// The account of a plain service, apart from an offer of the same name.
#[must_use]
pub fn account_of_service(name: &EntryName) -> EntryName {
    let account = EntryName::new(&format!("{SERVICE}{name}"));
    account.unwrap_or_else(|_| name.clone())
}

fn bounds(limits: &Limits) -> Bounds {
    Bounds {
        requests: limits.requests,
        tokens: limits.tokens,
        concurrent: limits.concurrent,
    }
}

/// Slots of a service's upstreams that are fit for work; of those ejected when there are no
/// others, since work goes to them then.
#[must_use]
pub fn slots_of(router: &Router, view: &View, service: &EntryName) -> u32 {
    let upstreams = view.services.get(service).map(|s| &s.upstreams);
    let indices = upstreams.into_iter().flatten();
    let indices = indices.filter_map(|upstream| router.index_of(&upstream.id));
    let (mut fit, mut ejected) = (0_u32, 0_u32);
    for upstream in indices.filter_map(|index| router.upstream(index)) {
        let health = upstream.health();
        if upstream.loaded().is_empty() || health.is_leaving() {
            continue;
        }
        let slots = if health.is_ejected() {
            &mut ejected
        } else {
            &mut fit
        };
        *slots = slots.saturating_add(upstream.slots());
    }
    if fit > 0 { fit } else { ejected }
}

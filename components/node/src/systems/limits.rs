//! Configures the limiter with the catalogue's limits, and counts the slots of services.

use catalogue::entry::{Limits as CatalogueLimits, Protocol};
use catalogue::view::View;
use limits::{Limiter, Limits};
use routing::Router;
use types::prelude::*;

/// Prefix of a plain service's account; an offer's account is its short name.
const SERVICE: &str = "services/";

/// Sets the limits of customers, offers and plain services from the catalogue.
pub fn configure(limiter: &mut Limiter, now: Time, view: &View) {
    limiter.clear_limits();
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

/// The limiter's account for a plain service, distinct from an offer of the same name.
#[must_use]
pub fn account_of_service(name: &EntryName) -> EntryName {
    let account = EntryName::new(&format!("{SERVICE}{name}"));
    account.unwrap_or_else(|_| name.clone())
}

fn bounds(limits: &CatalogueLimits) -> Limits {
    Limits {
        requests: limits.requests,
        tokens: limits.tokens,
        concurrent: limits.concurrent,
    }
}

/// Number of slots at a service's healthy upstreams. If there are none, the slots of the ejected
/// ones count, since work is sent to them then.
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

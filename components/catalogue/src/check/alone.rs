//! Rules for a single entry: bounds, uniqueness within it and the form of a roll-out.

use std::collections::BTreeSet;

use types::prelude::*;

use crate::check::{Checker, MAX_ENTRY_SIZE, Problem};
use crate::entry::{
    Body, Customer, Entry, Freshness, Limits, Model, Offer, Protocol, Rollout, RolloutState,
    Service,
};
use crate::view::{CUSTOMERS, MODELS, OFFERS, SERVICES};

/// Largest number of keys of a customer.
pub const MAX_KEYS: usize = 16;
/// Largest number of upstreams of a service; a larger pool is split into several services.
pub const MAX_UPSTREAMS: usize = 512;
/// Largest number of versions of a model.
pub const MAX_VERSIONS: usize = 64;
/// Largest number of candidates of an offer, and of permits for one customer in it.
pub const MAX_CANDIDATES: usize = 64;
/// Largest number of customers of an offer or a plain service.
pub const MAX_CUSTOMERS: usize = 1024;
/// Largest number of steps in a roll-out.
pub const MAX_STEPS: usize = 32;

const MAX_SLOTS: u32 = 65_536;
const MAX_WEIGHT: u32 = 1_000_000;
const MAX_LIMIT: f64 = 1e12;
const MAX_PERIOD: Span = Span::from_secs(24 * 3600);
const MAX_OUTPUT: Tokens = Tokens(10_000_000);

/// Bytes of an entry's record that are reserved for its history.
const HISTORY_RESERVE: usize = 16 << 10;

pub(crate) fn check(name: &EntryName, entry: &Entry) -> Vec<Problem> {
    let mut checker = Checker::new(name);
    check_name(&mut checker, name, &entry.body);
    match &entry.body {
        Body::Customer(customer) => check_customer(&mut checker, customer),
        Body::Service(service) => check_service(&mut checker, service),
        Body::Model(model) => check_model(&mut checker, model),
        Body::Offer(offer) => check_offer(&mut checker, offer),
    }
    check_size(&mut checker, entry);
    checker.problems
}

fn check_name(checker: &mut Checker<'_>, name: &EntryName, body: &Body) {
    let prefix = match body {
        Body::Customer(_) => CUSTOMERS,
        Body::Service(_) => SERVICES,
        Body::Model(_) => MODELS,
        Body::Offer(_) => OFFERS,
    };
    let rest = name.as_str().strip_prefix(prefix).unwrap_or_default();
    let fits = !rest.is_empty() && !rest.contains(['/', '@']);
    checker.require(
        fits,
        "",
        "its name does not fit its kind",
        format!("{prefix} and a name without a slash"),
    );
}

fn check_size(checker: &mut Checker<'_>, entry: &Entry) {
    let size = serde_json::to_vec(entry).map_or(usize::MAX, |json| json.len());
    let max_size = MAX_ENTRY_SIZE.as_usize() - HISTORY_RESERVE;
    checker.require(
        size <= max_size,
        "",
        format!("{size} bytes"),
        format!("at most {max_size}; split it into several entries"),
    );
}

fn check_count(checker: &mut Checker<'_>, key: &str, count: usize, min: usize, max: usize) {
    checker.require(
        (min..=max).contains(&count),
        key,
        format!("{count} items"),
        format!("{min} to {max}"),
    );
}

fn check_limits(checker: &mut Checker<'_>, limits: &Limits) {
    let rates = [
        ("limits.requests", limits.requests),
        ("limits.tokens", limits.tokens),
    ];
    for (key, rate) in rates {
        let holds = rate.is_none_or(|rate| rate.0 > 0.0 && rate.0 <= MAX_LIMIT);
        let found = rate.map_or_else(String::new, |rate| rate.to_string());
        checker.require(holds, key, found, "a rate above 0, or no limit");
    }
    checker.require(
        limits.concurrent != Some(0),
        "limits.concurrent",
        "0",
        "at least 1, or no limit",
    );
}

fn check_span(checker: &mut Checker<'_>, key: &str, span: Span) {
    checker.require(
        span > Span::ZERO && span <= MAX_PERIOD,
        key,
        span.to_string(),
        format!("above 0 and at most {MAX_PERIOD}"),
    );
}

fn check_freshness(checker: &mut Checker<'_>, freshness: &Freshness) {
    check_span(checker, "freshness.limit", freshness.limit);
}

fn check_customer(checker: &mut Checker<'_>, customer: &Customer) {
    let keys = &customer.key_sha256;
    check_count(checker, "key_sha256", keys.len(), 1, MAX_KEYS);
    check_limits(checker, &customer.limits);
    checker.require(
        (1..=MAX_WEIGHT).contains(&customer.weight),
        "weight",
        customer.weight.to_string(),
        format!("1 to {MAX_WEIGHT}"),
    );
}

fn check_service(checker: &mut Checker<'_>, service: &Service) {
    check_count(
        checker,
        "upstreams",
        service.upstreams.len(),
        0,
        MAX_UPSTREAMS,
    );
    check_count(
        checker,
        "customers",
        service.customers.len(),
        0,
        MAX_CUSTOMERS,
    );
    check_limits(checker, &service.limits);
    check_span(checker, "timeout", service.timeout);
    check_freshness(checker, &service.freshness);
    let is_plain = service.protocol == Protocol::Plain;
    checker.require(
        is_plain || service.customers.is_empty(),
        "customers",
        "customers of an engine service",
        "none: an offer says who may use an engine's models",
    );
    let mut addresses = BTreeSet::new();
    for (index, upstream) in service.upstreams.iter().enumerate() {
        checker.require(
            (1..=MAX_SLOTS).contains(&upstream.slots),
            format!("upstreams[{index}].slots"),
            upstream.slots.to_string(),
            format!("1 to {MAX_SLOTS}"),
        );
        checker.require(
            addresses.insert(upstream.address),
            format!("upstreams[{index}].address"),
            format!("{} a second time", upstream.address),
            "an address for each upstream",
        );
    }
}

fn check_model(checker: &mut Checker<'_>, model: &Model) {
    check_count(checker, "versions", model.versions.len(), 1, MAX_VERSIONS);
    for name in model.versions.keys() {
        checker.require(
            !name.as_str().contains('@'),
            format!("versions.{name}"),
            "an @ in a version's name",
            "a name without @",
        );
    }
    if let Some(rollout) = &model.rollout {
        check_rollout(checker, model, rollout);
    }
}

fn check_rollout(checker: &mut Checker<'_>, model: &Model, rollout: &Rollout) {
    for (key, version) in [("rollout.from", &rollout.from), ("rollout.to", &rollout.to)] {
        let exists = model.versions.contains_key(version);
        checker.require(exists, key, version.to_string(), "one of the versions");
    }
    checker.require(
        rollout.from != rollout.to,
        "rollout.to",
        format!("{} as in rollout.from", rollout.to),
        "another version",
    );
    let steps = &rollout.steps;
    check_count(checker, "rollout.steps", steps.len(), 1, MAX_STEPS);
    let is_rising = steps.windows(2).all(|pair| pair[0] < pair[1]);
    checker.require(
        is_rising && steps.last() == Some(&Share::ALL),
        "rollout.steps",
        "steps that do not rise to 1",
        "each step larger than the one before and the last 1",
    );
    checker.require(
        rollout.step < steps.len(),
        "rollout.step",
        rollout.step.to_string(),
        format!("0 to {}", steps.len().saturating_sub(1)),
    );
    let is_active = matches!(rollout.state, RolloutState::Running | RolloutState::Paused);
    let target = model.versions.get(&rollout.to).map(|version| version.state);
    checker.require(
        !is_active || target != Some(crate::entry::VersionState::Withdrawn),
        "rollout.to",
        format!("{}, which is withdrawn", rollout.to),
        "a version that is offered, or the roll-out aborted",
    );
}

fn check_offer(checker: &mut Checker<'_>, offer: &Offer) {
    check_count(
        checker,
        "candidates",
        offer.candidates.len(),
        1,
        MAX_CANDIDATES,
    );
    check_count(
        checker,
        "customers",
        offer.customers.len(),
        0,
        MAX_CUSTOMERS,
    );
    check_limits(checker, &offer.limits);
    check_span(checker, "deadline", offer.deadline);
    check_freshness(checker, &offer.freshness);
    checker.require(
        offer.max_output > Tokens(0) && offer.max_output <= MAX_OUTPUT,
        "max_output",
        offer.max_output.to_string(),
        format!("1 to {MAX_OUTPUT}"),
    );
    let weights = offer.weights;
    let each = [weights.cost, weights.latency, weights.exposure];
    let are_valid = each.iter().all(|w| w.is_finite() && *w >= 0.0);
    checker.require(
        are_valid && each.iter().sum::<f64>() > 0.0,
        "weights",
        format!("{each:?}"),
        "finite numbers from 0, not all 0",
    );
    for (customer, permits) in &offer.customers {
        check_permits(checker, offer, customer, permits);
    }
}

/// Checks that each permit matches a candidate: it is the same, a version of a candidate
/// model, or a model of which a version is a candidate.
fn check_permits(
    checker: &mut Checker<'_>,
    offer: &Offer,
    customer: &CustomerId,
    permits: &[crate::entry::Permit],
) {
    let key = format!("customers.{customer}");
    check_count(checker, &key, permits.len(), 1, MAX_CANDIDATES);
    for permit in permits {
        let is_candidate = offer.candidates.iter().any(|candidate| {
            candidate == permit
                || (candidate.model() == permit.model() && !are_both_versions(candidate, permit))
        });
        checker.require(
            is_candidate,
            key.clone(),
            format!("{permit}, which is no candidate"),
            "models or versions among the candidates",
        );
    }
}

fn are_both_versions(one: &crate::entry::Permit, other: &crate::entry::Permit) -> bool {
    use crate::entry::Permit::Version;
    matches!((one, other), (Version(_), Version(_)))
}

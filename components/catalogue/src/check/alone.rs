//! Rules of one entry by itself: bounds, uniqueness inside it, a roll-out's shape.

use std::collections::BTreeSet;

use types::prelude::*;

use crate::check::{MAX_ENTRY_SIZE, Problem, Report};
use crate::entry::{
    Body, Customer, Entry, Freshness, Limits, Model, Offer, Protocol, Rollout, RolloutState,
    Service,
};
use crate::view::{CUSTOMERS, MODELS, OFFERS, SERVICES};

/// Most keys of a customer.
pub const MAX_KEYS: usize = 16;
/// Most upstreams of a service; larger pools are several services.
pub const MAX_UPSTREAMS: usize = 512;
/// Most versions of a model.
pub const MAX_VERSIONS: usize = 64;
/// Most candidates of an offer, and most permits of a customer in it.
pub const MAX_CANDIDATES: usize = 64;
/// Most customers of an offer or a plain service.
pub const MAX_CUSTOMERS: usize = 1024;
/// Most steps of a roll-out.
pub const MAX_STEPS: usize = 32;

const MAX_SLOTS: u32 = 65_536;
const MAX_WEIGHT: u32 = 1_000_000;
const MAX_LIMIT: f64 = 1e12;
const MAX_PERIOD: Span = Span::from_secs(24 * 3600);
const MAX_OUTPUT: Tokens = Tokens(10_000_000);

/// Room left in an entry's size for its history.
const HISTORY_ROOM: usize = 16 << 10;

pub(crate) fn check(name: &EntryName, entry: &Entry) -> Vec<Problem> {
    let mut report = Report::new(name);
    check_name(&mut report, name, &entry.body);
    match &entry.body {
        Body::Customer(customer) => check_customer(&mut report, customer),
        Body::Service(service) => check_service(&mut report, service),
        Body::Model(model) => check_model(&mut report, model),
        Body::Offer(offer) => check_offer(&mut report, offer),
    }
    check_size(&mut report, entry);
    report.problems
}

fn check_name(report: &mut Report<'_>, name: &EntryName, body: &Body) {
    let prefix = match body {
        Body::Customer(_) => CUSTOMERS,
        Body::Service(_) => SERVICES,
        Body::Model(_) => MODELS,
        Body::Offer(_) => OFFERS,
    };
    let rest = name.as_str().strip_prefix(prefix).unwrap_or_default();
    let fits = !rest.is_empty() && !rest.contains(['/', '@']);
    report.require(
        fits,
        "",
        "its name does not fit its kind",
        format!("{prefix} and a name without a slash"),
    );
}

fn check_size(report: &mut Report<'_>, entry: &Entry) {
    let size = serde_json::to_vec(entry).map_or(usize::MAX, |json| json.len());
    let most = MAX_ENTRY_SIZE.as_usize() - HISTORY_ROOM;
    report.require(
        size <= most,
        "",
        format!("{size} bytes"),
        format!("at most {most}; split it into several entries"),
    );
}

fn check_count(report: &mut Report<'_>, key: &str, count: usize, least: usize, most: usize) {
    report.require(
        (least..=most).contains(&count),
        key,
        format!("{count} items"),
        format!("{least} to {most}"),
    );
}

fn check_limits(report: &mut Report<'_>, limits: &Limits) {
    let rates = [
        ("limits.requests", limits.requests),
        ("limits.tokens", limits.tokens),
    ];
    for (key, rate) in rates {
        let holds = rate.is_none_or(|rate| rate.0 > 0.0 && rate.0 <= MAX_LIMIT);
        let found = rate.map_or_else(String::new, |rate| rate.to_string());
        report.require(holds, key, found, "a rate above 0, or no limit");
    }
    report.require(
        limits.concurrent != Some(0),
        "limits.concurrent",
        "0",
        "at least 1, or no limit",
    );
}

fn check_span(report: &mut Report<'_>, key: &str, span: Span) {
    report.require(
        span > Span::ZERO && span <= MAX_PERIOD,
        key,
        span.to_string(),
        format!("above 0 and at most {MAX_PERIOD}"),
    );
}

fn check_freshness(report: &mut Report<'_>, freshness: &Freshness) {
    check_span(report, "freshness.limit", freshness.limit);
}

fn check_customer(report: &mut Report<'_>, customer: &Customer) {
    let keys = &customer.key_sha256;
    check_count(report, "key_sha256", keys.len(), 1, MAX_KEYS);
    check_limits(report, &customer.limits);
    report.require(
        (1..=MAX_WEIGHT).contains(&customer.weight),
        "weight",
        customer.weight.to_string(),
        format!("1 to {MAX_WEIGHT}"),
    );
}

fn check_service(report: &mut Report<'_>, service: &Service) {
    check_count(
        report,
        "upstreams",
        service.upstreams.len(),
        0,
        MAX_UPSTREAMS,
    );
    check_count(
        report,
        "customers",
        service.customers.len(),
        0,
        MAX_CUSTOMERS,
    );
    check_limits(report, &service.limits);
    check_span(report, "timeout", service.timeout);
    check_freshness(report, &service.freshness);
    let is_plain = service.protocol == Protocol::Plain;
    report.require(
        is_plain || service.customers.is_empty(),
        "customers",
        "customers of an engine service",
        "none: an offer says who may use an engine's models",
    );
    let mut addresses = BTreeSet::new();
    for (place, upstream) in service.upstreams.iter().enumerate() {
        report.require(
            (1..=MAX_SLOTS).contains(&upstream.slots),
            format!("upstreams[{place}].slots"),
            upstream.slots.to_string(),
            format!("1 to {MAX_SLOTS}"),
        );
        report.require(
            addresses.insert(upstream.address),
            format!("upstreams[{place}].address"),
            format!("{} a second time", upstream.address),
            "an address for each upstream",
        );
    }
}

fn check_model(report: &mut Report<'_>, model: &Model) {
    check_count(report, "versions", model.versions.len(), 1, MAX_VERSIONS);
    for name in model.versions.keys() {
        report.require(
            !name.as_str().contains('@'),
            format!("versions.{name}"),
            "an @ in a version's name",
            "a name without @",
        );
    }
    if let Some(rollout) = &model.rollout {
        check_rollout(report, model, rollout);
    }
}

fn check_rollout(report: &mut Report<'_>, model: &Model, rollout: &Rollout) {
    for (key, version) in [("rollout.from", &rollout.from), ("rollout.to", &rollout.to)] {
        let exists = model.versions.contains_key(version);
        report.require(exists, key, version.to_string(), "one of the versions");
    }
    report.require(
        rollout.from != rollout.to,
        "rollout.to",
        format!("{} as in rollout.from", rollout.to),
        "another version",
    );
    let steps = &rollout.steps;
    check_count(report, "rollout.steps", steps.len(), 1, MAX_STEPS);
    let rise = steps.windows(2).all(|pair| pair[0] < pair[1]);
    report.require(
        rise && steps.last() == Some(&Share::ALL),
        "rollout.steps",
        "steps that do not rise to 1",
        "each step larger than the one before and the last 1",
    );
    report.require(
        rollout.step < steps.len(),
        "rollout.step",
        rollout.step.to_string(),
        format!("0 to {}", steps.len().saturating_sub(1)),
    );
    let is_open = matches!(rollout.state, RolloutState::Running | RolloutState::Paused);
    let target = model.versions.get(&rollout.to).map(|version| version.state);
    report.require(
        !is_open || target != Some(crate::entry::VersionState::Withdrawn),
        "rollout.to",
        format!("{}, which is withdrawn", rollout.to),
        "a version that is offered, or the roll-out aborted",
    );
}

fn check_offer(report: &mut Report<'_>, offer: &Offer) {
    check_count(
        report,
        "candidates",
        offer.candidates.len(),
        1,
        MAX_CANDIDATES,
    );
    check_count(report, "customers", offer.customers.len(), 0, MAX_CUSTOMERS);
    check_limits(report, &offer.limits);
    check_span(report, "deadline", offer.deadline);
    check_freshness(report, &offer.freshness);
    report.require(
        offer.max_output > Tokens(0) && offer.max_output <= MAX_OUTPUT,
        "max_output",
        offer.max_output.to_string(),
        format!("1 to {MAX_OUTPUT}"),
    );
    let weights = offer.weights;
    let each = [weights.cost, weights.latency, weights.exposure];
    let finite = each.iter().all(|w| w.is_finite() && *w >= 0.0);
    report.require(
        finite && each.iter().sum::<f64>() > 0.0,
        "weights",
        format!("{each:?}"),
        "finite numbers from 0, not all 0",
    );
    for (customer, permits) in &offer.customers {
        check_permits(report, offer, customer, permits);
    }
}

/// A permit lies within the candidates: the same, a version of a candidate model, or
/// a model of which a version is a candidate.
fn check_permits(
    report: &mut Report<'_>,
    offer: &Offer,
    customer: &CustomerId,
    permits: &[crate::entry::Permit],
) {
    let key = format!("customers.{customer}");
    check_count(report, &key, permits.len(), 1, MAX_CANDIDATES);
    for permit in permits {
        let within = offer.candidates.iter().any(|candidate| {
            candidate == permit
                || (candidate.model() == permit.model() && !both_versions(candidate, permit))
        });
        report.require(
            within,
            key.clone(),
            format!("{permit}, which is no candidate"),
            "models or versions among the candidates",
        );
    }
}

fn both_versions(one: &crate::entry::Permit, other: &crate::entry::Permit) -> bool {
    use crate::entry::Permit::Version;
    matches!((one, other), (Version(_), Version(_)))
}

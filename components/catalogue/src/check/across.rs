//! Rules of entries with one another: what is named exists, what must differ differs.

use std::collections::{HashMap, HashSet};
use std::hash::Hash;

use types::prelude::*;

use crate::check::{Entries, MAX_ENTRIES, Problem, Report};
use crate::entry::{Body, Customer, KeyHash, Model, Offer, Permit, Protocol, Service};
use crate::view::{CUSTOMERS, MODELS};

pub(crate) fn check(entries: &Entries) -> Vec<Problem> {
    let claims = Claims::of(entries);
    let mut problems: Vec<Problem> = check_count(entries).into_iter().collect();
    for (name, (revision, entry)) in entries {
        let mut report = Report::new(name);
        match &entry.body {
            Body::Customer(customer) => claims.check_keys(&mut report, *revision, customer),
            Body::Service(service) => {
                claims.check_upstreams(&mut report, *revision, service);
                check_customers(&mut report, entries, service.customers.iter());
            }
            Body::Model(model) => check_model(&mut report, entries, model),
            Body::Offer(offer) => check_offer(&mut report, entries, offer),
        }
        problems.extend(report.problems);
    }
    problems
}

/// Past the bound, the latest entry is at fault.
fn check_count(entries: &Entries) -> Option<Problem> {
    if entries.len() <= MAX_ENTRIES {
        return None;
    }
    let last = entries.iter().max_by_key(|(_, (revision, _))| *revision)?;
    Some(Problem {
        entry: last.0.clone(),
        key: String::new(),
        found: format!("entry {} of the catalogue", entries.len()),
        expected: format!("at most {MAX_ENTRIES}; remove some first"),
    })
}

/// Who claimed an id first: the entry with the lowest revision. Only looked up, so the
/// order of the tables does not show.
struct Claims<'a> {
    upstreams: HashMap<&'a UpstreamId, (Revision, &'a EntryName)>,
    keys: HashMap<&'a KeyHash, (Revision, &'a EntryName)>,
}

impl<'a> Claims<'a> {
    fn of(entries: &'a Entries) -> Self {
        let mut claims = Self {
            upstreams: HashMap::new(),
            keys: HashMap::new(),
        };
        for (name, (revision, entry)) in entries {
            match &entry.body {
                Body::Service(service) => {
                    let ids = service.upstreams.iter().map(|upstream| &upstream.id);
                    ids.for_each(|id| claim(&mut claims.upstreams, id, *revision, name));
                }
                Body::Customer(customer) => {
                    let keys = customer.key_sha256.iter();
                    keys.for_each(|key| claim(&mut claims.keys, key, *revision, name));
                }
                Body::Model(_) | Body::Offer(_) => {}
            }
        }
        claims
    }

    fn check_upstreams(&self, report: &mut Report<'_>, revision: Revision, service: &Service) {
        let mut seen = HashSet::new();
        for (place, upstream) in service.upstreams.iter().enumerate() {
            let owner = self.upstreams.get(&upstream.id);
            let is_own = owner.is_none_or(|owner| *owner == (revision, report.entry));
            // Tens of thousands of upstreams are in order at every edit: no text for these.
            if is_own && seen.insert(&upstream.id) {
                continue;
            }
            report.require(
                false,
                format!("upstreams[{place}].id"),
                format!("{}, which is taken", upstream.id),
                "an id that no other upstream of the catalogue has",
            );
        }
    }

    fn check_keys(&self, report: &mut Report<'_>, revision: Revision, customer: &Customer) {
        for (place, key) in customer.key_sha256.iter().enumerate() {
            let owner = self.keys.get(key);
            let is_own = owner.is_none_or(|owner| *owner == (revision, report.entry));
            report.require(
                is_own,
                format!("key_sha256[{place}]"),
                "a key that another customer has",
                "a key of this customer only",
            );
        }
    }
}

fn claim<'a, T: Eq + Hash>(
    table: &mut HashMap<&'a T, (Revision, &'a EntryName)>,
    id: &'a T,
    revision: Revision,
    name: &'a EntryName,
) {
    let owner = table.entry(id).or_insert((revision, name));
    *owner = (*owner).min((revision, name));
}

fn body<'a>(entries: &'a Entries, name: &EntryName) -> Option<&'a Body> {
    entries.get(name).map(|(_, entry)| &entry.body)
}

fn named<'a>(entries: &'a Entries, prefix: &str, rest: &str) -> Option<&'a Body> {
    let name = EntryName::new(&format!("{prefix}{rest}")).ok()?;
    body(entries, &name)
}

fn check_model(report: &mut Report<'_>, entries: &Entries, model: &Model) {
    let found = match body(entries, &model.service) {
        Some(Body::Service(service)) if service.protocol == Protocol::Engine => return,
        Some(_) => format!("{}, which is no engine service", model.service),
        None => format!("{}, which does not exist", model.service),
    };
    report.require(false, "service", found, "a service with protocol: engine");
}

fn check_offer(report: &mut Report<'_>, entries: &Entries, offer: &Offer) {
    for (place, permit) in offer.candidates.iter().enumerate() {
        check_permit(report, entries, &format!("candidates[{place}]"), permit);
    }
    for (customer, permits) in &offer.customers {
        let key = format!("customers.{customer}");
        for permit in permits {
            check_permit(report, entries, &key, permit);
        }
    }
    check_customers(report, entries, offer.customers.keys());
}

fn check_permit(report: &mut Report<'_>, entries: &Entries, key: &str, permit: &Permit) {
    let model = match named(entries, MODELS, permit.model().as_str()) {
        Some(Body::Model(model)) => Some(model),
        _ => None,
    };
    report.require(
        model.is_some(),
        key,
        format!("{permit}, whose model does not exist"),
        format!("a model that has an entry {MODELS}NAME"),
    );
    if let (Some(model), Permit::Version(id)) = (model, permit) {
        report.require(
            model.versions.contains_key(&id.version),
            key,
            format!("{permit}, which the model does not have"),
            "one of the model's versions",
        );
    }
}

fn check_customers<'a>(
    report: &mut Report<'_>,
    entries: &Entries,
    customers: impl Iterator<Item = &'a CustomerId>,
) {
    for customer in customers {
        let exists = matches!(
            named(entries, CUSTOMERS, customer.as_str()),
            Some(Body::Customer(_))
        );
        if exists {
            continue;
        }
        report.require(
            false,
            "customers",
            format!("{customer}, which does not exist"),
            format!("a customer that has an entry {CUSTOMERS}NAME"),
        );
    }
}

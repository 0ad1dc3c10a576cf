//! Rules across entries: references resolve, and ids and keys are unique.

use std::collections::{HashMap, HashSet};
use std::hash::Hash;

use types::prelude::*;

use crate::check::{Checker, Entries, MAX_ENTRIES, Problem};
use crate::entry::{Body, Customer, KeyHash, Model, Offer, Permit, Protocol, Service};
use crate::view::{CUSTOMERS, MODELS};

pub(crate) fn check(entries: &Entries) -> Vec<Problem> {
    let owners = Owners::of(entries);
    let mut problems: Vec<Problem> = check_count(entries).into_iter().collect();
    for (name, (revision, entry)) in entries {
        let mut checker = Checker::new(name);
        match &entry.body {
            Body::Customer(customer) => owners.check_keys(&mut checker, *revision, customer),
            Body::Service(service) => {
                owners.check_upstreams(&mut checker, *revision, service);
                check_customers(&mut checker, entries, service.customers.iter());
            }
            Body::Model(model) => check_model(&mut checker, entries, model),
            Body::Offer(offer) => check_offer(&mut checker, entries, offer),
        }
        problems.extend(checker.problems);
    }
    problems
}

/// Checks the number of entries; past the bound, the entry edited last is at fault.
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

/// Owner of each id and key: of the entries that use it, the one with the lowest revision.
/// The tables are only looked up, so their order does not affect the result.
struct Owners<'a> {
    upstreams: HashMap<&'a UpstreamId, (Revision, &'a EntryName)>,
    keys: HashMap<&'a KeyHash, (Revision, &'a EntryName)>,
}

impl<'a> Owners<'a> {
    fn of(entries: &'a Entries) -> Self {
        let mut owners = Self {
            upstreams: HashMap::new(),
            keys: HashMap::new(),
        };
        for (name, (revision, entry)) in entries {
            match &entry.body {
                Body::Service(service) => {
                    let ids = service.upstreams.iter().map(|upstream| &upstream.id);
                    ids.for_each(|id| set_owner(&mut owners.upstreams, id, *revision, name));
                }
                Body::Customer(customer) => {
                    let keys = customer.key_sha256.iter();
                    keys.for_each(|key| set_owner(&mut owners.keys, key, *revision, name));
                }
                Body::Model(_) | Body::Offer(_) => {}
            }
        }
        owners
    }

    fn check_upstreams(&self, checker: &mut Checker<'_>, revision: Revision, service: &Service) {
        let mut seen = HashSet::new();
        for (index, upstream) in service.upstreams.iter().enumerate() {
            let owner = self.upstreams.get(&upstream.id);
            let is_own = owner.is_none_or(|owner| *owner == (revision, checker.entry));
            // Valid ids are skipped early, so that no texts are built for the tens of thousands of
            // upstreams that are checked at every edit.
            if is_own && seen.insert(&upstream.id) {
                continue;
            }
            checker.require(
                false,
                format!("upstreams[{index}].id"),
                format!("{}, which is taken", upstream.id),
                "an id that no other upstream of the catalogue has",
            );
        }
    }

    fn check_keys(&self, checker: &mut Checker<'_>, revision: Revision, customer: &Customer) {
        for (index, key) in customer.key_sha256.iter().enumerate() {
            let owner = self.keys.get(key);
            let is_own = owner.is_none_or(|owner| *owner == (revision, checker.entry));
            checker.require(
                is_own,
                format!("key_sha256[{index}]"),
                "a key that another customer has",
                "a key of this customer only",
            );
        }
    }
}

/// Makes an entry the owner of `id` unless another one with a lower revision is.
fn set_owner<'a, T: Eq + Hash>(
    table: &mut HashMap<&'a T, (Revision, &'a EntryName)>,
    id: &'a T,
    revision: Revision,
    name: &'a EntryName,
) {
    let owner = table.entry(id).or_insert((revision, name));
    *owner = (*owner).min((revision, name));
}

fn body_of<'a>(entries: &'a Entries, name: &EntryName) -> Option<&'a Body> {
    entries.get(name).map(|(_, entry)| &entry.body)
}

/// Returns the body of the entry whose name is `prefix` followed by `rest`.
fn body_with_prefix<'a>(entries: &'a Entries, prefix: &str, rest: &str) -> Option<&'a Body> {
    let name = EntryName::new(&format!("{prefix}{rest}")).ok()?;
    body_of(entries, &name)
}

fn check_model(checker: &mut Checker<'_>, entries: &Entries, model: &Model) {
    let found = match body_of(entries, &model.service) {
        Some(Body::Service(service)) if service.protocol == Protocol::Engine => return,
        Some(_) => format!("{}, which is no engine service", model.service),
        None => format!("{}, which does not exist", model.service),
    };
    checker.require(false, "service", found, "a service with protocol: engine");
}

fn check_offer(checker: &mut Checker<'_>, entries: &Entries, offer: &Offer) {
    for (index, permit) in offer.candidates.iter().enumerate() {
        check_permit(checker, entries, &format!("candidates[{index}]"), permit);
    }
    for (customer, permits) in &offer.customers {
        let key = format!("customers.{customer}");
        for permit in permits {
            check_permit(checker, entries, &key, permit);
        }
    }
    check_customers(checker, entries, offer.customers.keys());
}

fn check_permit(checker: &mut Checker<'_>, entries: &Entries, key: &str, permit: &Permit) {
    let model = match body_with_prefix(entries, MODELS, permit.model().as_str()) {
        Some(Body::Model(model)) => Some(model),
        _ => None,
    };
    checker.require(
        model.is_some(),
        key,
        format!("{permit}, whose model does not exist"),
        format!("a model that has an entry {MODELS}NAME"),
    );
    if let (Some(model), Permit::Version(id)) = (model, permit) {
        checker.require(
            model.versions.contains_key(&id.version),
            key,
            format!("{permit}, which the model does not have"),
            "one of the model's versions",
        );
    }
}

fn check_customers<'a>(
    checker: &mut Checker<'_>,
    entries: &Entries,
    customers: impl Iterator<Item = &'a CustomerId>,
) {
    for customer in customers {
        let exists = matches!(
            body_with_prefix(entries, CUSTOMERS, customer.as_str()),
            Some(Body::Customer(_))
        );
        if exists {
            continue;
        }
        checker.require(
            false,
            "customers",
            format!("{customer}, which does not exist"),
            format!("a customer that has an entry {CUSTOMERS}NAME"),
        );
    }
}

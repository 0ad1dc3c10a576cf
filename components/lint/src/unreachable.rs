//! Entries without effect.

use std::collections::{HashMap, HashSet};
use std::sync::Arc;

use routes::{ApiKey, Configuration, CustomerEntry, Route};

use crate::finding::{Entry, Field, Finding, Problem};
use crate::listed::Listed;
use crate::shown;

pub(crate) fn check(configuration: &Configuration, found: &mut Listed<Finding>) {
    let shadowing = shadowing(&configuration.routes);
    check_routes(configuration, &shadowing, found);
    check_services(configuration, &shadowing, found);
    if let Some(customers) = &configuration.customers {
        check_customers(customers, found);
    }
}

/// For each route, the index of the earlier one that is matched in its place.
pub(crate) fn shadowing(routes: &[Route]) -> Vec<Option<usize>> {
    let mut first = HashMap::<(&str, &str), usize>::new();
    let earlier = routes.iter().enumerate().map(|(index, route)| {
        let first = *first.entry((&route.host, &route.prefix)).or_insert(index);
        (first != index).then_some(first)
    });
    earlier.collect()
}

/// The index of the customer that each key belongs to.
pub(crate) fn owners(customers: &[CustomerEntry]) -> HashMap<&ApiKey, (usize, usize)> {
    let mut owners = HashMap::new();
    for (index, entry) in customers.iter().enumerate() {
        for (place, key) in entry.keys.iter().enumerate() {
            owners.insert(key, (index, place));
        }
    }
    owners
}

fn check_routes(
    configuration: &Configuration,
    shadowing: &[Option<usize>],
    found: &mut Listed<Finding>,
) {
    let services = configuration.services.iter().map(|service| &*service.name);
    let services = services.collect::<HashSet<_>>();
    let customers = configuration.customers.as_ref();
    let has_no_key = customers.is_some_and(|all| all.iter().all(|entry| entry.keys.is_empty()));
    let mut names = HashSet::new();
    for (index, route) in configuration.routes.iter().enumerate() {
        let entry = Entry::Route(index);
        let name = || Arc::clone(&route.name);
        let mut report = |field, problem: &dyn Fn() -> Problem| {
            found.report(entry, field, problem);
        };
        if let Some(by) = shadowing[index] {
            let by = &configuration.routes[by].name;
            report(Some(Field::Prefix), &|| Problem::ShadowedRoute {
                route: name(),
                by: Arc::clone(by),
            });
        }
        if !names.insert(&route.name) {
            report(Some(Field::Name), &|| Problem::RepeatedName(name()));
        }
        if has_no_key && !route.allows_anonymous {
            report(None, &|| Problem::NoCallers(name()));
        }
        for target in &route.targets {
            let service = || Arc::clone(&target.service);
            if target.weight == 0 {
                report(Some(Field::Targets), &|| Problem::ZeroWeight {
                    route: name(),
                    service: service(),
                });
            }
            if !services.contains(&*target.service) {
                report(Some(Field::Targets), &|| Problem::UnknownService {
                    route: name(),
                    service: service(),
                });
            }
        }
    }
}

fn check_services(
    configuration: &Configuration,
    shadowing: &[Option<usize>],
    found: &mut Listed<Finding>,
) {
    let matched = configuration.routes.iter().zip(shadowing);
    let matched = matched.filter(|(_, by)| by.is_none());
    let targets = matched.flat_map(|(route, _)| &route.targets);
    let targets = targets.filter(|target| target.weight > 0);
    let reached = targets
        .map(|target| &*target.service)
        .collect::<HashSet<_>>();
    let last = configuration.services.iter().enumerate();
    let last = last
        .map(|(index, service)| (&*service.name, index))
        .collect::<HashMap<_, _>>();
    for (index, service) in configuration.services.iter().enumerate() {
        let name = || Arc::clone(&service.name);
        let mut report = |problem: &dyn Fn() -> Problem| {
            found.report(Entry::Service(index), Some(Field::Name), problem);
        };
        if last[&*service.name] != index {
            report(&|| Problem::ReplacedService(name()));
        } else if !reached.contains(&*service.name) {
            report(&|| Problem::UnreachedService(name()));
        }
    }
}

fn check_customers(customers: &[CustomerEntry], found: &mut Listed<Finding>) {
    let owners = owners(customers);
    let mut names = HashSet::new();
    for (index, entry) in customers.iter().enumerate() {
        let customer = &entry.customer.name;
        let name = || Arc::clone(customer);
        let mut report = |field, problem: &dyn Fn() -> Problem| {
            found.report(Entry::Customer(index), Some(field), problem);
        };
        if !names.insert(customer) {
            report(Field::Name, &|| Problem::RepeatedName(name()));
        }
        if entry.keys.is_empty() {
            report(Field::Keys, &|| Problem::NoKeys(name()));
        } else if entry.keys.iter().all(|key| owners[key].0 != index) {
            report(Field::Keys, &|| Problem::NoKeysOfItsOwn(name()));
        }
        for (place, key) in entry.keys.iter().enumerate() {
            let (owner, last) = owners[key];
            if owner != index {
                let owner = &customers[owner].customer.name;
                report(Field::Key(place), &|| Problem::OverriddenKey {
                    key: shown::key(key),
                    customer: name(),
                    owner: Arc::clone(owner),
                });
            } else if last != place {
                report(Field::Key(place), &|| Problem::RepeatedKey {
                    key: shown::key(key),
                    customer: name(),
                });
            }
        }
    }
}

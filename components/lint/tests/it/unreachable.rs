//! Property: what is reported as unreachable is never used by the route table, and what isn't can
//! be.

use std::collections::BTreeSet;

use lint::{Entry, Field, Finding, Known, Problem};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed};
use routes::{Configuration, CustomerEntry, Route, Service};

use crate::world::{configuration, customer, found, route, service, target};

const HOSTS: [&str; 3] = ["a.example", "b.example", ""];
const PREFIXES: [&str; 6] = ["/", "/a/", "/a/b/", "/b/", "//", "/A/"];
const SERVICES: [&str; 4] = ["app", "llm", "aside", "absent"];
const KEYS: [&str; 6] = ["k", "alpha-1", "alpha-2", "beta", "", "ключи"];

fn pick<const N: usize>(from: [&'static str; N]) -> impl Strategy<Value = &'static str> {
    (0..N).prop_map(move |index| from[index])
}

fn some_routes() -> impl Strategy<Value = Vec<Route>> {
    let targets = prop::collection::vec((pick(SERVICES), 0..3_u32), 1..4);
    let targets = targets.prop_filter("a route has a target", |targets| {
        targets.iter().any(|(_, weight)| *weight > 0)
    });
    let one = (pick(HOSTS), pick(PREFIXES), targets);
    let routes = prop::collection::vec(one, 0..12);
    routes.prop_map(|routes| {
        let routes = routes.into_iter().enumerate();
        let routes = routes.map(|(index, (host, prefix, targets))| Route {
            targets: targets
                .into_iter()
                .map(|(name, weight)| target(name, weight))
                .collect(),
            ..route(&format!("r-{index}"), host, prefix)
        });
        routes.collect()
    })
}

fn some_customers() -> impl Strategy<Value = Option<Vec<CustomerEntry>>> {
    let keys = prop::collection::vec(pick(KEYS), 0..4);
    let customers = prop::collection::vec(keys, 0..5).prop_map(|all| {
        let all = all.iter().enumerate();
        let all = all.map(|(index, keys)| customer(&format!("c-{index}"), keys));
        all.collect()
    });
    prop::option::of(customers)
}

/// Services of the same name differ in the number of connections, which is their index.
fn some_services() -> impl Strategy<Value = Vec<Service>> {
    prop::collection::vec(pick(["app", "llm", "aside"]), 0..6).prop_map(|names| {
        let names = names.into_iter().zip(0..);
        let services = names.map(|(name, index)| Service {
            max_connections: index,
            ..service(name)
        });
        services.collect()
    })
}

fn some_configuration() -> impl Strategy<Value = Configuration> {
    let parts = (some_routes(), some_services(), some_customers());
    parts.prop_map(|(routes, services, customers)| Configuration {
        routes,
        services,
        customers,
        ..configuration()
    })
}

/// The entries of a kind of finding.
fn entries(found: &[Finding], is_kind: impl Fn(&Problem) -> bool) -> Vec<Entry> {
    let found = found.iter().filter(|finding| is_kind(&finding.problem));
    found.map(|finding| finding.place.entry).collect()
}

proptest! {
    #![proptest_config(Config {
        cases: 2_000,
        rng_seed: RngSeed::Fixed(1),
        failure_persistence: None,
        ..Config::default()
    })]

    #[test]
    fn shadowed_routes_are_never_matched_and_all_others_can_be(config in some_configuration()) {
        let found = found(&config, &Known::default()).items;
        let shadowed = entries(&found, |p| matches!(p, Problem::ShadowedRoute { .. }));
        let table = config.clone().into_table().expect("valid");
        let mut matched = BTreeSet::new();
        for host in HOSTS.into_iter().chain(["A.Example", "c.example"]) {
            for prefix in PREFIXES {
                for rest in ["", "x", "a/", "a/b/", "b/c", "/", "A/x"] {
                    let route = table.route(host, &format!("{prefix}{rest}"));
                    matched.extend(route.map(|route| route.name.to_string()));
                }
            }
        }
        for (index, route) in config.routes.iter().enumerate() {
            let is_shadowed = shadowed.contains(&Entry::Route(index));
            prop_assert_eq!(matched.contains(&*route.name), !is_shadowed, "{}", route.name);
        }
    }

    #[test]
    fn services_that_no_route_reaches_get_no_requests(config in some_configuration()) {
        let found = found(&config, &Known::default()).items;
        let unreached = entries(&found, |p| matches!(p, Problem::UnreachedService(_)));
        let replaced = entries(&found, |p| matches!(p, Problem::ReplacedService(_)));
        let table = config.clone().into_table().expect("valid");
        let mut reached = BTreeSet::new();
        for host in HOSTS {
            for prefix in PREFIXES {
                if let Some(route) = table.route(host, prefix) {
                    reached.extend((0..12).map(|hash| route.target(hash).to_string()));
                }
            }
        }
        for (index, service) in config.services.iter().enumerate() {
            let entry = Entry::Service(index);
            let used = table.service(&service.name);
            let is_used = used.map(|used| used.max_connections as usize) == Some(index);
            prop_assert_eq!(is_used, !replaced.contains(&entry));
            let is_reached = is_used && reached.contains(&*service.name);
            let is_reported = unreached.contains(&entry) || replaced.contains(&entry);
            prop_assert_eq!(is_reached, !is_reported, "{} {}", index, service.name);
        }
    }

    #[test]
    fn overridden_keys_belong_to_others(config in some_configuration()) {
        let found = found(&config, &Known::default()).items;
        let table = config.clone().into_table().expect("valid");
        let customers = config.customers.as_deref().unwrap_or_default();
        for (index, entry) in customers.iter().enumerate() {
            let mut has_own = false;
            for (place, key) in entry.keys.iter().enumerate() {
                let owner = table.customer(key).expect("it is listed");
                let is_own = owner.name == entry.customer.name;
                has_own |= is_own;
                let is_overridden = found.iter().any(|finding| {
                    finding.place.entry == Entry::Customer(index)
                        && finding.place.field == Some(Field::Key(place))
                        && matches!(finding.problem, Problem::OverriddenKey { .. })
                });
                prop_assert_eq!(is_own, !is_overridden, "{} {}", index, place);
            }
            let without = entries(&found, |p| {
                matches!(p, Problem::NoKeys(_) | Problem::NoKeysOfItsOwn(_))
            });
            prop_assert_eq!(has_own, !without.contains(&Entry::Customer(index)));
        }
    }

    /// Keys are secrets; a finding goes to terminals and logs.
    #[test]
    fn findings_show_no_more_of_a_key_than_its_beginning(key in "[a-z0-9]{5,20}") {
        let mut config = configuration();
        config.customers = Some(vec![customer("a", &[&key, &key]), customer("b", &[&key])]);
        let found = found(&config, &Known::default()).items;
        prop_assert_eq!(found.len(), 3);
        for finding in found {
            let text = finding.problem.to_string();
            prop_assert!(!text.contains(&key[..5]), "{}", text);
        }
    }
}

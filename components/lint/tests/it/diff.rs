//! Differences between two configurations.

use std::sync::Arc;

use lint::{Known, differences, findings, not_newer};
use routes::{ColdStart, Configuration, Retry, TableVersion};
use types::prelude::*;

use crate::world::{configuration, customer, engines, route, service, target};

fn base() -> Configuration {
    let mut config = configuration();
    config.routes.push(route("stream", "a.example", "/stream/"));
    config.routes[1].targets = vec![target("llm", 90), target("app", 10)];
    config.services.push(engines("llm"));
    let customers = vec![
        customer("hule", &["alpha-1", "alpha-2"]),
        customer("kile", &["beta-1"]),
    ];
    config.customers = Some(customers);
    config
}

/// What only looks different must not be listed: an operator would look for an effect.
#[test]
fn order_and_notation_make_no_difference() {
    let base = base();
    let mut other = base.clone();
    other.routes.reverse();
    other.services.reverse();
    other.routes[0].targets = vec![
        target("app", 1),
        target("llm", 4),
        target("llm", 5),
        target("gone", 0),
    ];
    let customers = other.customers.as_mut().expect("there are some");
    customers.reverse();
    customers[1].keys.reverse();
    // Two entries without effect: a replaced service, and a repeated key.
    other.services.insert(0, service("llm"));
    let customers = other.customers.as_mut().expect("there are some");
    let again = customers[0].keys[0].clone();
    customers[0].keys.push(again);
    assert_eq!(differences(&base, &other).items, []);
    assert_eq!(differences(&other, &base).items, []);
}

#[test]
fn each_field_that_differs_is_listed_with_both_values() {
    let base = base();
    let mut other = base.clone();
    other.version = TableVersion(8);
    other.limits.body = ByteSize(2 << 20);
    other.limits.idle = Span::from_secs(16);
    other.routes.remove(0);
    let stream = &mut other.routes[0];
    stream.retry = Retry::Stream { resumable: true };
    stream.timeout = Span::from_secs(20);
    stream.objective = Span::from_millis(1_500);
    stream.max_pause = Some(Span::from_secs(1));
    stream.rank = 2;
    stream.models = ["small", "large"].map(Arc::from).into();
    stream.targets = vec![target("llm", 8), target("app", 2)];
    stream.max_attempts = 3;
    stream.allows_anonymous = false;
    other.routes.push(route("added", "b.example", "/"));
    other.services[0].cold_start = Some(ColdStart {
        duration: Span::from_secs(3),
        rate: Rate(11.0),
    });
    other.services[1].max_connections = 370;
    other.services[1].engine = None;
    other.services.push(service("new"));
    other.customers = Some(vec![
        customer("hule", &["alpha-1", "gamma-3"]),
        customer("new", &["delta-4", "k"]),
    ]);
    insta::assert_json_snapshot!(differences(&base, &other));
}

/// A key that moves keeps its callers but gives them another name and rank.
#[test]
fn a_key_that_moves_and_a_route_that_is_shadowed_are_differences() {
    let base = base();
    let mut other = base.clone();
    let customers = other.customers.as_mut().expect("there are some");
    customers[1] = customer("kile", &["beta-1", "alpha-1"]);
    other
        .routes
        .insert(0, route("before", "a.example", "/stream/"));
    insta::assert_json_snapshot!(differences(&base, &other));
}

#[test]
fn a_change_that_daemons_would_not_load_is_found() {
    let base = base();
    let mut other = base.clone();
    let finding = |other: &Configuration| {
        let differences = differences(&base, other);
        not_newer(&base, other, &differences).map(|finding| finding.problem.to_string())
    };
    assert_eq!(finding(&other), None, "the same");
    other.routes[0].rank = 4;
    insta::assert_snapshot!(
        finding(&other).expect("the same version"),
        @"version 7 is not loaded by daemons that have version 7 in force"
    );
    other.version = TableVersion(6);
    assert!(finding(&other).is_some());
    other.version = TableVersion(8);
    assert_eq!(finding(&other), None);
    assert_eq!(findings(&other, &Known::default()).items, []);
}

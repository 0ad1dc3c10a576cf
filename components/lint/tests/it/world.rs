//! Configurations for tests.

use std::collections::BTreeMap;
use std::sync::Arc;

use lint::{Finding, Known, Listed, findings};
use routes::{
    ApiKey, Configuration, Customer, CustomerEntry, Engine, Limits, Retry, Route, Service,
    TableVersion, Target,
};
use types::prelude::*;

pub(crate) fn target(service: &str, weight: u32) -> Target {
    Target {
        service: Arc::from(service),
        weight,
    }
}

pub(crate) fn route(name: &str, host: &str, prefix: &str) -> Route {
    Route {
        name: Arc::from(name),
        host: Arc::from(host),
        prefix: Arc::from(prefix),
        retry: Retry::Any,
        timeout: Span::from_secs(2),
        objective: Span::from_millis(300),
        max_pause: None,
        rank: 0,
        models: Vec::new(),
        targets: vec![target("app", 1)],
        max_attempts: 1,
        allows_anonymous: true,
    }
}

pub(crate) fn service(name: &str) -> Service {
    Service {
        name: Arc::from(name),
        max_connections: 200,
        engine: None,
        cold_start: None,
    }
}

pub(crate) fn engines(name: &str) -> Service {
    Service {
        engine: Some(Engine {
            slots: 32,
            memory: Tokens(100_000),
        }),
        ..service(name)
    }
}

pub(crate) fn customer(name: &str, keys: &[&str]) -> CustomerEntry {
    CustomerEntry {
        customer: Arc::new(Customer {
            name: Arc::from(name),
            rank: None,
        }),
        keys: keys.iter().map(|key| ApiKey::new(key)).collect(),
    }
}

/// A configuration without findings.
pub(crate) fn configuration() -> Configuration {
    Configuration {
        version: TableVersion(7),
        limits: Limits {
            head: ByteSize(16_384),
            body: ByteSize(1 << 20),
            head_timeout: Span::from_secs(3),
            idle: Span::from_secs(15),
        },
        routes: vec![route("plain", "a.example", "/")],
        services: vec![service("app")],
        customers: Some(vec![customer("hule", &["alpha-1"])]),
    }
}

pub(crate) fn found(configuration: &Configuration, known: &Known) -> Listed<Finding> {
    findings(configuration, known)
}

/// The findings as lines: place, message and code.
pub(crate) fn lines(configuration: &Configuration, known: &Known) -> String {
    let found = found(configuration, known);
    assert_eq!(found.left_out, 0);
    let line = |finding: &Finding| {
        let (place, problem) = (finding.place, &finding.problem);
        format!(
            "{:?} {:?}: {problem} [{}]",
            place.entry,
            place.field,
            problem.code()
        )
    };
    found.items.iter().map(line).collect::<Vec<_>>().join("\n")
}

pub(crate) fn upstreams(counts: &[(&str, u32)]) -> BTreeMap<String, u32> {
    let counts = counts.iter();
    counts
        .map(|(service, count)| ((*service).to_owned(), *count))
        .collect()
}

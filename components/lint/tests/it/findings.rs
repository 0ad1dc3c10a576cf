//! Findings, one kind after the other. Each test guards against a finding that gets lost, points
//! elsewhere or shows more of a key than its beginning.

use std::sync::Arc;

use lint::{Known, RetryBound};
use routes::Retry;
use types::prelude::*;

use crate::world::{
    configuration, customer, engines, found, lines, route, service, target, upstreams,
};

#[test]
fn a_sound_configuration_has_no_findings() {
    let known = Known {
        retries: Some(RetryBound {
            ratio: 0.0,
            allowance: 0.0,
        }),
        upstreams: upstreams(&[("app", 1)]),
    };
    assert_eq!(lines(&configuration(), &known), "");
}

#[test]
fn entries_without_effect_are_found() {
    let mut config = configuration();
    config.routes.push(route("second", "a.example", "/"));
    config.routes[1].targets = vec![target("aside", 1)];
    config.routes.push(route("plain", "b.example", "/"));
    config.routes[2].targets = vec![target("app", 0), target("absent", 1)];
    config.services = vec![service("app"), service("app"), service("aside")];
    config.customers = Some(vec![
        customer("first", &["alpha-1", "alpha-2", "alpha-2"]),
        customer("second", &["alpha-1", "key"]),
        customer("third", &["key"]),
        customer("fourth", &[]),
        customer("fourth", &["key", "beta"]),
    ]);
    insta::assert_snapshot!(lines(&config, &Known::default()));
}

#[test]
fn a_route_that_needs_a_key_where_there_is_none_is_found() {
    let mut config = configuration();
    config.routes[0].allows_anonymous = false;
    assert_eq!(lines(&config, &Known::default()), "");
    config.customers = Some(Vec::new());
    insta::assert_snapshot!(
        lines(&config, &Known::default()),
        @"Route(0) None: nobody may use route plain: it needs a key, and no customer has one [no-callers]"
    );
    config.customers = None;
    assert_eq!(
        lines(&config, &Known::default()),
        "",
        "keys are not asked for"
    );
}

#[test]
fn limits_that_contradict_each_other_are_found() {
    let mut config = configuration();
    config.limits.head = ByteSize(0);
    config.limits.head_timeout = Span::ZERO;
    config.limits.idle = Span::ZERO;
    config.routes[0].timeout = Span::from_millis(200);
    config.routes[0].max_pause = Some(Span::from_millis(100));
    config.routes[0].models = ["small", "large", "small", "small"].map(Arc::from).into();
    let mut stream = route("stream", "a.example", "/stream/");
    stream.retry = Retry::Stream { resumable: false };
    stream.max_pause = Some(Span::from_secs(9));
    stream.objective = Span::ZERO;
    stream.targets = vec![target("llm", 1), target("tiny", 1)];
    let mut still = stream.clone();
    still.name = Arc::from("still");
    still.prefix = Arc::from("/still/");
    still.max_pause = Some(Span::ZERO);
    still.timeout = Span::ZERO;
    config.routes.extend([stream, still]);
    config.services.extend([engines("llm"), engines("tiny")]);
    config.services[1].max_connections = 31;
    config.services[2].max_connections = 0;
    let tiny = config.services[2].engine.as_mut().expect("of engines");
    (tiny.slots, tiny.memory) = (0, Tokens(0));
    insta::assert_snapshot!(lines(&config, &Known::default()));
}

#[test]
fn limits_that_just_agree_are_no_findings() {
    let mut config = configuration();
    config.routes[0].timeout = config.routes[0].objective;
    config.routes[0].retry = Retry::Stream { resumable: true };
    config.routes[0].max_pause = Some(config.routes[0].timeout);
    config.routes[0].targets = vec![target("llm", 1)];
    config.services = vec![engines("llm")];
    config.services[0].max_connections = 32;
    assert_eq!(lines(&config, &Known::default()), "");
}

#[test]
fn attempts_are_compared_with_what_is_known() {
    let mut config = configuration();
    config.routes[0].max_attempts = 3;
    config.routes[0].targets = vec![target("app", 9), target("app", 1), target("idle", 0)];
    config.services.push(service("idle"));
    let attempts = |retries, counts| {
        let known = Known {
            retries,
            upstreams: upstreams(counts),
        };
        let all = lines(&config, &known);
        let lines = all.lines().filter(|line| line.contains("attempts"));
        lines.map(str::to_owned).collect::<Vec<_>>().join("\n")
    };
    let retries = |ratio, allowance| Some(RetryBound { ratio, allowance });
    assert_eq!(attempts(None, &[]), "");
    assert_eq!(attempts(retries(0.1, 10.0), &[("app", 3), ("idle", 1)]), "");
    assert_eq!(attempts(retries(2.0, 0.0), &[]), "");
    assert_eq!(attempts(retries(f64::INFINITY, 0.0), &[]), "");
    insta::assert_snapshot!(attempts(retries(0.9, 0.2), &[("app", 2)]), @r"
    Route(0) Some(MaxAttempts): route plain has 3 attempts, and the retry budget allows a request 2 [attempts-over-budget]
    Route(0) Some(MaxAttempts): route plain has 3 attempts, and service app has 2 upstreams [attempts-over-upstreams]
    ");
}

/// A file of a million wrong keys would otherwise take a gigabyte of findings.
#[test]
fn findings_are_bounded_and_the_others_counted() {
    let mut config = configuration();
    let keys = vec!["alpha-1"; 10_001];
    config.customers = Some(vec![customer("hule", &keys)]);
    let found = found(&config, &Known::default());
    assert_eq!((found.items.len(), found.left_out), (200, 9_800));
}

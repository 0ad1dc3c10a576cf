//! Limits that contradict each other.

use std::collections::HashSet;
use std::sync::Arc;

use routes::{Configuration, Route, Service};
use types::prelude::*;

use crate::finding::{Entry, Field, Finding, Problem};
use crate::known::Known;
use crate::listed::Listed;

pub(crate) fn check(configuration: &Configuration, known: &Known, found: &mut Listed<Finding>) {
    check_callers(configuration, found);
    for (index, route) in configuration.routes.iter().enumerate() {
        let entry = Entry::Route(index);
        check_times(route, &mut reporter(entry, found));
        check_models(route, &mut reporter(entry, found));
        check_attempts(route, known, &mut reporter(entry, found));
    }
    for (index, service) in configuration.services.iter().enumerate() {
        check_service(service, &mut reporter(Entry::Service(index), found));
    }
}

/// Adds findings of one entry.
fn reporter(
    entry: Entry,
    found: &mut Listed<Finding>,
) -> impl FnMut(Field, &dyn Fn() -> Problem) + '_ {
    move |field, problem| found.report(entry, Some(field), problem)
}

type Report<'a> = dyn FnMut(Field, &dyn Fn() -> Problem) + 'a;

fn zero(limit: &str) -> Problem {
    Problem::Zero {
        limit: limit.to_owned(),
    }
}

fn check_callers(configuration: &Configuration, found: &mut Listed<Finding>) {
    let limits = &configuration.limits;
    let mut report = reporter(Entry::Limits, found);
    if limits.head == ByteSize(0) {
        report(Field::Head, &|| zero("the largest request head"));
    }
    if limits.head_timeout == Span::ZERO {
        report(Field::HeadTimeout, &|| zero("the time for a request head"));
    }
    if limits.idle == Span::ZERO {
        report(Field::Idle, &|| {
            zero("the time that a connection may be idle")
        });
    }
}

fn check_times(route: &Route, report: &mut Report<'_>) {
    let name = &route.name;
    let (timeout, objective) = (route.timeout, route.objective);
    if timeout == Span::ZERO {
        report(Field::Timeout, &|| {
            zero(&format!("route {name}: the timeout"))
        });
    }
    if objective == Span::ZERO {
        report(Field::Objective, &|| {
            zero(&format!("route {name}: the objective"))
        });
    }
    if Span::ZERO < timeout && timeout < objective {
        report(Field::Timeout, &|| Problem::TimeoutUnderObjective {
            route: Arc::clone(name),
            timeout,
            objective,
        });
    }
    let Some(max_pause) = route.max_pause else {
        return;
    };
    if !route.retry.is_stream() {
        report(Field::MaxPause, &|| Problem::StreamLimit(Arc::clone(name)));
    } else if max_pause == Span::ZERO {
        report(Field::MaxPause, &|| {
            zero(&format!("route {name}: the longest pause"))
        });
    } else if Span::ZERO < timeout && timeout < max_pause {
        report(Field::MaxPause, &|| Problem::TimeoutUnderPause {
            route: Arc::clone(name),
            timeout,
            max_pause,
        });
    }
}

fn check_models(route: &Route, report: &mut Report<'_>) {
    let mut seen = HashSet::new();
    let mut reported = HashSet::new();
    for model in &route.models {
        if !seen.insert(model) && reported.insert(model) {
            report(Field::Models, &|| Problem::RepeatedModel {
                route: Arc::clone(&route.name),
                model: Arc::clone(model),
            });
        }
    }
}

fn check_attempts(route: &Route, known: &Known, report: &mut Report<'_>) {
    let attempts = route.max_attempts;
    let allowed = known.retries.map(|retries| retries.max_attempts());
    if let Some(allowed) = allowed.filter(|allowed| *allowed < attempts) {
        report(Field::MaxAttempts, &|| Problem::AttemptsOverBudget {
            route: Arc::clone(&route.name),
            attempts,
            allowed,
        });
    }
    let mut services = HashSet::new();
    for target in route.targets.iter().filter(|target| target.weight > 0) {
        let service = &target.service;
        let upstreams = known.upstreams.get(&**service).copied();
        let Some(upstreams) = upstreams.filter(|count| *count < attempts) else {
            continue;
        };
        if services.insert(service) {
            report(Field::MaxAttempts, &|| Problem::AttemptsOverUpstreams {
                route: Arc::clone(&route.name),
                attempts,
                service: Arc::clone(service),
                upstreams,
            });
        }
    }
}

fn check_service(service: &Service, report: &mut Report<'_>) {
    let name = &service.name;
    let connections = service.max_connections;
    if connections == 0 {
        report(Field::MaxConnections, &|| {
            zero(&format!("service {name}: the limit on connections"))
        });
    }
    let Some(engine) = service.engine else {
        return;
    };
    if engine.slots == 0 {
        report(Field::Slots, &|| {
            zero(&format!("service {name}: the number of slots"))
        });
    }
    if engine.memory == Tokens(0) {
        report(Field::Memory, &|| {
            zero(&format!("service {name}: the memory"))
        });
    }
    if 0 < connections && connections < engine.slots {
        report(Field::MaxConnections, &|| Problem::SlotsOverConnections {
            service: Arc::clone(name),
            slots: engine.slots,
            connections,
        });
    }
}

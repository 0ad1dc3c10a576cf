//! Requests to a plain service that peers report as congested.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

use overload::{DomainReports, FleetView, Report, ServiceReport, service_hash};
use routes::Retry;

use crate::harness::*;

/// A fleet of two, of which the other reports a service that is full.
fn congested() -> FleetView {
    let service = ServiceReport {
        service: service_hash("service"),
        offered: 500.0,
        completed: 10.0,
        rejected: 200.0,
        in_flight: 100.0,
        is_congested: true,
        flows: Vec::new(),
    };
    let report = Report {
        services: vec![service],
    };
    FleetView {
        domains: vec![DomainReports {
            present: 2,
            is_own: true,
            reports: vec![Arc::new(report)],
        }],
    }
}

/// Guards against refusals that are untrue: a refused request that reached the upstream.
#[test]
fn requests_to_a_congested_service_are_refused_before_they_are_sent() {
    let received = Arc::new(AtomicUsize::new(0));
    let count = Arc::clone(&received);
    let address = upstream(move |served| {
        while let Some(request) = served.request() {
            count.fetch_add(1, Ordering::SeqCst);
            served.write(&answer(id_of(&request), "world"));
        }
    });
    let running = serving(Retry::Any, &[address]);
    let mut caller = running.caller();
    // Nothing is refused before the peers report.
    assert_eq!(status_of(&caller.ask("first")), 200);
    running.send_overload_view(congested());
    let (mut asked, mut answered, mut refused) = (1, 1, 0);
    wait_until("requests are refused", || {
        asked += 1;
        let reply = caller.ask(&format!("r{asked}"));
        match status_of(&reply) {
            200 => answered += 1,
            503 => {
                refused += 1;
                let wait = field(&reply, "Retry-After").expect("a time");
                let wait = wait.parse::<f64>().expect("seconds");
                // A third of the ten seconds that the route allows.
                assert!((0.9..=3.34).contains(&wait), "{wait}");
            }
            other => panic!("status {other}"),
        }
        refused >= 20
    });
    assert_eq!(received.load(Ordering::SeqCst), answered);
    assert_eq!(
        running.metric("buckthorncross_overload_refusals_total"),
        refused
    );
    // The limit goes to the other daemons.
    wait_until("the service is reported as congested", || {
        let report = Report::decode(&running.handle.observed.overload()).expect("its form");
        let service = report.service(service_hash("service"));
        service.is_some_and(|service| service.is_congested && !service.flows.is_empty())
    });
}

/// Guards against reports that stay valid for ever while the control thread stalls.
#[test]
fn reports_that_are_not_renewed_are_dropped() {
    let address = upstream(move |served| {
        while let Some(request) = served.request() {
            served.write(&answer(id_of(&request), "world"));
        }
    });
    let running = serving(Retry::Any, &[address]);
    let mut caller = running.caller();
    assert_eq!(status_of(&caller.ask("first")), 200);
    let offered = || {
        let text = running.get("/metrics");
        let name = "buckthorncross_overload_offered{service=\"service\"}";
        let line = text.lines().find_map(|line| line.strip_prefix(name));
        line.and_then(|value| value.trim().parse::<f64>().ok())
    };
    running.send_overload_view(congested());
    wait_until("the report counts", || {
        offered().is_some_and(|it| it > 400.0)
    });
    wait_until("it is dropped", || offered().is_some_and(|it| it < 100.0));
}

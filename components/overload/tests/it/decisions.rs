//! Decisions of one daemon, from its own counts and from false reports.

use std::sync::Arc;

use overload::{
    Decision, DomainReports, FleetView, Flow, FlowReport, Overload, OverloadPolicy, Report, Sends,
    ServiceReport, service_hash,
};
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use types::prelude::*;

const SLOTS: u32 = 6;

fn at(ms: u64) -> Time {
    Time::ZERO + Span::from_millis(ms)
}

fn domain(present: usize, is_own: bool, reports: Vec<Report>) -> DomainReports {
    DomainReports {
        present,
        is_own,
        reports: reports.into_iter().map(Arc::new).collect(),
    }
}

/// Guards against a daemon that refuses by its own few requests times the number of daemons: before
/// it joins, it sees itself alone.
#[test]
fn a_daemon_that_has_just_joined_refuses_nothing_without_reports() {
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    let mut overload = Overload::new(OverloadPolicy::default());
    let service = Arc::from("web");
    let sends = Sends {
        completed: 1,
        rejected: 0,
        in_flight: 1.0,
    };
    for tick in 1..=60 {
        let now = at(tick * 100);
        let present = if tick <= 5 { 1 } else { 88 };
        let view = FleetView {
            domains: vec![domain(present, true, Vec::new())],
        };
        let decision = overload.decide(now, &service, Flow::of_route("a", 0), &mut rng);
        assert_eq!(decision, Decision::Send, "tick {tick}");
        let changes = overload.update(now, &view, |_| sends, |_| SLOTS);
        assert!(changes.is_empty(), "tick {tick}: {changes:?}");
    }
}

/// Guards against requests that last longer than a service is kept without arrivals: they would not
/// be reported any more.
#[test]
fn a_service_is_kept_while_its_requests_run() {
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    let mut overload = Overload::new(OverloadPolicy::default());
    let view = FleetView {
        domains: vec![domain(1, true, Vec::new())],
    };
    overload.decide(at(0), &Arc::from("web"), Flow::of_route("a", 0), &mut rng);
    let mut update = |s: u64, in_flight: f64| {
        let sends = Sends {
            in_flight,
            ..Sends::default()
        };
        overload.update(at(s * 1_000), &view, |_| sends, |_| SLOTS);
        let services = overload.report().services;
        services.first().map(|service| service.in_flight)
    };
    let running = (1..=300).map(|s| update(s, 1.0)).last().flatten();
    let running = running.expect("a request is in flight");
    assert!((running - 1.0).abs() < 0.01, "{running}");
    let ended = (301..=320).map(|s| update(s, 0.0)).last().flatten();
    assert_eq!(ended, None);
}

fn flow_report(name: &str, usual: f64, rank: u8) -> FlowReport {
    FlowReport {
        // The key is that of rank 0 also where the report states another.
        key: Flow::of_route(name, 0).key,
        rank,
        offered: 5.0,
        usual,
    }
}

fn report(flows: Vec<FlowReport>) -> Report {
    Report {
        services: vec![ServiceReport {
            service: service_hash("web"),
            offered: 10.0,
            completed: 4.0,
            rejected: 3.0,
            in_flight: 2.0,
            is_congested: true,
            flows,
        }],
    }
}

/// Probabilities of the routes `a` and `b` among 31 daemons that offer equally much of both; one of
/// them reports `of_a` for `a`.
fn probabilities(of_a: FlowReport) -> [f64; 2] {
    let usual = || report(vec![flow_report("a", 2.0, 0), flow_report("b", 2.0, 0)]);
    let mut first = vec![report(vec![of_a, flow_report("b", 2.0, 0)])];
    first.extend((0..15).map(|_| usual()));
    let view = FleetView {
        domains: vec![
            domain(16, false, first),
            domain(15, true, (0..14).map(|_| usual()).collect()),
        ],
    };
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    let mut overload = Overload::new(OverloadPolicy::default());
    let service = Arc::from("web");
    let sends = Sends {
        completed: 1,
        rejected: 1,
        in_flight: 2.0,
    };
    let mut found = [1.0; 2];
    for tick in 1..=50 {
        let now = at(tick * 200);
        for (name, found) in ["a", "b"].into_iter().zip(&mut found) {
            let flow = Flow::of_route(name, 0);
            if let Decision::Refuse(refusal) = overload.decide(now, &service, flow, &mut rng) {
                *found = refusal.probability;
            }
        }
        overload.update(now, &view, |_| sends, |_| SLOTS);
    }
    found
}

/// Guards against a false report that makes a route less urgent at all daemons.
#[test]
fn a_false_rank_changes_nothing_for_a_daemons_own_flows() {
    let [expected, _] = probabilities(flow_report("a", 2.0, 0));
    let [found, _] = probabilities(flow_report("a", 2.0, 9));
    println!("{found:.3}, {expected:.3} without the false rank");
    assert!(expected < 0.9 && found > 0.95 * expected, "{found}");
}

/// Guards against a false report that gives one route the whole limit.
#[test]
fn a_false_usual_rate_moves_little() {
    let [_, expected] = probabilities(flow_report("a", 2.0, 0));
    let [_, found] = probabilities(flow_report("a", 6_553.0, 0));
    println!("{found:.3}, {expected:.3} without the false rate");
    assert!(expected < 0.9 && found > 0.7 * expected, "{found}");
}

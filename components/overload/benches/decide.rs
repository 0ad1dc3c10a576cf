//! Cost of one decision, and of one update, with the flows of a present and of a large deployment.

use std::hint::black_box;
use std::sync::Arc;

use criterion::{BenchmarkId, Criterion, criterion_main};
use overload::{DomainReports, FleetView, Flow, Overload, OverloadPolicy, Report, Sends};
use rand::SeedableRng;
use rand::rngs::SmallRng;
use types::prelude::*;

const FLOWS: [usize; 2] = [24, 1_000];
/// Daemons whose reports are known.
const KNOWN: usize = 30;

fn at(ms: u64) -> Time {
    Time::ZERO + Span::from_millis(ms)
}

fn sends(_: &str) -> Sends {
    Sends {
        completed: 2,
        rejected: 1,
        in_flight: 12.0,
    }
}

fn flows(count: usize) -> Vec<Flow> {
    let flows = (0..count).map(|n| Flow::of_customer(&format!("customer-{n}"), 0));
    flows.collect()
}

/// A congested service, and what is known of the fleet.
fn congested(flows: &[Flow], service: &Arc<str>, rng: &mut SmallRng) -> (Overload, FleetView) {
    let mut view = FleetView {
        domains: vec![DomainReports {
            present: KNOWN + 1,
            is_own: true,
            reports: Vec::new(),
        }],
    };
    let mut overload = Overload::new(OverloadPolicy::default());
    for tick in 0..20 {
        for flow in flows {
            let _ = overload.decide(at(tick * 100), service, *flow, rng);
        }
        overload.update(at(tick * 100), &view, sends, |_| 6);
        let report = overload.report().encode(rng);
        let report = Report::decode(&report).expect("its own form");
        let report = Arc::new(report);
        view.domains[0].reports = (0..KNOWN).map(|_| Arc::clone(&report)).collect();
    }
    (overload, view)
}

fn decide(c: &mut Criterion) {
    let mut group = c.benchmark_group("overload");
    for count in FLOWS {
        let mut rng = SmallRng::seed_from_u64(1);
        let service = Arc::from("web");
        let flows = flows(count);
        let (mut overload, view) = congested(&flows, &service, &mut rng);
        let mut turn = 0;
        group.bench_function(BenchmarkId::new("decide", count), |b| {
            b.iter(|| {
                turn = (turn + 1) % flows.len();
                black_box(overload.decide(at(2_000), &service, flows[turn], &mut rng))
            });
        });
        let mut ms = 2_000;
        group.bench_function(BenchmarkId::new("update", count), |b| {
            b.iter(|| {
                ms += 100;
                for flow in &flows {
                    let _ = overload.decide(at(ms), &service, *flow, &mut rng);
                }
                black_box(overload.update(at(ms), &view, sends, |_| 6))
            });
        });
        group.bench_function(BenchmarkId::new("report", count), |b| {
            b.iter(|| black_box(overload.report().encode(&mut rng)));
        });
    }
    group.finish();
}

mod group {
    #![allow(missing_docs, reason = "the macro's function has no place for one")]

    criterion::criterion_group!(benches, super::decide);
}

criterion_main!(group::benches);

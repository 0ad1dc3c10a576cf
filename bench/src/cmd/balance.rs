//! `balance`: choice of upstream beside simpler ways, and beside an oracle.
//!
//! Sessions with shared prefixes on 20 fake engines, through 9 and 64 daemons, each of which
//! chooses alone. Reports are half a second old and come once a second. Arms: nothing wrong;
//! one engine at a fifth of its speed; a failure domain lost.

mod policy;
mod simulation;
mod workload;

use routing::Tuning;

use crate::cli;
use crate::report::{Curve, Report};
use policy::Kind;
use simulation::{Found, World};
use workload::{DOCUMENTS, Fault, SESSIONS, Workload};

const FLEETS: [usize; 2] = [9, 64];
const CASES: [(&str, Workload, Fault); 4] = [
    ("sessions", SESSIONS, Fault::None),
    ("documents", DOCUMENTS, Fault::None),
    ("slow", SESSIONS, Fault::Slow),
    ("domain-lost", SESSIONS, Fault::DomainLost),
];

/// Runs every arm.
pub fn run(options: &cli::Balance) -> eyre::Result<Report> {
    let mut report = Report::new("balance", options.seed);
    for daemons in FLEETS {
        for (case, workload, fault) in CASES {
            for (kind_name, kind) in kinds() {
                let arm = format!("{case}/{daemons}/{kind_name}");
                let found = World::new(kind, daemons, workload, fault, options.seed).run();
                note(&mut report, &arm, kind, &found);
            }
        }
    }
    Ok(report)
}

fn kinds() -> [(&'static str, Kind); 5] {
    [
        ("round-robin", Kind::RoundRobin),
        ("random", Kind::Random),
        ("least-reported", Kind::LeastReported),
        ("ours", Kind::Ours(Tuning::default())),
        ("oracle", Kind::Oracle),
    ]
}

fn note(report: &mut Report, arm: &str, kind: Kind, found: &Found) {
    let millis = |quantile| found.first_token.value_at_quantile(quantile) as f64 / 1e3;
    report.note(arm, "first_token_p50_ms", millis(0.50));
    report.note(arm, "first_token_p95_ms", millis(0.95));
    report.note(arm, "first_token_p99_ms", millis(0.99));
    let (hit, all) = found.cached;
    report.note(arm, "prefix_hit_share", hit as f64 / all.max(1) as f64);
    report.note(arm, "requests", found.first_token.len() as f64);
    report.note(arm, "retries", found.retries as f64);
    report.note(arm, "lost", found.lost as f64);
    if matches!(kind, Kind::Ours(_)) {
        report.violations += found.lost;
    }
    let means = found.by_second.iter();
    let points = means.map(|(second, (sum, count))| (*second as f64, sum / *count as f64));
    report.curves.push(Curve {
        plot: format!("first token by second, {}", plot_of(arm)),
        label: arm.to_owned(),
        points: points.collect(),
    });
}

fn plot_of(arm: &str) -> &str {
    arm.rsplit_once('/').map_or(arm, |(plot, _)| plot)
}

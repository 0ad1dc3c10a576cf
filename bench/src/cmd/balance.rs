//! `balance`: choice of upstream compared with simpler policies and an oracle.
//!
//! Sessions with shared prefixes run on 20 simulated engines behind 9 or 64 daemons, each of which
//! chooses independently. Load is polled every four seconds and reported half a second late. Arms:
//! no fault, one engine at a fifth of its speed, loss of a failure domain.

mod policy;
mod simulation;
mod workload;

use routing::Tuning;

use crate::cli;
use crate::report::{Curve, Report};
use policy::Kind;
use simulation::{Results, Simulation};
use workload::{DOCUMENTS, Fault, SESSIONS, Workload};

const FLEET_SIZES: [usize; 2] = [9, 64];
const CASES: [(&str, Workload, Fault); 4] = [
    ("sessions", SESSIONS, Fault::None),
    ("documents", DOCUMENTS, Fault::None),
    ("slow", SESSIONS, Fault::Slow),
    ("domain-lost", SESSIONS, Fault::DomainLost),
];

/// Runs all arms.
pub fn run(options: &cli::Balance) -> eyre::Result<Report> {
    let mut report = Report::new("balance", options.seed);
    for daemons in FLEET_SIZES {
        for (case, workload, fault) in CASES {
            for (kind_name, kind) in kinds() {
                let arm = format!("{case}/{daemons}/{kind_name}");
                let results = Simulation::new(kind, daemons, workload, fault, options.seed).run();
                report_results(&mut report, &arm, kind, &results);
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

fn report_results(report: &mut Report, arm: &str, kind: Kind, results: &Results) {
    let millis = |quantile| results.first_token.value_at_quantile(quantile) as f64 / 1e3;
    report.note(arm, "first_token_p50_ms", millis(0.50));
    report.note(arm, "first_token_p95_ms", millis(0.95));
    report.note(arm, "first_token_p99_ms", millis(0.99));
    let (cached, all) = results.cached;
    report.note(arm, "prefix_hit_share", cached as f64 / all.max(1) as f64);
    report.note(arm, "requests", results.first_token.len() as f64);
    report.note(arm, "retries", results.retries as f64);
    report.note(arm, "lost", results.given_up as f64);
    if matches!(kind, Kind::Ours(_)) {
        report.violations += results.given_up;
    }
    let means = results.by_second.iter();
    let points = means.map(|(second, (sum, count))| (*second as f64, sum / *count as f64));
    report.curves.push(Curve {
        plot: format!("first token by second, {}", plot_name(arm)),
        label: arm.to_owned(),
        points: points.collect(),
    });
}

fn plot_name(arm: &str) -> &str {
    arm.rsplit_once('/').map_or(arm, |(plot, _)| plot)
}

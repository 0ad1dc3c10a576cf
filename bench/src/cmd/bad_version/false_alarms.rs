//! Counts suspensions of a good version in long runs of the detector alone and of a whole fleet.

use quality::{Config, Detector, Thresholds};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use types::prelude::*;

use super::{Case, FALSE_ALARM_REQUESTS, GOOD, Traffic, candidates, offer};
use crate::cli::BadVersion;
use crate::fleet::{Fleet, FleetConfig};
use crate::report::Report;

pub(super) fn run(report: &mut Report, options: &BadVersion) {
    let null = GOOD - Config::default().tolerance;
    let thresholds = Thresholds::new(null, FALSE_ALARM_REQUESTS);
    for (name, share) in [("at-the-null", thresholds.null), ("at-0.95", GOOD)] {
        let alarms = run_detector(&thresholds, share, options);
        let arm = format!("false-alarms/test-{name}");
        report.note(&arm, "ratings", options.ratings as f64);
        report.note(&arm, "alarms", alarms as f64);
        let alarms_per_million =
            alarms as f64 * FALSE_ALARM_REQUESTS / options.ratings.max(1) as f64;
        report.note(&arm, "alarms_per_million", alarms_per_million);
    }
    for (name, daemons) in [("8-daemons", 8), ("64-daemons", 64)] {
        run_fleet(report, options, name, daemons);
    }
}

fn run_detector(thresholds: &Thresholds, share: f64, options: &BadVersion) -> u64 {
    let mut rng = StdRng::seed_from_u64(options.seed);
    let mut detector = Detector::default();
    let mut alarms = 0;
    for _ in 0..options.ratings {
        let good = rng.random_bool(share);
        detector.add(thresholds, u64::from(good), u64::from(!good));
        if detector.level(thresholds) >= 1.0 {
            alarms += 1;
            detector = Detector::default();
        }
    }
    alarms
}

fn run_fleet(report: &mut Report, options: &BadVersion, name: &str, daemons: usize) {
    let cfg = FleetConfig {
        daemons,
        loss: 0.3,
        ..FleetConfig::default()
    };
    let mut traffic = Traffic {
        fleet: Fleet::new(cfg, options.seed),
        offer: offer(),
        candidates: candidates(Case::TurnsBad),
    };
    let tested = traffic.candidates[0].version.clone();
    let target_requests = options.loop_requests as f64;
    let served = traffic.serve_until(&tested, GOOD, |served, fleet| {
        served.requests >= target_requests || fleet.suspensions() > 0
    });
    let seconds = traffic.fleet.now.since(Time::ZERO).as_secs_f64();
    let arm = format!("false-alarms/whole-loop-{name}-loss");
    report.note(&arm, "requests", served.requests);
    let suspensions = traffic.fleet.suspensions();
    report.note(&arm, "suspensions", suspensions as f64);
    report.violations += suspensions as u64;
    let published = traffic.fleet.bytes as f64 / seconds;
    report.note(&arm, "fact_bytes_a_second_to_hear", published);
}

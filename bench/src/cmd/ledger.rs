//! `ledger`: cost of bills, and bills lost in crashes.
//!
//! The ledgers of a whole fleet run in one process in simulated time, with the stand-in store's
//! table. A message takes 0.2 to 0.8 ms one way, a call of the store 2 ms each way. Arms with
//! different fleet sizes and rates show how the cost scales. Crash arms take hosts down at random
//! times and count answers without a bill.

mod simulation;
mod store;

use crate::cli;
use crate::report::{Curve, Report};
use simulation::{ArmConfig, FinalCounts, Simulation};
use types::prelude::*;

/// Number of daemons and requests per second.
const LOADS: [(usize, u64); 5] = [(3, 333), (9, 100), (9, 1000), (36, 1000), (36, 4000)];
const LARGE_LOAD: (usize, u64) = (460, 30_000);
/// Load with the expected future rate per daemon, run with each of the hold intervals in
/// `HOLD_MILLIS`.
const HOLD_LOAD: (usize, u64) = (36, 2350);
const HOLD_MILLIS: [u64; 3] = [5, 20, 50];
/// Number of daemons and requests per second in the crash arms, as in the current fleet.
const CRASH_FLEET: (usize, u64) = (9, 1000);
/// Number of runs in each crash arm, each with a new fleet.
const RUNS_PER_CRASH_ARM: u64 = 40;
/// Duration of the load around a crash.
const CRASH_LOAD_DURATION: Span = Span::from_secs(12);

/// Runs all arms.
pub fn run(options: &cli::Ledger) -> eyre::Result<Report> {
    let mut report = Report::new("ledger", options.seed);
    measure_waiting(&mut report, options.seed)?;
    for load in LOADS {
        run_steady(&mut report, load, None, options);
    }
    for millis in HOLD_MILLIS {
        run_steady(
            &mut report,
            HOLD_LOAD,
            Some(Span::from_millis(millis)),
            options,
        );
    }
    if options.large {
        run_steady(&mut report, LARGE_LOAD, None, options);
    }
    for (name, cfg) in crash_arms() {
        run_crashes(&mut report, name, cfg, options.seed);
    }
    Ok(report)
}

/// Measures the memory of bills that wait for the store during an outage, up to the limit.
fn measure_waiting(report: &mut Report, seed: u64) -> eyre::Result<()> {
    let mut simulation = Simulation::new((1, 1000), seed, ArmConfig::default());
    let before = super::decide::resident_bytes()?;
    let bills = simulation.fill();
    let bytes = super::decide::resident_bytes()?.saturating_sub(before);
    report.note("waiting", "bills", bills as f64);
    report.note("waiting", "bytes_per_bill", bytes as f64 / bills as f64);
    Ok(())
}

fn crash_arms() -> [(&'static str, ArmConfig); 3] {
    let cfg = |hosts| ArmConfig {
        hosts,
        ..ArmConfig::default()
    };
    [
        ("crash/one-host", cfg(1)),
        (
            "crash/one-host-store-down",
            ArmConfig {
                store_down: true,
                ..cfg(1)
            },
        ),
        ("crash/daemon-and-its-holder", cfg(2)),
    ]
}

fn run_steady(report: &mut Report, load: (usize, u64), hold: Option<Span>, options: &cli::Ledger) {
    let mut arm = format!("steady/{}-daemons/{}-a-second", load.0, load.1);
    if let Some(hold) = hold {
        arm.push_str(&format!("/hold-{hold}"));
    }
    let span = Span::from_secs(options.seconds);
    let mut simulation = Simulation::new(
        load,
        options.seed,
        ArmConfig {
            hold,
            ..ArmConfig::default()
        },
    );
    simulation.run(span);
    let figures = simulation.figures(span);
    for (figure, value) in &figures {
        report.note(&arm, figure, *value);
    }
    for (part, bytes) in simulation.stored_bytes() {
        report.note(&arm, &format!("stored_bytes_{part}"), bytes as f64);
    }
    add_curve(report, &arm, &simulation);
    let end = simulation.settle();
    report.note(&arm, "answers", end.answered as f64);
    report.note(&arm, "lost", end.lost as f64);
    report.note(&arm, "doubled", end.doubled as f64);
    report.violations += end.lost + end.doubled;
}

fn add_curve(report: &mut Report, arm: &str, simulation: &Simulation) {
    let points = (1..100).map(|percent| {
        let micros = simulation
            .replication_delay()
            .value_at_quantile(f64::from(percent) / 100.0);
        (f64::from(percent), micros as f64 / 1e3)
    });
    report.curves.push(Curve {
        plot: "delay at the end of an answer (ms) by percentile".to_owned(),
        label: arm.to_owned(),
        points: points.collect(),
    });
}

/// Runs a crash arm with a new fleet for each crash, so that each crash has its own random time.
fn run_crashes(report: &mut Report, arm: &str, cfg: ArmConfig, seed: u64) {
    let mut totals = FinalCounts::default();
    for number in 0..RUNS_PER_CRASH_ARM {
        let mut simulation = Simulation::new(CRASH_FLEET, seed + number, cfg);
        simulation.run(CRASH_LOAD_DURATION);
        let end = simulation.settle();
        totals.answered += end.answered;
        totals.cut += end.cut;
        totals.lost += end.lost;
        totals.doubled += end.doubled;
    }
    report.note(arm, "crashes", RUNS_PER_CRASH_ARM as f64);
    report.note(arm, "answers", totals.answered as f64);
    report.note(arm, "answers_cut", totals.cut as f64);
    report.note(arm, "lost", totals.lost as f64);
    report.note(
        arm,
        "lost_per_crash",
        totals.lost as f64 / RUNS_PER_CRASH_ARM as f64,
    );
    report.note(arm, "doubled", totals.doubled as f64);
    // Losing a daemon together with the holder of its bills may lose bills by design.
    let lost = if cfg.hosts > 1 { 0 } else { totals.lost };
    report.violations += lost + totals.doubled;
}

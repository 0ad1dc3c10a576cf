//! `ledger`: what bills cost, and what a crash loses.
//!
//! Ledgers of a whole fleet in one process, in the fleet's own time, with the store's
//! stand-in as a table. A message takes 0.2 to 0.8 ms one way, a call of the store 2 ms each
//! way. Arms by fleet and rate give the slopes; arms of crashes lose hosts at random moments
//! and count answers without a bill.

mod simulation;
mod store;

use crate::cli;
use crate::report::{Curve, Report};
use simulation::{Arm, End, World};
use types::prelude::*;

/// Daemons and requests a second.
const LOADS: [(usize, u64); 5] = [(3, 333), (9, 100), (9, 1000), (36, 1000), (36, 4000)];
const LARGE: (usize, u64) = (460, 30_000);
/// A daemon's rate of the fleet to come, with charges gathered for so long.
const HOLD_LOAD: (usize, u64) = (36, 2350);
const HOLD_MILLIS: [u64; 3] = [5, 20, 50];
/// Fleet and rate of the arms of crashes: today's.
const CRASHED: (usize, u64) = (9, 1000);
/// Crashes of each such arm, a fleet each.
const CRASHES: u64 = 40;
/// Length of the load around a crash.
const CRASH_LOAD: Span = Span::from_secs(12);

/// Runs every arm.
pub fn run(options: &cli::Ledger) -> eyre::Result<Report> {
    let mut report = Report::new("ledger", options.seed);
    waiting(&mut report, options.seed)?;
    for load in LOADS {
        steady(&mut report, load, None, options);
    }
    for millis in HOLD_MILLIS {
        steady(
            &mut report,
            HOLD_LOAD,
            Some(Span::from_millis(millis)),
            options,
        );
    }
    if options.large {
        steady(&mut report, LARGE, None, options);
    }
    for (name, what) in crashes() {
        crash(&mut report, name, what, options.seed);
    }
    Ok(report)
}

/// Memory of bills that wait out an outage, up to the bound.
fn waiting(report: &mut Report, seed: u64) -> eyre::Result<()> {
    let mut world = World::new((1, 1000), seed, Arm::default());
    let before = super::decide::resident_bytes()?;
    let bills = world.fill();
    let bytes = super::decide::resident_bytes()?.saturating_sub(before);
    report.note("waiting", "bills", bills as f64);
    report.note("waiting", "bytes_per_bill", bytes as f64 / bills as f64);
    Ok(())
}

fn crashes() -> [(&'static str, Arm); 3] {
    let what = |hosts| Arm {
        hosts,
        ..Arm::default()
    };
    [
        ("crash/one-host", what(1)),
        (
            "crash/one-host-store-down",
            Arm {
                store_down: true,
                ..what(1)
            },
        ),
        ("crash/daemon-and-its-holder", what(2)),
    ]
}

fn steady(report: &mut Report, load: (usize, u64), hold: Option<Span>, options: &cli::Ledger) {
    let mut arm = format!("steady/{}-daemons/{}-a-second", load.0, load.1);
    if let Some(hold) = hold {
        arm.push_str(&format!("/hold-{hold}"));
    }
    let span = Span::from_secs(options.seconds);
    let mut world = World::new(
        load,
        options.seed,
        Arm {
            hold,
            ..Arm::default()
        },
    );
    world.run(span);
    let found = world.figures(span);
    for (figure, value) in &found {
        report.note(&arm, figure, *value);
    }
    for (part, bytes) in world.stored() {
        report.note(&arm, &format!("stored_bytes_{part}"), bytes as f64);
    }
    plot(report, &arm, &world);
    let end = world.settle();
    report.note(&arm, "answers", end.answered as f64);
    report.note(&arm, "lost", end.lost as f64);
    report.note(&arm, "doubled", end.doubled as f64);
    report.violations += end.lost + end.doubled;
}

fn plot(report: &mut Report, arm: &str, world: &World) {
    let points = (1..100).map(|percent| {
        let micros = world
            .custody()
            .value_at_quantile(f64::from(percent) / 100.0);
        (f64::from(percent), micros as f64 / 1e3)
    });
    report.curves.push(Curve {
        plot: "delay at the end of an answer (ms) by percentile".to_owned(),
        label: arm.to_owned(),
        points: points.collect(),
    });
}

/// One fleet for each crash, so that each has a moment of its own.
fn crash(report: &mut Report, arm: &str, what: Arm, seed: u64) {
    let mut all = End::default();
    for number in 0..CRASHES {
        let mut world = World::new(CRASHED, seed + number, what);
        world.run(CRASH_LOAD);
        let end = world.settle();
        all.answered += end.answered;
        all.cut += end.cut;
        all.lost += end.lost;
        all.doubled += end.doubled;
    }
    report.note(arm, "crashes", CRASHES as f64);
    report.note(arm, "answers", all.answered as f64);
    report.note(arm, "answers_cut", all.cut as f64);
    report.note(arm, "lost", all.lost as f64);
    report.note(arm, "lost_per_crash", all.lost as f64 / CRASHES as f64);
    report.note(arm, "doubled", all.doubled as f64);
    // The loss of a daemon and its holder at once is the window that is designed.
    let lost = if what.hosts > 1 { 0 } else { all.lost };
    report.violations += lost + all.doubled;
}

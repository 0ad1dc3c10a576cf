//! `config`: time until an accepted edit is in force at every daemon, and its cost.
//!
//! Daemons are real processes on loopback; the store is a stand-in that counts its calls. The time
//! at which a revision is in force is read from each daemon's own log, so that the measurement
//! doesn't disturb what is measured. Each fleet size runs idle, with steady edits and with a burst.
//! For comparison, some fleets run with every daemon watching the store itself. Fault arms follow.

mod edit;
mod faults;
mod fleet;

use std::time::{Duration, Instant};

use eyre::Context;

use crate::cli::Config;
use crate::report::{Curve, Report};
use edit::{EditAnswer, Editor};
use fleet::{Fleet, Usage};

/// Steady edits per second, about 27,000 per day.
const STEADY_RATE: f64 = 0.3;
/// Number of edits in a burst.
const BURST_EDITS: usize = 50;
/// Number of operators that make the burst concurrently.
const BURST_OPERATORS: usize = 5;
/// Time for the last revision to reach all daemons and their logs.
const SETTLING_TIME: Duration = Duration::from_secs(5);
/// Sizes of the fleets in which every daemon watches the store.
const NAIVE_FLEET_SIZES: [usize; 2] = [8, 32];

/// Runs the experiment.
pub fn run(options: &Config) -> eyre::Result<Report> {
    let mut report = Report::new("config", options.seed);
    let sizes = options.sizes.split(',').filter(|size| !size.is_empty());
    let sizes = sizes.map(|size| size.trim().parse::<usize>().wrap_err("--sizes"));
    let sizes = sizes.collect::<Result<Vec<_>, _>>()?;
    for size in &sizes {
        measure(options, *size, false, &mut report)?;
    }
    for size in NAIVE_FLEET_SIZES.iter().filter(|size| sizes.contains(size)) {
        measure(options, *size, true, &mut report)?;
    }
    if options.rounds > 0 {
        faults::run(options.rounds, &mut report)?;
    }
    add_curves(&sizes, &mut report);
    Ok(report)
}

/// Measures one fleet when idle, with steady edits and with a burst.
fn measure(options: &Config, size: usize, naive: bool, report: &mut Report) -> eyre::Result<()> {
    let kind = if naive {
        "every_daemon_watches"
    } else {
        "fleet"
    };
    let arm = format!("{kind}_{size:03}");
    let started = Instant::now();
    let fleet = Fleet::start(size, naive)?;
    fleet.wait_joined()?;
    report.note(&arm, "start_s", started.elapsed().as_secs_f64());
    std::thread::sleep(SETTLING_TIME * 2);
    let length = Duration::from_secs(options.seconds);

    let before = fleet.usage()?;
    std::thread::sleep(length);
    report_usage(&arm, "rest", &before, &fleet.usage()?, size, report);

    let before = fleet.usage()?;
    let steady = edit_steadily(&fleet, length)?;
    report_usage(&arm, "steady", &before, &fleet.usage()?, size, report);
    std::thread::sleep(SETTLING_TIME);

    let before = fleet.usage()?;
    let burst = edit_at_once(&fleet)?;
    std::thread::sleep(SETTLING_TIME);
    report_usage(&arm, "burst", &before, &fleet.usage()?, size, report);

    let logs = fleet.read_logs()?;
    report_propagation(&arm, "steady", &steady, &logs, report);
    report_propagation(&arm, "burst", &burst, &logs, report);
    report.violations += fleet::count_reverts(&logs);
    report.note(&arm, "resident_mb_max", fleet.max_resident_bytes()? / 1e6);
    Ok(())
}

fn edit_steadily(fleet: &Fleet, length: Duration) -> eyre::Result<Vec<EditAnswer>> {
    let mut editor = Editor::new("steady");
    let interval = Duration::from_secs_f64(1.0 / STEADY_RATE);
    let start = Instant::now();
    let mut answers = Vec::new();
    for round in 0.. {
        let due = interval * round;
        if due >= length {
            break;
        }
        std::thread::sleep(due.saturating_sub(start.elapsed()));
        let daemon = fleet.operator_address(round as usize);
        answers.push(editor.put(daemon, u64::from(round) + 1)?);
    }
    std::thread::sleep(length.saturating_sub(start.elapsed()));
    Ok(answers)
}

fn edit_at_once(fleet: &Fleet) -> eyre::Result<Vec<EditAnswer>> {
    let operator = |number: usize| -> eyre::Result<Vec<EditAnswer>> {
        let mut editor = Editor::new(&format!("burst-{number}"));
        let daemon = fleet.operator_address(number);
        let edits = 0..BURST_EDITS / BURST_OPERATORS;
        let answers = edits.map(|edit| editor.put(daemon, edit as u64 + 1));
        answers.collect()
    };
    let answers = std::thread::scope(|scope| {
        let operators = 0..BURST_OPERATORS;
        let threads = operators.map(|number| scope.spawn(move || operator(number)));
        let threads = threads.collect::<Vec<_>>();
        let joined = threads.into_iter().map(std::thread::ScopedJoinHandle::join);
        joined.collect::<Vec<_>>()
    });
    let mut all = Vec::new();
    for result in answers {
        all.extend(result.map_err(|_| eyre::eyre!("an operator's thread panicked"))??);
    }
    Ok(all)
}

/// Reports the time from the acceptance of each edit until it was in force at the last daemon.
fn report_propagation(
    arm: &str,
    phase: &str,
    answers: &[EditAnswer],
    logs: &[fleet::AppliedLog],
    report: &mut Report,
) {
    let accepted = answers.iter().filter_map(EditAnswer::accepted);
    let mut delays_ms = Vec::new();
    for (revision, at) in accepted {
        match fleet::in_force_everywhere(logs, revision) {
            Some(in_force_at) => delays_ms.push(in_force_at.0.saturating_sub(at.0)),
            None => report.violations += 1,
        }
    }
    delays_ms.sort_unstable();
    let refused = answers.len() - answers.iter().filter_map(EditAnswer::accepted).count();
    report.note(arm, &format!("{phase}_edits"), answers.len() as f64);
    report.note(arm, &format!("{phase}_not_accepted"), refused as f64);
    for (name, share) in [("p50", 0.5), ("p99", 0.99), ("max", 1.0)] {
        let index = ((delays_ms.len() as f64 * share).ceil() as usize).max(1) - 1;
        let value = delays_ms.get(index).map_or(f64::NAN, |ms| *ms as f64);
        report.note(arm, &format!("{phase}_everywhere_ms_{name}"), value);
    }
}

fn report_usage(
    arm: &str,
    phase: &str,
    before: &Usage,
    after: &Usage,
    size: usize,
    report: &mut Report,
) {
    let seconds = after.at.duration_since(before.at).as_secs_f64();
    let daemon_seconds = seconds * size as f64;
    let mut note = |name: &str, value: f64| report.note(arm, &format!("{phase}_{name}"), value);
    note(
        "cpu_percent",
        100.0 * (after.cpu - before.cpu) / daemon_seconds,
    );
    note("bytes_per_s", (after.bytes - before.bytes) / daemon_seconds);
    note(
        "messages_per_s",
        (after.messages - before.messages) / daemon_seconds,
    );
    let calls = after.store.calls() - before.store.calls();
    let leases = after.store.lease_renewals - before.store.lease_renewals;
    note("store_calls_per_s", calls as f64 / seconds);
    note("store_lease_renewals_per_s", leases as f64 / seconds);
    let ranges = after.store.ranges - before.store.ranges;
    note("store_ranges_per_s", ranges as f64 / seconds);
    let txns = after.store.txns - before.store.txns;
    note("store_txns_per_s", txns as f64 / seconds);
    note("store_open_watches", after.store.open_watches as f64);
}

fn add_curves(sizes: &[usize], report: &mut Report) {
    for (plot, figure) in [
        ("everywhere", "steady_everywhere_ms_p99"),
        ("everywhere", "burst_everywhere_ms_p99"),
        ("bytes", "steady_bytes_per_s"),
        ("store", "steady_store_calls_per_s"),
    ] {
        let value = |size: &usize| {
            let arm = report.arms.get(&format!("fleet_{size:03}"))?;
            Some((*size as f64, *arm.get(figure)?))
        };
        let points = sizes.iter().filter_map(value).collect();
        report.curves.push(Curve {
            plot: plot.to_owned(),
            label: figure.to_owned(),
            points,
        });
    }
}

//! `faults`: invariants of requests while a fault is injected every second, and while every daemon
//! is replaced, with real daemons, stand-ins and the workload of both users.
//!
//! One fleet serves both users' catalogues. Callers retry failed requests under the same request id
//! through another daemon, as their real clients do. What actually ran is counted from the
//! stand-ins' own records and compared with the answers that callers got.

mod balancer;
mod bills;
mod caller;
mod fleet;
mod injection;
mod mix;
mod oracle;

use std::time::Duration;

use crate::cli::Faults;
use crate::load::{self, Arrivals, Latencies, WorkerResult};
use crate::report::{Curve, Report};
use caller::{Caller, CallerRecord};
use fleet::Fleet;
use mix::RequestMix;
use oracle::Counts;

/// Faults that are injected in an arm.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum FaultMode {
    None,
    EverySecond,
    EachDaemonReplaced,
}

const ARMS: [(&str, FaultMode); 3] = [
    ("no_faults", FaultMode::None),
    ("fault_a_second", FaultMode::EverySecond),
    ("each_daemon_replaced", FaultMode::EachDaemonReplaced),
];
const WORKERS: usize = 512;
/// Time after the load for delayed effects, and for bills to reach the store.
const SETTLING_TIME: Duration = Duration::from_secs(4);

/// Runs the experiment.
pub fn run(options: &Faults) -> eyre::Result<Report> {
    let mut report = Report::new("faults", options.seed);
    for (arm, fault_mode) in ARMS {
        let counts = run_arm(options, fault_mode, arm, &mut report)?;
        counts.note(arm, &mut report);
        report.violations += counts.violations();
    }
    Ok(report)
}

fn run_arm(
    options: &Faults,
    fault_mode: FaultMode,
    arm: &str,
    report: &mut Report,
) -> eyre::Result<Counts> {
    let fleet = Fleet::start(options.daemons)?;
    let mix = RequestMix::new(&fleet.platform.entries, options.seed);
    let length = Duration::from_secs_f64(options.seconds);
    let arrivals = Arrivals::poisson(options.seed, options.rate, length);
    let balancer = fleet.balancer();
    let results = std::thread::scope(|scope| {
        let injected = scope.spawn(|| match fault_mode {
            FaultMode::None => Ok(Vec::new()),
            FaultMode::EverySecond => injection::run(&fleet, options.seed, length),
            FaultMode::EachDaemonReplaced => injection::replace_each(&fleet, length),
        });
        let connect = || Caller::new(&balancer, &mix);
        let results = load::open_loop(&arrivals, WORKERS, connect, Caller::act);
        (results, injected.join())
    });
    let (results, injected) = results;
    let results: Vec<WorkerResult<Vec<CallerRecord>>> = results?;
    let injected = injected.map_err(|_| eyre::eyre!("the fault injection thread panicked"))??;
    report.note(arm, "faults", injected.len() as f64);
    for (name, occurrences) in injection::count_by_kind(&injected) {
        report.note(arm, &format!("fault_{name}"), occurrences as f64);
    }
    std::thread::sleep(SETTLING_TIME);
    report_latencies(report, arm, &load::merge_latencies(&results));
    let records = results
        .into_iter()
        .flat_map(|s| s.notes)
        .collect::<Vec<_>>();
    oracle::count(&fleet, &records, &injected, options.verbose)
}

fn report_latencies(report: &mut Report, arm: &str, latencies: &Latencies) {
    report.note(arm, "idempotent_p50_ms", latencies.quantile_ms(0.5));
    report.note(arm, "idempotent_p99_ms", latencies.quantile_ms(0.99));
    report.curves.push(Curve {
        plot: "answers to idempotent requests, ms by share".to_owned(),
        label: arm.to_owned(),
        points: latencies.curve(),
    });
}

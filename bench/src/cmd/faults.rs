//! The promises on requests under a fault a second, and while every daemon is replaced:
//! real daemons, stand-ins, both users.
//!
//! One fleet serves both users' catalogues. Callers repeat what failed, under the same
//! request id and through another daemon, as their clients do. What really ran is counted
//! from the stand-ins' own records and compared with what callers were told.

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
use caller::{Caller, Told};
use fleet::Fleet;
use mix::Mix;
use oracle::Counts;

/// What goes wrong in an arm.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Wrong {
    Nothing,
    FaultASecond,
    EachDaemonReplaced,
}

const ARMS: [(&str, Wrong); 3] = [
    ("no_faults", Wrong::Nothing),
    ("fault_a_second", Wrong::FaultASecond),
    ("each_daemon_replaced", Wrong::EachDaemonReplaced),
];
const WORKERS: usize = 512;
/// After the load: for delayed effects and for bills to reach the store.
const SETTLE: Duration = Duration::from_secs(4);

/// Runs it.
pub fn run(options: &Faults) -> eyre::Result<Report> {
    let mut report = Report::new("faults", options.seed);
    for (arm, wrong) in ARMS {
        let counts = arm_counts(options, wrong, arm, &mut report)?;
        counts.note(arm, &mut report);
        report.violations += counts.violations();
    }
    Ok(report)
}

fn arm_counts(
    options: &Faults,
    wrong: Wrong,
    arm: &str,
    report: &mut Report,
) -> eyre::Result<Counts> {
    let fleet = Fleet::start(options.daemons)?;
    let mix = Mix::new(&fleet.platform.entries, options.seed);
    let length = Duration::from_secs_f64(options.seconds);
    let arrivals = Arrivals::poisson(options.seed, options.rate, length);
    let balancer = fleet.balancer();
    let seen = std::thread::scope(|scope| {
        let troubles = scope.spawn(|| match wrong {
            Wrong::Nothing => Ok(Vec::new()),
            Wrong::FaultASecond => injection::run(&fleet, options.seed, length),
            Wrong::EachDaemonReplaced => injection::replace_each(&fleet, length),
        });
        let connect = || Caller::new(&balancer, &mix);
        let seen = load::open_loop(&arrivals, WORKERS, connect, Caller::act);
        (seen, troubles.join())
    });
    let (seen, troubles) = seen;
    let seen: Vec<WorkerResult<Vec<Told>>> = seen?;
    let troubles = troubles.map_err(|_| eyre::eyre!("the thread of faults panicked"))??;
    report.note(arm, "faults", troubles.len() as f64);
    for (name, times) in injection::tally(&troubles) {
        report.note(arm, &format!("fault_{name}"), times as f64);
    }
    std::thread::sleep(SETTLE);
    note_latencies(report, arm, &load::merge_latencies(&seen));
    let told = seen.into_iter().flat_map(|s| s.notes).collect::<Vec<_>>();
    oracle::count(&fleet, &told, &troubles, options.verbose)
}

fn note_latencies(report: &mut Report, arm: &str, latencies: &Latencies) {
    report.note(arm, "idempotent_p50_ms", latencies.quantile_ms(0.5));
    report.note(arm, "idempotent_p99_ms", latencies.quantile_ms(0.99));
    report.curves.push(Curve {
        plot: "answers to idempotent requests, ms by share".to_owned(),
        label: arm.to_owned(),
        points: latencies.curve(),
    });
}

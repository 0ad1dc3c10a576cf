//! Upstreams that advertise a rate limit, behind a fleet of real daemons.

use std::path::PathBuf;
use std::time::Duration;

use soak::{Faults, Options, Outcome};

/// Runs a fleet with 6 workers, of which `limited` advertise a rate limit.
fn run_seed(seed: u64, daemons: usize, limited: usize, faults: Faults) -> Outcome {
    let outcome = soak::run(&Options {
        seed,
        faults_duration: Duration::from_secs(8),
        daemons,
        workers: 6,
        callers: 12,
        poison: None,
        limited,
        faults,
        program: PathBuf::from(env!("CARGO_BIN_EXE_buckthorncrossd")),
        other: None,
        logs: None,
    });
    let outcome = outcome.expect("the fleet starts");
    assert!(outcome.violations.is_empty(), "seed {seed}: {outcome}");
    assert!(outcome.tally.served > 0, "seed {seed}: {outcome}");
    outcome
}

#[test]
fn a_rate_limit_is_kept_by_the_whole_fleet() {
    // Fails if each daemon sends as if the upstream had advertised no limit.
    run_seed(36, 6, 2, Faults::Calm);
}

#[test]
fn a_rate_limit_is_kept_while_daemons_restart() {
    // Fails if a killed daemon's share of the limit is reused while it still counts, or never
    // freed.
    run_seed(37, 6, 2, Faults::Any);
}

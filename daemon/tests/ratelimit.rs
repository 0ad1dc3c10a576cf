//! Upstreams that advertise a rate limit, before a fleet of real daemons.

use std::path::PathBuf;
use std::time::Duration;

use soak::{Faults, Options, Outcome};

/// Runs a fleet before workers of which some advertise a limit.
fn play(seed: u64, daemons: usize, limited: usize, faults: Faults) -> Outcome {
    let outcome = soak::run(&Options {
        seed,
        faults_for: Duration::from_secs(8),
        daemons,
        workers: 6,
        callers: 12,
        has_poison: false,
        limited,
        faults,
        program: PathBuf::from(env!("CARGO_BIN_EXE_buckthorncrossd")),
        other: None,
        logs: None,
    });
    let outcome = outcome.expect("the scene starts");
    assert!(outcome.broken.is_empty(), "seed {seed}: {outcome}");
    assert!(outcome.tally.served > 0, "seed {seed}: {outcome}");
    outcome
}

#[test]
fn a_rate_limit_is_kept_by_the_whole_fleet() {
    // Each daemon sends as if the upstream had advertised nothing.
    play(36, 6, 2, Faults::Calm);
}

#[test]
fn a_rate_limit_is_kept_while_daemons_come_and_go() {
    // A killed daemon's part is taken over while it still counts, or never.
    play(37, 6, 2, Faults::Any);
}

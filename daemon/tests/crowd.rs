//! Callers that open most of their connections to one daemon, before workers that name a bound.

use std::time::Duration;

use soak::{Crowd, Faults, Options};

fn run(seed: u64, crowd: Crowd) {
    let outcome = soak::run(&Options {
        seed,
        faults_duration: Duration::from_secs(18),
        daemons: 6,
        workers: 6,
        callers: 20,
        crowd: Some(crowd),
        faults: Faults::Calm,
        ..Options::new(env!("CARGO_BIN_EXE_buckthorncrossd").into())
    });
    let outcome = outcome.expect("the fleet starts");
    assert!(outcome.violations.is_empty(), "seed {seed}: {outcome}");
    assert!(outcome.tally.served > 0, "seed {seed}: {outcome}");
}

/// The daemon with the callers had a sixth of what the workers' rates allow.
#[test]
fn a_crowded_daemon_serves_first_tries_before_workers_that_name_a_rate() {
    run(51, Crowd::Rate);
}

/// The daemon with the callers had a sixth of the room of brittle workers.
#[test]
fn a_crowded_daemon_serves_first_tries_before_brittle_workers() {
    run(52, Crowd::Brittle);
}

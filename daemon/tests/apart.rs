//! Configurations in a fleet whose daemons do not reach each other, or late.

use std::path::PathBuf;
use std::time::Duration;

use soak::{Faults, Options};

#[test]
fn a_configuration_is_in_force_though_connections_between_daemons_went_silent() {
    // Callers of some daemons are refused a route that operators added long ago, for up to 20 s, while
    // all others serve it. Every connection between daemons has gone silent, and new ones work. Such
    // a daemon hears from a few peers that the store is watched, so it does not watch; it knows that it
    // is behind, and its one question waits behind messages on a silent connection, which is kept.
    // Evidence: lines of those daemons, in this play: "a question was out for long", up to 22 s, after
    // which the configuration is in force within 10 ms.
    check(&Options {
        seed: 940,
        faults_for: Duration::from_secs(14),
        daemons: 24,
        faults: Faults::Muted,
        ..options()
    });
}

/// Daemons that heard others late counted a copy as current that had been superseded.
#[test]
fn a_daemon_that_hears_others_late_does_not_count_as_current() {
    check(&Options {
        seed: 4401,
        faults_for: Duration::from_secs(8),
        daemons: 12,
        faults: Faults::Slow,
        ..options()
    });
}

fn options() -> Options {
    Options {
        seed: 1,
        faults_for: Duration::from_secs(10),
        daemons: 3,
        workers: 3,
        callers: 2,
        faults: Faults::Any,
        has_poison: false,
        limited: 0,
        program: PathBuf::from(env!("CARGO_BIN_EXE_buckthorncrossd")),
        other: None,
        logs: None,
    }
}

fn check(options: &Options) {
    let outcome = soak::run(options).expect("the scene starts");
    assert!(outcome.broken.is_empty(), "{outcome}");
    assert!(outcome.tally.served > 0, "{outcome}");
}

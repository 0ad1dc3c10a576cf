//! A request that ends the upstreams which run it, sent to a fleet of real daemons.

use std::path::PathBuf;
use std::time::Duration;

use soak::{Faults, Options};

/// Runs a seed with such a request among its faults.
fn play(seed: u64, faults_for: u64, faults: Faults) {
    let outcome = soak::run(&Options {
        seed,
        faults_for: Duration::from_secs(faults_for),
        daemons: 4,
        workers: 8,
        callers: 4,
        faults,
        has_poison: true,
        limited: 0,
        program: PathBuf::from(env!("CARGO_BIN_EXE_buckthorncrossd")),
        other: None,
        logs: None,
    });
    let outcome = outcome.expect("the scene starts");
    assert!(outcome.broken.is_empty(), "seed {seed}: {outcome}");
    assert!(outcome.tally.served > 0, "seed {seed}: {outcome}");
}

#[test]
fn a_request_that_ends_upstreams_is_barred_by_all_daemons() {
    // A customer's request crashes each engine that begins to run it. Its caller sends it again
    // five times a second, under new ids, to whichever daemon is near. Each daemon meets it for
    // the first time, sends it to three engines, and forgets it: engines end for as long as the
    // caller goes on, and everybody's drafts end with them.
    // Evidence: in the first play of the incident the same content came by all six daemons, and
    // its ends followed each other for as long as it came, 36 to 48 in each 20 s.
    play(1, 6, Faults::Calm);
}

#[test]
fn a_daemon_that_starts_takes_no_bar_for_over() {
    // Daemons are killed and start again while such a request comes. One that starts reads the bar
    // in the store, finds by itself that chance may explain it, and deletes it; so everybody took
    // it for lifted, and five to nine more sends reached engines.
    play(88_004, 8, Faults::Any);
}

#[test]
fn words_of_before_a_lift_bar_nothing_again() {
    // The same; words on the ends went round after the lift, and the content was barred and
    // cleared by turns.
    play(88_005, 8, Faults::Any);
}

#[test]
fn a_bar_outlives_daemons_that_come_and_go() {
    // The same cause with other faults beside it.
    play(88_006, 8, Faults::Any);
}

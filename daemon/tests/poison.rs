//! A request that ends the upstreams which run it, sent to a fleet of real daemons.

use std::path::PathBuf;
use std::time::Duration;

use soak::Options;

#[test]
fn a_request_that_ends_upstreams_is_barred_by_all_daemons() {
    // A customer's request crashes each engine that begins to run it. Its caller sends it again
    // five times a second, under new ids, to whichever daemon is near. Each daemon meets it for
    // the first time, sends it to three engines, and forgets it: engines end for as long as the
    // caller goes on, and everybody's drafts end with them.
    // Evidence: in the first play of the incident the same content came by all six daemons, and
    // its ends followed each other for as long as it came, 36 to 48 in each 20 s.
    let outcome = soak::run(&Options {
        seed: 1,
        faults_for: Duration::from_secs(6),
        daemons: 4,
        workers: 8,
        callers: 4,
        is_calm: true,
        has_poison: true,
        program: PathBuf::from(env!("CARGO_BIN_EXE_buckthorncrossd")),
        logs: None,
    });
    let outcome = outcome.expect("the scene starts");
    assert!(outcome.broken.is_empty(), "{outcome}");
    assert!(outcome.tally.served > 0, "{outcome}");
}

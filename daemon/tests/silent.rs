//! Streams whose upstreams fall silent and go on, while daemons are restarted.

use std::time::Duration;

use soak::{Faults, Options};

/// Daemons ended streams of silent upstreams before another one had them.
#[test]
fn no_stream_is_ended_while_its_upstream_is_alive() {
    let outcome = soak::run(&Options {
        seed: 1,
        faults_duration: Duration::from_secs(14),
        daemons: 4,
        workers: 6,
        callers: 24,
        faults: Faults::Silent,
        ..Options::new(env!("CARGO_BIN_EXE_buckthorncrossd").into())
    });
    let outcome = outcome.expect("the fleet starts");
    assert!(outcome.violations.is_empty(), "{outcome}");
    assert!(outcome.tally.served > 0, "{outcome}");
}

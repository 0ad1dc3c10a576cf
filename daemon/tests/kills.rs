//! Retries that workers get from all daemons together, while these are killed again and again.

use std::path::PathBuf;
use std::time::Duration;

use soak::{Faults, Options};

/// Each start would grant retries anew that the killed processes had spent.
#[test]
fn workers_get_no_more_retries_than_allowed_while_daemons_are_killed() {
    let program = PathBuf::from(env!("CARGO_BIN_EXE_buckthorncrossd"));
    let options = Options {
        seed: 2,
        faults_duration: Duration::from_secs(14),
        daemons: 6,
        workers: 6,
        callers: 16,
        faults: Faults::Kills,
        ..Options::new(program)
    };
    let outcome = soak::run(&options).expect("it runs");
    println!("{outcome}");
    assert!(outcome.violations.is_empty(), "{outcome}");
}

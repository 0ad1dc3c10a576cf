//! Some seeds of the fault soak, and every seed that ever failed.

use std::path::PathBuf;
use std::time::Duration;

use soak::{Faults, Options};

/// Seeds that failed once, each with its cause, and some others.
const SEEDS: [u64; 2] = [1, 2];

#[test]
fn promises_are_kept_under_faults() {
    // Daemons are killed, paused and stopped, their ways harmed, the store and workers fail,
    // all of it overlapping, while callers keep their connections. None of them may see a
    // request run twice, a false refusal, another's answer or a gap in a stream.
    for seed in SEEDS {
        let outcome = soak::run(&Options {
            seed,
            faults_for: Duration::from_secs(6),
            daemons: 3,
            workers: 3,
            callers: 6,
            faults: Faults::Any,
            has_poison: false,
            limited: 0,
            program: PathBuf::from(env!("CARGO_BIN_EXE_buckthorncrossd")),
            other: None,
            logs: None,
        });
        let outcome = outcome.expect("the scene starts");
        assert!(outcome.broken.is_empty(), "seed {seed}: {outcome}");
        assert!(outcome.tally.served > 0, "seed {seed}: {outcome}");
    }
}

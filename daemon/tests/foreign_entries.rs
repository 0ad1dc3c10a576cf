//! Entries of another program among those of the workers, before real daemons.

use std::time::Duration;

use soak::{Faults, Options};

/// Daemons that read an odd entry ended again and again, or stopped following the store.
#[test]
fn foreign_entries_do_no_harm() {
    for (seed, faults) in [(82, Faults::Calm), (83, Faults::Any)] {
        let outcome = soak::run(&Options {
            seed,
            faults_duration: Duration::from_secs(8),
            foreign_entries: true,
            faults,
            ..Options::new(env!("CARGO_BIN_EXE_buckthorncrossd").into())
        });
        let outcome = outcome.expect("the fleet starts");
        assert!(outcome.violations.is_empty(), "seed {seed}: {outcome}");
        assert!(outcome.tally.served > 0, "seed {seed}: {outcome}");
    }
}

//! Simulates parts of prompts that crash upstreams, in requests of which no two are alike.

use types::prelude::*;

use crate::seeds;
use crate::simulation::{Fleet, Outcome, Position, Scenario};

/// Upstreams that a part may crash.
const MAX_CRASHES: usize = 5;
/// Least share of the ordinary requests that is served beside such a part.
const MIN_SERVED: f64 = 0.95;

/// A fleet with a part that crashes upstreams in eight requests a second.
fn scenario(position: Position) -> Scenario {
    Scenario {
        position: Some(position),
        culprit_per_s: 8.0,
        seconds: 40,
        requests_per_s: 100.0,
        ..Scenario::default()
    }
}

/// Runs a scenario with several seeds. Returns the worst of each figure, but sums of the request
/// counts.
fn run(name: &str, scenario: &Scenario, usual: u64) -> Outcome {
    let mut all = Outcome::default();
    for seed in 1..=seeds(usual) {
        let one = Fleet::run(&Scenario {
            seed,
            ..scenario.clone()
        });
        all.add(&one);
    }
    println!("{name}: {all:?}");
    all
}

/// Runs a scenario with a culprit and checks the bounds.
fn check(name: &str, scenario: &Scenario, usual: u64) {
    let all = run(name, scenario, usual);
    assert!(all.crashes > 0, "{name}: no upstream crashed: {all:?}");
    assert!(all.crashes_of_one <= MAX_CRASHES, "{name}: {all:?}");
    assert_eq!(all.sends_after_five, 0, "{name}: {all:?}");
    let served = all.served_beside as f64 / all.beside as f64;
    assert!(served >= MIN_SERVED, "{name}: {served:.3} served: {all:?}");
}

#[test]
fn a_first_part_that_crashes_upstreams_is_quarantined() {
    check("first", &scenario(Position::First), 8);
}

#[test]
fn a_later_part_that_crashes_upstreams_is_quarantined() {
    check("later", &scenario(Position::Later), 8);
}

#[test]
fn a_part_that_crashes_upstreams_is_quarantined_in_a_large_fleet() {
    let scenario = Scenario {
        daemons: 300,
        upstreams: 120,
        requests_per_s: 400.0,
        ..scenario(Position::Later)
    };
    check("later, 300 daemons", &scenario, 2);
}

#[test]
fn two_parts_that_crash_upstreams_are_distinguished() {
    let scenario = Scenario {
        culprits: 2,
        ..scenario(Position::Later)
    };
    check("two parts", &scenario, 8);
}

#[test]
fn a_part_that_crashes_upstreams_before_any_sign_is_quarantined() {
    let scenario = Scenario {
        shows_start: false,
        ..scenario(Position::Later)
    };
    check("no sign", &scenario, 8);
}

#[test]
fn a_part_is_quarantined_though_updates_are_lost() {
    let scenario = Scenario {
        update_loss: 0.3,
        ..scenario(Position::Later)
    };
    check("updates lost", &scenario, 8);
}

#[test]
fn a_part_is_quarantined_among_many_other_crashes() {
    let scenario = Scenario {
        crashes_per_s: 0.01,
        ..scenario(Position::Later)
    };
    check("crashes beside it", &scenario, 8);
}

#[test]
fn a_part_is_quarantined_beside_the_loss_of_a_failure_domain() {
    let scenario = Scenario {
        rack_losses: Some((Span::from_secs(7), 0.3)),
        ..scenario(Position::Later)
    };
    check("a failure domain lost beside it", &scenario, 8);
}

#[test]
fn a_part_is_quarantined_beside_a_version_that_crashes() {
    let scenario = Scenario {
        bad_version: Some((2, 0.2)),
        ..scenario(Position::First)
    };
    check("a bad version beside it", &scenario, 8);
}

#[test]
fn a_part_of_one_customer_is_quarantined_in_a_large_fleet() {
    let scenario = Scenario {
        daemons: 88,
        upstreams: 90,
        requests_per_s: 300.0,
        of_one: true,
        ..scenario(Position::First)
    };
    check("first, one customer, 88 daemons", &scenario, 2);
}

#[test]
fn no_part_is_quarantined_for_crashes_by_themselves() {
    for (name, scenario) in crashing_scenarios() {
        let all = run(name, &scenario, 8);
        assert!(all.hit > 100, "{name}: too few were hit: {all:?}");
        assert_eq!(all.refused, 0, "{name}: {all:?}");
    }
}

/// Fleets whose upstreams crash by themselves.
fn crashing_scenarios() -> [(&'static str, Scenario); 3] {
    let calm = Scenario {
        culprits: 0,
        ..scenario(Position::Later)
    };
    let crashes = Scenario {
        crashes_per_s: 0.05,
        ..calm.clone()
    };
    let losses = Scenario {
        rack_losses: Some((Span::from_secs(7), 0.3)),
        ..calm.clone()
    };
    let bad_version = Scenario {
        bad_version: Some((2, 0.2)),
        ..calm
    };
    [
        ("none, crashes", crashes),
        ("none, a failure domain lost", losses),
        ("none, a bad version", bad_version),
    ]
}

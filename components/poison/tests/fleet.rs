//! Simulates the two errors of a quarantine: a culprit that is still sent after it was detected,
//! and harmless requests that are refused.
//!
//! `BUCKTHORNCROSS_PLAY_SEEDS=60 cargo test --release -p poison --test fleet -- --nocapture` runs
//! more seeds and prints the figures.

#[path = "fleet/parts.rs"]
mod parts;
#[path = "support/simulation.rs"]
mod simulation;

use simulation::{Fleet, Outcome, Scenario};
use types::prelude::*;

/// Attempts of a culprit that may reach an upstream later than three seconds after its third
/// crash.
const LATE_SENDS: usize = 3;
/// At most one of this many harmless requests that lost an upstream may be refused.
const HIT_PER_REFUSED: usize = 100;

/// Number of seeds to run: `usual`, unless the environment asks for another number.
fn seeds(usual: u64) -> u64 {
    let requested = std::env::var("BUCKTHORNCROSS_PLAY_SEEDS").ok();
    requested
        .and_then(|text| text.parse().ok())
        .unwrap_or(usual)
}

/// Runs a scenario with several seeds and checks the bounds. Returns the worst of each figure, but
/// sums of the request counts.
fn run(name: &str, scenario: &Scenario, usual: u64) -> Outcome {
    let mut all = Outcome::default();
    for seed in 1..=seeds(usual) {
        let one = Fleet::run(&Scenario {
            seed,
            ..scenario.clone()
        });
        assert!(one.late_sends <= LATE_SENDS, "{name}, seed {seed}: {one:?}");
        all.add(&one);
    }
    println!("{name}: {all:?}");
    assert!(
        all.refused * HIT_PER_REFUSED <= all.hit,
        "too many harmless requests were refused: {all:?}"
    );
    all
}

#[test]
fn culprit_is_quarantined_whichever_daemon_it_reaches() {
    let all = run("one", &Scenario::default(), 8);
    assert!(all.crashes > 0, "no upstream crashed: {all:?}");
}

#[test]
fn culprit_is_quarantined_as_soon_in_a_large_fleet() {
    // Each daemon sees the request for the first time; updates cross the fleet in some rounds.
    let scenario = Scenario {
        daemons: 88,
        upstreams: 90,
        seconds: 30,
        requests_per_s: 200.0,
        ..Scenario::default()
    };
    run("one, 88 daemons", &scenario, 2);
}

#[test]
fn culprit_is_quarantined_though_updates_are_lost() {
    let scenario = Scenario {
        update_loss: 0.3,
        ..Scenario::default()
    };
    run("one, updates lost", &scenario, 8);
}

#[test]
fn several_culprits_at_once_are_distinguished() {
    // Three culprits hit one pool. They wait next to each other, are retried at the same moments,
    // and each is in flight at crashes that another one causes.
    let scenario = Scenario {
        culprits: 3,
        ..Scenario::default()
    };
    run("three at once", &scenario, 8);
}

#[test]
fn culprit_is_quarantined_in_a_small_pool_without_start_signs() {
    // Four upstreams that never show when they start to process a request.
    let scenario = Scenario {
        upstreams: 4,
        shows_start: false,
        ..Scenario::default()
    };
    run("one, four upstreams without signs", &scenario, 8);
}

#[test]
fn culprit_is_quarantined_among_many_other_crashes() {
    let scenario = Scenario {
        crashes_per_s: 0.05,
        rack_losses: Some((Span::from_secs(7), 0.3)),
        ..Scenario::default()
    };
    run("one, crashes beside it", &scenario, 8);
}

#[test]
fn few_harmless_requests_are_refused_among_many_crashes() {
    // Upstreams crash by themselves, a third of them at one moment every seven seconds. A tenth of
    // all requests lose one, some lose three, and none of them caused a crash.
    let scenario = Scenario {
        culprits: 0,
        crashes_per_s: 0.05,
        rack_losses: Some((Span::from_secs(7), 0.3)),
        ..Scenario::default()
    };
    let all = run("none, crashes", &scenario, 8);
    assert!(all.hit > 1_000, "too few were hit: {all:?}");
}

#[test]
fn repeat_culprits_of_one_customer_crash_fewer_upstreams() {
    // Six culprits, a new one every five seconds, all of one customer or each of another one.
    let scenario = Scenario {
        culprits: 6,
        culprit_gap: Span::from_secs(5),
        ..Scenario::default()
    };
    let crashes = |of_one| {
        let scenario = Scenario {
            of_one,
            ..scenario.clone()
        };
        let results = (1..=seeds(6)).map(|seed| {
            Fleet::run(&Scenario {
                seed,
                ..scenario.clone()
            })
        });
        let results = results.collect::<Vec<_>>();
        let sum = |f: fn(&Outcome) -> usize| results.iter().map(f).sum::<usize>();
        let (crashes, hit, refused) = (sum(|r| r.crashes), sum(|r| r.hit), sum(|r| r.refused));
        println!(
            "six in turn, one customer {of_one}: {crashes} crashes, {hit} hit, {refused} refused"
        );
        crashes
    };
    let (of_one, of_six) = (crashes(true), crashes(false));
    assert!(
        of_one * 10 <= of_six * 9,
        "{of_one} crashes with one customer, {of_six} with six"
    );
}

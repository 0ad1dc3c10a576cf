//! Requests that wait while a slot is free elsewhere, in simulated fleets that play the same
//! arrivals by different strategies to choose.

#[path = "support/simulation.rs"]
mod simulation;

use simulation::{Outcome, Scenario, Strategy, run};
use types::prelude::*;

const SEEDS: u64 = 3;
/// Error of a share of some 9,000 requests, which wait in runs.
const NOISE: f64 = 0.02;

fn at(secs: u64) -> Time {
    Time::ZERO + Span::from_secs(secs)
}

/// Plays a scenario by a strategy with several seeds.
fn play(scenario: &Scenario, strategy: Strategy) -> Outcome {
    let mut all = Outcome::default();
    for seed in 1..=SEEDS {
        all.add(run(
            &Scenario {
                seed,
                ..scenario.clone()
            },
            strategy,
        ));
    }
    all
}

/// Plays a scenario by several strategies, each in a thread, and prints the figures.
fn compare<const N: usize>(
    what: &str,
    scenario: &Scenario,
    strategies: [Strategy; N],
) -> [Outcome; N] {
    let outcomes = std::thread::scope(|scope| {
        let plays = strategies.map(|strategy| scope.spawn(move || play(scenario, strategy)));
        plays.map(|played| played.join().expect("a play"))
    });
    for (strategy, outcome) in strategies.iter().zip(&outcomes) {
        println!(
            "{what}, {} daemons, {} upstreams: {strategy:?}: waited {:.3}, far {:.2}, p99 {:.0} ms, rejected {}",
            scenario.daemons,
            scenario.upstreams,
            outcome.waited_share(),
            outcome.far_share(),
            outcome.p99_ms(),
            outcome.rejected
        );
    }
    outcomes
}

/// Asserts that fewer requests wait than by the present choice and by a random one.
fn assert_better(what: &str, scenario: &Scenario, gain: f64) {
    let [balanced, present, random] = compare(
        what,
        scenario,
        [Strategy::Balanced, Strategy::Present, Strategy::Random],
    );
    let waited = balanced.waited_share();
    for (other, outcome) in [("present", &present), ("random", &random)] {
        let most = outcome.waited_share() - gain;
        assert!(
            waited <= most,
            "{what}: {waited:.3}, {other} {:.3}",
            outcome.waited_share()
        );
    }
    let rejected = present.rejected.min(random.rejected);
    assert!(
        balanced.rejected <= rejected,
        "{what}: {} rejected",
        balanced.rejected
    );
}

fn scenarios(daemons: usize) -> [(&'static str, Scenario); 9] {
    let base = Scenario {
        daemons,
        ..Scenario::default()
    };
    let with = |change: fn(&mut Scenario)| {
        let mut scenario = base.clone();
        change(&mut scenario);
        scenario
    };
    [
        ("undisturbed", base.clone()),
        (
            "late and reordered",
            with(|s| s.delay = Span::from_millis(900)),
        ),
        ("half lost", with(|s| s.lost = 0.5)),
        ("restart", with(|s| s.restarts_at = Some(at(9)))),
        ("false report", with(|s| s.false_reports = true)),
        ("frozen daemons", with(|s| s.frozen = Some((at(6), at(10))))),
        ("partition", with(|s| s.halves = Some((at(5), at(15))))),
        ("leave and join", with(|s| s.away = Some((at(6), at(11))))),
        ("callers in one domain", with(|s| s.skewed = 2.0)),
    ]
}

/// Old reports would steer all daemons to the same upstream.
#[test]
fn a_fleet_of_sixteen_waits_less_often() {
    for (what, scenario) in scenarios(16) {
        assert_better(what, &scenario, 0.04);
    }
}

/// The same where only some of the peers are known.
#[test]
fn a_fleet_of_forty_waits_less_often() {
    for (what, scenario) in scenarios(40) {
        assert_better(what, &scenario, 0.0);
    }
}

/// Where each daemon sends few requests, nothing is known in time; the choice must be no worse.
#[test]
fn a_fleet_of_88_waits_no_more_often() {
    for (what, scenario) in scenarios(88) {
        assert_better(what, &scenario, -NOISE);
    }
}

/// The same with a tenth of the peers known.
#[test]
fn a_fleet_of_300_waits_no_more_often() {
    let scenario = Scenario {
        daemons: 300,
        ..Scenario::default()
    };
    assert_better("undisturbed", &scenario, -NOISE);
}

/// All daemons of a large fleet would choose an instance that has restarted for their next request,
/// more requests than its slots and its queue hold.
#[test]
fn an_upstream_that_restarts_is_not_overrun() {
    let scenario = Scenario {
        daemons: 300,
        restarts_at: Some(at(9)),
        length: Span::from_secs(11),
        ..Scenario::default()
    };
    let [balanced] = compare("short restart", &scenario, [Strategy::Balanced]);
    assert_eq!(balanced.rejected, 0);
}

/// A service with many slots for each daemon would not be chosen as before.
#[test]
fn a_fleet_of_six_chooses_as_before() {
    let scenario = Scenario {
        daemons: 6,
        ..Scenario::default()
    };
    let [balanced, present] = compare(
        "few daemons",
        &scenario,
        [Strategy::Balanced, Strategy::Present],
    );
    assert_eq!(balanced.waited, present.waited);
    assert_eq!(balanced.far, present.far);
}

/// The figures of the design note.
#[test]
#[ignore = "prints the figures of the strategies that were weighed"]
fn strategies() {
    for daemons in [6, 40, 88, 300] {
        let scenario = Scenario {
            daemons,
            ..Scenario::default()
        };
        compare("strategies", &scenario, Strategy::ALL);
    }
}

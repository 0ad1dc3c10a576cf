//! Tests of whole roll-outs by a simulated fleet.

#[path = "support/rollout_fleet.rs"]
mod rollout_fleet;

use dispatch::TrialLimits;
use rollout_fleet::{Fault, Fleet, Outcome, Scenario, StoreFault};
use routes::RolloutState;

/// Fleets of today's sizes and beyond, each with a small service.
const FLEETS: [Scenario; 5] = [
    fleet(6, 4, 45.0, 18.0, 0.15),
    fleet(9, 4, 34.0, 20.0, 0.15),
    fleet(30, 5, 110.0, 17.0, 0.15),
    fleet(82, 7, 240.0, 21.6, 0.0975),
    fleet(295, 8, 262.0, 24.0, 0.0975),
];

const STORES: [StoreFault; 5] = [
    StoreFault::None,
    StoreFault::Slow(0.4),
    StoreFault::Slow(2.0),
    StoreFault::LostAnswers,
    StoreFault::LateAnswers(2.0),
];

const fn fleet(daemons: usize, upstreams: usize, rate: f64, secs: f64, exposure: f64) -> Scenario {
    Scenario {
        daemons,
        upstreams,
        rate,
        growth: 1.0,
        secs,
        limits: TrialLimits {
            exposure,
            allowance: 30.0,
        },
        fault: Fault::None,
        store: StoreFault::None,
        seed: 0,
    }
}

/// Roll-outs of a fault, by what became of them.
#[derive(Debug, Default)]
struct Tally {
    played: u32,
    completed: u32,
    late: u32,
    reverted: u32,
    both: u32,
    over_bound: u32,
    sent: u32,
    no_version: u32,
}

impl Tally {
    fn add(&mut self, scenario: &Scenario, outcome: &Outcome) {
        let is_completed = outcome.has(RolloutState::Completed);
        let is_reverted = outcome.has(RolloutState::Reverted);
        self.played += 1;
        self.completed += u32::from(is_completed);
        self.late += u32::from(!is_reverted && !outcome.is_completed_by(scenario.secs));
        self.reverted += u32::from(is_reverted);
        self.both += u32::from(is_completed && is_reverted);
        self.over_bound += u32::from(f64::from(outcome.sent) > outcome.allowed);
        self.sent += outcome.sent;
        self.no_version += u32::from(outcome.has_lost_all_versions);
    }
}

/// Each fleet with each of some stores or faults.
fn each<T: Copy>(fleets: &[Scenario], others: &[T]) -> impl Iterator<Item = (Scenario, T)> {
    let with_others = |fleet: &Scenario| {
        let fleet = *fleet;
        others.iter().map(move |other| (fleet, *other))
    };
    fleets.iter().flat_map(with_others)
}

/// Plays a roll-out and describes it for a failed check.
fn play(scenario: Scenario) -> (Outcome, String) {
    let outcome = Fleet::new(scenario).play();
    let what = format!("{scenario:?}: {outcome:?}");
    (outcome, what)
}

#[test]
fn a_service_is_never_left_without_a_version() {
    // Guards against a completion and a reversal of one roll-out: either version's upstreams leave.
    let fault = Fault::UnderLoad(0.28);
    for (base, store) in each(&FLEETS[..3], &STORES) {
        for seed in 0..6 {
            let (outcome, what) = play(Scenario {
                fault,
                store,
                seed,
                ..base
            });
            assert!(!outcome.has_lost_all_versions, "{what}");
            let states = outcome.states.iter().map(|(state, _)| state);
            assert!(
                states.filter(|state| state.is_final()).count() <= 1,
                "{what}"
            );
        }
    }
}

#[test]
fn a_version_that_fails_under_load_is_not_completed() {
    // Guards against a completion before any upstream of the new version was loaded.
    let fault = Fault::UnderLoad(0.28);
    for (base, store) in each(&FLEETS, &STORES) {
        for seed in 0..2 {
            let (outcome, what) = play(Scenario {
                fault,
                store,
                seed,
                ..base
            });
            assert!(!outcome.has(RolloutState::Completed), "{what}");
            assert!(f64::from(outcome.sent) <= outcome.allowed, "{what}");
        }
    }
}

/// A completion recorded before the version has had all of the traffic cannot be undone.
#[test]
fn a_version_that_fails_with_all_traffic_is_rarely_completed() {
    let mut total = Tally::default();
    for (base, store) in each(&FLEETS, &STORES[..2]) {
        for seed in 0..4 {
            let scenario = Scenario {
                fault: Fault::AllTraffic(0.5),
                store,
                seed,
                ..base
            };
            total.add(&scenario, &Fleet::new(scenario).play());
        }
    }
    assert!(total.completed * 10 <= total.played, "{total:?}");
}

#[test]
fn a_good_version_is_completed_in_time_by_a_store_that_is_slow_to_answer() {
    // Guards against tests of a new version that leave no time for the write.
    let stores = [
        StoreFault::None,
        StoreFault::Slow(0.4),
        StoreFault::LostAnswers,
        StoreFault::LateAnswers(2.0),
    ];
    for (base, store) in each(&FLEETS, &stores) {
        for seed in 0..2 {
            let (outcome, what) = play(Scenario {
                store,
                seed,
                ..base
            });
            assert!(outcome.is_completed_by(base.secs), "{what}");
        }
    }
}

/// `BUCKTHORNCROSS_ROLLOUTS` plays so many of each, by fleets of all sizes, to count outcomes.
#[test]
fn no_rollout_ends_in_both_states() {
    let cases = std::env::var("BUCKTHORNCROSS_ROLLOUTS").ok();
    let (fleets, cases) = match cases {
        Some(cases) => (&FLEETS[..], cases.parse().expect("a number")),
        None => (&FLEETS[..3], 1),
    };
    let faults = [
        Fault::None,
        Fault::Errors(0.3),
        Fault::UnderLoad(0.28),
        Fault::UnderLoad(0.15),
        Fault::OneKind(0.5),
        Fault::AllTraffic(0.5),
        Fault::AllTraffic(0.28),
    ];
    for (base, fault) in each(fleets, &faults) {
        for store in STORES {
            let tally = tally(
                Scenario {
                    fault,
                    store,
                    ..base
                },
                cases,
            );
            println!("{:3} {fault:?} {store:?}: {tally:?}", base.daemons);
            assert_eq!((tally.both, tally.no_version), (0, 0));
        }
    }
}

fn tally(base: Scenario, cases: u64) -> Tally {
    let mut tally = Tally::default();
    for seed in 0..cases {
        let growth = if seed % 3 == 2 { 1.4 } else { 1.0 };
        let scenario = Scenario {
            growth,
            seed,
            ..base
        };
        tally.add(&scenario, &Fleet::new(scenario).play());
    }
    tally
}

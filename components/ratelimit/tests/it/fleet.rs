//! Checks that fleets of 6 to 300 daemons keep limits while daemons are killed, partitioned or
//! join, and while messages are lost.

use types::prelude::*;

use crate::world::{Outcome, Scenario, simulate, simulate_first_tries};

const FLEETS: [usize; 4] = [6, 20, 88, 300];

/// Scenarios for fleets of all sizes, with a load that grows with the fleet and three seeds
/// each.
fn scenarios(change: impl Fn(&mut Scenario)) -> impl Iterator<Item = Scenario> {
    FLEETS.into_iter().flat_map(move |daemons| {
        let mut scenario = Scenario {
            daemons,
            requests_per_s: 60.0 + 3.0 * daemons as f64,
            ..Scenario::default()
        };
        change(&mut scenario);
        let base_seed = scenario.seed;
        (0..3).map(move |n| Scenario {
            seed: base_seed * 100 + n,
            ..scenario.clone()
        })
    })
}

fn limited_outcomes(scenario: &Scenario) -> Vec<(f64, Outcome)> {
    limited(scenario, simulate(scenario))
}

fn limited(scenario: &Scenario, outcomes: Vec<Outcome>) -> Vec<(f64, Outcome)> {
    let limits = scenario.limits.iter().zip(outcomes);
    limits
        .filter_map(|(l, outcome)| Some(((*l)?, outcome)))
        .collect()
}

/// Checks all requests, including those by daemons that no answer had informed of the limit.
fn check_all(scenario: &Scenario) {
    check_outcomes(scenario, &limited_outcomes(scenario));
}

fn check_outcomes(scenario: &Scenario, outcomes: &[(f64, Outcome)]) {
    for (limit, outcome) in outcomes {
        let allowed = Outcome::allowed(*limit);
        assert!(
            outcome.worst <= allowed,
            "{limit}/s: {outcome:?}, {scenario:?}"
        );
    }
}

/// Checks the requests by daemons that an answer had informed of the limit.
fn check_informed(scenario: &Scenario) {
    for (limit, outcome) in limited_outcomes(scenario) {
        let allowed = Outcome::allowed(limit);
        assert!(
            outcome.worst_informed <= allowed,
            "{limit}/s: {outcome:?}, {scenario:?}"
        );
    }
}

#[test]
fn a_limit_is_kept_by_fleets_of_any_size() {
    scenarios(|_| {}).for_each(|scenario| check_all(&scenario));
}

#[test]
fn a_limit_far_below_or_above_one_a_second_is_kept() {
    let limits = || vec![Some(0.05), Some(0.5), Some(9.0), Some(40.0), None];
    scenarios(|scenario| scenario.limits = limits()).for_each(|scenario| check_all(&scenario));
}

#[test]
fn limits_of_all_upstreams_are_kept_and_used() {
    let limits = || (0..12).map(|n| Some(2.0 + f64::from(n) / 10.0)).collect();
    for scenario in scenarios(|scenario| scenario.limits = limits()) {
        check_all(&scenario);
        let seconds = (scenario.advertised.1 - scenario.advertised.0 - 3) as f64;
        let (allowed, used) = limited_outcomes(&scenario)
            .iter()
            .fold((0.0, 0), |sum, (limit, outcome)| {
                (sum.0 + limit * seconds, sum.1 + outcome.limited)
            });
        let share = used as f64 / allowed;
        assert!(
            share > 0.7,
            "{share} of what the limits allow, {scenario:?}"
        );
    }
}

// The shares of other daemons are idle while one has the callers.
#[test]
fn limits_are_used_while_one_daemon_gets_most_requests() {
    let limits = || (0..12).map(|n| Some(2.0 + f64::from(n) / 10.0)).collect();
    let used = |scenario: &Scenario| {
        let outcomes = limited_outcomes(scenario);
        let used = outcomes.iter().map(|(_, outcome)| outcome.limited);
        used.sum::<usize>() as f64
    };
    for scenario in scenarios(|scenario| {
        scenario.limits = limits();
        scenario.requests_per_s = 30.0;
    }) {
        let skewed = Scenario {
            skewed: Some((8, 30)),
            ..scenario.clone()
        };
        check_all(&skewed);
        let share = used(&skewed) / used(&scenario);
        assert!(share >= 0.75, "{share} of the usual requests, {skewed:?}");
    }
}

/// Checks that first tries are served at least three quarters as often as before while one daemon
/// gets most requests, from four seconds on.
fn check_first_tries(scenario: &Scenario) {
    let skewed = Scenario {
        limits: vec![Some(24.0); 12],
        requests_per_s: 220.0,
        advertised: (5, 38),
        skewed: Some((18, 38)),
        retries: true,
        ..scenario.clone()
    };
    let (outcomes, first_tries) = simulate_first_tries(&skewed, [(12, 18), (22, 38)]);
    check_outcomes(&skewed, &limited(&skewed, outcomes));
    let [before, crowded] = first_tries;
    let share = crowded.share() / before.share();
    assert!(share >= 0.75, "{before:?}, {crowded:?}, {skewed:?}");
}

// Refused callers come back through the other daemons at once, whose shares are then in use.
#[test]
fn first_tries_are_served_while_one_daemon_gets_most_requests_and_refused_ones_try_others() {
    scenarios(|_| {}).for_each(|scenario| check_first_tries(&scenario));
}

// A daemon that leaves the balancer's rotation hands the crowd on to another one.
#[test]
fn first_tries_are_served_while_the_daemon_that_gets_most_requests_changes() {
    scenarios(|scenario| scenario.skew_moves_every = Some(Span::from_secs(4)))
        .for_each(|scenario| check_first_tries(&scenario));
}

// While fleets change, a share that is lent may get a second owner.
#[test]
fn limits_are_kept_while_shares_are_lent_in_a_changing_fleet() {
    let limits = || (0..12).map(|n| Some(2.0 + f64::from(n))).collect();
    let changes: [fn(&mut Scenario); 4] = [
        |scenario| scenario.kill_every = Some(Span::from_millis(1_300)),
        |scenario| scenario.join_every = Some(Span::from_millis(800)),
        |scenario| scenario.cut = Some((12, 24)),
        |scenario| scenario.lost = 0.5,
    ];
    for change in changes {
        scenarios(|scenario| {
            scenario.limits = limits();
            scenario.skewed = Some((8, 30));
            change(scenario);
        })
        .for_each(|scenario| check_informed(&scenario));
    }
}

#[test]
fn a_limit_is_kept_though_messages_between_daemons_are_lost() {
    scenarios(|scenario| scenario.lost = 0.5).for_each(|scenario| check_all(&scenario));
}

#[test]
fn a_limit_is_kept_by_both_sides_of_a_partition() {
    // Each side would take over the other's share and send all that the limit allows.
    scenarios(|scenario| scenario.cut = Some((3, 38)))
        .for_each(|scenario| check_informed(&scenario));
    scenarios(|scenario| scenario.cut = Some((8, 30))).for_each(|scenario| check_all(&scenario));
}

#[test]
fn a_limit_is_kept_while_daemons_are_killed_and_restarted() {
    // A daemon that just started knows no peers and would use the whole limit as its share.
    let change = |scenario: &mut Scenario| scenario.kill_every = Some(Span::from_millis(1_300));
    scenarios(change).for_each(|scenario| check_informed(&scenario));
}

#[test]
fn a_limit_is_kept_after_all_daemons_restart_at_once() {
    scenarios(|scenario| scenario.killed_all_at = Some(14))
        .for_each(|scenario| check_informed(&scenario));
}

#[test]
fn a_limit_is_kept_while_the_fleet_grows() {
    let change = |scenario: &mut Scenario| scenario.join_every = Some(Span::from_millis(800));
    scenarios(change).for_each(|scenario| check_informed(&scenario));
}

#[test]
fn an_upstream_gets_requests_again_after_its_limit_ends() {
    for scenario in scenarios(|scenario| scenario.limits = vec![Some(1.3), Some(0.05), None]) {
        for (limit, outcome) in limited_outcomes(&scenario) {
            let idle = outcome.idle_after.expect("requests after its end");
            assert!(idle < Span::from_secs(9), "{limit}/s: {idle}, {scenario:?}");
        }
    }
}

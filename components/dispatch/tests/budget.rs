//! The bound on repeats.

use dispatch::{RetryBudget, RetryLimits, Use};
use types::prelude::*;

fn budget(daemons: usize) -> RetryBudget {
    let mut budget = RetryBudget::new(RetryLimits {
        ratio: 0.5,
        allowance: 20.0,
        window: Span::from_secs(10),
    });
    budget.set_daemons(daemons);
    budget
}

fn at(millis: u64) -> Time {
    Time::ZERO + Span::from_millis(millis)
}

fn taken(budget: &mut RetryBudget, now: Time, what: Use) -> usize {
    (0..1_000).take_while(|_| budget.take(now, what)).count()
}

#[test]
fn repeats_over_any_window_stay_below_the_bound() {
    // All answers fail for a minute. Each daemon would send every request once more, and
    // the fleet together would exceed what operators allow, in some window or other.
    let mut budget = budget(4);
    let mut sent = Vec::new();
    let mut requests = Vec::new();
    for step in 0..6_000 {
        let now = at(step * 10);
        budget.requested(now);
        requests.push(now);
        if budget.take(now, Use::Failure) {
            sent.push(now);
        }
    }
    for from in (0..50_000).step_by(130) {
        let within = |t: &&Time| **t >= at(from) && **t < at(from + 10_000);
        let repeats = sent.iter().filter(within).count() as f64;
        let asked = requests.iter().filter(within).count() as f64;
        assert!(
            repeats <= 0.5 * asked + 5.0,
            "{repeats} of {asked} from {from} ms"
        );
    }
}

#[test]
fn the_allowance_is_shared_by_all_daemons() {
    assert_eq!(taken(&mut budget(1), at(0), Use::Failure), 17);
    assert_eq!(taken(&mut budget(10), at(0), Use::Failure), 1);
}

#[test]
fn larger_models_leave_a_part_for_failures() {
    let mut budget = budget(1);
    (0..100).for_each(|_| budget.requested(at(0)));
    assert_eq!(taken(&mut budget, at(1), Use::LargerModel), 47);
    assert_eq!(taken(&mut budget, at(2), Use::Failure), 12);
}

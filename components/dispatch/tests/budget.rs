//! Tests of the retry budget.

use dispatch::{RepeatPolicy, RetryBudget, RetryLimits, Use};
use types::prelude::*;

fn budget(daemons: usize) -> RetryBudget {
    let limits = RetryLimits {
        ratio: 0.5,
        allowance: 20.0,
        window: Span::from_secs(10),
    };
    let mut budget = RetryBudget::new(limits, RepeatPolicy::default());
    budget.set_daemons(daemons);
    budget
}

fn at(millis: u64) -> Time {
    Time::ZERO + Span::from_millis(millis)
}

fn count_allowed(budget: &mut RetryBudget, now: Time, reason: Use) -> usize {
    (0..1_000).take_while(|_| budget.take(now, reason)).count()
}

#[test]
fn retries_in_any_window_stay_below_the_bound() {
    // All answers fail for a minute. If each daemon sent every request once more, the fleet
    // together would exceed the operators' bound in some window.
    let mut budget = budget(4);
    let mut retries = Vec::new();
    let mut callers = Vec::new();
    for step in 0..6_000 {
        let now = at(step * 10);
        budget.requested(now);
        callers.push(now);
        if budget.take(now, Use::Failure) {
            retries.push(now);
        }
    }
    for from in (0..50_000).step_by(130) {
        let within = |t: &&Time| **t >= at(from) && **t < at(from + 10_000);
        let repeats = retries.iter().filter(within).count() as f64;
        let asked = callers.iter().filter(within).count() as f64;
        assert!(
            repeats <= 0.5 * asked + 5.0,
            "{repeats} of {asked} from {from} ms"
        );
    }
}

#[test]
fn the_allowance_is_shared_by_all_daemons() {
    assert_eq!(count_allowed(&mut budget(1), at(0), Use::Failure), 18);
    assert_eq!(count_allowed(&mut budget(10), at(0), Use::Failure), 1);
}

#[test]
fn escalations_leave_a_share_for_failures() {
    let mut budget = budget(1);
    (0..100).for_each(|_| budget.requested(at(0)));
    assert_eq!(count_allowed(&mut budget, at(1), Use::LargerModel), 61);
    assert_eq!(count_allowed(&mut budget, at(2), Use::Failure), 4);
}

#[test]
fn the_fleet_bound_holds_while_daemons_restart() {
    // Every answer fails at twenty daemons, which are killed and restarted in turn. Each
    // forgets its own retries, and the fleet together could exceed the operators' bound.
    let mut fleet = (0..20).map(|_| budget(20)).collect::<Vec<_>>();
    let (mut asked, mut repeats) = (Vec::new(), Vec::new());
    for step in 0..60_000_u64 {
        let now = at(step);
        let place = (step * 7 % 20) as usize;
        if step % 400 == 0 {
            fleet[(step / 400 % 20) as usize] = budget(20);
        }
        fleet[place].requested(now);
        asked.push(now);
        for reason in [Use::LargerModel, Use::Failure] {
            if fleet[place].take(now, reason) {
                repeats.push(now);
            }
        }
    }
    for from in (10_000..50_000).step_by(250) {
        let within = |t: &&Time| **t >= at(from) && **t < at(from + 10_000);
        let repeats = repeats.iter().filter(within).count() as f64;
        let asked = asked.iter().filter(within).count() as f64;
        assert!(
            repeats <= 0.5 * asked + 20.0,
            "{repeats} of {asked} from {from} ms"
        );
    }
}

#[test]
fn a_crash_leaves_budget_for_escalations() {
    // Half of all engines crash. The retries of the failed requests count for the whole window
    // of ten seconds, and low-confidence answers of that time were kept for want of budget.
    let limits = RetryLimits {
        ratio: 0.9,
        allowance: 2.5,
        window: Span::from_secs(10),
    };
    let mut budget = RetryBudget::new(limits, RepeatPolicy::default());
    for step in 0..100 {
        budget.requested(at(step * 100));
        if step % 2 == 0 {
            assert!(
                budget.take(at(step * 100), Use::LargerModel),
                "before, at {step}"
            );
        }
    }
    let broken = (0..15)
        .filter(|_| budget.take(at(10_000), Use::Failure))
        .count();
    assert_eq!(broken, 15, "all that the crash broke");
    let mut kept = 0;
    for step in 100..200 {
        budget.requested(at(step * 100));
        if step % 2 == 0 {
            kept += usize::from(!budget.take(at(step * 100), Use::LargerModel));
        }
    }
    assert!(kept <= 2, "{kept} of 50 unsure answers were kept");
}

//! Tests of the retry budget.

use dispatch::{RetryBudget, RetryLimits, RetryPolicy, RetryReason};
use types::prelude::*;

fn budget(daemons: usize) -> RetryBudget {
    let limits = RetryLimits {
        ratio: 0.5,
        allowance: 20.0,
        window: Span::from_secs(10),
    };
    let mut budget = RetryBudget::new(limits, RetryPolicy::default());
    budget.set_daemons(daemons);
    budget
}

fn at(millis: u64) -> Time {
    Time::ZERO + Span::from_millis(millis)
}

fn count_allowed(budget: &mut RetryBudget, now: Time, reason: RetryReason) -> usize {
    (0..1_000)
        .take_while(|_| budget.try_acquire(now, reason))
        .count()
}

#[test]
fn retries_in_any_window_stay_below_the_bound() {
    // All answers fail for a minute. If each daemon retried every request once, the fleet together
    // would exceed the operators' bound in some window.
    let mut budget = budget(4);
    let mut retries = Vec::new();
    let mut callers = Vec::new();
    for step in 0..6_000 {
        let now = at(step * 10);
        budget.record_request(now);
        callers.push(now);
        if budget.try_acquire(now, RetryReason::Failure) {
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
    assert_eq!(
        count_allowed(&mut budget(1), at(0), RetryReason::Failure),
        18
    );
    assert_eq!(
        count_allowed(&mut budget(10), at(0), RetryReason::Failure),
        1
    );
}

#[test]
fn escalations_leave_a_share_for_failures() {
    let mut budget = budget(1);
    (0..100).for_each(|_| budget.record_request(at(0)));
    assert_eq!(
        count_allowed(&mut budget, at(1), RetryReason::LargerModel),
        61
    );
    assert_eq!(count_allowed(&mut budget, at(2), RetryReason::Failure), 4);
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
        fleet[place].record_request(now);
        asked.push(now);
        for reason in [RetryReason::LargerModel, RetryReason::Failure] {
            if fleet[place].try_acquire(now, reason) {
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
    let mut budget = RetryBudget::new(limits, RetryPolicy::default());
    for step in 0..100 {
        budget.record_request(at(step * 100));
        if step % 2 == 0 {
            assert!(
                budget.try_acquire(at(step * 100), RetryReason::LargerModel),
                "before, at {step}"
            );
        }
    }
    let broken = (0..15)
        .filter(|_| budget.try_acquire(at(10_000), RetryReason::Failure))
        .count();
    assert_eq!(broken, 15, "all that the crash broke");
    let mut kept = 0;
    for step in 100..200 {
        budget.record_request(at(step * 100));
        if step % 2 == 0 {
            kept += usize::from(!budget.try_acquire(at(step * 100), RetryReason::LargerModel));
        }
    }
    assert!(kept <= 2, "{kept} of 50 unsure answers were kept");
}

/// Escalations would use up the retries of requests that failed.
#[test]
fn escalations_give_way_while_failed_requests_find_no_retry() {
    let mut budget = budget(1);
    (0..100).for_each(|_| budget.record_request(at(0)));
    assert_eq!(count_allowed(&mut budget, at(1), RetryReason::Failure), 65);
    // The window has passed, and every second request fails.
    (0..100).for_each(|_| budget.record_request(at(10_700)));
    assert!(budget.try_acquire(at(10_700), RetryReason::LargerModel));
    while budget.try_acquire(at(10_800), RetryReason::Failure) {}
    (0..100).for_each(|_| budget.record_request(at(11_000)));
    assert!(!budget.try_acquire(at(11_700), RetryReason::LargerModel));
    assert!(budget.try_acquire(at(11_700), RetryReason::Failure));
    assert!(budget.try_acquire(at(11_900), RetryReason::LargerModel));
}

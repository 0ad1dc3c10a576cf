//! Tests of leases between two daemons.

use std::sync::Arc;

use ratelimit::{Admission, Advertised, Fleet, InstanceKey, LeaseReply, Lenders, RateLimits};
use types::prelude::*;

const INSTANCE: InstanceKey = InstanceKey(7);
const RATE: Rate = Rate(2.0);

fn at(ms: u64) -> Time {
    Time::ZERO + Span::from_millis(ms)
}

fn ids() -> [DaemonId; 2] {
    ["a", "b"].map(|id| DaemonId::new(id).expect("a name"))
}

/// Two daemons that know an upstream's limit, each with half of it.
fn pair() -> [RateLimits; 2] {
    let [a, b] = ids();
    [(&a, &b), (&b, &a)].map(|(me, other)| {
        let mut limits = RateLimits::default();
        let fleet = Fleet::new(me, std::iter::once(other));
        limits.set_fleet(at(0), &Arc::new(fleet));
        limits.observe(at(6_000), INSTANCE, at(6_000), Advertised::Limit(RATE));
        limits
    })
}

/// Counts the requests that a daemon sends by its own share in a span, trying every ms.
fn count_sent(limits: &mut RateLimits, from: u64, to: u64) -> usize {
    let is_sent = |ms: &u64| {
        let is_open = limits.admission(at(*ms), INSTANCE) == Admission::Open;
        if is_open {
            limits.take(at(*ms), INSTANCE);
        }
        is_open
    };
    (from..to).filter(is_sent).count()
}

/// Counts the requests that a daemon lends in a span, asked every ms.
fn count_lent(lender: &mut RateLimits, from: u64, to: u64) -> usize {
    let is_lent = |ms: &u64| lender.lend(at(*ms), INSTANCE).is_granted;
    (from..to).filter(is_lent).count()
}

#[test]
fn an_idle_share_is_used_by_its_borrower_only() {
    let [mut borrower, mut owner] = pair();
    count_sent(&mut borrower, 6_000, 10_000);
    count_lent(&mut owner, 6_000, 10_000);
    assert_eq!(count_sent(&mut borrower, 10_000, 14_000), 4);
    assert_eq!(count_lent(&mut owner, 10_000, 14_000), 4);
    let lent_at = (14_000..15_000).find(|ms| owner.lend(at(*ms), INSTANCE).is_granted);
    let lent_at = lent_at.expect("a token a second");
    assert_eq!(
        count_sent(&mut owner, lent_at, lent_at + 900),
        0,
        "it is lent"
    );
    assert_eq!(count_sent(&mut owner, lent_at + 900, lent_at + 4_900), 4);
}

#[test]
fn a_share_is_lent_for_as_long_as_it_is_asked_for() {
    let [_, mut owner] = pair();
    count_lent(&mut owner, 6_000, 10_000);
    for second in 10..20 {
        assert_eq!(
            count_lent(&mut owner, second * 1_000, second * 1_000 + 1_000),
            1
        );
    }
    assert_eq!(owner.admission(at(21_500), INSTANCE), Admission::Open);
}

#[test]
fn a_share_that_is_in_use_is_not_lent() {
    let [_, mut owner] = pair();
    count_sent(&mut owner, 9_000, 10_000);
    let denied = owner.lend(at(10_000), INSTANCE);
    assert!(!denied.is_granted);
    assert!(denied.ready_at > at(10_000));
    let granted = owner.lend(denied.ready_at, INSTANCE);
    assert!(granted.is_granted, "unused since");
    assert!(granted.ready_at > denied.ready_at);
    // A third daemon asks for what is lent.
    assert!(!owner.lend(denied.ready_at, INSTANCE).is_granted);
}

#[test]
fn a_daemon_that_lacks_tokens_itself_does_not_lend() {
    let [_, mut owner] = pair();
    owner.take(at(10_000), INSTANCE);
    owner.take(at(10_000), INSTANCE);
    assert_eq!(count_lent(&mut owner, 10_000, 10_900), 0);
}

// A daemon that had just started and knew no limit would have granted any number of requests.
#[test]
fn a_daemon_that_does_not_know_a_limit_does_not_lend() {
    let mut limits = RateLimits::default();
    let LeaseReply {
        is_granted,
        ready_at,
    } = limits.lend(at(10_000), INSTANCE);
    assert!(!is_granted);
    assert!(ready_at > at(10_000));
}

#[test]
fn a_daemon_that_just_started_does_not_lend() {
    let [a, b] = ids();
    let mut limits = RateLimits::default();
    let fleet = Fleet::new(&a, std::iter::once(&b));
    limits.set_fleet(at(0), &Arc::new(fleet));
    limits.observe(at(100), INSTANCE, at(50), Advertised::Limit(RATE));
    assert_eq!(count_lent(&mut limits, 1_200, 5_000), 0);
}

#[test]
fn a_lender_is_not_asked_before_it_may_grant_a_request() {
    let lender = (&ids()[1]).into();
    let mut lenders = Lenders::default();
    assert!(lenders.is_ready(at(0), lender, INSTANCE));
    lenders.record_reply(at(0), lender, INSTANCE, at(500));
    assert!(!lenders.is_ready(at(499), lender, INSTANCE));
    assert!(lenders.is_ready(at(500), lender, INSTANCE));
    assert!(lenders.is_ready(at(0), lender, InstanceKey(8)));
    lenders.eject(at(600), lender, at(1_600));
    assert!(!lenders.is_ready(at(1_599), lender, InstanceKey(8)));
    assert!(lenders.is_ready(at(1_600), lender, InstanceKey(8)));
}

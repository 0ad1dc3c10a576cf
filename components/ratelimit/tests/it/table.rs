//! Tests of one daemon's table of limits.

use std::sync::Arc;

use ratelimit::{Admission, Advertised, Advertisement, Change, Fleet, InstanceKey, RateLimits};
use types::prelude::*;

const INSTANCE: InstanceKey = InstanceKey(7);

fn at(ms: u64) -> Time {
    Time::ZERO + Span::from_millis(ms)
}

fn limit(rate: f64) -> Advertised {
    Advertised::Limit(Rate(rate))
}

fn advertisement(version: u32, rate: Option<f32>, age_ms: u16) -> Advertisement {
    Advertisement {
        instance: INSTANCE,
        version,
        rate,
        age_ms,
    }
}

/// Counts the requests that one daemon sends in a span, trying every ms.
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

#[test]
fn a_single_daemon_uses_the_whole_rate() {
    let mut limits = RateLimits::default();
    assert_eq!(
        limits.observe(at(0), INSTANCE, at(0), limit(2.0)),
        Some(Change::Set(Rate(2.0)))
    );
    assert_eq!(count_sent(&mut limits, 1, 10_000), 19);
    assert_eq!(
        count_sent(&mut limits, 60_000, 60_100),
        1,
        "no more than one is saved up"
    );
}

#[test]
fn an_answer_out_of_order_does_not_lift_a_limit() {
    let mut limits = RateLimits::default();
    limits.observe(at(1_000), INSTANCE, at(900), limit(2.0));
    assert_eq!(
        limits.observe(at(1_500), INSTANCE, at(999), Advertised::Nothing),
        None
    );
    assert_eq!(limits.rate(INSTANCE), Some(Rate(2.0)));
    let lifted = limits.observe(at(2_000), INSTANCE, at(1_600), Advertised::Nothing);
    assert!(matches!(lifted, Some(Change::Lifted { .. })), "{lifted:?}");
    assert_eq!(limits.admission(at(2_000), INSTANCE), Admission::Open);
}

#[test]
fn an_invalid_limit_changes_nothing() {
    let mut limits = RateLimits::default();
    assert_eq!(
        limits.observe(at(1), INSTANCE, at(0), Advertised::Invalid),
        None
    );
    assert!(limits.is_empty());
    limits.observe(at(2), INSTANCE, at(1), limit(2.0));
    assert_eq!(
        limits.observe(at(9), INSTANCE, at(8), Advertised::Invalid),
        None
    );
    assert_eq!(limits.rate(INSTANCE), Some(Rate(2.0)));
    for rate in [f32::NAN, f32::INFINITY, 0.0, -1.0] {
        assert_eq!(limits.merge(at(10), &advertisement(9, Some(rate), 0)), None);
    }
    assert_eq!(limits.rate(INSTANCE), Some(Rate(2.0)));
}

#[test]
fn an_older_message_does_not_bring_a_lifted_limit_back() {
    let mut limits = RateLimits::default();
    limits.merge(at(1_000), &advertisement(4, Some(2.0), 0));
    assert!(
        limits
            .merge(at(2_000), &advertisement(5, None, 0))
            .is_some()
    );
    assert_eq!(
        limits.merge(at(2_500), &advertisement(4, Some(2.0), 0)),
        None
    );
    assert!(limits.is_empty());
    assert_eq!(
        limits.merge(at(3_000), &advertisement(6, Some(1.0), 0)),
        Some(Change::Set(Rate(1.0)))
    );
}

#[test]
fn of_two_limits_with_one_version_the_lower_wins() {
    let mut limits = RateLimits::default();
    limits.merge(at(1_000), &advertisement(4, Some(2.0), 0));
    limits.merge(at(1_000), &advertisement(4, Some(3.0), 0));
    assert_eq!(limits.rate(INSTANCE), Some(Rate(2.0)));
    limits.merge(at(1_000), &advertisement(4, Some(1.0), 0));
    limits.merge(at(1_000), &advertisement(4, None, 0));
    assert_eq!(limits.rate(INSTANCE), Some(Rate(1.0)));
}

#[test]
fn an_advertised_rate_equals_the_original() {
    // A rate that is rounded on its way between daemons would look like a new limit again and
    // again.
    let (mut one, mut other) = (RateLimits::default(), RateLimits::default());
    one.observe(at(0), INSTANCE, at(0), limit(2.1));
    for ad in one.advertise(at(10)) {
        other.merge(at(10), &ad);
    }
    assert_eq!(other.observe(at(20), INSTANCE, at(15), limit(2.1)), None);
    assert_eq!(
        one.advertise(at(30))[0].version,
        other.advertise(at(30))[0].version
    );
}

#[test]
fn a_daemon_that_just_started_sends_nothing_to_a_limited_upstream() {
    let mut limits = RateLimits::default();
    let me = DaemonId::new("me").expect("a name");
    limits.set_fleet(at(10), &Arc::new(Fleet::new(&me, [].iter())));
    limits.merge(at(20), &advertisement(1, Some(50.0), 0));
    assert_eq!(count_sent(&mut limits, 21, 4_900), 0);
    assert!(count_sent(&mut limits, 5_100, 6_000) > 0);
}

#[test]
fn an_unconfirmed_limit_is_dropped() {
    let mut limits = RateLimits::default();
    limits.merge(at(0), &advertisement(1, Some(2.0), 0));
    assert_eq!(limits.advertise(at(59_000)).len(), 1);
    assert!(limits.advertise(at(61_000)).is_empty());
    assert_eq!(limits.admission(at(61_000), INSTANCE), Admission::Open);
}

#[test]
fn a_message_holds_a_bounded_number_of_limits_and_all_take_turns() {
    let mut limits = RateLimits::default();
    for instance in 0..100 {
        limits.observe(at(1), InstanceKey(instance), at(0), limit(2.0));
    }
    let mut named = std::collections::BTreeSet::new();
    for turn in 0..20 {
        let ads = limits.advertise(at(100 + turn));
        assert!(ads.len() <= 32);
        named.extend(ads.iter().map(|ad| ad.instance));
    }
    assert_eq!(named.len(), 100);
}

#[test]
fn a_limit_whose_senders_are_idle_is_probed_by_one_daemon_at_a_time() {
    let id = |n: usize| DaemonId::new(&format!("d{n}")).expect("a name");
    let ids = (0..20).map(id).collect::<Vec<_>>();
    let mut fleet = ids.iter().map(|me| {
        let others = ids.iter().filter(|other| *other != me);
        let mut limits = RateLimits::default();
        limits.set_fleet(at(0), &Arc::new(Fleet::new(me, others)));
        limits.merge(at(10_000), &advertisement(1, Some(1.5), 0));
        limits
    });
    let mut fleet = fleet.by_ref().collect::<Vec<_>>();
    let mut open_at = |ms: u64| {
        let is_open = |limits: &RateLimits| limits.admission(at(ms), INSTANCE) == Admission::Open;
        let open = (0..fleet.len()).filter(|n| is_open(&fleet[*n]));
        let open = open.collect::<Vec<_>>();
        open.iter().for_each(|n| fleet[*n].take(at(ms), INSTANCE));
        open
    };
    assert_eq!(open_at(10_100), []);
    let senders = open_at(13_500);
    assert_eq!(senders.len(), 3);
    assert_eq!(open_at(13_900), []);
    let probers = (0..8).map(|turn| {
        let open = open_at(14_100 + turn * 1_000);
        open.into_iter()
            .filter(|n| !senders.contains(n))
            .collect::<Vec<_>>()
    });
    let probers = probers.collect::<Vec<_>>();
    assert!(probers.iter().all(|open| open.len() == 1), "{probers:?}");
    let all = probers
        .into_iter()
        .flatten()
        .collect::<std::collections::BTreeSet<_>>();
    assert_eq!(all.len(), 8, "each turn is another daemon's");
}

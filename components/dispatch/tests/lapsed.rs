//! Tests of entries that disappear while the store is unreachable.

use std::sync::Arc;

use dispatch::{EntryLease, LapsedUpstreams};
use routes::{Upstream, UpstreamState};
use types::prelude::*;

const LEASE: EntryLease = EntryLease {
    ttl: Span::from_millis(3_600),
    renewed_within: Span::from_millis(1_800),
    relisted_within: Span::from_secs(2),
};

fn upstream(id: &str) -> Arc<Upstream> {
    Arc::new(Upstream {
        id: UpstreamId::new(id).expect("a name"),
        started_at: None,
        service: Arc::from("model"),
        address: ([127, 0, 0, 1], 1).into(),
        failure_domain: FailureDomain::new("east").expect("a name"),
        version: Arc::from("v1"),
        slots: 1,
        state: UpstreamState::Ready,
        warm_up_remaining: Span::ZERO,
    })
}

fn at(secs: u64) -> Time {
    Time::ZERO + Span::from_secs(secs)
}

fn at_ms(ms: u64) -> Time {
    Time::ZERO + Span::from_millis(ms)
}

/// A set whose store answers every 300 ms from the start until `end_ms`.
fn available_until(end_ms: u64) -> LapsedUpstreams {
    let mut lapsed = LapsedUpstreams::new(LEASE);
    answers(&mut lapsed, 0, end_ms);
    lapsed
}

/// The store answers every 300 ms.
fn answers(lapsed: &mut LapsedUpstreams, from_ms: u64, end_ms: u64) {
    lapsed.store_answered(at_ms(from_ms));
    for ms in (from_ms..=end_ms).step_by(300) {
        lapsed.store_available_at(at_ms(ms), at_ms(ms));
    }
}

#[test]
fn entries_that_lapsed_in_a_store_outage_are_kept_for_two_seconds() {
    // The store is down for some seconds, in which all leases expire. When it is back its list
    // is empty for a moment, and all callers would be refused though every upstream serves.
    let mut lapsed = LapsedUpstreams::new(LEASE);
    lapsed.store_failed();
    lapsed.store_answered(at(10));
    lapsed.record_removed(at(10), upstream("one"));
    lapsed.record_removed(at(10), upstream("two"));
    assert_eq!(lapsed.iter().count(), 2);
    lapsed.record_listed(&UpstreamId::new("one").expect("a name"));
    assert!(!lapsed.expire(at(12)));
    assert_eq!(lapsed.iter().count(), 1);
    assert!(lapsed.expire(at(13)));
    assert_eq!(lapsed.iter().count(), 0);
}

#[test]
fn an_entry_removed_after_a_cut_is_dropped_two_seconds_after_the_store_returns() {
    // One daemon alone is cut off and comes back at 10 s. An upstream leaves at 11 s. If it
    // were kept for two seconds from then, it would get requests until after 13 s, longer than
    // an upstream that leaves may.
    let mut lapsed = LapsedUpstreams::new(LEASE);
    lapsed.store_failed();
    lapsed.store_answered(at(10));
    lapsed.record_removed(at(11), upstream("one"));
    assert_eq!(lapsed.iter().count(), 1);
    assert!(lapsed.expire(at(10) + Span::from_millis(2_200)));
    assert_eq!(lapsed.iter().count(), 0);
}

#[test]
fn an_entry_removed_while_the_store_is_reachable_is_not_kept() {
    let mut lapsed = LapsedUpstreams::new(LEASE);
    lapsed.record_removed(at(11), upstream("one"));
    assert_eq!(lapsed.iter().count(), 0);
}

/// Another program wrote under the key of an upstream whose entry had lapsed. The upstream stayed in
/// use for as long as its own entry might have come back.
#[test]
fn an_entry_that_was_overwritten_has_not_lapsed() {
    let mut lapsed = LapsedUpstreams::new(LEASE);
    lapsed.store_failed();
    lapsed.record_removed(Time::ZERO, upstream("one"));
    assert_eq!(lapsed.iter().count(), 1);
    lapsed.forget("another");
    assert_eq!(lapsed.iter().count(), 1);
    lapsed.forget("one");
    assert_eq!(lapsed.iter().count(), 0);
}

/// After one failed watch, an upstream whose entry was removed stayed in use until it exited.
#[test]
fn no_lease_ends_in_an_outage_shorter_than_the_leases() {
    let mut lapsed = available_until(9_000);
    lapsed.store_failed();
    assert_eq!(lapsed.record_removed(at_ms(9_300), upstream("one")), None);
    lapsed.store_answered(at_ms(9_400));
    assert_eq!(lapsed.record_removed(at_ms(9_400), upstream("two")), None);
    assert_eq!(
        lapsed.record_removed(at_ms(10_500), upstream("three")),
        None
    );
}

/// Watches that are cut now and then each let a leaving upstream stay in use.
#[test]
fn repeated_short_outages_keep_no_entry() {
    let mut lapsed = available_until(9_000);
    for round in 0..5 {
        let failed_ms = 9_000 + round * 2_300;
        lapsed.store_failed();
        answers(&mut lapsed, failed_ms + 300, failed_ms + 2_100);
        let removed = lapsed.record_removed(at_ms(failed_ms + 2_150), upstream("one"));
        assert_eq!(removed, None, "round {round}");
    }
}

/// An outage with breaks too short for all upstreams to renew their entries drops no live one.
#[test]
fn leases_may_end_in_an_outage_with_short_breaks() {
    let mut whole = available_until(9_000);
    whole.store_failed();
    whole.store_answered(at_ms(11_400));
    assert!(
        whole
            .record_removed(at_ms(11_400), upstream("one"))
            .is_some()
    );

    let mut broken = available_until(9_000);
    for ms in [9_600, 10_200, 10_800] {
        broken.store_failed();
        answers(&mut broken, ms, ms + 300);
    }
    let removed = broken.record_removed(at_ms(11_400), upstream("one"));
    assert!(removed.is_some());
}

/// A lease that was not renewed in an outage may end some time after the store's return.
#[test]
fn a_lease_may_end_after_the_outage() {
    let mut lapsed = available_until(9_000);
    lapsed.store_failed();
    answers(&mut lapsed, 10_500, 11_100);
    assert!(
        lapsed
            .record_removed(at_ms(11_100), upstream("one"))
            .is_some()
    );
}

/// An answer that was on its way when the store failed does not count for the time after the outage.
#[test]
fn a_late_answer_does_not_end_an_outage() {
    let mut lapsed = available_until(9_000);
    lapsed.store_failed();
    lapsed.store_available_at(at_ms(9_300), at_ms(9_100));
    answers(&mut lapsed, 10_500, 11_100);
    let removed = lapsed.record_removed(at_ms(11_100), upstream("one"));
    assert!(removed.is_some());
}

//! Tests of entries that disappear while the store is unreachable.

use std::sync::Arc;

use dispatch::LapsedUpstreams;
use routes::{Upstream, UpstreamState};
use types::prelude::*;

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

#[test]
fn entries_that_lapsed_in_a_store_outage_are_kept_for_two_seconds() {
    // The store is down for some seconds, in which all leases expire. When it is back its list
    // is empty for a moment, and all callers would be refused though every upstream serves.
    let mut lapsed = LapsedUpstreams::new(Span::from_secs(2));
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
    let mut lapsed = LapsedUpstreams::new(Span::from_secs(2));
    lapsed.store_failed();
    lapsed.store_answered(at(10));
    lapsed.record_removed(at(11), upstream("one"));
    assert_eq!(lapsed.iter().count(), 1);
    assert!(lapsed.expire(at(10) + Span::from_millis(2_200)));
    assert_eq!(lapsed.iter().count(), 0);
}

#[test]
fn an_entry_removed_while_the_store_is_reachable_is_not_kept() {
    let mut lapsed = LapsedUpstreams::new(Span::from_secs(2));
    lapsed.record_removed(at(11), upstream("one"));
    assert_eq!(lapsed.iter().count(), 0);
}

/// Another program wrote under the key of an upstream whose entry had lapsed. The upstream stayed in
/// use for as long as its own entry might have come back.
#[test]
fn an_entry_that_was_overwritten_has_not_lapsed() {
    let mut lapsed = LapsedUpstreams::new(Span::from_secs(2));
    lapsed.store_failed();
    lapsed.record_removed(Time::ZERO, upstream("one"));
    assert_eq!(lapsed.iter().count(), 1);
    lapsed.forget("another");
    assert_eq!(lapsed.iter().count(), 1);
    lapsed.forget("one");
    assert_eq!(lapsed.iter().count(), 0);
}

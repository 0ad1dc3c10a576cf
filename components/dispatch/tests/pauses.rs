//! Tests of the detection of pauses.

use dispatch::Pauses;
use types::prelude::*;

fn at(millis: u64) -> Time {
    Time::ZERO + Span::from_millis(millis)
}

fn awake_until(pauses: &mut Pauses, until: u64) {
    for millis in (0..=until).step_by(100) {
        pauses.record_awake(at(millis));
    }
}

/// Requests that waited in a frozen process would count as new ones.
#[test]
fn what_is_read_after_a_pause_may_have_waited() {
    let mut pauses = Pauses::default();
    awake_until(&mut pauses, 1_000);
    assert_eq!(pauses.waited_since(at(1_050)), None);
    pauses.record_awake(at(3_000));
    assert_eq!(pauses.waited_since(at(3_000)), Some(at(1_000)));
    assert_eq!(pauses.waited_since(at(4_900)), Some(at(1_000)));
    assert_eq!(pauses.waited_since(at(5_000)), None);
}

/// A busy host would lose retries for its callers.
#[test]
fn short_delays_are_no_pauses() {
    let mut pauses = Pauses::default();
    awake_until(&mut pauses, 1_000);
    pauses.record_awake(at(1_400));
    assert_eq!(pauses.waited_since(at(1_400)), None);
}

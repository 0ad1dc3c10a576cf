//! Tests of the choice of the model size.

use dispatch::{Cascade, CascadePolicy, Draft};
use types::prelude::*;

const POLICY: CascadePolicy = CascadePolicy {
    keep_from: 60,
    keep_middle_from: 30,
    next_size_from: 35,
    middle_from: 20,
    in_time_share: 0.8,
};

fn draft(model_index: usize, confidence: u8) -> Draft {
    Draft {
        model_index,
        confidence,
        attempts_left: 2,
        arrived_at: Time::ZERO,
        objective: Span::from_secs(2),
    }
}

fn next(draft: Draft, now_ms: u64, expected_ms: [u64; 3]) -> Option<usize> {
    let now = Time::ZERO + Span::from_millis(now_ms);
    let expected = |model: usize| Some(Span::from_millis(expected_ms[model]));
    Cascade::new(POLICY).next(now, 3, draft, expected)
}

#[test]
fn a_high_confidence_answer_is_kept() {
    assert_eq!(next(draft(0, 90), 100, [10, 20, 30]), None);
}

#[test]
fn a_low_confidence_answer_escalates_to_the_largest_model() {
    assert_eq!(next(draft(0, 10), 100, [10, 20, 30]), Some(2));
}

#[test]
fn a_model_that_would_be_late_is_not_asked() {
    // The largest model prefills a long prompt for longer than callers wait for a first event.
    // A late answer earns a tenth; a medium-sized model's answer in time earns more.
    assert_eq!(next(draft(0, 25), 100, [10, 900, 3_000]), Some(1));
    assert_eq!(next(draft(0, 25), 1_500, [10, 900, 3_000]), None);
}

#[test]
fn a_nearly_sufficient_answer_escalates_to_the_next_size() {
    // Half of the requests that the smallest model nearly answers are only a little beyond it.
    // Sent to the largest at once, each takes four times the engine time of the next size and
    // stalls the streams beside it.
    assert_eq!(next(draft(0, 50), 100, [10, 20, 30]), Some(1));
    assert_eq!(next(draft(0, 50), 100, [10, 3_000, 30]), Some(2));
}

#[test]
fn a_medium_models_answer_is_dropped_only_at_very_low_confidence() {
    assert_eq!(next(draft(1, 40), 100, [10, 20, 30]), None);
    assert_eq!(next(draft(1, 10), 100, [10, 20, 30]), Some(2));
    assert_eq!(next(draft(2, 10), 100, [10, 20, 30]), None);
}

#[test]
fn the_last_attempt_goes_to_the_largest_model() {
    // A route allows two attempts, or an upstream's failure used one up. The next size would
    // have low confidence in every third such request, with no attempt left to escalate.
    let last = Draft {
        attempts_left: 1,
        ..draft(0, 50)
    };
    assert_eq!(next(last, 100, [10, 20, 30]), Some(2));
}

#[test]
fn a_far_too_hard_request_skips_medium_models() {
    // The largest model's prefill of a long prompt would be late. A medium-sized model would
    // answer in time but with as low a confidence as the smallest: its time and price gain the
    // caller nothing.
    assert_eq!(next(draft(0, 5), 100, [10, 900, 3_000]), None);
    assert_eq!(next(draft(0, 5), 100, [10, 900, 1_000]), Some(2));
}

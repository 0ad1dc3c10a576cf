//! The choice of a model's size.

use dispatch::{Cascade, Draft};
use types::prelude::*;

fn draft(confidence: u8) -> Draft {
    Draft {
        confidence,
        arrived_at: Time::ZERO,
        objective: Span::from_secs(2),
    }
}

fn next(confidence: u8, now_ms: u64, expected_ms: [u64; 3]) -> Option<usize> {
    let now = Time::ZERO + Span::from_millis(now_ms);
    let expected = |place: usize| Some(Span::from_millis(expected_ms[place]));
    Cascade::next(now, 0, 3, draft(confidence), expected)
}

#[test]
fn a_sure_answer_is_kept() {
    assert_eq!(next(90, 100, [10, 20, 30]), None);
}

#[test]
fn an_unsure_answer_goes_to_the_largest_model() {
    assert_eq!(next(10, 100, [10, 20, 30]), Some(2));
}

#[test]
fn a_model_that_would_be_late_is_not_asked() {
    // A long prompt takes the largest model longer than callers wait for a first event. The
    // answer would be late and earn a tenth; a middle one in time earns more.
    assert_eq!(next(10, 100, [10, 900, 3_000]), Some(1));
    assert_eq!(next(10, 1_500, [10, 900, 3_000]), None);
}

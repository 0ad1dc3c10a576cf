//! Attribution of a crash to the attempts that were in flight at the upstream.

use poison::{AttemptEnd, Attempts, Content, CrashedAttempt};
use types::prelude::*;

const UPSTREAM: u32 = 7;

fn content(name: &str) -> Content {
    Content::of("alice", "host", "POST", "/a", name.as_bytes())
}

fn at(ms: u64) -> Time {
    Time::ZERO + Span::from_millis(ms)
}

fn crashed_under(name: &str, ran_ms: u64) -> CrashedAttempt {
    CrashedAttempt {
        contents: content(name).into(),
        customer: None,
        had_started: true,
        ran: Span::from_millis(ran_ms),
    }
}

#[test]
fn attempts_that_broke_at_the_crash_are_attributed() {
    let mut attempts = Attempts::default();
    let first = attempts.sent(at(0), UPSTREAM, content("first"), None);
    let second = attempts.sent(at(10), UPSTREAM, content("second"), None);
    attempts.attempt_started(at(100), UPSTREAM, first);
    assert_eq!(
        attempts.attempt_ended(at(180), UPSTREAM, first, AttemptEnd::Broken),
        None
    );
    assert!(attempts.has_broken(UPSTREAM));
    assert_eq!(
        attempts.upstream_crashed(at(183), UPSTREAM, at(150)),
        Some(vec![crashed_under("first", 80)])
    );
    // The second attempt's connection breaks a moment later. No part of its answer had come.
    let late = attempts.attempt_ended(at(185), UPSTREAM, second, AttemptEnd::Broken);
    let second = CrashedAttempt {
        had_started: false,
        ..crashed_under("second", 175)
    };
    assert_eq!(late, Some(second));
    assert_eq!(attempts.upstream_crashed(at(190), UPSTREAM, at(150)), None);
}

#[test]
fn draft_dropped_just_before_the_crash_is_attributed() {
    // A draft is dropped as a low-confidence answer 20 ms after it started. The engine is still
    // processing it and crashes 60 ms later, when this daemon has no connection left there to
    // notice it.
    let mut attempts = Attempts::default();
    let id = attempts.sent(at(0), UPSTREAM, content("draft"), None);
    attempts.attempt_started(at(10), UPSTREAM, id);
    attempts.attempt_ended(at(30), UPSTREAM, id, AttemptEnd::GivenUp);
    assert_eq!(
        attempts.upstream_crashed(at(90), UPSTREAM, at(10)),
        Some(vec![crashed_under("draft", 80)])
    );
}

#[test]
fn dropped_draft_is_attributed_when_another_attempt_shows_the_crash() {
    let mut attempts = Attempts::default();
    let draft = attempts.sent(at(0), UPSTREAM, content("draft"), None);
    attempts.attempt_started(at(10), UPSTREAM, draft);
    let other = attempts.sent(at(0), UPSTREAM, content("other"), None);
    attempts.attempt_started(at(10), UPSTREAM, other);
    attempts.attempt_ended(at(30), UPSTREAM, draft, AttemptEnd::GivenUp);
    attempts.attempt_ended(at(90), UPSTREAM, other, AttemptEnd::Broken);
    // The crash is known only from the list, three seconds later.
    let ended = attempts.upstream_crashed(at(3_000), UPSTREAM, at(85));
    assert_eq!(
        ended,
        Some(vec![crashed_under("draft", 80), crashed_under("other", 80)])
    );
}

#[test]
fn attempts_that_the_upstream_survived_are_not_attributed() {
    // A connection is reset, or a caller leaves, and the upstream works on other requests for a
    // second before it crashes.
    let mut attempts = Attempts::default();
    let reset = attempts.sent(at(0), UPSTREAM, content("reset"), None);
    let left = attempts.sent(at(0), UPSTREAM, content("left"), None);
    attempts.attempt_ended(at(50), UPSTREAM, reset, AttemptEnd::Broken);
    attempts.attempt_ended(at(50), UPSTREAM, left, AttemptEnd::GivenUp);
    assert_eq!(
        attempts.upstream_crashed(at(1_100), UPSTREAM, at(1_050)),
        Some(Vec::new())
    );
}

#[test]
fn answered_and_long_given_up_attempts_are_not_attributed() {
    let mut attempts = Attempts::default();
    let answered = attempts.sent(at(0), UPSTREAM, content("answered"), None);
    attempts.attempt_ended(at(50), UPSTREAM, answered, AttemptEnd::Answered);
    let left = attempts.sent(at(0), UPSTREAM, content("left"), None);
    attempts.attempt_ended(at(60), UPSTREAM, left, AttemptEnd::GivenUp);
    let refused = attempts.sent(at(0), UPSTREAM, content("refused"), None);
    attempts.attempt_ended(at(70), UPSTREAM, refused, AttemptEnd::NotStarted);
    assert!(!attempts.has_broken(UPSTREAM));
    assert_eq!(
        attempts.upstream_crashed(at(700), UPSTREAM, at(690)),
        Some(Vec::new())
    );
}

#[test]
fn old_attempts_are_dropped() {
    let mut attempts = Attempts::default();
    let id = attempts.sent(at(0), UPSTREAM, content("broken"), None);
    attempts.attempt_ended(at(10), UPSTREAM, id, AttemptEnd::Broken);
    attempts.expire(at(1_000));
    assert_eq!(attempts.len(), 1);
    attempts.expire(at(11_000));
    assert!(attempts.is_empty());
}

#[test]
fn upstream_that_answers_after_a_crash_was_restarted() {
    // Upstreams of the catalogue keep their name across a restart. A connection that breaks after
    // the restart must not be attributed to the crash before it.
    let mut attempts = Attempts::default();
    let first = attempts.sent(at(0), UPSTREAM, content("first"), None);
    attempts.attempt_ended(at(50), UPSTREAM, first, AttemptEnd::Broken);
    attempts.upstream_crashed(at(60), UPSTREAM, at(40));
    let next = attempts.sent(at(4_000), UPSTREAM, content("next"), None);
    attempts.attempt_ended(at(4_100), UPSTREAM, next, AttemptEnd::Answered);
    let cut = attempts.sent(at(4_200), UPSTREAM, content("cut"), None);
    assert_eq!(
        attempts.attempt_ended(at(4_250), UPSTREAM, cut, AttemptEnd::Broken),
        None
    );
    assert!(attempts.has_broken(UPSTREAM));
}

#[test]
fn attempts_per_upstream_are_bounded() {
    let mut attempts = Attempts::default();
    let all = (0..1_000).map(|n| attempts.sent(at(n), UPSTREAM, content("many"), None));
    let all = all.collect::<Vec<_>>();
    for id in all {
        attempts.attempt_ended(at(2_000), UPSTREAM, id, AttemptEnd::Broken);
    }
    let crashed_under = attempts
        .upstream_crashed(at(2_000), UPSTREAM, at(0))
        .expect("a new crash");
    assert!(crashed_under.len() <= 256);
}

//! Attribution of a crash to the attempts that were in flight at the upstream.

use poison::{Content, RunEnd, Runs, Under};
use types::prelude::*;

const UPSTREAM: u32 = 7;

fn content(name: &str) -> Content {
    Content::of("alice", "host", "POST", "/a", name.as_bytes())
}

fn at(ms: u64) -> Time {
    Time::ZERO + Span::from_millis(ms)
}

fn crashed_under(name: &str, ran_ms: u64) -> Under {
    Under {
        content: content(name),
        customer: None,
        had_begun: true,
        ran: Span::from_millis(ran_ms),
    }
}

#[test]
fn attempts_that_broke_at_the_crash_are_attributed() {
    let mut runs = Runs::default();
    let first = runs.sent(at(0), UPSTREAM, content("first"), None);
    let second = runs.sent(at(10), UPSTREAM, content("second"), None);
    runs.began(at(100), UPSTREAM, first);
    assert_eq!(runs.over(at(180), UPSTREAM, first, RunEnd::Broken), None);
    assert!(runs.has_broken(UPSTREAM));
    assert_eq!(
        runs.ended(at(183), UPSTREAM, at(150)),
        Some(vec![crashed_under("first", 80)])
    );
    // The second attempt's connection breaks a moment later. No part of its answer had come.
    let late = runs.over(at(185), UPSTREAM, second, RunEnd::Broken);
    let second = Under {
        had_begun: false,
        ..crashed_under("second", 175)
    };
    assert_eq!(late, Some(second));
    assert_eq!(runs.ended(at(190), UPSTREAM, at(150)), None);
}

#[test]
fn draft_dropped_just_before_the_crash_is_attributed() {
    // A draft is dropped as a low-confidence answer 20 ms after it started. The engine is still
    // running it and crashes 60 ms later, when this daemon has no connection left there to see it.
    let mut runs = Runs::default();
    let run = runs.sent(at(0), UPSTREAM, content("draft"), None);
    runs.began(at(10), UPSTREAM, run);
    runs.over(at(30), UPSTREAM, run, RunEnd::GivenUp);
    assert_eq!(
        runs.ended(at(90), UPSTREAM, at(10)),
        Some(vec![crashed_under("draft", 80)])
    );
}

#[test]
fn dropped_draft_is_attributed_when_another_attempt_shows_the_crash() {
    let mut runs = Runs::default();
    let draft = runs.sent(at(0), UPSTREAM, content("draft"), None);
    runs.began(at(10), UPSTREAM, draft);
    let other = runs.sent(at(0), UPSTREAM, content("other"), None);
    runs.began(at(10), UPSTREAM, other);
    runs.over(at(30), UPSTREAM, draft, RunEnd::GivenUp);
    runs.over(at(90), UPSTREAM, other, RunEnd::Broken);
    // The crash is known only from the list, three seconds later.
    let ended = runs.ended(at(3_000), UPSTREAM, at(85));
    assert_eq!(
        ended,
        Some(vec![crashed_under("draft", 80), crashed_under("other", 80)])
    );
}

#[test]
fn attempts_that_the_upstream_survived_are_not_attributed() {
    // A connection is reset, or a caller leaves, and the upstream works on other requests for a
    // second before it crashes.
    let mut runs = Runs::default();
    let reset = runs.sent(at(0), UPSTREAM, content("reset"), None);
    let left = runs.sent(at(0), UPSTREAM, content("left"), None);
    runs.over(at(50), UPSTREAM, reset, RunEnd::Broken);
    runs.over(at(50), UPSTREAM, left, RunEnd::GivenUp);
    assert_eq!(runs.ended(at(1_100), UPSTREAM, at(1_050)), Some(Vec::new()));
}

#[test]
fn answered_and_long_given_up_attempts_are_not_attributed() {
    let mut runs = Runs::default();
    let answered = runs.sent(at(0), UPSTREAM, content("answered"), None);
    runs.over(at(50), UPSTREAM, answered, RunEnd::Whole);
    let left = runs.sent(at(0), UPSTREAM, content("left"), None);
    runs.over(at(60), UPSTREAM, left, RunEnd::GivenUp);
    let refused = runs.sent(at(0), UPSTREAM, content("refused"), None);
    runs.over(at(70), UPSTREAM, refused, RunEnd::NotRun);
    assert!(!runs.has_broken(UPSTREAM));
    assert_eq!(runs.ended(at(700), UPSTREAM, at(690)), Some(Vec::new()));
}

#[test]
fn old_attempts_are_dropped() {
    let mut runs = Runs::default();
    let run = runs.sent(at(0), UPSTREAM, content("broken"), None);
    runs.over(at(10), UPSTREAM, run, RunEnd::Broken);
    runs.tidy(at(1_000));
    assert_eq!(runs.len(), 1);
    runs.tidy(at(11_000));
    assert!(runs.is_empty());
}

#[test]
fn upstream_that_answers_after_a_crash_was_restarted() {
    // Upstreams of the catalogue keep their name across a restart. A connection that breaks after
    // the restart must not be attributed to the crash before it.
    let mut runs = Runs::default();
    let first = runs.sent(at(0), UPSTREAM, content("first"), None);
    runs.over(at(50), UPSTREAM, first, RunEnd::Broken);
    runs.ended(at(60), UPSTREAM, at(40));
    let next = runs.sent(at(4_000), UPSTREAM, content("next"), None);
    runs.over(at(4_100), UPSTREAM, next, RunEnd::Whole);
    let cut = runs.sent(at(4_200), UPSTREAM, content("cut"), None);
    assert_eq!(runs.over(at(4_250), UPSTREAM, cut, RunEnd::Broken), None);
    assert!(runs.has_broken(UPSTREAM));
}

#[test]
fn attempts_per_upstream_are_bounded() {
    let mut runs = Runs::default();
    let all = (0..1_000).map(|n| runs.sent(at(n), UPSTREAM, content("many"), None));
    let all = all.collect::<Vec<_>>();
    for run in all {
        runs.over(at(2_000), UPSTREAM, run, RunEnd::Broken);
    }
    let crashed_under = runs.ended(at(2_000), UPSTREAM, at(0)).expect("a new crash");
    assert!(crashed_under.len() <= 256);
}

//! What had begun at an upstream when it ended.

use poison::{Content, RunEnd, Runs, Under};
use types::prelude::*;

const UPSTREAM: u32 = 7;

fn content(name: &str) -> Content {
    Content::of("alice", "host", "POST", "/a", name.as_bytes())
}

fn at(ms: u64) -> Time {
    Time::ZERO + Span::from_millis(ms)
}

fn under(name: &str, ran_ms: u64) -> Under {
    Under {
        content: content(name),
        customer: None,
        had_begun: true,
        ran: Span::from_millis(ran_ms),
    }
}

#[test]
fn what_broke_before_the_end_was_known_was_under_it() {
    let mut runs = Runs::default();
    let first = runs.sent(at(0), UPSTREAM, content("first"), None);
    let second = runs.sent(at(10), UPSTREAM, content("second"), None);
    runs.began(at(100), UPSTREAM, first);
    assert_eq!(runs.over(at(180), UPSTREAM, first, RunEnd::Broken), None);
    assert!(runs.has_broken(UPSTREAM));
    assert_eq!(
        runs.ended(at(183), UPSTREAM, at(150)),
        Some(vec![under("first", 80)])
    );
    // Its connection shows it a moment later. It never began to be answered.
    let late = runs.over(at(185), UPSTREAM, second, RunEnd::Broken);
    let second = Under {
        had_begun: false,
        ..under("second", 175)
    };
    assert_eq!(late, Some(second));
    assert_eq!(runs.ended(at(190), UPSTREAM, at(150)), None);
}

#[test]
fn a_draft_that_was_dropped_just_before_was_under_the_end() {
    // A draft is dropped as unsure 20 ms after it began. The engine stops it, and ends under it
    // 60 ms later, when no connection of this daemon's is left there to show it.
    let mut runs = Runs::default();
    let run = runs.sent(at(0), UPSTREAM, content("draft"), None);
    runs.began(at(10), UPSTREAM, run);
    runs.over(at(30), UPSTREAM, run, RunEnd::GivenUp);
    assert_eq!(
        runs.ended(at(90), UPSTREAM, at(10)),
        Some(vec![under("draft", 80)])
    );
}

#[test]
fn a_draft_that_was_dropped_is_told_when_another_run_shows_the_end() {
    let mut runs = Runs::default();
    let draft = runs.sent(at(0), UPSTREAM, content("draft"), None);
    runs.began(at(10), UPSTREAM, draft);
    let other = runs.sent(at(0), UPSTREAM, content("other"), None);
    runs.began(at(10), UPSTREAM, other);
    runs.over(at(30), UPSTREAM, draft, RunEnd::GivenUp);
    runs.over(at(90), UPSTREAM, other, RunEnd::Broken);
    // Known by the list only, three seconds later.
    let ended = runs.ended(at(3_000), UPSTREAM, at(85));
    assert_eq!(ended, Some(vec![under("draft", 80), under("other", 80)]));
}

#[test]
fn an_upstream_that_is_heard_of_later_did_not_end_with_a_run() {
    // A connection is reset, or a caller leaves, and the upstream goes on for a second with other
    // requests before it ends.
    let mut runs = Runs::default();
    let reset = runs.sent(at(0), UPSTREAM, content("reset"), None);
    let left = runs.sent(at(0), UPSTREAM, content("left"), None);
    runs.over(at(50), UPSTREAM, reset, RunEnd::Broken);
    runs.over(at(50), UPSTREAM, left, RunEnd::GivenUp);
    assert_eq!(runs.ended(at(1_100), UPSTREAM, at(1_050)), Some(Vec::new()));
}

#[test]
fn what_was_answered_or_given_up_long_before_was_not() {
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
fn what_is_over_for_long_is_forgotten() {
    let mut runs = Runs::default();
    let run = runs.sent(at(0), UPSTREAM, content("broken"), None);
    runs.over(at(10), UPSTREAM, run, RunEnd::Broken);
    runs.tidy(at(1_000));
    assert_eq!(runs.len(), 1);
    runs.tidy(at(11_000));
    assert!(runs.is_empty());
}

#[test]
fn an_upstream_that_answers_again_has_started_again() {
    // Upstreams of the catalogue keep their name over a restart. A connection that breaks at the
    // next start is no sign of an end.
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
fn one_upstreams_runs_are_bounded() {
    let mut runs = Runs::default();
    let all = (0..1_000).map(|n| runs.sent(at(n), UPSTREAM, content("many"), None));
    let all = all.collect::<Vec<_>>();
    for run in all {
        runs.over(at(2_000), UPSTREAM, run, RunEnd::Broken);
    }
    let under = runs.ended(at(2_000), UPSTREAM, at(0)).expect("news");
    assert!(under.len() <= 256);
}

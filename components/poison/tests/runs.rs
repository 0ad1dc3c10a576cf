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
        ran: Span::from_millis(ran_ms),
    }
}

#[test]
fn what_broke_before_the_end_was_known_was_under_it() {
    let mut runs = Runs::default();
    let first = runs.sent(at(0), UPSTREAM, content("first"));
    let second = runs.sent(at(10), UPSTREAM, content("second"));
    runs.began(at(100), UPSTREAM, first);
    assert_eq!(runs.over(at(180), UPSTREAM, first, RunEnd::Broken), None);
    assert!(runs.has_broken(UPSTREAM));
    assert_eq!(runs.ended(at(183), UPSTREAM), [under("first", 80)]);
    // Its connection shows it a moment later. It never began to be answered.
    let late = runs.over(at(185), UPSTREAM, second, RunEnd::Broken);
    assert_eq!(late, Some(under("second", 175)));
    assert_eq!(runs.ended(at(190), UPSTREAM), []);
}

#[test]
fn a_draft_that_was_dropped_just_before_was_under_the_end() {
    // A draft is dropped as unsure 20 ms after it began. The engine stops it, and ends under it
    // 60 ms later, when no connection of this daemon's is left there to show it.
    let mut runs = Runs::default();
    let run = runs.sent(at(0), UPSTREAM, content("draft"));
    runs.began(at(10), UPSTREAM, run);
    runs.over(at(30), UPSTREAM, run, RunEnd::GivenUp);
    assert_eq!(runs.ended(at(90), UPSTREAM), [under("draft", 80)]);
}

#[test]
fn what_was_answered_or_given_up_long_before_was_not() {
    let mut runs = Runs::default();
    let answered = runs.sent(at(0), UPSTREAM, content("answered"));
    runs.over(at(50), UPSTREAM, answered, RunEnd::Whole);
    let left = runs.sent(at(0), UPSTREAM, content("left"));
    runs.over(at(60), UPSTREAM, left, RunEnd::GivenUp);
    let refused = runs.sent(at(0), UPSTREAM, content("refused"));
    runs.over(at(70), UPSTREAM, refused, RunEnd::NotRun);
    assert!(!runs.has_broken(UPSTREAM));
    assert_eq!(runs.ended(at(700), UPSTREAM), []);
}

#[test]
fn what_is_over_for_long_is_forgotten() {
    let mut runs = Runs::default();
    let run = runs.sent(at(0), UPSTREAM, content("broken"));
    runs.over(at(10), UPSTREAM, run, RunEnd::Broken);
    runs.tidy(at(1_000));
    assert_eq!(runs.len(), 1);
    runs.tidy(at(11_000));
    assert!(runs.is_empty());
}

#[test]
fn one_upstreams_runs_are_bounded() {
    let mut runs = Runs::default();
    let all = (0..1_000).map(|n| runs.sent(at(n), UPSTREAM, content("many")));
    let all = all.collect::<Vec<_>>();
    for run in all {
        runs.over(at(2_000), UPSTREAM, run, RunEnd::Broken);
    }
    assert!(runs.ended(at(2_000), UPSTREAM).len() <= 256);
}

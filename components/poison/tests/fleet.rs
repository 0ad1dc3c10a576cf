//! Both errors of a bar, played: sends of a request after it is proved, and others refused.
//!
//! `BUCKTHORNCROSS_PLAY_SEEDS=60 cargo test --release -p poison --test fleet -- --nocapture` plays
//! more seeds by hand and prints the figures.

#[path = "support/simulation.rs"]
mod simulation;

use simulation::{Day, Fleet, Result};
use types::prelude::*;

/// Repeats of a request that may reach an upstream later than three seconds after the third end
/// under it.
const LATE_SENDS: usize = 3;
/// Of so many requests that lost an upstream one may be refused for it.
const HIT_FOR_ONE_REFUSED: usize = 100;

/// Seeds to play: those of CI, or as many as asked for by hand.
fn seeds(usual: u64) -> u64 {
    let asked = std::env::var("BUCKTHORNCROSS_PLAY_SEEDS").ok();
    asked.and_then(|text| text.parse().ok()).unwrap_or(usual)
}

/// Plays a day with several seeds and checks what users are promised; the worst of each figure,
/// but counts of requests add up.
fn play(name: &str, day: &Day, usual: u64) -> Result {
    let mut all = Result::default();
    for seed in 1..=seeds(usual) {
        let one = Fleet::play(&Day {
            seed,
            ..day.clone()
        });
        assert!(one.late_sends <= LATE_SENDS, "{name}, seed {seed}: {one:?}");
        all.ends = all.ends.max(one.ends);
        all.late_sends = all.late_sends.max(one.late_sends);
        all.requests += one.requests;
        all.hit += one.hit;
        all.refused += one.refused;
    }
    println!("{name}: {all:?}");
    assert!(
        all.refused * HIT_FOR_ONE_REFUSED <= all.hit,
        "too many were refused that only ran beside: {all:?}"
    );
    all
}

#[test]
fn a_request_that_ends_upstreams_at_any_daemon_is_barred() {
    let all = play("one", &Day::default(), 8);
    assert!(all.ends > 0, "nothing was played: {all:?}");
}

#[test]
fn a_fleet_of_many_daemons_bars_it_as_soon() {
    // Each daemon meets it for the first time; word crosses the fleet in some rounds.
    let day = Day {
        daemons: 88,
        upstreams: 90,
        seconds: 30,
        requests_per_s: 200.0,
        ..Day::default()
    };
    play("one, 88 daemons", &day, 2);
}

#[test]
fn words_that_are_lost_do_not_matter() {
    let day = Day {
        lost: 0.3,
        ..Day::default()
    };
    play("one, words lost", &day, 8);
}

#[test]
fn several_such_requests_at_once_are_told_from_each_other() {
    // Three of them hit one pool. They wait beside each other, are retried at the same moments,
    // and each is there at ends that are another one's.
    let day = Day {
        poisons: 3,
        ..Day::default()
    };
    play("three at once", &day, 8);
}

#[test]
fn a_small_pool_without_signs_is_kept() {
    // Four plain upstreams: no sign tells when one begins to run a request.
    let day = Day {
        upstreams: 4,
        has_signs: false,
        ..Day::default()
    };
    play("one, four upstreams without signs", &day, 8);
}

#[test]
fn it_is_found_on_a_day_full_of_crashes() {
    let day = Day {
        ends_per_s: 0.05,
        racks: Some((Span::from_secs(7), 0.3)),
        ..Day::default()
    };
    play("one, crashes beside it", &day, 8);
}

#[test]
fn a_day_full_of_crashes_refuses_hardly_anybody() {
    // Upstreams end by themselves, a third of them at one moment every seven seconds. A tenth of
    // all requests lose one, some lose three, and none of them ended any.
    let day = Day {
        poisons: 0,
        ends_per_s: 0.05,
        racks: Some((Span::from_secs(7), 0.3)),
        ..Day::default()
    };
    let all = play("none, crashes", &day, 8);
    assert!(all.hit > 1_000, "hardly any was hit: {all:?}");
}

#[test]
fn a_customer_with_one_after_the_other_ends_fewer_with_each() {
    // Six such requests, a new one every five seconds: alike, but for whose they are.
    let day = Day {
        poisons: 6,
        poison_gap: Span::from_secs(5),
        ..Day::default()
    };
    let ends = |of_one| {
        let day = Day {
            of_one,
            ..day.clone()
        };
        let plays = (1..=seeds(6)).map(|seed| {
            Fleet::play(&Day {
                seed,
                ..day.clone()
            })
        });
        let plays = plays.collect::<Vec<_>>();
        let sum = |f: fn(&Result) -> usize| plays.iter().map(f).sum::<usize>();
        let (ends, hit, refused) = (sum(|r| r.ends), sum(|r| r.hit), sum(|r| r.refused));
        println!("six in turn, one customer {of_one}: {ends} ends, {hit} hit, {refused} refused");
        ends
    };
    let (of_one, of_six) = (ends(true), ends(false));
    assert!(
        of_one * 10 <= of_six * 9,
        "{of_one} ends, {of_six} of six customers"
    );
}

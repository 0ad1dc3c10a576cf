//! Which daemons watch the store: the calls do not grow with the fleet, and some daemon always
//! takes over.

use fleet::{Mode, Succession, SuccessionInput};
use types::prelude::*;

const FLEET: usize = 295;
/// Interval at which the control thread decides.
const TICK: Span = Span::from_millis(100);
const REPORT_TTL: Span = Span::from_millis(1_400);

fn at(ms: u64) -> Time {
    Time::ZERO + Span::from_millis(ms)
}

fn without_watchers(rank: usize) -> SuccessionInput {
    SuccessionInput {
        before: 0,
        rank,
        fleet: FLEET,
        hears_peers: true,
        own_watch_works: false,
        report_ttl: REPORT_TTL,
        is_stale: false,
    }
}

/// Ranks of the daemons that watch at each tick, while no watch ever works.
fn watch_attempts(is_seed: impl Fn(usize) -> bool, seconds: u64) -> Vec<Vec<usize>> {
    let mut succession = (0..FLEET)
        .map(|rank| Succession::new(is_seed(rank), REPORT_TTL))
        .collect::<Vec<_>>();
    let ticks = seconds * 1_000 / TICK.as_millis();
    let tick = |n: u64| {
        let now = at(n * TICK.as_millis());
        let modes = succession.iter_mut().enumerate();
        let modes =
            modes.map(|(rank, succession)| (rank, succession.decide(now, without_watchers(rank))));
        let watching = modes.filter(|(_, mode)| *mode == Mode::Watch);
        watching.map(|(rank, _)| rank).collect()
    };
    (0..ticks).map(tick).collect()
}

#[test]
fn a_store_outage_does_not_make_the_whole_fleet_watch() {
    // Half a second into an outage of eight seconds, all of 295 daemons were calling the store a
    // few times a second. Each call is counted, answered or not.
    let watch_attempts = watch_attempts(|_| true, 30);
    let most = watch_attempts.iter().map(Vec::len).max().unwrap();
    assert!(most <= 24, "{most} daemons asked side by side");
    // If the store refuses all daemons but one, that one is found whichever it is.
    let mut tried = watch_attempts.concat();
    tried.sort_unstable();
    tried.dedup();
    assert_eq!(tried.len(), FLEET);
}

#[test]
fn standbys_take_over_within_half_a_second() {
    let mut succession = (0..8)
        .map(|_| Succession::new(true, REPORT_TTL))
        .collect::<Vec<_>>();
    for (rank, succession) in succession.iter_mut().enumerate() {
        let _ = succession.decide(at(0), without_watchers(rank));
        assert_eq!(
            succession.decide(at(500), without_watchers(rank)),
            Mode::Watch
        );
    }
}

#[test]
fn only_seeds_watch_at_fleet_start() {
    // All daemons of a fleet that started at once watched because they knew no peer: some 1,600
    // calls before the first request came.
    let watch_attempts = watch_attempts(|rank| rank % 100 == 7, 1);
    assert!(watch_attempts.concat().iter().all(|rank| rank % 100 == 7));
}

#[test]
fn new_daemons_wait_until_they_know_their_rank() {
    // New daemons that knew few peers ranked themselves among the first: 1.4 s after their start,
    // 108 of 295 daemons began to watch beside the seeds.
    let mut succession = Succession::new(false, REPORT_TTL);
    for ms in [1_400, 2_000, 2_900] {
        assert_eq!(succession.decide(at(ms), without_watchers(1)), Mode::Rest);
    }
    let _ = succession.decide(at(3_000), without_watchers(1));
    assert_eq!(
        succession.decide(at(3_100), without_watchers(1)),
        Mode::Watch
    );
}

#[test]
fn a_small_fleet_without_its_seeds_watches_soon() {
    // The seeds are dead, the other daemons know each other at once, and a change must be in force
    // within two seconds.
    let small = SuccessionInput {
        fleet: 9,
        ..without_watchers(0)
    };
    let mut succession = Succession::new(false, REPORT_TTL);
    assert_eq!(succession.decide(at(1_400), small), Mode::Watch);
}

#[test]
fn an_isolated_daemon_watches_at_once() {
    // A daemon cut off from all peers but not from the store must watch whatever its rank, since
    // nobody else would send it a change.
    let alone = SuccessionInput {
        hears_peers: false,
        ..without_watchers(200)
    };
    let mut succession = Succession::new(false, REPORT_TTL);
    assert_eq!(succession.decide(at(1_300), alone), Mode::Rest);
    assert_eq!(succession.decide(at(1_400), alone), Mode::Watch);
}

#[test]
fn a_working_watch_outlives_its_round() {
    // The store refuses all daemons but one far back in the order. If that one stopped with its
    // round, the fleet would get no changes again.
    let mut succession = Succession::new(true, REPORT_TTL);
    let works = SuccessionInput {
        own_watch_works: true,
        ..without_watchers(250)
    };
    assert_eq!(succession.decide(at(0), without_watchers(250)), Mode::Rest);
    for second in 0..30 {
        assert_eq!(succession.decide(at(second * 1_000), works), Mode::Watch);
    }
    let two = SuccessionInput { before: 2, ..works };
    assert_eq!(succession.decide(at(30_000), two), Mode::Rest);
}

#[test]
fn a_daemon_with_a_stale_copy_watches_whoever_else_does() {
    // A daemon heard of two watchers over connections that its peers had opened, while its own
    // requests got no answer. It did not watch, and refused routes that had been added 20 s before.
    let with_watchers = SuccessionInput {
        before: 2,
        ..without_watchers(77)
    };
    let mut succession = Succession::new(false, REPORT_TTL);
    assert_eq!(succession.decide(at(10_000), with_watchers), Mode::Rest);
    let old = SuccessionInput {
        is_stale: true,
        ..with_watchers
    };
    assert_eq!(succession.decide(at(10_100), old), Mode::Watch);
    // Once its copy is validated it leaves the store to the watchers again.
    assert_eq!(succession.decide(at(10_200), with_watchers), Mode::Rest);
}

#[test]
fn new_daemons_do_not_all_watch_for_lack_of_validation() {
    let new = SuccessionInput {
        is_stale: true,
        ..without_watchers(100)
    };
    let mut succession = Succession::new(false, REPORT_TTL);
    assert_eq!(succession.decide(at(2_900), new), Mode::Rest);
}

//! Which daemons watch the store: calls that do not grow with the fleet, and nobody is missed.

use fleet::{Around, Mode, Turns};
use types::prelude::*;

const FLEET: usize = 295;
/// The control thread decides this often.
const TICK: Span = Span::from_millis(100);
const FRESH: Span = Span::from_millis(1_400);

fn at(ms: u64) -> Time {
    Time::ZERO + Span::from_millis(ms)
}

fn unwatched(rank: usize) -> Around {
    Around {
        before: 0,
        rank,
        fleet: FLEET,
        hears_others: true,
        watches: false,
        fresh: FRESH,
        is_old: false,
    }
}

/// Daemons of a fleet that watch at each tick, while no watch ever works.
fn tries(is_seed: impl Fn(usize) -> bool, seconds: u64) -> Vec<Vec<usize>> {
    let mut turns = (0..FLEET)
        .map(|rank| Turns::new(is_seed(rank), FRESH))
        .collect::<Vec<_>>();
    let ticks = seconds * 1_000 / TICK.as_millis();
    let tick = |n: u64| {
        let now = at(n * TICK.as_millis());
        let modes = turns.iter_mut().enumerate();
        let modes = modes.map(|(rank, turns)| (rank, turns.decide(now, unwatched(rank))));
        let watching = modes.filter(|(_, mode)| *mode == Mode::Watch);
        watching.map(|(rank, _)| rank).collect()
    };
    (0..ticks).map(tick).collect()
}

#[test]
fn an_outage_does_not_bring_a_whole_fleet_to_the_store() {
    // The store is down for eight seconds. All of 295 daemons asked it a few times a second
    // within half a second of the loss; each call is counted, answered or not.
    let tries = tries(|_| true, 30);
    let most = tries.iter().map(Vec::len).max().unwrap();
    assert!(most <= 24, "{most} daemons asked side by side");
    // Where the store turns all but one away, that one is found whichever it is.
    let mut tried = tries.concat();
    tried.sort_unstable();
    tried.dedup();
    assert_eq!(tried.len(), FLEET);
}

#[test]
fn the_first_ones_take_over_within_half_a_second() {
    let mut turns = (0..8).map(|_| Turns::new(true, FRESH)).collect::<Vec<_>>();
    for (rank, turns) in turns.iter_mut().enumerate() {
        let _ = turns.decide(at(0), unwatched(rank));
        assert_eq!(turns.decide(at(500), unwatched(rank)), Mode::Watch);
    }
}

#[test]
fn a_fleet_that_starts_watches_by_its_seeds() {
    // All daemons start at one moment and know nobody: each began to watch, some 1,600 calls
    // before the first caller came.
    let tries = tries(|rank| rank % 100 == 7, 1);
    assert!(tries.concat().iter().all(|rank| rank % 100 == 7));
}

#[test]
fn daemons_that_start_together_wait_until_they_know_their_place() {
    // 1.4 s after their start 108 of 295 daemons began to watch beside the seeds: each knew few
    // others and took itself for one of the first.
    let mut turns = Turns::new(false, FRESH);
    for ms in [1_400, 2_000, 2_900] {
        assert_eq!(turns.decide(at(ms), unwatched(1)), Mode::Rest);
    }
    let _ = turns.decide(at(3_000), unwatched(1));
    assert_eq!(turns.decide(at(3_100), unwatched(1)), Mode::Watch);
}

#[test]
fn a_small_fleet_without_its_seeds_watches_soon() {
    // The seeds are dead; the others know each other at once, and a change is to be in force
    // within two seconds.
    let small = Around {
        fleet: 9,
        ..unwatched(0)
    };
    let mut turns = Turns::new(false, FRESH);
    assert_eq!(turns.decide(at(1_400), small), Mode::Watch);
}

#[test]
fn a_daemon_that_hears_nobody_watches_at_once() {
    // Cut off from all peers but not from the store: whatever its place, nobody else would
    // tell it of a change.
    let alone = Around {
        hears_others: false,
        ..unwatched(200)
    };
    let mut turns = Turns::new(false, FRESH);
    assert_eq!(turns.decide(at(1_300), alone), Mode::Rest);
    assert_eq!(turns.decide(at(1_400), alone), Mode::Watch);
}

#[test]
fn a_daemon_whose_watch_works_goes_on_when_its_round_is_over() {
    // The store turns all but one daemon far back in the order away. Were it to stop with its
    // round, the fleet would be blind again.
    let mut turns = Turns::new(true, FRESH);
    let works = Around {
        watches: true,
        ..unwatched(250)
    };
    assert_eq!(turns.decide(at(0), unwatched(250)), Mode::Rest);
    for second in 0..30 {
        assert_eq!(turns.decide(at(second * 1_000), works), Mode::Watch);
    }
    let two = Around { before: 2, ..works };
    assert_eq!(turns.decide(at(30_000), two), Mode::Rest);
}

#[test]
fn a_daemon_whose_copy_is_old_looks_itself_whoever_watches() {
    // A daemon hears of two watchers over others' connections, and its own questions are not
    // answered: it rested, and refused routes that had been added 20 s before.
    let told = Around {
        before: 2,
        ..unwatched(77)
    };
    let mut turns = Turns::new(false, FRESH);
    assert_eq!(turns.decide(at(10_000), told), Mode::Rest);
    let old = Around {
        is_old: true,
        ..told
    };
    assert_eq!(turns.decide(at(10_100), old), Mode::Watch);
    // Once it is proven current it leaves the store to the watchers again.
    assert_eq!(turns.decide(at(10_200), told), Mode::Rest);
}

#[test]
fn daemons_that_start_do_not_all_look_because_nothing_is_proven_yet() {
    let new = Around {
        is_old: true,
        ..unwatched(100)
    };
    let mut turns = Turns::new(false, FRESH);
    assert_eq!(turns.decide(at(2_900), new), Mode::Rest);
}

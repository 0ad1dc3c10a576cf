//! What daemons know of each other's standing.

use fleet::{Standing, Standings, Vouched};
use mirror::Revision;
use types::prelude::*;

const FRESH: Span = Span::from_millis(1_400);

fn daemon(n: usize) -> DaemonId {
    DaemonId::new(&format!("d{n}")).expect("a name")
}

fn holds(held: u64) -> Standing {
    Standing {
        held: Revision(held),
        watchers: Vec::new(),
        unanswered: Vec::new(),
        rollouts: Vec::new(),
        loads: Vec::new(),
        rate_limits: Vec::new(),
        sent_at: None,
        freshness: None,
    }
}

fn asked(standings: &Standings, held: u64) -> Vec<DaemonId> {
    let mut ahead = standings
        .ahead_of(Revision(held))
        .cloned()
        .collect::<Vec<_>>();
    ahead.sort();
    ahead
}

#[test]
fn a_daemon_without_a_copy_asks_any_that_has_one() {
    // A fleet was killed; many daemons have a copy again when a key changes, and for a moment
    // only the watcher has that change too. All others wanted their copy from the watcher,
    // which hands out two at a time, and callers were refused for a second more.
    let mut standings = Standings::default();
    for (n, held) in [7, 7, 8, 0].into_iter().enumerate() {
        standings.take(Time::ZERO, &daemon(n), &holds(held), FRESH);
    }
    assert_eq!(asked(&standings, 0), [daemon(0), daemon(1), daemon(2)]);
    // Who has a copy wants all that is new at once.
    assert_eq!(asked(&standings, 6), [daemon(2)]);
    assert!(asked(&standings, 8).is_empty());
}

/// Said by a daemon when its own clock was at `clock_ms`, as it tells itself.
fn word(n: usize, clock_ms: u64) -> Vouched {
    Vouched {
        daemon: daemon(n),
        age_ms: 0,
        run: Incarnation(1),
        clock_ms,
        held: Revision(7),
        proven_ms: Some(0),
    }
}

/// The same, as one that heard it so long ago tells it.
fn passed_on(word: &Vouched, age_ms: u16) -> Vouched {
    Vouched {
        age_ms,
        ..word.clone()
    }
}

fn watched(watchers: Vec<Vouched>) -> Standing {
    Standing {
        watchers,
        ..holds(7)
    }
}

fn at(ms: u64) -> Time {
    Time::ZERO + Span::from_millis(ms)
}

#[test]
fn a_watcher_that_is_not_answered_watches_no_more() {
    // The connections of both watchers to the store go silent; those to their peers do not. A key is
    // revoked just then. Others took the watchers' last word for good until it was too old, and served
    // with the revoked key for more than the two seconds that a change may take.
    let now = at(10_000);
    let mut standings = Standings::default();
    let works = watched(vec![passed_on(&word(4, 5_000), 100)]);
    let fails = Standing {
        unanswered: vec![word(4, 5_100)],
        ..holds(7)
    };
    standings.take(now, &daemon(0), &works, FRESH);
    assert!(standings.has_watcher());
    standings.take(now, &daemon(2), &fails, FRESH);
    assert!(!standings.has_watcher());
    // An older word of its success that comes late changes nothing.
    standings.take(now, &daemon(3), &works, FRESH);
    assert!(!standings.has_watcher());
    // It is answered again.
    let later = now + Span::from_secs(1);
    let works = watched(vec![passed_on(&word(4, 6_000), 100)]);
    standings.take(later, &daemon(3), &works, FRESH);
    assert!(standings.has_watcher());
}

#[test]
fn word_of_a_watcher_that_is_gone_is_not_passed_around_as_new() {
    // Messages between daemons are held up for seconds. A watcher dies; its last word goes from daemon to
    // daemon, each of which adds the time it held it but not the time on the way, so that everybody
    // believed in a watcher for as long as the word went round, and nobody watched.
    let mut standings = Standings::default();
    let last = word(4, 5_000);
    standings.take(at(10_000), &daemon(0), &watched(vec![last.clone()]), FRESH);
    for ms in [11_000, 12_000, 13_000] {
        let again = watched(vec![passed_on(&last, 100)]);
        standings.take(at(ms), &daemon(1), &again, FRESH);
        standings.expire(at(ms), FRESH);
    }
    assert!(!standings.has_watcher());
}

#[test]
fn word_that_was_held_up_on_its_way_is_as_old_as_it_is() {
    // A cut heals, and what lay behind it comes at once: the watcher's word of 8 s ago, which this daemon
    // had not heard. It proves nothing about the copy held now.
    let mut standings = Standings::default();
    let before = watched(vec![word(4, 5_000)]);
    standings.take(at(10_000), &daemon(0), &before, FRESH);
    let held_up = watched(vec![word(4, 5_400)]);
    standings.take(at(18_400), &daemon(0), &held_up, FRESH);
    standings.expire(at(18_400), FRESH);
    assert!(!standings.has_watcher());
}

#[test]
fn a_store_is_away_only_if_it_answers_none_of_several() {
    // Engines' leases run out in an outage. A daemon that does not watch must know of the outage
    // to keep them; one that took the loss or the cut of both watchers for an outage would send
    // to engines that left.
    let now = Time::ZERO + Span::from_secs(10);
    let mut standings = Standings::default();
    let mut hear = |n, standing: &Standing| {
        standings.take(now, &daemon(n), standing, FRESH);
        (standings.is_store_away(295), standings.is_store_away(2))
    };
    assert_eq!(hear(0, &holds(7)), (false, false), "nobody says anything");
    let two = Standing {
        unanswered: vec![passed_on(&word(1, 5_000), 300), word(2, 5_000)],
        ..holds(7)
    };
    let (is_away, is_away_for_two) = hear(1, &two);
    assert!(!is_away, "two may be cut off");
    assert!(is_away_for_two, "there is nobody else");
    let third = Standing {
        unanswered: vec![word(3, 5_000)],
        ..holds(7)
    };
    assert!(hear(3, &third).0);
    let works = Standing {
        watchers: vec![passed_on(&word(4, 5_000), 100)],
        ..holds(7)
    };
    assert!(!hear(5, &works).0, "it serves somebody");
    standings.expire(now + Span::from_millis(1_350), FRESH);
    assert!(!standings.is_store_away(295), "one word is too old");
}

#[test]
fn a_watcher_in_slow_messages_is_still_heard_of() {
    // Busy hosts read their messages late; the store was taken for away though watchers were answered.
    let mut standings = Standings::default();
    for ms in (20_000..22_000).step_by(200) {
        standings.take(at(ms), &daemon(5), &watched(vec![]), FRESH);
    }
    let late = watched(vec![passed_on(&word(4, 5_000), 100)]);
    standings.take(at(22_000), &daemon(5), &late, FRESH);
    standings.expire(at(22_400), FRESH);
    assert!(standings.has_watcher());
}

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

fn said(n: usize, age_ms: u16) -> Vouched {
    Vouched {
        daemon: daemon(n),
        age_ms,
    }
}

#[test]
fn a_watcher_that_is_not_answered_watches_no_more() {
    // The connections of both watchers to the store go silent; those to their peers do not. A key is
    // revoked just then. Others took the watchers' last word for good until it was too old, and served
    // with the revoked key for more than the two seconds that a change may take.
    let now = Time::ZERO + Span::from_secs(10);
    let mut standings = Standings::default();
    let works = Standing {
        watchers: vec![said(4, 100)],
        ..holds(7)
    };
    let fails = Standing {
        unanswered: vec![said(4, 0)],
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
    standings.take(later, &daemon(3), &works, FRESH);
    assert!(standings.has_watcher());
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
        unanswered: vec![said(1, 300), said(2, 0)],
        ..holds(7)
    };
    let (is_away, is_away_for_two) = hear(1, &two);
    assert!(!is_away, "two may be cut off");
    assert!(is_away_for_two, "there is nobody else");
    let third = Standing {
        unanswered: vec![said(3, 0)],
        ..holds(7)
    };
    assert!(hear(3, &third).0);
    let works = Standing {
        watchers: vec![said(4, 100)],
        ..holds(7)
    };
    assert!(!hear(5, &works).0, "it serves somebody");
    standings.expire(now + Span::from_millis(1_350), FRESH);
    assert!(!standings.is_store_away(295), "one word is too old");
}

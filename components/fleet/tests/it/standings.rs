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
        failed_ms_ago: None,
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

#[test]
fn a_store_is_away_only_if_it_fails_somebody_and_serves_nobody() {
    // Engines' leases run out in an outage. A daemon that does not watch must know of the outage
    // to keep them; one that took the loss of both watchers for an outage would send to engines
    // that left.
    let now = Time::ZERO + Span::from_secs(10);
    let mut standings = Standings::default();
    standings.take(now, &daemon(0), &holds(7), FRESH);
    assert!(!standings.is_store_away(), "nobody says anything");
    let fails = Standing {
        failed_ms_ago: Some(300),
        ..holds(7)
    };
    standings.take(now, &daemon(1), &fails, FRESH);
    assert!(standings.is_store_away());
    let watcher = Vouched {
        daemon: daemon(2),
        age_ms: 100,
    };
    let works = Standing {
        watchers: vec![watcher],
        ..holds(7)
    };
    standings.take(now, &daemon(3), &works, FRESH);
    assert!(!standings.is_store_away(), "it serves somebody");
    standings.expire(now + Span::from_millis(1_350), FRESH);
    assert!(!standings.is_store_away(), "the failure is long ago");
}

//! How edits spread, and that nothing brings an older one back.

use std::collections::BTreeSet;

use bytes::Bytes;
use catalogue::edit::*;
use catalogue::entry::{Freshness, PastLimit};
use catalogue::sync::Decision;
use keyvalue::Txn;
use types::prelude::*;

use crate::world::*;

const PLACES: usize = 8;

fn at(revision: u64) -> IfMatch {
    IfMatch::Revision(Revision(revision))
}

/// A fleet in which customers/a stands at revision 1 everywhere.
fn settled(seed: u64) -> Fleet {
    let mut fleet = Fleet::new(PLACES, seed);
    fleet.put(0, "customers/a", IfMatch::Absent, 1);
    fleet.run(Span::from_secs(3));
    assert_everywhere(&fleet, 1);
    fleet
}

fn assert_everywhere(fleet: &Fleet, revision: u64) {
    for place in 0..PLACES {
        assert_eq!(fleet.revision(place), Revision(revision), "d{place}");
    }
}

#[test]
fn can_spread_within_a_second_and_know_it() {
    let mut fleet = settled(1);
    fleet.put(3, "customers/a", at(1), 2);
    fleet.run(Span::from_secs(1));
    assert_everywhere(&fleet, 2);
    let now = fleet.now;
    let revision = Revision(2);
    fleet.sync(5).wait_for(revision, now + LONG);
    fleet.run(Span::from_secs(2));
    assert!(
        fleet
            .daemon(5)
            .sync
            .in_force(fleet.now, revision)
            .is_everywhere()
    );
    fleet.pause(6, true);
    fleet.put(3, "customers/a", at(2), 3);
    let until = fleet.now + LONG;
    fleet.sync(3).wait_for(Revision(3), until);
    fleet.run(Span::from_secs(5));
    let state = fleet.daemon(3).sync.in_force(fleet.now, Revision(3));
    let laggards: Vec<&DaemonId> = state.laggards.iter().map(|l| &l.daemon).collect();
    assert_eq!(laggards, [&id(6)]);
    assert!(state.laggards[0].heard > Some(Span::from_secs(4)));
}

/// Most daemons are no watchers. Told of an edit only when they ask, a fleet would be
/// seconds behind after each.
#[test]
fn can_tell_most_of_a_larger_fleet_at_once() {
    let mut fleet = Fleet::new(24, 13);
    fleet.put(0, "customers/a", IfMatch::Absent, 1);
    fleet.run(Span::from_secs(5));
    fleet.put(0, "customers/a", at(1), 2);
    fleet.run(Span::from_millis(450));
    let have = (0..24)
        .filter(|place| fleet.revision(*place) == Revision(2))
        .count();
    assert!(have >= 20, "{have} of 24");
}

/// The store goes down right after an edit was accepted. Half of the daemons are
/// replaced meanwhile: they start without disk and without the store. A request served
/// by the old entry would be one that the operator believes impossible by now.
#[test]
fn can_start_from_peers_while_the_store_is_down() {
    let mut fleet = settled(2);
    fleet.put(0, "customers/a", at(1), 2);
    fleet.store_up = false;
    for place in 1..PLACES / 2 {
        fleet.restart(place);
        assert_eq!(fleet.revision(place), Revision(0));
        let rule = Freshness {
            past_limit: PastLimit::Serve,
            ..Freshness::default()
        };
        let decision = fleet.daemon(place).sync.decision(fleet.now, &rule);
        assert!(
            matches!(decision, Decision::Refuse { .. }),
            "serves without a catalogue"
        );
    }
    fleet.run(Span::from_secs(3));
    assert_everywhere(&fleet, 2);
    for place in 4..PLACES {
        fleet.restart(place);
    }
    fleet.run(Span::from_secs(40));
    assert_everywhere(&fleet, 2);
    // Nobody reaches the store and all see each other: what is known is served.
    assert_eq!(
        decisions(&fleet, PastLimit::ServeWithMajority),
        [true; PLACES]
    );
}

/// All daemons start at once with a store that is up: nobody has anything to give, and
/// only the watchers read it.
#[test]
fn can_start_a_whole_fleet_from_the_store() {
    let mut fleet = settled(3);
    (0..PLACES).for_each(|place| fleet.restart(place));
    fleet.run(Span::from_secs(5));
    assert_everywhere(&fleet, 1);
}

/// A daemon sleeps through many edits and the removal of an entry, and wakes up with
/// messages of old revisions in its queue. It must neither keep the removed entry nor
/// give it back to others.
#[test]
fn can_wake_up_long_behind() {
    let mut fleet = settled(4);
    fleet.pause(1, true);
    for revision in 1..40 {
        fleet.put(0, "customers/a", at(revision), 2);
    }
    let (_, ticket) = fleet.edit(0, "customers/a", at(40), None, LONG);
    fleet.verdict(ticket);
    fleet.pause(1, false);
    fleet.run(Span::from_secs(3));
    assert_everywhere(&fleet, 41);
    for place in 0..PLACES {
        let catalogue = fleet.daemon(place).sync.catalogue();
        assert_eq!(
            catalogue.entries().count(),
            0,
            "d{place} has a removed entry"
        );
    }
}

/// The watches are open and silent: they skip an edit, and records between daemons are
/// lost too. Nobody would ever miss it but by looking at the head now and then.
#[test]
fn can_find_what_the_watches_skipped() {
    let mut fleet = settled(12);
    fleet.drops_watches = true;
    fleet.drops_pages = true;
    fleet.put(0, "customers/a", at(1), 2);
    fleet.run(Span::from_secs(4));
    assert_everywhere(&fleet, 2);
}

/// The store is restored from a copy that lacks accepted edits. Daemons started after
/// that, and edits checked against it, would bring old entries back.
#[test]
fn can_put_back_what_a_restored_store_lost() {
    let mut fleet = settled(5);
    let backup = fleet.table.clone();
    fleet.put(0, "customers/a", at(1), 2);
    fleet.put(0, "customers/b", IfMatch::Absent, 1);
    fleet.run(Span::from_secs(2));
    fleet.table = backup;
    assert_eq!(fleet.head().revision, Revision(1));
    // Tried at once, against the old state: it has to wait for the repair.
    let verdict = fleet.put(4, "customers/a", at(2), 3);
    assert_eq!(
        verdict,
        Verdict::Applied {
            revision: Revision(4)
        }
    );
    fleet.run(LONG);
    assert_everywhere(&fleet, 4);
    assert_eq!(fleet.head().revision, Revision(4));
    assert_eq!(fleet.stored()[&name("customers/b")].revision, Revision(3));
}

/// A hand writes nonsense into the store: an entry that breaks its rules, one that no
/// release can read, one that is no record at all. None may stop a daemon, take the
/// last good entry out of force, or hold back the edits that follow.
#[test]
fn can_live_with_bad_records() {
    let mut fleet = settled(6);
    fleet.put(0, "customers/b", IfMatch::Absent, 1);
    fleet.run(Span::from_secs(2));
    let stored = fleet.stored();
    let good = serde_json::to_string(&stored[&name("customers/a")]).unwrap();
    let bad = good
        .replace("\"weight\":1", "\"weight\":0")
        .replace("\"revision\":1", "\"revision\":3");
    let unreadable = good
        .replace("\"weight\":1", "\"colour\":1")
        .replace("\"revision\":1", "\"revision\":4");
    fleet.write_by_hand("customers/a", bad.into(), 3);
    fleet.write_by_hand("customers/b", unreadable.into(), 4);
    fleet.write_by_hand("customers/c", Bytes::from_static(b"nonsense"), 4);
    fleet.run(Span::from_secs(5));
    fleet.restart(7);
    fleet.run(Span::from_secs(5));
    for place in 0..PLACES {
        let catalogue = fleet.daemon(place).sync.catalogue();
        assert_eq!(catalogue.entries().count(), 2, "d{place}");
        let rejected = catalogue.rejected();
        let kept: BTreeSet<_> = rejected.values().map(|r| r.in_force).collect();
        assert_eq!(
            kept,
            [Some(Revision(1)), Some(Revision(2))].into(),
            "d{place}"
        );
    }
    let verdict = fleet.put(2, "customers/d", IfMatch::Absent, 1);
    assert_eq!(
        verdict,
        Verdict::Applied {
            revision: Revision(5)
        }
    );
    fleet.run(Span::from_secs(2));
    assert_everywhere(&fleet, 5);
}

fn decisions(fleet: &Fleet, past_limit: PastLimit) -> Vec<bool> {
    let rule = Freshness {
        past_limit,
        ..Freshness::default()
    };
    let decisions = (0..PLACES).map(|place| fleet.daemon(place).sync.decision(fleet.now, &rule));
    decisions
        .map(|decision| !matches!(decision, Decision::Refuse { .. }))
        .collect()
}

/// Three daemons lose the others and the store while an operator withdraws something.
/// They cannot tell this from a store that is down for all, but for how few they see.
#[test]
fn errors_refuse_when_cut_off_but_serve_when_the_store_is_down() {
    let mut fleet = settled(7);
    fleet.cut = (0..3).map(id).collect();
    fleet.put(5, "customers/a", at(1), 2);
    fleet.run(Span::from_secs(20));
    let serving = decisions(&fleet, PastLimit::ServeWithMajority);
    assert_eq!(serving, [false, false, false, true, true, true, true, true]);
    assert_eq!(decisions(&fleet, PastLimit::Serve), [true; PLACES]);
    // One that starts in the small part learns there that it is small.
    fleet.restart(0);
    fleet.run(Span::from_secs(20));
    let serving = decisions(&fleet, PastLimit::ServeWithMajority);
    assert_eq!(serving, [false, false, false, true, true, true, true, true]);
    fleet.cut.clear();
    fleet.run(Span::from_secs(3));
    assert_everywhere(&fleet, 2);
    assert_eq!(decisions(&fleet, PastLimit::Refuse), [true; PLACES]);
    fleet.store_up = false;
    for second in 0..60 {
        fleet.run(Span::from_secs(1));
        let serving = decisions(&fleet, PastLimit::ServeWithMajority);
        assert_eq!(
            serving, [true; PLACES],
            "{second} s after the store went down"
        );
    }
    assert_eq!(decisions(&fleet, PastLimit::Refuse), [false; PLACES]);
}

/// A daemon hears that there is a newer revision and does not get it, neither from others
/// nor from the store, while operators go on with the store in reach of others. It sees most of the fleet and must refuse.
#[test]
fn errors_refuse_when_others_have_newer_from_the_store() {
    let mut fleet = Fleet::new(12, 11);
    fleet.put(0, "customers/a", IfMatch::Absent, 1);
    fleet.run(Span::from_secs(3));
    let lags = |place: &usize| !fleet.daemon(*place).sync.is_watching();
    let lagging = (0..12).find(lags).unwrap();
    fleet.no_store = Some(id(lagging));
    fleet.drops_pages = true;
    fleet.put(0, "customers/a", at(1), 2);
    fleet.run(Span::from_secs(14));
    let rule = Freshness::default();
    let decision = fleet.daemon(lagging).sync.decision(fleet.now, &rule);
    assert!(matches!(decision, Decision::Refuse { .. }), "{decision:?}");
    fleet.drops_pages = false;
    fleet.run(Span::from_secs(5));
    let decision = fleet.daemon(lagging).sync.decision(fleet.now, &rule);
    assert!(matches!(decision, Decision::InForce { .. }), "{decision:?}");
}

/// A daemon is paused for half a minute with answers waiting in its queue. Read after
/// it wakes up, they must not pass for fresh: what they tell was true before the pause.
#[test]
fn errors_an_answer_that_waited_is_no_fresh_one() {
    // At each moment of a round of asking, so that answers are under way at some.
    for steps in 1..=20 {
        let mut fleet = settled(8);
        fleet.store_up = false;
        fleet.run(STEP.times(steps));
        let before = fleet.daemon(1).sync.confirmed();
        fleet.pause(1, true);
        fleet.run(Span::from_secs(30));
        fleet.pause(1, false);
        fleet.run(STEP);
        let after = fleet.daemon(1).sync.confirmed();
        assert!(
            after <= before.map(|at| at + Span::from_secs(2)),
            "{before:?} {after:?}"
        );
    }
}

#[test]
fn can_keep_the_stores_calls_from_growing_with_the_fleet() {
    let calls = |count| {
        let mut fleet = Fleet::new(count, 9);
        fleet.put(0, "customers/a", IfMatch::Absent, 1);
        fleet.run(Span::from_secs(10));
        let before = fleet.store_calls;
        fleet.run(Span::from_secs(60));
        fleet.store_calls - before
    };
    let (few, many) = (calls(8), calls(64));
    assert!(many <= 2 * few, "{few} calls at 8 daemons, {many} at 64");
}

#[test]
fn can_put_a_removal_made_by_hand_back() {
    let mut fleet = settled(10);
    fleet.write_raw(Txn {
        success: vec![keyvalue::Op::Delete(keys().entry(&name("customers/a")))],
        ..Txn::default()
    });
    fleet.run(Span::from_secs(5));
    for place in 0..PLACES {
        assert_eq!(fleet.daemon(place).sync.catalogue().entries().count(), 1);
    }
}

//! Tests of the replication of edits, and that no older revision reappears.

use std::collections::BTreeSet;

use bytes::Bytes;
use catalogue::edit::*;
use catalogue::entry::{Freshness, PastLimit};
use catalogue::sync::Decision;
use keyvalue::Txn;
use types::prelude::*;

use crate::world::*;

const DAEMONS: usize = 8;

fn at(revision: u64) -> IfMatch {
    IfMatch::Revision(Revision(revision))
}

/// Creates a fleet in which every daemon holds customers/a at revision 1.
fn converged_fleet(seed: u64) -> Fleet {
    let mut fleet = Fleet::new(DAEMONS, seed);
    fleet.put(0, "customers/a", IfMatch::Absent, 1);
    fleet.run(Span::from_secs(3));
    assert_everywhere(&fleet, 1);
    fleet
}

fn assert_everywhere(fleet: &Fleet, revision: u64) {
    for index in 0..DAEMONS {
        assert_eq!(fleet.revision(index), Revision(revision), "d{index}");
    }
}

#[test]
fn can_replicate_within_a_second_and_report_laggards() {
    let mut fleet = converged_fleet(1);
    fleet.put(3, "customers/a", at(1), 2);
    fleet.run(Span::from_secs(1));
    assert_everywhere(&fleet, 2);
    let now = fleet.now;
    let revision = Revision(2);
    fleet.sync(5).wait_for(revision, now + TIMEOUT);
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
    let until = fleet.now + TIMEOUT;
    fleet.sync(3).wait_for(Revision(3), until);
    fleet.run(Span::from_secs(5));
    let state = fleet.daemon(3).sync.in_force(fleet.now, Revision(3));
    let laggards: Vec<&DaemonId> = state.laggards.iter().map(|l| &l.daemon).collect();
    assert_eq!(laggards, [&id(6)]);
    assert!(state.laggards[0].heard > Some(Span::from_secs(4)));
}

/// Most daemons are not watchers. Without announcements, they would learn of an edit only in
/// anti-entropy rounds, seconds later.
#[test]
fn can_announce_an_edit_to_most_of_a_larger_fleet() {
    let mut fleet = Fleet::new(24, 13);
    fleet.put(0, "customers/a", IfMatch::Absent, 1);
    fleet.run(Span::from_secs(5));
    fleet.put(0, "customers/a", at(1), 2);
    fleet.run(Span::from_millis(450));
    let have = (0..24)
        .filter(|index| fleet.revision(*index) == Revision(2))
        .count();
    assert!(have >= 20, "{have} of 24");
}

/// The store becomes unreachable right after an edit was applied, and daemons restart without
/// a local copy. They must get the new entry from peers and serve nothing before: a request
/// served by the old entry would contradict the verdict that the operator was given.
#[test]
fn can_restart_from_peers_while_the_store_is_unreachable() {
    let mut fleet = converged_fleet(2);
    fleet.put(0, "customers/a", at(1), 2);
    fleet.store_up = false;
    for index in 1..DAEMONS / 2 {
        fleet.restart(index);
        assert_eq!(fleet.revision(index), Revision(0));
        let rule = Freshness {
            past_limit: PastLimit::Serve,
            ..Freshness::default()
        };
        let decision = fleet.daemon(index).sync.decision(fleet.now, &rule);
        assert!(
            matches!(decision, Decision::Refuse { .. }),
            "serves without a catalogue"
        );
    }
    fleet.run(Span::from_secs(3));
    assert_everywhere(&fleet, 2);
    for index in 4..DAEMONS {
        fleet.restart(index);
    }
    fleet.run(Span::from_secs(40));
    assert_everywhere(&fleet, 2);
    // No daemon reaches the store but all reach each other, so known entries are served.
    assert_eq!(
        serving_daemons(&fleet, PastLimit::ServeWithMajority),
        [true; DAEMONS]
    );
}

/// All daemons restart at once while the store is reachable. No peer holds a catalogue, and
/// only the watchers read the store, so the rest must receive it from them.
#[test]
fn can_restart_a_whole_fleet_from_the_store() {
    let mut fleet = converged_fleet(3);
    (0..DAEMONS).for_each(|index| fleet.restart(index));
    fleet.run(Span::from_secs(5));
    assert_everywhere(&fleet, 1);
}

/// A daemon is paused during many edits and the removal of an entry, and resumes with messages
/// about old revisions in its queue. It must neither keep the removed entry nor pass it on.
#[test]
fn can_catch_up_after_a_long_pause() {
    let mut fleet = converged_fleet(4);
    fleet.pause(1, true);
    for revision in 1..40 {
        fleet.put(0, "customers/a", at(revision), 2);
    }
    let (_, ticket) = fleet.edit(0, "customers/a", at(40), None, TIMEOUT);
    fleet.verdict(ticket);
    fleet.pause(1, false);
    fleet.run(Span::from_secs(3));
    assert_everywhere(&fleet, 41);
    for index in 0..DAEMONS {
        let catalogue = fleet.daemon(index).sync.catalogue();
        assert_eq!(
            catalogue.entries().count(),
            0,
            "d{index} has a removed entry"
        );
    }
}

/// The watches skip an edit and pages between daemons are lost too. Only polls of the head can
/// then detect the missing edit.
#[test]
fn can_detect_edits_that_watches_skipped() {
    let mut fleet = converged_fleet(12);
    fleet.drops_watch_events = true;
    fleet.drops_pages = true;
    fleet.put(0, "customers/a", at(1), 2);
    fleet.run(Span::from_secs(4));
    assert_everywhere(&fleet, 2);
}

/// The store is restored from a copy that lacks applied edits. Without a repair, daemons that
/// start later, and edits checked against the store, would bring old entries back.
#[test]
fn can_repair_a_store_restored_from_an_older_copy() {
    let mut fleet = converged_fleet(5);
    let backup = fleet.table.clone();
    fleet.put(0, "customers/a", at(1), 2);
    fleet.put(0, "customers/b", IfMatch::Absent, 1);
    fleet.run(Span::from_secs(2));
    fleet.table = backup;
    assert_eq!(fleet.head().revision, Revision(1));
    // This edit is submitted before the repair and has to wait for it.
    let verdict = fleet.put(4, "customers/a", at(2), 3);
    assert_eq!(
        verdict,
        Verdict::Applied {
            revision: Revision(4)
        }
    );
    fleet.run(TIMEOUT);
    assert_everywhere(&fleet, 4);
    assert_eq!(fleet.head().revision, Revision(4));
    assert_eq!(fleet.stored()[&name("customers/b")].revision, Revision(3));
}

/// Bad values are written directly to the store: an entry that breaks its rules, one that no
/// release can read, and one that is not a record. None may stop a daemon, replace the last
/// valid entry in force, or hold back later edits.
#[test]
fn can_live_with_bad_records() {
    let mut fleet = converged_fleet(6);
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
    fleet.write_unchecked("customers/a", bad.into(), 3);
    fleet.write_unchecked("customers/b", unreadable.into(), 4);
    fleet.write_unchecked("customers/c", Bytes::from_static(b"nonsense"), 4);
    fleet.run(Span::from_secs(5));
    fleet.restart(7);
    fleet.run(Span::from_secs(5));
    for index in 0..DAEMONS {
        let catalogue = fleet.daemon(index).sync.catalogue();
        assert_eq!(catalogue.entries().count(), 2, "d{index}");
        let rejected = catalogue.rejected();
        let kept: BTreeSet<_> = rejected.values().map(|r| r.in_force).collect();
        assert_eq!(
            kept,
            [Some(Revision(1)), Some(Revision(2))].into(),
            "d{index}"
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

/// Whether each daemon serves entries with this rule.
fn serving_daemons(fleet: &Fleet, past_limit: PastLimit) -> Vec<bool> {
    let rule = Freshness {
        past_limit,
        ..Freshness::default()
    };
    let decisions = (0..DAEMONS).map(|index| fleet.daemon(index).sync.decision(fleet.now, &rule));
    decisions
        .map(|decision| !matches!(decision, Decision::Refuse { .. }))
        .collect()
}

/// Three daemons are partitioned from the others and the store while an entry is edited. Only
/// the number of daemons that they reach distinguishes this from a store that is unreachable
/// for all, in which case entries must still be served.
#[test]
fn errors_refuse_in_a_minority_but_serve_when_the_store_is_unreachable() {
    let mut fleet = converged_fleet(7);
    fleet.partitioned = (0..3).map(id).collect();
    fleet.put(5, "customers/a", at(1), 2);
    fleet.run(Span::from_secs(20));
    let serving = serving_daemons(&fleet, PastLimit::ServeWithMajority);
    assert_eq!(serving, [false, false, false, true, true, true, true, true]);
    assert_eq!(serving_daemons(&fleet, PastLimit::Serve), [true; DAEMONS]);
    // A daemon that restarts inside the minority learns the fleet's size from its peers.
    fleet.restart(0);
    fleet.run(Span::from_secs(20));
    let serving = serving_daemons(&fleet, PastLimit::ServeWithMajority);
    assert_eq!(serving, [false, false, false, true, true, true, true, true]);
    fleet.partitioned.clear();
    fleet.run(Span::from_secs(3));
    assert_everywhere(&fleet, 2);
    assert_eq!(serving_daemons(&fleet, PastLimit::Refuse), [true; DAEMONS]);
    fleet.store_up = false;
    for second in 0..60 {
        fleet.run(Span::from_secs(1));
        let serving = serving_daemons(&fleet, PastLimit::ServeWithMajority);
        assert_eq!(
            serving, [true; DAEMONS],
            "{second} s after the store went down"
        );
    }
    assert_eq!(serving_daemons(&fleet, PastLimit::Refuse), [false; DAEMONS]);
}

/// A daemon hears of a newer revision but receives it neither from peers nor from the store,
/// while other daemons reach the store and edits continue. It reaches most of the fleet and
/// must refuse all the same.
#[test]
fn errors_refuse_while_others_reach_the_store_and_are_newer() {
    let mut fleet = Fleet::new(12, 11);
    fleet.put(0, "customers/a", IfMatch::Absent, 1);
    fleet.run(Span::from_secs(3));
    let lags = |index: &usize| !fleet.daemon(*index).sync.is_watching();
    let lagging = (0..12).find(lags).unwrap();
    fleet.without_store = Some(id(lagging));
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

/// A daemon is paused for half a minute with replies waiting in its queue. When it reads them
/// after resuming, they must not validate the catalogue as of now: they describe the state
/// before the pause.
#[test]
fn errors_a_delayed_reply_does_not_validate_the_catalogue() {
    // Pauses at every step of an anti-entropy round, so that replies are in flight at some.
    for steps in 1..=20 {
        let mut fleet = converged_fleet(8);
        fleet.store_up = false;
        fleet.run(STEP.times(steps));
        let before = fleet.daemon(1).sync.validated_at();
        fleet.pause(1, true);
        fleet.run(Span::from_secs(30));
        fleet.pause(1, false);
        fleet.run(STEP);
        let after = fleet.daemon(1).sync.validated_at();
        assert!(
            after <= before.map(|at| at + Span::from_secs(2)),
            "{before:?} {after:?}"
        );
    }
}

/// Every daemon reading the store for itself would make its load grow with the fleet.
#[test]
fn can_keep_store_calls_independent_of_fleet_size() {
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

/// A key deleted directly in the store, without an edit, must not remove the entry from force.
#[test]
fn can_keep_an_entry_deleted_directly_in_the_store() {
    let mut fleet = converged_fleet(10);
    fleet.write_raw(Txn {
        success: vec![keyvalue::Op::Delete(keys().entry(&name("customers/a")))],
        ..Txn::default()
    });
    fleet.run(Span::from_secs(5));
    for index in 0..DAEMONS {
        assert_eq!(fleet.daemon(index).sync.catalogue().entries().count(), 1);
    }
}

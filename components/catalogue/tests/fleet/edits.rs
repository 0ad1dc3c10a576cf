//! Edits under faults of the store.

use catalogue::edit::*;

use types::prelude::*;

use crate::world::*;

fn applied(revision: u64) -> Verdict {
    Verdict::Applied {
        revision: Revision(revision),
    }
}

fn at(revision: u64) -> IfMatch {
    IfMatch::Revision(Revision(revision))
}

#[test]
fn can_edit_remove_and_make_again() {
    let mut fleet = Fleet::new(2, 1);
    assert_eq!(fleet.put(0, "customers/a", IfMatch::Absent, 1), applied(1));
    assert_eq!(fleet.put(1, "customers/a", at(1), 2), applied(2));
    let (_, ticket) = fleet.edit(0, "customers/a", at(2), None, LONG);
    assert_eq!(fleet.verdict(ticket), applied(3));
    assert_eq!(fleet.put(1, "customers/a", IfMatch::Absent, 3), applied(4));
    let record = &fleet.stored()[&name("customers/a")];
    let history: Vec<u64> = record.history.iter().map(|past| past.revision.0).collect();
    assert_eq!(history, [3, 2, 1]);
}

/// Two operators change one entry at once. Both saw revision 1, both writes reach the
/// store; if the second were told that it won, the first one's change would be undone
/// without anybody knowing.
#[test]
fn errors_conflict_tells_the_loser_what_stands() {
    let mut fleet = Fleet::new(2, 2);
    fleet.put(0, "customers/a", IfMatch::Absent, 1);
    fleet.run(Span::from_secs(2));
    let first = fleet
        .edit(0, "customers/a", at(1), Some(customer(7, 2)), LONG)
        .1;
    let second = fleet
        .edit(1, "customers/a", at(1), Some(customer(7, 3)), LONG)
        .1;
    assert_eq!(fleet.verdict(first), applied(2));
    let Verdict::Conflict {
        standing,
        differences,
        ..
    } = fleet.verdict(second)
    else {
        panic!("both won");
    };
    assert_eq!(standing, Revision(2));
    assert_eq!(differences.len(), 1);
    assert_eq!(differences[0].key, "weight");
    assert_eq!(differences[0].standing, Some(2.into()));
}

/// The store writes the edit and the reply is lost. Told "not applied", the operator
/// would make the same change again, or believe that the old entry stands.
#[test]
fn can_tell_a_lost_reply_that_took_effect() {
    let mut fleet = Fleet::new(2, 3);
    fleet.fates = [Fate::Lost].into();
    assert_eq!(fleet.put(0, "customers/a", IfMatch::Absent, 1), applied(1));
    assert_eq!(fleet.landed.len(), 1);
}

/// The reply is lost, a read-back shows the old value, and then the write takes effect.
/// Without a write that moves the head first, the repeat and the delayed write would
/// land one after the other, or "not applied" would become false.
#[test]
fn can_fence_an_effect_that_comes_after_the_read_back() {
    let mut fleet = Fleet::new(2, 4);
    fleet.put(0, "customers/a", IfMatch::Absent, 1);
    fleet.run(Span::from_secs(2));
    fleet.fates = [Fate::Delayed, Fate::Fine, Fate::NotSent].into();
    let patience = Span::from_millis(200);
    let entry = Some(customer(7, 2));
    let (edit_id, ticket) = fleet.edit(0, "customers/a", at(1), entry, patience);
    // Sent and lost, fenced, then the store refuses until time runs out.
    fleet.fates.extend([Fate::NotSent; 20]);
    let verdict = fleet.verdict(ticket);
    assert!(matches!(verdict, Verdict::NotApplied { .. }), "{verdict:?}");
    fleet.land();
    assert!(!fleet.landed.values().any(|landed| *landed == edit_id));
}

/// The store goes down right after the lost reply, so nothing can be fenced: the
/// operator is told "unknown" and asks by the id later, through another daemon.
#[test]
fn can_ask_later_by_the_edit_id() {
    for lands_before in [true, false] {
        let mut fleet = Fleet::new(3, 5);
        fleet.put(0, "customers/a", IfMatch::Absent, 1);
        fleet.run(Span::from_secs(2));
        let patience = Span::from_millis(300);
        fleet.fates = [Fate::Delayed].into();
        fleet.fates.extend([Fate::NotSent; 30]);
        let entry = Some(customer(7, 2));
        let (edit_id, ticket) = fleet.edit(0, "customers/a", at(1), entry, patience);
        let verdict = fleet.verdict(ticket);
        assert!(matches!(verdict, Verdict::Unknown { .. }), "{verdict:?}");
        fleet.fates.clear();
        if lands_before {
            fleet.land();
        }
        let query = fleet.query(1, edit_id, None);
        let verdict = fleet.verdict(query);
        fleet.land();
        let landed = fleet.landed.values().any(|landed| *landed == edit_id);
        assert_eq!(landed, lands_before);
        assert_eq!(
            matches!(verdict, Verdict::Applied { .. }),
            landed,
            "{verdict:?}"
        );
        assert_eq!(
            matches!(verdict, Verdict::NotApplied { .. }),
            !landed,
            "{verdict:?}"
        );
    }
}

/// The daemon that makes an edit is paused before its write. Its operator asks another
/// daemon and hears "not applied"; then the first daemon wakes up and goes on.
#[test]
fn can_keep_a_paused_maker_from_landing_later() {
    let mut fleet = Fleet::new(3, 6);
    fleet.put(0, "customers/a", IfMatch::Absent, 1);
    fleet.run(Span::from_secs(2));
    fleet.fates = [Fate::NotSent].into();
    let entry = Some(customer(7, 2));
    let (edit_id, ticket) = fleet.edit(0, "customers/a", at(1), entry, LONG);
    fleet.run(STEP);
    fleet.pause(0, true);
    let query = fleet.query(1, edit_id, None);
    let verdict = fleet.verdict(query);
    assert!(matches!(verdict, Verdict::NotApplied { .. }), "{verdict:?}");
    fleet.pause(0, false);
    let verdict = fleet.verdict(ticket);
    assert!(matches!(verdict, Verdict::NotApplied { .. }), "{verdict:?}");
    assert!(!fleet.landed.values().any(|landed| *landed == edit_id));
}

/// An edit lands, its reply is lost, and so many others follow that neither the head's
/// list nor the entry's history names it any more. A daemon that saw them all still
/// tells; one that did not says "unknown", never "not applied".
#[test]
fn errors_unknown_when_an_edit_is_too_old_to_tell() {
    let mut fleet = Fleet::new(3, 7);
    let entry = Some(customer(7, 1));
    let (edit_id, ticket) = fleet.edit(0, "customers/a", IfMatch::Absent, entry, LONG);
    fleet.verdict(ticket);
    for revision in 1..60 {
        assert_eq!(
            fleet.put(0, "customers/a", at(revision), 1),
            applied(revision + 1)
        );
    }
    let query = fleet.query(0, edit_id, Some("customers/a"));
    assert_eq!(fleet.verdict(query), applied(1));
    for place in 0..3 {
        fleet.restart(place);
    }
    fleet.run(Span::from_secs(10));
    let query = fleet.query(1, edit_id, Some("customers/a"));
    let verdict = fleet.verdict(query);
    assert!(matches!(verdict, Verdict::Unknown { .. }), "{verdict:?}");
}

/// One operator gives a customer a key while another, through a daemon that has not
/// heard of it, gives the same key to a second customer. Each edit is fine by what its
/// daemon knows; together a caller would be billed as somebody else.
#[test]
fn errors_rules_hold_against_what_the_store_has_by_now() {
    let mut fleet = Fleet::new(12, 8);
    fleet.put(0, "customers/z", IfMatch::Absent, 1);
    fleet.run(Span::from_secs(2));
    let mut places = 1..12;
    let lags = |place: &usize| !fleet.daemon(*place).sync.is_watching();
    let lagging = places.find(lags).unwrap();
    let entry = || Some(customer(7, 1));
    let first = fleet
        .edit(0, "customers/a", IfMatch::Absent, entry(), LONG)
        .1;
    let second = fleet
        .edit(lagging, "customers/b", IfMatch::Absent, entry(), LONG)
        .1;
    assert_eq!(fleet.verdict(first), applied(2));
    let Verdict::Invalid { problems } = fleet.verdict(second) else {
        panic!("two customers share a key");
    };
    assert!(
        problems[0]
            .to_string()
            .contains("a key that another customer has")
    );
}

/// Fifty operators at once through several daemons: each edit lands exactly once, and
/// revisions stay dense.
#[test]
fn can_take_a_burst_through_many_daemons() {
    let mut fleet = Fleet::new(5, 9);
    let tickets: Vec<Ticket> = (0..50)
        .map(|n| {
            let entry = Some(customer(n, 1));
            let entry_name = format!("customers/c{n}");
            fleet
                .edit(
                    n % 5,
                    &entry_name,
                    IfMatch::Absent,
                    entry,
                    Span::from_secs(30),
                )
                .1
        })
        .collect();
    for ticket in tickets {
        let verdict = fleet.verdict(ticket);
        assert!(matches!(verdict, Verdict::Applied { .. }), "{verdict:?}");
    }
    let revisions: Vec<u64> = fleet.landed.keys().map(|revision| revision.0).collect();
    assert_eq!(revisions, (1..=50).collect::<Vec<_>>());
}

/// Two operators at once on one entry, a thousand rounds, with replies lost now and
/// then: exactly one wins each round and the other knows it.
#[test]
fn can_have_exactly_one_winner_in_a_thousand_rounds() {
    let mut fleet = Fleet::new(2, 10);
    fleet.put(0, "customers/a", IfMatch::Absent, 1);
    let mut revision = 1;
    for round in 0..1000 {
        fleet.fates.clear();
        match round % 5 {
            0 => fleet.fates.push_back(Fate::Lost),
            1 => fleet.fates.push_back(Fate::Delayed),
            _ => {}
        }
        let tickets = [0, 1].map(|place| {
            let entry = Some(customer(7, 2 + place));
            fleet
                .edit(place, "customers/a", at(revision), entry, LONG)
                .1
        });
        let verdicts = tickets.map(|ticket| fleet.verdict(ticket));
        fleet.land();
        let won = verdicts
            .iter()
            .filter(|v| matches!(v, Verdict::Applied { .. }));
        assert_eq!(won.count(), 1, "round {round}: {verdicts:?}");
        let lost = verdicts
            .iter()
            .filter(|v| matches!(v, Verdict::Conflict { .. }));
        assert_eq!(lost.count(), 1, "round {round}: {verdicts:?}");
        revision += 1;
        assert_eq!(fleet.landed.len() as u64, revision, "round {round}");
    }
}

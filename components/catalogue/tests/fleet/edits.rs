//! Tests of edits and queries under store faults.

use catalogue::edit::*;

use types::prelude::*;

use crate::world::*;

fn applied_at(revision: u64) -> Verdict {
    Verdict::Applied {
        revision: Revision(revision),
    }
}

fn at(revision: u64) -> IfMatch {
    IfMatch::Revision(Revision(revision))
}

#[test]
fn can_edit_remove_and_recreate_an_entry() {
    let mut fleet = Fleet::new(2, 1);
    assert_eq!(
        fleet.put(0, "customers/a", IfMatch::Absent, 1),
        applied_at(1)
    );
    assert_eq!(fleet.put(1, "customers/a", at(1), 2), applied_at(2));
    let (_, ticket) = fleet.edit(0, "customers/a", at(2), None, TIMEOUT);
    assert_eq!(fleet.verdict(ticket), applied_at(3));
    assert_eq!(
        fleet.put(1, "customers/a", IfMatch::Absent, 3),
        applied_at(4)
    );
    let record = &fleet.stored()[&name("customers/a")];
    let history: Vec<u64> = record.history.iter().map(|past| past.revision.0).collect();
    assert_eq!(history, [3, 2, 1]);
}

/// Two operators edit one entry concurrently, both from revision 1, and both writes reach the
/// store. If both were reported as applied, the first change would be lost unnoticed.
#[test]
fn errors_conflict_reports_the_current_entry() {
    let mut fleet = Fleet::new(2, 2);
    fleet.put(0, "customers/a", IfMatch::Absent, 1);
    fleet.run(Span::from_secs(2));
    let first = fleet
        .edit(0, "customers/a", at(1), Some(customer(7, 2)), TIMEOUT)
        .1;
    let second = fleet
        .edit(1, "customers/a", at(1), Some(customer(7, 3)), TIMEOUT)
        .1;
    assert_eq!(fleet.verdict(first), applied_at(2));
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

/// The store applies the edit but its reply is lost. If "not applied" were reported, the operator
/// would retry the change or assume that the old entry is still in force.
#[test]
fn can_detect_an_applied_edit_whose_reply_was_lost() {
    let mut fleet = Fleet::new(2, 3);
    fleet.write_faults = [WriteFault::ReplyLost].into();
    assert_eq!(
        fleet.put(0, "customers/a", IfMatch::Absent, 1),
        applied_at(1)
    );
    assert_eq!(fleet.applied_edits.len(), 1);
}

/// The reply is lost, a read shows the old value, and only then does the write take effect. Without
/// a fencing write of the head, both the retry and the delayed write would be applied, or a
/// reported "not applied" would be false.
#[test]
fn can_fence_a_write_delayed_past_the_read() {
    let mut fleet = Fleet::new(2, 4);
    fleet.put(0, "customers/a", IfMatch::Absent, 1);
    fleet.run(Span::from_secs(2));
    fleet.write_faults = [
        WriteFault::Delayed,
        WriteFault::NoFault,
        WriteFault::NotSent,
    ]
    .into();
    let timeout = Span::from_millis(200);
    let entry = Some(customer(7, 2));
    let (edit_id, ticket) = fleet.edit(0, "customers/a", at(1), entry, timeout);
    // The reply is lost, the write is fenced, then calls are refused until the deadline.
    fleet.write_faults.extend([WriteFault::NotSent; 20]);
    let verdict = fleet.verdict(ticket);
    assert!(matches!(verdict, Verdict::NotApplied { .. }), "{verdict:?}");
    fleet.apply_delayed();
    assert!(
        !fleet
            .applied_edits
            .values()
            .any(|applied| *applied == edit_id)
    );
}

/// The store becomes unreachable right after the lost reply, so the write cannot be fenced.
/// The verdict is "unknown", and a later query by id through another daemon must settle it.
#[test]
fn can_query_an_unknown_outcome_by_edit_id() {
    for applies_before_query in [true, false] {
        let mut fleet = Fleet::new(3, 5);
        fleet.put(0, "customers/a", IfMatch::Absent, 1);
        fleet.run(Span::from_secs(2));
        let timeout = Span::from_millis(300);
        fleet.write_faults = [WriteFault::Delayed].into();
        fleet.write_faults.extend([WriteFault::NotSent; 30]);
        let entry = Some(customer(7, 2));
        let (edit_id, ticket) = fleet.edit(0, "customers/a", at(1), entry, timeout);
        let verdict = fleet.verdict(ticket);
        assert!(matches!(verdict, Verdict::Unknown { .. }), "{verdict:?}");
        fleet.write_faults.clear();
        if applies_before_query {
            fleet.apply_delayed();
        }
        let query = fleet.query(1, edit_id, None);
        let verdict = fleet.verdict(query);
        fleet.apply_delayed();
        let applied = fleet
            .applied_edits
            .values()
            .any(|applied| *applied == edit_id);
        assert_eq!(applied, applies_before_query);
        assert_eq!(
            matches!(verdict, Verdict::Applied { .. }),
            applied,
            "{verdict:?}"
        );
        assert_eq!(
            matches!(verdict, Verdict::NotApplied { .. }),
            !applied,
            "{verdict:?}"
        );
    }
}

/// A daemon is paused before it writes an edit. A query through another daemon reports "not
/// applied", so the first daemon must not apply the edit when it resumes.
#[test]
fn can_void_an_edit_of_a_paused_daemon() {
    let mut fleet = Fleet::new(3, 6);
    fleet.put(0, "customers/a", IfMatch::Absent, 1);
    fleet.run(Span::from_secs(2));
    fleet.write_faults = [WriteFault::NotSent].into();
    let entry = Some(customer(7, 2));
    let (edit_id, ticket) = fleet.edit(0, "customers/a", at(1), entry, TIMEOUT);
    fleet.run(STEP);
    fleet.pause(0, true);
    let query = fleet.query(1, edit_id, None);
    let verdict = fleet.verdict(query);
    assert!(matches!(verdict, Verdict::NotApplied { .. }), "{verdict:?}");
    fleet.pause(0, false);
    let verdict = fleet.verdict(ticket);
    assert!(matches!(verdict, Verdict::NotApplied { .. }), "{verdict:?}");
    assert!(
        !fleet
            .applied_edits
            .values()
            .any(|applied| *applied == edit_id)
    );
}

/// So many edits follow an applied one that neither the head nor the entry's history lists it
/// any more. A daemon that received all of them still reports "applied"; one that did not
/// must report "unknown", never "not applied".
#[test]
fn errors_unknown_when_no_history_covers_an_edit() {
    let mut fleet = Fleet::new(3, 7);
    let entry = Some(customer(7, 1));
    let (edit_id, ticket) = fleet.edit(0, "customers/a", IfMatch::Absent, entry, TIMEOUT);
    fleet.verdict(ticket);
    for revision in 1..60 {
        assert_eq!(
            fleet.put(0, "customers/a", at(revision), 1),
            applied_at(revision + 1)
        );
    }
    let query = fleet.query(0, edit_id, Some("customers/a"));
    assert_eq!(fleet.verdict(query), applied_at(1));
    for index in 0..3 {
        fleet.restart(index);
    }
    fleet.run(Span::from_secs(10));
    let query = fleet.query(1, edit_id, Some("customers/a"));
    let verdict = fleet.verdict(query);
    assert!(matches!(verdict, Verdict::Unknown { .. }), "{verdict:?}");
}

/// One operator gives a customer a key; another, through a daemon that has not received that
/// edit, gives the same key to a second customer. Checked only against each daemon's own
/// catalogue, both would be accepted, and a caller would be billed as another customer.
#[test]
fn errors_rules_are_checked_against_the_stores_entries() {
    let mut fleet = Fleet::new(12, 8);
    fleet.put(0, "customers/z", IfMatch::Absent, 1);
    fleet.run(Span::from_secs(2));
    let mut indexes = 1..12;
    let lags = |index: &usize| !fleet.daemon(*index).sync.is_watching();
    let lagging = indexes.find(lags).unwrap();
    let entry = || Some(customer(7, 1));
    let first = fleet
        .edit(0, "customers/a", IfMatch::Absent, entry(), TIMEOUT)
        .1;
    let second = fleet
        .edit(lagging, "customers/b", IfMatch::Absent, entry(), TIMEOUT)
        .1;
    assert_eq!(fleet.verdict(first), applied_at(2));
    let Verdict::Invalid { problems } = fleet.verdict(second) else {
        panic!("two customers share a key");
    };
    assert!(
        problems[0]
            .to_string()
            .contains("a key that another customer has")
    );
}

/// Fifty concurrent edits through several daemons contend for the head. Each must be applied
/// exactly once, with dense revisions.
#[test]
fn can_apply_a_burst_of_edits_through_many_daemons() {
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
    let revisions: Vec<u64> = fleet
        .applied_edits
        .keys()
        .map(|revision| revision.0)
        .collect();
    assert_eq!(revisions, (1..=50).collect::<Vec<_>>());
}

/// Two operators edit one entry concurrently for a thousand rounds, some with lost replies. In
/// each round exactly one edit must be applied and the other reported as a conflict.
#[test]
fn can_have_exactly_one_winner_in_a_thousand_rounds() {
    let mut fleet = Fleet::new(2, 10);
    fleet.put(0, "customers/a", IfMatch::Absent, 1);
    let mut revision = 1;
    for round in 0..1000 {
        fleet.write_faults.clear();
        match round % 5 {
            0 => fleet.write_faults.push_back(WriteFault::ReplyLost),
            1 => fleet.write_faults.push_back(WriteFault::Delayed),
            _ => {}
        }
        let tickets = [0, 1].map(|index| {
            let entry = Some(customer(7, 2 + index));
            fleet
                .edit(index, "customers/a", at(revision), entry, TIMEOUT)
                .1
        });
        let verdicts = tickets.map(|ticket| fleet.verdict(ticket));
        fleet.apply_delayed();
        let won = verdicts
            .iter()
            .filter(|v| matches!(v, Verdict::Applied { .. }));
        assert_eq!(won.count(), 1, "round {round}: {verdicts:?}");
        let lost = verdicts
            .iter()
            .filter(|v| matches!(v, Verdict::Conflict { .. }));
        assert_eq!(lost.count(), 1, "round {round}: {verdicts:?}");
        revision += 1;
        assert_eq!(fleet.applied_edits.len() as u64, revision, "round {round}");
    }
}

/// The store is restored from an empty copy just before a daemon starts. The daemon knows no
/// more than the copy; an edit applied immediately would reuse the first revision, and the
/// fleet would never receive it.
#[test]
fn errors_edit_waits_until_peers_report_the_fleet_revision() {
    let mut fleet = Fleet::new(5, 11);
    let empty = fleet.table.clone();
    assert_eq!(
        fleet.put(0, "customers/a", IfMatch::Absent, 1),
        applied_at(1)
    );
    fleet.run(Span::from_secs(2));
    fleet.table = empty;
    fleet.restart(4);
    let verdict = fleet.put(4, "customers/b", IfMatch::Absent, 1);
    assert_eq!(verdict, applied_at(2));
}

/// Two daemons start while partitioned from the others and from the store, which is restored
/// from an empty copy. When the partition ends, the replies that the two had from each other
/// must not suffice to apply an edit.
#[test]
fn errors_edit_waits_for_replies_of_new_members() {
    let mut fleet = Fleet::new(5, 12);
    let empty = fleet.table.clone();
    assert_eq!(
        fleet.put(0, "customers/a", IfMatch::Absent, 1),
        applied_at(1)
    );
    fleet.run(Span::from_secs(2));
    fleet.store_up = false;
    fleet.table = empty;
    fleet.partitioned = [id(1), id(2)].into();
    fleet.restart(1);
    fleet.restart(2);
    fleet.run(Span::from_secs(6));
    let entry = Some(customer(7, 1));
    let ticket = fleet
        .edit(1, "customers/b", IfMatch::Absent, entry, TIMEOUT)
        .1;
    fleet.store_up = true;
    fleet.partitioned.clear();
    assert_eq!(fleet.verdict(ticket), applied_at(2));
}

/// A daemon resumes after a pause while the store was restored from an empty copy and most
/// peers have just restarted. These peers reply but know no more than the daemon itself, so an
/// edit must wait.
#[test]
fn errors_replies_of_restarted_daemons_do_not_count() {
    for seed in 0..8 {
        let mut fleet = Fleet::new(5, seed);
        let empty = fleet.table.clone();
        fleet.run(Span::from_secs(4));
        fleet.pause(2, true);
        assert_eq!(
            fleet.put(0, "customers/a", IfMatch::Absent, 1),
            applied_at(1)
        );
        fleet.run(Span::from_secs(8));
        fleet.table = empty;
        [1, 3, 4].into_iter().for_each(|index| fleet.restart(index));
        fleet.pause(2, false);
        fleet.lose_messages(2);
        let verdict = fleet.put(2, "customers/b", IfMatch::Absent, 1);
        assert_eq!(verdict, applied_at(2), "seed {seed}");
    }
}

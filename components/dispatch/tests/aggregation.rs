//! Tests of the aggregation of the fleet's evidence.

use dispatch::{Arm, ArmCounts, Evidence, EvidenceAggregator, RolloutMessage, RolloutSummary};
use types::prelude::*;

fn daemon(n: usize) -> DaemonId {
    DaemonId::new(&format!("d{n}")).expect("a name")
}

fn evidence(good: u32, bad: u32) -> Evidence {
    let counts = ArmCounts {
        sent: good + bad,
        good,
        bad,
        ..ArmCounts::default()
    };
    Evidence {
        order: 7,
        elapsed_ms: 1_000,
        new: Arm {
            kinds: [counts, ArmCounts::default(), ArmCounts::default()],
        },
        ..Evidence::default()
    }
}

fn report(aggregator: &mut EvidenceAggregator, n: usize, own: Evidence, staying: &[u32]) {
    let staying = staying.to_vec();
    let bytes = RolloutMessage::Report { own, staying }
        .encode()
        .expect("small");
    aggregator.handle_message(daemon(n), RolloutMessage::decode(&bytes).expect("our own"));
}

#[test]
fn bad_answers_at_many_daemons_add_up_at_all_of_them() {
    // Each of 88 daemons sees one bad answer of a new version, too few to judge it.
    let mut watcher = EvidenceAggregator::default();
    for n in 1..88 {
        report(&mut watcher, n, evidence(0, 1), &[n as u32]);
    }
    let summary = watcher.fleet(&daemon(0), &evidence(0, 1));
    assert_eq!(summary.fleet.new.sum().bad, 88);
    let mut other = EvidenceAggregator::default();
    watcher
        .summaries()
        .iter()
        .for_each(|summary| other.merge_summary(summary));
    assert_eq!(
        other.fleet(&daemon(5), &evidence(0, 1)).fleet.new.sum().bad,
        88
    );
    assert_eq!(watcher.staying(7).len(), 87);
    assert!(matches!(
        watcher.unannounced_staying_sessions(7),
        Some(RolloutMessage::Staying { order: 7, .. })
    ));
    assert_eq!(watcher.unannounced_staying_sessions(7), None, "told once");
}

#[test]
fn counts_of_a_restarted_daemon_are_kept() {
    // A daemon is killed after it counted most of the bad answers. Without them the version
    // would look good.
    let mut watcher = EvidenceAggregator::default();
    report(&mut watcher, 1, evidence(3, 9), &[]);
    report(&mut watcher, 1, evidence(1, 0), &[]);
    report(&mut watcher, 1, evidence(2, 1), &[]);
    let fleet = watcher.fleet(&daemon(0), &evidence(0, 0)).fleet;
    assert_eq!((fleet.new.sum().good, fleet.new.sum().bad), (5, 10));
}

#[test]
fn an_older_sum_replaces_neither_a_newer_one_nor_a_bad_mark() {
    let mut aggregator = EvidenceAggregator::default();
    let summary = |fleet, is_bad| RolloutSummary { fleet, is_bad };
    aggregator.merge_summary(&summary(evidence(20, 9), true));
    aggregator.merge_summary(&summary(evidence(10, 2), false));
    let known = aggregator.fleet(&daemon(0), &evidence(1, 0));
    assert_eq!((known.fleet.new.sum().bad, known.is_bad), (9, true));
}

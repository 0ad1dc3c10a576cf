//! Tests of the aggregation of the fleet's evidence.

use dispatch::{Arm, ArmCounts, Evidence, Gathering, RolloutMessage, RolloutWord};
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

fn report(gathering: &mut Gathering, n: usize, own: Evidence, staying: &[u32]) {
    let staying = staying.to_vec();
    let bytes = RolloutMessage::Report { own, staying }
        .encode()
        .expect("small");
    gathering.take(daemon(n), RolloutMessage::decode(&bytes).expect("our own"));
}

#[test]
fn bad_answers_at_many_daemons_add_up_at_all_of_them() {
    // Each of 88 daemons sees one bad answer of a new version, too few to judge it.
    let mut watcher = Gathering::default();
    for n in 1..88 {
        report(&mut watcher, n, evidence(0, 1), &[n as u32]);
    }
    let word = watcher.fleet(&daemon(0), &evidence(0, 1));
    assert_eq!(word.fleet.new.sum().bad, 88);
    let mut other = Gathering::default();
    watcher
        .words()
        .iter()
        .for_each(|word| other.take_word(word));
    assert_eq!(
        other.fleet(&daemon(5), &evidence(0, 1)).fleet.new.sum().bad,
        88
    );
    assert_eq!(watcher.staying(7).len(), 87);
    assert!(matches!(
        watcher.staying_news(7),
        Some(RolloutMessage::Staying { order: 7, .. })
    ));
    assert_eq!(watcher.staying_news(7), None, "told once");
}

#[test]
fn counts_of_a_restarted_daemon_are_kept() {
    // A daemon is killed after it counted most of the bad answers. Without them the version
    // would look good.
    let mut watcher = Gathering::default();
    report(&mut watcher, 1, evidence(3, 9), &[]);
    report(&mut watcher, 1, evidence(1, 0), &[]);
    report(&mut watcher, 1, evidence(2, 1), &[]);
    let fleet = watcher.fleet(&daemon(0), &evidence(0, 0)).fleet;
    assert_eq!((fleet.new.sum().good, fleet.new.sum().bad), (5, 10));
}

#[test]
fn an_older_sum_replaces_neither_a_newer_one_nor_a_bad_mark() {
    let mut gathering = Gathering::default();
    let word = |fleet, is_bad| RolloutWord { fleet, is_bad };
    gathering.take_word(&word(evidence(20, 9), true));
    gathering.take_word(&word(evidence(10, 2), false));
    let known = gathering.fleet(&daemon(0), &evidence(1, 0));
    assert_eq!((known.fleet.new.sum().bad, known.is_bad), (9, true));
}

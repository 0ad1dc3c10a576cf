//! Adding up what the fleet saw of a roll-out.

use dispatch::{Arm, ArmCounts, Evidence, Gathering, RolloutMessage, RolloutWord};
use types::prelude::*;

fn daemon(n: usize) -> DaemonId {
    DaemonId::new(&format!("d{n}")).expect("a name")
}

fn seen(good: u32, bad: u32) -> Evidence {
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
fn eighty_daemons_bad_answers_are_seen_by_all_at_once() {
    // Each of 88 daemons sees one or two bad answers of a new version, too few to tell.
    let mut judge = Gathering::default();
    for n in 1..88 {
        report(&mut judge, n, seen(0, 1), &[n as u32]);
    }
    let word = judge.fleet(&daemon(0), &seen(0, 1));
    assert_eq!(word.fleet.new.sum().bad, 88);
    let mut other = Gathering::default();
    judge.words().iter().for_each(|word| other.take_word(word));
    assert_eq!(other.fleet(&daemon(5), &seen(0, 1)).fleet.new.sum().bad, 88);
    assert_eq!(judge.staying(7).len(), 87);
    assert!(matches!(
        judge.staying_news(7),
        Some(RolloutMessage::Staying { order: 7, .. })
    ));
    assert_eq!(judge.staying_news(7), None, "told once");
}

#[test]
fn a_daemon_that_restarts_does_not_take_its_counts_away() {
    // A daemon is killed after it saw most of the bad answers. Judged by what is left, the
    // version would look good.
    let mut judge = Gathering::default();
    report(&mut judge, 1, seen(3, 9), &[]);
    report(&mut judge, 1, seen(1, 0), &[]);
    report(&mut judge, 1, seen(2, 1), &[]);
    let fleet = judge.fleet(&daemon(0), &seen(0, 0)).fleet;
    assert_eq!((fleet.new.sum().good, fleet.new.sum().bad), (5, 10));
}

#[test]
fn an_older_sum_does_not_replace_a_newer_one_and_bad_stays_bad() {
    let mut gathering = Gathering::default();
    let word = |fleet, is_bad| RolloutWord { fleet, is_bad };
    gathering.take_word(&word(seen(20, 9), true));
    gathering.take_word(&word(seen(10, 2), false));
    let known = gathering.fleet(&daemon(0), &seen(1, 0));
    assert_eq!((known.fleet.new.sum().bad, known.is_bad), (9, true));
}

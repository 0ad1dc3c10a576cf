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

/// A daemon that counts one good answer a step, and restarts at times.
struct Process {
    aggregator: EvidenceAggregator,
    own: Evidence,
    started_at: u32,
    /// The known sum's number of answers at each step since its start.
    known: Vec<u32>,
}

impl Process {
    fn start(step: u32) -> Self {
        Self {
            aggregator: EvidenceAggregator::default(),
            own: evidence(0, 0),
            started_at: step,
            known: Vec::new(),
        }
    }

    fn step(&mut self, n: usize, step: u32) {
        let good = self.own.new.sum().good + 1;
        self.own = evidence(good, 0);
        self.own.elapsed_ms = step * STEP_MS / 500 * 500;
        let known = self.aggregator.fleet(&daemon(n), &self.own);
        self.known.push(known.fleet.new.sum().good);
    }
}

const STEP_MS: u32 = 100;

/// A restarted collector lacks what daemons counted before they restarted.
#[test]
fn the_sum_grows_while_daemons_restart_in_turn() {
    const DAEMONS: usize = 9;
    const STEPS_BETWEEN_RESTARTS: u32 = 12;
    const DOWN_STEPS: u32 = 6;
    let mut fleet = (0..DAEMONS).map(|_| Process::start(0)).collect::<Vec<_>>();
    let mut answers = 0;
    for step in 1..200 {
        if step > 40 && step % STEPS_BETWEEN_RESTARTS == 0 {
            let restarted = (step / STEPS_BETWEEN_RESTARTS) as usize % DAEMONS;
            fleet[restarted] = Process::start(step + DOWN_STEPS);
        }
        let up = (0..DAEMONS).filter(|n| step >= fleet[*n].started_at);
        let up = up.collect::<Vec<_>>();
        for n in &up {
            fleet[*n].step(*n, step);
            answers += 1;
        }
        let collectors = &up[..2];
        for (n, collector) in up
            .iter()
            .flat_map(|n| collectors.iter().map(move |c| (n, c)))
        {
            if n != collector && step % 2 == 0 {
                let own = fleet[*n].own;
                report(&mut fleet[*collector].aggregator, *n, own, &[]);
            }
            let summaries = fleet[*collector].aggregator.summaries();
            let aggregator = &mut fleet[*n].aggregator;
            summaries
                .iter()
                .for_each(|summary| aggregator.merge_summary(summary));
        }
        for n in &up {
            let known = &fleet[*n].known;
            let newest = known[known.len() - 1];
            assert!(newest <= answers, "{newest} of {answers} at daemon {n}");
            let earlier = known.len().checked_sub(20).map(|at| known[at]);
            assert!(
                earlier.is_none_or(|earlier| earlier < newest),
                "{newest} at daemon {n}, step {step}"
            );
        }
    }
    let known = fleet[0].known.last().expect("up");
    assert!(*known * 10 >= answers * 7, "{known} of {answers}");
}

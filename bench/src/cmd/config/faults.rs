//! Edits under faults. Each arm counts its violations.

use std::time::{Duration, Instant};

use types::prelude::*;

use super::edit::{EditAnswer, Editor};
use super::fleet::{self, Fleet};
use crate::report::Report;

const DAEMONS: usize = 8;
/// Time limit for an accepted edit to be in force everywhere; taking longer is a violation.
const PROPAGATION_TIMEOUT: Duration = Duration::from_secs(17);
const POLL_INTERVAL: Duration = Duration::from_millis(50);
const PAUSE_DURATION: Duration = Duration::from_secs(30);
const OUTAGE_DURATION: Duration = Duration::from_secs(5);
const EFFECT_DELAY: Span = Span::from_secs(3);

/// Runs a fault scenario on a fleet and returns the number of violations.
type Arm = fn(&mut Fleet, &mut Report, &str) -> eyre::Result<u64>;

/// Runs each arm on its own fleet.
pub fn run(rounds: u32, report: &mut Report) -> eyre::Result<()> {
    let arms: [(&str, Arm); 6] = [
        ("store_down_before", store_down_before),
        ("store_down_right_after", store_down_right_after),
        ("reply_lost", reply_lost),
        ("effect_delayed", effect_delayed),
        ("watchers_paused", watchers_paused),
        ("half_replaced", half_replaced),
    ];
    for (name, run_arm) in arms {
        let mut fleet = Fleet::start(DAEMONS, false)?;
        fleet.wait_joined()?;
        let violations = run_arm(&mut fleet, report, name)?;
        let reverts = fleet::count_reverts(&fleet.read_logs()?);
        report_violations(report, name, violations + reverts);
    }
    let violations = two_operators(rounds, report)?;
    report_violations(report, "two_operators", violations);
    Ok(())
}

fn report_violations(report: &mut Report, arm: &str, violations: u64) {
    report.note(arm, "violations", violations as f64);
    report.violations += violations;
}

/// Waits until every daemon holds a weight; returns the elapsed seconds, or `None` on timeout.
fn wait_everywhere(fleet: &Fleet, editor: &Editor, weight: u64) -> eyre::Result<Option<f64>> {
    let start = Instant::now();
    while start.elapsed() < PROPAGATION_TIMEOUT {
        let mut all = true;
        for daemon in &fleet.daemons {
            let held = editor.held_by(daemon.plan.addresses.operators)?;
            all &= held.is_some_and(|(held, _)| held == weight);
        }
        if all {
            return Ok(Some(start.elapsed().as_secs_f64()));
        }
        std::thread::sleep(POLL_INTERVAL);
    }
    Ok(None)
}

/// Waits until every daemon holds a weight and reports the elapsed time; returns 1 violation on
/// timeout.
fn expect_everywhere(
    fleet: &Fleet,
    editor: &Editor,
    weight: u64,
    report: &mut Report,
    arm: &str,
) -> eyre::Result<u64> {
    let elapsed_s = wait_everywhere(fleet, editor, weight)?;
    report.note(arm, "everywhere_s", elapsed_s.unwrap_or(f64::NAN));
    Ok(u64::from(elapsed_s.is_none()))
}

fn is_applied(answer: &EditAnswer) -> bool {
    matches!(answer, EditAnswer::Applied { .. })
}

/// Checks that the answer to an edit made during a store fault agrees with the final state; returns
/// the number of violations.
fn check_answer(
    fleet: &Fleet,
    editor: &Editor,
    answer: &EditAnswer,
    (old, new): (u64, u64),
) -> eyre::Result<u64> {
    let elapsed_s = wait_everywhere(fleet, editor, new)?;
    let held_weight = match elapsed_s {
        Some(_) => new,
        None if wait_everywhere(fleet, editor, old)?.is_some() => old,
        None => return Ok(1),
    };
    let is_false = match answer {
        EditAnswer::Applied { .. } => held_weight != new,
        EditAnswer::NotApplied | EditAnswer::Conflict => held_weight != old,
        EditAnswer::Unknown => false,
    };
    Ok(u64::from(is_false))
}

fn store_down_before(fleet: &mut Fleet, report: &mut Report, arm: &str) -> eyre::Result<u64> {
    let mut editor = Editor::new(arm);
    let first = editor.put(fleet.operator_address(0), 1)?;
    fleet.platform.store.set_faults(|faults| faults.down = true);
    let answer = editor.put(fleet.operator_address(1), 2)?;
    std::thread::sleep(OUTAGE_DURATION);
    fleet
        .platform
        .store
        .set_faults(|faults| faults.down = false);
    report.note(
        arm,
        "told_unknown",
        f64::from(answer == EditAnswer::Unknown),
    );
    let violations = check_answer(fleet, &editor, &answer, (1, 2))?;
    Ok(u64::from(!is_applied(&first)) + u64::from(is_applied(&answer)) + violations)
}

fn store_down_right_after(fleet: &mut Fleet, report: &mut Report, arm: &str) -> eyre::Result<u64> {
    let mut editor = Editor::new(arm);
    let answer = editor.put(fleet.operator_address(1), 1)?;
    fleet.platform.store.set_faults(|faults| faults.down = true);
    let violations = expect_everywhere(fleet, &editor, 1, report, arm)?;
    Ok(u64::from(!is_applied(&answer)) + violations)
}

fn reply_lost(fleet: &mut Fleet, report: &mut Report, arm: &str) -> eyre::Result<u64> {
    let mut editor = Editor::new(arm);
    editor.put(fleet.operator_address(0), 1)?;
    let faults = |faults: &mut standins::store::StoreFaults| faults.lost_replies = 1;
    fleet.platform.store.set_faults(faults);
    let answer = editor.put(fleet.operator_address(1), 2)?;
    report.note(
        arm,
        "told_unknown",
        f64::from(answer == EditAnswer::Unknown),
    );
    check_answer(fleet, &editor, &answer, (1, 2))
}

fn effect_delayed(fleet: &mut Fleet, report: &mut Report, arm: &str) -> eyre::Result<u64> {
    let mut editor = Editor::new(arm);
    editor.put(fleet.operator_address(0), 1)?;
    fleet.platform.store.set_faults(|faults| {
        faults.delayed_effects = 1;
        faults.effect_delay = EFFECT_DELAY;
    });
    let answer = editor.put(fleet.operator_address(1), 2)?;
    report.note(
        arm,
        "told_unknown",
        f64::from(answer == EditAnswer::Unknown),
    );
    std::thread::sleep(EFFECT_DELAY.to_duration());
    check_answer(fleet, &editor, &answer, (1, 2))
}

/// Half of the fleet, including watchers, is paused. It must not delay the others, nor bring back
/// old state when it resumes.
fn watchers_paused(fleet: &mut Fleet, report: &mut Report, arm: &str) -> eyre::Result<u64> {
    let mut editor = Editor::new(arm);
    editor.put(fleet.operator_address(0), 1)?;
    let mut violations = expect_everywhere(fleet, &editor, 1, report, arm)?;
    let paused = fleet.daemons.split_off(DAEMONS / 2);
    for daemon in &paused {
        daemon.pause()?;
    }
    let answer = editor.put(fleet.operator_address(1), 2)?;
    let awake_elapsed_s = wait_everywhere(fleet, &editor, 2)?;
    report.note(
        arm,
        "awake_everywhere_s",
        awake_elapsed_s.unwrap_or(f64::NAN),
    );
    std::thread::sleep(PAUSE_DURATION);
    for daemon in &paused {
        daemon.resume()?;
    }
    fleet.daemons.extend(paused);
    violations += u64::from(!is_applied(&answer)) + u64::from(awake_elapsed_s.is_none());
    Ok(violations + expect_everywhere(fleet, &editor, 2, report, arm)?)
}

/// An edit is accepted, the store goes down, and half of the daemons are killed and replaced. The
/// new daemons must get the edit from their peers.
fn half_replaced(fleet: &mut Fleet, report: &mut Report, arm: &str) -> eyre::Result<u64> {
    let mut editor = Editor::new(arm);
    let answer = editor.put(fleet.operator_address(0), 1)?;
    fleet.platform.store.set_faults(|faults| faults.down = true);
    for daemon in fleet.daemons.iter_mut().skip(1).step_by(2) {
        daemon.kill()?;
    }
    for daemon in fleet.daemons.iter_mut().skip(1).step_by(2) {
        daemon.restart()?;
    }
    let violations = expect_everywhere(fleet, &editor, 1, report, arm)?;
    Ok(u64::from(!is_applied(&answer)) + violations)
}

/// Two operators edit the same entry through two daemons concurrently. At most one edit succeeds,
/// and only that operator may be told so.
fn two_operators(rounds: u32, report: &mut Report) -> eyre::Result<u64> {
    let fleet = Fleet::start(2, false)?;
    fleet.wait_joined()?;
    let (mut violations, mut unknown, mut rounds_won) = (0, 0, 0);
    let mut last_revision = None;
    for round in 1..=rounds {
        let put = |number: usize| {
            let mut editor = Editor::new("contested");
            if let Some(revision) = last_revision {
                editor.set_revision(revision);
            }
            let weight = u64::from(round) * 2 + number as u64;
            let answer = editor.put(fleet.daemons[number].plan.addresses.operators, weight);
            answer.map(|answer| (weight, answer))
        };
        let (first, second) = std::thread::scope(|scope| {
            let first = scope.spawn(|| put(0));
            let second = put(1);
            (first.join(), second)
        });
        let first = first.map_err(|_| eyre::eyre!("an operator's thread panicked"))??;
        let answers = [first, second?];
        let winners = answers.iter().filter(|(_, answer)| is_applied(answer));
        unknown += answers
            .iter()
            .filter(|(_, t)| *t == EditAnswer::Unknown)
            .count();
        violations += u64::from(winners.clone().count() > 1);
        if let Some((weight, EditAnswer::Applied { revision, .. })) = winners.clone().next() {
            rounds_won += 1;
            violations += u64::from(!is_held_everywhere(&fleet, *weight, *revision)?);
            last_revision = Some(*revision);
        }
    }
    report.note("two_operators", "rounds", f64::from(rounds));
    report.note("two_operators", "told_unknown", unknown as f64);
    report.note(
        "two_operators",
        "rounds_with_a_winner",
        f64::from(rounds_won),
    );
    Ok(violations)
}

/// Waits for both daemons to hold the winner's weight at its revision; returns whether they do.
fn is_held_everywhere(fleet: &Fleet, weight: u64, revision: Revision) -> eyre::Result<bool> {
    let editor = Editor::new("contested");
    let start = Instant::now();
    while start.elapsed() < PROPAGATION_TIMEOUT {
        let mut all = true;
        for daemon in &fleet.daemons {
            let held = editor.held_by(daemon.plan.addresses.operators)?;
            all &= held == Some((weight, revision));
        }
        if all {
            return Ok(true);
        }
        std::thread::sleep(Duration::from_millis(2));
    }
    Ok(false)
}

//! Edits under faults: each arm counts its broken promises.

use std::time::{Duration, Instant};

use types::prelude::*;

use super::edit::{Editor, Told};
use super::fleet::{self, Fleet};
use crate::report::Report;

const DAEMONS: usize = 8;
/// An accepted edit is in force everywhere within, or a promise is broken.
const PATIENCE: Duration = Duration::from_secs(17);
const LOOK_AGAIN: Duration = Duration::from_millis(50);
const PAUSE: Duration = Duration::from_secs(30);
const OUTAGE: Duration = Duration::from_secs(5);
const LATE: Span = Span::from_secs(3);

/// Does something to a fleet and counts broken promises.
type Arm = fn(&mut Fleet, &mut Report, &str) -> eyre::Result<u64>;

/// Runs every arm on fleets of its own.
pub fn run(rounds: u32, report: &mut Report) -> eyre::Result<()> {
    let arms: [(&str, Arm); 6] = [
        ("store_down_before", store_down_before),
        ("store_down_right_after", store_down_right_after),
        ("reply_lost", reply_lost),
        ("effect_delayed", effect_delayed),
        ("watchers_paused", watchers_paused),
        ("half_replaced", half_replaced),
    ];
    for (name, act) in arms {
        let mut fleet = Fleet::start(DAEMONS, false)?;
        fleet.wait_joined()?;
        let broken = act(&mut fleet, report, name)?;
        let reverts = fleet::reverts(&fleet.logs()?);
        note(report, name, broken + reverts);
    }
    let broken = two_operators(rounds, report)?;
    note(report, "two_operators", broken);
    Ok(())
}

fn note(report: &mut Report, arm: &str, violations: u64) {
    report.note(arm, "violations", violations as f64);
    report.violations += violations;
}

/// Waits until every daemon holds a weight; says how long that took.
fn wait_everywhere(fleet: &Fleet, editor: &Editor, weight: u64) -> eyre::Result<Option<f64>> {
    let start = Instant::now();
    while start.elapsed() < PATIENCE {
        let mut all = true;
        for daemon in &fleet.daemons {
            let seen = editor.seen_at(daemon.plan.addresses.operators)?;
            all &= seen.is_some_and(|(seen, _)| seen == weight);
        }
        if all {
            return Ok(Some(start.elapsed().as_secs_f64()));
        }
        std::thread::sleep(LOOK_AGAIN);
    }
    Ok(None)
}

/// Notes how long it took, or a broken promise.
fn expect_everywhere(
    fleet: &Fleet,
    editor: &Editor,
    weight: u64,
    report: &mut Report,
    arm: &str,
) -> eyre::Result<u64> {
    let took = wait_everywhere(fleet, editor, weight)?;
    report.note(arm, "everywhere_s", took.unwrap_or(f64::NAN));
    Ok(u64::from(took.is_none()))
}

fn is_applied(told: &Told) -> bool {
    matches!(told, Told::Applied { .. })
}

/// What was told of an edit while the store was in trouble must agree with what stands in
/// the end.
fn judge(fleet: &Fleet, editor: &Editor, told: &Told, (old, new): (u64, u64)) -> eyre::Result<u64> {
    let took = wait_everywhere(fleet, editor, new)?;
    let stands = match took {
        Some(_) => new,
        None if wait_everywhere(fleet, editor, old)?.is_some() => old,
        None => return Ok(1),
    };
    let lied = match told {
        Told::Applied { .. } => stands != new,
        Told::NotApplied | Told::Conflict => stands != old,
        Told::Unknown => false,
    };
    Ok(u64::from(lied))
}

fn store_down_before(fleet: &mut Fleet, report: &mut Report, arm: &str) -> eyre::Result<u64> {
    let mut editor = Editor::new(arm);
    let first = editor.put(fleet.operators_of(0), 1)?;
    fleet.platform.store.set_faults(|faults| faults.down = true);
    let told = editor.put(fleet.operators_of(1), 2)?;
    std::thread::sleep(OUTAGE);
    fleet
        .platform
        .store
        .set_faults(|faults| faults.down = false);
    report.note(arm, "told_unknown", f64::from(told == Told::Unknown));
    let broken = judge(fleet, &editor, &told, (1, 2))?;
    Ok(u64::from(!is_applied(&first)) + u64::from(is_applied(&told)) + broken)
}

fn store_down_right_after(fleet: &mut Fleet, report: &mut Report, arm: &str) -> eyre::Result<u64> {
    let mut editor = Editor::new(arm);
    let told = editor.put(fleet.operators_of(1), 1)?;
    fleet.platform.store.set_faults(|faults| faults.down = true);
    let broken = expect_everywhere(fleet, &editor, 1, report, arm)?;
    Ok(u64::from(!is_applied(&told)) + broken)
}

fn reply_lost(fleet: &mut Fleet, report: &mut Report, arm: &str) -> eyre::Result<u64> {
    let mut editor = Editor::new(arm);
    editor.put(fleet.operators_of(0), 1)?;
    let faults = |faults: &mut standins::store::StoreFaults| faults.lost_replies = 1;
    fleet.platform.store.set_faults(faults);
    let told = editor.put(fleet.operators_of(1), 2)?;
    report.note(arm, "told_unknown", f64::from(told == Told::Unknown));
    judge(fleet, &editor, &told, (1, 2))
}

fn effect_delayed(fleet: &mut Fleet, report: &mut Report, arm: &str) -> eyre::Result<u64> {
    let mut editor = Editor::new(arm);
    editor.put(fleet.operators_of(0), 1)?;
    fleet.platform.store.set_faults(|faults| {
        faults.delayed_effects = 1;
        faults.effect_delay = LATE;
    });
    let told = editor.put(fleet.operators_of(1), 2)?;
    report.note(arm, "told_unknown", f64::from(told == Told::Unknown));
    std::thread::sleep(LATE.to_duration());
    judge(fleet, &editor, &told, (1, 2))
}

/// Half of the fleet sleeps, among it watchers; it must neither hold the others up nor
/// bring anything old back when it wakes.
fn watchers_paused(fleet: &mut Fleet, report: &mut Report, arm: &str) -> eyre::Result<u64> {
    let mut editor = Editor::new(arm);
    editor.put(fleet.operators_of(0), 1)?;
    let mut broken = expect_everywhere(fleet, &editor, 1, report, arm)?;
    let asleep = fleet.daemons.split_off(DAEMONS / 2);
    for daemon in &asleep {
        daemon.pause()?;
    }
    let told = editor.put(fleet.operators_of(1), 2)?;
    let awake = wait_everywhere(fleet, &editor, 2)?;
    report.note(arm, "awake_everywhere_s", awake.unwrap_or(f64::NAN));
    std::thread::sleep(PAUSE);
    for daemon in &asleep {
        daemon.resume()?;
    }
    fleet.daemons.extend(asleep);
    broken += u64::from(!is_applied(&told)) + u64::from(awake.is_none());
    Ok(broken + expect_everywhere(fleet, &editor, 2, report, arm)?)
}

/// An edit is accepted, the store goes down and half of the daemons are killed and
/// replaced: the new ones have the edit from their peers.
fn half_replaced(fleet: &mut Fleet, report: &mut Report, arm: &str) -> eyre::Result<u64> {
    let mut editor = Editor::new(arm);
    let told = editor.put(fleet.operators_of(0), 1)?;
    fleet.platform.store.set_faults(|faults| faults.down = true);
    for daemon in fleet.daemons.iter_mut().skip(1).step_by(2) {
        daemon.kill()?;
    }
    for daemon in fleet.daemons.iter_mut().skip(1).step_by(2) {
        daemon.restart()?;
    }
    let broken = expect_everywhere(fleet, &editor, 1, report, arm)?;
    Ok(u64::from(!is_applied(&told)) + broken)
}

/// Two operators edit the same entry at two daemons at once: one wins, and only it is
/// told so.
fn two_operators(rounds: u32, report: &mut Report) -> eyre::Result<u64> {
    let fleet = Fleet::start(2, false)?;
    fleet.wait_joined()?;
    let (mut broken, mut unknown, mut decided) = (0, 0, 0);
    let mut seen = None;
    for round in 1..=rounds {
        let put = |number: usize| {
            let mut editor = Editor::new("contested");
            if let Some(revision) = seen {
                editor.saw(revision);
            }
            let weight = u64::from(round) * 2 + number as u64;
            let told = editor.put(fleet.daemons[number].plan.addresses.operators, weight);
            told.map(|told| (weight, told))
        };
        let (first, second) = std::thread::scope(|scope| {
            let first = scope.spawn(|| put(0));
            let second = put(1);
            (first.join(), second)
        });
        let first = first.map_err(|_| eyre::eyre!("an operator's thread panicked"))??;
        let told = [first, second?];
        let won = told.iter().filter(|(_, told)| is_applied(told));
        unknown += told.iter().filter(|(_, t)| *t == Told::Unknown).count();
        broken += u64::from(won.clone().count() > 1);
        if let Some((weight, Told::Applied { revision, .. })) = won.clone().next() {
            decided += 1;
            broken += u64::from(!stands(&fleet, *weight, *revision)?);
            seen = Some(*revision);
        }
    }
    report.note("two_operators", "rounds", f64::from(rounds));
    report.note("two_operators", "told_unknown", unknown as f64);
    report.note("two_operators", "rounds_with_a_winner", f64::from(decided));
    Ok(broken)
}

/// Whether both daemons come to hold the winner's weight at its revision.
fn stands(fleet: &Fleet, weight: u64, revision: Revision) -> eyre::Result<bool> {
    let editor = Editor::new("contested");
    let start = Instant::now();
    while start.elapsed() < PATIENCE {
        let mut all = true;
        for daemon in &fleet.daemons {
            let seen = editor.seen_at(daemon.plan.addresses.operators)?;
            all &= seen == Some((weight, revision));
        }
        if all {
            return Ok(true);
        }
        std::thread::sleep(Duration::from_millis(2));
    }
    Ok(false)
}

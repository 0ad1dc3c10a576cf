//! A driver with simulated engines, store and weight store.

#[path = "support/simulation.rs"]
mod simulation;

use catalogue::entry::{RolloutState, VersionState};
use rollout::edit::set_state;
use rollout::waiting::Waiting;
use rollout::{Effect, OrderKind};
use simulation::{Simulation, version_name};
use types::prelude::*;

fn unloads(effects: &[Effect]) -> Vec<&UpstreamId> {
    let orders = effects.iter().filter_map(|effect| match effect {
        Effect::Order(order) => Some(order),
        _ => None,
    });
    let unloads = orders.filter(|order| order.kind == OrderKind::Unload);
    unloads.map(|order| &order.engine).collect()
}

fn has_changes(effects: &[Effect]) -> bool {
    let is_change = |e: &Effect| matches!(e, Effect::Order(_) | Effect::Edit { .. });
    effects.iter().any(is_change)
}

#[test]
fn can_roll_out_a_version_step_by_step() {
    let mut sim = Simulation::new(4, 20.0);
    sim.run_until(|w| w.state() == RolloutState::Done);
    assert_eq!(sim.observed_steps, [0, 1, 2]);
    assert_eq!(sim.ready("2"), 64.0);
    // The old version still serves the demand of its sessions.
    sim.run(300);
    assert!(sim.ready("1") >= 32.0);
    sim.demand = [0.0, 20.0];
    sim.withdraw("1");
    sim.run_until(|w| w.ready("1") == 0.0);
    assert!(sim.drivers[0].held(sim.now).is_some());
    sim.run(10);
    assert_eq!(sim.drivers[0].held(sim.now), None);
}

/// A driver that was paused for a minute in the middle of a roll-out finds its lease expired. If it
/// continued from what it remembers, it would advance the roll-out and remove capacity next to its
/// successor.
#[test]
fn driver_does_not_act_after_its_lease_expired() {
    let mut sim = Simulation::new(4, 20.0);
    sim.run_until(|w| w.observed_steps.len() == 2);
    sim.now = sim.now + Span::from_secs(60);
    let effects = sim.tick_only(0);
    assert!(!has_changes(&effects), "{effects:?}");
    assert_eq!(sim.drivers[0].waiting(), Some(&Waiting::Lease));
}

/// A finished roll-out that still has all capacity of the old version, in which some engines came
/// back from a restart with the old version only. The driver has read their reports.
fn done_with_restarts(engines: usize, demand: f64, restarted: usize) -> Simulation {
    let mut sim = Simulation::new(engines, demand);
    sim.run_until(|w| w.state() == RolloutState::Done);
    sim.demand = [f64::from(u32::MAX), 0.0];
    sim.is_loading_blocked = true;
    let last = sim.engines.iter_mut().rev().take(restarted);
    last.for_each(|engine| engine.ready = vec![version_name("1")]);
    sim.run(100);
    sim.demand = [0.0, demand];
    sim
}

/// Engines restart without the new version while the old one is being removed. If the removal
/// continued, neither version would have the capacity for the demand.
#[test]
fn keeps_the_old_version_while_the_new_one_lacks_capacity() {
    let mut sim = done_with_restarts(4, 20.0, 3);
    sim.withdraw("1");
    sim.run(300);
    assert_eq!(sim.ready("1"), 64.0);
    sim.is_loading_blocked = false;
    sim.run_until(|w| w.ready("1") == 0.0);
    assert_eq!(sim.ready("2"), 64.0);
}

/// A driver is paused with an unsent order that removes version 2, since the roll-out was going
/// back to 1. Its successor introduces 2 again and removes 1 as soon as 2 just fits the demand.
/// Then the first driver wakes and sends its order, and the engine accepts the old fencing token:
/// the demand no longer fits. So a removal must leave enough capacity to lose one more engine.
#[test]
fn keeps_capacity_for_one_late_removal() {
    // Two engines with 2 ready, 32 slots, fit the demand and its headroom, and no more.
    let mut sim = done_with_restarts(3, 24.0, 1);
    sim.withdraw("1");
    sim.run(300);
    assert_eq!(sim.ready("1"), 48.0);
}

/// During the removal of the old version all engines but one restart and lose the new one just
/// after their reports were read. Each engine is read again before it is ordered to remove the old
/// version, and one that has lost the new version keeps the old one; otherwise it would be left
/// with neither.
#[test]
fn never_removes_the_only_version_of_an_engine() {
    for ticks in 0..30 {
        let mut sim = done_with_restarts(4, 20.0, 0);
        // This demand prevents removals until the engines restart: a restart between a report and
        // the order that follows it would go unnoticed.
        sim.demand = [f64::from(u32::MAX), 0.0];
        sim.run(ticks);
        sim.demand = [0.0, 20.0];
        sim.withdraw("1");
        let last = sim.engines.iter_mut().skip(1);
        last.for_each(|engine| engine.ready = vec![version_name("1")]);
        sim.run(300);
        let empty = sim.engines.iter().any(|engine| engine.ready.is_empty());
        assert!(!empty, "restarted after {ticks} ticks");
    }
}

/// The old version is draining and its sessions still need three engines. Removing one of these
/// would make the sessions queue while the new version is idle.
#[test]
fn keeps_the_capacity_that_draining_sessions_need() {
    let mut sim = Simulation::new(4, 40.0);
    sim.run_until(|w| w.state() == RolloutState::Done);
    sim.demand = [30.0, 10.0];
    sim.run(300);
    // 30 slots with a quarter of headroom and one engine to lose need 53.5: all four engines.
    assert_eq!(sim.ready("1"), 64.0);
    sim.demand = [15.0, 25.0];
    sim.run(300);
    assert_eq!(sim.ready("1"), 48.0);
}

/// A paused driver wakes with unsent removals, and the engines accept its old fencing token. With
/// several removals in flight, all of them would take effect late, on capacity that its successor
/// relies on. At most one is in flight, whatever the engines report.
#[test]
fn sends_one_removal_at_a_time() {
    let mut sim = Simulation::new(8, 20.0);
    sim.run_until(|w| w.state() == RolloutState::Done);
    sim.demand = [0.0, 20.0];
    sim.withdraw("1");
    sim.engines
        .iter_mut()
        .for_each(|engine| engine.ignores_orders = true);
    let mut in_flight = Vec::new();
    for _ in 0..20 {
        let effects = sim.step();
        in_flight.extend(unloads(&effects).into_iter().cloned());
    }
    assert_eq!(in_flight.len(), 1, "{in_flight:?}");
}

/// The driver's last report of an engine is some seconds old, and an operator of the platform may
/// have moved the version elsewhere since. A removal based on it could remove the wrong capacity,
/// so the engine is read again first.
#[test]
fn reads_an_engine_again_before_a_removal() {
    let mut sim = Simulation::new(4, 20.0);
    sim.run_until(|w| w.state() == RolloutState::Done);
    sim.demand = [0.0, 20.0];
    sim.withdraw("1");
    sim.now = sim.now + Span::from_secs(3);
    let effects = sim.tick_only(0);
    assert!(unloads(&effects).is_empty());
    let first = UpstreamId::new("e0").unwrap();
    assert!(effects.contains(&Effect::Read(first)));
}

/// The new version is suspended for its answers in the middle of its roll-out. Continuing would
/// expose more sessions to it, so the roll-out is aborted. With both versions suspended neither is
/// safe, so it pauses for an operator.
#[test]
fn aborts_when_the_new_version_is_suspended() {
    let mut sim = Simulation::new(4, 20.0);
    sim.run_until(|w| w.observed_steps.len() == 2);
    sim.evidence.new_suspended = true;
    sim.run_until(|w| w.state() == RolloutState::Aborted);
    let states = &sim.model.versions;
    assert_eq!(states[&version_name("2")].state, VersionState::Draining);

    let mut sim = Simulation::new(4, 20.0);
    sim.run_until(|w| w.observed_steps.len() == 2);
    sim.evidence.new_suspended = true;
    sim.evidence.old_suspended = true;
    sim.run_until(|w| w.state() == RolloutState::Paused);
}

/// The new version is suspended after the roll-out is done and the old one drains. Removing the old
/// version's capacity now would make it impossible to go back.
#[test]
fn keeps_the_old_version_when_the_new_one_is_suspended_later() {
    let mut sim = Simulation::new(4, 20.0);
    sim.run_until(|w| w.state() == RolloutState::Done);
    sim.demand = [0.0, 20.0];
    sim.evidence.new_suspended = true;
    sim.run(300);
    assert_eq!(sim.ready("1"), 64.0);
}

/// An operator withdraws the new version while the driver, which has not seen that yet, goes to the
/// next step. An unconditional write would make the version offered again, so the write is bound to
/// the revision that the driver saw.
#[test]
fn edit_does_not_overwrite_an_operators_edit() {
    let mut sim = Simulation::new(4, 20.0);
    sim.run_until(|w| w.observed_steps.len() == 2);
    let before = (sim.model.clone(), sim.revision);
    let edit = loop {
        let effects = sim.tick_only(0);
        let edits = effects.iter().find(|e| matches!(e, Effect::Edit { .. }));
        if let Some(edit) = edits.cloned() {
            break edit;
        }
        sim.apply(0, effects);
        sim.advance_time();
    };
    sim.model = set_state(&before.0, &version_name("2"), VersionState::Withdrawn).unwrap();
    sim.revision = before.1.next();
    sim.apply(0, vec![edit]);
    assert_eq!(
        sim.model.versions[&version_name("2")].state,
        VersionState::Withdrawn
    );
    sim.demand = [20.0, 0.0];
    sim.run_until(|w| w.ready("2") == 0.0);
}

/// The weight store permits one load every ten seconds. A driver that asked again at once, or
/// loaded without a permit, would slow every other model's loads.
#[test]
fn waits_for_permits_of_the_weight_store() {
    let mut sim = Simulation::new(4, 20.0);
    sim.permit_interval = Span::from_secs(10);
    sim.run(250);
    // In fifty seconds: one request for each load that starts, one for each that must wait.
    assert!(
        sim.permits_requested <= 10,
        "asked {} times",
        sim.permits_requested
    );
    sim.run_until(|w| w.state() == RolloutState::Done);
    assert_eq!(sim.loads, 4);
}

/// The reply to the lease's creation is lost after it took effect. A driver that treated this as a
/// failure would wait for its own lease to expire, and every roll-out would stop meanwhile.
#[test]
fn holds_a_lease_whose_creation_reply_was_lost() {
    let mut sim = Simulation::new(2, 10.0);
    sim.run(2);
    sim.store.loses_next_reply = true;
    sim.run(3);
    let held = sim.drivers[0].held(sim.now).expect("the lease is held");
    let (key, _) = sim.store.key.as_ref().unwrap();
    assert_eq!(held.fencing, u64::try_from(key.mod_revision.0).unwrap());
}

/// Two daemons find the key absent and the second one creates it. The first one's attempt fails,
/// and the reply that says so is lost. When it reads the key, it must not treat the other's
/// lease as its own.
#[test]
fn does_not_treat_another_daemons_lease_as_its_own() {
    let mut sim = Simulation::new(2, 10.0);
    let create = loop {
        let effects = sim.tick_only(0);
        let is_create = |e: &Effect| matches!(e, Effect::Store(call) if matches!(call.request, keyvalue::Request::Txn(_)));
        if effects.iter().any(is_create) {
            break effects;
        }
        sim.apply(0, effects);
        sim.advance_time();
    };
    while sim.drivers[1].held(sim.now).is_none() {
        let effects = sim.tick_only(1);
        sim.apply(1, effects);
    }
    sim.store.loses_next_reply = true;
    sim.apply(0, create);
    sim.run(5);
    assert_eq!(sim.drivers[0].held(sim.now), None);
    assert_eq!(sim.drivers[0].holder().unwrap().as_str(), "d1");
}

/// After a roll-out has ended and its lease was given up, an engine restarts with the old,
/// withdrawn version, as it was configured, and lacks the new one. Some minutes later it is
/// corrected.
#[test]
fn corrects_an_engine_that_restarted_with_the_old_version() {
    let mut sim = Simulation::new(3, 10.0);
    sim.run_until(|w| w.state() == RolloutState::Done);
    sim.demand = [0.0, 10.0];
    sim.withdraw("1");
    sim.run_until(|w| w.ready("1") == 0.0);
    sim.run(20);
    assert_eq!(sim.drivers[0].held(sim.now), None);
    sim.engines[1].ready = vec![version_name("1")];
    sim.run_until(|w| w.ready("1") == 0.0 && w.ready("2") == 48.0);
}

/// During an outage of the store the lease cannot be renewed, and another daemon may hold it as
/// soon as the store is back. So the driver stops before its lease expires, and continues with a
/// new one.
#[test]
fn stops_during_a_store_outage_and_continues_after_it() {
    let mut sim = Simulation::new(4, 20.0);
    sim.run_until(|w| w.observed_steps.len() == 2);
    let first = sim.drivers[0].held(sim.now).unwrap();
    sim.store.is_down = true;
    sim.run(100);
    assert_eq!(sim.drivers[0].held(sim.now), None);
    sim.store.is_down = false;
    sim.run_until(|w| w.state() == RolloutState::Done);
    let second = sim.drivers[0].held(sim.now).unwrap();
    assert!(second.fencing > first.fencing);
}

/// Two daemons compete for the lease. The second one reads the key and waits. It takes over with a
/// larger fencing token once the first one is gone, and never while the first one holds the lease.
#[test]
fn lease_passes_to_a_standby_daemon() {
    let mut sim = Simulation::new(4, 20.0);
    let both = |sim: &mut Simulation| {
        for index in 0..2 {
            let effects = sim.tick_only(index);
            sim.apply(index, effects);
        }
        sim.advance_time();
        sim.drivers
            .iter()
            .filter(|d| d.held(sim.now).is_some())
            .count()
    };
    for _ in 0..200 {
        assert!(both(&mut sim) <= 1);
    }
    let first = sim.drivers[0].held(sim.now).unwrap();
    assert_eq!(sim.drivers[1].holder().unwrap().as_str(), "d0");
    for _ in 0..300 {
        let effects = sim.tick_only(1);
        sim.apply(1, effects);
        sim.advance_time();
    }
    let second = sim.drivers[1].held(sim.now).unwrap();
    assert!(second.fencing > first.fencing);
    assert_eq!(sim.drivers[0].held(sim.now), None);
}
